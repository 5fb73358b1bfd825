//! When to stop waiting, given what has arrived.

use super::grid::{BINS, Grid};
use super::survival::Belief;
use super::worth::Worth;

/// How a gather stands.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// Time since its opening, ms.
    pub at_ms: f64,
    pub expected: u32,
    pub arrived: u32,
    /// Those that may still come: neither arrived nor given up.
    pub out: u32,
}

/// The time since the opening (ms, from `at_ms` to the cap) at which the expected worth less the price of the
/// wait is greatest.
///
/// Each answer that is out comes by a time with the belief's chance, on its own; the worth is averaged over the
/// number that come (three points of its normal approximation), so that a curve with a step is met with the
/// chance of passing it. The wait ends early once all have come.
pub fn best_stop(standing: &Standing, belief: &Belief, worth: &Worth, grid: &Grid) -> f64 {
    let Standing { at_ms, expected, arrived, out } = *standing;
    let (have, open, all) = (f64::from(arrived), f64::from(out), f64::from(expected.max(1)));
    let still = belief.out(at_ms, grid);
    let mut best = (worth.of(have / all), at_ms);
    if out == 0 || still <= 1e-12 {
        return at_ms;
    }
    let (mut paid, mut last_ms, mut last_unfinished) = (0.0, at_ms, 1.0);
    for edge in grid.bin(at_ms) + 1..=BINS {
        let until = grid.edge(edge);
        if until <= at_ms {
            continue;
        }
        let come = (1.0 - belief.out_at(edge) / still).clamp(0.0, 1.0);
        let unfinished = 1.0 - come.powf(open);
        paid += worth.price(until - last_ms) * (unfinished + last_unfinished) / 2.0;
        (last_ms, last_unfinished) = (until, unfinished);
        let (mean, wide) = (have + open * come, (3.0 * open * come * (1.0 - come)).sqrt());
        let at = |count: f64| worth.of(count.clamp(have, have + open) / all);
        let net = at(mean) * 2.0 / 3.0 + (at(mean - wide) + at(mean + wide)) / 6.0 - paid;
        if net > best.0 + 1e-9 {
            best = (net, until);
        }
    }
    best.1
}
