//! The wholes of the operator's budgets and of the running bookings, and how they change from one to the next.

use crate::terms::{Budget, Spending};
use std::collections::VecDeque;

/// The wholes in force. What is taken out of a budget is out at once; what is added to one is added only once nobody holds
/// a part of it under another name any more, whatever else changes meanwhile.
pub(super) struct Wholes {
    wait_ms: f64,
    wanted: Vec<Budget>,
    /// What was wanted before, each until when somebody may go by it.
    before: VecDeque<(f64, Vec<Budget>)>,
}

impl Wholes {
    pub(super) fn new(wanted: Vec<Budget>, wait_ms: f64) -> Self {
        Wholes { wait_ms, wanted, before: VecDeque::new() }
    }

    pub(super) fn want(&mut self, now: f64, wanted: Vec<Budget>) {
        let old = std::mem::replace(&mut self.wanted, wanted);
        self.before.push_back((now + self.wait_ms, old));
    }

    /// When more comes into force.
    pub(super) fn due(&self) -> f64 {
        self.before.front().map_or(f64::INFINITY, |(until, _)| *until)
    }

    pub(super) fn in_force(&mut self, now: f64) -> Vec<Budget> {
        while self.before.front().is_some_and(|(until, _)| *until <= now) {
            self.before.pop_front();
        }
        self.before.iter().fold(self.wanted.clone(), |least, (_, old)| lesser(old, &least))
    }
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
pub(super) fn wholes(operators: &[Budget], granted: &[Budget], booked: &[Budget]) -> Vec<Budget> {
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

    #[test]
    fn more_comes_into_force_in_its_time_also_where_other_things_change_all_the_while() {
        let whole = [budget(0, 100.0, None)];
        let job = |per_s| [budget(BudgetId::BOOKED, per_s, Some("voice"))];
        let at = |per_s: f64| wholes(&whole, &job(per_s), &job(40.0));
        let mut wholes = Wholes::new(whole.to_vec(), 1000.0);
        wholes.want(0.0, at(40.0));
        assert_eq!(rates(&wholes.in_force(0.0)), [(0, 60.0)]);
        // Back and forth by one every 300 ms.
        for i in 1..20 {
            let now = f64::from(i) * 300.0;
            wholes.want(now, at(40.0 - f64::from(i % 2)));
            let in_force = rates(&wholes.in_force(now));
            assert_eq!(in_force[0].1, 60.0, "{now}");
            assert_eq!(in_force.get(1).is_some(), now >= 1000.0, "{now}");
        }
        wholes.want(6000.0, whole.to_vec());
        assert_eq!(rates(&wholes.in_force(6900.0)), [(0, 61.0)], "as wanted last");
        assert_eq!(wholes.due(), 7000.0);
        assert_eq!(rates(&wholes.in_force(7000.0)), [(0, 100.0)]);
        assert_eq!(wholes.due(), f64::INFINITY);
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
