//! Members, and grantors that follow one another: one unit is all there is.

use super::search;
use stateright::{Model, Property};
use std::collections::BTreeSet;

const LEASE: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// What a member was granted last counts, not what it may still hold.
    GrowBeforeShrink,
    /// Acknowledgements of an older epoch count.
    NoFence,
    /// A new grantor takes what it has not heard of for free.
    NoWait,
    /// A member's lease counts from when the grant came.
    LateCount,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Grant { to: u8, epoch: u8, seq: u8, life: u8, stamp: u8, unit: bool },
    Ack { of: u8, epoch: u8, seq: u8, life: u8 },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Holder {
    life: u8,
    fence: u8,
    /// Of the last grant.
    epoch: u8,
    seq: u8,
    unit: bool,
    until: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    member: u8,
    life: u8,
    seq: u8,
    unit: bool,
    until: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    crashes: u8,
    holders: Vec<Holder>,
    epoch: u8,
    settled_at: u8,
    seq: u8,
    /// By member, life and latest stamp.
    heard: Vec<Option<(u8, u8)>>,
    entries: Vec<Entry>,
    sent: BTreeSet<Message>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Tick,
    Crash(usize),
    /// Another keeper is grantor from now on.
    Takeover,
    /// A member answers the grantor. That its answer was late shows in a grant that is made later.
    Report(usize),
    Grant(usize, bool),
    Deliver(Message),
}

struct Grants {
    fault: Fault,
    members: usize,
    ticks: u8,
    crashes: u8,
    epochs: u8,
    seqs: u8,
}

impl Grants {
    /// Whether nobody may hold the unit but this member in this life.
    fn free(&self, state: &State, member: u8, life: u8) -> bool {
        let entries: Vec<&Entry> = state.entries.iter().collect();
        let counts = |e: &&&Entry| {
            let newer = |o: &&Entry| o.member == e.member && o.life == e.life && o.seq > e.seq;
            self.fault != Fault::GrowBeforeShrink || !entries.iter().any(newer)
        };
        let others = entries.iter().filter(counts).any(|e| e.unit && (e.member, e.life) != (member, life));
        let had = entries.iter().any(|e| e.unit && (e.member, e.life) == (member, life));
        let settled = state.now >= state.settled_at || self.fault == Fault::NoWait;
        !others && (settled || had)
    }

    fn deliver(&self, state: &mut State, message: &Message) {
        let now = state.now;
        match *message {
            Message::Grant { to, epoch, seq, life, stamp, unit } => {
                let holder = &mut state.holders[usize::from(to)];
                let until = if self.fault == Fault::LateCount { now } else { stamp } + LEASE;
                if epoch != holder.fence || life != holder.life || now >= until {
                    return;
                }
                if holder.epoch != epoch || seq > holder.seq {
                    (holder.epoch, holder.seq, holder.unit, holder.until) = (epoch, seq, unit, until);
                }
                state.sent.insert(Message::Ack { of: to, epoch, seq, life });
            }
            Message::Ack { of, epoch, seq, life } if epoch == state.epoch || self.fault == Fault::NoFence => {
                let same = |e: &Entry| (e.member, e.life) == (of, life);
                if state.entries.iter().any(|e| same(e) && e.seq == seq) {
                    state.entries.retain(|e| !same(e) || e.seq >= seq);
                }
            }
            _ => {}
        }
    }
}

impl Model for Grants {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            crashes: 0,
            holders: vec![Holder { fence: 1, ..Holder::default() }; self.members],
            epoch: 1,
            settled_at: 0,
            seq: 0,
            heard: vec![None; self.members],
            entries: Vec::new(),
            sent: BTreeSet::new(),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < self.ticks {
            actions.push(Action::Tick);
        }
        if state.epoch < self.epochs {
            actions.push(Action::Takeover);
        }
        for (at, holder) in state.holders.iter().enumerate() {
            if state.crashes < self.crashes {
                actions.push(Action::Crash(at));
            }
            if holder.fence != state.epoch || state.heard[at] != Some((holder.life, state.now)) {
                actions.push(Action::Report(at));
            }
            if state.seq < self.seqs
                && let Some((life, _)) = state.heard[at]
            {
                let had =
                    state.entries.iter().any(|e| usize::from(e.member) == at && e.life == life && e.unit);
                if self.free(state, at as u8, life) {
                    actions.push(Action::Grant(at, true));
                }
                if had && state.now >= state.settled_at {
                    actions.push(Action::Grant(at, false));
                }
            }
        }
        actions.extend(state.sent.iter().cloned().map(Action::Deliver));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick => {
                state.now += 1;
                let now = state.now;
                state.entries.retain(|e| now < e.until);
                state.holders.iter_mut().for_each(|h| h.unit &= now < h.until);
            }
            Action::Crash(at) => {
                state.crashes += 1;
                state.holders[at] = Holder { life: state.holders[at].life + 1, ..Holder::default() };
            }
            Action::Takeover => {
                state.epoch += 1;
                state.settled_at = state.now + LEASE;
                state.seq = 0;
                state.heard = vec![None; self.members];
                state.entries.clear();
            }
            Action::Report(at) => {
                let holder = &mut state.holders[at];
                holder.fence = state.epoch;
                let (member, life) = (at as u8, holder.life);
                if state.heard[at].is_none() && holder.unit && holder.epoch != state.epoch {
                    let until = state.settled_at;
                    state.entries.push(Entry { member, life, seq: 0, unit: true, until });
                }
                state.heard[at] = Some((life, state.now));
            }
            Action::Grant(at, unit) => {
                let (life, stamp) = state.heard[at]?;
                state.seq += 1;
                let (to, epoch, seq) = (at as u8, state.epoch, state.seq);
                state.sent.insert(Message::Grant { to, epoch, seq, life, stamp, unit });
                state.entries.push(Entry { member: to, life, seq, unit, until: state.now + LEASE });
            }
            Action::Deliver(message) => self.deliver(&mut state, &message),
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn held(state: &State) -> usize {
            state.holders.iter().filter(|h| h.unit && state.now < h.until).count()
        }
        vec![
            Property::<Self>::always("safe", |_, state| held(state) <= 1),
            Property::<Self>::sometimes("held after a takeover", |_, s| {
                s.epoch > 1 && s.holders.iter().any(|h| h.unit && h.epoch == s.epoch)
            }),
        ]
    }
}

/// Two members are enough for every planted fault.
fn planted(fault: Fault) -> Option<usize> {
    search(
        &format!("grants, {fault:?}"),
        Grants { fault, members: 2, ticks: 1, crashes: 0, epochs: 2, seqs: 3 },
        400_000,
    )
}

#[test]
fn no_two_members_hold_the_unit() {
    assert_eq!(planted(Fault::None), None);
    let short = Grants { fault: Fault::None, members: 3, ticks: 1, crashes: 0, epochs: 2, seqs: 2 };
    assert_eq!(search("grants, three members", short, 2_000_000), None);
    let three = Grants { fault: Fault::None, members: 3, ticks: 2, crashes: 1, epochs: 2, seqs: 2 };
    assert_eq!(search("grants, three members and a crash", three, 200_000), None);
}

#[test]
fn growing_before_shrinking_is_found() {
    assert!(planted(Fault::GrowBeforeShrink).is_some());
}

#[test]
fn an_epoch_that_is_not_fenced_is_found() {
    assert!(planted(Fault::NoFence).is_some());
}

#[test]
fn a_new_grantor_that_does_not_wait_is_found() {
    assert!(planted(Fault::NoWait).is_some());
}

#[test]
fn a_lease_counted_from_its_arrival_is_found() {
    assert!(planted(Fault::LateCount).is_some());
}
