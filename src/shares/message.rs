//! What members tell each other. Each message encodes to at most [`Message::BYTES_MAX`] bytes (postcard); reports and
//! grants of many budgets are cut into pages, each of which stands alone.

use crate::terms::{BudgetId, Epoch, Member};
use serde::{Deserialize, Serialize};

/// A line of a report: what its sender would spend, and what it holds from an older grantor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reported {
    pub budget: BudgetId,
    /// Thousandths a second.
    pub asked: u32,
    /// Mean worth, thousandths.
    pub worth: u32,
    /// What is held of an older epoch and has not lapsed: rate (thousandths a second) and burst (thousandths).
    pub old: Option<(u32, u32)>,
}

/// A line of a grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    pub budget: BudgetId,
    /// Thousandths a second.
    pub per_s: u32,
    /// Thousandths.
    pub burst: u32,
}

/// `run` and `life` are numbers drawn at a process's start: an answer to a process's earlier life is no answer to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A keeper asks the keepers whether it may become grantor.
    Prepare { ballot: u64, run: u32 },
    /// It may, as far as the sender goes; `owner` has a lease that has not lapsed there.
    Promise { ballot: u64, run: u32, owner: Option<Member> },
    /// A keeper asks for the lease.
    Propose { ballot: u64, run: u32 },
    /// The sender holds the lease to be the asker's.
    Accepted { ballot: u64, run: u32 },
    /// The sender has promised a later ballot.
    Refused { ballot: u64, run: u32, promised: u64 },
    /// The sender of that ballot gives its lease back.
    Released { ballot: u64 },
    /// The grantor opens a round.
    Ask { epoch: Epoch, round: u32 },
    /// The sender has heard of this later epoch, and the grantor's is over.
    Stale { epoch: Epoch },
    /// One page of an answer to `Ask`. `stamp` is the sender's own clock (ms) at that.
    Report { epoch: Epoch, round: u32, life: u32, stamp: u64, page: u8, pages: u8, lines: Vec<Reported> },
    /// Parts in place of those held, budget by budget, for a lease from `stamp` on.
    Grant { epoch: Epoch, seq: u32, life: u32, stamp: u64, lines: Vec<Granted> },
    /// The sender holds what grant `seq` gave it, or later ones, and nothing older of those budgets.
    Ack { epoch: Epoch, seq: u32, life: u32 },
    /// The sender holds nothing any more and will take nothing.
    Gone { epoch: Epoch, life: u32 },
}

impl Message {
    /// Bytes that a message takes at most.
    pub const BYTES_MAX: usize = 200;
    /// Lines in a page of a report: 23 bytes each at most.
    pub(super) const REPORT_LINES: usize = 6;
    /// Lines in a grant: 13 bytes each at most.
    pub(super) const GRANT_LINES: usize = 12;
}

/// Thousandths, rounded down, as they go over the wire.
pub(super) fn thousandths(v: f64) -> u32 {
    // Saturates; what is no number is nothing.
    (v * 1000.0).floor() as u32
}
