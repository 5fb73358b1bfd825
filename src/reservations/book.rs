//! The committed state: what is booked by whom, the hours of live traffic, and how far time has passed.

use super::index::{Index, milli};
use super::request::Request;
use crate::terms::BudgetId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Whole minutes of the Unix clock.
pub type Minute = u32;

/// Hours of a week.
const HOURS: usize = 168;
/// So many weeks' peaks are kept of each.
const WEEKS: usize = 4;

/// The hour of the week (UTC, from Thursday 0:00 on) of a minute.
#[must_use]
pub fn hour_of(at: Minute) -> usize {
    (at / 60) as usize % HOURS
}

/// One window of a booking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Span {
    pub start: Minute,
    /// Its end, not part of it.
    pub end: Minute,
}

impl Span {
    /// Whether the two share a minute.
    #[must_use]
    pub fn meets(&self, other: Span) -> bool {
        self.start < other.end && other.start < self.end
    }
}

/// A change of the state. Its instants are fixed when it is taken: a promise does not move with a settings file or
/// with newer time-zone rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Op {
    /// Nothing: the first of each mastership.
    Began,
    /// A booking, with all its windows, in place of the `takes`.
    Book(Box<Placed>),
    /// A held one is a promise now.
    Confirm { slot: u16 },
    /// It is given up from this minute on; what has run stays.
    Cancel { slot: u16, at: Minute },
    /// Time has passed this minute and does not come again; what was over before `forget` is forgotten.
    Passed { at: Minute, forget: Minute },
    /// Live traffic of a site reached this, set-ups a second, in this hour since 1970.
    Peak { site: String, hour: u32, per_s: f64 },
    /// In its window that began then a booking keeps this step of the settings' for jobs that do not come.
    Keeps { slot: u16, start: Minute, step: u8 },
}

/// A booking as it is placed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placed {
    /// Its number: its budget's, less [`BudgetId::BOOKED`].
    pub slot: u16,
    pub request: Request,
    pub spans: Vec<Span>,
    /// Held until then, Unix clock, ms; 0: a promise at once.
    pub held_until: u64,
    /// From the operator's file.
    pub of_file: bool,
    /// Windows of others that it takes: their slot and start.
    pub takes: Vec<(u16, Minute)>,
}

/// Whether a booking that came from elsewhere can be kept: else it would break sums that are made with it.
fn sound(slot: u16, request: &Request, spans: &[Span]) -> bool {
    slot < BudgetId::BOOKED && request.check().is_ok() && spans.iter().all(|s| s.start < s.end)
}

/// A booking.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Booking {
    pub request: Request,
    /// Its windows, in their order.
    pub spans: Vec<Span>,
    pub held_until: u64,
    pub of_file: bool,
    /// Its entry in the log: an earlier promise has the lower.
    pub order: u64,
    /// Windows that another's booking took.
    pub preempted: Vec<Span>,
    pub cancelled: bool,
    /// End of its last window, also of one given up.
    pub last_end: Minute,
    /// The window that began then keeps this step; it has all of what was booked if there is none.
    pub keeps: Option<(Minute, u8)>,
}

impl Booking {
    /// The window in which `at` lies.
    #[must_use]
    pub fn running(&self, at: Minute) -> Option<Span> {
        let i = self.spans.partition_point(|s| s.start <= at);
        self.spans[..i].last().copied().filter(|s| at < s.end)
    }

    /// The window that runs at `at` or begins after it.
    #[must_use]
    pub fn next(&self, at: Minute) -> Option<Span> {
        self.spans.get(self.spans.partition_point(|s| s.end <= at)).copied()
    }
}

/// What a snapshot holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    pub bookings: BTreeMap<u16, Booking>,
    /// Time has passed this minute.
    pub passed: Minute,
    /// Peaks of live traffic by site and hour of the week, the last weeks': the hour since 1970, set-ups a second.
    pub peaks: BTreeMap<String, Vec<VecDeque<(u32, f32)>>>,
}

/// The state with what is derived from it.
#[derive(Clone, Debug, Default)]
pub struct Book {
    kept: Kept,
    ids: HashMap<(String, String), u16>,
    /// Everything booked, and what is booked by site and by team.
    whole: Index,
    sites: HashMap<String, Index>,
    teams: HashMap<String, Index>,
    nothing: Index,
}

impl Book {
    /// The state as a snapshot holds it.
    #[must_use]
    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// From a snapshot.
    #[must_use]
    pub fn from_kept(mut kept: Kept) -> Self {
        kept.bookings.retain(|&slot, b| sound(slot, &b.request, &b.spans));
        let mut book = Book { kept, ..Book::default() };
        let all: Vec<(u16, Booking)> = book.kept.bookings.iter().map(|(&s, b)| (s, b.clone())).collect();
        for (slot, booking) in all {
            book.ids.insert((booking.request.team.clone(), booking.request.id.clone()), slot);
            for &span in &booking.spans {
                book.index(&booking.request, span, 1);
            }
        }
        book
    }

    /// All bookings by slot.
    #[must_use]
    pub fn bookings(&self) -> &BTreeMap<u16, Booking> {
        &self.kept.bookings
    }

    /// The booking that was asked for under this id.
    #[must_use]
    pub fn asked(&self, team: &str, id: &str) -> Option<(u16, &Booking)> {
        let slot = *self.ids.get(&(team.to_owned(), id.to_owned()))?;
        self.kept.bookings.get(&slot).map(|b| (slot, b))
    }

    /// The lowest slot that is free.
    #[must_use]
    pub fn free_slot(&self) -> Option<u16> {
        (0..BudgetId::BOOKED).find(|slot| !self.kept.bookings.contains_key(slot))
    }

    /// What is booked over time, of all.
    #[must_use]
    pub fn whole(&self) -> &Index {
        &self.whole
    }

    /// What is booked at a site.
    #[must_use]
    pub fn site(&self, name: &str) -> &Index {
        self.sites.get(name).unwrap_or(&self.nothing)
    }

    /// What a team has booked.
    #[must_use]
    pub fn team(&self, name: &str) -> &Index {
        self.teams.get(name).unwrap_or(&self.nothing)
    }

    /// Time has passed this minute.
    #[must_use]
    pub fn passed(&self) -> Minute {
        self.kept.passed
    }

    /// The most that live traffic of a site took in this hour of the last weeks, set-ups a second; in an hour not
    /// seen yet, what it took in the worst of those seen.
    #[must_use]
    pub fn live(&self, site: &str, hour: usize) -> f64 {
        let Some(hours) = self.kept.peaks.get(site) else { return 0.0 };
        let worst = |peaks: &VecDeque<(u32, f32)>| peaks.iter().map(|(_, per_s)| *per_s).reduce(f32::max);
        let own = hours.get(hour).and_then(worst);
        f64::from(own.or_else(|| hours.iter().filter_map(worst).reduce(f32::max)).unwrap_or(0.0))
    }

    /// The peak written down for this very hour since 1970, set-ups a second.
    #[must_use]
    pub fn peak_in(&self, site: &str, hour: u32) -> Option<f64> {
        let peaks = self.kept.peaks.get(site)?.get(hour as usize % HOURS)?;
        peaks.back().filter(|(at, _)| *at == hour).map(|(_, per_s)| f64::from(*per_s))
    }

    fn index(&mut self, request: &Request, span: Span, sign: i64) {
        let rate = sign * milli(request.per_s);
        self.whole.add(span, rate);
        if let Some(site) = &request.site {
            self.sites.entry(site.clone()).or_default().add(span, rate);
        }
        self.teams.entry(request.team.clone()).or_default().add(span, rate);
    }

    /// Takes the entry with this number. What can't be followed (there is no such booking) changes nothing.
    pub fn apply(&mut self, order: u64, op: &Op) {
        match op {
            Op::Began => {}
            Op::Book(placed) => self.place(order, placed),
            Op::Confirm { slot } => {
                if let Some(booking) = self.kept.bookings.get_mut(slot) {
                    booking.held_until = 0;
                }
            }
            Op::Cancel { slot, at } => self.cancel(*slot, *at),
            Op::Passed { at, forget } => {
                self.kept.passed = self.kept.passed.max(*at);
                let over = |b: &Booking| b.last_end < *forget && b.spans.iter().all(|s| s.end < *forget);
                let old = self.kept.bookings.iter().filter(|(_, b)| over(b)).map(|(&slot, _)| slot);
                for slot in old.collect::<Vec<_>>() {
                    self.forget(slot);
                }
            }
            Op::Peak { site, hour, per_s } => {
                let hours =
                    self.kept.peaks.entry(site.clone()).or_insert_with(|| vec![VecDeque::new(); HOURS]);
                let Some(peaks) = hours.get_mut(*hour as usize % HOURS) else { return };
                match peaks.back_mut().filter(|(at, _)| at == hour) {
                    Some((_, known)) => *known = known.max(*per_s as f32),
                    None => peaks.push_back((*hour, *per_s as f32)),
                }
                if peaks.len() > WEEKS {
                    peaks.pop_front();
                }
            }
            Op::Keeps { slot, start, step } => {
                if let Some(booking) = self.kept.bookings.get_mut(slot) {
                    booking.keeps = Some((*start, *step));
                }
            }
        }
    }

    fn place(&mut self, order: u64, placed: &Placed) {
        if !sound(placed.slot, &placed.request, &placed.spans) {
            return;
        }
        for &(slot, start) in &placed.takes {
            self.take(slot, start);
        }
        self.forget(placed.slot);
        for &span in &placed.spans {
            self.index(&placed.request, span, 1);
        }
        self.ids.insert((placed.request.team.clone(), placed.request.id.clone()), placed.slot);
        let booking = Booking {
            request: placed.request.clone(),
            last_end: placed.spans.last().map_or(0, |s| s.end),
            spans: placed.spans.clone(),
            held_until: placed.held_until,
            of_file: placed.of_file,
            order,
            preempted: Vec::new(),
            cancelled: false,
            keeps: None,
        };
        self.kept.bookings.insert(placed.slot, booking);
    }

    /// Takes a booking's window that begins then from it.
    pub fn take(&mut self, slot: u16, start: Minute) {
        let Some(booking) = self.kept.bookings.get_mut(&slot) else { return };
        let Some(i) = booking.spans.iter().position(|s| s.start == start) else { return };
        let span = booking.spans.remove(i);
        booking.preempted.push(span);
        let request = booking.request.clone();
        self.index(&request, span, -1);
    }

    fn cancel(&mut self, slot: u16, at: Minute) {
        let Some(booking) = self.kept.bookings.get_mut(&slot) else { return };
        booking.cancelled = true;
        let old = std::mem::take(&mut booking.spans);
        let ran = |s: &Span| s.start < at;
        booking.spans = old.iter().copied().filter(ran).map(|s| Span { end: s.end.min(at), ..s }).collect();
        // Remembered from when it was given up, not from when it would have ended.
        booking.last_end = at;
        let (request, new) = (booking.request.clone(), booking.spans.clone());
        old.into_iter().for_each(|span| self.index(&request, span, -1));
        new.into_iter().for_each(|span| self.index(&request, span, 1));
    }

    fn forget(&mut self, slot: u16) {
        let Some(old) = self.kept.bookings.remove(&slot) else { return };
        self.ids.remove(&(old.request.team.clone(), old.request.id.clone()));
        for &span in &old.spans {
            self.index(&old.request, span, -1);
        }
    }
}
