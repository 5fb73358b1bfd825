//! Decode cost per message of each front's codecs: nanoseconds and heap allocations, binary and JSON beside text.
//!
//!     cargo bench --bench codecs [-- MESSAGES]
//!
//! Each codec reads MESSAGES set-ups (callers) or answers (call servers) from one buffer, in batches of 4,000
//! with a new codec each, as a connection would read a burst. Allocations are counted by dhat's allocator.

use bytes::{BufMut, BytesMut};
use corkreach::codec::h248::callers::CallerCodec;
use corkreach::codec::h248::servers::ServerCodec;
use corkreach::engine::ToServer;
use corkreach::interface::CallId;
use corkreach::net::{callers, servers};
use std::time::Instant;
use tokio_util::codec::{Decoder, Encoder};

#[global_allocator]
static ALLOC: dhat::Alloc = dhat::Alloc;

const BATCH: u64 = 4000;
const SDP: &str = "v=0\r\no=- 1 1 IN IP4 10.4.7.9\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n";

fn binary_set_up(call: u64, out: &mut BytesMut) {
    let mut parameters = BytesMut::new();
    for (code, value) in [(129u8, "voice"), (130, "9000"), (133, "7f3a"), (134, "dest:0;width:1"), (144, SDP)]
    {
        parameters.put_u8(code);
        parameters.put_u16(value.len() as u16);
        parameters.put_slice(value.as_bytes());
    }
    out.put_u16(9 + parameters.len() as u16);
    out.put_u8(1);
    out.put_u64(call);
    out.put_slice(&parameters);
}

fn text_set_up(call: u64, out: &mut BytesMut) {
    let desc = corkreach::codec::h248::quote(SDP);
    let text = format!(
        "MEGACO/1 [10.0.0.1]:2944\nTransaction = {call} {{Context = {call} {{Add = voice {{Media {{LocalControl \
         {{cork/wait = 9000, cork/number = 7f3a, cork/extras = \"dest:0;width:1\", cork/desc = {desc}}}}}}}}}}}\n"
    );
    out.put_slice(text.as_bytes());
}

fn json_answer(call: u64, out: &mut BytesMut) {
    let line = serde_json::json!({"t": "up", "ref": format!("{call:016x}"), "f": {}, "d": SDP});
    out.put_slice(format!("{line}\n").as_bytes());
}

fn text_answer(call: u64, out: &mut BytesMut) {
    let desc = corkreach::codec::h248::quote(SDP);
    let text = format!(
        "MEGACO/1 <s>\nReply = {call} {{Context = {call} {{Add = voice {{Media {{LocalControl {{cork/desc = {desc}}}}}}}}}}}\n"
    );
    out.put_slice(text.as_bytes());
}

/// Nanoseconds and allocations per message to decode `messages` of them.
fn measure<D: Decoder>(
    messages: u64,
    write: fn(u64, &mut BytesMut),
    codec: impl Fn() -> D,
) -> (f64, f64, u64) {
    let mut batches = Vec::new();
    for start in (1..=messages).step_by(BATCH as usize) {
        let mut buffer = BytesMut::new();
        for call in start..(start + BATCH).min(messages + 1) {
            write(call, &mut buffer);
        }
        batches.push(buffer);
    }
    let bytes: usize = batches.iter().map(BytesMut::len).sum();
    let before = blocks();
    let since = Instant::now();
    let mut read = 0;
    for mut buffer in batches {
        let mut codec = codec();
        while let Ok(Some(_)) = codec.decode(&mut buffer) {
            read += 1;
        }
    }
    let nanos = since.elapsed().as_nanos() as f64;
    let blocks = blocks() - before;
    assert_eq!(read, messages, "every message is read");
    (nanos / messages as f64, blocks as f64 / messages as f64, bytes as u64 / messages)
}

fn encode_set_ups<E: for<'a> Encoder<&'a ToServer>>(messages: u64, codec: impl Fn() -> E) -> (f64, f64) {
    let before = blocks();
    let since = Instant::now();
    let mut buffer = BytesMut::new();
    for start in (1..=messages).step_by(BATCH as usize) {
        let mut codec = codec();
        for call in start..(start + BATCH).min(messages + 1) {
            let message = ToServer::SetUp {
                call: CallId(call),
                class: "voice".to_owned(),
                left_ms: 8800,
                number: Some("7f3a".to_owned()),
                description: SDP.to_owned(),
            };
            let _ = codec.encode(&message, &mut buffer);
            buffer.clear();
        }
    }
    let nanos = since.elapsed().as_nanos() as f64;
    let blocks = blocks() - before;
    (nanos / messages as f64, blocks as f64 / messages as f64)
}

/// Heap blocks allocated so far, while dhat counts; nothing while it does not.
fn blocks() -> u64 {
    if COUNTING.load(std::sync::atomic::Ordering::Relaxed) { dhat::HeapStats::get().total_blocks } else { 0 }
}

static COUNTING: std::sync::atomic::AtomicBool = std::sync::atomic::AtomicBool::new(false);

type Row = (&'static str, f64, f64);

/// One pass over every codec: the time and the allocations of each.
fn pass(messages: u64) -> Vec<Row> {
    let decode = [
        ("decode caller set-up, binary", measure(messages, binary_set_up, || callers::Codec)),
        ("decode caller set-up, H.248 text", measure(messages, text_set_up, || CallerCodec::new("<c>"))),
        ("decode server answer, JSON lines", measure(messages, json_answer, servers::Codec::default)),
        ("decode server answer, H.248 text", measure(messages, text_answer, || ServerCodec::new("<c>"))),
    ];
    let mut rows: Vec<Row> =
        decode.into_iter().map(|(name, (nanos, blocks, _))| (name, nanos, blocks)).collect();
    for (name, (nanos, blocks)) in [
        ("encode set-up to server, JSON lines", encode_set_ups(messages, servers::Codec::default)),
        ("encode set-up to server, H.248 text", encode_set_ups(messages, || ServerCodec::new("<c>"))),
    ] {
        rows.push((name, nanos, blocks));
    }
    rows
}

fn main() {
    let messages = std::env::args().skip(1).find_map(|a| a.parse().ok()).unwrap_or(200_000);
    // Timed without counting, which slows every allocation; counted in a second pass.
    let timed = pass(messages);
    let _profiler = dhat::Profiler::builder().testing().build();
    COUNTING.store(true, std::sync::atomic::Ordering::Relaxed);
    let counted = pass(messages.min(20_000));
    println!("{messages} messages a codec (allocations over {})", messages.min(20_000));
    println!("{:<38} {:>8} {:>11}", "", "ns/msg", "allocs/msg");
    for ((name, nanos, _), (_, _, blocks)) in timed.into_iter().zip(counted) {
        println!("{name:<38} {nanos:>8.0} {blocks:>11.1}");
    }
}
