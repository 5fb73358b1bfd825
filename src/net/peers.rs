//! The socket between border controllers: datagrams to and from those that the configuration names.
//!
//! [`Peers`] hears; a [`Sender`] sends, from any thread. Only where the settings allow messages is it opened at all.

use crate::codec::peers::{self as codec, CONTROL, DATAGRAM_MAX, Flaw, REPORT};
use crate::config::Peering;
use crate::engine::{Event, PeerFigures};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Datagrams a second of one kind: sent, and heard from one peer. The module tells of a call server five times a
/// second at most, and it may tell of ten.
const PER_S: f64 = 50.0;
/// Datagrams of the control plane a second for each peer: one of them asks and answers all the others each round.
const CONTROL_PER_S: f64 = 50.0;
/// Datagrams a second taken off the socket, whoever sent them; the system drops what it can't keep meanwhile.
const ALL_PER_S: f64 = 2000.0;
/// With that spent, the socket is left alone for so long.
const PAUSE: Duration = Duration::from_millis(10);

/// So many a second, and a second's worth at once.
struct Bucket {
    per_s: f64,
    left: f64,
    at: Instant,
}

impl Bucket {
    fn new(per_s: f64) -> Self {
        Bucket { per_s, left: per_s, at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.at).as_secs_f64() * self.per_s;
        (self.left, self.at) = ((self.left + gained).min(self.per_s), now);
        let any = self.left >= 1.0;
        self.left -= f64::from(u8::from(any));
        any
    }
}

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    unsent: AtomicU64,
    heard: AtomicU64,
    stranger: AtomicU64,
    paced: AtomicU64,
    unknown: AtomicU64,
    damaged: AtomicU64,
    crowded: AtomicU64,
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

struct Shared {
    socket: std::net::UdpSocket,
    peering: Peering,
    counts: Counts,
    reports: Mutex<Bucket>,
    control: Mutex<Bucket>,
}

/// Sends to the peers, from any thread; datagrams of a kind beyond [`PER_S`] a second are not sent.
#[derive(Clone)]
pub struct Sender(Arc<Shared>);

impl Sender {
    /// Sends to every peer, by the one address for all where there is one. False: it was not sent (it is empty or
    /// longer than 256 bytes, too many went of late, or the system did not take it).
    pub fn to_all(&self, datagram: &[u8]) -> bool {
        let s = &self.0;
        match s.peering.all {
            Some(all) => self.send(datagram, &[all]),
            None => {
                let others = s.peering.peers.iter().enumerate().filter(|&(k, _)| k != s.peering.own);
                let others: Vec<SocketAddr> = others.filter_map(|(_, &addr)| addr).collect();
                self.send(datagram, &others)
            }
        }
    }

    /// Sends to the peer of this place; false as in [`Sender::to_all`], or if there is no such peer.
    pub fn to(&self, peer: u16, datagram: &[u8]) -> bool {
        match self.0.peering.peers.get(usize::from(peer)) {
            Some(&Some(addr)) if usize::from(peer) != self.0.peering.own => self.send(datagram, &[addr]),
            _ => false,
        }
    }

    fn send(&self, datagram: &[u8], to: &[SocketAddr]) -> bool {
        let s = &self.0;
        let bucket = if datagram.first() == Some(&CONTROL) { &s.control } else { &s.reports };
        let fits = (1..=DATAGRAM_MAX).contains(&datagram.len());
        let paced = fits && bucket.lock().unwrap_or_else(PoisonError::into_inner).take();
        // A socket that takes nothing now loses the datagram: the next report is fresher.
        let sent = paced && to.iter().all(|addr| s.socket.send_to(datagram, addr).is_ok());
        count(if sent { &s.counts.sent } else { &s.counts.unsent });
        sent
    }

    /// What was sent, heard and dropped on the socket so far, added to the engine's figures.
    pub fn add_to(&self, figures: &mut PeerFigures) {
        let c = &self.0.counts;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (figures.sent, figures.unsent, figures.heard) = (read(&c.sent), read(&c.unsent), read(&c.heard));
        (figures.stranger, figures.paced) = (read(&c.stranger), read(&c.paced));
        (figures.unknown, figures.damaged, figures.crowded) =
            (read(&c.unknown), read(&c.damaged), read(&c.crowded));
    }
}

/// The socket's hearing end.
pub struct Peers {
    socket: UdpSocket,
    sender: Sender,
    /// Where the control plane's datagrams go: the peer's place and the datagram, kind byte included.
    control: Option<SyncSender<(u16, Vec<u8>)>>,
}

impl Peers {
    /// Binds the socket. A new version starts beside the one that runs, at the same address.
    pub fn bind(peering: &Peering, control: Option<SyncSender<(u16, Vec<u8>)>>) -> io::Result<Peers> {
        let domain = if peering.listen.is_ipv4() { Domain::IPV4 } else { Domain::IPV6 };
        let socket = Socket::new(domain, Type::DGRAM, Some(Protocol::UDP))?;
        socket.set_reuse_port(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&peering.listen.into())?;
        let socket = std::net::UdpSocket::from(socket);
        let shared = Shared {
            socket: socket.try_clone()?,
            peering: peering.clone(),
            counts: Counts::default(),
            reports: Mutex::new(Bucket::new(PER_S)),
            control: Mutex::new(Bucket::new(CONTROL_PER_S * peering.peers.len().max(1) as f64)),
        };
        Ok(Peers { socket: UdpSocket::from_std(socket)?, sender: Sender(Arc::new(shared)), control })
    }

    /// Where it listens.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    pub fn sender(&self) -> Sender {
        self.sender.clone()
    }

    /// Hears peers for as long as the program runs. It owns its end of the socket.
    pub async fn listen(self, events: mpsc::Sender<Event>) {
        let peering = &self.sender.0.peering;
        let each = || [Bucket::new(PER_S), Bucket::new(PER_S)];
        let mut paces: Vec<[Bucket; 2]> = peering.peers.iter().map(|_| each()).collect();
        let mut all = Bucket::new(ALL_PER_S);
        let mut buffer = [0; DATAGRAM_MAX + 1];
        while !events.is_closed() {
            match self.socket.recv_from(&mut buffer).await {
                Ok((n, from)) => self.hear(&buffer[..n], from, &mut paces, &events),
                // A peer that is not there shows as an error of a later call.
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                Err(e) => {
                    log::debug!("peers: {e}");
                    sleep(PAUSE).await;
                }
            }
            if !all.take() {
                sleep(PAUSE).await;
            }
        }
    }

    fn hear(
        &self,
        datagram: &[u8],
        from: SocketAddr,
        paces: &mut [[Bucket; 2]],
        events: &mpsc::Sender<Event>,
    ) {
        let s = &self.sender.0;
        let Some(peer) = s.peering.peers.iter().position(|&peer| peer == Some(from)) else {
            return count(&s.counts.stranger);
        };
        if peer == s.peering.own {
            return;
        }
        count(&s.counts.heard);
        let kind = datagram.first().copied();
        let pace = paces.get_mut(peer).and_then(|p| p.get_mut(usize::from(kind == Some(CONTROL))));
        if !pace.is_some_and(Bucket::take) {
            return count(&s.counts.paced);
        }
        if datagram.len() > DATAGRAM_MAX {
            return count(&s.counts.damaged);
        }
        let peer = peer as u16;
        let taken = match (kind, &self.control) {
            (Some(CONTROL), Some(control)) => control.try_send((peer, datagram.to_vec())).is_ok(),
            (Some(REPORT), _) => match codec::read(datagram) {
                Ok(told) => events.try_send(Event::Peer { from: peer, told }).is_ok(),
                Err(Flaw::Damaged) => return count(&s.counts.damaged),
                Err(Flaw::Unknown) => return count(&s.counts.unknown),
            },
            _ => return count(&s.counts.unknown),
        };
        if !taken {
            count(&s.counts.crowded);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::engine::PeerReport;
    use std::sync::mpsc::sync_channel;

    const PATIENCE: Duration = Duration::from_secs(10);

    /// A peering of three, of which this is the second; the others' sockets.
    fn three() -> (Peering, [std::net::UdpSocket; 2]) {
        let socket = || std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let others = [socket(), socket()];
        let [first, third] = [0, 1].map(|i: usize| Some(others[i].local_addr().unwrap()));
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        (Peering { listen, peers: vec![first, None, third], all: None, own: 1 }, others)
    }

    fn report(seq: u32) -> Vec<u8> {
        let told = PeerReport { seq, server: "s-a".into(), ..PeerReport::default() };
        codec::write(&told, &mut [0; DATAGRAM_MAX]).unwrap().to_vec()
    }

    #[tokio::test(flavor = "current_thread")]
    async fn peers_are_heard_by_their_place_and_all_else_is_counted() {
        let (peering, [first, third]) = three();
        let (raw, control) = sync_channel(4);
        let peers = Peers::bind(&peering, Some(raw)).unwrap();
        let (at, sender) = (peers.addr().unwrap(), peers.sender());
        let (events, mut heard) = mpsc::channel(16);
        let stranger = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let mut damaged = report(1);
        damaged[3] ^= 4;
        stranger.send_to(&report(1), at).unwrap();
        for bytes in [&damaged[..], &[9, 1, 1], &[CONTROL, 7], &[REPORT; 257], &report(2)] {
            third.send_to(bytes, at).unwrap();
        }
        let told = async {
            let event = tokio::time::timeout(PATIENCE, heard.recv()).await.unwrap();
            assert!(matches!(event, Some(Event::Peer { from: 2, told }) if told.seq == 2));
        };
        tokio::select! { () = peers.listen(events) => panic!("it hears on"), () = told => {} }
        assert_eq!(control.try_recv(), Ok((2, vec![CONTROL, 7])));
        let mut figures = PeerFigures::default();
        sender.add_to(&mut figures);
        let PeerFigures { heard, stranger, unknown, damaged, .. } = figures;
        assert_eq!((heard, stranger, unknown, damaged), (5, 1, 1, 2));
        drop(first);
    }

    #[tokio::test(flavor = "current_thread")]
    async fn what_is_sent_is_bounded_in_length_and_number() {
        let (peering, [first, third]) = three();
        let sender = Peers::bind(&peering, None).unwrap().sender();
        assert!(!sender.to_all(&[REPORT; 257]) && !sender.to_all(&[]) && !sender.to(1, &[REPORT]));
        assert!(sender.to_all(&[REPORT, 1]) && sender.to(2, &[REPORT, 2]));
        let mut buffer = [0; 300];
        for (socket, wanted) in [(&first, 1), (&third, 1), (&third, 2)] {
            socket.set_read_timeout(Some(PATIENCE)).unwrap();
            let n = socket.recv(&mut buffer).unwrap();
            assert_eq!(buffer[..n], [REPORT, wanted]);
        }
        let since = Instant::now();
        let sent = (0..1000).filter(|_| sender.to(2, &[REPORT])).count() as f64;
        assert!(sent <= PER_S * (1.0 + since.elapsed().as_secs_f64()), "{sent} at once");
        assert!(sender.to(2, &[CONTROL]), "the control plane has a pace of its own");
    }
}
