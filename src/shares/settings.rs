//! What an operator sets for the division of budgets.

use crate::terms::{Budget, Member};

/// Leases shorter than this many rounds would lapse on one lost datagram.
const ROUNDS_IN_LEASE: f64 = 3.0;

/// The division's settings; the same at every member.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareSettings {
    /// Configured members, numbered from 0. Every one has its floor, whether it runs or not.
    pub members: u16,
    /// Three or five members that elect the grantor.
    pub keepers: Vec<Member>,
    /// How long a grant holds, ms. A mastership holds for two fifths of it, so that another grantor is there before
    /// parts lapse; a keeper keeps silent for half of it after its start.
    pub lease_ms: f64,
    /// From one division to the next, ms.
    pub round_ms: f64,
    /// How far any member's clock may run fast or slow, as a share of true time: 0.01 is 1%.
    pub drift: f64,
    /// The operator's budgets. Booked ones come later, by [`Input::Budgets`](super::Input::Budgets).
    pub budgets: Vec<Budget>,
}

impl ShareSettings {
    /// Whether these figures can be kept.
    ///
    /// # Errors
    ///
    /// Names the first figure that cannot.
    pub fn check(&self) -> Result<(), String> {
        if self.members == 0 {
            return Err("shares: there are no members".into());
        }
        if !matches!(self.keepers.len(), 3 | 5) {
            return Err(format!("shares: {} keepers: three or five are needed", self.keepers.len()));
        }
        for (i, keeper) in self.keepers.iter().enumerate() {
            if keeper.0 >= self.members {
                return Err(format!("shares: keeper {} is no member of {}", keeper.0, self.members));
            }
            if self.keepers[..i].contains(keeper) {
                return Err(format!("shares: keeper {} is named twice", keeper.0));
            }
        }
        let whole = |v: f64| v.is_finite() && v > 0.0;
        if !whole(self.round_ms) || self.round_ms < 10.0 {
            return Err(format!("shares: round_ms {} is under 10", self.round_ms));
        }
        if !whole(self.lease_ms) || self.lease_ms < ROUNDS_IN_LEASE * self.round_ms {
            return Err(format!("shares: lease_ms {} is under three rounds", self.lease_ms));
        }
        if !(0.0..=0.1).contains(&self.drift) {
            return Err(format!("shares: drift {} is not within 0 and 0.1", self.drift));
        }
        for (i, budget) in self.budgets.iter().enumerate() {
            if budget.id.0 >= crate::terms::BudgetId::BOOKED {
                return Err(format!("shares: budget {} has a booking's number", budget.name));
            }
            if self.budgets[..i].iter().any(|b| b.id == budget.id) {
                return Err(format!("shares: budget {} has the number of another", budget.name));
            }
            self.check_budget(budget)?;
        }
        Ok(())
    }

    fn check_budget(&self, budget: &Budget) -> Result<(), String> {
        let Budget { name, per_s, burst, floor, .. } = budget;
        // Parts go over the wire as thousandths in 32 bits.
        if !(*per_s > 0.0 && *per_s <= 4e6) {
            return Err(format!("shares: budget {name}: per_s {per_s} is not within 0 and 4,000,000"));
        }
        if !(*burst >= 1.0 && *burst <= 4e6) {
            return Err(format!("shares: budget {name}: burst {burst} is not within 1 and 4,000,000"));
        }
        if !(0.0..=1.0).contains(floor) {
            return Err(format!("shares: budget {name}: floor {floor} is not within 0 and 1"));
        }
        // A spending takes a whole one of the burst; all members cut off from each other may spend at once.
        let each = burst * floor / f64::from(self.members);
        if *floor > 0.0 && each < 1.0 {
            return Err(format!(
                "shares: budget {name}: a floor's burst of {each:.3} for each member is under 1 and could never be \
                 spent: raise the burst or set no floor"
            ));
        }
        Ok(())
    }

    /// Members that make a majority of the keepers.
    pub(super) fn majority(&self) -> usize {
        self.keepers.len() / 2 + 1
    }

    /// How long a keeper holds another to be grantor, ms.
    pub(super) fn mastership_ms(&self) -> f64 {
        self.lease_ms * 0.4
    }

    /// How long whoever was given a lease counts it, ms on its own clock, from before it asked: not longer in true time
    /// than the giver, who counts `lease_ms` from when it gave it, whatever their clocks' drift.
    pub(super) fn holders_ms(&self, lease_ms: f64) -> f64 {
        lease_ms * (1.0 - self.drift) / (1.0 + self.drift)
    }
}
