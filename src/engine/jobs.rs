//! Set-ups of booked jobs that are gathered (`crate::gather::Board`): which job a set-up belongs to, how many are open
//! and done, and what becomes of them once their job is cut. What is decided is read from the board; nothing waits.

use super::{Effect, Engine, ToCaller};
use crate::gather::{Board, Job, Occurrence, Stand, Tally};
use crate::interface::{self as module, CallId, LoadReport, Outcome, ServerId};
use std::collections::HashMap;
use std::sync::Arc;

pub(super) struct Jobs {
    board: Arc<Board>,
    seen: u64,
    jobs: Arc<Vec<Job>>,
    /// The open set-ups that belong to a job.
    open: HashMap<CallId, (Occurrence, Arc<Tally>)>,
    /// The driver's monotonic clock, ms.
    now: f64,
    rng: fastrand::Rng,
}

/// What is known of a set-up when it is held against the jobs.
struct Traits<'a> {
    class: &'a str,
    number: Option<&'a str>,
    /// The site of the call server that it goes to; none before it is sent.
    site: Option<&'a str>,
}

impl Traits<'_> {
    /// Only jobs of a site are held against what goes to one: the others were before.
    fn belong_to(&self, job: &Job) -> bool {
        let job = &job.posted;
        let prefix = job.number_prefix.as_deref();
        job.site.as_deref() == self.site
            && job.class == self.class
            && prefix.is_none_or(|prefix| self.number.is_some_and(|number| number.starts_with(prefix)))
    }
}

impl Jobs {
    /// The job that a set-up belongs to, and where that one is cut the advice to stay away, ms: until it may come
    /// again, at most `most`, and not all at one instant.
    fn of(&mut self, traits: &Traits, most: f64) -> Option<(Job, Option<f64>)> {
        let over = |job: &Job| matches!(job.posted.stand, Stand::Cut { until } if until <= self.now);
        let job = self.jobs.iter().find(|job| traits.belong_to(job) && !over(job))?.clone();
        let away = match job.posted.stand {
            Stand::Cut { until } => Some(self.stay_away_ms(until, most)),
            Stand::Open | Stand::Whole => None,
        };
        Some((job, away))
    }

    fn stay_away_ms(&mut self, until: f64, most: f64) -> f64 {
        let least = (until - self.now).clamp(0.0, most);
        // Where all of it is left, what was turned away in one second is not to come back in one.
        let from = if least < most { least } else { most / 4.0 };
        from + (most - from) * self.rng.f64()
    }

    fn joins(&mut self, id: CallId, job: &Job) {
        job.tally.began();
        self.open.insert(id, (job.posted.occurrence, job.tally.clone()));
    }
}

impl Engine {
    /// Counts the set-ups of the jobs on this board, and turns them away where they are cut.
    #[must_use]
    pub fn with_jobs(mut self, board: Arc<Board>, seed: u64, now: f64) -> Self {
        let (jobs, open, rng) = (Arc::default(), HashMap::new(), fastrand::Rng::with_seed(seed ^ 0x10b5));
        self.jobs = Some(Jobs { board, seen: 0, jobs, open, now, rng });
        self
    }

    pub(super) fn jobs_now(&mut self, now: f64) {
        if let Some(jobs) = self.jobs.as_mut() {
            jobs.now = jobs.now.max(now);
        }
    }

    /// A set-up comes. Of a job that is cut it is not taken: the advice to stay away, ms.
    pub(super) fn job_refuses(&mut self, class: usize, number: Option<&str>) -> Option<f64> {
        let (jobs, class) = (self.jobs.as_mut()?, self.host.classes.get(class)?);
        let away = jobs.of(&Traits { class: &class.name, number, site: None }, self.stay_away_max_ms)?.1;
        if away.is_some() {
            jobs.board.refused(false);
        }
        away
    }

    /// It was taken: from now on it is an open one of its job.
    pub(super) fn job_takes(&mut self, id: CallId, class: usize, number: Option<&str>) {
        let (Some(jobs), Some(class)) = (self.jobs.as_mut(), self.host.classes.get(class)) else { return };
        if let Some((job, None)) = jobs.of(&Traits { class: &class.name, number, site: None }, 0.0) {
            jobs.joins(id, &job);
        }
    }

    /// It is to be sent to a call server: there it may belong to a job of that site. If that one is cut it is not sent:
    /// the advice to stay away, ms.
    pub(super) fn job_refuses_at(&mut self, id: CallId, server: ServerId) -> Option<f64> {
        let jobs = self.jobs.as_mut().filter(|jobs| !jobs.jobs.is_empty() && !jobs.open.contains_key(&id))?;
        let call = self.calls.live.get(&id)?;
        let class = &self.host.classes.get(call.class)?.name;
        let site = self.fleet.servers.get(&server)?.listing.zone.as_deref();
        let traits = Traits { class, number: call.number.as_deref(), site: Some(site?) };
        let (job, away) = jobs.of(&traits, self.stay_away_max_ms)?;
        match away {
            Some(_) => jobs.board.refused(false),
            None => jobs.joins(id, &job),
        }
        away
    }

    /// A set-up is over: with its final answer, or given up by its caller.
    pub(super) fn job_set_up_over(&mut self, id: CallId, answered: bool) {
        if let Some((_, tally)) = self.jobs.as_mut().and_then(|jobs| jobs.open.remove(&id)) {
            tally.ended(answered);
        }
    }

    /// Takes up what the control plane decided since: set-ups of a job that was cut get their final answer now.
    pub(super) fn look_at_jobs(&mut self, out: &mut Vec<Effect>) {
        let Some(jobs) = self.jobs.as_mut() else { return };
        let Some(news) = jobs.board.news(&mut jobs.seen) else { return };
        jobs.jobs = news;
        let cut: HashMap<Occurrence, f64> = (jobs.jobs.iter())
            .filter_map(|job| match job.posted.stand {
                Stand::Cut { until } => Some((job.posted.occurrence, until)),
                Stand::Open | Stand::Whole => None,
            })
            .collect();
        let over = jobs.open.iter().filter_map(|(&id, (of, _))| Some((id, *cut.get(of)?)));
        let mut over: Vec<(CallId, f64)> = over.collect();
        over.sort_unstable_by_key(|(id, _)| *id);
        for (id, until) in over {
            let Some(jobs) = self.jobs.as_mut() else { return };
            let stay_away_ms = jobs.stay_away_ms(until, self.stay_away_max_ms);
            jobs.board.refused(true);
            self.news.push_back(module::Event::CallerLeft(id));
            self.answer(id, ToCaller::Refused { call: id, stay_away_ms }, out);
        }
    }

    /// A call that is not sent as its job is cut.
    pub(super) fn refuse_unsent(
        &mut self,
        id: CallId,
        server: ServerId,
        stay_away_ms: f64,
        out: &mut Vec<Effect>,
    ) {
        self.tell_ended(id, server, Outcome::NotSent, true, LoadReport::default());
        self.answer(id, ToCaller::Refused { call: id, stay_away_ms }, out);
    }
}
