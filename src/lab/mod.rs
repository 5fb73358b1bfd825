//! The fleet lab: the project's own emulator of the platform for many processes at once. It starts the
//! instances of a [`Scenario`] as real processes of the program, stand-in call servers that report load and fill
//! up, a fault proxy on every link from an instance to a server, and a scripted caller at every instance; it
//! plays the scenario's faults on their seconds and counts, each second, what each server saw and what the
//! callers heard. Each run of the scenario (fleet limits off, then on) starts afresh, so the two are compared
//! in one sitting. No decision is made here: the lab only drives and counts.
//!
//! The figures go to [`results`] as tables (CSV, JSON) and a chart (SVG).

pub mod caller;
pub mod fleet;
pub mod names;
pub mod proxy;
pub mod results;
pub mod scenario;
pub mod standin;

use proxy::{Fault, Proxy};
pub use scenario::{Run, Scenario};
use standin::StandIn;
use std::path::Path;
use std::time::{Duration, Instant};

/// What one server saw in one second of a run.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ServerSecond {
    /// `off` or `on`.
    pub run: Run,
    /// Second of the run.
    pub second: usize,
    /// The server's id.
    pub server: String,
    /// Set-ups that reached it.
    pub attempts: u64,
    /// Connections dialled to it through the proxies, by the whole fleet.
    pub dials: u64,
}

/// What the callers of the fleet heard of the set-ups offered in one second of a run.
#[derive(Clone, Debug, serde::Serialize)]
pub struct CallerSecond {
    /// `off` or `on`.
    pub run: Run,
    /// Second of the run.
    pub second: usize,
    /// The callers' tally, summed over the instances that were not crashed.
    pub tally: caller::Tally,
    /// Set-ups offered at crashed instances that got no final answer: the crash's own loss.
    pub lost_at_crashes: u64,
}

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// By second and server.
    pub servers: Vec<ServerSecond>,
    /// By second.
    pub callers: Vec<CallerSecond>,
}

/// Plays the scenario once for each of its runs with the program at `program`; each instance's folder and log
/// is kept under `out/instances`.
///
/// # Errors
/// A stand-in, proxy or instance could not start, or an instance was not ready within 15 s.
pub fn play(scenario: &Scenario, program: &Path, out: &Path) -> Result<Figures, String> {
    let mut all = Figures::default();
    for &run in &scenario.runs {
        let figures = play_once(scenario, run, program, out)?;
        all.servers.extend(figures.servers);
        all.callers.extend(figures.callers);
    }
    Ok(all)
}

fn play_once(scenario: &Scenario, run: Run, program: &Path, out: &Path) -> Result<Figures, String> {
    let io = |e: std::io::Error| format!("lab: {e}");
    let servers: Vec<StandIn> = scenario
        .servers
        .iter()
        .map(|s| StandIn::start_with(s.mode.into(), s.capacity_per_s))
        .collect::<Result<_, _>>()
        .map_err(io)?;
    let n = scenario.instances;
    // proxies[i][s]: the link from instance i to server s.
    let mut proxies = Vec::with_capacity(n);
    for i in 0..n {
        let row: Vec<Proxy> = servers
            .iter()
            .enumerate()
            .map(|(s, server)| Proxy::start(server.addr, scenario.seed ^ ((i as u64) << 16 | s as u64)))
            .collect::<Result<_, _>>()
            .map_err(io)?;
        proxies.push(row);
    }
    let limits = match run {
        Run::Off => None,
        Run::On => Some(scenario.limits_text()?),
    };
    let name = match run {
        Run::Off => "off",
        Run::On => "on",
    };
    let mut instances = Vec::with_capacity(n);
    for (i, row) in proxies.iter().enumerate() {
        let list = scenario
            .servers
            .iter()
            .zip(row)
            .enumerate()
            .map(|(place, (s, proxy))| names::Listed {
                id: s.id.clone(),
                addr: proxy.addr,
                place: place as u32,
                started_ms: 0,
            })
            .collect();
        let folder = fleet::folder(out, name, i);
        instances.push(fleet::start(program, &folder, (i, n), scenario.seed, list, limits.as_deref())?);
    }
    let streams: Vec<_> = instances
        .iter()
        .map(|instance| caller::ready(instance.addr, Duration::from_secs(15)))
        .collect::<Result<_, _>>()
        .map_err(io)?;
    let offers: Vec<_> = streams
        .into_iter()
        .enumerate()
        .map(|(i, stream)| {
            let (load, seconds, wait_ms) = (scenario.clone(), scenario.seconds, scenario.wait_ms);
            let patience = Duration::from_millis(u64::from(wait_ms) + 3000);
            std::thread::spawn(move || {
                caller::offer(stream, |t| load.per_s(t), seconds, wait_ms, (i as u64 + 1) << 32, patience)
            })
        })
        .collect();
    let mut figures = Figures::default();
    let mut crashed = vec![false; n];
    let index = |id: &String| scenario.servers.iter().position(|s| &s.id == id);
    let (mut attempts, mut dials) = (vec![0u64; servers.len()], vec![0u64; servers.len()]);
    let since = Instant::now();
    for second in 0..scenario.seconds {
        for event in scenario.faults.iter().filter(|e| e.at_s == second) {
            if let Some(i) = event.crash {
                instances[i].kill();
                crashed[i] = true;
            }
            let Some(s) = event.server.as_ref().and_then(index) else { continue };
            if let Some(mode) = event.mode {
                servers[s].set_mode(mode.into());
            }
            let touched: Vec<usize> = event.instances.clone().unwrap_or_else(|| (0..n).collect());
            for &i in &touched {
                match (event.fault, event.delay_ms) {
                    (Some(Fault::Delay), most) => proxies[i][s].set_delay(most.unwrap_or(100)),
                    (Some(fault), _) => proxies[i][s].set(fault),
                    (None, _) => {}
                }
                if event.restarted {
                    instances[i].names.restarted(&scenario.servers[s].id, since.elapsed().as_millis() as u64);
                }
            }
        }
        let end = Duration::from_secs(second as u64 + 1);
        std::thread::sleep(end.saturating_sub(since.elapsed()));
        for (s, server) in servers.iter().enumerate() {
            let seen = server.set_ups();
            let dialled: u64 = proxies.iter().map(|row| row[s].accepted()).sum();
            figures.servers.push(ServerSecond {
                run,
                second,
                server: scenario.servers[s].id.clone(),
                attempts: seen - attempts[s],
                dials: dialled - dials[s],
            });
            (attempts[s], dials[s]) = (seen, dialled);
        }
    }
    figures.callers = (0..scenario.seconds)
        .map(|second| CallerSecond { run, second, tally: caller::Tally::default(), lost_at_crashes: 0 })
        .collect();
    for (i, offer) in offers.into_iter().enumerate() {
        let tallies = offer.join().map_err(|_| "lab: a caller stopped".to_owned())?.map_err(io)?;
        for (row, tally) in figures.callers.iter_mut().zip(&tallies) {
            if crashed[i] {
                row.lost_at_crashes += tally.lost;
                add(&mut row.tally, &caller::Tally { lost: 0, ..*tally });
            } else {
                add(&mut row.tally, tally);
            }
        }
    }
    Ok(figures)
}

fn add(to: &mut caller::Tally, from: &caller::Tally) {
    to.offered += from.offered;
    to.answered += from.answered;
    to.refused += from.refused;
    to.failed += from.failed;
    to.doubled += from.doubled;
    to.lost += from.lost;
}
