//! Calls that are over, remembered for as long as something may still be said of them.
//!
//! A call server tells the end of a call again on a later connection, and a call whose answer was lost may stand there long
//! after its caller got another answer. Each such word is told from news of a call from before this program's start by this
//! memory alone.

use crate::interface::CallId;
use std::collections::{HashMap, VecDeque};

/// Calls remembered that reached no call server: only their ids may come again.
const UNSENT_MAX: usize = 4096;
/// Calls remembered that reached a call server: those of 39 minutes at 190 set-ups a second.
const SENT_MAX: usize = 450_000;
/// Calls remembered that may still stand at a call server: ordinary traffic does not displace them.
const MAY_STAND_MAX: usize = 65_536;

/// How far a call came, and so who may still speak of it once it is over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Reach {
    /// No call server has seen it.
    #[default]
    Unsent,
    /// A call server has seen it, and knows how it ended.
    Sent,
    /// An attempt or the call itself was given up without the call server's word: it may stand there still.
    MayStand,
}

/// The latest calls of one reach.
#[derive(Debug)]
struct Memory {
    oldest_first: VecDeque<CallId>,
    /// By call, whether its call server was told that its end was heard.
    calls: HashMap<CallId, bool>,
    max: usize,
}

impl Memory {
    fn new(max: usize) -> Self {
        Memory { oldest_first: VecDeque::new(), calls: HashMap::new(), max }
    }

    fn add(&mut self, call: CallId) {
        self.oldest_first.push_back(call);
        self.calls.insert(call, false);
        if self.oldest_first.len() > self.max
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.calls.remove(&oldest);
        }
    }
}

/// Calls that are over.
#[derive(Debug)]
pub(super) struct EndedCalls {
    unsent: Memory,
    sent: Memory,
    may_stand: Memory,
}

impl Default for EndedCalls {
    fn default() -> Self {
        EndedCalls {
            unsent: Memory::new(UNSENT_MAX),
            sent: Memory::new(SENT_MAX),
            may_stand: Memory::new(MAY_STAND_MAX),
        }
    }
}

impl EndedCalls {
    pub(super) fn contains(&self, call: CallId) -> bool {
        [&self.may_stand, &self.sent, &self.unsent].iter().any(|memory| memory.calls.contains_key(&call))
    }

    /// False: it was remembered already.
    pub(super) fn add(&mut self, call: CallId, reach: Reach) -> bool {
        if self.contains(call) {
            return false;
        }
        match reach {
            Reach::Unsent => self.unsent.add(call),
            Reach::Sent => self.sent.add(call),
            Reach::MayStand => self.may_stand.add(call),
        }
        true
    }

    /// A call server is told that the end of this call is heard: true the first time.
    pub(super) fn hear_end(&mut self, call: CallId) -> bool {
        let mut memories = [&mut self.may_stand, &mut self.sent, &mut self.unsent].into_iter();
        let heard = memories.find_map(|memory| memory.calls.get_mut(&call));
        heard.is_some_and(|heard| !std::mem::replace(heard, true))
    }
}
