//! The reducer: every change of state happens in [`Engine::step`], which reads no clock and touches no socket.
//!
//! It owns calls, attempts, the list of call servers and the timers, and hosts the decision module. What the
//! module decides becomes effects here, and here alone the rules that hold on sockets are guarded: one final
//! answer, one attempt at a time, nothing new to a call server that drains, the release guard.

mod answers;
#[cfg(test)]
mod attempt_tests;
mod caller_close;
mod callers;
mod calls;
mod close_reason;
mod ended_calls;
mod fleet;
mod jobs;
mod liveness;
mod messages;
mod operators;
mod peers;
mod probes;
mod recovery;
mod release_delivery;
mod server_close;
mod shares;
mod sites;
mod stop;
#[cfg(test)]
mod tests;
mod timers;
mod unsettled;

pub use messages::*;
pub use shares::{BudgetFigures, ShareFigures};

use crate::audit::{Decision, Record};
use crate::interface::{self as module, Action, CallId, Outcome, ServerId, Settings};
use crate::limits::Limits;
use crate::policy::Controller;
use crate::rate_limited_log::LogRateLimit;
use crate::recovery::Recovery;
use crate::settings::HostSettings;
use callers::Callers;
use calls::Calls;
use fleet::Fleet;
use peers::Peers;
use probes::Probes;
use std::collections::VecDeque;
use timers::Timers;

/// A start waits no longer for the call servers' first words before tests pass, ms.
const READY_ANYWAY_MS: f64 = 3000.0;
/// A call server's liveness is looked at so often, ms.
const LOOK_MS: f64 = 250.0;

/// What a timer is for.
#[derive(Clone, Copy, Debug)]
enum Due {
    /// The module asked for it.
    Module(u64),
    /// The caller's time is over.
    CallOver(CallId),
    /// This attempt's own time-out.
    AttemptOver(CallId, u32),
    /// No connection came up for this attempt in time.
    DialOver(CallId, u32),
    Redial(ServerId),
    /// A connection that was closed has been read out for long enough.
    ReadOut(ServerConn),
    /// Attempts wait for their budget.
    Budgets,
    /// A probe's turn, and the end of a probe's time.
    Probe(ServerId),
    ProbeOver(u64),
    /// The caller's connection should have asked something by now.
    CallerSilent(CallerConn),
    /// The caller has shut its side, and may be gone.
    CallerShut(CallerConn),
    /// A caller that was seen to have shut its side before its set-ups were read has not shown to be gone.
    CallerListens(CallerConn),
    Look,
    /// Releases may be offered to a connection that brings no set-up.
    OfferReleases,
    /// A returning site becomes a candidate, or ceases to be one.
    Sites,
    /// Set-ups are taken no more.
    Stopped,
    /// A kill may come soon: what is open is failed.
    KillNear,
    /// No connection that has brought a set-up was left for a while.
    CallersLeft,
    /// Callers' connections are looked at once more before the end.
    LastLook,
}

fn worths(settings: &Settings) -> Vec<f64> {
    settings.classes.iter().map(|c| c.worth).collect()
}

pub struct Engine {
    controller: Controller,
    host: HostSettings,
    guard_ms: f64,
    max_attempts: u32,
    /// Border controllers in this tier and the longest advice callers heed: what the limits go by.
    siblings: u32,
    stay_away_max_ms: f64,
    /// The classes' worths, in their order.
    worths: Vec<f64>,
    /// The fleet limits, where the operator's file turns them on.
    limits: Option<Limits>,
    /// The plan for the loss of a site, where the operator's file has one, and when its next turn is due.
    recovery: Option<Recovery>,
    /// What the other border controllers tell, where messages are allowed.
    peers: Option<Peers>,
    /// Probes out, where they are allowed.
    may_probe: bool,
    probes: Probes,
    sites_turn: Option<f64>,
    /// This instance's parts of the fleet's budgets, where the operator's file has some.
    shares: Option<shares::Parts>,
    /// The booked jobs that are gathered, where the operator's file says how.
    jobs: Option<jobs::Jobs>,
    callers: Callers,
    calls: Calls,
    fleet: Fleet,
    timers: Timers<Due>,
    /// What the module is yet to be told.
    news: VecDeque<module::Event>,
    /// The latest time seen: the module's time never goes back.
    now: f64,
    started: f64,
    stopping: Option<f64>,
    /// All that was taken is answered, and callers' connections are being closed, since then.
    leaving_since: Option<f64>,
    /// The program that takes this one's place is there already.
    successor: bool,
    /// No connection that has brought a set-up is left since then.
    without_callers_since: Option<f64>,
    /// An operator ordered the drain then.
    out_of_service: Option<f64>,
    /// And it was to shut it out.
    shut_out: bool,
    /// Decisions are recorded.
    audited: bool,
    /// How set-ups ended, by class, and the attempts sent: what operators read.
    outcomes: Vec<Outcomes>,
    tries: u64,
    /// Which lines about bad input are written.
    bad_input: LogRateLimit,
    exiting: bool,
}

impl Engine {
    /// A border controller at its start; the list follows as an event.
    pub fn new(settings: Settings, host: HostSettings, seed: u64, now: f64) -> Self {
        let mut timers = Timers::default();
        timers.set(now + LOOK_MS, Due::Look);
        Engine {
            guard_ms: settings.guard_ms,
            max_attempts: settings.max_attempts,
            siblings: settings.siblings,
            stay_away_max_ms: settings.stay_away_max_ms,
            worths: worths(&settings),
            limits: None,
            recovery: None,
            peers: None,
            may_probe: settings.may_probe,
            probes: Probes::default(),
            sites_turn: None,
            shares: None,
            jobs: None,
            controller: Controller::new(settings, seed, now),
            host,
            callers: Callers::default(),
            calls: Calls::default(),
            fleet: Fleet::default(),
            timers,
            news: VecDeque::new(),
            now,
            started: now,
            stopping: None,
            leaving_since: None,
            successor: false,
            without_callers_since: None,
            out_of_service: None,
            shut_out: false,
            audited: false,
            outcomes: Vec::new(),
            tries: 0,
            bad_input: LogRateLimit::default(),
            exiting: false,
        }
    }

    /// Turns on the fleet limits: retry budgets, back-off and pacing of dials (`crate::limits`).
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = Some(limits);
        self
    }

    /// Turns on the audit record: every decision becomes an effect of its own, before the effects that carry it out.
    pub fn with_audit(mut self) -> Self {
        self.audited = true;
        self
    }

    /// A decision of a call: to the log, and to the audit record where it is on.
    fn decided(&self, call: CallId, out: &mut Vec<Effect>, decision: impl FnOnce() -> Decision) {
        if !self.audited && !log::log_enabled!(target: "decision", log::Level::Debug) {
            return;
        }
        let decision = decision();
        log::debug!(target: "decision", call:% = format_args!("{:016x}", call.0), what = decision.name(); "decided");
        if self.audited {
            out.push(Effect::Record(Record { at_ms: self.now.max(0.0) as u64, call: call.0, decision }));
        }
    }

    /// Whether a connection that has brought a call is there, and so a caller to hear of ends.
    pub fn has_callers(&self) -> bool {
        self.callers.any_with_calls()
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<f64> {
        self.timers.next_ms()
    }

    /// Takes one event; what is to be done about it is appended.
    pub fn step(&mut self, now: f64, event: Event, out: &mut Vec<Effect>) {
        // The system's clock may be set back under a running program; the module's never is.
        self.now = self.now.max(now);
        self.look_at_jobs(out);
        match event {
            Event::CallerOpened(conn) => self.caller_opened(conn, out),
            Event::Caller { conn, read_at, message } => self.hear_caller(conn, read_at, message, out),
            Event::CallerShutEarly(conn) => self.caller_shut_early(conn),
            Event::CallerEof(conn) => self.caller_eof(conn, out),
            Event::CallerStalled(conn) => self.caller_stalled(conn, out),
            Event::CallerClosed { conn, unsent } => self.caller_closed(conn, unsent, out),
            Event::ServerOpened(conn) => self.server_opened(conn, out),
            Event::Server { conn, message } => self.hear_server(conn, message, out),
            Event::Written { conn, call } => self.release_written(conn, call),
            Event::ServerLost { conn, how } => self.server_lost(conn, how, out),
            Event::List { serial, servers } => self.follow_list(serial, servers, out),
            Event::Settings { settings, host } => self.follow_settings(settings, host),
            Event::EndsPassedOn(ends) => self.callers.releases.forget_owed(&ends),
            Event::EndsTaken { ends, own } => self.ends_taken(&ends, own, out),
            Event::PredecessorGone(undelivered) => self.predecessor_gone(undelivered, out),
            Event::Tick => {}
            Event::Peer { from, told } => self.hear_peer(from, told),
            Event::Operator { conn, ask } => self.hear_operator(conn, ask, out),
            Event::Stop { successor } => self.stop(successor, out),
        }
        self.settle(out);
        while let Some(due) = self.timers.pop(self.now) {
            self.fire(due, out);
            self.settle(out);
        }
        self.exit_if_done(out);
    }

    /// Hands the module its news until it has nothing more to say.
    fn settle(&mut self, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        while let Some(event) = self.news.pop_front() {
            self.controller.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action, out);
            }
        }
    }

    fn act(&mut self, action: Action, out: &mut Vec<Effect>) {
        match action {
            Action::Send { call, server, timeout_ms } => self.send(call, server, timeout_ms, out),
            Action::Cancel { call, attempt } => {
                if self.calls.attempt_number(call) == Some(attempt) {
                    self.end_out(call, Outcome::Cancelled, out);
                }
            }
            Action::Refuse { call, stay_away_ms } => {
                self.answer(call, ToCaller::Refused { call, stay_away_ms }, out);
            }
            Action::Fail(call) => self.answer(call, ToCaller::Failed(call), out),
            Action::Timer { at, token } => self.timers.set(at, Due::Module(token)),
            Action::Log(text) => log::info!("{text}"),
            Action::TellAll { server, report } => self.tell_peers(server, report, out),
            Action::Probe(server) => self.test_server(server, out),
        }
    }

    fn fire(&mut self, due: Due, out: &mut Vec<Effect>) {
        match due {
            Due::Module(token) => self.news.push_back(module::Event::Timer(token)),
            Due::CallOver(call) => self.call_over(call, out),
            Due::AttemptOver(call, attempt) => {
                if self.calls.attempt_number(call) == Some(attempt) {
                    self.end_out(call, Outcome::TimedOut, out);
                }
            }
            Due::DialOver(call, attempt) => self.dial_over(call, attempt),
            Due::Budgets => self.pay_held(out),
            Due::Redial(server) => self.redial_if_due(server, out),
            Due::ReadOut(conn) => self.abandon_if_due(conn, out),
            Due::Probe(server) => self.send_probe(server, out),
            Due::ProbeOver(id) => self.probe_over(id),
            Due::CallerSilent(conn) => self.caller_silent(conn, out),
            Due::CallerListens(conn) => self.caller_listens(conn),
            Due::CallerShut(conn) => self.look_at_shut(conn, out),
            Due::Look => {
                self.look(out);
                self.look_at_callers(out);
                self.look_at_sites(out);
                self.tell_sites();
                self.timers.set(self.now + LOOK_MS, Due::Look);
            }
            Due::OfferReleases => self.offer_owed_releases(out),
            Due::Sites => self.sites_turned(),
            Due::Stopped => log::info!("set-ups are taken no more"),
            // The end of the program is looked at after each step.
            Due::CallersLeft => {}
            Due::KillNear => self.fail_open_set_ups(out),
            Due::LastLook => self.last_look(out),
        }
    }

    // ---- settings and start ----

    /// Calls carry their class by its place in the settings: that can't change under those that are open.
    fn follow_settings(&mut self, settings: Settings, host: HostSettings) {
        let names = |host: &HostSettings| host.classes.iter().map(|c| c.name.clone()).collect::<Vec<_>>();
        if names(&host) != names(&self.host) {
            return log::error!("other classes need a restart: the settings stay as they were");
        }
        (self.guard_ms, self.max_attempts, self.host) = (settings.guard_ms, settings.max_attempts, host);
        self.may_probe = settings.may_probe;
        (self.siblings, self.stay_away_max_ms) = (settings.siblings, settings.stay_away_max_ms);
        self.worths = worths(&settings);
        self.tell_worths();
        self.news.push_back(module::Event::Settings(settings));
    }

    /// Work may come: every call server has told its state or could not be reached.
    fn ready(&self) -> bool {
        self.stopping.is_none()
            && self.out_of_service.is_none()
            && (self.fleet.all_tried() || self.now - self.started >= READY_ANYWAY_MS)
    }
}
