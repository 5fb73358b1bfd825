//! The traffic side: a bucket for each budget, filled at the rate of this member's floor and part. It holds no more
//! than their bursts, starts empty, and a part that grows brings nothing but its rate; so whatever way parts move
//! between members, the fleet spends no more over any window than the whole's rate for it and its burst.

use crate::terms::{Budget, BudgetId, Part};

#[derive(Clone, Debug)]
struct Bucket {
    id: BudgetId,
    /// The static part.
    floor_per_ms: f64,
    floor_burst: f64,
    /// What the grantor gave; it lapses at `until`.
    part_per_ms: f64,
    part_burst: f64,
    until: f64,
    level: f64,
    at: f64,
}

impl Bucket {
    fn new(budget: &Budget, members: u16, now: f64) -> Self {
        let mut bucket = Bucket {
            id: budget.id,
            floor_per_ms: 0.0,
            floor_burst: 0.0,
            part_per_ms: 0.0,
            part_burst: 0.0,
            until: f64::NEG_INFINITY,
            level: 0.0,
            at: now,
        };
        bucket.floor(budget, members);
        bucket
    }

    fn floor(&mut self, budget: &Budget, members: u16) {
        let share = budget.floor.clamp(0.0, 1.0) / f64::from(members.max(1));
        self.floor_per_ms = budget.per_s * share / 1000.0;
        self.floor_burst = budget.burst * share;
    }

    /// Fills up to `now`: with the part while it holds, then without.
    fn fill(&mut self, now: f64, pace: f64) {
        if self.at < self.until {
            let held = now.min(self.until) - self.at;
            if held > 0.0 {
                let room = self.floor_burst + self.part_burst;
                self.level = (self.level + held * pace * (self.floor_per_ms + self.part_per_ms)).min(room);
                self.at = now.min(self.until);
            }
        }
        if now >= self.until && self.part_burst + self.part_per_ms > 0.0 {
            self.part_per_ms = 0.0;
            self.part_burst = 0.0;
            self.level = self.level.min(self.floor_burst);
        }
        if now > self.at {
            self.level = (self.level + (now - self.at) * pace * self.floor_per_ms).min(self.floor_burst);
            self.at = now;
        }
    }

    fn room(&self) -> f64 {
        self.floor_burst + self.part_burst
    }
}

/// One member's buckets.
#[derive(Clone, Debug)]
pub struct Purse {
    members: u16,
    /// Of the clock's time, what is surely true time.
    pace: f64,
    /// By number.
    buckets: Vec<Bucket>,
}

impl Purse {
    /// Empty buckets for these budgets; floors are split among so many members.
    #[must_use]
    pub fn new(budgets: Vec<Budget>, members: u16, now: f64) -> Self {
        let mut purse = Purse { members, pace: 1.0, buckets: Vec::new() };
        purse.budgets(now, &budgets);
        purse
    }

    /// Fills as much slower as this clock may run fast (the settings' `drift`): the bound holds in true time.
    #[must_use]
    pub fn with_drift(mut self, drift: f64) -> Self {
        self.pace = 1.0 / (1.0 + drift);
        self
    }

    /// The budgets are these from now on: what is there is kept as far as it fits, new ones start empty and without a
    /// part.
    pub fn budgets(&mut self, now: f64, budgets: &[Budget]) {
        let pace = self.pace;
        let mut old = std::mem::take(&mut self.buckets);
        for budget in budgets {
            let bucket = match old.iter().position(|b| b.id == budget.id) {
                Some(at) => {
                    let mut bucket = old.swap_remove(at);
                    bucket.fill(now, pace);
                    bucket.floor(budget, self.members);
                    bucket.level = bucket.level.min(bucket.room());
                    bucket
                }
                None => Bucket::new(budget, self.members, now),
            };
            self.buckets.push(bucket);
        }
        self.buckets.sort_by_key(|b| b.id);
    }

    /// The parts are these from now on, and no others.
    pub fn take(&mut self, now: f64, parts: &[Part]) {
        for bucket in &mut self.buckets {
            bucket.fill(now, self.pace);
            let part = parts.iter().find(|p| p.budget == bucket.id && p.until > now);
            bucket.part_per_ms = part.map_or(0.0, |p| p.per_s / 1000.0);
            bucket.part_burst = part.map_or(0.0, |p| p.burst);
            bucket.until = part.map_or(f64::NEG_INFINITY, |p| p.until);
            bucket.level = bucket.level.min(bucket.room());
        }
    }

    /// Spends one, if there is one at this time. A budget that is not known has none.
    pub fn spend(&mut self, now: f64, budget: BudgetId) -> bool {
        let Some(bucket) = self.filled(now, budget) else { return false };
        let can = bucket.level >= 1.0;
        if can {
            bucket.level -= 1.0;
        }
        can
    }

    /// What could be spent at once now.
    pub fn level(&mut self, now: f64, budget: BudgetId) -> f64 {
        self.filled(now, budget).map_or(0.0, |b| b.level)
    }

    /// The rate (per second) and the burst in force now, floor and part together.
    pub fn room(&mut self, now: f64, budget: BudgetId) -> (f64, f64) {
        self.filled(now, budget).map_or((0.0, 0.0), |b| ((b.floor_per_ms + b.part_per_ms) * 1000.0, b.room()))
    }

    fn filled(&mut self, now: f64, budget: BudgetId) -> Option<&mut Bucket> {
        let at = self.buckets.binary_search_by_key(&budget, |b| b.id).ok()?;
        let bucket = self.buckets.get_mut(at)?;
        bucket.fill(now, self.pace);
        Some(bucket)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::terms::{Epoch, Spending};

    const ID: BudgetId = BudgetId(0);

    fn purse(floor: f64) -> Purse {
        let budget = Budget {
            id: ID,
            name: "all".into(),
            spending: Spending::SetUps,
            server: None,
            site: None,
            class: None,
            number_prefix: None,
            per_s: 100.0,
            burst: 40.0,
            floor,
        };
        Purse::new(vec![budget], 4, 0.0)
    }

    fn part(per_s: f64, burst: f64, until: f64) -> Vec<Part> {
        vec![Part { budget: ID, per_s, burst, until, epoch: Epoch(1) }]
    }

    #[test]
    fn a_stopped_process_spends_nothing_of_a_part_that_lapsed_meanwhile() {
        let mut p = purse(0.2);
        p.take(0.0, &part(80.0, 32.0, 1000.0));
        assert_eq!(p.level(999.0, ID), 34.0);
        let mut late = p.clone();
        assert_eq!(late.level(5000.0, ID), 2.0, "the floor's burst is left");
        assert!(late.spend(5000.0, ID) && late.spend(5000.0, ID) && !late.spend(5000.0, ID));
        assert!((late.room(5000.0, ID).0 - 5.0).abs() < 1e-9);
        p.take(999.0, &part(10.0, 4.0, 1999.0));
        assert_eq!(p.level(999.0, ID), 6.0, "a part that shrinks takes what no longer fits");
        p.take(999.0, &part(80.0, 32.0, 1999.0));
        assert_eq!(p.level(999.0, ID), 6.0, "a part that grows brings nothing but its rate");
    }

    #[test]
    fn it_starts_empty_and_knows_no_other_budget() {
        let mut p = purse(0.2);
        assert!(!p.spend(0.0, ID), "a restart must not spend a burst again");
        assert!(p.spend(400.0, ID));
        assert!(!p.spend(400.0, BudgetId(3)));
        p.budgets(400.0, &[]);
        assert!(!p.spend(4000.0, ID));
    }
}
