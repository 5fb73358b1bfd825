//! Hosts this instance's parts of the fleet's budgets (`crate::shares`): what may be spent on an attempt or a dial, what
//! was asked for, and the refusals' advice. What is decided elsewhere is read from the exchange; nothing here waits.

mod held;
mod payment;
#[cfg(test)]
mod tests;

pub(super) use held::Paid;
pub(super) use payment::Payment;

use super::Engine;
use crate::interface::ServerId;
use crate::shares::{Exchange, Purse};
use crate::terms::{Budget, Spending};
use held::Held;
use std::collections::HashMap;
use std::sync::Arc;

/// A call server at which the module refuses more than this share of first set-ups has no room for second attempts.
const PRESSED: f64 = 0.05;
/// One that may not be dialled now is asked about again after this, ms.
const DIAL_AGAIN_MS: f64 = 300.0;
/// Advice to stay away is drawn from this part of the longest that callers heed up to all of it, so that those who
/// were turned away in one second don't come back in one.
const STAY_AWAY_FROM: f64 = 0.25;

/// Of one budget, for operators' figures.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BudgetFigures {
    pub name: String,
    /// This instance's rate (a second) and burst, part and floor together.
    pub per_s: f64,
    pub burst: f64,
    /// What was asked of it and paid, and asked and refused for want of it.
    pub spent: u64,
    pub refused: u64,
}

/// Of all budgets, and of the control plane that divides them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareFigures {
    pub budgets: Vec<BudgetFigures>,
    /// Second attempts refused because the call server was pressed.
    pub pressed: u64,
    pub control: crate::control::ControlFigures,
}

pub(super) struct Parts {
    exchange: Arc<Exchange>,
    seen: u64,
    purse: Purse,
    budgets: Arc<Vec<Budget>>,
    /// Spent and refused, by the budgets' order.
    counts: Vec<(u64, u64)>,
    /// The dearest that was to be paid of late, and when, by the budgets' order.
    dearest: Vec<(f64, f64)>,
    pressed: u64,
    /// Worth of the dearest class, where classes differ in it.
    dear_from: f64,
    /// The driver's monotonic clock, ms.
    now: f64,
    /// When a call server that may not be dialled is asked about again.
    dial_again: HashMap<ServerId, f64>,
    /// Attempts that wait for their budget.
    held: Vec<Held>,
    rng: fastrand::Rng,
}

impl Parts {
    fn new(exchange: Arc<Exchange>, members: u16, seed: u64, now: f64) -> Self {
        let budgets = exchange.snapshot().budgets.clone();
        Parts {
            exchange,
            seen: 0,
            purse: Purse::new(budgets.to_vec(), members, now),
            counts: vec![(0, 0); budgets.len()],
            dearest: vec![(0.0, f64::NEG_INFINITY); budgets.len()],
            budgets,
            pressed: 0,
            dear_from: f64::INFINITY,
            now,
            dial_again: HashMap::new(),
            held: Vec::new(),
            rng: fastrand::Rng::with_seed(seed ^ 0x5a17),
        }
    }

    /// Takes up what the control plane decided since.
    fn look(&mut self) {
        let Some(news) = self.exchange.news(&mut self.seen) else { return };
        if !Arc::ptr_eq(&news.budgets, &self.budgets) {
            let kept =
                |b: &Budget| self.budgets.iter().position(|old| old.id == b.id).map(|at| self.counts[at]);
            self.counts = news.budgets.iter().map(|b| kept(b).unwrap_or_default()).collect();
            self.dearest = vec![(0.0, f64::NEG_INFINITY); self.counts.len()];
            self.purse.budgets(self.now, &news.budgets);
            self.budgets = news.budgets.clone();
        }
        self.purse.take(self.now, &news.parts);
    }

    pub(super) fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    fn any(&self, spending: &Spending) -> bool {
        self.budgets.iter().any(|b| b.spending == *spending)
    }

    /// Dials to a call server that is down are paid for.
    pub(super) fn pace_dials(&self) -> bool {
        self.any(&Spending::Dials)
    }

    /// Second attempts are paid from the call servers' headroom: at a pressed one there is none.
    fn has_room(&self, share_refused: f64) -> bool {
        share_refused <= PRESSED || !self.any(&Spending::SecondAttempts)
    }

    /// Advice for a caller that is turned away, ms.
    pub(super) fn stay_away_ms(&mut self, most: f64) -> f64 {
        most * (STAY_AWAY_FROM + (1.0 - STAY_AWAY_FROM) * self.rng.f64())
    }

    fn figures(&mut self) -> ShareFigures {
        self.look();
        let (now, budgets) = (self.now, self.budgets.clone());
        let of = |(budget, &(spent, refused)): (&Budget, &(u64, u64))| {
            let (per_s, burst) = self.purse.room(now, budget.id);
            BudgetFigures { name: budget.name.clone(), per_s, burst, spent, refused }
        };
        let budgets = budgets.iter().zip(&self.counts).map(of).collect();
        ShareFigures { budgets, pressed: self.pressed, ..ShareFigures::default() }
    }
}

impl Engine {
    /// Turns on the fleet's budgets, of a fleet of so many configured members; `now` is the driver's monotonic time.
    #[must_use]
    pub fn with_shares(mut self, exchange: Arc<Exchange>, members: u16, seed: u64, now: f64) -> Self {
        self.shares = Some(Parts::new(exchange, members, seed, now));
        self.tell_worths();
        self
    }

    /// Calls of the dearest class are dear, where there are cheaper ones.
    pub(super) fn tell_worths(&mut self) {
        if let Some(shares) = self.shares.as_mut() {
            let most = self.worths.iter().copied().fold(0.0, f64::max);
            let differ = self.worths.iter().any(|&worth| worth < most);
            shares.dear_from = if differ { most } else { f64::INFINITY };
        }
    }

    /// The driver's monotonic time, ms, told before each step: parts lapse by it, whatever the Unix clock does.
    pub fn monotonic(&mut self, now: f64) {
        if let Some(shares) = self.shares.as_mut() {
            shares.now = shares.now.max(now);
        }
        self.jobs_now(now);
    }

    /// Whether this call server may be dialled now. One that is down is dialled only if it is paid for; else it is asked
    /// about again a little later.
    pub(super) fn may_dial(&mut self, server: ServerId) -> bool {
        if !self.fleet.is_down(server) {
            return true;
        }
        let (Some(shares), Some(s)) = (self.shares.as_mut(), self.fleet.servers.get(&server)) else {
            return true;
        };
        let payment = Payment {
            spending: Spending::Dials,
            server: &s.listing.name,
            site: s.listing.zone.as_deref(),
            class: None,
            number: None,
            worth: 1.0,
        };
        let pays = shares.pays(&payment);
        let again = self.now + DIAL_AGAIN_MS;
        if pays {
            shares.dial_again.remove(&server);
        } else if shares.dial_again.get(&server).is_none_or(|&at| at <= self.now) {
            shares.dial_again.insert(server, again);
            self.redial_at(server, again);
        }
        pays
    }

    pub(super) fn forget_dials(&mut self, server: ServerId) {
        if let Some(shares) = self.shares.as_mut() {
            shares.dial_again.remove(&server);
        }
    }

    pub(super) fn share_figures(&mut self) -> Option<ShareFigures> {
        self.shares.as_mut().map(Parts::figures)
    }
}
