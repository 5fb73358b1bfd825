//! Clients that say nothing hold as many descriptors as they can: the name service, call servers and new callers
//! still get theirs.

use crate::rig::*;
use serde_json::json;

/// The configuration's limit on descriptors.
const SOCKETS: usize = 64;
/// Clients that connect and hold on.
const IDLE: usize = 300;

#[test]
fn idle_clients_leave_descriptors_for_all_others() {
    crowded(None, Program::caller);
}

/// The same with a limit that the system keeps to: one descriptor too many, and something gets none.
#[test]
fn idle_clients_leave_descriptors_for_all_others_where_the_system_has_no_more() {
    crowded(Some(SOCKETS as u32), Program::caller);
}

/// Clients that asked once and then hold on are closed by nothing but want of room.
#[test]
fn clients_that_asked_once_leave_descriptors_for_all_others() {
    crowded(Some(SOCKETS as u32), Program::ready_caller);
}

/// The name service is down while idle clients connect in this way. Then it moves: the new one's list is followed,
/// the call server that is new on it gets both its connections, and a new caller's set-ups are answered there.
fn crowded(open_files: Option<u32>, connect: impl Fn(&Program) -> Caller) {
    let (a, b) = (Server::start("s-a", 0), Server::start("s-b", 1));
    let start = Start { sockets: SOCKETS, open_files, names_silent: true, ..Start::default() };
    let (program, _silent) = start_as(&[&a, &b], start);
    let (mut la, _lb) = (a.accept(), b.accept());
    program.ready_caller().leave();
    let idle: Vec<Caller> = (0..IDLE).map(|_| connect(&program)).collect();

    let (names, c) = (Names::start(), Server::start("s-c", 1));
    program.reload(&program.file_with(&names));
    let draining = Listed { draining: true, ..b.listed.clone() };
    names.change(vec![a.listed.clone(), draining, c.listed.clone()], |_| {});
    let mut lc = c.accept();
    let mut caller = program.ready_caller();
    set_up(&mut caller, &mut lc, 7, 1);
    set_up(&mut caller, &mut lc, 8, 1);
    let mut second = c.accept();
    second.down(7, 16, json!({}));
    caller.expect(12, 7, Some(16));
    // The call servers known before have theirs still, and so have operators.
    let mut caller = program.ready_caller();
    set_up(&mut caller, &mut la, 9, 0);
    set_up(&mut caller, &mut la, 10, 0);
    a.accept();
    assert_eq!(program.operator("GET /control/ready").0, 200);
    drop(idle);
}

/// A call that stands at this place's call server, whose connection this is.
fn set_up(caller: &mut Caller, link: &mut Link, call: u64, place: u32) {
    caller.set_up(call, place, 9000);
    link.expect("new", call);
    link.up(call);
    caller.expect(9, call, None);
}
