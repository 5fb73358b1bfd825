use super::*;
use crate::version::{Status, Version};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream as Stream};
use std::time::Instant;

/// A process's operators' address on a thread of its own, and the answers of a reducer that is ready, whose reloads
/// fail, and that has nothing to say to the rest.
fn operators() -> SocketAddr {
    let (told, addr) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            told.send(listener.local_addr().unwrap()).unwrap();
            let (questions, mut asked) = mpsc::channel(16);
            tokio::task::spawn_local(listen(listener, questions));
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
