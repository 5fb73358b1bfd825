//! Processes of the program in the lab: each with its own name, seed, folder and name service, and the
//! fleet's size told to each as its siblings.

use crate::lab::names::{Listed, Names};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The settings every lab instance serves under: one class of calls, replies as reports, a 500 ms dial.
fn settings(siblings: usize, index: usize) -> Value {
    json!({"siblings": siblings, "index": index, "zones": ["aarhus"],
        "services": [{"name": "voice", "deadline_ms": 9000.0, "target_ms": 1500.0, "worth": 1.0, "late_worth": 0.2}],
        "report": {"columns": ["free", "size", "latency_ms", "can_take"], "how": "answers"},
        "ceilings": {"attempts_cap": 6, "cancel": true, "dial_timeout_ms": 500.0, "retry_after": true,
            "max_retry_after_ms": 2000.0, "open_cap": 20000},
        "rules": {"cold_from": 0.37, "cold_ms": 14000.0, "fall_ms": 2000.0, "fall_multiple": 3.0},
        "specifics": {"guard_ms": 200.0, "t1_ms": 0.0, "class_width": [1], "pools_by_class": [[0, 1]]}})
}

/// One process of the program; it is killed when dropped.
pub struct Instance {
    child: Child,
    /// Its callers' address.
    pub addr: SocketAddr,
    /// Its name service.
    pub names: Names,
}

impl Instance {
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

/// Starts instance `index` of `siblings` with the program at `program`, knowing `list`, in `folder` (its
/// configuration, its `$TMPDIR`, its log), with this fleet limits text if any.
///
/// # Errors
/// A file could not be written, the process could not start, or it ended before it listened.
pub fn start(
    program: &Path,
    folder: &Path,
    (index, siblings): (usize, usize),
    seed: u64,
    list: Vec<Listed>,
    limits: Option<&str>,
) -> Result<Instance, String> {
    let io = |e: std::io::Error| format!("instance {index}: {e}");
    std::fs::create_dir_all(folder).map_err(io)?;
    let known: Vec<Value> = list
        .iter()
        .map(|s| {
            json!({"id": s.id, "addr": s.addr, "zone": "aarhus", "kind": "std", "cell": s.place,
            "state": "Ready", "weight": 4, "started_ms": s.started_ms})
        })
        .collect();
    let names = Names::start(list).map_err(io)?;
    let seed = seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let config = json!({"name": format!("n{index}"), "listen": "127.0.0.1:0", "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "dns": names.addr,
        "settings": settings(siblings, index),
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"version": 1, "full": true, "servers": known}}]}});
    std::fs::write(folder.join("config.json"), config.to_string()).map_err(io)?;
    let mut command = Command::new(program);
    command.arg("serve").env("GW_CONFIG", folder.join("config.json")).env("TMPDIR", folder);
    for variable in ["GW_LISTEN", "GW_MANAGEMENT", "GW_NAME", "GW_FRONTS", "GW_LIMITS"] {
        command.env_remove(variable);
    }
    if let Some(text) = limits {
        std::fs::write(folder.join("limits.yaml"), text).map_err(io)?;
        command.env("GW_LIMITS", folder.join("limits.yaml"));
    }
    let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().map_err(io)?;
    let Some(stderr) = child.stderr.take() else { return Err(format!("instance {index}: no log")) };
    let mut log = BufReader::new(stderr);
    let mut kept = std::fs::File::create(folder.join("log")).map_err(io)?;
    let mut line = String::new();
    let addr = loop {
        line.clear();
        if log.read_line(&mut line).map_err(io)? == 0 {
            let _ = child.wait();
            return Err(format!("instance {index} ended before it listened (log in {})", folder.display()));
        }
        std::io::Write::write_all(&mut kept, line.as_bytes()).map_err(io)?;
        if let Some(at) = line.trim().strip_prefix_after("listening on ") {
            break at.parse::<SocketAddr>().map_err(|e| format!("instance {index}: {line}: {e}"))?;
        }
    };
    // The log is read on, or the process would stand still once the pipe is full.
    std::thread::spawn(move || std::io::copy(&mut log, &mut kept));
    Ok(Instance { child, addr, names })
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
