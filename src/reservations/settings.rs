//! The operator's settings for reservations: the part `reservations:` of `deploy/control.yaml`.

use super::request::Request;
use chrono::{NaiveDate, NaiveDateTime};
use serde::Deserialize;
use std::path::PathBuf;

/// What may be booked, by whom and when. Unknown keys are refused.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Name of the time zone in which times are meant that name none (`Europe/Copenhagen`).
    pub zone: String,
    /// What each site can take; a booking names one of them, or none for all together.
    pub sites: Vec<SiteCapacity>,
    /// Kept for live traffic beyond the worst of its recent hours, as a share of that.
    pub live_margin: f64,
    /// Who may book how much. A team that is not listed books nothing.
    pub teams: Vec<Team>,
    /// A window starts no sooner than so many minutes after it is asked for.
    pub notice_min: u32,
    /// No window is longer, minutes.
    pub longest_min: u32,
    /// Nothing is booked beyond so many days from now.
    pub horizon_days: u32,
    /// A booking has no more windows than this.
    pub occurrences_most: u32,
    /// A held booking that is not confirmed for so long is let go, minutes.
    pub hold_min: u32,
    /// What is over, cancelled or let go is remembered for so many days: its request sent again books nothing.
    pub remember_days: u32,
    /// When a job does not come.
    pub no_show: NoShow,
    /// Dates, in `zone`, on which no booking has a window unless it says so.
    pub holidays: Vec<NaiveDate>,
    /// When nothing may be booked at all.
    pub freezes: Vec<Freeze>,
    /// Whose booking may take another's place; absent: nobody's.
    pub preempt: Option<Preempt>,
    /// Share of a running booking (0 to 1) that is kept back as static parts for all members.
    pub floor: f64,
    /// Burst of a running booking, in seconds of its rate.
    pub burst_s: f64,
    /// A refusal names so many windows that do fit.
    pub nearest: usize,
    /// Where a leader finds too few keepers that remember, it waits so long for the rest, s.
    pub memory_wait_s: f64,
    /// Folder of the snapshot and log; absent: keepers remember nothing over a restart.
    pub folder: Option<PathBuf>,
    /// Bookings of the file. One that is gone from it when it is read again is cancelled.
    pub bookings: Vec<Request>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            zone: "UTC".into(),
            sites: Vec::new(),
            live_margin: 0.1,
            teams: Vec::new(),
            notice_min: 30,
            longest_min: 480,
            horizon_days: 366,
            occurrences_most: 1000,
            hold_min: 30,
            remember_days: 7,
            no_show: NoShow::default(),
            holidays: Vec::new(),
            freezes: Vec::new(),
            preempt: None,
            floor: 0.2,
            burst_s: 1.0,
            nearest: 3,
            memory_wait_s: 30.0,
            folder: None,
            bookings: Vec::new(),
        }
    }
}

/// What a site can take.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SiteCapacity {
    pub name: String,
    /// Set-ups a second, from the whole fleet.
    pub per_s: f64,
    /// Share of it (0 to 1) that may be booked.
    #[serde(default = "half")]
    pub share: f64,
}

fn half() -> f64 {
    0.5
}

/// What a team may book.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Team {
    pub name: String,
    /// Set-ups a second at any one time, over all its bookings.
    pub per_s: f64,
    /// Set-ups in a week (Monday to Sunday in `zone`), by the start of the window.
    pub week_set_ups: f64,
    /// The highest priority it may ask for.
    #[serde(default)]
    pub priority_most: u8,
}

/// When a job does not come, or leaves early.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct NoShow {
    /// It counts as not come once it has used less than `used_share` for so long, s.
    pub grace_s: f64,
    /// Share of the booked rate, 0 to 1.
    pub used_share: f64,
    /// Shares of the booked rate, rising to 1: what it keeps, and what it gets back step by step if it comes late.
    pub steps: Vec<f64>,
    /// It goes a step up after it has used half of what it has for so long, s.
    pub step_s: f64,
}

impl Default for NoShow {
    fn default() -> Self {
        NoShow { grace_s: 120.0, used_share: 0.1, steps: vec![0.1, 0.3, 0.6, 1.0], step_s: 30.0 }
    }
}

/// A time in which nothing may be booked.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Freeze {
    /// Local date-time in the settings' zone, `2026-12-20T00:00:00`.
    pub from: NaiveDateTime,
    /// Its end, not part of it.
    pub to: NaiveDateTime,
    #[serde(default)]
    pub why: String,
}

/// Whose booking may take another's place.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Preempt {
    /// Only one asked for with this priority or more.
    pub from_priority: u8,
    /// Only in place of those whose priority is lower by so much or more.
    #[serde(default = "one")]
    pub margin: u8,
    /// Only where the window taken starts no sooner than so many minutes from now.
    #[serde(default)]
    pub notice_min: u32,
}

fn one() -> u8 {
    1
}

impl Settings {
    /// Reads the text of the part by itself.
    ///
    /// # Errors
    /// It says what is wrong and where.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Settings = serde_yaml_ng::from_str(text).map_err(|e| e.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    /// Holds the figures against their ranges.
    ///
    /// # Errors
    /// It says which key is wrong and what is wanted.
    pub fn check(&self) -> Result<(), String> {
        self.zone.parse::<chrono_tz::Tz>().map_err(|_| format!("zone: {} is no time zone", self.zone))?;
        if self.sites.is_empty() || self.teams.is_empty() {
            return Err("sites, teams: one at least is wanted of each".into());
        }
        let twice = |names: Vec<&str>| {
            let again = names.iter().enumerate().find(|&(i, name)| names[..i].contains(name));
            again.map(|(_, name)| (*name).to_owned())
        };
        if let Some(name) = twice(self.sites.iter().map(|s| s.name.as_str()).collect()) {
            return Err(format!("sites: {name} is there twice"));
        }
        if let Some(name) = twice(self.teams.iter().map(|t| t.name.as_str()).collect()) {
            return Err(format!("teams: {name} is there twice"));
        }
        let rates = (self.sites.iter().map(|s| ("sites", &s.name, s.per_s)))
            .chain(self.teams.iter().map(|t| ("teams", &t.name, t.per_s)))
            .chain(self.teams.iter().map(|t| ("teams", &t.name, t.week_set_ups)));
        for (key, name, rate) in rates {
            if !rate.is_finite() || rate < 0.0 {
                return Err(format!("{key}: {name}: {rate}: a finite figure of 0 or more is wanted"));
            }
        }
        let no_show = &self.no_show;
        let shares = [("floor", self.floor), ("no_show.used_share", no_show.used_share)];
        let of_sites = self.sites.iter().map(|s| ("sites: share", s.share));
        let steps = no_show.steps.iter().map(|&s| ("no_show.steps", s));
        if let Some((key, value)) =
            shares.into_iter().chain(of_sites).chain(steps).find(|(_, v)| !(0.0..=1.0).contains(v))
        {
            return Err(format!("{key}: {value}: a share from 0 to 1 is wanted"));
        }
        if no_show.steps.last() != Some(&1.0) || no_show.steps.windows(2).any(|w| w[0] >= w[1]) {
            return Err("no_show.steps: shares that rise to 1 are wanted".into());
        }
        let times = [
            ("live_margin", self.live_margin),
            ("no_show.grace_s", no_show.grace_s),
            ("no_show.step_s", no_show.step_s),
            ("burst_s", self.burst_s),
            ("memory_wait_s", self.memory_wait_s),
        ];
        if let Some((key, value)) = times.iter().find(|(_, v)| !v.is_finite() || *v < 0.0) {
            return Err(format!("{key}: {value}: a finite figure of 0 or more is wanted"));
        }
        if !(1..=7 * 24 * 60).contains(&self.longest_min) {
            return Err("longest_min: 1 to 10080 minutes (a week) are wanted".into());
        }
        if !(1..=3660).contains(&self.horizon_days) || !(1..=10_000).contains(&self.occurrences_most) {
            return Err("horizon_days: 1 to 3660, occurrences_most: 1 to 10000 are wanted".into());
        }
        if let Some(freeze) = self.freezes.iter().find(|f| f.from >= f.to) {
            return Err(format!("freezes: {} does not come before {}", freeze.from, freeze.to));
        }
        for (i, booking) in self.bookings.iter().enumerate() {
            booking.check().map_err(|e| format!("bookings: {}: {e}", booking.id))?;
            if booking.hold {
                return Err(format!("bookings: {}: hold is for requests", booking.id));
            }
            if self.bookings[..i].iter().any(|b| (&b.team, &b.id) == (&booking.team, &booking.id)) {
                return Err(format!("bookings: {} is there twice", booking.id));
            }
        }
        Ok(())
    }

    /// The settings' zone; UTC if it was not checked.
    #[must_use]
    pub(super) fn tz(&self) -> chrono_tz::Tz {
        self.zone.parse().unwrap_or(chrono_tz::Tz::UTC)
    }

    /// A team by its name.
    #[must_use]
    pub(super) fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }
}
