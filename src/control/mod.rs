//! The control plane's reducer: what the border controllers of a fleet decide together, on a thread of its own beside
//! the traffic.
//!
//! Sans-I/O like the engine: [`Control::step`] takes an event at a time on the process's monotonic clock (ms) and
//! appends what is to be done, in order. It hosts the decision modules `crate::shares` and `crate::gather` as the
//! engine hosts `policy`, and puts their messages into datagrams ([`wire`]). Nothing here knows a call: the traffic side reads what was decided
//! from `crate::shares::Exchange`, and never waits for it.

mod bookings;
mod demand;
mod job_results;
mod job_words;
mod jobs;
#[cfg(test)]
mod jobs_tests;
mod live;
mod rounds;
pub mod settings;
#[cfg(test)]
mod tests;
mod wholes;
pub mod wire;

pub use job_results::{JobFigures, ResultFigures};
pub use rounds::RoundFigures;
pub use settings::ControlSettings;

use crate::gather::{Count, Posted};
use crate::reservations;
use crate::shares::{Input, Message, Output, ShareSettings, Shares};
use crate::terms::{Budget, BudgetId, Demand, Epoch, Member, Part};
use bookings::{Bookings, Outcome};
use demand::Demands;
use jobs::{Did, Hosted};
use live::Live;
use rounds::Rounds;
use serde::{Deserialize, Serialize};
use wire::{Dropped, Envelope};

/// What a datagram carries. Kinds are only ever added, at the end.
#[derive(Debug, Serialize, Deserialize)]
enum Body {
    Shares(Message),
    Reservations(reservations::Message),
    Jobs(job_words::Message),
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
    /// How much of each site's call servers takes set-ups, 0 to 1, as this instance sees it.
    Sites(Vec<(String, f64)>),
    /// Somebody here asks for, confirms or gives up a booking; [`Effect::Answered`] comes under `ticket`.
    Wish { ticket: u64, wish: Box<reservations::Wish> },
    /// The operator's file was read again: what may be booked from now on.
    Reread(Box<reservations::Settings>),
    /// This instance's counts of the jobs last posted, each round.
    Jobs(Vec<Count>),
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
    /// The budgets in force from now on, all of them.
    Budgets(Vec<Budget>),
    /// The sites whose traffic and state are told from now on, with the numbers under which it is.
    Sites(Vec<(BudgetId, String)>),
    /// To be added to the bookings' file, or to be put in its place whole.
    Append(Vec<u8>),
    Replace(Vec<u8>),
    /// This instance's own parts, all of them.
    Parts(Vec<Part>),
    /// How the gathered jobs stand, all of them.
    Jobs(Vec<Posted>),
    /// This instance grants from now on, under this epoch, or no longer.
    Mastership(Option<Epoch>),
    /// What was asked for under this ticket came to this.
    Answered {
        ticket: u64,
        answer: reservations::Answer,
    },
    /// For the log.
    Note(String),
}

/// What operators are shown of the control plane.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlFigures {
    /// The grantor that is known of, and its epoch.
    pub master: Option<(Member, Epoch)>,
    /// Datagrams sent, heard and believed, and not taken.
    pub sent: u64,
    pub heard: u64,
    pub dropped: Dropped,
    /// Messages too long for a datagram.
    pub too_long: u64,
    /// The rounds that this instance opened as grantor.
    pub rounds: RoundFigures,
    /// Where jobs are gathered.
    pub jobs: Option<JobFigures>,
}

pub struct Control {
    shares: Shares,
    demands: Demands,
    rounds: Rounds,
    bookings: Option<Bookings>,
    live: Live,
    jobs: Option<Hosted>,
    /// Those about in the round that was just opened here.
    asked: Option<Vec<Member>>,
    outcomes: Vec<Outcome>,
    envelope: Envelope,
    outputs: Vec<Output>,
    /// When the last round was opened.
    opened_at: f64,
    figures: ControlFigures,
}

impl Control {
    /// A member that has just started at `now`.
    ///
    /// # Errors
    /// The settings do not fit the fleet.
    pub fn new(settings: &ControlSettings, place: &Place, now: f64) -> Result<Self, String> {
        let mut shares = share_settings(settings, place.members);
        shares.check()?;
        let demands = Demands::new(&shares.budgets, place.members, settings.round_ms);
        let whole = (shares.keepers.clone(), place.members);
        let bookings = settings.reservations.clone().map(|reservations| {
            Bookings::new(reservations, place.me, whole, shares.budgets.clone(), settings.lease_ms)
        });
        let sites = settings.reservations.as_ref().map(|r| r.sites.as_slice()).unwrap_or_default();
        let live = Live::new(sites, settings.round_ms);
        shares.budgets.extend(live.budgets());
        let gather = settings.gather.clone().unwrap_or_default();
        let jobs = gather.jobs.filter(|_| bookings.is_some()).map(|jobs| {
            let Place { me, members, incarnation, seed } = *place;
            Hosted::new(jobs, me, members, incarnation, seed, settings.lease_ms)
        });
        let rounds = Rounds::new(gather.rounds.unwrap_or_else(crate::gather::Settings::rounds), place.seed);
        let key = settings.key.as_ref().map(|key| key.0.as_slice());
        Ok(Control {
            shares: Shares::new(shares, place.me, place.seed, now),
            demands,
            rounds,
            bookings,
            live,
            jobs,
            asked: None,
            outcomes: Vec::new(),
            envelope: Envelope::new(place.me, place.incarnation, key, settings.lease_ms),
            outputs: Vec::new(),
            opened_at: now,
            figures: ControlFigures::default(),
        })
    }

    /// When [`Event::Tick`] is due next, ms.
    #[must_use]
    pub fn next_due(&self) -> f64 {
        let bookings = self.bookings.as_ref().map_or(f64::INFINITY, Bookings::next_due);
        let jobs = self.jobs.as_ref().map_or(f64::INFINITY, Hosted::next_due);
        self.shares.next_due().min(bookings).min(jobs)
    }

    #[must_use]
    pub fn figures(&self) -> ControlFigures {
        let (master, dropped) = (self.shares.master(), self.envelope.dropped());
        let jobs = self.jobs.as_ref().map(Hosted::figures);
        ControlFigures { master, dropped, rounds: self.rounds.figures(), jobs, ..self.figures.clone() }
    }

    /// The sites whose traffic and state are to be told, with the numbers under which it is.
    #[must_use]
    pub fn sites(&self) -> Vec<(BudgetId, String)> {
        self.live.sites()
    }

    /// All bookings as known here; none where nothing may be booked.
    #[must_use]
    pub fn listing(&self) -> Option<reservations::Listing> {
        self.bookings.as_ref().map(Bookings::listing)
    }

    /// What the bookings' file held at the start.
    ///
    /// # Errors
    /// It is damaged in its middle: nothing of it is used.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.bookings.as_mut().map_or(Ok(()), |bookings| bookings.restore(bytes))
    }

    /// Takes one event at `now`, which never goes back, and `unix_ms`, which may.
    pub fn step(&mut self, now: f64, unix_ms: u64, event: Event, out: &mut Vec<Effect>) {
        let (mut booked, mut told, mut counted) = (None, None, None);
        let input = match event {
            Event::Datagram { from, bytes } => {
                let Some((from, body)) = self.envelope.open(now, Some(from), &bytes) else {
                    return;
                };
                self.figures.heard += 1;
                match body {
                    Body::Shares(message) => Input::Heard { from, message },
                    Body::Reservations(message) => {
                        booked = Some(reservations::Input::Received { from, message });
                        Input::Tick
                    }
                    Body::Jobs(message) => {
                        told = Some((from, message));
                        Input::Tick
                    }
                }
            }
            Event::Demand(demand) => Input::Demand(self.demands.told(demand)),
            Event::Wish { ticket, wish } => {
                booked = Some(reservations::Input::Ask { ticket, wish: *wish });
                Input::Tick
            }
            Event::Sites(open) => {
                for input in self.live.seen(&open) {
                    self.book(now, unix_ms, input, out);
                }
                Input::Tick
            }
            Event::Reread(settings) => {
                out.push(Effect::Note("reservations read again".to_owned()));
                self.live.reread(&settings.sites);
                out.push(Effect::Sites(self.live.sites()));
                booked = Some(reservations::Input::Reread(settings));
                // The rounds are to add up what is asked of new sites from now on.
                let in_force = self.bookings.as_ref().map(Bookings::in_force).unwrap_or_default();
                Input::Budgets(in_force.into_iter().chain(self.live.budgets()).collect())
            }
            Event::Jobs(counts) => {
                counted = Some(counts);
                Input::Tick
            }
            Event::Leave => Input::Leave,
            Event::Tick => Input::Tick,
        };
        let mut outputs = std::mem::take(&mut self.outputs);
        self.shares.step(now, input, &mut outputs);
        for output in outputs.drain(..) {
            self.act((now, unix_ms), output, out);
        }
        self.outputs = outputs;
        self.rounds.tick(now);
        let due = self.bookings.as_ref().is_some_and(|bookings| bookings.next_due() <= now);
        if let Some(input) = booked.or(due.then_some(reservations::Input::Tick)) {
            self.book(now, unix_ms, input, out);
        }
        self.host_jobs((now, unix_ms), told, counted, out);
    }

    fn host_jobs(
        &mut self,
        (now, unix_ms): (f64, u64),
        told: Option<(Member, job_words::Message)>,
        counted: Option<Vec<Count>>,
        out: &mut Vec<Effect>,
    ) {
        let (Some(hosted), Some(bookings)) = (self.jobs.as_mut(), self.bookings.as_ref()) else { return };
        let (shares, mut did) = (&self.shares, Vec::new());
        if let Some((from, message)) = told {
            hosted.heard(now, from, &message, shares.master(), &mut did);
        }
        if let Some(counts) = counted {
            hosted.windows(now, bookings.windows(), &mut did);
            hosted.counted(now, shares.master().map(|(member, _)| member), &counts, &mut did);
        }
        if let Some(present) = self.asked.take() {
            hosted.round(now, present, |budget| shares.divided(budget), &mut did);
        }
        hosted.tick(now, &mut did);
        for did in did {
            match did {
                Did::Send { to, message } => self.send(to, &Body::Jobs(message), out),
                Did::Finished(booking) => {
                    self.book(now, unix_ms, reservations::Input::Finished { booking }, out);
                }
                Did::Post(posted) => out.push(Effect::Jobs(posted)),
                Did::Note(text) => out.push(Effect::Note(text)),
            }
        }
    }

    fn send(&mut self, to: Member, body: &Body, out: &mut Vec<Effect>) {
        match self.envelope.seal(body) {
            Ok(bytes) => {
                self.figures.sent += 1;
                out.push(Effect::Send { to, bytes });
            }
            Err(why) => {
                self.figures.too_long += 1;
                out.push(Effect::Note(why));
            }
        }
    }

    fn book(&mut self, now: f64, unix_ms: u64, input: reservations::Input, out: &mut Vec<Effect>) {
        let Some(bookings) = self.bookings.as_mut() else { return };
        let mut outcomes = std::mem::take(&mut self.outcomes);
        bookings.step(now, unix_ms, input, &mut outcomes);
        for outcome in outcomes.drain(..) {
            match outcome {
                Outcome::Send { to, message } => self.send(to, &Body::Reservations(*message), out),
                Outcome::Budgets(budgets) => {
                    out.push(Effect::Budgets(budgets.clone()));
                    let budgets = budgets.into_iter().chain(self.live.budgets()).collect();
                    let mut outputs = Vec::new();
                    self.shares.step(now, Input::Budgets(budgets), &mut outputs);
                    outputs.into_iter().for_each(|output| self.act((now, unix_ms), output, out));
                }
                Outcome::Append(bytes) => out.push(Effect::Append(bytes)),
                Outcome::Replace(bytes) => out.push(Effect::Replace(bytes)),
                Outcome::Answered { ticket, answer } => out.push(Effect::Answered { ticket, answer }),
                Outcome::Note(text) => out.push(Effect::Note(text)),
            }
        }
        self.outcomes = outcomes;
    }

    fn act(&mut self, (now, unix_ms): (f64, u64), output: Output, out: &mut Vec<Effect>) {
        match output {
            Output::Send { to, message } => self.send(to, &Body::Shares(message), out),
            Output::Parts(parts) => out.push(Effect::Parts(parts)),
            Output::Mastership(epoch) => {
                out.push(Effect::Mastership(epoch));
                if let Some(jobs) = &mut self.jobs {
                    jobs.mastership(now, epoch);
                }
                self.live.mastership();
                self.book(now, unix_ms, reservations::Input::Mastership(epoch), out);
            }
            Output::Note(text) => out.push(Effect::Note(text)),
            Output::RoundOpened { epoch, round, at, expected } => {
                let deadline = self.rounds.opened(at, epoch.0, round, &expected);
                self.shares.set_round_deadline(deadline);
                self.opened_at = at;
                self.asked = Some(expected);
            }
            Output::RoundClosed { epoch, round, at, arrivals, demand, .. } => {
                for (member, after_ms) in arrivals {
                    self.rounds.heard(self.opened_at + after_ms, epoch.0, round, member);
                }
                for input in self.live.heard(at, &demand) {
                    self.book(now, unix_ms, input, out);
                }
            }
            Output::RoundLate { epoch, round, member, .. } => {
                self.rounds.heard(now, epoch.0, round, member);
            }
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
