//! What is told of this instance's demand: its counts over one round, freed of what is noise, less what its floor pays.
//!
//! A round is short, and few set-ups come in it: told as counted, every part would swing with them, and each swing has
//! to be given back before it can be given on.

use crate::terms::{Budget, BudgetId, Demand};

/// How much of the difference a round's count moves what is told.
const FOLLOWS: f64 = 0.25;
/// A count that differs from the mean by more than so many standard deviations, and one, is a change, and told at once.
const CHANGE: f64 = 3.0;

#[derive(Debug)]
struct Mean {
    budget: BudgetId,
    floor_per_s: f64,
    per_s: Option<f64>,
    worth: f64,
}

#[derive(Debug)]
pub(super) struct Demands {
    round_s: f64,
    means: Vec<Mean>,
}

impl Demands {
    pub(super) fn new(budgets: &[Budget], members: u16, round_ms: f64) -> Self {
        let mean = |b: &Budget| Mean {
            budget: b.id,
            floor_per_s: super::floor_of(b, members).0,
            per_s: None,
            worth: 0.0,
        };
        Demands { round_s: round_ms / 1000.0, means: budgets.iter().map(mean).collect() }
    }

    /// What to tell, from what was counted in the last round. Bookings come and go: each has a mean while it runs, and its
    /// floor is left to the grantor. Any other budget that is not known is told as counted.
    pub(super) fn told(&mut self, counted: Vec<Demand>) -> Vec<Demand> {
        let round_s = self.round_s;
        let runs = |budget: BudgetId| counted.iter().any(|d| d.budget == budget);
        self.means.retain(|m| m.budget.0 < BudgetId::BOOKED || runs(m.budget));
        for budget in counted.iter().map(|d| d.budget).filter(|b| b.0 >= BudgetId::BOOKED) {
            if self.means.iter().all(|m| m.budget != budget) {
                self.means.push(Mean { budget, floor_per_s: 0.0, per_s: None, worth: 0.0 });
            }
        }
        let mut smooth = |demand: Demand| {
            let Some(mean) = self.means.iter_mut().find(|m| m.budget == demand.budget) else { return demand };
            let old = mean.per_s.unwrap_or(demand.per_s);
            let (came, usual) = (demand.per_s * round_s, old * round_s);
            let changed = (came - usual).abs() > CHANGE * usual.max(came).sqrt() + 1.0;
            let per_s = if changed { demand.per_s } else { old + FOLLOWS * (demand.per_s - old) };
            mean.per_s = Some(per_s);
            if demand.per_s > 0.0 {
                mean.worth = demand.worth;
            }
            Demand { per_s: (per_s - mean.floor_per_s).max(0.0), worth: mean.worth, ..demand }
        };
        counted.into_iter().map(&mut smooth).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::control::ControlSettings;

    fn demands() -> Demands {
        let text = "budgets: [{name: a, spend: set_ups, per_s: 100, burst: 50, floor: 0.2}]\n";
        Demands::new(&ControlSettings::parse(text).unwrap().budgets(), 10, 300.0)
    }

    fn tell(demands: &mut Demands, per_s: f64) -> f64 {
        demands.told(vec![Demand { budget: BudgetId(0), per_s, worth: 1.0 }])[0].per_s
    }

    #[test]
    fn the_noise_of_a_short_round_hardly_shows_and_the_floor_is_left_out() {
        let mut d = demands();
        // 12 a second: three or four in a round of 300 ms, told as 10.0 or 13.3.
        let told: Vec<f64> =
            (0..60).map(|i| tell(&mut d, if i % 5 < 3 { 40.0 / 3.0 } else { 10.0 })).skip(10).collect();
        assert!(told.iter().all(|t| (9.0..11.0).contains(t)), "{told:?}");
        let spread = told.iter().copied().fold(0.0, f64::max) - told.iter().copied().fold(f64::MAX, f64::min);
        assert!(spread < 1.7, "{spread}");
    }

    /// Told as counted, a booking's parts swung from 3.6 to 15 a second at 11 a second and rounds of 150 ms.
    #[test]
    fn a_bookings_demand_is_freed_of_noise_while_it_runs() {
        let mut d = demands();
        let booked = |per_s| Demand { budget: BudgetId(BudgetId::BOOKED), per_s, worth: 1.0 };
        let mut tell =
            |i: u32| d.told(vec![booked(if i.is_multiple_of(2) { 20.0 / 3.0 } else { 40.0 / 3.0 })]);
        let told: Vec<f64> = (0..60).map(|i| tell(i)[0].per_s).skip(10).collect();
        assert!(told.iter().all(|t| (8.5..11.5).contains(t)), "{told:?}");
        d.told(Vec::new());
        assert_eq!(d.means.len(), 1, "one that is over is forgotten");
    }

    #[test]
    fn a_change_is_told_at_once() {
        let mut d = demands();
        (0..10).for_each(|_| {
            tell(&mut d, 12.0);
        });
        assert_eq!(tell(&mut d, 90.0), 88.0);
        assert_eq!(tell(&mut d, 0.0), 0.0);
    }
}
