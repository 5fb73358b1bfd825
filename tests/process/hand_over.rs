//! A new version takes over from an old one at the same address: what call servers tell the old process last still reaches
//! its caller.

use crate::rig::*;
use crate::{stand, two, wait_until_read};
use serde_json::json;
use std::io::Write;

/// Returns once the program has closed its side of this connection; the call server's side is open still.
fn wait_until_left(link: &mut Link) {
    while let Some(line) = link.hear() {
        assert_eq!(line["t"], "ack", "{line}");
    }
}

/// Guards against the end of a call that its call server tells the old process too late to be read there: the new process,
/// whose connections were open already, was never told.
#[test]
fn an_end_lost_on_its_way_to_a_process_that_leaves_in_a_hand_over_reaches_its_caller() {
    let (a, b, mut old, _names, mut la, _lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    let new = old.successor();
    let _first = [a.accept(), b.accept()];
    old.terminate();
    assert_eq!(caller.hear(), None, "the old process closes its callers' connections");
    let mut moved = new.ready_caller();
    wait_until_left(&mut la);
    drop(la);
    assert!(old.wait().success());
    // An end that was not said to be heard is told on the next connection that opens.
    let mut next = a.accept();
    next.down(7, 16, json!({}));
    moved.expect(12, 7, Some(16));
    moved.say(16, 7, &[]);
    next.expect("ack", 7);
}

/// Guards against the end of a call that the old process hears when no caller is left there: nobody passed it on. Neither does
/// a connection that stopped in the middle of its first message keep the old process at its call servers.
#[test]
fn an_end_told_to_a_process_that_leaves_in_a_hand_over_reaches_its_caller() {
    let (a, b, old, _names, mut la, _lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    let mut half = old.caller();
    half.stream.write_all(&Caller::set_up_bytes(8, 0, 9000)[..20]).unwrap();
    wait_until_read(&mut la, 99);
    let new = old.successor();
    let _first = [a.accept(), b.accept()];
    old.terminate();
    assert_eq!(caller.hear(), None, "the old process closes its callers' connections");
    let mut moved = new.ready_caller();
    wait_until_left(&mut la);
    la.down(7, 16, json!({}));
    drop(la);
    moved.expect(12, 7, Some(16));
    half.stream.write_all(&Caller::set_up_bytes(8, 0, 9000)[20..]).unwrap();
    // What was read as the connection to the call server closed is offered here as well: this may be a caller's.
    half.expect(12, 7, Some(16));
    half.expect(12, 8, Some(42));
}
