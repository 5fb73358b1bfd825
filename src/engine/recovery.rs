//! Hosts the plan for the loss of a site (`crate::recovery`): says what is seen of each call server, asks about each new
//! call, and tells the module of the call servers that are candidates.

use super::fleet::CONNS_MAX;
use super::{Due, Effect, Engine, Listing};
use crate::interface::{self as module, Listed, LoadReport, ServerEntry, ServerId};
use crate::recovery::{Entry, Recovery, Verdict};

/// One that is down by silence is dialled so often, to hear whether it is back, ms: nothing else of ours goes there.
const PROBE_MS: f64 = 1000.0;
/// Connections that a probe leaves free: for the calls that come once it is back.
const PROBE_LEAVES: usize = 1;

impl Engine {
    /// Turns on the plan for the loss of a site.
    #[must_use]
    pub fn with_recovery(mut self, recovery: Recovery) -> Self {
        self.recovery = Some(recovery);
        self
    }

    /// The list is another one now.
    pub(super) fn sites_listed(&mut self) {
        let Some(recovery) = self.recovery.as_mut() else { return };
        let entry = |(&id, s): (&ServerId, &super::fleet::Server)| Entry {
            id,
            name: s.listing.name.clone(),
            zone: s.listing.zone.clone(),
            place: s.listing.place,
            state: s.listing.state,
        };
        let entries: Vec<Entry> = self.fleet.servers.iter().map(entry).collect();
        recovery.listed(&entries);
    }

    /// What the module is told of a call server: one that is no candidate is to get nothing new, as if it drained.
    pub(super) fn told_state(&self, id: ServerId, listing: &Listing) -> Listed {
        let candidate = self.recovery.as_ref().is_none_or(|r| r.candidate(id, self.now));
        if listing.state == Listed::Ready && !candidate { Listed::Draining } else { listing.state }
    }

    pub(super) fn site_heard(&mut self, server: ServerId) {
        if let Some(recovery) = self.recovery.as_mut() {
            recovery.heard(server, self.now);
        }
    }

    pub(super) fn site_report(&mut self, server: ServerId, report: &LoadReport) {
        if let Some(recovery) = self.recovery.as_mut() {
            recovery.report(server, report, self.now);
        }
    }

    /// Looks at every call server and every site, and tells the module and the log what changed.
    pub(super) fn look_at_sites(&mut self, out: &mut Vec<Effect>) {
        let Some(recovery) = self.recovery.as_mut() else { return };
        let silent_ms = recovery.settings().loss.silent_ms;
        let (mut probes, now) = (Vec::new(), self.now);
        for (&id, s) in &self.fleet.servers {
            let silent = s.waits_since.is_some_and(|at| now - at >= silent_ms);
            if silent || self.fleet.is_down(id) {
                recovery.down(id, now);
            }
            if recovery.is_down(id) && now - s.dialled_at >= PROBE_MS && s.conns.iter().any(|c| c.open) {
                probes.push(id);
            }
        }
        for change in recovery.look(now, self.siblings) {
            let (servers, down) = (change.seen.servers, change.seen.down);
            log::warn!(
                target: "decision",
                site = change.site.as_str(), state = change.state.name(), servers, down;
                "site {} is {}", change.site, change.state.name()
            );
        }
        for id in probes {
            self.dial_to_look(id, CONNS_MAX - PROBE_LEAVES, out);
        }
        self.tell_candidates();
        self.turn_sites();
    }

    /// The module hears of the call servers that became candidates or ceased to be.
    fn tell_candidates(&mut self) {
        let mut entries = Vec::new();
        for (&id, s) in &self.fleet.servers {
            let state = self.told_state(id, &s.listing);
            if state != s.told {
                let (place, started_at) = (s.listing.place, s.listing.started_at);
                entries.push(ServerEntry { id, place, state, started_at });
            }
        }
        for entry in &entries {
            if let Some(s) = self.fleet.servers.get_mut(&entry.id) {
                s.told = entry.state;
            }
        }
        if !entries.is_empty() {
            self.news.push_back(module::Event::Servers { complete: false, entries });
        }
    }

    /// Sets the timer for the next turn of a returning site.
    fn turn_sites(&mut self) {
        let turn = self.recovery.as_ref().and_then(|r| r.next_turn(self.now));
        if let Some(at) = turn.filter(|&at| self.sites_turn.is_none_or(|set| set <= self.now || at < set)) {
            self.sites_turn = Some(at);
            self.timers.set(at, Due::Sites);
        }
    }

    /// A returning site's turn may have come or gone.
    pub(super) fn sites_turned(&mut self) {
        self.sites_turn = self.sites_turn.filter(|&at| at > self.now);
        self.tell_candidates();
        self.turn_sites();
    }

    /// What the plan has for a new call: where it asks first, or, refused, its advice to stay away, ms.
    pub(super) fn plan_call(&mut self, class: usize, first_choice: Option<u32>) -> Result<Option<u32>, f64> {
        let Some(recovery) = self.recovery.as_mut() else { return Ok(first_choice) };
        let worth = self.worths.get(class).copied().unwrap_or_default();
        let rules = self.host.classes.get(class);
        let takes = |place: u32| rules.is_none_or(|rules| rules.takes(place));
        let out = |server: ServerId| self.calls.out_at(server);
        match recovery.call(worth, first_choice, takes, out, self.now) {
            Verdict::Take { first_choice } => Ok(first_choice),
            Verdict::Refuse { stay_away_ms } => Err(stay_away_ms.min(self.stay_away_max_ms).max(0.0)),
        }
    }
}
