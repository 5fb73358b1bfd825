//! The name service: its list of call servers, asked for by DNS over UDP.

use crate::engine::{Event, Listing};
use crate::interface::Listed;
use crate::rate_limited_log::{BadInput, RateLimitedLog};
use hickory_proto::op::{Message, MessageType, Query, ResponseCode};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval, sleep};

/// Where the list is kept.
const POOL: &str = "_back._tcp.pool.lan.";
/// The list is asked for so often. News counts as told after 1.5 s, and a query or its answer may be lost, so
/// several must fit in.
const POLL: Duration = Duration::from_millis(200);
/// Queries that an answer may still come for: of the last 12.8 s, as a crowded name service may take seconds.
const ASKED_MAX: usize = 64;
/// Above the 8,000 bytes that an answer may hold.
const ANSWER_MAX: usize = 16 * 1024;

/// Asks for the list for as long as the program runs, at the address that `server` holds at the time.
pub async fn poll(
    mut server: watch::Receiver<SocketAddr>,
    seed: u64,
    events: mpsc::Sender<Event>,
    bad_input: RateLimitedLog,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    loop {
        let addr = *server.borrow_and_update();
        match ask(addr, &mut server, &mut rng, &events, &bad_input).await {
            Ok(true) => log::info!("name service: now at {}", *server.borrow()),
            Ok(false) => return,
            // No descriptor may be free for a moment: the list must be asked for all the same, later.
            Err(e) => {
                log::warn!("name service: {e}");
                sleep(POLL).await;
            }
        }
    }
}

/// Asks at one address until another is told of (true) or the program ends. It owns the socket.
async fn ask(
    addr: SocketAddr,
    server: &mut watch::Receiver<SocketAddr>,
    rng: &mut fastrand::Rng,
    events: &mpsc::Sender<Event>,
    bad_input: &RateLimitedLog,
) -> io::Result<bool> {
    let socket = UdpSocket::bind(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0)).await?;
    // Only what comes from the name service's own address is received.
    socket.connect(addr).await?;
    let mut asked: VecDeque<u16> = VecDeque::new();
    let mut ticks = interval(POLL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; ANSWER_MAX];
    loop {
        tokio::select! {
            changed = server.changed() => {
                if changed.is_err() {
                    return Ok(false);
                }
                if *server.borrow_and_update() != addr {
                    return Ok(true);
                }
                // It is asked at once, and what it was asked before may still be answered.
                ticks.reset_immediately();
            }
            _ = ticks.tick() => {
                let id = rng.u16(..);
                asked.push_back(id);
                if asked.len() > ASKED_MAX {
                    asked.pop_front();
                }
                // A refused datagram shows as an error of a later call: the next query may pass.
                if let Err(e) = socket.send(&query(id)?).await {
                    log::debug!("name service: {e}");
                }
            }
            got = socket.recv(&mut buffer) => {
                let length = match got {
                    Ok(length) => length,
                    Err(e) => {
                        log::debug!("name service: {e}");
                        continue;
                    }
                };
                match read(&buffer[..length], &asked) {
                    Ok((serial, servers)) => {
                        if events.send(Event::List { serial, servers }).await.is_err() {
                            return Ok(false);
                        }
                    }
                    Err(e) => bad_input.write(BadInput::ListUnreadable, format_args!("{e}")),
                }
            }
        }
    }
}

fn pool() -> io::Result<Name> {
    Name::from_ascii(POOL).map_err(io::Error::other)
}

fn query(id: u16) -> io::Result<Vec<u8>> {
    let mut message = Message::query();
    message.metadata.id = id;
    message.metadata.recursion_desired = false;
    message.add_query(Query::query(pool()?, RecordType::SRV));
    message.to_vec().map_err(io::Error::other)
}

/// The serial and the list of an answer to one of our queries; anything else is an error.
fn read(bytes: &[u8], asked: &VecDeque<u16>) -> Result<(u32, Vec<Listing>), String> {
    let message = Message::from_vec(bytes).map_err(|e| e.to_string())?;
    let pool = pool().map_err(|e| e.to_string())?;
    let head = &message.metadata;
    let whole = head.message_type == MessageType::Response
        && head.response_code == ResponseCode::NoError
        && !head.truncation;
    let question = |q: &Query| q.name().eq_ignore_root(&pool) && q.query_type() == RecordType::SRV;
    if !whole || !asked.contains(&head.id) || !message.queries.iter().all(question) {
        return Err("no whole answer to a query of ours".into());
    }
    let serial = message.authorities.iter().find_map(|r| match &r.data {
        RData::SOA(soa) => Some(soa.serial),
        _ => None,
    });
    let serial = serial.ok_or("an answer without a serial")?;
    let (mut addresses, mut texts) = (HashMap::new(), HashMap::new());
    for record in message.additionals.iter().chain(&message.answers) {
        match &record.data {
            RData::A(a) => {
                addresses.insert(record.name.to_lowercase(), a.0);
            }
            RData::TXT(txt) => {
                texts.insert(record.name.to_lowercase(), &txt.txt_data);
            }
            _ => {}
        }
    }
    let wanted = |r: &&Record| r.name.eq_ignore_root(&pool) && r.dns_class == DNSClass::IN;
    let mut servers: Vec<Listing> = Vec::new();
    for record in message.answers.iter().filter(wanted) {
        let RData::SRV(srv) = &record.data else { continue };
        let target = srv.target.to_lowercase();
        let label = target.iter().next().ok_or("a target without a name")?;
        let address = addresses.get(&target).ok_or_else(|| format!("no address of {target}"))?;
        let text = texts.get(&target).ok_or_else(|| format!("no text of {target}"))?;
        let field = |name: &str| {
            text.iter().find_map(|t| std::str::from_utf8(t).ok()?.strip_prefix(name)?.strip_prefix('='))
        };
        let place =
            field("cell").and_then(|v| v.parse().ok()).ok_or_else(|| format!("no cell of {target}"))?;
        let started_at: Option<f64> = field("started").and_then(|v| v.parse().ok());
        let listing = Listing {
            name: String::from_utf8_lossy(label).into_owned(),
            zone: target.iter().nth(1).map(|zone| String::from_utf8_lossy(zone).into_owned()),
            addr: SocketAddr::from((*address, srv.port)),
            place,
            state: if srv.priority == 0 { Listed::Ready } else { Listed::Draining },
            started_at: started_at.filter(|&ms| ms > 0.0),
        };
        match servers.iter().find(|known| known.name == listing.name) {
            None => servers.push(listing),
            Some(known) if *known == listing => {}
            Some(_) => return Err(format!("{target} is listed twice, each time otherwise")),
        }
    }
    Ok((serial, servers))
}
