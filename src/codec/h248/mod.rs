//! The H.248-style text front (ITU-T H.248.1 Annex B text encoding): callers and call servers that speak it.
//!
//! A call is a context: its id is the call's id, in decimal. A set-up is `Add` in a `Transaction`, its answer the
//! `Reply` (or an `Error` in it), a release `Subtract` either way, and a caller's test `AuditValue`. Fields that
//! H.248.1 has no word for travel as properties of a package `cork` in a `LocalControl` (`O`) or `Statistics`
//! (`SA`) descriptor; texts are quoted, with `%`, `"`, control and non-ASCII bytes percent-encoded (RFC 3986).
//! `docs/h248.md` gives the mapping whole.
//!
//! [`frame`] cuts the stream into items, [`tree`] reads one, and [`callers`] and [`servers`] map them to the
//! engine's messages and back: the engine and the decision module see the same events from every front.

pub mod callers;
pub mod frame;
pub mod servers;
pub mod tree;

use super::unreadable::Unreadable;
use percent_encoding::{AsciiSet, CONTROLS, percent_decode_str, utf8_percent_encode};
use std::collections::HashMap;
use std::fmt::Write;
use std::hash::Hash;
use std::io;

/// Bytes that a quoted text carries encoded.
const ENCODED: &AsciiSet = &CONTROLS.add(b'"').add(b'%');

/// Transactions that one connection may hold open; past this the peer is taken to be broken.
pub const OPEN_MAX: usize = 8192;

/// A text as H.248 quotes it, quotes included.
pub fn quote(text: &str) -> String {
    format!("\"{}\"", utf8_percent_encode(text, ENCODED))
}

/// The text of a quoted value; none if its encoding gives no UTF-8.
pub fn unquote(value: &str) -> Option<String> {
    percent_decode_str(value).decode_utf8().ok().map(|text| text.into_owned())
}

/// The header that starts each message written: `MEGACO/1 <mid>` and a line's end.
pub fn header(mid: &str, out: &mut String) {
    let _ = writeln!(out, "MEGACO/1 {mid}");
}

/// A context id as the fronts write calls: decimal; `$`, `*` and `-` are none.
pub fn context(value: Option<&str>) -> Option<u64> {
    value?.parse().ok()
}

/// The first item in `bytes` that `read` makes a message of; items it passes over are used up. Errors: an item
/// that can't be framed or read, or what `read` gives.
fn next<T>(
    framer: &mut frame::Framer,
    bytes: &mut bytes::BytesMut,
    mut read: impl FnMut(&tree::Item) -> io::Result<Option<T>>,
) -> io::Result<Option<T>> {
    while let Some(frame) = framer.next(bytes)? {
        let text = std::str::from_utf8(&frame).map_err(syntax)?;
        let frame = tree::parse(text).map_err(syntax)?;
        if let Some(message) = read(&frame.item)? {
            return Ok(Some(message));
        }
    }
    Ok(None)
}

fn syntax(error: impl std::fmt::Display) -> io::Error {
    Unreadable::Malformed(error.to_string()).into()
}

/// Open transactions of one connection by a key, bounded by [`OPEN_MAX`].
#[derive(Debug)]
pub struct Open<K, V>(HashMap<K, V>);

impl<K: Hash + Eq, V> Default for Open<K, V> {
    fn default() -> Self {
        Open(HashMap::new())
    }
}

impl<K: Hash + Eq, V> Open<K, V> {
    /// Errs when the peer has left too many open.
    pub fn insert(&mut self, key: K, value: V) -> io::Result<()> {
        if self.0.len() >= OPEN_MAX && !self.0.contains_key(&key) {
            return Err(syntax(format!("over {OPEN_MAX} open transactions")));
        }
        self.0.insert(key, value);
        Ok(())
    }

    pub fn take(&mut self, key: &K) -> Option<V> {
        self.0.remove(key)
    }

    pub fn get(&self, key: &K) -> Option<&V> {
        self.0.get(key)
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quoted_texts_come_back_whole() {
        for text in ["v=0\r\no=- 1 1 IN IP4 10.0.0.1", "50% \"quoted\" ; {braces}", "æøå", ""] {
            let quoted = quote(text);
            assert!(!quoted[1..quoted.len() - 1].contains('"'));
            assert_eq!(unquote(&quoted[1..quoted.len() - 1]).as_deref(), Some(text));
        }
    }
}
