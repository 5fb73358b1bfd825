//! Closing callers' connections: which one makes room, which are idle, and what becomes of a caller that left.
//!
//! A connection without a set-up is closed in two steps: the engine asks for it (`Effect::CloseIdleCaller`) and goes on
//! hearing it until the connection's task, which alone sees what has come in, says that it is closed.

use super::callers::{CallerPresence, Conn};
use super::operators::FIRST_WORD_MS;
use super::stop::LAST_LOOK_MS;
use super::{CallerConn, Due, Effect, Engine, ToCaller};
use crate::interface as module;
use std::collections::BTreeSet;

/// A caller that has shut its side may listen still or be gone: while a set-up of it is open it is looked at so often,
/// ms. Two looks, within the 0.1 s after which nothing may be done for a caller that is gone.
const SHUT_LOOK_MS: f64 = 40.0;
/// A caller that is gone has shown so by a reset within this of a progress message to it, ms.
const GONE_SHOWS_MS: f64 = 80.0;

impl Engine {
    pub(super) fn make_room_if_crowded(&mut self, new: CallerConn, out: &mut Vec<Effect>) {
        if self.callers.staying() > self.host.callers_max {
            self.make_room(new, out);
        }
    }

    /// Too many connections: one goes that brought no call yet, of those that said nothing and those that did the kind
    /// there are more of, as that is the crowd; then callers', those with a call that stands last, as its end is to be
    /// told there. Of equals it is the one that has been quiet longest. None with a set-up open on it goes, and not the
    /// new one.
    fn make_room(&mut self, new: CallerConn, out: &mut Vec<Effect>) {
        let busy: BTreeSet<CallerConn> = self.calls.waiting_on().collect();
        let standing: BTreeSet<CallerConn> = self.calls.standing_on().collect();
        let idle =
            self.callers.conns.iter().filter(|(id, c)| **id != new && !c.leaving && !busy.contains(id));
        let idle: Vec<(CallerConn, &Conn)> = idle.map(|(&id, c)| (id, c)).collect();
        let silent = idle.iter().filter(|(_, c)| !c.calls && !c.asked).count();
        let asked = idle.iter().filter(|(_, c)| !c.calls && c.asked).count();
        let worth = |id: CallerConn, c: &Conn| match c {
            Conn { calls: true, .. } => 2 + u8::from(standing.contains(&id)),
            Conn { asked: true, .. } => u8::from(silent >= asked),
            Conn { .. } => u8::from(silent < asked),
        };
        let first = idle
            .iter()
            .min_by(|(i, a), (j, b)| worth(*i, a).cmp(&worth(*j, b)).then(a.heard_at.total_cmp(&b.heard_at)));
        let Some(conn) = first.map(|&(id, _)| id) else { return };
        if let Some(c) = self.callers.conns.get_mut(&conn) {
            c.leaving = true;
        }
        self.close_if_unheard(conn, false, out);
    }

    pub(super) fn caller_silent(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        if self.callers.conns.get(&conn).is_some_and(|c| !c.asked) {
            self.close_if_unheard(conn, false, out);
        }
    }

    /// The rest of a message does not come. What is open on the connection is answered before it is closed: a request is lost
    /// if its connection ends without an answer.
    pub(super) fn caller_stalled(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        if self.calls.first_waiting_on(conn).is_none() {
            self.close_if_unheard(conn, false, out);
        }
    }

    /// Closes a connection on which no set-up is open, unless its caller has sent a message that was not heard yet: a
    /// caller sends a set-up again only if it crossed the close by a moment, and that one may have lain for longer.
    /// With `keep_partial` a part of a message keeps the connection as well.
    pub(super) fn close_if_unheard(&mut self, conn: CallerConn, keep_partial: bool, out: &mut Vec<Effect>) {
        if let Some(c) = self.callers.conns.get(&conn) {
            out.push(Effect::CloseIdleCaller { conn, heard: c.heard, keep_partial });
        }
    }

    /// Closes a connection whatever may come on it: its caller has shut it, or sends what can't be taken up.
    pub(super) fn close_caller(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        if self.callers.conns.remove(&conn).is_some() {
            out.push(Effect::CloseCaller(conn));
        }
    }

    /// The program was behind with its reading, and the caller has shut its side meanwhile: the set-ups that are read from here on
    /// go nowhere before it shows whether it listens.
    pub(super) fn caller_shut_early(&mut self, conn: CallerConn) {
        if let Some(c) = self.callers.conns.get_mut(&conn) {
            c.presence = CallerPresence::Questioned;
            self.timers.set(self.now + GONE_SHOWS_MS, Due::CallerListens(conn));
        }
    }

    /// The progress messages to a caller brought no reset: what was held for it is handed to the module.
    pub(super) fn caller_listens(&mut self, conn: CallerConn) {
        let Some(c) = self.callers.conns.get_mut(&conn) else { return };
        c.presence = CallerPresence::Shown;
        for call in self.calls.ids(|c| c.conn == conn && c.held.is_some()) {
            self.admit_held(call);
        }
    }

    /// A caller may shut its side and still wait for answers: they go out before the connection is closed.
    pub(super) fn caller_eof(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        if let Some(c) = self.callers.conns.get_mut(&conn) {
            c.open = false;
        }
        self.look_at_shut(conn, out);
        self.close_if_done(conn, out);
    }

    /// A caller that has shut its side may be gone. No attempt begins for it any more: its set-ups that are not out are
    /// failed. What is out is waited for, as the caller may still listen; a progress message, which means nothing,
    /// shows whether it does: the system of one that is gone resets the connection, and its set-ups are given up.
    pub(super) fn look_at_shut(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        if !self.callers.has_shut(conn) {
            return;
        }
        for call in self.calls.not_out_from(conn) {
            self.news.push_back(module::Event::CallerLeft(call));
            self.answer(call, ToCaller::Failed(call), out);
        }
        if let Some(call) = self.calls.first_waiting_on(conn) {
            out.push(Effect::ToCaller { conn, message: ToCaller::Progress(call) });
            self.timers.set(self.now + SHUT_LOOK_MS, Due::CallerShut(conn));
        }
    }

    /// Closes a connection with nothing open on it if its caller has shut it, or if idle ones are closed now.
    pub(super) fn close_if_done(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        let Some(c) = self.callers.conns.get(&conn) else { return };
        let shut = !c.open;
        if !(shut || self.closes_idle()) || self.in_use(shut).contains(&conn) {
            return;
        }
        if shut {
            self.close_caller(conn, out);
        } else {
            self.close_if_unheard(conn, true, out);
        }
    }

    /// Connections with a set-up open, and in a drain those with a standing call: its caller may have no other on
    /// which to hear of its end. The next process at this address can tell of it as well, and a caller that has shut its
    /// side asked for no more.
    fn in_use(&self, shut: bool) -> BTreeSet<CallerConn> {
        let ends = self.successor || self.leaving_since.is_some();
        let standing = self.calls.standing_on().filter(|_| !shut && !ends);
        self.calls.waiting_on().chain(standing).collect()
    }

    /// Closes what has no set-up open on it, so that its caller goes elsewhere with the next. One that has asked
    /// nothing yet has a moment for it: it may have been sent here before the front knew better.
    pub(super) fn close_idle(&mut self, out: &mut Vec<Effect>) {
        if !self.closes_idle() {
            return;
        }
        let busy = self.in_use(false);
        let first_word_ms = if self.leaving_since.is_some() { LAST_LOOK_MS } else { FIRST_WORD_MS };
        let idle = |id: &CallerConn, c: &Conn| {
            !busy.contains(id) && (c.asked || self.now - c.opened_at >= first_word_ms)
        };
        let idle: Vec<_> =
            self.callers.conns.iter().filter(|(id, c)| idle(id, c)).map(|(&id, _)| id).collect();
        for conn in idle {
            self.close_if_unheard(conn, true, out);
        }
    }
}
