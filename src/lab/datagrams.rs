//! A fault proxy for the datagrams between border controllers: a link for every ordered pair of instances, which
//! passes, loses, doubles, delays, reorders or damages what goes over it, each drawn from a seed, or is cut.
//!
//! For each pair there are two sockets: `A(i, j)` is what instance i has as its peer j. What i sends to it leaves
//! from `A(j, i)` to j's own address, so that j sees it come from what it has as its peer i. Each instance has one
//! more, from which a datagram goes over the links to all others. An instance's own address is told once it is up.

use crate::control::wire::KIND;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::sleep;

/// What a link does to a datagram; each part is a probability, 0 to 1. By default it passes all as it comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Nothing passes.
    pub cut: bool,
    /// Lost.
    pub lose: f64,
    /// Passed twice.
    pub double: f64,
    /// One byte is flipped.
    pub damage: f64,
    /// Held back for a time that lets others by, 50 ms.
    pub reorder: f64,
    /// Each takes so much longer, drawn between the two, ms.
    pub delay_from_ms: u64,
    pub delay_to_ms: u64,
    /// Datagrams of the control plane say that they are of this version: the receiver speaks another than the sender.
    pub version: Option<u8>,
}

/// What went into a link, and what came out of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Passed {
    pub taken: u64,
    pub given: u64,
    /// The longest that went in, bytes.
    pub longest: usize,
}

/// One that is held back lets others by for so long.
const HELD: Duration = Duration::from_millis(50);

struct Link {
    faults: Faults,
    rng: fastrand::Rng,
    passed: Passed,
}

struct Shared {
    n: usize,
    links: Vec<Mutex<Link>>,
    /// The instances' own addresses, once told.
    at: Mutex<Vec<Option<SocketAddr>>>,
}

/// The proxy between `n` instances; it stops when dropped.
pub struct Datagrams {
    shared: Arc<Shared>,
    peers: Vec<SocketAddr>,
    all: Vec<SocketAddr>,
    _stop: oneshot::Sender<()>,
}

fn held<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Datagrams {
    /// One that passes all until told otherwise.
    ///
    /// # Errors
    /// The loopback ports could not be had, or the thread could not start.
    pub fn start(n: usize, seed: u64) -> std::io::Result<Datagrams> {
        let bind = || -> std::io::Result<std::net::UdpSocket> {
            let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            Ok(socket)
        };
        let pairs = (0..n * n).map(|_| bind()).collect::<Result<Vec<_>, _>>()?;
        let alls = (0..n).map(|_| bind()).collect::<Result<Vec<_>, _>>()?;
        let addrs = |sockets: &[std::net::UdpSocket]| {
            sockets.iter().map(|s| s.local_addr()).collect::<std::io::Result<Vec<_>>>()
        };
        let (peers, all) = (addrs(&pairs)?, addrs(&alls)?);
        let link = |lane: usize| Link {
            faults: Faults::default(),
            rng: fastrand::Rng::with_seed(seed ^ (lane as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            passed: Passed::default(),
        };
        let links = (0..n * n).map(|lane| Mutex::new(link(lane))).collect();
        let shared = Arc::new(Shared { n, links, at: Mutex::new(vec![None; n]) });
        let (stop, stopped) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let serving = shared.clone();
        std::thread::Builder::new().spawn(move || {
            LocalSet::new().block_on(&runtime, async {
                let Ok(_tasks) = serve(&serving, pairs, alls) else { return };
                let _ = stopped.await;
            });
        })?;
        Ok(Datagrams { shared, peers, all, _stop: stop })
    }

    /// The addresses that instance `i` has for its peers, by their places; its own leads nowhere.
    #[must_use]
    pub fn peers_of(&self, i: usize) -> &[SocketAddr] {
        &self.peers[i * self.shared.n..(i + 1) * self.shared.n]
    }

    /// The address at which instance `i` reaches all others.
    #[must_use]
    pub fn all_of(&self, i: usize) -> SocketAddr {
        self.all[i]
    }

    /// Instance `i` listens there, as of now; one that is started again does at another address.
    pub fn listens(&self, i: usize, at: SocketAddr) {
        held(&self.shared.at)[i] = Some(at);
    }

    /// From now on the link from instance `from` to instance `to` does this.
    pub fn set(&self, from: usize, to: usize, faults: Faults) {
        held(&self.shared.links[from * self.shared.n + to]).faults = faults;
    }

    /// The same for all that instance `i` sends and for all that is sent to it.
    pub fn set_around(&self, i: usize, faults: Faults) {
        for other in (0..self.shared.n).filter(|&other| other != i) {
            self.set(i, other, faults);
            self.set(other, i, faults);
        }
    }

    /// What passed over the link from instance `from` to instance `to` so far.
    #[must_use]
    pub fn passed(&self, from: usize, to: usize) -> Passed {
        held(&self.shared.links[from * self.shared.n + to]).passed
    }
}

/// Starts a task for each socket; they end with the set.
fn serve(
    shared: &Arc<Shared>,
    pairs: Vec<std::net::UdpSocket>,
    alls: Vec<std::net::UdpSocket>,
) -> std::io::Result<JoinSet<()>> {
    let mut tasks = JoinSet::new();
    let own = |sockets: Vec<std::net::UdpSocket>| {
        sockets
            .into_iter()
            .map(|s| Ok(Arc::new(UdpSocket::from_std(s)?)))
            .collect::<std::io::Result<Vec<_>>>()
    };
    let (pairs, n) = (own(pairs)?, shared.n);
    for (lane, socket) in pairs.iter().enumerate().filter(|(lane, _)| lane / n != lane % n) {
        let (from, to) = (lane / n, lane % n);
        let ways = vec![(to, pairs[to * n + from].clone())];
        tasks.spawn_local(forward(shared.clone(), from, socket.clone(), ways));
    }
    for (from, socket) in own(alls)?.into_iter().enumerate() {
        let others = (0..n).filter(|&to| to != from);
        let ways = others.map(|to| (to, pairs[to * n + from].clone())).collect();
        tasks.spawn_local(forward(shared.clone(), from, socket, ways));
    }
    Ok(tasks)
}

/// Passes on what instance `from` sends to this socket: to each of `ways`, from the socket beside it.
async fn forward(
    shared: Arc<Shared>,
    from: usize,
    socket: Arc<UdpSocket>,
    ways: Vec<(usize, Arc<UdpSocket>)>,
) {
    let mut buffer = [0; 2048];
    loop {
        let Ok((n, sender)) = socket.recv_from(&mut buffer).await else { continue };
        if held(&shared.at)[from] != Some(sender) {
            continue;
        }
        for (to, out) in &ways {
            for (after, datagram) in shared.drawn(from, *to, &buffer[..n]) {
                let (shared, out, to) = (shared.clone(), out.clone(), *to);
                let send = async move {
                    let at = held(&shared.at)[to];
                    if let Some(at) = at
                        && out.send_to(&datagram, at).await.is_ok()
                    {
                        held(&shared.links[from * shared.n + to]).passed.given += 1;
                    }
                };
                if after.is_zero() {
                    send.await;
                } else {
                    tokio::task::spawn_local(async move {
                        sleep(after).await;
                        send.await;
                    });
                }
            }
        }
    }
}

impl Shared {
    /// What comes of a datagram on a link: its copies, each with the time after which it goes on.
    fn drawn(&self, from: usize, to: usize, datagram: &[u8]) -> Vec<(Duration, Vec<u8>)> {
        let mut link = held(&self.links[from * self.n + to]);
        let (faults, rng) = (link.faults, &mut link.rng);
        let lost = faults.cut || rng.f64() < faults.lose;
        let copies = if rng.f64() < faults.double { 2 } else { 1 };
        let copy = |rng: &mut fastrand::Rng| {
            let mut bytes = datagram.to_vec();
            if let ([KIND, of, ..], Some(version)) = (&mut bytes[..], faults.version) {
                *of = version;
            }
            if rng.f64() < faults.damage && !bytes.is_empty() {
                let at = rng.usize(..bytes.len());
                bytes[at] ^= rng.u8(1..);
            }
            let span = faults.delay_from_ms..=faults.delay_to_ms.max(faults.delay_from_ms);
            let after = Duration::from_millis(rng.u64(span));
            let after = if rng.f64() < faults.reorder { after + HELD } else { after };
            (after, bytes)
        };
        let copies = if lost { Vec::new() } else { (0..copies).map(|_| copy(rng)).collect() };
        link.passed.taken += 1;
        link.passed.longest = link.passed.longest.max(datagram.len());
        copies
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::UdpSocket as Plain;

    /// Three ends that speak by hand.
    fn three(proxy: &Datagrams) -> Vec<Plain> {
        let end = |i| {
            let socket = Plain::bind("127.0.0.1:0").unwrap();
            socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
            proxy.listens(i, socket.local_addr().unwrap());
            socket
        };
        (0..3).map(end).collect()
    }

    fn heard(socket: &Plain) -> (Vec<u8>, SocketAddr) {
        let mut buffer = [0; 300];
        let (n, from) = socket.recv_from(&mut buffer).unwrap();
        (buffer[..n].to_vec(), from)
    }

    #[test]
    fn what_one_sends_comes_from_its_address_at_the_other() {
        let proxy = Datagrams::start(3, 1).unwrap();
        let ends = three(&proxy);
        ends[0].send_to(b"one", proxy.peers_of(0)[2]).unwrap();
        assert_eq!(heard(&ends[2]), (b"one".to_vec(), proxy.peers_of(2)[0]));
        ends[1].send_to(b"all", proxy.all_of(1)).unwrap();
        assert_eq!(heard(&ends[0]), (b"all".to_vec(), proxy.peers_of(0)[1]));
        assert_eq!(heard(&ends[2]), (b"all".to_vec(), proxy.peers_of(2)[1]));
    }

    #[test]
    fn faults_strike_one_link_and_one_direction() {
        let proxy = Datagrams::start(3, 1).unwrap();
        let ends = three(&proxy);
        proxy.set(0, 1, Faults { cut: true, ..Faults::default() });
        proxy.set(0, 2, Faults { double: 1.0, damage: 1.0, ..Faults::default() });
        ends[0].send_to(b"all", proxy.all_of(0)).unwrap();
        for _ in 0..2 {
            let (bytes, _) = heard(&ends[2]);
            assert_eq!(bytes.iter().zip(b"all").filter(|(a, b)| a != b).count(), 1, "{bytes:?}");
        }
        proxy.set(1, 2, Faults { version: Some(7), ..Faults::default() });
        for (sent, come) in [([2, 1, 9], [2, 7, 9]), ([1, 1, 9], [1, 1, 9])] {
            ends[1].send_to(&sent, proxy.peers_of(1)[2]).unwrap();
            assert_eq!(heard(&ends[2]).0, come, "a load report's is left alone");
        }
        ends[1].send_to(b"back", proxy.peers_of(1)[0]).unwrap();
        assert_eq!(heard(&ends[0]).0, b"back");
        assert_eq!(proxy.passed(0, 1), Passed { taken: 1, given: 0, longest: 3 });
        proxy.set(0, 1, Faults { delay_from_ms: 20, delay_to_ms: 40, ..Faults::default() });
        ends[0].send_to(b"late", proxy.peers_of(0)[1]).unwrap();
        assert_eq!(heard(&ends[1]).0, b"late");
    }
}
