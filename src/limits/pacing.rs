//! Pacing of dials to call servers that are down, so that the whole fleet's rate at one server stays under
//! `fleet_per_s` however many border controllers there are. They share nothing, so each paces itself to its
//! part, `fleet_per_s / fleet`, with `fleet` from the settings' `siblings`, and keeps a phase of its own drawn
//! from its seed and the server, so that processes started together do not dial in the same tick.

use crate::interface::ServerId;
use std::collections::HashMap;

#[derive(Clone, Debug)]
pub struct Pacing {
    fleet_per_s: f64,
    seed: u64,
    /// When each server was last given a dial, ms.
    last: HashMap<ServerId, f64>,
}

impl Pacing {
    pub fn new(fleet_per_s: f64, seed: u64) -> Self {
        Pacing { fleet_per_s, seed, last: HashMap::new() }
    }

    /// The least gap between two dials of one server by this process, ms; 0: no bound.
    pub fn gap_ms(&self, fleet: u32) -> f64 {
        if self.fleet_per_s > 0.0 { 1000.0 * f64::from(fleet.max(1)) / self.fleet_per_s } else { 0.0 }
    }

    /// This process's phase within a gap for this server, ms.
    fn phase_ms(&self, server: ServerId, gap_ms: f64) -> f64 {
        fastrand::Rng::with_seed(self.seed ^ server.0.rotate_left(29)).f64() * gap_ms
    }

    /// When to dial `server`, given that the back-off wants it no sooner than `wanted`, ms: on this process's
    /// phase, and a whole gap after its last dial at least.
    pub fn next_dial(&mut self, server: ServerId, now: f64, wanted: f64, fleet: u32) -> f64 {
        let gap = self.gap_ms(fleet);
        if gap <= 0.0 {
            return wanted.max(now);
        }
        let earliest = self.last.get(&server).map_or(wanted, |&last| wanted.max(last + gap)).max(now);
        let phase = self.phase_ms(server, gap);
        let at = ((earliest - phase) / gap).ceil() * gap + phase;
        self.last.insert(server, at);
        at
    }

    pub fn forget(&mut self, server: ServerId) {
        self.last.remove(&server);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Dials at one server by `fleet` processes over `span_ms`, each asking again as soon as it may.
    fn dials(fleet: u32, span_ms: f64) -> usize {
        (0..fleet)
            .map(|i| {
                let mut p = Pacing::new(2.0, 0x5eed ^ (u64::from(i) * 0x9e37_79b9));
                let mut at = 0.0;
                let mut n = 0;
                while at < span_ms {
                    at = p.next_dial(ServerId(1), at, at + 300.0, fleet);
                    n += usize::from(at < span_ms);
                }
                n
            })
            .sum()
    }

    #[test]
    fn the_fleet_rate_at_a_server_stays_under_the_ceiling_whatever_the_fleet() {
        for fleet in [1, 3, 10, 20, 100] {
            let per_s = dials(fleet, 60_000.0) as f64 / 60.0;
            assert!(per_s <= 2.0 + f64::from(fleet) / 60.0, "{fleet} processes: {per_s} a second");
            assert!(per_s >= 1.5, "{fleet} processes: {per_s} a second");
        }
    }

    #[test]
    fn processes_keep_phases_of_their_own() {
        let mut a = Pacing::new(2.0, 1);
        let mut b = Pacing::new(2.0, 2);
        let (ta, tb) = (a.next_dial(ServerId(4), 0.0, 0.0, 10), b.next_dial(ServerId(4), 0.0, 0.0, 10));
        assert!((ta - tb).abs() > 1.0, "{ta} {tb}");
        assert!(ta < 5000.0 && tb < 5000.0);
    }

    #[test]
    fn no_ceiling_leaves_the_back_off_alone() {
        let mut p = Pacing::new(0.0, 1);
        assert_eq!(p.next_dial(ServerId(1), 10.0, 310.0, 50), 310.0);
    }
}
