//! The control plane's reducer: what the border controllers of a fleet decide together, on a thread of its own beside
//! the traffic.
//!
//! Sans-I/O like the engine: [`Control::step`] takes an event at a time on the process's monotonic clock (ms) and
//! appends what is to be done, in order. It hosts the decision module `crate::shares` as the engine hosts `policy`,
//! and puts its messages into datagrams ([`wire`]). Nothing here knows a call: the traffic side reads what was decided
//! from `crate::shares::Exchange`, and never waits for it.

pub mod settings;
pub mod wire;

pub use settings::ControlSettings;

use crate::shares::{Input, Message, Output, ShareSettings, Shares};
use crate::terms::{Budget, Demand, Epoch, Member, Part};
use serde::{Deserialize, Serialize};
use wire::{Dropped, Envelope};

/// What a datagram carries. Kinds are only ever added, at the end.
#[derive(Debug, Serialize, Deserialize)]
enum Body {
    Shares(Message),
}

/// Who this process is in its fleet.
#[derive(Clone, Debug)]
pub struct Place {
    pub me: Member,
    /// Configured members.
    pub members: u16,
    /// Unix ms of the process's start; a later one is a later life.
    pub incarnation: u64,
    /// Its own, another at each start.
    pub seed: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A datagram came from this member's address.
    Datagram { from: Member, bytes: Vec<u8> },
    /// This instance's own demand over the last round.
    Demand(Vec<Demand>),
    /// The process is to stop: what it holds goes back.
    Leave,
    /// [`Control::next_due`] has come.
    Tick,
}

/// What is to be done, in this order: parts are in force before what follows is sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: Member,
        bytes: Vec<u8>,
    },
    /// This instance's own parts, all of them.
    Parts(Vec<Part>),
    /// This instance grants from now on, under this epoch, or no longer.
    Mastership(Option<Epoch>),
    /// For the log.
    Note(String),
}

/// What operators are shown of the control plane.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlFigures {
    /// The grantor that is known of, and its epoch.
    pub master: Option<(Member, Epoch)>,
    /// Datagrams sent, heard and believed, and not taken.
    pub sent: u64,
    pub heard: u64,
    pub dropped: Dropped,
    /// Messages too long for a datagram.
    pub too_long: u64,
}

pub struct Control {
    shares: Shares,
    envelope: Envelope,
    outputs: Vec<Output>,
    figures: ControlFigures,
}

impl Control {
    /// A member that has just started at `now`.
    ///
    /// # Errors
    /// The settings do not fit the fleet.
    pub fn new(settings: &ControlSettings, place: &Place, now: f64) -> Result<Self, String> {
        let shares = share_settings(settings, place.members);
        shares.check()?;
        let key = settings.key.as_ref().map(|key| key.0.as_slice());
        Ok(Control {
            shares: Shares::new(shares, place.me, place.seed, now),
            envelope: Envelope::new(place.me, place.incarnation, key, settings.lease_ms),
            outputs: Vec::new(),
            figures: ControlFigures::default(),
        })
    }

    /// When [`Event::Tick`] is due next, ms.
    #[must_use]
    pub fn next_due(&self) -> f64 {
        self.shares.next_due()
    }

    #[must_use]
    pub fn figures(&self) -> ControlFigures {
        ControlFigures { master: self.shares.master(), dropped: self.envelope.dropped(), ..self.figures }
    }

    /// Takes one event at `now`, which never goes back.
    pub fn step(&mut self, now: f64, event: Event, out: &mut Vec<Effect>) {
        let input = match event {
            Event::Datagram { from, bytes } => {
                let Some((from, Body::Shares(message))) = self.envelope.open(now, Some(from), &bytes) else {
                    return;
                };
                self.figures.heard += 1;
                Input::Heard { from, message }
            }
            Event::Demand(demand) => Input::Demand(demand),
            Event::Leave => Input::Leave,
            Event::Tick => Input::Tick,
        };
        let mut outputs = std::mem::take(&mut self.outputs);
        self.shares.step(now, input, &mut outputs);
        for output in outputs.drain(..) {
            self.act(output, out);
        }
        self.outputs = outputs;
    }

    fn act(&mut self, output: Output, out: &mut Vec<Effect>) {
        match output {
            Output::Send { to, message } => match self.envelope.seal(&Body::Shares(message)) {
                Ok(bytes) => {
                    self.figures.sent += 1;
                    out.push(Effect::Send { to, bytes });
                }
                Err(why) => {
                    self.figures.too_long += 1;
                    out.push(Effect::Note(why));
                }
            },
            Output::Parts(parts) => out.push(Effect::Parts(parts)),
            Output::Mastership(epoch) => out.push(Effect::Mastership(epoch)),
            Output::Note(text) => out.push(Effect::Note(text)),
            // The rounds' times serve whoever learns their deadline.
            Output::RoundOpened { .. } | Output::RoundClosed { .. } | Output::RoundLate { .. } => {}
        }
    }
}

/// The division's settings for a fleet of so many.
fn share_settings(settings: &ControlSettings, members: u16) -> ShareSettings {
    ShareSettings {
        members,
        keepers: settings.keepers.iter().map(|&k| Member(k)).collect(),
        lease_ms: settings.lease_ms,
        round_ms: settings.round_ms,
        drift: settings.drift,
        budgets: settings.budgets(),
    }
}

/// The part of a budget that every instance has for good: a second, and at once.
#[must_use]
pub fn floor_of(budget: &Budget, members: u16) -> (f64, f64) {
    let share = budget.floor / f64::from(members.max(1));
    (budget.per_s * share, budget.burst * share)
}
