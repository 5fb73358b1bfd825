//! A scenario on a virtual clock: the reducers of a whole fleet (traffic and control plane), the same rooms of call
//! servers and the same callers, in one thread and with no process, socket or waiting. A play of 20 s with five
//! instances takes a fraction of a second and is the same each time, so that a decision can be tried over many seeds.
//!
//! What only real processes show (their start and loss, slow links) is left to [`super::play`].

use super::fleet::{Orders, settings};
use super::proxy::Fault;
use super::room::{Met, Room};
use super::standin::Mode;
use super::tally::{Tally, Worth};
use super::{CallerSecond, Figures, InstanceRun, Run, Scenario, ServerSecond, room_of};
use crate::control::{self, Control, ControlSettings, Place};
use crate::engine::{
    CallerConn, Effect, Ending, Engine, Event, FromCaller, FromServer, Listing, Lost, ServerConn, SetUp,
    ToCaller, ToServer,
};
use crate::interface::{CallId, Listed, LoadReport};
use crate::lab::caller::When;
use crate::shares::Exchange;
use crate::terms::Member;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The engines' clock at the start, ms: they take it for Unix time.
const BORN_MS: f64 = 1_000_000.0;
/// Time for connections and first words before the offer begins, ms.
const WARM_MS: f64 = 300.0;
/// A message's way on loopback through a proxy: from this, ms, and by so much more at most.
const WAY_MS: (f64, f64) = (0.2, 0.4);
/// How often callers look at what is due, ms.
const TICK_MS: f64 = 4.0;
/// What is repeated after the end of the offer is waited for so long, ms.
const AFTER_MS: f64 = 3000.0;
const CALLER: CallerConn = CallerConn(1);

/// What comes next to whom.
enum What {
    Engine(usize, Event),
    Tick(usize),
    Caller(usize),
    ToServer(usize, ServerConn, ToServer),
    Control(usize, control::Event),
    Turn(usize),
    Demand(usize),
    Second(usize),
}

#[derive(Clone, Copy)]
struct Offer {
    number: u64,
    class: usize,
    place: u32,
    repeat: u32,
    first: f64,
    first_second: usize,
}

struct Conn {
    server: usize,
    /// Set-ups heard on it.
    heard: u64,
    /// What a blackhole keeps back.
    kept: Vec<Event>,
}

struct Server {
    room: Room,
    mode: Mode,
    /// Attempts, answered, sent back, dials.
    counted: [u64; 4],
    wait_ms: u64,
}

struct Plane {
    control: Control,
    exchange: Arc<Exchange>,
    round_ms: f64,
    read_at: f64,
}

struct Caller {
    rng: fastrand::Rng,
    open: HashMap<u64, (Offer, usize, f64)>,
    again: Vec<(f64, Offer)>,
    next: u64,
    offered: f64,
    due: f64,
    seconds: Vec<Vec<Tally>>,
}

struct Instance {
    engine: Engine,
    tick_at: f64,
    plane: Option<Plane>,
    turn_at: f64,
    conns: HashMap<ServerConn, Conn>,
    links: Vec<Fault>,
    caller: Caller,
}

struct World<'a> {
    scenario: &'a Scenario,
    run: Run,
    now: f64,
    base: Instant,
    rng: fastrand::Rng,
    queue: BTreeMap<(u64, u64), What>,
    seq: u64,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    list: Vec<Listing>,
    figures: Figures,
}

/// Plays each run of the scenario.
///
/// # Errors
/// The scenario has what only real processes show, or a file of its runs can't be read.
pub fn play(scenario: &Scenario) -> Result<Figures, String> {
    scenario.check()?;
    let mut all = Figures::default();
    for &run in &scenario.runs {
        let mut world = World::new(scenario, run)?;
        world.play();
        let figures = world.figures;
        all.servers.extend(figures.servers);
        all.callers.extend(figures.callers);
        all.instances.extend(figures.instances);
    }
    Ok(all)
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, run: Run) -> Result<Self, String> {
        let unfit = |e: &super::scenario::Event| {
            e.crash.is_some() || e.start.is_some() || e.fault == Some(Fault::Delay) || e.draining.is_some()
        };
        if scenario.faults.iter().any(unfit) || scenario.servers.iter().any(|s| s.hold_ms > 0) {
            return Err("the virtual clock knows no crash, start, delay, drain or standing calls".into());
        }
        let base = Instant::now();
        let server = |s: &super::scenario::Server| Server {
            room: room_of(s),
            mode: s.mode,
            counted: [0; 4],
            wait_ms: 0,
        };
        let listing = |(place, s): (usize, &super::scenario::Server)| Listing {
            name: s.id.clone(),
            zone: Some(s.site.clone().unwrap_or_else(|| "aarhus".into())),
            addr: SocketAddr::from(([127, 0, 0, 1], place as u16 + 1)),
            place: place as u32,
            state: Listed::Ready,
            started_at: None,
        };
        let mut world = World {
            scenario,
            run,
            now: 0.0,
            base,
            rng: fastrand::Rng::with_seed(scenario.seed ^ 0xc10c),
            queue: BTreeMap::new(),
            seq: 0,
            servers: scenario.servers.iter().map(server).collect(),
            instances: Vec::new(),
            list: scenario.servers.iter().enumerate().map(listing).collect(),
            figures: Figures::default(),
        };
        for i in 0..scenario.instances {
            let instance = world.instance(i)?;
            world.instances.push(instance);
        }
        Ok(world)
    }

    fn instance(&mut self, i: usize) -> Result<Instance, String> {
        let (scenario, n) = (self.scenario, self.scenario.instances);
        let orders = Orders {
            program: Path::new(""),
            siblings: n,
            seed: scenario.seed,
            classes: &scenario.classes,
            places: scenario.servers.len(),
            limits: None,
            sites: None,
            control: None,
            log: None,
            management: false,
            audit: false,
            links: None,
            probing: false,
        };
        let mut told = settings(&orders, i);
        told["ceilings"]["may_tell"] = scenario.control.is_some().into();
        let text = told.to_string();
        let (settings, _) = crate::settings::parse(text.as_bytes())?;
        let host = crate::settings::parse_host(text.as_bytes())?;
        let seed = scenario.seed ^ (i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut engine = Engine::new(settings, host, seed, BORN_MS);
        if scenario.control.is_some() {
            engine = engine.with_peers();
        }
        let mut plane = None;
        if self.run == Run::On {
            if let Some(text) = scenario.limits_text()? {
                let settings = crate::limits::LimitSettings::parse(&text)?;
                engine = engine.with_limits(crate::limits::Limits::new(settings, seed));
            }
            if let Some(text) = scenario.control_text()? {
                let settings = ControlSettings::parse(&text)?;
                let me = Member(i as u16);
                let place = Place { me, members: n as u16, incarnation: 1, seed };
                let exchange = Arc::new(Exchange::new(&settings.budgets()));
                engine = engine.with_shares(exchange.clone(), n as u16, seed, 0.0);
                let control = Control::new(&settings, &place, 0.0)?;
                plane = Some(Plane { control, exchange, round_ms: settings.round_ms, read_at: 0.0 });
            }
        }
        let base = (i as u64 + 1) << 32;
        let caller = Caller {
            rng: fastrand::Rng::with_seed(scenario.seed ^ base),
            open: HashMap::new(),
            again: Vec::new(),
            next: base,
            offered: 0.0,
            due: 0.0,
            seconds: vec![vec![Tally::default(); scenario.classes.len()]; scenario.seconds],
        };
        Ok(Instance {
            engine,
            tick_at: f64::INFINITY,
            plane,
            turn_at: f64::INFINITY,
            conns: HashMap::new(),
            links: vec![Fault::Pass; scenario.servers.len()],
            caller,
        })
    }

    fn at(&mut self, at: f64, what: What) {
        self.seq += 1;
        self.queue.insert(((at.max(self.now) * 1000.0) as u64, self.seq), what);
    }

    fn way(&mut self) -> f64 {
        self.now + WAY_MS.0 + WAY_MS.1 * self.rng.f64()
    }

    fn play(&mut self) {
        let end = WARM_MS + self.scenario.seconds as f64 * 1000.0 + AFTER_MS;
        for i in 0..self.instances.len() {
            let servers = self.list.clone();
            self.at(0.0, What::Engine(i, Event::List { serial: 1, servers }));
            self.at(1.0, What::Engine(i, Event::CallerOpened(CALLER)));
            let test = FromCaller::Test(CallId(0));
            self.at(2.0, What::Engine(i, Event::Caller { conn: CALLER, read_at: BORN_MS, message: test }));
            let phase = self.rng.f64();
            self.at(WARM_MS + TICK_MS * phase, What::Caller(i));
            if let Some(round_ms) = self.instances[i].plane.as_ref().map(|p| p.round_ms) {
                self.at(phase, What::Turn(i));
                self.at(round_ms * (1.0 + 0.02 * phase), What::Demand(i));
            }
        }
        (0..=self.scenario.seconds).for_each(|s| self.at(WARM_MS + s as f64 * 1000.0, What::Second(s)));
        while let Some(((at, _), what)) = self.queue.pop_first() {
            self.now = self.now.max(at as f64 / 1000.0);
            if self.now > end {
                break;
            }
            self.take(what);
        }
        self.sum_up();
    }

    fn take(&mut self, what: What) {
        match what {
            What::Engine(i, event) => self.step(i, event),
            What::Tick(i) if self.now >= self.instances[i].tick_at => {
                self.instances[i].tick_at = f64::INFINITY;
                self.step(i, Event::Tick);
            }
            What::Tick(_) => {}
            What::Caller(i) => self.call(i),
            What::ToServer(i, conn, message) => self.serve(i, conn, &message),
            What::Control(i, event) => self.control(i, event),
            What::Turn(i) => self.control(i, control::Event::Tick),
            What::Demand(i) => {
                let now = self.now;
                let Some(plane) = self.instances[i].plane.as_mut() else { return };
                let (demand, _) = plane.exchange.demands(now - plane.read_at);
                plane.read_at = now;
                let next = now + plane.round_ms;
                self.control(i, control::Event::Demand(demand));
                self.at(next, What::Demand(i));
            }
            What::Second(second) => self.second(second),
        }
    }

    // ---- instances ----

    fn step(&mut self, i: usize, event: Event) {
        let mut out = Vec::new();
        let instance = &mut self.instances[i];
        if let Event::ServerLost { conn, .. } = &event {
            instance.conns.remove(conn);
        }
        instance.engine.monotonic(self.now);
        instance.engine.step(BORN_MS + self.now, event, &mut out);
        for effect in out {
            self.carry_out(i, effect);
        }
        let instance = &mut self.instances[i];
        if let Some(due) = instance.engine.next_due().map(|due| due - BORN_MS)
            && due < instance.tick_at
        {
            instance.tick_at = due;
            self.at(due + 0.001, What::Tick(i));
        }
    }

    fn carry_out(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::Dial { conn, addr, timeout_ms } => self.dial(i, conn, addr, timeout_ms),
            Effect::ToServer { conn, message, confirm } => {
                if confirm {
                    self.at(self.now, What::Engine(i, Event::Written { conn, call: message.call() }));
                }
                let at = self.way();
                self.at(at, What::ToServer(i, conn, message));
            }
            Effect::CloseServer(conn) => {
                self.at(self.now, What::Engine(i, Event::ServerLost { conn, how: Lost::Closed }));
            }
            Effect::ToCaller { message, .. } => self.hear(i, message),
            Effect::ToPeers(told) => {
                for other in (0..self.instances.len()).filter(|&other| other != i) {
                    let at = self.way();
                    self.at(at, What::Engine(other, Event::Peer { from: i as u16, told: told.clone() }));
                }
            }
            _ => {}
        }
    }

    fn dial(&mut self, i: usize, conn: ServerConn, addr: SocketAddr, _timeout_ms: f64) {
        let server = usize::from(addr.port()) - 1;
        self.servers[server].counted[3] += 1;
        let at = self.way();
        let lost = |how| What::Engine(i, Event::ServerLost { conn, how });
        let link = self.instances[i].links[server];
        if link == Fault::Refuse || self.servers[server].mode == Mode::Down {
            return self.at(at, lost(Lost::Refused));
        }
        self.instances[i].conns.insert(conn, Conn { server, heard: 0, kept: Vec::new() });
        self.at(at, What::Engine(i, Event::ServerOpened(conn)));
        if link == Fault::Reset {
            return self.at(at + 0.1, lost(Lost::Reset));
        }
        let free = LoadReport { free_lines: Some(90.0), lines: Some(100.0), ..LoadReport::default() };
        self.say(i, conn, at + 0.1, FromServer::State(free));
    }

    /// A call server says something on a connection; a blackhole keeps it back.
    fn say(&mut self, i: usize, conn: ServerConn, at: f64, message: FromServer) {
        let Instance { conns, links, .. } = &mut self.instances[i];
        let Some(c) = conns.get_mut(&conn) else { return };
        let event = Event::Server { conn, message };
        if links[c.server] == Fault::Blackhole {
            c.kept.push(event);
        } else {
            self.at(at, What::Engine(i, event));
        }
    }

    fn control(&mut self, i: usize, event: control::Event) {
        let now = self.now;
        let Some(plane) = self.instances[i].plane.as_mut() else { return };
        let mut effects = Vec::new();
        plane.control.step(now, (BORN_MS + now) as u64, event, &mut effects);
        let next = plane.control.next_due().max(now + 1.0);
        let mut sent = Vec::new();
        for effect in effects {
            match effect {
                control::Effect::Send { to, bytes } => sent.push((to, bytes)),
                control::Effect::Parts(parts) => plane.exchange.publish(parts),
                control::Effect::Budgets(budgets) => plane.exchange.set_budgets(&budgets),
                _ => {}
            }
        }
        for (to, bytes) in sent {
            let at = self.way();
            let event = control::Event::Datagram { from: Member(i as u16), bytes };
            self.at(at, What::Control(usize::from(to.0), event));
        }
        if next.is_finite() && (self.instances[i].turn_at <= now || next < self.instances[i].turn_at) {
            self.instances[i].turn_at = next;
            self.at(next, What::Turn(i));
        }
    }

    // ---- call servers ----

    fn serve(&mut self, i: usize, conn: ServerConn, message: &ToServer) {
        let at = self.way();
        let Instance { conns, links, .. } = &mut self.instances[i];
        let Some(c) = conns.get_mut(&conn) else { return };
        let s = c.server;
        if links[s] == Fault::Blackhole {
            return;
        }
        match message {
            ToServer::SetUp { call, .. } => {
                c.heard += 1;
                let heard = c.heard;
                for (after, message) in self.answer(s, *call, heard) {
                    self.say(i, conn, at + after, message);
                }
            }
            ToServer::Test(test) => {
                let report = LoadReport { wait_ms: Some(5.0), ..LoadReport::default() };
                self.say(i, conn, at, FromServer::Tested { test: *test, passed: true, report });
            }
            ToServer::Release(_) => self.say(i, conn, at, FromServer::Sign),
            ToServer::Heard(_) => {}
        }
    }

    fn answer(&mut self, s: usize, call: CallId, heard: u64) -> Vec<(f64, FromServer)> {
        let server = &mut self.servers[s];
        server.counted[0] += 1;
        let report = |free, wait_ms: f64, can_take: f64| LoadReport {
            free_lines: Some(free),
            lines: Some(100.0),
            wait_ms: Some(wait_ms.round()),
            can_take: Some(can_take.round()),
            ..LoadReport::default()
        };
        let ended = |how, report| FromServer::Ended { call, how, report };
        let well = report(80.0, 5.0, 400.0);
        let full = Ending::Full { lines: false, waited_ms: None };
        let back = match server.mode {
            Mode::Mute | Mode::Down => return Vec::new(),
            Mode::Reset => Some(ended(Ending::Reset, well)),
            Mode::Flaky if heard.is_multiple_of(2) => Some(ended(Ending::Error, well)),
            Mode::Full => Some(ended(full, report(0.0, 3000.0, 1.0))),
            _ => None,
        };
        if let Some(back) = back {
            server.counted[2] += 1;
            return vec![(0.0, back)];
        }
        let now = self.base + Duration::from_secs_f64((self.now + 1000.0) / 1000.0);
        let met = server.room.meet(now);
        let can_take = server.room.can_take(now);
        match met {
            Met::Fell => Vec::new(),
            Met::Full(wait_ms) => {
                server.counted[2] += 1;
                server.wait_ms = server.wait_ms.max(wait_ms as u64);
                vec![(0.0, ended(full, report(0.0, wait_ms, can_take)))]
            }
            Met::Answered(after, wait_ms) => {
                server.counted[1] += 1;
                server.wait_ms = server.wait_ms.max(wait_ms as u64);
                let after = after.as_secs_f64() * 1000.0;
                let answer = FromServer::Answer { call, description: Some("v=0".into()) };
                let over = ended(Ending::Normal, report(80.0, wait_ms, can_take));
                vec![(after, answer), (after + 0.001, over)]
            }
        }
    }

    // ---- callers ----

    fn call(&mut self, i: usize) {
        let (scenario, now, since) = (self.scenario, self.now, self.now - WARM_MS);
        let second = (since / 1000.0) as usize;
        let over = second >= scenario.seconds;
        let at_second = second.min(scenario.seconds - 1);
        let caller = &mut self.instances[i].caller;
        let mut wanted = Vec::new();
        if !over {
            let into = (since / 1000.0 - second as f64).clamp(0.0, 1.0);
            let whole: f64 = (0..second).map(|s| scenario.per_s(i, s).max(0.0)).sum();
            caller.due = f64::max(caller.due, whole + into * scenario.per_s(i, second).max(0.0));
            let parts: f64 = scenario.classes.iter().map(|c| c.part).sum();
            while caller.offered + 1.0 <= caller.due {
                caller.offered += 1.0;
                let mut draw = caller.rng.f64() * parts;
                let class = scenario.classes.iter().position(|c| {
                    draw -= c.part;
                    draw < 0.0
                });
                let place = caller.rng.usize(0..scenario.servers.len()) as u32;
                let number = caller.rng.u64(..);
                let class = class.unwrap_or(0);
                wanted.push(Offer { number, class, place, repeat: 0, first: now, first_second: at_second });
            }
        }
        caller.again.retain(|&(at, offer)| {
            if at <= now {
                wanted.push(offer);
            }
            at > now
        });
        for offer in wanted {
            let caller = &mut self.instances[i].caller;
            let call = caller.next;
            caller.next += 1;
            caller.open.insert(call, (offer, at_second, now));
            let tally = &mut caller.seconds[at_second][offer.class];
            tally.offered += 1;
            tally.repeats += u64::from(offer.repeat > 0);
            let set_up = SetUp {
                call: CallId(call),
                class: scenario.classes[offer.class].name.clone(),
                wait_ms: f64::from(scenario.wait_ms),
                redial: offer.repeat > 0,
                number: Some(format!("{:016x}", offer.number)),
                first_choice: Some(offer.place),
                width: 1,
                description: "v=0".into(),
            };
            let (read_at, message) = (BORN_MS + now, FromCaller::SetUp(set_up));
            self.step(i, Event::Caller { conn: CALLER, read_at, message });
        }
        self.at(now + TICK_MS, What::Caller(i));
    }

    fn hear(&mut self, i: usize, message: ToCaller) {
        let (now, repeats) = (self.now, self.scenario.repeats);
        let caller = &mut self.instances[i].caller;
        let (call, refused) = match message {
            ToCaller::Answer { call, .. } => {
                let Some((offer, second, _)) = caller.open.remove(&call.0) else { return };
                caller.seconds[second][offer.class].answered += 1;
                return caller.seconds[offer.first_second][offer.class].stand(now - offer.first);
            }
            ToCaller::Refused { call, stay_away_ms } => (call, Some(stay_away_ms)),
            ToCaller::Failed(call) => (call, None),
            _ => return,
        };
        let Some((offer, second, at)) = caller.open.remove(&call.0) else { return };
        let tally = &mut caller.seconds[second][offer.class];
        let advice = refused.filter(|&ms| ms > 0.0);
        if refused.is_some() {
            tally.refused += 1;
            tally.advised += u64::from(advice.is_some());
            tally.slowest_refusal_ms = tally.slowest_refusal_ms.max((now - at) as u64);
        } else {
            tally.failed += 1;
        }
        let Some(repeats) = repeats.filter(|r| offer.repeat < r.most) else { return };
        let wait = match repeats.how {
            When::AtOnce => Some(0.0),
            When::Advised => advice,
            When::Heeding => Some(advice.unwrap_or(0.0)),
        };
        if let Some(ms) = wait {
            caller.again.push((now + ms, Offer { repeat: offer.repeat + 1, ..offer }));
        }
    }

    // ---- seconds ----

    /// Counts the second that is over, and does what the scenario has for this one.
    fn second(&mut self, second: usize) {
        if second > 0 {
            for (s, server) in self.servers.iter_mut().enumerate() {
                let [attempts, answered, sent_back, dials] = std::mem::take(&mut server.counted);
                let wait_ms = std::mem::take(&mut server.wait_ms);
                self.figures.servers.push(ServerSecond {
                    run: self.run,
                    second: second - 1,
                    server: self.scenario.servers[s].id.clone(),
                    site: self.scenario.servers[s].site.clone().unwrap_or_default(),
                    attempts,
                    answered,
                    sent_back,
                    wait_ms,
                    pressed: sent_back > 0 || wait_ms > self.scenario.pressed_ms,
                    falls: 0,
                    dials,
                });
            }
        } else {
            self.servers.iter_mut().for_each(|s| s.counted = [0; 4]);
        }
        let events: Vec<_> = self.scenario.faults.iter().filter(|e| e.at_s == second).cloned().collect();
        for event in events {
            let n = self.instances.len();
            let links = event.instances.as_ref().map_or_else(|| (0..n).collect(), |which| which.of(n));
            for s in self.scenario.touched(&event) {
                if let Some(mode) = event.mode {
                    self.servers[s].mode = mode;
                    for i in 0..n {
                        if mode == Mode::Down {
                            self.link(i, s, Fault::Refuse);
                        } else if self.instances[i].links[s] == Fault::Refuse {
                            self.link(i, s, Fault::Pass);
                        }
                    }
                }
                for &i in links.iter().filter(|_| event.fault.is_some()) {
                    self.link(i, s, event.fault.unwrap_or(Fault::Pass));
                }
                if event.restarted {
                    self.list[s].started_at = Some(BORN_MS + self.now);
                    for i in 0..n {
                        let (serial, servers) = (2 + second as u32, self.list.clone());
                        let at = self.now + 300.0 * self.rng.f64();
                        self.at(at, What::Engine(i, Event::List { serial, servers }));
                    }
                }
            }
        }
    }

    fn link(&mut self, i: usize, s: usize, fault: Fault) {
        let instance = &mut self.instances[i];
        instance.links[s] = fault;
        let mut events = Vec::new();
        for (&conn, c) in instance.conns.iter_mut().filter(|(_, c)| c.server == s) {
            match fault {
                Fault::Reset | Fault::Refuse => {
                    events.push(Event::ServerLost { conn, how: Lost::Reset });
                }
                Fault::Pass => events.append(&mut c.kept),
                _ => {}
            }
        }
        // A map has no order of its own.
        events.sort_by_key(|e| match e {
            Event::Server { conn, .. } | Event::ServerLost { conn, .. } => conn.0,
            _ => 0,
        });
        for event in events {
            let at = self.way();
            self.at(at, What::Engine(i, event));
        }
    }

    fn sum_up(&mut self) {
        let scenario = self.scenario;
        // What callers repeated after the end they count in the last second, so servers do as well.
        let last = self.figures.servers.len() - self.servers.len();
        for (seen, server) in self.figures.servers[last..].iter_mut().zip(&self.servers) {
            let [attempts, answered, sent_back, _] = server.counted;
            seen.attempts += attempts;
            seen.answered += answered;
            seen.sent_back += sent_back;
        }
        for instance in &mut self.instances {
            for (offer, second, _) in instance.caller.open.values() {
                instance.caller.seconds[*second][offer.class].lost += 1;
            }
        }
        for second in 0..scenario.seconds {
            for (k, class) in scenario.classes.iter().enumerate() {
                let mut tally = Tally::default();
                self.instances.iter().for_each(|i| tally.add(&i.caller.seconds[second][k]));
                let (run, class, worth) = (self.run, class.name.clone(), class.worth);
                self.figures.callers.push(CallerSecond { run, second, class, worth, tally });
            }
        }
        for (instance, i) in self.instances.iter().enumerate() {
            let (mut tally, mut worth) = (Tally::default(), Worth::default());
            for (t, class) in
                i.caller.seconds.iter().flat_map(|by_class| by_class.iter().zip(&scenario.classes))
            {
                tally.add(t);
                worth.add(t, class.worth);
            }
            self.figures.instances.push(InstanceRun { run: self.run, instance, tally, worth });
        }
    }
}
