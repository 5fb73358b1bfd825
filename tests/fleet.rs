//! What hundreds of senders do together to one server: each sum holds for the fleet, not for the sender.

use corkreach::*;
use std::collections::BTreeSet;

const SENDERS: usize = 260;
const SERVERS: u64 = 10;
/// Calls a second that a sender is handed: the fleet's come to 83 for each server.
const RATE: f64 = 3.2;
const FALL_MS: f64 = 2000.0;
const FALL_MULTIPLE: f64 = 2.5;
const COLD_FROM: f64 = 0.3;
const COLD_MS: f64 = 14_000.0;

fn settings() -> Settings {
    Settings {
        siblings: SENDERS as u32,
        classes: vec![Class { target_ms: 1500.0, deadline_ms: 9000.0, worth: 1.0, late_worth: 0.2 }],
        reporting: Reporting::Answers,
        may_cancel: true,
        may_tell: true,
        max_attempts: 4,
        guard_ms: 300.0,
        resend_ms: 400.0,
        cold_from: COLD_FROM,
        cold_ms: COLD_MS,
        fall_multiple: FALL_MULTIPLE,
        fall_ms: FALL_MS,
        ..Settings::default()
    }
}

fn entry(n: u64, started_at: Option<f64>) -> ServerEntry {
    ServerEntry { id: ServerId(n), place: n as u32, state: Listed::Ready, started_at }
}

fn wait(ms: f64) -> LoadReport {
    LoadReport { wait_ms: Some(ms), ..LoadReport::default() }
}

/// Controllers that share servers; set-ups are answered at once, but for those to a mute server.
struct Fleet {
    senders: Vec<Controller>,
    rng: fastrand::Rng,
    now: f64,
    calls: u64,
    mute: Option<u64>,
    /// Timers by microsecond, sender and token.
    timers: BTreeSet<(u64, usize, u64)>,
    /// Set-ups sent: when, and to which server.
    sent: Vec<(f64, u64)>,
    probes: usize,
    told: usize,
}

impl Fleet {
    fn new(settings: &Settings) -> Fleet {
        let senders = (0..SENDERS as u64).map(|seed| Controller::new(settings.clone(), seed, 0.0)).collect();
        let mut fleet = Fleet {
            senders,
            rng: fastrand::Rng::with_seed(3),
            now: 0.0,
            calls: 0,
            mute: None,
            timers: BTreeSet::new(),
            sent: Vec::new(),
            probes: 0,
            told: 0,
        };
        let entries: Vec<_> = (0..SERVERS).map(|n| entry(n, None)).collect();
        fleet.give_all(&Event::Servers { complete: true, entries });
        fleet
    }

    fn give_all(&mut self, event: &Event) {
        (0..SENDERS).for_each(|i| self.give(i, event.clone()));
    }

    fn give(&mut self, i: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut out = Vec::new();
            self.senders[i].handle(self.now, event, &mut out);
            for action in out {
                match action {
                    Action::Send { call, server, .. } => {
                        self.sent.push((self.now, server.0));
                        if self.mute != Some(server.0) {
                            events.push(Event::Standing { call, server, after_ms: 40.0 });
                        }
                    }
                    Action::Probe(server) => {
                        self.probes += 1;
                        let outcome = ProbeOutcome::Answered;
                        events.push(Event::Probed { server, outcome, report: wait(self.rng.f64()) });
                    }
                    Action::Cancel { call, .. } => {
                        let (server, outcome) = (ServerId(self.mute.unwrap_or(0)), Outcome::Cancelled);
                        let report = LoadReport::default();
                        events.push(Event::Ended { call, server, outcome, closed: false, report });
                    }
                    Action::Timer { at, token } => {
                        self.timers.insert(((at * 1000.0) as u64, i, token));
                    }
                    Action::TellAll { .. } => self.told += 1,
                    _ => {}
                }
            }
        }
    }

    /// Hands out calls at the usual rate, or `times` that, each for a server that `first` draws.
    fn run(&mut self, ms: f64, times: f64, first: impl Fn(&mut fastrand::Rng) -> u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1000.0 / (RATE * SENDERS as f64 * times);
            while let Some(&due) = self.timers.first().filter(|due| due.0 as f64 <= self.now * 1000.0) {
                self.timers.remove(&due);
                self.give(due.1, Event::Timer(due.2));
            }
            let (i, place) = (self.rng.usize(..SENDERS), first(&mut self.rng) as u32);
            let id = CallId(self.calls);
            self.calls += 1;
            let call = Call { id, expires_in_ms: 3000.0, first_choice: Some(place), ..Call::default() };
            self.give(i, Event::Call(call));
        }
    }

    fn sent_to(&self, server: u64, from: f64, to: f64) -> usize {
        self.sent.iter().filter(|&&(at, s)| s == server && at >= from && at < to).count()
    }
}

fn any(rng: &mut fastrand::Rng) -> u64 {
    rng.u64(..SERVERS)
}

#[test]
fn several_servers_cold_at_once_stay_under_the_rules_multiple() {
    let mut fleet = Fleet::new(&settings());
    fleet.run(10_000.0, 1.0, any);
    let start = fleet.now;
    let entries: Vec<_> = (0..4).map(|n| entry(n, Some(start))).collect();
    fleet.give_all(&Event::Servers { complete: false, entries });
    // Half as many calls again as usual, and every caller wants a cold server.
    fleet.run(6000.0, 1.5, |rng| rng.u64(..4));
    let usual = RATE * SENDERS as f64 / SERVERS as f64 / 1000.0;
    for server in 0..4 {
        for from in (0..40).map(|n| start + 100.0 * f64::from(n)) {
            let warmth = COLD_FROM + (1.0 - COLD_FROM) * (from - start) / COLD_MS;
            let most = FALL_MULTIPLE * warmth * usual * FALL_MS;
            let sent = fleet.sent_to(server, from, from + FALL_MS);
            assert!((sent as f64) < most, "server {server}: {sent} in the window at {from}, {most} at most");
        }
        let sent = fleet.sent_to(server, start, start + FALL_MS) as f64;
        assert!(sent > 0.3 * COLD_FROM * usual * FALL_MS, "server {server} gets next to nothing: {sent}");
    }
}

#[test]
fn a_jammed_server_gets_a_tenth_from_all_senders_together() {
    let mut fleet = Fleet::new(&settings());
    fleet.run(10_000.0, 1.0, any);
    fleet.mute = Some(0);
    // Each sender must send it one set-up, and see that unanswered, before it knows.
    fleet.run(20_000.0, 1.0, |rng| rng.u64(..2));
    let (from, to) = (fleet.now - 10_000.0, fleet.now);
    let usual = RATE * SENDERS as f64 / SERVERS as f64 * 10.0;
    let sent = fleet.sent_to(0, from, to) as f64;
    assert!(sent < 0.25 * usual, "{sent} of {usual}");
    assert!(sent > 0.0, "nobody looks for the way back");
}

#[test]
fn companions_are_spread_by_size() {
    let mut fleet = Fleet::new(&settings());
    for n in 0..SERVERS {
        let lines = LoadReport { lines: Some(if n == 9 { 900.0 } else { 100.0 }), ..LoadReport::default() };
        fleet.give_all(&Event::Lines { server: ServerId(n), report: lines });
    }
    let entries = vec![ServerEntry { state: Listed::Draining, ..entry(0, None) }];
    fleet.give_all(&Event::Servers { complete: false, entries });
    fleet.run(5000.0, 1.0, |_| 0);
    let total = fleet.sent.len() as f64;
    let share = |n| fleet.sent_to(n, 0.0, f64::INFINITY) as f64 / total;
    assert!((share(9) - 900.0 / 1700.0).abs() < 0.05, "{}", share(9));
    for n in 1..9 {
        assert!((share(n) - 100.0 / 1700.0).abs() < 0.02, "server {n}: {}", share(n));
    }
}

#[test]
fn a_server_without_free_lines_gets_no_more_than_it_frees() {
    let mut fleet = Fleet::new(&settings());
    fleet.run(20_000.0, 1.0, any);
    let from = fleet.now;
    let none = LoadReport { free_lines: Some(0.0), ..LoadReport::default() };
    fleet.give_all(&Event::Lines { server: ServerId(0), report: none });
    fleet.run(5000.0, 2.0, any);
    let (sent, usual) =
        (fleet.sent_to(0, from, fleet.now) as f64, RATE * SENDERS as f64 / SERVERS as f64 * 5.0);
    // Twice as many want it. Rates as thin as one call in three seconds leave some error.
    assert!(sent > 0.5 * usual && sent < 1.4 * usual, "{sent} of {usual}");
}

#[test]
fn probes_keep_to_the_calls() {
    let mut fleet = Fleet::new(&Settings { reporting: Reporting::Probes, may_probe: true, ..settings() });
    fleet.run(5000.0, 1.0, any);
    let calls = fleet.calls as usize;
    assert_eq!(fleet.sent.len(), calls, "every call waits for a probe and goes out");
    assert!(fleet.probes > calls / 2 && fleet.probes <= calls, "{} probes, {calls} calls", fleet.probes);
}

#[test]
fn messages_are_bounded_for_the_fleet_when_all_are_lost() {
    let mut fleet = Fleet::new(&settings());
    let ms = 20_000.0;
    while fleet.now < ms {
        // Each sender hears a fresh report of a pressed server some eight times a second.
        fleet.now += 1000.0 / 8.0 / SENDERS as f64;
        let (i, server) = (fleet.rng.usize(..SENDERS), ServerId(any(&mut fleet.rng)));
        let report = wait(1000.0 + fleet.rng.f64());
        fleet.give(i, Event::Probed { server, outcome: ProbeOutcome::Answered, report });
    }
    // One of each server in 200 ms.
    let most = ms / 200.0 * SERVERS as f64;
    assert!((fleet.told as f64) < 1.2 * most, "{} messages, {most} expected at most", fleet.told);
    assert!(fleet.told as f64 > 0.2 * most, "{}", fleet.told);
}
