//! Sockets: the codecs and connections of callers, call servers, operators, peers and the name service, and what drives them.

pub mod bookings;
pub mod callers;
pub mod control;
pub mod driver;
pub mod figures;
pub mod listeners;
pub mod names;
pub mod operators;
pub mod peers;
pub mod servers;

use crate::codec::unreadable::Unreadable;
use std::time::{Duration, Instant};

/// A peer that takes nothing for so long is given up.
const WRITE_STALL: Duration = Duration::from_secs(10);
/// Looks for half a message that goes no further. Once it has lain so long with nothing whole between, it ends its
/// connection: what would follow it can't be told apart, and the peer may never send the rest.
struct HalfMessages {
    looks: tokio::time::Interval,
    most: Duration,
    since: Option<Instant>,
}

impl HalfMessages {
    fn new(most: Duration) -> Self {
        let mut looks = tokio::time::interval(most / 4);
        looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        HalfMessages { looks, most, since: None }
    }

    /// The next look is due.
    async fn due(&mut self) {
        self.looks.tick().await;
    }

    /// `unread`: what came in and makes no whole message yet.
    fn look(&mut self, unread: &[u8]) -> std::io::Result<()> {
        if unread.is_empty() {
            self.since = None;
            return Ok(());
        }
        let since = *self.since.get_or_insert_with(Instant::now);
        if since.elapsed() < self.most { Ok(()) } else { Err(Unreadable::Half.into()) }
    }

    /// Whether half a message lay there at the last look.
    fn any(&self) -> bool {
        self.since.is_some()
    }

    fn got_whole(&mut self) {
        self.since = None;
    }
}

/// Messages that may wait to be written on one connection.
const WRITE_QUEUE: usize = 1024;
