//! Performs the reducer's effects: one queue of events in, one clock, one loop.

use super::ends_exchange::{EndsExchange, TakenEnds};
use super::listeners::{self, Heirs};
use super::presence::{self, PREDECESSOR_POLL, Presence};
use super::signals::Signals;
use super::unheard::Unheard;
use super::{CALLER_QUEUE, SERVER_QUEUE, callers, control, names, operators, peers, servers};
use crate::audit::{AuditSettings, Writer};
use crate::clock::{Clock, PULSE};
use crate::codec::h248::{callers::CallerCodec, servers::ServerCodec};
use crate::codec::peers::{self as datagrams, DATAGRAM_MAX};
use crate::config::{Config, Source};
use crate::control::{ControlSettings, Place};
use crate::engine::{
    CallerConn, Effect, Engine, Event, OperatorAnswer, OperatorAsk, OperatorConn, PeerReport, ServerConn,
    Standing, ToCaller, UndeliveredEnd,
};
use crate::fronts::Fronts;
use crate::limits::{LimitSettings, Limits};
use crate::logger;
use crate::rate_limited_log::RateLimitedLog;
use crate::recovery::{Recovery, SiteSettings};
use crate::terms::Member;
use crate::version::{Status, Version};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

/// Events that may wait for the reducer; a connection that has more to say waits.
const EVENT_QUEUE: usize = 1024;
/// Events taken before the effects of all are performed.
const BATCH: usize = 256;
/// Operators' questions that may wait.
const OPERATOR_QUEUE: usize = 16;
/// What is written at the end is waited for at most so long.
const LAST_WRITES: Duration = Duration::from_secs(2);
/// No descriptor is free: the next connection is taken up after this.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The decision modules beside percent blocking that the operator's files turn on; none of them by default.
#[derive(Debug, Default)]
pub struct Decisions {
    /// Fleet limits.
    pub limits: Option<LimitSettings>,
    /// The plan for the loss of a site.
    pub sites: Option<SiteSettings>,
    /// The fleet's control plane, and the file that it was read from.
    pub control: Option<(ControlSettings, PathBuf)>,
    /// The audit record.
    pub audit: Option<AuditSettings>,
    /// What the process acts on.
    pub version: Version,
}

/// Serves until the program is told to stop, and for as long after that as a stop takes.
///
/// # Errors
/// An address can't be listened on, or the audit folder can't be written.
pub async fn serve(
    mut config: Config,
    source: Source,
    fronts: Fronts,
    mut decisions: Decisions,
    signals: Signals,
) -> Result<(), String> {
    let Signals { mut hangups, mut stops, mut interrupts } = signals;
    let bound = |at| listeners::bind(at).map_err(|e| format!("listening on {at}: {e}"));
    let listener = bound(config.listen)?;
    let (sender, mut events) = mpsc::channel(EVENT_QUEUE);
    let (names, at) = watch::channel(config.names);
    let mut text_listener = match fronts.text.listen {
        Some(at) => {
            let listener = bound(at)?;
            log::info!("text callers on {}", listener.local_addr().map_err(|e| format!("listening: {e}"))?);
            Some(listener)
        }
        None => None,
    };
    let fleet_file = decisions.control.take();
    let fleet = control_plane(&config, fleet_file.as_ref().map(|(settings, _)| settings.clone()))?;
    let mut driver = Driver::new(&config, sender.clone(), names, fronts, decisions, fleet.as_ref())?;
    if let Some(peering) = &config.peering {
        let at = peering.listen;
        let queue = fleet.as_ref().map(control::Ready::queue);
        let peers = peers::Peers::bind(peering, queue).map_err(|e| format!("peers at {at}: {e}"))?;
        log::info!("peers on {}", peers.addr().map_err(|e| format!("peers at {at}: {e}"))?);
        let sending = peers.sender();
        let hearing = tokio::task::spawn_local(peers.listen(sender.clone())).abort_handle();
        driver.control = fleet.map(|fleet| fleet.start(sending.clone())).transpose()?;
        driver.fleet_file = fleet_file.filter(|_| driver.control.is_some());
        driver.peers = Some((sending, hearing));
    }
    tokio::task::spawn_local(beat(driver.clock.clone()));
    tokio::task::spawn_local(names::poll(at, config.seed, sender, driver.bad_input.clone()));
    let listening = listener.local_addr().map_err(|e| format!("listening: {e}"))?;
    let heirs = Heirs::join(listening);
    let (presence, mut predecessors) = presence::join(listening);
    driver.presence = presence;
    driver.ends = EndsExchange::join(listening);
    let mut looks_at_predecessors = interval(PREDECESSOR_POLL);
    looks_at_predecessors.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (asks, mut questions) = mpsc::channel(OPERATOR_QUEUE);
    if let Some(at) = config.management {
        let listener = bound(at)?;
        log::info!("operators on {}", listener.local_addr().map_err(|e| format!("listening: {e}"))?);
        let desk = driver.control.as_ref().and_then(control::Handle::desk);
        tokio::task::spawn_local(operators::listen(listener, asks.clone(), desk));
    }
    log::info!("listening on {listening}");
    let mut listener = Some(listener);
    let known = std::mem::take(&mut config.known);
    driver.step(Event::List { serial: config.serial, servers: known });
    while !driver.exiting {
        let wait = driver.engine.next_due().map_or(1000.0, |due| due - driver.clock.now()).clamp(0.0, 1000.0);
        tokio::select! {
            Some(event) = events.recv() => {
                driver.step(event);
                for _ in 0..BATCH {
                    let Ok(event) = events.try_recv() else { break };
                    driver.step(event);
                }
            }
            accepted = listeners::accept(listener.as_ref()), if driver.may_accept() => match accepted {
                Ok((stream, _)) => driver.accept(stream, Speech::Binary),
                Err(e) => driver.pause_accepting(&e),
            },
            accepted = listeners::accept(text_listener.as_ref()), if driver.may_accept() => match accepted {
                Ok((stream, _)) => driver.accept(stream, Speech::Text),
                Err(e) => driver.pause_accepting(&e),
            },
            _ = hangups.recv() => driver.reload(&config, &source),
            Some((ask, answer)) = questions.recv() => {
                if ask == OperatorAsk::Reload {
                    driver.reload(&config, &source);
                }
                driver.ask(ask, answer);
            }
            _ = stops.recv() => driver.stop(&mut listener, &mut text_listener, &heirs),
            _ = interrupts.recv() => driver.stop(&mut listener, &mut text_listener, &heirs),
            _ = looks_at_predecessors.tick() => {
                driver.take_ends();
                for undelivered in predecessors.take_gone() {
                    driver.step(Event::PredecessorGone(undelivered));
                }
            }
            () = sleep(Duration::from_secs_f64(wait / 1000.0)) => driver.step(Event::Tick),
        }
        if driver.stops_listening {
            driver.stop_listening(&mut listener, &mut text_listener);
        }
    }
    driver.finish(events).await;
    Ok(())
}

/// The control plane, ready for its socket, where the operator's file turns it on and there is anybody to speak with.
fn control_plane(
    config: &Config,
    settings: Option<ControlSettings>,
) -> Result<Option<control::Ready>, String> {
    let Some(settings) = settings else { return Ok(None) };
    let Some(peering) = &config.peering else {
        log::warn!(
            "the control plane stays off: the configuration allows no messages to peers, or names none"
        );
        return Ok(None);
    };
    log::info!("control plane on: {settings:?}");
    let count = |n: usize| u16::try_from(n).map_err(|_| format!("{n} peers are too many"));
    let incarnation = Clock::default().now().max(0.0) as u64;
    let place = Place {
        me: Member(count(peering.own)?),
        members: count(peering.peers.len())?,
        incarnation,
        seed: config.seed ^ incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15),
    };
    control::Ready::new(settings, place, control::Monotonic::start()).map(Some)
}

async fn beat(clock: Clock) {
    let mut ticks = interval(PULSE);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        clock.beat();
    }
}

/// Owns the reducer and the near end of every connection's queue.
struct Driver {
    engine: Engine,
    /// The process's name, what it acts on, and the serial of its list.
    name: String,
    version: Version,
    list: u32,
    /// Why the last reload changed nothing.
    reload_failed: Option<String>,
    audit: Option<Writer>,
    clock: Clock,
    /// Lines about what peers sent that can't be read.
    bad_input: RateLimitedLog,
    events: mpsc::Sender<Event>,
    /// Where the name service is.
    names: watch::Sender<SocketAddr>,
    callers: HashMap<CallerConn, mpsc::Sender<callers::Order>>,
    /// What connections whose end the reducer has not heard of could not take any more.
    unqueued: HashMap<CallerConn, Vec<ToCaller>>,
    callers_max: usize,
    /// Callers' connections whose task still holds a descriptor.
    callers_held: usize,
    /// No connection is taken before then.
    accept_from: Instant,
    accepted: u64,
    servers: HashMap<ServerConn, servers::Handle>,
    /// Those that were closed and are still read.
    closing: HashMap<ServerConn, servers::Closing>,
    /// Where operators' answers go.
    operators: HashMap<OperatorConn, oneshot::Sender<OperatorAnswer>>,
    asked: u64,
    tasks: JoinSet<()>,
    effects: Vec<Effect>,
    /// Shows the processes that start later at this address that call servers may tell this one of calls.
    presence: Option<Presence>,
    /// Ends of calls go to and come from other processes at this address there.
    ends: Option<EndsExchange>,
    /// No further connection is to be taken.
    stops_listening: bool,
    exiting: bool,
    fronts: Fronts,
    /// The socket to the other border controllers, and the task that hears them, where messages are allowed.
    peers: Option<(peers::Sender, AbortHandle)>,
    /// The control plane's thread, where the operator's file turns it on.
    control: Option<control::Handle>,
    /// What it was started on, and from which file.
    fleet_file: Option<(ControlSettings, PathBuf)>,
}

/// What a caller's connection speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Speech {
    Binary,
    Text,
}

impl Driver {
    fn new(
        config: &Config,
        events: mpsc::Sender<Event>,
        names: watch::Sender<SocketAddr>,
        fronts: Fronts,
        decisions: Decisions,
        fleet: Option<&control::Ready>,
    ) -> Result<Self, String> {
        let clock = Clock::default();
        let mut engine = Engine::new(config.settings.clone(), config.host.clone(), config.seed, clock.now());
        if let Some(settings) = decisions.limits {
            log::info!("fleet limits on: {settings:?}");
            engine = engine.with_limits(Limits::new(settings, config.seed));
        }
        if let Some(settings) = decisions.sites {
            log::info!("plan for the loss of a site on: {settings:?}");
            engine = engine.with_recovery(Recovery::new(settings, config.seed));
        }
        if config.peering.is_some() {
            engine = engine.with_peers();
        }
        if let Some(fleet) = fleet {
            engine = fleet.turn_on(engine, config.seed);
        }
        let (name, version) = (config.name.clone(), decisions.version);
        logger::act_on(&version);
        let mut audit = None;
        if let Some(settings) = decisions.audit {
            log::info!("audit record on: {settings:?}");
            engine = engine.with_audit();
            let folder = settings.folder.display().to_string();
            let writer = Writer::start(settings, clock.now() as u64, &name, &version, config.serial);
            audit = Some(writer.map_err(|e| format!("audit folder {folder}: {e}"))?);
        }
        Ok(Driver {
            engine,
            name,
            version,
            list: config.serial,
            reload_failed: None,
            audit,
            bad_input: RateLimitedLog::new(clock.clone()),
            clock,
            events,
            names,
            callers: HashMap::new(),
            unqueued: HashMap::new(),
            callers_max: config.host.callers_max,
            callers_held: 0,
            accept_from: Instant::now(),
            accepted: 0,
            servers: HashMap::new(),
            closing: HashMap::new(),
            operators: HashMap::new(),
            asked: 0,
            tasks: JoinSet::new(),
            effects: Vec::new(),
            presence: None,
            ends: None,
            stops_listening: false,
            exiting: false,
            fronts,
            peers: None,
            control: None,
            fleet_file: None,
        })
    }

    /// Reads the configuration and the control plane's file again: both whole, or nothing changes.
    fn reload(&mut self, started: &Config, source: &Source) {
        match self.read_again(started, source) {
            Ok((new, fleet)) => {
                (self.version.config, self.version.settings) = new.digests.clone();
                self.version.fleet = fleet.unwrap_or(std::mem::take(&mut self.version.fleet));
                self.reload_failed = None;
                logger::act_on(&self.version);
                self.tell_version();
                self.follow(started, new);
            }
            Err(e) => {
                log::error!("the configuration stays as it was: {e}");
                self.reload_failed = Some(e);
            }
        }
    }

    /// The configuration, and the digest of the control plane's file if it was taken up.
    fn read_again(&self, started: &Config, source: &Source) -> Result<(Config, Option<String>), String> {
        let new = source.read()?;
        let classes = |c: &Config| c.host.classes.iter().map(|c| c.name.clone()).collect::<Vec<_>>();
        if classes(&new) != classes(started) {
            return Err("other classes need a restart".to_owned());
        }
        let Some((started, path)) = &self.fleet_file else { return Ok((new, None)) };
        let told = |e: String| format!("{}: {e}", path.display());
        let reservations = started.reread(&ControlSettings::read(path)?).map_err(told)?;
        let digest = crate::version::digest_of(Some(path))?;
        if let Some((settings, desk)) =
            reservations.zip(self.control.as_ref().and_then(control::Handle::desk))
        {
            desk.reread(settings).map_err(told)?;
        }
        Ok((new, Some(digest)))
    }

    /// The audit log hears what the decisions from here on are taken on.
    fn tell_version(&mut self) {
        let now = self.clock.now() as u64;
        if let Some(audit) = &mut self.audit {
            audit.version(now, &self.name, &self.version, self.list);
        }
    }

    /// Writes the records among the effects, all at once, before any of the others is carried out.
    fn keep_records(&mut self, effects: &mut Vec<Effect>) {
        if self.audit.is_none() {
            return;
        }
        if self.engine.list() != self.list {
            self.list = self.engine.list();
            self.tell_version();
        }
        let Some(audit) = &mut self.audit else { return };
        for effect in effects.iter() {
            if let Effect::Record(record) = effect {
                audit.record(record.clone());
            }
        }
        effects.retain(|effect| !matches!(effect, Effect::Record(_)));
        // Calls go on being served: what could not be written is counted.
        if let Err(e) = audit.flush() {
            log::error!("the audit log can't be written, {} writes lost: {e}", audit.lost());
        }
    }

    /// The configuration was read again: what may change under a running program does; calls, connections and
    /// the list's serial go on.
    fn follow(&mut self, started: &Config, new: Config) {
        log::info!("configuration read again: name service at {}", new.names);
        if new.listen != started.listen {
            log::warn!("listening on {} needs a restart", new.listen);
        }
        if new.peering != started.peering {
            log::warn!("other peers need a restart");
        }
        self.callers_max = new.host.callers_max;
        // Also if it is the same address: it is asked at once then.
        self.names.send_replace(new.names);
        self.step(Event::Settings { settings: new.settings, host: new.host });
    }

    fn step(&mut self, mut event: Event) {
        let ended = match &mut event {
            Event::CallerClosed { conn, unsent } => {
                self.callers.remove(conn);
                unsent.extend(self.unqueued.remove(conn).unwrap_or_default());
                self.callers_held -= 1;
                true
            }
            Event::ServerLost { conn, .. } => {
                self.servers.remove(conn);
                self.closing.remove(conn);
                true
            }
            _ => false,
        };
        if ended {
            while self.tasks.try_join_next().is_some() {}
        }
        if let Some(control) = &self.control {
            self.engine.monotonic(control.now());
        }
        let mut effects = std::mem::take(&mut self.effects);
        self.engine.step(self.clock.now(), event, &mut effects);
        self.keep_records(&mut effects);
        for effect in effects.drain(..) {
            self.perform(effect);
        }
        self.effects = effects;
    }

    fn perform(&mut self, effect: Effect) {
        log::trace!("{effect:?}");
        match effect {
            Effect::ToCaller { conn, message } => self.order(conn, callers::Order::Write(message)),
            Effect::CloseIdleCaller { conn, heard, keep_partial } => {
                let check = callers::IdleCheck { heard, keep_partial };
                self.order(conn, callers::Order::CloseIfIdle(check));
            }
            Effect::CloseCaller(conn) => {
                self.callers.remove(&conn);
            }
            Effect::PassOnEnds(ends) => self.pass_on_ends(ends),
            Effect::StopListening => self.stops_listening = true,
            Effect::ServersLeft(undelivered) => {
                if let Some(Err(e)) = self.presence.take().map(|presence| presence.leave(&undelivered)) {
                    log::warn!("{} ends of calls are not left to a successor: {e}", undelivered.len());
                }
            }
            Effect::Dial { conn, addr, timeout_ms } => {
                let (handle, orders) = servers::queue(SERVER_QUEUE);
                self.servers.insert(conn, handle);
                let timeout = Duration::from_secs_f64(timeout_ms.clamp(1.0, 60_000.0) / 1000.0);
                let (events, bad_input) = (self.events.clone(), self.bad_input.clone());
                if self.fronts.speaks_text(addr) {
                    let codec = ServerCodec::new(&self.fronts.mid);
                    self.tasks
                        .spawn_local(servers::serve(codec, addr, timeout, conn, orders, events, bad_input));
                } else {
                    self.tasks.spawn_local(servers::serve(
                        servers::Codec::default(),
                        addr,
                        timeout,
                        conn,
                        orders,
                        events,
                        bad_input,
                    ));
                }
            }
            Effect::ToServer { conn, message, confirm } => {
                let full =
                    self.servers.get(&conn).is_some_and(|s| s.orders.try_send((message, confirm)).is_err());
                if full {
                    self.servers.remove(&conn);
                }
            }
            Effect::CloseServer(conn) => {
                if let Some(handle) = self.servers.remove(&conn) {
                    self.closing.insert(conn, handle.close());
                }
            }
            Effect::AbandonServer(conn) => {
                self.closing.remove(&conn);
            }
            Effect::ToPeers(told) => self.tell_peers(&told),
            // Written already, where there is an audit log.
            Effect::Record(_) => {}
            Effect::ToOperator { conn, answer } => {
                let answer = match answer {
                    OperatorAnswer::Standing(standing) => {
                        OperatorAnswer::Status(Box::new(self.status(standing)))
                    }
                    OperatorAnswer::Figures(mut figures) => {
                        if let (Some(peers), Some((sending, _))) = (&mut figures.peers, &self.peers) {
                            sending.add_to(peers);
                        }
                        if let (Some(shares), Some(control)) = (&mut figures.shares, &self.control) {
                            shares.control = control.figures();
                        }
                        OperatorAnswer::Figures(figures)
                    }
                    other => other,
                };
                // Nobody waits for it if the operator has hung up.
                let _ = self.operators.remove(&conn).map(|reply| reply.send(answer));
            }
            Effect::Exit => self.exiting = true,
        }
    }

    fn pass_on_ends(&mut self, ends: Vec<UndeliveredEnd>) {
        let Some((exchange, presence)) = self.ends.as_mut().zip(self.presence.as_ref()) else { return };
        match exchange.pass_on(presence, &ends) {
            Ok(true) => {
                log::info!(
                    "{} ends of calls found no caller here, and are left to another process",
                    ends.len()
                );
                self.step(Event::EndsPassedOn(ends));
            }
            Ok(false) => {}
            Err(e) => log::warn!("{} ends of calls are not left to another process: {e}", ends.len()),
        }
    }

    /// What other processes at this address could not tell their callers is told here, where callers are.
    fn take_ends(&mut self) {
        let has_callers = self.engine.has_callers();
        for TakenEnds { own, ends } in
            self.ends.as_ref().filter(|_| has_callers).map(EndsExchange::take).unwrap_or_default()
        {
            self.step(Event::EndsTaken { ends, own });
        }
    }

    /// A peer that takes nothing is given up: its task tells the reducer, with what could not be queued.
    fn order(&mut self, conn: CallerConn, order: callers::Order) {
        let queued = match self.callers.get(&conn) {
            Some(queue) => queue.try_send(order),
            None => Err(TrySendError::Closed(order)),
        };
        let Err(TrySendError::Full(order) | TrySendError::Closed(order)) = queued else { return };
        self.callers.remove(&conn);
        if let callers::Order::Write(message) = order {
            self.unqueued.entry(conn).or_default().push(message);
        }
    }

    fn tell_peers(&self, told: &PeerReport) {
        let Some((sending, _)) = &self.peers else { return };
        match datagrams::write(told, &mut [0; DATAGRAM_MAX]) {
            Ok(datagram) => {
                sending.to_all(datagram);
            }
            Err(e) => log::debug!("nothing told of {}: {e:?}", told.server),
        }
    }

    fn status(&self, standing: Standing) -> Status {
        Status {
            name: self.name.clone(),
            version: self.version.clone(),
            list: standing.list,
            ready: standing.ready,
            out_of_service: standing.out_of_service,
            in_progress: standing.in_progress,
            reload_failed: self.reload_failed.clone(),
        }
    }

    /// The engine closes connections beyond the most that it keeps; those on their way out count here too. The
    /// engine's timers turn the loop often enough for this to be looked at again.
    fn may_accept(&self) -> bool {
        self.callers_held <= self.callers_max && Instant::now() >= self.accept_from
    }

    fn ask(&mut self, ask: OperatorAsk, reply: oneshot::Sender<OperatorAnswer>) {
        self.asked += 1;
        let conn = OperatorConn(self.asked);
        self.operators.insert(conn, reply);
        self.step(Event::Operator { conn, ask });
    }

    /// The connections that the listeners were given already are served here, and they are let go at once, so that no
    /// later one is left unread.
    fn stop_listening(&mut self, listener: &mut Option<TcpListener>, text: &mut Option<TcpListener>) {
        self.stops_listening = false;
        for stream in listener.take().map(listeners::last_of).unwrap_or_default() {
            self.accept(stream, Speech::Binary);
        }
        for stream in text.take().map(listeners::last_of).unwrap_or_default() {
            self.accept(stream, Speech::Text);
        }
    }

    /// A successor takes what comes from now on.
    fn stop(&mut self, listener: &mut Option<TcpListener>, text: &mut Option<TcpListener>, heirs: &Heirs) {
        let successor = heirs.any_other();
        if successor {
            self.stop_listening(listener, text);
        }
        // What peers send is for the successor alone from now on: both would get a part of it.
        if successor && let Some((_, hearing)) = self.peers.take() {
            hearing.abort();
        }
        if let Some(control) = &self.control {
            control.leave();
        }
        self.step(Event::Stop { successor });
    }

    fn pause_accepting(&mut self, error: &std::io::Error) {
        log::warn!("accepting: {error}");
        self.accept_from = Instant::now() + ACCEPT_PAUSE;
    }

    fn accept(&mut self, stream: TcpStream, speech: Speech) {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("a caller's connection: {e}");
        }
        self.accepted += 1;
        self.callers_held += 1;
        let conn = CallerConn(self.accepted);
        let (queue, messages) = mpsc::channel(CALLER_QUEUE);
        self.callers.insert(conn, queue);
        let (events, clock) = (self.events.clone(), self.clock.clone());
        let bad_input = self.bad_input.clone();
        match speech {
            Speech::Binary => self.tasks.spawn_local(callers::serve(
                stream,
                callers::Codec,
                conn,
                messages,
                events,
                clock,
                bad_input,
            )),
            Speech::Text => {
                let codec = CallerCodec::new(&self.fronts.mid);
                self.tasks
                    .spawn_local(callers::serve(stream, codec, conn, messages, events, clock, bad_input))
            }
        };
        self.step(Event::CallerOpened(conn));
    }

    /// Lets every connection write what it still has, then ends. What still comes in is counted and logged, and acted on
    /// by nobody here.
    async fn finish(mut self, mut events: mpsc::Receiver<Event>) {
        self.callers.clear();
        self.servers.clear();
        self.closing.clear();
        let mut unheard = Unheard::default();
        let all = async {
            loop {
                tokio::select! {
                    ended = self.tasks.join_next() => if ended.is_none() { break },
                    Some(event) = events.recv() => unheard.note(&event),
                }
            }
            while let Ok(event) = events.try_recv() {
                unheard.note(&event);
            }
        };
        let written = timeout(LAST_WRITES, all).await.is_ok();
        if !written {
            log::warn!("some last answers could not be written");
        }
        unheard.log();
    }
}
