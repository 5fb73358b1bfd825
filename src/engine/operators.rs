//! Operators: what they ask, the figures that they read, and the drain that they order.

use super::{Effect, Engine, Figures, OperatorAnswer, OperatorAsk, OperatorConn, Outcomes, Standing};

/// After a drain begins, or the stop of a program that has a successor, a caller's connection on which nothing was
/// asked yet is kept for so long from its opening, ms: what its caller wants may be on its way.
pub(super) const FIRST_WORD_MS: f64 = 1000.0;
/// After a drain begins the front takes a moment to notice, and new connections come still: idle ones are closed from
/// then on, ms.
const FRONT_NOTICES_MS: f64 = 300.0;
/// On a connection that never falls idle set-ups are turned away from then on, ms: its caller would go on using it.
const DRAIN_TAKES_MS: f64 = 1500.0;

/// One that is shut out acts on a version that it should not: set-ups are turned away from then on, ms. The front has
/// had its moment to notice.
const SHUT_OUT_TAKES_MS: f64 = 700.0;

impl Engine {
    pub(super) fn hear_operator(&mut self, conn: OperatorConn, ask: OperatorAsk, out: &mut Vec<Effect>) {
        let answer = match ask {
            OperatorAsk::Ready => OperatorAnswer::Ready(self.ready()),
            OperatorAsk::Figures => OperatorAnswer::Figures(Box::new(self.figures())),
            OperatorAsk::OutOfService => {
                if self.out_of_service.is_none() {
                    log::info!(
                        "out of service: tests fail, and callers' connections are closed as they fall idle"
                    );
                    self.out_of_service = Some(self.now);
                }
                OperatorAnswer::Done
            }
            OperatorAsk::InService => {
                self.shut_out = false;
                if self.out_of_service.take().is_some() {
                    log::info!("in service again");
                }
                OperatorAnswer::Done
            }
            OperatorAsk::Status | OperatorAsk::Reload => OperatorAnswer::Standing(self.standing()),
            OperatorAsk::ShutOut => {
                if !self.shut_out {
                    log::warn!(target: "decision", "shut out: nothing new is taken");
                    self.shut_out = true;
                    self.out_of_service.get_or_insert(self.now);
                }
                OperatorAnswer::Standing(self.standing())
            }
        };
        out.push(Effect::ToOperator { conn, answer });
    }

    /// Callers' connections are closed as they fall idle: what comes next is to go elsewhere.
    pub(super) fn closes_idle(&self) -> bool {
        let drains = self.out_of_service.is_some_and(|at| self.now - at >= FRONT_NOTICES_MS);
        drains || self.leaving_since.is_some() || (self.stopping.is_some() && self.successor)
    }

    /// Whether a drain still takes set-ups.
    pub(super) fn drain_takes(&self) -> bool {
        let takes_ms = if self.shut_out { SHUT_OUT_TAKES_MS } else { DRAIN_TAKES_MS };
        self.out_of_service.is_none_or(|at| self.now - at < takes_ms)
    }

    fn standing(&self) -> Standing {
        Standing {
            ready: self.ready(),
            out_of_service: self.out_of_service.is_some(),
            list: self.list(),
            in_progress: self.calls.in_progress(),
        }
    }

    /// The serial of the list that is followed.
    pub fn list(&self) -> u32 {
        self.fleet.serial.unwrap_or(0)
    }

    fn figures(&mut self) -> Figures {
        let shares = self.share_figures();
        let outcomes = |(i, class): (usize, &crate::settings::ClassRules)| {
            (class.name.clone(), self.outcomes.get(i).copied().unwrap_or_default())
        };
        Figures {
            outcomes: self.host.classes.iter().enumerate().map(outcomes).collect(),
            tries: self.tries,
            in_progress: self.calls.in_progress(),
            known: self.fleet.known(),
            skipped: self.fleet.ids_listed().filter(|&id| self.skips(id)).count(),
            limits: self.limits.as_ref().map(crate::limits::Limits::shed),
            recovery: self.recovery.as_ref().map(crate::recovery::Recovery::figures),
            shares,
            peers: self.peer_figures(),
            probes: self.probe_figures(),
        }
    }

    /// Listed, but sent nothing at present, or a trickle at most.
    fn skips(&self, server: crate::interface::ServerId) -> bool {
        !self.fleet.is_ready(server) || self.controller.avoids(self.now, server)
    }

    pub(super) fn count(&mut self, class: usize, what: impl Fn(&mut Outcomes) -> &mut u64) {
        if self.outcomes.len() <= class {
            self.outcomes.resize(class + 1, Outcomes::default());
        }
        *what(&mut self.outcomes[class]) += 1;
    }
}
