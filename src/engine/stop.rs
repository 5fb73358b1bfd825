//! The planned end of the program: what is still taken and answered, when call servers and callers are left, and when the
//! program ends.

use super::{Due, Effect, Engine};

/// After a planned stop begins, set-ups are taken for so long, ms: the front still sends some.
const STOP_TAKES_MS: f64 = 700.0;
/// SIGKILL may follow SIGTERM after the longest deadline, counted as this at most, and `STOP_TAKES_MS`, ms.
const STOP_DEADLINE_MAX_MS: f64 = 3000.0;
/// Set-ups that are still open so long before that kill are failed, ms.
const ANSWER_BEFORE_KILL_MS: f64 = 100.0;
/// At the end of a planned stop callers' connections are closed as they are found idle. They are looked at so often, and
/// after this the program ends all the same, ms: longer than a caller may pause in the middle of a message.
pub(super) const LAST_LOOK_MS: f64 = 25.0;
const LEAVES_IN_MS: f64 = 3000.0;
/// As a successor takes over, a connection that has brought no set-up is waited for so long once no other is left, ms.
const FIRST_CALL_MS: f64 = 150.0;

impl Engine {
    pub(super) fn stop(&mut self, successor: bool, out: &mut Vec<Effect>) {
        if self.stopping.is_none() {
            let heir = if successor { "; a successor serves" } else { "" };
            log::info!("stopping once all that was taken is answered{heir}");
            (self.stopping, self.successor) = (Some(self.now), successor);
            self.timers.set(self.now + STOP_TAKES_MS, Due::Stopped);
            self.timers.set(self.now + self.killed_after_ms() - ANSWER_BEFORE_KILL_MS, Due::KillNear);
            self.close_idle(out);
        }
    }

    /// The soonest that SIGKILL may follow SIGTERM, ms.
    fn killed_after_ms(&self) -> f64 {
        let longest = self.host.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        longest.min(STOP_DEADLINE_MAX_MS) + STOP_TAKES_MS
    }

    pub(super) fn takes_calls(&self) -> bool {
        self.leaving_since.is_none() && self.stopping.is_none_or(|at| self.now - at < STOP_TAKES_MS)
    }

    /// The program stops, and all that was taken is answered. Attempts that are still being called off end with their
    /// connections.
    fn all_answered(&self) -> bool {
        let takes_none = self.successor || !self.takes_calls();
        self.stopping.is_some() && takes_none && self.calls.waiting_on().next().is_none()
    }

    /// With a successor, whether any connection may still bring a set-up, or take a release. One that has brought none
    /// has a moment for it: no longer, as what call servers tell meanwhile finds no caller here.
    fn serves_callers(&mut self) -> bool {
        if !self.successor {
            return false;
        }
        if self.callers.any_with_calls() {
            self.without_callers_since = None;
            return true;
        }
        let since = *self.without_callers_since.get_or_insert_with(|| {
            self.timers.set(self.now + FIRST_CALL_MS, Due::CallersLeft);
            self.now
        });
        self.callers.any() && self.now - since < FIRST_CALL_MS
    }

    /// Ends the program once all is answered and callers' connections are closed. What lies unread there, or waits to
    /// be accepted, is answered first: the program may have stood still while it came. The connections to call servers
    /// are closed before: what they tell once no caller is left here is for the next process.
    pub(super) fn exit_if_done(&mut self, out: &mut Vec<Effect>) {
        if self.exiting || !self.all_answered() {
            return;
        }
        if self.leaving_since.is_none() {
            if !self.serves_callers() {
                self.leave(out);
            }
            // Whoever waited to be accepted is heard before the end.
            return;
        }
        let late = self.leaving_since.is_some_and(|at| self.now - at >= LEAVES_IN_MS);
        if late || !(self.callers.any() || self.fleet.any_closing()) {
            log::info!(
                "ending: {} callers' connections left, {} calls stand, {} releases found no caller, {} may have \
                 crossed a close",
                self.callers.conns.len(),
                self.calls.standing_on().count(),
                self.callers.releases.owed(),
                self.callers.releases.in_flight(self.now)
            );
            self.exiting = true;
            out.push(Effect::Exit);
        }
    }

    fn leave(&mut self, out: &mut Vec<Effect>) {
        self.leaving_since = Some(self.now);
        out.push(Effect::StopListening);
        self.leave_servers(out);
        self.close_idle(out);
        self.timers.set(self.now + LAST_LOOK_MS, Due::LastLook);
    }

    /// Callers' connections are looked at until the program ends.
    pub(super) fn last_look(&mut self, out: &mut Vec<Effect>) {
        self.close_idle(out);
        self.timers.set(self.now + LAST_LOOK_MS, Due::LastLook);
    }
}
