//! The control plane's thread: it turns the reducer (`crate::control`) on a monotonic clock of its own, hears the
//! peers' socket's control datagrams through a bounded queue, and publishes what was decided for the traffic side.
//! The traffic side never waits for it: a thread that is dead, stuck or slow only lets its parts lapse.

use super::bookings::{self, Desk, Question};
use super::peers::Sender;
use crate::control::{Control, ControlFigures, ControlSettings, Effect, Event, Place, floor_of};
use crate::engine::Engine;
use crate::gather::Board;
use crate::reservations::{Answer, Reason};
use crate::shares::Exchange;
use crate::terms::{Budget, Member, Part};
use std::collections::HashMap;
use std::fs::OpenOptions;
use std::io::{ErrorKind, Write as _};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

/// A control datagram as it came, with its sender's place.
pub type Datagram = (u16, Vec<u8>);

/// Datagrams that may wait for the thread; more are dropped, as the network might.
const QUEUE: usize = 512;
/// Requests for bookings that may wait for their answers; one more is turned away at once.
const ASKED_MOST: usize = 64;
/// The file of the bookings in the settings' folder.
const BOOKINGS: &str = "bookings.log";
/// The thread looks so often whether the process is to stop.
const LOOK: Duration = Duration::from_millis(50);
/// It wakes no sooner than this, whatever it is asked to.
const LEAST_WAIT: Duration = Duration::from_millis(1);

/// The process's monotonic clock, the same for both threads, ms.
#[derive(Clone, Copy, Debug)]
pub struct Monotonic(Instant);

impl Monotonic {
    #[must_use]
    pub fn start() -> Self {
        Monotonic(Instant::now())
    }

    #[must_use]
    pub fn now(&self) -> f64 {
        self.0.elapsed().as_secs_f64() * 1000.0
    }

    /// Unix ms and this clock's, read together.
    fn with_unix(&self) -> (f64, f64) {
        let mut best = (0.0, 0.0, f64::INFINITY);
        // A thread that loses its turn between the two reads tries again.
        for _ in 0..5 {
            let before = self.now();
            let unix =
                SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
            let gap = self.now() - before;
            if gap < best.2 {
                best = (unix, before, gap);
            }
            if gap < 0.05 {
                break;
            }
        }
        (best.0, best.1)
    }
}

/// The control plane as it lies ready for its socket: what the driver hands to the traffic side and to the peers.
pub struct Ready {
    settings: ControlSettings,
    place: Place,
    clock: Monotonic,
    exchange: Arc<Exchange>,
    board: Arc<Board>,
    queue: (SyncSender<Datagram>, Receiver<Datagram>),
    desk: (Desk, Receiver<Question>),
}

/// The running control plane, from the traffic side.
pub struct Handle {
    clock: Monotonic,
    leaving: Arc<AtomicBool>,
    figures: Arc<Mutex<ControlFigures>>,
    desk: Option<Desk>,
}

impl Handle {
    /// Where bookings are asked for, if the operator's file has reservations.
    #[must_use]
    pub fn desk(&self) -> Option<Desk> {
        self.desk.clone()
    }

    /// The process stops: what it holds goes back at once. Does not wait.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// The monotonic time of both threads, ms.
    #[must_use]
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// As they were at most a round ago.
    #[must_use]
    pub fn figures(&self) -> ControlFigures {
        self.figures.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Ready {
    /// The control plane of this process under these settings.
    ///
    /// # Errors
    /// They do not fit a fleet of this size.
    pub fn new(settings: ControlSettings, place: Place, clock: Monotonic) -> Result<Self, String> {
        settings.check_fleet(place.members)?;
        // Checks what the division asks of its settings.
        Control::new(&settings, &place, clock.now())?;
        let exchange = Arc::new(Exchange::new(&settings.budgets()));
        let (board, queue, desk) = (Arc::default(), sync_channel(QUEUE), bookings::desk());
        Ok(Ready { settings, place, clock, exchange, board, queue, desk })
    }

    /// Lets the traffic side spend what will be decided.
    #[must_use]
    pub fn turn_on(&self, engine: Engine, seed: u64) -> Engine {
        let now = self.clock.now();
        let engine = engine.with_shares(self.exchange.clone(), self.place.members, seed, now);
        engine.with_jobs(self.board.clone(), seed, now)
    }

    /// Where the socket puts control datagrams, with the sender's place.
    #[must_use]
    pub fn queue(&self) -> SyncSender<Datagram> {
        self.queue.0.clone()
    }

    /// Starts the thread, which sends by `sender`.
    ///
    /// # Errors
    /// No thread could be started.
    pub fn start(self, sender: Sender) -> Result<Handle, String> {
        let (leaving, figures) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let clock = self.clock;
        let desk = self.settings.reservations.as_ref().map(|_| self.desk.0.clone());
        let handle = Handle { clock, leaving: Arc::clone(&leaving), figures: Arc::clone(&figures), desk };
        let thread = Thread::new(self, sender, leaving, figures)?;
        let builder = std::thread::Builder::new().name("control".to_owned());
        builder.spawn(move || thread.run()).map_err(|e| format!("control thread: {e}"))?;
        Ok(handle)
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn append(file: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let mut file = OpenOptions::new().create(true).append(true).open(file)?;
    file.write_all(bytes)?;
    file.sync_data()
}

/// Whole or not at all.
fn replace(file: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let new = file.with_extension("new");
    std::fs::write(&new, bytes)?;
    std::fs::File::open(&new)?.sync_data()?;
    std::fs::rename(&new, file)
}

struct Thread {
    control: Control,
    /// Where bookings are kept.
    file: Option<PathBuf>,
    budgets: Vec<Budget>,
    round_ms: f64,
    clock: Monotonic,
    exchange: Arc<Exchange>,
    board: Arc<Board>,
    sender: Sender,
    heard: Receiver<Datagram>,
    questions: Receiver<Question>,
    /// Who waits for the answer to a ticket, and the next one.
    asked: HashMap<u64, oneshot::Sender<Answer>>,
    ticket: u64,
    leaving: Arc<AtomicBool>,
    left: bool,
    figures: Arc<Mutex<ControlFigures>>,
    /// As last logged.
    parts: Vec<Part>,
    demand_read: f64,
    effects: Vec<Effect>,
}

impl Thread {
    fn new(
        ready: Ready,
        sender: Sender,
        leaving: Arc<AtomicBool>,
        figures: Arc<Mutex<ControlFigures>>,
    ) -> Result<Self, String> {
        let Ready { settings, place, clock, exchange, board, queue, desk } = ready;
        let folder = settings.reservations.as_ref().and_then(|r| r.folder.as_deref());
        let file = folder.map(|folder| folder.join(BOOKINGS));
        let now = clock.now();
        let budgets = settings.budgets();
        for budget in &budgets {
            let (per_s, burst) = floor_of(budget, place.members);
            log::info!(target: "control", budget = budget.name.as_str(), per_s, burst; "floor");
        }
        let mut control = Control::new(&settings, &place, now)?;
        exchange.sites().set(&control.sites());
        if let Some(file) = &file {
            let told = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
            match std::fs::read(file) {
                Ok(bytes) => control.restore(&bytes).map_err(|e| told(&e))?,
                Err(e) if e.kind() == ErrorKind::NotFound => {}
                Err(e) => return Err(told(&e)),
            }
        }
        Ok(Thread {
            control,
            file,
            budgets,
            round_ms: settings.round_ms,
            clock,
            exchange,
            board,
            sender,
            heard: queue.1,
            questions: desk.1,
            asked: HashMap::new(),
            ticket: 0,
            leaving,
            left: false,
            figures,
            parts: Vec::new(),
            demand_read: now,
            effects: Vec::new(),
        })
    }

    fn run(mut self) {
        loop {
            let due = self.control.next_due().min(self.demand_read + self.round_ms) - self.clock.now();
            let wait = Duration::from_secs_f64(due.clamp(0.0, 1000.0) / 1000.0).clamp(LEAST_WAIT, LOOK);
            match self.heard.recv_timeout(wait) {
                Ok((from, bytes)) => self.step(Event::Datagram { from: Member(from), bytes }),
                Err(RecvTimeoutError::Timeout) => {}
                // The socket is gone, and so soon is the process.
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.leaving.load(Ordering::Relaxed) && !self.left {
                self.left = true;
                self.step(Event::Leave);
            }
            while let Ok(question) = self.questions.try_recv() {
                self.hear(question);
            }
            self.read_demand();
            if self.clock.now() >= self.control.next_due() {
                self.step(Event::Tick);
            }
        }
    }

    /// Nobody waits for an answer any more if the operator has hung up: what is sent then is lost.
    fn hear(&mut self, question: Question) {
        match question {
            Question::Wish(wish, reply) if self.asked.len() < ASKED_MOST => {
                self.ticket += 1;
                self.asked.insert(self.ticket, reply);
                self.step(Event::Wish { ticket: self.ticket, wish });
            }
            Question::Wish(_, reply) => {
                let text = "too many requests wait for their answers: ask again".to_owned();
                let _ = reply.send(Answer::Refused { reason: Reason::NoGrantor, text, nearest: Vec::new() });
            }
            Question::List(reply) => {
                let _ = reply.send(bookings::listed(self.control.listing().as_ref()));
            }
            Question::Reread(settings) => self.step(Event::Reread(settings)),
        }
    }

    fn read_demand(&mut self) {
        let now = self.clock.now();
        let elapsed = now - self.demand_read;
        if elapsed >= self.round_ms {
            self.demand_read = now;
            let (mut demand, _) = self.exchange.demands(elapsed);
            demand.extend(self.exchange.sites().demands(elapsed));
            self.step(Event::Demand(demand));
            self.step(Event::Sites(self.exchange.sites().open()));
            self.step(Event::Jobs(self.board.counts()));
            let mut figures = self.control.figures();
            if let Some(jobs) = &mut figures.jobs {
                jobs.refused = self.board.all_refused();
            }
            *self.figures.lock().unwrap_or_else(PoisonError::into_inner) = figures;
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.clock.now();
        let mut effects = std::mem::take(&mut self.effects);
        self.control.step(now, unix_ms(), event, &mut effects);
        for effect in effects.drain(..) {
            match effect {
                Effect::Send { to, bytes } => {
                    // What the socket does not take now is lost, as on the way.
                    self.sender.to(to.0, &bytes);
                }
                Effect::Budgets(budgets) => {
                    log::info!(target: "control", "budgets in force: {budgets:?}");
                    self.exchange.set_budgets(&budgets);
                    self.budgets = budgets;
                }
                Effect::Sites(sites) => self.exchange.sites().set(&sites),
                Effect::Append(bytes) => self.keep(|file| append(file, &bytes)),
                Effect::Replace(bytes) => self.keep(|file| replace(file, &bytes)),
                Effect::Parts(parts) => {
                    self.exchange.publish(parts.clone());
                    self.log(parts);
                }
                Effect::Jobs(posted) => self.board.post(posted),
                Effect::Mastership(epoch) => {
                    let grants = epoch.is_some();
                    log::info!(target: "control", grants, epoch = epoch.map_or(0, |e| e.0); "mastership");
                }
                Effect::Answered { ticket, answer } => {
                    let _ = self.asked.remove(&ticket).map(|reply| reply.send(answer));
                }
                Effect::Note(text) => log::info!(target: "control", "{text}"),
            }
        }
        self.effects = effects;
    }

    /// Writes to the bookings' file, if there is one.
    fn keep(&self, write: impl Fn(&Path) -> std::io::Result<()>) {
        if let Some(file) = &self.file
            && let Err(e) = write(file)
        {
            log::error!(target: "control", "{}: {e}", file.display());
        }
    }

    /// One line for each part that changed: at `info` if its figures did, else at `debug`, as it was only renewed.
    /// `at` and `until` are Unix ms, by which the parts of several processes can be summed at one time.
    fn log(&mut self, parts: Vec<Part>) {
        let (at, now) = self.clock.with_unix();
        for budget in &self.budgets {
            let of =
                |parts: &[Part]| parts.iter().find(|p| p.budget == budget.id).copied().unwrap_or_default();
            let (old, new) = (of(&self.parts), of(&parts));
            if old == new {
                continue;
            }
            let changed = (old.per_s, old.burst) != (new.per_s, new.burst);
            let level = if changed { log::Level::Info } else { log::Level::Debug };
            let until = if new.until > 0.0 { new.until + at - now } else { 0.0 };
            let (at, until) = (format_args!("{at:.3}"), format_args!("{until:.3}"));
            log::log!(target: "control", level, budget = budget.name.as_str(), per_s = new.per_s, burst = new.burst,
                at:%, until:%, epoch = new.epoch.0; "part");
        }
        self.parts = parts;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What the traffic side does with a control plane whose thread never turns: hand it datagrams, and look.
    #[test]
    fn a_thread_that_sleeps_holds_nobody_up() {
        let text = "budgets: [{name: a, spend: set_ups, per_s: 100, burst: 60, floor: 0.2}]\n";
        let settings = ControlSettings::parse(text).unwrap();
        let place = Place { me: Member(0), members: 3, incarnation: 1, seed: 1 };
        let ready = Ready::new(settings, place, Monotonic::start()).unwrap();
        let (queue, since) = (ready.queue(), Instant::now());
        let taken = (0..100_000).filter(|_| queue.try_send((1, vec![2; 100])).is_ok()).count();
        assert_eq!(taken, QUEUE, "what does not fit is dropped");
        let mut seen = 0;
        let snapshot = ready.exchange.news(&mut seen).expect("the floors are there from the start");
        assert!(snapshot.budgets.len() == 1 && snapshot.parts.is_empty());
        assert!((0..100_000).all(|_| ready.exchange.news(&mut seen).is_none()));
        assert!(since.elapsed() < Duration::from_secs(5));
    }

    #[test]
    fn the_bookings_file_is_added_to_and_replaced_whole() {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join(BOOKINGS);
        append(&file, b"one").unwrap();
        append(&file, b"two").unwrap();
        assert_eq!(std::fs::read(&file).unwrap(), b"onetwo");
        replace(&file, b"three").unwrap();
        append(&file, b"four").unwrap();
        assert_eq!(std::fs::read(&file).unwrap(), b"threefour");
    }
}
