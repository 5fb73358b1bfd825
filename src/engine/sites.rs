//! Tells the control plane how much of each site takes set-ups, by what is seen of its call servers here.

use super::Engine;

impl Engine {
    /// Looks at the sites that reservations know.
    pub(super) fn tell_sites(&self) {
        let Some(shares) = &self.shares else { return };
        let returning = self.recovery.as_ref().map(|r| r.figures().sites).unwrap_or_default();
        shares.exchange().sites().look(|site| {
            let there = self.fleet.servers.iter().filter(|(_, s)| s.listing.zone.as_deref() == Some(site));
            let (mut listed, mut takes) = (0.0, 0.0);
            for (&id, _) in there {
                let silent = self.recovery.as_ref().is_some_and(|r| r.is_down(id));
                listed += 1.0;
                takes += f64::from(u8::from(self.fleet.is_ready(id) && !self.fleet.is_down(id) && !silent));
            }
            // One that comes back under the plan is given its load in steps.
            let share = returning.iter().find(|s| s.site == site).map_or(1.0, |s| s.share);
            (listed > 0.0).then(|| share * takes / listed)
        });
    }
}

#[cfg(test)]
mod tests {
    use super::super::shares::Payment;
    use super::super::{Effect, Event, Listing, Lost, ServerConn};
    use super::*;
    use crate::interface::Listed;
    use crate::shares::Exchange;
    use crate::terms::{BudgetId, Spending};
    use serde_json::json;
    use std::sync::Arc;

    const LIVE: BudgetId = BudgetId(BudgetId::LIVE);

    /// An engine with two classes and call servers at these sites, and the connections that it dials.
    fn engine(sites: &[&str]) -> (Engine, Arc<Exchange>, Vec<ServerConn>) {
        let class = |name: &str, worth: f64| json!({"name": name, "deadline_ms": 9000.0, "target_ms": 1500.0, "worth": worth});
        let settings = json!({"siblings": 3, "services": [class("voice", 1.0), class("emergency", 10.0)],
            "ceilings": {"attempts_cap": 5, "dial_timeout_ms": 500.0},
            "rules": {"cold_from": 0.3, "cold_ms": 9000.0, "fall_multiple": 2.5, "fall_ms": 1500.0},
            "specifics": {"guard_ms": 300.0}});
        let text = settings.to_string();
        let (settings, _) = crate::settings::parse(text.as_bytes()).unwrap();
        let host = crate::settings::parse_host(text.as_bytes()).unwrap();
        let exchange = Arc::new(Exchange::new(&[]));
        exchange.sites().set(&[(LIVE, "aarhus".into())]);
        let mut engine = Engine::new(settings, host, 1, 0.0).with_shares(exchange.clone(), 3, 1, 0.0);
        let mut out = Vec::new();
        engine.step(0.0, Event::List { serial: 1, servers: listings(sites) }, &mut out);
        let dialled = |effect: &Effect| match effect {
            Effect::Dial { conn, .. } => Some(*conn),
            _ => None,
        };
        (engine, exchange, out.iter().filter_map(dialled).collect())
    }

    fn listings(sites: &[&str]) -> Vec<Listing> {
        let listing = |(place, site): (u32, &&str)| Listing {
            name: format!("s-{place}"),
            zone: Some((*site).to_owned()),
            addr: "127.0.0.1:9".parse().unwrap(),
            place,
            state: Listed::Ready,
            started_at: None,
        };
        (0..).zip(sites).map(listing).collect()
    }

    #[test]
    fn a_site_is_there_as_far_as_its_call_servers_are_reached() {
        let (mut engine, exchange, conns) = engine(&["aarhus", "aarhus", "odense"]);
        let mut now = 0.0;
        let mut open = |engine: &mut Engine, event: Event| {
            let mut out = Vec::new();
            engine.step(now, event, &mut out);
            now += 300.0;
            engine.step(now, Event::Tick, &mut out);
            exchange.sites().open()
        };
        assert_eq!(open(&mut engine, Event::Tick), [("aarhus".to_owned(), 1.0)]);
        let lost = |conn| Event::ServerLost { conn, how: Lost::Refused };
        assert_eq!(open(&mut engine, lost(conns[0])), [("aarhus".to_owned(), 0.5)]);
        assert_eq!(open(&mut engine, lost(conns[1])), [("aarhus".to_owned(), 0.0)]);
        let listed = Event::List { serial: 2, servers: listings(&["aarhus", "odense", "odense"]) };
        open(&mut engine, listed);
        let gone = Event::List { serial: 3, servers: listings(&["odense", "odense", "odense"]) };
        assert_eq!(open(&mut engine, gone), [("aarhus".to_owned(), 0.0)], "all of it is gone from the list");
    }

    #[test]
    fn first_attempts_that_no_booking_paid_are_live_traffic_and_those_of_the_dearest_class_are_dear() {
        let (mut engine, exchange, _) = engine(&["aarhus"]);
        let pay = |engine: &mut Engine, spending, site, worth| {
            let (server, class, number) = ("s-0", Some("voice"), None);
            engine.shares.as_mut().unwrap().pays(&Payment { spending, server, site, class, number, worth })
        };
        for worth in [1.0, 1.0, 1.0, 10.0] {
            assert!(pay(&mut engine, Spending::SetUps, Some("aarhus"), worth));
        }
        pay(&mut engine, Spending::SecondAttempts, Some("aarhus"), 1.0);
        pay(&mut engine, Spending::SetUps, None, 1.0);
        let [demand] = exchange.sites().demands(1000.0)[..] else { panic!() };
        assert_eq!((demand.budget, demand.per_s, demand.worth), (LIVE, 4.0, 0.25));
    }
}
