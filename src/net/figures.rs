//! The figures in Prometheus's text format.

use crate::control::JobFigures;
use crate::engine::{Figures, PeerFigures, ShareFigures};
use crate::recovery::{RecoveryFigures, State};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode_registry;
use prometheus_client::encoding::{DescriptorEncoder, EncodeGaugeValue};
use prometheus_client::metrics::MetricType::{self, Counter, Gauge};
use prometheus_client::registry::Registry;
use std::fmt::Error;

/// Version 0.0.4 of the text format.
pub const CONTENT_TYPE: &str = prometheus_client::encoding::prometheus_text::CONTENT_TYPE;

/// The whole text, as it is scraped; every name begins with `gw_`.
pub fn text(figures: Figures) -> String {
    let mut registry = Registry::with_prefix("gw");
    registry.register_collector(Box::new(figures));
    let mut text = String::new();
    // Writing to a text does not fail.
    let _ = encode_registry(&mut text, &registry);
    // The library writes a help line for each figure; docs/operations.md says what they mean.
    text.split_inclusive('\n').filter(|line| !line.starts_with("# HELP ")).collect()
}

/// Writes the figures one after another.
struct Scrape<'a>(DescriptorEncoder<'a>);

impl Scrape<'_> {
    /// One figure, a line for each of its series. One that counts up is written as a gauge is: the library puts
    /// `_total` behind the names of counters, and these are scraped without.
    fn figure<'a, const N: usize, V: EncodeGaugeValue>(
        &mut self,
        name: &str,
        kind: MetricType,
        series: impl IntoIterator<Item = ([(&'a str, &'a str); N], V)>,
    ) -> Result<(), Error> {
        let mut metric = self.0.encode_descriptor(name, "", None, kind)?;
        for (labels, value) in series {
            metric.encode_family(&labels)?.encode_gauge(&value)?;
        }
        Ok(())
    }
}

/// Thousandths.
fn rounded(share: f64) -> f64 {
    (share * 1000.0).round() / 1000.0
}

impl Collector for Figures {
    fn encode(&self, encoder: DescriptorEncoder) -> Result<(), Error> {
        let mut scrape = Scrape(encoder);
        let handled = self.outcomes.iter().flat_map(|(class, n)| {
            [("passed", n.stood), ("dropped", n.refused), ("bad_gateway", n.failed)]
                .map(|(outcome, n)| ([("category", class.as_str()), ("outcome", outcome)], n))
        });
        scrape.figure("handled", Counter, handled)?;
        scrape.figure("upstream_tries", Counter, [([], self.tries)])?;
        scrape.figure("in_progress", Gauge, [([], self.in_progress)])?;
        scrape.figure("known_call_servers", Gauge, [([], self.known)])?;
        scrape.figure("skipped_call_servers", Gauge, [([], self.skipped)])?;
        // Only where the fleet limits are on, so that a scrape of a program without them is as it was.
        if let Some(shed) = self.limits {
            let retries = [("sent", shed.retries_sent), ("shed", shed.retries)];
            scrape.figure("retries", Counter, retries.map(|(outcome, n)| ([("outcome", outcome)], n)))?;
            scrape.figure("first_attempts_shed", Counter, [([], shed.firsts_shed)])?;
        }
        // Only where the settings allow messages and probes.
        if let Some(told) = &self.peers {
            peers(told, &mut scrape)?;
        }
        if let Some(shared) = &self.shares {
            shares(shared, &mut scrape)?;
        }
        if let Some(p) = self.probes {
            scrape.figure("probes_sent", Counter, [([], p.sent)])?;
            let ended = [("answered", p.answered), ("turned_away", p.turned_away), ("failed", p.failed)];
            scrape.figure("probes_ended", Counter, ended.map(|(outcome, n)| ([("outcome", outcome)], n)))?;
        }
        self.recovery.as_ref().map_or(Ok(()), |recovery| sites(recovery, &mut scrape))
    }
}

/// The fleet's budgets and the control plane that divides them, where it is on.
fn shares(shared: &ShareFigures, scrape: &mut Scrape) -> Result<(), Error> {
    let of_each = || shared.budgets.iter().map(|b| ([("budget", b.name.as_str())], b));
    scrape.figure("share_per_s", Gauge, of_each().map(|(labels, b)| (labels, b.per_s)))?;
    scrape.figure("share_burst", Gauge, of_each().map(|(labels, b)| (labels, b.burst)))?;
    scrape.figure("share_spent", Counter, of_each().map(|(labels, b)| (labels, b.spent)))?;
    scrape.figure("share_refused", Counter, of_each().map(|(labels, b)| (labels, b.refused)))?;
    scrape.figure("share_pressed_refused", Counter, [([], shared.pressed)])?;
    let c = &shared.control;
    let (master, epoch) = c.master.map_or((-1, 0), |(member, epoch)| (i64::from(member.0), epoch.0));
    scrape.figure("control_master", Gauge, [([], master)])?;
    scrape.figure("control_epoch", Gauge, [([], epoch)])?;
    scrape.figure("control_sent", Counter, [([], c.sent)])?;
    scrape.figure("control_heard", Counter, [([], c.heard)])?;
    scrape.figure("control_too_long", Counter, [([], c.too_long)])?;
    let r = &c.rounds;
    scrape.figure("control_rounds", Counter, [([], r.rounds)])?;
    scrape.figure("control_round_complete", Gauge, [([], rounded(r.complete))])?;
    scrape.figure("control_round_waited_ms", Gauge, [([], rounded(r.waited_ms))])?;
    scrape.figure("control_round_planned_ms", Gauge, [([], rounded(r.planned_ms))])?;
    if let Some(j) = &c.jobs {
        jobs(j, scrape)?;
    }
    let d = &c.dropped;
    let dropped =
        [("malformed", d.malformed), ("version", d.version), ("code", d.code), ("replayed", d.replayed)];
    scrape.figure("control_dropped", Counter, dropped.map(|(why, n)| ([("why", why)], n)))
}

/// The booked jobs that are gathered.
fn jobs(j: &JobFigures, scrape: &mut Scrape) -> Result<(), Error> {
    scrape.figure("job_running", Gauge, [([], j.running)])?;
    scrape.figure("job_cut", Gauge, [([], j.cut)])?;
    let refused = [("open", j.refused.open), ("later", j.refused.later)];
    scrape.figure("job_refused", Counter, refused.map(|(which, n)| ([("set_up", which)], n)))?;
    let of_each = || j.results.iter().map(|r| ([("class", r.class.as_str()), ("site", r.site.as_str())], r));
    scrape.figure("job_ended", Counter, of_each().map(|(labels, r)| (labels, r.ended)))?;
    scrape.figure("job_ended_cut", Counter, of_each().map(|(labels, r)| (labels, r.cut)))?;
    scrape.figure("job_complete", Gauge, of_each().map(|(labels, r)| (labels, rounded(r.complete))))?;
    scrape.figure("job_worth", Gauge, of_each().map(|(labels, r)| (labels, rounded(r.worth))))?;
    scrape.figure("job_waited_ms", Gauge, of_each().map(|(labels, r)| (labels, rounded(r.waited_ms))))?;
    scrape.figure("job_lateness_ms", Gauge, of_each().map(|(labels, r)| (labels, rounded(r.lateness_ms))))
}

/// Messages between border controllers.
fn peers(p: &PeerFigures, scrape: &mut Scrape) -> Result<(), Error> {
    scrape.figure("peer_datagrams_sent", Counter, [([], p.sent)])?;
    scrape.figure("peer_datagrams_unsent", Counter, [([], p.unsent)])?;
    scrape.figure("peer_datagrams_heard", Counter, [([], p.heard)])?;
    scrape.figure("peer_words_taken", Counter, [([], p.taken)])?;
    let dropped = [
        ("stranger", p.stranger),
        ("paced", p.paced),
        ("unknown", p.unknown),
        ("damaged", p.damaged),
        ("crowded", p.crowded),
        ("late", p.late),
        ("old", p.old),
        ("unlisted", p.unlisted),
        ("alone", p.alone),
    ];
    scrape.figure("peer_datagrams_dropped", Counter, dropped.map(|(why, n)| ([("why", why)], n)))
}

/// The sites' part of the figures, where there is a plan for their loss.
fn sites(recovery: &RecoveryFigures, scrape: &mut Scrape) -> Result<(), Error> {
    let of_each = || recovery.sites.iter().map(|s| ([("site", s.site.as_str())], s));
    let states = of_each().flat_map(|([site], s)| {
        [State::Up, State::Lost, State::Returning]
            .map(|state| ([site, ("state", state.name())], u64::from(s.state == state)))
    });
    scrape.figure("site_state", Gauge, states)?;
    scrape.figure("site_share", Gauge, of_each().map(|(labels, s)| (labels, rounded(s.share))))?;
    scrape.figure("site_calls_moved", Counter, of_each().map(|(labels, s)| (labels, s.moved)))?;
    scrape.figure("no_room_refused", Counter, [([], recovery.refused)])?;
    scrape.figure("no_room_share", Gauge, [([], rounded(recovery.refused_share))])
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_are_shown_only_where_the_fleet_limits_are_on() {
        let off = Figures::default();
        assert!(!text(off).contains("gw_retries"));
        let shed = crate::limits::Shed { retries: 3, retries_sent: 5, firsts: 40, firsts_shed: 2 };
        let on = text(Figures { limits: Some(shed), ..Figures::default() });
        assert!(
            on.contains("gw_retries{outcome=\"sent\"} 5\n")
                && on.contains("gw_retries{outcome=\"shed\"} 3\n")
                && on.contains("gw_first_attempts_shed 2\n")
        );
    }

    #[test]
    fn sites_are_shown_only_where_there_is_a_plan() {
        assert!(!text(Figures::default()).contains("gw_site"));
        let site = crate::recovery::SiteFigures {
            site: "aarhus".into(),
            state: State::Returning,
            share: 0.25,
            moved: 12,
        };
        let recovery = RecoveryFigures { sites: vec![site], refused: 4, refused_share: 0.05 };
        let text = text(Figures { recovery: Some(recovery), ..Figures::default() });
        for line in [
            "gw_site_state{site=\"aarhus\",state=\"returning\"} 1\n",
            "gw_site_state{site=\"aarhus\",state=\"up\"} 0\n",
            "gw_site_share{site=\"aarhus\"} 0.25\n",
            "gw_site_calls_moved{site=\"aarhus\"} 12\n",
            "gw_no_room_refused 4\n",
        ] {
            assert!(text.contains(line), "{line} in {text}");
        }
    }
}
