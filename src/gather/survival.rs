//! When answers come: a product-limit (Kaplan-Meier) estimate on the grid's bins, with weights that fade.

use super::grid::{BINS, Grid};
use super::settings::Prior;

/// A belief about an answer's time.
#[derive(Clone, Debug)]
pub struct Belief {
    /// Chance that an answer still out at a bin's start comes within the bin.
    hazard: Box<[f64]>,
    /// Chance that an answer is still out at a bin's start; one more than there are bins.
    out: Box<[f64]>,
}

impl Belief {
    /// The operator's: log-logistic, as it needs no special function and has a long tail.
    pub fn of_prior(prior: &Prior, grid: &Grid) -> Self {
        let steep = 5.0f64.ln() / prior.spread.ln();
        let out = |ms: f64| prior.never + (1.0 - prior.never) / (1.0 + (ms / prior.median_ms).powf(steep));
        let hazard = |i| 1.0 - out(grid.edge(i + 1)) / out(grid.edge(i));
        Belief::of_hazards((0..BINS).map(hazard).collect())
    }

    fn of_hazards(hazard: Box<[f64]>) -> Self {
        let mut out = Vec::with_capacity(BINS + 1);
        out.push(1.0);
        out.extend(hazard.iter().scan(1.0, |left, h| {
            *left *= 1.0 - h;
            Some(*left)
        }));
        Belief { hazard, out: out.into() }
    }

    /// Chance that an answer is still out so long after the opening.
    pub fn out(&self, ms: f64, grid: &Grid) -> f64 {
        let bin = grid.bin(ms);
        self.out[bin] * (1.0 - self.hazard[bin]).powf(grid.passed(ms))
    }

    /// Chance that an answer is still out at a bin's start.
    pub fn out_at(&self, bin: usize) -> f64 {
        self.out[bin]
    }

    /// The time by which this share of all answers has come, ms; none: not within the cap.
    pub fn quantile_ms(&self, share: f64, grid: &Grid) -> Option<f64> {
        let bin = (0..=BINS).find(|&i| self.out[i] <= 1.0 - share + 1e-12)?;
        Some(grid.edge(bin))
    }

    /// How much likelier this belief makes what was seen than another does, nats for the seen weight.
    pub fn better_than(&self, other: &Belief, seen: &Seen) -> f64 {
        let chance = |h: f64| h.clamp(1e-4, 1.0 - 1e-4);
        let ln = |(bin, (&came, &at_risk)): (usize, (&f64, &f64))| {
            if at_risk <= 0.0 {
                return 0.0;
            }
            let (mine, theirs) = (chance(self.hazard[bin]), chance(other.hazard[bin]));
            came * (mine / theirs).ln() + (at_risk - came).max(0.0) * ((1.0 - mine) / (1.0 - theirs)).ln()
        };
        seen.came.iter().zip(seen.at_risk.iter()).enumerate().map(ln).sum()
    }
}

/// Answers by bin: how many came, and how many were out at its start and watched through it.
#[derive(Clone, Debug)]
pub struct Seen {
    came: Box<[f64]>,
    at_risk: Box<[f64]>,
}

impl Default for Seen {
    fn default() -> Self {
        Seen { came: vec![0.0; BINS].into(), at_risk: vec![0.0; BINS].into() }
    }
}

impl Seen {
    /// One gather's answers, each of this weight: those that came by bin, those given up as (time, count), and
    /// the number still out when it was closed. What never came counts as out up to the end of its watch only.
    pub fn of_gather(
        came: &[u32],
        given_up: &[(f64, u32)],
        still_out: u32,
        closed_ms: f64,
        weight: f64,
        grid: &Grid,
    ) -> Self {
        let mut seen = Seen::default();
        let mut left = still_out + given_up.iter().map(|g| g.1).sum::<u32>() + came.iter().sum::<u32>();
        for (bin, &count) in came.iter().enumerate().take(BINS) {
            if left == 0 {
                break;
            }
            seen.at_risk[bin] = f64::from(left) * weight;
            seen.came[bin] = f64::from(count) * weight;
            left -= count;
            for &(at, count) in given_up.iter().chain(&[(closed_ms, still_out)]) {
                if grid.bin(at) == bin {
                    seen.at_risk[bin] -= f64::from(count) * weight * (1.0 - grid.passed(at));
                    left -= count;
                }
            }
        }
        seen
    }

    /// How many answers were waited for, by weight.
    pub fn answers(&self) -> f64 {
        self.at_risk[0]
    }

    /// Fades what is known by `keep` and adds what was seen.
    pub fn learn(&mut self, new: &Seen, keep: f64) {
        for bin in 0..BINS {
            self.came[bin] = self.came[bin] * keep + new.came[bin];
            self.at_risk[bin] = self.at_risk[bin] * keep + new.at_risk[bin];
        }
    }

    /// The belief that follows, where `base` weighs as much as this many answers.
    pub fn belief(&self, base: &Belief, weight: f64) -> Belief {
        let hazard = |bin: usize| {
            let based = weight * base.out[bin] + 1e-9;
            let came = self.came[bin] + based * base.hazard[bin];
            (came / (self.at_risk[bin] + based)).clamp(0.0, 1.0)
        };
        Belief::of_hazards((0..BINS).map(hazard).collect())
    }
}
