//! The program as a process, seen from its callers, its call servers and its name service.

mod bad_input;
mod crossings;
mod descriptors;
mod hand_over;
mod planned_stop;
mod readiness;
mod rig;
mod silent_connections;
mod speech;
mod start_signals;
mod text;
mod vanished;

use rig::*;
use serde_json::json;
use std::io::Write;
use std::time::{Duration, Instant};

/// Two call servers, each with its first connection open, and a caller.
pub fn two() -> (Server, Server, Program, Names, Link, Link, Caller) {
    let (a, b) = (Server::start("s-a", 0), Server::start("s-b", 1));
    let (program, names) = start(&[&a, &b]);
    let (la, lb) = (a.accept(), b.accept());
    let caller = program.ready_caller();
    (a, b, program, names, la, lb, caller)
}

/// A call that stands at the call server of this connection.
fn stand(caller: &mut Caller, link: &mut Link, call: u64) {
    caller.set_up(call, 0, 9000);
    link.expect("new", call);
    link.up(call);
    caller.expect(9, call, None);
}

#[test]
fn a_call_is_set_up_at_its_first_choice_and_released_from_either_side() {
    let (_a, _b, _program, _names, mut la, _lb, mut caller) = two();
    caller.set_up(7, 0, 9000);
    let mut new = la.expect("new", 7);
    let left: u32 = new["f"]["left"].as_str().unwrap().parse().unwrap();
    assert!((8000..=9000).contains(&left), "{left}");
    new["f"]["left"] = json!("[left]");
    la.say(json!({"t": "wait", "ref": "0000000000000007", "f": {}}));
    la.say(json!({"t": "news", "ref": "0000000000000007", "f": {"x": 1}}));
    la.up(7);
    let answer = caller.hear();
    la.down(7, 16, json!({"load": "x0:91;x1:100;latency_ms:3;qps:40"}));
    let release = caller.hear();
    insta::assert_snapshot!(format!("{new}\n{answer:?}\n{release:?}\n{}", la.expect("ack", 7)), @r#"
    {"d":"9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\ns=\"æ\"\r\n","f":{"class":"voice","key":"7f3a9c21e0b4d655","left":"[left]"},"ref":"0000000000000007","t":"new"}
    Some((9, 7, [(144, "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\ns=\"æ\"\r\n")]))
    Some((12, 7, [(143, "16")]))
    {"f":{},"ref":"0000000000000007","t":"ack"}
    "#);

    stand(&mut caller, &mut la, 8);
    caller.say(12, 8, &[(143, &[16])]);
    caller.expect(16, 8, None);
    assert_eq!(la.expect("down", 8)["c"], 16);
}

#[test]
fn a_refusal_is_tried_elsewhere_and_the_last_tells_when_to_come_back() {
    let (_a, _b, _program, _names, mut la, mut lb, mut caller) = two();
    caller.set_up(7, 0, 9000);
    la.expect("new", 7);
    la.down(7, 34, json!({"note": "ovl", "load": "x0:90;x1:100;latency_ms:4000;qps:1"}));
    lb.expect("new", 7);
    lb.down(7, 34, json!({"note": "ovl", "load": "x0:90;x1:100;latency_ms:4000;qps:1"}));
    let (_, _, parameters) = caller.expect(12, 7, Some(42));
    let stay_away: u32 = parameters.iter().find(|(code, _)| *code == 135).unwrap().1.parse().unwrap();
    assert!((1..=2000).contains(&stay_away), "{stay_away}");
}

/// A call given up is called off at its call server; an answer that crosses it is released there, and the
/// caller hears neither.
#[test]
fn an_answer_that_crosses_the_end_is_released_at_the_call_server() {
    let (_a, _b, _program, _names, mut la, _lb, mut caller) = two();
    caller.set_up(7, 0, 9000);
    la.expect("new", 7);
    caller.say(12, 7, &[(143, &[16])]);
    caller.expect(16, 7, None);
    assert_eq!(la.expect("down", 7)["c"], 16);
    la.up(7);
    assert_eq!(la.expect("down", 7)["c"], 16);
    assert!(caller.test(), "nothing but the test's answer comes");
}

/// Guards against a release that is said again on every new connection, and in the end by a later process to a caller that
/// had its answer long ago: the program had given the call up, and never said that it heard of the end.
#[test]
fn the_end_of_a_call_that_was_given_up_is_said_to_be_heard() {
    let (_a, _b, _program, _names, mut la, _lb, mut caller) = two();
    caller.set_up(7, 0, 9000);
    la.expect("new", 7);
    caller.say(12, 7, &[(143, &[16])]);
    la.expect("down", 7);
    la.down(7, 16, json!({}));
    la.expect("ack", 7);
}

#[test]
fn a_call_that_nobody_answers_fails_before_its_time_is_over() {
    let (_a, _b, _program, _names, mut la, _lb, mut caller) = two();
    let since = Instant::now();
    caller.set_up(7, 0, 600);
    la.expect("new", 7);
    caller.expect(12, 7, Some(41));
    assert!(since.elapsed() < Duration::from_millis(670), "{:?}", since.elapsed());
    assert_eq!(la.expect("down", 7)["c"], 16);
}

/// What can't be read, a line without an end, or half a line that goes no further closes that connection and
/// resets its set-up: the call goes elsewhere, after the guard.
#[test]
fn a_reset_set_up_is_sent_again_only_after_the_guard() {
    for spoilt in ["{\"t\":\n", &"x".repeat(20_000), "{\"t\":\"up\""] {
        let (a, _b, _program, _names, mut la, mut lb, mut caller) = two();
        caller.set_up(7, 0, 9000);
        la.expect("new", 7);
        let since = Instant::now();
        la.say_raw(spoilt);
        // The call server is only one connection the poorer: the next one comes at once.
        let _next = a.accept();
        lb.expect("new", 7);
        assert!(since.elapsed() >= Duration::from_millis(200), "{:?}", since.elapsed());
        assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
        lb.up(7);
        caller.expect(9, 7, None);
    }
}

/// A connection falls mute after an answer that never came, though its call server lives: another is opened and carries
/// what comes. What waited in vain goes to the other call server: the first may read its release later than a further attempt
/// there, which would be cut by it.
#[test]
fn a_mute_connection_holds_no_calls() {
    let (a, _b, _program, _names, mut la, mut lb, mut caller) = two();
    stand(&mut caller, &mut la, 6);
    let since = Instant::now();
    caller.set_up(7, 0, 9000);
    la.expect("new", 7);
    let mut next = a.accept();
    // A connection whose state was not read yet gets no set-up.
    wait_until_read(&mut next, 99);
    caller.set_up(8, 0, 9000);
    next.expect("new", 8);
    next.up(8);
    caller.expect(9, 8, None);
    lb.expect("new", 7);
    lb.up(7);
    caller.expect(9, 7, None);
    assert!(since.elapsed() < Duration::from_millis(1400), "{:?}", since.elapsed());
    // States are told on all connections at once: one that missed the last of them is closed, and what was lost
    // there comes on the next.
    while la.is_open() {
        next.gauge();
        std::thread::sleep(Duration::from_millis(150));
    }
    let mut third = a.accept();
    third.down(6, 16, json!({}));
    caller.expect(12, 6, Some(16));
}

/// A call server in use gets a second connection, and set-ups take turns. A call that ends on another connection than
/// its own shows that its own is of no use: that is closed. The call stood and is over, its answer lost: its caller is
/// told at once. What had been said on the closed connection by then is heard still.
#[test]
fn what_is_told_elsewhere_shows_a_dead_connection() {
    let (a, _b, _program, _names, mut la, _lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    let mut next = a.accept();
    for call in 100.. {
        caller.set_up(call, 0, 9000);
        let second = next.speaks_before(&mut la);
        let link = if second { &mut next } else { &mut la };
        link.expect("new", call);
        link.up(call);
        caller.expect(9, call, None);
        if second {
            break;
        }
    }
    // Its turn again; for a while what is told there may just be late.
    caller.set_up(8, 0, 9000);
    la.expect("new", 8);
    std::thread::sleep(Duration::from_millis(350));
    let since = Instant::now();
    next.down(8, 16, json!({}));
    caller.expect(12, 8, Some(41));
    assert!(since.elapsed() < Duration::from_millis(500), "{:?}", since.elapsed());
    assert_eq!(la.hear(), None);
    a.accept();
    la.down(7, 16, json!({}));
    caller.expect(12, 7, Some(16));
}

/// A connection is lost while another is open: what was said on it may be lost too, and comes on the next.
#[test]
fn a_lost_connection_is_replaced_though_another_is_open() {
    let (a, _b, _program, _names, mut la, _lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    let _look = a.accept();
    la.say_raw("{\"t\":\"down\",\"re");
    let mut third = a.accept();
    third.down(7, 16, json!({}));
    caller.expect(12, 7, Some(16));
}

/// A dead process resets its connections and refuses new ones: its calls are cut, and their callers are told
/// on any connection they have; a new set-up is tried elsewhere.
#[test]
fn a_dead_call_server_cuts_its_calls() {
    let (a, _b, program, _names, mut la, mut lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    caller.leave();
    let mut other = program.ready_caller();
    let since = Instant::now();
    drop(a.listener);
    drop(la);
    other.expect(12, 7, Some(41));
    // Sooner than silence would tell.
    assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    other.set_up(8, 0, 9000);
    lb.expect("new", 8);
}

/// A connection closed in order cuts nothing: what ended meanwhile is told on the next, and the caller, who
/// has no connection open then, hears of it on its next.
#[test]
fn a_release_waits_for_the_next_connections() {
    let (a, _b, program, _names, mut la, _lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    caller.say(12, 99, &[(143, &[16])]);
    caller.expect(16, 99, None);
    // A release of a call that is not known here may be of one from before the start.
    la.expect("down", 99);
    drop(la);
    let mut la = a.accept();
    assert!(caller.test(), "nothing but the test's answer comes");
    caller.leave();
    la.down(7, 16, json!({}));
    wait_until_read(&mut la, 97);
    let mut caller = program.caller();
    caller.expect(12, 7, Some(16));
    caller.say(16, 7, &[]);
    la.expect("ack", 7);
    // So does one of a call that stood before the program's start.
    la.down(98, 41, json!({}));
    caller.expect(12, 98, Some(41));
}

/// Guards against a caller that waits in vain for the end of a call of before the start: the first connections, whose owners
/// tested the program and left, had taken all that was said of it.
#[test]
fn a_release_is_told_to_a_caller_that_comes_after_others_that_only_test() {
    let (a, b) = (Server::start("s-a", 0), Server::start("s-b", 1));
    let (program, _names) = start(&[&a, &b]);
    let (mut la, _lb) = (a.accept(), b.accept());
    la.down(7, 16, json!({}));
    wait_until_read(&mut la, 99);
    for _ in 0..6 {
        let mut tests = program.caller();
        tests.say(52, 0, &[(143, &[0])]);
        while tests.hear().expect("an answer").0 != 53 {}
    }
    // Whoever waits for it comes again when nothing is heard.
    let since = Instant::now();
    loop {
        let mut caller = program.caller();
        caller.set_patience(Duration::from_millis(300));
        if let Some((kind, call, _)) = caller.hear() {
            assert_eq!((kind, call), (12, 7));
            caller.say(16, 7, &[]);
            break;
        }
        assert!(since.elapsed() < Duration::from_secs(5), "nobody is told");
    }
    la.expect("ack", 7);
}

/// Guards against a caller whose connection opens on the heels of others: the release that waited for it had gone to three of
/// those, and came again only with a set-up.
#[test]
fn a_release_is_offered_to_a_connection_that_opens_on_the_heels_of_others() {
    let (_a, _b, program, _names, mut la, _lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    caller.leave();
    la.down(7, 16, json!({}));
    wait_until_read(&mut la, 99);
    let connections: Vec<Caller> = (0..8).map(|_| program.caller()).collect();
    for mut connection in connections {
        connection.expect(12, 7, Some(16));
    }
}

/// Guards against a caller that is told twice of the end of a call from before the start, as its call server says it again
/// on another connection.
#[test]
fn an_end_of_a_call_of_before_the_start_is_told_once() {
    let (_a, _b, _program, _names, mut la, mut lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    la.down(50, 16, json!({}));
    caller.expect(12, 50, Some(16));
    for link in [&mut la, &mut lb] {
        link.down(50, 16, json!({}));
        wait_until_read(link, 99);
    }
    assert!(caller.test(), "nothing but the test's answer comes");
}

/// Returns once the program has taken up all that was said on this connection: it releases a call that nobody asked for.
fn wait_until_read(link: &mut Link, unasked: u64) {
    link.up(unasked);
    link.expect("down", unasked);
}

/// Guards against an end of a call that no caller heard: the call server had been told that it was heard, and said it to no
/// later process.
#[test]
fn an_end_that_no_caller_has_heard_is_not_said_to_be_heard() {
    let (_a, _b, program, _names, mut la, _lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    caller.leave();
    la.down(7, 16, json!({}));
    wait_until_read(&mut la, 99);
    // What is said to a call server stays in order: with the end said to be heard, that would come first.
    let mut caller = program.caller();
    caller.expect(12, 7, Some(16));
    caller.set_up(8, 0, 9000);
    la.expect("new", 8);
    assert!(caller.test(), "told once, though only now it shows whose connection it is");
    caller.say(16, 7, &[]);
    la.expect("ack", 7);
}

/// Guards against a caller that hears of the end of a call on each of its connections: the end was told as a process started,
/// and offered to each that opened before the first set-up on it was read.
#[test]
fn an_end_of_before_the_start_is_told_once_to_a_caller_with_several_connections() {
    let (a, b) = (Server::start("s-a", 0), Server::start("s-b", 1));
    let (program, _names) = start(&[&a, &b]);
    let (mut la, _lb) = (a.accept(), b.accept());
    la.down(7, 16, json!({}));
    wait_until_read(&mut la, 99);
    let mut connections: Vec<Caller> = (0..3).map(|_| program.caller()).collect();
    for (call, caller) in (20..).zip(&mut connections) {
        caller.set_up(call, 0, 9000);
    }
    for call in 20..23 {
        la.expect("new", call);
        la.up(call);
    }
    let mut told = 0;
    for (call, caller) in (20..).zip(&mut connections) {
        while let Some((kind, of, _)) = caller.hear() {
            told += u32::from((kind, of) == (12, 7));
            if (kind, of) == (ANSWER, call) {
                break;
            }
        }
        caller.say(52, 0, &[(143, &[0])]);
        while let Some((kind, of, _)) = caller.hear().filter(|heard| heard.0 != 53) {
            told += u32::from((kind, of) == (12, 7));
        }
    }
    assert_eq!(told, 1);
}

/// Guards against an end that waits for the answer of another set-up: its caller had shut its side of the only connection, and
/// listens there.
#[test]
fn an_end_is_told_to_a_caller_that_shut_its_side_and_waits_for_an_answer() {
    let (_a, _b, _program, _names, mut la, _lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    caller.set_up(8, 0, 9000);
    la.expect("new", 8);
    caller.stream.shutdown(std::net::Shutdown::Write).unwrap();
    // Progress: the program has seen that the side is shut.
    assert_eq!(caller.hear().map(|heard| heard.0), Some(PROGRESS));
    la.down(7, 16, json!({}));
    caller.expect(12, 7, Some(16));
    la.up(8);
    caller.expect(9, 8, None);
}

/// A caller closes its connection while a release is on its way there: it goes out again on the next.
#[test]
fn a_release_that_crosses_a_close_goes_out_again() {
    let (_a, _b, program, _names, mut la, _lb, mut caller) = two();
    for call in 1..=8 {
        stand(&mut caller, &mut la, call);
        la.down(call, 16, json!({}));
        wait_until_read(&mut la, 100 + call);
        // The release went out, or is about to, and is left unread.
        drop(caller);
        caller = program.caller();
        caller.expect(12, call, Some(16));
        // One that is said to be heard does not come again, however soon the connection closes.
        caller.say(16, call, &[]);
        la.expect("ack", call);
    }
}

/// A connection is reset, with something unread on it, but the call server lives: what stands there stands, and
/// the set-up goes elsewhere. Only a dial that is refused tells that the process died.
#[test]
fn a_reset_connection_cuts_no_calls_by_itself() {
    let (a, _b, _program, _names, mut la, mut lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    caller.set_up(8, 0, 9000);
    la.peek();
    drop(la);
    let mut la = a.accept();
    lb.expect("new", 8);
    lb.up(8);
    caller.expect(9, 8, None);
    la.down(7, 16, json!({}));
    caller.expect(12, 7, Some(16));
}

/// A machine that vanished leaves its connections open and silent: what it took with it is released in time.
/// Not much sooner, though: one that drains refuses connections too, and what stands there may still stand.
#[test]
fn a_silent_call_server_cuts_its_calls_late_but_in_time() {
    let (a, b, _program, names, mut la, mut lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    stand(&mut caller, &mut la, 8);
    names.change(vec![Listed { draining: true, ..a.listed.clone() }, b.listed.clone()], |_| {});
    drop(a.listener);
    let since = Instant::now();
    caller.set_patience(Duration::from_millis(5500));
    assert_eq!(caller.hear(), None, "both stand");
    la.down(8, 16, json!({}));
    caller.expect(12, 8, Some(16));
    let silent = Instant::now();
    caller.set_patience(Duration::from_secs(15));
    caller.expect(12, 7, Some(41));
    let silent = silent.elapsed();
    assert!(
        (Duration::from_secs(6)..Duration::from_secs(8)).contains(&silent),
        "{silent:?} {:?}",
        since.elapsed()
    );
    caller.set_up(9, 1, 9000);
    lb.expect("new", 9);
}

/// One that closes every connection at once is not dialled in a tight loop.
#[test]
fn a_call_server_that_hangs_up_is_dialled_now_and_then() {
    let a = Server::start("s-a", 0);
    let (_program, _names) = start(&[&a]);
    let since = Instant::now();
    for _ in 0..4 {
        drop(a.accept_mute());
    }
    assert!(since.elapsed() >= Duration::from_millis(900), "{:?}", since.elapsed());
}

/// One that is merely quiet tells its state on the connection that looks at it, and keeps its calls.
#[test]
fn a_quiet_call_server_keeps_its_calls() {
    let (a, _b, _program, _names, mut la, _lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    let _looks = [a.accept(), a.accept()];
    assert!(caller.test(), "nothing but the test's answer comes");
    la.down(7, 16, json!({}));
    caller.expect(12, 7, Some(16));
}

/// Guards against a crowded name service that is never heard: an answer that took longer than sixteen queries was dropped as
/// one to no query of ours.
#[test]
fn a_drain_is_heard_from_a_name_service_that_takes_seconds_to_answer() {
    const ANSWERED_AFTER: Duration = Duration::from_secs(4);
    /// A set-up at a server that says nothing is sent elsewhere no sooner.
    const CALLED_OFF_AFTER: Duration = Duration::from_millis(500);
    let (a, b, _program, names, _la, mut lb, mut caller) = two();
    names.change(vec![Listed { draining: true, ..a.listed.clone() }, b.listed.clone()], |state| {
        state.delay = ANSWERED_AFTER;
    });
    let sent = Instant::now();
    caller.set_up(8, 0, 9000);
    lb.expect("new", 8);
    assert!(sent.elapsed() < CALLED_OFF_AFTER, "it was at the one that drains first: {:?}", sent.elapsed());
}

/// Guards against a drain that is not heard while configurations come sooner after each other than the name service answers:
/// each reload forgot what it had been asked.
#[test]
fn a_drain_is_heard_while_configurations_come_in_quick_succession() {
    const ANSWERED_AFTER: Duration = Duration::from_millis(400);
    const RELOADED_EVERY: Duration = Duration::from_millis(100);
    // Only JSON lines can be listened for without one coming.
    let (a, b) = (Server::json("s-a", 0), Server::json("s-b", 1));
    let (program, names) = start(&[&a, &b]);
    let (mut la, mut lb) = (a.accept(), b.accept());
    let mut caller = program.ready_caller();
    {
        let mut state = names.state.lock().unwrap();
        state.list = vec![Listed { draining: true, ..a.listed.clone() }, b.listed.clone()];
        (state.serial, state.delay) = (2, ANSWERED_AFTER);
    }
    for _ in 0..15 {
        program.reload(&program.file());
        std::thread::sleep(RELOADED_EVERY);
    }
    caller.set_up(8, 0, 9000);
    lb.expect("new", 8);
    assert_eq!(la.try_hear(Duration::from_millis(1)), None, "it was at the one that drains first");
}

/// Guards against a caller that loses its connection, and with it set-ups and releases, as more of its calls are cut at once
/// than the connection's queue held.
#[test]
fn a_caller_hears_of_all_its_calls_that_are_cut_at_once() {
    const CALLS: u64 = 1200;
    let (a, b, _program, names, la, lb, mut caller) = two();
    for (server, link) in [(a, la), (b, lb)] {
        std::thread::spawn(move || link.answer_all());
        server.answer_all();
    }
    for call in 1..=CALLS {
        caller.set_up(call, 0, 9000);
        caller.expect(9, call, None);
    }
    names.change(Vec::new(), |_| ());
    let mut cut: Vec<u64> = (0..CALLS).map(|_| caller.hear().expect("an open connection").1).collect();
    cut.sort_unstable();
    assert_eq!(cut, (1..=CALLS).collect::<Vec<_>>());
    caller.test();
}

/// Queries and answers are lost, one can't be read, and the answer is as long as they come: a drain is heard in
/// time all the same, and an answer that comes late changes nothing.
#[test]
fn a_draining_or_missing_call_server_gets_nothing_new() {
    let (a, b, _program, names, mut la, mut lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    let since = Instant::now();
    names.change(vec![Listed { draining: true, ..a.listed.clone() }, b.listed.clone()], |state| {
        (state.lose, state.garble, state.ballast) = (2, 1, 30);
    });
    assert!(since.elapsed() < Duration::from_millis(2500), "{:?}", since.elapsed());
    assert!((6000..=8000).contains(&names.state.lock().unwrap().longest), "the answer was a long one");
    caller.set_up(8, 0, 9000);
    lb.expect("new", 8);
    names.change(vec![a.listed.clone()], |state| state.serial -= 2);
    caller.set_up(9, 0, 9000);
    lb.expect("new", 9);
    // Gone, it has cut what stood there.
    names.change(vec![b.listed.clone()], |state| state.serial += 2);
    caller.expect(12, 7, Some(41));
    assert_eq!(la.hear(), None);
}

/// Another process at the same id cuts what stood at the one before; a new id at the same address is another
/// call server, and gets a connection of its own.
#[test]
fn a_replaced_call_server_cuts_its_calls() {
    let (a, b, _program, names, mut la, mut lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    caller.set_up(8, 1, 9000);
    lb.expect("new", 8);
    lb.up(8);
    caller.expect(9, 8, None);
    let since = Instant::now();
    // In the next millisecond: the call stood before, also where both fall into one.
    let started_ms = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64 + 1;
    let restarted = Listed { started_ms, ..a.listed.clone() };
    names.change(vec![restarted.clone(), b.listed.clone()], |_| {});
    caller.expect(12, 7, Some(41));
    names.change(vec![restarted, Listed { id: "s-c", started_ms, ..b.listed.clone() }], |_| {});
    caller.expect(12, 8, Some(41));
    // Sooner than silence would tell.
    assert!(since.elapsed() < Duration::from_secs(2), "{:?}", since.elapsed());
    assert_eq!(lb.hear(), None);
    b.accept();
}

#[test]
fn tests_pass_once_every_call_server_has_told_its_state() {
    let a = Server::start("s-a", 0);
    let (program, _names) = start(&[&a]);
    let mut link = a.accept_mute();
    assert!(!program.caller().test());
    link.gauge();
    program.ready_caller();
}

#[test]
fn bad_input_harms_nobody_else() {
    let (_a, _b, program, _names, mut la, _lb, mut caller) = two();
    // Lengths that can't be, and half a message or none, which are closed within 3 s.
    let since = Instant::now();
    let starts = [&[0, 3, 1, 0, 0][..], &[0xff, 0xff, 1], b"GET / HTTP/1.1\r\n\r\n", &[0, 99, 1], &[]];
    let mut bad = starts.map(|bytes| {
        let mut bad = program.caller();
        bad.stream.write_all(bytes).unwrap();
        bad
    });
    // Half a message after a whole one.
    caller.say(12, 99, &[(143, &[16])]);
    caller.expect(16, 99, None);
    let mut half = program.ready_caller();
    let half_since = Instant::now();
    half.stream.write_all(&[0, 99, 1]).unwrap();
    // Each is timed from its own start: the half message's connection opens later than the others.
    let heard = bad.each_mut().map(Caller::hear);
    let bad_took = since.elapsed();
    assert_eq!([heard, [half.hear(), None, None, None, None]], [const { [const { None }; 5] }; 2]);
    let half_took = half_since.elapsed();
    assert!(
        bad_took < Duration::from_secs(3) && half_took < Duration::from_secs(3),
        "{bad_took:?} {half_took:?}"
    );
    let fields = |class: &'static str, wait: &'static str, extras: &'static str| {
        [(129, class.as_bytes()), (130, wait.as_bytes()), (134, extras.as_bytes())]
    };
    let refused = |kind: u8, call: u64, fields: &[(u8, &[u8])], description: &[u8], cause: u8| {
        let mut bad = program.caller();
        bad.say(kind, call, &[fields, &[(144, description)]].concat());
        bad.expect(12, call, Some(cause));
    };
    refused(77, 1, &[], b"d", 97);
    refused(1, 0, &fields("voice", "900", "dest:0"), b"d", 96);
    refused(1, 2, &fields("voice", "900", "dest:0")[1..], b"d", 96);
    refused(1, 3, &fields("voice", "900", "dest:0"), b"", 96);
    for (class, wait, extras) in [
        ("fax", "900", "dest:0"),
        ("voice", "soon", "dest:0"),
        ("voice", "NaN", "dest:0"),
        ("voice", "-5", "dest:0"),
        ("voice", "99999999999999999999999", "dest:0"),
        ("voice", "900", "dest:99;width:1"),
        ("voice", "900", "dest:-3;width:1"),
        ("voice", "900", "dest:nan;width:1"),
        ("voice", "900", "dest:0;width:0"),
        ("voice", "900", "dest:0;width:400"),
        ("voice", "900", "x"),
    ] {
        refused(1, 4, &fields(class, wait, extras), b"d", 100);
    }
    refused(1, 5, &[&fields("voice", "900", "dest:0")[..], &[(133, b"here")]].concat(), b"d", 100);
    refused(1, 6, &fields("voice", "900", "dest:0"), b"\xff", 100);
    // A description that would not fit into a line to a call server.
    refused(1, 7, &fields("voice", "900", "dest:0"), &[1; 9000], 100);
    // A parameter that runs over the message's end; again and again, until the connection is closed.
    let mut bad = program.caller();
    let over = [0, 12, 1, 0, 0, 0, 0, 0, 0, 0, 5, 129, 0, 9];
    let again = (0..100).take_while(|_| bad.stream.write_all(&over).is_ok() && bad.hear().is_some());
    assert!((10..20).contains(&again.count()));
    la.expect("down", 99);
    la.say(json!({"t": "up"}));
    la.say(json!({"t": "gauge", "f": {"load": "x0:;;x1:NaN;:::"}}));
    stand(&mut caller, &mut la, 7);
}

/// The id of a call is borrowed on another connection: that gets an error, and the call is not touched. Two
/// set-ups under one id on one connection are both turned away, as is one under the id of a call that is over.
#[test]
fn an_id_names_one_call() {
    let (_a, _b, program, _names, mut la, _lb, mut caller) = two();
    let mut bad = program.caller();
    for stands in [false, true] {
        if stands {
            la.up(7);
            caller.expect(9, 7, None);
        } else {
            caller.set_up(7, 0, 9000);
            la.expect("new", 7);
            bad.say(12, 7, &[(143, &[16])]);
            bad.expect(16, 7, None);
        }
        bad.set_up(7, 0, 900);
        bad.expect(12, 7, Some(100));
        bad.say(1, 7, &[]);
        bad.expect(12, 7, Some(96));
    }
    la.down(7, 16, json!({}));
    caller.expect(12, 7, Some(16));
    la.expect("ack", 7);
    bad.set_up(7, 0, 900);
    bad.expect(12, 7, Some(100));
    bad.set_up(8, 0, 900);
    la.expect("new", 8);
    for _ in 0..3 {
        bad.set_up(8, 0, 900);
        bad.expect(12, 8, Some(100));
    }
    la.expect("down", 8);
    la.up(8);
    la.expect("down", 8);
    assert!(bad.test() && caller.test(), "nothing but the test's answer comes");
}

/// Hundreds connect and say nothing: callers that ask are served at once all the same, also those that have been
/// quiet since, as long as there is room for them.
#[test]
fn silent_connections_shut_nobody_out() {
    let (a, b) = (Server::start("s-a", 0), Server::start("s-b", 1));
    let (program, _names) = start_with(&[&a, &b], 64);
    let (mut la, _lb) = (a.accept(), b.accept());
    let mut quiet = program.ready_caller();
    let _silent: Vec<Caller> = (0..300).map(|_| program.caller()).collect();
    let since = Instant::now();
    let mut caller = program.ready_caller();
    stand(&mut caller, &mut la, 7);
    assert!(quiet.test() && since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    // So many that ask nothing but tests: the ones quiet longest make room, but none with a set-up open on it, none
    // with a call that stands, and none that writes its set-up over two seconds.
    let mut slow = program.caller();
    let message = Caller::set_up_bytes(9, 0, 9000);
    slow.stream.write_all(&message[..20]).unwrap();
    let mut other = program.caller();
    other.set_up(8, 0, 9000);
    la.expect("new", 8);
    la.up(8);
    other.expect(9, 8, None);
    let mut asked: Vec<Caller> = (0..60).map(|_| program.ready_caller()).collect();
    assert!(asked.last_mut().unwrap().test());
    assert_eq!(quiet.hear(), None);
    std::thread::sleep(Duration::from_secs(2));
    slow.stream.write_all(&message[20..]).unwrap();
    while la.hear().unwrap()["ref"] != "0000000000000009" {}
    la.up(9);
    slow.expect(9, 9, None);
    // Its connection is there still, and hears of the end.
    la.down(7, 16, json!({}));
    caller.expect(12, 7, Some(16));
    caller.leave();
}

/// After SIGTERM set-ups are still taken for a while, on open and new connections; all are answered before the
/// program ends, and also a caller that has shut its side hears.
#[test]
fn a_planned_stop_answers_all_that_was_taken() {
    let (_a, _b, mut program, _names, mut la, _lb, mut caller) = two();
    caller.set_up(7, 0, 9000);
    la.expect("new", 7);
    program.terminate();
    let mut late = program.caller();
    late.set_up(8, 0, 9000);
    late.stream.shutdown(std::net::Shutdown::Write).unwrap();
    la.expect("new", 8);
    while caller.test() {}
    la.up(7);
    caller.expect(9, 7, None);
    // Later than set-ups are taken, one that was is still waited for.
    let since = Instant::now();
    while since.elapsed() < Duration::from_millis(800) {
        assert!(!caller.test());
    }
    assert!(program.child.try_wait().unwrap().is_none());
    la.up(8);
    late.expect(9, 8, None);
    assert!(program.wait().success());
}

/// SIGHUP: the configuration is read again, and a bad one leaves all as it was. With a good one the list is
/// asked for at its address, the serial goes on, and calls and connections are not touched.
#[test]
fn a_hangup_moves_the_name_service_and_nothing_else() {
    let (a, b, program, names, mut la, mut lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    for bad in
        ["", "{\"dns\":", "[]", "{\"dns\": \"127.0.0.1:1\", \"known\": {\"seq\": 9}, \"settings\": {}}"]
    {
        program.reload(bad);
    }
    names.change(vec![Listed { draining: true, ..a.listed.clone() }, b.listed.clone()], |_| {});
    // Twice, the old one answering no more.
    let mut old = names;
    for call in [10, 20] {
        let new = Names::start();
        let serial = old.state.lock().unwrap().serial;
        old.state.lock().unwrap().lose = u32::MAX;
        caller.set_up(call, 0, 9000);
        lb.expect("new", call);
        program.reload(&program.file_with(&new));
        // An older list there is not followed.
        new.change(vec![], |state| state.serial = serial - 1);
        lb.up(call);
        caller.expect(9, call, None);
        new.change(vec![a.listed.clone(), Listed { draining: true, ..b.listed.clone() }], |state| {
            state.serial = serial + 1;
        });
        stand(&mut caller, &mut la, call + 1);
        new.change(vec![Listed { draining: true, ..a.listed.clone() }, b.listed.clone()], |_| {});
        old = new;
    }
    la.down(7, 16, json!({}));
    caller.expect(12, 7, Some(16));
}

/// Operators ask over HTTP and read the figures, also while others hold connections without a whole call. Out of
/// service tests fail, callers' connections are closed as they fall idle, and set-ups on those that do not are
/// turned away in the end; calls that stand come to their end on the connections that they were set up on. In service again all is as before.
#[test]
fn operators_read_the_figures_and_order_a_drain() {
    let (_a, _b, program, _names, mut la, mut lb, mut caller) = two();
    let _half: Vec<_> = (0..40).map(|_| program.half_call("GET /control/rea")).collect();
    assert_eq!(program.operator("GET /control/ready").0, 200);
    let wrong = ["GET /", "GET /control/out-of-service", "POST /control/ready", "\0"];
    assert_eq!(wrong.map(|call| program.operator(call).0), [404, 405, 405, 400]);
    stand(&mut caller, &mut la, 7);
    caller.set_up(8, 0, 300);
    la.expect("new", 8);
    caller.expect(12, 8, Some(41));
    la.expect("down", 8);
    caller.set_up(9, 0, 9000);
    la.expect("new", 9);
    insta::assert_snapshot!(program.operator("GET /control/counters").1, @r#"
    # TYPE gw_handled counter
    gw_handled{category="voice",outcome="passed"} 1
    gw_handled{category="voice",outcome="dropped"} 0
    gw_handled{category="voice",outcome="bad_gateway"} 1
    # TYPE gw_upstream_tries counter
    gw_upstream_tries 3
    # TYPE gw_in_progress gauge
    gw_in_progress 2
    # TYPE gw_known_call_servers gauge
    gw_known_call_servers 2
    # TYPE gw_skipped_call_servers gauge
    gw_skipped_call_servers 0
    "#);
    la.up(9);
    caller.expect(9, 9, None);
    la.down(9, 16, json!({}));
    caller.expect(12, 9, Some(16));
    la.expect("ack", 9);
    let mut idle = program.ready_caller();
    let since = Instant::now();
    assert_eq!(program.operator("POST /control/out-of-service").0, 200);
    assert_eq!(program.operator("GET /control/ready").0, 503);
    assert!(!program.caller().test());
    assert_eq!(idle.hear(), None);
    // One whose caller was sent here before the front knew is served still.
    let mut late = program.caller();
    late.set_up(10, 0, 9000);
    la.expect("new", 10);
    la.down(10, 17, json!({}));
    lb.expect("new", 10);
    lb.down(10, 17, json!({}));
    late.expect(12, 10, Some(41));
    assert_eq!(late.hear(), None);
    // On this one a call stands, so it is kept. Set-ups come on and on.
    let mut open = 11;
    caller.set_up(open, 0, 9000);
    la.expect("new", open);
    let refused = loop {
        caller.set_up(open + 1, 0, 9000);
        caller.say(52, 0, &[(143, &[0])]);
        if caller.hear().unwrap().0 == 12 {
            break since.elapsed();
        }
        la.expect("new", open + 1);
        la.up(open);
        caller.expect(9, open, None);
        open += 1;
    };
    assert!((Duration::from_secs(1)..Duration::from_secs(2)).contains(&refused), "{refused:?}");
    assert!(!caller.expect_test());
    la.up(open);
    caller.expect(9, open, None);
    for call in 11..=open {
        la.down(call, 16, json!({}));
        caller.expect(12, call, Some(16));
        caller.say(16, call, &[]);
    }
    caller.say(12, 7, &[(143, &[16])]);
    caller.expect(16, 7, None);
    assert_eq!(caller.hear(), None);
    assert_eq!(program.operator("POST /control/in-service").0, 200);
    let mut caller = program.ready_caller();
    assert_eq!(program.operator("GET /control/ready").0, 200);
    caller.set_up(5000, 0, 9000);
    while la.hear().unwrap()["t"] != "new" {}
    la.up(5000);
    caller.expect(9, 5000, None);
}

/// A new version is started beside the running program. Told to stop, that lets go of the address at once, answers
/// what it has taken and closes connections as they fall idle; their callers find the new one. What stood there is
/// released here.
#[test]
fn a_successor_takes_over_at_the_same_address() {
    let (a, b, mut old, _names, mut la, _lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    let mut idle = old.ready_caller();
    let new = old.successor();
    let (mut na, _nb) = (a.accept(), b.accept());
    let since = Instant::now();
    while new.operator("GET /control/ready").0 != 200 {
        assert!(since.elapsed() < Duration::from_secs(3), "the successor is not ready");
    }
    caller.set_up(8, 0, 9000);
    la.expect("new", 8);
    old.terminate();
    assert_eq!(idle.hear(), None);
    for call in 20..30 {
        let mut caller = new.caller();
        stand(&mut caller, &mut na, call);
        assert!(caller.test());
    }
    caller.set_up(9, 0, 3000);
    la.expect("new", 9);
    la.up(8);
    caller.expect(9, 8, None);
    la.up(9);
    caller.expect(9, 9, None);
    assert_eq!(caller.hear(), None);
    assert!(old.wait().success());
    assert!(since.elapsed() < Duration::from_secs(4), "{:?}", since.elapsed());
    na.down(7, 16, json!({}));
    new.caller().expect(12, 7, Some(16));
}

#[test]
fn what_is_wrong_at_the_start_is_one_line() {
    let complaint = |arguments: &[&str]| {
        let output = run(arguments).output().unwrap();
        assert!(!output.status.success());
        String::from_utf8(output.stderr).unwrap()
    };
    let nowhere = ["serve", "--config", "/nowhere/config.json"];
    let manifest = concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml");
    let text = [&["serve"][..], &nowhere, &["check", "--listen"], &["sing"], &[]].map(complaint).concat();
    insta::assert_snapshot!(text, @r"
    corkreach: no configuration: give --config or set GW_CONFIG
    corkreach: /nowhere/config.json: No such file or directory (os error 2)
    corkreach: Unrecognized argument: --listen
    corkreach: Unrecognized argument: sing
    corkreach: One of the following subcommands must be present: help audit serve check fleet lab plan version
    ");
    assert_eq!(complaint(&["check", "--config", manifest]).lines().count(), 1);
}
