use super::*;

const SITES: &str = "sites:\n- {name: a, servers: [s-a*], fallback: [[b], [c]]}\n- {name: b, servers: [s-b*]}\n\
                     - {name: c, servers: [s-c*]}\nrefusal: {fill: 0.9}\n";

fn entry(id: u64, name: &str, state: Listed) -> Entry {
    Entry { id: ServerId(id), name: name.into(), zone: None, place: id as u32, state }
}

/// Two servers at each of a (1, 2), b (3, 4) and c (5, 6), all heard, each told what it can take.
fn plan(can_take: f64) -> Recovery {
    let mut r = Recovery::new(SiteSettings::parse(SITES).unwrap(), 3);
    let names = ["s-a1", "s-a2", "s-b1", "s-b2", "s-c1", "s-c2"];
    let entries: Vec<Entry> =
        names.iter().zip(1u64..).map(|(name, id)| entry(id, name, Listed::Ready)).collect();
    r.listed(&entries);
    for id in 1..=6 {
        r.heard(ServerId(id), 0.0);
        r.report(ServerId(id), &LoadReport { can_take: Some(can_take), ..LoadReport::default() }, 0.0);
    }
    r
}

/// Calls every 10 ms from `from` to `to`, to places 1 to 6 in turn, every third of worth 3; looked at every 250 ms. The
/// verdicts, with each call's worth and the place asked for.
fn calls(r: &mut Recovery, from: u32, to: u32, down: &[u64]) -> Vec<(f64, u32, Verdict)> {
    calls_under(r, from, to, down, 150.0)
}

/// The same while the third server reports this wait.
fn calls_under(r: &mut Recovery, from: u32, to: u32, down: &[u64], wait_ms: f64) -> Vec<(f64, u32, Verdict)> {
    let mut verdicts = Vec::new();
    for ms in (from..to).step_by(10) {
        let now = f64::from(ms);
        if ms % 250 == 0 {
            for id in 1..=6 {
                if down.contains(&id) { r.down(ServerId(id), now) } else { r.heard(ServerId(id), now) }
            }
            r.look(now, 5);
        }
        r.report(ServerId(3), &LoadReport { wait_ms: Some(wait_ms), ..LoadReport::default() }, now);
        let (i, place) = (ms / 10, ms / 10 % 6 + 1);
        let worth = if i / 6 % 3 == 0 { 3.0 } else { 1.0 };
        verdicts.push((worth, place, r.call(worth, Some(place), |_| true, |_| 0, now)));
    }
    verdicts
}

#[test]
fn while_all_sites_are_up_the_plan_changes_nothing() {
    let mut r = plan(200.0);
    let all = calls(&mut r, 0, 10_000, &[]);
    assert!(all.iter().all(|&(_, place, v)| v == Verdict::Take { first_choice: Some(place) }));
    assert!((1..=6).all(|id| r.candidate(ServerId(id), 10_000.0)));
    assert_eq!(r.next_turn(10_000.0), None);
}

#[test]
fn a_lost_sites_calls_ask_first_where_there_is_room_tier_by_tier() {
    // 100 calls a second here, 500 in the fleet: 167 for each site. b has room for 0.9 * 400 - 167 = 193.
    let mut r = plan(200.0);
    calls(&mut r, 0, 8000, &[1, 2]);
    assert_eq!(r.figures().sites[0].state, State::Lost);
    assert!(!r.candidate(ServerId(1), 8000.0) && r.candidate(ServerId(3), 8000.0));
    let all = calls(&mut r, 8000, 10_000, &[1, 2]);
    let moved: Vec<u32> = all
        .iter()
        .filter(|&&(_, place, _)| place <= 2)
        .filter_map(|(_, _, v)| match v {
            Verdict::Take { first_choice } => *first_choice,
            Verdict::Refuse { .. } => None,
        })
        .collect();
    assert!(moved.len() > 60 && moved.iter().all(|place| [3, 4].contains(place)), "{moved:?}");
    // Of the site drawn, the one with the fewest out.
    let out = |id: ServerId| usize::from(id == ServerId(3));
    assert_eq!(r.call(3.0, Some(1), |_| true, out, 10_000.0), Verdict::Take { first_choice: Some(4) });
    // Sites without an order of fallback leave the choice to the module.
    let mut open = plan(200.0);
    calls(&mut open, 0, 8000, &[3, 4]);
    assert_eq!(open.call(3.0, Some(3), |_| true, out, 8000.0), Verdict::Take { first_choice: None });
    let others = all.iter().filter(|&&(_, place, _)| place > 2);
    assert!(others.into_iter().all(|&(_, place, v)| v == Verdict::Take { first_choice: Some(place) }));
}

#[test]
fn what_the_others_have_no_room_for_is_refused_the_lowest_worth_first() {
    // 167 a second are to go elsewhere, and b and c have room for 0.9 * 240 - 167 = 49 each: 68 of 500 are too many.
    let mut r = plan(120.0);
    calls(&mut r, 0, 8000, &[1, 2]);
    let all = calls(&mut r, 8000, 16_000, &[1, 2]);
    let refused = |worth: f64| {
        let of: Vec<_> = all.iter().filter(|&&(w, _, _)| w == worth).collect();
        let no = of.iter().filter(|(_, _, v)| matches!(v, Verdict::Refuse { .. })).count();
        no as f64 / of.len() as f64
    };
    assert_eq!(refused(3.0), 0.0);
    let wanted = 68.0 / 500.0 * 1.5;
    assert!((refused(1.0) - wanted).abs() < 0.05, "{:.3}, {wanted:.3} wanted", refused(1.0));
    assert!(all.iter().any(|a| a.2 == Verdict::Refuse { stay_away_ms: 2000.0 }));
}

#[test]
fn one_that_alone_lost_its_way_to_a_site_refuses_nothing_for_long() {
    let mut r = plan(120.0);
    calls_under(&mut r, 0, 8000, &[1, 2], 30.0);
    let all = calls_under(&mut r, 8000, 12_000, &[1, 2], 30.0);
    assert!(all.iter().all(|a| matches!(a.2, Verdict::Take { .. })), "the others report no pressure");
    let pressed = calls_under(&mut r, 12_000, 16_000, &[1, 2], 150.0);
    assert!(pressed.iter().any(|a| matches!(a.2, Verdict::Refuse { .. })));
}

#[test]
fn a_returning_site_is_a_candidate_for_its_share_of_the_time() {
    let mut r = plan(200.0);
    calls(&mut r, 0, 6000, &[1, 2]);
    let mut open = Vec::new();
    for ms in (6000..30_000).step_by(10) {
        let now = f64::from(ms);
        if ms % 250 == 0 {
            (1..=6).for_each(|id| r.heard(ServerId(id), now));
            r.look(now, 5);
        }
        let share = r.figures().sites[0].share;
        open.push((share, r.candidate(ServerId(1), now)));
        if let Some(turn) = r.next_turn(now) {
            assert!(turn > now && turn <= now + SLICE_MS, "{turn} at {now}");
        }
    }
    let ramp: Vec<_> = open.iter().filter(|(share, _)| *share > 0.0 && *share < 1.0).collect();
    let (share, time) =
        ramp.iter().fold((0.0, 0), |(s, n), (share, open)| (s + share, n + usize::from(*open)));
    assert!((time as f64 / ramp.len() as f64 - share / ramp.len() as f64).abs() < 0.05);
    assert!((1400..1600).contains(&ramp.len()), "the ramp takes 15 s: {}", ramp.len());
    assert_eq!(open.last(), Some(&(1.0, true)));
}

#[test]
fn with_every_site_lost_the_plan_steps_back() {
    let mut r = plan(200.0);
    let all = calls(&mut r, 0, 5000, &[1, 2, 3, 4, 5, 6]);
    assert!(r.figures().sites.iter().all(|s| s.state == State::Lost));
    assert!((1..=6).all(|id| r.candidate(ServerId(id), 5000.0)));
    assert!(all.iter().all(|&(_, place, v)| v == Verdict::Take { first_choice: Some(place) }));
}

#[test]
fn a_server_seen_to_be_down_is_back_only_with_a_word() {
    let mut r = plan(200.0);
    r.down(ServerId(1), 100.0);
    assert!(r.is_down(ServerId(1)));
    r.look(5000.0, 5);
    assert!(r.is_down(ServerId(1)));
    r.heard(ServerId(1), 5001.0);
    assert!(!r.is_down(ServerId(1)));
}

#[test]
fn a_call_moves_only_to_places_that_take_its_class() {
    let mut r = plan(200.0);
    calls(&mut r, 0, 8000, &[1, 2]);
    for i in 0..50 {
        let verdict = r.call(3.0, Some(1), |place| place == 4, |_| 0, 8000.0 + f64::from(i));
        assert_eq!(verdict, Verdict::Take { first_choice: Some(4) });
    }
}
