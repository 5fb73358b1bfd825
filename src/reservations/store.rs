//! What a keeper with a disk writes: records, each with its length and the CRC-32 of its bytes. A file begins with a
//! snapshot; what a kill tore at its end was never answered for and is dropped.

use super::book::Kept;
use super::log::{Entry, Log, Mark};
use crate::terms::Epoch;
use serde::{Deserialize, Serialize};

/// One change of what is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// All of it: in place of everything before.
    Whole { promised: Epoch, at: Mark, kept: Box<Kept>, entries: Vec<Entry> },
    /// No mastership before this one is heard any more.
    Promised(Epoch),
    /// These follow the entry with that number, in place of what did.
    Entries { after: u64, entries: Vec<Entry> },
    /// It is committed so far.
    Commit(u64),
}

/// Bytes before a record: its length and its checksum, both big-endian.
const HEAD: usize = 8;

/// A record as it is written.
#[must_use]
pub fn frame(record: &Record) -> Vec<u8> {
    let Ok(body) = postcard::to_allocvec(record) else { return Vec::new() };
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// What a file held.
#[derive(Debug, Default)]
pub struct Found {
    pub promised: Epoch,
    pub log: Log,
    /// There was a snapshot: what was answered for is here.
    pub remembers: bool,
}

/// Reads a file.
///
/// # Errors
/// A record in its middle is damaged: what comes after it may have been answered for, and is lost.
pub fn read(mut bytes: &[u8]) -> Result<Found, String> {
    let mut found = Found::default();
    while let Some((head, rest)) = bytes.split_first_chunk::<HEAD>() {
        let [l0, l1, l2, l3, s0, s1, s2, s3] = *head;
        let (length, sum) = (u32::from_be_bytes([l0, l1, l2, l3]), u32::from_be_bytes([s0, s1, s2, s3]));
        let Some((body, rest)) = rest.split_at_checked(length as usize) else { break };
        let record =
            (crc32fast::hash(body) == sum).then(|| postcard::from_bytes::<Record>(body).ok()).flatten();
        match record {
            Some(record) => take(&mut found, record),
            None if rest.is_empty() => break,
            None => return Err(format!("a record is damaged, {} bytes before the end", bytes.len())),
        }
        bytes = rest;
    }
    Ok(found)
}

fn take(found: &mut Found, record: Record) {
    match record {
        Record::Whole { promised, at, kept, entries } => {
            found.promised = promised;
            found.log = Log::from_state(at, *kept, entries);
            found.remembers = true;
        }
        Record::Promised(epoch) => found.promised = epoch,
        Record::Entries { after, entries } => {
            found.log.cut(after);
            entries.into_iter().for_each(|e| found.log.push(e));
        }
        Record::Commit(index) => {
            found.log.commit_to(index);
        }
    }
}
