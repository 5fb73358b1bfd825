//! Call servers whose machine vanishes: connections stay open and silent, and what stood there is over.

use crate::rig::*;
use crate::{stand, two};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A call server has at most so many connections from one border controller.
const CONNECTIONS_MAX: usize = 4;
/// A call whose end no server could tell is released towards its caller within this of that end.
const RELEASED_WITHIN: Duration = Duration::from_millis(8050);

/// Lets a server be quiet, as looks at it open further connections, until there is room for no more; all of them have
/// heard its state just now.
fn fill_connections(server: &Server, first: Link) -> Vec<Link> {
    let mut links = vec![first];
    while links.len() < CONNECTIONS_MAX {
        links.push(server.accept());
        links.iter_mut().for_each(Link::gauge);
    }
    links
}

/// Guards against calls at a vanished server that are never released: with as many connections open as there may be,
/// no further one was dialled, so that none failed and the silence was never taken for an outage.
#[test]
fn a_vanished_server_with_all_its_connections_open_has_its_calls_released_in_time() {
    let (a, _b, _program, _names, la, mut lb, mut caller) = two();
    let mut la = la;
    stand(&mut caller, &mut la, 7);
    let _silent = fill_connections(&a, la);
    let vanished = Instant::now();
    caller.expect(12, 7, Some(41));
    assert!(vanished.elapsed() <= RELEASED_WITHIN, "{:?}", vanished.elapsed());
    caller.set_up(8, 1, 9000);
    lb.expect("new", 8);
}

/// Lets no new connection to this server come up, until what is returned is given back to `let_in`.
fn shut_out(server: &Server) -> Vec<TcpStream> {
    const CONNECTED_WITHIN: Duration = Duration::from_millis(200);
    socket2::SockRef::from(&server.listener).listen(0).unwrap();
    let connect = || TcpStream::connect_timeout(&server.listed.addr, CONNECTED_WITHIN);
    std::iter::from_fn(|| connect().ok()).collect()
}

fn let_in(server: &Server, waiting: Vec<TcpStream>) {
    socket2::SockRef::from(&server.listener).listen(128).unwrap();
    for _ in &waiting {
        server.accept_mute();
    }
}

/// The server is shut out for so long and then speaks on new connections.
fn away_for(server: &Server, outage: Duration) -> Link {
    let began = Instant::now();
    let waiting = shut_out(server);
    std::thread::sleep(outage.saturating_sub(began.elapsed()));
    let_in(server, waiting);
    server.accept()
}

/// Guards against calls at a server that vanishes and is back as another process before it is given up: its word on a new
/// connection ended the suspicion, and its calls were released only once the list told of the start.
#[test]
fn calls_at_a_vanished_server_that_is_back_soon_are_released_in_time() {
    let (a, _b, _program, _names, mut la, _lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    let vanished = Instant::now();
    let mut back = away_for(&a, Duration::from_millis(5500));
    caller.expect(12, 7, Some(41));
    assert!(vanished.elapsed() <= RELEASED_WITHIN, "{:?}", vanished.elapsed());
    assert_eq!(back.expect("down", 7)["c"], 16, "should it be the same process after all");
}

/// Guards against calls that are cut at a server which hung: it speaks again on a connection from before.
#[test]
fn calls_at_a_server_that_hung_and_goes_on_stay() {
    let (a, _b, _program, _names, mut la, _lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    let hung = Instant::now();
    let _back = away_for(&a, Duration::from_millis(5500));
    la.gauge();
    std::thread::sleep(RELEASED_WITHIN.saturating_sub(hung.elapsed()));
    caller.test();
    la.down(7, 16, serde_json::json!({}));
    caller.expect(12, 7, Some(16));
}

/// Guards against a returned server being given connections that nobody needs: each dial that was refused during the
/// outage left a redial of its own behind, and all of them were made once it was back.
#[test]
fn a_server_that_returns_is_dialled_once_for_all_the_dials_that_failed() {
    let (a, _b, _program, _names, la, lb, mut caller) = two();
    std::thread::spawn(move || lb.answer_all());
    let addr = a.listed.addr;
    drop((a.listener, la));
    for call in 100..160 {
        caller.set_up(call, 0, 9000);
        std::thread::sleep(Duration::from_millis(20));
    }
    let back =
        Server { listener: std::net::TcpListener::bind(addr).unwrap(), listed: a.listed, text: a.text };
    let mut links = vec![back.accept()];
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(1) {
        links.extend(back.try_accept_mute());
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(links.len(), 1, "no set-up has gone there since");
}

/// Guards against calls that stand for ever at a server whose address takes connections and closes them unheard, as a
/// proxy before a machine that is gone does: such a connection was neither failed nor mute.
#[test]
fn a_silent_server_whose_new_connections_are_closed_unheard_has_its_calls_released_in_time() {
    let (a, _b, _program, _names, mut la, _lb, mut caller) = two();
    stand(&mut caller, &mut la, 7);
    let vanished = Instant::now();
    std::thread::spawn(move || {
        while vanished.elapsed() < 2 * RELEASED_WITHIN {
            drop(a.try_accept_mute());
            std::thread::sleep(Duration::from_millis(2));
        }
    });
    caller.expect(12, 7, Some(41));
    assert!(vanished.elapsed() <= RELEASED_WITHIN, "{:?}", vanished.elapsed());
}
