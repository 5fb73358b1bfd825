//! All decisions. The types, events and actions they speak in stand in `src/interface.rs`.
//!
//! The ordinary path is Berger's percent blocking ("Comparison of Call Gapping and Percent Blocking for
//! Overload Control in Distributed Switching Systems and Telecommunications Networks", Table I): each sender
//! keeps, for each server, a probability `b` of refusing a set-up, and a fresh load report moves it to where
//! the server's utilisation would be the best one, ρ°. `docs/design.md` lists what was kept and changed.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};
type Out<'a> = &'a mut Vec<Action>;

/// Give-up rate over the service rate, the paper's benchmark value (section III-A); no unit.
const BETA: f64 = 0.071;
/// b never refuses more than this share: some set-ups must pass, or no report comes back.
const B_CAP: f64 = 0.95;
/// One 'processor full' a server counts in this time, ms: they come in bunches out of one full line.
const FULL_ONCE_MS: f64 = 200.0;
/// A report's age when it is read, ms: its way here, and the line that its answer waited in.
const REPORT_AGE_MS: f64 = 300.0;
/// b halves for each such time without a fresh report, ms: what is known grows old.
const HALVING_MS: f64 = 1000.0;
/// No service time is taken as longer, ms: a stalled server can take next to nothing.
const SERVICE_MAX_MS: f64 = 200.0;
/// Service time before any set-up was seen to pass, ms: only until the first answer.
const FIRST_SERVICE_MS: f64 = 20.0;
/// Part of the quickest set-up's time taken as service: the rest is the way and the answer's work.
const SERVICE_PART: f64 = 0.5;
/// A server that answered nothing for so long while a set-up waited is silent, ms; a slow one answers sooner.
const SILENT_MS: f64 = 1500.0;
/// Set-ups failed in a row, by the server's fault for all that is known, that make it as good as silent;
/// one cut or unconnected is enough.
const MANY_FAILURES: u32 = 4;
/// A silent server gets this part of the usual rate, to find the way back: it may be no more than jammed.
const TRIAL_PART: f64 = 0.1;
/// Lots are drawn anew after so many windows: at each drawing two sets of senders may have sent.
const LOT_WINDOWS: f64 = 4.0;
/// How often a waiting set-up is looked at, ms.
const LOOK_MS: f64 = 50.0;
/// A call that no server may take now is tried again after this, ms.
const HOLD_MS: f64 = 50.0;
/// Part of its aim for which a call is held for a server to let it in: the rest is for the set-up.
const HOLD_PART: f64 = 0.5;
/// Calls ranked so high are held; lower ones, let go together as a line clears, would fill it again.
const HOLD_RANK: f64 = 0.9;
/// Final answers are given this much before the caller's time ends, ms: a timer may come a tick late.
const MARGIN_MS: f64 = 10.0;
/// Span over which this sender's usual rate of set-ups to a warm server is measured, ms.
const RATE_SPAN_MS: f64 = 20_000.0;
/// Part of the longest useful wait at which the paper's b alone decides; beyond it the backlog counts too.
const EASY_PART: f64 = 0.1;
/// Time for which this sender is taken to be as large as its siblings, ms.
const SIZE_PRIOR_MS: f64 = 5000.0;
/// Part of this sender's usual rate that is within the customers' shares.
const OWN_PART: f64 = 0.9;
/// A cold server's part, of what the rule lets it get: the rest is for chance and the server's own repeats.
const COLD_PART: f64 = 0.6;
/// Part of the lines that are thought free: calls want one server more than its size says, and each too many
/// costs its processor a look.
const LINES_PART: f64 = 0.8;
/// Fewer signs than this tell of one server, not of the fleet's load.
const SIGNS_LEAST: f64 = 8.0;
/// Free lines are told about so often, ms.
const LINES_TOLD_MS: f64 = 1000.0;
/// No rate is taken over less than this, ms: the first call would make any.
const RATE_LEAST_MS: f64 = 1000.0;
/// Span over which the rate of calls handed to this sender is measured, ms.
const HANDED_SPAN_MS: f64 = 5000.0;
/// Set-ups to one server may pass each other by this much, ms: journeys differ, lines do not.
const ORDER_MS: f64 = 120.0;
/// By so much they do when nothing is amiss, ms.
const PASSING_MS: f64 = 50.0;
/// A wait told as this or longer is that of a stalled server, ms: its line, over no speed, gives any figure.
const WAIT_MAX_MS: f64 = 5000.0;
/// So long such a one is taken to stay shut, ms.
const STALL_MS: f64 = 1000.0;
/// Numbers remembered at most: far more than are redialled at once; beyond it all are forgotten.
const DIALLED_MAX: usize = 10_000;
/// Calls over which the mix of worths is remembered.
const MIX_CALLS: f64 = 100.0;
/// A customer may be this far ahead of its share before a call counts as beyond it, ms of its quota.
const SHARE_BURST_MS: f64 = 1000.0;
/// What was heard of a server is told to the siblings no sooner than this after it was last told, ms.
const TELL_MS: f64 = 200.0;
/// What a probe told is good for this long, ms, where reports come no other way.
const PROBE_MS: f64 = 500.0;

/// The best utilisation ρ° of Table I when arrivals exceed it: 1 + β − √(β(1 + β)).
pub fn best_utilisation(beta: f64) -> f64 {
    1.0 + beta - (beta * (1.0 + beta)).sqrt()
}

/// The b that brings a server measured at `u` under `b_then` to ρ°: 1 − ρ°(1 − b)/u, within 0 and
/// the cap. λ below the target leaves b at 0.
pub fn blocking(rho: f64, b_then: f64, u: f64) -> f64 {
    if u <= 0.0 { 0.0 } else { (1.0 - rho * (1.0 - b_then) / u).clamp(0.0, B_CAP) }
}

/// Utilisation of a line with `queue` in it: L/(1 + L).
pub fn utilisation_of_queue(queue: f64) -> f64 {
    queue / (1.0 + queue)
}

/// What this sender knows of one server.
struct Server {
    place: u32,
    state: Listed,
    started_at: Option<f64>,
    b: f64,
    /// What b was before, and until when.
    past: VecDeque<(f64, f64)>,
    /// When b was last set by a report or a 'full'; it halves from there on.
    set_at: f64,
    /// The last reading of the wait in its line, and when.
    wait_ms: f64,
    wait_at: f64,
    /// The last wait that this sender's own set-up met, when that was heard, and when the set-up was sent.
    met: (f64, f64, f64),
    /// When it last gave a sign of its line: a report, a 'full' or an answer.
    sign_at: f64,
    /// What a set-up costs its processor, as reported, ms.
    service_ms: Option<f64>,
    /// The last report, to tell a fresh one from a repeat, and when this sender or a sibling told of one.
    last_report: LoadReport,
    told_at: f64,
    full_counted_at: f64,
    /// Heard full: no set-up until then.
    full_until: f64,
    /// Set-ups sent and not yet answered, oldest first.
    unanswered: Vec<(CallId, f64)>,
    /// When the latest of the answered set-ups was sent.
    passed: f64,
    /// Its lines in all, which tell how large it is beside the others; free ones as last told, and when.
    size: f64,
    free_lines: f64,
    /// When the oldest set-up went out that no sign of life has followed.
    unheard_since: Option<f64>,
    /// The operators were told that it is silent.
    told_silent: bool,
    /// Set-ups that failed there without being looked at since one was last answered.
    failures: u32,
    /// When it was last probed, and the calls that wait for that probe's end.
    asked_at: f64,
    asking: Vec<CallId>,
    /// Times of the latest set-ups.
    sends: VecDeque<f64>,
}

impl Server {
    fn new(entry: &ServerEntry, now: f64) -> Self {
        Server {
            place: entry.place,
            state: entry.state,
            started_at: entry.started_at,
            b: 0.0,
            past: VecDeque::new(),
            set_at: now,
            wait_ms: 0.0,
            wait_at: now,
            met: (0.0, now, f64::NEG_INFINITY),
            sign_at: now,
            service_ms: None,
            last_report: LoadReport::default(),
            told_at: f64::NEG_INFINITY,
            full_counted_at: f64::NEG_INFINITY,
            full_until: f64::NEG_INFINITY,
            unanswered: Vec::new(),
            passed: f64::NEG_INFINITY,
            size: 1.0,
            free_lines: f64::INFINITY,
            unheard_since: None,
            told_silent: false,
            failures: 0,
            asked_at: f64::NEG_INFINITY,
            asking: Vec::new(),
            sends: VecDeque::new(),
        }
    }

    /// b now: halved for each full second without a fresh report.
    fn b(&self, now: f64) -> f64 {
        self.b * 0.5_f64.powi(((now - self.set_at) / HALVING_MS).floor().clamp(0.0, 60.0) as i32)
    }

    /// The b under which a report that comes now was measured: the paper's formula rescales by that one, and
    /// by today's it would count a late report's correction twice.
    fn b_then(&self, now: f64) -> f64 {
        let then = self.past.iter().find(|&&(until, _)| now - until <= REPORT_AGE_MS);
        then.map_or(self.b(now), |&(_, b)| b)
    }

    fn set_b(&mut self, now: f64, b: f64) {
        self.past.push_back((now, self.b(now)));
        while self.past.front().is_some_and(|&(until, _)| now - until > REPORT_AGE_MS) {
            self.past.pop_front();
        }
        (self.b, self.set_at, self.sign_at) = (b.clamp(0.0, B_CAP), now, now);
    }

    /// Set-ups still in its line. The line is first come, first served: one sent well before another that was
    /// answered is lost, on its way or on its answer's, and says nothing of the wait.
    fn waiting(&self) -> impl Iterator<Item = &(CallId, f64)> {
        self.unanswered.iter().filter(|&&(_, sent)| !self.lost(sent))
    }

    fn lost(&self, sent: f64) -> bool {
        sent < self.passed - ORDER_MS
    }

    /// What is left of the last reading, or of what a set-up from here met: a line works off at most the time
    /// since. Reports may be seconds late: they do not lower what was met here.
    fn left_of_read(&self, now: f64) -> f64 {
        (self.wait_ms - (now - self.wait_at)).max(self.met.0 - (now - self.met.1))
    }

    /// The share that b and a line of `backlog` refuse, with `most` the longest useful wait.
    fn refuses(&self, now: f64, backlog: f64, most: f64) -> f64 {
        let room = (most - backlog.max(0.0)) / (most - EASY_PART * most);
        1.0 - (1.0 - self.b(now)) * room.clamp(1.0 - B_CAP, 1.0)
    }

    /// How much its last sign still counts: half for each time in which b halves.
    fn freshness(&self, now: f64) -> f64 {
        0.5_f64.powf((now - self.sign_at) / HALVING_MS)
    }

    fn read_wait(&mut self, now: f64, wait: f64) {
        (self.wait_ms, self.wait_at) = (line_of(wait), now);
    }

    /// A set-up sent then met this wait; only one sent later tells of a shorter line.
    fn meet_wait(&mut self, now: f64, sent: f64, wait: f64) {
        if sent >= self.met.2 {
            (self.met, self.sign_at) = ((line_of(wait), now, sent), now);
        }
    }

    /// A full processor is at u = 1.
    fn count_full(&mut self, now: f64) {
        if now - self.full_counted_at >= FULL_ONCE_MS {
            self.full_counted_at = now;
            let b = self.b_then(now);
            self.set_b(now, blocking(best_utilisation(BETA), b, 1.0));
        }
    }

    /// It has answered nothing while a set-up waited, or took no connection: hung, dead or cut off.
    fn silent(&self, now: f64) -> bool {
        let waited = self.unheard_since.map_or(0.0, |at| now - at);
        self.failures >= MANY_FAILURES || waited >= SILENT_MS
    }

    fn heard(&mut self, now: f64) {
        self.unheard_since = self.unanswered.first().map(|_| now);
        (self.failures, self.told_silent) = (0, false);
    }

    /// A set-up is no longer awaited; how long it was in vain is a reading of the wait.
    fn forget(&mut self, now: f64, call: CallId, in_vain: bool) {
        if let Some(i) = self.unanswered.iter().position(|&(id, _)| id == call) {
            let (_, sent) = self.unanswered.remove(i);
            if in_vain && !self.lost(sent) && now - sent > self.left_of_read(now) {
                self.meet_wait(now, sent, now - sent);
            }
        }
    }
}

/// How often something happens, of late.
struct Rate {
    n: f64,
    ms: f64,
    at: f64,
}

impl Rate {
    fn new(now: f64) -> Self {
        Rate { n: 0.0, ms: 0.0, at: now }
    }

    /// Counts one of this weight; what came a `span` ago counts a third.
    fn count(&mut self, now: f64, weight: f64, span: f64) {
        let kept = (-(now - self.at) / span).exp();
        (self.n, self.ms) = (self.n * kept + weight, self.ms * kept + now - self.at);
        self.at = now;
    }

    /// Over the time counted, or `least_ms` if that is longer.
    fn per_ms(&self, least_ms: f64) -> f64 {
        self.n / self.ms.max(least_ms)
    }
}

/// Where a call stands with this sender; a standing call is no longer kept.
struct Live {
    call: Call,
    first_dialled: f64,
    /// Its draw against every b, and where that puts it among calls of other worth.
    draw: f64,
    rank: f64,
    deadline: f64,
    /// It may be held until then.
    hold_until: f64,
    attempts: u32,
    /// The server that answered it with an error.
    faulted: Option<ServerId>,
    /// Servers that may not know yet that an attempt of it there is over.
    barred: Vec<ServerId>,
    /// The attempt out, if any.
    out: Option<Attempt>,
    /// Guard after a timeout, reset or cancellation.
    not_before: f64,
}

struct Attempt {
    server: ServerId,
    sent: f64,
    cancelled: bool,
}

/// Decides for one sender.
pub struct Controller {
    settings: Settings,
    rng: fastrand::Rng,
    /// Sets this sender's lots apart from its siblings'.
    salt: u64,
    servers: BTreeMap<ServerId, Server>,
    calls: BTreeMap<CallId, Live>,
    wakes: BTreeMap<u64, CallId>,
    next_token: u64,
    /// Quickest set-up seen, ms, and the least of such a time by its server's lines, ms a line.
    quickest_ms: f64,
    quickest_by_size: f64,
    /// Worths of the calls of late, ascending, each with its weight.
    mix: Vec<(f64, f64)>,
    /// What each customer had left of this sender's part of its share, in calls, and when.
    allowances: BTreeMap<usize, (f64, f64)>,
    started: f64,
    first_tries: f64,
    /// Calls handed to this sender, and those that came to stand at warm servers, by line of theirs.
    handed: Rate,
    stood: Rate,
    /// Lines of all ready servers.
    ready_size: f64,
    /// This sender tells its siblings nothing before then.
    tell_from: f64,
    /// Numbers whose call did not stand, by customer and class, and when each was first dialled.
    dialled: BTreeMap<(u64, usize, usize), f64>,
}

impl Controller {
    /// A controller that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64, now: f64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Controller {
            started: now,
            first_tries: 0.0,
            handed: Rate::new(now),
            stood: Rate::new(now),
            ready_size: 0.0,
            tell_from: now,
            settings,
            salt: rng.u64(..),
            rng,
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            wakes: BTreeMap::new(),
            next_token: 0,
            quickest_ms: f64::INFINITY,
            quickest_by_size: f64::INFINITY,
            mix: Vec::new(),
            allowances: BTreeMap::new(),
            dialled: BTreeMap::new(),
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Servers { complete, entries } => self.follow_list(now, complete, &entries),
            Event::Call(call) => self.accept(now, call, out),
            Event::CallerLeft(id) => {
                self.let_go(id, out);
            }
            Event::Barred { call, server } => {
                if let Some(live) = self.calls.get_mut(&call) {
                    live.barred.push(server);
                }
            }
            Event::Unbarred { call, server } => {
                if let Some(live) = self.calls.get_mut(&call) {
                    live.barred.retain(|&barred| barred != server);
                }
            }
            Event::Standing { call, server, after_ms } => self.stands(now, call, server, after_ms),
            Event::Ended { call, server, outcome, closed, report } => {
                self.read_end(now, call, server, outcome, &report, out);
                self.ended(now, call, server, outcome, closed, out);
            }
            Event::Lines { server, report } => self.read_lines(server, &report),
            Event::Probed { server, outcome, report } => self.probed(now, server, outcome, &report, out),
            Event::Told { server, report } => self.told(now, server, &report),
            Event::Settings(settings) => self.settings = settings,
            Event::Timer(token) => {
                if let Some(id) = self.wakes.remove(&token) {
                    self.advance(now, id, out);
                }
            }
        }
    }

    // ---- the list ----

    fn follow_list(&mut self, now: f64, complete: bool, entries: &[ServerEntry]) {
        if complete {
            let named: Vec<ServerId> = entries.iter().map(|e| e.id).collect();
            for (_, s) in self.servers.iter_mut().filter(|(id, _)| !named.contains(id)) {
                s.state = Listed::Gone;
            }
        }
        for entry in entries {
            let known = self.servers.get(&entry.id);
            let restarted = known.is_some_and(|s| s.started_at != entry.started_at);
            if known.is_none() || restarted {
                let mut new = Server::new(entry, now);
                if let Some(old) = self.servers.remove(&entry.id) {
                    (new.unanswered, new.asking, new.size) = (old.unanswered, old.asking, old.size);
                }
                self.servers.insert(entry.id, new);
            }
            if let Some(s) = self.servers.get_mut(&entry.id) {
                (s.place, s.state) = (entry.place, entry.state);
            }
        }
        // On a long day servers come and go: one that is gone is kept only for its unanswered set-ups.
        self.servers.retain(|_, s| s.state != Listed::Gone || !s.unanswered.is_empty());
        self.sum_sizes();
    }

    fn siblings(&self) -> f64 {
        f64::from(self.settings.siblings.max(1))
    }

    fn sum_sizes(&mut self) {
        self.ready_size = self.servers.values().filter(|s| s.state == Listed::Ready).map(|s| s.size).sum();
    }

    // ---- reports and b ----

    /// What a set-up takes of this server's processor: by what it says it can take, else by the quickest, and
    /// the longer the smaller it is: a processor is as large as its server's lines.
    fn service_ms(&self, s: &Server) -> f64 {
        let by_size = if s.size > 1.0 { self.quickest_by_size / s.size } else { 0.0 };
        let learned = by_size.max(self.quickest_ms) * SERVICE_PART;
        let known = learned.is_finite() && learned > 0.0;
        s.service_ms.unwrap_or(if known { learned.min(SERVICE_MAX_MS) } else { FIRST_SERVICE_MS })
    }

    fn quickest_ms(&self) -> f64 {
        if self.quickest_ms.is_finite() { self.quickest_ms } else { FIRST_SERVICE_MS }
    }

    /// The wait in its line now, as far as is known here: the last reading less the time since; or what the
    /// oldest unanswered set-up has waited; or the work of those that all senders have there, if each has as
    /// many. Calls come to first choices one by one, one there is no line; turned away all go at once.
    fn backlog_ms(&self, now: f64, s: &Server, first_choice: bool) -> f64 {
        // One whose successor was answered waits for an answer that went astray, not in the line. To call it
        // lost takes more, but it must not close the server: with nothing sent, none would ever pass it.
        let mut in_line = s.waiting().map(|w| w.1).filter(|&at| at >= s.passed - PASSING_MS).peekable();
        // So does one that a report of a shorter wait left behind; two are a line, and the report is late.
        let told = s.wait_at - 2.0 * s.wait_ms - REPORT_AGE_MS;
        let astray = in_line.next_if(|&sent| sent < told).is_some();
        let oldest = in_line.next().map_or(0.0, |sent| now - sent - self.quickest_ms());
        let sent = s.waiting().count().saturating_sub(usize::from(first_choice) + usize::from(astray)) as f64;
        s.left_of_read(now).max(oldest).max(sent * self.service_ms(s) * self.siblings()).max(0.0)
    }

    fn read_lines(&mut self, server: ServerId, report: &LoadReport) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.free_lines = sane(report.free_lines).unwrap_or(s.free_lines);
        if let Some(size) = sane(report.lines).filter(|&n| n >= 1.0 && n != s.size) {
            s.size = size;
            self.sum_sizes();
        }
    }

    /// Sets b once for each fresh report; a repeat or an absent one says nothing.
    fn read_report(&mut self, now: f64, server: ServerId, report: &LoadReport) -> bool {
        let Some(service) = self.servers.get(&server).map(|s| self.service_ms(s)) else { return false };
        let Some(s) = self.servers.get_mut(&server) else { return false };
        let report = LoadReport {
            queue: sane(report.queue),
            utilisation: sane(report.utilisation),
            wait_ms: sane(report.wait_ms),
            hold_back: sane(report.hold_back),
            can_take: sane(report.can_take),
            ..LoadReport::default()
        };
        if report == LoadReport::default() || report == s.last_report {
            return false;
        }
        s.last_report = report;
        let told = report.can_take.filter(|&n| n > 0.0).map(|n| (1000.0 / n).min(SERVICE_MAX_MS));
        s.service_ms = told.or(s.service_ms);
        let wait = report.wait_ms.or(report.queue.map(|q| q * service));
        if let Some(wait) = wait {
            // A report may be late: by one, nothing is called off sooner than a server counts as silent.
            s.passed = s.passed.max(now - 2.0 * wait - REPORT_AGE_MS - SILENT_MS);
            s.read_wait(now, wait);
        }
        let idle = [report.queue, report.utilisation, report.wait_ms, report.hold_back]
            .iter()
            .flatten()
            .all(|&v| v == 0.0);
        let b = s.b_then(now);
        let rho = best_utilisation(BETA);
        let new = match report {
            LoadReport { hold_back: Some(share), .. } => share,
            LoadReport { utilisation: Some(u), .. } => blocking(rho, b, u),
            LoadReport { queue: Some(q), .. } => blocking(rho, b, utilisation_of_queue(q)),
            LoadReport { wait_ms: Some(w), .. } => blocking(rho, b, utilisation_of_queue(w / service)),
            _ => return false,
        };
        // b rises at once and falls no faster than in silence: the line is gone before its cause.
        let slowest = s.b * 0.5_f64.powf((now - s.set_at) / HALVING_MS);
        s.set_b(now, if idle { 0.0 } else { new.max(slowest) });
        true
    }

    /// Reads what a server itself told, and tells the siblings of one that is or was pressed, unless one told
    /// of it a moment ago. With all messages lost nobody is heard to tell: so a sender also keeps to its part
    /// of what all may send, and messages are as rare among hundreds of senders as among a few.
    fn hear(&mut self, now: f64, server: ServerId, report: &LoadReport, out: &mut Vec<Action>) {
        let before = self.servers.get(&server).map_or(0.0, |s| s.b(now));
        self.read_lines(server, report);
        let fresh = self.read_report(now, server, report);
        let gap = TELL_MS * self.siblings() / self.servers.len().max(1) as f64;
        let Some(s) = self.servers.get_mut(&server) else { return };
        let news = fresh && (before > 0.0 || s.b(now) > 0.0);
        if news && now >= self.tell_from && self.settings.may_tell && now - s.told_at >= TELL_MS {
            s.told_at = now;
            self.tell_from = now + gap * (0.5 + self.rng.f64());
            out.push(Action::TellAll { server, report: *report });
        }
    }

    /// A sibling heard from a server: its report is as good as one heard here.
    fn told(&mut self, now: f64, server: ServerId, report: &LoadReport) {
        self.read_report(now, server, report);
        if let Some(s) = self.servers.get_mut(&server) {
            s.heard(now);
            s.told_at = now;
        }
    }

    /// A probe that fails found a line too long to be answered in time. One turned away met others in the
    /// line: the server is pressed now, whatever the late reports say.
    fn probed(&mut self, now: f64, id: ServerId, outcome: ProbeOutcome, report: &LoadReport, out: Out) {
        let most = self.useful_wait_ms();
        let Some(s) = self.servers.get_mut(&id) else { return };
        match outcome {
            ProbeOutcome::Answered => s.heard(now),
            ProbeOutcome::TurnedAway => {
                s.heard(now);
                s.count_full(now);
                s.full_until = s.full_until.max(now + FULL_ONCE_MS);
            }
            ProbeOutcome::Failed => {
                s.count_full(now);
                s.read_wait(now, most);
            }
        }
        let asking = std::mem::take(&mut s.asking);
        self.hear(now, id, report, out);
        for call in asking {
            if self.calls.get(&call).is_some_and(|live| live.out.is_none()) {
                self.place(now, call, out);
            }
        }
    }

    /// What an attempt's end says of its server.
    fn read_end(&mut self, now: f64, call: CallId, id: ServerId, how: Outcome, told: &LoadReport, out: Out) {
        let sent = self.calls.get(&call).and_then(|live| live.out.as_ref()).map(|a| a.sent);
        let first = self.calls.get(&call).is_some_and(|live| live.faulted.is_none());
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.forget(now, call, matches!(how, Outcome::TimedOut | Outcome::Cancelled));
        match how {
            // If one sent later was answered, its connection broke, and the server lives.
            Outcome::Reset if sent.is_some_and(|at| at <= s.passed) => {}
            Outcome::NotConnected | Outcome::Reset if sent.is_some() => s.failures += MANY_FAILURES,
            Outcome::Fault if sent.is_some() && first => s.failures += 1,
            Outcome::Completed => s.heard(now),
            Outcome::NoLine | Outcome::ProcessorFull { .. } => {
                s.heard(now);
                s.full_until = now + FULL_ONCE_MS;
                if let Outcome::ProcessorFull { wait_ms } = how {
                    s.meet_wait(now, sent.unwrap_or(now), sane(wait_ms).unwrap_or(0.0));
                    s.count_full(now);
                }
            }
            _ => {}
        }
        self.hear(now, id, told, out);
    }

    // ---- admission and choice ----

    /// Present share of its capacity that a server has: it rises from `cold_from` over `cold_ms`.
    fn warmth(&self, now: f64, s: &Server) -> f64 {
        let from = self.settings.cold_from.clamp(0.0, 1.0);
        match s.started_at {
            Some(at) if self.settings.cold_ms > 0.0 && now - at < self.settings.cold_ms => {
                from + (1.0 - from) * ((now - at) / self.settings.cold_ms).max(0.0)
            }
            _ => 1.0,
        }
    }

    /// A cold server gets part of what the rule allows in a window, a silent one what may find the way back:
    /// shares of this sender's usual rate to a warm one, rounded by a lot drawn anew every few windows. A new
    /// sender knows the load, not yet what servers take: while a warm one can tell that, cold ones get none.
    fn has_room(&self, now: f64, id: ServerId, s: &Server) -> bool {
        let warmth = self.warmth(now, s);
        let tells = |s: &Server| s.state == Listed::Ready && self.warmth(now, s) >= 1.0 && !s.silent(now);
        let known = self.stood.n > 0.0 || !self.servers.values().any(tells);
        let part = if known { COLD_PART } else { 0.0 };
        let cold = if warmth < 1.0 { part * self.settings.fall_multiple * warmth } else { f64::INFINITY };
        let share = if s.silent(now) { cold.min(TRIAL_PART) } else { cold };
        if share.is_infinite() {
            return true;
        }
        let span = if self.settings.fall_ms > 0.0 { self.settings.fall_ms } else { HALVING_MS };
        let window = (now / span / LOT_WINDOWS + lot(self.salt, id)).floor();
        let sent = s.sends.iter().filter(|&&at| now - at < span).count();
        let counted_ms = RATE_SPAN_MS * (1.0 - (-(now - self.started) / RATE_SPAN_MS).exp());
        let rate = self.usual_rate(s, counted_ms.max(RATE_LEAST_MS));
        sent as f64 + lot(self.salt ^ window.to_bits(), id) < share * rate * span
    }

    /// The share refused for want of lines: what is told free goes round the senders in the time to the next
    /// telling, and as many more are freed as usually stand; this sender wants its part of the calls handed
    /// to it. All would else take the same few lines, and then none until the next telling.
    fn short_of_lines(&self, s: &Server) -> f64 {
        let freed = s.free_lines / self.siblings() / LINES_TOLD_MS + self.usual_rate(s, RATE_LEAST_MS);
        let wanted = self.handed.per_ms(RATE_LEAST_MS) * s.size / self.ready_size.max(1.0);
        if wanted > 0.0 { (1.0 - LINES_PART * freed / wanted).max(0.0) } else { 0.0 }
    }

    /// This sender's calls a millisecond that come to stand at this server when warm: its part, by size,
    /// of those that stood at warm servers of late; what was sent in a jam would tell of the jam. Before any
    /// stood, its part of the calls this sender was handed.
    fn usual_rate(&self, s: &Server, least_ms: f64) -> f64 {
        let stood = self.stood.per_ms(least_ms);
        let handed = || self.handed.per_ms(RATE_LEAST_MS) / self.ready_size.max(1.0);
        s.size * if stood > 0.0 { stood } else { handed() }
    }

    /// A call came to stand: where at a warm server, the usual rate moves.
    fn count_stood(&mut self, now: f64, server: ServerId) {
        let warm = |s: &&Server| s.state == Listed::Ready && self.warmth(now, s) >= 1.0;
        if self.servers.get(&server).as_ref().is_some_and(warm) {
            let size: f64 = self.servers.values().filter(warm).map(|s| s.size).sum();
            self.stood.count(now, 1.0 / size, RATE_SPAN_MS);
        }
    }

    /// The rules and the evidence allow a set-up now, whatever b says.
    fn open(&self, now: f64, id: ServerId, s: &Server) -> bool {
        s.state == Listed::Ready && now >= s.full_until && self.has_room(now, id, s)
    }

    /// Whether a server gets nothing now, or but a trickle.
    pub fn avoids(&self, now: f64, id: ServerId) -> bool {
        self.servers.get(&id).is_none_or(|s| s.silent(now) || !self.open(now, id, s))
    }

    /// The share of first set-ups that is refused at a server now; all where it gets nothing.
    pub fn share_refused(&self, now: f64, id: ServerId) -> f64 {
        let open = self.servers.get(&id).filter(|s| self.open(now, id, s));
        open.map_or(1.0, |s| self.refused_share(now, s, self.signs(now), self.backlog_ms(now, s, true)))
    }

    /// The longest wait in a line that serves anyone: beyond it set-ups are repeated, or stand too late, as
    /// the answer may wait in the same line once more.
    fn useful_wait_ms(&self) -> f64 {
        let aim = self.settings.classes.iter().map(|c| c.target_ms).fold(f64::INFINITY, f64::min);
        let resend = if self.settings.resend_ms > 0.0 { self.settings.resend_ms } else { f64::INFINITY };
        let most = (aim / 2.0).min(resend);
        if most.is_finite() { most.max(1.0) } else { HALVING_MS }
    }

    /// The share refused now. The paper's b presumes a steady line; one with work in hand takes less, down to
    /// what b's cap lets in: with nothing sent no news would come. A cold server has less capacity.
    fn refused_share(&self, now: f64, s: &Server, (signs, told): (f64, f64), backlog: f64) -> f64 {
        // Of a large fleet each sender hears of a server but every few seconds: the others stand in for it.
        let elsewhere = (1.0 - s.freshness(now)) * told / signs.max(SIGNS_LEAST);
        let least = elsewhere.max(1.0 - self.warmth(now, s)).max(self.short_of_lines(s));
        s.refuses(now, backlog, self.useful_wait_ms()).max(least)
    }

    /// The signs of all ready servers, each as it counts now, and the shares that they told to refuse.
    fn signs(&self, now: f64) -> (f64, f64) {
        let most = self.useful_wait_ms();
        let share = |s: &Server| s.refuses(s.sign_at, s.left_of_read(s.sign_at), most);
        let heard = self.servers.values().filter(|s| s.state == Listed::Ready);
        heard.map(|s| (s.freshness(now), share(s))).fold((0.0, 0.0), |(n, x), (f, y)| (n + f, x + f * y))
    }

    /// Where a call ranks among those of late, 0 to 1, the dear ones high and a draw between equals: a server
    /// that refuses a share lets in the ranks above it, so the least worth are refused and the mean is b.
    fn rank(&self, worth: f64, draw: f64) -> f64 {
        let total: f64 = self.mix.iter().map(|&(_, n)| n).sum();
        let below: f64 = self.mix.iter().filter(|&&(w, _)| w < worth).map(|&(_, n)| n).sum();
        let same: f64 = self.mix.iter().filter(|&&(w, _)| w == worth).map(|&(_, n)| n).sum();
        (below + draw * same) / total.max(1.0)
    }

    fn class_of(&self, call: &Call) -> Class {
        self.settings.classes.get(call.class).copied().unwrap_or_default()
    }

    /// What a call is worth: its class's worth, less if it can only stand late, and little beyond its
    /// customer's share. Of a share this sender goes by its own part, as large as it usually is among its
    /// siblings; an even part would call much of a large sender's traffic beyond it.
    fn value(&mut self, now: f64, call: &Call, late: bool) -> f64 {
        let class = self.class_of(call);
        let worth = if late { class.worth * class.late_worth } else { class.worth };
        let Some(customer) = self.settings.customers.get(call.customer) else { return worth };
        let quotas: f64 = self.settings.customers.iter().map(|c| c.quota_per_s).sum();
        let even = quotas / 1000.0 / self.siblings();
        let own = (self.first_tries + even * SIZE_PRIOR_MS) / (now - self.started + SIZE_PRIOR_MS);
        let rate = customer.quota_per_s / quotas.max(f64::MIN_POSITIVE) * own * OWN_PART;
        let most = (rate * SHARE_BURST_MS).max(1.0);
        let (left, at) = self.allowances.entry(call.customer).or_insert((most, now));
        (*left, *at) = ((*left + rate * (now - *at)).min(most), now);
        if *left >= 1.0 {
            *left -= 1.0;
            worth
        } else {
            worth * self.settings.over_share_worth
        }
    }

    /// Adds a call to the mix of worths.
    fn mix_in(&mut self, worth: f64) {
        self.mix.iter_mut().for_each(|(_, n)| *n *= 1.0 - 1.0 / MIX_CALLS);
        match self.mix.binary_search_by(|(w, _)| w.total_cmp(&worth)) {
            Ok(i) => self.mix[i].1 += 1.0,
            Err(i) => self.mix.insert(i, (worth, 1.0)),
        }
    }

    /// Whether calls of this class may go there.
    fn permits(&self, call: &Call, s: &Server) -> bool {
        self.settings.barred_places.get(call.class).is_none_or(|barred| !barred.contains(&s.place))
    }

    fn may_go(&self, now: f64, live: &Live, id: ServerId, s: &Server) -> bool {
        self.permits(&live.call, s) && self.open(now, id, s) && !live.barred.contains(&id)
    }

    /// First choice, unless closed or its b refuses; else the allowed server with fewest unanswered set-ups.
    /// Where every b refuses the plain draw, a call whose rank still lets it in takes the one that refuses
    /// least: the rank decides who is refused, not where a call goes, or dear calls would pile on one line.
    fn choose(&self, now: f64, live: &Live) -> Option<ServerId> {
        // Where a call got an error it goes only if there is nowhere else.
        let open = |id: ServerId, s: &Server| self.may_go(now, live, id, s);
        let signs = self.signs(now);
        let first = |s: &Server| Some(s.place) == live.call.first_choice;
        let other = |id: ServerId| live.faulted != Some(id);
        let elsewhere = self.servers.iter().any(|(&id, s)| other(id) && open(id, s));
        let open = self.servers.iter().filter(|&(&id, s)| open(id, s) && (other(id) || !elsewhere));
        let refused = |s: &Server| self.refused_share(now, s, signs, self.backlog_ms(now, s, first(s)));
        let allowed = open.map(|(&id, s)| (id, s, refused(s))).filter(|a| a.2 <= live.rank);
        // Between equals each call draws lots by size: the lowest id would be every sender's choice.
        let lot = |id: ServerId, s: &Server| -(1.0 - lot(live.draw.to_bits(), id)).ln() / s.size;
        let preference = |id: ServerId, s: &Server, refused: f64| match refused <= live.draw {
            true if first(s) => (0, 0.0, 0.0),
            true => (1, s.waiting().count() as f64, lot(id, s)),
            false => (2, refused, lot(id, s)),
        };
        let ranked = allowed.map(|(id, s, refused)| (preference(id, s, refused), id));
        let order = |(a, x, s): (u8, f64, f64), (b, y, t): (u8, f64, f64)| {
            a.cmp(&b).then(x.total_cmp(&y)).then(s.total_cmp(&t))
        };
        ranked.min_by(|(a, _), (b, _)| order(*a, *b)).map(|(_, id)| id)
    }

    // ---- a call's life ----

    fn accept(&mut self, now: f64, call: Call, out: &mut Vec<Action>) {
        if self.calls.contains_key(&call.id) {
            return;
        }
        let deadline = now + sane(Some(call.expires_in_ms)).unwrap_or(0.0);
        let first_dialled = self.first_dialled(now, &call);
        let target = self.class_of(&call).target_ms;
        let left = first_dialled + target - now;
        if first_dialled == now {
            self.first_tries += 1.0;
        }
        let worth = self.value(now, &call, left <= 0.0);
        self.mix_in(worth);
        self.handed.count(now, 1.0, HANDED_SPAN_MS);
        let draw = self.rng.f64();
        let rank = self.rank(worth, draw);
        let hold_until = now + HOLD_PART * left;
        let live = Live {
            call,
            first_dialled,
            draw,
            rank,
            deadline,
            hold_until,
            attempts: 0,
            faulted: None,
            barred: Vec::new(),
            out: None,
            not_before: now,
        };
        self.calls.insert(call.id, live);
        self.wake(deadline - MARGIN_MS, call.id, out);
        self.place(now, call.id, out);
    }

    /// When the caller first dialled: a call to a number that was turned away of late is that call again, and
    /// its aim runs from the first try. Where one is marked but not known here, the aim is taken as past.
    fn first_dialled(&mut self, now: f64, call: &Call) -> f64 {
        let known = call.number.and_then(|number| self.dialled.remove(&(number, call.customer, call.class)));
        let class = self.class_of(call);
        match known.filter(|&at| now - at <= class.deadline_ms) {
            Some(at) => at,
            None if call.redial => now - class.target_ms.clamp(0.0, 1e9),
            None => now,
        }
    }

    /// Sends a call that has no attempt out, or holds it for the guard, or ends it.
    fn place(&mut self, now: f64, id: CallId, out: &mut Vec<Action>) {
        let Some(live) = self.calls.get(&id) else { return };
        if now >= live.deadline - MARGIN_MS || live.attempts >= self.settings.max_attempts {
            return self.end(id, Action::Fail(id), out);
        }
        if now < live.not_before {
            return self.wake(live.not_before, id, out);
        }
        let stay_away_ms = self.stay_away_ms(now, live);
        // A bar is lifted as soon as the server has read that the attempt there is over.
        let may_hold = now < live.hold_until && (live.rank >= HOLD_RANK || !live.barred.is_empty());
        let chosen = self.choose(now, live);
        let wanted = |s: &Server| Some(s.place) == live.call.first_choice && s.waiting().next().is_some();
        let closed = self.servers.iter().find(|&(&id, s)| chosen != Some(id) && wanted(s)).map(|(&id, _)| id);
        if let Some(server) = closed.filter(|&server| self.worth_a_probe(now, server)) {
            self.ask(now, None, server, out);
        }
        match chosen {
            Some(server) if self.worth_a_probe(now, server) => self.ask(now, Some(id), server, out),
            Some(server) => self.send(now, id, server, out),
            None if may_hold => self.wake(now + HOLD_MS, id, out),
            None => self.end(id, Action::Refuse { call: id, stay_away_ms }, out),
        }
    }

    /// When a call turned away had best come again: once a line has room for it, if it can
    /// still stand in its aim then; else as late as callers heed, as it would take a first try's place.
    fn stay_away_ms(&self, now: f64, live: &Live) -> f64 {
        let most = self.settings.stay_away_max_ms.max(0.0);
        let ready = self.servers.values().filter(|s| s.state == Listed::Ready && !s.silent(now));
        let opens = |s: &Server| (s.full_until - now).max(self.backlog_ms(now, s, true)).max(0.0);
        let soonest = ready.map(opens).fold(f64::INFINITY, f64::min).max(FULL_ONCE_MS);
        let left = live.first_dialled + self.class_of(&live.call).target_ms - now;
        if soonest < left { soonest.min(most) } else { most }
    }

    fn told_by_probes_alone(&self) -> bool {
        self.settings.may_probe && self.settings.reporting == Reporting::Probes
    }

    /// Where reports come by probes alone, one that told nothing of late is asked before a call goes there,
    /// and also when unanswered set-ups close it to a call that wants it: they may be lost. The probes
    /// keep to the calls, however many senders there are, and none polls a server it does not use.
    fn worth_a_probe(&self, now: f64, server: ServerId) -> bool {
        let stale =
            |s: &&Server| s.state == Listed::Ready && (!s.asking.is_empty() || now - s.asked_at >= PROBE_MS);
        self.told_by_probes_alone() && self.servers.get(&server).as_ref().is_some_and(stale)
    }

    /// The call, if any, waits for the probe's end, and is then placed by what that told.
    fn ask(&mut self, now: f64, call: Option<CallId>, server: ServerId, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        if now - s.asked_at >= PROBE_MS {
            s.asked_at = now;
            out.push(Action::Probe(server));
        }
        s.asking.extend(call);
    }

    /// The one place that sends; every rule is checked here.
    fn send(&mut self, now: f64, id: CallId, server: ServerId, out: &mut Vec<Action>) {
        let Some(live) = self.calls.get(&id) else { return };
        let allowed = live.out.is_none()
            && now >= live.not_before
            && now < live.deadline
            && live.attempts < self.settings.max_attempts
            && self.servers.get(&server).is_some_and(|s| self.may_go(now, live, server, s));
        if !allowed {
            return self.wake(now + HOLD_MS, id, out);
        }
        if let (Some(live), Some(s)) = (self.calls.get_mut(&id), self.servers.get_mut(&server)) {
            live.attempts += 1;
            live.out = Some(Attempt { server, sent: now, cancelled: false });
            s.unanswered.push((id, now));
            s.unheard_since = s.unheard_since.or(Some(now));
            remember(&mut s.sends, now, self.settings.fall_ms);
            out.push(Action::Send { call: id, server, timeout_ms: 0.0 });
        }
        self.wake(now + ORDER_MS, id, out);
    }

    /// The one place that ends a call; an attempt still out is called off.
    fn end(&mut self, id: CallId, answer: Action, out: &mut Vec<Action>) {
        if self.let_go(id, out) {
            out.push(answer);
        }
    }

    /// Forgets a call that does not stand, but for its number.
    fn let_go(&mut self, id: CallId, out: &mut Vec<Action>) -> bool {
        let Some(live) = self.calls.remove(&id) else { return false };
        if live.out.is_some_and(|a| !a.cancelled) && self.settings.may_cancel {
            out.push(Action::Cancel { call: id, attempt: live.attempts - 1 });
        }
        if let Some(number) = live.call.number {
            if self.dialled.len() >= DIALLED_MAX {
                self.dialled.clear();
            }
            self.dialled.insert((number, live.call.customer, live.call.class), live.first_dialled);
        }
        true
    }

    /// A call's timer: its time is over, or it may be sent, or its attempt waits at a silent server.
    fn advance(&mut self, now: f64, id: CallId, out: &mut Vec<Action>) {
        let Some(live) = self.calls.get_mut(&id) else { return };
        if now >= live.deadline - MARGIN_MS {
            return self.end(id, Action::Fail(id), out);
        }
        let attempt = live.attempts.saturating_sub(1);
        match &mut live.out {
            None => self.place(now, id, out),
            Some(a) if a.cancelled => {}
            Some(a) => {
                let server = self.servers.get(&a.server);
                let silent = now - a.sent >= SILENT_MS && server.is_none_or(|s| s.silent(now));
                let lost = server.is_some_and(|s| s.lost(a.sent));
                if (silent || lost) && self.settings.may_cancel {
                    a.cancelled = true;
                    if let Some(s) = self.servers.get_mut(&a.server).filter(|s| silent && !s.told_silent) {
                        s.told_silent = true;
                        out.push(Action::Log(format!("server at place {} is silent: calling off", s.place)));
                    }
                    out.push(Action::Cancel { call: id, attempt });
                } else {
                    self.wake(now + LOOK_MS, id, out);
                }
            }
        }
    }

    fn stands(&mut self, now: f64, id: CallId, server: ServerId, after_ms: f64) {
        self.calls.remove(&id);
        if let Some(s) = self.servers.get_mut(&server) {
            let sent = s.unanswered.iter().find(|&&(other, _)| other == id).map(|&(_, sent)| sent);
            s.passed = s.passed.max(sent.unwrap_or(s.passed));
            s.forget(now, id, false);
            s.heard(now);
            if let Some(ms) = sane(Some(after_ms)).filter(|&ms| ms > 0.0) {
                self.quickest_ms = self.quickest_ms.min(ms);
                let by_size = if s.size > 1.0 { ms * s.size } else { f64::INFINITY };
                self.quickest_by_size = self.quickest_by_size.min(by_size);
                s.meet_wait(now, sent.unwrap_or(now), (ms - self.quickest_ms - PASSING_MS).max(0.0));
                if self.settings.reporting != Reporting::Answers {
                    s.read_wait(now, ms - self.quickest_ms);
                }
            }
        }
        self.count_stood(now, server);
    }

    fn ended(&mut self, now: f64, id: CallId, server: ServerId, outcome: Outcome, closed: bool, out: Out) {
        let Some(live) = self.calls.get_mut(&id) else { return };
        if closed {
            self.calls.remove(&id);
            return;
        }
        live.out = None;
        // An error may be the server's or the call's. The second one is taken as the call's: it goes nowhere
        // else, and the first server is held to have answered.
        if outcome == Outcome::Fault
            && let Some(first) = live.faulted.replace(server)
        {
            if let Some(s) = self.servers.get_mut(&first) {
                s.failures = s.failures.saturating_sub(1);
            }
            return self.end(id, Action::Fail(id), out);
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            live.not_before = now + self.settings.guard_ms.max(0.0);
        }
        self.place(now, id, out);
    }

    // ---- timers ----

    fn wake(&mut self, at: f64, call: CallId, out: &mut Vec<Action>) {
        let token = self.next_token;
        self.next_token += 1;
        self.wakes.insert(token, call);
        out.push(Action::Timer { at, token });
    }
}

/// A number in [0, 1) that is always the same for the same seed and server.
fn lot(seed: u64, id: ServerId) -> f64 {
    fastrand::Rng::with_seed(seed ^ id.0.rotate_left(20)).f64()
}

/// The line that a wait tells of, ms.
fn line_of(wait: f64) -> f64 {
    if wait < WAIT_MAX_MS { wait } else { STALL_MS }
}

/// A figure that is not finite or is below zero is absent.
fn sane(value: Option<f64>) -> Option<f64> {
    value.filter(|v| v.is_finite() && *v >= 0.0)
}

/// Adds a time and forgets those older than `span`.
fn remember(times: &mut VecDeque<f64>, now: f64, span: f64) {
    times.push_back(now);
    while times.front().is_some_and(|&at| now - at > span) {
        times.pop_front();
    }
}
