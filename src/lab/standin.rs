//! A stand-in call server that answers by itself, as the platform's JSON-lines protocol describes (PROTOCOL:
//! `gauge`, `new`, `up`, `down`, `ack`), and counts what reaches it: connections and set-ups.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

/// How it answers set-ups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// The call stands, and ends at once in the normal way.
    Answer = 0,
    /// The processor is full: every set-up is turned away (cause 34), with a report that says so.
    Full = 1,
    /// Every set-up is cut (cause 41) while the reports say all is well: a server that fails calls, not one
    /// that is short of room, so percent blocking does not hold it back.
    Reset = 2,
    /// Set-ups are taken and never answered, while the reports say all is well: a server too slow for its
    /// callers.
    Mute = 3,
}

/// What reached a stand-in since it started.
#[derive(Default)]
pub struct Counts {
    /// Connections accepted.
    pub conns: AtomicU64,
    /// Set-ups (`new`) read.
    pub set_ups: AtomicU64,
}

/// Set-ups a second that a stand-in takes before its processor is full; none: no bound.
struct Capacity {
    per_s: f64,
    tokens: f64,
    at: std::time::Instant,
}

/// A stand-in on a loopback port of its own; it stops serving when dropped.
pub struct StandIn {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What reached it.
    pub counts: Arc<Counts>,
    mode: Arc<AtomicU8>,
    stop: Arc<AtomicBool>,
}

impl StandIn {
    /// One that serves in this mode, with no bound on its room.
    ///
    /// # Errors
    /// The loopback port could not be had.
    pub fn start(mode: Mode) -> std::io::Result<StandIn> {
        Self::start_with(mode, None)
    }

    /// One that answers while it has room, `per_s` set-ups a second over a burst of a tenth of a second, and turns
    /// the rest away as full.
    ///
    /// # Errors
    /// The loopback port could not be had.
    pub fn with_capacity(per_s: f64) -> std::io::Result<StandIn> {
        Self::start_with(Mode::Answer, Some(per_s))
    }

    /// One in this mode, and with room for `per_s` set-ups a second if given.
    ///
    /// # Errors
    /// The loopback port could not be had.
    pub fn start_with(mode: Mode, per_s: Option<f64>) -> std::io::Result<StandIn> {
        let capacity = Arc::new(std::sync::Mutex::new(per_s.map(|per_s| Capacity {
            per_s,
            tokens: per_s / 10.0,
            at: std::time::Instant::now(),
        })));
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let (counts, mode, stop) = (
            Arc::new(Counts::default()),
            Arc::new(AtomicU8::new(mode as u8)),
            Arc::new(AtomicBool::new(false)),
        );
        let (c, m, s) = (counts.clone(), mode.clone(), stop.clone());
        std::thread::spawn(move || {
            while !s.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        c.conns.fetch_add(1, Ordering::Relaxed);
                        let (c, m, s, room) = (c.clone(), m.clone(), s.clone(), capacity.clone());
                        std::thread::spawn(move || serve(stream, &c, &m, &s, &room));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(StandIn { addr, counts, mode, stop })
    }

    /// From now on it serves in this mode (a set-up open is answered in the new one).
    pub fn set_mode(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }

    /// Set-ups read so far.
    pub fn set_ups(&self) -> u64 {
        self.counts.set_ups.load(Ordering::Relaxed)
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn line(stream: &mut TcpStream, value: Value) -> std::io::Result<()> {
    stream.write_all(format!("{value}\n").as_bytes())
}

/// Whether there is room for one more set-up now.
fn room(capacity: &std::sync::Mutex<Option<Capacity>>) -> bool {
    let mut capacity = capacity.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let Some(c) = capacity.as_mut() else { return true };
    let now = std::time::Instant::now();
    c.tokens = (c.tokens + now.duration_since(c.at).as_secs_f64() * c.per_s).min(c.per_s / 10.0);
    c.at = now;
    let has = c.tokens >= 1.0;
    if has {
        c.tokens -= 1.0;
    }
    has
}

fn serve(
    stream: TcpStream,
    counts: &Counts,
    mode: &AtomicU8,
    stop: &AtomicBool,
    capacity: &std::sync::Mutex<Option<Capacity>>,
) {
    let Ok(mut writer) = stream.try_clone() else { return };
    if stream.set_read_timeout(Some(Duration::from_millis(50))).is_err() {
        return;
    }
    let zero = "0000000000000000";
    if line(&mut writer, json!({"t": "gauge", "ref": zero, "f": {"load": "x0:90;x1:100;latency_ms:-1"}}))
        .is_err()
    {
        return;
    }
    let mut lines = BufReader::new(stream);
    let mut text = String::new();
    while !stop.load(Ordering::Relaxed) {
        match lines.read_line(&mut text) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                continue;
            }
            Err(_) => return,
        }
        let Ok(heard) = serde_json::from_str::<Value>(&text) else { return };
        text.clear();
        let call = heard["ref"].clone();
        let said = match heard["t"].as_str() {
            Some("new") => {
                counts.set_ups.fetch_add(1, Ordering::Relaxed);
                let mut mode = mode.load(Ordering::Relaxed);
                if mode == Mode::Answer as u8 && !room(capacity) {
                    mode = Mode::Full as u8;
                }
                if mode == Mode::Mute as u8 {
                    Ok(())
                } else if mode == Mode::Reset as u8 {
                    let load = "x0:80;x1:100;latency_ms:5;can_take:400";
                    line(&mut writer, json!({"t": "down", "ref": call, "f": {"load": load}, "c": 41}))
                } else if mode == Mode::Full as u8 {
                    let load = "x0:0;x1:100;latency_ms:3000;can_take:1";
                    line(
                        &mut writer,
                        json!({"t": "down", "ref": call, "f": {"note": "ovl", "load": load}, "c": 34}),
                    )
                } else {
                    let load = "x0:80;x1:100;latency_ms:5;can_take:400";
                    line(&mut writer, json!({"t": "up", "ref": call, "f": {}, "d": "v=0"})).and_then(|()| {
                        line(&mut writer, json!({"t": "down", "ref": call, "f": {"load": load}, "c": 16}))
                    })
                }
            }
            Some("down") => line(&mut writer, json!({"t": "ack", "ref": call, "f": {}})),
            _ => Ok(()),
        };
        if said.is_err() {
            return;
        }
    }
}
