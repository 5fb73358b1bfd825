//! A stand-in call server that answers by itself, as the platform's JSON-lines protocol describes (PROTOCOL:
//! `gauge`, `new`, `up`, `down`, `ack`, `hb`, `hb_ok`), and counts what reaches it: connections, set-ups, tests, and the longest wait that
//! it reported.

use super::room::{Met, Room};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// It looks at its connections and its stop so often.
const TICK: Duration = Duration::from_millis(50);

/// How it answers set-ups.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
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
    /// Every second set-up on a connection fails with an error (cause 38) while the reports say all is well: too few
    /// in a row to be taken for dead, so callers' calls go on meeting it.
    Flaky = 4,
    /// Its process is gone: connections are reset, and nothing is taken.
    Down = 5,
    /// Every second set-up on a connection is taken and never answered, the others are at once: no sign of a server that
    /// is down or slow, and some callers that wait and wait.
    Forgetful = 6,
}

/// What reached a stand-in since it started.
#[derive(Default)]
pub struct Counts {
    /// Connections accepted.
    pub conns: AtomicU64,
    /// Set-ups (`new`) read.
    pub set_ups: AtomicU64,
    /// Tests (`hb`) read.
    pub tests: AtomicU64,
    /// Set-ups answered.
    pub answered: AtomicU64,
    /// Set-ups sent back, as it was full or with an error.
    pub sent_back: AtomicU64,
    /// Of these, unlooked at: they came on a connection beyond those that it holds.
    pub unlooked: AtomicU64,
    /// The longest wait told in a report since it was last asked for, ms.
    pub wait_ms: AtomicU64,
    /// Times that it fell over.
    pub falls: AtomicU64,
}

/// A stand-in on a loopback port of its own; it stops serving when dropped.
pub struct StandIn {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What reached it.
    pub counts: Arc<Counts>,
    shared: Arc<Shared>,
}

struct Shared {
    counts: Arc<Counts>,
    mode: AtomicU8,
    room: Mutex<Room>,
    hold: Duration,
    /// It fell over, and is down until then.
    down_until: Mutex<Option<Instant>>,
    /// Tests are read and never answered.
    mute_tests: AtomicBool,
    /// Connections that it serves at most, and those that it serves.
    conns_max: AtomicU64,
    served: AtomicU64,
    stop: AtomicBool,
}

impl Shared {
    fn room(&self) -> MutexGuard<'_, Room> {
        self.room.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether nobody serves now; one that fell over starts again, cold, once its time is over.
    fn down(&self) -> bool {
        let mut until = self.down_until.lock().unwrap_or_else(PoisonError::into_inner);
        match *until {
            Some(at) if Instant::now() >= at => {
                *until = None;
                self.room().start(Instant::now());
            }
            Some(_) => return true,
            None => {}
        }
        self.mode.load(Ordering::Relaxed) == Mode::Down as u8
    }

    fn fall(&self) {
        let down = self.room().down();
        self.counts.falls.fetch_add(1, Ordering::Relaxed);
        let mut until = self.down_until.lock().unwrap_or_else(PoisonError::into_inner);
        *until = Some(Instant::now() + down);
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

impl StandIn {
    /// One that serves in this mode, with no bound on its room.
    ///
    /// # Errors
    /// The loopback port could not be had.
    pub fn start(mode: Mode) -> std::io::Result<StandIn> {
        Self::start_with(mode, Room::Unbounded)
    }

    /// One that answers while it has room, `per_s` set-ups a second over a burst of a tenth of a second, and turns
    /// the rest away as full.
    ///
    /// # Errors
    /// The loopback port could not be had.
    pub fn with_capacity(per_s: f64) -> std::io::Result<StandIn> {
        Self::start_with(Mode::Answer, Room::bucket(per_s))
    }

    /// One in this mode, with this room.
    ///
    /// # Errors
    /// The loopback port could not be had.
    pub fn start_with(mode: Mode, room: Room) -> std::io::Result<StandIn> {
        Self::holding(mode, room, Duration::ZERO)
    }

    /// The same, and the calls that it answers stand for so long.
    ///
    /// # Errors
    /// The loopback port could not be had.
    pub fn holding(mode: Mode, room: Room, hold: Duration) -> std::io::Result<StandIn> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let counts = Arc::new(Counts::default());
        let shared = Arc::new(Shared {
            counts: counts.clone(),
            mode: AtomicU8::new(mode as u8),
            room: Mutex::new(room),
            hold,
            down_until: Mutex::new(None),
            mute_tests: AtomicBool::new(false),
            conns_max: AtomicU64::new(u64::MAX),
            served: AtomicU64::new(0),
            stop: AtomicBool::new(false),
        });
        let served = shared.clone();
        std::thread::spawn(move || {
            while !served.stopped() {
                match listener.accept() {
                    Ok((stream, _)) if served.down() => super::proxy::reset(stream),
                    Ok((stream, _)) => {
                        served.counts.conns.fetch_add(1, Ordering::Relaxed);
                        let shared = served.clone();
                        std::thread::spawn(move || {
                            let at = shared.served.fetch_add(1, Ordering::Relaxed);
                            serve(stream, &shared, at < shared.conns_max.load(Ordering::Relaxed));
                            shared.served.fetch_sub(1, Ordering::Relaxed);
                        });
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(StandIn { addr, counts, shared })
    }

    /// From now on it serves in this mode (a set-up open is answered in the new one). One that was down starts as a
    /// new process: cold, its line empty.
    pub fn set_mode(&self, mode: Mode) {
        let before = self.shared.mode.swap(mode as u8, Ordering::Relaxed);
        if before == Mode::Down as u8 && mode != Mode::Down {
            self.shared.room().start(Instant::now());
        }
    }

    /// From now on tests are read and never answered.
    pub fn mute_tests(&self) {
        self.shared.mute_tests.store(true, Ordering::Relaxed);
    }

    /// From now on it serves so many connections; on one more it tells its state, turns the first set-up away without
    /// looking at it, and closes.
    pub fn hold_at_most(&self, conns: u64) {
        self.shared.conns_max.store(conns, Ordering::Relaxed);
    }

    /// Set-ups read so far.
    pub fn set_ups(&self) -> u64 {
        self.counts.set_ups.load(Ordering::Relaxed)
    }

    /// What it counted so far: set-ups read, answered and sent back, and its falls.
    pub(super) fn counted(&self) -> [u64; 4] {
        let Counts { set_ups, answered, sent_back, falls, .. } = &*self.counts;
        [set_ups, answered, sent_back, falls].map(|count| count.load(Ordering::Relaxed))
    }

    /// The longest wait reported since it was last asked for, ms.
    pub fn longest_wait_ms(&self) -> u64 {
        self.counts.wait_ms.swap(0, Ordering::Relaxed)
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }
}

fn line(value: &Value) -> String {
    format!("{value}\n")
}

/// Answers on one connection, in the order of the line, until it closes or the server is gone. `held`: it has room for the
/// connection.
fn serve(stream: TcpStream, shared: &Shared, held: bool) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let Ok(raw) = stream.try_clone() else { return };
    let zero = "0000000000000000";
    let hello = line(&json!({"t": "gauge", "ref": zero, "f": {"load": "x0:90;x1:100;latency_ms:-1"}}));
    if writer.write_all(hello.as_bytes()).is_err() {
        return;
    }
    let mut lines = BufReader::new(stream);
    let mut text = String::new();
    let mut due: VecDeque<(Instant, String)> = VecDeque::new();
    let mut heard = 0u64;
    while !shared.stopped() {
        if shared.down() {
            return super::proxy::reset(writer);
        }
        while due.front().is_some_and(|(at, _)| *at <= Instant::now()) {
            let Some((_, answer)) = due.pop_front() else { break };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
        let next = due.front().map_or(TICK, |(at, _)| at.saturating_duration_since(Instant::now()));
        if raw.set_read_timeout(Some(next.clamp(Duration::from_millis(1), TICK))).is_err() {
            return;
        }
        match lines.read_line(&mut text) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => return,
        }
        let Ok(message) = serde_json::from_str::<Value>(&text) else { return };
        text.clear();
        let now = Instant::now();
        match message["t"].as_str() {
            Some("new") if !held => {
                shared.counts.set_ups.fetch_add(1, Ordering::Relaxed);
                shared.counts.sent_back.fetch_add(1, Ordering::Relaxed);
                shared.counts.unlooked.fetch_add(1, Ordering::Relaxed);
                let away = line(&json!({"t": "down", "ref": message["ref"], "f": {}, "c": 34}));
                let _ = writer.write_all(away.as_bytes());
                return;
            }
            Some("new") => {
                heard += 1;
                for (after, answer) in answer(&message["ref"], shared, heard, now) {
                    let place = due.partition_point(|(at, _)| *at <= now + after);
                    due.insert(place, (now + after, answer));
                }
            }
            Some("hb") => {
                if let Some(answer) = tested(&message["ref"], shared, now) {
                    due.push_front((now, answer));
                }
            }
            Some("down") => {
                due.push_front((now, line(&json!({"t": "ack", "ref": message["ref"], "f": {}}))));
            }
            _ => {}
        }
    }
}

/// The answer to a test, if one is given: passed with a report, or turned away for want of room.
fn tested(test: &Value, shared: &Shared, now: Instant) -> Option<String> {
    shared.counts.tests.fetch_add(1, Ordering::Relaxed);
    let mode = shared.mode.load(Ordering::Relaxed);
    if mode == Mode::Mute as u8 || shared.mute_tests.load(Ordering::Relaxed) {
        return None;
    }
    let room = shared.room();
    let told = room.told_wait_ms(now).filter(|_| mode != Mode::Full as u8);
    Some(line(&match told {
        Some(wait_ms) => {
            let load = format!("x0:80;x1:100;latency_ms:{wait_ms:.0};can_take:{:.0}", room.can_take(now));
            json!({"t": "hb_ok", "ref": test, "f": {"load": load}, "c": 1})
        }
        None => json!({"t": "hb_ok", "ref": test, "f": {}, "c": 0}),
    }))
}

/// What is said to the `heard`th set-up on a connection, each with the time after which it is; nothing: never.
fn answer(call: &Value, shared: &Shared, heard: u64, now: Instant) -> Vec<(Duration, String)> {
    shared.counts.set_ups.fetch_add(1, Ordering::Relaxed);
    let mode = shared.mode.load(Ordering::Relaxed);
    let down =
        |cause: u32, load: &str| line(&json!({"t": "down", "ref": call, "f": {"load": load}, "c": cause}));
    let sent_back = |answer: String| {
        shared.counts.sent_back.fetch_add(1, Ordering::Relaxed);
        vec![(Duration::ZERO, answer)]
    };
    let well = "x0:80;x1:100;latency_ms:5;can_take:400";
    let forgets = mode == Mode::Forgetful as u8 && heard.is_multiple_of(2);
    if forgets || mode == Mode::Mute as u8 || mode == Mode::Down as u8 {
        return Vec::new();
    } else if mode == Mode::Reset as u8 {
        return sent_back(down(41, well));
    } else if mode == Mode::Flaky as u8 && heard.is_multiple_of(2) {
        return sent_back(down(38, well));
    }
    let full = |wait_ms: f64, can_take: f64| {
        let load = format!("x0:0;x1:100;latency_ms:{wait_ms:.0};can_take:{can_take:.0}");
        line(&json!({"t": "down", "ref": call, "f": {"note": "ovl", "load": load}, "c": 34}))
    };
    if mode == Mode::Full as u8 {
        return sent_back(full(3000.0, 1.0));
    }
    let mut room = shared.room();
    let met = room.meet(now);
    let can_take = room.can_take(now);
    drop(room);
    match met {
        Met::Fell => {
            shared.fall();
            Vec::new()
        }
        Met::Full(wait_ms) => {
            shared.counts.wait_ms.fetch_max(wait_ms as u64, Ordering::Relaxed);
            sent_back(full(wait_ms, can_take))
        }
        Met::Answered(after, wait_ms) => {
            shared.counts.wait_ms.fetch_max(wait_ms as u64, Ordering::Relaxed);
            shared.counts.answered.fetch_add(1, Ordering::Relaxed);
            let load = format!("x0:80;x1:100;latency_ms:{wait_ms:.0};can_take:{can_take:.0}");
            let up = line(&json!({"t": "up", "ref": call, "f": {}, "d": "v=0"}));
            if shared.hold.is_zero() {
                return vec![(after, up + &down(16, &load))];
            }
            vec![(after, up), (after + shared.hold, down(16, &load))]
        }
    }
}
