//! Hosts the reservations (`crate::reservations`): what is booked and runs now becomes budgets of the fleet, taken out of
//! the operator's.
//!
//! Instances learn of a change at different times. So each first takes the lesser of a budget's old and new whole, and
//! the new one only a lease later: at no time do two hold parts of the same capacity under two names.

use crate::reservations::{Input, JobWindow, Message, Output, Reservations, Settings};
use crate::terms::{Budget, Member, Spending};

/// What comes of a step: messages, the budgets that are in force now if they changed, and lines for the log.
pub(super) enum Outcome {
    Send { to: Member, message: Box<Message> },
    Budgets(Vec<Budget>),
    Append(Vec<u8>),
    Replace(Vec<u8>),
    Note(String),
}

pub(super) struct Bookings {
    reservations: Reservations,
    operators: Vec<Budget>,
    lease_ms: f64,
    /// In force, and what follows, from when on.
    in_force: Vec<Budget>,
    next: Option<(f64, Vec<Budget>)>,
    outputs: Vec<Output>,
}

/// The operator's budgets less what is booked of them, and the booked ones.
fn wholes(operators: &[Budget], booked: &[Budget]) -> Vec<Budget> {
    let part_of = |whole: &Budget, b: &Budget| {
        let within = |wide: &Option<String>, narrow: &Option<String>| wide.is_none() || wide == narrow;
        whole.spending == Spending::SetUps
            && whole.server.is_none()
            && within(&whole.site, &b.site)
            && within(&whole.class, &b.class)
    };
    let lowered = |whole: &Budget| {
        let taken: f64 = booked.iter().filter(|b| part_of(whole, b)).map(|b| b.per_s).sum();
        let left = if whole.per_s > 0.0 { ((whole.per_s - taken) / whole.per_s).max(0.0) } else { 0.0 };
        Budget { per_s: whole.per_s * left, burst: whole.burst * left, ..whole.clone() }
    };
    operators.iter().map(lowered).chain(booked.iter().cloned()).collect()
}

/// Of each budget no more than either has; what is only in one of them is left out.
fn lesser(old: &[Budget], new: &[Budget]) -> Vec<Budget> {
    let both = |a: &Budget| {
        let b = new.iter().find(|b| b.id == a.id)?;
        let (per_s, burst, floor) = (a.per_s.min(b.per_s), a.burst.min(b.burst), a.floor.min(b.floor));
        Some(Budget { per_s, burst, floor, ..b.clone() })
    };
    old.iter().filter_map(both).collect()
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
        Bookings { reservations, operators, lease_ms, in_force, next: None, outputs }
    }

    /// What the settings' folder held at the start.
    pub(super) fn restore(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.reservations.restore(bytes)
    }

    /// The windows of gathered jobs that run now.
    pub(super) fn windows(&self) -> Vec<JobWindow> {
        self.reservations.windows()
    }

    pub(super) fn next_due(&self) -> f64 {
        self.reservations.next_due().min(self.next.as_ref().map_or(f64::INFINITY, |(at, _)| *at))
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
                    let new = wholes(&self.operators, &booked);
                    self.put(lesser(&self.in_force, &new), out);
                    self.next = Some((now + self.lease_ms, new));
                }
                Output::Append(bytes) => out.push(Outcome::Append(bytes)),
                Output::Replace(bytes) => out.push(Outcome::Replace(bytes)),
                Output::Tell { team, text } => out.push(Outcome::Note(format!("team {team}: {text}"))),
                Output::Note(text) => out.push(Outcome::Note(text)),
                // Asked only by the operator's file, which the reservations answer in the log.
                Output::Answered { .. } => {}
            }
        }
        self.outputs = outputs;
        if let Some((_, new)) = self.next.take_if(|(at, _)| *at <= now) {
            self.put(new, out);
        }
    }

    fn put(&mut self, budgets: Vec<Budget>, out: &mut Vec<Outcome>) {
        if budgets != self.in_force {
            self.in_force.clone_from(&budgets);
            out.push(Outcome::Budgets(budgets));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::terms::BudgetId;

    fn budget(id: u16, per_s: f64, class: Option<&str>) -> Budget {
        Budget {
            id: BudgetId(id),
            name: format!("b{id}"),
            spending: Spending::SetUps,
            server: None,
            site: None,
            class: class.map(str::to_owned),
            number_prefix: None,
            per_s,
            burst: per_s,
            floor: 0.1,
        }
    }

    fn rates(budgets: &[Budget]) -> Vec<(u16, f64)> {
        budgets.iter().map(|b| (b.id.0, b.per_s)).collect()
    }

    #[test]
    fn what_is_booked_is_taken_out_of_the_whole_and_never_counted_twice_on_the_way() {
        let whole = [budget(0, 100.0, None), budget(1, 50.0, Some("video"))];
        let job = budget(BudgetId::BOOKED, 30.0, Some("voice"));
        let on = wholes(&whole, std::slice::from_ref(&job));
        assert_eq!(rates(&on), [(0, 70.0), (1, 50.0), (BudgetId::BOOKED, 30.0)]);
        assert_eq!(rates(&lesser(&whole, &on)), [(0, 70.0), (1, 50.0)], "lowered first");
        assert_eq!(rates(&lesser(&on, &whole)), [(0, 70.0), (1, 50.0)], "and given back last");
        let more = wholes(&whole, &[budget(BudgetId::BOOKED, 300.0, Some("voice"))]);
        assert_eq!(more[0].per_s, 0.0);
    }
}
