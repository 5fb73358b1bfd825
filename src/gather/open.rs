//! One open gather: what has come, from whom, and when it is due.

use super::decide::{Standing, best_stop};
use super::grid::{BINS, Grid};
use super::learner::Learner;
use super::survival::{Belief, Seen};
use super::worth::Worth;
use super::{Key, ROUNDING_MS, Why};
use crate::terms::Member;
use std::collections::BTreeMap;

/// So many answers lately are taken for a curve that still rises; fewer say nothing.
const RISING: u32 = 3;

/// A member's part.
#[derive(Clone, Copy, Default)]
struct Part {
    /// What the division gives it, and with its slack.
    fair: u32,
    most: u32,
    came: u32,
    gone: bool,
}

/// A gather that would be closed but waits longer on purpose.
#[derive(Clone, Copy)]
pub struct Look {
    /// Worth less price when it would have been closed.
    pub net: f64,
    /// Taken from the balance for it.
    pub spent: f64,
}

pub struct Open {
    pub key: Key,
    pub opened_at: f64,
    pub expected: u32,
    pub planned_ms: f64,
    /// Closed then unless something changes, ms since the opening.
    pub due_ms: f64,
    /// To wait longer once it is due.
    pub explore: bool,
    pub look: Option<Look>,
    pub learned: bool,
    /// Nothing more can come: since when, and why.
    pub over: Option<(f64, Why)>,
    parts: BTreeMap<Member, Part>,
    came: Vec<u32>,
    given_up: Vec<(f64, u32)>,
    arrived: u32,
    lost: u32,
    decided_at: u32,
}

impl Open {
    pub fn new(now: f64, key: Key, expected: u32, members: &[Member], slack: f64) -> Self {
        let mut open = Open {
            key,
            opened_at: now,
            expected,
            planned_ms: 0.0,
            due_ms: 0.0,
            explore: false,
            look: None,
            learned: true,
            over: (expected == 0 || members.is_empty()).then_some((0.0, Why::GivenUp)),
            parts: BTreeMap::new(),
            came: vec![0; BINS],
            given_up: Vec::new(),
            arrived: 0,
            lost: 0,
            decided_at: 0,
        };
        open.allot(members.iter().map(|&m| (m, 1.0)), slack);
        open
    }

    /// Divides what is expected among the members by weight; nobody's part falls below what came from it. What
    /// was given up with a member that left is expected from the others again. A part may be exceeded by `slack`
    /// square roots of it.
    pub fn allot(&mut self, weights: impl Iterator<Item = (Member, f64)> + Clone, slack: f64) {
        let weight = |w: f64| if w.is_finite() { w.max(0.0) } else { 0.0 };
        let all = weights.clone().map(|(_, w)| weight(w)).sum::<f64>();
        if all <= 0.0 {
            return;
        }
        for part in self.parts.values_mut() {
            (part.fair, part.most) = (part.came, part.came);
        }
        for (member, w) in weights {
            let part = self.parts.entry(member).or_default();
            part.gone = false;
            let fair = f64::from(self.expected) * weight(w) / all;
            part.fair = part.came.max((fair - 1e-6).ceil() as u32);
            part.most = part.came.max((fair + slack * fair.sqrt() - 1e-6).ceil() as u32);
        }
        if self.over.is_none() {
            self.lost = 0;
            self.given_up.clear();
        }
    }

    /// So many of a member's answers have come by now, all told. False: nothing new.
    pub fn arrived(&mut self, now: f64, member: Member, total: u32, grid: &Grid) -> bool {
        let Some(part) = self.parts.get_mut(&member).filter(|p| !p.gone) else { return false };
        let room = self.expected - self.arrived - self.lost;
        let new = total.min(part.most).saturating_sub(part.came).min(room);
        if new == 0 || self.over.is_some() {
            return false;
        }
        part.came += new;
        self.arrived += new;
        let at = now - self.opened_at;
        self.came[grid.bin(at)] += new;
        self.end_if_none_out(at);
        true
    }

    /// Nothing more will come from a member.
    pub fn give_up(&mut self, now: f64, member: Member) -> bool {
        let Some(part) = self.parts.get_mut(&member).filter(|p| !p.gone) else { return false };
        part.gone = true;
        let left = part.fair.saturating_sub(part.came).min(self.expected - self.arrived - self.lost);
        self.lost += left;
        let at = now - self.opened_at;
        self.given_up.push((at, left));
        self.end_if_none_out(at);
        true
    }

    fn end_if_none_out(&mut self, at: f64) {
        if self.over.is_none() && self.arrived + self.lost >= self.expected {
            self.over = Some((at, if self.lost == 0 { Why::Whole } else { Why::GivenUp }));
            self.due_ms = at;
        }
    }

    pub fn standing(&self, now: f64) -> Standing {
        Standing {
            at_ms: (now - self.opened_at).max(0.0),
            expected: self.expected,
            arrived: self.arrived,
            out: self.expected - self.arrived - self.lost,
        }
    }

    pub fn complete(&self) -> f64 {
        f64::from(self.arrived) / f64::from(self.expected.max(1))
    }

    /// Whether so much has come since the last decision that another may come out otherwise.
    pub fn news(&self) -> bool {
        self.look.is_none() && self.arrived - self.decided_at > self.expected / 64
    }

    /// Sets when it is due, from what has come: within `reach` of the plan, later if it still rises, never
    /// beyond the cap.
    pub fn decide(&mut self, now: f64, belief: &Belief, worth: &Worth, grid: &Grid, reach: f64, cap_ms: f64) {
        self.decided_at = self.arrived;
        if self.over.is_some() {
            return;
        }
        let standing = self.standing(now);
        let best = best_stop(&standing, belief, worth, grid);
        let due = best.clamp(self.planned_ms / reach, self.planned_ms * reach).max(standing.at_ms);
        let later = due > standing.at_ms + ROUNDING_MS;
        let due = if later { due } else { due + self.rising_ms(standing.at_ms, worth, grid) };
        self.due_ms = due.min(cap_ms);
    }

    /// How long the worth has lately risen faster than its price, ms; 0: it does not.
    fn rising_ms(&self, at_ms: f64, worth: &Worth, grid: &Grid) -> f64 {
        let bin = grid.bin(at_ms);
        let first = bin.saturating_sub(1);
        let (since, came) = (at_ms - grid.edge(first), self.came[first..=bin].iter().sum::<u32>());
        let before = f64::from(self.arrived - came) / f64::from(self.expected.max(1));
        let gain = worth.drawn(self.complete()) - worth.drawn(before);
        if came >= RISING && gain > worth.price(since) { since } else { 0.0 }
    }

    /// What was seen of it, for learning.
    pub fn seen(&self, closed_ms: f64, grid: &Grid) -> Seen {
        let out = self.expected - self.arrived - self.lost;
        Seen::of_gather(&self.came, &self.given_up, out, closed_ms, Learner::weight(self.expected), grid)
    }
}
