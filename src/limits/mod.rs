//! Fleet limits: what one border controller may add to a call server's load beyond its first attempts, so that
//! the sum over a fleet that shares nothing stays bounded when a call server is weakest.
//!
//! Sans-I/O like the decision module: times are milliseconds on the engine's clock, randomness comes from a
//! seed, and nothing here reads a clock or touches a socket. The engine asks before a second attempt
//! ([`Limits::may_retry`]) and before it dials a call server again that could not be reached
//! ([`Limits::redial_after`]); percent blocking keeps deciding *b*, nothing of it moves here.
//!
//! Four parts, each of its own file: a retry budget per call server (`budget`), the shedding of first attempts of the
//! lowest worth once the budgets shed too much (`gate`), reconnect back-off with decorrelated jitter (`backoff`), and
//! a fleet-wide bound on dials to a call server that is down (`pacing`).

mod backoff;
mod budget;
mod gate;
mod pacing;
mod settings;

pub use backoff::Backoff;
pub use budget::RetryBudget;
pub use gate::FirstGate;
pub use pacing::Pacing;
use settings::BudgetSettings;
pub use settings::LimitSettings;

use crate::interface::ServerId;
use std::collections::HashMap;

/// What the limits did, for operators' figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shed {
    /// Second attempts refused by a call server's retry budget.
    pub retries: u64,
    /// Second attempts let through.
    pub retries_sent: u64,
    /// First attempts counted.
    pub firsts: u64,
    /// First attempts shed, the lowest worth first.
    pub firsts_shed: u64,
}

/// The limits of one process: a budget and a back-off per call server, one pacing for all.
#[derive(Debug)]
pub struct Limits {
    settings: LimitSettings,
    budgets: HashMap<ServerId, RetryBudget>,
    backoffs: HashMap<ServerId, Backoff>,
    gate: FirstGate,
    pacing: Pacing,
    seed: u64,
    shed: Shed,
}

impl Limits {
    /// Limits under these settings; `seed` is the process's own, so that processes differ in their jitter and
    /// phase.
    pub fn new(settings: LimitSettings, seed: u64) -> Self {
        let pacing = Pacing::new(settings.probes.fleet_per_s, seed);
        let gate = FirstGate::new(&settings.first_attempts, settings.retry_budget.window_ms, seed);
        Limits {
            settings,
            gate,
            budgets: HashMap::new(),
            backoffs: HashMap::new(),
            pacing,
            seed,
            shed: Shed::default(),
        }
    }

    pub fn settings(&self) -> &LimitSettings {
        &self.settings
    }

    /// What was shed and let through so far.
    pub fn shed(&self) -> Shed {
        self.shed
    }

    fn budget(&mut self, server: ServerId) -> &mut RetryBudget {
        let settings = &self.settings.retry_budget;
        self.budgets.entry(server).or_insert_with(|| RetryBudget::new(settings))
    }

    /// Whether a first attempt of a call of this worth may go out at `now`, ms, wherever it goes. One that may not is
    /// shed: its call gets its final answer at once.
    pub fn admits_first(&mut self, worth: f64, now: f64) -> bool {
        let admitted = self.gate.admits(worth, now);
        self.shed.firsts_shed += u64::from(!admitted);
        admitted
    }

    /// A first attempt goes to this call server at `now`, ms: it adds to the budget of second attempts.
    pub fn first_sent(&mut self, server: ServerId, now: f64) {
        self.shed.firsts += 1;
        self.budget(server).first(now);
    }

    /// Whether a second (or later) attempt of a call of this worth may go to this call server at `now`, ms; if so it
    /// is counted as sent. One that may not is shed: its call gets its final answer at once. Of a budget that runs
    /// short, part is kept for calls worth more, as far as such calls come. `fleet` is the number of border
    /// controllers in front of it, this one included.
    pub fn may_retry(&mut self, server: ServerId, worth: f64, now: f64, fleet: u32) -> bool {
        let BudgetSettings { kept, ratio, .. } = self.settings.retry_budget;
        let above = self.gate.above(worth, now);
        let kept = kept * if ratio > 0.0 { (above / ratio).min(1.0) } else { above };
        let allowed = self.budget(server).try_retry(now, kept, fleet);
        if allowed {
            self.shed.retries_sent += 1;
        } else {
            self.shed.retries += 1;
            self.gate.retry_shed(worth, now);
        }
        allowed
    }

    /// The advice to stay away given with a shed retry, ms, no longer than callers heed (`stay_away_max_ms`).
    pub fn stay_away_ms(&self, stay_away_max_ms: f64) -> f64 {
        self.settings.retry_budget.stay_away_ms.min(stay_away_max_ms).max(0.0)
    }

    /// A call server could not be reached (again) at `now`: in how many ms to dial it next. `fleet` is the
    /// number of border controllers in front of it, this one included (the settings' `siblings`).
    pub fn redial_after(&mut self, server: ServerId, now: f64, fleet: u32) -> f64 {
        let (settings, seed) = (&self.settings.redial, self.seed);
        let backoff = self.backoffs.entry(server).or_insert_with(|| Backoff::new(settings, seed ^ server.0));
        let gap = backoff.next_gap();
        self.pacing.next_dial(server, now, now + gap, fleet) - now
    }

    /// The call server was reached: its back-off starts afresh.
    pub fn reached(&mut self, server: ServerId) {
        if let Some(backoff) = self.backoffs.get_mut(&server) {
            backoff.reset();
        }
    }

    /// The list tells that another process of a call server started: its back-off and pacing start afresh, and
    /// it is dialled within this many ms, a jitter of up to three times the base, without waiting for its turn
    /// in the pacing; each process finds the new one on its own.
    pub fn restarted(&mut self, server: ServerId) -> f64 {
        self.backoffs.remove(&server);
        self.pacing.forget(server);
        let (settings, seed) = (&self.settings.redial, self.seed);
        let backoff = self.backoffs.entry(server).or_insert_with(|| Backoff::new(settings, seed ^ server.0));
        let gap = backoff.next_gap();
        backoff.reset();
        gap
    }

    /// A call server left the list: what was kept of it goes.
    pub fn forget(&mut self, server: ServerId) {
        self.budgets.remove(&server);
        self.backoffs.remove(&server);
        self.pacing.forget(server);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_are_shed_once_the_budget_is_spent_and_counted() {
        let mut limits = Limits::new(LimitSettings::default(), 7);
        let s = ServerId(1);
        for i in 0..100 {
            limits.first_sent(s, i as f64 * 10.0);
        }
        let sent = (0..100).filter(|i| limits.may_retry(s, 1.0, 1000.0 + *i as f64, 1)).count() as u64;
        let shed = limits.shed();
        assert_eq!((shed.firsts, shed.retries_sent, shed.retries), (100, sent, 100 - sent));
        assert!(sent < 100 && sent > 0, "{sent} of 100 retries sent");
    }

    #[test]
    fn a_short_budget_serves_the_dear_calls_first() {
        let mut limits = Limits::new(LimitSettings::default(), 7);
        let s = ServerId(1);
        let mut sent = [0, 0];
        // A second for each of 3000 calls in 30 s, every third of worth 3, and every second call wants one.
        for i in 0..3000u32 {
            let (now, dear) = (f64::from(i) * 10.0, i % 3 == 0);
            let worth = if dear { 3.0 } else { 1.0 };
            limits.admits_first(worth, now);
            limits.first_sent(s, now);
            if i % 2 == 0 {
                sent[usize::from(dear)] += u32::from(limits.may_retry(s, worth, now, 1));
            }
        }
        // 500 dear calls want one and 1000 cheap ones; the budget has some 330.
        assert!(sent[1] > 5 * sent[0], "{sent:?}");
        assert!(sent[0] + sent[1] <= 340, "{sent:?}");
    }

    #[test]
    fn dials_of_a_server_that_stays_down_spread_out_and_start_afresh_when_reached() {
        let mut limits = Limits::new(LimitSettings::default(), 7);
        let s = ServerId(3);
        let gaps: Vec<f64> = (0..12).map(|i| limits.redial_after(s, i as f64 * 10_000.0, 1)).collect();
        // The back-off's cap, and at most one gap of the pacing (2 a second for a fleet of one) to find its phase.
        let most = limits.settings().redial.cap_ms + 500.0;
        assert!(gaps.iter().all(|&g| g >= 0.0 && g <= most), "{gaps:?}");
        assert!(gaps[8..].iter().sum::<f64>() > gaps[..4].iter().sum::<f64>(), "{gaps:?}");
        limits.reached(s);
        assert!(limits.redial_after(s, 200_000.0, 1) <= limits.settings().redial.base_ms * 3.0 + 500.0);
    }

    #[test]
    fn a_restart_told_by_the_list_is_dialled_soon_whatever_the_fleet() {
        let mut limits = Limits::new(LimitSettings::default(), 9);
        let s = ServerId(2);
        for i in 0..20 {
            limits.redial_after(s, f64::from(i) * 1000.0, 300);
        }
        let base = limits.settings().redial.base_ms;
        let soon = limits.restarted(s);
        assert!((base..=3.0 * base).contains(&soon), "{soon}");
        assert!(limits.redial_after(s, 30_000.0, 300) >= 0.0);
    }

    #[test]
    fn stay_away_is_no_longer_than_callers_heed() {
        let limits = Limits::new(LimitSettings::default(), 1);
        assert_eq!(limits.stay_away_ms(0.0), 0.0);
        assert!(limits.stay_away_ms(1e9) > 0.0);
    }
}
