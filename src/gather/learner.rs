//! What is known of one key: of usual days, of the last few gathers, and which of the two holds.
//!
//! Every gather is weighed before it is learned: by how much was it likelier under what the last few showed than
//! under the usual? The sum of that (CUSUM of the log likelihood ratio, never below zero, each gather bounded)
//! raises a suspicion. While it stands the last few decide and the usual learns nothing: a fault window that
//! passes leaves no trace in it, and a change that lasts replaces it.

use super::settings::Settings;
use super::survival::{Belief, Seen};
use super::worth::Worth;
use std::collections::VecDeque;

/// A gather weighs as at most so many answers, so that a large one does not outweigh all others.
const MOST_ANSWERS: f64 = 32.0;
/// By so much for each answer the last few are better at any rate, as the prior weighs less in them, nats.
const ORDINARY: f64 = 1.0 / 32.0;
/// One gather moves the suspicion by at most so much, nats.
const ONE_GATHER: f64 = 4.0;
/// Suspicion stands above this, and ends once as much speaks for the usual: three odd gathers at the least.
const SUSPICIOUS: f64 = 10.0;
/// Gathers are put aside, not learned as usual, from this on.
const DOUBTFUL: f64 = 3.0;
/// So many gathers wait before they are learned as usual: those of a fault window that came before it was noticed
/// are among them, and are dropped.
const WAITING: usize = 4;
/// Gathers before anything can be told from the usual.
const WARM: u32 = 5;
/// The first gathers all wait longer, as far as the balance lasts.
const FIRST_LOOKS: u32 = 3;

pub struct Learner {
    usual: Seen,
    recent: Seen,
    waiting: VecDeque<Seen>,
    usual_belief: Belief,
    recent_belief: Belief,
    learned: u32,
    suspicion: f64,
    /// Set while suspicion stands: gathers since, and how much speaks for the usual again.
    odd: Option<(u32, f64)>,
    planned_ms: Option<f64>,
    balance: f64,
    pub changes: u32,
    pub faults: u32,
    pub put_aside: u32,
}

impl Learner {
    pub fn new(prior: &Belief, settings: &Settings, worth: &Worth) -> Self {
        Learner {
            usual: Seen::default(),
            recent: Seen::default(),
            waiting: VecDeque::with_capacity(WAITING + 1),
            usual_belief: prior.clone(),
            recent_belief: prior.clone(),
            learned: 0,
            suspicion: 0.0,
            odd: None,
            planned_ms: None,
            balance: most_balance(settings, worth),
            changes: 0,
            faults: 0,
            put_aside: 0,
        }
    }

    /// What a gather open now goes by.
    pub fn belief(&self) -> &Belief {
        if self.odd.is_some() { &self.recent_belief } else { &self.usual_belief }
    }

    pub fn suspicious(&self) -> bool {
        self.odd.is_some()
    }

    /// Moves the planned deadline towards `best_ms` by one step.
    pub fn plan(&mut self, best_ms: f64, settings: &Settings) -> f64 {
        let planned = match self.planned_ms {
            Some(last) => best_ms.clamp(last / settings.step, last * settings.step),
            None => best_ms,
        };
        self.planned_ms = Some(planned);
        planned
    }

    pub fn planned_ms(&self) -> Option<f64> {
        self.planned_ms
    }

    /// Whether the next gather waits longer on purpose: by `draw` (0 to 1), always at first, every other one
    /// under suspicion.
    pub fn looks(&self, draw: f64, settings: &Settings) -> bool {
        let share = if self.learned < FIRST_LOOKS {
            1.0
        } else if self.suspicious() {
            0.5
        } else {
            settings.explore_share
        };
        settings.explore_cost > 0.0 && settings.explore_share > 0.0 && draw < share
    }

    /// Takes what one longer wait may cost from the balance.
    pub fn spend(&mut self) -> f64 {
        let spent = self.balance / 2.0;
        self.balance -= spent;
        spent
    }

    /// Gives back what a longer wait did not cost, and a part of a gather's worth.
    pub fn earn(&mut self, given_back: f64, worth: f64, settings: &Settings, curve: &Worth) {
        let earned = given_back + settings.explore_cost * worth;
        self.balance = (self.balance + earned).min(most_balance(settings, curve));
    }

    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// A gather's answers each weigh so much.
    pub fn weight(expected: u32) -> f64 {
        (MOST_ANSWERS / f64::from(expected.max(1))).min(1.0)
    }

    /// Learns from a gather that was closed.
    pub fn learn(&mut self, seen: Seen, prior: &Belief, settings: &Settings) {
        let fade = |half_life: f64| 0.5f64.powf(1.0 / half_life);
        let odder = self.recent_belief.better_than(&self.usual_belief, &seen).clamp(-ONE_GATHER, ONE_GATHER);
        self.learned = self.learned.saturating_add(1);
        self.recent.learn(&seen, fade(settings.recent_half_life));
        if self.learned <= WARM {
            self.usual.learn(&seen, fade(settings.half_life));
        } else if let Some((gathers, usual_again)) = self.odd {
            let (gathers, usual_again) = (gathers + 1, (usual_again - odder).max(0.0));
            self.odd = Some((gathers, usual_again));
            if usual_again > SUSPICIOUS {
                self.faults += 1;
                (self.odd, self.suspicion) = (None, 0.0);
            } else if gathers >= settings.confirm {
                self.changes += 1;
                self.usual = self.recent.clone();
                (self.odd, self.suspicion) = (None, 0.0);
            } else {
                self.put_aside += 1;
            }
        } else {
            self.suspicion = (self.suspicion + odder - ORDINARY * seen.answers()).max(0.0);
            self.waiting.push_back(seen);
            if self.suspicion > SUSPICIOUS {
                self.odd = Some((0, 0.0));
                self.put_aside += self.waiting.len() as u32;
                self.waiting.clear();
            } else if self.waiting.len() > WAITING {
                let oldest = self.waiting.pop_front().unwrap_or_default();
                if self.suspicion < DOUBTFUL {
                    self.usual.learn(&oldest, fade(settings.half_life));
                } else {
                    self.put_aside += 1;
                }
            }
        }
        self.usual_belief = self.usual.belief(prior, settings.prior.weight);
        self.recent_belief = self.recent.belief(&self.usual_belief, settings.prior.weight);
    }
}

/// The balance is at most what would be earned in one half-life of whole gathers, and starts there.
fn most_balance(settings: &Settings, worth: &Worth) -> f64 {
    settings.explore_cost * settings.half_life * worth.of(1.0)
}
