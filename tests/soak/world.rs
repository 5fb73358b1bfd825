//! What the tasks of a trial share: the clock, the record, and the list of call servers.

use crate::record::{ListChange, ListEvent, Record};
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The rig counts as having stood still if a timer fires so late, ms.
const STALL_MS: f64 = 30.0;
const STALL_TICK: Duration = Duration::from_millis(5);

/// A call server as the list names it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub place: u32,
    pub draining: bool,
    /// Unix time of a late start, ms; 0 at the start of the trial.
    pub started_ms: u64,
    /// Its address for each node.
    pub addresses: Vec<SocketAddr>,
}

pub struct World {
    started: Instant,
    pub record: RefCell<Record>,
    pub list: RefCell<Vec<Listed>>,
    pub random: RefCell<fastrand::Rng>,
    /// No more set-ups are sent.
    pub closing: Cell<bool>,
    network: u8,
    next_host: Cell<u8>,
    next_call: Cell<u64>,
}

pub type Shared = Rc<World>;

impl World {
    /// `network` tells the addresses of trials apart that are played side by side.
    pub fn new(seed: u64, network: u8) -> Shared {
        Rc::new(World {
            started: Instant::now(),
            record: RefCell::default(),
            list: RefCell::default(),
            random: RefCell::new(fastrand::Rng::with_seed(seed)),
            closing: Cell::new(false),
            network,
            next_host: Cell::new(1),
            next_call: Cell::new(seed << 24 | 1),
        })
    }

    /// Milliseconds since the trial's start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// An address of the loopback network that no other party of this trial has; its port is 0.
    pub fn address(&self) -> SocketAddr {
        let host = self.next_host.get();
        self.next_host.set(host + 1);
        (Ipv4Addr::new(127, 77, self.network, host), 0).into()
    }

    pub fn call(&self) -> u64 {
        self.next_call.set(self.next_call.get() + 1);
        self.next_call.get()
    }

    /// True in this part of the cases.
    pub fn chance(&self, part: f64) -> bool {
        self.random.borrow_mut().f64() < part
    }

    /// A figure between these two.
    pub fn between(&self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.random.borrow_mut().f64()
    }

    /// A time of exponential distribution with this mean, ms.
    pub fn exponential(&self, mean_ms: f64) -> f64 {
        -mean_ms * (1.0 - self.random.borrow_mut().f64()).ln()
    }

    /// Changes the list, which the name service tells from now on.
    pub fn change_list(&self, server: &str, change: ListChange, edit: impl FnOnce(&mut Vec<Listed>)) {
        edit(&mut self.list.borrow_mut());
        let event = ListEvent { at: self.now(), server: server.to_owned(), change };
        self.record.borrow_mut().list.push(event);
    }

    /// Notes when the rig itself stands still: nothing that it saw then is to the minute.
    pub async fn watch_stalls(self: Rc<Self>) {
        loop {
            let before = self.now();
            pause(STALL_TICK.as_secs_f64() * 1000.0).await;
            let late = self.now() - before - STALL_TICK.as_secs_f64() * 1000.0;
            if late > STALL_MS {
                self.record.borrow_mut().stalls.push((before, late));
            }
        }
    }
}

/// Waits for so many milliseconds.
pub async fn pause(ms: f64) {
    tokio::time::sleep(Duration::from_secs_f64(ms.max(0.0) / 1000.0)).await;
}

/// The Unix time, ms.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}
