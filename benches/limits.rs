//! Decision cost of the fleet limits per call: nanoseconds and heap allocations of the questions the engine
//! asks, a first attempt counted and a second attempt weighed against the budget, and a redial paced.
//!
//!     cargo bench --bench limits [-- CALLS]
//!
//! CALLS calls (200,000 by default) spread over 16 call servers at 2,000 a second of engine time; every
//! call has a first attempt and asks for one second attempt. Allocations are counted by dhat's allocator in a
//! second pass.

use corkreach::interface::ServerId;
use corkreach::limits::{LimitSettings, Limits};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

#[global_allocator]
static ALLOC: dhat::Alloc = dhat::Alloc;

static COUNTING: AtomicBool = AtomicBool::new(false);

fn blocks() -> u64 {
    if COUNTING.load(Ordering::Relaxed) { dhat::HeapStats::get().total_blocks } else { 0 }
}

/// Nanoseconds and allocations per call, and the share of second attempts let through.
fn calls(n: u64) -> (f64, f64, f64) {
    let mut limits = Limits::new(LimitSettings::default(), 0x5eed);
    let before = blocks();
    let since = Instant::now();
    let mut sent = 0u64;
    for i in 0..n {
        let (server, now) = (ServerId(i % 16), i as f64 * 0.5);
        let worth = if i % 3 == 0 { 3.0 } else { 1.0 };
        if limits.admits_first(worth, now) {
            limits.first_sent(server, now);
        }
        sent += u64::from(limits.may_retry(server, worth, now, 20));
    }
    let nanos = since.elapsed().as_nanos() as f64 / n as f64;
    ((nanos), (blocks() - before) as f64 / n as f64, sent as f64 / n as f64)
}

/// Nanoseconds and allocations per redial of servers that stay down, with a fleet of 20.
fn redials(n: u64) -> (f64, f64) {
    let mut limits = Limits::new(LimitSettings::default(), 0x5eed);
    let before = blocks();
    let since = Instant::now();
    let mut at = 0.0;
    for i in 0..n {
        at += limits.redial_after(ServerId(i % 16), at, 20) / 16.0;
    }
    (since.elapsed().as_nanos() as f64 / n as f64, (blocks() - before) as f64 / n as f64)
}

fn main() {
    let n = std::env::args().skip(1).find_map(|a| a.parse().ok()).unwrap_or(200_000);
    let (call_ns, _, share) = calls(n);
    let (redial_ns, _) = redials(n);
    let _profiler = dhat::Profiler::builder().testing().build();
    COUNTING.store(true, Ordering::Relaxed);
    let (_, call_blocks, _) = calls(n.min(20_000));
    let (_, redial_blocks) = redials(n.min(20_000));
    println!("{n} calls (allocations over {})", n.min(20_000));
    println!("{:<44} {:>8} {:>11}", "", "ns", "allocs");
    println!("{:<44} {call_ns:>8.0} {call_blocks:>11.3}", "first attempt + second attempt weighed, a call");
    println!("{:<44} {redial_ns:>8.0} {redial_blocks:>11.3}", "redial paced, a dial");
    println!("second attempts let through: {:.3} of calls (budget 0.1 + floor)", share);
}
