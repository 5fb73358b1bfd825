//! Callers' connections: which are kept, what one of them may take, and on which a caller is told.

use super::operators::FIRST_WORD_MS;
use super::{CallerConn, Due, Effect, Engine, Fault, FromCaller, Release, ToCaller};
use crate::interface::CallId;
use crate::rate_limited_log::BadInput;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

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
/// A connection that its caller closes so soon after a release went out may have crossed it, ms.
const CROSSING_MS: f64 = 250.0;
/// Releases kept for callers that have no connection open.
const OWED_MAX: usize = 4096;
/// Each goes out on so many connections that may be callers' or not, until one says that it heard it: a crowd's are not
/// to have them all.
const COPIES_MAX: u8 = 3;

struct Conn {
    /// The caller may send more on it.
    open: bool,
    /// It has sent a whole message.
    asked: bool,
    /// It has brought a set-up that was taken: whoever holds it has calls, and hears of their ends.
    calls: bool,
    opened_at: f64,
    heard_at: f64,
    faults: u32,
    passed_on: u32,
}

/// A release that no caller's connection could take.
struct Owed {
    call: CallId,
    how: Release,
    /// Connections on which it went out nevertheless.
    copies: u8,
}

#[derive(Default)]
pub(super) struct Callers {
    conns: BTreeMap<CallerConn, Conn>,
    /// Releases that no caller was there for.
    owed: VecDeque<Owed>,
    /// Releases that went out a moment ago and were not said to be heard, oldest first.
    released: VecDeque<(f64, CallerConn, CallId, Release)>,
}

impl Callers {
    pub fn any(&self) -> bool {
        !self.conns.is_empty()
    }
}

impl Engine {
    pub(super) fn caller_opened(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        let (opened_at, heard_at) = (self.now, self.now);
        let new =
            Conn { open: true, asked: false, calls: false, opened_at, heard_at, faults: 0, passed_on: 0 };
        self.callers.conns.insert(conn, new);
        self.timers.set(self.now + SILENT_MS, Due::CallerSilent(conn));
        // Releases that found no caller have waited for this one. Whether it is a caller only a set-up shows.
        for owed in self.callers.owed.iter_mut().filter(|o| o.copies < COPIES_MAX) {
            owed.copies += 1;
            out.push(Effect::ToCaller {
                conn,
                message: ToCaller::Released { call: owed.call, how: owed.how },
            });
        }
        if self.callers.conns.len() > self.host.callers_max {
            self.make_room(conn, out);
        }
    }

    /// Too many connections: one goes that brought no call yet, of those that said nothing and those that did the kind
    /// there are more of, as that is the crowd; then callers', those with a call that stands last, as its end is to be
    /// told there. Of equals it is the one that has been quiet longest. None with a set-up open on it goes, and not the
    /// new one.
    fn make_room(&mut self, new: CallerConn, out: &mut Vec<Effect>) {
        let busy: BTreeSet<CallerConn> = self.calls.waiting_on().collect();
        let standing: BTreeSet<CallerConn> = self.calls.standing_on().collect();
        let idle = self.callers.conns.iter().filter(|(id, _)| **id != new && !busy.contains(id));
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
        if let Some(conn) = first.map(|&(id, _)| id) {
            self.close_caller(conn, out);
        }
    }

    pub(super) fn caller_silent(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        if self.callers.conns.get(&conn).is_some_and(|c| !c.asked) {
            self.close_caller(conn, out);
        }
    }

    /// The one place where a connection is closed from here. What still comes on it was never taken up: a caller
    /// whose set-up crossed the close sends it again on a new connection.
    fn close_caller(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        if self.callers.conns.remove(&conn).is_some() {
            out.push(Effect::CloseCaller(conn));
        }
    }

    /// A caller may shut its side and still wait for answers: they go out before the connection is closed.
    pub(super) fn caller_eof(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        if let Some(c) = self.callers.conns.get_mut(&conn) {
            c.open = false;
        }
        self.close_if_done(conn, out);
    }

    pub(super) fn close_if_done(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        let Some(c) = self.callers.conns.get(&conn) else { return };
        if (!c.open || self.closes_idle()) && !self.in_use(!c.open).contains(&conn) {
            self.close_caller(conn, out);
        }
    }

    /// Set-ups open on it are given up with it; standing calls belong to no connection.
    pub(super) fn caller_closed(&mut self, conn: CallerConn, unsent: Vec<ToCaller>, out: &mut Vec<Effect>) {
        self.callers.conns.remove(&conn);
        self.give_up_on(conn, out);
        // A release that this connection could not take any more goes out on another.
        for message in unsent {
            if let ToCaller::Released { call, .. } = message {
                self.callers.released.retain(|r| r.2 != call);
                self.tell_any_caller(conn, message, out);
            }
        }
        self.release_again(conn, out);
    }

    /// A caller may close a connection with no call on it while a release is on its way there: it was lost then,
    /// and goes out on another connection.
    fn release_again(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        let since = self.now - CROSSING_MS;
        let released = std::mem::take(&mut self.callers.released);
        let (crossed, other): (VecDeque<_>, VecDeque<_>) = released.into_iter().partition(|r| r.1 == conn);
        self.callers.released = other;
        for (_, _, call, how) in crossed.into_iter().filter(|r| r.0 >= since) {
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
            let since = self.now - CROSSING_MS;
            while self.callers.released.front().is_some_and(|r| r.0 < since) {
                self.callers.released.pop_front();
            }
            self.callers.released.push_back((self.now, conn, call, how));
            out.push(Effect::ToCaller { conn, message });
        }
        if caller.is_none() {
            self.callers.owed.push_back(Owed { call, how, copies: u8::from(other.is_some()) });
            if self.callers.owed.len() > OWED_MAX {
                self.callers.owed.pop_front();
            }
        }
    }

    /// A set-up was taken on this connection: whoever holds it is a caller, and hears what callers are owed.
    pub(super) fn brought_call(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        let Some(c) = self.callers.conns.get_mut(&conn).filter(|c| !c.calls) else { return };
        c.calls = true;
        for Owed { call, how, .. } in std::mem::take(&mut self.callers.owed) {
            self.tell_any_caller(conn, ToCaller::Released { call, how }, out);
        }
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
            FromCaller::Heard(call) => {
                self.callers.released.retain(|r| r.2 != call);
                self.callers.owed.retain(|o| o.call != call);
            }
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
        self.close_idle(out);
    }

    /// Connections with a set-up open, and in a drain those with a standing call: its caller may have no other on
    /// which to hear of its end. A successor can tell of it as well, and a caller that has shut its side asked for no
    /// more.
    fn in_use(&self, shut: bool) -> BTreeSet<CallerConn> {
        let standing = self.calls.standing_on().filter(|_| !shut && !self.successor);
        self.calls.waiting_on().chain(standing).collect()
    }

    /// Closes what has no set-up open on it, so that its caller goes elsewhere with the next. One that has asked
    /// nothing yet has a moment for it: it may have been sent here before the front knew better.
    pub(super) fn close_idle(&mut self, out: &mut Vec<Effect>) {
        if !self.closes_idle() {
            return;
        }
        let busy = self.in_use(false);
        let idle = |id: &CallerConn, c: &Conn| {
            !busy.contains(id) && (c.asked || self.now - c.opened_at >= FIRST_WORD_MS)
        };
        let idle: Vec<_> =
            self.callers.conns.iter().filter(|(id, c)| idle(id, c)).map(|(&id, _)| id).collect();
        for conn in idle {
            self.close_caller(conn, out);
        }
    }
}
