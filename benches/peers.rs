//! Cost of a datagram between border controllers: nanoseconds and heap allocations to write one and to read one.
//!
//!     cargo bench --bench peers [-- DATAGRAMS]
//!
//! Timed without counting, which slows every allocation; counted by dhat's allocator in a second pass.

use corkreach::LoadReport;
use corkreach::codec::peers::{DATAGRAM_MAX, read, write};
use corkreach::engine::PeerReport;
use std::hint::black_box;
use std::time::Instant;

#[global_allocator]
static ALLOC: dhat::Alloc = dhat::Alloc;

fn report(seq: u32) -> PeerReport {
    let report =
        LoadReport { wait_ms: Some(f64::from(seq % 3000)), can_take: Some(58.0), ..LoadReport::default() };
    PeerReport { born_ms: 1_796_172_180_123, age_ms: 41_000 + seq, seq, server: "s-00c41f7a".into(), report }
}

/// Nanoseconds per datagram written and per one read, and a datagram's bytes.
fn pass(datagrams: u32, counted: &mut impl FnMut()) -> (f64, f64, usize) {
    let mut report = report(1);
    let mut buffer = [0; DATAGRAM_MAX];
    counted();
    let since = Instant::now();
    for seq in 1..=datagrams {
        report.seq = seq;
        black_box(write(black_box(&report), &mut buffer).is_ok());
    }
    let writing = since.elapsed().as_nanos() as f64;
    counted();
    let datagram = write(&report, &mut buffer).map(<[u8]>::to_vec).unwrap_or_default();
    counted();
    let since = Instant::now();
    for _ in 0..datagrams {
        assert!(black_box(read(black_box(&datagram))).is_ok());
    }
    let reading = since.elapsed().as_nanos() as f64;
    counted();
    (writing / f64::from(datagrams), reading / f64::from(datagrams), datagram.len())
}

fn main() {
    let datagrams = std::env::args().skip(1).find_map(|a| a.parse().ok()).unwrap_or(1_000_000);
    let (writing, reading, bytes) = pass(datagrams, &mut || {});
    let _profiler = dhat::Profiler::builder().testing().build();
    let mut blocks = Vec::with_capacity(4);
    let few = datagrams.min(20_000);
    pass(few, &mut || blocks.push(dhat::HeapStats::get().total_blocks));
    let per = |from: usize| (blocks[from + 1] - blocks[from]) as f64 / f64::from(few);
    println!("{datagrams} datagrams of {bytes} bytes (allocations over {few})");
    println!("{:<8} {:>8} {:>11}", "", "ns", "allocations");
    println!("{:<8} {writing:>8.0} {:>11.2}", "write", per(0));
    println!("{:<8} {reading:>8.0} {:>11.2}", "read", per(2));
}
