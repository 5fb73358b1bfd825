//! What the control thread and the traffic thread share: the parts decided, as one immutable snapshot, and counters of
//! what was asked for. Neither waits for the other.

use super::sites::Sites;
use crate::terms::{Budget, BudgetId, Demand, Part};
use arc_swap::ArcSwap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Everything decided at one time.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Counts up with each change.
    pub version: u64,
    /// All budgets in force.
    pub budgets: Arc<Vec<Budget>>,
    /// This member's own parts.
    pub parts: Arc<Vec<Part>>,
}

/// What was asked of one budget since the last reading.
#[derive(Debug, Default)]
struct Counter {
    asked: AtomicU64,
    /// Thousandths.
    worth: AtomicU64,
    spent: AtomicU64,
}

type Counters = Vec<(BudgetId, Arc<Counter>)>;

/// Shared in an [`Arc`]; every method takes `&self`.
#[derive(Debug)]
pub struct Exchange {
    snapshot: ArcSwap<Snapshot>,
    version: AtomicU64,
    counters: ArcSwap<Counters>,
    sites: Sites,
}

fn counters(budgets: &[Budget], old: &Counters) -> Counters {
    let mut new: Counters = budgets
        .iter()
        .map(|b| (b.id, old.iter().find(|(id, _)| *id == b.id).map(|(_, c)| c.clone()).unwrap_or_default()))
        .collect();
    new.sort_by_key(|(id, _)| *id);
    new
}

impl Exchange {
    #[must_use]
    pub fn new(budgets: &[Budget]) -> Self {
        let snapshot = Snapshot { version: 1, budgets: Arc::new(budgets.to_vec()), parts: Arc::default() };
        Exchange {
            snapshot: ArcSwap::from_pointee(snapshot),
            version: AtomicU64::new(1),
            counters: ArcSwap::from_pointee(counters(budgets, &Vec::new())),
            sites: Sites::default(),
        }
    }

    /// What is told of the sites that reservations know.
    #[must_use]
    pub fn sites(&self) -> &Sites {
        &self.sites
    }

    /// Control thread: the parts are these from now on. To be called before any message is sent that came with or
    /// after them: an acknowledgement that travels ahead of it would give away what is still being spent.
    pub fn publish(&self, parts: Vec<Part>) {
        let old = self.snapshot.load();
        self.put(Snapshot { version: old.version + 1, budgets: old.budgets.clone(), parts: Arc::new(parts) });
    }

    /// Control thread: the budgets in force are these from now on.
    pub fn set_budgets(&self, budgets: &[Budget]) {
        self.counters.store(Arc::new(counters(budgets, &self.counters.load())));
        let old = self.snapshot.load();
        self.put(Snapshot {
            version: old.version + 1,
            budgets: Arc::new(budgets.to_vec()),
            parts: old.parts.clone(),
        });
    }

    fn put(&self, snapshot: Snapshot) {
        let version = snapshot.version;
        self.snapshot.store(Arc::new(snapshot));
        self.version.store(version, Ordering::Release);
    }

    /// Traffic thread, before each spending: what is new since `seen`, which is brought up to date. One atomic load
    /// if nothing is.
    pub fn news(&self, seen: &mut u64) -> Option<Arc<Snapshot>> {
        if self.version.load(Ordering::Acquire) == *seen {
            return None;
        }
        let snapshot = self.snapshot.load_full();
        *seen = snapshot.version;
        Some(snapshot)
    }

    /// What is decided now.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Traffic thread: a spending of `worth` was asked for, and allowed or not. Unknown budgets are not counted.
    pub fn asked(&self, budget: BudgetId, worth: f64, spent: bool) {
        let counters = self.counters.load();
        let Ok(at) = counters.binary_search_by_key(&budget, |(id, _)| *id) else { return };
        let counter = &counters[at].1;
        counter.asked.fetch_add(1, Ordering::Relaxed);
        counter.worth.fetch_add((worth * 1000.0) as u64, Ordering::Relaxed);
        counter.spent.fetch_add(u64::from(spent), Ordering::Relaxed);
    }

    /// Control thread: what was asked for since the last call, `elapsed_ms` ago; and what was spent, a count for each
    /// budget in the same order.
    pub fn demands(&self, elapsed_ms: f64) -> (Vec<Demand>, Vec<u64>) {
        let counters = self.counters.load();
        let seconds = (elapsed_ms / 1000.0).max(1e-3);
        counters
            .iter()
            .map(|(budget, counter)| {
                let asked = counter.asked.swap(0, Ordering::Relaxed) as f64;
                let worth = counter.worth.swap(0, Ordering::Relaxed) as f64 / 1000.0;
                let spent = counter.spent.swap(0, Ordering::Relaxed);
                let worth = if asked > 0.0 { worth / asked } else { 0.0 };
                (Demand { budget: *budget, per_s: asked / seconds, worth }, spent)
            })
            .unzip()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::terms::Spending;

    fn budget(id: u16) -> Budget {
        Budget {
            id: BudgetId(id),
            name: format!("b{id}"),
            spending: Spending::SetUps,
            server: None,
            site: None,
            class: None,
            number_prefix: None,
            per_s: 10.0,
            burst: 10.0,
            floor: 0.0,
        }
    }

    #[test]
    fn news_are_told_once_and_counts_survive_a_change_of_budgets() {
        let exchange = Exchange::new(&[budget(2), budget(1)]);
        let mut seen = 0;
        assert_eq!(exchange.news(&mut seen).expect("first").budgets.len(), 2);
        assert!(exchange.news(&mut seen).is_none());
        exchange.publish(vec![Part { budget: BudgetId(1), per_s: 3.0, ..Part::default() }]);
        assert_eq!(exchange.news(&mut seen).expect("parts").parts[0].per_s, 3.0);

        exchange.asked(BudgetId(1), 2.0, true);
        exchange.set_budgets(&[budget(1), budget(9)]);
        exchange.asked(BudgetId(1), 1.0, false);
        exchange.asked(BudgetId(2), 1.0, true);
        let (demands, spent) = exchange.demands(500.0);
        assert_eq!(demands[0], Demand { budget: BudgetId(1), per_s: 4.0, worth: 1.5 });
        assert_eq!((demands.len(), spent), (2, vec![1, 0]));
        assert_eq!(exchange.demands(500.0).0[0].per_s, 0.0, "a reading takes what was counted");
        assert_eq!(exchange.news(&mut seen).expect("budgets").parts.len(), 1);
    }
}
