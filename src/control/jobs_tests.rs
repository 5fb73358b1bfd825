//! Gathered jobs over four control planes on one virtual clock and a network that loses, doubles and delays.

use super::*;
use crate::gather::{Occurrence, Stand};
use crate::terms::BudgetId;

const FILE: &str = "
lease_ms: 1500
round_ms: 300
reservations:
  zone: UTC
  notice_min: 1
  sites: [{name: aarhus, per_s: 100, share: 0.6}]
  teams: [{name: bills, per_s: 50, week_set_ups: 100000}]
  bookings:
    - {id: job, team: bills, class: batch, number_prefix: \"0045\", per_s: 40, start: \"2026-12-02T02:00\", minutes: 3,
       set_ups: 60}
gather:
  jobs: {worth: [[0, 0], [1, 1]], least_share: 0.3, price_per_s: 0.01, cap_ms: 100000, explore_share: 0,
         prior: {median_ms: 8000, spread: 1.6}}
budgets:
  - {name: all, spend: set_ups, per_s: 100, burst: 60, floor: 0.1}
";
/// 2026-12-02T02:00:00 UTC: the window runs.
const START_UNIX_MS: u64 = 1_796_176_800_000;
const STEP_MS: u64 = 10;
const N: usize = 4;
/// The job's set-ups begin then.
const BEGINS: u64 = 8000;

/// What a network does to a datagram.
#[derive(Clone, Copy, Default)]
struct Faults {
    lose: f64,
    double: f64,
    late_ms: u64,
}

struct Fleet {
    controls: Vec<Option<Control>>,
    posted: Vec<Vec<Posted>>,
    budgets: Vec<Vec<Budget>>,
    notes: Vec<(u64, usize, String)>,
    grants: Vec<Option<Epoch>>,
    mail: Vec<(u64, Member, Member, Vec<u8>)>,
    faults: Faults,
    rng: fastrand::Rng,
    ms: u64,
}

impl Fleet {
    fn new(faults: Faults) -> Fleet {
        Fleet::of(FILE, faults)
    }

    fn of(file: &str, faults: Faults) -> Fleet {
        let settings = ControlSettings::parse(file).unwrap();
        let place = |me: usize| Place {
            me: Member(me as u16),
            members: N as u16,
            incarnation: START_UNIX_MS,
            seed: 7 + me as u64,
        };
        Fleet {
            controls: (0..N).map(|me| Control::new(&settings, &place(me), 0.0).ok()).collect(),
            posted: vec![Vec::new(); N],
            budgets: vec![settings.budgets(); N],
            notes: Vec::new(),
            grants: vec![None; N],
            mail: Vec::new(),
            faults,
            rng: fastrand::Rng::with_seed(11),
            ms: 0,
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        let Some(control) = self.controls[at].as_mut() else { return };
        let mut effects = Vec::new();
        control.step(self.ms as f64, START_UNIX_MS + self.ms, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => {
                    assert!(bytes.len() <= wire::DATAGRAM_MOST);
                    let copies = if self.rng.f64() < self.faults.double { 2 } else { 1 };
                    let copies = if self.rng.f64() < self.faults.lose { 0 } else { copies };
                    for _ in 0..copies {
                        let due = self.ms + self.rng.u64(0..=self.faults.late_ms);
                        self.mail.push((due, Member(at as u16), to, bytes.clone()));
                    }
                }
                Effect::Jobs(posted) => self.posted[at] = posted,
                Effect::Budgets(budgets) => self.budgets[at] = budgets,
                Effect::Mastership(epoch) => self.grants[at] = epoch,
                Effect::Note(text) => self.notes.push((self.ms, at, text)),
                _ => {}
            }
        }
    }

    /// Up to this time; `counts` says what a member has counted of the job at a time since it began.
    fn run(&mut self, until: u64, counts: impl Fn(usize, u64) -> (u32, u32)) {
        while self.ms < until {
            self.ms += STEP_MS;
            let (due, later) = std::mem::take(&mut self.mail).into_iter().partition(|m| m.0 <= self.ms);
            self.mail = later;
            let due: Vec<(u64, Member, Member, Vec<u8>)> = due;
            for (_, from, to, bytes) in due {
                self.step(usize::from(to.0), Event::Datagram { from, bytes });
            }
            for at in 0..N {
                if self.ms.is_multiple_of(300) {
                    let ask = |b: &Budget| Demand { budget: b.id, per_s: 10.0, worth: 1.0 };
                    let demand = self.budgets[at].iter().map(ask).collect();
                    self.step(at, Event::Demand(demand));
                    let (done, open) = counts(at, self.ms.saturating_sub(BEGINS));
                    let count = |p: &Posted| Count { occurrence: p.occurrence, done, open };
                    let counted = self.posted[at].iter().map(count).collect();
                    self.step(at, Event::Jobs(counted));
                }
                if self.controls[at].as_ref().is_some_and(|c| c.next_due() <= self.ms as f64) {
                    self.step(at, Event::Tick);
                }
            }
        }
    }

    fn results(&self) -> Vec<(u64, usize, &str)> {
        let results = self.notes.iter().filter(|(.., text)| text.starts_with("job result "));
        results.map(|(ms, at, text)| (*ms, *at, text.as_str())).collect()
    }

    fn grantor(&self) -> usize {
        (0..N).filter(|&at| self.controls[at].is_some()).max_by_key(|&at| self.grants[at]).unwrap()
    }

    /// Whether anything is divided of a booking, beside its static parts, which are there for all of its window.
    fn booked_at(&self, at: usize) -> bool {
        self.budgets[at].iter().any(|b| b.id.0 >= BudgetId::BOOKED && b.per_s * (1.0 - b.floor) > 1e-9)
    }
}

fn field(text: &str, key: &str) -> f64 {
    let at = text.find(&format!(" {key}=")).unwrap() + key.len() + 2;
    text[at..].split(' ').next().unwrap().parse().unwrap()
}

/// Of 15 a member, 13 are answered evenly within 15 s and two stay open.
fn straggling(_: usize, ms: u64) -> (u32, u32) {
    if ms == 0 { (0, 0) } else { ((ms / 1150).min(13) as u32, 2) }
}

/// All 15 are answered within 15 s.
fn whole(_: usize, ms: u64) -> (u32, u32) {
    let done = (ms / 1000).min(15) as u32;
    (done, u32::from(ms > 0 && done < 15))
}

#[test]
fn a_job_with_stragglers_is_cut_everywhere_and_its_part_goes_back() {
    let mut fleet = Fleet::new(Faults::default());
    fleet.run(BEGINS, straggling);
    assert!((0..N).all(|at| fleet.booked_at(at) && fleet.posted[at].len() == 1), "{:?}", fleet.posted);
    fleet.run(60_000, straggling);
    let results = fleet.results();
    let [(cut_at, grantor, text)] = results[..] else { panic!("{results:?}") };
    assert!(text.contains("booking=bills/job class=batch site=- why=deadline complete=0.8667"), "{text}");
    assert_eq!(field(text, "open"), 8.0);
    for at in 0..N {
        // Refused until the window's end, told within a message's time.
        let [Posted { stand: Stand::Cut { until }, .. }] = fleet.posted[at][..] else {
            panic!("{at}: {:?}", fleet.posted[at])
        };
        assert!((until - 180_000.0).abs() < 400.0, "{until}");
        assert!(!fleet.booked_at(at), "{at} has the rest of the window's capacity back");
        // All but the booking's static parts, a fifth of its 40.
        let rates: Vec<f64> = fleet.budgets[at].iter().map(|b| b.per_s).collect();
        assert!(
            rates.len() == 2 && (rates[0] - 92.0).abs() < 1e-9 && (rates[1] - 8.0).abs() < 1e-9,
            "{rates:?}"
        );
    }
    assert!(cut_at > BEGINS + 15_000 && cut_at < 50_000, "{cut_at}");
    let figures = fleet.controls[grantor].as_ref().unwrap().figures().jobs.unwrap();
    assert_eq!(
        (figures.running, figures.cut, figures.results[0].ended, figures.results[0].cut),
        (0, 1, 1, 1)
    );
    // Over with its window.
    fleet.run(190_000, straggling);
    assert!(fleet.posted.iter().all(Vec::is_empty), "{:?}", fleet.posted);
    assert_eq!(fleet.results().len(), 1);
}

#[test]
fn a_job_without_stragglers_ends_whole_and_nothing_is_refused() {
    let mut fleet = Fleet::new(Faults::default());
    fleet.run(60_000, whole);
    let results = fleet.results();
    let [(_, _, text)] = results[..] else { panic!("{results:?}") };
    assert!(text.contains("why=whole complete=1.0000"), "{text}");
    assert!(fleet.posted.iter().flatten().all(|p| p.stand == Stand::Whole), "{:?}", fleet.posted);
    assert!((0..N).all(|at| !fleet.booked_at(at)));
}

#[test]
fn counts_doubled_lost_and_late_do_not_change_the_result() {
    let faults = Faults { lose: 0.15, double: 0.3, late_ms: 100 };
    let clear = |faults| {
        let mut fleet = Fleet::new(faults);
        fleet.run(60_000, straggling);
        let results = fleet.results();
        let [(_, _, text)] = results[..] else { panic!("{results:?}") };
        assert!((0..N).all(|at| matches!(fleet.posted[at][..], [Posted { stand: Stand::Cut { .. }, .. }])));
        (field(text, "complete"), field(text, "worth"), field(text, "open"), field(text, "waited_ms"))
    };
    let (good, bad) = (clear(Faults::default()), clear(faults));
    assert_eq!((good.0, good.1, good.2), (bad.0, bad.1, bad.2));
    // Known a round or two later, it is decided a step of the times' grid or two later.
    assert!((good.3 / bad.3).ln().abs() < 0.15, "{good:?} {bad:?}");
}

#[test]
fn the_next_grantor_ends_the_job_of_one_that_crashed() {
    // In its midst, and so late that the job is due before the next one grants.
    crashes_after(9000, 0);
    crashes_after(23_400, 0);
    // And where nobody could grant until it was long overdue.
    crashes_after(9000, 60_000);
}

fn crashes_after(ms: u64, away_ms: u64) {
    let mut fleet = Fleet::new(Faults::default());
    fleet.run(BEGINS + ms, straggling);
    assert!(fleet.results().is_empty());
    let dead = fleet.grantor();
    fleet.controls[dead] = None;
    let keeper = (0..3).find(|&at| at != dead).unwrap();
    let away = fleet.controls[keeper].take();
    fleet.run(fleet.ms + away_ms, straggling);
    fleet.controls[keeper] = away;
    fleet.run(150_000, straggling);
    let results = fleet.results();
    let [(_, by, text)] = results[..] else { panic!("{results:?}") };
    assert_ne!(by, dead);
    // The dead one's part is expected of the others, who have no more than their own.
    assert!(text.contains("complete=0.6500"), "{text}");
    // It began under the other one, and is waited for since then.
    assert!(field(text, "waited_ms") > 15_000.0, "{text}");
    for at in (0..N).filter(|&at| at != dead) {
        assert!(matches!(fleet.posted[at][..], [Posted { stand: Stand::Cut { .. }, .. }]));
        assert!(!fleet.booked_at(at));
    }
}

#[test]
fn a_member_that_left_is_given_up_and_one_that_comes_back_counts_on() {
    let mut fleet = Fleet::new(Faults::default());
    fleet.run(BEGINS + 5500, whole);
    let gone = (0..N).find(|&at| at != fleet.grantor()).unwrap();
    let (done_then, open_then) = whole(0, 5500);
    fleet.controls[gone] = None;
    fleet.run(BEGINS + 9000, whole);
    // Its next life counts from nothing.
    let settings = ControlSettings::parse(FILE).unwrap();
    let incarnation = START_UNIX_MS + fleet.ms;
    let place = Place { me: Member(gone as u16), members: N as u16, incarnation, seed: 99 };
    fleet.controls[gone] = Control::new(&settings, &place, fleet.ms as f64).ok();
    fleet.posted[gone].clear();
    let counts = |at, ms| {
        let (done, open) = whole(at, ms);
        if at == gone { (done.saturating_sub(done_then + open_then), 0) } else { (done, open) }
    };
    fleet.run(60_000, counts);
    let results = fleet.results();
    let [(_, _, text)] = results[..] else { panic!("{results:?}") };
    // All but what it had open when it crashed.
    let complete = (60.0 - f64::from(open_then)) / 60.0;
    assert!((field(text, "complete") - complete).abs() < 0.0001, "{text}");
}

/// A member says what it likes, in good order.
fn says(fleet: &mut Fleet, from: usize, to: usize, message: job_words::Message) {
    let mut out = Vec::new();
    fleet.controls[from].as_mut().unwrap().send(Member(to as u16), &Body::Jobs(message), &mut out);
    let Some(Effect::Send { bytes, .. }) = out.pop() else { panic!("{out:?}") };
    fleet.step(to, Event::Datagram { from: Member(from as u16), bytes });
}

#[test]
fn a_member_that_lies_shifts_no_more_than_its_part() {
    let mut fleet = Fleet::of(&FILE.replace("set_ups: 60", "set_ups: 400"), Faults::default());
    fleet.run(BEGINS - 3000, straggling);
    let (grantor, me) = (fleet.grantor(), 3);
    assert_ne!(grantor, me, "only keepers grant");
    let occurrence = fleet.posted[0][0].occurrence;
    // Long before the job begins it says that all is done; then that nothing was, under other lives.
    for (life, done, open) in [(1, u32::MAX, u32::MAX), (2, 400, 0), (9, 0, 0), (u64::MAX, u32::MAX, 7)] {
        let lines = vec![(occurrence.0, done, open), (77, 5, 5)];
        says(&mut fleet, me, grantor, job_words::Message::Counts { life, lines });
    }
    // The three others: 87 of their 100 each.
    let counts = |at, ms: u64| match ms {
        _ if at == me => (u32::MAX, u32::MAX),
        0 => (0, 0),
        ms => ((ms * 87 / 15_000).min(87) as u32, 13),
    };
    fleet.run(BEGINS, counts);
    assert_eq!(fleet.controls[grantor].as_ref().unwrap().figures().jobs.unwrap().running, 1);
    assert!(fleet.results().is_empty(), "one member's word begins no job");
    fleet.run(60_000, counts);
    let results = fleet.results();
    let [(cut_at, _, text)] = results[..] else { panic!("{results:?}") };
    // Of its own no more than the division's 100 and two standard deviations.
    let (least, most) = (261.0 / 400.0, (261.0 + 121.0) / 400.0);
    assert!((least..=most).contains(&field(text, "complete")), "{text}");
    assert!(cut_at > BEGINS + 15_000, "no sooner than the others are done: {cut_at}: {text}");
}

#[test]
fn only_the_grantors_word_cuts_a_job() {
    let mut fleet = Fleet::new(Faults::default());
    fleet.run(BEGINS + 1000, straggling);
    let grantor = fleet.grantor();
    let epoch = fleet.grants[grantor].unwrap();
    let Occurrence(occurrence) = fleet.posted[0][0].occurrence;
    let cut = |epoch| {
        let lines = vec![(occurrence, job_words::Told::Cut { left_ms: 60_000 }), (7, job_words::Told::Whole)];
        job_words::Message::Stands { epoch, lines }
    };
    for epoch in [epoch, Epoch(epoch.0 - 1), Epoch(epoch.0 + 1), Epoch(u64::MAX)] {
        (0..3).for_each(|to| says(&mut fleet, 3, to, cut(epoch)));
    }
    assert!(fleet.posted.iter().all(|p| p[0].stand == Stand::Open), "{:?}", fleet.posted);
    // One that was cut off and deposed meanwhile still says so under its epoch.
    let deposed = fleet.controls[grantor].take();
    fleet.run(BEGINS + 6000, straggling);
    let next = fleet.grantor();
    assert!(fleet.grants[next].is_some_and(|e| e > epoch));
    fleet.controls[grantor] = deposed;
    says(&mut fleet, grantor, 3, cut(epoch));
    assert_eq!(fleet.posted[3][0].stand, Stand::Open);
    let epoch = fleet.grants[next].unwrap();
    says(&mut fleet, next, 3, cut(epoch));
    assert!(matches!(fleet.posted[3][0].stand, Stand::Cut { .. }));
}
