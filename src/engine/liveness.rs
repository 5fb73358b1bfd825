//! Which connections to call servers still carry anything, and which call servers live.

use super::close_reason::CloseReason;
use super::fleet::{CONNS_MAX, Conn, Return, Server};
use super::{Effect, Engine, ServerConn};
use crate::interface::{Listed, ServerId};

/// A call server tells its state about once a second while calls come and go. One that has work of ours and
/// says nothing for so long is looked at: a new connection shows whether it lives, ms.
const SILENT_MS: f64 = 2500.0;
/// One that has said nothing for so long and takes no connection is sent nothing on the old ones, ms: what would
/// be lost there fails at once on a new one.
const UNHEARD_MS: f64 = 4000.0;
/// Its calls are held to be cut only so long after its last word, ms: one that drains may take no connection and
/// say nothing while they still stand. With the look's interval that stays under the 8 s in which callers must
/// hear of an end that nobody told.
const CUT_MS: f64 = 7000.0;
/// One that could not be reached and came back sooner, but has said nothing on the connections from before, is taken for
/// another process so long after its last word before, ms: the list may tell of its start too late for the 8 s.
const RETURNED_CUT_MS: f64 = 7500.0;
/// So many dials that did not come up in a row are no chance: single ones never come up also to servers that live.
const UNREACHABLE_DIALS: u32 = 2;
/// Looks at a suspect that brought no word for so long show as much as a connection that did not come up, ms. However
/// they went, its calls are then cut in time.
const FRUITLESS_MS: f64 = 2000.0;
/// A call server tells its state at once on a new connection; after this one is as good as not come up, ms.
const MUTE_MS: f64 = 750.0;
/// A connection on which a set-up waits and nothing was heard for so long is doubted, ms: another is opened.
const DOUBT_MS: f64 = 150.0;
/// If set-ups sent so much later elsewhere at that call server are answered, the doubted one is of no use, ms: its
/// line is first come, first served, and journeys differ by less.
const OVERTAKEN_MS: f64 = 150.0;
/// So often a connection is opened for what may be told on one whose close went unnoticed, ms: twice within the 8 s in
/// which callers must hear of an end.
const RETELL_MS: f64 = 3500.0;
/// One connection stays open while another makes room for that.
const RETELL_CONNS_MIN: usize = 2;
/// A state is told on all open connections at once: one that lags so far behind has missed it, ms.
const TOLD_TOGETHER_MS: f64 = 100.0;
/// On a connection that opened so long ago nothing comes that was told on an older one before, ms.
const SETTLED_MS: f64 = 300.0;
/// A call server to which two set-ups went so lately is in use, and has a second connection, looked for so often, ms.
/// Call servers hold few: a sender that rarely uses one would shut out another for next to nothing.
const IN_USE_MS: f64 = 2000.0;
const SPARE_MS: f64 = 1000.0;
/// One that turned a connection away is asked for no second one for so long, ms, and each time for twice that, up to
/// the longest: all senders would else go on trying, at a set-up each.
const CROWDED_MS: f64 = 10_000.0;
const CROWDED_MOST_MS: f64 = 160_000.0;

impl Engine {
    pub(super) fn look(&mut self, out: &mut Vec<Effect>) {
        for server in self.fleet.servers.keys().copied().collect::<Vec<_>>() {
            self.look_at_stuck(server, out);
            self.look_at(server, out);
            self.look_for_spare(server, out);
            self.look_for_untold_ends(server, out);
        }
        self.forget_unnoticed();
    }

    /// A call server that has not noticed the close of a connection tells the ends of its calls there. It tells them again on
    /// the next that opens, so one is opened from time to time as long as such a call stands.
    fn look_for_untold_ends(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let Some(s) = self.fleet.servers.get(&server) else { return };
        if s.dialling() || self.now - s.dialled_at < RETELL_MS {
            return;
        }
        if self.calls.standing_at(server).any(|conn| self.fleet.is_unnoticed(conn)) {
            let unnoticed = self.fleet.closing.values().filter(|c| c.server == server).count()
                + self.fleet.unnoticed.values().filter(|&&of| of == server).count();
            self.dial_to_look(server, CONNS_MAX.saturating_sub(unnoticed).max(RETELL_CONNS_MIN), out);
        }
    }

    /// Closes connections that missed what this one was told a round ago: whatever is said there is lost. What was
    /// said already, such as releases of standing calls, comes again on the next connection: so one is opened.
    pub(super) fn close_mute(&mut self, server: ServerId, conn: ServerConn, out: &mut Vec<Effect>) {
        let Some(s) = self.fleet.servers.get_mut(&server) else { return };
        let Some(c) = s.conns.iter_mut().find(|c| c.id == conn) else { return };
        // The first state on a connection is told there alone.
        if c.heard_first {
            return;
        }
        let told = std::mem::replace(&mut c.told_at, self.now) - TOLD_TOGETHER_MS;
        let mute = |c: &&Conn| c.open && c.id != conn && c.opened_at < told && c.heard_at < told;
        for mute in s.conns.iter().filter(mute).map(|c| c.id).collect::<Vec<_>>() {
            self.close(mute, CloseReason::MissedState, out);
            self.dial(server, out);
        }
    }

    /// After an answer that never came, or came spoilt without showing it, a connection stays open and carries
    /// nothing more. Silence alone may be a long line; that others overtake it is none.
    pub(super) fn look_at_stuck(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let Some(s) = self.fleet.servers.get(&server) else { return };
        let doubted = s.conns.iter().filter(|c| c.open && self.now - c.heard_at >= DOUBT_MS);
        let waits = doubted.filter_map(|c| Some((c, self.calls.oldest_on(c.id)?)));
        let waits: Vec<_> = waits.filter(|&(_, sent_at)| self.now - sent_at >= DOUBT_MS).collect();
        let stuck = waits.iter().find(|&&(c, sent_at)| {
            s.conns.iter().any(|other| other.id != c.id && other.passed >= sent_at + OVERTAKEN_MS)
        });
        let another = s.dialling() || s.conns.iter().any(|c| c.open && self.now - c.heard_at < DOUBT_MS);
        if let Some(conn) = stuck.map(|(c, _)| c.id) {
            self.close(conn, CloseReason::Overtaken, out);
            self.dial(server, out);
        } else if !waits.is_empty() && !another && !self.crowded(server) && s.conns.len() < CONNS_MAX - 1 {
            self.dial(server, out);
        }
    }

    /// A machine that vanished says nothing and keeps its connections open: it shows only in that no new one
    /// comes up. One that lives tells its state first of all on a new one.
    fn look_at(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        self.look_at_return(server, out);
        let Some(silent_ms) = self.suspicious_silence(server) else {
            return self.close_quiet(server, out);
        };
        let Some(s) = self.fleet.servers.get(&server) else { return };
        let unreachable = self.is_unreachable(s);
        let open = s.conns.iter().any(|c| c.open && !c.witness);
        if silent_ms >= CUT_MS && unreachable {
            // Once given up, it is only dialled again and again: no more than that is to be closed.
            if s.conns.iter().any(|c| c.open) || self.calls.any_standing_at(server) {
                log::warn!("{} has vanished: silent for {silent_ms:.0} ms", s.listing.name);
                self.cut(server, f64::INFINITY, out);
                self.close_all(server, CloseReason::Vanished, out);
                self.redial(server, out);
            }
        } else if silent_ms >= UNHEARD_MS && unreachable && open && s.listing.state == Listed::Ready {
            self.close_unreachable(server, out);
            self.redial(server, out);
        } else if !s.is_looked_at() {
            self.dial_to_look(server, CONNS_MAX, out);
        }
    }

    /// Closes the connections to a server that can't be reached, but for one from before the outage without a set-up on it:
    /// should the process live on, it speaks there again.
    fn close_unreachable(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let Some(s) = self.fleet.servers.get_mut(&server) else { return };
        let idle = |c: &&mut Conn| c.open && c.heard && !self.calls.any_on(c.id);
        let witness = s.conns.iter_mut().filter(idle).max_by(|a, b| a.heard_at.total_cmp(&b.heard_at));
        if let Some(witness) = witness {
            witness.witness = true;
        }
        for conn in s.conns.iter().filter(|c| !c.witness).map(|c| c.id).collect::<Vec<_>>() {
            self.close(conn, CloseReason::Unreachable, out);
        }
    }

    /// A call server is heard: whether that ends an outage, and whether its process is known to be the same. To be called
    /// before its word is noted.
    pub(super) fn note_return(&mut self, server: ServerId, conn: ServerConn) {
        let now = self.now;
        let Some(s) = self.fleet.servers.get_mut(&server) else { return };
        let last_word_at = s.returned.map_or(s.heard_at, |r| r.last_word_at);
        if s.conns.iter().any(|c| c.id == conn && c.heard && c.opened_at <= last_word_at) {
            s.returned = None;
            return;
        }
        let suspected_ms = s.suspected_at.map_or(0.0, |at| now - at);
        let unreachable = s.failed >= UNREACHABLE_DIALS || suspected_ms >= FRUITLESS_MS;
        if s.returned.is_none() && s.suspected_at.is_some() && unreachable {
            log::info!("{} is back after {:.0} ms", s.listing.name, now - last_word_at);
            s.returned = Some(Return { last_word_at, at: now });
        }
    }

    /// A call server that came back has said nothing on a connection from before for so long that what stood there counts as
    /// cut. Should the process live after all, its calls are released there too.
    fn look_at_return(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let Some(s) = self.fleet.servers.get_mut(&server) else { return };
        let due = |r: &Return| self.now - r.last_word_at >= RETURNED_CUT_MS;
        let Some(Return { at, last_word_at }) = s.returned.take_if(|r| due(r)) else { return };
        let old: Vec<ServerConn> =
            s.conns.iter().filter(|c| c.opened_at <= last_word_at).map(|c| c.id).collect();
        log::warn!("{} is back, but silent on its connections from before", s.listing.name);
        for call in self.calls.standing_at_before(server, at) {
            self.release_at(server, None, call, out);
        }
        self.cut(server, at, out);
        for conn in old {
            self.close(conn, CloseReason::Vanished, out);
        }
    }

    /// For how long a call server has been silent, ms, if that makes it suspect: it has work of ours then.
    fn suspicious_silence(&mut self, server: ServerId) -> Option<f64> {
        let has_work = self.calls.any_at(server);
        let now = self.now;
        let s = self.fleet.servers.get_mut(&server)?;
        let silent_ms = now - s.heard_at;
        if silent_ms < SILENT_MS || !has_work {
            s.suspected_at = None;
            return None;
        }
        if s.suspected_at.is_none() {
            log::info!("{} is suspect: silent for {silent_ms:.0} ms", s.listing.name);
            s.suspected_at = Some(now);
        }
        Some(silent_ms)
    }

    /// Whether looks at a suspect have shown that it takes no connection, or none has brought a word for long enough.
    fn is_unreachable(&self, s: &Server) -> bool {
        let suspected_ms = s.suspected_at.map_or(0.0, |at| self.now - at);
        // The system may take a connection that nobody behind it answers.
        let mute = |c: &Conn| c.open && !c.heard && self.now - c.heard_at >= MUTE_MS;
        let failed = s.failed > 0 || s.conns.iter().any(mute);
        // What this program has not read yet may hold a word: it may have stood still itself.
        (failed && suspected_ms > 0.0) || suspected_ms >= FRUITLESS_MS
    }

    /// Of many connections to a call server that lives, the one heard longest ago makes room for the next look. Not
    /// sooner: one that is just quiet may still carry a release.
    fn close_quiet(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let Some(s) = self.fleet.servers.get(&server) else { return };
        if self.now - s.heard_at >= SILENT_MS || s.conns.len() < CONNS_MAX - 1 {
            return;
        }
        let oldest =
            s.conns.iter().filter(|c| c.open && !c.witness).min_by(|a, b| a.heard_at.total_cmp(&b.heard_at));
        let stale = oldest.filter(|c| self.now - c.heard_at >= UNHEARD_MS);
        if let Some(conn) = stale.map(|c| c.id).filter(|&conn| !self.calls.any_on(conn)) {
            self.close(conn, CloseReason::Quiet, out);
        }
    }

    /// Dials a call server to see whether it lives. With as many connections as it may have, one makes room: one on
    /// which no set-up is out, of these one that was never heard, of these the one heard longest ago. What was told there
    /// comes again on the next.
    pub(super) fn dial_to_look(&mut self, server: ServerId, connections_max: usize, out: &mut Vec<Effect>) {
        let Some(s) = self.fleet.servers.get(&server) else { return };
        if s.conns.len() >= connections_max {
            let busy = |c: &Conn| self.calls.any_on(c.id);
            let last_used = |a: &&Conn, b: &&Conn| {
                let by_use = busy(a).cmp(&busy(b)).then(a.heard.cmp(&b.heard));
                by_use.then(a.heard_at.total_cmp(&b.heard_at))
            };
            let Some(conn) = s.conns.iter().filter(|c| c.open).min_by(last_used).map(|c| c.id) else {
                return;
            };
            self.close(conn, CloseReason::MakesRoom, out);
        }
        self.dial(server, out);
    }

    /// A second connection to a call server in use: set-ups take turns on the two, so that the answers on one soon show
    /// that the other carries nothing more, and half of the calls are not touched by it.
    fn look_for_spare(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let Some(s) = self.fleet.servers.get(&server) else { return };
        let alone = s.conns.len() == 1 && s.conns.iter().all(|c| c.open && c.heard);
        let in_use = s.listing.state == Listed::Ready && self.now - s.used_before_at < IN_USE_MS;
        if alone && in_use && !self.crowded(server) && self.now - s.dialled_at >= SPARE_MS {
            self.dial(server, out);
        }
    }

    /// It has no room for a connection beside the ones that are open.
    pub(super) fn crowded(&self, server: ServerId) -> bool {
        self.fleet.servers.get(&server).is_some_and(|s| self.now < s.crowded_until)
    }

    /// A call server that holds as many connections as it can turns away the set-up on one more, without looking at it
    /// and so without a word of its load, and closes the connection. Where another is open, that says nothing of its
    /// processor, and no set-up is to go on this one again.
    pub(super) fn turned_away(&mut self, server: ServerId, conn: ServerConn) -> bool {
        let Some(s) = self.fleet.servers.get_mut(&server) else { return false };
        let others = s.conns.iter().any(|c| c.id != conn && c.open && c.heard && !c.turned_away);
        // On one that carried set-ups before it is the processor that is full.
        let fresh = s.conns.iter_mut().find(|c| c.id == conn && c.passed == f64::NEG_INFINITY);
        let Some(c) = fresh.filter(|_| others) else { return false };
        c.turned_away = true;
        true
    }

    /// A connection ends: whether it was one too many. If so none is asked for beside the others for a while.
    pub(super) fn one_too_many(&mut self, conn: ServerConn) -> bool {
        let Some(&server) = self.fleet.by_conn.get(&conn) else { return false };
        let Some(s) = self.fleet.servers.get_mut(&server) else { return false };
        let turned_away = s.conns.iter().any(|c| c.id == conn && c.turned_away);
        if turned_away {
            s.crowded_ms = (2.0 * s.crowded_ms).clamp(CROWDED_MS, CROWDED_MOST_MS);
            s.crowded_until = self.now + s.crowded_ms;
            log::debug!("{} takes no more connections", s.listing.name);
        }
        turned_away
    }

    /// A set-up has waited on it in silence.
    fn quiet(&self, c: &Conn) -> bool {
        let waits = |at: f64| self.now - at >= DOUBT_MS;
        waits(c.heard_at) && self.calls.oldest_on(c.id).is_some_and(waits)
    }

    /// The connection for the next set-up: those on which something was heard take turns. One that is quiet comes last, and
    /// before it one of `used`, on which a word of an earlier attempt of the same call may come once more.
    pub(super) fn in_turn(&mut self, server: ServerId, used: &[ServerConn]) -> Option<ServerConn> {
        let s = self.fleet.servers.get(&server)?;
        let sound =
            s.conns.iter().filter(|c| c.open && !c.witness && c.heard && !c.turned_away && !self.quiet(c));
        let conn = sound
            .min_by_key(|c| (used.contains(&c.id), c.turn))
            .map(|c| c.id)
            .or_else(|| self.fleet.best(server))?;
        let (now, s) = (self.now, self.fleet.servers.get_mut(&server)?);
        let last = s.conns.iter().map(|c| c.turn).max().unwrap_or(0);
        s.conns.iter_mut().filter(|c| c.id == conn).for_each(|c| c.turn = last + 1);
        s.used_before_at = std::mem::replace(&mut s.used_at, now);
        s.waits_since = s.waits_since.or(Some(now));
        Some(conn)
    }

    /// What concerns a call comes on the connection of its set-up if that is of any use to the call server: it came on
    /// another, so the first is of none. Just after the other opened, what was told on the first may be on its way.
    pub(super) fn told_elsewhere(
        &mut self,
        server: ServerId,
        conn: ServerConn,
        own: Option<ServerConn>,
        out: &mut Vec<Effect>,
    ) {
        let Some(s) = self.fleet.servers.get(&server) else { return };
        let find = |id: ServerConn| s.conns.iter().find(|c| c.id == id && c.open);
        let Some((own, other)) = own.filter(|&own| own != conn).and_then(find).zip(find(conn)) else {
            return;
        };
        if self.now - own.heard_at >= TOLD_TOGETHER_MS && self.now - other.opened_at >= SETTLED_MS {
            let own = own.id;
            self.close(own, CloseReason::PassedOver, out);
            self.dial(server, out);
        }
    }
}
