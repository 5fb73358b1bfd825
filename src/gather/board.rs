//! What the control thread and the traffic thread share of jobs: which are gathered and how they stand, as one
//! immutable snapshot, and counters of their set-ups. Neither waits for the other.

use super::Occurrence;
use crate::terms::BudgetId;
use arc_swap::ArcSwap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// How a job stands for its set-ups.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stand {
    /// Its set-ups are taken.
    Open,
    /// It is whole: what comes beyond competes as ordinary traffic.
    Whole,
    /// Its set-ups are refused until then, on the process's monotonic clock, ms.
    Cut { until: f64 },
}

/// A job as the control thread posts it.
#[derive(Clone, Debug, PartialEq)]
pub struct Posted {
    pub occurrence: Occurrence,
    pub budget: BudgetId,
    /// Which set-ups are its own: of this class, to this site and to numbers that begin so, as in its budget.
    pub class: String,
    pub site: Option<String>,
    pub number_prefix: Option<String>,
    pub stand: Stand,
}

/// A job's set-ups at this instance.
#[derive(Debug, Default)]
pub struct Tally {
    done: AtomicU32,
    open: AtomicU32,
}

impl Tally {
    /// Traffic thread: one came.
    pub fn began(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    /// Traffic thread: one that came is over, with a final answer or given up by its caller.
    pub fn ended(&self, answered: bool) {
        self.done.fetch_add(u32::from(answered), Ordering::Relaxed);
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A job with its counters.
#[derive(Clone, Debug)]
pub struct Job {
    pub posted: Posted,
    pub tally: Arc<Tally>,
}

/// A job's set-ups at this instance: answered (whichever way), all told, and open now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    pub occurrence: Occurrence,
    pub done: u32,
    pub open: u32,
}

/// Set-ups of jobs that were cut, at this instance since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refused {
    /// Open when their job was cut.
    pub open: u64,
    /// Came later.
    pub later: u64,
}

/// Shared in an [`Arc`]; every method takes `&self`.
#[derive(Debug, Default)]
pub struct Board {
    jobs: ArcSwap<Vec<Job>>,
    version: AtomicU64,
    refused_open: AtomicU64,
    refused_later: AtomicU64,
}

impl Board {
    /// Control thread: the jobs are these from now on, in the order in which a set-up is held against them. One that
    /// was there keeps its counters.
    pub fn post(&self, posted: Vec<Posted>) {
        let old = self.jobs.load();
        let kept = |p: &Posted| old.iter().find(|j| j.posted.occurrence == p.occurrence);
        let job = |posted: Posted| {
            let tally = kept(&posted).map_or_else(Arc::default, |job| job.tally.clone());
            Job { posted, tally }
        };
        self.jobs.store(Arc::new(posted.into_iter().map(job).collect()));
        self.version.fetch_add(1, Ordering::Release);
    }

    /// Traffic thread: the jobs, if they changed since `seen`, which is brought up to date. One atomic load if not.
    pub fn news(&self, seen: &mut u64) -> Option<Arc<Vec<Job>>> {
        let version = self.version.load(Ordering::Acquire);
        if version == *seen {
            return None;
        }
        *seen = version;
        Some(self.jobs.load_full())
    }

    /// Control thread: what was counted of each job.
    #[must_use]
    pub fn counts(&self) -> Vec<Count> {
        let count = |job: &Job| {
            let (done, open) = (&job.tally.done, &job.tally.open);
            let (done, open) = (done.load(Ordering::Relaxed), open.load(Ordering::Relaxed));
            Count { occurrence: job.posted.occurrence, done, open }
        };
        self.jobs.load().iter().map(count).collect()
    }

    /// Traffic thread: a set-up of a job that is cut was refused, one that was open or a later one.
    pub fn refused(&self, open: bool) {
        let counter = if open { &self.refused_open } else { &self.refused_later };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Control thread: so many were, since the start.
    #[must_use]
    pub fn all_refused(&self) -> Refused {
        let (open, later) = (&self.refused_open, &self.refused_later);
        Refused { open: open.load(Ordering::Relaxed), later: later.load(Ordering::Relaxed) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn posted(occurrence: u64, stand: Stand) -> Posted {
        let (class, budget) = ("batch".to_owned(), BudgetId(BudgetId::BOOKED));
        let occurrence = Occurrence(occurrence);
        Posted { occurrence, budget, class, site: None, number_prefix: None, stand }
    }

    #[test]
    fn news_are_told_once_and_counters_stay_with_their_job() {
        let (board, mut seen) = (Board::default(), 0);
        assert!(board.news(&mut seen).is_none());
        board.post(vec![posted(1, Stand::Open)]);
        let first = board.news(&mut seen).expect("posted")[0].clone();
        assert!(board.news(&mut seen).is_none());
        (0..3).for_each(|_| first.tally.began());
        first.tally.ended(true);
        first.tally.ended(false);
        board.post(vec![posted(2, Stand::Open), posted(1, Stand::Cut { until: 7.0 })]);
        let count = |occurrence, done, open| Count { occurrence: Occurrence(occurrence), done, open };
        assert_eq!(board.counts(), [count(2, 0, 0), count(1, 1, 1)]);
        // One that ends after its job was taken down is counted nowhere else.
        board.post(vec![posted(2, Stand::Open)]);
        first.tally.ended(true);
        assert_eq!(board.counts(), [count(2, 0, 0)]);
        board.refused(true);
        board.refused(false);
        board.refused(false);
        assert_eq!(board.all_refused(), Refused { open: 1, later: 2 });
    }
}
