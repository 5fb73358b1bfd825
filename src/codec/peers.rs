//! Datagrams between border controllers: the load report of a call server, compact and checked.
//!
//! The first byte says what a datagram is, its version included, so that other kinds share the socket: [`REPORT`] is
//! a load report as laid down here, [`CONTROL`] belongs to the control plane and is not read here; a later layout of
//! the report takes a number of its own. A report goes on, in postcard's encoding, with its head ([`Head`]) and as
//! many pairs of a figure's number and its value (`f32`) as the head says, and ends with the CRC-32 of all before it,
//! little-endian. A figure goes by its own number ([`number`]), not by its place: one unknown here is passed over.

use crate::engine::PeerReport;
use crate::interface::LoadReport;
use serde::{Deserialize, Serialize};

/// No datagram is longer, bytes.
pub const DATAGRAM_MAX: usize = 256;
/// A load report, version 1.
pub const REPORT: u8 = 1;
/// The control plane's, handed on as it came.
pub const CONTROL: u8 = 2;

/// Bytes of the checksum.
const CHECK: usize = 4;

#[derive(Serialize, Deserialize)]
struct Head<'a> {
    /// Unix millisecond of the sender's start, and how long after it this was sent, ms.
    born_ms: u64,
    age_ms: u32,
    seq: u32,
    /// The call server's name in the list.
    server: &'a str,
    /// Figures that follow.
    figures: u8,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// Of no kind or version known here.
    Unknown,
    /// Its checksum is wrong, or it is no whole report.
    Damaged,
}

/// It would be longer than [`DATAGRAM_MAX`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

/// The figures that are told, each with its number on the wire; lines are each border controller's own.
fn figures(report: &LoadReport) -> [(u8, Option<f64>); 5] {
    [
        (1, report.queue),
        (2, report.utilisation),
        (3, report.wait_ms),
        (4, report.can_take),
        (5, report.hold_back),
    ]
}

/// The place of a figure, by its number.
fn number(report: &mut LoadReport, number: u8) -> Option<&mut Option<f64>> {
    match number {
        1 => Some(&mut report.queue),
        2 => Some(&mut report.utilisation),
        3 => Some(&mut report.wait_ms),
        4 => Some(&mut report.can_take),
        5 => Some(&mut report.hold_back),
        _ => None,
    }
}

/// Writes a report; the datagram is what comes back, a part of `buffer`. Errors: it would be too long.
pub fn write<'b>(report: &PeerReport, buffer: &'b mut [u8; DATAGRAM_MAX]) -> Result<&'b [u8], TooLong> {
    let told = figures(&report.report);
    let told = || told.iter().filter_map(|(number, value)| Some((*number, (*value)? as f32)));
    let head = Head {
        born_ms: report.born_ms,
        age_ms: report.age_ms,
        seq: report.seq,
        server: &report.server,
        figures: told().count() as u8,
    };
    buffer[0] = REPORT;
    let room = DATAGRAM_MAX - CHECK;
    let mut end = 1 + postcard::to_slice(&head, &mut buffer[1..room]).map_err(|_| TooLong)?.len();
    for figure in told() {
        end += postcard::to_slice(&figure, &mut buffer[end..room]).map_err(|_| TooLong)?.len();
    }
    let check = crc32fast::hash(&buffer[..end]).to_le_bytes();
    buffer[end..end + CHECK].copy_from_slice(&check);
    Ok(&buffer[..end + CHECK])
}

/// Reads a datagram of kind [`REPORT`]. Errors: see [`Flaw`].
pub fn read(datagram: &[u8]) -> Result<PeerReport, Flaw> {
    if datagram.first() != Some(&REPORT) {
        return Err(Flaw::Unknown);
    }
    let (body, check) = datagram.split_last_chunk::<CHECK>().ok_or(Flaw::Damaged)?;
    if datagram.len() > DATAGRAM_MAX || crc32fast::hash(body) != u32::from_le_bytes(*check) {
        return Err(Flaw::Damaged);
    }
    let whole = body.get(1..).ok_or(Flaw::Damaged)?;
    let (head, mut rest) = postcard::take_from_bytes::<Head>(whole).map_err(|_| Flaw::Damaged)?;
    let mut report = LoadReport::default();
    for _ in 0..head.figures {
        let ((figure, value), after) =
            postcard::take_from_bytes::<(u8, f32)>(rest).map_err(|_| Flaw::Damaged)?;
        rest = after;
        // As in a call server's own report: one below zero or not a number is absent.
        if let Some(place) = number(&mut report, figure) {
            *place = Some(f64::from(value)).filter(|v| v.is_finite() && *v >= 0.0);
        }
    }
    Ok(PeerReport {
        born_ms: head.born_ms,
        age_ms: head.age_ms,
        seq: head.seq,
        server: head.server.to_owned(),
        report,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn report() -> PeerReport {
        let report = LoadReport { wait_ms: Some(812.5), can_take: Some(40.0), ..LoadReport::default() };
        PeerReport {
            born_ms: 1_796_172_180_123,
            age_ms: 41_000,
            seq: 300,
            server: "s-00c41f7a".into(),
            report,
        }
    }

    fn written(report: &PeerReport) -> Vec<u8> {
        write(report, &mut [0; DATAGRAM_MAX]).unwrap().to_vec()
    }

    #[test]
    fn a_report_comes_back_as_it_was_in_a_few_bytes() {
        let bytes = written(&report());
        assert!(bytes.len() <= 48, "{} bytes", bytes.len());
        assert_eq!(read(&bytes), Ok(report()));
    }

    #[test]
    fn every_flipped_bit_and_every_cut_is_noticed() {
        let bytes = written(&report());
        for bit in 0..bytes.len() * 8 {
            let mut damaged = bytes.clone();
            damaged[bit / 8] ^= 1 << (bit % 8);
            assert!(read(&damaged).is_err(), "bit {bit}");
        }
        for end in 0..bytes.len() {
            assert!(read(&bytes[..end]).is_err(), "cut at {end}");
        }
    }

    #[test]
    fn a_figure_that_is_unknown_is_passed_over_and_other_kinds_are_told_apart() {
        let mut body = vec![REPORT];
        let head = Head { born_ms: 5, age_ms: 1, seq: 9, server: "s-a", figures: 3 };
        body.extend(postcard::to_stdvec(&head).unwrap());
        for figure in [(77u8, 3.0f32), (3, 250.0), (1, f32::NAN)] {
            body.extend(postcard::to_stdvec(&figure).unwrap());
        }
        body.extend(crc32fast::hash(&body).to_le_bytes());
        let known = LoadReport { wait_ms: Some(250.0), ..LoadReport::default() };
        assert_eq!(read(&body).unwrap().report, known);
        for kind in [0, CONTROL, 3, 255] {
            body[0] = kind;
            assert_eq!(read(&body), Err(Flaw::Unknown));
        }
    }

    #[test]
    fn a_name_that_does_not_fit_is_no_datagram() {
        let named = |n| PeerReport { server: "s".repeat(n), ..report() };
        assert!(written(&named(200)).len() <= DATAGRAM_MAX);
        assert_eq!(write(&named(240), &mut [0; DATAGRAM_MAX]), Err(TooLong));
    }

    proptest! {
        #[test]
        fn no_bytes_make_it_panic(mut bytes in proptest::collection::vec(any::<u8>(), 0..300), sound: bool) {
            if sound && bytes.len() > CHECK {
                let end = bytes.len() - CHECK;
                bytes[0] = REPORT;
                let check = crc32fast::hash(&bytes[..end]).to_le_bytes();
                bytes[end..].copy_from_slice(&check);
            }
            let _ = read(&bytes);
        }
    }
}
