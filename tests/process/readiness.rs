//! A process that starts is ready in time, also under load, with the name service down and call servers unwell.

use crate::rig::*;
use crate::stand;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A process that starts is ready within this.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Connections on which set-ups are sent one after the other.
const SENDING: u64 = 4;
/// Set-ups answered before the restart, and again after it.
const ANSWERED: u64 = 50;

fn names_down() -> Start<'static> {
    Start { names_silent: true, ..Start::default() }
}

#[test]
fn a_silent_name_service_delays_nothing() {
    let (a, b) = (Server::start("s-a", 0), Server::start("s-b", 1));
    let since = Instant::now();
    let (program, _names) = start_as(&[&a, &b], names_down());
    let (mut la, _lb) = (a.accept(), b.accept());
    let mut caller = program.ready_caller();
    assert!(since.elapsed() < READY_WITHIN, "{:?}", since.elapsed());
    stand(&mut caller, &mut la, 7);
}

/// One of the known call servers takes the connection and tells no state, the address of another never answers.
#[test]
fn call_servers_that_say_nothing_delay_no_longer_than_is_allowed() {
    let (a, mute) = (Server::start("s-a", 0), Server::start("s-mute", 1));
    let unreachable = Unreachable::start("s-unreachable", 1);
    let listed = [a.listed.clone(), mute.listed.clone(), unreachable.listed.clone()];
    let since = Instant::now();
    let (program, _names, _) = launch(&listed, a.text, names_down());
    let (mut la, _mute) = (a.accept(), mute.accept_mute());
    let mut caller = program.ready_caller();
    assert!(since.elapsed() < READY_WITHIN, "{:?}", since.elapsed());
    stand(&mut caller, &mut la, 7);
}

#[test]
fn a_restart_under_load_is_ready_in_time_without_the_name_service() {
    let (a, b) = (Server::start("s-a", 0), Server::start("s-b", 1));
    a.answer_all();
    let (mut old, names) = start(&[&a, &b]);
    let _lb = b.accept();
    let addr = old.ready_caller().stream.peer_addr().unwrap();
    names.state.lock().unwrap().lose = u32::MAX;
    let load = Load::start(addr);
    load.wait_for_answers(ANSWERED);
    old.terminate();
    assert!(old.wait().success());
    let since = Instant::now();
    let new = old.successor();
    // One of the call servers has fallen mute meanwhile.
    let _mute = b.accept_mute();
    while new.operator("GET /control/ready").0 != 200 {
        assert!(since.elapsed() < READY_WITHIN, "the successor is not ready");
    }
    load.wait_for_answers(load.answered() + ANSWERED);
    load.end();
}

/// Callers that set up one call after the other, and connect again whenever their connection ends.
struct Load {
    over: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(addr: SocketAddr) -> Load {
        let (over, answered) = (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default());
        let callers = (1..=SENDING).map(|n| {
            let (over, answered) = (over.clone(), answered.clone());
            std::thread::spawn(move || {
                let mut calls = n << 32..;
                while !over.load(Ordering::Relaxed) {
                    set_up_until_closed(addr, &mut calls, &over, &answered);
                }
            })
        });
        Load { callers: callers.collect(), over, answered }
    }

    fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    /// Returns once so many set-ups have been answered in all.
    fn wait_for_answers(&self, wanted: u64) {
        let since = Instant::now();
        while self.answered() < wanted {
            assert!(since.elapsed() < PATIENCE, "{} of {wanted} answered", self.answered());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn end(self) {
        self.over.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.join().unwrap();
        }
    }
}

/// Sets up calls on one connection until the program closes it or the load is over; nobody may listen there yet.
fn set_up_until_closed(
    addr: SocketAddr,
    calls: &mut impl Iterator<Item = u64>,
    over: &AtomicBool,
    answered: &AtomicU64,
) {
    let Ok(mut caller) = Caller::try_connect(addr) else {
        return std::thread::sleep(Duration::from_millis(2));
    };
    for call in calls {
        let heard = caller.try_set_up(call, 0, 9000).then(|| caller.hear()).flatten();
        let Some((kind, _, _)) = heard else { return };
        if kind == ANSWER {
            answered.fetch_add(1, Ordering::Relaxed);
        }
        if over.load(Ordering::Relaxed) {
            return;
        }
    }
}
