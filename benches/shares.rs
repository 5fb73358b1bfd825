//! Cost of a budget's check at a call: nanoseconds and heap allocations of looking for new parts, spending, and
//! counting what was asked, with parts that the control thread renews.
//!
//!     cargo bench --bench shares [-- CALLS]
//!
//! CALLS spendings (2,000,000 by default) over eight budgets; every 5,000th finds new parts. Allocations are counted
//! by dhat's allocator in a second pass.

use corkreach::shares::{Exchange, Purse};
use corkreach::terms::{Budget, BudgetId, Epoch, Part, Spending};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

#[global_allocator]
static ALLOC: dhat::Alloc = dhat::Alloc;

static COUNTING: AtomicBool = AtomicBool::new(false);

fn blocks() -> u64 {
    if COUNTING.load(Ordering::Relaxed) { dhat::HeapStats::get().total_blocks } else { 0 }
}

fn parts(now: f64) -> Vec<Part> {
    let part =
        |id| Part { budget: BudgetId(id), per_s: 80.0, burst: 20.0, until: now + 2000.0, epoch: Epoch(1) };
    (0..8).map(part).collect()
}

fn calls(n: u64, counted: bool) -> (f64, f64, f64) {
    let budgets: Vec<Budget> = (0..8)
        .map(|id| Budget {
            id: BudgetId(id),
            name: format!("b{id}"),
            spending: Spending::SetUps,
            server: None,
            site: None,
            class: None,
            number_prefix: None,
            per_s: 1000.0,
            burst: 100.0,
            floor: 0.1,
        })
        .collect();
    let exchange = Exchange::new(&budgets);
    let mut purse = Purse::new(budgets, 10, 0.0);
    let (mut seen, mut spent, mut renewals) = (0, 0u64, 0);
    let before = blocks();
    let since = Instant::now();
    for i in 0..n {
        let (now, id) = (i as f64 * 0.1, BudgetId((i % 8) as u16));
        if i % 5000 == 0 {
            let held = blocks();
            exchange.publish(parts(now));
            renewals += blocks() - held;
        }
        if let Some(news) = exchange.news(&mut seen) {
            purse.take(now, &news.parts);
        }
        let may = purse.spend(now, id);
        if counted {
            exchange.asked(id, 1.0, may);
        }
        spent += u64::from(may);
    }
    let nanos = since.elapsed().as_nanos() as f64 / n as f64;
    (nanos, (blocks() - before - renewals) as f64 / n as f64, spent as f64 / n as f64)
}

fn main() {
    let n = std::env::args().skip(1).find_map(|a| a.parse().ok()).unwrap_or(2_000_000);
    let (spend_ns, _, share) = calls(n, false);
    let (count_ns, _, _) = calls(n, true);
    let _profiler = dhat::Profiler::builder().testing().build();
    COUNTING.store(true, Ordering::Relaxed);
    let (_, spend_blocks, _) = calls(n.min(20_000), false);
    let (_, count_blocks, _) = calls(n.min(20_000), true);
    println!("{n} calls (allocations over {})", n.min(20_000));
    println!("{:<44} {:>8} {:>11}", "", "ns", "allocs");
    println!("{:<44} {spend_ns:>8.0} {spend_blocks:>11.3}", "a spending, with expiry and news checked");
    println!("{:<44} {count_ns:>8.0} {count_blocks:>11.3}", "the same, and counted as demand");
    println!("spent: {share:.3} of what was asked");
}
