//! Calls and their attempts: from the set-up to the one final answer, and to the release of what stood.

use super::callers::CallerPresence;
use super::ended_calls::{EndedCalls, Reach};
use super::shares::Paid;
use super::unsettled::UnsettledAttempts;
use super::{CallerConn, Due, Effect, Engine, Fault, ServerConn, SetUp, ToCaller, ToServer};
use crate::audit::Decision;
use crate::interface::{self as module, CallId, LoadReport, Outcome, ServerId};
use crate::settings::ClassRules;
use std::collections::BTreeMap;

/// The module answers before the caller's time is over; if it has not this long after, the engine does, ms.
const OVERDUE_MS: f64 = 5.0;
/// A caller waits no longer than its class's deadline, give or take; a longer wait is no figure.
const WAIT_SLACK: f64 = 2.0;

/// An attempt that has not ended.
pub(super) struct Attempt {
    pub(super) number: u32,
    pub(super) server: ServerId,
    pub(super) sent_at: f64,
    /// Its set-up's place among all that was written to call servers.
    pub(super) written: u64,
    pub(super) stage: Stage,
}

/// Where and when an attempt ended that had been sent.
pub(super) struct EndedAttempt {
    pub(super) server: ServerId,
    pub(super) conn: ServerConn,
    at: f64,
}

#[derive(Clone, Copy, PartialEq)]
pub(super) enum Stage {
    /// For its budget.
    Unpaid,
    /// For a connection.
    Waiting,
    Out(ServerConn),
    /// Its release is being written; then it ends so.
    Ending(ServerConn, Outcome),
}

pub(super) struct Standing {
    pub(super) server: ServerId,
    pub(super) conn: ServerConn,
    pub(super) since: f64,
}

pub(super) struct Call {
    pub(super) conn: CallerConn,
    pub(super) class: usize,
    pub(super) number: Option<String>,
    pub(super) description: String,
    pub(super) deadline: f64,
    /// It got its final answer, or is owed none.
    pub(super) answered: bool,
    pub(super) attempts: u32,
    /// Of these, the ones that the fleet limits and budgets let through.
    pub(super) weighed: u32,
    /// An attempt of it began to wait for its budget then.
    pub(super) held_from: Option<f64>,
    pub(super) attempt: Option<Attempt>,
    pub(super) guard_until: f64,
    /// The attempts of it that have ended.
    pub(super) tried: Vec<EndedAttempt>,
    pub(super) standing: Option<Standing>,
    /// How far it came.
    pub(super) reach: Reach,
    /// What the module is told of it once its caller has shown to listen.
    pub(super) held: Option<module::Call>,
}

#[derive(Default)]
pub(super) struct Calls {
    pub(super) live: BTreeMap<CallId, Call>,
    pub(super) ended: EndedCalls,
    pub(super) unsettled: UnsettledAttempts,
    /// Set-ups and releases written to call servers.
    pub(super) written: u64,
}

impl Calls {
    pub fn attempt_number(&self, call: CallId) -> Option<u32> {
        self.live.get(&call)?.attempt.as_ref().map(|a| a.number)
    }

    /// Set-ups that wait for their answer, and calls that stand.
    pub fn in_progress(&self) -> usize {
        self.live.values().filter(|c| !c.answered || c.standing.is_some()).count()
    }

    #[cfg(test)]
    pub fn none_in_set_up(&self) -> bool {
        self.live.values().all(|c| c.answered && c.attempt.is_none())
    }

    /// The connections of the set-ups that wait for an answer.
    pub fn waiting_on(&self) -> impl Iterator<Item = CallerConn> {
        self.live.values().filter(|c| !c.answered).map(|c| c.conn)
    }

    /// A set-up that waits for its answer on this connection.
    pub fn first_waiting_on(&self, conn: CallerConn) -> Option<CallId> {
        self.live.iter().find(|(_, c)| c.conn == conn && !c.answered).map(|(&id, _)| id)
    }

    /// The set-ups of this connection that wait for their answer and are at no call server.
    pub fn not_out_from(&self, conn: CallerConn) -> Vec<CallId> {
        let is_out = |c: &Call| c.attempt.as_ref().is_some_and(|a| matches!(a.stage, Stage::Out(_)));
        self.ids(|c| c.conn == conn && !c.answered && c.held.is_none() && !is_out(c))
    }

    /// The connections of the calls that stand.
    pub fn standing_on(&self) -> impl Iterator<Item = CallerConn> {
        self.live.values().filter(|c| c.standing.is_some()).map(|c| c.conn)
    }

    /// The connection of a call's set-up.
    pub fn conn_of(&self, call: CallId) -> Option<CallerConn> {
        self.live.get(&call).map(|c| c.conn)
    }

    fn in_set_up(&self) -> usize {
        self.live.values().filter(|c| c.standing.is_none()).count()
    }

    pub(super) fn ids(&self, which: impl Fn(&Call) -> bool) -> Vec<CallId> {
        self.live.iter().filter(|(_, c)| which(c)).map(|(&id, _)| id).collect()
    }

    /// The connections on which the calls that stand at this call server were set up.
    pub fn standing_at(&self, server: ServerId) -> impl Iterator<Item = ServerConn> {
        let standing = self.live.values().filter_map(|c| c.standing.as_ref());
        standing.filter(move |s| s.server == server).map(|s| s.conn)
    }

    pub fn any_standing_at(&self, server: ServerId) -> bool {
        self.live.values().any(|c| c.standing.as_ref().is_some_and(|s| s.server == server))
    }

    /// The calls that have stood at this call server since before this time.
    pub fn standing_at_before(&self, server: ServerId, before: f64) -> Vec<CallId> {
        self.ids(|c| c.standing.as_ref().is_some_and(|s| s.server == server && s.since < before))
    }

    /// Set-ups out at this call server, or waiting for a connection to it.
    pub fn out_at(&self, server: ServerId) -> usize {
        let out = |c: &&Call| c.attempt.as_ref().is_some_and(|a| a.server == server);
        self.live.values().filter(out).count()
    }

    /// Whether something at this call server is waited for.
    pub fn any_at(&self, server: ServerId) -> bool {
        let set_up = |c: &Call| c.attempt.as_ref().is_some_and(|a| a.server == server);
        self.any_standing_at(server) || self.live.values().any(set_up)
    }

    /// The connections to this call server on which attempts of this call have ended since then.
    pub fn tried_on_since(&self, call: CallId, server: ServerId, since: f64) -> Vec<ServerConn> {
        let tried = self.live.get(&call).map_or(&[][..], |c| &c.tried);
        tried
            .iter()
            .filter(|ended| ended.server == server && ended.at > since)
            .map(|ended| ended.conn)
            .collect()
    }

    /// Whether a call stands that was set up on this connection.
    pub fn any_standing_set_up_on(&self, conn: ServerConn) -> bool {
        self.live.values().any(|c| c.standing.as_ref().is_some_and(|s| s.conn == conn))
    }

    pub fn any_on(&self, conn: ServerConn) -> bool {
        self.live.values().any(|c| {
            c.attempt
                .as_ref()
                .is_some_and(|a| matches!(a.stage, Stage::Out(on) | Stage::Ending(on, _) if on == conn))
        })
    }

    /// When the oldest set-up that is out on this connection was sent.
    pub fn oldest_on(&self, conn: ServerConn) -> Option<f64> {
        let out = self.live.values().filter_map(|c| c.attempt.as_ref());
        out.filter(|a| a.stage == Stage::Out(conn)).map(|a| a.sent_at).reduce(f64::min)
    }

    /// Whether a set-up of this call is out at this call server.
    pub fn is_out_at(&self, call: CallId, server: ServerId) -> bool {
        self.live.get(&call).and_then(|c| c.attempt.as_ref()).is_some_and(|a| a.server == server)
    }

    /// The connection on which a call at this call server was set up.
    pub fn set_up_on(&self, call: CallId, server: ServerId) -> Option<ServerConn> {
        let call = self.live.get(&call)?;
        let standing = call.standing.as_ref().filter(|s| s.server == server).map(|s| s.conn);
        let out = || match call.attempt.as_ref().filter(|a| a.server == server)?.stage {
            Stage::Out(on) | Stage::Ending(on, _) => Some(on),
            Stage::Unpaid | Stage::Waiting => None,
        };
        standing.or_else(out)
    }

    /// The one place where a call is given back.
    pub(super) fn forget(&mut self, call: CallId) {
        if let Some(over) = self.live.remove(&call) {
            self.unsettled.forget(call);
            self.ended.add(call, over.reach);
        }
    }
}

impl Engine {
    // ---- what callers say ----

    /// Takes a set-up, or says why it can't be taken.
    pub(super) fn set_up(
        &mut self,
        conn: CallerConn,
        read_at: f64,
        set_up: SetUp,
        out: &mut Vec<Effect>,
    ) -> Result<(), Fault> {
        let id = set_up.call;
        // Every set-up has an id of its own. One that comes under the id of a call, open or over, is none.
        if self.calls.live.contains_key(&id) || self.calls.ended.contains(id) {
            return Err(Fault::Invalid);
        }
        let class = self.host.classes.iter().position(|c| c.name == set_up.class).ok_or(Fault::Invalid)?;
        self.in_range(&self.host.classes[class], &set_up)?;
        if !self.takes_calls() || !self.drain_takes() || self.calls.in_set_up() >= self.host.open_cap {
            self.count(class, |o| &mut o.refused);
            self.decided(id, out, || Decision::Refused { stay_away_ms: 0 });
            let refused = ToCaller::Refused { call: id, stay_away_ms: 0.0 };
            out.push(Effect::ToCaller { conn, message: refused });
            self.close_if_done(conn, out);
            return Ok(());
        }
        let away = self.job_refuses(class, set_up.number.as_deref());
        let planned = away.map_or_else(|| self.plan_call(class, set_up.first_choice), Err);
        let first_choice = match planned {
            Ok(place) => place,
            Err(stay_away_ms) => {
                self.count(class, |o| &mut o.refused);
                self.decided(id, out, || Decision::Refused { stay_away_ms: stay_away_ms as u32 });
                out.push(Effect::ToCaller { conn, message: ToCaller::Refused { call: id, stay_away_ms } });
                self.close_if_done(conn, out);
                return Ok(());
            }
        };
        let first_choice = self.paid_place(class, set_up.number.as_deref(), first_choice);
        self.decided(id, out, || Decision::Admitted { class: self.host.classes[class].name.clone() });
        // The time that it lay unread is part of its caller's wait.
        let deadline = read_at.min(self.now) + set_up.wait_ms;
        let handed = module::Call {
            id,
            class,
            customer: 0,
            expires_in_ms: (deadline - self.now).max(0.0),
            first_choice,
            number: set_up.number.as_deref().and_then(|text| u64::from_str_radix(text, 16).ok()),
            redial: set_up.redial,
        };
        let held = self.callers.presence(conn) == CallerPresence::Questioned;
        if held {
            out.push(Effect::ToCaller { conn, message: ToCaller::Progress(id) });
        } else {
            self.news.push_back(module::Event::Call(handed));
        }
        self.timers.set(deadline, Due::CallOver(id));
        let call = Call {
            conn,
            class,
            number: set_up.number,
            description: set_up.description,
            deadline,
            answered: false,
            attempts: 0,
            weighed: 0,
            held_from: None,
            attempt: None,
            guard_until: f64::NEG_INFINITY,
            tried: Vec::new(),
            standing: None,
            reach: Reach::Unsent,
            held: held.then_some(handed),
        };
        self.job_takes(id, class, call.number.as_deref());
        self.calls.live.insert(id, call);
        self.brought_call(conn, out);
        Ok(())
    }

    /// A set-up that was held goes to the module, with the time that its caller has left.
    pub(super) fn admit_held(&mut self, id: CallId) {
        let Some(call) = self.calls.live.get_mut(&id) else { return };
        let expires_in_ms = (call.deadline - self.now).max(0.0);
        if let Some(held) = call.held.take().filter(|_| !call.answered) {
            self.news.push_back(module::Event::Call(module::Call { expires_in_ms, ..held }));
        }
    }

    /// Figures that no caller in good order sends would only be turned away by a call server, or make it close
    /// the connection that carries others' calls.
    fn in_range(&self, class: &ClassRules, set_up: &SetUp) -> Result<(), Fault> {
        let waits = set_up.wait_ms <= class.deadline_ms * WAIT_SLACK;
        let place = set_up.first_choice.is_none_or(|place| class.takes(place) || self.fleet.has_place(place));
        let fits = (1..=class.width).contains(&set_up.width);
        if waits && place && fits { Ok(()) } else { Err(Fault::Invalid) }
    }

    /// The set-ups open on this connection are given up.
    pub(super) fn give_up_on(&mut self, conn: CallerConn, out: &mut Vec<Effect>) {
        for call in self.calls.ids(|c| c.conn == conn && !c.answered) {
            self.given_up(call, out);
        }
    }

    /// False: no such call is known to have been here. It stood before this program's start then, and whichever
    /// call server holds it is to hear of it.
    pub(super) fn released_by_caller(&mut self, conn: CallerConn, id: CallId, out: &mut Vec<Effect>) -> bool {
        let Some(call) = self.calls.live.get_mut(&id) else { return self.calls.ended.contains(id) };
        if let Some(standing) = call.standing.take() {
            self.calls.forget(id);
            self.decided(id, out, || Decision::Released);
            self.release_at(standing.server, Some(standing.conn), id, out);
            self.tell_ended(id, standing.server, Outcome::Cancelled, true, LoadReport::default());
        } else if !call.answered && call.conn == conn {
            // A set-up, other than a call that stands, belongs to its connection: nobody else gives it up.
            self.given_up(id, out);
        }
        true
    }

    /// No answer is owed any more.
    fn given_up(&mut self, id: CallId, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.live.get_mut(&id) else { return };
        call.answered = true;
        let conn = call.conn;
        self.job_set_up_over(id, false);
        self.decided(id, out, || Decision::GivenUp);
        self.news.push_back(module::Event::CallerLeft(id));
        self.end_out(id, Outcome::Cancelled, out);
        self.tidy(id);
        self.close_if_done(conn, out);
    }

    // ---- answers ----

    /// The one place where a call that does not stand gets its final answer.
    pub(super) fn answer(&mut self, id: CallId, message: ToCaller, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.live.get_mut(&id).filter(|c| !c.answered) else {
            return log::debug!("call {:016x} was answered already", id.0);
        };
        call.answered = true;
        let (conn, class) = (call.conn, call.class);
        self.job_set_up_over(id, true);
        let refused = matches!(message, ToCaller::Refused { .. });
        self.decided(id, out, || match message {
            ToCaller::Refused { stay_away_ms, .. } => Decision::Refused { stay_away_ms: stay_away_ms as u32 },
            _ => Decision::Failed,
        });
        self.count(class, |o| if refused { &mut o.refused } else { &mut o.failed });
        out.push(Effect::ToCaller { conn, message });
        self.end_out(id, Outcome::Cancelled, out);
        self.tidy(id);
        self.close_if_done(conn, out);
    }

    /// The caller's time is over: the attempt ends as a time-out, and an answer that the module still owes a
    /// moment later is given in its place.
    pub(super) fn call_over(&mut self, id: CallId, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.live.get(&id).filter(|c| !c.answered) else { return };
        if self.now >= call.deadline + OVERDUE_MS {
            log::warn!("call {:016x} is overdue", id.0);
            self.news.push_back(module::Event::CallerLeft(id));
            self.answer(id, ToCaller::Failed(id), out);
        } else {
            self.timers.set(call.deadline + OVERDUE_MS, Due::CallOver(id));
            self.end_out(id, Outcome::TimedOut, out);
        }
    }

    /// Nothing more is waited for: set-ups that have no answer get one.
    pub(super) fn fail_open_set_ups(&mut self, out: &mut Vec<Effect>) {
        for id in self.calls.ids(|c| !c.answered) {
            log::info!("call {:016x} is failed: the stop is nearly over", id.0);
            self.news.push_back(module::Event::CallerLeft(id));
            self.answer(id, ToCaller::Failed(id), out);
        }
    }

    /// Forgets a call of which nothing is left.
    pub(super) fn tidy(&mut self, id: CallId) {
        if self.calls.live.get(&id).is_some_and(|c| c.answered && c.attempt.is_none() && c.standing.is_none())
        {
            self.calls.forget(id);
        }
    }

    // ---- attempts ----

    /// The one place where an attempt begins; the rules are checked once more.
    pub(super) fn send(&mut self, id: CallId, server: ServerId, timeout_ms: f64, out: &mut Vec<Effect>) {
        let (now, ready) = (self.now, self.fleet.is_ready(server));
        let settled = !self.calls.unsettled.any(id, server);
        let call = self.calls.live.get_mut(&id);
        let allowed = call.as_ref().is_some_and(|c| {
            !c.answered && c.attempt.is_none() && now >= c.guard_until && c.attempts < self.max_attempts
        });
        let Some(call) = call.filter(|_| allowed && ready && settled) else {
            log::error!("call {:016x} may not be sent", id.0);
            return self.tell_ended(id, server, Outcome::NotSent, false, LoadReport::default());
        };
        let shown = call.attempts == 0 && self.callers.presence(call.conn) == CallerPresence::Shown;
        if self.callers.has_shut(call.conn) && !shown {
            // It may be gone: no attempt begins for it any more.
            self.tell_ended(id, server, Outcome::NotSent, true, LoadReport::default());
            return self.answer(id, ToCaller::Failed(id), out);
        }
        let number = call.attempts;
        let paced =
            self.limits.is_some() || self.shares.as_ref().is_some_and(super::shares::Parts::pace_dials);
        if paced && self.fleet.is_down(server) {
            // It is dialled at its turn in the fleet's pacing, not for each call that tries its luck there.
            call.attempts += 1;
            return self.tell_ended(id, server, Outcome::NotConnected, false, LoadReport::default());
        }
        if let Some(stay_away_ms) = self.job_refuses_at(id, server) {
            return self.refuse_unsent(id, server, stay_away_ms, out);
        }
        let Some(call) = self.calls.live.get_mut(&id) else { return };
        let worth = self.worths.get(call.class).copied().unwrap_or_default();
        let first = call.weighed == 0;
        if let Some(limits) = self.limits.as_mut() {
            let shed = if first {
                !limits.admits_first(worth, now)
            } else {
                !limits.may_retry(server, worth, now, self.siblings)
            };
            if shed {
                // The budget of second attempts at this call server is spent, or a first one is of too little worth
                // now: the call is answered at once.
                let stay_away_ms = limits.stay_away_ms(self.stay_away_max_ms);
                log::debug!("call {:016x}: attempt {number} is shed by the fleet limits", id.0);
                self.tell_ended(id, server, Outcome::NotSent, true, LoadReport::default());
                return self.answer(id, ToCaller::Refused { call: id, stay_away_ms }, out);
            }
        }
        match self.pay(id, server) {
            Paid::Now => {}
            Paid::Later(..) => return,
            Paid::No => return self.refuse_unpaid(id, server, out),
        }
        let Some(call) = self.calls.live.get_mut(&id) else { return };
        call.attempts += 1;
        call.attempt = Some(Attempt { number, server, sent_at: now, written: 0, stage: Stage::Waiting });
        if timeout_ms > 0.0 {
            self.timers.set(now + timeout_ms, Due::AttemptOver(id, number));
        }
        self.begin(id, out);
    }

    /// An attempt that nothing holds back any more goes out, or waits for a connection.
    pub(super) fn begin(&mut self, id: CallId, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(call) = self.calls.live.get_mut(&id) else { return };
        let Some(attempt) = call.attempt.as_mut() else { return };
        (attempt.stage, attempt.sent_at) = (Stage::Waiting, now);
        let (number, server) = (attempt.number, attempt.server);
        if let Some(limits) = self.limits.as_mut().filter(|_| call.weighed == 0) {
            limits.first_sent(server, now);
        }
        call.weighed += 1;
        self.decided(id, out, || {
            let name = self.fleet.name(server).to_owned();
            if number == 0 {
                Decision::Routed { server: name }
            } else {
                Decision::Retried { server: name, attempt: number }
            }
        });
        match self.connection_for(id, server, out) {
            Some(conn) => self.write_set_up(id, conn, out),
            None => self.timers.set(now + self.host.dial_timeout_ms, Due::DialOver(id, number)),
        }
    }

    fn write_set_up(&mut self, id: CallId, conn: ServerConn, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.live.get_mut(&id) else { return };
        let Some(attempt) = &mut call.attempt else { return };
        attempt.stage = Stage::Out(conn);
        self.calls.written += 1;
        attempt.written = self.calls.written;
        call.reach = call.reach.max(Reach::Sent);
        let message = ToServer::SetUp {
            call: id,
            class: self.host.classes.get(call.class).map(|c| c.name.clone()).unwrap_or_default(),
            left_ms: (call.deadline - self.now).max(0.0).floor() as u64,
            number: call.number.clone(),
            description: call.description.clone(),
        };
        self.tries += 1;
        out.push(Effect::ToServer { conn, message, confirm: false });
    }

    /// A connection is there: what waited for it goes out.
    pub(super) fn write_waiting(&mut self, server: ServerId, conn: ServerConn, out: &mut Vec<Effect>) {
        for id in self.calls.ids(|c| c.attempt.as_ref().is_some_and(|a| a.waits_for(server))) {
            self.write_set_up(id, conn, out);
        }
    }

    pub(super) fn end_waiting(&mut self, server: ServerId, outcome: Outcome) {
        let unpaid = |a: &Attempt| a.server == server && a.stage == Stage::Unpaid;
        for id in self.calls.ids(|c| c.attempt.as_ref().is_some_and(|a| a.waits_for(server) || unpaid(a))) {
            self.end_attempt(id, outcome, LoadReport::default());
        }
    }

    pub(super) fn dial_over(&mut self, id: CallId, attempt: u32) {
        let waits = |a: &Attempt| a.number == attempt && a.stage == Stage::Waiting;
        if self.calls.live.get(&id).and_then(|c| c.attempt.as_ref()).is_some_and(waits) {
            self.end_attempt(id, Outcome::NotConnected, LoadReport::default());
        }
    }

    /// Calls an attempt off. The release goes out first, and only once it is written has the attempt ended:
    /// the guard runs from there, and no other attempt may be out before.
    pub(super) fn end_out(&mut self, id: CallId, outcome: Outcome, out: &mut Vec<Effect>) {
        let Some(attempt) = self.calls.live.get_mut(&id).and_then(|c| c.attempt.as_mut()) else { return };
        match attempt.stage {
            Stage::Unpaid | Stage::Waiting => self.end_attempt(id, outcome, LoadReport::default()),
            Stage::Out(conn) => {
                attempt.stage = Stage::Ending(conn, outcome);
                out.push(Effect::ToServer { conn, message: ToServer::Release(id), confirm: true });
            }
            Stage::Ending(..) => {}
        }
    }

    pub(super) fn release_written(&mut self, conn: ServerConn, id: CallId) {
        let stage = self.calls.live.get(&id).and_then(|c| c.attempt.as_ref()).map(|a| a.stage);
        if let Some(Stage::Ending(on, outcome)) = stage
            && on == conn
        {
            self.note_unsettled(id, conn);
            self.note_may_stand(id);
            self.end_attempt(id, outcome, LoadReport::default());
        }
    }

    /// The call server may not have heard of the end of this call's attempt, or of the call: it may stand there still.
    pub(super) fn note_may_stand(&mut self, id: CallId) {
        if let Some(call) = self.calls.live.get_mut(&id) {
            call.reach = Reach::MayStand;
        }
    }

    /// The connection of these attempts is lost: they are reset, or ended as was being written. `noticed`: the call server
    /// knows of it.
    pub(super) fn end_on(&mut self, conn: ServerConn, noticed: bool) {
        let stage_on = |c: &Call| match c.attempt.as_ref().map(|a| a.stage) {
            Some(Stage::Out(on)) if on == conn => Some(Outcome::Reset),
            Some(Stage::Ending(on, outcome)) if on == conn => Some(outcome),
            _ => None,
        };
        let ended: Vec<_> =
            self.calls.live.iter().filter_map(|(&id, c)| stage_on(c).map(|how| (id, how))).collect();
        for (id, outcome) in ended {
            if !noticed {
                self.note_unsettled(id, conn);
            }
            self.note_may_stand(id);
            self.end_attempt(id, outcome, LoadReport::default());
        }
    }

    /// The one place where an attempt that did not come to stand is given back.
    pub(super) fn end_attempt(&mut self, id: CallId, outcome: Outcome, report: LoadReport) {
        let Some(call) = self.calls.live.get_mut(&id) else { return };
        let Some(attempt) = call.attempt.take() else { return };
        if let Stage::Out(conn) | Stage::Ending(conn, _) = attempt.stage {
            call.tried.push(EndedAttempt { server: attempt.server, conn, at: self.now });
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            call.guard_until = self.now + self.guard_ms;
        }
        let closed = call.answered;
        let name = self.fleet.name(attempt.server);
        log::debug!("call {:016x}: attempt {} at {name} ended, {outcome:?}", id.0, attempt.number);
        self.tell_ended(id, attempt.server, outcome, closed, report);
        self.tidy(id);
    }

    pub(super) fn tell_ended(
        &mut self,
        call: CallId,
        server: ServerId,
        outcome: Outcome,
        closed: bool,
        report: LoadReport,
    ) {
        self.news.push_back(module::Event::Ended { call, server, outcome, closed, report });
    }
}

impl Call {
    /// Whether what this call server says of it on this connection is of an attempt that ended, and not of the one that is
    /// out there on another.
    pub(super) fn is_of_ended_attempt(&self, server: ServerId, conn: ServerConn) -> bool {
        let out_on = match self.attempt.as_ref().filter(|a| a.server == server).map(|a| a.stage) {
            Some(Stage::Out(on) | Stage::Ending(on, _)) => on,
            Some(Stage::Unpaid | Stage::Waiting) | None => return false,
        };
        out_on != conn && self.tried.iter().any(|ended| ended.server == server && ended.conn == conn)
    }
}

impl Attempt {
    fn waits_for(&self, server: ServerId) -> bool {
        self.server == server && self.stage == Stage::Waiting
    }
}
