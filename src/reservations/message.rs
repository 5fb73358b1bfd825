//! What instances say to each other about bookings.

use super::log::{Entry, Mark};
use super::request::{Answer, Request};
use crate::terms::Epoch;
use serde::{Deserialize, Serialize};

/// What is asked of the grantor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Wish {
    /// Book it.
    Book(Request),
    /// Turn a held booking into a promise.
    Confirm { team: String, id: String },
    /// Give it up, or what is left of it.
    Cancel { team: String, id: String },
}

/// One datagram's worth: at most [`Message::BYTES_MOST`] bytes in postcard's form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// All of what is said.
    Whole(Body),
    /// A page of something longer.
    Page { letter: u32, page: u16, pages: u16, bytes: Vec<u8> },
    /// All pages of a letter before this one have come.
    Paged { letter: u32, next: u16 },
}

impl Message {
    /// No message is longer in postcard's form, bytes.
    pub const BYTES_MOST: usize = 200;
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A new grantor asks a keeper how far its log goes.
    Read { epoch: Epoch },
    /// How far it goes; `remembers` is false after a start with nothing on disk.
    Position { epoch: Epoch, last: Mark, remembers: bool },
    /// The grantor asks for the whole log of the keeper that is furthest.
    Pull { epoch: Epoch },
    /// What of the log is committed, as bytes of a state at a mark, and the entries after it.
    State { epoch: Epoch, at: Mark, state: Vec<u8>, entries: Vec<Entry> },
    /// The grantor's log goes on after `prev`; it is committed up to `commit`.
    Append { epoch: Epoch, prev: Mark, entries: Vec<Entry>, commit: u64 },
    /// The log is the grantor's up to `last`; or, if `took` is false, `last` is where to begin anew.
    Appended { epoch: Epoch, last: u64, took: bool },
    /// An instance asks the grantor for somebody.
    Ask { ticket: u64, wish: Wish },
    /// What it came to.
    Told { ticket: u64, answer: Answer },
}
