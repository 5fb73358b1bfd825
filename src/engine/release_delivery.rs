//! On which connection a caller is told that its call is over, how often, and when the call server hears that it was.
//!
//! A call server keeps the end of a call until it is told that the end was heard, and tells it again on the next connection
//! that opens. So it is told so only once the end has reached a caller: a process that ends before leaves the end to the
//! next one.

use super::callers::Conn;
use super::ended_calls::Reach;
use super::{CallerConn, Due, Effect, Engine, Release, ServerConn, ToCaller, ToServer, UndeliveredEnd};
use crate::interface::{CallId, ServerId};
use std::collections::VecDeque;

/// A connection that its caller closes so soon after a release went out may have crossed it, ms.
const CROSSING_MS: f64 = 250.0;
/// Releases kept for callers that have no connection open.
const OWED_MAX: usize = 4096;
/// Releases offered between two looks to connections that may be a caller's or not: a crowd does not take all the time.
const OFFERS_MAX: usize = 4096;
/// A connection that has brought no set-up for so long may be that of a caller that only listens, ms: most bring one at once,
/// and that shows whose they are.
const FIRST_SET_UP_MS: f64 = 150.0;
/// Between offers of one release there is so long for its caller to say that it heard, ms.
const OFFER_GAP_MS: f64 = 250.0;
/// An end that has found no caller for so long is given to another process at this address, ms; asked for so often at most, ms.
const PASS_ON_AFTER_MS: f64 = 100.0;
const PASS_ON_GAP_MS: f64 = 250.0;
/// An owed release is offered for as long as a caller may still wait for it, ms.
const OFFERED_FOR_MS: f64 = 30_000.0;

/// Who told of the end of a call, and on which connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct EndSource {
    pub(super) server: ServerId,
    pub(super) conn: ServerConn,
}

/// A call that stood is over, and its caller is to be told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct EndOfCall {
    pub(super) call: CallId,
    pub(super) how: Release,
    /// None: no call server told it; the call was cut.
    pub(super) source: Option<EndSource>,
}

impl EndOfCall {
    fn message(&self) -> ToCaller {
        ToCaller::Released { call: self.call, how: self.how }
    }
}

/// A release that no caller's connection could take.
struct Owed {
    end: EndOfCall,
    since: f64,
    /// The connections that it was offered to, and when it is offered to others.
    offered_to: Vec<CallerConn>,
    next_offer_at: f64,
}

impl Owed {
    /// With each round it is offered to as many more connections as in all rounds before: the first may be its caller's, and
    /// a crowd is through in time.
    fn offers_per_round(&self) -> usize {
        self.offered_to.len().max(1)
    }
}

/// A release that went out a moment ago.
struct Sent {
    at: f64,
    conn: CallerConn,
    end: EndOfCall,
}

/// Releases that may still have to go out again.
#[derive(Default)]
pub(super) struct PendingReleases {
    /// Those that no caller was there for.
    owed: VecDeque<Owed>,
    /// Those that went out a moment ago and were not said to be heard, oldest first.
    sent: VecDeque<Sent>,
    /// Offers made since the last look.
    offers: usize,
    /// What finds no caller is given to other processes at this address no sooner than this again.
    next_pass_on_at: f64,
}

impl PendingReleases {
    /// Releases that no caller was there for.
    pub(super) fn owed(&self) -> usize {
        self.owed.len()
    }

    /// The ends of calls that no caller was there for.
    pub(super) fn undelivered(&self) -> Vec<UndeliveredEnd> {
        let undelivered = |owed: &Owed| UndeliveredEnd { call: owed.end.call, how: owed.end.how };
        self.owed.iter().map(undelivered).collect()
    }

    /// Another process tells these ends.
    pub(super) fn forget_owed(&mut self, ends: &[UndeliveredEnd]) {
        self.owed.retain(|owed| !ends.iter().any(|end| end.call == owed.end.call));
    }

    /// Releases that went out a moment ago and may still be lost with their connection.
    pub(super) fn in_flight(&self, now: f64) -> usize {
        self.sent.iter().filter(|sent| sent.at >= now - CROSSING_MS).count()
    }

    /// Whether the end of this call has not reached a caller for certain.
    fn is_pending(&self, call: CallId) -> bool {
        self.owed.iter().any(|owed| owed.end.call == call) || self.sent.iter().any(|s| s.end.call == call)
    }

    /// A call server tells of the end of this call. True if it is pending already; the server is to hear of its delivery
    /// then.
    pub(super) fn note_source(&mut self, call: CallId, source: EndSource) -> bool {
        let sent = self.sent.iter_mut().map(|sent| &mut sent.end);
        let mut pending = sent.chain(self.owed.iter_mut().map(|owed| &mut owed.end));
        let Some(end) = pending.find(|end| end.call == call) else { return false };
        end.source.get_or_insert(source);
        true
    }

    /// Takes out what is pending of this call.
    fn take(&mut self, call: CallId) -> Option<EndOfCall> {
        let sent = self.sent.iter().position(|sent| sent.end.call == call);
        let sent = sent.and_then(|place| self.sent.remove(place)).map(|sent| sent.end);
        let owed = self.owed.iter().position(|owed| owed.end.call == call);
        let owed = owed.and_then(|place| self.owed.remove(place)).map(|owed| owed.end);
        sent.or(owed)
    }

    /// Takes out the release of this call that went out on this connection.
    fn take_sent(&mut self, conn: CallerConn, call: CallId) -> Option<EndOfCall> {
        let sent = self.sent.iter().position(|sent| sent.conn == conn && sent.end.call == call)?;
        self.sent.remove(sent).map(|sent| sent.end)
    }

    /// Takes out those that no close can have crossed any more.
    fn take_delivered(&mut self, now: f64) -> Vec<EndOfCall> {
        let delivered = self.sent.iter().take_while(|sent| sent.at < now - CROSSING_MS).count();
        self.sent.drain(..delivered).map(|sent| sent.end).collect()
    }

    fn note_owed(&mut self, end: EndOfCall, since: f64) {
        self.owed.push_back(Owed { end, since, offered_to: Vec::new(), next_offer_at: since });
        if self.owed.len() > OWED_MAX {
            self.owed.pop_front();
        }
    }

    /// Takes out what went out on this connection.
    fn take_sent_on(&mut self, conn: CallerConn) -> VecDeque<Sent> {
        let (own, other) = std::mem::take(&mut self.sent).into_iter().partition(|sent| sent.conn == conn);
        self.sent = other;
        own
    }
}

impl Engine {
    /// Releases that found no caller are offered to connections that may be a caller's, a few at a time: whether a caller
    /// holds one only a set-up shows, and one that holds several hears of the end once.
    pub(super) fn offer_owed_releases(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        let releases = &mut self.callers.releases;
        let listens = |c: &Conn| c.open && now - c.opened_at >= FIRST_SET_UP_MS;
        let listening: Vec<CallerConn> =
            self.callers.conns.iter().filter(|(_, c)| listens(c)).map(|(&id, _)| id).collect();
        let due = |owed: &&mut Owed| owed.next_offer_at <= now && now - owed.since < OFFERED_FOR_MS;
        for owed in releases.owed.iter_mut().filter(due) {
            let left = OFFERS_MAX.saturating_sub(releases.offers);
            let others = listening.iter().filter(|&conn| !owed.offered_to.contains(conn));
            let chosen: Vec<CallerConn> = others.take(owed.offers_per_round().min(left)).copied().collect();
            if chosen.is_empty() {
                continue;
            }
            releases.offers += chosen.len();
            owed.next_offer_at = now + OFFER_GAP_MS;
            out.extend(chosen.iter().map(|&conn| Effect::ToCaller { conn, message: owed.end.message() }));
            owed.offered_to.extend(chosen);
        }
    }

    /// A connection opened: if it brings no set-up for a moment, releases that found no caller are offered there.
    pub(super) fn offer_releases_later(&mut self) {
        if self.callers.releases.owed() > 0 {
            self.timers.set(self.now + FIRST_SET_UP_MS, Due::OfferReleases);
        }
    }

    /// At each look: call servers hear of the ends that have reached their callers, and what could not be offered yet is.
    pub(super) fn look_at_releases(&mut self, out: &mut Vec<Effect>) {
        for end in self.callers.releases.take_delivered(self.now) {
            self.acknowledge(end, out);
        }
        self.callers.releases.offers = 0;
        self.pass_on_owed(out);
        self.offer_owed_releases(out);
    }

    /// Where another process serves at this address, the callers may all be connected to that one.
    fn pass_on_owed(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        let releases = &mut self.callers.releases;
        if self.leaving_since.is_some() || now < releases.next_pass_on_at {
            return;
        }
        let late = releases.owed.iter().filter(|owed| now - owed.since >= PASS_ON_AFTER_MS);
        let ends: Vec<UndeliveredEnd> =
            late.map(|owed| UndeliveredEnd { call: owed.end.call, how: owed.end.how }).collect();
        if !ends.is_empty() {
            releases.next_pass_on_at = now + PASS_ON_GAP_MS;
            out.push(Effect::PassOnEnds(ends));
        }
    }

    /// Ends come from another process, or back from the exchange with it.
    pub(super) fn ends_taken(&mut self, ends: &[UndeliveredEnd], own: bool, out: &mut Vec<Effect>) {
        log::info!("{} ends of calls taken over, own: {own}", ends.len());
        for &UndeliveredEnd { call, how } in ends {
            let unheard = !self.calls.live.contains_key(&call) && self.calls.ended.add(call, Reach::Sent);
            if own || unheard {
                self.release_to_caller(CallerConn(0), EndOfCall { call, how, source: None }, out);
            }
        }
    }

    /// A caller says that it heard of the end of a call.
    pub(super) fn release_heard(&mut self, call: CallId, out: &mut Vec<Effect>) {
        if let Some(end) = self.callers.releases.take(call) {
            self.acknowledge(end, out);
        }
    }

    /// The call server that told of the end need not say it again.
    fn acknowledge(&mut self, end: EndOfCall, out: &mut Vec<Effect>) {
        let Some(EndSource { server, conn }) = end.source else { return };
        self.calls.ended.hear_end(end.call);
        let own = Some(conn).filter(|&conn| self.fleet.is_open(conn));
        if let Some(conn) = own.or_else(|| self.fleet.best(server)) {
            out.push(Effect::ToServer { conn, message: ToServer::Heard(end.call), confirm: false });
        }
    }

    /// A connection is closed: releases that it could not take any more, or that its close may have crossed, go out on
    /// another.
    pub(super) fn release_elsewhere(
        &mut self,
        conn: CallerConn,
        unsent: Vec<ToCaller>,
        out: &mut Vec<Effect>,
    ) {
        for message in unsent {
            if let ToCaller::Released { call, how } = message {
                let own = self.callers.releases.take_sent(conn, call);
                if own.is_some() || !self.callers.releases.is_pending(call) {
                    let end = own.unwrap_or(EndOfCall { call, how, source: None });
                    self.release_to_caller(conn, end, out);
                }
            }
        }
        self.release_again(conn, out);
    }

    /// A caller may close a connection with no call on it while a release is on its way there: it was lost then,
    /// and goes out on another connection.
    fn release_again(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        let since = self.now - CROSSING_MS;
        for Sent { at, end, .. } in self.callers.releases.take_sent_on(conn) {
            if at >= since {
                self.release_to_caller(conn, end, out);
            } else {
                self.acknowledge(end, out);
            }
        }
    }

    /// On the connection of the set-up, else on another caller's; else on the next that brings a set-up, and meanwhile
    /// it is offered to those that may be callers'.
    pub(super) fn release_to_caller(&mut self, conn: CallerConn, end: EndOfCall, out: &mut Vec<Effect>) {
        let conns = &self.callers.conns;
        let own = conns.get(&conn).filter(|c| c.open).map(|_| conn);
        // The one heard last is the least likely to be closed by its caller meanwhile.
        let last = || {
            let open = conns.iter().filter(|(_, c)| c.open && c.calls);
            open.max_by(|(_, a), (_, b)| a.heard_at.total_cmp(&b.heard_at)).map(|(&id, _)| id)
        };
        // A caller that shut its side with a set-up open listens for its answer.
        let shut = || self.calls.waiting_on().find(|conn| conns.contains_key(conn));
        if let Some(conn) = own.or_else(last).or_else(shut) {
            self.callers.releases.sent.push_back(Sent { at: self.now, conn, end });
            out.push(Effect::ToCaller { conn, message: end.message() });
        } else {
            self.callers.releases.note_owed(end, self.now);
            self.offer_owed_releases(out);
        }
    }

    /// A set-up was taken on this connection: whoever holds it is a caller, and hears what callers are owed.
    pub(super) fn brought_call(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        let Some(c) = self.callers.conns.get_mut(&conn).filter(|c| !c.calls) else { return };
        c.calls = true;
        for Owed { end, offered_to, .. } in std::mem::take(&mut self.callers.releases.owed) {
            if offered_to.contains(&conn) {
                // It is told there already: it may have crossed a close, as any other.
                self.callers.releases.sent.push_back(Sent { at: self.now, conn, end });
            } else {
                self.release_to_caller(conn, end, out);
            }
        }
    }
}
