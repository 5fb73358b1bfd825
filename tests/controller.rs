//! The rules and the answers to each failure found, through the public interface.

use corkreach::*;
use std::collections::{BTreeMap, BTreeSet};

const GUARD: f64 = 300.0;

fn settings() -> Settings {
    Settings {
        siblings: 5,
        classes: vec![Class { target_ms: 1500.0, deadline_ms: 9000.0, worth: 1.0, late_worth: 0.2 }],
        over_share_worth: 0.1,
        reporting: Reporting::Answers,
        may_cancel: true,
        max_attempts: 4,
        guard_ms: GUARD,
        resend_ms: 400.0,
        cold_from: 0.3,
        cold_ms: 14_000.0,
        fall_multiple: 2.5,
        fall_ms: 2000.0,
        ..Settings::default()
    }
}

/// A controller, its timers, and what it has done.
struct Rig {
    controller: Controller,
    now: f64,
    timers: Vec<(f64, u64)>,
    /// Actions since last taken.
    done: Vec<Action>,
    next_call: u64,
}

impl Rig {
    fn new(settings: Settings, servers: u64) -> Rig {
        let controller = Controller::new(settings, 11, 0.0);
        let mut rig = Rig { controller, now: 0.0, timers: Vec::new(), done: Vec::new(), next_call: 0 };
        let entries = (0..servers).map(|n| entry(n, Listed::Ready, None)).collect();
        rig.give(Event::Servers { complete: true, entries });
        rig.done.clear();
        rig
    }

    fn give(&mut self, event: Event) {
        let mut out = Vec::new();
        self.controller.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Timer { at, token } => self.timers.push((at, token)),
                other => self.done.push(other),
            }
        }
    }

    /// Moves the clock, a tick at a time, giving the timers that fall due.
    fn run_until(&mut self, end: f64) {
        while self.now < end {
            self.now += 5.0;
            let now = self.now;
            let (due, rest): (Vec<_>, Vec<_>) = self.timers.drain(..).partition(|t| t.0 <= now);
            self.timers = rest;
            due.into_iter().for_each(|(_, token)| self.give(Event::Timer(token)));
        }
    }

    fn call_of(&mut self, class: usize, customer: usize) -> CallId {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let first_choice = Some(0);
        self.give(Event::Call(Call {
            id,
            class,
            customer,
            expires_in_ms: 3000.0,
            first_choice,
            ..Call::default()
        }));
        id
    }

    fn call(&mut self) -> CallId {
        self.call_of(0, 0)
    }

    fn ended(&mut self, call: CallId, server: u64, outcome: Outcome) {
        let report = LoadReport::default();
        self.give(Event::Ended { call, server: ServerId(server), outcome, closed: false, report });
    }

    fn stands(&mut self, call: CallId, server: u64, after_ms: f64) {
        self.give(Event::Standing { call, server: ServerId(server), after_ms });
    }

    fn report(&mut self, server: u64, report: LoadReport) {
        self.give(Event::Probed { server: ServerId(server), outcome: ProbeOutcome::Answered, report });
    }

    /// Servers sent to since last asked; other actions are dropped.
    fn sends(&mut self) -> Vec<u64> {
        let sent = |a: Action| if let Action::Send { server, .. } = a { Some(server.0) } else { None };
        self.done.drain(..).filter_map(sent).collect()
    }

    /// Share of `n` calls refused at this moment; those sent stand at once.
    fn refused_share(&mut self, n: u32) -> f64 {
        let mut refused = 0;
        for _ in 0..n {
            self.done.clear();
            let id = self.call();
            match self.sends().first() {
                Some(&server) => self.stands(id, server, 40.0),
                None => refused += 1,
            }
        }
        f64::from(refused) / f64::from(n)
    }
}

fn entry(n: u64, state: Listed, started_at: Option<f64>) -> ServerEntry {
    ServerEntry { id: ServerId(n), place: n as u32, state, started_at }
}

fn wait(ms: f64) -> LoadReport {
    LoadReport { wait_ms: Some(ms), ..LoadReport::default() }
}

fn hold_back(share: f64) -> LoadReport {
    LoadReport { hold_back: Some(share), ..LoadReport::default() }
}

// ---- the ordinary path ----

#[test]
fn first_choice_then_fewest_unanswered() {
    let mut rig = Rig::new(settings(), 3);
    rig.call();
    assert_eq!(rig.sends(), [0]);
    let id = rig.call();
    rig.done.clear();
    rig.ended(id, 0, Outcome::ProcessorFull { wait_ms: None });
    let second = rig.sends();
    assert!(second == [1] || second == [2], "just heard full: a second choice");
    rig.call();
    assert_eq!(rig.sends(), [3 - second[0]], "first still full: the one with fewest unanswered");
}

/// Calls turned away until one is sent, which is left unanswered; 300 if none is.
fn until_sent(rig: &mut Rig) -> (usize, CallId) {
    rig.sends();
    let mut id = CallId(0);
    let sent = (0..300).find(|_| {
        id = rig.call();
        !rig.sends().is_empty()
    });
    (sent.unwrap_or(300), id)
}

#[test]
fn a_wait_met_here_is_kept_against_late_reports_until_a_set_up_meets_a_shorter() {
    for told in [true, false] {
        let mut rig = Rig::new(settings(), 1);
        let (quick, slow) = (rig.call(), rig.call());
        rig.stands(quick, 0, 40.0);
        match told {
            true => rig.ended(slow, 0, Outcome::ProcessorFull { wait_ms: Some(900.0) }),
            false => rig.stands(slow, 0, 940.0),
        }
        rig.run_until(300.0);
        rig.report(0, wait(3.0));
        let (refused, sent) = until_sent(&mut rig);
        assert!((5..300).contains(&refused), "closed but for what b's cap lets in: {refused}");
        rig.stands(sent, 0, 40.0);
        let share = rig.refused_share(1000);
        assert!(share < 0.25, "an answer in time overrules it: {share}");
    }
}

#[test]
fn a_stalled_servers_figure_does_not_shut_it_for_seconds() {
    let mut rig = Rig::new(settings(), 1);
    let id = rig.call();
    rig.ended(id, 0, Outcome::ProcessorFull { wait_ms: Some(5000.0) });
    rig.report(0, wait(471_302_240.0));
    rig.run_until(1100.0);
    let share = rig.refused_share(1000);
    assert!(share < 0.4, "a stall says nothing of its line: {share}");
}

#[test]
fn hold_back_is_the_share_refused_and_halves_in_silence() {
    let mut rig = Rig::new(settings(), 1);
    rig.report(0, hold_back(0.6));
    let share = rig.refused_share(4000);
    assert!((share - 0.6).abs() < 0.04, "{share}");
    rig.run_until(1100.0);
    let share = rig.refused_share(4000);
    assert!((share - 0.3).abs() < 0.04, "halved after a second: {share}");
    rig.report(0, hold_back(0.6));
    let share = rig.refused_share(4000);
    assert!((share - 0.3).abs() < 0.04, "a repeat is no report: {share}");
}

#[test]
fn a_fresh_report_counts_once_by_the_formula() {
    let mut rig = Rig::new(settings(), 1);
    let used = |u| LoadReport { utilisation: Some(u), ..LoadReport::default() };
    for _ in 0..5 {
        rig.report(0, used(1.0));
    }
    let share = rig.refused_share(4000);
    assert!((share - 0.2048).abs() < 0.04, "one update by u = 1: {share}");
    rig.report(0, used(0.0));
    assert_eq!(rig.refused_share(200), 0.0, "no load: nothing is refused");
}

#[test]
fn servers_heard_of_stand_in_for_one_that_is_not_until_they_too_fall_silent() {
    let mut rig = Rig::new(Settings { siblings: 300, ..settings() }, 10);
    rig.run_until(5000.0);
    (1..10).for_each(|n| rig.report(n, hold_back(0.95)));
    let refused = until_sent(&mut rig).0;
    assert!((4..300).contains(&refused), "the one not heard of is as pressed as the rest: {refused}");
    let mut rig = Rig::new(Settings { siblings: 300, ..settings() }, 10);
    (1..10).for_each(|n| rig.report(n, hold_back(0.95)));
    rig.run_until(9000.0);
    assert_eq!(until_sent(&mut rig).0, 0, "nothing was heard for long");
}

/// Nothing is kept of a server that is gone: on a long day they come and go under ever new ids.
#[test]
fn a_server_that_is_gone_is_forgotten() {
    let mut rig = Rig::new(settings(), 1);
    rig.report(0, hold_back(0.6));
    rig.give(Event::Servers { complete: true, entries: vec![] });
    rig.give(Event::Servers { complete: true, entries: vec![entry(0, Listed::Ready, None)] });
    assert_eq!(rig.refused_share(200), 0.0);
}

#[test]
fn two_fulls_within_200_ms_count_once() {
    let mut rig = Rig::new(Settings { max_attempts: 1, ..settings() }, 1);
    let (a, b) = (rig.call(), rig.call());
    rig.ended(a, 0, Outcome::ProcessorFull { wait_ms: None });
    rig.ended(b, 0, Outcome::ProcessorFull { wait_ms: None });
    rig.run_until(300.0);
    let share = rig.refused_share(4000);
    assert!((share - 0.2048).abs() < 0.04, "{share}");
}

#[test]
fn lines_told_unasked_are_no_report() {
    let mut rig = Rig::new(settings(), 1);
    rig.report(0, hold_back(0.6));
    let lines = LoadReport { free_lines: Some(50.0), ..LoadReport::default() };
    rig.give(Event::Lines { server: ServerId(0), report: lines });
    let share = rig.refused_share(1000);
    assert!(share > 0.4, "{share}");
}

#[test]
fn refusal_falls_on_the_least_worth_while_the_mean_stays_b() {
    let dear = Class { target_ms: 1000.0, deadline_ms: 6000.0, worth: 8.0, late_worth: 0.1 };
    let mut with_dear = settings();
    with_dear.classes.push(dear);
    let mut rig = Rig::new(with_dear, 1);
    rig.report(0, hold_back(0.5));
    let (mut refused, mut refused_dear, n) = (0, 0, 4000);
    for i in 0..n {
        let class = usize::from(i % 4 == 0);
        rig.done.clear();
        let id = rig.call_of(class, 0);
        match rig.sends().first() {
            Some(&server) => rig.stands(id, server, 40.0),
            None => {
                refused += 1;
                refused_dear += class;
            }
        }
    }
    let share = f64::from(refused) / f64::from(n);
    assert!((share - 0.5).abs() < 0.04, "{share}");
    assert!(refused_dear <= 5, "{refused_dear} dear calls refused");
}

/// Guards against set-ups at call servers that the settings name for other classes alone.
#[test]
fn a_class_goes_only_to_the_places_that_it_may_go_to() {
    let barred_places = vec![vec![0, 2], vec![]];
    let classes = vec![settings().classes[0]; 2];
    let mut rig = Rig::new(Settings { barred_places, classes, ..settings() }, 3);
    let sent = |rig: &mut Rig, class: usize| -> BTreeSet<u64> {
        let mut servers = BTreeSet::new();
        for _ in 0..100 {
            rig.run_until(rig.now + 50.0);
            rig.done.clear();
            let id = rig.call_of(class, 0);
            for server in rig.sends() {
                servers.insert(server);
                rig.stands(id, server, 40.0);
            }
        }
        servers
    };
    assert_eq!(sent(&mut rig, 0), BTreeSet::from([1]), "though it names place 0 first");
    assert!(sent(&mut rig, 1).contains(&0), "the other class may go anywhere");
}

#[test]
fn calls_beyond_a_share_go_first() {
    let customers = vec![Customer { quota_per_s: 5000.0 }, Customer { quota_per_s: 5.0 }];
    let mut rig = Rig::new(Settings { customers, ..settings() }, 1);
    rig.report(0, hold_back(0.3));
    let mut refused = [0, 0];
    for i in 0..2000 {
        rig.run_until(rig.now + 5.0);
        if i % 100 == 0 {
            rig.report(0, hold_back(0.3 + f64::from(i % 200) * 1e-6));
        }
        let customer = usize::from(i % 2 == 0);
        rig.done.clear();
        let id = rig.call_of(0, customer);
        match rig.sends().first() {
            Some(&server) => rig.stands(id, server, 40.0),
            None => refused[customer] += 1,
        }
    }
    assert!(refused[1] > 400 && refused[0] < 60, "{refused:?}");
}

// ---- the rules ----

#[test]
fn one_attempt_out_and_one_final_answer_in_time() {
    let mut rig = Rig::new(settings(), 2);
    let id = rig.call();
    rig.run_until(2995.0);
    let sends = rig.done.iter().filter(|a| matches!(a, Action::Send { .. })).count();
    assert_eq!(sends, 1, "nobody said that the first attempt ended");
    rig.run_until(3010.0);
    let answers =
        |rig: &Rig| rig.done.iter().filter(|a| matches!(a, Action::Fail(_) | Action::Refuse { .. })).count();
    assert_eq!(answers(&rig), 1);
    rig.ended(id, 0, Outcome::TimedOut);
    rig.run_until(6000.0);
    assert_eq!(answers(&rig), 1);
    assert_eq!(rig.sends().len(), 1, "nothing goes out after the answer");
}

#[test]
fn guard_after_reset_and_timeout_but_not_after_full() {
    for outcome in [Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled] {
        let mut rig = Rig::new(settings(), 2);
        let id = rig.call();
        rig.run_until(100.0);
        rig.done.clear();
        rig.ended(id, 0, outcome);
        rig.run_until(100.0 + GUARD - 5.0);
        assert!(rig.sends().is_empty(), "{outcome:?}: within the guard");
        rig.run_until(100.0 + GUARD + 60.0);
        assert_eq!(rig.sends().len(), 1, "{outcome:?}: after the guard");
    }
}

#[test]
fn attempts_are_capped() {
    let mut rig = Rig::new(Settings { max_attempts: 2, ..settings() }, 4);
    let id = rig.call();
    rig.ended(id, 0, Outcome::NoLine);
    rig.ended(id, 1, Outcome::NoLine);
    assert!(rig.done.contains(&Action::Fail(id)));
    assert_eq!(rig.sends().len(), 2);
}

#[test]
fn a_draining_or_vanished_server_gets_nothing_new() {
    let mut rig = Rig::new(settings(), 2);
    rig.give(Event::Servers { complete: false, entries: vec![entry(0, Listed::Draining, None)] });
    rig.call();
    assert_eq!(rig.sends(), [1]);
    // A complete list without it removes a server.
    rig.give(Event::Servers { complete: true, entries: vec![entry(0, Listed::Ready, None)] });
    rig.call();
    assert_eq!(rig.sends(), [0]);
}

#[test]
fn a_cold_server_is_kept_within_its_part() {
    // A warm rate of 4 calls a second; then the server restarts and every call wants it.
    let mut rig = Rig::new(settings(), 1);
    for _ in 0..20 {
        rig.run_until(rig.now + 250.0);
        let id = rig.call();
        rig.stands(id, 0, 40.0);
    }
    let start = rig.now;
    let entries = vec![entry(0, Listed::Ready, Some(start))];
    rig.give(Event::Servers { complete: false, entries });
    rig.done.clear();
    for _ in 0..200 {
        rig.run_until(rig.now + 10.0);
        let id = rig.call();
        rig.stands(id, 0, 40.0);
    }
    let sent = rig.sends().len();
    // In its first 2 s it can do 0.3 to 0.4 of the usual 8, and half as much again is the most that is sent.
    assert!((1..=5).contains(&sent), "{sent}");
}

#[test]
fn a_cold_server_takes_its_share_of_the_usual_rate() {
    let mut rig = Rig::new(settings(), 2);
    // 4 calls a second stand at the other server, which stays warm.
    rig.give(Event::Servers { complete: false, entries: vec![entry(0, Listed::Draining, None)] });
    for _ in 0..20 {
        rig.run_until(rig.now + 250.0);
        let id = rig.call();
        rig.stands(id, 1, 40.0);
    }
    let start = rig.now;
    rig.give(Event::Servers { complete: false, entries: vec![entry(0, Listed::Ready, Some(start))] });
    rig.done.clear();
    let mut to_cold = 0;
    for _ in 0..20 {
        rig.run_until(rig.now + 100.0);
        let id = rig.call();
        let sent = rig.sends();
        to_cold += sent.iter().filter(|&&s| s == 0).count();
        sent.first().into_iter().for_each(|&s| rig.stands(id, s, 40.0));
    }
    // 20 calls want it in its first 2 s, when it can do 0.3 to 0.4 of the usual 8, and half as much again is
    // the most that is sent.
    assert!((1..=7).contains(&to_cold), "{to_cold}");
}

// ---- failures found ----

#[test]
fn without_a_free_line_no_more_goes_than_is_freed() {
    let mut rig = Rig::new(settings(), 1);
    for _ in 0..80 {
        rig.run_until(rig.now + 250.0);
        let id = rig.call();
        rig.stands(id, 0, 40.0);
    }
    let none = LoadReport { free_lines: Some(0.0), ..LoadReport::default() };
    rig.give(Event::Lines { server: ServerId(0), report: none });
    rig.done.clear();
    let mut sent = 0;
    for _ in 0..200 {
        rig.run_until(rig.now + 50.0);
        let id = rig.call();
        if let Some(&server) = rig.sends().first() {
            rig.stands(id, server, 40.0);
            sent += 1;
        }
    }
    // 4 a second are freed; 200 calls in 10 s want them.
    assert!((10..70).contains(&sent), "{sent}");
    let id =
        std::iter::repeat_with(|| (rig.call(), !rig.sends().is_empty())).find(|c| c.1).expect("one goes").0;
    rig.ended(id, 0, Outcome::NoLine);
    rig.done.clear();
    rig.call();
    assert_eq!(rig.sends(), [0; 0], "just heard that there is none");
}

#[test]
fn work_in_hand_closes_a_server_until_it_is_worked_off() {
    // A line of 2 s; at 2.5 s b, one step by the formula, has halved twice and the line is empty.
    for (at, closed) in [(0.0, true), (1200.0, true), (2500.0, false)] {
        let mut rig = Rig::new(settings(), 1);
        rig.report(0, wait(2000.0));
        rig.run_until(at);
        let share = rig.refused_share(400);
        assert!(if closed { share > 0.9 } else { share < 0.2 }, "at {at}: {share}");
    }
}

#[test]
fn a_server_that_answers_nothing_gets_trials_alone() {
    let mut rig = Rig::new(settings(), 2);
    let mut to_hung = 0;
    for _ in 0..200 {
        rig.run_until(rig.now + 50.0);
        rig.call();
        for action in std::mem::take(&mut rig.done) {
            match action {
                Action::Cancel { call, .. } => rig.ended(call, 0, Outcome::Cancelled),
                Action::Send { call, server: ServerId(1), .. } => rig.stands(call, 1, 40.0),
                Action::Send { .. } => to_hung += usize::from(rig.now > 2000.0),
                _ => {}
            }
        }
    }
    // 160 calls in 8 s wanted the hung server; about one a second may try it.
    assert!((1..=10).contains(&to_hung), "{to_hung}");
}

#[test]
fn a_call_at_a_silent_server_goes_elsewhere_in_time() {
    let mut rig = Rig::new(settings(), 2);
    let id = rig.call();
    assert_eq!(rig.sends(), [0]);
    rig.run_until(1650.0);
    assert!(rig.done.contains(&Action::Cancel { call: id, attempt: 0 }));
    rig.done.clear();
    rig.ended(id, 0, Outcome::Cancelled);
    rig.run_until(2000.0);
    assert_eq!(rig.sends(), [1]);
}

#[test]
fn a_set_up_cut_or_unconnected_leaves_the_server_to_trials() {
    for outcome in [Outcome::Reset, Outcome::NotConnected] {
        let mut rig = Rig::new(settings(), 2);
        let id = rig.call();
        rig.ended(id, 0, outcome);
        rig.done.clear();
        rig.call();
        assert_eq!(rig.sends(), [1], "{outcome:?}");
    }
}

/// Errors of one call say more of the call than of the servers: bad calls must not close the servers to good ones.
#[test]
fn a_second_error_ends_the_call_and_clears_its_first_server() {
    let mut rig = Rig::new(settings(), 2);
    for _ in 0..10 {
        let id = rig.call();
        assert_eq!(rig.sends(), [0]);
        rig.ended(id, 0, Outcome::Fault);
        assert_eq!(rig.sends(), [1], "the first error may be the server's");
        rig.ended(id, 1, Outcome::Fault);
        assert_eq!(rig.done, [Action::Fail(id)]);
        rig.done.clear();
    }
    for _ in 0..4 {
        let id = rig.call();
        rig.ended(id, 0, Outcome::Fault);
        rig.stands(id, 1, 40.0);
    }
    rig.done.clear();
    rig.call();
    assert_eq!(rig.sends(), [1], "so many errors in a row that others do not see are the server's");
}

/// Set-ups on their way are no queue at a server that says it takes them quickly.
#[test]
fn a_server_that_takes_many_is_not_closed_by_those_on_their_way() {
    let mut rig = Rig::new(settings(), 1);
    let take = |n| LoadReport { wait_ms: Some(1.0), can_take: Some(n), ..LoadReport::default() };
    rig.report(0, take(400.0));
    let calls: Vec<CallId> = (0..4).map(|_| rig.call()).collect();
    assert_eq!(rig.sends().len(), calls.len());
    assert_eq!(rig.refused_share(1000), 0.0);
    rig.report(0, take(10.0));
    assert!(rig.refused_share(1000) > 0.5, "there four are a long wait");
}

/// An answer that goes astray is no line: those behind it were answered. It must not close its server, as nothing
/// would be sent then to show that it was lost.
#[test]
fn a_set_up_overtaken_by_its_successor_closes_nothing() {
    let mut rig = Rig::new(settings(), 1);
    rig.call();
    rig.run_until(60.0);
    let next = rig.call();
    rig.stands(next, 0, 40.0);
    rig.run_until(900.0);
    rig.done.clear();
    rig.call();
    assert_eq!(rig.sends(), [0]);
}

/// One overtaken by more than journeys differ by is lost: called off at once, it can still stand within its aim. If its
/// connection broke instead, the one that overtook it shows that the server lives.
#[test]
fn a_set_up_overtaken_by_far_is_called_off_and_says_nothing_of_its_server() {
    let mut rig = Rig::new(settings(), 1);
    let lost = rig.call();
    rig.run_until(140.0);
    let later = rig.call();
    rig.stands(later, 0, 40.0);
    rig.run_until(300.0);
    assert!(rig.done.contains(&Action::Cancel { call: lost, attempt: 0 }));
    rig.sends();
    rig.ended(lost, 0, Outcome::Reset);
    rig.run_until(600.0);
    assert_eq!(rig.sends(), [0], "again, after the guard");
}

#[test]
fn a_failed_probe_is_a_full_line() {
    let mut rig = Rig::new(settings(), 2);
    let report = LoadReport::default();
    rig.give(Event::Probed { server: ServerId(0), outcome: ProbeOutcome::Failed, report });
    let mut first = 0;
    for _ in 0..100 {
        let id = rig.call();
        let sent = rig.sends();
        first += sent.iter().filter(|&&s| s == 0).count();
        sent.first().into_iter().for_each(|&s| rig.stands(id, s, 40.0));
    }
    assert!(first < 50, "{first}");
}

#[test]
fn unanswered_set_ups_are_read_as_a_queue() {
    let mut rig = Rig::new(settings(), 2);
    let id = rig.call();
    rig.stands(id, 0, 60.0);
    rig.done.clear();
    for _ in 0..20 {
        rig.call();
    }
    let sent = rig.sends();
    let first = sent.iter().filter(|&&s| s == 0).count();
    assert!(first < 12, "20 calls at once, {first} to the first choice");
}

// ---- odd events ----

/// Random events, legal and not: never a panic, never two attempts out, never an answer twice, and the same
/// events give the same actions.
fn storm(seed: u64) -> Vec<Action> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let odd = [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 5.0, 400.0, 2500.0];
    let pick = |rng: &mut fastrand::Rng| odd[rng.usize(..odd.len())];
    let mut s = settings();
    if seed.is_multiple_of(3) {
        s = Settings { max_attempts: 2, classes: vec![], resend_ms: pick(&mut rng), ..Settings::default() };
        s.cold_ms = pick(&mut rng);
        s.fall_ms = pick(&mut rng);
        s.guard_ms = pick(&mut rng);
    }
    let max_attempts = s.max_attempts as usize;
    let mut rig = Rig::new(s, 3);
    let (mut all, mut out): (Vec<Action>, BTreeMap<CallId, u64>) = (Vec::new(), BTreeMap::new());
    let (mut answered, mut attempts) = (BTreeSet::new(), BTreeMap::<CallId, usize>::new());
    for _ in 0..1500 {
        rig.run_until(rig.now + 5.0 * rng.f64());
        let call = CallId(rng.u64(..rig.next_call + 2));
        let server = ServerId(rng.u64(..5));
        let report = LoadReport {
            free_lines: Some(pick(&mut rng)),
            lines: rng.bool().then(|| pick(&mut rng)),
            queue: Some(pick(&mut rng)),
            utilisation: rng.bool().then(|| pick(&mut rng)),
            wait_ms: Some(pick(&mut rng)),
            hold_back: rng.bool().then(|| pick(&mut rng)),
            can_take: rng.bool().then(|| pick(&mut rng)),
        };
        match rng.u8(..9) {
            0 => {
                let state = [Listed::Ready, Listed::Draining, Listed::Gone][rng.usize(..3)];
                let entries = vec![entry(server.0, state, Some(pick(&mut rng)))];
                rig.give(Event::Servers { complete: rng.u8(..8) == 0, entries });
            }
            1..=3 => {
                rig.call_of(rng.usize(..3), rng.usize(..3));
            }
            4 => rig.give(Event::CallerLeft(CallId(u64::MAX))),
            5 => {
                let ends = [ProbeOutcome::Answered, ProbeOutcome::TurnedAway, ProbeOutcome::Failed];
                rig.give(Event::Probed { server, outcome: ends[rng.usize(..3)], report });
            }
            6 => rig.give(Event::Told { server, report }),
            7 => rig.give(Event::Timer(rng.u64(..))),
            _ => {
                // An attempt that is out ends, as the host would tell it.
                if let Some((&call, &server)) = out.range(call..).next() {
                    out.remove(&call);
                    let outcome =
                        [Outcome::Reset, Outcome::NoLine, Outcome::Fault, Outcome::TimedOut][rng.usize(..4)];
                    let server = ServerId(server);
                    rig.give(Event::Ended { call, server, outcome, closed: false, report });
                }
            }
        }
        for action in rig.done.drain(..) {
            match &action {
                Action::Send { call, server, .. } => {
                    assert!(!answered.contains(call), "sent after its answer");
                    assert!(out.insert(*call, server.0).is_none(), "two attempts out");
                    *attempts.entry(*call).or_default() += 1;
                    assert!(attempts[call] <= max_attempts);
                }
                Action::Refuse { call, .. } | Action::Fail(call) => assert!(answered.insert(*call)),
                _ => {}
            }
            all.push(action);
        }
    }
    all
}

#[test]
fn odd_events_break_nothing_and_repeat_alike() {
    for seed in 0..60 {
        let once = format!("{:?}", storm(seed));
        assert_eq!(once, format!("{:?}", storm(seed)));
    }
}

#[test]
fn a_redial_past_its_aim_ranks_behind_first_tries() {
    let mut rig = Rig::new(settings(), 1);
    let dial = |rig: &mut Rig, number: u64| {
        let id = CallId(rig.next_call);
        rig.next_call += 1;
        rig.done.clear();
        rig.give(Event::Call(Call { id, number: Some(number), expires_in_ms: 3000.0, ..Call::default() }));
        let sent = !rig.sends().is_empty();
        if sent {
            rig.stands(id, 0, 40.0);
        }
        sent
    };
    rig.report(0, hold_back(0.95));
    let turned_away: Vec<u64> = (1..=300).filter(|&n| !dial(&mut rig, n)).collect();
    rig.run_until(2000.0);
    rig.report(0, hold_back(0.5));
    let (mut first, mut again) = (0, 0);
    for &n in turned_away.iter().take(200) {
        again += u32::from(dial(&mut rig, n));
        first += u32::from(dial(&mut rig, n + 10_000));
    }
    assert!(first > 150 && again < 60, "{first} first tries let in, {again} redials");
}

#[test]
fn a_lost_set_up_neither_closes_its_server_nor_keeps_its_call() {
    for reported in [false, true] {
        let mut rig = Rig::new(settings(), 1);
        let lost = rig.call();
        if !reported {
            // A later one is answered: the line has passed the first.
            rig.run_until(320.0);
            rig.sends();
            let later = (0..50).find_map(|_| {
                let id = rig.call();
                (!rig.sends().is_empty()).then_some(id)
            });
            rig.stands(later.expect("the line is not closed yet"), 0, 40.0);
        }
        rig.run_until(1000.0);
        let called_off = Action::Cancel { call: lost, attempt: 0 };
        assert_eq!(rig.done.contains(&called_off), !reported, "nothing is heard yet: {reported}");
        if reported {
            // A wait so short says the same, unless its report is late.
            rig.report(0, wait(3.0));
            rig.run_until(1800.0);
            assert!(!rig.done.contains(&called_off));
            rig.run_until(2000.0);
            rig.report(0, wait(2.0));
            rig.run_until(2100.0);
            assert!(rig.done.contains(&called_off));
        }
        assert!(rig.refused_share(50) < 0.1);
    }
}

/// An answer that went astray leaves its set-up unanswered. With nothing else out, none overtakes it; a report of a short
/// line shows that it waits in none, long before it may be called off. Two that wait are a line, and the report is late.
#[test]
fn one_set_up_that_a_report_of_a_short_line_left_behind_closes_nothing() {
    for (reported, unanswered, sent) in [(false, 1, 0), (true, 1, 1), (true, 2, 0)] {
        let mut rig = Rig::new(settings(), 1);
        let stood = rig.call();
        rig.stands(stood, 0, 40.0);
        let astray: Vec<CallId> = (0..unanswered).map(|_| until_sent(&mut rig).1).collect();
        rig.run_until(600.0);
        if reported {
            rig.report(0, wait(3.0));
        }
        rig.done.clear();
        rig.call();
        assert_eq!(rig.sends().len(), sent, "{unanswered} out, reported: {reported}");
        rig.run_until(900.0);
        let called_off = |id: &CallId| rig.done.contains(&Action::Cancel { call: *id, attempt: 0 });
        assert!(!astray.iter().any(called_off), "the report may be late");
    }
}

#[test]
fn b_rises_at_once_and_falls_no_faster_than_in_silence() {
    let mut rig = Rig::new(settings(), 1);
    rig.report(0, hold_back(0.9));
    rig.report(0, hold_back(0.1));
    let share = rig.refused_share(2000);
    assert!(share > 0.85, "the line is gone before its cause: {share}");
    rig.run_until(500.0);
    rig.report(0, hold_back(0.2));
    let share = rig.refused_share(2000);
    assert!((share - 0.636).abs() < 0.05, "{share}");
    rig.report(0, hold_back(0.0));
    assert_eq!(rig.refused_share(200), 0.0, "no load");
}

#[test]
fn what_a_sibling_heard_counts_like_a_report_and_is_a_sign_of_life() {
    let mut rig = Rig::new(Settings { may_tell: true, ..settings() }, 1);
    rig.give(Event::Told { server: ServerId(0), report: hold_back(0.6) });
    let share = rig.refused_share(4000);
    assert!((share - 0.6).abs() < 0.04, "{share}");
    rig.give(Event::Told { server: ServerId(7), report: hold_back(0.6) });
    let mut rig = Rig::new(Settings { may_tell: true, ..settings() }, 1);
    let id = rig.call();
    rig.ended(id, 0, Outcome::NotConnected);
    rig.done.clear();
    rig.give(Event::Told { server: ServerId(0), report: hold_back(0.0) });
    rig.call();
    assert_eq!(rig.sends(), [0]);
}

#[test]
fn a_report_of_a_pressed_server_is_told_unless_a_sibling_just_told() {
    let told = |rig: &Rig| rig.done.iter().filter(|a| matches!(a, Action::TellAll { .. })).count();
    for (report, sibling, expected) in
        [(wait(900.0), false, 1), (wait(900.0), true, 0), (wait(0.0), false, 0)]
    {
        let mut rig = Rig::new(Settings { may_tell: true, ..settings() }, 1);
        rig.run_until(5000.0);
        rig.done.clear();
        if sibling {
            rig.give(Event::Told { server: ServerId(0), report: wait(901.0) });
        }
        rig.report(0, report);
        assert_eq!(told(&rig), expected, "{report:?}, told by a sibling: {sibling}");
    }
    let mut rig = Rig::new(settings(), 1);
    rig.run_until(5000.0);
    rig.report(0, wait(900.0));
    assert_eq!(told(&rig), 0, "no messages where none are allowed");
}

#[test]
fn a_call_waits_for_the_probe_that_it_asked_for() {
    let probing = Settings { reporting: Reporting::Probes, may_probe: true, ..settings() };
    let mut rig = Rig::new(probing, 2);
    rig.call();
    rig.run_until(20.0);
    rig.call();
    assert_eq!(rig.done, [Action::Probe(ServerId(0))], "one probe for all that wait");
    rig.done.clear();
    rig.give(Event::Probed {
        server: ServerId(0),
        outcome: ProbeOutcome::TurnedAway,
        report: LoadReport::default(),
    });
    assert_eq!(rig.done, [Action::Probe(ServerId(1))], "passed over: the other is asked");
    rig.done.clear();
    rig.report(1, wait(0.0));
    assert_eq!(rig.sends(), [1, 1]);
    // A probe whose end never comes ends no call late.
    rig.run_until(3000.0);
    rig.call();
    rig.run_until(6500.0);
    assert!(rig.done.iter().any(|a| matches!(a, Action::Fail(_) | Action::Refuse { .. })));
}

/// Refused with no word of when to come back, callers came again at their own pace into the same full line.
#[test]
fn a_refused_caller_hears_when_to_come_back() {
    let advice = |most: f64, redial: bool| {
        let mut rig = Rig::new(Settings { stay_away_max_ms: most, ..settings() }, 1);
        rig.give(Event::Servers { complete: true, entries: vec![entry(0, Listed::Draining, None)] });
        rig.give(Event::Call(Call { id: CallId(1), expires_in_ms: 3000.0, redial, ..Call::default() }));
        rig.done.iter().find_map(|a| match a {
            Action::Refuse { stay_away_ms, .. } => Some(*stay_away_ms),
            _ => None,
        })
    };
    assert_eq!(advice(2000.0, true), Some(2000.0));
    assert_eq!(advice(0.0, true), Some(0.0), "none where the settings allow none");
}

/// As long as a redial may still stand in its aim it hears the line's time, later the longest that is heeded.
#[test]
fn advice_is_short_while_the_aim_can_be_met() {
    let mut rig = Rig::new(Settings { stay_away_max_ms: 2000.0, ..settings() }, 1);
    let mut told = Vec::new();
    for (id, redial) in [(1, false), (2, true)] {
        rig.done.clear();
        rig.give(Event::Call(Call { id: CallId(id), expires_in_ms: 3000.0, redial, ..Call::default() }));
        let outcome = Outcome::ProcessorFull { wait_ms: None };
        rig.give(Event::Ended {
            call: CallId(id),
            server: ServerId(0),
            outcome,
            closed: false,
            report: LoadReport::default(),
        });
        rig.run_until(rig.now + 1000.0);
        told.extend(rig.done.iter().filter_map(|a| match a {
            Action::Refuse { stay_away_ms, .. } => Some(*stay_away_ms),
            _ => None,
        }));
    }
    assert_eq!(told, [200.0, 2000.0]);
}

fn lines(rig: &mut Rig, server: u64, n: f64) {
    let report = LoadReport { lines: Some(n), ..LoadReport::default() };
    rig.give(Event::Lines { server: ServerId(server), report });
}

/// Servers sent to out of `n` calls whose first choice takes nothing new; none is answered.
fn overflow(rig: &mut Rig, n: usize) -> Vec<u64> {
    rig.give(Event::Servers { complete: false, entries: vec![entry(0, Listed::Draining, None)] });
    rig.done.clear();
    (0..n).for_each(|_| _ = rig.call());
    rig.sends()
}

/// A day's largest server slowed down. Its calls went to four others, each with a tenth of its lines, as if
/// a set-up took no longer there: a dozen of them made a line of 5 s.
#[test]
fn a_set_up_takes_a_small_server_longer() {
    let mut rig = Rig::new(Settings { resend_ms: 0.0, ..settings() }, 3);
    [(0, 400.0), (1, 400.0), (2, 40.0)].into_iter().for_each(|(server, n)| lines(&mut rig, server, n));
    let id = rig.call();
    rig.stands(id, 0, 30.0);
    let sent = overflow(&mut rig, 20);
    let small = sent.iter().filter(|&&server| server == 2).count();
    assert!(small >= 1 && 2 * small <= sent.len() - small, "{small} of {} to the small one", sent.len());
}

/// All senders turn away from a server at once, so one set-up of each is a line at the next.
#[test]
fn one_unanswered_set_up_counts_for_each_sender_elsewhere_but_not_at_the_first_choice() {
    let first = {
        let mut rig = Rig::new(Settings { siblings: 50, ..settings() }, 1);
        (0..3).for_each(|_| _ = rig.call());
        rig.sends().len()
    };
    let mut rig = Rig::new(Settings { siblings: 50, ..settings() }, 2);
    let elsewhere = overflow(&mut rig, 3).len();
    assert_eq!((first, elsewhere), (2, 1));
}
