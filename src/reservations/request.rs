//! What teams ask for and what they are told, as JSON over the management address and between instances.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A booking asked for. The same `team` and `id` sent again are the same request: it books once.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// The team's own name for it, 1 to 64 bytes.
    pub id: String,
    /// Who asks.
    pub team: String,
    /// The site at which it is to have capacity; none: anywhere.
    #[serde(default)]
    pub site: Option<String>,
    /// The class of the job's calls.
    pub class: String,
    /// Leading digits of the numbers that the job calls; none: all of the class.
    #[serde(default)]
    pub number_prefix: Option<String>,
    /// Set-ups a second, from the whole fleet.
    pub per_s: f64,
    /// Local date and time of the (first) window's start, `2026-03-29T02:30`.
    pub start: String,
    /// Length of a window, minutes that truly pass.
    pub minutes: u32,
    /// Time zone of `start` and `rrule`, `Europe/Copenhagen`; none: the settings'.
    #[serde(default)]
    pub zone: Option<String>,
    /// iCalendar rule by which it comes again, `FREQ=WEEKLY;BYDAY=MO,TH;COUNT=10`; none: once.
    #[serde(default)]
    pub rrule: Option<String>,
    /// Higher is kept longer.
    #[serde(default)]
    pub priority: u8,
    /// Only hold it, until it is confirmed or the hold expires.
    #[serde(default)]
    pub hold: bool,
    /// Its windows are kept on holidays.
    #[serde(default)]
    pub on_holidays: bool,
    /// How many set-ups each window's job is expected to have: its result is gathered; none: it is not.
    #[serde(default)]
    pub set_ups: Option<u32>,
}

/// No text of a request is longer, bytes.
const TEXT_MOST: usize = 64;
/// Nor a rule, bytes.
const RULE_MOST: usize = 200;
/// No request asks for more, set-ups a second.
const PER_S_MOST: f64 = 1e6;

impl Request {
    /// Holds the fields against their own ranges, whatever the settings say.
    ///
    /// # Errors
    /// It says which field is wrong and what is wanted.
    pub fn check(&self) -> Result<(), String> {
        let texts = [("id", &self.id), ("team", &self.team), ("class", &self.class), ("start", &self.start)];
        let optional = [("site", &self.site), ("number_prefix", &self.number_prefix), ("zone", &self.zone)];
        let given = optional.iter().filter_map(|(key, text)| text.as_ref().map(|text| (*key, text)));
        for (key, text) in texts.into_iter().chain(given) {
            if text.is_empty() || text.len() > TEXT_MOST || text.chars().any(char::is_control) {
                return Err(format!("{key}: 1 to {TEXT_MOST} printing characters are wanted"));
            }
        }
        if self.number_prefix.as_ref().is_some_and(|p| !p.bytes().all(|b| b.is_ascii_digit())) {
            return Err("number_prefix: digits are wanted".into());
        }
        if self.rrule.as_ref().is_some_and(|r| r.len() > RULE_MOST || r.chars().any(char::is_control)) {
            return Err(format!("rrule: one line of at most {RULE_MOST} characters is wanted"));
        }
        if !(self.per_s > 0.0 && self.per_s <= PER_S_MOST) {
            return Err(format!("per_s: a rate above 0 and up to {PER_S_MOST} is wanted"));
        }
        if self.minutes == 0 {
            return Err("minutes: 1 or more is wanted".into());
        }
        if self.set_ups == Some(0) {
            return Err("set_ups: 1 or more is wanted".into());
        }
        Ok(())
    }
}

/// A time for which capacity is, or could be, booked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Start and end, Unix clock, ms; the end is not part of it.
    pub start_unix_ms: u64,
    pub end_unix_ms: u64,
    /// The start as the request's zone writes it, with its offset.
    pub start: String,
}

/// A window of the rule that was left out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeftOut {
    pub window: Window,
    /// `holiday`, or what the freeze says.
    pub why: String,
}

/// What a request comes to. `booking` is the number of its budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// A promise: kept before every later one.
    Booked(Promise),
    /// Kept until then; confirmed, it is a promise.
    Held { promise: Promise, expires_unix_ms: u64 },
    /// It is over, now or before.
    Cancelled { booking: u16 },
    /// It is not booked. `nearest` are the windows nearest to the one asked for that do fit.
    Refused { reason: Reason, text: String, nearest: Vec<Window> },
}

/// What was promised.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Promise {
    /// The number of its budget.
    pub booking: u16,
    /// How many windows it has, and the first of them.
    pub occurrences: u32,
    pub windows: Vec<Window>,
    /// End of the last one, Unix clock, ms.
    pub last_end_unix_ms: u64,
    /// Windows of the rule on holidays and in freezes, the first of them.
    pub left_out: Vec<LeftOut>,
}

/// Why something is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// A field can't be read or is out of its range.
    Malformed,
    /// The team, the site or the booking is not known.
    Unknown,
    /// The id was used for another request, or for one that is over.
    IdTaken,
    /// The capacity that may be booked is taken or kept for live traffic.
    Capacity,
    /// The team would have too much at once.
    TeamRate,
    /// The team would have too much in a week.
    TeamWeek,
    /// It starts too soon.
    Notice,
    /// A window is too long.
    TooLong,
    /// It lies too far ahead.
    TooFar,
    /// There are too many windows, or none.
    Occurrences,
    /// Its own windows overlap.
    Overlap,
    /// It lies on a holiday.
    Holiday,
    /// It lies in a freeze.
    Freeze,
    /// The team may not ask for that priority.
    Priority,
    /// There are too many bookings.
    Full,
    /// The hold has expired.
    Expired,
    /// No grantor answered: ask again with the same id.
    NoGrantor,
}

impl Answer {
    pub(super) fn refused(reason: Reason, text: impl Into<String>) -> Answer {
        Answer::Refused { reason, text: text.into(), nearest: Vec::new() }
    }
}

/// How far a booking has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Asked,
    Held,
    Booked,
    Running,
    Finished,
    Cancelled,
    Preempted,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            State::Asked => "asked",
            State::Held => "held",
            State::Booked => "booked",
            State::Running => "running",
            State::Finished => "finished",
            State::Cancelled => "cancelled",
            State::Preempted => "preempted",
        };
        f.write_str(name)
    }
}

/// A booking in a listing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// The number of its budget; none while it is only asked for.
    pub booking: Option<u16>,
    pub request: Request,
    pub state: State,
    /// Its running or next window.
    pub next: Option<Window>,
    /// Windows not over yet.
    pub left: u32,
    /// Windows that another's booking took.
    pub preempted: Vec<Window>,
    /// What it has now, set-ups a second; 0 unless it runs.
    pub granted_per_s: f64,
    /// Why that is less than booked.
    pub cut: Option<String>,
}

/// All bookings as this instance knows them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Whether this instance decides about bookings now.
    pub grantor: bool,
    /// Entries of the log that are committed here.
    pub committed: u64,
    pub bookings: Vec<Listed>,
}
