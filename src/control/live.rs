//! What the grantor hears in its rounds beside the budgets' demand, made steady for the reservations: what running
//! bookings use, and live traffic by site. And what this instance's traffic side sees of the sites.

use crate::reservations::{Input, SiteCapacity};
use crate::terms::{Budget, BudgetId, Demand, Spending};
use std::collections::BTreeMap;

/// Time constants of the running means, s: a round is short, and few set-ups come in it.
const USED_S: f64 = 2.0;
const LIVE_S: f64 = 5.0;
/// The reservations are told so often, ms.
const TELL_MS: f64 = 1000.0;
/// Live traffic is told only once it was heard for so long, s: the peak of an hour is kept for weeks.
const LIVE_FROM_S: f64 = 2.0;
/// Rounds that lie further apart tell nothing of the time between, s.
const GAP_S: f64 = 10.0;

/// A mean over the last while that is right from the start: what it has not seen yet does not count as nothing.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    sum: f64,
    weight: f64,
    seen_s: f64,
}

impl Mean {
    fn add(&mut self, value: f64, over_s: f64, time_constant_s: f64) {
        let kept = (-over_s / time_constant_s).exp();
        self.sum = self.sum * kept + value * (1.0 - kept);
        self.weight = self.weight * kept + (1.0 - kept);
        self.seen_s += over_s;
    }

    fn value(&self) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { 0.0 }
    }
}

/// A site as reservations know it.
#[derive(Clone, Debug, PartialEq)]
struct Site {
    id: BudgetId,
    name: String,
    per_s: f64,
    /// The share of it that is there, as seen last and as told.
    seen: f64,
    told: f64,
}

/// See the module.
#[derive(Debug)]
pub(super) struct Live {
    sites: Vec<Site>,
    round_s: f64,
    /// By number of booking or site: all of it, and the dear part.
    means: BTreeMap<BudgetId, (Mean, Mean)>,
    heard_at: Option<f64>,
    told_at: f64,
}

/// The sites with their numbers: the same whatever their order in the file, and of most also if others come or go.
fn numbered(sites: &[SiteCapacity]) -> Vec<Site> {
    let room = BudgetId::BOOKED - BudgetId::LIVE;
    let mut named: Vec<&SiteCapacity> = sites.iter().take(usize::from(room)).collect();
    named.sort_by(|a, b| a.name.cmp(&b.name));
    let mut all: Vec<Site> = Vec::new();
    for site in named {
        let mut at = (crc32fast::hash(site.name.as_bytes()) % u32::from(room)) as u16;
        while all.iter().any(|s| s.id.0 == BudgetId::LIVE + at) {
            at = (at + 1) % room;
        }
        let (id, name) = (BudgetId(BudgetId::LIVE + at), site.name.clone());
        all.push(Site { id, name, per_s: site.per_s, seen: 1.0, told: 1.0 });
    }
    all
}

impl Live {
    pub(super) fn new(sites: &[SiteCapacity], round_ms: f64) -> Self {
        let (sites, round_s) = (numbered(sites), round_ms / 1000.0);
        Live { sites, round_s, means: BTreeMap::new(), heard_at: None, told_at: 0.0 }
    }

    /// The file was read again. What was told of a site that stays is told anew, as it may take another rate now.
    pub(super) fn reread(&mut self, sites: &[SiteCapacity]) {
        let old = std::mem::replace(&mut self.sites, numbered(sites));
        for site in &mut self.sites {
            if let Some(known) = old.iter().find(|s| s.name == site.name) {
                (site.seen, site.told) = (known.seen, f64::NAN);
            }
        }
    }

    /// Each site with the number under which its traffic is told.
    pub(super) fn sites(&self) -> Vec<(BudgetId, String)> {
        self.sites.iter().map(|s| (s.id, s.name.clone())).collect()
    }

    /// The sites as budgets of nothing: the rounds add up what is asked of them.
    pub(super) fn budgets(&self) -> Vec<Budget> {
        let budget = |site: &Site| Budget {
            id: site.id,
            name: format!("live/{}", site.name),
            spending: Spending::SetUps,
            server: None,
            site: Some(site.name.clone()),
            class: None,
            number_prefix: None,
            per_s: 0.0,
            burst: 0.0,
            floor: 0.0,
        };
        self.sites.iter().map(budget).collect()
    }

    /// This instance grants from now on, or no longer: what was heard is old.
    pub(super) fn mastership(&mut self) {
        (self.heard_at, self.told_at) = (None, 0.0);
        self.means.clear();
    }

    /// The fleet's demand in a round that ended at `now`, ms: what the reservations are to be told of it.
    pub(super) fn heard(&mut self, now: f64, demand: &[Demand]) -> Vec<Input> {
        let since = self.heard_at.replace(now).map(|at| (now - at) / 1000.0);
        let over_s = since.filter(|s| *s < GAP_S).unwrap_or(self.round_s);
        self.means.retain(|id, _| demand.iter().any(|d| d.budget == *id));
        for d in demand.iter().filter(|d| d.budget.0 >= BudgetId::LIVE) {
            let time_constant = if d.budget.0 >= BudgetId::BOOKED { USED_S } else { LIVE_S };
            let (all, dear) = self.means.entry(d.budget).or_default();
            all.add(d.per_s, over_s, time_constant);
            dear.add(d.per_s * d.worth, over_s, time_constant);
        }
        if now - self.told_at < TELL_MS {
            return Vec::new();
        }
        self.told_at = now;
        let tell = |(&id, (all, dear)): (&BudgetId, &(Mean, Mean))| {
            if id.0 >= BudgetId::BOOKED {
                return Some(Input::Used { booking: id, per_s: all.value() });
            }
            let site = self.sites.iter().find(|s| s.id == id).filter(|_| all.seen_s >= LIVE_FROM_S)?;
            Some(Input::Live { site: site.name.clone(), per_s: all.value(), dear_per_s: dear.value() })
        };
        self.means.iter().filter_map(tell).collect()
    }

    /// How much of each site is there, 0 to 1, as the traffic side sees it: what of it is new to the reservations. It
    /// counts once it is seen twice.
    pub(super) fn seen(&mut self, open: &[(String, f64)]) -> Vec<Input> {
        let mut news = Vec::new();
        for site in &mut self.sites {
            let Some((_, open)) = open.iter().find(|(name, _)| *name == site.name) else { continue };
            let again = std::mem::replace(&mut site.seen, *open) == *open;
            if !again || site.told == *open {
                continue;
            }
            site.told = *open;
            let (name, per_s) = (site.name.clone(), site.per_s * open);
            news.push(if *open > 0.0 {
                Input::SiteBack(name.clone())
            } else {
                Input::SiteLost(name.clone())
            });
            news.push(Input::Capacity { site: name, per_s });
        }
        news
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sites(names: &[&str]) -> Vec<SiteCapacity> {
        names.iter().map(|n| SiteCapacity { name: (*n).to_owned(), per_s: 100.0, share: 0.5 }).collect()
    }

    #[test]
    fn a_sites_number_is_its_names_whatever_the_files_order() {
        let (one, other) =
            (numbered(&sites(&["aarhus", "odense", "vejle"])), numbered(&sites(&["vejle", "aarhus"])));
        for site in &other {
            assert!(one.contains(site));
        }
        let many: Vec<String> = (0..3000).map(|i| format!("s{i}")).collect();
        let many = numbered(&sites(&many.iter().map(String::as_str).collect::<Vec<_>>()));
        let mut ids: Vec<u16> = many.iter().map(|s| s.id.0).collect();
        ids.sort_unstable();
        ids.dedup();
        assert!(ids.len() == 3000 && ids[0] >= BudgetId::LIVE && ids[2999] < BudgetId::BOOKED);
    }

    #[test]
    fn use_and_live_traffic_are_told_as_means_and_a_new_grantor_begins_anew() {
        let mut live = Live::new(&sites(&["aarhus"]), 300.0);
        let (site, job) = (live.sites()[0].0, BudgetId(BudgetId::BOOKED));
        let mut told = Vec::new();
        // Three or four set-ups a round of 300 ms, a quarter of the site's are dear.
        for round in 0..100 {
            let per_s = if round % 2 == 0 { 10.0 } else { 40.0 / 3.0 };
            let demand = [(BudgetId(0), 0.0), (site, 0.25), (job, 1.0)].map(|(budget, worth)| Demand {
                budget,
                per_s,
                worth,
            });
            told.extend(live.heard(1000.0 + f64::from(round) * 300.0, &demand));
        }
        let near = |a: f64, b: f64| (a - b).abs() < b * 0.1;
        assert!((40..60).contains(&told.len()), "{told:?}");
        for input in &told {
            match input {
                Input::Used { booking, per_s } => assert!(*booking == job && (9.9..13.4).contains(per_s)),
                Input::Live { per_s, dear_per_s, .. } => {
                    assert!(near(*per_s, 11.7) && near(*dear_per_s, 2.9), "{input:?}");
                }
                other => panic!("{other:?}"),
            }
        }
        live.mastership();
        let first = live.heard(40_000.0, &[Demand { budget: job, per_s: 2.0, worth: 1.0 }]);
        assert_eq!(first, [Input::Used { booking: job, per_s: 2.0 }], "nothing of before is in it");
    }

    #[test]
    fn a_site_is_lost_once_that_is_seen_twice() {
        let mut live = Live::new(&sites(&["aarhus", "odense"]), 300.0);
        let seen = |live: &mut Live, open: f64| live.seen(&[("aarhus".to_owned(), open)]);
        assert!(seen(&mut live, 1.0).is_empty() && seen(&mut live, 0.0).is_empty());
        assert!(seen(&mut live, 1.0).is_empty() && seen(&mut live, 0.0).is_empty());
        let capacity = |per_s| Input::Capacity { site: "aarhus".into(), per_s };
        assert_eq!(seen(&mut live, 0.0), [Input::SiteLost("aarhus".into()), capacity(0.0)]);
        assert!(seen(&mut live, 0.0).is_empty() && seen(&mut live, 0.5).is_empty());
        assert_eq!(seen(&mut live, 0.5), [Input::SiteBack("aarhus".into()), capacity(50.0)]);
        live.reread(&sites(&["aarhus"]));
        assert_eq!(seen(&mut live, 0.5).len(), 2, "its rate may be another");
    }
}
