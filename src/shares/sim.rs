//! A fleet of real reducers and purses on a virtual clock, with seeded faults: what the tests and the measurements
//! run on. The same settings and seed give the same run, event by event.
//!
//! Checked at every change: the parts that have not lapsed on their holders' clocks and the floors sum to no more
//! than the whole; at every spending: over no window was more spent than the whole's rate for it and its burst.

use super::{Input, Message, Output, Part, Purse, ShareSettings, Shares};
use crate::terms::{BudgetId, Demand, Epoch, Member};
use fastrand::Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// What goes wrong, and how often. Times are ms of true time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Shares of messages lost, and doubled.
    pub loss: f64,
    pub double: f64,
    /// Share of messages that take up to `late_ms`, beyond others' order and lease.
    pub late: f64,
    pub late_ms: f64,
    /// Mean time between faults of the whole fleet: crashes (with a restart later), pauses, partitions (of a group,
    /// in one or both directions), members leaving (and coming back as a new process); 0: none.
    pub every_ms: f64,
    /// How far clocks run fast or slow.
    pub drift: f64,
}

/// What a run is to be.
#[derive(Clone, Debug)]
pub struct SimSettings {
    pub shares: ShareSettings,
    pub seed: u64,
    /// A message's journey without faults, ms, from and to.
    pub journey_ms: (f64, f64),
    pub faults: Faults,
    /// How often each member's traffic is played, ms.
    pub traffic_ms: f64,
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub events: u64,
    pub sent: u64,
    pub bytes: u64,
    /// By sender.
    pub sent_by: Vec<u64>,
    pub bytes_by: Vec<u64>,
    pub longest: usize,
    /// By budget, in their order.
    pub asked: Vec<u64>,
    pub spent: Vec<u64>,
    pub masterships: u64,
    pub rounds: u64,
    /// Over all steps and messages: equal for equal runs.
    pub digest: u64,
    /// The first breach, with the time and the seed that shows it again.
    pub breach: Option<String>,
}

#[derive(Clone, Debug)]
enum Event {
    Deliver {
        from: usize,
        to: usize,
        message: Message,
    },
    /// The reducer of this process is due; `life` tells an outdated one.
    Wake {
        node: usize,
        life: u64,
    },
    Traffic {
        node: usize,
    },
    Demand {
        node: usize,
        life: u64,
    },
    Fault,
    Resume {
        node: usize,
    },
    Start {
        node: usize,
    },
    Heal {
        partition: u64,
    },
}

#[derive(Debug)]
struct Node {
    /// None: it is down.
    shares: Option<Shares>,
    purse: Purse,
    parts: Vec<Part>,
    epoch: Option<Epoch>,
    life: u64,
    rate: f64,
    origin: f64,
    paused: bool,
    /// What came while it was paused.
    waiting: Vec<Event>,
    /// Per second, by budget; what is beyond a whole one is carried on.
    demand: Vec<f64>,
    carry: Vec<f64>,
    asked: Vec<u64>,
    counted_from: f64,
    wakes_at: f64,
}

#[derive(Debug)]
struct Partition {
    id: u64,
    group: HashSet<usize>,
    out: bool,
    into: bool,
}

/// A fleet's true-time bucket for a budget: what may have been spent at the most.
#[derive(Debug)]
struct Bound {
    level: f64,
    at: f64,
}

#[derive(Debug)]
pub struct Fleet {
    settings: SimSettings,
    now: f64,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    count: u64,
    partitions: Vec<Partition>,
    bounds: Vec<Bound>,
    rng: Rng,
    faulty: bool,
    digest: DefaultHasher,
    pub seen: Seen,
}

impl Fleet {
    /// All members start within the first 100 ms.
    #[must_use]
    pub fn new(settings: SimSettings) -> Self {
        let (members, budgets) = (usize::from(settings.shares.members), settings.shares.budgets.len());
        let mut rng = Rng::with_seed(settings.seed);
        let nodes = (0..members)
            .map(|_| {
                // Most clocks at the edges of what is allowed.
                let rate = 1.0 + settings.faults.drift * (rng.f64() * 3.0 - 1.5).clamp(-1.0, 1.0);
                Node {
                    shares: None,
                    purse: Purse::new(Vec::new(), settings.shares.members, 0.0),
                    parts: Vec::new(),
                    epoch: None,
                    life: 0,
                    rate,
                    origin: 0.0,
                    paused: false,
                    waiting: Vec::new(),
                    demand: vec![0.0; budgets],
                    carry: vec![0.0; budgets],
                    asked: vec![0; budgets],
                    counted_from: 0.0,
                    wakes_at: f64::INFINITY,
                }
            })
            .collect();
        let bounds =
            settings.shares.budgets.iter().map(|b| Bound { level: b.burst, at: 0.0 }).collect::<Vec<_>>();
        let seen = Seen {
            asked: vec![0; budgets],
            spent: vec![0; budgets],
            sent_by: vec![0; members],
            bytes_by: vec![0; members],
            ..Seen::default()
        };
        let mut fleet = Fleet {
            now: 0.0,
            nodes,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            count: 0,
            partitions: Vec::new(),
            bounds,
            rng,
            faulty: true,
            digest: DefaultHasher::new(),
            seen,
            settings,
        };
        for node in 0..members {
            let at = fleet.rng.f64() * 100.0;
            fleet.put(at, Event::Start { node });
            let at = fleet.rng.f64() * fleet.settings.traffic_ms;
            fleet.put(at, Event::Traffic { node });
        }
        fleet.plan_fault();
        fleet
    }

    /// True time, ms.
    #[must_use]
    pub fn now(&self) -> f64 {
        self.now
    }

    /// What a member's callers would spend of each budget, per second.
    pub fn demand(&mut self, node: usize, per_s: &[f64]) {
        self.nodes[node].demand = per_s.to_vec();
    }

    /// No faults any more: what is down starts, what is cut off is joined, and messages keep their journey's bounds.
    pub fn calm(&mut self) {
        self.faulty = false;
        self.partitions.clear();
        for node in 0..self.nodes.len() {
            if self.nodes[node].paused {
                self.put(self.now, Event::Resume { node });
            }
            self.put(self.now, Event::Start { node });
        }
    }

    /// Ends a process without a word; it does not come back by itself.
    pub fn crash(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        node.shares = None;
        node.epoch = None;
        node.parts.clear();
        node.purse = Purse::new(Vec::new(), 1, 0.0);
        node.waiting.clear();
        node.paused = false;
        node.life += 1;
        node.wakes_at = f64::INFINITY;
    }

    /// Who grants now; processes that stand still do not.
    #[must_use]
    pub fn grantors(&self) -> Vec<usize> {
        let grants = |n: &Node| n.epoch.is_some() && !n.paused;
        (0..self.nodes.len()).filter(|&at| grants(&self.nodes[at])).collect()
    }

    /// Rate of a budget in parts that have not lapsed, per second, of one member or of all; without floors.
    #[must_use]
    pub fn held(&self, budget: BudgetId, node: Option<usize>) -> f64 {
        self.sum(budget, node).0
    }

    fn sum(&self, budget: BudgetId, node: Option<usize>) -> (f64, f64) {
        let mut sum = (0.0, 0.0);
        for (at, n) in self.nodes.iter().enumerate() {
            let local = self.local(at);
            if node.is_none_or(|node| node == at) {
                for part in n.parts.iter().filter(|p| p.budget == budget && local < p.until) {
                    sum = (sum.0 + part.per_s, sum.1 + part.burst);
                }
            }
        }
        sum
    }

    /// Plays everything up to `until`, or to the first breach.
    pub fn run(&mut self, until: f64) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if f64::from_bits(at) > until || self.seen.breach.is_some() {
                break;
            }
            self.queue.pop();
            self.now = f64::from_bits(at);
            let Some(event) = self.events.remove(&id) else { continue };
            self.seen.events += 1;
            self.play(event);
        }
        self.now = until;
        self.seen.digest = self.digest.finish();
    }

    fn put(&mut self, at: f64, event: Event) {
        self.count += 1;
        // Times are not negative: their bits sort as they do.
        self.queue.push(Reverse((at.to_bits(), self.count)));
        self.events.insert(self.count, event);
    }

    fn local(&self, node: usize) -> f64 {
        (self.now - self.nodes[node].origin) * self.nodes[node].rate
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Deliver { to, .. } | Event::Wake { node: to, .. } | Event::Demand { node: to, .. }
                if self.nodes[to].paused =>
            {
                self.nodes[to].waiting.push(event);
            }
            Event::Deliver { from, to, message } => {
                self.step(to, Input::Heard { from: Member(from as u16), message });
            }
            Event::Wake { node, life } if life == self.nodes[node].life => {
                self.nodes[node].wakes_at = f64::INFINITY;
                self.step(node, Input::Tick);
            }
            Event::Demand { node, life } if life == self.nodes[node].life => self.tell(node),
            Event::Wake { .. } | Event::Demand { .. } => {}
            Event::Traffic { node } => self.traffic(node),
            Event::Fault => self.fault(),
            Event::Resume { node } => self.resume(node),
            Event::Start { node } => self.start(node),
            Event::Heal { partition } => self.partitions.retain(|p| p.id != partition),
        }
    }

    fn start(&mut self, at: usize) {
        if self.nodes[at].shares.is_some() {
            return;
        }
        let seed = self.rng.u64(..);
        // A host's clock does not begin with its processes.
        let before = self.rng.f64() * 5000.0;
        let settings = self.settings.shares.clone();
        let node = &mut self.nodes[at];
        node.origin = self.now - before;
        node.life += 1;
        let life = node.life;
        let local = before * node.rate;
        node.purse = Purse::new(settings.budgets.clone(), settings.members, local).with_drift(settings.drift);
        node.counted_from = local;
        node.asked.fill(0);
        let round_ms = settings.round_ms;
        node.shares = Some(Shares::new(settings, Member(at as u16), seed, local));
        let first = self.now + self.rng.f64() * round_ms;
        self.put(first, Event::Demand { node: at, life });
        self.step(at, Input::Tick);
    }

    fn tell(&mut self, at: usize) {
        let local = self.local(at);
        let life = self.nodes[at].life;
        let node = &mut self.nodes[at];
        let seconds = ((local - node.counted_from) / 1000.0).max(1e-3);
        let budgets = self.settings.shares.budgets.iter();
        let demands = budgets
            .zip(&node.asked)
            .map(|(b, &asked)| Demand { budget: b.id, per_s: asked as f64 / seconds, worth: 1.0 })
            .collect();
        node.asked.fill(0);
        node.counted_from = local;
        self.step(at, Input::Demand(demands));
        self.put(self.now + self.settings.shares.round_ms, Event::Demand { node: at, life });
    }

    fn step(&mut self, at: usize, input: Input) {
        let local = self.local(at);
        let mut out = Vec::new();
        let Some(shares) = &mut self.nodes[at].shares else { return };
        shares.step(local, input, &mut out);
        let due = shares.next_due();
        for output in out {
            match output {
                Output::Send { to, message } => self.send(at, usize::from(to.0), message),
                Output::Parts(parts) => {
                    self.nodes[at].purse.take(local, &parts);
                    self.nodes[at].parts = parts;
                    self.check_parts();
                }
                Output::Mastership(epoch) => {
                    self.nodes[at].epoch = epoch;
                    self.seen.masterships += u64::from(epoch.is_some());
                }
                Output::RoundClosed { .. } => self.seen.rounds += 1,
                Output::RoundOpened { .. } | Output::RoundLate { .. } | Output::Note(_) => {}
            }
        }
        let node = &mut self.nodes[at];
        if due < node.wakes_at {
            node.wakes_at = due;
            let (wake, life) = (node.origin + due / node.rate, node.life);
            // A clock is read a little later than it was set for.
            self.put(wake.max(self.now) + 0.01, Event::Wake { node: at, life });
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = postcard::to_stdvec(&message).map_or(usize::MAX, |bytes| bytes.len());
        self.seen.sent += 1;
        self.seen.bytes += bytes as u64;
        self.seen.sent_by[from] += 1;
        self.seen.bytes_by[from] += bytes as u64;
        self.seen.longest = self.seen.longest.max(bytes);
        (self.now.to_bits(), from, to, format!("{message:?}")).hash(&mut self.digest);
        if bytes > Message::BYTES_MAX {
            self.breach(format!("a message of {bytes} bytes: {message:?}"));
        }
        let faults = self.settings.faults;
        let cut = |p: &Partition| {
            let (a, b) = (p.group.contains(&from), p.group.contains(&to));
            (a && !b && p.out) || (b && !a && p.into)
        };
        if to >= self.nodes.len() || self.partitions.iter().any(cut) {
            return;
        }
        let copies = if !self.faulty {
            1
        } else if self.rng.f64() < faults.loss {
            0
        } else {
            1 + usize::from(self.rng.f64() < faults.double)
        };
        for _ in 0..copies {
            let (from_ms, to_ms) = self.settings.journey_ms;
            let mut journey = from_ms + self.rng.f64() * (to_ms - from_ms);
            if self.faulty && self.rng.f64() < faults.late {
                journey += self.rng.f64() * faults.late_ms;
            }
            self.put(self.now + journey, Event::Deliver { from, to, message: message.clone() });
        }
    }

    fn traffic(&mut self, at: usize) {
        let every = self.settings.traffic_ms;
        let next = self.now + every * (0.5 + self.rng.f64());
        self.put(next, Event::Traffic { node: at });
        if self.nodes[at].paused || self.nodes[at].shares.is_none() {
            return;
        }
        let local = self.local(at);
        for budget in 0..self.bounds.len() {
            let node = &mut self.nodes[at];
            node.carry[budget] += node.demand[budget] * every / 1000.0;
            let whole = node.carry[budget].floor();
            node.carry[budget] -= whole;
            let id = self.settings.shares.budgets[budget].id;
            for _ in 0..whole as u64 {
                self.seen.asked[budget] += 1;
                self.nodes[at].asked[budget] += 1;
                if self.nodes[at].purse.spend(local, id) {
                    self.seen.spent[budget] += 1;
                    self.spend(budget);
                }
            }
        }
    }

    fn spend(&mut self, at: usize) {
        let budget = &self.settings.shares.budgets[at];
        let bound = &mut self.bounds[at];
        bound.level = (bound.level + (self.now - bound.at) * budget.per_s / 1000.0).min(budget.burst) - 1.0;
        bound.at = self.now;
        if bound.level < -1e-6 {
            let name = budget.name.clone();
            self.breach(format!("budget {name}: more spent than its rate and burst allow"));
        }
    }

    fn check_parts(&mut self) {
        for at in 0..self.bounds.len() {
            let budget = &self.settings.shares.budgets[at];
            let (per_s, burst) = self.sum(budget.id, None);
            let (most, most_burst) =
                (budget.per_s * (1.0 - budget.floor), budget.burst * (1.0 - budget.floor));
            if per_s > most + 1e-6 || burst > most_burst + 1e-6 {
                let name = budget.name.clone();
                self.breach(format!(
                    "budget {name}: parts of {per_s} a second and {burst} at once, and {most}, {most_burst} are there"
                ));
                return;
            }
        }
    }

    fn breach(&mut self, what: String) {
        let (now, seed) = (self.now, self.settings.seed);
        self.seen.breach.get_or_insert_with(|| format!("seed {seed}, {now:.2} ms: {what}"));
    }

    fn plan_fault(&mut self) {
        let every = self.settings.faults.every_ms;
        if every > 0.0 {
            let at = self.now - every * self.rng.f64().max(1e-9).ln();
            self.put(at, Event::Fault);
        }
    }

    fn fault(&mut self) {
        if !self.faulty {
            return;
        }
        let lease = self.settings.shares.lease_ms;
        let at = self.rng.usize(..self.nodes.len());
        let long = self.now + self.rng.f64() * 3.0 * lease;
        match self.rng.u8(..10) {
            0..3 => {
                self.crash(at);
                let soon = self.rng.bool();
                let start = if soon { self.now + self.rng.f64() * 50.0 } else { long };
                self.put(start, Event::Start { node: at });
            }
            3 => {
                // All keepers at once.
                for keeper in self.settings.shares.keepers.clone() {
                    self.crash(usize::from(keeper.0));
                    let start = self.now + self.rng.f64() * 100.0;
                    self.put(start, Event::Start { node: usize::from(keeper.0) });
                }
            }
            4..6 => {
                self.nodes[at].paused = self.nodes[at].shares.is_some();
                self.put(long, Event::Resume { node: at });
            }
            6..9 => {
                let group = (0..self.nodes.len()).filter(|_| self.rng.bool()).collect();
                let (out, into) = [(true, true), (true, false), (false, true)][self.rng.usize(..3)];
                self.count += 1;
                let id = self.count;
                self.partitions.push(Partition { id, group, out, into });
                self.put(long, Event::Heal { partition: id });
            }
            _ => {
                if !self.nodes[at].paused {
                    // It leaves and ends, and another comes in its place.
                    self.step(at, Input::Leave);
                    self.crash(at);
                    self.put(long, Event::Start { node: at });
                }
            }
        }
        self.plan_fault();
    }

    fn resume(&mut self, at: usize) {
        if !self.nodes[at].paused {
            return;
        }
        self.nodes[at].paused = false;
        // Traffic goes on before the control thread has come to itself.
        let local = self.local(at);
        for budget in 0..self.bounds.len() {
            let id = self.settings.shares.budgets[budget].id;
            while self.nodes[at].purse.spend(local, id) {
                self.seen.spent[budget] += 1;
                self.spend(budget);
            }
        }
        for event in std::mem::take(&mut self.nodes[at].waiting) {
            self.play(event);
        }
    }
}
