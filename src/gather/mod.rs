//! Learned deadlines for partial results.
//!
//! A *gather* is work scattered to many members whose joint result is useful before it is whole: a job of a
//! booking, or a round of the control plane. [`Gathers`] learns for each [`Key`] when answers come, and closes a
//! gather when waiting for the rest costs more than it brings; [`Jobs`] hosts it for the booked occurrences. A
//! decision module: no I/O, no clock, no thread; times are milliseconds on the host's monotonic clock. [`Board`] lies
//! between the control thread, where jobs are decided, and the traffic thread, where their set-ups are counted.

mod board;
mod decide;
mod grid;
mod jobs;
mod learner;
mod open;
mod settings;
mod survival;
#[cfg(test)]
mod tests;
mod worth;

pub use board::{Board, Count, Job, Posted, Refused, Stand, Tally};
pub use jobs::{JobEffect, JobEvent, JobPhase, Jobs, Occurrence, Report};
pub use settings::{GatherSettings, Prior, Settings};

use crate::terms::Member;
use decide::{Standing, best_stop};
use grid::Grid;
use learner::Learner;
use open::{Look, Open};
use serde::Serialize;
use std::collections::BTreeMap;
use survival::Belief;
use worth::Worth;

/// What is due within so short a time is due now: the sum of two times is not exact, and a host that asks at the
/// very time it was told must not be sent back to it.
const ROUNDING_MS: f64 = 0.001;

/// An open gather, by the host's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct GatherId(pub u64);

/// What is learned together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Key {
    /// A job's set-ups, by class and site; no site: all of them.
    Job { class: String, site: Option<String> },
    /// A round, by its kind and the size of the fleet in powers of two.
    Round { kind: String, size: u32 },
}

impl Key {
    /// The key of a round of this kind over so many members.
    pub fn round(kind: &str, members: usize) -> Key {
        Key::Round { kind: kind.to_string(), size: members.max(1).ilog2() }
    }
}

/// Why a gather is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// All came.
    Whole,
    /// All came but those of members given up.
    GivenUp,
    /// Waiting on would have cost more than it was expected to bring.
    Deadline,
    /// It was open for the longest time allowed.
    Cap,
}

/// A gather that is over.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Closed {
    pub id: GatherId,
    pub key: Key,
    /// Share of the expected answers that came, 0 to 1.
    pub complete: f64,
    /// What that is worth by the operator's curve.
    pub worth: f64,
    /// The worth less the price of the time waited.
    pub net: f64,
    /// Time open, ms.
    pub waited_ms: f64,
    /// Time open beyond the deadline that was planned at the start, ms; 0 if closed before.
    pub lateness_ms: f64,
    /// It waited longer on purpose.
    pub explored: bool,
    pub why: Why,
}

/// What a key has come to, for the operators' figures.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figures {
    pub key: Key,
    pub gathers: u64,
    pub whole: u64,
    pub at_deadline: u64,
    pub at_cap: u64,
    /// Mean over all gathers of the key: share complete, worth less price, time open in ms.
    pub mean_complete: f64,
    pub mean_net: f64,
    pub mean_waited_ms: f64,
    /// Gathers that waited longer on purpose, and what that cost in worth; what it may cost from now on.
    pub explored: u64,
    pub explore_cost: f64,
    pub explore_balance: f64,
    /// The planned deadline, ms since the opening; none before the first gather.
    pub planned_ms: Option<f64>,
    /// Half, and 99 in 100, of the answers come within this, ms; none: not within the cap.
    pub median_ms: Option<f64>,
    pub p99_ms: Option<f64>,
    /// It goes otherwise than usual at present.
    pub suspicious: bool,
    /// Lasting changes taken over, fault windows that passed, gathers put aside.
    pub changes: u32,
    pub faults: u32,
    pub put_aside: u32,
}

/// One key's learner with what its gathers came to.
struct Known {
    learner: Learner,
    used_at: f64,
    gathers: u64,
    whole: u64,
    at_deadline: u64,
    at_cap: u64,
    complete: f64,
    net: f64,
    waited_ms: f64,
    explored: u64,
    explore_cost: f64,
}

/// All gathers of one kind (jobs or rounds), and what was learned of them.
pub struct Gathers {
    settings: Settings,
    worth: Worth,
    grid: Grid,
    prior: Belief,
    slack: f64,
    rng: fastrand::Rng,
    open: BTreeMap<GatherId, Open>,
    known: BTreeMap<Key, Known>,
}

impl Gathers {
    /// From checked settings ([`Settings::check`]); the seed draws which gathers wait longer on purpose.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let grid = Grid::new(settings.cap_ms);
        Gathers {
            worth: Worth::new(&settings.worth, settings.least_share, settings.price_per_s),
            prior: Belief::of_prior(&settings.prior, &grid),
            grid,
            settings,
            slack: 0.0,
            rng: fastrand::Rng::with_seed(seed),
            open: BTreeMap::new(),
            known: BTreeMap::new(),
        }
    }

    /// A member's part may be exceeded by so many square roots of it. Without this by none.
    #[must_use]
    pub fn with_slack(self, slack: f64) -> Self {
        Gathers { slack, ..self }
    }

    /// Opens a gather that expects so many answers, in even parts from these members. A gather already open
    /// under the id is dropped unlearned. Returns the planned deadline, ms on the host's clock.
    pub fn open(&mut self, now: f64, id: GatherId, key: Key, expected: u32, members: &[Member]) -> f64 {
        let mut open = Open::new(now, key, expected, members, self.slack);
        self.know(now, &open.key);
        if let Some(known) = self.known.get_mut(&open.key) {
            let standing = Standing { at_ms: 0.0, expected, arrived: 0, out: expected };
            let best = best_stop(&standing, known.learner.belief(), &self.worth, &self.grid);
            open.planned_ms = known.learner.plan(best.max(self.grid.edge(1)), &self.settings);
            open.explore = known.learner.looks(self.rng.f64(), &self.settings);
        }
        if open.over.is_none() {
            open.due_ms = open.planned_ms;
        }
        let deadline = now + open.planned_ms;
        self.open.insert(id, open);
        deadline
    }

    /// Divides what a gather expects anew, by weight; a member not named keeps what has come from it, and
    /// what was given up is expected from those named.
    pub fn allot(&mut self, id: GatherId, weights: &[(Member, f64)]) {
        if let Some(open) = self.open.get_mut(&id) {
            open.allot(weights.iter().copied(), self.slack);
        }
    }

    /// Nothing is learned from this one.
    pub fn unlearned(&mut self, id: GatherId) {
        if let Some(open) = self.open.get_mut(&id) {
            open.learned = false;
        }
    }

    /// So many of a member's answers have come by now, **all told**: telling a number twice, or an older one
    /// later, changes nothing. What exceeds the member's part is not counted. Returns whether any was counted.
    pub fn arrived(&mut self, now: f64, id: GatherId, member: Member, total: u32) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        let counted = open.arrived(now, member, total, &self.grid);
        if counted && open.news() {
            self.decide(now, id);
        }
        counted
    }

    /// Nothing more will come from a member (it crashed or left): its rest is waited for no longer, and counts as
    /// out up to now in what is learned. Returns whether it was expected.
    pub fn give_up(&mut self, now: f64, id: GatherId, member: Member) -> bool {
        let gone = self.open.get_mut(&id).is_some_and(|open| open.give_up(now, member));
        if gone {
            self.decide(now, id);
        }
        gone
    }

    /// Drops an open gather without a result; nothing is learned from it.
    pub fn cancel(&mut self, id: GatherId) -> bool {
        self.open.remove(&id).is_some()
    }

    /// When an open gather is closed if nothing else comes, ms on the host's clock.
    pub fn deadline(&self, id: GatherId) -> Option<f64> {
        self.open.get(&id).map(|open| open.opened_at + open.due_ms)
    }

    /// Share complete of an open gather, 0 to 1.
    pub fn complete(&self, id: GatherId) -> Option<f64> {
        self.open.get(&id).map(Open::complete)
    }

    /// The earliest time at which [`Gathers::poll`] may close one.
    pub fn next_due(&self) -> Option<f64> {
        self.open.values().map(|o| o.opened_at + o.due_ms).min_by(f64::total_cmp)
    }

    /// Closes what is due, in order of the ids.
    pub fn poll(&mut self, now: f64, out: &mut Vec<Closed>) {
        let due = |o: &Open| o.opened_at + o.due_ms <= now + ROUNDING_MS;
        let ids: Vec<GatherId> = self.open.iter().filter(|(_, o)| due(o)).map(|(id, _)| *id).collect();
        for id in ids {
            if self.over(now, id) {
                out.extend(self.close(now, id));
            }
        }
    }

    /// What every key has come to, in order of the keys.
    pub fn figures(&self) -> Vec<Figures> {
        self.known.iter().map(|(key, known)| self.figures_of(key, known)).collect()
    }

    fn figures_of(&self, key: &Key, known: &Known) -> Figures {
        let (learner, n) = (&known.learner, known.gathers.max(1) as f64);
        Figures {
            key: key.clone(),
            gathers: known.gathers,
            whole: known.whole,
            at_deadline: known.at_deadline,
            at_cap: known.at_cap,
            mean_complete: known.complete / n,
            mean_net: known.net / n,
            mean_waited_ms: known.waited_ms / n,
            explored: known.explored,
            explore_cost: known.explore_cost,
            explore_balance: learner.balance(),
            planned_ms: learner.planned_ms(),
            median_ms: learner.belief().quantile_ms(0.5, &self.grid),
            p99_ms: learner.belief().quantile_ms(0.99, &self.grid),
            suspicious: learner.suspicious(),
            changes: learner.changes,
            faults: learner.faults,
            put_aside: learner.put_aside,
        }
    }

    /// Makes room for a key and marks it used.
    fn know(&mut self, now: f64, key: &Key) {
        if let Some(known) = self.known.get_mut(key) {
            known.used_at = now;
            return;
        }
        if self.known.len() >= self.settings.max_keys {
            let oldest = self.known.iter().min_by(|a, b| a.1.used_at.total_cmp(&b.1.used_at));
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.known.remove(&oldest);
            }
        }
        let known = Known {
            learner: Learner::new(&self.prior, &self.settings, &self.worth),
            used_at: now,
            gathers: 0,
            whole: 0,
            at_deadline: 0,
            at_cap: 0,
            complete: 0.0,
            net: 0.0,
            waited_ms: 0.0,
            explored: 0,
            explore_cost: 0.0,
        };
        self.known.insert(key.clone(), known);
    }

    /// Decides anew when an open gather is due.
    fn decide(&mut self, now: f64, id: GatherId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let belief = self.known.get(&open.key).map_or(&self.prior, |k| k.learner.belief());
        open.decide(now, belief, &self.worth, &self.grid, self.settings.reach, self.settings.cap_ms);
    }

    /// Whether a gather that is due is to be closed now; if not, it has a later time.
    fn over(&mut self, now: f64, id: GatherId) -> bool {
        let looking = self.open.get(&id).is_none_or(|o| o.over.is_some() || o.look.is_some());
        if looking {
            return true;
        }
        self.decide(now, id);
        let Some(open) = self.open.get_mut(&id) else { return false };
        let at = now - open.opened_at;
        if open.due_ms > at + ROUNDING_MS {
            return false;
        }
        if let Some(known) = self.known.get_mut(&open.key).filter(|_| open.explore) {
            let spent = known.learner.spend();
            let until = (at + self.worth.buys_ms(spent)).min(self.settings.cap_ms);
            let net = self.worth.of(open.complete()) - self.worth.price(at);
            open.look = Some(Look { net, spent });
            open.due_ms = until;
        }
        open.due_ms <= at + ROUNDING_MS
    }

    fn close(&mut self, now: f64, id: GatherId) -> Option<Closed> {
        let open = self.open.remove(&id)?;
        let (waited_ms, why) = match open.over {
            Some(over) => over,
            None if now - open.opened_at >= self.settings.cap_ms => (now - open.opened_at, Why::Cap),
            None => (now - open.opened_at, Why::Deadline),
        };
        let complete = open.complete();
        let worth = self.worth.of(complete);
        let net = worth - self.worth.price(waited_ms);
        if let Some(known) = self.known.get_mut(&open.key).filter(|_| open.expected > 0) {
            known.gathers += 1;
            known.whole += u64::from(why == Why::Whole);
            known.at_deadline += u64::from(why == Why::Deadline);
            known.at_cap += u64::from(why == Why::Cap);
            known.complete += complete;
            known.net += net;
            known.waited_ms += waited_ms;
            let mut given_back = 0.0;
            if let Some(look) = open.look {
                let cost = (look.net - net).max(0.0);
                known.explored += 1;
                known.explore_cost += cost;
                given_back = (look.spent - cost).max(0.0);
            }
            known.learner.earn(given_back, worth, &self.settings, &self.worth);
            if open.learned {
                known.learner.learn(open.seen(waited_ms, &self.grid), &self.prior, &self.settings);
            }
        }
        Some(Closed {
            id,
            complete,
            worth,
            net,
            waited_ms,
            lateness_ms: (waited_ms - open.planned_ms).max(0.0),
            explored: open.look.is_some(),
            why,
            key: open.key,
        })
    }
}
