//! A planned stop that may be cut short by a kill: SIGKILL comes as early as the longest deadline, counted as 3 s at most,
//! and 0.7 s more after SIGTERM.

use crate::rig::*;
use crate::{stand, two};
use std::io::Write;
use std::time::{Duration, Instant};

/// With the deadline of 9 s that the tests' settings have.
const KILLED_AFTER: Duration = Duration::from_millis(3700);

/// Guards against set-ups that a server holds through the whole of a stop: their callers had no answer by the time of the
/// kill.
#[test]
fn a_stop_answers_what_a_hanging_server_holds_before_the_kill() {
    let (_a, _b, program, _names, mut la, _lb, mut caller) = two();
    program.forbid_cancelling();
    caller.set_up(7, 0, 9000);
    la.expect("new", 7);
    let stopped = Instant::now();
    program.terminate();
    caller.set_patience(KILLED_AFTER);
    let (kind, call, _) = caller.hear().expect("an answer before the kill");
    assert_eq!((kind, call), (12, 7));
    assert!(stopped.elapsed() < KILLED_AFTER, "{:?}", stopped.elapsed());
    assert_eq!(la.expect("down", 7)["c"], 16);
}

/// Guards against a program that ends while a caller is in the middle of a set-up on an open connection: its last byte
/// came, and no answer did.
#[test]
fn a_set_up_written_slowly_through_the_end_of_a_stop_is_answered() {
    let (_a, _b, mut program, _names, _la, _lb, mut caller) = two();
    program.terminate();
    let bytes = Caller::set_up_bytes(7, 0, 9000);
    let (first, rest) = bytes.split_at(bytes.len() / 2);
    std::thread::sleep(Duration::from_millis(600));
    caller.stream.write_all(first).unwrap();
    std::thread::sleep(Duration::from_millis(900));
    caller.stream.write_all(rest).unwrap();
    caller.expect(12, 7, Some(42));
    assert!(program.wait().success());
}

/// Guards against a release that a stopping program takes from a call server and has no caller left to pass on to: the next
/// process never hears of it.
#[test]
fn a_stop_that_waits_for_a_slow_caller_takes_no_more_releases() {
    let (_a, _b, mut program, _names, mut la, _lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    let mut slow = program.caller();
    program.terminate();
    slow.stream.write_all(&Caller::set_up_bytes(8, 0, 9000)[..20]).unwrap();
    assert_eq!(caller.hear(), None, "its connection is closed at the end of the stop");
    let closed = Instant::now();
    while la.is_open() {
        assert!(closed.elapsed() < Duration::from_millis(500), "it would still be told of releases");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(program.child.try_wait().unwrap().is_none(), "it waits for the slow caller");
}
