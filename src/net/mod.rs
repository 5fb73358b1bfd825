//! Sockets: the codecs and connections of callers, call servers, operators and the name service, and what drives them.

pub mod callers;
pub mod driver;
pub mod listeners;
pub mod names;
pub mod operators;
pub mod servers;

/// A message holds at most so many bytes, on every connection.
pub const MESSAGE_MAX: usize = 16 * 1024;
/// A peer that takes nothing for so long is given up.
const WRITE_STALL: std::time::Duration = std::time::Duration::from_secs(10);
/// Looks for half a message that goes no further. Found at two looks with nothing whole between, it ends its
/// connection: what would follow it can't be told apart, and the peer may never send the rest.
struct HalfMessages {
    looks: tokio::time::Interval,
    found: bool,
}

impl HalfMessages {
    fn new(every: std::time::Duration) -> Self {
        let mut looks = tokio::time::interval(every);
        looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        HalfMessages { looks, found: false }
    }

    /// The next look is due.
    async fn due(&mut self) {
        self.looks.tick().await;
    }

    /// `unread`: what came in and makes no whole message yet.
    fn look(&mut self, unread: &[u8]) -> std::io::Result<()> {
        let before = std::mem::replace(&mut self.found, !unread.is_empty());
        if before && self.found { Err(std::io::Error::other("half a message")) } else { Ok(()) }
    }

    fn got_whole(&mut self) {
        self.found = false;
    }
}

/// Messages that may wait to be written on one connection.
const WRITE_QUEUE: usize = 1024;
