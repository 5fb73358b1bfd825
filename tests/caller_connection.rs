//! A caller's connection as its task holds it, on real sockets: one that takes nothing.

use corkreach::CallId;
use corkreach::clock::Clock;
use corkreach::engine::{CallerConn, Event, ToCaller};
use corkreach::net::callers::{self, Codec, Order};
use corkreach::rate_limited_log::RateLimitedLog;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

const QUEUE: usize = 64;
const CONN: CallerConn = CallerConn(1);
/// A write that stands still is given up after 10 s; well after that the connection counts as held.
const OVER_A_STALL: Duration = Duration::from_secs(30);

/// Guards against a connection that is held for ever: a caller takes nothing, and the write that waits for it has no bound
/// where what is written is larger than a buffer.
#[tokio::test]
async fn a_caller_that_takes_no_long_answers_is_given_up() {
    LocalSet::new().run_until(write_to_a_caller_that_reads_nothing()).await;
}

async fn write_to_a_caller_that_reads_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let _unread = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let (orders, queue) = mpsc::channel(QUEUE);
    let (events, mut heard) = mpsc::channel(QUEUE);
    let (clock, bad_input) = (Clock::default(), RateLimitedLog::default());
    spawn_local(callers::serve(stream, Codec, CONN, queue, events, clock, bad_input));
    spawn_local(async move {
        for call in 1.. {
            let answer = ToCaller::Answer { call: CallId(call), description: "x".repeat(15_000) };
            if orders.send(Order::Write(answer)).await.is_err() {
                return;
            }
        }
    });
    let closed = async {
        while let Some(event) = heard.recv().await {
            if matches!(event, Event::CallerClosed { conn: CONN, .. }) {
                return;
            }
        }
    };
    assert!(tokio::time::timeout(OVER_A_STALL, closed).await.is_ok(), "the connection is held");
}
