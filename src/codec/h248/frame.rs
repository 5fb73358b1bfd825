//! Cuts a stream of H.248 text (ITU-T H.248.1 Annex B) into whole top-level items.
//!
//! A message is a header (`MEGACO/1 <mId>`) and one or more transactions; over a stream nothing marks where a
//! message ends, so each top-level item (`Transaction`, `Reply`, `Pending`, `TransactionResponseAck`, a message's
//! `Error`) is a frame of its own once its braces close. The header, where one stands before it, is part of the
//! frame. The scan keeps its place between reads, so a message split byte by byte costs no more than a whole one.

use crate::codec::unreadable::Unreadable;
use bytes::{Bytes, BytesMut};
use std::io;

/// Where the scan stands in what is not yet a frame.
#[derive(Debug, Default)]
pub struct Framer {
    /// Bytes looked at already.
    scanned: usize,
    depth: usize,
    quoted: bool,
    comment: bool,
    /// Something other than white space and comments was seen.
    begun: bool,
    most: usize,
}

/// Why the stream can't be read on.
#[derive(Debug, PartialEq, Eq)]
pub enum FrameError {
    /// More than `most` bytes without a whole item.
    TooLong(usize),
    /// A closing brace with none open.
    Unbalanced,
}

impl From<FrameError> for io::Error {
    fn from(error: FrameError) -> io::Error {
        let cause = match error {
            FrameError::TooLong(most) => {
                Unreadable::Oversized(format!("no whole H.248 item in {most} bytes"))
            }
            FrameError::Unbalanced => Unreadable::Malformed("a closing brace with none open".to_owned()),
        };
        cause.into()
    }
}

impl Framer {
    /// `most`: the bytes one item may take, header and comments included.
    pub fn new(most: usize) -> Self {
        Framer { most, ..Framer::default() }
    }

    /// The next whole item, taken out of `bytes`; none while it is not whole. White space and comments with no
    /// item after them are left where they are, and counted against `most`.
    pub fn next(&mut self, bytes: &mut BytesMut) -> Result<Option<Bytes>, FrameError> {
        let mut at = self.scanned;
        while at < bytes.len() {
            let byte = bytes[at];
            at += 1;
            if at > self.most {
                return Err(FrameError::TooLong(self.most));
            }
            if self.comment {
                self.comment = byte != b'\n' && byte != b'\r';
                continue;
            }
            if self.quoted {
                self.quoted = byte != b'"';
                continue;
            }
            match byte {
                b';' => self.comment = true,
                b'"' => (self.quoted, self.begun) = (true, true),
                b'{' => (self.depth, self.begun) = (self.depth + 1, true),
                b'}' if self.depth == 0 => return Err(FrameError::Unbalanced),
                b'}' => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        *self = Framer::new(self.most);
                        return Ok(Some(bytes.split_to(at).freeze()));
                    }
                }
                b if b.is_ascii_whitespace() => {}
                _ => self.begun = true,
            }
        }
        self.scanned = at;
        // Only blank space stands there: it is dropped, so that it counts against no later item.
        if !self.begun && !self.comment && self.depth == 0 {
            bytes.clear();
            self.scanned = 0;
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn frames(input: &[u8], chunk: usize) -> Result<Vec<String>, FrameError> {
        let mut framer = Framer::new(4096);
        let mut buffer = BytesMut::new();
        let mut found = Vec::new();
        for piece in input.chunks(chunk) {
            buffer.extend_from_slice(piece);
            while let Some(frame) = framer.next(&mut buffer)? {
                found.push(String::from_utf8_lossy(&frame).trim().to_owned());
            }
        }
        Ok(found)
    }

    #[test]
    fn an_item_split_byte_by_byte_is_one_frame() {
        let text =
            b"MEGACO/1 [10.0.0.1]:2944\nTransaction = 9 { Context = 7 { Add = a { M { O { x=\"}\" } } } } }";
        let whole = frames(text, text.len()).unwrap();
        assert_eq!(whole.len(), 1);
        assert_eq!(frames(text, 1).unwrap(), whole);
    }

    #[test]
    fn two_items_in_one_read_are_two_frames() {
        let found = frames(b"T=1{C=1{S=a}}\nP=2{C=2{A=b}} ; done {\n  ", 64).unwrap();
        assert_eq!(found, ["T=1{C=1{S=a}}", "P=2{C=2{A=b}}"]);
    }

    #[test]
    fn an_endless_item_and_a_stray_brace_are_errors() {
        let endless = vec![b'x'; 5000];
        assert_eq!(frames(&endless, 100), Err(FrameError::TooLong(4096)));
        assert_eq!(frames(b"T=1 }", 3), Err(FrameError::Unbalanced));
        let quoted = [&b"T=1{\""[..], &[b'x'; 5000]].concat();
        assert_eq!(frames(&quoted, 100), Err(FrameError::TooLong(4096)));
    }

    #[test]
    fn blank_space_between_items_counts_for_nothing() {
        let mut framer = Framer::new(16);
        let mut buffer = BytesMut::new();
        for _ in 0..100 {
            buffer.extend_from_slice(b"\r\n   ");
            assert_eq!(framer.next(&mut buffer), Ok(None));
        }
        buffer.extend_from_slice(b"PN=1{}");
        assert!(framer.next(&mut buffer).unwrap().is_some());
    }
}
