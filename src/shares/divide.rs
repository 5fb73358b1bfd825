//! How a budget is divided: weighted max-min (water-filling). Nobody is given more than it asks for before everybody
//! who asks for less has that; what is left when all have what they ask for is spread evenly.

use super::ledger::Amount;
use crate::terms::Member;

/// What a member asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Claim {
    pub member: Member,
    /// Per second, beyond its floor.
    pub asked: f64,
    /// Mean worth of what is to be paid; 0: nothing was asked.
    pub worth: f64,
    /// What it was given last.
    pub given: Amount,
}

/// A part is left as it is if it would shrink by less than this share of it.
const DEAD_BAND: f64 = 0.05;
/// How much more or less than the mean a member's worth counts: what bounds a liar's gain.
const WEIGHT: std::ops::RangeInclusive<f64> = 0.5..=2.0;
/// Where not all can have a part, who has one changes after so many rounds.
const TURN_ROUNDS: u32 = 8;

/// The level to which `whole` fills vessels of these sizes and widths, each no fuller than its size.
pub(super) fn fill(whole: f64, sizes: &[(f64, f64)]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..sizes.len()).collect();
    order.sort_by(|&a, &b| (sizes[a].0 / sizes[a].1).total_cmp(&(sizes[b].0 / sizes[b].1)));
    let mut width: f64 = sizes.iter().map(|s| s.1).sum();
    let mut left = whole.max(0.0);
    let mut got = vec![0.0; sizes.len()];
    for at in order {
        let (size, wide) = sizes[at];
        let even = if width > 0.0 { left * wide / width } else { 0.0 };
        got[at] = size.min(even).max(0.0);
        left -= got[at];
        width -= wide;
    }
    got
}

/// What each claim is to have of `whole`. A part can only be spent with a burst of at least `quantum` (thousandths);
/// where the burst does not reach for all, `round` says whose turn it is.
pub(super) fn divide(whole: Amount, quantum: u64, round: u32, claims: &[Claim]) -> Vec<Amount> {
    let places = whole.burst.checked_div(quantum).map_or(usize::MAX, |n| n as usize);
    let mut chosen: Vec<usize> = (0..claims.len()).collect();
    if places < chosen.len() {
        let turn = |at: usize| {
            let key = u64::from(claims[at].member.0) << 32 | u64::from(round / TURN_ROUNDS);
            fastrand::Rng::with_seed(key).u32(..)
        };
        // Members that ask for nothing come last.
        chosen.sort_by_key(|&at| (claims[at].asked <= 0.0, turn(at)));
        chosen.truncate(places);
    }
    // What is held already must not outlast a whole that was lowered, however little.
    let held = claims.iter().fold(Amount::default(), |sum, c| sum.plus(c.given));
    let lowered = held.per_s > whole.per_s || held.burst > whole.burst;
    let rates = rates(whole.per_s as f64 / 1000.0, chosen.iter().map(|&at| &claims[at]).collect());
    let all: f64 = rates.iter().sum();
    let mut targets = vec![Amount::default(); claims.len()];
    let spread = whole.burst.saturating_sub(quantum.saturating_mul(chosen.len() as u64)) as f64;
    for (&at, rate) in chosen.iter().zip(rates) {
        if rate > 0.0 {
            let burst = quantum + (spread * rate / all).floor() as u64;
            let target = Amount { per_s: (rate * 1000.0).floor() as u64, burst };
            targets[at] = if lowered { target } else { steady(target, claims[at].given) };
        }
    }
    targets
}

fn rates(whole: f64, claims: Vec<&Claim>) -> Vec<f64> {
    let (sum, asking) = claims.iter().fold((0.0, 0.0), |(sum, asking), c| {
        if c.asked > 0.0 { (sum + c.worth, asking + 1.0) } else { (sum, asking) }
    });
    let weight = |worth: f64| {
        if sum > 0.0 { (worth * asking / sum).clamp(*WEIGHT.start(), *WEIGHT.end()) } else { 1.0 }
    };
    let sizes: Vec<(f64, f64)> = claims.iter().map(|c| (c.asked, weight(c.worth))).collect();
    let mut got = fill(whole, &sizes);
    let rest = (whole - got.iter().sum::<f64>()).max(0.0) / got.len().max(1) as f64;
    got.iter_mut().for_each(|g| *g += rest);
    got
}

/// A part that would shrink by little is left as it is; growth comes out of what is free and takes nobody's.
fn steady(target: Amount, given: Amount) -> Amount {
    let near = |target: u64, given: u64| given as f64 * (1.0 - DEAD_BAND) <= target as f64;
    if near(target.per_s, given.per_s) && near(target.burst, given.burst) {
        target.max(given)
    } else {
        target
    }
}
