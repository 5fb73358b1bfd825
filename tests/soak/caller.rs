//! Stand-in callers of one node: set-ups on a few connections, given up, released and tried again as callers do, and
//! clients that are in no good order.

use crate::check::CROSSING_MS;
use crate::message::*;
use crate::record::*;
use crate::world::{Shared, pause};
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};

/// Set-ups go out on so many connections.
const CONNECTIONS: usize = 3;
/// A caller that may not connect looks again so often, ms.
const LOOK_MS: f64 = 20.0;
/// Callers close a connection with no call on it after this, ms.
const IDLE_MS: f64 = 4000.0;
/// A slow writer takes at most so long for one set-up, ms.
const SLOW_WRITE_MS: f64 = 1800.0;
/// A connection that a bad client holds is closed after this, ms.
const BAD_CLIENT_MS: f64 = 3500.0;

/// What the callers of a trial do, as parts of their set-ups.
#[derive(Clone, Debug)]
pub struct CallerPlan {
    /// Set-ups a second to one node.
    pub per_s: f64,
    pub classes: Vec<ClassPlan>,
    pub places: u32,
    /// Given up early, by a message or with the connection.
    pub gives_up: f64,
    pub closes: f64,
    /// Shuts its side behind a set-up and listens on.
    pub shuts: f64,
    /// Tries again after a refusal, mostly at once.
    pub retries: f64,
    /// Has very little time left.
    pub hurries: f64,
    /// Writes in pieces.
    pub pieces: f64,
    /// Releases a call that stands before its end.
    pub releases: f64,
    /// Bad clients a second.
    pub bad_per_s: f64,
    /// Connections that a crowd holds, saying nothing or little.
    pub crowd: usize,
}

#[derive(Clone, Debug)]
pub struct ClassPlan {
    pub name: String,
    pub deadline_ms: f64,
}

/// How a node can be reached at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Door {
    /// The front sends new connections there.
    Open,
    /// Only open connections are used.
    Closing,
    /// The process is gone.
    Shut,
}

/// What a message means to the record once it is written.
#[derive(Clone, Copy)]
enum Note {
    SetUp(CallId),
    GivenUp(CallId),
}

enum Order {
    /// A message, in so many pieces over so many milliseconds; what its last byte means is noted then.
    Write { bytes: Vec<u8>, pieces: usize, over_ms: f64, note: Option<Note> },
    /// This side is shut.
    Shut,
}

struct Connection {
    orders: mpsc::UnboundedSender<Order>,
    /// Set-ups that went out on it and have no answer.
    open: BTreeMap<CallId, ()>,
    /// Calls that stand were set up on it.
    standing: usize,
    used_at: f64,
    shut: bool,
    /// Its place in the record, and the record.
    place: usize,
    world: Shared,
    tasks: Vec<AbortHandle>,
}

impl Connection {
    /// Its caller closes it, whatever may come on it.
    fn close(self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let now = self.world.now();
        self.world.record.borrow_mut().caller_connections[self.place].closed_at = Some(now);
    }
}

pub struct Callers {
    world: Shared,
    node: usize,
    pub plan: CallerPlan,
    address: SocketAddr,
    pub door: Cell<Door>,
    connections: RefCell<BTreeMap<u64, Connection>>,
    next_connection: Cell<u64>,
}

impl Callers {
    pub fn new(world: &Shared, node: usize, plan: &CallerPlan, address: SocketAddr) -> Rc<Callers> {
        Rc::new(Callers {
            world: world.clone(),
            node,
            plan: plan.clone(),
            address,
            door: Cell::new(Door::Shut),
            connections: RefCell::default(),
            next_connection: Cell::new(0),
        })
    }

    /// Sends set-ups until the trial closes.
    pub async fn run(self: Rc<Self>) {
        spawn_local(self.clone().close_idle());
        if self.plan.bad_per_s > 0.0 {
            spawn_local(self.clone().run_bad_clients());
        }
        for _ in 0..self.plan.crowd {
            spawn_local(self.clone().join_crowd());
        }
        loop {
            pause(self.world.exponential(1000.0 / self.plan.per_s)).await;
            if !self.world.closing.get() {
                spawn_local(self.clone().call(false));
            } else if self.any_standing() && !self.listens() {
                // With one more call somebody is there to hear of the end of what stands: a connection that brings none
                // is nobody's for all that a node knows.
                self.clone().call(false).await;
            }
        }
    }

    fn listens(&self) -> bool {
        self.connections.borrow().values().any(|c| !c.shut)
    }

    fn any_standing(&self) -> bool {
        let record = self.world.record.borrow();
        let stands = |s: &SetUp| s.finals.iter().any(|f| matches!(f.kind, FinalKind::Stands { .. }));
        record.set_ups.values().any(|s| s.node == self.node && stands(s) && s.release_read_at.is_none())
    }

    /// One set-up, from a caller that may have a habit of its own.
    async fn call(self: Rc<Self>, retry: bool) {
        let world = self.world.clone();
        let class = &self.plan.classes[world.random.borrow_mut().usize(..self.plan.classes.len())];
        let hurries = world.chance(self.plan.hurries);
        let wait_ms =
            if hurries { world.between(1.0, 40.0) } else { class.deadline_ms * world.between(0.35, 1.0) };
        let call = world.call();
        let set_up = SetUp {
            node: self.node,
            class: class.name.clone(),
            number: format!("{:016x}", world.random.borrow_mut().u64(..)),
            description: format!("{call:016x}\r\nc=IN IP4 10.4.7.9\r\ns=\"\u{e6}\"\r\n"),
            wait_ms: wait_ms.round(),
            ..SetUp::default()
        };
        world.record.borrow_mut().set_ups.insert(call, set_up);
        if let Some(connection) = self.connection().await {
            self.send(connection, call, retry);
        }
    }

    /// An open connection, maybe a new one; none while the node can't be reached.
    async fn connection(self: &Rc<Self>) -> Option<u64> {
        let open: Vec<u64> = {
            let connections = self.connections.borrow();
            connections.iter().filter(|(_, c)| !c.shut).map(|(&id, _)| id).collect()
        };
        let new = open.len() < CONNECTIONS || self.world.chance(0.05);
        if new && self.door.get() == Door::Open {
            return self.clone().connect().await;
        }
        (!open.is_empty()).then(|| open[self.world.random.borrow_mut().usize(..open.len())])
    }

    async fn connect(self: Rc<Self>) -> Option<u64> {
        if self.door.get() != Door::Open {
            return None;
        }
        let stream = TcpStream::connect(self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let connection = self.next_connection.get();
        self.next_connection.set(connection + 1);
        let (read, write) = stream.into_split();
        let (orders, queue) = mpsc::unbounded_channel();
        let used_at = self.world.now();
        let place = {
            let connections = &mut self.world.record.borrow_mut().caller_connections;
            connections.push(CallerConnection { node: self.node, opened_at: used_at, closed_at: None });
            connections.len() - 1
        };
        let new = Connection {
            orders,
            open: BTreeMap::new(),
            standing: 0,
            used_at,
            shut: false,
            place,
            world: self.world.clone(),
            tasks: vec![
                spawn_local(self.clone().write(connection, write, queue)).abort_handle(),
                spawn_local(self.clone().read(connection, read)).abort_handle(),
            ],
        };
        self.connections.borrow_mut().insert(connection, new);
        Some(connection)
    }

    fn send(self: &Rc<Self>, connection: u64, call: CallId, retry: bool) {
        let world = &self.world;
        let place = world.random.borrow_mut().u32(..self.plan.places);
        let (wait, extras) = {
            let record = world.record.borrow();
            (record.set_ups[&call].wait_ms.to_string(), format!("dest:{place};width:1;via:-1"))
        };
        let (class, number, description) = {
            let record = world.record.borrow();
            let set_up = &record.set_ups[&call];
            (set_up.class.clone(), set_up.number.clone(), set_up.description.clone())
        };
        let mut parameters: Vec<(u8, &[u8])> = vec![
            (CLASS, class.as_bytes()),
            (WAIT, wait.as_bytes()),
            (NUMBER, number.as_bytes()),
            (EXTRAS, extras.as_bytes()),
            (DESCRIPTION, description.as_bytes()),
        ];
        if retry {
            parameters.push((RETRY, b"1"));
        }
        let bytes = Message::new(SET_UP, call, &parameters).bytes();
        let in_pieces = world.chance(self.plan.pieces);
        let over_ms = if in_pieces { world.between(5.0, SLOW_WRITE_MS) } else { 0.0 };
        let pieces = if in_pieces { 1 + world.random.borrow_mut().usize(1..8) } else { 1 };
        if let Some(c) = self.connections.borrow_mut().get_mut(&connection) {
            c.used_at = world.now() + over_ms;
            c.open.insert(call, ());
            let _ = c.orders.send(Order::Write { bytes, pieces, over_ms, note: Some(Note::SetUp(call)) });
        }
    }

    async fn write(
        self: Rc<Self>,
        connection: u64,
        mut stream: OwnedWriteHalf,
        mut queue: mpsc::UnboundedReceiver<Order>,
    ) {
        while let Some(order) = queue.recv().await {
            match order {
                Order::Write { bytes, pieces, over_ms, note } => {
                    for (i, piece) in bytes.chunks(bytes.len().div_ceil(pieces)).enumerate() {
                        if i > 0 {
                            pause(over_ms / pieces as f64).await;
                        }
                        if !self.connections.borrow().contains_key(&connection) {
                            // It ended in the middle of the message, which was never taken.
                            return;
                        }
                        if stream.write_all(piece).await.is_err() {
                            return;
                        }
                    }
                    match note {
                        Some(Note::SetUp(call)) => self.note_sent(connection, call),
                        Some(Note::GivenUp(call)) => self.note_given_up(call),
                        None => {}
                    }
                }
                Order::Shut => {
                    let _ = stream.shutdown().await;
                    std::future::pending::<()>().await;
                }
            }
        }
    }

    /// The last byte of a set-up went out: from here on its caller waits, in its own way.
    fn note_sent(self: &Rc<Self>, connection: u64, call: CallId) {
        let (world, plan) = (&self.world, &self.plan);
        let now = world.now();
        if let Some(set_up) = world.record.borrow_mut().set_ups.get_mut(&call)
            && set_up.finals.is_empty()
        {
            set_up.sent_at = Some(now);
        }
        if world.chance(plan.gives_up) {
            spawn_local(self.clone().give_up(connection, call));
        } else if world.chance(plan.closes) {
            spawn_local(self.clone().close_early(connection));
        } else if world.chance(plan.shuts)
            && let Some(c) = self.connections.borrow_mut().get_mut(&connection)
        {
            c.shut = true;
            let _ = c.orders.send(Order::Shut);
        }
    }

    async fn give_up(self: Rc<Self>, connection: u64, call: CallId) {
        pause(self.world.exponential(60.0)).await;
        let open = self.connections.borrow().get(&connection).is_some_and(|c| c.open.contains_key(&call));
        if open {
            let note = Some(Note::GivenUp(call));
            self.write_message(connection, &Message::new(RELEASE, call, &[(CAUSE, &[16])]), note);
        }
    }

    /// Closes a connection with all that is open on it.
    async fn close_early(self: Rc<Self>, connection: u64) {
        pause(self.world.exponential(60.0)).await;
        let Some(closed) = self.connections.borrow_mut().remove(&connection) else { return };
        closed.open.keys().for_each(|&call| self.note_given_up(call));
        closed.close();
    }

    /// A set-up is given up; where its answer came first, the call that stands is released.
    fn note_given_up(&self, call: CallId) {
        let now = self.world.now();
        let mut record = self.world.record.borrow_mut();
        let Some(set_up) = record.set_ups.get_mut(&call) else { return };
        if set_up.finals.is_empty() {
            set_up.given_up_at.get_or_insert(now);
        } else {
            set_up.released_at = Some(now);
        }
    }

    fn write_message(&self, connection: u64, message: &Message, note: Option<Note>) {
        if let Some(c) = self.connections.borrow().get(&connection) {
            let _ = c.orders.send(Order::Write { bytes: message.bytes(), pieces: 1, over_ms: 0.0, note });
        }
    }

    async fn read(self: Rc<Self>, connection: u64, mut stream: OwnedReadHalf) {
        let mut bytes = BytesMut::new();
        loop {
            match decode(&mut bytes) {
                Ok(Some(message)) => {
                    self.clone().hear(connection, &message);
                    continue;
                }
                Ok(None) => {}
                Err(what) => {
                    self.world
                        .record
                        .borrow_mut()
                        .unreadable
                        .push(format!("a caller of node {}: {what}", self.node));
                    break;
                }
            }
            if !self.connections.borrow().contains_key(&connection) {
                // Closed by its caller meanwhile.
                return;
            }
            match stream.read_buf(&mut bytes).await {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            }
        }
        self.connection_ended(connection).await;
    }

    /// The node closed it. What crossed the close goes out again, once.
    async fn connection_ended(self: Rc<Self>, connection: u64) {
        let Some(mut ended) = self.connections.borrow_mut().remove(&connection) else { return };
        let now = self.world.now();
        for call in std::mem::take(&mut ended.open).into_keys() {
            let crossed = {
                let mut record = self.world.record.borrow_mut();
                let Some(set_up) = record.set_ups.get_mut(&call) else { continue };
                let Some(sent_at) = set_up.sent_at.filter(|_| set_up.given_up_at.is_none()) else { continue };
                let crossed = now - sent_at <= CROSSING_MS && !set_up.resent;
                if crossed {
                    (set_up.resent, set_up.sent_at) = (true, None);
                } else {
                    set_up.connection_ended_at = Some(now);
                }
                crossed
            };
            if crossed && let Some(next) = self.clone().connect().await {
                self.send(next, call, false);
            }
        }
    }

    fn hear(self: Rc<Self>, connection: u64, message: &Message) {
        match message.kind {
            ANSWER => {
                let description = message.text(DESCRIPTION).unwrap_or_default();
                self.hear_final(connection, message, FinalKind::Stands { description });
            }
            RELEASE if self.stands(message.call) => self.hear_end(connection, message.call),
            RELEASE => {
                let refused = matches!(message.cause(), Some(34 | 42 | 102));
                self.hear_final(
                    connection,
                    message,
                    if refused { FinalKind::Refused } else { FinalKind::Failed },
                );
            }
            _ => {}
        }
    }

    fn stands(&self, call: CallId) -> bool {
        let record = self.world.record.borrow();
        let finals = record.set_ups.get(&call).map_or(&[][..], |s| &s.finals);
        finals.iter().any(|f| matches!(f.kind, FinalKind::Stands { .. }))
    }

    fn hear_final(self: &Rc<Self>, connection: u64, message: &Message, kind: FinalKind) {
        let call = message.call;
        let stay_away_ms = message.text(STAY_AWAY).and_then(|ms| ms.parse().ok());
        let now = self.world.now();
        let given_up = {
            let mut record = self.world.record.borrow_mut();
            let Some(set_up) = record.set_ups.get_mut(&call) else { return };
            let given_up = set_up.given_up_at.is_some();
            if !given_up {
                set_up.finals.push(Final { at: now, kind: kind.clone(), stay_away_ms });
            }
            given_up
        };
        if let Some(c) = self.connections.borrow_mut().get_mut(&connection) {
            c.open.remove(&call);
            c.standing += usize::from(matches!(kind, FinalKind::Stands { .. }));
            c.used_at = now;
        }
        if given_up {
            return;
        }
        if matches!(kind, FinalKind::Stands { .. }) {
            if self.world.chance(self.plan.releases) {
                spawn_local(self.clone().release_later(call));
            }
        } else if self.world.chance(self.plan.retries) && !self.world.closing.get() {
            spawn_local(self.clone().try_again(stay_away_ms));
        }
    }

    async fn try_again(self: Rc<Self>, stay_away_ms: Option<f64>) {
        // Most come again at once, whatever they were told.
        if self.world.chance(0.3) {
            pause(stay_away_ms.unwrap_or(500.0)).await;
        }
        self.call(true).await;
    }

    async fn release_later(self: Rc<Self>, call: CallId) {
        pause(self.world.exponential(1500.0)).await;
        let connection = self.connections.borrow().iter().find(|(_, c)| !c.shut).map(|(&id, _)| id);
        let Some(connection) = connection else { return };
        let now = self.world.now();
        if let Some(set_up) =
            self.world.record.borrow_mut().set_ups.get_mut(&call).filter(|s| s.release_read_at.is_none())
        {
            set_up.released_at = Some(now);
            self.write_message(connection, &Message::new(RELEASE, call, &[(CAUSE, &[16])]), None);
        }
    }

    /// A call that stood is over.
    fn hear_end(&self, connection: u64, call: CallId) {
        let now = self.world.now();
        if let Some(set_up) = self.world.record.borrow_mut().set_ups.get_mut(&call) {
            set_up.release_read_at.get_or_insert(now);
        }
        if let Some(c) = self.connections.borrow_mut().get_mut(&connection) {
            c.standing = c.standing.saturating_sub(1);
            c.used_at = now;
        }
        if self.world.chance(0.8) {
            self.write_message(connection, &Message::new(HEARD, call, &[]), None);
        }
    }

    async fn close_idle(self: Rc<Self>) {
        loop {
            pause(LOOK_MS).await;
            let now = self.world.now();
            let idle = |c: &Connection| c.open.is_empty() && c.standing == 0 && now - c.used_at >= IDLE_MS;
            let waits = self.any_standing();
            let ended: Vec<u64> = {
                let connections = self.connections.borrow();
                connections.iter().filter(|(_, c)| !waits && idle(c)).map(|(&id, _)| id).collect()
            };
            for connection in ended {
                let ended = self.connections.borrow_mut().remove(&connection);
                ended.into_iter().for_each(Connection::close);
            }
        }
    }

    // ---- bad clients ----

    async fn run_bad_clients(self: Rc<Self>) {
        while !self.world.closing.get() {
            pause(self.world.exponential(1000.0 / self.plan.bad_per_s)).await;
            if self.door.get() == Door::Open {
                spawn_local(self.clone().misbehave());
            }
        }
    }

    /// Bytes that are no message, half of one, one of a class that nobody knows, or the same again and again.
    async fn misbehave(self: Rc<Self>) {
        let world = self.world.clone();
        let Ok(mut stream) = TcpStream::connect(self.address).await else { return };
        let call = world.call();
        let strange =
            Message::new(SET_UP, call, &[(CLASS, b"no-such-class"), (WAIT, b"500"), (DESCRIPTION, b"x")])
                .bytes();
        let kind = world.random.borrow_mut().u32(..5);
        let bytes = match kind {
            0 => b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(),
            1 => strange[..strange.len() / 2].to_vec(),
            2 => vec![0xff; 300],
            3 => strange.repeat(20),
            _ => Message::new(77, call, &[]).bytes(),
        };
        if stream.write_all(&bytes).await.is_ok() && world.chance(0.6) {
            let mut rest = [0; 256];
            let ends = async { while stream.read(&mut rest).await.is_ok_and(|n| n > 0) {} };
            tokio::select! {
                () = ends => {}
                () = pause(BAD_CLIENT_MS) => {}
            }
        }
    }

    /// Connects and says nothing, or asks for a test, again and again.
    async fn join_crowd(self: Rc<Self>) {
        while !self.world.closing.get() {
            pause(self.world.between(0.0, 500.0)).await;
            if self.door.get() != Door::Open {
                continue;
            }
            let Ok(mut stream) = TcpStream::connect(self.address).await else { continue };
            if self.world.chance(0.5) {
                let _ = stream.write_all(&Message::new(TEST, 0, &[(CAUSE, &[0])]).bytes()).await;
            }
            let mut rest = [0; 256];
            let ends = async { while stream.read(&mut rest).await.is_ok_and(|n| n > 0) {} };
            tokio::select! {
                () = ends => {}
                () = pause(self.world.between(500.0, 6000.0)) => {}
            }
        }
    }
}
