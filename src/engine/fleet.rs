//! The call servers: the name service's list, the connections to each, and whether it lives.

use super::{Due, Effect, Engine, FromServer, Listing, Lost, ServerConn, ToServer};
use crate::interface::{self as module, CallId, Listed, Outcome, ServerEntry, ServerId};
use std::collections::{BTreeMap, HashMap};

/// Connections to one call server at most; the protocol's figure.
const CONNS_MAX: usize = 4;
/// One that could not be reached is tried again after this, ms.
const REDIAL_MS: f64 = 300.0;
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
/// A call server tells its state at once on a new connection; after this one is as good as not come up, ms.
const MUTE_MS: f64 = 750.0;
/// A connection on which a set-up waits and nothing was heard for so long is doubted, ms: another is opened.
const DOUBT_MS: f64 = 300.0;
/// If set-ups sent so much later elsewhere at that call server are answered, the doubted one is of no use, ms: its
/// line is first come, first served, and journeys differ by less.
const OVERTAKEN_MS: f64 = 300.0;
/// A state is told on all open connections at once: one that lags so far behind has missed it, ms.
const TOLD_TOGETHER_MS: f64 = 100.0;
/// Releases kept for a call server that has no connection open.
const OWED_MAX: usize = 4096;

struct Conn {
    id: ServerConn,
    open: bool,
    opened_at: f64,
    /// Whether anything was heard on it yet, and when that was or, before, when it opened.
    heard: bool,
    heard_at: f64,
    /// When the latest of the set-ups that were answered on it had been sent.
    passed: f64,
    /// When a state was last told on it.
    told_at: f64,
}

struct Server {
    listing: Listing,
    conns: Vec<Conn>,
    /// When it last said anything on any connection.
    heard_at: f64,
    /// It has told its state, or could not be reached, since it was listed.
    tried: bool,
    /// Connections that did not come up since it last said anything.
    failed: u32,
    /// Releases that wait for a connection.
    owed: Vec<CallId>,
}

#[derive(Default)]
pub(super) struct Fleet {
    serial: Option<u32>,
    ids: HashMap<String, ServerId>,
    named: u64,
    servers: BTreeMap<ServerId, Server>,
    by_conn: HashMap<ServerConn, ServerId>,
    dialled: u64,
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
    fn best(&self, server: ServerId) -> Option<ServerConn> {
        let open = self.servers.get(&server)?.conns.iter().filter(|c| c.open);
        open.max_by(|a, b| a.heard.cmp(&b.heard).then(a.heard_at.total_cmp(&b.heard_at))).map(|c| c.id)
    }

    fn is_open(&self, conn: ServerConn) -> bool {
        let server = self.by_conn.get(&conn).and_then(|id| self.servers.get(id));
        server.is_some_and(|s| s.conns.iter().any(|c| c.id == conn && c.open))
    }
}

impl Server {
    fn dialling(&self) -> bool {
        self.conns.iter().any(|c| !c.open)
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
            let (place, state, started_at) = (listing.place, listing.state, listing.started_at);
            entries.push(ServerEntry { id, place, state, started_at });
            self.listed(id, listing, out);
        }
        self.news.push_back(module::Event::Servers { complete: true, entries });
    }

    fn listed(&mut self, id: ServerId, listing: Listing, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(server) = self.fleet.servers.get_mut(&id) else {
            let server = Server {
                listing,
                conns: Vec::new(),
                heard_at: now,
                tried: false,
                failed: 0,
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
            self.cut(id, at, out);
        }
        if addr != old.addr {
            self.close_all(id, out);
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
        self.close_all(id, out);
        self.end_waiting(id, Outcome::NotSent);
        self.fleet.servers.remove(&id);
        self.fleet.ids.retain(|_, known| *known != id);
    }

    // ---- connections ----

    /// An open connection; if there is none, one is on its way.
    pub(super) fn connection_to(&mut self, server: ServerId, out: &mut Vec<Effect>) -> Option<ServerConn> {
        let best = self.fleet.best(server);
        if best.is_none() && self.fleet.servers.get(&server).is_some_and(|s| !s.dialling()) {
            self.dial(server, out);
        }
        best
    }

    fn dial(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let Some(s) = self.fleet.servers.get_mut(&server).filter(|s| s.conns.len() < CONNS_MAX) else {
            return;
        };
        self.fleet.dialled += 1;
        let conn = ServerConn(self.fleet.dialled);
        let (now, passed) = (self.now, f64::NEG_INFINITY);
        let new = Conn {
            id: conn,
            open: false,
            opened_at: now,
            heard: false,
            heard_at: now,
            passed,
            told_at: passed,
        };
        s.conns.push(new);
        self.fleet.by_conn.insert(conn, server);
        out.push(Effect::Dial { conn, addr: s.listing.addr, timeout_ms: self.host.dial_timeout_ms });
    }

    pub(super) fn redial(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        if self.fleet.servers.get(&server).is_some_and(|s| s.conns.is_empty()) {
            self.dial(server, out);
        }
    }

    pub(super) fn server_opened(&mut self, conn: ServerConn, out: &mut Vec<Effect>) {
        let Some(&server) = self.fleet.by_conn.get(&conn) else { return };
        let Some(s) = self.fleet.servers.get_mut(&server) else { return };
        if let Some(c) = s.conns.iter_mut().find(|c| c.id == conn) {
            (c.open, c.opened_at, c.heard_at) = (true, self.now, self.now);
        }
        for call in std::mem::take(&mut s.owed) {
            out.push(Effect::ToServer { conn, message: ToServer::Release(call), confirm: false });
        }
        self.write_waiting(server, conn, out);
    }

    pub(super) fn server_lost(&mut self, conn: ServerConn, how: Lost, out: &mut Vec<Effect>) {
        let Some((server, lived_ms)) = self.drop_conn(conn) else { return };
        let Some(s) = self.fleet.servers.get_mut(&server) else { return };
        let alone = s.conns.is_empty();
        log::debug!("connection to {}: {how:?}", s.listing.name);
        match how {
            // Nothing listens: the process is dead, and what stood there was cut with it. With a connection open
            // it only takes no more of them.
            Lost::Refused if alone => self.cut(server, f64::INFINITY, out),
            // A reset tells of this connection alone: a call server in good health resets it after what it could
            // not read, and so may the way there. If the process died, the dial that follows is refused.
            Lost::Refused | Lost::TimedOut | Lost::Reset | Lost::Closed => {}
        }
        let Some(s) = self.fleet.servers.get_mut(&server) else { return };
        if matches!(how, Lost::Refused | Lost::TimedOut) {
            (s.tried, s.failed) = (true, s.failed + 1);
            if alone {
                self.end_waiting(server, Outcome::NotConnected);
                self.timers.set(self.now + REDIAL_MS, Due::Redial(server));
            }
        } else if lived_ms >= REDIAL_MS {
            // What ended meanwhile, and what was told on the lost connection and never heard, is told on the next
            // connection, also if others are open; refused, it shows that the process died.
            self.dial(server, out);
        } else if alone {
            // One that closes every connection at once is not to be dialled in a tight loop.
            self.timers.set(self.now + REDIAL_MS, Due::Redial(server));
        }
    }

    /// The one place where a connection to a call server is given back, with how long it was there, ms; attempts
    /// on it end with it.
    fn drop_conn(&mut self, conn: ServerConn) -> Option<(ServerId, f64)> {
        let server = self.fleet.by_conn.remove(&conn)?;
        let mut lived_ms = 0.0;
        if let Some(s) = self.fleet.servers.get_mut(&server)
            && let Some(i) = s.conns.iter().position(|c| c.id == conn)
        {
            lived_ms = self.now - s.conns.remove(i).opened_at;
        }
        self.end_on(conn);
        Some((server, lived_ms))
    }

    fn close(&mut self, conn: ServerConn, out: &mut Vec<Effect>) {
        if self.drop_conn(conn).is_some() {
            out.push(Effect::CloseServer(conn));
        }
    }

    fn close_all(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let Some(s) = self.fleet.servers.get(&server) else { return };
        for conn in s.conns.iter().map(|c| c.id).collect::<Vec<_>>() {
            self.close(conn, out);
        }
    }

    // ---- what call servers say ----

    pub(super) fn hear_server(&mut self, conn: ServerConn, message: FromServer, out: &mut Vec<Effect>) {
        let Some(&server) = self.fleet.by_conn.get(&conn) else { return };
        let now = self.now;
        log::trace!("{} on connection {}: {message:?}", self.fleet.name(server), conn.0);
        if let Some(s) = self.fleet.servers.get_mut(&server) {
            (s.heard_at, s.tried, s.failed) = (now, true, 0);
            s.conns.iter_mut().filter(|c| c.id == conn).for_each(|c| (c.heard, c.heard_at) = (true, now));
        }
        match message {
            FromServer::Answer { call, description } => {
                self.answered_by(server, conn, call, description, out)
            }
            FromServer::Ended { call, how, report } => self.ended_by(server, conn, call, how, report, out),
            FromServer::State(report) => {
                self.news.push_back(module::Event::Lines { server, report });
                self.close_mute(server, conn, out);
            }
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

    // ---- liveness ----

    pub(super) fn look(&mut self, out: &mut Vec<Effect>) {
        for server in self.fleet.servers.keys().copied().collect::<Vec<_>>() {
            self.look_at_stuck(server, out);
            self.look_at(server, out);
        }
    }

    /// Closes connections that missed what this one was told a round ago: whatever is said there is lost. What was
    /// said already, such as releases of standing calls, comes again on the next connection: so one is opened.
    fn close_mute(&mut self, server: ServerId, conn: ServerConn, out: &mut Vec<Effect>) {
        let Some(s) = self.fleet.servers.get_mut(&server) else { return };
        let Some(c) = s.conns.iter_mut().find(|c| c.id == conn) else { return };
        let told = std::mem::replace(&mut c.told_at, self.now) - TOLD_TOGETHER_MS;
        let mute = |c: &&Conn| c.open && c.id != conn && c.opened_at < told && c.heard_at < told;
        for mute in s.conns.iter().filter(mute).map(|c| c.id).collect::<Vec<_>>() {
            log::info!("connection {} to {} has fallen mute", mute.0, self.fleet.name(server));
            self.close(mute, out);
            self.dial(server, out);
        }
    }

    /// After an answer that never came, or came spoilt without showing it, a connection stays open and carries
    /// nothing more. Silence alone may be a long line; that others overtake it is none.
    fn look_at_stuck(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let Some(s) = self.fleet.servers.get(&server) else { return };
        let doubted = s.conns.iter().filter(|c| c.open && self.now - c.heard_at >= DOUBT_MS);
        let waits = doubted.filter_map(|c| Some((c, self.calls.oldest_on(c.id)?)));
        let waits: Vec<_> = waits.filter(|&(_, sent_at)| self.now - sent_at >= DOUBT_MS).collect();
        let stuck = waits.iter().find(|&&(c, sent_at)| {
            s.conns.iter().any(|other| other.id != c.id && other.passed >= sent_at + OVERTAKEN_MS)
        });
        let another = s.dialling() || s.conns.iter().any(|c| c.open && self.now - c.heard_at < DOUBT_MS);
        if let Some(conn) = stuck.map(|(c, _)| c.id) {
            log::info!("connection {} to {} carries nothing more", conn.0, s.listing.name);
            self.close(conn, out);
            self.dial(server, out);
        } else if !waits.is_empty() && !another && s.conns.len() < CONNS_MAX - 1 {
            self.dial(server, out);
        }
    }

    /// A machine that vanished says nothing and keeps its connections open: it shows only in that no new one
    /// comes up. One that lives tells its state first of all on a new one.
    fn look_at(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let Some(s) = self.fleet.servers.get(&server) else { return };
        let silent_ms = self.now - s.heard_at;
        // The system may take a connection that nobody behind it answers.
        let mute = |c: &Conn| c.open && !c.heard && self.now - c.heard_at >= MUTE_MS;
        let unreachable = s.failed > 0 || s.conns.iter().any(mute);
        let open = s.conns.iter().any(|c| c.open);
        if silent_ms < SILENT_MS {
            // Alive: the connection heard longest ago makes room for the next look. Not sooner: one that is
            // just quiet may still carry a release.
            let oldest = s.conns.iter().filter(|c| c.open).min_by(|a, b| a.heard_at.total_cmp(&b.heard_at));
            let stale =
                oldest.filter(|c| s.conns.len() >= CONNS_MAX - 1 && self.now - c.heard_at >= UNHEARD_MS);
            if let Some(conn) = stale.map(|c| c.id).filter(|&conn| !self.calls.any_on(conn)) {
                self.close(conn, out);
            }
        } else if !self.calls.any_at(server) {
            // Nothing of ours is there: its silence says nothing, and may be just quiet.
        } else if silent_ms >= CUT_MS && unreachable {
            // Once given up, it is only dialled again and again: no more than that is to be closed.
            if open || self.calls.any_standing_at(server) {
                log::warn!("{} has vanished: silent for {silent_ms:.0} ms", s.listing.name);
                self.cut(server, f64::INFINITY, out);
                self.close_all(server, out);
                self.redial(server, out);
            }
        } else if silent_ms >= UNHEARD_MS && unreachable && open && s.listing.state == Listed::Ready {
            self.close_all(server, out);
            self.redial(server, out);
        } else if !s.dialling() {
            self.dial(server, out);
        }
    }
}

fn describe(listings: &[Listing]) -> String {
    let one = |l: &Listing| {
        let started = l.started_at.map_or(String::new(), |at| format!(" started {at:.0}"));
        format!("{} at {} place {} {:?}{started}", l.name, l.addr, l.place, l.state)
    };
    listings.iter().map(one).collect::<Vec<_>>().join("; ")
}
