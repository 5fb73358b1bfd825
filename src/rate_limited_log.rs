//! Log lines about bad input: one line for each kind and span of time, however often it comes.
//!
//! A peer that repeats its fault at full speed must not fill the log. [`LogRateLimit`] decides, without a clock, which
//! line is written; [`RateLimitedLog`] adds the clock and is shared by all connections.

use crate::clock::Clock;
use crate::codec::unreadable::Unreadable;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// At most one line of a kind is written in this time, ms.
pub const SPAN_MS: f64 = 5000.0;
/// Characters of a line's details: a peer's own text may stand there.
const DETAILS_MAX: usize = 200;

/// The kinds of bad input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BadInput {
    /// A caller's message that can't be told apart from what follows it.
    CallerMessageUnreadable,
    /// A caller's message longer than the protocol allows.
    CallerMessageOversized,
    /// A caller's message that stops in the middle.
    CallerMessageHalf,
    /// A caller's message or set-up that was answered as missing a field, invalid or unknown.
    CallerMessageRefused,
    /// A caller's connection with too many refused messages.
    CallerFaults,
    /// An answer of the name service that is no list.
    ListUnreadable,
    /// A call server's message that can't be read.
    ServerMessageUnreadable,
    /// A call server's message that stops in the middle.
    ServerMessageHalf,
    /// A call server's answer without the description that its caller needs.
    ServerAnswerIncomplete,
}

impl BadInput {
    /// The kind of what a caller sent.
    #[must_use]
    pub fn of_caller(cause: &Unreadable) -> Self {
        match cause {
            Unreadable::Oversized(_) => BadInput::CallerMessageOversized,
            Unreadable::Malformed(_) => BadInput::CallerMessageUnreadable,
            Unreadable::Half => BadInput::CallerMessageHalf,
        }
    }

    /// The kind of what a call server sent.
    #[must_use]
    pub fn of_server(cause: &Unreadable) -> Self {
        match cause {
            Unreadable::Oversized(_) | Unreadable::Malformed(_) => BadInput::ServerMessageUnreadable,
            Unreadable::Half => BadInput::ServerMessageHalf,
        }
    }
}

impl fmt::Display for BadInput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BadInput::CallerMessageUnreadable => "unreadable message from a caller",
            BadInput::CallerMessageOversized => "oversized message from a caller",
            BadInput::CallerMessageHalf => "half a message from a caller",
            BadInput::CallerMessageRefused => "message from a caller refused",
            BadInput::CallerFaults => "too many refused messages from a caller",
            BadInput::ListUnreadable => "unreadable answer from the name service",
            BadInput::ServerMessageUnreadable => "unreadable message from a call server",
            BadInput::ServerMessageHalf => "half a message from a call server",
            BadInput::ServerAnswerIncomplete => "answer without a description from a call server",
        })
    }
}

/// The last line of a kind.
#[derive(Clone, Copy, Debug)]
struct LastLine {
    written_at_ms: f64,
    /// Lines left out since.
    left_out: u64,
}

/// Decides which lines are written.
#[derive(Clone, Debug, Default)]
pub struct LogRateLimit {
    last_lines: BTreeMap<BadInput, LastLine>,
}

impl LogRateLimit {
    /// Whether a line of this kind is written now: with the number of those left out since the last one, or not.
    pub fn admit(&mut self, kind: BadInput, now_ms: f64) -> Option<u64> {
        let last = self.last_lines.get_mut(&kind);
        // Also a clock that was set back ends the span.
        if let Some(last) = last
            && (0.0..SPAN_MS).contains(&(now_ms - last.written_at_ms))
        {
            last.left_out += 1;
            return None;
        }
        let new = LastLine { written_at_ms: now_ms, left_out: 0 };
        let last = self.last_lines.insert(kind, new);
        Some(last.map_or(0, |last| last.left_out))
    }

    /// Writes a line of this kind, if one is due.
    pub fn write(&mut self, kind: BadInput, now_ms: f64, details: fmt::Arguments) {
        if let Some(left_out) = self.admit(kind, now_ms) {
            log::warn!("{}", line(kind, left_out, &details.to_string()));
        }
    }
}

/// The text of a line. What came from a peer is cut short and can't begin a line of its own.
#[must_use]
pub fn line(kind: BadInput, left_out: u64, details: &str) -> String {
    let details: String =
        details.chars().take(DETAILS_MAX).map(|c| if c.is_control() { ' ' } else { c }).collect();
    let more = if left_out > 0 { format!(" ({left_out} more left out)") } else { String::new() };
    format!("bad input: {kind}: {details}{more}")
}

/// The log of bad input that all connections share.
#[derive(Clone, Default)]
pub struct RateLimitedLog {
    limit: Rc<RefCell<LogRateLimit>>,
    clock: Clock,
}

impl RateLimitedLog {
    /// One that reads this clock.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        RateLimitedLog { limit: Rc::default(), clock }
    }

    /// Writes a line of this kind, if one is due.
    pub fn write(&self, kind: BadInput, details: fmt::Arguments) {
        self.limit.borrow_mut().write(kind, self.clock.now(), details);
    }
}
