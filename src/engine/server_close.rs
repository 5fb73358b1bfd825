//! Connections to call servers that are closed from here: what is still heard on them, and which call servers may not know.

use super::close_reason::CloseReason;
use super::{Due, Effect, Engine, FromServer, Lost, ServerConn};
use crate::interface::ServerId;

/// A connection that was closed from here is read until its call server closes its side, or for so long, ms: until then the
/// server may tell of calls there and nowhere else.
const READ_OUT_MS: f64 = 10_000.0;
/// For so long where the program ends, or where more than `READ_OUT_MAX` connections to one call server are read so, ms.
const SHORT_READ_OUT_MS: f64 = 300.0;
const READ_OUT_MAX: usize = 2;

/// A connection that was closed from here and is still read.
#[derive(Clone, Copy, Debug)]
pub(super) struct Closing {
    pub(super) server: ServerId,
    /// It is read no longer than this.
    pub(super) until: f64,
}

impl Engine {
    /// Closes a connection to a call server from here; what the server has said by then is still heard.
    pub(super) fn close(&mut self, conn: ServerConn, reason: CloseReason, out: &mut Vec<Effect>) {
        if let Some((server, _)) = self.drop_conn(conn, false) {
            log::info!("connection {} to {}: closed, {reason}", conn.0, self.fleet.name(server));
            let until = self.now + READ_OUT_MS;
            self.fleet.closing.insert(conn, Closing { server, until });
            self.timers.set(until, Due::ReadOut(conn));
            out.push(Effect::CloseServer(conn));
            self.limit_read_outs(server);
        }
    }

    /// Of too many closed connections to a call server that are still read, the oldest are soon let go of.
    fn limit_read_outs(&mut self, server: ServerId) {
        let closing = self.fleet.closing.iter().filter(|(_, c)| c.server == server);
        let mut conns: Vec<ServerConn> = closing.map(|(&conn, _)| conn).collect();
        conns.sort_unstable();
        for &conn in conns.iter().rev().skip(READ_OUT_MAX) {
            self.shorten_read_out(conn);
        }
    }

    fn shorten_read_out(&mut self, conn: ServerConn) {
        let until = self.now + SHORT_READ_OUT_MS;
        if let Some(closing) = self.fleet.closing.get_mut(&conn).filter(|closing| closing.until > until) {
            closing.until = until;
            self.timers.set(until, Due::ReadOut(conn));
        }
    }

    /// The timer of a closed connection has run out.
    pub(super) fn abandon_if_due(&mut self, conn: ServerConn, out: &mut Vec<Effect>) {
        if self.fleet.closing.get(&conn).is_some_and(|closing| closing.until <= self.now) {
            self.abandon(conn, out);
        }
    }

    /// A closed connection is read no longer, though its call server has not closed its side.
    fn abandon(&mut self, conn: ServerConn, out: &mut Vec<Effect>) {
        let Some(Closing { server, .. }) = self.fleet.closing.remove(&conn) else { return };
        log::info!(
            "connection {} to {}: let go of, its close was not noticed",
            conn.0,
            self.fleet.name(server)
        );
        self.fleet.unnoticed.insert(conn, server);
        out.push(Effect::AbandonServer(conn));
        self.tell_servers_left(out);
    }

    /// A closed connection has ended at its call server as well, or can be read no further.
    pub(super) fn read_out(&mut self, conn: ServerConn, how: Lost, out: &mut Vec<Effect>) {
        let Some(Closing { server, .. }) = self.fleet.closing.remove(&conn) else { return };
        if how == Lost::Abandoned {
            self.fleet.unnoticed.insert(conn, server);
        } else {
            self.note_noticed(conn);
        }
        if how == Lost::Reset && self.calls.any_standing_set_up_on(conn) {
            // What was on its way there is lost, and is told on the next that opens.
            self.dial(server, out);
        }
        self.tell_servers_left(out);
    }

    /// The call server knows that this connection has ended: so have the attempts on it.
    pub(super) fn note_noticed(&mut self, conn: ServerConn) {
        let settled = self.calls.unsettled.take_on(conn);
        self.settled(settled);
    }

    /// Forgets the connections that no call and no attempt is waited for on any more.
    pub(super) fn forget_unnoticed(&mut self) {
        let calls = &self.calls;
        self.fleet
            .unnoticed
            .retain(|&conn, _| calls.unsettled.any_on(conn) || calls.any_standing_set_up_on(conn));
    }

    /// The program is about to end: what call servers tell from now on is for the next process, which has callers to pass
    /// it on to.
    pub(super) fn leave_servers(&mut self, out: &mut Vec<Effect>) {
        for server in self.fleet.servers.keys().copied().collect::<Vec<_>>() {
            self.close_all(server, CloseReason::Leaving, out);
        }
        for conn in self.fleet.closing.keys().copied().collect::<Vec<_>>() {
            self.shorten_read_out(conn);
        }
        self.tell_servers_left(out);
    }

    /// Once the program leaves and the last connection to a call server has been read out.
    pub(super) fn tell_servers_left(&self, out: &mut Vec<Effect>) {
        if self.leaving_since.is_some() && self.fleet.closing.is_empty() {
            out.push(Effect::ServersLeft(self.callers.releases.undelivered()));
        }
    }

    pub(super) fn close_all(&mut self, server: ServerId, reason: CloseReason, out: &mut Vec<Effect>) {
        let Some(s) = self.fleet.servers.get(&server) else { return };
        for conn in s.conns.iter().map(|c| c.id).collect::<Vec<_>>() {
            self.close(conn, reason, out);
        }
    }

    /// What was on its way when its connection was closed from here: an end that was told there is told nowhere else.
    pub(super) fn hear_last(&mut self, conn: ServerConn, message: FromServer, out: &mut Vec<Effect>) {
        let Some(&Closing { server, .. }) = self.fleet.closing.get(&conn) else { return };
        log::trace!("{} on connection {}, closed: {message:?}", self.fleet.name(server), conn.0);
        match message {
            // Set-ups were given up with the connection: such a call may be out there again, and this says nothing of
            // that. Otherwise what had come to stand is released.
            FromServer::Answer { call, .. } | FromServer::Ended { call, .. }
                if self.calls.is_out_at(call, server) => {}
            FromServer::Ended { call, how, report } => self.ended_by(server, conn, call, how, report, out),
            FromServer::Answer { call, description } => {
                self.answered_by(server, conn, call, description, out)
            }
            FromServer::State(_) | FromServer::Tested { .. } | FromServer::Sign => {}
        }
    }
}
