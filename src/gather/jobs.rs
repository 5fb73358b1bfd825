//! Booked occurrences as gathers: a reducer of its own that the control plane hosts.
//!
//! An occurrence starts with what its job expects; members tell how many of its set-ups are done. It is cut at the
//! learned deadline: later set-ups are refused with when to come back, the reserved part goes back, and the result
//! is told. Whole sooner, the part goes back and nothing is refused: what the team sends beyond competes as
//! ordinary traffic.

use super::{Closed, Figures, GatherId, Gathers, Key, Settings, Why};
use crate::terms::{BudgetId, Member};
use serde::Serialize;
use std::collections::BTreeMap;

/// One occurrence of a booking, by the host's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Occurrence(pub u64);

/// How an occurrence stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// Its set-ups are waited for.
    Running,
    /// The result was told with some missing: later set-ups of it are refused.
    Cut,
    /// The result was told whole.
    Done,
}

/// What happens to occurrences.
#[derive(Clone, Debug, PartialEq)]
pub enum JobEvent {
    /// It begins. `expected`: set-ups in all; `ends_at`: its window's end, ms on the host's clock.
    /// One that is known already is left as it is. `since`: it began then under another host, whose times of
    /// answers are not known, so nothing is learned from it; none: now.
    Starts {
        occurrence: Occurrence,
        since: Option<f64>,
        budget: BudgetId,
        class: String,
        site: Option<String>,
        expected: u32,
        members: Vec<Member>,
        /// What was counted before, as in [`JobEvent::Counts`]: a member's done and open.
        counts: Vec<(Member, u32, u32)>,
        ends_at: f64,
    },
    /// The booked budget was divided anew: each member's weight in it.
    Divided { occurrence: Occurrence, weights: Vec<(Member, f64)> },
    /// A member's counts, all told since the start: set-ups answered (whichever way), and open now.
    Counts { occurrence: Occurrence, member: Member, done: u32, open: u32 },
    /// A member left or crashed: nothing more comes from it, in any occurrence.
    Left { member: Member },
    /// The occurrence was cancelled or preempted: no result.
    Cancelled { occurrence: Occurrence },
    /// Time passed.
    Tick,
}

/// What the host does.
#[derive(Clone, Debug, PartialEq)]
pub enum JobEffect {
    /// Refuse later set-ups of this occurrence, to come back after so long (ms); those open keep their rule.
    Refuse { occurrence: Occurrence, come_back_ms: f64 },
    /// The reserved part goes back to everybody.
    GiveBack { occurrence: Occurrence, budget: BudgetId },
    /// The result, for figures and log.
    Tell(Report),
    /// Nothing is refused for this occurrence any more; it is forgotten.
    Forget { occurrence: Occurrence },
}

/// A job's result.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    pub occurrence: Occurrence,
    pub key: Key,
    /// Share of the expected set-ups that were answered, 0 to 1, and what that is worth.
    pub complete: f64,
    pub worth: f64,
    /// The worth less the price of the time.
    pub net: f64,
    /// Time from the start to the result, ms, and how much of it was beyond the deadline planned at the start.
    pub waited_ms: f64,
    pub lateness_ms: f64,
    /// Set-ups still open at the members when it was told.
    pub open: u32,
    pub explored: bool,
    pub why: Why,
}

/// Callers find their way to the members by chance: a member's part is what the division says and so many standard
/// deviations of that chance, or most jobs could never be whole.
const SLACK: f64 = 2.0;

struct Job {
    budget: BudgetId,
    phase: JobPhase,
    ends_at: f64,
    given_back: bool,
    /// Open set-ups by member, as last told.
    open: BTreeMap<Member, u32>,
}

/// All occurrences under way.
pub struct Jobs {
    gathers: Gathers,
    jobs: BTreeMap<Occurrence, Job>,
}

impl Jobs {
    /// From checked settings; the seed draws which jobs wait longer on purpose.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Jobs { gathers: Gathers::new(settings, seed).with_slack(SLACK), jobs: BTreeMap::new() }
    }

    /// Takes one event; whatever is due by `now` happens after it.
    pub fn step(&mut self, now: f64, event: JobEvent, effects: &mut Vec<JobEffect>) {
        match event {
            JobEvent::Starts {
                occurrence,
                since,
                budget,
                class,
                site,
                expected,
                members,
                counts,
                ends_at,
            } => {
                if self.jobs.contains_key(&occurrence) {
                    return;
                }
                let open = counts.iter().map(|&(member, _, open)| (member, open)).collect();
                let job = Job { budget, phase: JobPhase::Running, ends_at, given_back: false, open };
                self.jobs.insert(occurrence, job);
                let (id, key) = (gather(occurrence), Key::Job { class, site });
                self.gathers.open(since.map_or(now, |at| at.min(now)), id, key, expected, &members);
                if since.is_some() {
                    self.gathers.unlearned(id);
                }
                for (member, done, _) in counts {
                    self.gathers.arrived(now, id, member, done);
                }
            }
            JobEvent::Divided { occurrence, weights } => self.gathers.allot(gather(occurrence), &weights),
            JobEvent::Counts { occurrence, member, done, open } => {
                if let Some(job) = self.jobs.get_mut(&occurrence) {
                    job.open.insert(member, open);
                    self.gathers.arrived(now, gather(occurrence), member, done);
                }
            }
            JobEvent::Left { member } => {
                for (&occurrence, job) in &mut self.jobs {
                    job.open.remove(&member);
                    self.gathers.give_up(now, gather(occurrence), member);
                }
            }
            JobEvent::Cancelled { occurrence } => {
                self.gathers.cancel(gather(occurrence));
                if let Some(job) = self.jobs.remove(&occurrence) {
                    give_back(occurrence, job.given_back, job.budget, effects);
                    effects.push(JobEffect::Forget { occurrence });
                }
            }
            JobEvent::Tick => {}
        }
        self.due(now, effects);
    }

    /// When something is due next, ms on the host's clock.
    pub fn next_due(&self) -> Option<f64> {
        let ends = self.jobs.values().filter_map(|j| match j.phase {
            JobPhase::Running if j.given_back => None,
            _ => Some(j.ends_at),
        });
        ends.chain(self.gathers.next_due()).min_by(f64::total_cmp)
    }

    /// How an occurrence stands; none: unknown or forgotten.
    pub fn phase(&self, occurrence: Occurrence) -> Option<JobPhase> {
        self.jobs.get(&occurrence).map(|j| j.phase)
    }

    /// Share complete and deadline (ms on the host's clock) of an occurrence under way.
    pub fn standing(&self, occurrence: Occurrence) -> Option<(f64, f64)> {
        let id = gather(occurrence);
        self.gathers.complete(id).zip(self.gathers.deadline(id))
    }

    /// What the jobs of each class and site have come to.
    pub fn figures(&self) -> Vec<Figures> {
        self.gathers.figures()
    }

    fn due(&mut self, now: f64, effects: &mut Vec<JobEffect>) {
        let mut closed = Vec::new();
        self.gathers.poll(now, &mut closed);
        for result in closed {
            self.told(now, result, effects);
        }
        let ended: Vec<Occurrence> =
            self.jobs.iter().filter(|(_, j)| j.ends_at <= now).map(|(&id, _)| id).collect();
        for occurrence in ended {
            let Some(job) = self.jobs.get_mut(&occurrence) else { continue };
            give_back(occurrence, job.given_back, job.budget, effects);
            job.given_back = true;
            if job.phase != JobPhase::Running {
                self.jobs.remove(&occurrence);
                effects.push(JobEffect::Forget { occurrence });
            }
        }
    }

    fn told(&mut self, now: f64, closed: Closed, effects: &mut Vec<JobEffect>) {
        let occurrence = Occurrence(closed.id.0);
        let Some(job) = self.jobs.get_mut(&occurrence) else { return };
        let whole = closed.why == Why::Whole;
        job.phase = if whole { JobPhase::Done } else { JobPhase::Cut };
        // A job that overran its window has stragglers for about as long as it took; then it is forgotten.
        job.ends_at = if whole { job.ends_at } else { job.ends_at.max(now + closed.waited_ms) };
        if !whole {
            effects.push(JobEffect::Refuse { occurrence, come_back_ms: job.ends_at - now });
        }
        give_back(occurrence, job.given_back, job.budget, effects);
        job.given_back = true;
        effects.push(JobEffect::Tell(Report {
            occurrence,
            key: closed.key,
            complete: closed.complete,
            worth: closed.worth,
            net: closed.net,
            waited_ms: closed.waited_ms,
            lateness_ms: closed.lateness_ms,
            open: job.open.values().fold(0, |sum, &n| sum.saturating_add(n)),
            explored: closed.explored,
            why: closed.why,
        }));
    }
}

fn gather(occurrence: Occurrence) -> GatherId {
    GatherId(occurrence.0)
}

fn give_back(occurrence: Occurrence, already: bool, budget: BudgetId, effects: &mut Vec<JobEffect>) {
    if !already {
        effects.push(JobEffect::GiveBack { occurrence, budget });
    }
}
