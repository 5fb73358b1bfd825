//! What the traffic side tells of the sites that reservations know: how much ordinary traffic each was asked to take, and
//! how much of it is there. Counters beside the budgets' ([`super::Exchange`]); neither thread waits for the other.

use crate::terms::{BudgetId, Demand};
use arc_swap::ArcSwap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Nothing was ever heard of the site's call servers.
const UNKNOWN: u32 = u32::MAX;

#[derive(Debug)]
struct Site {
    /// Under which its traffic is told.
    id: BudgetId,
    name: String,
    /// Ordinary set-ups since the last reading, and the dear ones among them.
    asked: AtomicU64,
    dear: AtomicU64,
    /// Thousandths of its call servers that take set-ups.
    open: AtomicU32,
}

/// Shared by `&self`.
#[derive(Debug, Default)]
pub struct Sites {
    sites: ArcSwap<Vec<Arc<Site>>>,
}

impl Sites {
    /// Control thread: these are the sites, each with the number under which its traffic is told.
    pub fn set(&self, sites: &[(BudgetId, String)]) {
        let old = self.sites.load();
        let kept = |(id, name): &(BudgetId, String)| {
            let known = old.iter().find(|s| s.id == *id && s.name == *name).cloned();
            known.unwrap_or_else(|| {
                let (id, name, open) = (*id, name.clone(), AtomicU32::new(UNKNOWN));
                Arc::new(Site { id, name, asked: AtomicU64::new(0), dear: AtomicU64::new(0), open })
            })
        };
        self.sites.store(Arc::new(sites.iter().map(kept).collect()));
    }

    /// Traffic thread: a set-up that no booking paid asked for this site.
    pub fn asked(&self, name: &str, dear: bool) {
        if let Some(site) = self.sites.load().iter().find(|s| s.name == name) {
            site.asked.fetch_add(1, Ordering::Relaxed);
            site.dear.fetch_add(u64::from(dear), Ordering::Relaxed);
        }
    }

    /// Traffic thread: how much of each site's call servers takes set-ups, 0 to 1; none: none of them is listed, which
    /// is all of them gone if there were some.
    pub fn look(&self, open: impl Fn(&str) -> Option<f64>) {
        for site in self.sites.load().iter() {
            match open(&site.name) {
                Some(open) => site.open.store((open.clamp(0.0, 1.0) * 1000.0) as u32, Ordering::Relaxed),
                None if site.open.load(Ordering::Relaxed) != UNKNOWN => site.open.store(0, Ordering::Relaxed),
                None => {}
            }
        }
    }

    /// Control thread: the traffic since the last reading, `elapsed_ms` ago. `worth` is the dear ones' share of it.
    pub fn demands(&self, elapsed_ms: f64) -> Vec<Demand> {
        let seconds = (elapsed_ms / 1000.0).max(1e-3);
        let of = |site: &Arc<Site>| {
            let asked = site.asked.swap(0, Ordering::Relaxed) as f64;
            let dear = site.dear.swap(0, Ordering::Relaxed) as f64;
            let worth = if asked > 0.0 { dear / asked } else { 0.0 };
            Demand { budget: site.id, per_s: asked / seconds, worth }
        };
        self.sites.load().iter().map(of).collect()
    }

    /// Control thread: how much of each site is there, 0 to 1, where that is known.
    pub fn open(&self) -> Vec<(String, f64)> {
        let of = |site: &Arc<Site>| {
            let open = site.open.load(Ordering::Relaxed);
            (open != UNKNOWN).then(|| (site.name.clone(), f64::from(open) / 1000.0))
        };
        self.sites.load().iter().filter_map(of).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn traffic_is_read_once_and_a_site_that_was_there_is_lost_when_it_is_gone() {
        let sites = Sites::default();
        sites.asked("aarhus", false);
        let named = |names: &[&str]| -> Vec<(BudgetId, String)> {
            (0..).zip(names).map(|(i, n)| (BudgetId(BudgetId::LIVE + i), (*n).to_owned())).collect()
        };
        sites.set(&named(&["aarhus", "odense"]));
        (0..8).for_each(|i| sites.asked("aarhus", i % 4 == 0));
        sites.asked("elsewhere", true);
        sites.set(&named(&["aarhus", "odense", "vejle"]));
        let demands = sites.demands(500.0);
        assert_eq!(demands[0], Demand { budget: BudgetId(BudgetId::LIVE), per_s: 16.0, worth: 0.25 });
        assert!(demands[1..].iter().all(|d| d.per_s == 0.0) && demands.len() == 3);
        assert!(sites.demands(500.0).iter().all(|d| d.per_s == 0.0));

        assert!(sites.open().is_empty());
        sites.look(|site| (site == "odense").then_some(0.5));
        assert_eq!(sites.open(), [("odense".to_owned(), 0.5)]);
        sites.look(|_| None);
        assert_eq!(sites.open(), [("odense".to_owned(), 0.0)]);
    }
}
