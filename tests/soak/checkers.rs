//! Each check is seen to catch what breaks its rule, and to let pass what keeps it.

use crate::call_server::Conduct;
use crate::check::{Rule, check};
use crate::folder;
use crate::node::Played;
use crate::record::{Final, FinalKind, Process, Record, SetUp};
use crate::stand_in::Flaw;
use crate::trial::{Fault, Plan, play};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU8, Ordering};

/// Trials of the checks play in networks of their own, behind those of the seeds.
static NEXT_NETWORK: AtomicU8 = AtomicU8::new(100);
const CALM_SEED: u64 = 7;

/// A trial without faults, with callers in good order and two servers.
fn calm(flaw: Flaw) -> Plan {
    let seed = (1000..).find(|&seed| Plan::draw(seed).first_servers == 2).unwrap();
    let mut plan = Plan::draw(seed);
    plan.seed = CALM_SEED;
    plan.nodes = 1;
    plan.faults.clear();
    let callers = &mut plan.callers;
    (callers.gives_up, callers.closes, callers.shuts, callers.hurries) = (0.0, 0.0, 0.0, 0.0);
    (callers.pieces, callers.bad_per_s, callers.crowd, callers.per_s) = (0.0, 0.0, 0, 40.0);
    callers.classes.iter_mut().for_each(|class| class.deadline_ms = 1000.0);
    plan.settings["ceilings"]["max_retry_after_ms"] = 1500.0.into();
    plan.settings["ceilings"]["attempts_cap"] = 2.into();
    plan.settings["specifics"]["pools_by_class"] = serde_json::json!([[0, 1], [0, 1], [1]]);
    plan.servers.iter_mut().for_each(|server| (server.hold_ms, server.conduct) = (500.0, Conduct::default()));
    (plan.play_ms, plan.tail_ms) = (2500.0, 2500.0);
    plan.played = Played::StandIn(flaw);
    plan
}

/// The rules that a stand-in with this flaw is seen to break.
fn seen(flaw: Flaw, edit: impl FnOnce(&mut Plan)) -> BTreeSet<Rule> {
    let mut plan = calm(flaw);
    edit(&mut plan);
    let network = NEXT_NETWORK.fetch_add(1, Ordering::Relaxed);
    let folder = folder("checkers", u64::from(network));
    let outcome = play(&plan, network, &folder);
    let _ = std::fs::remove_dir_all(folder);
    assert!(outcome.record.set_ups.len() > 20, "callers came");
    outcome.breaks.iter().take(3).for_each(|broken| println!("{flaw:?}: {broken}"));
    outcome.breaks.iter().map(|b| b.rule).collect()
}

fn conduct(plan: &mut Plan, conduct: Conduct) {
    plan.servers.iter_mut().for_each(|server| server.conduct = conduct.clone());
}

/// The first server drains for longer than it may still be sent to.
fn drain_one(plan: &mut Plan) {
    plan.play_ms = 5000.0;
    plan.faults.push((300.0, Fault::Replace { server: 0, by: 2, drain_ms: 4500.0 }));
}

/// A server with little room starts in the place of the first.
fn start_cold(plan: &mut Plan) {
    plan.cold.capacity_per_s = 10.0;
    plan.callers.per_s = 80.0;
    plan.faults.push((100.0, Fault::Replace { server: 0, by: 2, drain_ms: 300.0 }));
}

#[test]
fn a_stand_in_that_keeps_the_rules_passes_all_checks() {
    assert_eq!(seen(Flaw::None, |_| {}), BTreeSet::new());
}

/// The stand-in does not notice that a server has vanished, as the program did not in the incident of 2026-12-04.
#[test]
fn calls_that_stay_at_a_vanished_server_are_caught() {
    let rules = seen(Flaw::None, |plan| {
        plan.servers.iter_mut().for_each(|server| server.hold_ms = 60_000.0);
        plan.faults.push((2000.0, Fault::Vanish { server: 0, ms: 60_000.0, returns: false }));
        plan.tail_ms = 9000.0;
    });
    assert!(rules.contains(&Rule::Release), "seen: {rules:?}");
}

/// A flaw, the rule that it breaks, and what the trial needs to show it.
type Case = (Flaw, Rule, fn(&mut Plan));

#[test]
fn each_check_catches_a_stand_in_that_breaks_its_rule() {
    let none = |_: &mut Plan| {};
    let fails: fn(&mut Plan) = |plan| conduct(plan, Conduct { fails: 1.0, ..Conduct::default() });
    let resets: fn(&mut Plan) = |plan| conduct(plan, Conduct { resets: 0.3, ..Conduct::default() });
    let full: fn(&mut Plan) = |plan| conduct(plan, Conduct { full: 1.0, ..Conduct::default() });
    let gives_up: fn(&mut Plan) = |plan| plan.callers.gives_up = 0.8;
    let cases: [Case; 16] = [
        (Flaw::NoAnswer, Rule::LostRequest, none),
        (Flaw::SecondAnswer, Rule::SecondAnswer, none),
        (Flaw::ForeignAnswer, Rule::ForeignAnswer, none),
        (Flaw::Unreadable, Rule::Unreadable, none),
        (Flaw::TwoAttempts, Rule::TwoAttempts, none),
        (Flaw::NoGuard, Rule::Guard, resets),
        (Flaw::TooManyAttempts, Rule::TooManyAttempts, fails),
        (Flaw::IgnoresDrains, Rule::Drain, drain_one),
        (Flaw::RushesCold, Rule::ColdServer, start_cold),
        (Flaw::NoRelease, Rule::Release, none),
        (Flaw::AltersSetUp, Rule::AlteredSetUp, none),
        (Flaw::ForbiddenServer, Rule::ForbiddenServer, none),
        (Flaw::CallerGone, Rule::CallerGone, gives_up),
        (Flaw::Probes, Rule::Probe, none),
        (Flaw::ManyLinks, Rule::Links, none),
        (Flaw::StayAway, Rule::StayAway, full),
    ];
    std::thread::scope(|scope| {
        for (flaw, rule, edit) in cases {
            scope.spawn(move || {
                let rules = seen(flaw, edit);
                assert!(rules.contains(&rule), "{flaw:?} breaks {rule:?}, seen: {rules:?}");
            });
        }
    });
}

/// A process that ran from the start and was ready soon.
fn sound() -> Process {
    Process {
        node: 0,
        started_at: 0.0,
        ready_at: Some(100.0),
        stopped_at: None,
        killed_at: None,
        ended: None,
        most_descriptors: 10,
        most_memory_mb: 10.0,
    }
}

/// A call server answered the request, and its process was killed, or was not: the release of the call comes from the next one.
#[test]
fn a_release_after_a_kill_is_no_late_answer_and_any_other_is() {
    let terms = calm(Flaw::None).terms();
    let failed = Final { at: 9000.0, kind: FinalKind::Failed, stay_away_ms: None };
    let refused = Final { kind: FinalKind::Refused, ..failed.clone() };
    let cases = [
        (None, Some(1200.0), failed.clone()),
        (Some(Rule::LostRequest), None, failed),
        (Some(Rule::LostRequest), Some(1200.0), refused),
    ];
    for (rule, killed_at, answer) in cases {
        let killed = Process {
            killed_at,
            stopped_at: Some(100.0),
            ended: Some((1300.0, "exit status: 0".into())),
            ..sound()
        };
        let next = Process { started_at: 1400.0, ready_at: Some(1500.0), ..sound() };
        let set_up =
            SetUp { wait_ms: 500.0, sent_at: Some(700.0), finals: vec![answer.clone()], ..SetUp::default() };
        let record = Record {
            set_ups: BTreeMap::from([(7, set_up)]),
            given: BTreeMap::from([(7, vec!["answered".to_owned()])]),
            processes: vec![killed, next],
            ended_at: 60_000.0,
            ..Record::default()
        };
        let seen: Vec<Rule> = check(&record, &terms).iter().map(|b| b.rule).collect();
        assert_eq!(seen, Vec::from_iter(rule), "{killed_at:?}, {answer:?}");
    }
}

#[test]
fn a_process_that_crashes_is_late_or_takes_too_much_is_caught() {
    let terms = calm(Flaw::None).terms();
    let ended = |how: &str| Some((5000.0, how.to_owned()));
    let cases = [
        (None, sound()),
        (None, Process { stopped_at: Some(4000.0), ended: ended("exit status: 0"), ..sound() }),
        (None, Process { killed_at: Some(4999.0), ended: ended("signal: 9 (SIGKILL)"), ..sound() }),
        (Some(Rule::Crash), Process { ended: ended("exit status: 0"), ..sound() }),
        (
            Some(Rule::Crash),
            Process { stopped_at: Some(4000.0), ended: ended("signal: 6 (SIGABRT)"), ..sound() },
        ),
        (Some(Rule::Ready), Process { ready_at: None, ..sound() }),
        (Some(Rule::Limits), Process { most_descriptors: 100_000, ..sound() }),
        (Some(Rule::Limits), Process { most_memory_mb: 1e6, ..sound() }),
    ];
    for (rule, process) in cases {
        let record = Record { processes: vec![process.clone()], ended_at: 60_000.0, ..Record::default() };
        let seen: Vec<Rule> = check(&record, &terms).iter().map(|b| b.rule).collect();
        assert_eq!(seen, Vec::from_iter(rule), "{process:?}");
    }
}
