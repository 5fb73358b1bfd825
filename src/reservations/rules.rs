//! Whether a request may be booked: quotas, notice and capacity, and the nearest windows where there is none.

use super::book::{Book, Booking, Minute, Placed, Span, hour_of};
use super::calendar::{self, Unrolled, Wrong};
use super::index::milli;
use super::request::{Answer, Promise, Reason, Request, Window};
use super::settings::{Settings, Team};
use crate::terms::BudgetId;
use std::collections::HashMap;

/// An answer names so many windows of a promise, and so many left out.
const NAMED: usize = 10;
/// Other starts are tried in steps of so many minutes,
const STEP: u32 = 15;
/// so many to each side, before what is booked is leapt over.
const STEPS: u32 = 96;
/// So many leaps at most.
const LEAPS: u32 = 2000;

/// Decides about a request that was not seen before.
///
/// # Errors
/// The refusal.
pub fn decide(
    book: &Book,
    settings: &Settings,
    now: Minute,
    unix_ms: u64,
    request: &Request,
    of_file: bool,
) -> Result<(Placed, Answer), Answer> {
    let refuse = |(reason, text): Wrong| Answer::refused(reason, text);
    request.check().map_err(|e| Answer::refused(Reason::Malformed, e))?;
    let team = team(settings, request).map_err(refuse)?;
    let slot = book.free_slot().ok_or_else(|| Answer::refused(Reason::Full, "there is no number left"))?;
    let tz = calendar::zone(request, settings).map_err(refuse)?;
    if request.minutes > settings.longest_min {
        let text = format!("minutes: no window is longer than {}", settings.longest_min);
        return Err(Answer::refused(Reason::TooLong, text));
    }
    let mut unrolled = match calendar::unroll(request, settings, now) {
        Ok(unrolled) => unrolled,
        Err((reason @ (Reason::Holiday | Reason::Freeze), text)) if request.rrule.is_none() => {
            let asked = calendar::start(request, settings).map_err(refuse)?;
            let span = Span { start: asked, end: asked.saturating_add(request.minutes) };
            let nearest = nearest(book, settings, now, request, team, span);
            return Err(Answer::Refused { reason, text, nearest });
        }
        Err(wrong) => return Err(refuse(wrong)),
    };
    let earliest = if of_file { now } else { now.saturating_add(settings.notice_min) };
    if of_file {
        // A rule in a file began long ago; what is left of it counts.
        unrolled.spans.retain(|s| s.end > now);
    }
    let Some(&first) = unrolled.spans.first() else {
        return Err(Answer::refused(Reason::Occurrences, "all its windows are over"));
    };
    let refuse_at = |reason, text, span| {
        let nearest = nearest(book, settings, now, request, team, span);
        Err(Answer::Refused { reason, text, nearest })
    };
    if !of_file && first.start < earliest {
        let text = format!("start: {} minutes of notice are wanted", settings.notice_min);
        return refuse_at(Reason::Notice, text, first);
    }
    if let Some((span, text)) = over_quota(book, settings, request, team, &unrolled) {
        return refuse_at(Reason::TeamRate, text, span);
    }
    if let Some(text) = over_week(book, settings, request, team, &unrolled.spans) {
        return Err(Answer::refused(Reason::TeamWeek, text));
    }
    let (mut takes, mut tried) = (Vec::new(), None);
    for &span in &unrolled.spans {
        if let Err(text) = has_room(tried.as_ref().unwrap_or(book), settings, request, span) {
            let tried = tried.get_or_insert_with(|| book.clone());
            match taken(tried, settings, now, request, span) {
                Some(more) => takes.extend(more),
                None => return refuse_at(Reason::Capacity, text, span),
            }
        }
    }
    // A hold ends where its first window would begin.
    let expires = (unix_ms + u64::from(settings.hold_min) * 60_000).min(u64::from(first.start) * 60_000);
    let held_until = if request.hold { expires } else { 0 };
    let promise = Promise {
        booking: BudgetId::BOOKED + slot,
        occurrences: unrolled.spans.len() as u32,
        windows: unrolled.spans.iter().take(NAMED).map(|&s| calendar::window(tz, s)).collect(),
        last_end_unix_ms: unrolled.spans.last().map_or(0, |s| u64::from(s.end) * 60_000),
        left_out: unrolled.left_out.into_iter().take(NAMED).collect(),
    };
    let placed = Placed { slot, request: request.clone(), spans: unrolled.spans, held_until, of_file, takes };
    Ok((placed, answer(promise, held_until)))
}

fn answer(promise: Promise, held_until: u64) -> Answer {
    match held_until {
        0 => Answer::Booked(promise),
        expires_unix_ms => Answer::Held { promise, expires_unix_ms },
    }
}

/// The answer that a booking got, for its request sent again. Windows on holidays are not told again.
#[must_use]
pub fn again(settings: &Settings, slot: u16, booking: &Booking) -> Answer {
    let tz = calendar::zone(&booking.request, settings).unwrap_or(settings.tz());
    let promise = Promise {
        booking: BudgetId::BOOKED + slot,
        occurrences: booking.spans.len() as u32,
        windows: booking.spans.iter().take(NAMED).map(|&s| calendar::window(tz, s)).collect(),
        last_end_unix_ms: booking.spans.last().map_or(0, |s| u64::from(s.end) * 60_000),
        left_out: Vec::new(),
    };
    answer(promise, booking.held_until)
}

fn team<'a>(settings: &'a Settings, request: &Request) -> Result<&'a Team, Wrong> {
    let team = settings.team(&request.team);
    let team = team.ok_or_else(|| (Reason::Unknown, format!("team: {} is not known", request.team)))?;
    if let Some(site) = &request.site
        && !settings.sites.iter().any(|s| &s.name == site)
    {
        return Err((Reason::Unknown, format!("site: {site} is not known")));
    }
    if request.priority > team.priority_most {
        return Err((Reason::Priority, format!("priority: {} at most for this team", team.priority_most)));
    }
    Ok(team)
}

fn over_quota(
    book: &Book,
    settings: &Settings,
    request: &Request,
    team: &Team,
    unrolled: &Unrolled,
) -> Option<(Span, String)> {
    let over = |span: &&Span| book.team(&team.name).most(**span) + milli(request.per_s) > milli(team.per_s);
    let tz = calendar::zone(request, settings).unwrap_or(settings.tz());
    unrolled.spans.iter().find(over).map(|&span| {
        let window = calendar::window(tz, span);
        (span, format!("per_s: the team would have more than {} at {}", team.per_s, window.start))
    })
}

fn over_week(
    book: &Book,
    settings: &Settings,
    request: &Request,
    team: &Team,
    spans: &[Span],
) -> Option<String> {
    let tz = settings.tz();
    let set_ups = |per_s: f64, span: Span| per_s * 60.0 * f64::from(span.end.saturating_sub(span.start));
    let mut weeks: HashMap<i64, f64> = HashMap::new();
    for &span in spans {
        *weeks.entry(calendar::week(tz, span.start)).or_default() += set_ups(request.per_s, span);
    }
    for booking in book.bookings().values().filter(|b| b.request.team == team.name) {
        for &span in &booking.spans {
            if let Some(sum) = weeks.get_mut(&calendar::week(tz, span.start)) {
                *sum += set_ups(booking.request.per_s, span);
            }
        }
    }
    let most = weeks.values().copied().fold(0.0, f64::max);
    (most > team.week_set_ups)
        .then(|| format!("the team would have {most:.0} set-ups in a week, of {}", team.week_set_ups))
}

/// What may be booked at a site in an hour of the week, set-ups a second: the site's share, less where live traffic
/// needed so much in the worst of the last weeks that with its margin it would not find room.
fn bookable(book: &Book, settings: &Settings, site: &str, hour: usize) -> f64 {
    let Some(capacity) = settings.sites.iter().find(|s| s.name == site) else { return 0.0 };
    let live = book.live(site, hour) * (1.0 + settings.live_margin);
    (capacity.per_s * capacity.share).min(capacity.per_s - live).max(0.0)
}

/// Whether what is asked for finds room all over the window.
fn has_room(book: &Book, settings: &Settings, request: &Request, span: Span) -> Result<(), String> {
    let asked = milli(request.per_s);
    let mut from = span.start;
    while from < span.end {
        let part = Span { start: from, end: span.end.min((from / 60 + 1) * 60) };
        let hour = hour_of(from);
        let of = |site: &str| bookable(book, settings, site, hour);
        if let Some(site) = &request.site {
            check(book.site(site).most(part), asked, of(site), site)?;
        }
        let all = settings.sites.iter().map(|s| of(&s.name)).sum();
        check(book.whole().most(part), asked, all, "all sites")?;
        from = part.end;
    }
    Ok(())
}

fn check(booked: i64, asked: i64, bookable: f64, of: &str) -> Result<(), String> {
    let room = (bookable * 1000.0).floor() as i64;
    if booked + asked <= room {
        return Ok(());
    }
    let left = (room - booked).max(0) as f64 / 1000.0;
    Err(format!("{of}: of {bookable:.1} set-ups a second that may be booked then, {left:.1} are left"))
}

/// Takes windows of others from the book by the operator's rule: of the lowest priority first, then of the latest
/// promise, no more than needed; none if not even all of them would do. They come back as slot and start.
fn taken(
    book: &mut Book,
    settings: &Settings,
    now: Minute,
    request: &Request,
    span: Span,
) -> Option<Vec<(u16, Minute)>> {
    let rule = settings.preempt.as_ref().filter(|r| request.priority >= r.from_priority)?;
    let mut others = Vec::new();
    for (&slot, booking) in book.bookings() {
        let theirs = &booking.request;
        let lower = theirs.priority.checked_add(rule.margin).is_some_and(|least| request.priority >= least);
        // One at another site gives nothing back here.
        let helps = request.site.is_none() || theirs.site.is_none() || request.site == theirs.site;
        if lower && helps && !booking.of_file {
            let may = |s: &&Span| s.meets(span) && s.start >= now.saturating_add(rule.notice_min);
            let met = booking.spans.iter().filter(may);
            others.extend(met.map(|s| (theirs.priority, std::cmp::Reverse(booking.order), slot, s.start)));
        }
    }
    others.sort_unstable();
    let mut takes = Vec::new();
    for (_, _, slot, start) in others {
        if has_room(book, settings, request, span).is_ok() {
            break;
        }
        book.take(slot, start);
        takes.push((slot, start));
    }
    has_room(book, settings, request, span).ok().map(|()| takes)
}

/// The windows nearest to the one asked for in which a single one would be booked.
fn nearest(
    book: &Book,
    settings: &Settings,
    now: Minute,
    request: &Request,
    team: &Team,
    asked: Span,
) -> Vec<Window> {
    let tz = calendar::zone(request, settings).unwrap_or(settings.tz());
    let earliest = now.saturating_add(settings.notice_min);
    let horizon = now.saturating_add(settings.horizon_days * 24 * 60);
    let minutes = request.minutes;
    let fits = |start: Minute| {
        let span = Span { start, end: start.saturating_add(minutes) };
        let will = start >= earliest
            && start <= horizon
            && calendar::shut(settings, span, request.on_holidays).is_none()
            && book.team(&team.name).most(span) + milli(request.per_s) <= milli(team.per_s)
            && has_room(book, settings, request, span).is_ok()
            && over_week(book, settings, request, team, &[span]).is_none();
        will.then_some(span)
    };
    let mut found: Vec<Span> = Vec::new();
    let around = (1..=STEPS).flat_map(|i| {
        let (later, sooner) = (asked.start.saturating_add(i * STEP), asked.start.saturating_sub(i * STEP));
        [later, sooner]
    });
    for start in around {
        if found.len() >= settings.nearest {
            break;
        }
        found.extend(fits(start));
    }
    // Nothing within a day: leap over what is full.
    let mut at = asked.start.saturating_add(STEPS * STEP).max(earliest);
    for _ in 0..LEAPS {
        if found.len() >= settings.nearest || at > horizon {
            break;
        }
        let room = milli(team.per_s) - milli(request.per_s);
        let Some(start) = book.team(&team.name).fits(at, minutes, room) else { break };
        match fits(start) {
            Some(span) => {
                found.push(span);
                at = span.end;
            }
            None => at = (start / 60 + 1) * 60,
        }
    }
    found.truncate(settings.nearest);
    found.into_iter().map(|span| calendar::window(tz, span)).collect()
}
