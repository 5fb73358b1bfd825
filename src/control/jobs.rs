//! Hosts the booked jobs that are gathered (`crate::gather::Jobs`): every instance tells the grantor the counts of its
//! set-ups, the grantor decides when a job's rest is not worth the wait, and tells all how their jobs stand.
//!
//! What is told are totals and states, again each round: doubled, late or lost datagrams change nothing. A word of the
//! grantor counts only from the one that is known under its epoch.

use super::job_results::{JobFigures, Results};
use super::job_words::{LINES, Message, Told};
use crate::gather::{Count, JobEffect, JobEvent, JobPhase, Jobs, Occurrence, Posted, Settings, Stand};
use crate::reservations::JobWindow;
use crate::terms::{BudgetId, Epoch, Member};
use std::collections::BTreeMap;

/// A member's part of a job is at most so many times the mean, whatever it asks for.
const PART_MOST: f64 = 2.0;
/// A window that is over is kept while its job is heard of, and so many leases longer.
const KEPT_LEASES: f64 = 3.0;

/// What comes of a step, in this order.
#[derive(Debug, PartialEq)]
pub(super) enum Did {
    Send {
        to: Member,
        message: Message,
    },
    /// The rest of this booking's present window is everybody's.
    Finished(BudgetId),
    /// How the jobs stand, all of them.
    Post(Vec<Posted>),
    Note(String),
}

/// A member's counts: of its earlier lives, and of the present one.
#[derive(Clone, Copy, Debug, Default)]
struct Counted {
    life: u64,
    before: u32,
    done: u32,
    open: u32,
}

#[derive(Debug)]
struct Known {
    window: JobWindow,
    /// Its window runs, until then; the booking's budget is its own.
    running: bool,
    ends_at: f64,
    stand: Stand,
    /// It began then, as far as the grantor told.
    began_at: Option<f64>,
    /// Last heard of from the grantor.
    heard_at: f64,
    /// At the grantor: counts by member, and what each was given of the booking, round by round.
    counts: BTreeMap<Member, Counted>,
    given: BTreeMap<Member, f64>,
}

pub(super) struct Hosted {
    me: Member,
    members: u16,
    life: u64,
    lease_ms: f64,
    jobs: Jobs,
    grants: Option<Epoch>,
    /// Since when.
    granted_at: f64,
    present: Vec<Member>,
    known: BTreeMap<Occurrence, Known>,
    posted: Vec<Posted>,
    results: Results,
    effects: Vec<JobEffect>,
}

impl Hosted {
    pub(super) fn new(
        settings: Settings,
        me: Member,
        members: u16,
        life: u64,
        seed: u64,
        lease_ms: f64,
    ) -> Self {
        Hosted {
            me,
            members,
            life,
            lease_ms,
            jobs: Jobs::new(settings, seed),
            grants: None,
            granted_at: f64::NEG_INFINITY,
            present: Vec::new(),
            known: BTreeMap::new(),
            posted: Vec::new(),
            results: Results::default(),
            effects: Vec::new(),
        }
    }

    pub(super) fn next_due(&self) -> f64 {
        self.grants.and(self.jobs.next_due()).unwrap_or(f64::INFINITY)
    }

    pub(super) fn figures(&self) -> JobFigures {
        let of = |which: fn(&Known) -> bool| self.known.values().filter(|k| which(k)).count() as u64;
        JobFigures {
            running: of(|k| k.running && k.stand == Stand::Open),
            cut: of(|k| matches!(k.stand, Stand::Cut { .. })),
            refused: crate::gather::Refused::default(),
            results: self.results.shown().to_vec(),
        }
    }

    /// This instance grants from now on, or no longer. What was learned of keys stays; of the jobs that run nothing does:
    /// they are counted anew from totals.
    pub(super) fn mastership(&mut self, now: f64, epoch: Option<Epoch>) {
        (self.grants, self.granted_at) = (epoch, now);
        self.present.clear();
        for (&occurrence, known) in &mut self.known {
            self.jobs.step(now, JobEvent::Cancelled { occurrence }, &mut self.effects);
            known.counts.clear();
            known.given.clear();
        }
        // What was decided and not told is the next grantor's to decide.
        self.effects.clear();
    }

    /// The windows that run now.
    pub(super) fn windows(&mut self, now: f64, windows: Vec<JobWindow>, did: &mut Vec<Did>) {
        let runs = |occurrence: Occurrence| windows.iter().any(|w| w.occurrence == occurrence.0);
        let mut given_up = Vec::new();
        for (&occurrence, known) in self.known.iter_mut().filter(|(id, k)| k.running && !runs(**id)) {
            known.running = false;
            // It was cancelled, or taken by another's booking.
            if now < known.ends_at - self.lease_ms && known.stand == Stand::Open {
                given_up.push(occurrence);
            }
        }
        for occurrence in given_up {
            self.known.remove(&occurrence);
            self.jobs.step(now, JobEvent::Cancelled { occurrence }, &mut self.effects);
        }
        for window in windows {
            let over = self.known.get(&Occurrence(window.occurrence)).is_some_and(|k| k.stand != Stand::Open);
            if over && !window.finished {
                did.push(Did::Finished(window.booking));
            }
            let ends_at = now + window.left_ms;
            let new = |window| Known {
                window,
                running: true,
                ends_at,
                stand: Stand::Open,
                began_at: None,
                heard_at: now,
                counts: BTreeMap::new(),
                given: BTreeMap::new(),
            };
            self.known.entry(Occurrence(window.occurrence)).or_insert_with(|| new(window));
        }
        let (jobs, kept_ms) = (&self.jobs, KEPT_LEASES * self.lease_ms);
        self.known.retain(|&occurrence, k| {
            let refuses = matches!(k.stand, Stand::Cut { until } if now < until);
            let heard = k.stand == Stand::Open && now - k.heard_at < kept_ms;
            k.running || refuses || heard || self.grants.and(jobs.phase(occurrence)).is_some()
        });
        self.done(now, did);
    }

    /// This instance's own counts.
    pub(super) fn counted(&mut self, now: f64, master: Option<Member>, counts: &[Count], did: &mut Vec<Did>) {
        let lines: Vec<(u64, u32, u32)> = (counts.iter())
            .filter(|c| c.done > 0 || c.open > 0)
            .map(|c| (c.occurrence.0, c.done, c.open))
            .collect();
        if self.grants.is_some() {
            self.take(now, self.me, self.life, &lines);
            self.done(now, did);
        } else if let Some(to) = master.filter(|&to| to != self.me) {
            for page in lines.chunks(LINES) {
                did.push(Did::Send {
                    to,
                    message: Message::Counts { life: self.life, lines: page.to_vec() },
                });
            }
        }
    }

    /// Another instance said this; `master` is the grantor that is known of.
    pub(super) fn heard(
        &mut self,
        now: f64,
        from: Member,
        message: &Message,
        master: Option<(Member, Epoch)>,
        did: &mut Vec<Did>,
    ) {
        match message {
            Message::Counts { life, lines } if self.grants.is_some() && from.0 < self.members => {
                self.take(now, from, *life, lines);
            }
            Message::Stands { epoch, lines } if master == Some((from, *epoch)) && self.grants.is_none() => {
                for &(occurrence, told) in lines {
                    self.told(now, Occurrence(occurrence), told, did);
                }
            }
            Message::Counts { .. } | Message::Stands { .. } => {}
        }
        self.done(now, did);
    }

    /// As grantor: a round begins, with these members about. `given` says what a booking's members have of it.
    pub(super) fn round(
        &mut self,
        now: f64,
        present: Vec<Member>,
        given: impl Fn(BudgetId) -> Vec<(Member, f64)>,
        did: &mut Vec<Did>,
    ) {
        for &member in self.present.iter().filter(|m| !present.contains(m)) {
            self.jobs.step(now, JobEvent::Left { member }, &mut self.effects);
        }
        self.present = present;
        self.start(now);
        for (&occurrence, known) in &mut self.known {
            if self.jobs.phase(occurrence) != Some(JobPhase::Running) {
                continue;
            }
            for (member, per_s) in given(known.window.booking) {
                *known.given.entry(member).or_default() += per_s;
            }
            let weights = weights(&self.present, &known.given);
            self.jobs.step(now, JobEvent::Divided { occurrence, weights }, &mut self.effects);
        }
        self.done(now, did);
        self.tell(now, did);
    }

    pub(super) fn tick(&mut self, now: f64, did: &mut Vec<Did>) {
        if self.grants.is_some() {
            self.jobs.step(now, JobEvent::Tick, &mut self.effects);
        }
        self.done(now, did);
    }

    /// As grantor: a member's counts, all told.
    fn take(&mut self, now: f64, from: Member, life: u64, lines: &[(u64, u32, u32)]) {
        for &(occurrence, done, open) in lines {
            let occurrence = Occurrence(occurrence);
            let Some(known) = self.known.get_mut(&occurrence) else { continue };
            let counted = known.counts.entry(from).or_default();
            if life > counted.life {
                let before = counted.before.saturating_add(counted.done);
                *counted = Counted { life, before, done: 0, open: 0 };
            }
            // An older word than the last, or of a process that is over.
            if life < counted.life || done < counted.done {
                continue;
            }
            (counted.done, counted.open) = (done, open);
            let done = counted.before.saturating_add(done);
            let event = JobEvent::Counts { occurrence, member: from, done, open };
            self.jobs.step(now, event, &mut self.effects);
        }
        self.start(now);
    }

    /// Begins the jobs whose set-ups have come. One member's word alone does not: it could have the deadline pass before
    /// the job is there.
    fn start(&mut self, now: f64) {
        for (&occurrence, known) in &self.known {
            let fresh = known.stand == Stand::Open && self.jobs.phase(occurrence).is_none();
            let wanted = self.present.len().min(2).min(known.window.expected as usize).max(1);
            let telling = known.counts.values().filter(|c| c.before > 0 || c.done > 0 || c.open > 0).count();
            // One that another grantor began may be due at once: it is gone on with once all had time to tell their counts.
            let begun = match known.began_at {
                Some(_) => now >= self.granted_at + self.lease_ms,
                None => telling >= wanted,
            };
            // One whose window is over is only gone on with, not begun.
            if !fresh || !begun || self.present.is_empty() || (!known.running && known.began_at.is_none()) {
                continue;
            }
            let w = &known.window;
            let starts = JobEvent::Starts {
                occurrence,
                since: known.began_at,
                budget: w.booking,
                class: w.class.clone(),
                site: w.site.clone(),
                expected: w.expected,
                members: self.present.clone(),
                counts: (known.counts.iter())
                    .map(|(&m, c)| (m, c.before.saturating_add(c.done), c.open))
                    .collect(),
                ends_at: known.ends_at,
            };
            self.jobs.step(now, starts, &mut self.effects);
        }
        for (&occurrence, known) in &mut self.known {
            if known.began_at.is_none() && self.jobs.phase(occurrence).is_some() {
                known.began_at = Some(now);
            }
        }
    }

    /// Carries out what the jobs came to, and posts how they stand if that changed.
    fn done(&mut self, now: f64, did: &mut Vec<Did>) {
        let mut told = false;
        for effect in std::mem::take(&mut self.effects) {
            match effect {
                JobEffect::Refuse { occurrence, come_back_ms } => {
                    self.ends(occurrence, Stand::Cut { until: now + come_back_ms }, did);
                    told = true;
                }
                JobEffect::GiveBack { occurrence, .. } => {
                    if self.jobs.phase(occurrence) == Some(JobPhase::Done) {
                        self.ends(occurrence, Stand::Whole, did);
                        told = true;
                    }
                }
                JobEffect::Tell(report) => {
                    if self.jobs.phase(report.occurrence) != Some(JobPhase::Cut) {
                        self.ends(report.occurrence, Stand::Whole, did);
                    }
                    if let Some(known) = self.known.get(&report.occurrence) {
                        did.push(Did::Note(self.results.told(&known.window.name, &report)));
                    }
                    told = true;
                }
                JobEffect::Forget { .. } => {}
            }
        }
        if told {
            self.tell(now, did);
        }
        let posted = self.stands();
        if posted != self.posted {
            self.posted.clone_from(&posted);
            did.push(Did::Post(posted));
        }
    }

    /// A job is over, for good: what was told once is not taken back.
    fn ends(&mut self, occurrence: Occurrence, stand: Stand, did: &mut Vec<Did>) {
        let Some(known) = self.known.get_mut(&occurrence).filter(|k| k.stand == Stand::Open) else { return };
        known.stand = stand;
        if known.running {
            did.push(Did::Finished(known.window.booking));
        }
    }

    fn told(&mut self, now: f64, occurrence: Occurrence, told: Told, did: &mut Vec<Did>) {
        let Some(known) = self.known.get_mut(&occurrence) else { return };
        known.heard_at = now;
        match told {
            Told::Running { age_ms } => {
                // The least that was told is the nearest to the truth, as messages are only ever late.
                let began_at = now - f64::from(age_ms);
                known.began_at = Some(known.began_at.map_or(began_at, |at| at.min(began_at)));
            }
            Told::Whole => self.ends(occurrence, Stand::Whole, did),
            Told::Cut { left_ms } => {
                self.ends(occurrence, Stand::Cut { until: now + f64::from(left_ms) }, did);
            }
        }
    }

    /// Tells all members how their jobs stand.
    fn tell(&self, now: f64, did: &mut Vec<Did>) {
        let Some(epoch) = self.grants else { return };
        let line = |(&occurrence, known): (&Occurrence, &Known)| {
            let told = match known.stand {
                Stand::Cut { until } => Told::Cut { left_ms: (until - now).max(0.0) as u32 },
                Stand::Whole => Told::Whole,
                Stand::Open => Told::Running { age_ms: (now - known.began_at?).max(0.0) as u32 },
            };
            Some((occurrence.0, told))
        };
        let lines: Vec<(u64, Told)> = self.known.iter().filter_map(line).collect();
        for page in lines.chunks(LINES) {
            for to in (0..self.members).map(Member).filter(|&to| to != self.me) {
                did.push(Did::Send { to, message: Message::Stands { epoch, lines: page.to_vec() } });
            }
        }
    }

    /// How the jobs stand for set-ups; of one booking the latest window first.
    fn stands(&self) -> Vec<Posted> {
        let posted = |(&occurrence, known): (&Occurrence, &Known)| Posted {
            occurrence,
            budget: known.window.booking,
            class: known.window.class.clone(),
            site: known.window.site.clone(),
            number_prefix: known.window.number_prefix.clone(),
            stand: known.stand,
        };
        let mut all: Vec<Posted> = self.known.iter().map(posted).collect();
        all.sort_by_key(|p| (p.budget, std::cmp::Reverse(p.occurrence)));
        all
    }
}

/// What each of the members present weighs in a booking's division: what it was given so far, no more than
/// [`PART_MOST`] times the mean.
fn weights(present: &[Member], given: &BTreeMap<Member, f64>) -> Vec<(Member, f64)> {
    let of = |member: &Member| given.get(member).copied().unwrap_or(0.0);
    let mean = present.iter().map(of).sum::<f64>() / present.len().max(1) as f64;
    let weight = |member: &Member| if mean > 0.0 { (of(member) / mean).min(PART_MOST) } else { 1.0 };
    present.iter().map(|member| (*member, weight(member))).collect()
}
