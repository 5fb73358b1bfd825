//! Events that cross each other (`docs/races.md`). Each test holds one side still until the other has acted: the program
//! by SIGSTOP, a call server by leaving its connections unaccepted, a caller by what it hears.

use crate::rig::*;
use crate::two;
use serde_json::json;
use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;

/// Set-ups are taken for 0.7 s after SIGTERM; this is past it.
const STOP_WINDOW: Duration = Duration::from_millis(800);
const REFUSED: Option<u8> = Some(42);
const FAILED: Option<u8> = Some(41);

/// A set-up is sent within the stop's 0.7 s, on an open connection and on one not accepted yet. The program stands still
/// until that time is over, and all of it is due at once when it goes on: each set-up still gets its answer.
#[test]
fn set_ups_that_lie_unread_when_a_stop_ends_are_answered() {
    let (_a, _b, mut program, _names, _la, _lb, mut caller) = two();
    program.terminate();
    while caller.test() {}
    program.hold();
    caller.set_up(7, 0, 9000);
    let mut unaccepted = program.caller();
    unaccepted.set_up(8, 0, 9000);
    // The program's own clock is to run past the window; nothing else is waited for.
    std::thread::sleep(STOP_WINDOW);
    program.go_on();
    caller.expect(12, 7, REFUSED);
    unaccepted.expect(12, 8, REFUSED);
    assert!(program.wait().success());
}

/// A set-up lies unread on an idle connection when SIGTERM makes the program close such connections for its successor:
/// it came first, so it is taken up.
#[test]
fn set_ups_that_came_before_a_hand_over_closes_their_connections_are_taken_up() {
    let (_a, _b, mut old, _names, _la, _lb, _caller) = two();
    let mut idle: Vec<Caller> = (0..4).map(|_| old.ready_caller()).collect();
    let new = old.successor();
    old.hold();
    for (call, caller) in (20..).zip(&mut idle) {
        caller.set_up(call, (call % 2) as u32, 400);
    }
    old.terminate();
    old.go_on();
    for (call, caller) in (20..).zip(&mut idle) {
        let heard = caller.hear().map(|(kind, of, _)| (kind, of));
        assert_eq!(heard, Some((12, call)), "the answer comes before the close");
        assert_eq!(caller.hear(), None);
    }
    assert!(old.wait().success());
    drop(new);
}

/// A connection that has been silent is closed, and its first set-up has come just before: it is taken up.
#[test]
fn a_first_set_up_that_came_before_its_silent_connection_is_closed_is_taken_up() {
    let (_a, _b, program, _names, mut la, _lb, _caller) = two();
    let mut silent = program.caller();
    program.hold();
    silent.set_up(7, 0, 9000);
    // Past the time in which a first message is waited for.
    std::thread::sleep(Duration::from_millis(2900));
    program.go_on();
    la.expect("new", 7);
    la.up(7);
    silent.expect(9, 7, None);
}

/// A caller closes its connection while its set-up is out: the set-up is called off, and with that it is over.
#[test]
fn a_set_up_whose_caller_closed_its_connection_is_called_off() {
    let (_a, _b, program, _names, mut la, mut lb, mut caller) = two();
    caller.set_up(7, 0, 9000);
    la.expect("new", 7);
    drop(caller);
    assert_eq!(la.expect("down", 7)["c"], 16);
    let figures = program.operator("GET /control/counters").1;
    assert!(figures.contains("gw_in_progress 0\n"), "nothing waits to be tried elsewhere: {figures}");
    // An answer that crossed the release is released as well, and nothing was tried elsewhere.
    la.up(7);
    assert_eq!(la.expect("down", 7)["c"], 16);
    let mut other = program.ready_caller();
    other.set_up(8, 1, 9000);
    lb.expect("new", 8);
}

/// A caller shuts its side while its set-up is out, and the set-up breaks: nothing is tried for it any more, neither at
/// once nor after the guard. It hears so at once, as it may listen still.
#[test]
fn no_further_attempt_begins_for_a_caller_that_shut_its_side() {
    let (_a, _b, program, _names, mut la, mut lb, mut caller) = two();
    caller.set_up(7, 0, 9000);
    la.expect("new", 7);
    caller.stream.shutdown(Shutdown::Write).unwrap();
    // The program has seen it.
    assert_eq!(caller.hear().map(|(kind, call, _)| (kind, call)), Some((PROGRESS, 7)));
    la.down(7, 41, json!({}));
    caller.expect(12, 7, FAILED);
    assert_eq!(caller.hear(), None);
    let mut other = program.ready_caller();
    other.set_up(8, 1, 9000);
    lb.expect("new", 8);
}

/// The same while the caller's set-up waits for the guard of its first attempt.
#[test]
fn a_set_up_that_waits_for_the_guard_is_not_sent_for_a_caller_that_left() {
    let (_a, _b, program, _names, mut la, mut lb, mut caller) = two();
    caller.set_up(7, 0, 9000);
    la.expect("new", 7);
    la.down(7, 41, json!({}));
    caller.stream.shutdown(Shutdown::Write).unwrap();
    caller.expect(12, 7, FAILED);
    assert_eq!(caller.hear(), None);
    let mut other = program.ready_caller();
    other.set_up(8, 1, 9000);
    lb.expect("new", 8);
}

/// A caller leaves while its set-up waits for a connection: once the connection comes up it carries the next call's
/// set-up and never that one, which is not tried elsewhere either.
#[test]
fn a_set_up_that_waits_for_a_connection_is_not_sent_for_a_caller_that_left() {
    let (listener, fill) = full_listener();
    let addr = listener.local_addr().unwrap();
    let a = Server {
        listener,
        listed: Listed { id: "s-a", addr, place: 0, draining: false, started_ms: 0 },
        text: text_servers(),
    };
    let b = Server::start("s-b", 1);
    let (program, _names) = start(&[&a, &b]);
    let mut lb = b.accept();
    let mut leaves = program.ready_caller();
    leaves.set_up(7, 0, 9000);
    leaves.stream.shutdown(Shutdown::Write).unwrap();
    leaves.expect(12, 7, FAILED);
    assert_eq!(leaves.hear(), None);
    // What filled the queue is taken out of it, and the next connection is the program's.
    for _ in &fill {
        a.accept_mute();
    }
    drop(fill);
    let mut la = a.accept();
    let mut other = program.ready_caller();
    other.set_up(8, 0, 9000);
    la.expect("new", 8);
    other.set_up(9, 1, 9000);
    lb.expect("new", 9);
}

/// SIGTERM, SIGTERM again and SIGHUP are all there at once when the program goes on, and a set-up is out: the new
/// configuration is followed, the set-up gets its answer, and the program ends.
#[test]
fn a_reload_and_a_second_stop_that_meet_a_stop_leave_what_was_taken_alone() {
    let (a, b, mut program, _names, mut la, _lb, mut caller) = two();
    caller.set_up(7, 0, 9000);
    la.expect("new", 7);
    let new = Names::start();
    new.state.lock().unwrap().list = vec![a.listed.clone(), b.listed.clone()];
    program.hold();
    program.terminate();
    program.reload(&program.file_with(&new));
    program.go_on();
    new.wait_until_told();
    program.terminate();
    while caller.test() {}
    la.up(7);
    caller.expect(9, 7, None);
    assert!(program.wait().success());
}

/// A program and its successor are told to stop at the same time. The one that acts first leaves the address to the
/// other, which finds nobody to leave it to and goes on taking connections for a while.
#[test]
fn of_two_processes_told_to_stop_at_once_the_last_goes_on_accepting() {
    let (a, b, mut old, _names, _la, _lb, mut idle) = two();
    let mut new = old.successor();
    let (mut na, _nb) = (a.accept(), b.accept());
    for process in [&old, &new] {
        process.hold();
        process.terminate();
    }
    old.go_on();
    assert_eq!(idle.hear(), None);
    new.go_on();
    let mut late = new.caller();
    late.set_up(7, 0, 9000);
    na.expect("new", 7);
    na.up(7);
    late.expect(9, 7, None);
    assert!(old.wait().success() && new.wait().success());
}

/// A caller writes its set-up in pieces on an idle connection, and an operator's drain closes idle connections meanwhile:
/// this one stays, and the set-up gets its answer.
#[test]
fn a_set_up_written_in_pieces_keeps_its_connection_through_a_drain() {
    let (_a, _b, program, _names, _la, _lb, mut idle) = two();
    let mut writes = program.ready_caller();
    let message = Caller::set_up_bytes(7, 0, 400);
    let (first, last) = message.split_at(message.len() - 1);
    for byte in first {
        writes.stream.write_all(&[*byte]).unwrap();
    }
    assert_eq!(program.operator("POST /control/out-of-service").0, 200);
    // Idle connections are closed all at once.
    assert_eq!(idle.hear(), None);
    writes.stream.write_all(last).unwrap();
    assert_eq!(writes.hear().map(|(kind, call, _)| (kind, call)), Some((12, 7)));
}

/// A call server accepts a connection and is killed with a set-up unread on it: its only trace is a reset. The set-up goes
/// to the other call server and stands there.
#[test]
fn a_set_up_unread_at_a_call_server_killed_behind_its_accept_goes_elsewhere() {
    let (a, _b, _program, _names, la, mut lb, mut caller) = two();
    drop(la);
    let mut accepted = a.accept_mute();
    caller.set_up(7, 0, 9000);
    accepted.peek();
    drop(a.listener);
    drop(accepted);
    lb.expect("new", 7);
    lb.up(7);
    caller.expect(9, 7, None);
    assert!(caller.test(), "nothing but the test's answer comes");
}

/// Guards against set-ups that are sent on for a caller that has left: the program stood still, and read them later than its
/// caller had closed the connection.
#[test]
fn set_ups_of_a_caller_that_left_before_they_were_read_are_not_sent() {
    let (_a, _b, program, _names, mut la, _lb, mut caller) = two();
    let mut other = program.ready_caller();
    program.hold();
    caller.set_up(7, 0, 9000);
    drop(caller);
    program.go_on();
    // What is sent on for a caller that has gone is sent within this.
    std::thread::sleep(Duration::from_millis(300));
    other.set_up(8, 0, 9000);
    la.expect("new", 8);
}

/// The same for a caller that shut its side only, and listens: its set-up is sent, and it hears the answer.
#[test]
fn a_set_up_of_a_caller_that_shut_its_side_before_it_was_read_is_answered() {
    let (_a, _b, program, _names, mut la, _lb, mut caller) = two();
    program.hold();
    caller.set_up(7, 0, 9000);
    caller.stream.shutdown(Shutdown::Write).unwrap();
    program.go_on();
    la.expect("new", 7);
    la.up(7);
    caller.expect(9, 7, None);
}
