//! Several processes of the real program in front of the same call servers, each with its own name,
//! seed and folder, and the fleet's size told to each as its siblings.

use crate::rig::{self, Caller, Listed, Names};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Stdio};

pub struct Instance {
    child: Child,
    pub addr: SocketAddr,
    folder: std::path::PathBuf,
}

impl Instance {
    /// A caller once tests pass.
    pub fn ready_caller(&self) -> Caller {
        Caller::ready_at(self.addr)
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
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The fleet, and a name service for each instance: each may dial its call servers at addresses of its own.
pub struct Fleet {
    pub instances: Vec<Instance>,
    pub names: Vec<Names>,
    lists: Vec<Vec<Listed>>,
}

impl Fleet {
    /// Every instance's name service tells that call server `id` was started again at `started_ms`, from its next
    /// query on; it returns at once.
    pub fn restarted(&self, id: &str, started_ms: u64) {
        for (names, list) in self.names.iter().zip(&self.lists) {
            let mut list = list.clone();
            list.iter_mut().filter(|s| s.id == id).for_each(|s| s.started_ms = started_ms);
            let mut state = names.state.lock().unwrap();
            (state.serial, state.list, state.told) = (state.serial + 1, list, 0);
        }
    }
}

/// Starts `n` instances that know these call servers (id and the address they dial); with `limits`, each reads
/// that YAML as its fleet limits.
pub fn start(n: usize, servers: &[(&'static str, SocketAddr)], limits: Option<&str>) -> Fleet {
    start_each(n, |_| servers.to_vec(), limits)
}

/// The same, with the call servers' addresses for each instance by its index: a fault proxy may stand on the
/// way of some instances alone.
pub fn start_each(
    n: usize,
    servers: impl Fn(usize) -> Vec<(&'static str, SocketAddr)>,
    limits: Option<&str>,
) -> Fleet {
    let (instances, names) = (0..n).map(|i| instance(i, n, &servers(i), limits)).unzip();
    let lists = (0..n).map(|i| listing(&servers(i))).collect();
    Fleet { instances, names, lists }
}

fn listing(servers: &[(&'static str, SocketAddr)]) -> Vec<Listed> {
    let listed = |(i, &(id, addr)): (usize, &(&'static str, SocketAddr))| Listed {
        id,
        addr,
        place: i as u32,
        draining: false,
        started_ms: 0,
    };
    servers.iter().enumerate().map(listed).collect()
}

fn instance(
    i: usize,
    n: usize,
    servers: &[(&'static str, SocketAddr)],
    limits: Option<&str>,
) -> (Instance, Names) {
    let names = Names::start();
    let list = listing(servers);
    names.state.lock().unwrap().list = list.clone();
    let known: Vec<Value> = list
        .iter()
        .map(|s| {
            json!({"id": s.id, "addr": s.addr, "zone": "aarhus", "kind": "std", "cell": s.place,
            "state": "Ready", "weight": 4, "started_ms": 0})
        })
        .collect();
    {
        {
            let mut settings = rig::settings();
            (settings["siblings"], settings["index"]) = (json!(n), json!(i));
            let config = json!({"name": format!("n{i}"), "listen": "127.0.0.1:0",
                "seed": format!("{:016x}", 0x8c1f_30d2_7a5b_e964u64 ^ (i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "dns": names.addr, "settings": settings,
                "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"version": 1, "full": true, "servers": known}}]}});
            let folder = std::env::temp_dir().join(format!(
                "corkreach-lab-{}-{}-{i}",
                std::process::id(),
                names.addr.port()
            ));
            std::fs::create_dir_all(&folder).unwrap();
            std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
            let mut command = rig::run(&["serve"]);
            command.env("GW_CONFIG", folder.join("config.json")).env("TMPDIR", &folder);
            if let Some(text) = limits {
                std::fs::write(folder.join("limits.yaml"), text).unwrap();
                command.env("GW_LIMITS", folder.join("limits.yaml"));
            }
            let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
            let mut log = BufReader::new(child.stderr.take().unwrap());
            let mut line = String::new();
            while !line.contains("listening on ") {
                line.clear();
                assert!(log.read_line(&mut line).unwrap() > 0, "an instance ended before it listened");
            }
            let addr = line.trim().rsplit(' ').next().unwrap().parse().unwrap();
            // The log is read on, or the process would stand still once the pipe is full; it is kept in the
            // folder that CORKREACH_LAB_LOG names, for a look at a failure.
            let keep = std::env::var_os("CORKREACH_LAB_LOG")
                .map(|dir| std::path::PathBuf::from(dir).join(format!("n{i}-{}.log", names.addr.port())));
            std::thread::spawn(move || match keep {
                Some(path) => {
                    std::fs::File::create(path).and_then(|mut file| std::io::copy(&mut log, &mut file))
                }
                None => std::io::copy(&mut log, &mut std::io::sink()),
            });
            (Instance { child, addr, folder }, names)
        }
    }
}
