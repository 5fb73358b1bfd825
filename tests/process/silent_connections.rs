//! Connections to call servers that fall silent and were closed here: their call servers may not know of it for long.

use crate::rig::*;
use crate::{stand, two};
use serde_json::json;
use std::time::{Duration, Instant};

/// A closed connection used to be read for 0.3 s.
const SILENCE: Duration = Duration::from_millis(1500);
/// The end of a call that no release could tell reaches its caller within this.
const UNTOLD_WITHIN: Duration = Duration::from_millis(8050);

/// A call stands that was set up on a connection which the program then closes, as it missed what the second one heard. The
/// call server does not notice: its side stays open. Returns the first connection and the second.
fn closed_unnoticed(server: &Server, mut first: Link, caller: &mut Caller) -> (Link, Link) {
    stand(caller, &mut first, 7);
    let mut second = server.accept();
    while first.is_open() {
        second.gauge();
        std::thread::sleep(Duration::from_millis(150));
    }
    (first, second)
}

/// Guards against ends that are told on a connection which is closed here and open at its call server: they were read by
/// nobody.
#[test]
fn an_end_told_late_on_a_closed_connection_reaches_its_caller() {
    let (a, _b, _program, _names, la, _lb, mut caller) = two();
    let (mut first, _second) = closed_unnoticed(&a, la, &mut caller);
    std::thread::sleep(SILENCE);
    first.down(7, 16, json!({}));
    caller.expect(12, 7, Some(16));
}

/// Guards against ends that are lost on a silent connection, when no further one opens on which they would be told again.
#[test]
fn an_end_lost_on_a_closed_connection_is_told_on_one_that_opens_in_time() {
    let (a, _b, _program, _names, la, _lb, mut caller) = two();
    let (_first, mut second) = closed_unnoticed(&a, la, &mut caller);
    let mut replacement = a.accept();
    let ended = Instant::now();
    let mut next = loop {
        second.gauge();
        replacement.gauge();
        if let Some(next) = a.try_accept_mute() {
            break next;
        }
        assert!(ended.elapsed() < UNTOLD_WITHIN, "no further connection opens");
        std::thread::sleep(Duration::from_millis(100));
    };
    next.gauge();
    next.down(7, 16, json!({}));
    caller.expect(12, 7, Some(16));
    assert!(ended.elapsed() < UNTOLD_WITHIN, "{:?}", ended.elapsed());
}
