//! Probes: tests of a call server on a connection that is open already. None of them is an attempt, and none touches
//! what else that connection carries.

use super::{Due, Effect, Engine, ProbeFigures, ServerConn, ToServer};
use crate::interface::{self as module, CallId, LoadReport, ProbeOutcome, ServerId};
use std::collections::BTreeMap;

/// A call server is probed no sooner than this after the last probe, ms: each is work to it, and those of all border
/// controllers add up.
const GAP_MS: f64 = 100.0;
/// A probe not answered within this part of the time in which a connection must come up has failed: the settings name
/// no time of its own, and by this one a site tells how long its ways are.
const TIMEOUT_PART: f64 = 0.5;

struct Probe {
    server: ServerId,
    conn: ServerConn,
}

#[derive(Default)]
pub(super) struct Probes {
    /// Those out, by the id that tells their answers apart.
    out: BTreeMap<u64, Probe>,
    asked: u64,
    /// When each call server was last probed, or is to be next.
    paced: BTreeMap<ServerId, f64>,
    figures: ProbeFigures,
}

impl Engine {
    /// The module wants a call server probed. One asked for too soon after another goes out in its turn; what ends the
    /// one before tells both.
    pub(super) fn test_server(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        if !self.may_probe {
            return log::error!("the module asked for a probe, which is not allowed");
        }
        let last = self.probes.paced.get(&server).copied().unwrap_or(f64::NEG_INFINITY);
        if last > self.now || self.now - last < GAP_MS && self.probes.out.values().any(|p| p.server == server)
        {
            return;
        }
        if self.now - last >= GAP_MS {
            return self.send_probe(server, out);
        }
        self.probes.paced.insert(server, last + GAP_MS);
        self.timers.set(last + GAP_MS, Due::Probe(server));
    }

    pub(super) fn send_probe(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let now = self.now;
        if !self.fleet.servers.contains_key(&server) {
            return;
        }
        self.probes.paced.insert(server, now);
        let Some(conn) = self.fleet.best(server) else {
            return self.probe_ended(server, ProbeOutcome::Failed, LoadReport::default());
        };
        self.probes.asked += 1;
        self.probes.figures.sent += 1;
        let id = self.probes.asked;
        self.probes.out.insert(id, Probe { server, conn });
        self.timers.set(now + TIMEOUT_PART * self.host.dial_timeout_ms, Due::ProbeOver(id));
        out.push(Effect::ToServer { conn, message: ToServer::Test(CallId(id)), confirm: false });
    }

    /// A test was answered on this connection. One that is out no more is not waited for; an answer without an id is
    /// that of the oldest one.
    pub(super) fn probe_answered(&mut self, conn: ServerConn, id: CallId, passed: bool, report: LoadReport) {
        let of_conn =
            |(&probe, p): (&u64, &Probe)| (p.conn == conn && [probe, 0].contains(&id.0)).then_some(probe);
        let Some(id) = self.probes.out.iter().find_map(of_conn) else { return };
        if let Some(probe) = self.probes.out.remove(&id) {
            let outcome = if passed { ProbeOutcome::Answered } else { ProbeOutcome::TurnedAway };
            self.probe_ended(probe.server, outcome, report);
        }
    }

    pub(super) fn probe_over(&mut self, id: u64) {
        if let Some(probe) = self.probes.out.remove(&id) {
            self.probe_ended(probe.server, ProbeOutcome::Failed, LoadReport::default());
        }
    }

    /// The connection is lost, and the answers on it with it.
    pub(super) fn probes_lost(&mut self, conn: ServerConn) {
        let lost = self.probes.out.iter().filter(|(_, p)| p.conn == conn).map(|(&id, _)| id);
        for id in lost.collect::<Vec<_>>() {
            self.probe_over(id);
        }
    }

    pub(super) fn forget_probes(&mut self, server: ServerId) {
        self.probes.paced.remove(&server);
    }

    fn probe_ended(&mut self, server: ServerId, outcome: ProbeOutcome, report: LoadReport) {
        let figures = &mut self.probes.figures;
        *match outcome {
            ProbeOutcome::Answered => &mut figures.answered,
            ProbeOutcome::TurnedAway => &mut figures.turned_away,
            ProbeOutcome::Failed => &mut figures.failed,
        } += 1;
        self.news.push_back(module::Event::Probed { server, outcome, report });
    }

    /// What became of probes, where they are allowed.
    pub(super) fn probe_figures(&self) -> Option<ProbeFigures> {
        self.may_probe.then_some(self.probes.figures)
    }
}
