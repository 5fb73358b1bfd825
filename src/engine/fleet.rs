//! The call servers: the name service's list, the connections to each, and whether it lives.

use super::close_reason::CloseReason;
use super::ended_calls::Reach;
use super::release_delivery::EndOfCall;
use super::server_close::Closing;
use super::{
    CallerConn, Due, Effect, Engine, FromServer, Listing, Lost, ServerConn, ToServer, UndeliveredEnd,
};
use crate::interface::{self as module, CallId, Listed, Outcome, ServerEntry, ServerId};
use std::collections::{BTreeMap, HashMap};

/// Connections to one call server at most; the protocol's figure.
pub(super) const CONNS_MAX: usize = 4;
/// One that could not be reached is tried again after this, ms.
const REDIAL_MS: f64 = 300.0;
/// Releases kept for a call server that has no connection open.
const OWED_MAX: usize = 4096;

pub(super) struct Conn {
    pub(super) id: ServerConn,
    pub(super) open: bool,
    pub(super) opened_at: f64,
    /// Whether anything was heard on it yet, and when that was or, before, when it opened.
    pub(super) heard: bool,
    /// The last word was the first.
    pub(super) heard_first: bool,
    pub(super) heard_at: f64,
    /// When the latest of the set-ups that were answered on it had been sent.
    pub(super) passed: f64,
    /// When a state was last told on it.
    pub(super) told_at: f64,
    /// It had this turn among the set-ups.
    pub(super) turn: u64,
    /// It is kept from before an outage to show whether the server's process lives on; nothing is sent on it.
    pub(super) witness: bool,
    /// A set-up on it was turned away unlooked at: the call server has no room for one more connection.
    pub(super) turned_away: bool,
}

impl Conn {
    /// Whether messages may be sent on it.
    fn carries(&self) -> bool {
        self.open && !self.witness
    }
}

/// A call server that could not be reached speaks again, so far on new connections alone.
#[derive(Clone, Copy, Debug)]
pub(super) struct Return {
    /// Its last word before the outage.
    pub(super) last_word_at: f64,
    /// Its first word after it.
    pub(super) at: f64,
}

pub(super) struct Server {
    pub(super) listing: Listing,
    /// The state that the module was told.
    pub(super) told: Listed,
    pub(super) conns: Vec<Conn>,
    /// When it last said anything on any connection.
    pub(super) heard_at: f64,
    /// It has told its state, or could not be reached, since it was listed.
    pub(super) tried: bool,
    /// Connections that did not come up since it last said anything.
    pub(super) failed: u32,
    /// It cut a connection at once, and has said nothing since.
    pub(super) cut_short: bool,
    /// When the last two set-ups went there, the later one first, and when a connection was last asked for.
    pub(super) used_at: f64,
    pub(super) used_before_at: f64,
    /// No connection beside the open ones is asked for before then, and for how long the last ban was, ms.
    pub(super) crowded_until: f64,
    pub(super) crowded_ms: f64,
    /// The first set-up that went there since it last said anything.
    pub(super) waits_since: Option<f64>,
    /// A look first found it silent, with work of ours, then.
    pub(super) suspected_at: Option<f64>,
    /// It came back from an outage, and it is open whether as the same process.
    pub(super) returned: Option<Return>,
    pub(super) dialled_at: f64,
    /// A connection dialled since then is wanted: what was told on others before may have reached nobody, and comes again
    /// on the next that opens.
    pub(super) wants_dial_since: Option<f64>,
    /// It is dialled again then.
    pub(super) redial_at: Option<f64>,
    /// Releases that wait for a connection.
    pub(super) owed: Vec<CallId>,
}

#[derive(Default)]
pub(super) struct Fleet {
    pub(super) serial: Option<u32>,
    pub(super) ids: HashMap<String, ServerId>,
    pub(super) named: u64,
    pub(super) servers: BTreeMap<ServerId, Server>,
    pub(super) by_conn: HashMap<ServerConn, ServerId>,
    pub(super) dialled: u64,
    /// Connections closed from here on which something may still come.
    pub(super) closing: HashMap<ServerConn, Closing>,
    /// Connections let go of before their call server had noticed the close, as long as a call of theirs is there.
    pub(super) unnoticed: HashMap<ServerConn, ServerId>,
}

impl Fleet {
    /// The number of the call server of this name. Names that are gone are forgotten, their numbers never used
    /// again: on a long day always new ones come.
    fn id(&mut self, name: &str) -> ServerId {
        let next = ServerId(self.named + 1);
        let id = *self.ids.entry(name.to_owned()).or_insert(next);
        self.named = self.named.max(id.0);
        id
    }

    pub fn is_ready(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|s| s.listing.state == Listed::Ready)
    }

    /// It could not be reached when last dialled, or cut the connection before a word, and no connection has said
    /// anything since.
    pub fn is_down(&self, server: ServerId) -> bool {
        let heard = |s: &Server| s.conns.iter().any(|c| c.carries() && c.heard);
        self.servers.get(&server).is_some_and(|s| (s.failed > 0 || s.cut_short) && !heard(s))
    }

    /// Call servers on the list.
    pub fn known(&self) -> usize {
        self.servers.len()
    }

    pub fn ids_listed(&self) -> impl Iterator<Item = ServerId> {
        self.servers.keys().copied()
    }

    pub fn has_place(&self, place: u32) -> bool {
        self.servers.values().any(|s| s.listing.place == place)
    }

    pub fn all_tried(&self) -> bool {
        self.serial.is_some() && self.servers.values().all(|s| s.tried)
    }

    pub fn name(&self, server: ServerId) -> &str {
        self.servers.get(&server).map_or("a call server that is gone", |s| &s.listing.name)
    }

    /// The open connection on which something was heard last.
    pub(super) fn best(&self, server: ServerId) -> Option<ServerConn> {
        let open = self.servers.get(&server)?.conns.iter().filter(|c| c.carries());
        open.max_by(|a, b| a.heard.cmp(&b.heard).then(a.heard_at.total_cmp(&b.heard_at))).map(|c| c.id)
    }

    /// Whether something may still come on a connection that was closed from here.
    pub(super) fn any_closing(&self) -> bool {
        !self.closing.is_empty()
    }

    /// The call server of a connection, open or closed from here.
    pub(super) fn server_of(&self, conn: ServerConn) -> Option<ServerId> {
        let closing = || self.closing.get(&conn).map(|closing| closing.server);
        self.by_conn.get(&conn).copied().or_else(closing).or_else(|| self.unnoticed.get(&conn).copied())
    }

    /// Whether a call server may take this connection for open although it was closed from here.
    pub(super) fn is_unnoticed(&self, conn: ServerConn) -> bool {
        self.closing.contains_key(&conn) || self.unnoticed.contains_key(&conn)
    }

    pub(super) fn is_open(&self, conn: ServerConn) -> bool {
        let server = self.by_conn.get(&conn).and_then(|id| self.servers.get(id));
        server.is_some_and(|s| s.conns.iter().any(|c| c.id == conn && c.carries()))
    }
}

impl Server {
    pub(super) fn dialling(&self) -> bool {
        self.conns.iter().any(|c| !c.open)
    }

    /// A connection that may show whether it lives is on its way or, where there is room for no more, has said nothing
    /// yet.
    pub(super) fn is_looked_at(&self) -> bool {
        let full = self.conns.len() >= CONNS_MAX;
        self.conns.iter().any(|c| !c.open || (full && !c.heard))
    }
}

impl Engine {
    // ---- the list ----

    /// A newer list takes the place of the old one: what is missing in it is gone.
    pub(super) fn follow_list(&mut self, serial: u32, listings: Vec<Listing>, out: &mut Vec<Effect>) {
        // Serials are compared in sequence space (RFC 1982); answers may come late and out of order.
        if self.fleet.serial.is_some_and(|known| serial.wrapping_sub(known) as i32 <= 0) {
            return;
        }
        log::info!("list {serial}: {}", describe(&listings));
        self.fleet.serial = Some(serial);
        let mut entries = Vec::new();
        let listings: Vec<Listing> = listings.into_iter().filter(|l| l.state != Listed::Gone).collect();
        let gone: Vec<ServerId> = self
            .fleet
            .servers
            .iter()
            .filter(|(_, s)| !listings.iter().any(|l| l.name == s.listing.name))
            .map(|(&id, _)| id)
            .collect();
        for id in gone {
            self.server_gone(id, out);
        }
        for listing in listings {
            let id = self.fleet.id(&listing.name);
            let (place, started_at) = (listing.place, listing.started_at);
            let state = self.told_state(id, &listing);
            entries.push(ServerEntry { id, place, state, started_at });
            self.listed(id, listing, out);
            if let Some(s) = self.fleet.servers.get_mut(&id) {
                s.told = state;
            }
        }
        self.sites_listed();
        self.news.push_back(module::Event::Servers { complete: true, entries });
    }

    fn listed(&mut self, id: ServerId, listing: Listing, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(server) = self.fleet.servers.get_mut(&id) else {
            let server = Server {
                told: listing.state,
                listing,
                conns: Vec::new(),
                heard_at: now,
                tried: false,
                failed: 0,
                cut_short: false,
                used_at: f64::NEG_INFINITY,
                used_before_at: f64::NEG_INFINITY,
                crowded_until: f64::NEG_INFINITY,
                crowded_ms: 0.0,
                waits_since: None,
                suspected_at: None,
                returned: None,
                dialled_at: now,
                wants_dial_since: None,
                redial_at: None,
                owed: Vec::new(),
            };
            self.fleet.servers.insert(id, server);
            return self.dial(id, out);
        };
        let old = std::mem::replace(&mut server.listing, listing);
        let (addr, state, started_at) =
            (server.listing.addr, server.listing.state, server.listing.started_at);
        if let Some(at) = started_at.filter(|_| started_at != old.started_at) {
            // Another process: what stood at the one before was cut with it.
            server.returned = None;
            let settled = self.calls.unsettled.take_at(id);
            self.settled(settled);
            self.cut(id, at, out);
            // One that was down is looked for soon, not at its turn in the fleet's pacing.
            let down = self.fleet.servers.get(&id).is_some_and(|s| s.conns.is_empty());
            if let Some(limits) = self.limits.as_mut().filter(|_| down) {
                let soon = limits.restarted(id);
                self.redial_at(id, now + soon);
            }
        }
        if addr != old.addr {
            self.close_all(id, CloseReason::AddressChanged, out);
            self.dial(id, out);
        }
        if state != Listed::Ready {
            // Nothing new goes to it, also not what waits for a connection.
            self.end_waiting(id, Outcome::NotSent);
        }
    }

    /// The one place where a call server is given back.
    fn server_gone(&mut self, id: ServerId, out: &mut Vec<Effect>) {
        self.cut(id, f64::INFINITY, out);
        self.close_all(id, CloseReason::Delisted, out);
        self.end_waiting(id, Outcome::NotSent);
        self.fleet.servers.remove(&id);
        self.forget_words(id);
        self.forget_probes(id);
        self.fleet.ids.retain(|_, known| *known != id);
        self.forget_dials(id);
        if let Some(limits) = self.limits.as_mut() {
            limits.forget(id);
        }
    }

    // ---- connections ----

    /// An open connection for a set-up of this call; if there is none, one is on its way.
    pub(super) fn connection_for(
        &mut self,
        call: CallId,
        server: ServerId,
        out: &mut Vec<Effect>,
    ) -> Option<ServerConn> {
        let tried = self.calls.tried_on_since(call, server, self.now - self.guard_ms);
        let conn = self.in_turn(server, &tried);
        // What ended the attempt before may come once more on its connection, and would be taken for this one's.
        let doubtful = conn.is_some_and(|conn| tried.contains(&conn)) && !self.crowded(server);
        if (conn.is_none() || doubtful) && self.fleet.servers.get(&server).is_some_and(|s| !s.dialling()) {
            self.dial(server, out);
        }
        let dialling = self.fleet.servers.get(&server).is_some_and(Server::dialling);
        conn.filter(|_| !(doubtful && dialling))
    }

    pub(super) fn dial(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let room = self.fleet.servers.get(&server).is_some_and(|s| s.conns.len() < CONNS_MAX);
        if !room || self.leaving_since.is_some() || !self.may_dial(server) {
            return;
        }
        let Some(s) = self.fleet.servers.get_mut(&server) else { return };
        self.fleet.dialled += 1;
        let conn = ServerConn(self.fleet.dialled);
        let (now, passed) = (self.now, f64::NEG_INFINITY);
        let new = Conn {
            id: conn,
            open: false,
            opened_at: now,
            heard: false,
            heard_first: false,
            heard_at: now,
            passed,
            told_at: passed,
            turn: 0,
            witness: false,
            turned_away: false,
        };
        log::debug!("connection {} to {}: dialled", conn.0, s.listing.name);
        s.dialled_at = now;
        s.conns.push(new);
        self.fleet.by_conn.insert(conn, server);
        out.push(Effect::Dial { conn, addr: s.listing.addr, timeout_ms: self.host.dial_timeout_ms });
    }

    /// Dials a call server again later, unless that is to happen already: after `REDIAL_MS`, or as the fleet limits
    /// pace it.
    fn redial_later(&mut self, server: ServerId) {
        let (now, siblings) = (self.now, self.siblings);
        if self.fleet.servers.get(&server).is_none_or(|s| s.redial_at.is_some()) {
            return;
        }
        let gap = self.limits.as_mut().map_or(REDIAL_MS, |l| l.redial_after(server, now, siblings));
        self.redial_at(server, now + gap);
    }

    /// Dials a call server again then, or sooner if that was wanted already. A connection that opens meanwhile serves
    /// as well.
    pub(super) fn redial_at(&mut self, server: ServerId, at: f64) {
        let Some(s) = self.fleet.servers.get_mut(&server) else { return };
        if s.redial_at.is_none_or(|sooner| at < sooner) {
            s.redial_at = Some(at);
            self.timers.set(at, Due::Redial(server));
        }
    }

    /// The timer of a redial has run out; one that was replaced by a sooner one, or is not wanted any more, does nothing.
    pub(super) fn redial_if_due(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let now = self.now;
        let due = |s: &&mut Server| s.redial_at.is_some_and(|at| at <= now);
        let Some(s) = self.fleet.servers.get_mut(&server).filter(due) else { return };
        s.redial_at = None;
        self.redial(server, out);
    }

    pub(super) fn redial(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        if self.fleet.servers.get(&server).is_some_and(|s| s.wants_dial_since.is_some()) {
            self.dial_to_look(server, CONNS_MAX, out);
        } else if self.fleet.servers.get(&server).is_some_and(|s| !s.dialling()) {
            self.dial(server, out);
        }
    }

    pub(super) fn server_opened(&mut self, conn: ServerConn, out: &mut Vec<Effect>) {
        let Some(&server) = self.fleet.by_conn.get(&conn) else { return };
        let Some(s) = self.fleet.servers.get_mut(&server) else { return };
        if let Some(c) = s.conns.iter_mut().find(|c| c.id == conn) {
            let dialled_at = c.opened_at;
            s.wants_dial_since = s.wants_dial_since.filter(|&since| dialled_at < since);
            (c.open, c.opened_at, c.heard_at) = (true, self.now, self.now);
        }
        s.redial_at = None;
        let open = s.conns.iter().filter(|c| c.open).count();
        log::info!("connection {} to {}: open, one of {open}", conn.0, s.listing.name);
        for call in std::mem::take(&mut s.owed) {
            out.push(Effect::ToServer { conn, message: ToServer::Release(call), confirm: false });
            self.note_unsettled(call, conn);
        }
        self.write_waiting(server, conn, out);
    }

    pub(super) fn server_lost(&mut self, conn: ServerConn, how: Lost, out: &mut Vec<Effect>) {
        if self.fleet.closing.contains_key(&conn) {
            return self.read_out(conn, how, out);
        }
        let one_too_many = self.one_too_many(conn);
        let was_open = self.fleet.is_open(conn);
        let Some((server, lived_ms)) = self.drop_conn(conn, how != Lost::Abandoned) else { return };
        if how == Lost::Abandoned {
            self.fleet.unnoticed.insert(conn, server);
        } else {
            self.note_noticed(conn);
        }
        let Some(s) = self.fleet.servers.get_mut(&server) else { return };
        let alone = s.conns.iter().all(|c| c.witness);
        // A server that is down is dialled several times a second: only the first failure is worth a line.
        let level = if was_open || s.failed == 0 { log::Level::Info } else { log::Level::Debug };
        log::log!(
            level,
            "connection {} to {}: lost ({how:?}), {} left",
            conn.0,
            s.listing.name,
            s.conns.len()
        );
        match how {
            // Nothing listens: the process is dead, and what stood there was cut with it. With a connection open
            // it only takes no more of them.
            Lost::Refused if alone => {
                let settled = self.calls.unsettled.take_at(server);
                self.settled(settled);
                self.cut(server, f64::INFINITY, out);
                self.close_all(server, CloseReason::Vanished, out);
            }
            // A reset tells of this connection alone: a call server in good health resets it after what it could
            // not read, and so may the way there. If the process died, the dial that follows is refused.
            Lost::Refused | Lost::TimedOut | Lost::Reset | Lost::Closed | Lost::Abandoned => {}
        }
        let Some(s) = self.fleet.servers.get_mut(&server) else { return };
        if matches!(how, Lost::Refused | Lost::TimedOut) {
            (s.tried, s.failed) = (true, s.failed + 1);
            let wants_dial = s.wants_dial_since.is_some();
            if alone {
                self.end_waiting(server, Outcome::NotConnected);
            }
            if alone || wants_dial {
                self.redial_later(server);
            }
        } else if one_too_many && !alone {
            // Nothing was told on it that is not told on the others.
        } else if lived_ms >= REDIAL_MS {
            // What ended meanwhile, and what was told on the lost connection and never heard, is told on the next
            // connection, also if others are open; refused, it shows that the process died.
            self.dial(server, out);
        } else {
            // One that closes every connection at once is not to be dialled in a tight loop. What was told on this
            // one comes again on the next, so there is to be one, also if others are open.
            s.cut_short = true;
            self.redial_later(server);
        }
    }

    /// The one place where a connection to a call server is given back, with how long it was there, ms; attempts
    /// on it end with it. `noticed`: the call server knows of its end.
    pub(super) fn drop_conn(&mut self, conn: ServerConn, noticed: bool) -> Option<(ServerId, f64)> {
        let server = *self.fleet.by_conn.get(&conn)?;
        let mut lived_ms = 0.0;
        if let Some(s) = self.fleet.servers.get_mut(&server)
            && let Some(i) = s.conns.iter().position(|c| c.id == conn)
        {
            lived_ms = self.now - s.conns.remove(i).opened_at;
        }
        self.end_on(conn, noticed);
        self.fleet.by_conn.remove(&conn);
        self.probes_lost(conn);
        Some((server, lived_ms))
    }

    /// The process that served here before can be told of nothing any more. What call servers told it last may have
    /// reached no caller: it left what it had heard, and call servers tell the rest on the next connection that opens.
    pub(super) fn predecessor_gone(&mut self, undelivered: Vec<UndeliveredEnd>, out: &mut Vec<Effect>) {
        log::info!(
            "a process that served at this address has left its call servers, and {} ends of calls: each server is \
             dialled once more",
            undelivered.len()
        );
        for UndeliveredEnd { call, how } in undelivered {
            if !self.calls.live.contains_key(&call) && self.calls.ended.add(call, Reach::Sent) {
                self.release_to_caller(CallerConn(0), EndOfCall { call, how, source: None }, out);
            }
        }
        for server in self.fleet.servers.keys().copied().collect::<Vec<_>>() {
            if let Some(s) = self.fleet.servers.get_mut(&server) {
                s.wants_dial_since = Some(self.now);
            }
            self.dial_to_look(server, CONNS_MAX, out);
        }
    }

    // ---- what call servers say ----

    pub(super) fn hear_server(&mut self, conn: ServerConn, message: FromServer, out: &mut Vec<Effect>) {
        let Some(&server) = self.fleet.by_conn.get(&conn) else {
            return self.hear_last(conn, message, out);
        };
        let now = self.now;
        log::trace!("{} on connection {}: {message:?}", self.fleet.name(server), conn.0);
        self.note_return(server, conn);
        if let Some(s) = self.fleet.servers.get_mut(&server) {
            (s.heard_at, s.tried, s.failed, s.cut_short) = (now, true, 0, false);
            (s.waits_since, s.suspected_at) = (None, None);
            for c in s.conns.iter_mut().filter(|c| c.id == conn) {
                (c.heard_first, c.heard, c.heard_at) = (!c.heard, true, now);
                c.witness = false;
            }
        }
        self.site_heard(server);
        if let FromServer::Ended { report, .. }
        | FromServer::State(report)
        | FromServer::Tested { report, .. } = &message
        {
            self.site_report(server, report);
            self.note_own_report(server, report);
        }
        // A connection that opens and is cut before a word does not count as reaching the call server.
        if let Some(limits) = self.limits.as_mut() {
            limits.reached(server);
        }
        match message {
            FromServer::Answer { call, description } => {
                let own = self.calls.set_up_on(call, server);
                self.answered_by(server, conn, call, description, out);
                self.told_elsewhere(server, conn, own, out);
                self.look_at_stuck(server, out);
            }
            FromServer::Ended { call, how, report } => {
                let own = self.calls.set_up_on(call, server);
                self.ended_by(server, conn, call, how, report, out);
                self.told_elsewhere(server, conn, own, out);
            }
            FromServer::State(report) => {
                self.news.push_back(module::Event::Lines { server, report });
                self.close_mute(server, conn, out);
            }
            FromServer::Tested { test, passed, report } => self.probe_answered(conn, test, passed, report),
            FromServer::Sign => {}
        }
    }

    /// Releases a call at a call server: on this connection, else on any, else on the next.
    pub(super) fn release_at(
        &mut self,
        server: ServerId,
        conn: Option<ServerConn>,
        call: CallId,
        out: &mut Vec<Effect>,
    ) {
        let own = conn.filter(|&c| self.fleet.is_open(c));
        match own.or_else(|| self.fleet.best(server)) {
            Some(conn) => {
                out.push(Effect::ToServer { conn, message: ToServer::Release(call), confirm: false });
                self.note_unsettled(call, conn);
            }
            None => {
                if let Some(s) = self.fleet.servers.get_mut(&server).filter(|s| s.owed.len() < OWED_MAX) {
                    s.owed.push(call);
                }
            }
        }
    }

    pub(super) fn release_everywhere(&mut self, call: CallId, out: &mut Vec<Effect>) {
        for server in self.fleet.servers.keys().copied().collect::<Vec<_>>() {
            self.release_at(server, None, call, out);
        }
    }

    /// A set-up was answered on this connection.
    pub(super) fn passed_on(&mut self, server: ServerId, conn: ServerConn, sent_at: f64) {
        let conns = self.fleet.servers.get_mut(&server).into_iter().flat_map(|s| &mut s.conns);
        conns.filter(|c| c.id == conn).for_each(|c| c.passed = c.passed.max(sent_at));
    }
}

fn describe(listings: &[Listing]) -> String {
    let one = |l: &Listing| {
        let started = l.started_at.map_or(String::new(), |at| format!(" started {at:.0}"));
        format!("{} at {} place {} {:?}{started}", l.name, l.addr, l.place, l.state)
    };
    listings.iter().map(one).collect::<Vec<_>>().join("; ")
}
