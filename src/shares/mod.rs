//! Shares: fleet-wide budgets, divided among the border controllers by one of them and never summing to more than the
//! whole.
//!
//! Sans-I/O: [`Shares`] is one member's reducer. Times are ms on the process's own monotonic clock, randomness comes
//! from a seed. A few members are keepers; they elect one grantor by leases of a majority. It opens a round every
//! `round_ms`, asks all members for their demand, and grants parts that lapse. [`Purse`] spends them on the traffic
//! side, and [`Exchange`] is what lies between the two threads. `docs/shares.md` tells why it is safe.

mod exchange;
mod message;
mod purse;
mod settings;

pub use exchange::{Exchange, Snapshot};
pub use message::{Granted, Message, Reported};
pub use purse::Purse;
pub use settings::ShareSettings;

use crate::terms::{Budget, Demand, Epoch, Member, Part};

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A message came. `from` is checked to be its sender; what it says may be anything.
    Heard { from: Member, message: Message },
    /// This member's own demand over the last round, the whole set.
    Demand(Vec<Demand>),
    /// The booked budgets in force from now on, the whole set of them; one with an operator's number stands in place
    /// of that one (its whole lowered by what is booked). Lower first and add a lease later, or both are spent
    /// meanwhile.
    Budgets(Vec<Budget>),
    /// Drain: give everything back and take nothing any more.
    Leave,
    /// [`Shares::next_due`] has come.
    Tick,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        to: Member,
        message: Message,
    },
    /// This member's own parts, the whole set, whenever it changed. To be in force before what follows is sent.
    Parts(Vec<Part>),
    /// This member became grantor under this epoch, or is none any more.
    Mastership(Option<Epoch>),
    /// This member, as grantor, asked `expected` for their demand. Those not heard of for a lease are asked, but not
    /// waited for.
    RoundOpened {
        epoch: Epoch,
        round: u32,
        at: f64,
        expected: Vec<Member>,
    },
    /// The round was divided with what came; `arrivals` are ms from its opening.
    RoundClosed {
        epoch: Epoch,
        round: u32,
        at: f64,
        arrivals: Vec<(Member, f64)>,
        missing: Vec<Member>,
    },
    /// A report came after its round was closed.
    RoundLate {
        epoch: Epoch,
        round: u32,
        member: Member,
        after_ms: f64,
    },
    /// For the log.
    Note(String),
}

/// One member's side of the division.
#[derive(Clone, Debug)]
pub struct Shares {
    settings: ShareSettings,
    deadline_ms: f64,
}

impl Shares {
    /// A member that has just started: it holds nothing, and keeps silent for a lease if it is a keeper. `settings`
    /// are checked; `seed` must differ from the one of its last start.
    #[must_use]
    pub fn new(settings: ShareSettings, me: Member, seed: u64, now: f64) -> Self {
        let _ = (me, seed, now);
        let deadline_ms = settings.round_ms / 4.0;
        Shares { settings, deadline_ms }
    }

    /// Takes up one input; `now` never goes back.
    pub fn step(&mut self, now: f64, input: Input, out: &mut Vec<Output>) {
        let _ = (now, input, out);
    }

    /// When [`Input::Tick`] is due next, on the clock of `now`.
    #[must_use]
    pub fn next_due(&self) -> f64 {
        f64::INFINITY
    }

    /// The grantor this member knows of: heard within a lease, or itself.
    #[must_use]
    pub fn master(&self) -> Option<(Member, Epoch)> {
        None
    }

    /// How long a round waits for reports before it is divided with what came, ms; at most half a round. A quarter of
    /// a round if never set.
    pub fn set_round_deadline(&mut self, ms: f64) {
        if ms.is_finite() {
            self.deadline_ms = ms.clamp(1.0, self.settings.round_ms / 2.0);
        }
    }
}
