//! Cost of learned deadlines: nanoseconds and heap allocations of an arrival that is only counted, of one after
//! which the deadline is decided anew, and of a gather from opening to close, with what is learned of it.
//!
//!     cargo bench --bench gather [-- GATHERS]
//!
//! GATHERS gathers (2,000 by default) of 20 members with 100 answers each; allocations are counted by dhat's
//! allocator in a second pass.

use corkreach::gather::{GatherId, Gathers, Key, Settings};
use corkreach::terms::Member;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

#[global_allocator]
static ALLOC: dhat::Alloc = dhat::Alloc;

static COUNTING: AtomicBool = AtomicBool::new(false);

fn blocks() -> u64 {
    if COUNTING.load(Ordering::Relaxed) { dhat::HeapStats::get().total_blocks } else { 0 }
}

/// Nanoseconds and allocations of a part of the work, over all gathers.
#[derive(Default)]
struct Cost {
    nanos: f64,
    blocks: f64,
    times: f64,
}

impl Cost {
    fn add<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let (before, since) = (blocks(), Instant::now());
        let done = work();
        self.nanos += since.elapsed().as_nanos() as f64;
        self.blocks += (blocks() - before) as f64;
        self.times += 1.0;
        done
    }
}

/// Costs of a counted arrival, a decided one, and of opening and closing a gather.
fn gathers(n: u64) -> [Cost; 3] {
    let mut gathers = Gathers::new(Settings::rounds(), 0x5eed);
    let members: Vec<Member> = (0..20).map(Member).collect();
    let mut rng = fastrand::Rng::with_seed(7);
    let [mut counted, mut decided, mut whole] = <[Cost; 3]>::default();
    let mut out = Vec::with_capacity(4);
    for i in 0..n {
        let (id, start) = (GatherId(i), i as f64 * 1000.0);
        whole.add(|| gathers.open(start, id, Key::round("demand", 20), 2000, &members));
        for k in 0..100u32 {
            let (member, at) =
                (Member((k % 20) as u16), start + 1.0 + f64::from(k) * 0.1 * (1.0 + rng.f64()));
            // One answer of 2,000 is no news; a batch of 35 is.
            let part = if k < 80 { &mut counted } else { &mut decided };
            let told = if k < 80 { k / 20 + 1 } else { 40 };
            part.add(|| gathers.arrived(at, id, member, told));
        }
        whole.add(|| gathers.poll(start + 900.0, &mut out));
        out.clear();
    }
    [counted, decided, whole]
}

fn main() {
    let n = std::env::args().skip(1).find_map(|a| a.parse().ok()).unwrap_or(2_000);
    let timed = gathers(n);
    let _profiler = dhat::Profiler::builder().testing().build();
    COUNTING.store(true, Ordering::Relaxed);
    let allocated = gathers(n.min(200));
    println!("{n} gathers (allocations over {})", n.min(200));
    println!("{:<44} {:>8} {:>11}", "", "ns", "allocs");
    let names = [
        "an arrival, counted",
        "an arrival, deadline decided anew",
        "opening, close and learning (half of both)",
    ];
    for ((name, timed), allocated) in names.iter().zip(timed).zip(allocated) {
        let (nanos, allocs) = (timed.nanos / timed.times, allocated.blocks / allocated.times);
        println!("{name:<44} {nanos:>8.0} {allocs:>11.3}");
    }
}
