//! What the division of budgets reaches, in the simulation: prints the tables of `docs/shares.md`.
//!
//!     cargo run --release --example shares_measure

use corkreach::shares::ShareSettings;
use corkreach::shares::sim::{Faults, Fleet, SimSettings};
use corkreach::terms::{Budget, BudgetId, Member, Spending};

const LEASE_MS: f64 = 2000.0;
const ROUND_MS: f64 = 500.0;

fn fleet(members: u16, floor: f64, per_s: f64, traffic_ms: f64, seed: u64) -> Fleet {
    let budget = Budget {
        id: BudgetId(0),
        name: "set-ups".into(),
        spending: Spending::SetUps,
        server: None,
        site: None,
        class: None,
        number_prefix: None,
        per_s,
        burst: (per_s / 4.0).max(1.5 * f64::from(members)),
        floor,
    };
    Fleet::new(SimSettings {
        shares: ShareSettings {
            members,
            keepers: (0..3).map(Member).collect(),
            lease_ms: LEASE_MS,
            round_ms: ROUND_MS,
            drift: 0.001,
            budgets: vec![budget],
        },
        seed,
        journey_ms: (0.2, 3.0),
        faults: Faults { drift: 0.001, ..Faults::default() },
        traffic_ms,
    })
}

/// Share of the budget that was spent in each of the rounds after one member came to ask for ten times the others'.
fn skew(floor: f64, seed: u64) -> Vec<f64> {
    let (members, per_s) = (10, 200.0);
    let mut fleet = fleet(members, floor, per_s, 20.0, seed);
    let even = vec![30.0];
    (0..10).for_each(|node| fleet.demand(node, &even));
    fleet.run(10_000.0);
    // In all 10% more than there is, and more than half of it one member's.
    let mean = per_s * 1.1 / 19.0;
    (0..10).for_each(|node| fleet.demand(node, &[if node == 4 { 10.0 * mean } else { mean }]));
    let shares = (1..=6).map(|round| {
        let before = fleet.seen.spent[0];
        fleet.run(10_000.0 + f64::from(round) * ROUND_MS);
        (fleet.seen.spent[0] - before) as f64 / (per_s * ROUND_MS / 1000.0)
    });
    let shares: Vec<f64> = shares.collect();
    assert_eq!(fleet.seen.breach, None);
    shares
}

/// Ms from a member's crash until 99% of what there was is held again by the others; the whole is scarce.
fn crash(seed: u64) -> f64 {
    let mut fleet = fleet(10, 0.1, 200.0, 20.0, seed);
    (0..10).for_each(|node| fleet.demand(node, &[40.0]));
    let start = 10_000.0 + 37.0 * (seed % 13) as f64;
    fleet.run(start);
    let whole = fleet.held(BudgetId(0), None);
    fleet.crash(7);
    let mut now = start;
    while fleet.held(BudgetId(0), None) < 0.99 * whole && now < start + 20_000.0 {
        now += 5.0;
        fleet.run(now);
    }
    now - start
}

/// Ms from the grantor's crash until another grants, and the least that all others held meanwhile and for three leases
/// after, of what they held before.
fn grantor(seed: u64) -> (f64, f64) {
    let mut fleet = fleet(10, 0.1, 200.0, 20.0, seed);
    (0..10).for_each(|node| fleet.demand(node, &[40.0]));
    let start = 10_000.0 + 37.0 * (seed % 13) as f64;
    fleet.run(start);
    let old = fleet.grantors()[0];
    fleet.crash(old);
    let whole = fleet.held(BudgetId(0), None);
    let (mut now, mut took, mut least) = (start, None, f64::INFINITY);
    while now < start + 3.0 * LEASE_MS {
        now += 5.0;
        fleet.run(now);
        least = least.min(fleet.held(BudgetId(0), None) / whole);
        if took.is_none() && !fleet.grantors().is_empty() {
            took = Some(now - start);
        }
    }
    assert_eq!(fleet.seen.breach, None);
    (took.unwrap_or(f64::INFINITY), least)
}

fn spread(mut v: Vec<f64>) -> (f64, f64) {
    v.sort_by(f64::total_cmp);
    (v[v.len() / 2], v[v.len() - 1])
}

fn main() {
    println!("lease {LEASE_MS} ms, round {ROUND_MS} ms; 20 seeds each");
    println!("\nspent share of the budget by round after the skew (10 members, mean over seeds)");
    for (name, floor) in [("shares, floor 0.1", 0.1), ("static 1/N (floor 1)", 1.0)] {
        let runs: Vec<Vec<f64>> = (0..20).map(|seed| skew(floor, seed)).collect();
        let rounds: Vec<String> =
            (0..6).map(|r| format!("{:.3}", runs.iter().map(|run| run[r]).sum::<f64>() / 20.0)).collect();
        println!("{name:<24} {}", rounds.join("  "));
    }
    let (median, most) = spread((0..20).map(crash).collect());
    println!("\na crashed member's part in use again: median {median:.0} ms, longest {most:.0} ms");
    let runs: Vec<(f64, f64)> = (0..20).map(grantor).collect();
    let (median, most) = spread(runs.iter().map(|r| r.0).collect());
    let least = runs.iter().map(|r| r.1).fold(f64::INFINITY, f64::min);
    println!(
        "a crashed grantor replaced: median {median:.0} ms, longest {most:.0} ms; held at least {least:.3}"
    );
    println!("\nmessages and bytes sent in a round (one budget)");
    println!("{:>5} {:>14} {:>14} {:>14} {:>14}", "N", "a member", "bytes", "the grantor", "bytes");
    for members in [3u16, 10, 100, 300, 1000] {
        for calls in [1.0, 10.0] {
            let mut fleet = fleet(members, 0.1, 20.0 * f64::from(members), 100.0, 1);
            (0..usize::from(members)).for_each(|node| fleet.demand(node, &[calls * (5 + node % 30) as f64]));
            fleet.run(8000.0);
            let before = (fleet.seen.sent_by.clone(), fleet.seen.bytes_by.clone());
            fleet.run(8000.0 + 10.0 * ROUND_MS);
            let grantor = fleet.grantors()[0];
            let per_round = |now: &[u64], before: &[u64], who: &dyn Fn(usize) -> bool| {
                let mine = (0..now.len()).filter(|&at| who(at));
                let (sum, n) = mine.fold((0, 0), |(s, n), at| (s + now[at] - before[at], n + 1));
                sum as f64 / f64::from(n.max(1)) / 10.0
            };
            let plain = |at: usize| at != grantor;
            let grants = |at: usize| at == grantor;
            let (sent, bytes) = (&fleet.seen.sent_by, &fleet.seen.bytes_by);
            println!(
                "{members:>5} {:>14.2} {:>14.0} {:>14.0} {:>14.0}   calls x{calls}",
                per_round(sent, &before.0, &plain),
                per_round(bytes, &before.1, &plain),
                per_round(sent, &before.0, &grants),
                per_round(bytes, &before.1, &grants),
            );
            assert_eq!(fleet.seen.breach, None);
        }
    }
}
