//! What call servers say of calls: answers, and the ends of calls that stood or never did.

use super::calls::{Attempt, Stage, Standing};
use super::ended_calls::Reach;
use super::release_delivery::{EndOfCall, EndSource};
use super::{CallerConn, Effect, Ending, Engine, Release, ServerConn, ToCaller, ToServer};
use crate::audit::Decision;
use crate::interface::{self as module, CallId, LoadReport, Outcome, ServerId};
use crate::rate_limited_log::BadInput;

impl Engine {
    pub(super) fn answered_by(
        &mut self,
        server: ServerId,
        conn: ServerConn,
        id: CallId,
        description: Option<String>,
        out: &mut Vec<Effect>,
    ) {
        let call = self.calls.live.get_mut(&id);
        if call.as_ref().and_then(|c| c.standing.as_ref()).is_some_and(|s| s.server == server) {
            return;
        }
        if call.as_ref().is_some_and(|c| c.is_of_ended_attempt(server, conn)) {
            // An attempt that ended before the one that is out there: a release would end that one as well.
            return log::debug!("call {:016x}: an answer of an earlier attempt", id.0);
        }
        let out_there = |a: &Attempt| a.server == server && matches!(a.stage, Stage::Out(_));
        let call = call.filter(|c| !c.answered && c.attempt.as_ref().is_some_and(out_there));
        if call.is_some() && description.is_none() {
            let details = format_args!("{}, call {:016x}", self.fleet.name(server), id.0);
            self.bad_input.write(BadInput::ServerAnswerIncomplete, self.now, details);
        }
        let Some((call, description)) = call.zip(description) else {
            // It crossed the call's end, or its description is missing: nobody will hear of it, so what
            // stands there is released. An attempt being called off has its release on the way. One at another
            // call server is not touched.
            let attempt = self.calls.live.get(&id).and_then(|c| c.attempt.as_ref());
            match attempt.filter(|a| a.server == server).map(|a| a.stage) {
                Some(Stage::Out(_)) => self.end_out(id, Outcome::Reset, out),
                Some(Stage::Ending(on, _)) if on == conn => {}
                _ => self.release_at(server, Some(conn), id, out),
            }
            return;
        };
        let Some(attempt) = call.attempt.take() else { return };
        call.answered = true;
        call.standing = Some(Standing { server, conn, since: self.now });
        // A standing call needs neither any more, and it may stand for long.
        (call.description, call.number) = (String::new(), None);
        let (caller, class) = (call.conn, call.class);
        self.count(class, |o| &mut o.stood);
        self.job_set_up_over(id, true);
        self.decided(id, out, || Decision::Answered { server: self.fleet.name(server).to_owned() });
        out.push(Effect::ToCaller { conn: caller, message: ToCaller::Answer { call: id, description } });
        let after_ms = self.now - attempt.sent_at;
        self.passed_on(server, conn, attempt.sent_at);
        if attempt.stage == Stage::Out(conn) {
            self.note_read(conn, attempt.written);
        }
        self.news.push_back(module::Event::Standing { call: id, server, after_ms });
        self.close_if_done(caller, out);
    }

    pub(super) fn ended_by(
        &mut self,
        server: ServerId,
        conn: ServerConn,
        id: CallId,
        how: Ending,
        report: LoadReport,
        out: &mut Vec<Effect>,
    ) {
        let Some(call) = self.calls.live.get_mut(&id) else {
            let source = EndSource { server, conn };
            let pending = self.callers.releases.note_source(id, source);
            if how == Ending::Normal && !pending && self.calls.ended.hear_end(id) {
                // Its answer went astray, and its caller was told otherwise: the call server need not say it again.
                out.push(Effect::ToServer { conn, message: ToServer::Heard(id), confirm: false });
            }
            // A call that stood before this program's start is over: its caller is to hear of it.
            if !self.calls.ended.contains(id) && matches!(how, Ending::Normal | Ending::Reset) {
                self.calls.ended.add(id, Reach::Sent);
                let how = if how == Ending::Normal { Release::Completed } else { Release::Cut };
                let end = EndOfCall { call: id, how, source: Some(source) };
                self.release_to_caller(CallerConn(0), end, out);
            }
            return;
        };
        if call.standing.as_ref().is_some_and(|s| s.server == server) {
            let how = if how == Ending::Normal { Release::Completed } else { Release::Cut };
            let end = EndOfCall { call: id, how, source: Some(EndSource { server, conn }) };
            return self.over(end, report, out);
        }
        let Some(attempt) = call.attempt.as_ref().filter(|a| a.server == server) else { return };
        let (sent_at, written, on) = match attempt.stage {
            Stage::Unpaid | Stage::Waiting => return,
            Stage::Out(on) | Stage::Ending(on, _) => (attempt.sent_at, attempt.written, on),
        };
        if how != Ending::Normal && call.is_of_ended_attempt(server, conn) {
            return log::debug!("call {:016x}: the end of an earlier attempt, once more", id.0);
        }
        let is_out = attempt.stage == Stage::Out(on);
        if on == conn {
            self.note_read(conn, written);
        }
        let Some(call) = self.calls.live.get(&id) else { return };
        // What never stood ends on the connection of its set-up; what stood ends there or, if that is of no use any
        // more, on another.
        let stood = how == Ending::Normal || (how == Ending::Reset && on != conn);
        if stood && !call.answered {
            return self.over_unseen(conn, id, report, out);
        }
        if is_out {
            let unlooked = matches!(how, Ending::Full { lines: false, waited_ms: None })
                && report == LoadReport::default();
            let turned_away = unlooked && on == conn && self.turned_away(server, conn);
            let outcome = match how {
                Ending::Full { .. } if turned_away => Outcome::NotSent,
                Ending::Full { lines: true, .. } => Outcome::NoLine,
                Ending::Full { lines: false, waited_ms } => {
                    Outcome::ProcessorFull { wait_ms: waited_ms.map(f64::from) }
                }
                Ending::NotSent => Outcome::NotSent,
                Ending::Reset => Outcome::Reset,
                Ending::Error | Ending::Normal => Outcome::Fault,
            };
            if !turned_away {
                self.passed_on(server, conn, sent_at);
            }
            self.end_attempt(id, outcome, report);
        }
    }

    /// The call stood and is over, and its answer went astray. Tried elsewhere it would leave its caller without a
    /// word of that end for longer than is allowed.
    fn over_unseen(&mut self, conn: ServerConn, id: CallId, report: LoadReport, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.live.get_mut(&id) else { return };
        let Some(attempt) = call.attempt.take() else { return };
        out.push(Effect::ToServer { conn, message: ToServer::Heard(id), confirm: false });
        self.tell_ended(id, attempt.server, Outcome::Completed, true, report);
        self.answer(id, ToCaller::Failed(id), out);
        self.calls.ended.hear_end(id);
    }

    /// A call that stood is over, by no wish of its caller: the caller is told.
    fn over(&mut self, end: EndOfCall, report: LoadReport, out: &mut Vec<Effect>) {
        let id = end.call;
        let Some(call) = self.calls.live.get_mut(&id) else { return };
        let Some(standing) = call.standing.take() else { return };
        let conn = call.conn;
        self.calls.forget(id);
        self.decided(id, out, || Decision::Released);
        self.release_to_caller(conn, end, out);
        let outcome = if end.how == Release::Completed { Outcome::Completed } else { Outcome::Reset };
        self.tell_ended(id, standing.server, outcome, true, report);
    }

    /// The call server's process is gone, and what stood there before with it.
    pub(super) fn cut(&mut self, server: ServerId, before: f64, out: &mut Vec<Effect>) {
        let cut = self.calls.standing_at_before(server, before);
        if !cut.is_empty() {
            log::info!("{} calls cut at {}", cut.len(), self.fleet.name(server));
        }
        for id in cut {
            self.note_may_stand(id);
            let end = EndOfCall { call: id, how: Release::Cut, source: None };
            self.over(end, LoadReport::default(), out);
        }
    }
}
