//! Sockets: the codecs and connections of callers, call servers and the name service, and what drives them.

pub mod callers;
pub mod driver;
pub mod names;
pub mod servers;

/// A message holds at most so many bytes, on every connection.
pub const MESSAGE_MAX: usize = 16 * 1024;
/// A peer that takes nothing for so long is given up.
const WRITE_STALL: std::time::Duration = std::time::Duration::from_secs(10);
/// Messages that may wait to be written on one connection.
const WRITE_QUEUE: usize = 1024;
