//! A trial: drawn from a seed, played with real processes, and held against the rules.

use crate::call_server::{CallServer, Conduct, ServerPlan};
use crate::caller::{CallerPlan, Callers, ClassPlan};
use crate::check::{Break, ColdTerms, Terms, check};
use crate::name_service::Health;
use crate::node::{Node, NodePlan, Played};
use crate::record::{ListChange, Record};
use crate::world::{Listed, Shared, World, pause, unix_ms};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use tokio::task::{LocalSet, spawn_local};

/// Set-ups are sent for so long, ms.
const PLAY_MS: (f64, f64) = (9_000.0, 14_000.0);
/// The first fault comes no sooner, ms.
const FIRST_FAULT_MS: f64 = 800.0;
/// Behind the last set-up every answer and release has come that was due, ms.
const TAIL_MS: f64 = 9_500.0;
/// A fault that comes on the heels of another follows within this, ms.
const HEELS_MS: f64 = 400.0;
/// The memory that a node may take, MB.
const MEMORY_MB: f64 = 192.0;

/// What goes wrong, and for how long.
#[derive(Clone, Debug)]
pub enum Fault {
    Hang {
        server: usize,
        ms: f64,
    },
    /// Nothing passes between the two.
    Cut {
        server: usize,
        node: usize,
        ms: f64,
    },
    /// It comes back as a new process, or is taken off the list.
    Vanish {
        server: usize,
        ms: f64,
        returns: bool,
    },
    Crash {
        server: usize,
        ms: f64,
    },
    Replace {
        server: usize,
        by: usize,
        drain_ms: f64,
    },
    Reset {
        server: usize,
    },
    Mute {
        server: usize,
    },
    /// Another conduct for a while.
    Misconduct {
        server: usize,
        ms: f64,
        conduct: Conduct,
    },
    Names {
        node: usize,
        ms: f64,
        health: Health,
    },
    SlowNames {
        node: usize,
        ms: f64,
        delay_ms: f64,
    },
    Reload {
        node: usize,
        times: usize,
        gap_ms: f64,
    },
    Stop {
        node: usize,
        restart_after_ms: f64,
    },
    Kill {
        node: usize,
        restart_after_ms: f64,
    },
    HandOver {
        node: usize,
    },
}

/// A trial as drawn.
pub struct Plan {
    pub seed: u64,
    pub nodes: usize,
    pub settings: Value,
    pub servers: Vec<ServerPlan>,
    /// Of these, the ones that run from the start; the others replace them.
    pub first_servers: usize,
    pub callers: CallerPlan,
    pub play_ms: f64,
    /// How long what is under way has to end then.
    pub tail_ms: f64,
    pub faults: Vec<(f64, Fault)>,
    pub sockets: usize,
    pub cold: ColdTerms,
    pub played: Played,
}

struct Draw(fastrand::Rng);

impl Draw {
    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.0.f64()
    }

    fn one_of<T: Clone>(&mut self, of: &[T]) -> T {
        of[self.0.usize(..of.len())].clone()
    }

    fn chance(&mut self, part: f64) -> bool {
        self.0.f64() < part
    }
}

impl Plan {
    /// The trial of this seed.
    pub fn draw(seed: u64) -> Plan {
        let mut draw = Draw(fastrand::Rng::with_seed(seed));
        let nodes = draw.0.usize(1..=3);
        let first_servers = draw.0.usize(2..=3);
        let cold = ColdTerms {
            from: draw.between(0.3, 0.5),
            warm_after_ms: draw.between(4000.0, 14_000.0),
            fall_ms: draw.between(1000.0, 2500.0),
            fall_multiple: draw.between(2.0, 3.0),
            capacity_per_s: draw.between(40.0, 120.0),
        };
        let classes = draw_classes(&mut draw);
        let settings = draw_settings(&mut draw, &cold, &classes, nodes, first_servers);
        let mut servers: Vec<ServerPlan> =
            (0..first_servers + 3).map(|i| draw_server(&mut draw, seed, i, first_servers)).collect();
        let play_ms = draw.between(PLAY_MS.0, PLAY_MS.1);
        let callers = draw_callers(&mut draw, classes, first_servers);
        let faults = draw_faults(&mut draw, nodes, first_servers, play_ms);
        place_replacements(&mut servers, &faults);
        let sockets = draw.one_of(&[64, 128, 256, 1024]);
        Plan {
            seed,
            nodes,
            settings,
            servers,
            first_servers,
            callers,
            play_ms,
            tail_ms: TAIL_MS,
            faults,
            sockets,
            cold,
            played: Played::Program,
        }
    }

    /// The trial of this seed with a hand-over of each node, while configurations come and the name service is slow, in
    /// place of its own faults.
    pub fn draw_hand_overs(seed: u64) -> Plan {
        let mut plan = Plan::draw(seed);
        let mut draw = Draw(fastrand::Rng::with_seed(!seed));
        plan.faults.retain(|(_, fault)| matches!(fault, Fault::Reload { .. } | Fault::SlowNames { .. }));
        for node in 0..plan.nodes {
            plan.faults.push((draw.between(FIRST_FAULT_MS, 3000.0), Fault::HandOver { node }));
        }
        // Load and lifetimes at which every moment of a hand-over sees calls end.
        plan.callers.per_s = draw.between(30.0, 90.0);
        plan
    }

    /// What a reader of a break needs to know of the trial.
    pub fn describe(&self) -> String {
        let faults: Vec<String> =
            self.faults.iter().map(|(at, fault)| format!("{at:.0} {fault:?}")).collect();
        let deadlines: Vec<f64> = self.callers.classes.iter().map(|c| c.deadline_ms.round()).collect();
        format!(
            "{} nodes, deadlines {deadlines:?}, {:?}, faults: {}",
            self.nodes,
            self.callers,
            faults.join("; ")
        )
    }

    /// What this deployment's settings ask for.
    pub fn terms(&self) -> Terms {
        let ceilings = &self.settings["ceilings"];
        Terms {
            guard_ms: self.settings["specifics"]["guard_ms"].as_f64().unwrap(),
            drain_grace_ms: self.settings["rules"]["drain_grace_ms"].as_f64().unwrap(),
            attempts_max: ceilings["attempts_cap"].as_u64().unwrap() as usize,
            may_probe: ceilings["probing"] == true,
            stay_away_max_ms: ceilings["max_retry_after_ms"].as_f64().unwrap(),
            places: places(&self.settings),
            descriptors_max: self.sockets,
            memory_max_mb: MEMORY_MB,
            cold: self.cold.clone(),
        }
    }
}

/// The places that each class of these settings may go to.
pub fn places(settings: &Value) -> BTreeMap<String, Vec<u32>> {
    let classes = settings["services"].as_array().unwrap();
    let pools = settings["specifics"]["pools_by_class"].as_array().unwrap();
    let place = |value: &Value| value.as_u64().unwrap() as u32;
    let named = |(class, pool): (&Value, &Value)| {
        (class["name"].as_str().unwrap().to_owned(), pool.as_array().unwrap().iter().map(place).collect())
    };
    classes.iter().zip(pools).map(named).collect()
}

fn draw_classes(draw: &mut Draw) -> Vec<ClassPlan> {
    let longest_ms = draw.one_of(&[400.0, 900.0, 2000.0, 4000.0, 9000.0]);
    let class = |(i, name): (usize, &str)| ClassPlan {
        name: name.to_owned(),
        deadline_ms: if i == 0 { longest_ms } else { draw.between(0.4, 1.0) * longest_ms },
    };
    ["voice", "fax", "text"].into_iter().enumerate().map(class).collect()
}

fn draw_settings(
    draw: &mut Draw,
    cold: &ColdTerms,
    classes: &[ClassPlan],
    nodes: usize,
    places: usize,
) -> Value {
    let services: Vec<Value> = classes
        .iter()
        .map(|c| {
            json!({"name": c.name, "deadline_ms": c.deadline_ms, "target_ms": c.deadline_ms / 4.0,
                "worth": draw.between(0.5, 4.0), "late_worth": 0.2})
        })
        .collect();
    let all: Vec<usize> = (0..places).collect();
    let pools = json!([all, all, [draw.0.usize(..places)]]);
    let advice_ms = draw.one_of(&[0.0, 1500.0]);
    json!({"siblings": nodes, "index": 0, "zones": ["aarhus"], "services": services,
        "report": {"columns": ["free", "size", "latency_ms", "can_take"], "how": "answers"},
        "ceilings": {"attempts_cap": draw.0.u32(2..=6), "cancel": draw.chance(0.7), "probing": false,
            "dial_timeout_ms": draw.one_of(&[300.0, 500.0, 800.0]), "retry_after": advice_ms > 0.0,
            "max_retry_after_ms": advice_ms, "open_cap": 20_000},
        "rules": {"cold_from": cold.from, "cold_ms": cold.warm_after_ms, "fall_ms": cold.fall_ms,
            "fall_multiple": cold.fall_multiple, "drain_grace_ms": 1000.0},
        "specifics": {"guard_ms": draw.one_of(&[150.0, 200.0, 300.0]), "t1_ms": 0.0, "class_width": [1, 1, 1],
            "pools_by_class": pools}})
}

fn draw_server(draw: &mut Draw, seed: u64, index: usize, places: usize) -> ServerPlan {
    ServerPlan {
        id: format!("s-{:08x}", seed as u32 ^ ((index as u32 + 1) << 24)),
        place: (index % places) as u32,
        hold_ms: draw.between(800.0, 5000.0),
        told_ms: draw.one_of(&[300.0, 1000.0]),
        conduct: Conduct { pieces: draw.chance(0.3), ..Conduct::default() },
    }
}

fn draw_callers(draw: &mut Draw, classes: Vec<ClassPlan>, places: usize) -> CallerPlan {
    let mut some = |part: f64| if draw.chance(0.4) { part * draw.0.f64() } else { 0.0 };
    CallerPlan {
        gives_up: some(0.3),
        closes: some(0.1),
        shuts: some(0.1),
        hurries: some(0.2),
        pieces: some(0.2),
        releases: some(0.4),
        bad_per_s: some(8.0),
        retries: 0.3 + some(0.7),
        crowd: if draw.chance(0.15) { draw.0.usize(40..300) } else { 0 },
        per_s: draw.between(6.0, 30.0),
        places: places as u32,
        classes,
    }
}

/// Faults come alone, on each other's heels, or at once; a series of stops takes one node after the other.
fn draw_faults(draw: &mut Draw, nodes: usize, servers: usize, play_ms: f64) -> Vec<(f64, Fault)> {
    let mut faults = Vec::new();
    let mut spare = servers;
    let count = draw.0.usize(3..=9);
    let mut at = draw.between(FIRST_FAULT_MS, 3000.0);
    for _ in 0..count {
        let server = draw.0.usize(..servers);
        let node = draw.0.usize(..nodes);
        faults.push((at, draw_fault(draw, node, server, &mut spare, servers)));
        at = if draw.chance(0.5) {
            at + draw.between(0.0, HEELS_MS)
        } else {
            draw.between(FIRST_FAULT_MS, 0.85 * play_ms)
        };
        at = at.min(0.9 * play_ms);
    }
    if draw.chance(0.4) {
        let (mut at, gap_ms) = (draw.between(FIRST_FAULT_MS, 0.4 * play_ms), draw.between(100.0, 2500.0));
        for node in 0..nodes {
            faults.push((at, Fault::Stop { node, restart_after_ms: draw.between(0.0, 400.0) }));
            at += gap_ms;
        }
    }
    faults.sort_by(|a, b| a.0.total_cmp(&b.0));
    faults
}

/// A server takes the place of the one that it replaces.
fn place_replacements(servers: &mut [ServerPlan], faults: &[(f64, Fault)]) {
    for (_, fault) in faults {
        if let &Fault::Replace { server, by, .. } = fault {
            servers[by].place = servers[server].place;
        }
    }
}

fn draw_fault(draw: &mut Draw, node: usize, server: usize, spare: &mut usize, servers: usize) -> Fault {
    match draw.0.u32(..20) {
        0 | 1 if draw.chance(0.4) => Fault::Cut { server, node, ms: draw.between(200.0, 6000.0) },
        0 | 1 => Fault::Hang { server, ms: draw.between(200.0, 6000.0) },
        2 | 3 => Fault::Vanish { server, ms: draw.between(2000.0, 12_000.0), returns: draw.chance(0.7) },
        4 | 5 => Fault::Crash { server, ms: draw.between(100.0, 3000.0) },
        6 | 7 if *spare < servers + 3 => {
            *spare += 1;
            Fault::Replace { server, by: *spare - 1, drain_ms: draw.between(800.0, 4000.0) }
        }
        8 => Fault::Reset { server },
        9 => Fault::Mute { server },
        10..=12 => {
            Fault::Misconduct { server, ms: draw.between(500.0, 5000.0), conduct: draw_misconduct(draw) }
        }
        13 | 14 => {
            let health = draw.one_of(&[Health::Silent, Health::Down, Health::Spoilt, Health::Lossy]);
            Fault::Names { node, ms: draw.between(500.0, 6000.0), health }
        }
        15 => {
            Fault::SlowNames { node, ms: draw.between(1000.0, 6000.0), delay_ms: draw.between(200.0, 1400.0) }
        }
        16 => Fault::Reload { node, times: draw.0.usize(1..=4), gap_ms: draw.between(5.0, 400.0) },
        17 => Fault::Kill { node, restart_after_ms: draw.between(0.0, 600.0) },
        _ => Fault::Stop { node, restart_after_ms: draw.between(0.0, 600.0) },
    }
}

fn draw_misconduct(draw: &mut Draw) -> Conduct {
    let mut conduct = Conduct { pieces: draw.chance(0.5), ..Conduct::default() };
    let part = draw.between(0.05, 0.5);
    match draw.0.u32(..9) {
        0 => conduct.slow_ms = draw.between(50.0, 1500.0),
        1 => conduct.late_ms = draw.between(50.0, 1000.0),
        2 => conduct.closes_early = draw.between(0.3, 1.0),
        3 => conduct.full = part,
        4 => conduct.fails = part,
        5 => conduct.resets = part,
        6 => conduct.forgets = part,
        7 => conduct.spoils = part,
        _ => conduct.repeats = part,
    }
    conduct
}

/// What came of a trial.
pub struct Outcome {
    pub seed: u64,
    pub breaks: Vec<Break>,
    pub record: Record,
}

/// Plays a trial to its end. `network` tells trials apart that are played side by side; logs go to `folder`.
pub fn play(plan: &Plan, network: u8, folder: &Path) -> Outcome {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let world = World::new(plan.seed, network);
    LocalSet::new().block_on(&runtime, run(plan, &world, folder));
    let mut record = std::mem::take(&mut *world.record.borrow_mut());
    record.ended_at = world.now();
    Outcome { seed: plan.seed, breaks: check(&record, &plan.terms()), record }
}

async fn run(plan: &Plan, world: &Shared, folder: &Path) {
    spawn_local(world.clone().watch_stalls());
    let servers: Vec<Rc<CallServer>> =
        plan.servers.iter().map(|s| CallServer::new(world, s, &plan.cold, plan.nodes)).collect();
    for server in &servers[..plan.first_servers] {
        server.start(false);
        world.list.borrow_mut().push(server.listed(0));
    }
    let deadlines = plan.callers.classes.iter().map(|c| c.deadline_ms);
    let node_plan = NodePlan {
        settings: plan.settings.clone(),
        sockets: plan.sockets,
        longest_deadline_ms: deadlines.fold(0.0, f64::max),
        played: plan.played,
    };
    let nodes: Vec<Rc<Node>> = (0..plan.nodes)
        .map(|i| {
            Node::new(world, i, &node_plan, |address| Callers::new(world, i, &plan.callers, address), folder)
        })
        .collect();
    for node in &nodes {
        spawn_local(node.clone().watch());
        node.start().await;
        spawn_local(node.callers.clone().run());
    }
    let began = world.now();
    for (at, fault) in plan.faults.clone() {
        let (world, servers, nodes) = (world.clone(), servers.clone(), nodes.clone());
        spawn_local(async move {
            pause(began + at - world.now()).await;
            strike(&world, fault, &servers, &nodes).await;
        });
    }
    pause(plan.play_ms).await;
    world.closing.set(true);
    pause(plan.tail_ms).await;
    world.record.borrow_mut().ended_at = world.now();
    nodes.iter().for_each(|node| node.end());
}

async fn strike(world: &Shared, fault: Fault, servers: &[Rc<CallServer>], nodes: &[Rc<Node>]) {
    match fault {
        Fault::Hang { server, ms } => servers[server].hang(ms).await,
        Fault::Cut { server, node, ms } => servers[server].cut_off(node, ms).await,
        Fault::Vanish { server, ms, returns } => {
            if !servers[server].runs() {
                return;
            }
            servers[server].vanish();
            pause(ms).await;
            if returns && is_listed(world, &servers[server].id) {
                servers[server].restart();
            } else {
                remove(world, &servers[server].id);
            }
        }
        Fault::Crash { server, ms } => {
            if !servers[server].runs() {
                return;
            }
            servers[server].crash();
            pause(ms).await;
            if is_listed(world, &servers[server].id) {
                servers[server].restart();
            }
        }
        Fault::Replace { server, by, drain_ms } => {
            replace(world, &servers[server], &servers[by], drain_ms).await
        }
        Fault::Reset { server } => servers[server].reset_connections(),
        Fault::Mute { server } => servers[server].mute_some(),
        Fault::Misconduct { server, ms, conduct } => servers[server].misbehave(conduct, ms).await,
        Fault::Names { node, ms, health } => {
            nodes[node].names.set_health(health);
            pause(ms).await;
            nodes[node].names.set_health(Health::Well);
        }
        Fault::SlowNames { node, ms, delay_ms } => {
            nodes[node].names.set_delay(delay_ms);
            pause(ms).await;
            nodes[node].names.set_delay(0.0);
        }
        Fault::Reload { node, times, gap_ms } => nodes[node].clone().reload(times, gap_ms).await,
        Fault::Stop { node, restart_after_ms } => nodes[node].clone().stop(restart_after_ms).await,
        Fault::Kill { node, restart_after_ms } => nodes[node].clone().kill(restart_after_ms).await,
        Fault::HandOver { node } => nodes[node].clone().hand_over().await,
    }
}

fn is_listed(world: &Shared, id: &str) -> bool {
    world.list.borrow().iter().any(|l| l.id == id)
}

fn remove(world: &Shared, id: &str) {
    if is_listed(world, id) {
        world.change_list(id, ListChange::Gone, |list| list.retain(|l| l.id != id));
    }
}

/// A server drains, another takes its place, and what still stands at the first is cut when it ends.
async fn replace(world: &Shared, old: &Rc<CallServer>, new: &Rc<CallServer>, drain_ms: f64) {
    if !is_listed(world, &old.id) {
        return;
    }
    world.change_list(&old.id, ListChange::Draining, |list| {
        list.iter_mut().filter(|l| l.id == old.id).for_each(|l: &mut Listed| l.draining = true);
    });
    pause(drain_ms * 0.5).await;
    new.start(true);
    let listed = new.listed(unix_ms());
    world.change_list(&new.id, ListChange::Started, |list| list.push(listed));
    pause(drain_ms * 0.5).await;
    if old.runs() {
        old.crash();
    }
    remove(world, &old.id);
}
