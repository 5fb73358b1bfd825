//! A stand-in call server, with the faults that a trial gives it. It has an address of its own for each node.

use crate::check::ColdTerms;
use crate::record::*;
use crate::world::{Listed, Shared, pause, unix_ms};
use serde_json::{Value, json};
use socket2::{SockRef, Socket};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream as BlockingStream};
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};

/// A server that hangs is looked at so often, ms.
const AWAKE_LOOK_MS: f64 = 10.0;
/// Connections that wait to be accepted in good health.
const BACKLOG: u32 = 128;
/// An address that is taken is tried again after this, ms.
const BIND_AGAIN_MS: f64 = 2.0;
/// Connections that fill the shortest backlog.
const FILLERS: usize = 3;
/// A release that was written to a connection which ends sooner than this may be lost with it, ms.
const CARRIED_MS: f64 = 100.0;
/// Pieces of a line are written so far apart, ms.
const PIECE_GAP_MS: (f64, f64) = (5.0, 60.0);

const FULL: u64 = 34;
const ERROR: u64 = 47;
const NORMAL: u64 = 16;
const RESET: u64 = 41;

/// How a server behaves at the moment.
#[derive(Clone, Debug)]
pub struct Conduct {
    /// Set-ups take so much longer, ms.
    pub slow_ms: f64,
    /// A new connection is accepted so late, ms.
    pub late_ms: f64,
    /// Parts of the new connections that are closed before a word, of the set-ups that are turned away, fail, are reset
    /// with their connection, never answered, and of the answers that are spoilt or come twice.
    pub closes_early: f64,
    pub full: f64,
    pub fails: f64,
    pub resets: f64,
    pub forgets: f64,
    pub spoils: f64,
    pub repeats: f64,
    /// Lines are written in pieces.
    pub pieces: bool,
}

impl Default for Conduct {
    fn default() -> Self {
        Conduct {
            slow_ms: 0.0,
            late_ms: 0.0,
            closes_early: 0.0,
            full: 0.0,
            fails: 0.0,
            resets: 0.0,
            forgets: 0.0,
            spoils: 0.0,
            repeats: 0.0,
            pieces: false,
        }
    }
}

/// What a connection's writer is to do.
enum Order {
    Line(Value),
    Raw(String),
    /// The release of the call at this place in the record.
    Release(Value, usize),
}

struct Connection {
    node: usize,
    /// Its place in the record.
    link: usize,
    orders: mpsc::UnboundedSender<Order>,
    /// Nothing passes on it any more, though it stays open.
    mute: Rc<Cell<bool>>,
    /// The socket itself, for the options that end it with a reset.
    socket: Socket,
    tasks: Vec<JoinHandle<()>>,
}

impl Connection {
    /// Ends it at once; what was on its way is lost.
    fn reset(self) {
        let _ = self.socket.set_linger(Some(Duration::ZERO));
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// A call that stands here.
struct Call {
    node: usize,
    connection: u64,
    /// Its place in the record.
    standing: usize,
    /// Its end was told, and is told once more on the next connection that opens.
    released: bool,
}

pub struct CallServer {
    pub id: String,
    pub place: u32,
    pub conduct: RefCell<Conduct>,
    world: Shared,
    addresses: Vec<SocketAddr>,
    hold_ms: f64,
    told_ms: f64,
    cold: ColdTerms,
    /// By node, the causes for which nothing passes between the two, until all goes on where it stood.
    hanging: RefCell<Vec<usize>>,
    /// Its conduct in good health.
    usual: Conduct,
    /// The machine is gone: nothing is read, answered or accepted.
    vanished: Cell<bool>,
    /// The process that runs; what an earlier one began is over.
    generation: Cell<u64>,
    cold_since: Cell<Option<f64>>,
    connections: RefCell<BTreeMap<u64, Connection>>,
    calls: RefCell<BTreeMap<CallId, Call>>,
    next_connection: Cell<u64>,
    accepting: RefCell<Vec<JoinHandle<()>>>,
    listeners: RefCell<Vec<Rc<TcpListener>>>,
    fillers: RefCell<Vec<BlockingStream>>,
    /// Calls came or went since the state was last told.
    changed: Cell<bool>,
}

/// What a trial draws for a server.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    pub id: String,
    pub place: u32,
    /// Calls last so long in the mean, ms.
    pub hold_ms: f64,
    /// The state is told so often while calls come and go, ms.
    pub told_ms: f64,
    pub conduct: Conduct,
}

impl CallServer {
    /// One with an address for each node; it does not run yet.
    pub fn new(world: &Shared, plan: &ServerPlan, cold: &ColdTerms, nodes: usize) -> Rc<CallServer> {
        let free_port = |address| std::net::TcpListener::bind(address).unwrap().local_addr().unwrap();
        let addresses = (0..nodes).map(|_| free_port(world.address())).collect();
        Rc::new(CallServer {
            id: plan.id.clone(),
            place: plan.place,
            conduct: RefCell::new(plan.conduct.clone()),
            world: world.clone(),
            addresses,
            hold_ms: plan.hold_ms,
            told_ms: plan.told_ms,
            cold: cold.clone(),
            hanging: RefCell::new(vec![0; nodes]),
            usual: plan.conduct.clone(),
            vanished: Cell::new(false),
            generation: Cell::new(0),
            cold_since: Cell::new(None),
            connections: RefCell::default(),
            calls: RefCell::default(),
            next_connection: Cell::new(0),
            accepting: RefCell::default(),
            listeners: RefCell::default(),
            fillers: RefCell::default(),
            changed: Cell::new(false),
        })
    }

    /// Whether its process runs, at a machine that is there.
    pub fn runs(&self) -> bool {
        !self.vanished.get() && !self.accepting.borrow().is_empty()
    }

    /// Its entry in the list.
    pub fn listed(&self, started_ms: u64) -> Listed {
        let (id, addresses) = (self.id.clone(), self.addresses.clone());
        Listed { id, place: self.place, draining: false, started_ms, addresses }
    }

    /// Starts its process, cold or warm.
    pub fn start(self: &Rc<Self>, cold: bool) {
        self.generation.set(self.generation.get() + 1);
        self.cold_since.set(cold.then(|| self.world.now()));
        self.vanished.set(false);
        self.fillers.borrow_mut().clear();
        self.accepting.borrow_mut().drain(..).for_each(|task| task.abort());
        self.listeners.borrow_mut().clear();
        for (node, &address) in self.addresses.iter().enumerate() {
            let accepting = spawn_local(self.clone().accept(node, address));
            self.accepting.borrow_mut().push(accepting);
        }
        let tells = spawn_local(self.clone().tell_state());
        self.accepting.borrow_mut().push(tells);
    }

    /// Starts again as another process and has itself listed so.
    pub fn restart(self: &Rc<Self>) {
        self.end_connections();
        self.start(true);
        let listed = self.listed(unix_ms());
        self.world.change_list(&self.id, ListChange::Started, |list| {
            list.retain(|other| other.id != listed.id);
            list.push(listed);
        });
    }

    /// Its process dies: connections are reset, new ones refused, and calls cut.
    pub fn crash(&self) {
        self.generation.set(self.generation.get() + 1);
        self.accepting.borrow_mut().drain(..).for_each(|task| task.abort());
        self.listeners.borrow_mut().clear();
        self.end_connections();
        self.cut_calls();
    }

    /// Its machine vanishes: connections stay open and silent, and new ones never come up.
    pub fn vanish(&self) {
        self.generation.set(self.generation.get() + 1);
        self.vanished.set(true);
        self.accepting.borrow_mut().drain(..).for_each(|task| task.abort());
        for listener in self.listeners.borrow().iter() {
            let Ok(address) = listener.local_addr() else { continue };
            SockRef::from(&**listener).listen(0).unwrap();
            for _ in 0..FILLERS {
                let filler =
                    socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
                filler.set_nonblocking(true).unwrap();
                // It need not come up: the ones that do fill the queue.
                let _ = filler.connect(&address.into());
                self.fillers.borrow_mut().push(filler.into());
            }
        }
        self.cut_calls();
    }

    /// It stands still for so long, whatever its conduct.
    pub async fn hang(&self, ms: f64) {
        self.hanging.borrow_mut().iter_mut().for_each(|causes| *causes += 1);
        pause(ms).await;
        self.hanging.borrow_mut().iter_mut().for_each(|causes| *causes -= 1);
    }

    /// The way between it and one node is cut for so long.
    pub async fn cut_off(&self, node: usize, ms: f64) {
        self.hanging.borrow_mut()[node] += 1;
        pause(ms).await;
        self.hanging.borrow_mut()[node] -= 1;
    }

    /// It behaves otherwise for so long.
    pub async fn misbehave(&self, conduct: Conduct, ms: f64) {
        self.conduct.replace(conduct);
        pause(ms).await;
        self.conduct.replace(self.usual.clone());
    }

    /// Resets all connections, with whatever is under way on them.
    pub fn reset_connections(&self) {
        self.end_connections();
    }

    /// Resets one connection, with whatever is under way on it.
    fn reset_connection(&self, connection: u64) {
        let Some(ended) = self.connections.borrow_mut().remove(&connection) else { return };
        self.note_closed(ended.link);
        ended.reset();
        self.end_attempts(|a| a.connection == connection);
    }

    /// One connection of each node carries nothing more.
    pub fn mute_some(&self) {
        let connections = self.connections.borrow();
        for node in 0..self.addresses.len() {
            if let Some(first) = connections.values().find(|c| c.node == node) {
                first.mute.set(true);
            }
        }
    }

    fn end_connections(&self) {
        for (_, connection) in std::mem::take(&mut *self.connections.borrow_mut()) {
            self.note_closed(connection.link);
            connection.reset();
        }
        self.end_attempts(|_| true);
    }

    fn note_closed(&self, link: usize) {
        let now = self.world.now();
        self.world.record.borrow_mut().links[link].closed_at.get_or_insert(now);
    }

    /// What stood is over, and nobody can say so.
    fn cut_calls(&self) {
        let now = self.world.now();
        let mut record = self.world.record.borrow_mut();
        for (_, call) in std::mem::take(&mut *self.calls.borrow_mut()) {
            record.standing[call.standing].ended.get_or_insert((now, StandingEnd::Cut));
        }
    }

    fn end_attempts(&self, which: impl Fn(&Attempt) -> bool) {
        let now = self.world.now();
        let mut record = self.world.record.borrow_mut();
        let out = record.attempts.iter_mut().filter(|a| a.ended.is_none() && a.server == self.id && which(a));
        out.for_each(|a| a.ended = Some((now, AttemptEnd::Broken)));
    }

    /// Returns once something passes to this node; false if the server's process is another by then.
    async fn awake(&self, node: usize, generation: u64) -> bool {
        while self.hanging.borrow()[node] > 0 && self.generation.get() == generation {
            pause(AWAKE_LOOK_MS).await;
        }
        self.generation.get() == generation && !self.vanished.get()
    }

    /// Listens; what listened before it may hold the address for a moment.
    async fn listen(&self, address: SocketAddr) -> Rc<TcpListener> {
        let bind = || {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            socket.listen(BACKLOG)
        };
        let listener = loop {
            match bind() {
                Ok(listener) => break Rc::new(listener),
                Err(_) => pause(BIND_AGAIN_MS).await,
            }
        };
        self.listeners.borrow_mut().push(listener.clone());
        listener
    }

    async fn accept(self: Rc<Self>, node: usize, address: SocketAddr) {
        let generation = self.generation.get();
        let listener = self.listen(address).await;
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let conduct = self.conduct.borrow().clone();
            if self.world.chance(conduct.closes_early) {
                continue;
            }
            let server = self.clone();
            spawn_local(async move {
                pause(conduct.late_ms).await;
                if server.generation.get() == generation {
                    server.serve(node, stream);
                }
            });
        }
    }

    /// Serves a connection: the state first, then the releases that were told on others since the last one opened.
    fn serve(self: &Rc<Self>, node: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(socket) = stream.as_fd().try_clone_to_owned().map(Socket::from) else { return };
        let connection = self.next_connection.get();
        self.next_connection.set(connection + 1);
        let link = {
            let mut record = self.world.record.borrow_mut();
            let (server, opened_at) = (self.id.clone(), self.world.now());
            record.links.push(Link { node, server, opened_at, closed_at: None });
            record.links.len() - 1
        };
        let (read, write) = stream.into_split();
        let (orders, queue) = mpsc::unbounded_channel();
        let mute = Rc::new(Cell::new(false));
        let tasks = vec![
            spawn_local(self.clone().write(node, write, queue, mute.clone(), link)),
            spawn_local(self.clone().read(node, connection, read)),
        ];
        let new = Connection { node, link, orders, mute, socket, tasks };
        self.connections.borrow_mut().insert(connection, new);
        self.say(connection, self.state());
        let untold: Vec<CallId> = {
            let calls = self.calls.borrow();
            calls.iter().filter(|(_, c)| c.node == node && c.released).map(|(&id, _)| id).collect()
        };
        for call in untold {
            self.say_release(connection, call);
            self.calls.borrow_mut().remove(&call);
        }
    }

    fn say(&self, connection: u64, line: Value) {
        if let Some(connection) = self.connections.borrow().get(&connection) {
            let _ = connection.orders.send(Order::Line(line));
        }
    }

    /// What a refusal or a release tells: the set-ups a second that it can take, fewer while it is cold.
    fn load(&self) -> String {
        let cold_ms = self.cold_since.get().map_or(f64::INFINITY, |since| self.world.now() - since);
        let warm = self.cold.from + (1.0 - self.cold.from) * (cold_ms / self.cold.warm_after_ms).min(1.0);
        let per_s = self.cold.capacity_per_s * warm;
        format!("x0:90;x1:100;latency_ms:4;qps:{per_s:.0}")
    }

    fn state(&self) -> Value {
        json!({"t": "gauge", "ref": "0000000000000000", "f": {"load": "x0:90;x1:100;latency_ms:-1;qps:-1"}})
    }

    async fn tell_state(self: Rc<Self>) {
        let generation = self.generation.get();
        loop {
            pause(self.told_ms).await;
            if self.generation.get() != generation {
                return;
            }
            if self.changed.replace(false) {
                let connections: Vec<u64> = self.connections.borrow().keys().copied().collect();
                connections.into_iter().for_each(|connection| self.say(connection, self.state()));
            }
        }
    }

    async fn write(
        self: Rc<Self>,
        node: usize,
        mut stream: OwnedWriteHalf,
        mut queue: mpsc::UnboundedReceiver<Order>,
        mute: Rc<Cell<bool>>,
        link: usize,
    ) {
        let generation = self.generation.get();
        while let Some(order) = queue.recv().await {
            if !self.awake(node, generation).await {
                // Open and silent.
                std::future::pending::<()>().await;
            }
            if mute.get() {
                continue;
            }
            let text = match order {
                Order::Line(line) => format!("{line}\n"),
                Order::Raw(text) => text,
                Order::Release(line, standing) => {
                    spawn_local(self.clone().note_carried(link, mute.clone(), standing));
                    format!("{line}\n")
                }
            };
            if self.conduct.borrow().pieces && self.world.chance(0.3) {
                let half = text.len() / 2;
                if stream.write_all(&text.as_bytes()[..half]).await.is_err() {
                    return;
                }
                pause(self.world.between(PIECE_GAP_MS.0, PIECE_GAP_MS.1)).await;
                if stream.write_all(&text.as_bytes()[half..]).await.is_err() {
                    return;
                }
            } else if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Reads lines, also while it hangs: what they say is noted at once and acted on once it goes on.
    async fn read(self: Rc<Self>, node: usize, connection: u64, stream: OwnedReadHalf) {
        let mut lines = BufReader::new(stream).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            match serde_json::from_str::<Value>(&line) {
                Ok(line) => self.clone().hear(node, connection, &line),
                Err(_) => self.world.record.borrow_mut().unreadable.push(format!("{}: {line}", self.id)),
            }
        }
        // The set-ups open on it are given up.
        let ended = self.connections.borrow_mut().remove(&connection);
        let Some(ended) = ended else { return };
        self.note_closed(ended.link);
        self.end_attempts(|a| a.connection == connection);
    }

    fn hear(self: Rc<Self>, node: usize, connection: u64, line: &Value) {
        let call = line["ref"].as_str().and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or_default();
        match line["t"].as_str() {
            Some("new") => self.hear_set_up(node, connection, call, line),
            Some("down") => self.hear_release(node, call),
            // A release is said once more on the next connection, heard or not.
            Some("ack") => {}
            Some("hb") => {
                self.world.record.borrow_mut().tests.push((node, self.id.clone()));
                self.say(
                    connection,
                    json!({"t": "hb_ok", "ref": line["ref"], "f": {"load": self.load()}, "c": 1}),
                );
            }
            _ => self.world.record.borrow_mut().unreadable.push(format!("{}: {line}", self.id)),
        }
    }

    fn hear_set_up(self: Rc<Self>, node: usize, connection: u64, call: CallId, line: &Value) {
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let left = &line["f"]["left"];
        let left_ms = left.as_f64().or_else(|| left.as_str()?.parse().ok()).unwrap_or(f64::NAN);
        let attempt = {
            let mut record = self.world.record.borrow_mut();
            record.attempts.push(Attempt {
                call,
                node,
                connection,
                server: self.id.clone(),
                place: self.place,
                arrived_at: self.world.now(),
                class: text(&line["f"]["class"]),
                number: text(&line["f"]["key"]),
                description: text(&line["d"]),
                left_ms,
                ended: None,
                cold_since: self.cold_since.get(),
            });
            record.attempts.len() - 1
        };
        if !self.vanished.get() {
            spawn_local(self.answer(node, connection, call, attempt));
        }
    }

    /// The node gives a set-up up, or cuts a call that stands.
    fn hear_release(&self, node: usize, call: CallId) {
        let now = self.world.now();
        let mut record = self.world.record.borrow_mut();
        let own =
            |a: &&mut Attempt| a.call == call && a.node == node && a.server == self.id && a.ended.is_none();
        if let Some(attempt) = record.attempts.iter_mut().find(own) {
            attempt.ended = Some((now, AttemptEnd::Broken));
        }
        if self.vanished.get() {
            return;
        }
        if let Some(call) = self.calls.borrow_mut().remove(&call) {
            record.standing[call.standing].ended.get_or_insert((now, StandingEnd::ByNode));
        }
    }

    /// Works on a set-up and answers it.
    async fn answer(self: Rc<Self>, node: usize, connection: u64, call: CallId, attempt: usize) {
        let generation = self.generation.get();
        let slow_ms = self.conduct.borrow().slow_ms;
        pause(self.world.between(3.0, 25.0) + slow_ms).await;
        if !self.awake(node, generation).await || self.world.record.borrow().attempts[attempt].ended.is_some()
        {
            return;
        }
        self.changed.set(true);
        let conduct = self.conduct.borrow().clone();
        let reference = format!("{call:016x}");
        let down = |cause: u64, note: &str| json!({"t": "down", "ref": reference, "f": {"load": self.load(), "note": note}, "c": cause});
        if self.world.chance(conduct.full) {
            self.end_attempt(attempt, AttemptEnd::Refused);
            self.say(connection, down(FULL, if self.world.chance(0.5) { "ovl" } else { "nc" }));
        } else if self.world.chance(conduct.fails) {
            self.end_attempt(attempt, AttemptEnd::Refused);
            self.say(connection, down(ERROR, ""));
        } else if self.world.chance(conduct.resets) {
            if self.world.chance(0.5) {
                self.end_attempt(attempt, AttemptEnd::Broken);
                self.say(connection, down(RESET, ""));
            } else {
                self.reset_connection(connection);
            }
        } else if self.world.chance(conduct.forgets) {
            // Never answered.
        } else if self.world.chance(conduct.spoils) {
            let spoilt = [
                format!("{{\"t\":\"up\",\"ref\":\"{reference}\"\n"),
                format!("{{\"t\":\"up\",\"ref\":\"{reference}\""),
            ];
            let spoilt = spoilt[usize::from(self.world.chance(0.5))].clone();
            if let Some(connection) = self.connections.borrow().get(&connection) {
                let _ = connection.orders.send(Order::Raw(spoilt));
            }
        } else {
            self.end_attempt(attempt, AttemptEnd::Answered);
            self.stand(node, connection, call, conduct.repeats).await;
        }
    }

    fn end_attempt(&self, attempt: usize, how: AttemptEnd) {
        let now = self.world.now();
        self.world.record.borrow_mut().attempts[attempt].ended = Some((now, how));
    }

    /// The call stands, and comes to its end in time.
    async fn stand(self: Rc<Self>, node: usize, connection: u64, call: CallId, repeats: f64) {
        let generation = self.generation.get();
        let number = self.world.record.borrow().standing.len();
        let description = format!("{call:016x} at {}, {number}\r\ns=\"\u{e6}\"\r\n", self.id);
        {
            let mut record = self.world.record.borrow_mut();
            record.given.entry(call).or_default().push(description.clone());
            let (server, since, description) = (self.id.clone(), self.world.now(), description.clone());
            record.standing.push(Standing {
                call,
                server,
                description,
                since,
                ended: None,
                release_written_at: None,
            });
            let standing = record.standing.len() - 1;
            // The same call once more: its node knows nothing of the first, whose answer was lost.
            let now = self.world.now();
            let replaced = self.calls.borrow_mut().remove(&call);
            replaced.inspect(|c| {
                record.standing[c.standing].ended.get_or_insert((now, StandingEnd::ByNode));
            });
            self.calls.borrow_mut().insert(call, Call { node, connection, standing, released: false });
        }
        let answer = json!({"t": "up", "ref": format!("{call:016x}"), "f": {}, "d": description});
        self.say(connection, answer.clone());
        if self.world.chance(repeats) {
            pause(self.world.between(0.0, 12.0)).await;
            self.say(connection, answer);
        }
        pause(self.world.exponential(self.hold_ms)).await;
        if !self.awake(node, generation).await {
            return;
        }
        self.release(call);
    }

    /// The call has come to its end: said on the connection of its set-up, else on any.
    fn release(&self, call: CallId) {
        let connection = {
            let mut calls = self.calls.borrow_mut();
            let Some(standing) = calls.get_mut(&call) else { return };
            standing.released = true;
            let now = self.world.now();
            let mut record = self.world.record.borrow_mut();
            record.standing[standing.standing].ended.get_or_insert((now, StandingEnd::Released));
            let connections = self.connections.borrow();
            let own = connections.contains_key(&standing.connection).then_some(standing.connection);
            own.or_else(|| connections.iter().find(|(_, c)| c.node == standing.node).map(|(&id, _)| id))
        };
        self.changed.set(true);
        if let Some(connection) = connection {
            self.say_release(connection, call);
        }
    }

    /// Says a release on this connection.
    fn say_release(&self, connection: u64, call: CallId) {
        let line =
            json!({"t": "down", "ref": format!("{call:016x}"), "f": {"load": self.load()}, "c": NORMAL});
        let calls = self.calls.borrow();
        if let (Some(call), Some(connection)) = (calls.get(&call), self.connections.borrow().get(&connection))
        {
            let _ = connection.orders.send(Order::Release(line, call.standing));
        }
    }

    /// A release counts as written once its connection has carried it for a moment.
    async fn note_carried(self: Rc<Self>, link: usize, mute: Rc<Cell<bool>>, standing: usize) {
        let written_at = self.world.now();
        pause(CARRIED_MS).await;
        let mut record = self.world.record.borrow_mut();
        if record.links[link].closed_at.is_none() && !mute.get() {
            record.standing[standing].release_written_at.get_or_insert(written_at);
        }
    }
}
