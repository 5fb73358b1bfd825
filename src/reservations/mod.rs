//! Reservations: capacity of the call servers that teams book for scheduled jobs.
//!
//! Sans-I/O: [`Reservations::step`] takes what happened with the times at which it did, and says what is to be sent,
//! written and told. `docs/reservations.md` says by which rules, `docs/operations-reservations.md` how operators and
//! teams use it.

mod book;
mod calendar;
#[cfg(test)]
mod calendar_tests;
mod clock;
mod host;
mod index;
mod log;
mod message;
mod pages;
mod replica;
mod request;
mod rules;
mod running;
mod settings;
mod store;
#[cfg(test)]
mod tests;

pub use book::{Minute, Op, Placed, Span};
pub use host::Reservations;
pub use index::{Index, Milli, milli};
pub use log::{Entry, Mark};
pub use message::{Body, Message, Wish};
pub use request::{Answer, LeftOut, Listed, Listing, Promise, Reason, Request, State, Window};
pub use running::JobWindow;
pub use settings::{Freeze, NoShow, Preempt, Settings, SiteCapacity, Team};

use crate::terms::{Budget, BudgetId, Epoch, Member};

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Somebody here wants something; the answer comes under `ticket`, after 4 s at the latest.
    Ask {
        ticket: u64,
        wish: Wish,
    },
    /// The fleet was asked for so many set-ups a second of a running booking, over the last round.
    Used {
        booking: BudgetId,
        per_s: f64,
    },
    /// The job of a booking's present window is over: the rest of that window is everybody's.
    Finished {
        booking: BudgetId,
    },
    /// Live traffic of a site (all that is no booking's), set-ups a second; `dear_per_s` of it is dear.
    Live {
        site: String,
        per_s: f64,
        dear_per_s: f64,
    },
    /// A site can take so many set-ups a second now.
    Capacity {
        site: String,
        per_s: f64,
    },
    /// A site is lost, or it is back.
    SiteLost(String),
    SiteBack(String),
    /// Another instance said this.
    Received {
        from: Member,
        message: Message,
    },
    /// This instance is the grantor now under that epoch, or it is not any more.
    Mastership(Option<Epoch>),
    /// The operator's file was read again.
    Reread(Box<Settings>),
    /// Time went on.
    Tick,
}

/// What is to be done, in this order: what is written before what is sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// What was asked for under this ticket came to this.
    Answered {
        ticket: u64,
        answer: Answer,
    },
    /// The bookings that run now: all of them, in place of the last ones.
    Budgets(Vec<Budget>),
    Send {
        to: Member,
        message: Message,
    },
    /// To be added to the file in the settings' folder.
    Append(Vec<u8>),
    /// To be put in that file's place, whole or not at all.
    Replace(Vec<u8>),
    /// A team is to hear this.
    Tell {
        team: String,
        text: String,
    },
    /// The operators are to hear this.
    Note(String),
}
