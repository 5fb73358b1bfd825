//! A node of the trial: the real program as a process, or a stand-in that breaks a rule.

use crate::caller::{Callers, Door};
use crate::message::{CAUSE, Message, TEST, TESTED, decode};
use crate::name_service::NameService;
use crate::record::{HandOver, Process};
use crate::stand_in::{Flaw, StandIn};
use crate::world::{Shared, pause};
use bytes::BytesMut;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// Processes are looked at so often, ms.
const LOOK_MS: f64 = 25.0;
/// New connections keep coming for so long after SIGTERM, ms.
const FRONT_NOTICES_MS: (f64, f64) = (200.0, 400.0);
/// SIGKILL comes so long after the longest deadline, counted as `DEADLINE_COUNTED_MS` at most, ms.
const KILL_AFTER_MS: f64 = 700.0;
const DEADLINE_COUNTED_MS: f64 = 3000.0;

/// In a hand-over the old process has so long in place of `DEADLINE_COUNTED_MS`, ms, and the new one starts so long before
/// the old one is told to stop, ms.
const HAND_OVER_DEADLINE_MS: f64 = 5000.0;
const HAND_OVER_START_MS: f64 = 3500.0;

/// A process that was just spawned may still show the descriptors of the rig, which its start closes, ms.
const SPAWNED_MS: f64 = 100.0;

/// The part of stops that come with further signals.
const SERIES: f64 = 0.3;

/// What plays the nodes of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Played {
    Program,
    StandIn(Flaw),
}

pub struct Node {
    world: Shared,
    pub index: usize,
    played: Played,
    address: SocketAddr,
    folder: PathBuf,
    settings: Value,
    sockets: usize,
    longest_deadline_ms: f64,
    pub names: Rc<NameService>,
    pub callers: Rc<Callers>,
    child: RefCell<Option<Child>>,
    stand_in: RefCell<Option<StandIn>>,
    /// The place of its process in the record.
    process: Cell<usize>,
    /// It is being stopped or started.
    changing: Cell<bool>,
}

/// What a node needs to know of its deployment.
pub struct NodePlan {
    pub settings: Value,
    pub sockets: usize,
    pub longest_deadline_ms: f64,
    pub played: Played,
}

impl Node {
    pub fn new(
        world: &Shared,
        index: usize,
        plan: &NodePlan,
        callers: impl FnOnce(SocketAddr) -> Rc<Callers>,
        folder: &Path,
    ) -> Rc<Node> {
        let address = std::net::TcpListener::bind(world.address()).unwrap().local_addr().unwrap();
        let folder = folder.join(format!("node-{index}"));
        std::fs::create_dir_all(folder.join("tmp")).unwrap();
        let mut settings = plan.settings.clone();
        settings["index"] = json!(index);
        Rc::new(Node {
            world: world.clone(),
            index,
            played: plan.played,
            address,
            folder,
            settings,
            sockets: plan.sockets,
            longest_deadline_ms: plan.longest_deadline_ms,
            names: NameService::start(world, index),
            callers: callers(address),
            child: RefCell::default(),
            stand_in: RefCell::default(),
            process: Cell::new(0),
            changing: Cell::new(false),
        })
    }

    fn config(&self) -> Value {
        let servers: Vec<Value> = self.world.list.borrow().iter().map(|s| {
            let state = if s.draining { "Terminating" } else { "Ready" };
            json!({"id": s.id, "addr": s.addresses[self.index], "zone": "aarhus", "kind": "std", "cell": s.place,
                "state": state, "weight": 4, "started_ms": s.started_ms})
        }).collect();
        json!({"name": format!("n{}", self.index), "listen": self.address, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets}, "dns": self.names.address(),
            "settings": self.settings,
            "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"version": 1, "full": true, "servers": servers}}]}})
    }

    fn write_config(&self, text: &str) {
        let new = self.folder.join("new.json");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, self.folder.join("config.json")).unwrap();
    }

    /// Starts a process, and lets callers come once it is ready.
    pub async fn start(self: &Rc<Self>) {
        self.names.node_starts();
        self.write_config(&self.config().to_string());
        let process = self.note_process();
        self.process.set(process);
        match self.played {
            Played::Program => *self.child.borrow_mut() = Some(self.spawn()),
            Played::StandIn(flaw) => {
                let stand_in =
                    StandIn::start(&self.world, flaw, self.index, self.address, &self.settings, &self.names);
                *self.stand_in.borrow_mut() = Some(stand_in);
            }
        }
        while !self.passes_test().await {
            pause(LOOK_MS).await;
            if self.has_ended() {
                return;
            }
        }
        self.with_process(process, |p, now| p.ready_at = Some(now));
        self.callers.door.set(Door::Open);
    }

    /// A new process in the record.
    fn note_process(&self) -> usize {
        let mut record = self.world.record.borrow_mut();
        record.processes.push(Process {
            node: self.index,
            started_at: self.world.now(),
            ready_at: None,
            stopped_at: None,
            killed_at: None,
            ended: None,
            most_descriptors: 0,
            most_memory_mb: 0.0,
        });
        record.processes.len() - 1
    }

    fn spawn(&self) -> Child {
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log")).unwrap();
        let program = std::env::var_os("CORKREACH_SOAK_PROGRAM");
        Command::new(program.unwrap_or_else(|| env!("CARGO_BIN_EXE_corkreach").into()))
            .args(["serve", "--log", &std::env::var("CORKREACH_SOAK_LOG").unwrap_or("info".to_owned())])
            .env_clear()
            .env("GW_CONFIG", self.folder.join("config.json"))
            .env("GW_NAME", format!("n{}", self.index))
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap()
    }

    fn with_process(&self, process: usize, edit: impl FnOnce(&mut Process, f64)) {
        let now = self.world.now();
        edit(&mut self.world.record.borrow_mut().processes[process], now);
    }

    async fn passes_test(&self) -> bool {
        let asked = async {
            let mut stream = TcpStream::connect(self.address).await.ok()?;
            stream.write_all(&Message::new(TEST, 0, &[(CAUSE, &[0])]).bytes()).await.ok()?;
            let mut bytes = BytesMut::new();
            loop {
                while let Some(message) = decode(&mut bytes).ok()? {
                    if message.kind == TESTED {
                        return message.cause();
                    }
                }
                if stream.read_buf(&mut bytes).await.ok()? == 0 {
                    return None;
                }
            }
        };
        tokio::select! {
            answer = asked => answer == Some(1),
            () = pause(1000.0) => false,
        }
    }

    fn has_ended(&self) -> bool {
        self.world.record.borrow().processes[self.process.get()].ended.is_some()
    }

    /// Notes what a process uses, and its end.
    pub async fn watch(self: Rc<Self>) {
        loop {
            pause(LOOK_MS).await;
            let Some((pid, ended)) =
                self.child.borrow_mut().as_mut().map(|c| (c.id(), c.try_wait().unwrap()))
            else {
                continue;
            };
            let process = self.process.get();
            if let Some(status) = ended {
                self.child.borrow_mut().take();
                self.callers.door.set(Door::Shut);
                self.with_process(process, |p, now| p.ended = Some((now, status.to_string())));
                continue;
            }
            if self.world.now() - self.world.record.borrow().processes[process].started_at < SPAWNED_MS {
                continue;
            }
            let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
            let memory_mb = resident_mb(pid);
            self.with_process(process, |p, _| {
                p.most_descriptors = p.most_descriptors.max(descriptors);
                p.most_memory_mb = p.most_memory_mb.max(memory_mb);
            });
        }
    }

    fn signal(&self, name: &str) {
        let pid = self.child.borrow().as_ref().map(Child::id);
        if let Some(pid) = pid {
            signal(pid, name);
        }
    }

    /// A planned restart: SIGTERM, SIGKILL as early as it may come, and a new process after a while.
    pub async fn stop(self: Rc<Self>, restart_after_ms: f64) {
        if self.changing.replace(true) || self.child.borrow().is_none() {
            return;
        }
        let process = self.process.get();
        self.with_process(process, |p, now| p.stopped_at = Some(now));
        self.signal("-TERM");
        let node = self.clone();
        let notices_ms = self.world.between(FRONT_NOTICES_MS.0, FRONT_NOTICES_MS.1);
        spawn_local(async move {
            pause(notices_ms).await;
            if node.callers.door.get() == Door::Open && node.process.get() == process {
                node.callers.door.set(Door::Closing);
            }
        });
        if self.world.chance(SERIES) {
            spawn_local(self.clone().signal_again(process));
        }
        let stopped_at = self.world.now();
        let kill_at = stopped_at + self.longest_deadline_ms.min(DEADLINE_COUNTED_MS) + KILL_AFTER_MS;
        while self.child.borrow().is_some() && self.world.now() < kill_at {
            pause(LOOK_MS / 5.0).await;
        }
        self.finish(process, restart_after_ms).await;
    }

    /// Signals come in series: the same once more, or another.
    async fn signal_again(self: Rc<Self>, process: usize) {
        for name in ["-TERM", "-HUP"] {
            pause(self.world.between(1.0, 600.0)).await;
            if self.process.get() == process && self.world.chance(0.6) {
                self.signal(name);
            }
        }
    }

    /// Kills the process outright, and starts another after a while.
    pub async fn kill(self: Rc<Self>, restart_after_ms: f64) {
        if self.changing.replace(true) || self.child.borrow().is_none() {
            return;
        }
        self.finish(self.process.get(), restart_after_ms).await;
    }

    /// A new version takes over: another process starts beside the one that runs, which is told to stop once the new one
    /// serves, and is killed as early as it may be. Callers go on meanwhile, also on the connections that are open.
    pub async fn hand_over(self: Rc<Self>) {
        let Some(mut old) = (!self.changing.replace(true)).then(|| self.child.take()).flatten() else {
            return;
        };
        let (old_process, from) = (self.process.get(), self.world.now());
        self.write_config(&self.config().to_string());
        let process = self.note_process();
        self.process.set(process);
        *self.child.borrow_mut() = Some(self.spawn());
        pause(HAND_OVER_START_MS).await;
        self.with_process(process, |p, now| p.ready_at = Some(now));
        self.with_process(old_process, |p, now| p.stopped_at = Some(now));
        signal(old.id(), "-TERM");
        let kill_at = self.world.now() + self.longest_deadline_ms.min(HAND_OVER_DEADLINE_MS) + KILL_AFTER_MS;
        let status = loop {
            if let Some(status) = old.try_wait().unwrap() {
                break status;
            }
            let killed = self.world.record.borrow().processes[old_process].killed_at.is_some();
            if self.world.now() >= kill_at && !killed {
                self.with_process(old_process, |p, now| p.killed_at = Some(now));
                signal(old.id(), "-KILL");
            }
            pause(LOOK_MS / 5.0).await;
        };
        self.with_process(old_process, |p, now| p.ended = Some((now, status.to_string())));
        let to = self.world.now();
        self.world.record.borrow_mut().hand_overs.push(HandOver { node: self.index, from, to });
        self.changing.set(false);
    }

    async fn finish(self: &Rc<Self>, process: usize, restart_after_ms: f64) {
        if self.child.borrow().is_some() {
            self.with_process(process, |p, now| p.killed_at = Some(now));
            self.signal("-KILL");
        }
        while self.child.borrow().is_some() {
            pause(LOOK_MS / 5.0).await;
        }
        self.callers.door.set(Door::Shut);
        pause(restart_after_ms).await;
        self.start().await;
        self.changing.set(false);
    }

    /// New configurations in quick succession: the name service moves with each, and some files can't be read.
    pub async fn reload(self: Rc<Self>, times: usize, gap_ms: f64) {
        for i in 0..times {
            if self.changing.get() {
                return;
            }
            if i % 2 == 1 {
                self.write_config(&self.config().to_string()[..200]);
                self.signal("-HUP");
                pause(gap_ms).await;
            }
            self.names.move_away();
            self.write_config(&self.config().to_string());
            self.signal("-HUP");
            pause(gap_ms).await;
        }
    }

    /// Ends the process at the end of the trial.
    pub fn end(&self) {
        self.stand_in.borrow_mut().take();
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill").args([name, &pid.to_string()]).status();
}

fn resident_mb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or_default() / 1024.0
}
