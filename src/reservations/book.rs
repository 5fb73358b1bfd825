//! The committed state: what is booked by whom.

use super::request::Request;
use serde::{Deserialize, Serialize};

/// Whole minutes of the Unix clock.
pub type Minute = u32;

/// One window of a booking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Span {
    pub start: Minute,
    /// Its end, not part of it.
    pub end: Minute,
}

/// A change of the state. Its instants are fixed when it is taken: a promise does not move with a settings file or
/// with newer time-zone rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Op {
    /// Nothing: the first of each mastership.
    Began,
    /// A booking, with all its windows; held until `held_until` (Unix ms) if that is above 0.
    Book {
        slot: u16,
        request: Box<Request>,
        spans: Vec<Span>,
        held_until: u64,
        of_file: bool,
        takes: Vec<(u16, Minute)>,
    },
    /// A held one is a promise now.
    Confirm { slot: u16 },
    /// It is given up from this minute on.
    Cancel { slot: u16, at: Minute },
    /// Time has passed this minute: it does not come again.
    Passed { at: Minute },
    /// Live traffic of a site reached this, set-ups a second, in this hour of the week (UTC).
    Peak { site: String, hour: u8, per_s: f64 },
}
