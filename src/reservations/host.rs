//! One instance's reservations: what is asked here and by other instances, the log, what runs, and the clock.

use super::book::{Booking, Minute, Op, Placed};
use super::clock::Clock;
use super::message::{Body, Wish};
use super::pages::Pages;
use super::replica::{Did, Replica};
use super::request::{Answer, Listed, Listing, Reason, Request, State};
use super::running::{JobWindow, News, Running, Site};
use super::settings::Settings;
use super::{Input, Output, calendar, rules, store};
use crate::terms::{Budget, BudgetId, Member};
use std::collections::{BTreeMap, VecDeque};

/// Who asked here hears within this, ms.
const ANSWER_MS: f64 = 4000.0;
/// The next keeper is asked after this, ms.
const NEXT_MS: f64 = 300.0;
/// So many wishes wait for the grantor's decision; more are asked again by whoever asked.
const WAITING: usize = 256;
/// Ticks are wanted so often while something is under way, else so often, ms.
const BUSY_MS: f64 = 50.0;
const IDLE_MS: f64 = 250.0;
/// That time has passed is written down at least so often, minutes.
const PASSED_MIN: Minute = 60;

/// A peak is written down once it is so much above what is written for its hour, and so often at most, ms.
const PEAK_RISE: f64 = 1.05;
const PEAK_MS: f64 = 60_000.0;
/// A change of dear live traffic counts from this share of it, and of one set-up a second.
const DEAR_LEAST: f64 = 0.1;

/// Who asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asker {
    Other {
        member: Member,
        ticket: u64,
    },
    Here {
        ticket: u64,
    },
    /// The operator's file.
    File,
    /// Time, or live traffic.
    Nobody,
}

/// Asked here and not answered yet.
#[derive(Debug)]
struct Pending {
    ticket: u64,
    wish: Wish,
    since: f64,
    asked_at: f64,
    tries: usize,
}

/// Live traffic of a site in the present hour.
#[derive(Clone, Copy, Debug)]
struct Hour {
    /// Hours since 1970.
    hour: u32,
    peak: f64,
    /// When it was last written down, monotonic, ms.
    written_at: f64,
}

/// The reservations of one instance.
#[derive(Debug)]
pub struct Reservations {
    settings: Settings,
    me: Member,
    keepers: Vec<Member>,
    replica: Replica,
    pages: Pages,
    clock: Clock,
    running: Running,
    sites: BTreeMap<String, Site>,
    hours: BTreeMap<String, Hour>,
    /// Asked here, by a number that no earlier process used.
    pending: BTreeMap<u64, Pending>,
    next_number: u64,
    /// At the grantor: what waits for a decision, and whose entry waits for its majority.
    waiting: VecDeque<(Asker, Wish)>,
    under_way: Option<(Asker, Answer)>,
    led: bool,
    /// What the log is to take besides: hours of live traffic.
    ops: VecDeque<Op>,
    budgets: Vec<Budget>,
    /// The time of the last step, monotonic and Unix, ms.
    now: f64,
    unix_ms: u64,
}

impl Reservations {
    /// Nothing booked yet. `keepers` keep the log, `members` are all configured instances; both hold `me` where it
    /// is one.
    #[must_use]
    pub fn new(settings: Settings, me: Member, keepers: Vec<Member>, members: Vec<Member>) -> Self {
        let disk = settings.folder.is_some();
        Reservations {
            replica: Replica::new(me, keepers.clone(), members, disk),
            settings,
            me,
            keepers,
            pages: Pages::new(0),
            clock: Clock::default(),
            running: Running::default(),
            sites: BTreeMap::new(),
            hours: BTreeMap::new(),
            pending: BTreeMap::new(),
            next_number: 0,
            waiting: VecDeque::new(),
            under_way: None,
            led: false,
            ops: VecDeque::new(),
            budgets: Vec::new(),
            now: 0.0,
            unix_ms: 0,
        }
    }

    /// What the file in the settings' folder held at the start. Called before the first step.
    ///
    /// # Errors
    /// It is damaged in its middle: nothing of it is used.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.replica.restore(store::read(bytes)?);
        Ok(())
    }

    /// Takes what happened at `now` (monotonic, ms) and `unix_ms` (the system's clock, which may be set back).
    pub fn step(&mut self, now: f64, unix_ms: u64, input: Input, out: &mut Vec<Output>) {
        if self.next_number == 0 {
            self.next_number = unix_ms << 8;
            self.pages = Pages::new(unix_ms as u32);
        }
        self.clock.at_least(u64::from(self.replica.log().book().passed()) * 60_000);
        (self.now, self.unix_ms) = (now, self.clock.read(now, unix_ms));
        let (mut did, mut news) = (Vec::new(), Vec::new());
        self.take(input, &mut did, &mut news, out);
        self.replica.tick(now, self.settings.memory_wait_s * 1000.0, &mut did);
        self.ask_on(out);
        self.carry_out(&mut did, out);
        self.decide(out);
        let budgets = self.running.budgets(
            self.replica.log().book(),
            &self.settings,
            &self.sites,
            minute(self.unix_ms),
            &mut news,
        );
        if budgets != self.budgets {
            self.budgets.clone_from(&budgets);
            out.push(Output::Budgets(budgets));
        }
        if self.replica.leads() {
            for News { slot, text } in news {
                self.tell(slot, &text, out);
            }
        }
        let mut mail = Vec::new();
        self.pages.tick(now, &mut mail);
        out.extend(mail.into_iter().map(|(to, message)| Output::Send { to, message }));
    }

    /// The bookings that run now, as [`Output::Budgets`] told them last, but with all that they were promised.
    #[must_use]
    pub fn booked(&self) -> Vec<Budget> {
        self.running.booked(self.replica.log().book(), &self.settings)
    }

    /// When it wants an [`Input::Tick`] at the latest, monotonic, ms.
    #[must_use]
    pub fn next_due(&self) -> f64 {
        let busy = !self.pending.is_empty() || self.pages.waits() || self.replica.waits();
        self.now + if busy { BUSY_MS } else { IDLE_MS }
    }

    fn take(&mut self, input: Input, did: &mut Vec<Did>, news: &mut Vec<News>, out: &mut Vec<Output>) {
        let now = self.now;
        match input {
            Input::Ask { ticket, wish } => {
                self.next_number += 1;
                let asked_at = f64::NEG_INFINITY;
                let pending = Pending { ticket, wish, since: now, asked_at, tries: 0 };
                self.pending.insert(self.next_number, pending);
            }
            Input::Used { booking, per_s } => {
                if let Some(slot) = booking.0.checked_sub(BudgetId::BOOKED).filter(|_| self.led) {
                    let (book, rule) = (self.replica.log().book(), &self.settings.no_show);
                    self.ops.extend(self.running.used(book, rule, slot, per_s.max(0.0), now, news));
                }
            }
            Input::Finished { booking } => {
                if let Some(slot) = booking.0.checked_sub(BudgetId::BOOKED) {
                    self.running.finished(slot);
                }
            }
            Input::Live { site, per_s, dear_per_s } => self.live(&site, per_s, dear_per_s),
            Input::Capacity { site, per_s } => self.site(&site).capacity = Some(per_s.max(0.0)),
            Input::SiteLost(site) => self.site(&site).lost = true,
            Input::SiteBack(site) => self.site(&site).lost = false,
            Input::Received { from, message } => {
                let mut mail = Vec::new();
                let body = self.pages.receive(now, from, message, &mut mail);
                out.extend(mail.into_iter().map(|(to, message)| Output::Send { to, message }));
                match body {
                    Some(Body::Ask { ticket, wish }) => {
                        self.enqueue(Asker::Other { member: from, ticket }, wish)
                    }
                    Some(Body::Told { ticket, answer }) => self.told(ticket, answer, out),
                    Some(body) => self.replica.receive(now, from, body, did),
                    None => {}
                }
            }
            Input::Mastership(epoch) => self.replica.mastership(now, epoch, did),
            Input::Reread(settings) => {
                self.settings = *settings;
                if self.led {
                    self.file();
                }
            }
            Input::Tick => {}
        }
    }

    fn site(&mut self, name: &str) -> &mut Site {
        self.sites.entry(name.to_owned()).or_default()
    }

    /// Keeps the highest of each hour, and has it written down as it rises.
    fn live(&mut self, site: &str, per_s: f64, dear: f64) {
        if !self.settings.sites.iter().any(|s| s.name == site) {
            return;
        }
        let known = self.site(site);
        // What bookings have is changed for a notable change only: each takes a lease to be followed.
        if (dear - known.dear).abs() > DEAR_LEAST * (1.0 + known.dear) {
            known.dear = dear.max(0.0);
        }
        let hour = minute(self.unix_ms) / 60;
        let fresh = Hour { hour, peak: 0.0, written_at: f64::NEG_INFINITY };
        let kept = self.hours.entry(site.to_owned()).or_insert(fresh);
        let over = (kept.hour != hour).then(|| std::mem::replace(kept, fresh));
        kept.peak = kept.peak.max(per_s);
        // Only the grantor writes, and at once: the next one is not to have forgotten the hour's beginning.
        let book = self.replica.log().book();
        let known = |hour| book.peak_in(site, hour).unwrap_or(0.0);
        let mut peaks = Vec::new();
        if let Some(over) = over.filter(|over| over.peak > known(over.hour)) {
            peaks.push((over.hour, over.peak));
        }
        if !self.led {
            return;
        }
        if kept.peak > known(hour) * PEAK_RISE && self.now - kept.written_at >= PEAK_MS {
            kept.written_at = self.now;
            peaks.push((hour, kept.peak));
        }
        let op = |(hour, per_s)| Op::Peak { site: site.to_owned(), hour, per_s };
        self.ops.extend(peaks.into_iter().map(op));
    }

    /// Asks the grantor, or where none is known one keeper after the other.
    fn ask_on(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let over: Vec<u64> =
            self.pending.iter().filter(|(_, p)| now - p.since >= ANSWER_MS).map(|(&n, _)| n).collect();
        for number in over {
            let text = "no grantor answered; it may have been booked: ask again with the same id";
            self.told(number, Answer::refused(Reason::NoGrantor, text), out);
        }
        let (leads, leader) = (self.replica.leads(), self.replica.leader());
        let mut asks = Vec::new();
        for (&number, pending) in &mut self.pending {
            if now - pending.asked_at < NEXT_MS {
                continue;
            }
            pending.asked_at = now;
            let start = leader.and_then(|l| self.keepers.iter().position(|&k| k == l)).unwrap_or(0);
            let to = self.keepers.get((start + pending.tries) % self.keepers.len().max(1)).copied();
            pending.tries += 1;
            asks.push((number, pending.wish.clone(), to));
        }
        let mut mail = Vec::new();
        for (number, wish, to) in asks {
            match to {
                _ if leads => self.enqueue(Asker::Here { ticket: number }, wish),
                Some(to) if to != self.me => {
                    self.pages.send(now, to, Body::Ask { ticket: number, wish }, &mut mail);
                }
                _ => {}
            }
        }
        out.extend(mail.into_iter().map(|(to, message)| Output::Send { to, message }));
    }

    fn told(&mut self, number: u64, answer: Answer, out: &mut Vec<Output>) {
        if let Some(pending) = self.pending.remove(&number) {
            out.push(Output::Answered { ticket: pending.ticket, answer });
        }
    }

    /// Has a wish wait for its decision, once.
    fn enqueue(&mut self, asker: Asker, wish: Wish) {
        let again = self.waiting.iter().any(|(a, _)| *a == asker)
            || self.under_way.as_ref().is_some_and(|(a, _)| *a == asker);
        if self.replica.leads() && !again && self.waiting.len() < WAITING {
            self.waiting.push_back((asker, wish));
        }
    }

    fn answer(&mut self, asker: Asker, answer: Answer, out: &mut Vec<Output>) {
        match asker {
            Asker::Here { ticket } => self.told(ticket, answer, out),
            Asker::Other { member, ticket } => {
                let mut mail = Vec::new();
                self.pages.send(self.now, member, Body::Told { ticket, answer }, &mut mail);
                out.extend(mail.into_iter().map(|(to, message)| Output::Send { to, message }));
            }
            Asker::File => {
                if let Answer::Refused { text, .. } = answer {
                    out.push(Output::Note(format!("a booking of the file is refused: {text}")));
                }
            }
            Asker::Nobody => {}
        }
    }

    fn tell(&self, slot: u16, text: &str, out: &mut Vec<Output>) {
        if let Some(booking) = self.replica.log().book().bookings().get(&slot) {
            let (team, id) = (&booking.request.team, &booking.request.id);
            out.push(Output::Tell { team: team.clone(), text: format!("booking {id}: {text}") });
        }
    }

    fn carry_out(&mut self, did: &mut Vec<Did>, out: &mut Vec<Output>) {
        let mut mail = Vec::new();
        for did in did.drain(..) {
            match did {
                Did::Send(to, body) => self.pages.send(self.now, to, body, &mut mail),
                Did::Append(bytes) => out.push(Output::Append(bytes)),
                Did::Replace(bytes) => out.push(Output::Replace(bytes)),
                Did::Note(text) => out.push(Output::Note(text)),
                Did::Committed(op) => self.committed(&op, out),
            }
            // Written before it is sent: mail goes after each record that came before it.
            out.extend(mail.drain(..).map(|(to, message)| Output::Send { to, message }));
        }
    }

    fn committed(&mut self, op: &Op, out: &mut Vec<Output>) {
        if !self.replica.leads() {
            return;
        }
        if let Op::Book(placed) = op {
            let (team, id) = (&placed.request.team, &placed.request.id);
            for &(slot, start) in &placed.takes {
                let at = calendar::window(self.settings.tz(), super::Span { start, end: start }).start;
                self.tell(slot, &format!("its window at {at} was taken by {team}'s booking {id}"), out);
            }
        }
    }

    /// At the grantor: one decision at a time, each on what is committed.
    fn decide(&mut self, out: &mut Vec<Output>) {
        let leads = self.replica.leads();
        if leads != self.led {
            self.led = leads;
            // Whoever asked asks the next grantor.
            self.waiting.clear();
            self.under_way = None;
            self.ops.clear();
            self.running.forget_wanted();
            if leads {
                self.file();
            }
        }
        while self.replica.leads() && !self.replica.waits() {
            if let Some((asker, answer)) = self.under_way.take() {
                self.answer(asker, answer, out);
            }
            let (asker, result) = match self.due() {
                Some(op) => (Asker::Nobody, Ok((op, Answer::refused(Reason::Unknown, "")))),
                None => match self.waiting.pop_front() {
                    Some((asker, wish)) => (asker, self.weigh(&wish, asker == Asker::File)),
                    None => return,
                },
            };
            match result {
                Err(answer) => self.answer(asker, answer, out),
                Ok((op, answer)) => {
                    self.under_way = Some((asker, answer));
                    let mut did = Vec::new();
                    self.replica.append(self.now, op, &mut did);
                    self.carry_out(&mut did, out);
                }
            }
        }
    }

    /// What time brings: windows end, holds expire, an hour of live traffic is over.
    fn due(&mut self) -> Option<Op> {
        let book = self.replica.log().book();
        let (now, passed) = (minute(self.unix_ms), book.passed());
        let ended = |b: &Booking| {
            let over = b.spans.partition_point(|s| s.end <= now);
            b.spans[..over].last().is_some_and(|s| s.end > passed)
        };
        if now >= passed.saturating_add(PASSED_MIN) || now > passed && book.bookings().values().any(ended) {
            let forget = now.saturating_sub(self.settings.remember_days * 24 * 60);
            return Some(Op::Passed { at: now, forget });
        }
        let expired = |b: &Booking| b.held_until > 0 && !b.cancelled && b.held_until <= self.unix_ms;
        if let Some((&slot, _)) = book.bookings().iter().find(|(_, b)| expired(b)) {
            return Some(Op::Cancel { slot, at: now });
        }
        self.ops.pop_front()
    }

    /// The file's bookings, booked once by their ids; those that are gone from it are cancelled.
    fn file(&mut self) {
        let ids = |r: &Request| (r.team.clone(), r.id.clone());
        let listed: Vec<(String, String)> = self.settings.bookings.iter().map(ids).collect();
        let book = self.replica.log().book();
        let gone = book.bookings().values().filter(|b| b.of_file && !b.cancelled).map(|b| ids(&b.request));
        let gone: Vec<(String, String)> = gone.filter(|id| !listed.contains(id)).collect();
        for (team, id) in gone {
            self.waiting.push_back((Asker::File, Wish::Cancel { team, id }));
        }
        for request in &self.settings.bookings {
            self.waiting.push_back((Asker::File, Wish::Book(request.clone())));
        }
    }

    /// What a wish comes to: an operation with the answer to give once it is committed, or an answer at once.
    fn weigh(&self, wish: &Wish, of_file: bool) -> Result<(Op, Answer), Answer> {
        let book = self.replica.log().book();
        let now = minute(self.unix_ms);
        let unknown = |id: &str| Answer::refused(Reason::Unknown, format!("id: {id} is not known"));
        match wish {
            Wish::Book(request) => match book.asked(&request.team, &request.id) {
                Some((slot, booking)) => Err(self.again(slot, booking, request)),
                None => {
                    let decided = rules::decide(book, &self.settings, now, self.unix_ms, request, of_file);
                    decided.map(|(placed, answer): (Placed, Answer)| (Op::Book(Box::new(placed)), answer))
                }
            },
            Wish::Confirm { team, id } => {
                let (slot, booking) = book.asked(team, id).ok_or_else(|| unknown(id))?;
                if booking.cancelled || booking.held_until > 0 && booking.held_until <= self.unix_ms {
                    return Err(Answer::refused(Reason::Expired, "the hold has expired, or was given up"));
                }
                let mut promised = booking.clone();
                promised.held_until = 0;
                let answer = rules::again(&self.settings, slot, &promised);
                if booking.held_until == 0 { Err(answer) } else { Ok((Op::Confirm { slot }, answer)) }
            }
            Wish::Cancel { team, id } => {
                let (slot, booking) = book.asked(team, id).ok_or_else(|| unknown(id))?;
                let answer = Answer::Cancelled { booking: BudgetId::BOOKED + slot };
                if booking.of_file && !of_file {
                    let text = "id: it is the operator's file's, and is given up there";
                    return Err(Answer::refused(Reason::IdTaken, text));
                }
                if booking.cancelled { Err(answer) } else { Ok((Op::Cancel { slot, at: now }, answer)) }
            }
        }
    }

    /// The answer to a request whose id was used.
    fn again(&self, slot: u16, booking: &Booking, request: &Request) -> Answer {
        if booking.request != *request {
            return Answer::refused(Reason::IdTaken, "id: it was used for another request");
        }
        match self.state(booking) {
            State::Cancelled => {
                Answer::refused(Reason::IdTaken, "id: that booking was given up or has expired")
            }
            State::Preempted => Answer::refused(Reason::IdTaken, "id: that booking was taken by another"),
            _ => rules::again(&self.settings, slot, booking),
        }
    }

    fn state(&self, booking: &Booking) -> State {
        let at = minute(self.unix_ms);
        if booking.cancelled {
            State::Cancelled
        } else if booking.spans.is_empty() {
            State::Preempted
        } else if booking.held_until > 0 {
            State::Held
        } else if booking.running(at).is_some() {
            State::Running
        } else if booking.next(at).is_none() {
            State::Finished
        } else {
            State::Booked
        }
    }

    /// The windows of gathered jobs that run now.
    #[must_use]
    pub fn windows(&self) -> Vec<JobWindow> {
        self.running.windows(self.replica.log().book(), self.unix_ms)
    }

    /// All bookings as known here, with what is asked for here and not answered yet.
    #[must_use]
    pub fn listing(&self) -> Listing {
        let log = self.replica.log();
        let mut bookings: Vec<Listed> =
            log.book().bookings().iter().map(|(&s, b)| self.listed(s, b)).collect();
        for pending in self.pending.values() {
            if let Wish::Book(request) = &pending.wish {
                bookings.push(Listed {
                    booking: None,
                    request: request.clone(),
                    state: State::Asked,
                    next: None,
                    left: 0,
                    preempted: Vec::new(),
                    granted_per_s: 0.0,
                    cut: None,
                });
            }
        }
        Listing { grantor: self.replica.leads(), committed: log.commit(), bookings }
    }

    fn listed(&self, slot: u16, booking: &Booking) -> Listed {
        let at = minute(self.unix_ms);
        let tz = calendar::zone(&booking.request, &self.settings).unwrap_or(self.settings.tz());
        let (granted_per_s, cut) = self.running.granted(slot);
        Listed {
            booking: Some(BudgetId::BOOKED + slot),
            request: booking.request.clone(),
            state: self.state(booking),
            next: booking.next(at).map(|span| calendar::window(tz, span)),
            left: booking.spans.iter().filter(|s| s.end > at).count() as u32,
            preempted: booking.preempted.iter().map(|&span| calendar::window(tz, span)).collect(),
            granted_per_s,
            cut,
        }
    }
}

fn minute(unix_ms: u64) -> Minute {
    Minute::try_from(unix_ms / 60_000).unwrap_or(Minute::MAX)
}
