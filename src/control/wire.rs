//! The datagrams of the control plane: an envelope around a message's body.
//!
//! | bytes | |
//! | --- | --- |
//! | 1 | kind, 2 on the socket that peers share |
//! | 1 | version |
//! | 2 | sender, its index, big-endian |
//! | 8 | its incarnation: Unix ms of its start, big-endian |
//! | 4 | sequence number of the datagram from this incarnation, from 1, big-endian |
//! | n | body, postcard |
//! | 16 or 4 | HMAC-SHA256 over all before, its first 16 bytes, where there is a key; else the CRC-32 of it |
//!
//! At most 256 bytes. Opening one checks its code before anything else is believed, then drops what is not from the
//! sender's present incarnation or was seen before.

use crate::terms::Member;
use hmac::{Hmac, KeyInit, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;
use std::collections::HashMap;

/// The first byte of a datagram of the control plane.
pub const KIND: u8 = 2;
/// The version written, and the only one read.
pub const VERSION: u8 = 1;
/// Bytes of a datagram at most.
pub const DATAGRAM_MOST: usize = 256;
const HEAD: usize = 16;
const MAC: usize = 16;
const CRC: usize = 4;
/// Bytes of a body at most, with a key or without.
pub const BODY_MOST: usize = DATAGRAM_MOST - HEAD - MAC;
/// A sender of an older incarnation is believed again only once nothing was heard of the newer for so many leases.
const FORGOTTEN_LEASES: f64 = 10.0;

/// Datagrams that were not taken, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Too short, too long, of another kind, a body that can't be read, or a sender that it can't be from.
    pub malformed: u64,
    /// Of a version that is not spoken here.
    pub version: u64,
    /// The code is not right: spoilt, or from one without the key.
    pub code: u64,
    /// Seen before, or of an earlier incarnation.
    pub replayed: u64,
}

/// The count under which one goes that is not taken.
type Reason = fn(&mut Dropped) -> &mut u64;

/// What was seen of a sender: its incarnation, and of the last 64 sequence numbers which came.
#[derive(Debug)]
struct Seen {
    incarnation: u64,
    highest: u32,
    /// Bit k: `highest - k` came.
    came: u64,
    at: f64,
}

impl Seen {
    /// Whether this number is new; it is then noted.
    fn note(&mut self, sequence: u32) -> bool {
        if sequence > self.highest {
            let by = sequence - self.highest;
            self.came = if by < 64 { self.came << by } else { 0 } | 1;
            self.highest = sequence;
            return true;
        }
        let back = self.highest - sequence;
        let new = back < 64 && self.came & (1 << back) == 0;
        if new {
            self.came |= 1 << back;
        }
        new
    }
}

/// Writes this instance's datagrams and reads the others'.
#[derive(Debug)]
pub struct Envelope {
    me: Member,
    incarnation: u64,
    sequence: u32,
    key: Option<Hmac<Sha256>>,
    forgotten_ms: f64,
    seen: HashMap<Member, Seen>,
    dropped: Dropped,
}

impl Envelope {
    /// The envelope of instance `me`, started at `incarnation` (Unix ms), under this key, if any.
    #[must_use]
    pub fn new(me: Member, incarnation: u64, key: Option<&[u8]>, lease_ms: f64) -> Self {
        // A key of any length is taken.
        let key = key.and_then(|key| Hmac::<Sha256>::new_from_slice(key).ok());
        let (seen, dropped) = (HashMap::new(), Dropped::default());
        Envelope {
            me,
            incarnation,
            sequence: 0,
            key,
            forgotten_ms: FORGOTTEN_LEASES * lease_ms,
            seen,
            dropped,
        }
    }

    /// What was not taken so far.
    #[must_use]
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// A datagram around this body.
    ///
    /// # Errors
    /// The body is longer than [`BODY_MOST`].
    pub fn seal(&mut self, body: &impl Serialize) -> Result<Vec<u8>, String> {
        self.sequence = self.sequence.checked_add(1).ok_or("no sequence number is left: restart")?;
        let mut bytes = Vec::with_capacity(DATAGRAM_MOST);
        bytes.extend([KIND, VERSION]);
        bytes.extend(self.me.0.to_be_bytes());
        bytes.extend(self.incarnation.to_be_bytes());
        bytes.extend(self.sequence.to_be_bytes());
        let mut bytes = postcard::to_extend(body, bytes).map_err(|e| e.to_string())?;
        if bytes.len() > HEAD + BODY_MOST {
            return Err(format!("a message of {} bytes fits no datagram", bytes.len() - HEAD));
        }
        match &self.key {
            Some(key) => {
                let code = key.clone().chain_update(&bytes).finalize().into_bytes();
                bytes.extend(&code[..MAC]);
            }
            None => bytes.extend(crc32fast::hash(&bytes).to_be_bytes()),
        }
        Ok(bytes)
    }

    /// The sender and body of a datagram heard at `now`, ms on the monotonic clock; none if it is not taken, and why is
    /// counted. `from`: whose address it came from, if that is known.
    pub fn open<B: DeserializeOwned>(
        &mut self,
        now: f64,
        from: Option<Member>,
        bytes: &[u8],
    ) -> Option<(Member, B)> {
        match self.try_open(now, from, bytes) {
            Ok(opened) => Some(opened),
            Err(reason) => {
                *reason(&mut self.dropped) += 1;
                None
            }
        }
    }

    fn try_open<B: DeserializeOwned>(
        &mut self,
        now: f64,
        from: Option<Member>,
        bytes: &[u8],
    ) -> Result<(Member, B), Reason> {
        let malformed: Reason = |d| &mut d.malformed;
        let code_length = if self.key.is_some() { MAC } else { CRC };
        if bytes.len() < 2 || bytes.len() > DATAGRAM_MOST || bytes[0] != KIND {
            return Err(malformed);
        }
        // Another version may lay out all else otherwise.
        if bytes[1] != VERSION {
            return Err(|d| &mut d.version);
        }
        let body_end = bytes.len().checked_sub(code_length).filter(|&end| end >= HEAD).ok_or(malformed)?;
        let (signed, code) = bytes.split_at(body_end);
        let right = match &self.key {
            Some(key) => key.clone().chain_update(signed).verify_truncated_left(code).is_ok(),
            None => crc32fast::hash(signed).to_be_bytes() == code,
        };
        if !right {
            return Err(|d| &mut d.code);
        }
        let sender = Member(u16::from_be_bytes([signed[2], signed[3]]));
        let incarnation = u64::from_be_bytes(signed[4..12].try_into().map_err(|_| malformed)?);
        let sequence = u32::from_be_bytes(signed[12..HEAD].try_into().map_err(|_| malformed)?);
        if sender == self.me || from.is_some_and(|from| from != sender) {
            return Err(malformed);
        }
        let body: B = postcard::from_bytes(&signed[HEAD..]).map_err(|_| malformed)?;
        let forgotten = |s: &Seen| now - s.at > self.forgotten_ms;
        let fresh = Seen { incarnation, highest: 0, came: 0, at: now };
        let seen = self.seen.entry(sender).or_insert_with(|| Seen { at: now, ..fresh });
        if incarnation > seen.incarnation || (incarnation < seen.incarnation && forgotten(seen)) {
            *seen = Seen { incarnation, highest: 0, came: 0, at: now };
        }
        if incarnation != seen.incarnation || !seen.note(sequence) {
            return Err(|d| &mut d.replayed);
        }
        seen.at = now;
        Ok((sender, body))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const KEY: &[u8] = b"a key of a fleet";

    fn pair(key: Option<&[u8]>) -> (Envelope, Envelope) {
        (Envelope::new(Member(3), 1000, key, 600.0), Envelope::new(Member(1), 900, key, 600.0))
    }

    #[test]
    fn what_was_sealed_opens_once_with_a_key_and_without() {
        for key in [None, Some(KEY)] {
            let (mut from, mut to) = pair(key);
            let bytes = from.seal(&("hello", 7u32)).unwrap();
            let opened: Option<(Member, (String, u32))> = to.open(0.0, Some(Member(3)), &bytes);
            assert_eq!(opened, Some((Member(3), ("hello".to_owned(), 7))));
            assert_eq!(to.open::<(String, u32)>(1.0, None, &bytes), None, "doubled");
            assert_eq!(to.dropped(), Dropped { replayed: 1, ..Dropped::default() });
        }
    }

    #[test]
    fn spoilt_foreign_and_other_versions_are_told_apart_and_dropped() {
        let (mut from, mut to) = pair(Some(KEY));
        let good = from.seal(&7u32).unwrap();
        for i in 0..good.len() {
            let mut bad = good.clone();
            bad[i] ^= 0x10;
            assert_eq!(to.open::<u32>(0.0, None, &bad), None, "byte {i}");
            assert_eq!(to.open::<u32>(0.0, None, &good[..i]), None, "cut at {i}");
        }
        let mut plain = Envelope::new(Member(3), 1000, None, 600.0);
        assert_eq!(to.open::<u32>(0.0, None, &plain.seal(&7u32).unwrap()), None, "without the key");
        assert_eq!(to.open::<u32>(0.0, Some(Member(2)), &good), None, "from another's address");
        let dropped = to.dropped();
        assert_eq!(dropped.version, 1);
        assert!(dropped.code > 20 && dropped.malformed > 3 && dropped.replayed == 0, "{dropped:?}");
        assert_eq!(
            to.open::<u32>(0.0, Some(Member(3)), &good),
            Some((Member(3), 7)),
            "nothing of these stuck"
        );
    }

    #[test]
    fn datagrams_may_overtake_each_other_but_an_earlier_life_is_over() {
        let (mut from, mut to) = pair(None);
        let early: Vec<_> = (0..80u32).map(|i| from.seal(&i).unwrap()).collect();
        assert!(to.open::<u32>(0.0, None, &early[79]).is_some());
        assert!(to.open::<u32>(0.0, None, &early[40]).is_some());
        assert!(to.open::<u32>(0.0, None, &early[3]).is_none(), "too old to be told from a repeat");
        let mut restarted = Envelope::new(Member(3), 2000, None, 600.0);
        assert!(to.open::<u32>(0.0, None, &restarted.seal(&1u32).unwrap()).is_some());
        assert!(to.open::<u32>(100.0, None, &early[50]).is_none());
        // Its clock was set back and it started again: believed once the later life is long silent.
        let mut back = Envelope::new(Member(3), 500, None, 600.0);
        assert!(to.open::<u32>(5000.0, None, &back.seal(&1u32).unwrap()).is_none());
        assert!(to.open::<u32>(6100.0, None, &back.seal(&2u32).unwrap()).is_some());
    }

    #[test]
    fn no_datagram_is_longer_than_agreed() {
        let (mut from, _) = pair(Some(KEY));
        assert_eq!(
            from.seal(&[7u8; BODY_MOST].as_slice().to_vec()[..BODY_MOST - 2].to_vec()).unwrap().len(),
            256
        );
        assert!(from.seal(&vec![7u8; BODY_MOST]).is_err());
    }
}
