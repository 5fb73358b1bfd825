//! A stand-in name service of one node: it answers with the list as it stands, unless it has a fault.

use crate::record::{ListTold, Outage};
use crate::world::{Shared, pause};
use hickory_proto::op::{Message, MessageType, OpCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::task::{JoinHandle, spawn_local};

/// What the name service does with a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Well,
    /// Queries are dropped.
    Silent,
    /// Nobody listens.
    Down,
    /// Answers can't be read.
    Spoilt,
    /// Every second query is dropped.
    Lossy,
}

/// Spoilt answers are cut to this length.
const SPOILT_LENGTH: usize = 40;
/// An address that is taken is tried again after this, ms.
const BIND_AGAIN_MS: f64 = 2.0;

pub struct NameService {
    world: Shared,
    node: usize,
    address: Cell<SocketAddr>,
    health: Cell<Health>,
    /// Answers go out so late, ms.
    delay_ms: Cell<f64>,
    /// Events of the list that had happened when the node's process started: its serials count from there.
    base: Cell<usize>,
    serving: RefCell<Option<JoinHandle<()>>>,
    outage: Cell<Option<usize>>,
}

impl NameService {
    pub fn start(world: &Shared, node: usize) -> Rc<NameService> {
        let address = Self::reserve(world);
        let names = Rc::new(NameService {
            world: world.clone(),
            node,
            address: Cell::new(address),
            health: Cell::new(Health::Well),
            delay_ms: Cell::new(0.0),
            base: Cell::new(0),
            serving: RefCell::default(),
            outage: Cell::new(None),
        });
        names.listen();
        names
    }

    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// A process of the node starts, and knows all that has happened.
    pub fn node_starts(&self) {
        self.base.set(self.world.record.borrow().list.len());
    }

    /// Moves to another address; nobody answers at the old one any more.
    pub fn move_away(self: &Rc<Self>) {
        self.address.set(Self::reserve(&self.world));
        if self.health.get() != Health::Down {
            self.listen();
        }
    }

    pub fn set_delay(&self, delay_ms: f64) {
        self.delay_ms.set(delay_ms);
    }

    pub fn set_health(self: &Rc<Self>, health: Health) {
        let was = self.health.replace(health);
        if health == Health::Down {
            self.serving.borrow_mut().take().inspect(JoinHandle::abort);
        } else if was == Health::Down {
            self.listen();
        }
        self.note_outage(!matches!(health, Health::Well | Health::Lossy));
    }

    fn note_outage(&self, out: bool) {
        let now = self.world.now();
        let mut record = self.world.record.borrow_mut();
        match (out, self.outage.get()) {
            (true, None) => {
                self.outage.set(Some(record.outages.len()));
                record.outages.push(Outage { node: self.node, from: now, to: f64::INFINITY });
            }
            (false, Some(outage)) => {
                record.outages[outage].to = now;
                self.outage.set(None);
            }
            _ => {}
        }
    }

    /// Another address, at which nobody listens yet.
    fn reserve(world: &Shared) -> SocketAddr {
        std::net::UdpSocket::bind(world.address()).unwrap().local_addr().unwrap()
    }

    fn listen(self: &Rc<Self>) {
        let task = spawn_local(self.clone().bind_and_serve());
        if let Some(old) = self.serving.borrow_mut().replace(task) {
            old.abort();
        }
    }

    /// Answers that are still under way may hold the address for a moment.
    async fn bind_and_serve(self: Rc<Self>) {
        let socket = loop {
            match UdpSocket::bind(self.address.get()).await {
                Ok(socket) => break socket,
                Err(_) => pause(BIND_AGAIN_MS).await,
            }
        };
        self.serve(Rc::new(socket)).await;
    }

    async fn serve(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut buffer = [0; 1500];
        let mut odd = false;
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
            odd = !odd;
            let drops = self.health.get() == Health::Silent || (self.health.get() == Health::Lossy && odd);
            let query = Message::from_vec(&buffer[..length]);
            let Some(query) = query.ok().filter(|_| !drops) else { continue };
            let (names, socket) = (self.clone(), socket.clone());
            spawn_local(async move { names.answer(&query, &socket, from).await });
        }
    }

    async fn answer(&self, query: &Message, socket: &UdpSocket, from: SocketAddr) {
        pause(self.delay_ms.get()).await;
        let events = self.world.record.borrow().list.len();
        let Some(mut answer) = self.list(query, events) else { return };
        if self.health.get() == Health::Spoilt {
            answer.truncate(SPOILT_LENGTH);
        } else {
            let told = ListTold { node: self.node, at: self.world.now(), events };
            self.world.record.borrow_mut().told.push(told);
        }
        let _ = socket.send_to(&answer, from).await;
    }

    /// The whole list, with the number of the last event; none to a query that comes from before the node's start.
    fn list(&self, query: &Message, events: usize) -> Option<Vec<u8>> {
        let serial = 1 + u32::try_from(events.checked_sub(self.base.get())?).ok()?;
        let name = |text: &str| Name::from_ascii(text).unwrap();
        let record = |owner: &str, data: RData| Record::from_rdata(name(owner), 0, data);
        let mut message = Message::new(query.metadata.id, MessageType::Response, OpCode::Query);
        message.add_queries(query.queries.iter().cloned());
        for server in self.world.list.borrow().iter() {
            let host = format!("{}.aarhus.hosts.", server.id);
            let SocketAddr::V4(address) = server.addresses[self.node] else { return None };
            let srv = SRV::new(u16::from(server.draining), 40, address.port(), name(&host));
            message.add_answer(record("_back._tcp.pool.lan.", RData::SRV(srv)));
            message.add_additional(record(&host, RData::A(A(*address.ip()))));
            let text = vec![
                "kind=std".into(),
                format!("cell={}", server.place),
                format!("started={}", server.started_ms),
            ];
            message.add_additional(record(&host, RData::TXT(TXT::new(text))));
        }
        let soa = SOA::new(name("ns.pool.lan."), name("root.pool.lan."), serial, 1, 1, 1, 1);
        message.add_authority(record("pool.lan.", RData::SOA(soa)));
        message.to_vec().ok()
    }
}
