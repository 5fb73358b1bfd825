//! On which connection a caller is told that its call is over, and how often.

use super::{CallerConn, Effect, Engine, Release, ToCaller};
use crate::interface::CallId;
use std::collections::VecDeque;

/// A connection that its caller closes so soon after a release went out may have crossed it, ms.
const CROSSING_MS: f64 = 250.0;
/// Releases kept for callers that have no connection open.
const OWED_MAX: usize = 4096;
/// Each goes out on so many connections that may be callers' or not, until one says that it heard it; then on one more
/// from time to time, ms, for as long as a caller may still wait for it, ms: a crowd's are not to have them all.
const COPIES_MAX: u8 = 3;
const COPY_AGAIN_MS: f64 = 250.0;
const COPIES_FOR_MS: f64 = 30_000.0;

/// A release that no caller's connection could take.
struct Owed {
    call: CallId,
    how: Release,
    /// Connections on which it went out nevertheless, and when the last of them was told.
    copies: u8,
    copied_at: f64,
    since: f64,
}

impl Owed {
    fn may_be_copied(&self, now: f64) -> bool {
        let again = now - self.copied_at >= COPY_AGAIN_MS && now - self.since < COPIES_FOR_MS;
        self.copies < COPIES_MAX || again
    }
}

/// A release that went out a moment ago.
struct Sent {
    at: f64,
    conn: CallerConn,
    call: CallId,
    how: Release,
}

/// Releases that may still have to go out again.
#[derive(Default)]
pub(super) struct PendingReleases {
    /// Those that no caller was there for.
    owed: VecDeque<Owed>,
    /// Those that went out a moment ago and were not said to be heard, oldest first.
    sent: VecDeque<Sent>,
}

impl PendingReleases {
    /// Releases that no caller was there for.
    pub(super) fn owed(&self) -> usize {
        self.owed.len()
    }

    /// Releases that went out a moment ago and may still be lost with their connection.
    pub(super) fn in_flight(&self, now: f64) -> usize {
        self.sent.iter().filter(|sent| sent.at >= now - CROSSING_MS).count()
    }

    /// A caller heard it.
    pub(super) fn heard(&mut self, call: CallId) {
        self.forget_sent(call);
        self.owed.retain(|owed| owed.call != call);
    }

    fn forget_sent(&mut self, call: CallId) {
        self.sent.retain(|sent| sent.call != call);
    }

    /// Notes one that goes out now; those that no close can have crossed any more are forgotten.
    fn note_sent(&mut self, new: Sent) {
        let since = new.at - CROSSING_MS;
        while self.sent.front().is_some_and(|sent| sent.at < since) {
            self.sent.pop_front();
        }
        self.sent.push_back(new);
    }

    fn note_owed(&mut self, new: Owed) {
        self.owed.push_back(new);
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
    /// Releases that found no caller have waited for this connection. Whether a caller holds it only a set-up shows.
    pub(super) fn offer_owed_releases(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        let now = self.now;
        for owed in self.callers.releases.owed.iter_mut().filter(|owed| owed.may_be_copied(now)) {
            owed.copies = owed.copies.saturating_add(1);
            owed.copied_at = now;
            let message = ToCaller::Released { call: owed.call, how: owed.how };
            out.push(Effect::ToCaller { conn, message });
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
            if let ToCaller::Released { call, .. } = message {
                self.callers.releases.forget_sent(call);
                self.tell_any_caller(conn, message, out);
            }
        }
        self.release_again(conn, out);
    }

    /// A caller may close a connection with no call on it while a release is on its way there: it was lost then,
    /// and goes out on another connection.
    fn release_again(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        let since = self.now - CROSSING_MS;
        let crossed = self.callers.releases.take_sent_on(conn);
        for Sent { call, how, .. } in crossed.into_iter().filter(|sent| sent.at >= since) {
            self.tell_any_caller(conn, ToCaller::Released { call, how }, out);
        }
    }

    /// On the connection of the set-up, else on another caller's; else on the next that brings a set-up, and meanwhile
    /// on a few of those that may be callers'.
    pub(super) fn tell_any_caller(&mut self, conn: CallerConn, message: ToCaller, out: &mut Vec<Effect>) {
        let conns = &self.callers.conns;
        let own = conns.get(&conn).filter(|c| c.open).map(|_| conn);
        // The one heard last is the least likely to be closed by its caller meanwhile.
        let last = |calls: bool| {
            let open = conns.iter().filter(|(_, c)| c.open && c.calls == calls);
            let last =
                open.max_by(|(_, a), (_, b)| a.asked.cmp(&b.asked).then(a.heard_at.total_cmp(&b.heard_at)));
            last.map(|(&id, _)| id)
        };
        let (caller, other) = (own.or_else(|| last(true)), last(false));
        let ToCaller::Released { call, how } = message else {
            out.extend(caller.or(other).map(|conn| Effect::ToCaller { conn, message }));
            return;
        };
        if let Some(conn) = caller.or(other) {
            self.callers.releases.note_sent(Sent { at: self.now, conn, call, how });
            out.push(Effect::ToCaller { conn, message });
        }
        if caller.is_none() {
            let (since, copies) = (self.now, u8::from(other.is_some()));
            self.callers.releases.note_owed(Owed { call, how, copies, copied_at: since, since });
        }
    }

    /// A set-up was taken on this connection: whoever holds it is a caller, and hears what callers are owed.
    pub(super) fn brought_call(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        let Some(c) = self.callers.conns.get_mut(&conn).filter(|c| !c.calls) else { return };
        c.calls = true;
        for Owed { call, how, .. } in std::mem::take(&mut self.callers.releases.owed) {
            self.tell_any_caller(conn, ToCaller::Released { call, how }, out);
        }
    }
}
