//! Hosts the reservations (`crate::reservations`): what is booked and runs now becomes budgets of the fleet, taken out of
//! the operator's.
//!
//! Instances learn of a change at different times. So each first takes the lesser of a budget's old and new whole, and
//! the new one only a lease (and what their clocks may be apart) later: at no time do two hold parts of the same capacity
//! under two names.

use crate::reservations::{Answer, Input, Listing, Message, Output, Reservations, Settings};
use crate::terms::{Budget, Member, Spending};

/// What comes of a step: messages, the budgets that are in force now if they changed, and lines for the log.
pub(super) enum Outcome {
    Send { to: Member, message: Message },
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
    lease_ms: f64,
    /// In force, and what follows, from when on.
    in_force: Vec<Budget>,
    next: Option<(f64, Vec<Budget>)>,
    outputs: Vec<Output>,
}

/// Static parts are for good: they are of what is booked, which all instances know ahead, whatever the grantor takes from
/// a booking meanwhile. So each budget's floor is its share of the whole as booked, and only the rest is divided as
/// granted.
fn with_floor(whole: &Budget, share: f64, static_share: f64) -> Budget {
    let share = share.max(static_share);
    let floor = if share > 0.0 { (static_share / share).min(1.0) } else { 0.0 };
    Budget { per_s: whole.per_s * share, burst: whole.burst * share, floor, ..whole.clone() }
}

/// The operator's budgets less what the running bookings have of them, and theirs. `granted` and `booked` are the same
/// bookings, with what they have now and with all of it.
fn wholes(operators: &[Budget], granted: &[Budget], booked: &[Budget]) -> Vec<Budget> {
    let part_of = |whole: &Budget, b: &Budget| {
        let within = |wide: &Option<String>, narrow: &Option<String>| wide.is_none() || wide == narrow;
        whole.spending == Spending::SetUps
            && whole.server.is_none()
            && within(&whole.site, &b.site)
            && within(&whole.class, &b.class)
    };
    let of_booking = |full: &Budget| {
        let has = granted.iter().find(|g| g.id == full.id).map_or(0.0, |g| g.per_s);
        let share = if full.per_s > 0.0 { (has / full.per_s).min(1.0) } else { 0.0 };
        with_floor(full, share, full.floor)
    };
    let running: Vec<Budget> = booked.iter().map(of_booking).collect();
    let lowered = |whole: &Budget| {
        let left = |of: &[Budget]| {
            let taken: f64 = of.iter().filter(|b| part_of(whole, b)).map(|b| b.per_s).sum();
            if whole.per_s > 0.0 { ((whole.per_s - taken) / whole.per_s).max(0.0) } else { 0.0 }
        };
        with_floor(whole, left(&running), whole.floor * left(booked))
    };
    operators.iter().map(lowered).chain(running.iter().cloned()).collect()
}

/// Of each budget's static parts, and of what is divided of it, no more than either has; what is only in one of them is
/// left out.
fn lesser(old: &[Budget], new: &[Budget]) -> Vec<Budget> {
    let both = |a: &Budget| {
        let b = new.iter().find(|b| b.id == a.id)?;
        let least = |of: fn(&Budget) -> f64| of(a).min(of(b));
        let fixed = least(|b| b.per_s * b.floor);
        let per_s = fixed + least(|b| b.per_s * (1.0 - b.floor));
        let floor = if per_s > 0.0 { fixed / per_s } else { 0.0 };
        // As a burst is so many seconds of its rate, it follows the rate.
        let of_rate = |b: &Budget| if b.per_s > 0.0 { b.burst / b.per_s } else { 0.0 };
        Some(Budget { per_s, burst: per_s * of_rate(a).min(of_rate(b)), floor, ..b.clone() })
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

    pub(super) fn listing(&self) -> Listing {
        self.reservations.listing()
    }

    pub(super) fn in_force(&self) -> Vec<Budget> {
        self.in_force.clone()
    }

    pub(super) fn next_due(&self) -> f64 {
        self.reservations.next_due().min(self.next.as_ref().map_or(f64::INFINITY, |(at, _)| *at))
    }

    pub(super) fn step(&mut self, now: f64, unix_ms: u64, input: Input, out: &mut Vec<Outcome>) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.reservations.step(now, unix_ms, input, &mut outputs);
        for output in outputs.drain(..) {
            match output {
                Output::Send { to, message } => out.push(Outcome::Send { to, message }),
                Output::Budgets(booked) => {
                    let new = wholes(&self.operators, &booked, &self.reservations.booked());
                    self.put(lesser(&self.in_force, &new), out);
                    self.next = Some((now + self.lease_ms + APART_MS, new));
                }
                Output::Append(bytes) => out.push(Outcome::Append(bytes)),
                Output::Replace(bytes) => out.push(Outcome::Replace(bytes)),
                Output::Tell { team, text } => out.push(Outcome::Note(format!("team {team}: {text}"))),
                Output::Note(text) => out.push(Outcome::Note(text)),
                Output::Answered { ticket, answer } => out.push(Outcome::Answered { ticket, answer }),
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
        let job = [budget(BudgetId::BOOKED, 30.0, Some("voice"))];
        let on = wholes(&whole, &job, &job);
        assert_eq!(rates(&on), [(0, 70.0), (1, 50.0), (BudgetId::BOOKED, 30.0)]);
        assert_eq!(rates(&lesser(&whole, &on)), [(0, 70.0), (1, 50.0)], "lowered first");
        assert_eq!(rates(&lesser(&on, &whole)), [(0, 70.0), (1, 50.0)], "and given back last");
        let more = [budget(BudgetId::BOOKED, 300.0, Some("voice"))];
        assert_eq!(wholes(&whole, &more, &more)[0].per_s, 0.0);
    }

    /// The grantor alone knows what it takes from a booking: static parts, which all instances work out by themselves,
    /// are the same with or without it, and all together are never more than the whole.
    #[test]
    fn static_parts_do_not_follow_what_is_taken_from_a_booking() {
        let whole = [Budget { floor: 0.2, ..budget(0, 100.0, None) }];
        let job = [budget(BudgetId::BOOKED, 40.0, Some("voice"))];
        let fixed = |budgets: &[Budget]| -> Vec<f64> {
            budgets.iter().flat_map(|b| [b.per_s * b.floor, b.burst * b.floor]).collect()
        };
        let near = |a: &[f64], b: &[f64]| a.iter().zip(b).all(|(a, b)| (a - b).abs() < 1e-9);
        let full = wholes(&whole, &job, &job);
        assert!(near(&fixed(&full), &[12.0, 12.0, 4.0, 4.0]), "{full:?}");
        for kept in [40.0, 24.0, 4.0, 1.0, 0.0] {
            let now = wholes(&whole, &[Budget { per_s: kept, ..job[0].clone() }], &job);
            assert!(near(&fixed(&now), &fixed(&full)), "{kept}: {now:?}");
            let sum: f64 = now.iter().map(|b| b.per_s).sum();
            assert!((sum - 100.0).abs() < 1e-9, "{kept}: {now:?}");
            let between = lesser(&full, &now);
            assert!(near(&fixed(&between), &fixed(&full)), "{kept}: {between:?}");
            let divided =
                |budgets: &[Budget]| budgets.iter().map(|b| b.per_s * (1.0 - b.floor)).collect::<Vec<_>>();
            for ((between, full), now) in divided(&between).iter().zip(divided(&full)).zip(divided(&now)) {
                assert!((between - full.min(now)).abs() < 1e-9, "{kept}");
            }
        }
    }
}
