//! Bad input on real sockets: it gets the refusal or close that the protocol names and one log line for each kind and
//! span, and ends neither the process nor another caller's call.

use crate::rig::*;
use crate::speech::{Peer, read};
use crate::{stand, two};
use corkreach::codec::h248::tree::Token;
use corkreach::rate_limited_log::{BadInput, SPAN_MS};
use serde_json::json;
use std::io::{ErrorKind, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// So often each kind of bad input comes.
const REPETITIONS: usize = 200;
/// Refused messages on one connection, below the number that closes it, and that number.
const REFUSED_PER_CONNECTION: usize = 10;
const FAULTS_MAX: usize = 16;
/// A message that says 99 bytes and holds one.
const HALF: [u8; 3] = [0, 99, 1];

/// The calls of a caller in good order.
const STANDING: u64 = 0x51;
const OPEN: u64 = 0x52;

/// A caller with calls that stand and a set-up that is open, and the connection that carries them at their call
/// server. None may be touched by what others send.
struct Bystander {
    caller: Caller,
    link: Link,
    open: u64,
}

impl Bystander {
    fn new(mut caller: Caller, mut link: Link) -> Bystander {
        stand(&mut caller, &mut link, STANDING);
        caller.set_up(OPEN, 0, 9000);
        link.expect("new", OPEN);
        Bystander { caller, link, open: OPEN }
    }

    /// The open set-up is answered and another one takes its place: after one that was open for long the next goes to
    /// the other call server.
    fn go_on(&mut self) {
        self.answer();
        self.open += 1;
        self.caller.set_up(self.open, 0, 9000);
        self.link.expect("new", self.open);
    }

    /// Goes on until then.
    fn go_on_until(&mut self, mut done: impl FnMut() -> bool) {
        let since = Instant::now();
        while !done() {
            assert!(since.elapsed() < PATIENCE, "what is waited for does not come");
            self.go_on();
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn answer(&mut self) {
        self.link.up(self.open);
        self.caller.expect(9, self.open, None);
    }

    /// All calls come to their normal end, and their caller hears nothing else.
    fn finish(mut self) {
        self.answer();
        for call in STANDING..=self.open {
            self.link.down(call, 16, json!({}));
            self.caller.expect(12, call, Some(16));
            self.caller.say(16, call, &[]);
            self.link.expect("ack", call);
        }
        assert!(self.caller.test(), "nothing but the test's answer comes");
    }
}

/// Lines of this kind in the log.
fn lines_of(program: &Program, kind: BadInput) -> Vec<String> {
    let start = format!("bad input: {kind}: ");
    program.log_lines().into_iter().filter(|line| line.contains(&start)).collect()
}

/// One line of this kind was written for all that came since then, or one more for each span that has passed.
fn assert_one_line(program: &Program, kind: BadInput, since: Instant) {
    let lines = lines_of(program, kind);
    let later_spans = (since.elapsed().as_secs_f64() * 1000.0 / SPAN_MS) as usize;
    assert!((1..=1 + later_spans).contains(&lines.len()), "{kind} in {:?}: {lines:#?}", since.elapsed());
}

/// This much on a connection, `REPETITIONS` times: the program closes each.
fn each_is_closed(bytes: &[u8], shut: bool, kind: BadInput) {
    let (_a, _b, program, _names, la, _lb, caller) = two();
    let mut bystander = Bystander::new(caller, la);
    let since = Instant::now();
    for _ in 0..REPETITIONS {
        let mut bad = program.caller();
        bad.stream.write_all(bytes).unwrap();
        if shut {
            bad.stream.shutdown(Shutdown::Write).unwrap();
        }
        assert_eq!(bad.hear(), None);
        bystander.go_on();
    }
    assert_one_line(&program, kind, since);
    bystander.finish();
}

#[test]
fn half_a_message_at_a_close_ends_its_own_connection() {
    each_is_closed(&HALF, true, BadInput::CallerMessageHalf);
}

#[test]
fn an_oversized_message_ends_its_own_connection() {
    each_is_closed(&[0xff, 0xff, 1], false, BadInput::CallerMessageOversized);
}

#[test]
fn a_message_too_short_for_its_head_ends_its_own_connection() {
    each_is_closed(&[0, 3, 1, 0, 0], false, BadInput::CallerMessageUnreadable);
}

/// Half a message that goes no further, also as the first on its connection.
#[test]
fn half_a_message_that_stalls_ends_its_own_connection() {
    let (_a, _b, program, _names, la, _lb, caller) = two();
    let mut bystander = Bystander::new(caller, la);
    let since = Instant::now();
    let mut bad: Vec<Caller> = (0..REPETITIONS).map(|_| program.caller()).collect();
    for (n, bad) in bad.iter_mut().enumerate() {
        assert!(n % 2 == 0 || bad.test());
        bad.stream.write_all(&HALF).unwrap();
        bad.stream.set_nonblocking(true).unwrap();
        bystander.go_on();
    }
    for bad in &mut bad {
        let silent = |e: std::io::Error| e.kind() == ErrorKind::WouldBlock;
        bystander.go_on_until(|| !bad.stream.peek(&mut [0]).is_err_and(silent));
        bad.stream.set_nonblocking(false).unwrap();
        assert_eq!(bad.hear(), None);
    }
    assert_one_line(&program, BadInput::CallerMessageHalf, since);
    bystander.finish();
}

/// Longer than half a message is waited for where nothing else is open on its connection.
const STALLED_FOR: Duration = Duration::from_millis(3600);

/// The caller stalls, while the call server tells its state now and then, so that it does not count as silent.
fn stall(server: &Server, first: &mut Link) {
    let since = Instant::now();
    let mut others = Vec::new();
    while since.elapsed() < STALLED_FOR {
        others.extend(server.try_accept_mute());
        others.iter_mut().for_each(Link::gauge);
        first.gauge();
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Guards against a set-up that loses its answer, as its connection is closed for the half message behind it.
#[test]
fn half_a_message_that_stalls_takes_no_answer_away() {
    let (a, _b, program, _names, mut la, _lb, mut caller) = two();
    program.forbid_cancelling();
    caller.set_up(7, 0, 9000);
    la.expect("new", 7);
    caller.stream.write_all(&HALF).unwrap();
    stall(&a, &mut la);
    la.up(7);
    caller.expect(9, 7, None);
    assert_eq!(caller.hear(), None, "nothing is open on it any more");
}

/// The rest of the message comes after all, while a set-up is open: it is taken up.
#[test]
fn half_a_message_that_goes_on_while_a_set_up_is_open_is_taken_up() {
    let (a, _b, program, _names, mut la, mut lb, mut caller) = two();
    program.forbid_cancelling();
    caller.set_up(7, 0, 9000);
    la.expect("new", 7);
    let bytes = Caller::set_up_bytes(8, 1, 9000);
    let (first, rest) = bytes.split_at(bytes.len() / 2);
    caller.stream.write_all(first).unwrap();
    stall(&a, &mut la);
    caller.stream.write_all(rest).unwrap();
    lb.expect("new", 8);
    lb.up(8);
    caller.expect(9, 8, None);
}

/// A caller shuts its side in the middle of a message, with a set-up open: it still hears the answer.
#[test]
fn half_a_message_at_a_close_takes_no_answer_away() {
    let (_a, _b, program, _names, mut la, _lb, mut caller) = two();
    caller.set_up(7, 0, 9000);
    la.expect("new", 7);
    caller.stream.write_all(&HALF).unwrap();
    caller.stream.shutdown(Shutdown::Write).unwrap();
    let since = Instant::now();
    while lines_of(&program, BadInput::CallerMessageHalf).is_empty() {
        assert!(since.elapsed() < PATIENCE, "the close is not noticed");
    }
    la.up(7);
    caller.expect(9, 7, None);
    assert_eq!(caller.hear(), None);
    la.down(7, 16, json!({}));
    program.caller().expect(12, 7, Some(16));
}

/// A text caller is told of the half item before its connection is closed.
#[test]
fn half_an_item_at_a_text_callers_close_is_answered_with_an_error() {
    let a = Server::json("s-a", 0);
    let (program, _names, text) = start_fronts(&[&a], "text:\n  listen: 127.0.0.1:0\n", true);
    let la = a.accept();
    let mut bystander = Bystander::new(program.ready_caller(), la);
    let since = Instant::now();
    for _ in 0..REPETITIONS {
        let mut bad = Peer::connect(text.unwrap());
        bad.say("T=1{C=1{A=voice{");
        bad.stream.shutdown(Shutdown::Write).unwrap();
        let told = bad.hear().expect("a last word");
        assert_eq!((read(&told).token(), read(&told).value), (Token::Error, Some("400")));
        assert_eq!(bad.hear(), None);
        bystander.go_on();
    }
    assert_one_line(&program, BadInput::CallerMessageHalf, since);
    bystander.finish();
}

/// The parameters of a set-up with this class and wait.
fn parameters<'a>(class: &'a [u8], wait: &'a [u8]) -> [(u8, &'a [u8]); 4] {
    [(129, class), (130, wait), (134, b"dest:0;width:1"), (144, b"d")]
}

/// One message, `REPETITIONS` times, on as many connections as it takes: each gets a refusal with this cause.
fn each_is_refused(kind: u8, parameters: &[(u8, &[u8])], cause: u8) {
    let (_a, _b, program, _names, la, _lb, caller) = two();
    let mut bystander = Bystander::new(caller, la);
    let since = Instant::now();
    for first in (1000..).step_by(REFUSED_PER_CONNECTION).take(REPETITIONS / REFUSED_PER_CONNECTION) {
        let mut bad = program.caller();
        for call in (first..).take(REFUSED_PER_CONNECTION) {
            bad.say(kind, call, parameters);
            bad.expect(12, call, Some(cause));
        }
        assert!(bad.test(), "the connection is of use still");
        bystander.go_on();
    }
    assert_one_line(&program, BadInput::CallerMessageRefused, since);
    bystander.finish();
}

#[test]
fn an_unknown_class_is_refused_as_invalid() {
    each_is_refused(1, &parameters(b"fax", b"900"), 100);
}

#[test]
fn an_absurd_deadline_is_refused_as_invalid() {
    for wait in ["99999999999999999999999", "18001", "-1", "NaN", "soon"] {
        each_is_refused(1, &parameters(b"voice", wait.as_bytes()), 100);
    }
}

#[test]
fn a_set_up_without_class_and_deadline_is_refused_as_incomplete() {
    each_is_refused(1, &parameters(b"voice", b"900")[2..], 96);
}

#[test]
fn a_message_of_no_known_type_is_refused_as_unknown() {
    each_is_refused(77, &[], 97);
}

#[test]
fn too_many_refused_messages_close_their_own_connection() {
    let (_a, _b, program, _names, la, _lb, caller) = two();
    let mut bystander = Bystander::new(caller, la);
    let since = Instant::now();
    for _ in 0..REPETITIONS {
        let mut bad = program.caller();
        for call in (1000..).take(FAULTS_MAX) {
            bad.say(1, call, &parameters(b"fax", b"900"));
            bad.expect(12, call, Some(100));
        }
        assert_eq!(bad.hear(), None);
        bystander.go_on();
    }
    assert_one_line(&program, BadInput::CallerFaults, since);
    assert_one_line(&program, BadInput::CallerMessageRefused, since);
    bystander.finish();
}

/// With no time left a set-up fails before its caller's next message is answered, and no call server hears of it.
#[test]
fn a_deadline_of_nothing_fails_at_once_and_reaches_no_call_server() {
    let (_a, _b, _program, _names, mut la, mut lb, mut caller) = two();
    for (call, wait) in (1000..).zip(["0", "0.4", "0", "1e-300"]) {
        for place in 0..2 {
            let (call, extras) = (2 * call + place, format!("dest:{place};width:1"));
            let fields = [
                (129, b"voice".as_slice()),
                (130, wait.as_bytes()),
                (134, extras.as_bytes()),
                (144, SDP.as_bytes()),
            ];
            caller.say(1, call, &fields);
            caller.say(52, 0, &[(143, &[0])]);
            caller.expect(12, call, Some(41));
            assert!(caller.expect_test());
        }
    }
    // The first that either call server hears of is a set-up with time left.
    for (call, place, link) in [(7, 0, &mut la), (8, 1, &mut lb)] {
        caller.set_up(call, place, 9000);
        link.expect("new", call);
        link.up(call);
        caller.expect(9, call, None);
    }
    assert!(caller.test(), "nothing but the test's answer comes");
}

/// Datagrams that are no list, from the name service's own address.
#[test]
fn an_unreadable_list_is_dropped_and_the_next_good_one_followed() {
    const PER_QUERY: usize = 100;
    let (a, b, program, names, la, mut lb, caller) = two();
    let mut bystander = Bystander::new(caller, la);
    let mut other = program.ready_caller();
    let since = Instant::now();
    for _ in 0..REPETITIONS / PER_QUERY {
        let mut state = names.state.lock().unwrap();
        state.stray = (0..PER_QUERY).map(|n| vec![0xa5; n]).collect();
        state.told = 0;
        drop(state);
        bystander.go_on_until(|| names.state.lock().unwrap().told >= 2);
    }
    assert_one_line(&program, BadInput::ListUnreadable, since);
    bystander.finish();
    // A newer list is cut short on its way twice, then comes whole.
    let draining = vec![Listed { draining: true, ..a.listed.clone() }, b.listed.clone()];
    names.change(draining, |state| state.garble = 2);
    other.set_up(7, 0, 9000);
    lb.expect("new", 7);
    lb.up(7);
    other.expect(9, 7, None);
}

/// A server listed twice at different addresses: nobody could say which holds, so the list is dropped whole.
#[test]
fn a_list_that_contradicts_itself_is_dropped() {
    let (a, b, program, names, la, mut lb, caller) = two();
    let bystander = Bystander::new(caller, la);
    let mut other = program.ready_caller();
    let since = Instant::now();
    let elsewhere = Server::start("s-a", 0);
    names.change(vec![a.listed.clone(), elsewhere.listed.clone(), b.listed.clone()], |_| {});
    elsewhere.listener.set_nonblocking(true).unwrap();
    assert!(elsewhere.listener.accept().is_err(), "nothing goes to the second address");
    assert_one_line(&program, BadInput::ListUnreadable, since);
    bystander.finish();
    // Said twice alike it is one server, and the list is followed.
    let draining = Listed { draining: true, ..a.listed.clone() };
    names.change(vec![draining.clone(), draining, b.listed.clone()], |_| {});
    other.set_up(7, 0, 9000);
    lb.expect("new", 7);
    lb.up(7);
    other.expect(9, 7, None);
}

/// A newer list without any server says that all are gone: what stood is cut, what is open gets its final answer,
/// and the next list is followed.
#[test]
fn an_empty_list_ends_calls_in_order_and_the_next_list_is_followed() {
    let (a, b, _program, names, mut la, _lb, mut caller) = two();
    stand(&mut caller, &mut la, STANDING);
    caller.set_up(OPEN, 0, 9000);
    la.expect("new", OPEN);
    names.change(Vec::new(), |_| {});
    caller.set_up(9, 0, 9000);
    let mut ended: Vec<(u8, u64)> = (0..3)
        .map(|_| {
            let (kind, call, _) = caller.hear().expect("an open connection");
            (kind, call)
        })
        .collect();
    ended.sort_unstable();
    assert_eq!(ended, [(12, 9), (12, STANDING), (12, OPEN)]);
    assert_eq!(la.hear(), None);
    names.change(vec![a.listed.clone(), b.listed.clone()], |_| {});
    let (mut la, _lb) = (a.accept(), b.accept());
    stand(&mut caller, &mut la, 7);
    assert!(caller.test(), "nothing but the test's answer comes");
}

/// What a call server says on each of its connections, `REPETITIONS` times: the program closes each of them.
fn each_link_is_closed(said: &str, shut: bool, kind: BadInput) {
    const SERVERS: usize = 50;
    let (a, b) = (Server::start("s-a", 0), Server::start("s-b", 1));
    let name = |n: usize| -> &'static str { Box::leak(format!("s-bad{n}").into_boxed_str()) };
    let bad: Vec<Server> = (0..SERVERS).map(|n| Server::start(name(n), 1)).collect();
    let all: Vec<&Server> = [&a, &b].into_iter().chain(&bad).collect();
    let (program, _names) = start(&all);
    let (la, _lb) = (a.accept(), b.accept());
    let first: Vec<Link> = bad.iter().map(Server::accept).collect();
    let mut bystander = Bystander::new(program.ready_caller(), la);
    let since = Instant::now();
    let mut round = first;
    for left in (0..REPETITIONS / SERVERS).rev() {
        for link in &mut round {
            link.say_raw(said);
            if shut {
                link.shut();
            }
        }
        for link in &mut round {
            bystander.go_on_until(|| !link.is_open());
        }
        round.clear();
        for server in bad.iter().filter(|_| left > 0) {
            let mut next = None;
            bystander.go_on_until(|| {
                next = server.try_accept_mute();
                next.is_some()
            });
            let mut link = next.unwrap();
            link.gauge();
            round.push(link);
        }
    }
    assert_one_line(&program, kind, since);
    bystander.finish();
}

/// What neither a JSON nor a text call server may say.
fn unreadable() -> &'static str {
    if text_servers() { "} \n" } else { "{\"t\":\n" }
}

#[test]
fn an_unreadable_line_ends_its_own_connection() {
    each_link_is_closed(unreadable(), false, BadInput::ServerMessageUnreadable);
}

#[test]
fn half_a_line_at_a_close_ends_its_own_connection() {
    each_link_is_closed("{\"t\":\"up\"", true, BadInput::ServerMessageHalf);
}

/// A spoilt JSON line breaks a connection with several set-ups out: each is tried again, and stands once.
#[test]
fn set_ups_beside_a_spoilt_line_are_tried_again() {
    let (a, b) = (Server::json("s-a", 0), Server::json("s-b", 1));
    let (program, _names) = start(&[&a, &b]);
    let (mut la, lb) = (a.accept(), b.accept());
    let mut caller = program.ready_caller();
    let calls = [7, 8, 9];
    for call in calls {
        caller.set_up(call, 0, 9000);
        la.expect("new", call);
    }
    let since = Instant::now();
    la.say_raw("{\"t\":\n");
    // They come on the next connections there or at the other call server.
    let (mut links, mut again) = (vec![lb], Vec::new());
    while again.len() < calls.len() {
        assert!(since.elapsed() < PATIENCE, "{again:?} alone were tried again");
        if let Some(mut link) = a.try_accept_mute() {
            link.gauge();
            links.push(link);
        }
        let Some(link) = links.iter_mut().find(|link| link.speaks()) else {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        };
        let new = link.hear().expect("an open connection");
        assert_eq!(new["t"], "new", "{new}");
        let call = u64::from_str_radix(new["ref"].as_str().unwrap(), 16).unwrap();
        link.up(call);
        caller.expect(9, call, None);
        again.push(call);
    }
    again.sort_unstable();
    assert_eq!(again, calls);
    assert!(caller.test(), "nothing but the test's answer comes");
    assert_one_line(&program, BadInput::ServerMessageUnreadable, since);
}

/// An answer that nobody could be told: it is released where it was given, and the call tried again.
#[test]
fn an_answer_without_a_description_is_released_and_the_call_tried_again() {
    let (_a, _b, program, _names, mut la, mut lb, mut caller) = two();
    let since = Instant::now();
    caller.set_up(7, 0, 9000);
    la.expect("new", 7);
    la.say(json!({"t": "up", "ref": "0000000000000007", "f": {}}));
    la.expect("down", 7);
    lb.expect("new", 7);
    lb.up(7);
    caller.expect(9, 7, None);
    assert!(caller.test(), "nothing but the test's answer comes");
    assert_one_line(&program, BadInput::ServerAnswerIncomplete, since);
}

/// Returns once all that the call server said on this connection has been taken up: last of all the end of a call
/// that this program does not know, which its caller is told of.
fn wait_until_heard(link: &mut Link, caller: &mut Caller, unknown: u64) {
    link.down(unknown, 41, json!({}));
    caller.expect(12, unknown, Some(41));
    link.expect("ack", unknown);
}

#[test]
fn a_second_answer_and_a_second_end_of_a_call_mean_nothing() {
    let (_a, _b, _program, _names, mut la, _lb, mut caller) = two();
    caller.set_up(7, 0, 9000);
    la.expect("new", 7);
    la.up(7);
    la.up(7);
    caller.expect(9, 7, None);
    wait_until_heard(&mut la, &mut caller, 98);
    la.down(7, 16, json!({}));
    la.down(7, 16, json!({}));
    caller.expect(12, 7, Some(16));
    la.expect("ack", 7);
    wait_until_heard(&mut la, &mut caller, 99);
    assert!(caller.test(), "nothing but the test's answer comes");
}

#[test]
fn a_second_refusal_of_a_call_tried_elsewhere_means_nothing() {
    let (_a, _b, _program, _names, mut la, mut lb, mut caller) = two();
    caller.set_up(7, 0, 9000);
    la.expect("new", 7);
    la.down(7, 34, json!({"note": "ovl", "load": "x0:90;x1:100;latency_ms:4000;qps:1"}));
    lb.expect("new", 7);
    for cause in [34, 17, 41, 102] {
        la.down(7, cause, json!({}));
    }
    wait_until_heard(&mut la, &mut caller, 98);
    lb.up(7);
    caller.expect(9, 7, None);
    // Also once the call stands.
    la.down(7, 34, json!({}));
    wait_until_heard(&mut la, &mut caller, 99);
    lb.down(7, 16, json!({}));
    caller.expect(12, 7, Some(16));
    lb.expect("ack", 7);
    assert!(caller.test(), "nothing but the test's answer comes");
}

/// A call server answers what it has refused: that is released there, and the attempt at the other one is not touched.
#[test]
fn an_answer_after_a_refusal_ends_no_attempt_elsewhere() {
    let (_a, _b, _program, _names, mut la, mut lb, mut caller) = two();
    caller.set_up(7, 0, 9000);
    la.expect("new", 7);
    la.down(7, 34, json!({"note": "ovl", "load": "x0:90;x1:100;latency_ms:4000;qps:1"}));
    lb.expect("new", 7);
    la.up(7);
    la.expect("down", 7);
    lb.up(7);
    caller.expect(9, 7, None);
    lb.down(7, 16, json!({}));
    caller.expect(12, 7, Some(16));
    lb.expect("ack", 7);
    assert!(caller.test(), "nothing but the test's answer comes");
}
