//! Peers' words and probes: what of them the module comes to hear.

use super::*;
use crate::interface::{Event as News, Listed, LoadReport, ProbeOutcome};
use serde_json::json;

const BORN: u64 = 1_000_000;

/// An engine with peers and probes, and one call server on one open connection.
pub(super) fn engine() -> (Engine, ServerId, ServerConn) {
    let settings = json!({"siblings": 5, "services": [{"name": "voice", "deadline_ms": 9000.0, "target_ms": 1500.0,
        "worth": 1.0}], "ceilings": {"attempts_cap": 5, "cancel": true, "probing": true, "may_tell": true, "dial_timeout_ms": 500.0},
        "rules": {"cold_from": 0.3, "cold_ms": 9000.0, "fall_multiple": 2.5, "fall_ms": 1500.0},
        "specifics": {"guard_ms": 300.0}});
    let text = settings.to_string();
    let (settings, _) = crate::settings::parse(text.as_bytes()).unwrap();
    let host = crate::settings::parse_host(text.as_bytes()).unwrap();
    let mut engine = Engine::new(settings, host, 1, BORN as f64).with_peers();
    let addr = "127.0.0.1:9".parse().unwrap();
    let listed = |name: &str| Listing {
        name: name.into(),
        zone: None,
        addr,
        place: 0,
        state: Listed::Ready,
        started_at: None,
    };
    let mut out = Vec::new();
    engine.step(BORN as f64, Event::List { serial: 1, servers: vec![listed("s-a")] }, &mut out);
    let Some(&Effect::Dial { conn, .. }) = out.first() else { panic!("{out:?}") };
    engine.step(BORN as f64, Event::ServerOpened(conn), &mut out);
    let state = FromServer::State(LoadReport::default());
    engine.step(BORN as f64, Event::Server { conn, message: state }, &mut out);
    let server = engine.fleet.ids["s-a"];
    (engine, server, conn)
}

fn wait(ms: f64) -> LoadReport {
    LoadReport { wait_ms: Some(ms), ..LoadReport::default() }
}

impl Engine {
    /// A word of a peer started at `BORN`, sent now.
    fn word(&mut self, from: u16, seq: u32, ms: f64) -> Option<LoadReport> {
        let age_ms = (self.now - BORN as f64) as u32;
        let told = PeerReport { born_ms: BORN, age_ms, seq, server: "s-a".into(), report: wait(ms) };
        self.told(from, told)
    }

    fn told(&mut self, from: u16, told: PeerReport) -> Option<LoadReport> {
        self.hear_peer(from, told);
        self.news.pop_front().map(|news| match news {
            News::Told { report, .. } => report,
            other => panic!("{other:?}"),
        })
    }

    fn probed(&mut self) -> Vec<(ProbeOutcome, LoadReport)> {
        let probed = |news| match news {
            News::Probed { outcome, report, .. } => (outcome, report),
            other => panic!("{other:?}"),
        };
        self.news.drain(..).map(probed).collect()
    }
}

#[test]
fn one_voice_alone_says_nothing_and_two_must_agree() {
    let (mut engine, ..) = engine();
    assert_eq!(engine.word(1, 1, 5000.0), None, "one alone");
    assert_eq!(engine.word(2, 1, 10.0), None, "two that differ");
    assert_eq!(engine.word(2, 2, 4000.0), Some(wait(4500.0)), "two that agree");
    engine.now += 1100.0;
    assert_eq!(engine.word(2, 3, 4000.0), None, "the other is too old to count");
}

#[test]
fn a_liar_moves_no_median_of_three_either_way() {
    let (mut engine, ..) = engine();
    engine.word(1, 1, 40.0);
    assert_eq!(engine.word(2, 1, 60.0), Some(wait(50.0)));
    for (seq, lie) in [(1, 5000.0), (2, 0.0), (3, 1e9)] {
        let heard = engine.word(3, seq, lie).and_then(|r| r.wait_ms).unwrap();
        assert!((40.0..=60.0).contains(&heard), "{lie} makes {heard}");
    }
}

#[test]
fn own_fresh_reports_go_before_peers_and_peers_before_own_old_ones() {
    let (mut engine, server, _) = engine();
    engine.note_own_report(server, &wait(20.0));
    assert_eq!(engine.word(1, 1, 5000.0), Some(LoadReport::default()), "no figure of theirs is read");
    engine.now += 400.0;
    assert_eq!(engine.word(1, 2, 5000.0), None, "an own one that is older still contradicts");
    assert_eq!(engine.word(2, 1, 4000.0), Some(wait(4000.0)), "two against it carry the median");
}

/// While set-ups of ours wait without a word, one peer that says that all is well does not open the server.
#[test]
fn one_peer_is_no_sign_of_life_of_a_server_that_does_not_answer_here() {
    let (mut engine, server, _) = engine();
    engine.note_own_report(server, &wait(20.0));
    engine.fleet.servers.get_mut(&server).unwrap().waits_since = Some(engine.now - 600.0);
    assert_eq!(engine.word(1, 1, 10.0), None);
    assert_eq!(engine.word(2, 1, 10.0), Some(wait(10.0)), "two peers hear it: it lives");
}

#[test]
fn late_doubled_overtaken_and_unlisted_words_are_dropped_and_a_restart_counts_anew() {
    let (mut engine, ..) = engine();
    engine.now += 5000.0;
    engine.word(1, 7, 40.0);
    assert!(engine.word(2, 9, 40.0).is_some());
    let told = |born_ms, age_ms, seq, server: &str| PeerReport {
        born_ms,
        age_ms,
        seq,
        server: server.into(),
        report: wait(44.0),
    };
    assert_eq!(engine.told(2, told(BORN, 5000, 9, "s-a")), None, "doubled");
    assert_eq!(engine.told(2, told(BORN, 5000, 8, "s-a")), None, "overtaken");
    assert_eq!(engine.told(2, told(BORN, 3000, 10, "s-a")), None, "two seconds on its way");
    assert_eq!(engine.told(2, told(BORN, 9000, 10, "s-a")), None, "of a time to come");
    assert_eq!(engine.told(2, told(BORN, 5000, 10, "s-b")), None, "not listed here");
    assert_eq!(engine.told(2, told(BORN + 4000, 1000, 1, "s-a")), Some(wait(42.0)), "a later process");
    assert_eq!(engine.told(2, told(BORN, 5000, 11, "s-a")), None, "the one before it");
    let figures = engine.peer_figures().unwrap();
    assert_eq!((figures.late, figures.old, figures.unlisted, figures.taken), (2, 3, 1, 2));
}

#[test]
fn what_is_kept_of_peers_goes_with_the_call_server() {
    let (mut engine, ..) = engine();
    engine.word(1, 1, 40.0);
    engine.step(BORN as f64, Event::List { serial: 2, servers: Vec::new() }, &mut Vec::new());
    assert_eq!(engine.word(1, 2, 40.0), None);
    assert_eq!(engine.peer_figures().unwrap().unlisted, 1);
}

#[test]
fn probes_are_told_apart_by_id_and_late_answers_mean_nothing() {
    let (mut engine, server, conn) = engine();
    let mut out = Vec::new();
    engine.test_server(server, &mut out);
    engine.now += 120.0;
    engine.test_server(server, &mut out);
    let sent = |id| Effect::ToServer { conn, message: ToServer::Test(CallId(id)), confirm: false };
    assert_eq!(out, [sent(1), sent(2)]);
    engine.probe_answered(conn, CallId(2), true, wait(30.0));
    engine.probe_answered(conn, CallId(2), true, wait(30.0));
    assert_eq!(engine.probed(), [(ProbeOutcome::Answered, wait(30.0))], "the second, once");
    engine.now += 130.0;
    engine.probe_over(1);
    engine.probe_answered(conn, CallId(1), true, wait(30.0));
    assert_eq!(engine.probed(), [(ProbeOutcome::Failed, LoadReport::default())], "the first was late");
    engine.now += 100.0;
    engine.test_server(server, &mut out);
    engine.probe_answered(conn, CallId(3), false, LoadReport::default());
    assert_eq!(engine.probed(), [(ProbeOutcome::TurnedAway, LoadReport::default())]);
    assert_eq!(engine.tries, 0, "no probe is an attempt");
}

#[test]
fn a_probe_ends_in_its_time_or_with_its_connection() {
    let (mut engine, server, conn) = engine();
    let mut out = Vec::new();
    engine.test_server(server, &mut out);
    assert!(engine.next_due().is_some_and(|due| due <= engine.now + 250.0));
    engine.step(engine.now + 251.0, Event::Tick, &mut out);
    assert_eq!(engine.probe_figures().unwrap().failed, 1);
    engine.test_server(server, &mut out);
    engine.step(engine.now, Event::ServerLost { conn, how: Lost::Reset }, &mut out);
    assert_eq!(engine.probe_figures().unwrap().failed, 2);
    engine.now += 200.0;
    engine.test_server(server, &mut out);
    assert_eq!(engine.probed(), [(ProbeOutcome::Failed, LoadReport::default())], "no connection is open");
    assert_eq!(engine.probe_figures().unwrap().sent, 2);
}

#[test]
fn probes_of_a_server_are_paced_and_sent_only_where_they_are_allowed() {
    let (mut engine, server, conn) = engine();
    let mut out = Vec::new();
    for _ in 0..50 {
        engine.test_server(server, &mut out);
    }
    assert_eq!(out.len(), 1, "one is out already, and its end tells all");
    engine.probe_answered(conn, CallId(1), true, wait(1.0));
    engine.news.clear();
    for _ in 0..50 {
        engine.test_server(server, &mut out);
    }
    assert_eq!(out.len(), 1, "the next waits for its turn");
    engine.step(engine.now + 101.0, Event::Tick, &mut out);
    assert_eq!(out.len(), 2);
    engine.may_probe = false;
    engine.now += 1000.0;
    engine.test_server(server, &mut out);
    assert_eq!(out.len(), 2);
    assert_eq!(engine.probe_figures(), None);
}

#[test]
fn nothing_is_told_where_there_are_no_peers() {
    let (mut engine, server, _) = engine();
    let mut out = Vec::new();
    engine.tell_peers(server, wait(900.0), &mut out);
    assert!(matches!(&out[..], [Effect::ToPeers(told)] if told.server == "s-a" && told.seq == 1));
    engine.peers = None;
    engine.tell_peers(server, wait(900.0), &mut out);
    engine.hear_peer(1, PeerReport::default());
    assert_eq!((out.len(), engine.news.len()), (1, 0));
}
