//! The log kept by a majority of keepers under the grantor's epoch. A new grantor reads how far a majority's logs go,
//! takes over the furthest (highest epoch, then highest index), and commits it anew by an entry of its own: whatever
//! was committed before is in it, as two majorities share a keeper. Only then it decides. Keepers hear no epoch lower
//! than the highest they heard.
//!
//! A keeper that starts with nothing on disk has forgotten what it answered for. Until a grantor has brought it up it
//! says so, and does not count for the majority that is read, unless all keepers have answered.

use super::book::Op;
use super::log::{Entry, Log, Mark};
use super::message::Body;
use super::store::{Found, Record, frame};
use crate::terms::{Epoch, Member};
use std::collections::BTreeMap;

/// What was not answered is said again to keepers after this, ms,
const AGAIN_MS: f64 = 200.0;
/// and the log's end told to all other members after this.
const LEARN_MS: f64 = 2000.0;
/// Entries in one message.
const AT_ONCE: usize = 32;
/// No log is this long: a state that says so is none.
const INDEX_MOST: u64 = 1 << 48;
/// The file is written anew after so many records.
const RECORDS: usize = 512;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Did {
    Send(Member, Body),
    Append(Vec<u8>),
    Replace(Vec<u8>),
    /// This was committed.
    Committed(Op),
    /// The operators are to hear this.
    Note(String),
}

#[derive(Debug)]
enum Phase {
    /// Positions of keepers, and whether they remember.
    Reading {
        since: f64,
        positions: BTreeMap<Member, (Mark, bool)>,
    },
    Pulling {
        from: Member,
        since: f64,
    },
    Leading,
}

#[derive(Debug)]
struct Lead {
    epoch: Epoch,
    phase: Phase,
    said_at: f64,
    learnt_at: f64,
    /// The next entry that each member wants, and the last that each is known to have.
    next: BTreeMap<Member, u64>,
    matched: BTreeMap<Member, u64>,
}

/// See the module.
#[derive(Debug)]
pub struct Replica {
    me: Member,
    keepers: Vec<Member>,
    members: Vec<Member>,
    promised: Epoch,
    remembers: bool,
    log: Log,
    leader: Option<Member>,
    lead: Option<Lead>,
    disk: bool,
    records: usize,
}

impl Replica {
    #[must_use]
    pub fn new(me: Member, keepers: Vec<Member>, members: Vec<Member>, disk: bool) -> Self {
        Replica {
            me,
            disk: disk && keepers.contains(&me),
            keepers,
            members,
            promised: Epoch::default(),
            remembers: false,
            log: Log::default(),
            leader: None,
            lead: None,
            records: 0,
        }
    }

    /// Goes on from what a file held.
    pub fn restore(&mut self, found: Found) {
        (self.promised, self.log, self.remembers) = (found.promised, found.log, found.remembers);
    }

    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The grantor last heard of.
    #[must_use]
    pub fn leader(&self) -> Option<Member> {
        self.leader
    }

    /// Whether this is the grantor and all that was committed before is committed here.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.lead
            .as_ref()
            .is_some_and(|l| matches!(l.phase, Phase::Leading) && self.log.committed().epoch == l.epoch)
    }

    /// Whether an entry waits for its majority.
    #[must_use]
    pub fn waits(&self) -> bool {
        self.log.last().index > self.log.commit()
    }

    fn majority(&self) -> usize {
        self.keepers.len() / 2 + 1
    }

    fn record(&mut self, record: Record, out: &mut Vec<Did>) {
        // A keeper that does not remember yet has no snapshot that its records could follow.
        if !self.disk || !self.remembers {
            return;
        }
        self.records += 1;
        if self.records > RECORDS || matches!(record, Record::Whole { .. }) {
            self.records = 0;
            out.push(Did::Replace(frame(&self.whole())));
        } else {
            out.push(Did::Append(frame(&record)));
        }
    }

    fn whole(&self) -> Record {
        Record::Whole {
            promised: self.promised,
            at: self.log.committed(),
            kept: Box::new(self.log.book().kept().clone()),
            entries: self.log.after(self.log.commit(), usize::MAX),
        }
    }

    /// This instance is the grantor under that epoch now, or is not.
    pub fn mastership(&mut self, now: f64, epoch: Option<Epoch>, out: &mut Vec<Did>) {
        let Some(epoch) = epoch else {
            self.lead = None;
            return;
        };
        if self.lead.as_ref().is_some_and(|l| l.epoch == epoch) {
            return;
        }
        self.lead = None;
        if epoch < self.promised || !self.keepers.contains(&self.me) {
            return;
        }
        self.promise(epoch, out);
        self.leader = Some(self.me);
        let positions = BTreeMap::from([(self.me, (self.log.last(), self.remembers))]);
        self.lead = Some(Lead {
            epoch,
            phase: Phase::Reading { since: now, positions },
            said_at: f64::NEG_INFINITY,
            learnt_at: f64::NEG_INFINITY,
            next: BTreeMap::new(),
            matched: BTreeMap::new(),
        });
    }

    fn promise(&mut self, epoch: Epoch, out: &mut Vec<Did>) {
        if epoch > self.promised {
            self.promised = epoch;
            self.record(Record::Promised(epoch), out);
        }
    }

    /// Adds an operation at the end of the log. Only where [`Replica::leads`].
    pub fn append(&mut self, now: f64, op: Op, out: &mut Vec<Did>) {
        let Some(lead) = &self.lead else { return };
        let entry = Entry { epoch: lead.epoch, op };
        let after = self.log.last().index;
        self.log.push(entry.clone());
        self.record(Record::Entries { after, entries: vec![entry] }, out);
        let keepers = self.keepers.clone();
        self.tell(&keepers, out);
        if let Some(lead) = &mut self.lead {
            lead.said_at = now;
        }
        self.count(out);
    }

    /// Says again what was not answered. `memory_wait_ms`: see `Settings::memory_wait_s`.
    pub fn tick(&mut self, now: f64, memory_wait_ms: f64, out: &mut Vec<Did>) {
        self.read_on(now, memory_wait_ms, out);
        let Some(lead) = &mut self.lead else { return };
        let again = now - lead.said_at >= AGAIN_MS;
        let learn = now - lead.learnt_at >= LEARN_MS;
        if again {
            lead.said_at = now;
        }
        let epoch = lead.epoch;
        match &mut lead.phase {
            Phase::Reading { positions, .. } if again => {
                let silent = self.keepers.iter().filter(|k| !positions.contains_key(k));
                out.extend(silent.map(|&k| Did::Send(k, Body::Read { epoch })));
            }
            // The furthest has gone: read again who is there.
            Phase::Pulling { since, .. } if now - *since > 10.0 * AGAIN_MS => {
                let positions = BTreeMap::from([(self.me, (self.log.last(), self.remembers))]);
                lead.phase = Phase::Reading { since: now, positions };
            }
            Phase::Pulling { from, .. } if again => out.push(Did::Send(*from, Body::Pull { epoch })),
            Phase::Leading if again => {
                let mut to = self.keepers.clone();
                if learn {
                    lead.learnt_at = now;
                    to.extend(self.members.iter().filter(|m| !self.keepers.contains(m)));
                }
                self.tell(&to, out);
            }
            _ => {}
        }
    }

    /// Goes on once enough keepers have told how far their logs go.
    fn read_on(&mut self, now: f64, memory_wait_ms: f64, out: &mut Vec<Did>) {
        let majority = self.majority();
        let Some(lead) = &mut self.lead else { return };
        let Phase::Reading { since, positions } = &lead.phase else { return };
        let remember = positions.values().filter(|(_, remembers)| *remembers).count();
        let all = positions.len() == self.keepers.len();
        let waited = now - since >= memory_wait_ms && positions.len() >= majority;
        if remember < majority && !all && !waited {
            return;
        }
        if remember < majority && (remember > 0 || !all) {
            out.push(Did::Note(format!(
                "of {} keepers only {remember} remember their bookings: some may be lost",
                self.keepers.len()
            )));
        }
        let Some(best) = positions.values().map(|(mark, _)| *mark).max() else { return };
        let own = self.log.last() == best;
        let from = positions.iter().find(|(_, (mark, _))| *mark == best).map(|(&k, _)| k);
        match from.filter(|_| !own) {
            Some(from) => {
                lead.phase = Phase::Pulling { from, since: now };
                lead.said_at = now;
                out.push(Did::Send(from, Body::Pull { epoch: lead.epoch }));
            }
            None => self.begin(now, out),
        }
    }

    fn begin(&mut self, now: f64, out: &mut Vec<Did>) {
        let last = self.log.last().index;
        let Some(lead) = &mut self.lead else { return };
        lead.phase = Phase::Leading;
        lead.next = self.members.iter().chain(&self.keepers).map(|&m| (m, last + 1)).collect();
        lead.matched.clear();
        self.append(now, Op::Began, out);
    }

    fn tell(&self, to: &[Member], out: &mut Vec<Did>) {
        let Some(lead) = &self.lead else { return };
        for &member in to.iter().filter(|&&m| m != self.me) {
            let next = lead.next.get(&member).copied().unwrap_or(1);
            let body = match self.log.mark(next.saturating_sub(1)) {
                Some(prev) => {
                    let mut entries = self.log.after(prev.index, AT_ONCE);
                    if !self.keepers.contains(&member) {
                        entries.truncate(self.log.commit().saturating_sub(prev.index) as usize);
                    }
                    Body::Append { epoch: lead.epoch, prev, entries, commit: self.log.commit() }
                }
                None => self.state(lead.epoch),
            };
            out.push(Did::Send(member, body));
        }
    }

    fn state(&self, epoch: Epoch) -> Body {
        let state = postcard::to_allocvec(self.log.book().kept()).unwrap_or_default();
        let entries = self.log.after(self.log.commit(), usize::MAX);
        Body::State { epoch, at: self.log.committed(), state, entries }
    }

    /// Takes what another instance said.
    pub fn receive(&mut self, now: f64, from: Member, body: Body, out: &mut Vec<Did>) {
        match body {
            Body::Position { epoch, last, remembers } => {
                if let Some(lead) = self.lead.as_mut().filter(|l| l.epoch == epoch)
                    && let Phase::Reading { positions, .. } = &mut lead.phase
                    && self.keepers.contains(&from)
                {
                    positions.insert(from, (last, remembers));
                }
            }
            Body::Appended { epoch, last, took } => self.appended(from, epoch, last, took, out),
            Body::State { epoch, at, state, entries } => {
                let Ok(kept) = postcard::from_bytes(&state) else { return };
                if at.index > INDEX_MOST {
                    return;
                }
                let log = Log::from_state(at, kept, entries);
                let pulled = self.lead.as_ref().is_some_and(|l| {
                    l.epoch == epoch && matches!(l.phase, Phase::Pulling { from: f, .. } if f == from)
                });
                if pulled {
                    self.log = log;
                    self.record(self.whole(), out);
                    self.begin(now, out);
                } else if self.heeds(from, epoch, out) {
                    // An older letter must not take back what was answered for since.
                    if log.last() > self.log.last() {
                        self.log = log;
                        self.record(self.whole(), out);
                    }
                    let last = self.log.committed().index;
                    out.push(Did::Send(from, Body::Appended { epoch, last, took: true }));
                }
            }
            Body::Read { epoch } if self.heeds(from, epoch, out) => {
                let (last, remembers) = (self.log.last(), self.remembers);
                out.push(Did::Send(from, Body::Position { epoch, last, remembers }));
            }
            Body::Pull { epoch } if self.heeds(from, epoch, out) => {
                out.push(Did::Send(from, self.state(epoch)));
            }
            Body::Append { epoch, prev, entries, commit } if self.heeds(from, epoch, out) => {
                let (last, took) = self.follow(prev, entries, commit, out);
                out.push(Did::Send(from, Body::Appended { epoch, last, took }));
            }
            _ => {}
        }
    }

    /// Whether a grantor is heard: a keeper whose epoch is not lower than any heard before.
    fn heeds(&mut self, from: Member, epoch: Epoch, out: &mut Vec<Did>) -> bool {
        if epoch < self.promised || !self.keepers.contains(&from) || from == self.me {
            return false;
        }
        match &self.lead {
            // An epoch has one grantor: a state that was pulled under this one came twice.
            Some(lead) if lead.epoch == epoch => return false,
            _ => self.lead = None,
        }
        self.promise(epoch, out);
        self.leader = Some(from);
        true
    }

    /// Takes the grantor's entries after `prev`: how far the log is its now, or where it is to begin anew.
    fn follow(
        &mut self,
        prev: Mark,
        mut entries: Vec<Entry>,
        commit: u64,
        out: &mut Vec<Did>,
    ) -> (u64, bool) {
        let known = self.log.commit();
        let mut prev = prev;
        if prev.index < known {
            // Committed here is committed there: only what comes after is looked at.
            let skip = (known - prev.index) as usize;
            if skip > entries.len() {
                return (known.min(prev.index + entries.len() as u64), true);
            }
            if let Some(last) = entries[..skip].last() {
                prev = Mark { epoch: last.epoch, index: known };
            }
            entries.drain(..skip);
        }
        if self.log.mark(prev.index) != Some(prev) {
            if prev.index == known {
                out.push(Did::Note("committed bookings differ from the grantor's: they are replaced".into()));
                self.log = Log::default();
                self.remembers = false;
                return (0, false);
            }
            return (known, false);
        }
        let last = prev.index + entries.len() as u64;
        let same = |(i, e): &(usize, &Entry)| {
            self.log.mark(prev.index + 1 + *i as u64).is_some_and(|m| m.epoch == e.epoch)
        };
        let had = entries.iter().enumerate().take_while(same).count();
        let new = entries.split_off(had);
        if !new.is_empty() {
            let after = prev.index + had as u64;
            self.log.cut(after);
            new.iter().for_each(|e| self.log.push(e.clone()));
            self.record(Record::Entries { after, entries: new }, out);
        }
        self.commit(commit.min(last), out);
        (last, true)
    }

    fn commit(&mut self, index: u64, out: &mut Vec<Did>) {
        let done = self.log.commit_to(index);
        if !done.is_empty() {
            self.record(Record::Commit(self.log.commit()), out);
            out.extend(done.into_iter().map(Did::Committed));
        }
        // An entry of this mastership is committed: so is all that was before it.
        if !self.remembers && self.promised > Epoch(0) && self.log.committed().epoch == self.promised {
            self.remembers = true;
            self.record(self.whole(), out);
        }
    }

    fn appended(&mut self, from: Member, epoch: Epoch, last: u64, took: bool, out: &mut Vec<Did>) {
        let end = self.log.last().index;
        let Some(lead) = self.lead.as_mut().filter(|l| l.epoch == epoch && last <= end) else { return };
        if !matches!(lead.phase, Phase::Leading) {
            return;
        }
        if took {
            let matched = lead.matched.entry(from).or_default();
            *matched = last.max(*matched);
            let next = lead.next.entry(from).or_default();
            let behind = last + 1 > *next && last < end;
            *next = last.max(next.saturating_sub(1)) + 1;
            if behind {
                self.tell(&[from], out);
            }
            self.count(out);
        } else {
            lead.next.insert(from, last + 1);
            self.tell(&[from], out);
        }
    }

    /// Commits what a majority has, if an entry of this mastership is among it.
    fn count(&mut self, out: &mut Vec<Did>) {
        let Some(lead) = &self.lead else { return };
        let had = |k: &Member| match *k == self.me {
            true => self.log.last().index,
            false => lead.matched.get(k).copied().unwrap_or(0),
        };
        let mut reached: Vec<u64> = self.keepers.iter().map(had).collect();
        reached.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = reached.get(self.majority() - 1) else { return };
        if index > self.log.commit() && self.log.mark(index).is_some_and(|m| m.epoch == lead.epoch) {
            self.commit(index, out);
            // Everybody hears at once: what was promised is to be known where the grantor is not.
            let all: Vec<Member> = self.members.iter().chain(&self.keepers).copied().collect();
            let all: std::collections::BTreeSet<Member> = all.into_iter().collect();
            self.tell(&all.into_iter().collect::<Vec<_>>(), out);
        }
    }
}
