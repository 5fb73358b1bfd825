//! Shares: fleet-wide budgets, divided among the border controllers by one of them and never summing to more than the
//! whole.
//!
//! Sans-I/O: [`Shares`] is one member's reducer. Times are ms on the process's own monotonic clock, randomness comes
//! from a seed. A few members are keepers; they elect one grantor by leases of a majority. It opens a round every
//! `round_ms`, asks all members for their demand, and grants parts that lapse. [`Purse`] spends them on the traffic
//! side, and [`Exchange`] is what lies between the two threads. `docs/shares.md` tells why it is safe.

mod divide;
mod exchange;
mod grantor;
mod holder;
mod ledger;
mod mastership;
mod message;
mod purse;
mod settings;
pub mod sim;
mod sites;
#[cfg(test)]
mod tests;

pub use exchange::{Exchange, Snapshot};
pub use message::{Granted, Message, Reported};
pub use purse::Purse;
pub use settings::ShareSettings;
pub use sites::Sites;

use crate::terms::{Budget, BudgetId, Demand, Epoch, Member, Part};
use grantor::Grantor;
use holder::Holder;
use mastership::Keeper;

type Sends = Vec<(Member, Message)>;

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
    /// The round was divided with what came; `arrivals` are ms from its opening, `demand` is the fleet's by budget, with
    /// the mean worth.
    RoundClosed {
        epoch: Epoch,
        round: u32,
        at: f64,
        arrivals: Vec<(Member, f64)>,
        missing: Vec<Member>,
        demand: Vec<Demand>,
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
    me: Member,
    deadline_ms: f64,
    now: f64,
    budgets: Vec<Budget>,
    keeper: Option<Keeper>,
    grantor: Option<Grantor>,
    holder: Holder,
}

impl Shares {
    /// A member that has just started: it holds nothing, and keeps silent for half a lease if it is a keeper. `settings`
    /// are checked; `seed` must differ from the one of its last start.
    #[must_use]
    pub fn new(settings: ShareSettings, me: Member, seed: u64, now: f64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let life = rng.u32(1..);
        let keeper = settings.keepers.contains(&me).then(|| Keeper::new(&settings, me, rng.u64(..), now));
        Shares {
            me,
            deadline_ms: settings.round_ms / 4.0,
            now,
            budgets: settings.budgets.clone(),
            keeper,
            grantor: None,
            holder: Holder::new(&settings, life),
            settings,
        }
    }

    /// Takes up one input; `now` never goes back.
    pub fn step(&mut self, now: f64, input: Input, out: &mut Vec<Output>) {
        let now = now.max(self.now);
        self.now = now;
        let mut sends = Sends::new();
        // A lease that ran out while this process stood still is over before anything else is done.
        self.sync(now, out);
        match input {
            Input::Heard { from, message } if from != self.me => {
                self.heard(now, from, &message, &mut sends, out)
            }
            Input::Heard { .. } | Input::Tick => {}
            Input::Demand(demands) => self.holder.demand(demands),
            Input::Budgets(booked) => self.rebudget(booked),
            Input::Leave => self.leave(now, &mut sends, out),
        }
        loop {
            self.sync(now, out);
            if let Some(keeper) = &mut self.keeper {
                keeper.tick(now, &mut sends);
            }
            if let Some(grantor) = &mut self.grantor {
                grantor.tick(now, self.deadline_ms, &mut sends, out);
            }
            if sends.is_empty() {
                break;
            }
            for (to, message) in std::mem::take(&mut sends) {
                if to == self.me {
                    self.heard(now, to, &message, &mut sends, out);
                } else {
                    out.push(Output::Send { to, message });
                }
            }
        }
    }

    /// Takes up or puts down the grantor's office as the lease says.
    fn sync(&mut self, now: f64, out: &mut Vec<Output>) {
        if self.holder.lapse(now) {
            out.push(Output::Parts(self.holder.parts()));
        }
        let epoch = self.keeper.as_ref().and_then(|keeper| keeper.epoch(now));
        let was = self.grantor.as_ref().map(|grantor| grantor.epoch);
        if epoch == was {
            return;
        }
        self.grantor = epoch.map(|epoch| Grantor::new(&self.settings, epoch, &self.budgets, now));
        out.push(Output::Mastership(epoch));
    }

    fn heard(&mut self, now: f64, from: Member, message: &Message, sends: &mut Sends, out: &mut Vec<Output>) {
        match message {
            Message::Ask { epoch, round } => {
                let answers = self.holder.asked(now, from, *epoch, *round);
                if let Some(keeper) = &mut self.keeper
                    && mastership::is_epoch_of(*epoch, from)
                {
                    keeper.heard_epoch(*epoch);
                    if from != self.me && !matches!(answers[..], [] | [Message::Stale { .. }]) {
                        keeper.heard_grantor(now);
                    }
                }
                sends.extend(answers.into_iter().map(|answer| (from, answer)));
            }
            Message::Grant { epoch, seq, life, stamp, lines } => {
                if mastership::is_epoch_of(*epoch, from)
                    && let Some((ack, changed)) =
                        self.holder.granted(now, (*epoch, *seq, *life), *stamp, lines)
                {
                    if changed {
                        out.push(Output::Parts(self.holder.parts()));
                    }
                    sends.push((from, ack));
                }
            }
            Message::Report { .. } | Message::Ack { .. } | Message::Gone { .. } => {
                if let Some(grantor) = &mut self.grantor {
                    grantor.heard(now, from, message, sends, out);
                }
            }
            Message::Stale { epoch } => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.stale(now, *epoch);
                }
                let stale = self.grantor.as_ref().is_some_and(|g| g.epoch < *epoch);
                self.sync(now, out);
                if stale && self.grantor.is_none() {
                    let why = format!("member {} knows of a later epoch: one above it is sought", from.0);
                    out.push(Output::Note(why));
                }
            }
            _ => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.heard(now, from, message, sends);
                }
                self.sync(now, out);
            }
        }
    }

    fn rebudget(&mut self, booked: Vec<Budget>) {
        let stands = |b: &&Budget| !booked.iter().any(|other| other.id == b.id);
        let mut budgets: Vec<Budget> = self.settings.budgets.iter().filter(stands).cloned().collect();
        budgets.extend(booked);
        budgets.sort_by_key(|b| b.id);
        budgets.dedup_by_key(|b| b.id);
        if budgets == self.budgets {
            return;
        }
        self.budgets = budgets;
        if let Some(grantor) = &mut self.grantor {
            grantor.budgets(&self.budgets);
        }
    }

    fn leave(&mut self, now: f64, sends: &mut Sends, out: &mut Vec<Output>) {
        let gone = self.holder.leave();
        out.push(Output::Parts(Vec::new()));
        sends.extend(gone);
        if let Some(keeper) = &mut self.keeper {
            keeper.leave(now, sends);
        }
    }

    /// When [`Input::Tick`] is due next, on the clock of `now`.
    #[must_use]
    pub fn next_due(&self) -> f64 {
        let keeper = self.keeper.as_ref().map_or(f64::INFINITY, Keeper::due);
        let grantor = self.grantor.as_ref().map_or(f64::INFINITY, |g| g.due(self.deadline_ms));
        self.holder.due().min(keeper).min(grantor)
    }

    /// The grantor this member knows of: itself, or one heard within a lease.
    #[must_use]
    pub fn master(&self) -> Option<(Member, Epoch)> {
        let own = self.grantor.as_ref().map(|grantor| (self.me, grantor.epoch));
        own.or_else(|| self.holder.grantor(self.now))
    }

    /// As grantor: what each member was to have of a budget at the last division, its floor with it, a second.
    #[must_use]
    pub fn divided(&self, budget: BudgetId) -> Vec<(Member, f64)> {
        self.grantor.as_ref().map_or_else(Vec::new, |grantor| grantor.divided(budget))
    }

    /// The budgets that are divided: the operator's and those booked.
    #[must_use]
    pub fn budgets(&self) -> &[Budget] {
        &self.budgets
    }

    /// How long a round waits for reports before it is divided with what came, ms; at most half a round. A quarter of
    /// a round if never set.
    pub fn set_round_deadline(&mut self, ms: f64) {
        if ms.is_finite() {
            self.deadline_ms = ms.clamp(1.0, self.settings.round_ms / 2.0);
        }
    }
}
