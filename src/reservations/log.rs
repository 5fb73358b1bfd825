//! The ordered log of booking operations: what is committed as a state, and the entries that may follow it.

use super::book::{Book, Kept, Op};
use crate::terms::Epoch;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A place in the log: of two, the one with the higher epoch is further, then the one with the higher index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark {
    pub epoch: Epoch,
    /// Entries before it and with it.
    pub index: u64,
}

/// An operation in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The mastership under which it was taken.
    pub epoch: Epoch,
    pub op: Op,
}

/// Entries that are committed are kept so long for keepers that lag behind; who lags further gets the state.
const KEPT: usize = 256;

/// See the module.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// The place before the first entry kept.
    base: Mark,
    entries: VecDeque<Entry>,
    commit: u64,
    book: Book,
}

impl Log {
    /// From a state at a mark and what follows it.
    #[must_use]
    pub fn from_state(at: Mark, kept: Kept, entries: Vec<Entry>) -> Self {
        Log { base: at, entries: entries.into(), commit: at.index, book: Book::from_kept(kept) }
    }

    /// The committed state.
    #[must_use]
    pub fn book(&self) -> &Book {
        &self.book
    }

    #[must_use]
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// The place of the last entry.
    #[must_use]
    pub fn last(&self) -> Mark {
        match self.entries.back() {
            Some(entry) => Mark { epoch: entry.epoch, index: self.base.index + self.entries.len() as u64 },
            None => self.base,
        }
    }

    /// The place of the entry with that number, if it is still kept.
    #[must_use]
    pub fn mark(&self, index: u64) -> Option<Mark> {
        match index.checked_sub(self.base.index)? {
            0 => Some(self.base),
            n => self.entries.get(n as usize - 1).map(|e| Mark { epoch: e.epoch, index }),
        }
    }

    /// Up to `most` entries after that number.
    #[must_use]
    pub fn after(&self, index: u64, most: usize) -> Vec<Entry> {
        let skip = index.saturating_sub(self.base.index) as usize;
        self.entries.iter().skip(skip).take(most).cloned().collect()
    }

    /// The place of the last committed entry.
    #[must_use]
    pub fn committed(&self) -> Mark {
        self.mark(self.commit).unwrap_or(self.base)
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
    }

    /// Drops all entries after that number; committed ones stay.
    pub fn cut(&mut self, index: u64) {
        let kept = index.max(self.commit).saturating_sub(self.base.index) as usize;
        self.entries.truncate(kept);
    }

    /// Commits up to that number, as far as there are entries. What was committed comes back.
    pub fn commit_to(&mut self, index: u64) -> Vec<Op> {
        let mut done = Vec::new();
        while self.commit < index.min(self.last().index) {
            let Some(entry) = self.entries.get((self.commit - self.base.index) as usize) else { break };
            self.commit += 1;
            self.book.apply(self.commit, &entry.op);
            done.push(entry.op.clone());
        }
        while (self.commit - self.base.index) as usize > KEPT {
            let Some(entry) = self.entries.pop_front() else { break };
            self.base = Mark { epoch: entry.epoch, index: self.base.index + 1 };
        }
        done
    }
}
