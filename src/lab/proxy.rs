//! A fault proxy between border controllers and a call server: it passes bytes both ways, or, as a test
//! switches it, resets every connection (the server's process is gone behind a live host), blackholes them
//! (accepted, nothing passes either way), or delays what passes by a seeded amount.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

/// What the proxy does to what passes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
#[repr(u8)]
pub enum Fault {
    /// Bytes pass both ways as they come.
    Pass = 0,
    /// Every connection, open or new, is cut with a reset.
    Reset = 1,
    /// Nothing passes; connections stay open.
    Blackhole = 2,
    /// Each read waits 0 to `delay_ms` before it is passed on.
    Delay = 3,
}

/// A proxy on a loopback port of its own in front of one upstream address; it stops when dropped.
pub struct Proxy {
    /// Where it listens.
    pub addr: SocketAddr,
    fault: Arc<AtomicU8>,
    delay_ms: Arc<AtomicU64>,
    accepted: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

struct Shared {
    fault: Arc<AtomicU8>,
    delay_ms: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    seed: u64,
}

impl Proxy {
    /// One that passes all to `upstream` until told otherwise; `seed` draws its delays.
    ///
    /// # Errors
    /// The loopback port could not be had.
    pub fn start(upstream: SocketAddr, seed: u64) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let proxy = Proxy {
            addr,
            fault: Arc::new(AtomicU8::new(Fault::Pass as u8)),
            delay_ms: Arc::new(AtomicU64::new(0)),
            accepted: Arc::new(AtomicU64::new(0)),
            stop: Arc::new(AtomicBool::new(false)),
        };
        let shared = Arc::new(Shared {
            fault: proxy.fault.clone(),
            delay_ms: proxy.delay_ms.clone(),
            stop: proxy.stop.clone(),
            seed,
        });
        let accepted = proxy.accepted.clone();
        std::thread::spawn(move || {
            let mut n = 0u64;
            while !shared.stop.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                accepted.fetch_add(1, Ordering::Relaxed);
                n += 1;
                if shared.fault.load(Ordering::Relaxed) == Fault::Reset as u8 {
                    reset(stream);
                    continue;
                }
                let Ok(up) = TcpStream::connect(upstream) else {
                    reset(stream);
                    continue;
                };
                for (from, to, lane) in [(&stream, &up, 2 * n), (&up, &stream, 2 * n + 1)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let shared = shared.clone();
                    std::thread::spawn(move || pass(from, to, &shared, lane));
                }
            }
        });
        Ok(proxy)
    }

    /// From now on it does this to open and new connections.
    pub fn set(&self, fault: Fault) {
        self.fault.store(fault as u8, Ordering::Relaxed);
    }

    /// From now on each read waits 0 to `most_ms`, drawn from the seed.
    pub fn set_delay(&self, most_ms: u64) {
        self.delay_ms.store(most_ms, Ordering::Relaxed);
        self.set(Fault::Delay);
    }

    /// Connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Closes with a reset, not in order.
fn reset(stream: TcpStream) {
    let socket = socket2::Socket::from(stream);
    let _ = socket.set_linger(Some(Duration::ZERO));
}

fn pass(mut from: TcpStream, mut to: TcpStream, shared: &Shared, lane: u64) {
    if from.set_read_timeout(Some(Duration::from_millis(20))).is_err() {
        return reset(to);
    }
    let mut rng = fastrand::Rng::with_seed(shared.seed ^ lane);
    let mut buffer = [0u8; 8192];
    loop {
        if shared.stop.load(Ordering::Relaxed) {
            return;
        }
        let fault = shared.fault.load(Ordering::Relaxed);
        if fault == Fault::Reset as u8 {
            reset(from);
            return reset(to);
        }
        let n = match from.read(&mut buffer) {
            Ok(0) => {
                let _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
            Ok(n) => n,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => return reset(to),
        };
        match shared.fault.load(Ordering::Relaxed) {
            f if f == Fault::Blackhole as u8 => continue,
            f if f == Fault::Delay as u8 => {
                let most = shared.delay_ms.load(Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(rng.u64(0..=most)));
            }
            _ => {}
        }
        if to.write_all(&buffer[..n]).is_err() {
            return reset(from);
        }
    }
}
