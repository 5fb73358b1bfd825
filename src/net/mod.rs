//! Sockets: the codecs and connections of callers, call servers, operators, peers and the name service, and what drives them.

pub mod bookings;
pub mod callers;
pub mod control;
pub mod driver;
pub mod ends_exchange;
pub mod figures;
pub mod listeners;
pub mod names;
pub mod operators;
pub mod peers;
pub mod presence;
pub mod servers;
pub mod signals;
pub mod startup;
#[cfg(test)]
mod tests;
mod unheard;
pub mod write_batch;

use crate::codec::unreadable::Unreadable;
use std::time::Duration;

/// A peer that takes nothing for so long is given up.
const WRITE_STALL: Duration = Duration::from_secs(10);
/// So many looks after the one that first saw it, half a message has lain too long.
const HALF_LOOKS: u32 = 4;

/// Waits for a step of writing, as long as the peer takes anything.
///
/// # Errors
/// `TimedOut` if the step has not come to its end in time, or the error that it ended with.
async fn unless_stalled(step: impl Future<Output = std::io::Result<()>>) -> std::io::Result<()> {
    match tokio::time::timeout(WRITE_STALL, step).await {
        Ok(written) => written,
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    }
}

/// Looks for half a message that goes no further. Once it has lain so long with nothing whole between, it ends its
/// connection: what would follow it can't be told apart, and the peer may never send the rest. Looks are counted, and no
/// clock is read: a look that came a moment early would find the time not quite over, and leave it to the next one.
struct HalfMessages {
    looks: tokio::time::Interval,
    /// Looks in a row that saw half a message.
    seen: u32,
}

impl HalfMessages {
    fn new(most: Duration) -> Self {
        let mut looks = tokio::time::interval(most / HALF_LOOKS);
        looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        HalfMessages { looks, seen: 0 }
    }

    /// The next look is due.
    async fn due(&mut self) {
        self.looks.tick().await;
    }

    /// `unread`: what came in and makes no whole message yet.
    fn look(&mut self, unread: &[u8]) -> std::io::Result<()> {
        self.seen = if unread.is_empty() { 0 } else { self.seen + 1 };
        if self.seen <= HALF_LOOKS { Ok(()) } else { Err(Unreadable::Half.into()) }
    }

    /// Whether half a message lay there at the last look.
    fn any(&self) -> bool {
        self.seen > 0
    }

    fn got_whole(&mut self) {
        self.seen = 0;
    }
}

/// Messages that may wait to be written on one connection to a call server: the releases that waited for it, 4,096 at most,
/// go out at once.
const SERVER_QUEUE: usize = 8192;
/// Messages that may wait to be written on one caller's connection: all its calls may be cut at once. The long ones among
/// them, answers, are bounded by the set-ups that it may have open.
const CALLER_QUEUE: usize = 65_536;
