use super::*;
use crate::reservations::{Answer, Listing, Promise, Reason, Wish};
use crate::version::{Status, Version};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream as Stream};
use std::time::Instant;

/// A process's operators' address on a thread of its own, and the answers of a reducer that is ready, whose reloads
/// fail, and that has nothing to say to the rest.
fn operators() -> SocketAddr {
    operators_with(None)
}

fn operators_with(desk: Option<Desk>) -> SocketAddr {
    let (told, addr) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            told.send(listener.local_addr().unwrap()).unwrap();
            let (questions, mut asked) = mpsc::channel(16);
            tokio::task::spawn_local(listen(listener, questions, desk));
            while let Some((ask, reply)) = asked.recv().await {
                let answer = match ask {
                    OperatorAsk::Ready => OperatorAnswer::Ready(true),
                    OperatorAsk::OutOfService => OperatorAnswer::Ready(false),
                    OperatorAsk::Reload => OperatorAnswer::Status(Box::new(failed())),
                    _ => continue,
                };
                reply.send(answer).unwrap();
            }
        });
    });
    addr.recv().unwrap()
}

fn failed() -> Status {
    Status {
        name: "n0".into(),
        version: Version::default(),
        list: 0,
        ready: true,
        out_of_service: false,
        in_progress: 0,
        reload_failed: Some("no such file".into()),
    }
}

fn said(addr: SocketAddr, call: &str) -> Stream {
    let mut stream = Stream::connect(addr).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream.write_all(call.as_bytes()).unwrap();
    stream
}

/// All that comes until the connection is closed.
fn heard(mut stream: Stream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

fn status(addr: SocketAddr, call: &str) -> u16 {
    let answer = heard(said(addr, call));
    answer.split(' ').nth(1).unwrap_or_else(|| panic!("no answer to {call:.60}")).parse().unwrap()
}

#[test]
fn an_answer_tells_that_its_connection_is_over() {
    assert_eq!(
        heard(said(operators(), "GET /control/ready?verbose HTTP/1.1\r\nHost: n0\r\n\r\n")),
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\nConnection: close\r\n\
         Content-Length: 6\r\n\r\nready\n"
    );
}

#[test]
fn each_wrong_call_has_its_status() {
    let addr = operators();
    let ask = |call: &str| status(addr, &format!("{call} HTTP/1.1\r\nHost: n0\r\n\r\n"));
    let asked =
        ["GET /", "POST /control/ready", "POST /control/reload", "POST /control/out-of-service", "\0"];
    assert_eq!(asked.map(ask), [404, 405, 409, 503, 400]);
    // The reducer is gone before it answers.
    assert_eq!(ask("POST /control/shut-out"), 503);
}

#[test]
fn heads_and_bodies_are_bounded() {
    let addr = operators();
    let head = |length: usize| {
        let start = "GET /control/ready HTTP/1.1\r\nX-Fill: ";
        format!("{start}{}\r\n\r\n", "x".repeat(length - start.len() - 4))
    };
    assert_eq!([HEAD_MAX, HEAD_MAX + 1, 4 * HEAD_MAX].map(|n| status(addr, &head(n))), [200, 431, 431]);
    let many = "X: y\r\n".repeat(HEADERS_MAX + 1);
    assert_eq!(status(addr, &format!("GET /control/ready HTTP/1.1\r\n{many}\r\n")), 431);
    let post = |more: &str| format!("GET /control/ready HTTP/1.1\r\n{more}");
    let body = |length: usize| post(&format!("Content-Length: {length}\r\n\r\n{}", "x".repeat(length)));
    assert_eq!([BODY_MAX, BODY_MAX + 1].map(|n| status(addr, &body(n))), [200, 413]);
    // Turned down on its word, before any of it came.
    assert_eq!(status(addr, &post("Content-Length: 99999999\r\n\r\n")), 413);
    assert_eq!(status(addr, &post("Content-Length: many\r\n\r\n")), 400);
    let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
    assert_eq!(status(addr, &post(&format!("Transfer-Encoding: chunked\r\n\r\n{}", chunk.repeat(3)))), 413);
}

#[test]
fn a_thirteenth_connection_closes_the_oldest() {
    let addr = operators();
    let mut half: Vec<_> = (0..CONNS_MAX).map(|_| said(addr, "GET /control/ready HTTP/1.1\r\n")).collect();
    let thirteenth = said(addr, "GET /control/ready HTTP/1.1\r\n");
    // What it had said may lie unread, and is reset then.
    let end = half.remove(0).read(&mut [0; 16]);
    assert!(matches!(&end, Ok(0)) || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    for mut open in half.into_iter().chain([thirteenth]) {
        open.write_all(b"\r\n").unwrap();
        assert!(heard(open).starts_with("HTTP/1.1 200 OK\r\n"));
    }
}

#[test]
fn a_call_that_comes_slowly_is_closed() {
    let addr = operators();
    let since = Instant::now();
    let slow = [
        said(addr, "GET /control/re"),
        said(addr, "POST /control/reload HTTP/1.1\r\nContent-Length: 2\r\n\r\n{"),
    ];
    assert_eq!(slow.map(heard), ["", ""]);
    assert!(since.elapsed() >= CALL_WITHIN && since.elapsed() < 2 * CALL_WITHIN);
}

/// Status and JSON of the answer to a call of bookings.
fn bookings(addr: SocketAddr, method: &str, body: &str) -> (u16, serde_json::Value) {
    let length = body.len();
    let call = format!("{method} {} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}", bookings::PATH);
    let answer = heard(said(addr, &call));
    let status = answer.split(' ').nth(1).unwrap_or_else(|| panic!("{answer}")).parse().unwrap();
    let (head, text) = answer.split_once("\r\n\r\n").unwrap();
    assert!(text.is_empty() || head.contains("Content-Type: application/json"), "{head}");
    (status, serde_json::from_str(text).unwrap_or_default())
}

/// What a control thread would say: of team `no` it knows no booking, and has no capacity for it.
fn decided(wish: &Wish) -> Answer {
    let refused = |reason| Answer::Refused { reason, text: String::new(), nearest: Vec::new() };
    match wish {
        Wish::Book(request) if request.team == "no" => refused(Reason::Capacity),
        Wish::Book(_) => Answer::Booked(Promise { booking: 32768, occurrences: 8, ..Promise::default() }),
        Wish::Confirm { team, .. } | Wish::Cancel { team, .. } if team == "no" => refused(Reason::Unknown),
        Wish::Confirm { .. } => refused(Reason::NoGrantor),
        Wish::Cancel { .. } => Answer::Cancelled { booking: 32768 },
    }
}

#[test]
fn bookings_go_to_the_control_thread_and_back_with_their_status() {
    let (desk, questions) = bookings::desk();
    std::thread::spawn(move || {
        for question in questions {
            match question {
                bookings::Question::Wish(wish, reply) => reply.send(decided(&wish)).unwrap(),
                bookings::Question::List(reply) => {
                    let listing = Listing { grantor: true, committed: 3, bookings: Vec::new() };
                    reply.send(bookings::listed(Some(&listing))).unwrap();
                }
                bookings::Question::Reread(_) => {}
            }
        }
    });
    let addr = operators_with(Some(desk));
    let job = |team: &str| {
        format!(
            r#"{{"id": "a", "team": "{team}", "class": "batch", "per_s": 20, "start": "2026-12-07T09:00",
                "minutes": 120}}"#
        )
    };
    let (status, answer) = bookings(addr, "POST", &job("bills"));
    assert_eq!((status, &answer["booked"]["occurrences"]), (200, &8.into()));
    let (status, answer) = bookings(addr, "POST", &job("no"));
    assert_eq!((status, &answer["refused"]["reason"]), (409, &"capacity".into()));
    let named = |team: &str| format!(r#"{{"team": "{team}", "id": "a"}}"#);
    assert_eq!(bookings(addr, "DELETE", &named("bills")).1["cancelled"]["booking"], 32768);
    assert_eq!(bookings(addr, "DELETE", &named("no")).0, 404);
    assert_eq!(bookings(addr, "PUT", &named("bills")).0, 503);
    assert_eq!(bookings(addr, "GET", "").1["committed"], 3);
    assert_eq!(bookings(addr, "PATCH", "").0, 405);
    for wrong in ["", "[]", "{}", &job("bills").replace("per_s", "rate"), &job("bills").replace("20,", "0,")]
    {
        let (status, answer) = bookings(addr, "POST", wrong);
        assert_eq!((status, &answer["refused"]["reason"]), (400, &"malformed".into()), "{wrong}");
    }
    assert_eq!(bookings(addr, "POST", &"x".repeat(BODY_MAX + 1)).0, 413);
}

#[test]
fn without_reservations_nothing_is_booked_and_the_answer_says_why() {
    let (status, answer) = bookings(operators(), "GET", "");
    assert_eq!(status, 404);
    assert!(answer["why"].as_str().unwrap().contains("--fleet"));
}

#[test]
fn a_control_thread_that_is_stuck_or_dead_is_not_waited_for_beyond_the_calls_time() {
    let (desk, questions) = bookings::desk();
    let addr = operators_with(Some(desk));
    let since = Instant::now();
    // The address goes on answering others meanwhile.
    let waiting: Vec<_> = (0..6).map(|_| std::thread::spawn(move || bookings(addr, "GET", ""))).collect();
    assert_eq!(status(addr, "GET /control/ready HTTP/1.1\r\n\r\n"), 200);
    assert!(since.elapsed() < CALL_WITHIN / 2);
    for answer in waiting {
        let (status, answer) = answer.join().unwrap();
        assert_eq!((status, &answer["refused"]["reason"]), (503, &"no_grantor".into()));
    }
    // An answer at all came within the call's time: later its connection is closed without one.
    drop(questions);
    let since = Instant::now();
    assert_eq!(bookings(addr, "GET", "").0, 503);
    assert!(since.elapsed() < CALL_WITHIN / 2, "a dead one is known at once");
}
