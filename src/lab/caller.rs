//! A scripted caller for the lab: it speaks the platform's binary caller protocol (PROTOCOL: a 2-byte length,
//! a type, an 8-byte call reference, then parameters as code, 2-byte length, value), offers set-ups at a paced
//! rate and holds every set-up to one final answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const SET_UP: u8 = 1;
const ANSWERED: u8 = 9;
const RELEASE: u8 = 12;
const TEST: u8 = 52;
const TEST_ANSWER: u8 = 53;
const CAUSE: u8 = 143;
/// The cause of a refusal by the border controller itself.
const REFUSED: u8 = 42;

/// What a caller heard in one second of the run, by the set-ups it offered in that second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Tally {
    /// Set-ups offered.
    pub offered: u64,
    /// Answered: the call stood.
    pub answered: u64,
    /// Refused by the border controller (cause 42).
    pub refused: u64,
    /// Ended otherwise: failed at a server, timed out, cut.
    pub failed: u64,
    /// A second final answer, or an answer out of turn: never allowed.
    pub doubled: u64,
    /// Still without a final answer when the caller stopped waiting.
    pub lost: u64,
}

/// The ledger of one caller: each open set-up's second of offer and whether it stands.
#[derive(Default)]
struct Ledger {
    open: std::collections::HashMap<u64, (usize, bool)>,
    seconds: Vec<Tally>,
}

impl Ledger {
    fn second(&mut self, at: usize) -> &mut Tally {
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, Tally::default());
        }
        &mut self.seconds[at]
    }

    fn waiting(&self) -> bool {
        self.open.values().any(|&(_, standing)| !standing)
    }

    fn hear(&mut self, kind: u8, call: u64, cause: Option<u8>) {
        match (kind, self.open.get(&call).copied()) {
            (ANSWERED, Some((at, false))) => {
                self.open.insert(call, (at, true));
                self.second(at).answered += 1;
            }
            (RELEASE, Some((_, true))) => {
                self.open.remove(&call);
            }
            (RELEASE, Some((at, false))) => {
                self.open.remove(&call);
                match cause {
                    Some(REFUSED) => self.second(at).refused += 1,
                    _ => self.second(at).failed += 1,
                }
            }
            (TEST_ANSWER, _) => {}
            _ => self.second(0).doubled += 1,
        }
    }
}

fn message(kind: u8, call: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body: Vec<u8> = vec![kind];
    body.extend(call.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend(*value);
    }
    let mut bytes = (body.len() as u16).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

fn set_up(call: u64, wait_ms: u32) -> Vec<u8> {
    let wait = wait_ms.to_string();
    let sdp = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n";
    let parameters: [(u8, &[u8]); 5] = [
        (129, b"voice"),
        (130, wait.as_bytes()),
        (133, b"7f3a9c21e0b4d655"),
        (134, b"dest:0;width:1;via:-1"),
        (144, sdp.as_bytes()),
    ];
    message(SET_UP, call, &parameters)
}

/// The next message's type, call and cause; none once the connection is closed or unreadable.
fn hear(stream: &mut TcpStream) -> Option<(u8, u64, Option<u8>)> {
    let mut length = [0; 2];
    stream.read_exact(&mut length).ok()?;
    let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut body).ok()?;
    let (kind, call) = (*body.first()?, u64::from_be_bytes(body.get(1..9)?.try_into().ok()?));
    let (mut rest, mut cause) = (body.get(9..)?, None);
    while rest.len() >= 3 {
        let end = 3 + usize::from(u16::from_be_bytes([rest[1], rest[2]]));
        if rest[0] == CAUSE {
            cause = rest.get(3).copied();
        }
        rest = rest.get(end..)?;
    }
    Some((kind, call, cause))
}

/// Connects to an instance's callers' address and returns once a test is answered as ready.
///
/// # Errors
/// It could not connect, the connection closed, or the instance was not ready within `patience`.
pub fn ready(addr: SocketAddr, patience: Duration) -> std::io::Result<TcpStream> {
    let since = Instant::now();
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(patience))?;
    while since.elapsed() < patience {
        stream.write_all(&message(TEST, 0, &[(CAUSE, &[0])]))?;
        match hear(&mut stream) {
            Some((TEST_ANSWER, _, Some(1))) => return Ok(stream),
            Some(_) => std::thread::sleep(Duration::from_millis(20)),
            None => break,
        }
    }
    Err(std::io::Error::new(std::io::ErrorKind::TimedOut, format!("{addr} is not ready")))
}

/// Offers set-ups (callers' wait `wait_ms`) at `per_s(second)` a second for `seconds`, reading answers beside,
/// then waits up to `patience` for the last final answers; returns the tally by second of offer. Calls are
/// numbered from `base`.
pub fn offer(
    stream: TcpStream,
    per_s: impl Fn(usize) -> f64,
    seconds: usize,
    wait_ms: u32,
    base: u64,
    patience: Duration,
) -> std::io::Result<Vec<Tally>> {
    let mut writer = stream.try_clone()?;
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    let sent = Arc::new(AtomicBool::new(false));
    let (shared, done) = (ledger.clone(), sent.clone());
    stream.set_read_timeout(Some(Duration::from_millis(200)))?;
    let reader = std::thread::spawn(move || {
        let mut stream = stream;
        let mut quiet_since = None::<Instant>;
        loop {
            let lock = || shared.lock().unwrap_or_else(PoisonError::into_inner);
            if done.load(Ordering::Relaxed) && !lock().waiting() {
                return;
            }
            match hear(&mut stream) {
                Some((kind, call, cause)) => {
                    quiet_since = None;
                    lock().hear(kind, call, cause);
                }
                None if done.load(Ordering::Relaxed) => {
                    if quiet_since.get_or_insert_with(Instant::now).elapsed() > patience {
                        return;
                    }
                }
                None => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    });
    let since = Instant::now();
    let mut next = 0u64;
    let mut due = 0.0;
    'offer: for second in 0..seconds {
        let rate = per_s(second).max(0.0);
        let start = Duration::from_secs(second as u64);
        while since.elapsed() < start + Duration::from_secs(1) {
            let into = (since.elapsed().saturating_sub(start)).as_secs_f64().min(1.0);
            while next < (due + into * rate) as u64 {
                let mut ledger = ledger.lock().unwrap_or_else(PoisonError::into_inner);
                ledger.open.insert(base + next, (second, false));
                ledger.second(second).offered += 1;
                drop(ledger);
                // A crashed instance takes no more; what was offered is kept.
                if writer.write_all(&set_up(base + next, wait_ms)).is_err() {
                    break 'offer;
                }
                next += 1;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        due += rate;
    }
    sent.store(true, Ordering::Relaxed);
    let _ = reader.join();
    let mut ledger = ledger.lock().unwrap_or_else(PoisonError::into_inner);
    let left: Vec<usize> =
        ledger.open.values().filter(|(_, standing)| !standing).map(|&(at, _)| at).collect();
    for at in left {
        ledger.second(at).lost += 1;
    }
    let length = seconds.max(ledger.seconds.len());
    ledger.seconds.resize(length, Tally::default());
    Ok(std::mem::take(&mut ledger.seconds))
}
