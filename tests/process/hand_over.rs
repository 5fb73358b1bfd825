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

/// Guards against ends that wait for a caller at one process while the other has all of them: two processes serve beside each
/// other, and the end was told only as the first one left.
#[test]
fn an_end_that_finds_no_caller_is_told_by_the_process_beside() {
    // What a server that speaks text hears beside set-ups would be taken for them.
    let (a, b) = (Server::json("s-a", 0), Server::json("s-b", 1));
    let (old, _names) = start(&[&a, &b]);
    let (mut la, _lb) = (a.accept(), b.accept());
    let mut caller = old.ready_caller();
    stand(&mut caller, &mut la, 7);
    let new = old.successor();
    let mut links = [a.accept(), b.accept()];
    caller.leave();
    // New connections go to either process: one that the new process answers shows that it has a caller.
    let mut connections = Vec::new();
    for call in 100.. {
        let mut caller = new.ready_caller();
        caller.set_up(call, 0, 9000);
        if links[0].speaks_before(&mut la) {
            links[0].expect("new", call);
            links[0].up(call);
            caller.expect(9, call, None);
            connections.push(caller);
            break;
        }
        la.expect("new", call);
        la.up(call);
        caller.expect(9, call, None);
        caller.leave();
    }
    la.down(7, 16, json!({}));
    connections[0].expect(12, 7, Some(16));
}
