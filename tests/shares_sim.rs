//! The real reducers of a fleet under seeded faults on a virtual clock. `CORKREACH_SHARES_SEEDS=10000 cargo test --test
//! shares_sim -- --ignored` runs as many seeds as it says; a failing one is named and replays exactly.

use corkreach::shares::ShareSettings;
use corkreach::shares::sim::{Faults, Fleet, SimSettings};
use corkreach::terms::{Budget, BudgetId, Member, Spending};

fn budget(id: u16, per_s: f64, burst: f64, floor: f64) -> Budget {
    Budget {
        id: BudgetId(id),
        name: format!("b{id}"),
        spending: Spending::SetUps,
        server: None,
        site: None,
        class: None,
        number_prefix: None,
        per_s,
        burst,
        floor,
    }
}

fn settings(members: u16, seed: u64) -> SimSettings {
    let floor_burst = f64::from(members) * 5.0;
    let budgets = vec![budget(0, 200.0, floor_burst, 0.25), budget(1, 20.0, 4.0, 0.0)];
    SimSettings {
        shares: ShareSettings {
            members,
            keepers: (0..if members >= 5 && seed % 2 == 1 { 5 } else { 3 }).map(Member).collect(),
            lease_ms: 1000.0,
            round_ms: 250.0,
            drift: 0.02,
            budgets,
        },
        seed,
        journey_ms: (0.2, 4.0),
        faults: Faults { drift: 0.02, ..Faults::default() },
        traffic_ms: 20.0,
    }
}

/// 10 to 20 s of faults, then calm; the breach, or what is not as it should be once all is calm.
fn play(seed: u64) -> (Option<String>, u64) {
    let members = 3 + (seed % 6) as u16;
    let mut settings = settings(members, seed);
    settings.faults = Faults {
        loss: 0.02 * (seed % 11) as f64,
        double: 0.1,
        late: 0.05,
        late_ms: 2500.0,
        every_ms: 300.0 + 100.0 * (seed % 7) as f64,
        drift: 0.02,
    };
    let whole: Vec<f64> = settings.shares.budgets.iter().map(|b| b.per_s * (1.0 - b.floor)).collect();
    let mut fleet = Fleet::new(settings);
    for node in 0..usize::from(members) {
        let wants = 20.0 * ((seed >> (node % 8)) % 8) as f64;
        fleet.demand(node, &[wants, wants / 4.0]);
    }
    fleet.run(12_000.0);
    fleet.calm();
    // A part on its way from one to another is nobody's for a moment: the most of three moments counts.
    let mut held = vec![0.0f64; whole.len()];
    for until in [18_500.0, 18_550.0, 18_600.0] {
        fleet.run(until);
        for (at, most) in held.iter_mut().enumerate() {
            *most = most.max(fleet.held(BudgetId(at as u16), None));
        }
    }
    if fleet.seen.breach.is_none() {
        if fleet.grantors().len() != 1 {
            return (Some(format!("seed {seed}: grantors in the calm: {:?}", fleet.grantors())), 0);
        }
        if let Some(at) = (0..whole.len()).find(|&at| held[at] < 0.95 * whole[at]) {
            let (held, whole) = (held[at], whole[at]);
            return (Some(format!("seed {seed}: {held} of {whole} held in the calm (budget {at})")), 0);
        }
    }
    (fleet.seen.breach.clone(), fleet.seen.digest)
}

fn seeds(from: u64, to: u64) {
    let failed: Vec<String> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..4)
            .map(|w| {
                scope.spawn(move || (from + w..to).step_by(4).filter_map(|s| play(s).0).collect::<Vec<_>>())
            })
            .collect();
        workers.into_iter().flat_map(|w| w.join().expect("worker")).collect()
    });
    assert!(failed.is_empty(), "{} failed, the first: {}", failed.len(), failed[0]);
}

#[test]
fn no_fault_makes_parts_or_spendings_exceed_the_whole() {
    // Found to fail before: keepers that forgot their count won the same epoch again.
    assert_eq!(play(4136).0, None);
    seeds(0, 200);
}

#[test]
#[ignore = "long: CORKREACH_SHARES_SEEDS says how many"]
fn no_fault_in_many_seeds() {
    let seeds_wanted = std::env::var("CORKREACH_SHARES_SEEDS").ok().and_then(|n| n.parse().ok());
    seeds(1000, 1000 + seeds_wanted.unwrap_or(10_000));
}

#[test]
fn a_seed_replays_exactly() {
    assert_eq!(play(77), play(77));
    assert_ne!(play(77).1, play(78).1);
}

#[test]
fn clocks_beyond_the_bound_are_seen_to_break_it() {
    // The checks can fail: with clocks thrice as far off as is allowed for, some part outlives its lease.
    let breached = (0..40).any(|seed| {
        let mut settings = settings(4, seed);
        settings.faults = Faults {
            loss: 0.1,
            late: 0.05,
            late_ms: 2500.0,
            every_ms: 400.0,
            drift: 0.4,
            ..Faults::default()
        };
        let mut fleet = Fleet::new(settings);
        (0..4).for_each(|node| fleet.demand(node, &[100.0, 10.0]));
        fleet.run(12_000.0);
        fleet.seen.breach.is_some()
    });
    assert!(breached);
}

/// What a fleet of five did in a minute with two of its three keepers, on a network that loses so much, doubles and
/// reorders: masterships, the share of the time in which one granted, the mean share of the budget in parts, and how
/// many times the mean part the largest was.
fn two_keepers(lease_ms: f64, loss: f64, seed: u64) -> [f64; 4] {
    let mut settings = settings(5, 2 * seed);
    (settings.shares.lease_ms, settings.shares.round_ms) = (lease_ms, lease_ms / 4.0);
    settings.shares.budgets.truncate(1);
    settings.journey_ms = (0.0, 20.0);
    settings.faults =
        Faults { loss, double: 0.15, late: 0.15, late_ms: 100.0, drift: 0.02, ..settings.faults };
    let whole = settings.shares.budgets[0].per_s * (1.0 - settings.shares.budgets[0].floor);
    let mut fleet = Fleet::new(settings);
    (0..5).for_each(|node| fleet.demand(node, &[60.0]));
    fleet.run(5.0 * lease_ms);
    fleet.crash(2);
    let from = 10.0 * lease_ms;
    fleet.run(from);
    let (before, mut granted, mut parts) = (fleet.seen.masterships, 0.0, [0.0f64; 5]);
    for look in 1..=6000 {
        fleet.run(from + 10.0 * f64::from(look));
        granted += fleet.grantors().len() as f64 / 6000.0;
        for (node, part) in parts.iter_mut().enumerate() {
            *part += fleet.held(BudgetId(0), Some(node)) / whole / 6000.0;
        }
    }
    assert_eq!(fleet.seen.breach, None);
    let (held, largest) = (parts.iter().sum::<f64>(), parts.iter().copied().fold(0.0, f64::max));
    [(fleet.seen.masterships - before) as f64, granted, held, 4.0 * largest / held]
}

#[test]
fn a_mastership_stands_with_two_of_three_keepers_on_a_bad_network() {
    // Found to fail before: with each keeper asked once in a bid 91, 66 and 17 masterships a minute, and 0.22, 0.01
    // and 0.07 of the budget in parts. Where a lost report made a demand fall, the grantor, which hears itself, had
    // 1.22, 1.51 and 1.30 times the mean.
    for (lease_ms, loss, least, most) in
        [(600.0, 0.15, 0.9, 1.15), (600.0, 0.3, 0.8, 1.45), (3000.0, 0.3, 0.8, 1.3)]
    {
        let mut mean = [0.0f64; 4];
        for seed in 0..4 {
            mean.iter_mut().zip(two_keepers(lease_ms, loss, seed)).for_each(|(sum, of)| *sum += of / 4.0);
        }
        let [masterships, granted, held, largest] = mean;
        let seen = format!(
            "lease {lease_ms} ms, {loss} lost: {masterships} masterships a minute, {granted:.4} of the time granted, \
             {held:.3} in parts, the largest {largest:.2} times the mean"
        );
        println!("{seen}");
        assert!(masterships <= 3.0 && granted >= 0.995 && held >= least && largest <= most, "{seen}");
    }
}

#[test]
fn a_thousand_members_share_a_budget() {
    let mut settings = settings(1000, 5);
    settings.traffic_ms = 200.0;
    settings.faults.loss = 0.01;
    let mut fleet = Fleet::new(settings);
    (0..1000).for_each(|node| fleet.demand(node, &[1.0, 0.1]));
    fleet.run(5000.0);
    assert_eq!(fleet.seen.breach, None);
    assert!(fleet.held(BudgetId(0), None) > 0.95 * 150.0, "{}", fleet.held(BudgetId(0), None));
}
