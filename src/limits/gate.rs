//! What is shed once second attempts alone do not do: first attempts, the lowest worth first. While the call servers
//! fail so many calls that the budgets shed second attempts for more than `shed_from` of the first ones, every first
//! attempt is likely to be lost as well and only adds to their load; the excess share of them, `most` at most, is
//! refused here with advice to come back.

use super::settings::FirstSettings;
use crate::worth::WorthMix;

/// Fewer first attempts in the window than this tell nothing of a share.
const TELLING: u32 = 20;

#[derive(Clone, Debug)]
pub struct FirstGate {
    shed_from: f64,
    most: f64,
    wanted: WorthMix,
    /// Second attempts shed by a budget.
    retries_shed: WorthMix,
    rng: fastrand::Rng,
}

impl FirstGate {
    pub fn new(settings: &FirstSettings, window_ms: f64, seed: u64) -> Self {
        FirstGate {
            shed_from: settings.shed_from,
            most: settings.most,
            wanted: WorthMix::new(window_ms),
            retries_shed: WorthMix::new(window_ms),
            rng: fastrand::Rng::with_seed(seed ^ 0x6761_7465),
        }
    }

    /// A second attempt of a call of this worth was shed at `now`, ms.
    pub fn retry_shed(&mut self, worth: f64, now: f64) {
        self.retries_shed.count(worth, now);
    }

    /// The share of first attempts to be shed at `now`, 0 to `most`.
    pub fn share(&mut self, now: f64) -> f64 {
        let wanted = self.wanted.total(now);
        if wanted < TELLING {
            return 0.0;
        }
        let pressure = f64::from(self.retries_shed.total(now)) / f64::from(wanted);
        (pressure - self.shed_from).clamp(0.0, self.most.max(0.0))
    }

    /// The share of first attempts worth more than this, 0 to 1.
    pub fn above(&mut self, worth: f64, now: f64) -> f64 {
        self.wanted.above(worth, now)
    }

    /// Whether a first attempt of this worth may be sent at `now`, ms; it is counted as wanted either way.
    pub fn admits(&mut self, worth: f64, now: f64) -> bool {
        self.wanted.count(worth, now);
        let share = self.share(now);
        share <= 0.0 || self.rng.f64() >= self.wanted.refused(worth, share, now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// First attempts let through of worth 1 and worth 3 (7 and 3 in ten), with so many of ten retries shed.
    fn let_through(shed_of_ten: u32) -> (u32, u32) {
        let mut gate = FirstGate::new(&FirstSettings { shed_from: 0.3, most: 0.5 }, 10_000.0, 5);
        let (mut low, mut high) = (0, 0);
        for i in 0..2000u32 {
            let now = f64::from(i) * 5.0;
            let worth = if i % 10 < 7 { 1.0 } else { 3.0 };
            let admitted = gate.admits(worth, now);
            if worth > 1.0 {
                high += u32::from(admitted);
            } else {
                low += u32::from(admitted);
            }
            if i % 10 < shed_of_ten {
                gate.retry_shed(worth, now);
            }
        }
        (low, high)
    }

    #[test]
    fn nothing_is_shed_while_the_budgets_shed_little() {
        assert_eq!(let_through(2), (1400, 600));
    }

    #[test]
    fn the_excess_is_shed_from_the_lowest_worth_and_the_dear_ones_pass() {
        let (low, high) = let_through(5);
        assert_eq!(high, 600);
        // A fifth of all, out of seven tenths: two in seven of them.
        assert!((900..1150).contains(&low), "{low}");
        let (low, high) = let_through(10);
        assert_eq!(high, 600, "at most half of all, which is within the seven tenths of low worth");
        assert!(low > 300, "{low}");
    }
}
