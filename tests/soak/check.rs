//! The rules of the protocol page, held against the record of a trial.

use crate::record::*;
use std::collections::BTreeMap;
use std::fmt;

/// Every time limit on sockets grows by this, ms.
pub const SLACK_MS: f64 = 50.0;
/// Up to so long after its time an answer only earns nothing; later the request is lost, ms.
const LATE_ANSWER_MS: f64 = 500.0;
/// A set-up that crosses the close of its connection by less goes out again, ms.
pub const CROSSING_MS: f64 = 50.0;
/// After SIGTERM a node must answer what it was sent within this, also if it is killed before the request's time, ms.
const STOP_TAKES_MS: f64 = 700.0;
/// A release that was sent reaches the caller within this, ms.
const RELEASE_MS: f64 = 1000.0;
/// The end of a call that no release could tell reaches the caller within this, ms.
const UNTOLD_RELEASE_MS: f64 = 8000.0;
/// A change of the list counts as told at the latest: with the name service in good health, after a call to it that
/// failed, and in any case, ms.
const TOLD_MS: f64 = 1500.0;
const TOLD_AFTER_OUTAGE_MS: f64 = 6000.0;
const TOLD_ANYWAY_MS: f64 = 7000.0;
/// A caller that gave up has gone: no attempt begins for it later than this, ms.
const GONE_MS: f64 = 100.0;
/// A process that starts is ready within this, ms.
const READY_MS: f64 = 10_000.0;
/// Connections of one node to one call server.
const LINKS_MAX: usize = 4;
/// What a node holds goes unchecked through a hand-over and for so long after, ms.
const HAND_OVER_LINKS_MS: f64 = 5000.0;

/// What the settings of a trial's deployment say.
#[derive(Clone, Debug)]
pub struct Terms {
    pub guard_ms: f64,
    pub drain_grace_ms: f64,
    pub attempts_max: usize,
    pub may_probe: bool,
    pub stay_away_max_ms: f64,
    /// The places that each class may go to; none named: any.
    pub places: BTreeMap<String, Vec<u32>>,
    pub descriptors_max: usize,
    pub memory_max_mb: f64,
    pub cold: ColdTerms,
}

/// How a call server that has just started falls over.
#[derive(Clone, Debug)]
pub struct ColdTerms {
    pub from: f64,
    pub warm_after_ms: f64,
    pub fall_ms: f64,
    pub fall_multiple: f64,
    /// Set-ups a second that a warm call server takes.
    pub capacity_per_s: f64,
}

/// The rule that a break is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    LostRequest,
    SecondAnswer,
    ForeignAnswer,
    Unreadable,
    TwoAttempts,
    Guard,
    TooManyAttempts,
    Drain,
    ColdServer,
    Release,
    AlteredSetUp,
    ForbiddenServer,
    CallerGone,
    Probe,
    Links,
    StayAway,
    Crash,
    Ready,
    Limits,
}

/// A rule was broken.
#[derive(Clone, Debug)]
pub struct Break {
    pub rule: Rule,
    pub call: Option<CallId>,
    pub details: String,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let call = self.call.map_or(String::new(), |call| format!(" call {call:016x}"));
        write!(f, "{:?}{call}: {}", self.rule, self.details)
    }
}

fn broken(rule: Rule, call: impl Into<Option<CallId>>, details: String) -> Break {
    Break { rule, call: call.into(), details }
}

/// All breaks of a trial.
pub fn check(record: &Record, terms: &Terms) -> Vec<Break> {
    let mut breaks = Vec::new();
    for (&call, set_up) in &record.set_ups {
        breaks.extend(lost(record, call, set_up));
        breaks.extend(answers(record, terms, call, set_up));
    }
    for (call, attempts) in record.attempts_by_call() {
        breaks.extend(one_at_a_time(terms, call, &attempts));
        breaks.extend(attempts.iter().flat_map(|a| forwarded(record, terms, a)));
    }
    breaks.extend(record.attempts.iter().filter_map(|a| sent_to_drained(record, terms, a)));
    breaks.extend(record.standing.iter().filter_map(|s| released(record, s)));
    breaks.extend(cold_servers(record, &terms.cold));
    breaks.extend(links(record));
    breaks.extend(processes(record, terms));
    breaks.extend(record.unreadable.iter().map(|what| broken(Rule::Unreadable, None, what.clone())));
    if !terms.may_probe {
        let probed = |(node, server): &(usize, String)| {
            broken(Rule::Probe, None, format!("node {node} tested {server}"))
        };
        breaks.extend(record.tests.iter().map(probed));
    }
    breaks
}

/// A request that was taken has its whole final answer in time, and before its connection ends.
fn lost(record: &Record, call: CallId, set_up: &SetUp) -> Option<Break> {
    let sent_at = set_up.sent_at?;
    let due = sent_at + set_up.wait_ms + LATE_ANSWER_MS + SLACK_MS;
    let answered_at = set_up.finals.first().map(|f| f.at);
    if set_up.given_up_at.is_some_and(|at| at < due) && answered_at.is_none() {
        return None;
    }
    if let Some(at) = answered_at {
        let late = at > due && !is_release_after_kill(record, call, set_up, due);
        return late.then(|| {
            let details = format!("sent at {sent_at:.0}, answered at {at:.0}, due by {due:.0}");
            broken(Rule::LostRequest, call, details)
        });
    }
    let process = record.process_at(set_up.node, sent_at)?;
    let killed_at = process.killed_at.unwrap_or(f64::INFINITY);
    if killed_at < due && !after_stop(process, sent_at) {
        return None;
    }
    if let Some(ended_at) = set_up.connection_ended_at.filter(|&at| at < due) {
        let details =
            format!("sent at {sent_at:.0}, its connection ended at {ended_at:.0}, {}", state(process));
        return Some(broken(Rule::LostRequest, call, details));
    }
    (record.ended_at > due).then(|| {
        let details = format!("sent at {sent_at:.0}, no answer by {due:.0}, {}: {set_up:?}", state(process));
        broken(Rule::LostRequest, call, details)
    })
}

/// The request ended with its killed process before its time, and a call server had answered it: what its caller hears later, from
/// another process, is the release of that call and no answer.
fn is_release_after_kill(record: &Record, call: CallId, set_up: &SetUp, due: f64) -> bool {
    let Some((first, sent_at)) = set_up.finals.first().zip(set_up.sent_at) else { return false };
    let Some(process) = record.process_at(set_up.node, sent_at) else { return false };
    let killed = process.killed_at.is_some_and(|at| at < due) && !after_stop(process, sent_at);
    let later = record.process_at(set_up.node, first.at).is_some_and(|p| p.started_at != process.started_at);
    killed && later && first.kind == FinalKind::Failed && record.given.contains_key(&call)
}

/// The request came so late after SIGTERM that it is lost also if SIGKILL finds it unanswered.
fn after_stop(process: &Process, sent_at: f64) -> bool {
    process.stopped_at.is_some_and(|stopped| sent_at > stopped + STOP_TAKES_MS + SLACK_MS)
}

fn state(process: &Process) -> String {
    let at = |at: Option<f64>| at.map_or("-".to_owned(), |at| format!("{at:.0}"));
    let ended = process.ended.as_ref().map(|(at, _)| *at);
    let (stopped, killed, ended) = (at(process.stopped_at), at(process.killed_at), at(ended));
    format!("node {}: SIGTERM {stopped}, SIGKILL {killed}, end {ended}", process.node)
}

/// One final answer and no more, with a description that a call server gave, and advice within its bounds.
fn answers(record: &Record, terms: &Terms, call: CallId, set_up: &SetUp) -> Vec<Break> {
    let mut breaks = Vec::new();
    if let Some((first, later)) = set_up.finals.split_first()
        && later.iter().any(|f| !is_release_of_earlier_call(record, call, set_up.node, first, f))
    {
        breaks.push(broken(Rule::SecondAnswer, call, format!("{:?}", set_up.finals)));
    }
    for last in &set_up.finals {
        if let FinalKind::Stands { description } = &last.kind
            && !record.given.get(&call).is_some_and(|given| given.contains(description))
        {
            breaks.push(broken(Rule::ForeignAnswer, call, format!("{description:?} at {:.0}", last.at)));
        }
        if let Some(ms) = last.stay_away_ms.filter(|&ms| ms > terms.stay_away_max_ms) {
            breaks.push(broken(Rule::StayAway, call, format!("{ms} ms advised")));
        }
    }
    breaks
}

/// A call stood whose answer was lost, and its node gave the caller another. The process that knew of that is gone: the next
/// one has to pass on the call server's release.
fn is_release_of_earlier_call(
    record: &Record,
    call: CallId,
    node: usize,
    first: &Final,
    later: &Final,
) -> bool {
    let process = |at: f64| record.process_at(node, at).map(|p| p.started_at);
    later.kind == FinalKind::Failed
        && record.given.contains_key(&call)
        && process(first.at) != process(later.at)
}

/// Never two attempts out at once, none within the guard of one that broke, and no more than the settings allow.
fn one_at_a_time(terms: &Terms, call: CallId, attempts: &[&Attempt]) -> Vec<Break> {
    let mut breaks = Vec::new();
    if attempts.len() > terms.attempts_max {
        breaks.push(broken(Rule::TooManyAttempts, call, format!("{} attempts", attempts.len())));
    }
    for pair in attempts.windows(2) {
        let (first, next) = (pair[0], pair[1]);
        let pair = format!(
            "{} at {:.0}, then {} at {:.0}",
            first.server, first.arrived_at, next.server, next.arrived_at
        );
        match first.ended {
            Some((at, AttemptEnd::Broken)) if next.arrived_at >= at => {
                let gap = next.arrived_at - at;
                if gap < terms.guard_ms - SLACK_MS {
                    breaks.push(broken(
                        Rule::Guard,
                        call,
                        format!("{pair}: {gap:.0} ms after the first broke"),
                    ));
                }
            }
            Some((at, _)) if next.arrived_at >= at => {}
            Some((at, how)) => {
                breaks.push(broken(
                    Rule::TwoAttempts,
                    call,
                    format!("{pair}: the first ended at {at:.0}, {how:?}"),
                ));
            }
            None => breaks.push(broken(Rule::TwoAttempts, call, format!("{pair}: the first is out"))),
        }
    }
    breaks
}

/// A set-up goes on as its caller sent it, to a call server that it may go to, while its caller waits.
fn forwarded(record: &Record, terms: &Terms, attempt: &Attempt) -> Vec<Break> {
    let call = attempt.call;
    let Some(set_up) = record.set_ups.get(&call).filter(|s| s.node == attempt.node) else {
        return vec![broken(Rule::AlteredSetUp, call, format!("no caller sent it, at {}", attempt.server))];
    };
    let mut breaks = Vec::new();
    let same = (&set_up.class, &set_up.number, &set_up.description)
        == (&attempt.class, &attempt.number, &attempt.description);
    if !same || attempt.left_ms > set_up.wait_ms {
        breaks.push(broken(Rule::AlteredSetUp, call, format!("sent {set_up:?}, arrived {attempt:?}")));
    }
    let places = terms.places.get(&attempt.class);
    if places.is_some_and(|places| !places.is_empty() && !places.contains(&attempt.place)) {
        breaks.push(broken(
            Rule::ForbiddenServer,
            call,
            format!("{} has place {}", attempt.server, attempt.place),
        ));
    }
    if let Some(at) = set_up.given_up_at.filter(|at| attempt.arrived_at > at + GONE_MS + SLACK_MS) {
        let details = format!("given up at {at:.0}, sent to {} at {:.0}", attempt.server, attempt.arrived_at);
        breaks.push(broken(Rule::CallerGone, call, details));
    }
    breaks
}

/// When a node counts as told of a list event.
fn told_at(record: &Record, node: usize, event: usize, process: &Process) -> f64 {
    let happened = record.list[event].at;
    if process.started_at >= happened {
        return process.started_at;
    }
    let sent = record.told.iter().find(|t| t.node == node && t.events > event && t.at >= process.started_at);
    let outage =
        record.outages.iter().find(|o| o.node == node && o.from <= happened + TOLD_MS && o.to >= happened);
    let latest = outage.map_or(happened + TOLD_MS, |o| o.to.max(happened) + TOLD_AFTER_OUTAGE_MS);
    sent.map_or(f64::INFINITY, |t| t.at).min(latest).min(happened + TOLD_ANYWAY_MS)
}

/// Nothing new goes to a call server that drains or is gone, once the node has been told for long enough.
fn sent_to_drained(record: &Record, terms: &Terms, attempt: &Attempt) -> Option<Break> {
    let process = record.process_at(attempt.node, attempt.arrived_at)?;
    let mut events = record
        .list
        .iter()
        .enumerate()
        .filter(|(_, e)| e.server == attempt.server && e.at <= attempt.arrived_at);
    let (event, last) = events.next_back()?;
    if last.change == ListChange::Started {
        return None;
    }
    // An earlier drain may be told sooner than the removal that followed it.
    let first = (0..=event).rev().take_while(|&i| {
        record.list[i].server != attempt.server || record.list[i].change != ListChange::Started
    });
    let first = first.filter(|&i| record.list[i].server == attempt.server).last()?;
    let told = told_at(record, attempt.node, first, process);
    (attempt.arrived_at > told + terms.drain_grace_ms + SLACK_MS).then(|| {
        let details = format!(
            "sent to {} at {:.0}, {:?} was told at {told:.0}",
            attempt.server, attempt.arrived_at, record.list[first].change
        );
        broken(Rule::Drain, attempt.call, details)
    })
}

/// The end of a call that stood is released towards its caller in time.
fn released(record: &Record, standing: &Standing) -> Option<Break> {
    let set_up = record.set_ups.get(&standing.call)?;
    let answer = FinalKind::Stands { description: standing.description.clone() };
    // A caller that heard of no answer, or of another server's, knows of no call there.
    let answered = set_up.finals.iter().any(|f| f.kind == answer);
    if !answered || set_up.released_at.is_some() {
        return None;
    }
    let (ended_at, how) = standing.ended?;
    let from = match (how, standing.release_written_at) {
        (StandingEnd::ByNode, _) => Some(ended_at),
        // Two processes are one node: what its call server told either of them is told.
        (StandingEnd::Released, _) if record.in_hand_over(set_up.node, ended_at, 0.0) => Some(ended_at),
        (_, written) => written,
    };
    let due = from.map_or(ended_at + UNTOLD_RELEASE_MS, |at| (at + RELEASE_MS).max(ended_at)) + SLACK_MS;
    let due = due.max(reachable_from(record, set_up.node, ended_at) + RELEASE_MS + SLACK_MS);
    // The process that knew of the call is gone: only the call server's release can tell the next one.
    let forgotten = from.is_none()
        && record.processes.iter().any(|p| p.node == set_up.node && p.started_at > standing.since);
    if forgotten || due > record.ended_at || set_up.release_read_at.is_some_and(|at| at <= due) {
        return None;
    }
    let read = set_up.release_read_at.map_or("never".to_owned(), |at| format!("{at:.0}"));
    let details = format!(
        "node {}, stood at {} from {:.0}, ended at {ended_at:.0} ({how:?}), release written {:?}, read {read}, due by {due:.0}",
        set_up.node, standing.server, standing.since, standing.release_written_at
    );
    Some(broken(Rule::Release, standing.call, details))
}

/// When a caller could be told at the earliest: from then on one was connected to a process that goes on for a while.
fn reachable_from(record: &Record, node: usize, ended_at: f64) -> f64 {
    let own = record.caller_connections.iter().filter(|c| c.node == node);
    let lasts = |c: &&CallerConnection| {
        let from = c.opened_at.max(ended_at);
        let until = c.closed_at.unwrap_or(f64::INFINITY);
        let process = record.process_at(node, c.opened_at);
        let stopped = process.and_then(|p| p.stopped_at.or(p.killed_at)).unwrap_or(f64::INFINITY);
        until.min(stopped) >= from + RELEASE_MS
    };
    own.filter(lasts).map(|c| c.opened_at.max(ended_at)).fold(f64::INFINITY, f64::min)
}

/// Nodes that were told of a cold start do not push the server over.
fn cold_servers(record: &Record, terms: &ColdTerms) -> Vec<Break> {
    let mut breaks = Vec::new();
    let mut by_start: BTreeMap<(&str, u64), Vec<&Attempt>> = BTreeMap::new();
    for attempt in &record.attempts {
        if let Some(since) =
            attempt.cold_since.filter(|since| attempt.arrived_at < since + terms.warm_after_ms)
        {
            by_start.entry((&attempt.server, since as u64)).or_default().push(attempt);
        }
    }
    for ((server, _), attempts) in by_start {
        for (i, first) in attempts.iter().enumerate() {
            let window = attempts[i..].iter().take_while(|a| a.arrived_at < first.arrived_at + terms.fall_ms);
            let (sent, since) = (window.count() as f64, first.cold_since.unwrap_or_default());
            let warm = (first.arrived_at - since) / terms.warm_after_ms;
            let now = terms.capacity_per_s * (terms.from + (1.0 - terms.from) * warm.clamp(0.0, 1.0));
            let allowed = terms.fall_multiple * now * terms.fall_ms / 1000.0;
            let roots = if allowed < 30.0 { 3.0 } else { 2.0 };
            if sent > allowed + roots * allowed.sqrt() + roots {
                let details =
                    format!("{server}: {sent} set-ups from {:.0}, {allowed:.0} allowed", first.arrived_at);
                breaks.push(broken(Rule::ColdServer, first.call, details));
                break;
            }
        }
    }
    breaks
}

/// A node has few connections to a call server at once.
fn links(record: &Record) -> Vec<Break> {
    let mut breaks = Vec::new();
    for (i, link) in record.links.iter().enumerate() {
        // One that ends as the next opens is not counted: its end may be read later.
        let at = link.opened_at + SLACK_MS;
        let open = |other: &&Link| {
            (other.node, &other.server) == (link.node, &link.server)
                && other.opened_at <= link.opened_at
                && other.closed_at.unwrap_or(f64::INFINITY) > at
        };
        let open = record.links[..=i].iter().filter(open).count();
        if open > LINKS_MAX && !record.in_hand_over(link.node, link.opened_at, HAND_OVER_LINKS_MS) {
            let details =
                format!("node {} has {open} to {} at {:.0}", link.node, link.server, link.opened_at);
            breaks.push(broken(Rule::Links, None, details));
        }
    }
    breaks
}

/// Processes start in time, end only when told to, and stay within their limits.
fn processes(record: &Record, terms: &Terms) -> Vec<Break> {
    let mut breaks = Vec::new();
    for process in &record.processes {
        let (node, started_at) = (process.node, process.started_at);
        if let Some((at, how)) = &process.ended
            && process.killed_at.is_none()
            && (process.stopped_at.is_none() || how != "exit status: 0")
        {
            breaks.push(broken(Rule::Crash, None, format!("node {node} ended at {at:.0}: {how}")));
        }
        let ready_by = started_at + READY_MS;
        let cut_short = [process.stopped_at, process.killed_at].into_iter().flatten().any(|at| at < ready_by);
        let late = process.ready_at.is_none_or(|at| at > ready_by);
        if late && !cut_short && record.ended_at > ready_by {
            breaks.push(broken(
                Rule::Ready,
                None,
                format!("node {node}, started at {started_at:.0}: {:?}", process.ready_at),
            ));
        }
        let (descriptors, memory_mb) = (process.most_descriptors, process.most_memory_mb);
        if descriptors > terms.descriptors_max || memory_mb > terms.memory_max_mb {
            breaks.push(broken(
                Rule::Limits,
                None,
                format!("node {node}: {descriptors} descriptors, {memory_mb:.0} MB"),
            ));
        }
    }
    breaks
}
