//! The terms in which the control plane's parts speak of members, budgets and masterships.
//!
//! A leaf: the decision modules (`shares`, `reservations`, `gather`), the control reducer that hosts them, the
//! traffic reducer and the sockets all import it, and it imports none of them.
//!
//! Times are milliseconds on the process's own monotonic clock unless a name says otherwise; `unix_ms` is the
//! system's Unix clock. Rates are per second.

use serde::{Deserialize, Serialize};

/// An instance, by its place among the configured ones (the settings' `index`, the place in `peers`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member(pub u16);

/// A budget: first those of the operator's file, in its order; bookings take the numbers from
/// [`BudgetId::BOOKED`] on. Those from [`BudgetId::LIVE`] up to there are sites, of which the whole is nothing: what is
/// asked of them is only told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetId(pub u16);

impl BudgetId {
    /// The first number under which a site's live traffic is told.
    pub const LIVE: u16 = 0x7000;
    /// The first number of a booking's budget.
    pub const BOOKED: u16 = 0x8000;
}

/// The fencing number of a mastership: a later one is greater than every one before, at any keeper.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// What a budget is spent on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spending {
    /// First attempts, of all or of those that match.
    SetUps,
    /// Second and later attempts.
    SecondAttempts,
    /// Connections to a call server that could not be reached.
    Dials,
}

/// A budget as it is to be divided: the whole fleet's.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    pub id: BudgetId,
    /// The operator's name for it, in figures and log.
    pub name: String,
    pub spending: Spending,
    /// Only what goes to this call server; none: any.
    pub server: Option<String>,
    /// Only what goes to this site; none: any.
    pub site: Option<String>,
    /// Only calls of this class; none: any.
    pub class: Option<String>,
    /// Only calls to numbers that begin so; none: any.
    pub number_prefix: Option<String>,
    /// The whole fleet's rate, per second.
    pub per_s: f64,
    /// What the whole fleet may spend at once beyond the rate.
    pub burst: f64,
    /// Share of both (0 to 1) that is kept back and split evenly and for good among all configured members.
    pub floor: f64,
}

/// What one member would spend of a budget if it had all of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    pub budget: BudgetId,
    /// Per second, over the last round.
    pub per_s: f64,
    /// Mean worth of what was to be paid with it; at least 0.
    pub worth: f64,
}

/// A part of a budget that one member may spend until it lapses; its floor is not in it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Part {
    pub budget: BudgetId,
    pub per_s: f64,
    pub burst: f64,
    /// It lapses then, on the holder's own monotonic clock.
    pub until: f64,
    pub epoch: Epoch,
}
