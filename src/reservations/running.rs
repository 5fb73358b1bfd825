//! What running bookings have now: less where the job does not come, and less where sites are lost or can take less.

use super::book::{Book, Minute, Op, Span};
use super::settings::{NoShow, Settings};
use crate::terms::{Budget, BudgetId, Spending};
use std::collections::BTreeMap;

/// What is known of a site now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Site {
    /// What it can take, set-ups a second, if that was told.
    pub capacity: Option<f64>,
    pub lost: bool,
    /// Dear live traffic there, set-ups a second.
    pub dear: f64,
}

/// A booking in one of its windows.
#[derive(Clone, Debug)]
struct Run {
    span: Span,
    /// Place in the settings' steps of what it keeps, and what that is to be once it is committed.
    step: usize,
    wanted: Option<usize>,
    /// Since when it has used little, or enough for a step up, ms.
    low_since: Option<f64>,
    high_since: Option<f64>,
    granted: f64,
    cut: Option<String>,
    /// Its job is over: the rest of the window is everybody's.
    finished: bool,
}

/// A running window of a booking that says how many set-ups its job is expected to have.
#[derive(Clone, Debug, PartialEq)]
pub struct JobWindow {
    pub booking: BudgetId,
    /// The same at every instance, and no other window's.
    pub occurrence: u64,
    /// `team/id`.
    pub name: String,
    pub class: String,
    pub site: Option<String>,
    pub number_prefix: Option<String>,
    pub expected: u32,
    /// Until its end, ms.
    pub left_ms: f64,
    /// Its job is over, as was told here.
    pub finished: bool,
}

/// A team is to hear this about its booking.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    pub slot: u16,
    pub text: String,
}

/// See the module.
#[derive(Debug, Default)]
pub struct Running {
    runs: BTreeMap<u16, Run>,
}

impl Running {
    /// What a booking has now, and why that is less than booked.
    #[must_use]
    pub fn granted(&self, slot: u16) -> (f64, Option<String>) {
        self.runs.get(&slot).map_or((0.0, None), |r| (r.granted, r.cut.clone()))
    }

    /// Those that run, with all that they were promised.
    #[must_use]
    pub fn booked(&self, book: &Book, settings: &Settings) -> Vec<Budget> {
        let all = |(slot, _): (&u16, &Run)| {
            let per_s = book.bookings().get(slot)?.request.per_s;
            budget(book, settings, *slot, per_s)
        };
        self.runs.iter().filter_map(all).collect()
    }

    /// What is wanted may not come to be committed: this instance decides no more, or only begins to.
    pub fn forget_wanted(&mut self) {
        self.runs.values_mut().for_each(|run| run.wanted = None);
    }

    /// The fleet was asked for so many set-ups a second of a booking. One that is never told of keeps all. What is to be
    /// committed, if it is to keep another step.
    pub fn used(
        &mut self,
        book: &Book,
        rule: &NoShow,
        slot: u16,
        per_s: f64,
        now: f64,
        news: &mut Vec<News>,
    ) -> Option<Op> {
        let run = self.runs.get_mut(&slot).filter(|run| !run.finished)?;
        let booking = book.bookings().get(&slot)?;
        if run.wanted.is_some() {
            return None;
        }
        let booked = booking.request.per_s;
        let full = rule.steps.len() - 1;
        if per_s < rule.used_share * booked {
            let since = *run.low_since.get_or_insert(now);
            if now - since >= rule.grace_s * 1000.0 && run.step > 0 {
                run.wanted = Some(0);
                let kept = rule.steps[0] * booked;
                let text = format!("used {per_s:.1} of {booked} set-ups a second: {kept:.1} are kept");
                news.push(News { slot, text });
            }
        } else {
            run.low_since = None;
        }
        let enough = per_s >= (0.5 * rule.steps[run.step.min(full)]).max(rule.used_share) * booked;
        if run.step >= full || !enough {
            run.high_since = None;
        } else if now - *run.high_since.get_or_insert(now) >= rule.step_s * 1000.0 {
            (run.wanted, run.high_since) = (Some(run.step + 1), Some(now));
            let back = rule.steps[run.step + 1] * booked;
            news.push(News { slot, text: format!("the job came: it has {back:.1} set-ups a second") });
        }
        let step = u8::try_from(run.wanted?).ok()?;
        Some(Op::Keeps { slot, start: run.span.start, step })
    }

    /// The job of the present window is over.
    pub fn finished(&mut self, slot: u16) {
        if let Some(run) = self.runs.get_mut(&slot) {
            run.finished = true;
            (run.granted, run.cut) = (0.0, Some("its job is over".to_owned()));
        }
    }

    /// The windows of gathered jobs that run now, `unix_ms`; also those whose job is over.
    #[must_use]
    pub fn windows(&self, book: &Book, unix_ms: u64) -> Vec<JobWindow> {
        let window = |(slot, run): (&u16, &Run)| {
            let request = &book.bookings().get(slot)?.request;
            Some(JobWindow {
                booking: BudgetId(BudgetId::BOOKED.checked_add(*slot)?),
                occurrence: u64::from(*slot) << 32 | u64::from(run.span.start),
                name: format!("{}/{}", request.team, request.id),
                class: request.class.clone(),
                site: request.site.clone(),
                number_prefix: request.number_prefix.clone(),
                expected: request.set_ups?,
                left_ms: (u64::from(run.span.end) * 60_000).saturating_sub(unix_ms) as f64,
                finished: run.finished,
            })
        };
        self.runs.iter().filter_map(window).collect()
    }

    /// The budgets of the bookings that run at `at`.
    pub fn budgets(
        &mut self,
        book: &Book,
        settings: &Settings,
        sites: &BTreeMap<String, Site>,
        at: Minute,
        news: &mut Vec<News>,
    ) -> Vec<Budget> {
        let full = settings.no_show.steps.len() - 1;
        let mut order = Vec::new();
        for (&slot, booking) in book.bookings() {
            let Some(span) = booking.running(at).filter(|_| booking.held_until == 0) else {
                self.runs.remove(&slot);
                continue;
            };
            let new = Run {
                span,
                step: full,
                wanted: None,
                low_since: None,
                high_since: None,
                granted: 0.0,
                cut: None,
                finished: false,
            };
            let run = self.runs.entry(slot).or_insert_with(|| new.clone());
            if run.span.start != span.start {
                *run = new;
            }
            let keeps = booking.keeps.filter(|(start, _)| *start == span.start);
            run.step = keeps.map_or(full, |(_, step)| usize::from(step).min(full));
            run.wanted = run.wanted.filter(|&wanted| wanted != run.step);
            if run.finished {
                continue;
            }
            // Highest priority first; of two with the same, the earlier promise.
            order.push((std::cmp::Reverse(booking.request.priority), booking.order, slot));
        }
        self.runs.retain(|slot, _| book.bookings().contains_key(slot));
        order.sort_unstable();
        let mut room = Room::new(settings, sites);
        for (.., slot) in order {
            let (Some(run), Some(booking)) = (self.runs.get_mut(&slot), book.bookings().get(&slot)) else {
                continue;
            };
            let kept = settings.no_show.steps[run.step.min(full)] * booking.request.per_s;
            let (granted, cut) = room.grant(booking.request.site.as_deref(), kept);
            if cut.is_some() != run.cut.is_some() {
                let text = match &cut {
                    Some(why) => format!("{why}: {granted:.1} of {kept:.1} set-ups a second are kept"),
                    None => format!("it has {granted:.1} set-ups a second again"),
                };
                news.push(News { slot, text });
            }
            (run.granted, run.cut) = (granted, cut);
        }
        let running = self.runs.iter().filter(|(_, run)| !run.finished);
        running.filter_map(|(slot, run)| budget(book, settings, *slot, run.granted)).collect()
    }
}

fn budget(book: &Book, settings: &Settings, slot: u16, per_s: f64) -> Option<Budget> {
    let request = &book.bookings().get(&slot)?.request;
    Some(Budget {
        id: BudgetId(BudgetId::BOOKED.checked_add(slot)?),
        name: format!("{}/{}", request.team, request.id),
        spending: Spending::SetUps,
        server: None,
        site: request.site.clone(),
        class: Some(request.class.clone()),
        number_prefix: request.number_prefix.clone(),
        per_s,
        burst: per_s * settings.burst_s,
        floor: settings.floor,
    })
}

/// Room for bookings where sites are lost or can take less than they are set to; elsewhere it has no bound, as what
/// was promised was fitted to the settings' capacity.
struct Room {
    sites: BTreeMap<String, f64>,
    /// Room of all sites, if any of them is short.
    whole: f64,
}

impl Room {
    fn new(settings: &Settings, now: &BTreeMap<String, Site>) -> Room {
        let (mut sites, mut whole, mut short) = (BTreeMap::new(), 0.0, false);
        for site in &settings.sites {
            let told = now.get(&site.name).copied().unwrap_or_default();
            let capacity = if told.lost { 0.0 } else { told.capacity.unwrap_or(site.per_s).min(site.per_s) };
            // Dear live traffic goes first; that of a lost site lands on the others.
            whole += capacity - told.dear;
            if capacity < site.per_s {
                short = true;
                sites.insert(site.name.clone(), (capacity - told.dear).max(0.0));
            }
        }
        Room { sites, whole: if short { whole.max(0.0) } else { f64::INFINITY } }
    }

    /// As much of what is wanted as there is room for, and why it is less.
    fn grant(&mut self, site: Option<&str>, wanted: f64) -> (f64, Option<String>) {
        let at_site = site.and_then(|site| self.sites.get_mut(site));
        let least = at_site.as_ref().map_or(f64::INFINITY, |room| **room).min(self.whole);
        let granted = wanted.min(least);
        if let Some(room) = at_site {
            *room -= granted;
        }
        self.whole -= granted;
        let cut = (granted < wanted).then(|| match site.filter(|s| self.sites.contains_key(*s)) {
            Some(site) => format!("site {site} can take less"),
            None => "the fleet can take less".to_owned(),
        });
        (granted, cut)
    }
}
