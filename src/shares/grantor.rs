//! The grantor's rounds: ask everybody, divide with what came, grant what shrinks and what is free, and grant the rest
//! once what shrinks was acknowledged or has lapsed.

use super::divide::{Claim, divide};
use super::ledger::{Amount, Ledger};
use super::message::{Granted, Message, Reported};
use super::settings::ShareSettings;
use super::{Output, Sends};
use crate::terms::{Budget, BudgetId, Demand, Epoch, Member};

/// In one round a member is granted to so often at most after the division itself: it bounds the traffic.
const REGRANTS: u8 = 2;
/// A demand falls no faster than by this factor in a round; it rises at once.
const FALL: f64 = 0.25;
/// A member gains at least this share of its target, or is not granted to again in the round.
const LEAST_GAIN: f64 = 0.02;

#[derive(Clone, Copy, Debug, Default)]
struct Wish {
    asked: f64,
    worth: f64,
    /// In which round it was last told.
    round: u32,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    life: u32,
    /// The latest clock reading of this life.
    stamp: u64,
    heard_at: Option<f64>,
    gone: bool,
    /// The round whose report is coming in, and which pages of it are here.
    round: u32,
    pages: Vec<bool>,
    /// The last round whose report is complete.
    answered: u32,
    /// `wishes[i]` is of the grantor's `budgets[i]`.
    wishes: Vec<Wish>,
    adopted: Vec<BudgetId>,
    regrants: u8,
}

#[derive(Clone, Debug)]
struct Open {
    at: f64,
    waiting: Vec<Member>,
    expected: Vec<Member>,
    arrivals: Vec<(Member, f64)>,
}

#[derive(Clone, Debug)]
pub(super) struct Grantor {
    pub(super) epoch: Epoch,
    members: u16,
    lease_ms: f64,
    round_ms: f64,
    settled_at: f64,
    settled: bool,
    budgets: Vec<Budget>,
    peers: Vec<Peer>,
    ledger: Ledger,
    seq: u32,
    round: u32,
    opened_at: f64,
    open: Option<Open>,
    next_round: f64,
    /// What each member is to have, by budget, since the last division.
    targets: Vec<Vec<Amount>>,
    /// Grants that take something away and are not acknowledged yet.
    shrinking: Vec<(Member, u32)>,
    /// When what is free is granted though some still have to acknowledge.
    regrant_at: f64,
}

impl Grantor {
    pub(super) fn new(settings: &ShareSettings, epoch: Epoch, budgets: &[Budget], now: f64) -> Self {
        // Whatever an older grantor gave was asked for before this one began, and has lapsed a lease later.
        let settled_at = now + settings.lease_ms;
        let mut ledger = Ledger::new(settings.members, settled_at);
        ledger.budgets(budgets);
        let peer = Peer { wishes: vec![Wish::default(); budgets.len()], ..Peer::default() };
        Grantor {
            epoch,
            members: settings.members,
            lease_ms: settings.lease_ms,
            round_ms: settings.round_ms,
            settled_at,
            settled: false,
            budgets: budgets.to_vec(),
            peers: vec![peer; usize::from(settings.members)],
            ledger,
            seq: 0,
            round: 0,
            opened_at: now,
            open: None,
            next_round: now,
            targets: Vec::new(),
            shrinking: Vec::new(),
            regrant_at: f64::INFINITY,
        }
    }

    pub(super) fn budgets(&mut self, budgets: &[Budget]) {
        let old = std::mem::replace(&mut self.budgets, budgets.to_vec());
        let from: Vec<Option<usize>> =
            self.budgets.iter().map(|b| old.iter().position(|o| o.id == b.id)).collect();
        for peer in &mut self.peers {
            peer.wishes = from.iter().map(|at| at.map_or(Wish::default(), |at| peer.wishes[at])).collect();
        }
        self.targets.clear();
        self.ledger.budgets(budgets);
    }

    pub(super) fn due(&self, deadline_ms: f64) -> f64 {
        let close = self.open.as_ref().map_or(f64::INFINITY, |open| open.at + deadline_ms);
        let settled = if self.settled { f64::INFINITY } else { self.settled_at };
        self.next_round.min(close).min(self.regrant_at).min(settled).min(self.ledger.due())
    }

    pub(super) fn tick(&mut self, now: f64, deadline_ms: f64, sends: &mut Sends, out: &mut Vec<Output>) {
        let mut freed = self.ledger.lapse(now);
        if !self.settled && now >= self.settled_at {
            self.settled = true;
            freed = true;
        }
        if self.open.as_ref().is_some_and(|open| now >= open.at + deadline_ms || now >= self.next_round) {
            self.close(now, sends, out);
        } else if freed || now >= self.regrant_at {
            self.regrant(now, sends);
        }
        if now >= self.next_round {
            self.ask(now, sends, out);
        }
    }

    fn ask(&mut self, now: f64, sends: &mut Sends, out: &mut Vec<Output>) {
        self.round = self.round.wrapping_add(1);
        // After a pause the rounds start afresh: those missed are not made up for.
        let late = now - self.next_round;
        self.next_round =
            if late < self.round_ms { self.next_round + self.round_ms } else { now + self.round_ms };
        self.opened_at = now;
        let (epoch, round) = (self.epoch, self.round);
        let all = (0..self.members).map(Member);
        let expected: Vec<Member> = all.clone().filter(|&m| self.present(now, m)).collect();
        sends.extend(all.map(|to| (to, Message::Ask { epoch, round })));
        out.push(Output::RoundOpened { epoch, round, at: now, expected: expected.clone() });
        self.open = Some(Open { at: now, waiting: expected.clone(), expected, arrivals: Vec::new() });
    }

    /// Whether a member is there: heard within a lease and not gone. At first all are taken to be.
    fn present(&self, now: f64, member: Member) -> bool {
        let peer = &self.peers[usize::from(member.0)];
        !peer.gone && peer.heard_at.map_or(!self.settled, |at| now < at + self.lease_ms)
    }

    pub(super) fn heard(
        &mut self,
        now: f64,
        from: Member,
        message: &Message,
        sends: &mut Sends,
        out: &mut Vec<Output>,
    ) {
        if from.0 >= self.members {
            return;
        }
        match message {
            Message::Report { epoch, round, life, stamp, page, pages, lines }
                if *epoch == self.epoch && *round <= self.round =>
            {
                self.report(now, from, *life, *stamp, lines, *round);
                if self.page(from, *round, *page, *pages) {
                    self.arrived(now, from, *round, sends, out);
                }
            }
            Message::Ack { epoch, seq, life } if *epoch == self.epoch => {
                self.ledger.acknowledged(from, *life, *seq);
                let before = self.shrinking.len();
                self.shrinking.retain(|(m, s)| *m != from || s > seq);
                if before > 0 && self.shrinking.is_empty() {
                    self.regrant(now, sends);
                }
            }
            Message::Gone { epoch, life } if *epoch == self.epoch => {
                self.ledger.gone(from, *life);
                let peer = &mut self.peers[usize::from(from.0)];
                if peer.life == *life || peer.heard_at.is_none() {
                    peer.life = *life;
                    let first = !std::mem::replace(&mut peer.gone, true);
                    self.shrinking.retain(|(m, _)| *m != from);
                    if let Some(open) = &mut self.open {
                        open.waiting.retain(|m| *m != from);
                        open.expected.retain(|m| *m != from);
                    }
                    if first {
                        self.regrant(now, sends);
                    }
                }
            }
            _ => {}
        }
    }

    fn report(&mut self, now: f64, from: Member, life: u32, stamp: u64, lines: &[Reported], round: u32) {
        let peer = &mut self.peers[usize::from(from.0)];
        if peer.heard_at.is_none() || peer.life != life {
            let adopted = std::mem::take(&mut peer.adopted);
            let wishes = vec![Wish::default(); self.budgets.len()];
            *peer = Peer { life, wishes, adopted, regrants: REGRANTS, ..Peer::default() };
        }
        peer.heard_at = Some(now);
        peer.stamp = peer.stamp.max(stamp);
        for line in lines {
            if let Some((per_s, burst)) = line.old
                && now < self.settled_at
                && !peer.adopted.contains(&line.budget)
            {
                peer.adopted.push(line.budget);
                let amount = Amount { per_s: per_s.into(), burst: burst.into() };
                self.ledger.adopt(from, life, line.budget, amount, self.settled_at);
            }
            let Some(at) = self.budgets.iter().position(|b| b.id == line.budget) else { continue };
            let wish = &mut peer.wishes[at];
            // A page that comes late tells less than what is known.
            if wish.round <= round {
                let asked = f64::from(line.asked) / 1000.0;
                wish.asked = asked.max(if wish.round == round { 0.0 } else { wish.asked * FALL });
                wish.worth = f64::from(line.worth) / 1000.0;
                wish.round = round;
            }
        }
    }

    /// Notes a page; whether the report is complete by it.
    fn page(&mut self, from: Member, round: u32, page: u8, pages: u8) -> bool {
        let peer = &mut self.peers[usize::from(from.0)];
        if round < peer.round || page >= pages || peer.answered == round {
            return false;
        }
        if peer.round != round || peer.pages.len() != usize::from(pages) {
            peer.round = round;
            peer.pages = vec![false; usize::from(pages)];
        }
        peer.pages[usize::from(page)] = true;
        let whole = peer.pages.iter().all(|p| *p);
        if whole {
            peer.answered = round;
            // What is not in a whole report is not asked for.
            for wish in peer.wishes.iter_mut().filter(|w| w.round < round) {
                wish.asked *= FALL;
                wish.round = round;
            }
        }
        whole
    }

    fn arrived(&mut self, now: f64, from: Member, round: u32, sends: &mut Sends, out: &mut Vec<Output>) {
        let epoch = self.epoch;
        match &mut self.open {
            Some(open) if round == self.round => {
                open.arrivals.push((from, now - open.at));
                open.waiting.retain(|m| *m != from);
                if open.waiting.is_empty() {
                    self.close(now, sends, out);
                }
            }
            _ if round == self.round => {
                let after_ms = now - self.opened_at;
                out.push(Output::RoundLate { epoch, round, member: from, after_ms });
                // It was left out of the division's grants: what it held is renewed, and what is free goes to it.
                let peer = &mut self.peers[usize::from(from.0)];
                if peer.regrants > 0 {
                    peer.regrants -= 1;
                    self.grant(now, &[from], true, sends);
                }
            }
            _ => {}
        }
    }

    fn close(&mut self, now: f64, sends: &mut Sends, out: &mut Vec<Output>) {
        let Some(open) = self.open.take() else { return };
        let missing: Vec<Member> = open
            .expected
            .iter()
            .copied()
            .filter(|m| self.peers[usize::from(m.0)].answered != self.round)
            .collect();
        // One whose report was lost goes on asking for what it did; one that is silent for long is taken to be gone.
        let since = now - self.lease_ms / 2.0;
        for peer in self.peers.iter_mut().filter(|p| p.heard_at.is_none_or(|at| at < since)) {
            peer.wishes.iter_mut().for_each(|w| w.asked *= FALL);
        }
        self.divide(now);
        self.shrinking.clear();
        for (member, _) in &open.arrivals {
            self.peers[usize::from(member.0)].regrants = REGRANTS;
        }
        let here: Vec<Member> = open.arrivals.iter().map(|(member, _)| *member).collect();
        self.grant(now, &here, true, sends);
        self.regrant_at = if self.shrinking.is_empty() { f64::INFINITY } else { now + self.round_ms / 4.0 };
        let (epoch, round) = (self.epoch, self.round);
        let (arrivals, demand) = (open.arrivals, self.demand());
        out.push(Output::RoundClosed { epoch, round, at: now, arrivals, missing, demand });
    }

    /// What all members ask for, by budget; of those not heard now what is remembered.
    fn demand(&self) -> Vec<Demand> {
        let of = |(at, budget): (usize, &Budget)| {
            let (mut per_s, mut worth) = (0.0, 0.0);
            for wish in self.peers.iter().map(|peer| peer.wishes[at]) {
                per_s += wish.asked;
                worth += wish.asked * wish.worth;
            }
            Demand { budget: budget.id, per_s, worth: if per_s > 0.0 { worth / per_s } else { 0.0 } }
        };
        self.budgets.iter().enumerate().map(of).collect()
    }

    /// Sets what each member is to have.
    fn divide(&mut self, now: f64) {
        let present: Vec<Member> = (0..self.members).map(Member).filter(|&m| self.present(now, m)).collect();
        let mut targets = vec![vec![Amount::default(); self.budgets.len()]; self.peers.len()];
        for (at, budget) in self.budgets.iter().enumerate() {
            let each = budget.floor / f64::from(self.members);
            let (floor, floor_burst) = (budget.per_s * each, budget.burst * each);
            let claims: Vec<Claim> = present
                .iter()
                .map(|&member| {
                    let peer = &self.peers[usize::from(member.0)];
                    let Wish { asked, worth, .. } = peer.wishes[at];
                    let asked = (asked - floor).max(0.0);
                    Claim { member, asked, worth, given: self.ledger.given(member, peer.life, budget.id) }
                })
                .collect();
            let quantum = ((1.0 - floor_burst).max(0.0) * 1000.0).ceil() as u64;
            let whole = self.ledger.whole(budget.id);
            for (claim, target) in claims.iter().zip(divide(whole, quantum, self.round, &claims)) {
                targets[usize::from(claim.member.0)][at] = target;
            }
        }
        self.targets = targets;
    }

    pub(super) fn divided(&self, budget: BudgetId) -> Vec<(Member, f64)> {
        let Some(at) = self.budgets.iter().position(|b| b.id == budget) else { return Vec::new() };
        let floor = self.budgets[at].per_s * self.budgets[at].floor / f64::from(self.members);
        let of = |target: &Vec<Amount>| target.get(at).map_or(0.0, |t| t.per_s as f64 / 1000.0) + floor;
        (0..).map(Member).zip(self.targets.iter().map(of)).collect()
    }

    /// Grants to those of the last division that can have more by now.
    fn regrant(&mut self, now: f64, sends: &mut Sends) {
        self.regrant_at = f64::INFINITY;
        if !self.settled || self.targets.is_empty() || self.open.is_some() {
            return;
        }
        let able: Vec<Member> = (0..self.members)
            .map(Member)
            .filter(|&m| {
                let peer = &self.peers[usize::from(m.0)];
                peer.answered == self.round && peer.regrants > 0 && !peer.gone && self.lacks(m)
            })
            .collect();
        self.grant(now, &able, false, sends);
    }

    /// Whether a member is to have notably more of anything than it may hold now.
    fn lacks(&self, member: Member) -> bool {
        let at = usize::from(member.0);
        let much = |target: u64, had: u64| target as f64 * (1.0 - LEAST_GAIN) > had as f64;
        self.budgets.iter().zip(&self.targets[at]).any(|(budget, target)| {
            let had = self.ledger.reserved(member, self.peers[at].life, budget.id);
            much(target.per_s, had.per_s) || much(target.burst, had.burst)
        })
    }

    /// Grants to these members what they are to have, growth as far as it is free and in proportion where it is not
    /// enough for all. `renew`: every part, whether it grows or not.
    fn grant(&mut self, now: f64, to: &[Member], renew: bool, sends: &mut Sends) {
        if self.targets.is_empty() {
            return;
        }
        let shares: Vec<(Amount, Amount)> = (0..self.budgets.len())
            .map(|at| {
                let lacking = to.iter().fold(Amount::default(), |sum, &m| sum.plus(self.growth(m, at).1));
                (self.ledger.free(now, self.budgets[at].id), lacking)
            })
            .collect();
        let until = now + self.lease_ms;
        for &member in to {
            let peer = &self.peers[usize::from(member.0)];
            let (life, stamp) = (peer.life, peer.stamp);
            let mut lines = Vec::new();
            for (at, (free, lacking)) in shares.iter().enumerate() {
                let (had, want) = self.growth(member, at);
                let gain = want.part(*free, *lacking);
                // Where unheard members may hold anything, what is known is held where it is, or lower.
                let wanted = if self.settled {
                    self.targets[usize::from(member.0)][at].min(had.plus(gain))
                } else {
                    self.ledger.within(self.budgets[at].id, had)
                };
                let all = renew && !(wanted.is_none() && had.is_none());
                if all || !gain.is_none() {
                    lines.push((self.budgets[at].id, wanted, had));
                }
            }
            for page in lines.chunks(Message::GRANT_LINES) {
                self.seq += 1;
                let mut granted = Vec::new();
                for &(budget, wanted, had) in page {
                    let amount = self.ledger.grant(now, (member, life, self.seq), budget, wanted, until);
                    granted.push(Granted { budget, per_s: amount.per_s as u32, burst: amount.burst as u32 });
                    if !had.less(amount).is_none() {
                        self.shrinking.push((member, self.seq));
                    }
                }
                let (epoch, seq) = (self.epoch, self.seq);
                sends.push((member, Message::Grant { epoch, seq, life, stamp, lines: granted }));
            }
            if !renew && !lines.is_empty() {
                self.peers[usize::from(member.0)].regrants -= 1;
            }
        }
    }

    /// What a member may hold of a budget already, and what it is to have beyond.
    fn growth(&self, member: Member, at: usize) -> (Amount, Amount) {
        let peer = &self.peers[usize::from(member.0)];
        let had = self.ledger.reserved(member, peer.life, self.budgets[at].id);
        (had, self.targets[usize::from(member.0)][at].less(had))
    }
}
