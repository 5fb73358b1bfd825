use super::survival::Seen;
use super::*;
use crate::terms::BudgetId;

fn settings() -> Settings {
    Settings {
        worth: vec![(0.0, 0.0), (1.0, 1.0)],
        price_per_s: 0.2,
        least_share: 0.3,
        cap_ms: 10_000.0,
        prior: Prior { median_ms: 300.0, spread: 2.0, never: 0.02, weight: 8.0 },
        ..Settings::rounds()
    }
}

fn members(n: u16) -> Vec<Member> {
    (0..n).map(Member).collect()
}

fn key() -> Key {
    Key::round("demand", 20)
}

/// Polls a gather to its end from one due time to the next.
fn drain(gathers: &mut Gathers) -> Closed {
    let mut out = Vec::new();
    for _ in 0..1000 {
        let due = gathers.next_due().expect("open");
        gathers.poll(due, &mut out);
        if let Some(closed) = out.pop() {
            return closed;
        }
    }
    panic!("polling at the due time never closes it");
}

/// Plays one gather of 20 members in which the first `came` answer evenly up to `last_ms`.
fn play(gathers: &mut Gathers, id: u64, came: u16, last_ms: f64) -> Closed {
    let start = id as f64 * 20_000.0 + 0.37;
    gathers.open(start, GatherId(id), key(), 20, &members(20));
    let mut out = Vec::new();
    for m in 0..came {
        let at = start + last_ms * f64::from(m + 1) / f64::from(came);
        while let Some(due) = gathers.next_due().filter(|due| *due < at) {
            gathers.poll(due, &mut out);
            if let Some(closed) = out.pop() {
                return closed;
            }
        }
        gathers.arrived(at, GatherId(id), Member(m), 1);
    }
    drain(gathers)
}

#[test]
fn a_whole_gather_closes_at_once_and_counts_no_answer_twice() {
    let mut gathers = Gathers::new(settings(), 1);
    gathers.open(5.0, GatherId(1), key(), 4, &members(4));
    for m in 0..4 {
        assert!(gathers.arrived(15.0, GatherId(1), Member(m), 1));
        assert!(!gathers.arrived(16.0, GatherId(1), Member(m), 1), "told twice");
    }
    let closed = drain(&mut gathers);
    assert_eq!((closed.why, closed.complete, closed.waited_ms), (Why::Whole, 1.0, 10.0));
    assert!((closed.net - (1.0 - 0.002)).abs() < 1e-12);
}

#[test]
fn a_lying_member_shifts_no_more_than_its_part() {
    let mut gathers = Gathers::new(settings(), 1);
    gathers.open(0.0, GatherId(1), key(), 100, &members(10));
    gathers.arrived(1.0, GatherId(1), Member(3), u32::MAX);
    assert_eq!(gathers.complete(GatherId(1)), Some(0.1));
    assert!(!gathers.arrived(1.0, GatherId(1), Member(77), 50), "not a member");
    gathers.allot(GatherId(1), &[(Member(3), 1.0), (Member(4), 4.0)]);
    gathers.arrived(2.0, GatherId(1), Member(3), u32::MAX);
    assert_eq!(gathers.complete(GatherId(1)), Some(0.2));
    gathers.allot(GatherId(1), &[(Member(3), f64::NAN), (Member(4), f64::INFINITY)]);
    gathers.arrived(3.0, GatherId(1), Member(4), u32::MAX);
    assert_eq!(gathers.complete(GatherId(1)), Some(1.0));
}

#[test]
fn members_given_up_are_waited_for_no_longer() {
    let mut gathers = Gathers::new(settings(), 1);
    gathers.open(0.0, GatherId(1), key(), 4, &members(4));
    gathers.arrived(3.0, GatherId(1), Member(0), 1);
    gathers.arrived(4.0, GatherId(1), Member(1), 1);
    assert!(gathers.give_up(5.0, GatherId(1), Member(2)) && gathers.give_up(6.0, GatherId(1), Member(3)));
    assert!(!gathers.arrived(7.0, GatherId(1), Member(3), 1), "given up");
    let closed = drain(&mut gathers);
    assert_eq!((closed.why, closed.complete, closed.waited_ms), (Why::GivenUp, 0.5, 6.0));
}

#[test]
fn a_part_given_up_comes_from_the_others_once_it_is_divided_anew() {
    let mut gathers = Gathers::new(settings(), 1);
    gathers.open(0.0, GatherId(1), key(), 40, &members(4));
    for m in 0..4 {
        gathers.arrived(1.0, GatherId(1), Member(m), 5);
    }
    gathers.give_up(2.0, GatherId(1), Member(3));
    gathers.allot(GatherId(1), &[(Member(0), 1.0), (Member(1), 1.0), (Member(2), 1.0)]);
    for m in 0..3 {
        gathers.arrived(3.0, GatherId(1), Member(m), 12);
    }
    let closed = drain(&mut gathers);
    assert_eq!(
        (closed.why, closed.complete, closed.waited_ms),
        (Why::Whole, 1.0, 3.0),
        "36 and the 5 before"
    );
}

#[test]
fn answers_that_never_came_count_as_out_only_while_they_were_watched() {
    let grid = Grid::new(10_000.0);
    let prior = Belief::of_prior(&settings().prior, &grid);
    // Half come at 100 ms, the rest is cut at 200 ms in nine of ten gathers and comes at 4,000 ms in the tenth.
    let mut came = vec![0; grid::BINS];
    came[grid.bin(100.0)] = 10;
    let mut seen = Seen::default();
    for _ in 0..9 {
        seen.learn(&Seen::of_gather(&came, &[], 10, 200.0, 1.0, &grid), 1.0);
    }
    came[grid.bin(4000.0)] = 10;
    seen.learn(&Seen::of_gather(&came, &[], 0, 4000.0, 1.0, &grid), 1.0);
    let belief = seen.belief(&prior, 0.1);
    assert!((belief.out(1000.0, &grid) - 0.5).abs() < 0.01, "{}", belief.out(1000.0, &grid));
    assert!(belief.out(5000.0, &grid) < 0.02, "{}", belief.out(5000.0, &grid));
}

#[test]
fn a_fault_window_is_not_learned_and_a_lasting_change_is() {
    let mut gathers = Gathers::new(settings(), 3);
    (0..60).for_each(|id| drop(play(&mut gathers, id, 20, 200.0)));
    let before = gathers.figures()[0].clone();
    assert!(!before.suspicious && before.changes == 0 && before.faults == 0, "{before:?}");
    // Nine gathers in which half never answer and the others are slow, then as before.
    (60..69).for_each(|id| drop(play(&mut gathers, id, 10, 900.0)));
    assert!(gathers.figures()[0].suspicious);
    (69..85).for_each(|id| drop(play(&mut gathers, id, 20, 200.0)));
    let after = gathers.figures()[0].clone();
    assert_eq!((after.suspicious, after.changes, after.faults), (false, 0, 1), "{after:?}");
    assert!(after.put_aside >= 8, "{after:?}");
    let (p99, was) = (after.p99_ms.unwrap(), before.p99_ms.unwrap());
    assert!(p99 / was < 1.2 && was / p99 < 1.2, "{was} {p99}");
    // Three times slower for good: taken over once confirmed.
    let last = (85..115).map(|id| play(&mut gathers, id, 20, 600.0)).last().unwrap();
    let now = gathers.figures()[0].clone();
    assert_eq!((now.changes, last.complete), (1, 1.0), "{now:?}");
    assert!(now.median_ms.unwrap() > before.median_ms.unwrap() * 2.0, "{now:?}");
}

#[test]
fn a_plan_moves_by_one_step_and_longer_looks_stay_in_their_balance() {
    let settings = Settings { explore_share: 0.5, ..settings() };
    let mut gathers = Gathers::new(settings.clone(), 9);
    let (mut last, mut worth): (Option<f64>, f64) = (None, 0.0);
    let start = settings.explore_cost * settings.half_life;
    for id in 0..200 {
        let (came, last_ms) = if (id / 15) % 2 == 0 { (16, 150.0) } else { (19, 4000.0) };
        worth += play(&mut gathers, id, came, last_ms).worth;
        let figures = gathers.figures()[0].clone();
        let planned = figures.planned_ms.unwrap();
        if let Some(last) = last {
            let moved = (planned / last).max(last / planned);
            assert!(moved < settings.step * 1.0001, "{last} {planned}");
        }
        assert!(figures.explore_cost <= start + settings.explore_cost * worth + 1e-9, "{figures:?}");
        last = Some(planned);
    }
    assert!(gathers.figures()[0].explored > 20);
}

#[test]
fn a_gather_is_not_cut_while_its_worth_still_rises() {
    // All that was ever seen came within 200 ms; now it comes evenly up to 3 s, worth 0.33 a second at a price of 0.2.
    let mut gathers = Gathers::new(settings(), 3);
    (0..40).for_each(|id| drop(play(&mut gathers, id, 20, 200.0)));
    let planned = gathers.figures()[0].planned_ms.unwrap();
    gathers.open(900_000.0, GatherId(99), key(), 300, &members(20));
    let mut out = Vec::new();
    for i in 0..300u32 {
        let at = 900_000.0 + f64::from(i) * 10.0;
        while let Some(due) = gathers.next_due().filter(|due| *due < at) {
            gathers.poll(due, &mut out);
        }
        if out.is_empty() {
            gathers.arrived(at, GatherId(99), Member((i % 20) as u16), i / 20 + 1);
        }
    }
    let closed = out.pop().unwrap_or_else(|| drain(&mut gathers));
    assert!(closed.waited_ms > planned * 4.0 && closed.complete > 0.9, "{planned} {closed:?}");
}

#[test]
fn keys_are_bounded_and_the_seed_replays() {
    let mut gathers = Gathers::new(Settings { max_keys: 3, ..settings() }, 3);
    for size in 0..10 {
        gathers.open(f64::from(size), GatherId(7), Key::round("r", 1 << size), 5, &members(5));
    }
    let keys: Vec<Key> = gathers.figures().into_iter().map(|f| f.key).collect();
    assert_eq!(keys, [7, 8, 9].map(|size| Key::Round { kind: "r".into(), size }));
    let run = |seed| {
        let mut gathers = Gathers::new(settings(), seed);
        (0..80).map(|id| play(&mut gathers, id, 18, 300.0)).collect::<Vec<_>>()
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}

#[test]
fn settings_refuse_what_would_not_do() {
    let good = "jobs: {worth: [[0, 0], [1, 1]], price_per_s: 0.01, cap_ms: 60000, prior: {median_ms: 9000, spread: 2}}";
    let settings: GatherSettings = serde_yaml_ng::from_str(good).unwrap();
    settings.check().unwrap();
    for (part, bad) in [
        ("[[0, 0], [1, 1]]", "[[0, 0]]"),
        ("[[0, 0], [1, 1]]", "[[0, 1], [1, 0]]"),
        ("[[0, 0], [1, 1]]", "[[0, 0], [0.5, .nan], [1, 1]]"),
        ("0.01", "-1"),
        ("0.01", ".nan"),
        ("60000", "0"),
        ("spread: 2", "spread: 1"),
    ] {
        let settings: GatherSettings = serde_yaml_ng::from_str(&good.replace(part, bad)).unwrap();
        assert!(settings.check().unwrap_err().starts_with("gather.jobs: `"), "{bad}");
    }
    assert!(serde_yaml_ng::from_str::<GatherSettings>(&good.replace("spread", "spred")).is_err());
}

#[test]
fn the_operators_page_shows_what_holds() {
    #[derive(serde::Deserialize)]
    struct Page {
        gather: GatherSettings,
    }
    let page = include_str!("../../docs/operations-gather.md");
    let yaml = page.split("```yaml").nth(1).and_then(|p| p.split("```").next()).unwrap();
    let Page { gather } = serde_yaml_ng::from_str(yaml).unwrap();
    gather.check().unwrap();
    assert_eq!(gather.rounds, Some(Settings::rounds()));
}

fn starts(occurrence: u64, ends_at: f64) -> JobEvent {
    JobEvent::Starts {
        occurrence: Occurrence(occurrence),
        since: None,
        budget: BudgetId(BudgetId::BOOKED),
        class: "batch".into(),
        site: None,
        expected: 40,
        members: members(4),
        counts: Vec::new(),
        ends_at,
    }
}

fn counts(occurrence: u64, member: u16, done: u32, open: u32) -> JobEvent {
    JobEvent::Counts { occurrence: Occurrence(occurrence), member: Member(member), done, open }
}

#[test]
fn a_job_is_cut_at_its_deadline_and_forgotten_after_its_window() {
    let (mut jobs, mut effects) = (Jobs::new(settings(), 1), Vec::new());
    jobs.step(0.0, starts(1, 60_000.0), &mut effects);
    (0..3).for_each(|m| jobs.step(50.0, counts(1, m, 10, 0), &mut effects));
    jobs.step(60.0, counts(1, 3, 2, 8), &mut effects);
    assert!(effects.is_empty() && jobs.phase(Occurrence(1)) == Some(JobPhase::Running));
    while effects.is_empty() {
        jobs.step(jobs.next_due().unwrap(), JobEvent::Tick, &mut effects);
    }
    let [JobEffect::Refuse { come_back_ms, .. }, JobEffect::GiveBack { .. }, JobEffect::Tell(report)] =
        &effects[..]
    else {
        panic!("{effects:?}")
    };
    assert_eq!((report.complete, report.open, report.why), (0.8, 8, Why::Deadline));
    assert!((come_back_ms + report.waited_ms - 60_000.0).abs() < 1e-6);
    assert_eq!(jobs.phase(Occurrence(1)), Some(JobPhase::Cut));
    effects.clear();
    jobs.step(jobs.next_due().unwrap(), JobEvent::Tick, &mut effects);
    assert_eq!(effects, [JobEffect::Forget { occurrence: Occurrence(1) }]);
    assert_eq!((jobs.phase(Occurrence(1)), jobs.next_due()), (None, None));
}

#[test]
fn a_whole_job_gives_its_part_back_once_and_refuses_nothing() {
    let (mut jobs, mut effects) = (Jobs::new(settings(), 1), Vec::new());
    jobs.step(0.0, starts(1, 5.0), &mut effects);
    jobs.step(6.0, JobEvent::Tick, &mut effects);
    let part = JobEffect::GiveBack { occurrence: Occurrence(1), budget: BudgetId(BudgetId::BOOKED) };
    assert_eq!(effects, [part], "the window is over, the job is not");
    effects.clear();
    (0..4).for_each(|m| jobs.step(7.0, counts(1, m, 10, 0), &mut effects));
    let [JobEffect::Tell(report), JobEffect::Forget { .. }] = &effects[..] else { panic!("{effects:?}") };
    assert_eq!((report.complete, report.why), (1.0, Why::Whole));
}

#[test]
fn a_cancelled_job_and_one_whose_members_all_left_end() {
    let (mut jobs, mut effects) = (Jobs::new(settings(), 1), Vec::new());
    jobs.step(0.0, starts(1, 1000.0), &mut effects);
    jobs.step(1.0, JobEvent::Cancelled { occurrence: Occurrence(1) }, &mut effects);
    assert!(matches!(effects[..], [JobEffect::GiveBack { .. }, JobEffect::Forget { .. }]), "{effects:?}");
    effects.clear();
    jobs.step(2.0, starts(2, 1000.0), &mut effects);
    jobs.step(3.0, counts(2, 0, 10, 0), &mut effects);
    (0..4).for_each(|m| jobs.step(4.0, JobEvent::Left { member: Member(m) }, &mut effects));
    let told = effects.iter().find_map(|e| if let JobEffect::Tell(r) = e { Some(r) } else { None }).unwrap();
    assert_eq!((told.complete, told.why), (0.25, Why::GivenUp));
}
