//! A connection to a call server as its task serves it, on real sockets: what goes out after it stood still.

use corkreach::CallId;
use corkreach::engine::{Event, Lost, ServerConn, ToServer};
use corkreach::net::servers::{self, Codec, Handle, Order};
use corkreach::rate_limited_log::RateLimitedLog;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, LocalSet, spawn_local};

const QUEUE: usize = 64;
const CONN: ServerConn = ServerConn(1);
/// A write that stands still is given up after 10 s.
const WELL_UNDER_A_STALL: Duration = Duration::from_secs(5);
/// The set-up that is given up while the connection stands still, and the one that shows what came after it.
const GIVEN_UP: CallId = CallId(7);
const LAST: CallId = CallId(8);

fn set_up(call: CallId, description: &str) -> Order {
    let set_up = ToServer::SetUp {
        call,
        class: "voice".to_owned(),
        left_ms: 9000,
        number: None,
        description: description.to_owned(),
    };
    (set_up, false)
}

/// Writes to a call server that reads nothing until the connection takes no more: the queue is no longer emptied.
async fn fill(orders: &mpsc::Sender<Order>) {
    let large = "x".repeat(15_000);
    let mut unmoved = 0;
    for call in 1000.. {
        if unmoved == QUEUE / 2 {
            return;
        }
        let before = orders.capacity();
        orders.send(set_up(CallId(call), &large)).await.unwrap();
        tokio::task::yield_now().await;
        unmoved = if orders.capacity() < before { unmoved + 1 } else { 0 };
    }
}

/// A connection served by its task: the engine's end, the call server's, and what the engine hears.
async fn connection() -> (Handle, TcpStream, mpsc::Receiver<Event>, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (handle, orders) = servers::queue(QUEUE);
    let (events, mut heard) = mpsc::channel(QUEUE);
    let (dial_timeout, bad_input) = (Duration::from_secs(5), RateLimitedLog::default());
    let serving = servers::serve(Codec::default(), addr, dial_timeout, CONN, orders, events, bad_input);
    let task = spawn_local(serving);
    let (stream, _) = listener.accept().await.unwrap();
    assert_eq!(heard.recv().await, Some(Event::ServerOpened(CONN)));
    (handle, stream, heard, task)
}

/// A set-up waits behind a write that stands still, and its caller leaves: once the connection moves again it is not
/// sent, while its end is confirmed and what came behind it goes out.
#[tokio::test]
async fn a_set_up_given_up_while_its_connection_stood_still_is_not_sent() {
    LocalSet::new().run_until(give_up_while_the_connection_stands_still()).await;
}

async fn give_up_while_the_connection_stands_still() {
    let (handle, stream, mut heard, task) = connection().await;
    fill(&handle.orders).await;
    handle.orders.try_send(set_up(GIVEN_UP, "d")).unwrap();
    handle.orders.try_send((ToServer::Release(GIVEN_UP), true)).unwrap();
    handle.orders.try_send(set_up(LAST, "d")).unwrap();

    let mut lines = BufReader::new(stream).lines();
    let mut refs = Vec::new();
    while refs.last() != Some(&LAST) {
        let line = lines.next_line().await.unwrap().expect("an open connection");
        let object: serde_json::Value = serde_json::from_str(&line).unwrap();
        refs.push(CallId(u64::from_str_radix(object["ref"].as_str().unwrap(), 16).unwrap()));
    }
    assert!(!refs.contains(&GIVEN_UP), "given up before it was sent");
    assert_eq!(heard.recv().await, Some(Event::Written { conn: CONN, call: GIVEN_UP }));
    drop(handle);
    drop(lines);
    task.await.unwrap();
}

/// The engine closes a connection on which a write stands still: its set-ups count as ended from then on and may go out
/// elsewhere after the guard, so it is closed well before the write is given up.
#[tokio::test]
async fn a_connection_is_closed_though_a_write_on_it_stands_still() {
    LocalSet::new().run_until(close_while_a_write_stands_still()).await;
}

async fn close_while_a_write_stands_still() {
    let (handle, _unread, mut heard, _task) = connection().await;
    fill(&handle.orders).await;
    drop(handle);
    let lost = tokio::time::timeout(WELL_UNDER_A_STALL, heard.recv()).await;
    assert_eq!(lost, Ok(Some(Event::ServerLost { conn: CONN, how: Lost::Abandoned })));
}
