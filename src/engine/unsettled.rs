//! Attempts that were given up here and may not have ended at their call server yet.
//!
//! Messages name a call and no attempt, and what is written or heard on one connection can pass what is on another. As long
//! as the call server may not have read that an attempt is given up, a further attempt of the same call there could be cut
//! by the late release, or be taken for the end of the first. So the call goes to no such server.

use super::{Engine, ServerConn};
use crate::interface::{self as module, CallId, ServerId};

/// An attempt, or a call that stood unknown here, which was given up by a release or with its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Unsettled {
    pub(super) call: CallId,
    pub(super) server: ServerId,
    pub(super) conn: ServerConn,
    /// The place among all that was written to call servers of what gave it up.
    pub(super) written: u64,
}

/// All of them, of calls that may still be tried.
#[derive(Debug, Default)]
pub(super) struct UnsettledAttempts(Vec<Unsettled>);

impl UnsettledAttempts {
    pub(super) fn note(&mut self, unsettled: Unsettled) {
        self.0.push(unsettled);
    }

    /// Whether an attempt of this call at this call server may not have ended there.
    pub(super) fn any(&self, call: CallId, server: ServerId) -> bool {
        self.0.iter().any(|u| u.call == call && u.server == server)
    }

    pub(super) fn any_on(&self, conn: ServerConn) -> bool {
        self.0.iter().any(|u| u.conn == conn)
    }

    pub(super) fn forget(&mut self, call: CallId) {
        self.0.retain(|u| u.call != call);
    }

    /// The call server has read what was written on this connection up to this place. Returns what is settled by it.
    pub(super) fn take_read(&mut self, conn: ServerConn, up_to: u64) -> Vec<Unsettled> {
        self.0.extract_if(.., |u| u.conn == conn && u.written < up_to).collect()
    }

    /// The call server knows that this connection has ended.
    pub(super) fn take_on(&mut self, conn: ServerConn) -> Vec<Unsettled> {
        self.take_read(conn, u64::MAX)
    }

    /// The call server's process is gone, and what was open there with it.
    pub(super) fn take_at(&mut self, server: ServerId) -> Vec<Unsettled> {
        self.0.extract_if(.., |u| u.server == server).collect()
    }
}

impl Engine {
    /// An attempt of this call at the call server of this connection is given up there: until the call server has read so,
    /// no further one goes to it.
    pub(super) fn note_unsettled(&mut self, id: CallId, conn: ServerConn) {
        let Some(server) = self.fleet.server_of(conn) else { return };
        if self.calls.live.get(&id).is_none_or(|c| c.answered) {
            return;
        }
        self.calls.written += 1;
        self.calls.unsettled.note(Unsettled { call: id, server, conn, written: self.calls.written });
        self.news.push_back(module::Event::Barred { call: id, server });
    }

    /// Attempts have ended at their call servers too: calls that have no other there may go there again.
    pub(super) fn settled(&mut self, settled: Vec<Unsettled>) {
        for Unsettled { call, server, .. } in settled {
            if !self.calls.unsettled.any(call, server) {
                self.news.push_back(module::Event::Unbarred { call, server });
            }
        }
    }

    /// A call server speaks of a set-up: it has read what was written on that connection before.
    pub(super) fn note_read(&mut self, conn: ServerConn, up_to: u64) {
        let settled = self.calls.unsettled.take_read(conn, up_to);
        self.settled(settled);
    }
}
