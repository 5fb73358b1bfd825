//! Hosts the reservations (`crate::reservations`): what is booked and runs now becomes budgets of the fleet, taken out of
//! the operator's.
//!
//! Instances learn of a change at different times. So each first takes the lesser of a budget's old and new whole, and
//! the new one only a lease (and what their clocks may be apart) later: at no time do two hold parts of the same capacity
//! under two names.

use super::wholes::{Wholes, wholes};
use crate::reservations::{Answer, Input, JobWindow, Listing, Message, Output, Reservations, Settings};
use crate::terms::{Budget, Member};

/// What comes of a step: messages, the budgets that are in force now if they changed, and lines for the log.
pub(super) enum Outcome {
    Send { to: Member, message: Box<Message> },
    Budgets(Vec<Budget>),
    Append(Vec<u8>),
    Replace(Vec<u8>),
    Answered { ticket: u64, answer: Answer },
    Note(String),
}

/// Instances may see a window begin or end so far apart, by their clocks and by how often they look, ms.
const APART_MS: f64 = 500.0;

pub(super) struct Bookings {
    reservations: Reservations,
    operators: Vec<Budget>,
    wholes: Wholes,
    in_force: Vec<Budget>,
    outputs: Vec<Output>,
}

impl Bookings {
    pub(super) fn new(
        settings: Settings,
        me: Member,
        (keepers, members): (Vec<Member>, u16),
        operators: Vec<Budget>,
        lease_ms: f64,
    ) -> Self {
        let members = (0..members).map(Member).collect();
        let reservations = Reservations::new(settings, me, keepers, members);
        let (in_force, outputs) = (operators.clone(), Vec::new());
        let wholes = Wholes::new(operators.clone(), lease_ms + APART_MS);
        Bookings { reservations, operators, wholes, in_force, outputs }
    }

    /// What the settings' folder held at the start.
    pub(super) fn restore(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.reservations.restore(bytes)
    }

    pub(super) fn listing(&self) -> Listing {
        self.reservations.listing()
    }

    pub(super) fn in_force(&self) -> Vec<Budget> {
        self.in_force.clone()
    }

    /// The windows of gathered jobs that run now.
    pub(super) fn windows(&self) -> Vec<JobWindow> {
        self.reservations.windows()
    }

    pub(super) fn next_due(&self) -> f64 {
        self.reservations.next_due().min(self.wholes.due())
    }

    pub(super) fn step(&mut self, now: f64, unix_ms: u64, input: Input, out: &mut Vec<Outcome>) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.reservations.step(now, unix_ms, input, &mut outputs);
        for output in outputs.drain(..) {
            match output {
                Output::Send { to, message } => {
                    out.push(Outcome::Send { to, message: Box::new(message) });
                }
                Output::Budgets(booked) => {
                    let new = wholes(&self.operators, &booked, &self.reservations.booked());
                    self.wholes.want(now, new);
                }
                Output::Append(bytes) => out.push(Outcome::Append(bytes)),
                Output::Replace(bytes) => out.push(Outcome::Replace(bytes)),
                Output::Tell { team, text } => out.push(Outcome::Note(format!("team {team}: {text}"))),
                Output::Note(text) => out.push(Outcome::Note(text)),
                Output::Answered { ticket, answer } => out.push(Outcome::Answered { ticket, answer }),
            }
        }
        self.outputs = outputs;
        let budgets = self.wholes.in_force(now);
        if budgets != self.in_force {
            self.in_force.clone_from(&budgets);
            out.push(Outcome::Budgets(budgets));
        }
    }
}
