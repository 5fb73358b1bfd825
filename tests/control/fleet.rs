//! A fleet with the control plane on, the faults that strike it, and what is held against it at the end.

use crate::ledger::{self, Held};
use corkreach::lab::caller::{self, Class, Door, Profile, Tally};
use corkreach::lab::datagrams::{Datagrams, Faults};
use corkreach::lab::fleet::{self as lab, Instance, Orders};
use corkreach::lab::names::Listed;
use corkreach::lab::standin::{Mode, StandIn};
use std::cell::Cell;
use std::net::{SocketAddr, UdpSocket};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The budget that is divided.
pub const PER_S: f64 = 100.0;
pub const BURST: f64 = 60.0;
pub const FLOOR: f64 = 0.2;
pub const LEASE_MS: u64 = 600;
const ROUND_MS: u64 = 150;

/// What is waited for comes within this.
const PATIENCE: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(40);
/// Set-ups that were paid for may lie so long in queues and meet the call servers together.
const ON_THE_WAY_S: f64 = 0.3;

pub fn now_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0
}

/// What a fleet has beside the budget that is divided.
pub struct Setup {
    /// More of the operator's file.
    pub file: String,
    pub lease_ms: u64,
    pub classes: Vec<Class>,
    /// The call servers' sites.
    pub sites: [&'static str; 2],
}

impl Default for Setup {
    fn default() -> Self {
        let classes = vec![Class { name: "voice".into(), worth: 1.0, part: 1.0 }];
        Setup { file: String::new(), lease_ms: LEASE_MS, classes, sites: ["aarhus"; 2] }
    }
}

pub struct Fleet {
    name: &'static str,
    control: String,
    classes: Vec<Class>,
    sites: [&'static str; 2],
    /// Budgets of bookings, whose parts count as well.
    pub booked: Vec<&'static str>,
    /// Loads so far: each has its calls' numbers to itself.
    loads: Cell<u64>,
    servers: Arc<Vec<StandIn>>,
    pub links: Datagrams,
    instances: Vec<Instance>,
    doors: Vec<Arc<Door>>,
    /// By place: the call server drains.
    draining: Vec<bool>,
    /// By instance: it was ended and not started again.
    down: Vec<bool>,
    folder: tempfile::TempDir,
    /// Set-ups at the call servers, over time.
    reached: Option<JoinHandle<Vec<(f64, u64)>>>,
    stop: Arc<AtomicBool>,
}

/// What the callers of an instance heard.
#[derive(Debug)]
pub struct Heard {
    pub tally: Tally,
    /// Seconds with offers of which none was answered.
    pub idle: usize,
}

/// Callers at every instance.
pub struct Load(Vec<JoinHandle<Vec<Vec<Tally>>>>);

impl Load {
    /// What the callers of each instance heard, once all have heard the last answer.
    pub fn heard(self) -> Vec<Heard> {
        let sum = |seconds: Vec<Vec<Tally>>| {
            let mut tally = Tally::default();
            seconds.iter().flatten().for_each(|of_second| tally.add(of_second));
            let idle = seconds.iter().flatten().filter(|t| t.offered > 0 && t.answered == 0).count();
            Heard { tally, idle }
        };
        self.0.into_iter().map(|thread| sum(thread.join().unwrap())).collect()
    }
}

/// Samples the call servers' counts until it is stopped.
fn sample(servers: Arc<Vec<StandIn>>, stop: Arc<AtomicBool>) -> JoinHandle<Vec<(f64, u64)>> {
    std::thread::spawn(move || {
        let (since, mut samples) = (Instant::now(), Vec::new());
        while !stop.load(Ordering::Relaxed) {
            let at = since.elapsed().as_secs_f64();
            samples.push((at, servers.iter().map(StandIn::set_ups).sum()));
            std::thread::sleep(Duration::from_millis(10));
        }
        samples
    })
}

impl Fleet {
    /// `n` instances, each link between them with the faults that `faults` has for its sender.
    pub fn start(n: usize, name: &'static str, faults: impl Fn(usize) -> Faults) -> Fleet {
        Self::start_with(n, name, faults, Setup::default())
    }

    /// The same with this setup.
    pub fn start_with(n: usize, name: &'static str, faults: impl Fn(usize) -> Faults, setup: Setup) -> Fleet {
        let Setup { file, lease_ms, classes, sites } = setup;
        let control = format!(
            "keepers: [0, 1, 2]\nlease_ms: {lease_ms}\nround_ms: {ROUND_MS}\nbudgets:\n  \
             - {{name: set-ups, spend: set_ups, per_s: {PER_S}, burst: {BURST}, floor: {FLOOR}}}\n{file}"
        );
        let servers = Arc::new((0..2).map(|_| StandIn::start(Mode::Answer).unwrap()).collect::<Vec<_>>());
        let links = Datagrams::start(n, 0x5eed ^ n as u64).unwrap();
        (0..n).for_each(|i| links.set_around(i, faults(i)));
        let doors = (0..n).map(|_| Arc::default()).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let reached = Some(sample(servers.clone(), stop.clone()));
        let folder = tempfile::tempdir().unwrap();
        let (instances, draining, down) = (Vec::new(), vec![false; servers.len()], vec![false; n]);
        let booked = Vec::new();
        let mut fleet = Fleet {
            name,
            control,
            classes,
            sites,
            booked,
            loads: Cell::new(0),
            servers,
            links,
            instances,
            doors,
            draining,
            down,
            folder,
            reached,
            stop,
        };
        for i in 0..n {
            let instance = fleet.launch(i);
            fleet.instances.push(instance);
        }
        for instance in &fleet.instances {
            caller::ready(instance.addr, PATIENCE).unwrap();
        }
        fleet
    }

    fn launch(&self, i: usize) -> Instance {
        let orders = Orders {
            program: Path::new(env!("CARGO_BIN_EXE_corkreach")),
            siblings: self.doors.len(),
            seed: 0x71c3_55aa_0d1e_9b42,
            classes: &self.classes,
            places: self.servers.len(),
            limits: None,
            sites: None,
            control: Some(&self.control),
            log: Some("debug"),
            management: true,
            audit: false,
            links: Some(&self.links),
            probing: false,
        };
        let listed = |(place, server): (usize, &StandIn)| Listed {
            id: format!("s-{place}"),
            addr: server.addr,
            place: place as u32,
            started_ms: 0,
            zone: self.sites[place].into(),
            draining: self.draining[place],
        };
        let list = self.servers.iter().enumerate().map(listed).collect();
        let instance = lab::start(&orders, &self.instance_folder(i), i, list).unwrap();
        self.doors[i].set(Some(instance.addr));
        instance
    }

    fn instance_folder(&self, i: usize) -> PathBuf {
        self.folder.path().join(format!("n{i}"))
    }

    fn logs(&self) -> Vec<PathBuf> {
        (0..self.doors.len()).map(|i| self.instance_folder(i).join("log")).collect()
    }

    // ---- faults ----

    /// As a crash would.
    pub fn kill(&mut self, i: usize) {
        self.doors[i].set(None);
        self.instances[i].kill();
        self.down[i] = true;
    }

    pub fn restart(&mut self, i: usize) {
        self.instances[i] = self.launch(i);
        self.down[i] = false;
    }

    /// A planned stop; it returns once the process has ended.
    pub fn terminate(&mut self, i: usize) {
        self.doors[i].set(None);
        self.signal(i, "TERM");
        self.instances[i].wait();
        self.down[i] = true;
    }

    pub fn signal(&self, i: usize, signal: &str) {
        let pid = self.instances[i].pid().to_string();
        let sent = Command::new("kill").args([&format!("-{signal}"), &pid]).status().unwrap();
        assert!(sent.success(), "{signal}");
    }

    /// A call server drains; every instance's name service says so from now on.
    pub fn drain(&mut self, place: usize) {
        self.draining[place] = true;
        let id = format!("s-{place}");
        self.instances.iter().for_each(|i| i.names.change(&id, |listed| listed.draining = true));
    }

    /// Sends instance `to`, as if from its peer `from`, datagrams of another version and garbage; how many.
    pub fn forge(&self, from: usize, to: usize, each: u32) -> usize {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        self.links.listens(from, socket.local_addr().unwrap());
        let before = self.links.passed(from, to).given;
        let at = self.links.peers_of(from)[to];
        let mut rng = fastrand::Rng::with_seed(5);
        let mut sent = 0;
        for _ in 0..each {
            let mut datagram: Vec<u8> = std::iter::repeat_with(|| rng.u8(..)).take(60).collect();
            for version in [1, 99] {
                datagram[..2].copy_from_slice(&[2, version]);
                socket.send_to(&datagram, at).unwrap();
                sent += 1;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.until("the garbage has passed", |f| f.links.passed(from, to).given > before + 40);
        self.links.listens(from, self.instances[from].peers.unwrap());
        sent
    }

    // ---- load ----

    /// Callers at each instance for so long, at so many set-ups a second each.
    pub fn offer(&self, per_s: impl Fn(usize) -> f64, span: Duration) -> Load {
        self.offer_of(self.profile(), per_s, span)
    }

    /// The same, to these numbers.
    pub fn offer_to(
        &self,
        numbers: RangeInclusive<u64>,
        per_s: impl Fn(usize) -> f64,
        span: Duration,
    ) -> Load {
        self.offer_of(Profile { numbers, ..self.profile() }, per_s, span)
    }

    /// The same of one class, by callers that wait so long, and for their calls' ends: what one load has not heard would
    /// be told to the next.
    pub fn offer_class(
        &self,
        class: &str,
        wait_ms: u32,
        per_s: impl Fn(usize) -> f64,
        span: Duration,
    ) -> Load {
        let classes: Vec<Class> = self.classes.iter().filter(|c| c.name == class).cloned().collect();
        self.offer_of(Profile { classes, wait_ms, await_ends: true, ..self.profile() }, per_s, span)
    }

    fn profile(&self) -> Profile {
        Profile {
            classes: self.classes.clone(),
            wait_ms: 2000,
            repeats: None,
            await_ends: false,
            places: (0..self.servers.len() as u32).collect(),
            numbers: 0..=u64::MAX,
            seed: 11,
        }
    }

    fn offer_of(&self, profile: Profile, per_s: impl Fn(usize) -> f64, span: Duration) -> Load {
        let load = self.loads.replace(self.loads.get() + 1);
        let offer = |(i, door): (usize, &Arc<Door>)| {
            let (door, profile, per_s) = (door.clone(), profile.clone(), per_s(i));
            // Calls of two loads, and of two instances, are told apart by their references.
            let base = load << 40 | (i as u64 + 1) << 32;
            let seconds = span.as_secs() as usize;
            std::thread::spawn(move || caller::offer(door, &profile, |_| per_s, seconds, base, PATIENCE))
        };
        Load(self.doors.iter().enumerate().map(offer).collect())
    }

    /// Waits until so many set-ups more have reached the call servers.
    pub fn until_reached(&self, more: u64) {
        let reached = |f: &Fleet| f.servers.iter().map(StandIn::set_ups).sum::<u64>();
        let before = reached(self);
        self.until("set-ups reach the call servers", |f| reached(f) >= before + more);
    }

    // ---- what is seen ----

    fn held(&self) -> Vec<Held> {
        let budgets = std::iter::once(&"set-ups").chain(&self.booked);
        budgets.flat_map(|budget| ledger::held(&self.logs(), budget)).collect()
    }

    /// What of a budget is held by all together now, a second.
    pub fn held_of(&self, budget: &str) -> f64 {
        ledger::sum_at(&ledger::held(&self.logs(), budget), now_ms())
    }

    /// Where operators reach an instance.
    pub fn management(&self, i: usize) -> SocketAddr {
        self.instances[i].management.unwrap()
    }

    /// What an instance has said in its log.
    pub fn said(&self, i: usize) -> String {
        ledger::text(&self.instance_folder(i).join("log"))
    }

    /// Changes the operator's file of an instance, by which it goes once it is told to read it again.
    pub fn rewrite(&self, i: usize, change: impl Fn(&str) -> String) {
        let file = self.instance_folder(i).join("control.yaml");
        std::fs::write(file, change(&self.control)).unwrap();
    }

    /// The call server at this place goes down, or comes back.
    pub fn serve_in(&self, place: usize, mode: Mode) {
        self.servers[place].set_mode(mode);
    }

    /// Waits for a condition.
    pub fn until(&self, what: &str, holds: impl Fn(&Fleet) -> bool) {
        let since = Instant::now();
        while !holds(self) {
            if since.elapsed() > PATIENCE {
                for log in self.logs() {
                    let text = ledger::text(&log);
                    let said: Vec<&str> = text.lines().filter(|l| !l.contains(" decided ")).collect();
                    eprintln!("{}:\n{}", log.display(), said[said.len().saturating_sub(25)..].join("\n"));
                }
                panic!("{}: waited in vain: {what}", self.name);
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Waits until at least so much a second is held by all together.
    pub fn until_divided(&self, least: f64) {
        self.until("the whole is divided", |f| ledger::sum_at(&f.held(), now_ms()) >= least);
    }

    /// The same by these.
    pub fn until_divided_among(&self, members: &[usize], least: f64) {
        self.until("the whole is divided among some", |f| {
            members.iter().map(|&i| f.part_of(i)).sum::<f64>() >= least
        });
    }

    /// What an instance holds now, a second.
    pub fn part_of(&self, i: usize) -> f64 {
        let log = [self.instance_folder(i).join("log")];
        ledger::sum_at(&ledger::held(&log, "set-ups"), now_ms())
    }

    /// Who grants, as soon as the logs tell of one.
    pub fn grantor(&self) -> usize {
        let found = std::cell::Cell::new(None);
        self.until("somebody grants", |f| {
            found.set(ledger::grantor(&f.logs()));
            found.get().is_some()
        });
        found.get().unwrap()
    }

    pub fn grantor_among(&self, members: &[usize]) -> Option<usize> {
        let logs: Vec<PathBuf> = members.iter().map(|&i| self.instance_folder(i).join("log")).collect();
        ledger::grantor(&logs).map(|at| members[at])
    }

    /// The epoch under which an instance grants, as its log says.
    pub fn epoch_of(&self, i: usize) -> Option<u64> {
        ledger::epoch(&self.instance_folder(i).join("log"))
    }

    /// Until when the last part of an epoch held, Unix ms, by all logs.
    pub fn granted_until(&self, epoch: u64) -> f64 {
        self.logs().iter().map(|log| ledger::granted_until(log, epoch)).fold(0.0, f64::max)
    }

    /// Set-ups that reached a call server.
    pub fn set_ups_at(&self, place: usize) -> u64 {
        self.servers[place].set_ups()
    }

    /// A figure of an instance, as operators read it.
    pub fn figure(&self, i: usize, name: &str) -> f64 {
        self.figure_if(i, name).unwrap_or_else(|| panic!("there is no {name}"))
    }

    /// The same where it may not be there.
    pub fn figure_if(&self, i: usize, name: &str) -> Option<f64> {
        let at = self.instances[i].management.unwrap();
        let text = ureq::get(format!("http://{at}/control/counters"))
            .call()
            .unwrap()
            .body_mut()
            .read_to_string()
            .unwrap();
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '))?;
        Some(line.trim().parse().unwrap())
    }

    pub fn all(&self) -> std::ops::Range<usize> {
        0..self.doors.len()
    }

    /// The lines of an instance's log that hold this text.
    pub fn said_of(&self, i: usize, what: &str) -> Vec<String> {
        self.said(i).lines().filter(|line| line.contains(what)).map(str::to_owned).collect()
    }

    /// From now on the call servers serve in this mode.
    pub fn set_servers(&self, mode: Mode) {
        self.servers.iter().for_each(|server| server.set_mode(mode));
    }

    /// What holds in every test: the parts' sum, each call's one answer (calls at those that were `ended` may be cut),
    /// and what reached the call servers.
    pub fn check(mut self, heard: &[Heard], ended: &[usize]) {
        for (i, Heard { tally, .. }) in heard.iter().enumerate() {
            eprintln!("{} n{i}: {tally:?}", self.name);
            assert_eq!((tally.doubled, tally.lost), (0, 0), "instance {i}: {tally:?}");
            assert!(tally.cut == 0 || ended.contains(&i), "instance {i}: {tally:?}");
            let answers = tally.answered + tally.refused + tally.failed + tally.cut;
            assert_eq!(answers, tally.offered, "instance {i}: {tally:?}");
        }
        // Logs are read as they are written: what counts is the time up to which those of all that run are here.
        let logs = self.logs();
        let running = logs.iter().zip(&self.down).filter(|(_, down)| !**down);
        let read = running.map(|(log, _)| ledger::read_until(log)).fold(f64::INFINITY, f64::min);
        let [(rate, whose), (burst, _)] = ledger::largest(&self.held(), read);
        eprintln!("{}: at most {rate:.1} a second and a burst of {burst:.1} held at once", self.name);
        assert!(rate >= PER_S * (1.0 - FLOOR) * 0.9, "the logs tell of {rate} a second at most");
        assert!(rate <= PER_S * (1.0 - FLOOR) + 1e-6, "{rate} a second: {whose:#?}");
        assert!(burst <= BURST * (1.0 - FLOOR) + 1e-6, "a burst of {burst}: {whose:#?}");
        self.stop.store(true, Ordering::Relaxed);
        let samples = self.reached.take().unwrap().join().unwrap();
        let (mut worst, mut at) = (f64::NEG_INFINITY, 0.0);
        // The largest excess over the whole's rate, over all windows: a fill level that never falls under its least.
        let mut least = f64::INFINITY;
        for &(t, n) in &samples {
            let over = n as f64 - PER_S * t;
            least = least.min(over);
            if over - least > worst {
                (worst, at) = (over - least, t);
            }
        }
        eprintln!("{}: {worst:.1} beyond the rate at most ({at:.1} s)", self.name);
        assert!(worst <= BURST + PER_S * ON_THE_WAY_S, "{worst:.1} set-ups beyond the rate over one window");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // A process that was stopped is killed as well.
        self.instances.iter_mut().for_each(Instance::kill);
    }
}
