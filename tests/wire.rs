//! The adapter, on frames written here.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const INFO: &str = r#"{"siblings": 3, "index": 0, "unknown": [1, null],
 "services": [{"deadline_ms": 9000.0, "target_ms": 1500.0, "worth": 1.0, "name": "x", "late_worth": 0.2}],
 "report": {"columns": ["free", "size", "latency_ms"], "how": "answers"},
 "ceilings": {"attempts_cap": 4, "cancel": true},
 "rules": {"cold_from": 0.3, "cold_ms": 14000.0, "fall_ms": 2000.0, "fall_multiple": 2.5},
 "specifics": {"guard_ms": 300.0, "t1_ms": 400.0}}"#;

fn adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_corkreach-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may leave before it has read all: then the pipe breaks, and its exit tells why.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn frame(clock: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(clock.to_be_bytes());
    frame.extend((records.len() as u32).to_be_bytes());
    frame.extend(body);
    frame
}

fn record(code: u16, fields: &[&[u8]]) -> Vec<u8> {
    [&code.to_be_bytes()[..], &fields.concat()].concat()
}

const SWITCH: [u8; 6] = [10, 18, 74, 7, 31, 67];

fn on(i: u16) -> Vec<u8> {
    record(1090, &[&i.to_be_bytes()])
}

fn configure(info: &str) -> Vec<u8> {
    record(1080, &[&9u64.to_be_bytes(), &(info.len() as u32).to_be_bytes(), info.as_bytes()])
}

fn register(number: u32) -> Vec<u8> {
    let tail = [&[0u8; 7][..], &1.0f32.to_be_bytes(), &0.0f64.to_be_bytes()].concat();
    record(1040, &[&number.to_be_bytes(), &1u32.to_be_bytes(), &SWITCH, &tail])
}

fn membership(number: u32, kind: u8) -> Vec<u8> {
    record(1110, &[&number.to_be_bytes(), &[kind], &1u64.to_be_bytes()])
}

fn order(id: u64) -> Vec<u8> {
    let times = [3000.0f64.to_be_bytes(), 0.0f64.to_be_bytes()].concat();
    let floats = [0.0f32, 1.0, -1.0].map(f32::to_be_bytes).concat();
    record(1050, &[&id.to_be_bytes(), &[0], &[0; 4], &[0; 8], &times, &floats, &[0]])
}

fn deliver(id: u64) -> Vec<u8> {
    record(1000, &[&id.to_be_bytes(), &SWITCH, &0.0f64.to_be_bytes()])
}

fn start() -> Vec<u8> {
    frame(100.0, &[on(3), configure(INFO), register(0), membership(0, 2)])
}

fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    haystack.windows(needle.len()).any(|w| w == needle)
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let out = adapter(&frame(242.0, &[]));
    assert!(out.status.success());
    assert_eq!(out.stdout, [0; 8]);
}

#[test]
fn a_call_is_delivered_on_behalf_of_its_instance() {
    let input = [start(), frame(200.0, &[on(3), order(77)])].concat();
    let out = adapter(&input);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    // The first reply is empty; the second: on_behalf 3, then the set-up among two timers.
    assert_eq!(out.stdout[..8], [0; 8]);
    let reply = &out.stdout[8..];
    assert_eq!(reply[..8], [0, 0, 0, 4 + 18 * 2 + 24, 0, 0, 0, 4]);
    assert_eq!(reply[8..12], record(1120, &[&3u16.to_be_bytes()]));
    assert!(contains(reply, &deliver(77)));
}

#[test]
fn a_restarted_instance_knows_nothing_and_lists_are_renumbered() {
    let stop = record(1060, &[]);
    let old = frame(200.0, &[on(3), stop, order(5), configure(INFO), order(6)]);
    let out =
        adapter(&[start(), old, frame(205.0, &[register(0), on(3), membership(0, 1), order(7)])].concat());
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert!(!contains(&out.stdout, &deliver(5)), "stopped");
    assert!(!contains(&out.stdout, &deliver(6)), "no list yet");
    assert!(contains(&out.stdout, &deliver(7)));
}

#[test]
fn outcomes_for_calls_no_longer_held_are_passed_over() {
    let report = [&[3u8][..], &[50.0f32, 100.0, f32::NAN].map(f32::to_be_bytes).concat()].concat();
    let late = |result: u16| {
        let id = 999u64.to_be_bytes();
        let tail = [&result.to_be_bytes()[..], &12.0f64.to_be_bytes()].concat();
        record(1070, &[&id, &[0], &SWITCH, &[1], &0u32.to_be_bytes(), &tail, &report])
    };
    let results = [200, 502, 429, 408, 521, 520, 444, 409];
    let records: Vec<_> = std::iter::once(on(3)).chain(results.map(late)).collect();
    let out = adapter(&[start(), frame(300.0, &records)].concat());
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(out.stdout, [0; 16]);
}

#[test]
fn what_is_malformed_ends_in_one_plain_line() {
    let mut oversized = frame(1.0, &[]);
    oversized[..4].copy_from_slice(&u32::MAX.to_be_bytes());
    let mut short_count = frame(1.0, &[on(1)]);
    short_count[15] = 9;
    let long_text = record(1080, &[&[0; 8], &u32::MAX.to_be_bytes()]);
    let cases = [
        vec![1, 2, 3],
        start()[..40].to_vec(),
        oversized,
        short_count,
        frame(f64::NAN, &[]),
        frame(1.0, &[order(1)]),
        frame(1.0, &[on(1), record(4242, &[])]),
        frame(1.0, &[on(1), long_text]),
        frame(1.0, &[on(1), configure("{not json")]),
        frame(1.0, &[on(1), configure(r#"{"siblings": 3}"#)]),
        frame(1.0, &[on(1), configure(INFO), membership(7, 1)]),
        [frame(1.0, &[]), frame(1.0, &[[on(1), vec![0]].concat()])].concat(),
    ];
    for (i, case) in cases.iter().enumerate() {
        let out = adapter(case);
        let text = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(1), "case {i}: {text}");
        assert_eq!(text.lines().count(), 1, "case {i}: {text}");
        assert!(text.starts_with("corkreach-benchlink: "), "case {i}: {text}");
    }
}
