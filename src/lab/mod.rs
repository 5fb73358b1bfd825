//! The fleet lab: the project's own emulator of the platform for many processes at once. It starts the
//! instances of a [`Scenario`] as real processes of the program, stand-in call servers that report load and fill
//! up, a fault proxy on every link from an instance to a server, and a scripted caller at every instance; it
//! plays the scenario's faults on their seconds and counts, each second, what each server saw and what the
//! callers heard. Each run of the scenario (without the file under trial, then with it) starts afresh, so the two
//! are compared in one sitting. No decision is made here: the lab only drives and counts.
//!
//! The figures go to [`results`] as tables (CSV, JSON) and a chart (SVG).

pub mod caller;
mod chart;
pub mod clocked;
pub mod datagrams;
pub mod fleet;
pub mod names;
pub mod proxy;
pub mod results;
pub mod room;
pub mod scenario;
pub mod standin;
mod summary;
pub mod tally;

use caller::Door;
use datagrams::Datagrams;
use fleet::{Instance, Orders};
use names::Listed;
use proxy::{Fault, Proxy};
use room::{Queue, Room};
pub use scenario::{Run, Scenario};
use standin::{Mode, StandIn};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// An instance passes tests within this.
const READY_WITHIN: Duration = Duration::from_secs(15);

/// What one server saw in one second of a run.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ServerSecond {
    /// `off` or `on`.
    pub run: Run,
    /// Second of the run.
    pub second: usize,
    /// The server's id.
    pub server: String,
    /// Its site, or nothing.
    pub site: String,
    /// Set-ups that reached it.
    pub attempts: u64,
    /// Set-ups that it answered.
    pub answered: u64,
    /// Set-ups that it sent back, as it was full or with an error.
    pub sent_back: u64,
    /// The longest wait that it reported, ms.
    pub wait_ms: u64,
    /// It sent set-ups back, or reported a longer wait than the scenario's `pressed_ms`.
    pub pressed: bool,
    /// Times that it fell over.
    pub falls: u64,
    /// Connections dialled to it through the proxies, by the whole fleet.
    pub dials: u64,
}

/// What the callers of the fleet heard of the set-ups of one class offered in one second of a run.
#[derive(Clone, Debug, serde::Serialize)]
pub struct CallerSecond {
    /// `off` or `on`.
    pub run: Run,
    /// Second of the run.
    pub second: usize,
    /// The class's name.
    pub class: String,
    /// What a call of it is worth.
    pub worth: f64,
    /// The callers' tally, summed over the instances.
    pub tally: caller::Tally,
}

/// What the callers of one instance heard in a whole run.
#[derive(Clone, Debug, serde::Serialize)]
pub struct InstanceRun {
    /// `off` or `on`.
    pub run: Run,
    /// The instance's number.
    pub instance: usize,
    /// Its callers' tally.
    pub tally: caller::Tally,
    /// What they offered and got, over all classes.
    pub worth: tally::Worth,
}

/// The figures of the runs.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// By run, second and server.
    pub servers: Vec<ServerSecond>,
    /// By run, second and class.
    pub callers: Vec<CallerSecond>,
    /// By run and instance.
    pub instances: Vec<InstanceRun>,
}

/// Plays the scenario once for each of its runs with the program at `program`; each instance's folder and log
/// is kept under `out/instances`.
///
/// # Errors
/// A stand-in, proxy or instance could not start, or an instance was not ready within 15 s.
pub fn play(scenario: &Scenario, program: &Path, out: &Path) -> Result<Figures, String> {
    scenario.check()?;
    let mut all = Figures::default();
    for &run in &scenario.runs {
        let figures = play_once(scenario, run, program, out)?;
        all.servers.extend(figures.servers);
        all.callers.extend(figures.callers);
        all.instances.extend(figures.instances);
    }
    Ok(all)
}

/// The fleet of one run, and all that stands around it.
struct Rig<'a> {
    scenario: &'a Scenario,
    orders: Orders<'a>,
    run: Run,
    out: &'a Path,
    servers: Vec<StandIn>,
    /// By instance, then by server: the link between them.
    proxies: Vec<Vec<Proxy>>,
    instances: Vec<Instance>,
    doors: Vec<Arc<Door>>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Rig<'_> {
    fn list(&self, instance: usize) -> Vec<Listed> {
        let listed = |(place, (s, proxy)): (usize, (&scenario::Server, &Proxy))| Listed {
            id: s.id.clone(),
            addr: proxy.addr,
            place: place as u32,
            started_ms: 0,
            zone: s.site.clone().unwrap_or_else(|| "aarhus".into()),
            draining: false,
        };
        self.scenario.servers.iter().zip(&self.proxies[instance]).enumerate().map(listed).collect()
    }

    /// Starts an instance, or starts it again with the list as it was told last.
    fn start(&mut self, i: usize) -> Result<(), String> {
        let list = self.instances.get(i).map_or_else(|| self.list(i), |old| old.names.list());
        let folder = fleet::folder(self.out, self.run.name(), i);
        let instance = fleet::start(&self.orders, &folder, i, list)?;
        self.doors[i].set(Some(instance.addr));
        if i < self.instances.len() {
            self.instances[i] = instance;
        } else {
            self.instances.push(instance);
        }
        Ok(())
    }

    /// Does what the scenario has for this second.
    fn strike(&mut self, second: usize) -> Result<(), String> {
        let n = self.scenario.instances;
        let events: Vec<_> = self.scenario.faults.iter().filter(|e| e.at_s == second).cloned().collect();
        for event in events {
            for i in event.crash.iter().flat_map(|which| which.of(n)) {
                // Its callers know first: what breaks now broke with it.
                self.doors[i].set(None);
                self.instances[i].kill();
            }
            for i in event.start.iter().flat_map(|which| which.of(n)) {
                self.start(i)?;
            }
            let links = event.instances.as_ref().map_or_else(|| (0..n).collect(), |which| which.of(n));
            for s in self.scenario.touched(&event) {
                if let Some(mode) = event.mode {
                    self.servers[s].set_mode(mode);
                    // A host whose process is gone refuses connections.
                    for proxy in self.proxies.iter().map(|row| &row[s]) {
                        if mode == Mode::Down {
                            proxy.set(Fault::Refuse);
                        } else if proxy.refuses() {
                            proxy.set(Fault::Pass);
                        }
                    }
                }
                for &i in &links {
                    match (event.fault, event.delay_ms) {
                        (Some(Fault::Delay), most) => self.proxies[i][s].set_delay(most.unwrap_or(100)),
                        (Some(fault), _) => self.proxies[i][s].set(fault),
                        (None, _) => {}
                    }
                }
                let (id, now) = (&self.scenario.servers[s].id, unix_ms());
                for instance in &self.instances {
                    if event.restarted {
                        instance.names.change(id, |l| l.started_ms = now);
                    }
                    if let Some(draining) = event.draining {
                        instance.names.change(id, |l| l.draining = draining);
                    }
                }
            }
        }
        Ok(())
    }
}

fn room_of(server: &scenario::Server) -> Room {
    match (server.line_per_s, server.capacity_per_s) {
        (Some(per_s), _) => {
            let longest = Duration::from_millis(server.line_ms);
            Room::Queue(Box::new(Queue::new(per_s, longest, server.cold, Instant::now())))
        }
        (None, Some(per_s)) => Room::bucket(per_s),
        (None, None) => Room::Unbounded,
    }
}

fn stand_in(server: &scenario::Server) -> std::io::Result<StandIn> {
    StandIn::holding(server.mode, room_of(server), Duration::from_millis(server.hold_ms))
}

fn play_once(scenario: &Scenario, run: Run, program: &Path, out: &Path) -> Result<Figures, String> {
    let io = |e: std::io::Error| format!("lab: {e}");
    let servers: Vec<StandIn> =
        scenario.servers.iter().map(stand_in).collect::<Result<_, _>>().map_err(io)?;
    let n = scenario.instances;
    let mut proxies = Vec::with_capacity(n);
    for i in 0..n {
        let link = |(s, server): (usize, &StandIn)| {
            Proxy::start(server.addr, scenario.seed ^ ((i as u64) << 16 | s as u64))
        };
        let row: Vec<Proxy> = servers.iter().enumerate().map(link).collect::<Result<_, _>>().map_err(io)?;
        proxies.push(row);
    }
    let (limits, sites, control) = match run {
        Run::Off => (None, None, None),
        Run::On => (scenario.limits_text()?, scenario.sites_text()?, scenario.control_text()?),
    };
    let links =
        scenario.control.as_ref().map(|_| Datagrams::start(n, scenario.seed)).transpose().map_err(io)?;
    let orders = Orders {
        program,
        siblings: n,
        seed: scenario.seed,
        classes: &scenario.classes,
        places: scenario.servers.len(),
        limits: limits.as_deref(),
        sites: sites.as_deref(),
        control: control.as_deref(),
        log: None,
        management: false,
        audit: false,
        links: links.as_ref(),
        probing: false,
    };
    let doors: Vec<Arc<Door>> = (0..n).map(|_| Arc::new(Door::default())).collect();
    let mut rig = Rig { scenario, orders, run, out, servers, proxies, instances: Vec::new(), doors };
    for i in 0..n {
        let folder = fleet::folder(out, run.name(), i);
        // The logs are of this play alone.
        let _ = std::fs::remove_file(folder.join("log"));
        rig.start(i)?;
    }
    for instance in &rig.instances {
        caller::ready(instance.addr, READY_WITHIN).map_err(io)?;
    }
    let profile = caller::Profile {
        classes: scenario.classes.clone(),
        wait_ms: scenario.wait_ms,
        repeats: scenario.repeats,
        await_ends: scenario.servers.iter().any(|s| s.hold_ms > 0),
        places: (0..scenario.servers.len() as u32).collect(),
        numbers: 0..=u64::MAX,
        seed: scenario.seed,
    };
    let offer = |(i, door): (usize, &Arc<Door>)| {
        let (scenario, profile, door) = (scenario.clone(), profile.clone(), door.clone());
        let patience = Duration::from_millis(u64::from(scenario.wait_ms) + 3000);
        std::thread::spawn(move || {
            let per_s = |second| scenario.per_s(i, second);
            caller::offer(door, &profile, per_s, scenario.seconds, (i as u64 + 1) << 32, patience)
        })
    };
    let offers: Vec<_> = rig.doors.iter().enumerate().map(offer).collect();
    let mut figures = Figures::default();
    let mut before = vec![[0u64; 5]; rig.servers.len()];
    let since = Instant::now();
    for second in 0..scenario.seconds {
        rig.strike(second)?;
        let end = Duration::from_secs(second as u64 + 1);
        std::thread::sleep(end.saturating_sub(since.elapsed()));
        for (s, server) in rig.servers.iter().enumerate() {
            let dials: u64 = rig.proxies.iter().map(|row| row[s].accepted()).sum();
            let [attempts, answered, sent_back, falls] = server.counted();
            let now = [attempts, answered, sent_back, falls, dials];
            let [attempts, answered, sent_back, falls, dials] =
                std::array::from_fn(|k| now[k] - before[s][k]);
            before[s] = now;
            let wait_ms = server.longest_wait_ms();
            figures.servers.push(ServerSecond {
                run,
                second,
                server: scenario.servers[s].id.clone(),
                site: scenario.servers[s].site.clone().unwrap_or_default(),
                attempts,
                answered,
                sent_back,
                wait_ms,
                pressed: sent_back > 0 || wait_ms > scenario.pressed_ms,
                falls,
                dials,
            });
        }
    }
    let of_all: Vec<_> = offers
        .into_iter()
        .map(std::thread::JoinHandle::join)
        .collect::<Result<_, _>>()
        .map_err(|_| "lab: a caller stopped")?;
    // What callers repeated after the end they count in the last second, so servers do as well.
    let last = figures.servers.len() - rig.servers.len();
    for ((seen, server), before) in figures.servers[last..].iter_mut().zip(&rig.servers).zip(&before) {
        let [attempts, answered, sent_back, _] = server.counted();
        seen.attempts += attempts - before[0];
        seen.answered += answered - before[1];
        seen.sent_back += sent_back - before[2];
    }
    for second in 0..scenario.seconds {
        for (k, class) in scenario.classes.iter().enumerate() {
            let mut tally = caller::Tally::default();
            of_all.iter().for_each(|seconds: &Vec<Vec<_>>| tally.add(&seconds[second][k]));
            let (class, worth) = (class.name.clone(), class.worth);
            figures.callers.push(CallerSecond { run, second, class, worth, tally });
        }
    }
    for (instance, seconds) in of_all.iter().enumerate() {
        let (mut tally, mut worth) = (caller::Tally::default(), tally::Worth::default());
        for (t, class) in seconds.iter().flat_map(|by_class| by_class.iter().zip(&scenario.classes)) {
            tally.add(t);
            worth.add(t, class.worth);
        }
        figures.instances.push(InstanceRun { run, instance, tally, worth });
    }
    Ok(figures)
}
