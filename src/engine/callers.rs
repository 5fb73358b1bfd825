//! Callers' connections, and what one of them may take.

use super::release_delivery::PendingReleases;
use super::{CallerConn, Due, Effect, Engine, Fault, FromCaller, ToCaller};
use crate::interface::CallId;
use crate::rate_limited_log::BadInput;
use std::collections::BTreeMap;

/// A connection that has asked nothing whole for so long is closed, ms. Who connects and says nothing, or half a
/// message, takes a descriptor from callers that have something to say; 3 s is the most such a client is owed. Not much
/// sooner: some write a set-up over two seconds.
const SILENT_MS: f64 = 2700.0;
/// So many messages that can't be taken up, and the connection is closed: one that repeats them at full speed
/// would take the program's time from all others. Callers in good order send none.
const FAULTS_MAX: u32 = 16;
/// Set-ups open on one connection at most, and releases of calls unknown here that are passed on for one
/// between two looks: beyond that it takes the share of others.
const OPEN_MAX: usize = 512;
const PASSED_ON_MAX: u32 = 64;

/// Whether a caller is there to hear an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallerPresence {
    /// Nothing speaks against it.
    Unquestioned,
    /// It had shut its side before its set-ups were read: they are held until a progress message shows whether it listens.
    Questioned,
    /// The progress message brought no reset.
    Shown,
}

/// A caller's connection.
pub(super) struct Conn {
    /// The caller may send more on it.
    pub(super) open: bool,
    /// It is to make room, and closes unless its caller is heard first.
    pub(super) leaving: bool,
    /// What is known of the presence of its caller.
    pub(super) presence: CallerPresence,
    /// Messages heard on it.
    pub(super) heard: u64,
    /// It has sent a whole message.
    pub(super) asked: bool,
    /// It has brought a set-up that was taken: whoever holds it has calls, and hears of their ends.
    pub(super) calls: bool,
    pub(super) opened_at: f64,
    pub(super) heard_at: f64,
    pub(super) faults: u32,
    pub(super) passed_on: u32,
}

#[derive(Default)]
pub(super) struct Callers {
    pub(super) conns: BTreeMap<CallerConn, Conn>,
    pub(super) releases: PendingReleases,
}

impl Callers {
    pub fn any(&self) -> bool {
        !self.conns.is_empty()
    }

    /// Whether a connection that has brought a set-up is left.
    pub fn any_with_calls(&self) -> bool {
        self.conns.values().any(|c| c.calls)
    }

    /// Whether the caller has shut its side of this connection.
    pub fn has_shut(&self, conn: CallerConn) -> bool {
        self.conns.get(&conn).is_some_and(|c| !c.open)
    }

    pub fn presence(&self, conn: CallerConn) -> CallerPresence {
        self.conns.get(&conn).map_or(CallerPresence::Unquestioned, |c| c.presence)
    }

    /// Connections that are to stay.
    pub(super) fn staying(&self) -> usize {
        self.conns.values().filter(|c| !c.leaving).count()
    }
}

impl Engine {
    pub(super) fn caller_opened(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        let new = Conn {
            open: true,
            leaving: false,
            presence: CallerPresence::Unquestioned,
            heard: 0,
            asked: false,
            calls: false,
            opened_at: self.now,
            heard_at: self.now,
            faults: 0,
            passed_on: 0,
        };
        self.callers.conns.insert(conn, new);
        self.timers.set(self.now + SILENT_MS, Due::CallerSilent(conn));
        self.offer_releases_later();
        self.make_room_if_crowded(conn, out);
    }

    /// Set-ups open on it are given up with it; standing calls belong to no connection.
    pub(super) fn caller_closed(&mut self, conn: CallerConn, unsent: Vec<ToCaller>, out: &mut Vec<Effect>) {
        self.callers.conns.remove(&conn);
        self.give_up_on(conn, out);
        self.release_elsewhere(conn, unsent, out);
    }

    // ---- what callers say ----

    pub(super) fn hear_caller(
        &mut self,
        conn: CallerConn,
        read_at: f64,
        message: FromCaller,
        out: &mut Vec<Effect>,
    ) {
        // A connection that was closed from here is no longer heard.
        let Some(c) = self.callers.conns.get_mut(&conn) else { return };
        (c.asked, c.heard_at) = (true, self.now);
        c.heard += 1;
        if std::mem::take(&mut c.leaving) {
            // It stays, so another is to go.
            self.make_room_if_crowded(conn, out);
        }
        log::trace!("caller {}: {message:?}", conn.0);
        match message {
            FromCaller::SetUp(set_up) => {
                let call = set_up.call;
                if self.calls.waiting_on().filter(|&on| on == conn).count() >= OPEN_MAX {
                    let refused = ToCaller::Refused { call, stay_away_ms: 0.0 };
                    out.push(Effect::ToCaller { conn, message: refused });
                } else if let Err(fault) = self.set_up(conn, read_at, set_up, out) {
                    self.turn_away(conn, call, fault, out);
                }
            }
            FromCaller::Unreadable { call, fault } => self.turn_away(conn, call, fault, out),
            FromCaller::Release(call) => {
                out.push(Effect::ToCaller { conn, message: ToCaller::Heard(call) });
                if !self.released_by_caller(conn, call, out) && self.may_pass_on(conn) {
                    self.release_everywhere(call, out);
                }
            }
            FromCaller::Heard(call) => self.release_heard(call, out),
            FromCaller::Test(call) => {
                let passed = self.ready();
                out.push(Effect::ToCaller { conn, message: ToCaller::Tested { call, passed } });
            }
        }
    }

    /// What can't be taken up is answered on its own connection. A call there under the same id ends with it, as
    /// nobody could tell which of the two an answer means; one on another connection, whose id was only
    /// borrowed, is not touched.
    fn turn_away(&mut self, conn: CallerConn, call: CallId, fault: Fault, out: &mut Vec<Effect>) {
        if self.calls.conn_of(call) == Some(conn) {
            self.released_by_caller(conn, call, out);
        }
        let details = format_args!("caller {}, call {:016x}: {fault:?}", conn.0, call.0);
        self.bad_input.write(BadInput::CallerMessageRefused, self.now, details);
        out.push(Effect::ToCaller { conn, message: ToCaller::Unreadable { call, fault } });
        if let Some(c) = self.callers.conns.get_mut(&conn) {
            c.faults += 1;
            if c.faults >= FAULTS_MAX {
                let details = format_args!("caller {}: its connection is closed", conn.0);
                self.bad_input.write(BadInput::CallerFaults, self.now, details);
                self.close_caller(conn, out);
            }
        }
    }

    fn may_pass_on(&mut self, conn: CallerConn) -> bool {
        let Some(c) = self.callers.conns.get_mut(&conn) else { return false };
        c.passed_on += 1;
        c.passed_on <= PASSED_ON_MAX
    }

    pub(super) fn look_at_callers(&mut self, out: &mut Vec<Effect>) {
        self.callers.conns.values_mut().for_each(|c| c.passed_on = 0);
        self.look_at_releases(out);
        self.close_idle(out);
    }
}
