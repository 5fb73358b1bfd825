//! Callers' binary messages, from the caller's side.

use bytes::{Buf, BytesMut};

pub const SET_UP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const HEARD: u8 = 16;
pub const TEST: u8 = 52;
pub const TESTED: u8 = 53;

pub const CLASS: u8 = 129;
pub const WAIT: u8 = 130;
pub const RETRY: u8 = 132;
pub const NUMBER: u8 = 133;
pub const EXTRAS: u8 = 134;
pub const STAY_AWAY: u8 = 135;
pub const CAUSE: u8 = 143;
pub const DESCRIPTION: u8 = 144;

/// Type and call.
const HEAD: usize = 9;
const MESSAGE_MAX: usize = 16 * 1024;

/// A message, its parameters by code.
#[derive(Clone, Debug)]
pub struct Message {
    pub kind: u8,
    pub call: u64,
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    pub fn new(kind: u8, call: u64, parameters: &[(u8, &[u8])]) -> Message {
        Message {
            kind,
            call,
            parameters: parameters.iter().map(|&(code, value)| (code, value.to_vec())).collect(),
        }
    }

    pub fn text(&self, code: u8) -> Option<String> {
        let (_, value) = self.parameters.iter().find(|(own, _)| *own == code)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    pub fn cause(&self) -> Option<u8> {
        let (_, value) = self.parameters.iter().find(|(own, _)| *own == CAUSE)?;
        value.first().copied()
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut body = vec![self.kind];
        body.extend(self.call.to_be_bytes());
        for (code, value) in &self.parameters {
            body.push(*code);
            body.extend((value.len() as u16).to_be_bytes());
            body.extend(value);
        }
        [&(body.len() as u16).to_be_bytes()[..], &body].concat()
    }
}

/// The next whole message, taken out of `bytes`; an error says why none can follow.
pub fn decode(bytes: &mut BytesMut) -> Result<Option<Message>, String> {
    if bytes.len() < 2 {
        return Ok(None);
    }
    let length = usize::from(u16::from_be_bytes([bytes[0], bytes[1]]));
    if !(HEAD..=MESSAGE_MAX).contains(&length) {
        return Err(format!("a message of {length} bytes"));
    }
    if bytes.len() < 2 + length {
        return Ok(None);
    }
    bytes.advance(2);
    let body = bytes.split_to(length);
    let call = u64::from_be_bytes(body[1..HEAD].try_into().unwrap());
    let (mut rest, mut parameters) = (&body[HEAD..], Vec::new());
    while !rest.is_empty() {
        if rest.len() < 3 {
            return Err("half a parameter".to_owned());
        }
        let end = 3 + usize::from(u16::from_be_bytes([rest[1], rest[2]]));
        let value = rest.get(3..end).ok_or("a parameter beyond its message")?;
        parameters.push((rest[0], value.to_vec()));
        rest = &rest[end..];
    }
    Ok(Some(Message { kind: body[0], call, parameters }))
}
