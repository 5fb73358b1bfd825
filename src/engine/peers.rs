//! What the other border controllers tell of call servers, and what of it the module hears.
//!
//! A peer may err or lie, and its word may be late, doubled or overtaken. So the module hears no single voice: own
//! fresh reports go before any, and else at least two voices must agree, or three have a median. `docs/peers.md`.

use super::{Effect, Engine, PeerFigures, PeerReport};
use crate::interface::{self as module, LoadReport, ServerId};
use std::collections::BTreeMap;

/// What was sent longer ago, or is from a time to come, is dropped, ms: a report tells of now. Clocks are held to
/// agree by that much, as for the starts of call servers.
const LATE_MS: f64 = 1000.0;
/// An own report is better than any peer's for so long, ms: no call server refreshes its own much sooner.
const OWN_FRESH_MS: f64 = 300.0;
/// A voice counts for so long after it was heard, ms.
const VOICE_MS: f64 = 1000.0;
/// A set-up has waited so long without a word from the call server, ms: a peer's word alone is no sign of life then.
const UNHEARD_MS: f64 = 500.0;
/// Two voices agree if a figure of theirs differs by no more than this part of the greater and the slack beside it:
/// reports are late and noisy.
const AGREE_PART: f64 = 0.5;

struct Word {
    at: f64,
    seq: u32,
    report: LoadReport,
}

/// What is kept of peers: for each its start, and for each listed call server its last word.
pub(super) struct Peers {
    seq: u32,
    born: BTreeMap<u16, u64>,
    words: BTreeMap<(ServerId, u16), Word>,
    own: BTreeMap<ServerId, (f64, LoadReport)>,
    figures: PeerFigures,
}

impl Engine {
    /// Turns on messages between border controllers: the module's tellings become effects, and peers are heard.
    pub fn with_peers(mut self) -> Self {
        self.peers = Some(Peers {
            seq: 0,
            born: BTreeMap::new(),
            words: BTreeMap::new(),
            own: BTreeMap::new(),
            figures: PeerFigures::default(),
        });
        self
    }

    pub(super) fn tell_peers(&mut self, server: ServerId, report: LoadReport, out: &mut Vec<Effect>) {
        let Some(peers) = &mut self.peers else {
            return log::debug!("there is nobody to tell of a call server");
        };
        peers.seq = peers.seq.wrapping_add(1);
        let told = PeerReport {
            born_ms: self.started.max(0.0) as u64,
            age_ms: (self.now - self.started) as u32,
            seq: peers.seq,
            server: self.fleet.name(server).to_owned(),
            report: LoadReport { free_lines: None, lines: None, ..report },
        };
        out.push(Effect::ToPeers(told));
    }

    /// Notes what a call server itself reported here.
    pub(super) fn note_own_report(&mut self, server: ServerId, report: &LoadReport) {
        let figures = LoadReport { free_lines: None, lines: None, ..*report };
        if let Some(peers) = self.peers.as_mut().filter(|_| figures != LoadReport::default()) {
            peers.own.insert(server, (self.now, figures));
        }
    }

    pub(super) fn forget_words(&mut self, server: ServerId) {
        if let Some(peers) = &mut self.peers {
            peers.own.remove(&server);
            peers.words.retain(|(of, _), _| *of != server);
        }
    }

    /// Takes a peer's word, and lets the module hear what all voices together say.
    pub(super) fn hear_peer(&mut self, from: u16, told: PeerReport) {
        let now = self.now;
        let Some(peers) = &mut self.peers else { return };
        let sent = told.born_ms as f64 + f64::from(told.age_ms);
        if (now - sent).abs() > LATE_MS {
            peers.figures.late += 1;
            return;
        }
        let listed =
            self.fleet.ids.get(&told.server).and_then(|id| self.fleet.servers.get(id).map(|s| (*id, s)));
        let Some((server, s)) = listed else {
            peers.figures.unlisted += 1;
            return;
        };
        let born = peers.born.entry(from).or_insert(told.born_ms);
        if told.born_ms > *born {
            // It was started again, and counts from one.
            *born = told.born_ms;
            peers.words.retain(|(_, peer), _| *peer != from);
        }
        let seen = |w: &Word| w.seq >= told.seq;
        if told.born_ms < *born || peers.words.get(&(server, from)).is_some_and(seen) {
            peers.figures.old += 1;
            return;
        }
        let figures = LoadReport { free_lines: None, lines: None, ..told.report };
        peers.words.insert((server, from), Word { at: now, seq: told.seq, report: figures });
        let unheard = s.waits_since.is_some_and(|at| now - at >= UNHEARD_MS);
        let silent_here = unheard || self.fleet.is_down(server);
        let Some(report) = peers.agreed(server, now, silent_here) else {
            peers.figures.alone += 1;
            return;
        };
        peers.figures.taken += 1;
        self.news.push_back(module::Event::Told { server, report });
    }

    /// The engine's part of the figures of peers, where they are on.
    pub(super) fn peer_figures(&self) -> Option<PeerFigures> {
        self.peers.as_ref().map(|p| p.figures)
    }
}

impl Peers {
    /// What the voices of late say of a call server; none if one alone speaks, or two that differ. An empty report
    /// says no more than that a peer told of it: the own one is fresher.
    fn agreed(&self, server: ServerId, now: f64, silent_here: bool) -> Option<LoadReport> {
        let own = self.own.get(&server).filter(|(at, _)| now - at <= VOICE_MS);
        if own.is_some_and(|(at, _)| now - at <= OWN_FRESH_MS) && !silent_here {
            return Some(LoadReport::default());
        }
        let words = self.words.range((server, 0)..=(server, u16::MAX)).map(|(_, w)| w);
        let mut voices: Vec<LoadReport> =
            words.filter(|w| now - w.at <= VOICE_MS).map(|w| w.report).collect();
        if silent_here && voices.len() < 2 {
            return None;
        }
        voices.extend(own.map(|(_, report)| *report));
        match voices[..] {
            [] | [_] => None,
            [a, b] if !agree(&a, &b) => None,
            _ => Some(median(&voices)),
        }
    }
}

/// A figure's place in a report.
type Figure = fn(&mut LoadReport) -> &mut Option<f64>;

/// The figures that voices are weighed by, each with the slack it is allowed, in its own unit.
const FIGURES: [(Figure, f64); 5] = [
    (|r| &mut r.queue, 5.0),
    (|r| &mut r.utilisation, 0.2),
    (|r| &mut r.wait_ms, 100.0),
    (|r| &mut r.can_take, 5.0),
    (|r| &mut r.hold_back, 0.2),
];

fn agree(a: &LoadReport, b: &LoadReport) -> bool {
    let (mut a, mut b) = (*a, *b);
    FIGURES.iter().all(|&(figure, slack)| match (*figure(&mut a), *figure(&mut b)) {
        (Some(a), Some(b)) => (a - b).abs() <= AGREE_PART * a.max(b) + slack,
        _ => true,
    })
}

/// The median of each figure over those that have it; between the two in the middle, half-way.
fn median(voices: &[LoadReport]) -> LoadReport {
    let mut report = LoadReport::default();
    for (figure, _) in FIGURES {
        let mut values: Vec<f64> = voices.iter().filter_map(|v| *figure(&mut v.clone())).collect();
        values.sort_by(f64::total_cmp);
        let middle = [values.len().saturating_sub(1) / 2, values.len() / 2];
        let [low, high] = middle.map(|i| values.get(i).copied());
        *figure(&mut report) = low.zip(high).map(|(low, high)| (low + high) / 2.0);
    }
    report
}
