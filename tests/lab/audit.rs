//! The audit of a fleet and the audit record: several processes of the program with operators' addresses, a fault proxy
//! between them and whoever asks, stragglers, crashes and half-written files. The program's own sub-command asks.

use crate::rig;
use corkreach::audit::{Decision, Entry, read_folder};
use corkreach::lab::caller::Class;
use corkreach::lab::fleet::{Instance, Orders, start};
use corkreach::lab::names::Listed;
use corkreach::lab::proxy::{Fault, Proxy};
use corkreach::lab::standin::{Mode, StandIn};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_corkreach");

struct Fleet {
    instances: Vec<Instance>,
    folder: tempfile::TempDir,
    _server: StandIn,
}

fn list(addr: SocketAddr) -> Vec<Listed> {
    vec![Listed { id: "s-a".into(), addr, place: 0, started_ms: 0, zone: "aarhus".into(), draining: false }]
}

/// Instances in front of one call server, all on one version.
fn fleet(n: usize, mode: Mode) -> Fleet {
    let (folder, server) = (tempfile::tempdir().unwrap(), StandIn::start(mode).unwrap());
    let classes = [Class { name: "voice".into(), worth: 1.0, part: 1.0 }];
    let orders = Orders {
        program: Path::new(PROGRAM),
        siblings: n,
        seed: 5,
        classes: &classes,
        places: 1,
        limits: None,
        sites: None,
        control: None,
        log: None,
        management: true,
        audit: true,
        links: None,
        probing: false,
    };
    let instance =
        |i: usize| start(&orders, &folder.path().join(format!("n{i}")), i, list(server.addr)).unwrap();
    let instances = (0..n).map(instance).collect();
    Fleet { instances, folder, _server: server }
}

impl Fleet {
    fn config(&self, i: usize) -> PathBuf {
        self.instances[i].folder.join("config.json")
    }

    /// Writes another configuration for an instance: the caps on open calls differ.
    fn write_config(&self, i: usize, open_cap: u64) -> String {
        let mut config: Value = serde_json::from_slice(&std::fs::read(self.config(i)).unwrap()).unwrap();
        config["settings"]["ceilings"]["open_cap"] = open_cap.into();
        std::fs::write(self.config(i), config.to_string()).unwrap();
        config.to_string()
    }

    /// The same for all of them; returns the text of one, which is as good as any other's.
    fn write_all(&self, open_cap: u64) -> String {
        let mut texts: Vec<String> =
            (0..self.instances.len()).map(|i| self.write_config(i, open_cap)).collect();
        texts.pop().unwrap()
    }

    fn at(&self, i: usize) -> SocketAddr {
        self.instances[i].management.unwrap()
    }

    /// Audits these addresses with the program's sub-command.
    fn audit(&self, addresses: &[SocketAddr], rules: &str, arguments: &[&str]) -> Outcome {
        let peers: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        let file = self.folder.path().join("fleet.yaml");
        std::fs::write(&file, format!("peers: {peers:?}\n{rules}")).unwrap();
        let since = Instant::now();
        let output = Command::new(PROGRAM)
            .args(["fleet", "audit", "--json", "--peers"])
            .arg(&file)
            .args(arguments)
            .output()
            .unwrap();
        let report = serde_json::from_slice(&output.stdout).unwrap_or_else(|e| {
            panic!(
                "{e}: {}{}",
                String::from_utf8_lossy(&output.stdout),
                String::from_utf8_lossy(&output.stderr)
            )
        });
        Outcome { report, clean: output.status.success(), took: since.elapsed() }
    }

    fn all(&self) -> Vec<SocketAddr> {
        (0..self.instances.len()).map(|i| self.at(i)).collect()
    }
}

struct Outcome {
    report: Value,
    clean: bool,
    took: Duration,
}

impl Outcome {
    fn row(&self, at: SocketAddr) -> &Value {
        let rows = self.report["rows"].as_array().unwrap();
        rows.iter().find(|r| r["peer"] == at.to_string()).unwrap()
    }

    fn state(&self, at: SocketAddr) -> &str {
        self.row(at)["state"].as_str().unwrap()
    }
}

/// One on an old configuration, one crashed, one behind a link that drops everything, one behind a slow link: each is
/// named for what it is, and none holds the audit up.
#[test]
fn the_audit_names_every_straggler_and_every_unreachable_instance() {
    let mut fleet = fleet(6, Mode::Answer);
    // n1 reads another configuration than all the others.
    fleet.write_config(1, 777);
    let reload = rig_post(fleet.at(1), "/control/reload");
    assert!(reload.starts_with("HTTP/1.1 200"), "{reload}");
    fleet.instances[2].kill();
    let links: Vec<Proxy> = [3, 4].map(|i| Proxy::start(fleet.at(i), 7).unwrap()).into();
    links[0].set(Fault::Blackhole);
    links[1].set_delay(150);
    let asked = [fleet.at(0), fleet.at(1), fleet.at(2), links[0].addr, links[1].addr, fleet.at(5)];
    let outcome = fleet.audit(&asked, "timeout_ms: 700\nretries: 1\n", &[]);
    let states: Vec<&str> = asked.iter().map(|&at| outcome.state(at)).collect();
    assert_eq!(states, ["current", "straggler", "unreachable", "unreachable", "current", "current"]);
    assert_eq!(outcome.row(fleet.at(1))["differs"], serde_json::json!(["settings"]));
    assert!(!outcome.clean, "the exit code says so too");
    // Two questions of 700 ms and a gap of 200, and the others beside them.
    assert!(outcome.took < Duration::from_secs(6), "{:?}", outcome.took);
}

/// In every seeded run of ten instances each is named for what it is: on the common version, on another, crashed, or
/// behind a link that drops everything, that resets, or that is slow.
#[test]
fn in_every_seeded_run_each_instance_is_named_for_what_it_is() {
    for seed in [1, 2, 3] {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = fleet(10, Mode::Answer);
        let mut expected = vec!["current"; 10];
        let mut asked = fleet.all();
        let mut links = Vec::new();
        let odd = rng.choose_multiple(0..10usize, 4);
        for i in odd {
            let fault = rng.u8(0..5);
            match fault {
                0 => {
                    fleet.write_config(i, 700);
                    rig_post(fleet.at(i), "/control/reload");
                    expected[i] = "straggler";
                }
                1 => {
                    fleet.instances[i].kill();
                    expected[i] = "unreachable";
                }
                _ => {
                    let link = Proxy::start(fleet.at(i), seed).unwrap();
                    match fault {
                        2 => link.set(Fault::Blackhole),
                        3 => link.set(Fault::Reset),
                        _ => link.set_delay(200),
                    }
                    expected[i] = if fault == 4 { "current" } else { "unreachable" };
                    asked[i] = link.addr;
                    links.push(link);
                }
            }
        }
        let outcome = fleet.audit(&asked, "timeout_ms: 900\nretries: 1\n", &[]);
        let states: Vec<&str> = asked.iter().map(|&at| outcome.state(at)).collect();
        assert_eq!(states, expected, "seed {seed}");
    }
}

/// Seven of eight are on an old configuration: all are brought up, no more than a quarter reloading at once, and calls
/// go on meanwhile.
#[test]
fn bring_up_converges_the_fleet_with_no_more_than_the_share_at_once() {
    let fleet = fleet(8, Mode::Answer);
    let new = fleet.write_all(999);
    let wanted = fleet.folder.path().join("new.json");
    std::fs::write(&wanted, new).unwrap();
    rig_post(fleet.at(0), "/control/reload");
    let wanted = wanted.to_str().unwrap();
    let before = fleet.audit(&fleet.all(), "", &["--desired-config", wanted]);
    assert_eq!(fleet.all().iter().filter(|&&at| before.state(at) == "straggler").count(), 7);
    let outcome = fleet.audit(&fleet.all(), "share: 0.25\n", &["--bring-up", "--desired-config", wanted]);
    assert!(outcome.clean, "{}", outcome.report);
    assert_eq!(fleet.all().iter().filter(|&&at| outcome.state(at) == "brought_up").count(), 7);
    let most = outcome.report["most_reloading"].as_u64().unwrap();
    assert!((1..=2).contains(&most), "{most} were reloading at once");
    assert!(fleet.audit(&fleet.all(), "", &[]).clean);
    let mut caller = rig::Caller::ready_at(fleet.instances[3].addr);
    caller.set_up(9, 0, 2000);
    caller.expect(9, 9, None);
}

/// An instance whose new configuration is cut short on disk keeps its old version and is reported so, with the reason.
#[test]
fn a_reload_that_fails_halfway_keeps_the_old_version_and_is_reported() {
    let fleet = fleet(5, Mode::Answer);
    let new = fleet.write_all(555);
    let wanted = fleet.folder.path().join("new.json");
    std::fs::write(&wanted, &new).unwrap();
    let half = std::fs::read(fleet.config(2)).unwrap();
    std::fs::write(fleet.config(2), &half[..half.len() / 2]).unwrap();
    let wanted = wanted.to_str().unwrap();
    let old = fleet.audit(&fleet.all(), "", &[]).row(fleet.at(2))["status"]["version"].clone();
    let outcome = fleet.audit(&fleet.all(), "", &["--bring-up", "--desired-config", wanted]);
    for i in [0, 1, 3, 4] {
        assert_eq!(outcome.state(fleet.at(i)), "brought_up", "n{i}");
    }
    assert_eq!(outcome.state(fleet.at(2)), "stuck");
    assert!(outcome.row(fleet.at(2))["why"].as_str().unwrap().contains("EOF"), "{}", outcome.report);
    assert_eq!(outcome.row(fleet.at(2))["status"]["version"], old);
    assert!(!outcome.clean);
    // It serves on.
    let mut caller = rig::Caller::ready_at(fleet.instances[2].addr);
    caller.set_up(3, 0, 2000);
    caller.expect(9, 3, None);
}

/// A straggler that is shut out takes nothing new from a second on, and the set-up that it holds gets its answer.
#[test]
fn shut_out_stops_new_work_within_a_second_and_answers_what_is_there() {
    let fleet = fleet(5, Mode::Mute);
    fleet.write_config(4, 42);
    rig_post(fleet.at(4), "/control/reload");
    // Its call server keeps this set-up unanswered, until the caller's time is over.
    let mut caller = rig::Caller::ready_at(fleet.instances[4].addr);
    caller.set_up(1, 0, 3000);
    // The instance has taken it up before it hears of anything else.
    let taken = Instant::now();
    while rig_get(fleet.at(4), "/control/counters").contains("gw_in_progress 0") {
        assert!(taken.elapsed() < Duration::from_secs(5));
    }
    let (peers, folder) = (fleet.all(), fleet.folder.path().to_owned());
    let since = Instant::now();
    let audit = std::thread::spawn(move || {
        let names: Vec<String> = peers.iter().map(ToString::to_string).collect();
        let file = folder.join("shut.yaml");
        std::fs::write(&file, format!("peers: {names:?}\n")).unwrap();
        let run = Command::new(PROGRAM)
            .args(["fleet", "audit", "--json", "--shut-out", "--peers"])
            .arg(&file)
            .output();
        run.unwrap()
    });
    while !rig_get(fleet.at(4), "/control/version").contains("\"out_of_service\":true") {
        assert!(since.elapsed() < Duration::from_secs(5));
    }
    let told = Instant::now();
    std::thread::sleep(Duration::from_secs(1).saturating_sub(told.elapsed()));
    caller.set_up(2, 0, 3000);
    // The new one is refused at once, the old one comes to its end.
    let mut heard = HashMap::new();
    while heard.len() < 2 {
        let (kind, call, parameters) = caller.hear().expect("the connection is kept while its call is open");
        let cause = parameters.into_iter().find(|(code, _)| *code == 143).map(|(_, v)| v);
        assert!(heard.insert(call, (kind, cause, told.elapsed())).is_none(), "one final answer");
    }
    assert_eq!((heard[&2].0, heard[&2].1.as_deref()), (12, Some("42")));
    assert!(heard[&2].2 < Duration::from_millis(1700), "refused at once: {:?}", heard[&2].2);
    assert_eq!(heard[&1].0, 12, "what it held was answered");
    let output = audit.join().unwrap();
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    let row =
        report["rows"].as_array().unwrap().iter().find(|r| r["peer"] == fleet.at(4).to_string()).unwrap();
    assert_eq!(row["state"], "shut_out", "{report}");
    assert!(output.status.success());
}

/// Killed under load, an instance leaves one final record of every answer that it gave, whole up to the last; the next
/// start reads on in a new file.
#[test]
fn after_a_forced_kill_the_record_has_one_final_answer_for_each_that_was_heard() {
    let mut fleet = fleet(3, Mode::Answer);
    let mut callers: Vec<rig::Caller> =
        fleet.instances.iter().map(|i| rig::Caller::ready_at(i.addr)).collect();
    let threads: Vec<_> = callers
        .drain(..)
        .enumerate()
        .map(|(i, mut caller)| {
            std::thread::spawn(move || {
                let (mut next, mut finals) = ((i as u64 + 1) << 32, HashMap::<u64, u32>::new());
                let mut standing = std::collections::HashSet::new();
                for _ in 0..8 {
                    next += 1;
                    caller.set_up(next, 0, 2000);
                }
                // Each final answer is followed by the next set-up, until the process is gone.
                while let Some((kind, call, _)) = caller.hear() {
                    match kind {
                        9 => {
                            standing.insert(call);
                        }
                        12 if standing.remove(&call) => continue,
                        12 => {}
                        _ => continue,
                    }
                    *finals.entry(call).or_default() += 1;
                    next += 1;
                    let offer = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
                        caller.set_up(next, 0, 2000)
                    }));
                    if offer.is_err() {
                        break;
                    }
                }
                finals
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1500));
    fleet.instances.iter_mut().for_each(Instance::kill);
    for (i, thread) in threads.into_iter().enumerate() {
        let heard = thread.join().unwrap();
        assert!(heard.len() > 50, "n{i} gave {} answers", heard.len());
        assert!(heard.values().all(|&n| n == 1), "one final answer each");
        let files = read_folder(&fleet.instances[i].folder.join("audit")).unwrap();
        let mut recorded = HashMap::<u64, u32>::new();
        for (path, read) in &files {
            assert_eq!(read.damaged_at, None, "{}", path.display());
            assert!(matches!(read.entries.first(), Some(Entry::Version { .. })));
            for entry in &read.entries {
                if let Entry::Decision(r) = entry
                    && r.decision.is_final()
                {
                    *recorded.entry(r.call).or_default() += 1;
                }
            }
        }
        assert!(recorded.values().all(|&n| n == 1), "one final record each");
        let missing = heard.keys().filter(|call| !recorded.contains_key(call)).count();
        assert_eq!(missing, 0, "n{i}: answers heard without a record, of {}", heard.len());
        // What was recorded and not heard was on its way when the process died.
        assert!(recorded.len() - heard.len() <= 16, "{} recorded, {} heard", recorded.len(), heard.len());
    }
}

/// Every decision of a call is recorded in its order, under the version that it was taken on.
#[test]
fn the_record_follows_a_call_and_a_reload() {
    let fleet = fleet(1, Mode::Answer);
    let mut caller = rig::Caller::ready_at(fleet.instances[0].addr);
    caller.set_up(5, 0, 2000);
    caller.expect(9, 5, None);
    caller.expect(12, 5, Some(16));
    fleet.write_config(0, 321);
    rig_post(fleet.at(0), "/control/reload");
    caller.set_up(6, 0, 2000);
    caller.expect(9, 6, None);
    caller.expect(12, 6, Some(16));
    let files = read_folder(&fleet.instances[0].folder.join("audit")).unwrap();
    let (mut versions, mut told) = (Vec::new(), HashMap::<u64, Vec<(usize, Decision)>>::new());
    for entry in files.iter().flat_map(|(_, read)| &read.entries) {
        match entry {
            Entry::Version { version, .. } => {
                if versions.last() != Some(&version.id()) {
                    versions.push(version.id());
                }
            }
            Entry::Decision(r) => told.entry(r.call).or_default().push((versions.len(), r.decision.clone())),
        }
    }
    assert_eq!(versions.len(), 2);
    for (call, version) in [(5, 1), (6, 2)] {
        let server = || "s-a".to_owned();
        let expected = [
            Decision::Admitted { class: "voice".into() },
            Decision::Routed { server: server() },
            Decision::Answered { server: server() },
            Decision::Released,
        ];
        assert_eq!(told[&call], expected.map(|d| (version, d)));
    }
}

fn rig_request(at: SocketAddr, method: &str, path: &str) -> String {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(at).unwrap();
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

fn rig_get(at: SocketAddr, path: &str) -> String {
    rig_request(at, "GET", path)
}

fn rig_post(at: SocketAddr, path: &str) -> String {
    rig_request(at, "POST", path)
}
