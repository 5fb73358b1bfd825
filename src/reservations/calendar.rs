//! From a request's local times to instants. A rule is unrolled on the wall clock and each of its times is then put on
//! the time line: one that the change to summer time leaps over is meant with the offset before it (02:30 is then
//! 03:30), one that comes twice is meant the first time. Lengths are minutes that truly pass.

use super::book::{Minute, Span};
use super::request::{LeftOut, Reason, Request, Window};
use super::settings::Settings;
use chrono::{
    DateTime, Days, MappedLocalTime, NaiveDate, NaiveDateTime, NaiveTime, Offset, TimeDelta, TimeZone,
};
use chrono_tz::Tz;
use rrule::{RRule, RRuleSet, Unvalidated};

/// Why a request's times can't be used.
pub type Wrong = (Reason, String);

/// Reads `2026-03-29T02:30`.
fn local(text: &str) -> Result<NaiveDateTime, Wrong> {
    NaiveDateTime::parse_from_str(text, "%Y-%m-%dT%H:%M").map_err(|_| {
        (Reason::Malformed, format!("start: {text}: a local time such as 2026-03-29T02:30 is wanted"))
    })
}

/// A request's zone, or the settings'.
pub fn zone(request: &Request, settings: &Settings) -> Result<Tz, Wrong> {
    let Some(name) = &request.zone else { return Ok(settings.tz()) };
    name.parse().map_err(|_| (Reason::Malformed, format!("zone: {name} is no time zone")))
}

/// The minute at which a request's first window would start.
pub fn start(request: &Request, settings: &Settings) -> Result<Minute, Wrong> {
    let first = local(&request.start)?;
    minute(zone(request, settings)?, first)
        .ok_or_else(|| (Reason::Malformed, format!("start: {first} is out of range")))
}

/// The instant that a wall clock's time is, Unix seconds.
fn instant(tz: Tz, wall: NaiveDateTime) -> i64 {
    match tz.from_local_datetime(&wall) {
        MappedLocalTime::Single(at) | MappedLocalTime::Ambiguous(at, _) => at.timestamp(),
        MappedLocalTime::None => {
            // A zone leaps over a day at most.
            let before = (1..=2).filter_map(|days| wall.checked_sub_days(Days::new(days)));
            let offset = before.filter_map(|b| tz.from_local_datetime(&b).latest()).next();
            let seconds = offset.map_or(0, |at| at.offset().fix().local_minus_utc());
            wall.and_utc().timestamp() - i64::from(seconds)
        }
    }
}

fn minute(tz: Tz, wall: NaiveDateTime) -> Option<Minute> {
    Minute::try_from(instant(tz, wall).div_euclid(60)).ok()
}

/// The wall clock's time of a minute.
fn wall(tz: Tz, at: Minute) -> DateTime<Tz> {
    DateTime::from_timestamp(i64::from(at) * 60, 0).unwrap_or_default().with_timezone(&tz)
}

/// A span as teams read it.
pub fn window(tz: Tz, span: Span) -> Window {
    Window {
        start_unix_ms: u64::from(span.start) * 60_000,
        end_unix_ms: u64::from(span.end) * 60_000,
        start: wall(tz, span.start).format("%Y-%m-%dT%H:%M%:z").to_string(),
    }
}

/// The week (Monday to Sunday) in which a minute lies, by the Monday's day number.
pub fn week(tz: Tz, at: Minute) -> i64 {
    let days = wall(tz, at).date_naive().signed_duration_since(NaiveDate::default()).num_days();
    // 1970 began on a Thursday.
    (days + 3).div_euclid(7)
}

/// Why nothing may be booked then: a holiday or a freeze of the operator's.
pub fn shut(settings: &Settings, span: Span, on_holidays: bool) -> Option<(Reason, String)> {
    let tz = settings.tz();
    for freeze in &settings.freezes {
        let (from, to) = (minute(tz, freeze.from), minute(tz, freeze.to));
        if from.is_some_and(|from| from < span.end) && to.is_none_or(|to| span.start < to) {
            let why = if freeze.why.is_empty() { "freeze" } else { &freeze.why };
            return Some((Reason::Freeze, why.to_owned()));
        }
    }
    let last = wall(tz, span.end.saturating_sub(1)).date_naive();
    let mut day = wall(tz, span.start).date_naive();
    while !on_holidays && day <= last {
        if settings.holidays.contains(&day) {
            return Some((Reason::Holiday, format!("holiday {day}")));
        }
        day = day.succ_opt()?;
    }
    None
}

/// What a request comes to on the time line.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Unrolled {
    /// Its windows, in their order; none overlap.
    pub spans: Vec<Span>,
    /// Those that fall on holidays and in freezes.
    pub left_out: Vec<LeftOut>,
}

/// The windows of a request up to the horizon, `now` being this minute.
pub fn unroll(request: &Request, settings: &Settings, now: Minute) -> Result<Unrolled, Wrong> {
    let tz = zone(request, settings)?;
    let first = local(&request.start)?;
    let horizon = now.saturating_add(settings.horizon_days * 24 * 60);
    let walls = match &request.rrule {
        None => vec![first],
        Some(rule) => recur(rule, first, tz, horizon, settings.occurrences_most)?,
    };
    let mut spans: Vec<Span> = Vec::with_capacity(walls.len());
    for (i, &at) in walls.iter().enumerate() {
        let start = minute(tz, at).ok_or((Reason::Malformed, format!("start: {at} is out of range")))?;
        let span = Span { start, end: start.saturating_add(request.minutes) };
        if let Some(last) = spans.last_mut().filter(|last| span.start < last.end) {
            // Two times an hour apart on the wall clock can be one after a leap, and whole days overlap.
            if at.signed_duration_since(walls[i - 1]) < TimeDelta::minutes(i64::from(request.minutes)) {
                return Err((Reason::Overlap, format!("its windows at {} and {at} overlap", walls[i - 1])));
            }
            if last.start >= span.start {
                continue;
            }
            last.end = span.start;
        }
        spans.push(span);
    }
    if spans.is_empty() {
        return Err((Reason::Occurrences, "rrule: it has no window before the horizon".into()));
    }
    if spans.iter().any(|s| s.start > horizon) {
        return Err((Reason::TooFar, format!("start: more than {} days ahead", settings.horizon_days)));
    }
    let mut unrolled = Unrolled::default();
    for span in spans {
        match shut(settings, span, request.on_holidays) {
            None => unrolled.spans.push(span),
            Some(_) if request.rrule.is_some() && span.end <= now => {}
            Some((reason, why)) if request.rrule.is_none() => return Err((reason, why)),
            Some((_, why)) => unrolled.left_out.push(LeftOut { window: window(tz, span), why }),
        }
    }
    if unrolled.spans.is_empty() {
        return Err((Reason::Holiday, "all its windows lie on holidays or in freezes".into()));
    }
    Ok(unrolled)
}

/// The wall clock's times of a rule that begins with `first`, up to the horizon.
fn recur(
    rule: &str,
    first: NaiveDateTime,
    tz: Tz,
    horizon: Minute,
    most: u32,
) -> Result<Vec<NaiveDateTime>, Wrong> {
    let wrong = |e: String| (Reason::Malformed, format!("rrule: {e}"));
    let mut parts = Vec::new();
    for part in rule.trim_start_matches("RRULE:").split(';') {
        let (key, value) =
            part.split_once('=').ok_or_else(|| wrong(format!("{part}: KEY=VALUE is wanted")))?;
        match (key.to_ascii_uppercase().as_str(), value.to_ascii_uppercase().as_str()) {
            ("FREQ", "SECONDLY" | "MINUTELY") => return Err(wrong(format!("{value} is too often"))),
            ("UNTIL", until) => parts.push(format!("UNTIL={}", until_wall(until, tz).map_err(wrong)?)),
            (key, value) => parts.push(format!("{key}={value}")),
        }
    }
    // Unrolled as if the wall clock were UTC's: no time is missing there, and none comes twice.
    let start = first.and_utc().with_timezone(&rrule::Tz::UTC);
    let rule: RRule<Unvalidated> =
        parts.join(";").parse().map_err(|e: rrule::RRuleError| wrong(e.to_string()))?;
    let rule = rule.validate(start).map_err(|e| wrong(e.to_string()))?;
    let end = wall(tz, horizon).naive_local().and_utc().with_timezone(&rrule::Tz::UTC);
    let found = RRuleSet::new(start).rrule(rule).before(end).all(u16::try_from(most + 1).unwrap_or(u16::MAX));
    if found.dates.len() > most as usize {
        return Err((Reason::Occurrences, format!("rrule: it has more than {most} windows")));
    }
    Ok(found.dates.iter().map(DateTime::naive_utc).collect())
}

/// The end of a rule, told in UTC, by the wall clock or as a date, as the wall clock's in the form that stands for it.
fn until_wall(until: &str, tz: Tz) -> Result<String, String> {
    let bad = || format!("UNTIL: {until}: 20261231, 20261231T235900 or 20261231T225900Z is wanted");
    let wall_time = match until.strip_suffix('Z') {
        Some(utc) => {
            let utc = NaiveDateTime::parse_from_str(utc, "%Y%m%dT%H%M%S").map_err(|_| bad())?;
            utc.and_utc().with_timezone(&tz).naive_local()
        }
        None if until.contains('T') => {
            NaiveDateTime::parse_from_str(until, "%Y%m%dT%H%M%S").map_err(|_| bad())?
        }
        None => {
            let date = NaiveDate::parse_from_str(until, "%Y%m%d").map_err(|_| bad())?;
            date.and_time(NaiveTime::from_hms_opt(23, 59, 59).unwrap_or_default())
        }
    };
    Ok(format!("{}Z", wall_time.format("%Y%m%dT%H%M%S")))
}
