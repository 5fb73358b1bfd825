//! The process's clock: the Unix clock, and how long the loop that reads it last stood still.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How often it is noted that the loop turns; a message read after a stall may have lain for all of it.
pub const PULSE: Duration = Duration::from_millis(10);

/// Unix milliseconds, and how long the loop last stood still.
#[derive(Clone, Default)]
pub struct Clock {
    pulse: Rc<Cell<Option<f64>>>,
}

impl Clock {
    pub fn now(&self) -> f64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
    }

    /// Notes that the loop turns; to be called every [`PULSE`].
    pub fn beat(&self) {
        self.pulse.set(Some(self.now()));
    }

    /// When what is read now may have come in: a stalled loop reads late, and callers count from their send.
    pub fn read_at(&self) -> f64 {
        let now = self.now();
        let turning = self.pulse.get().map_or(now, |at| at + 2.0 * PULSE.as_secs_f64() * 1000.0);
        now.min(turning)
    }
}
