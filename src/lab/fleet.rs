//! Processes of the program in the lab: each with its own name, seed, folder and name service, and the
//! fleet's size told to each as its siblings.

use crate::lab::caller::Class;
use crate::lab::datagrams::Datagrams;
use crate::lab::names::{Listed, Names};
use crate::lab::tally::{AIM_MS, DEADLINE_MS, LATE_WORTH};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Callers heed advice to stay away up to this, ms.
const STAY_AWAY_MAX_MS: f64 = 2000.0;

/// What every instance of a run is told.
pub struct Orders<'a> {
    /// The program.
    pub program: &'a Path,
    /// Border controllers in the fleet.
    pub siblings: usize,
    /// Draws each instance's own seed.
    pub seed: u64,
    /// The classes of calls.
    pub classes: &'a [Class],
    /// Places of call servers.
    pub places: usize,
    /// The fleet limits' text, if they are on.
    pub limits: Option<&'a str>,
    /// The sites' text, if there is a plan.
    pub sites: Option<&'a str>,
    /// The control plane's text, if it is on.
    pub control: Option<&'a str>,
    /// The least weighty log lines kept; none: as the program does by itself.
    pub log: Option<&'a str>,
    /// It has an address for operators.
    pub management: bool,
    /// It keeps an audit record, in the folder `audit` of its own.
    pub audit: bool,
    /// The links between the instances, if messages are allowed; an instance's own address is told to them.
    pub links: Option<&'a Datagrams>,
    /// Probes are allowed, and reports come in their answers alone.
    pub probing: bool,
}

/// The settings every lab instance serves under: the scenario's classes, replies as reports, a 500 ms dial.
pub(super) fn settings(orders: &Orders, index: usize) -> Value {
    let services: Vec<Value> = orders
        .classes
        .iter()
        .map(|c| {
            json!({"name": c.name, "deadline_ms": DEADLINE_MS, "target_ms": AIM_MS, "worth": c.worth,
                "late_worth": LATE_WORTH})
        })
        .collect();
    let widths = vec![1; orders.classes.len()];
    let places: Vec<usize> = (0..orders.places).collect();
    let pools = vec![places; orders.classes.len()];
    json!({"siblings": orders.siblings, "index": index, "zones": ["aarhus"], "services": services,
        "report": {"columns": ["free", "size", "latency_ms", "can_take"], "how": if orders.probing { "probe" } else { "answers" }},
        "ceilings": {"attempts_cap": 6, "cancel": true, "dial_timeout_ms": 500.0, "retry_after": true,
            "max_retry_after_ms": STAY_AWAY_MAX_MS, "open_cap": 20000, "may_tell": orders.links.is_some(),
            "probing": orders.probing},
        "rules": {"cold_from": 0.37, "cold_ms": 14000.0, "fall_ms": 2000.0, "fall_multiple": 3.0},
        "specifics": {"guard_ms": 200.0, "t1_ms": 0.0, "class_width": widths, "pools_by_class": pools}})
}

/// One process of the program; it is killed when dropped.
pub struct Instance {
    child: Child,
    /// Its callers' address.
    pub addr: SocketAddr,
    /// Its operators' address, if it has one.
    pub management: Option<SocketAddr>,
    /// Where its peers' datagrams come in, if messages are allowed.
    pub peers: Option<SocketAddr>,
    /// Its folder.
    pub folder: PathBuf,
    /// Its name service.
    pub names: Names,
}

impl Instance {
    /// The process's number.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process has ended by itself.
    pub fn wait(&mut self) {
        let _ = self.child.wait();
    }

    /// Kills the process at once, as a crash would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts instance `index` as `orders` say, knowing `list`, in `folder` (its configuration, its `$TMPDIR`, its log).
///
/// # Errors
/// A file could not be written, the process could not start, or it ended before it listened.
pub fn start(orders: &Orders, folder: &Path, index: usize, list: Vec<Listed>) -> Result<Instance, String> {
    let io = |e: std::io::Error| format!("instance {index}: {e}");
    std::fs::create_dir_all(folder).map_err(io)?;
    let known: Vec<Value> = list
        .iter()
        .map(|s| {
            json!({"id": s.id, "addr": s.addr, "zone": s.zone, "kind": "std", "cell": s.place,
            "state": if s.draining { "Terminating" } else { "Ready" }, "weight": 4, "started_ms": s.started_ms})
        })
        .collect();
    let names = Names::start(list).map_err(io)?;
    let seed = orders.seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut config = json!({"name": format!("n{index}"), "listen": "127.0.0.1:0", "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "dns": names.addr,
        "settings": settings(orders, index),
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"version": 1, "full": true, "servers": known}}]}});
    if let Some(links) = orders.links {
        config["peer_listen"] = json!("127.0.0.1:0");
        config["peers"] = json!(links.peers_of(index));
        config["peers_all"] = json!(links.all_of(index));
    }
    std::fs::write(folder.join("config.json"), config.to_string()).map_err(io)?;
    let mut command = Command::new(orders.program);
    command.arg("serve").env("GW_CONFIG", folder.join("config.json")).env("TMPDIR", folder);
    for variable in [
        "GW_LISTEN",
        "GW_MANAGEMENT",
        "GW_NAME",
        "GW_FRONTS",
        "GW_LIMITS",
        "GW_SITES",
        "GW_FLEET",
        "GW_AUDIT",
    ] {
        command.env_remove(variable);
    }
    if let Some(level) = orders.log {
        command.args(["--log", level]);
    }
    if orders.management {
        command.env("GW_MANAGEMENT", "127.0.0.1:0");
    }
    let audit = orders.audit.then(|| format!("folder: {}\n", folder.join("audit").display()));
    for (variable, file, text) in [
        ("GW_LIMITS", "limits.yaml", orders.limits),
        ("GW_SITES", "sites.yaml", orders.sites),
        ("GW_FLEET", "control.yaml", orders.control),
        ("GW_AUDIT", "audit.yaml", audit.as_deref()),
    ] {
        if let Some(text) = text {
            std::fs::write(folder.join(file), text).map_err(io)?;
            command.env(variable, folder.join(file));
        }
    }
    let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().map_err(io)?;
    let Some(stderr) = child.stderr.take() else { return Err(format!("instance {index}: no log")) };
    let mut log = BufReader::new(stderr);
    // One that is started again goes on in the same log.
    let kept = std::fs::OpenOptions::new().create(true).append(true).open(folder.join("log"));
    let mut kept = kept.map_err(io)?;
    let mut line = String::new();
    let (mut management, mut peers) = (None, None);
    let addr = loop {
        line.clear();
        if log.read_line(&mut line).map_err(io)? == 0 {
            let _ = child.wait();
            return Err(format!("instance {index} ended before it listened (log in {})", folder.display()));
        }
        std::io::Write::write_all(&mut kept, line.as_bytes()).map_err(io)?;
        if let Some(at) = line.trim().strip_prefix_after("operators on ") {
            management = at.parse().ok();
        }
        if let Some(at) = line.trim().strip_prefix_after("peers on ") {
            peers = at.parse().ok();
        }
        if let Some(at) = line.trim().strip_prefix_after("listening on ") {
            break at.parse::<SocketAddr>().map_err(|e| format!("instance {index}: {line}: {e}"))?;
        }
    };
    // The log is read on, or the process would stand still once the pipe is full.
    std::thread::spawn(move || std::io::copy(&mut log, &mut kept));
    if let Some((links, at)) = orders.links.zip(peers) {
        links.listens(index, at);
    }
    Ok(Instance { child, addr, management, peers, folder: folder.to_owned(), names })
}

/// Where a folder for the instances of one run goes.
#[must_use]
pub fn folder(out: &Path, run: &str, index: usize) -> PathBuf {
    out.join("instances").join(format!("{run}-n{index}"))
}

trait After {
    fn strip_prefix_after(&self, marker: &str) -> Option<&str>;
}

impl After for str {
    /// What follows the last `marker` in the line.
    fn strip_prefix_after(&self, marker: &str) -> Option<&str> {
        self.rfind(marker).map(|at| &self[at + marker.len()..])
    }
}
