//! A stand-in name service for the lab: it answers every query with the call servers it holds, as SRV records
//! with their A and TXT records beside (DEPLOY: `_back._tcp.pool.lan.`, `kind`, `cell`, `started`), and the
//! list's serial in the SOA.

use hickory_proto::op::{Message, MessageType, OpCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};

/// One call server in the list.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Its id, as the known list names it.
    pub id: String,
    /// Where it is dialled (a proxy's address, where a fault stands on the way).
    pub addr: SocketAddr,
    /// Its cell.
    pub place: u32,
    /// When its process last started, milliseconds on the platform's clock.
    pub started_ms: u64,
    /// Its zone.
    pub zone: String,
    /// It drains.
    pub draining: bool,
}

struct State {
    serial: u32,
    list: Vec<Listed>,
}

/// The name service on a loopback UDP port of its own; it serves for as long as the process lives.
pub struct Names {
    /// Where it answers.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Names {
    /// One that tells `list` under serial 1.
    ///
    /// # Errors
    /// The loopback port could not be had.
    pub fn start(list: Vec<Listed>) -> std::io::Result<Names> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let addr = socket.local_addr()?;
        let state = Arc::new(Mutex::new(State { serial: 1, list }));
        let shared = state.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 1500];
            while let Ok((n, from)) = socket.recv_from(&mut buffer) {
                let Ok(query) = Message::from_vec(&buffer[..n]) else { continue };
                let answer = answer(&shared.lock().unwrap_or_else(PoisonError::into_inner), &query);
                if let Some(answer) = answer {
                    let _ = socket.send_to(&answer, from);
                }
            }
        });
        Ok(Names { addr, state })
    }

    /// From the next query on, the list's entry for call server `id` is so changed, under a new serial.
    pub fn change(&self, id: &str, change: impl Fn(&mut Listed)) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.list.iter_mut().filter(|s| s.id == id).for_each(change);
        state.serial += 1;
    }

    /// The list as it is told now.
    #[must_use]
    pub fn list(&self) -> Vec<Listed> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).list.clone()
    }
}

fn answer(state: &State, query: &Message) -> Option<Vec<u8>> {
    let name = |text: &str| Name::from_ascii(text).ok();
    let record = |owner: &str, data: RData| Some(Record::from_rdata(name(owner)?, 0, data));
    let mut message = Message::new(query.metadata.id, MessageType::Response, OpCode::Query);
    message.add_queries(query.queries.iter().cloned());
    for s in &state.list {
        let SocketAddr::V4(v4) = s.addr else { continue };
        let host = format!("{}.{}.hosts.", s.id, s.zone);
        let srv = SRV::new(u16::from(s.draining), 40, s.addr.port(), name(&host)?);
        message.add_answer(record("_back._tcp.pool.lan.", RData::SRV(srv))?);
        message.add_additional(record(&host, RData::A(A(*v4.ip())))?);
        let text = vec!["kind=std".into(), format!("cell={}", s.place), format!("started={}", s.started_ms)];
        message.add_additional(record(&host, RData::TXT(TXT::new(text)))?);
    }
    let soa = SOA::new(name("ns.pool.lan.")?, name("root.pool.lan.")?, state.serial, 1, 1, 1, 1);
    message.add_authority(record("pool.lan.", RData::SOA(soa))?);
    message.to_vec().ok()
}
