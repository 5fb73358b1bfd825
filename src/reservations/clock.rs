//! The Unix clock as bookings see it: it never goes back. Where the system sets its clock back, this one goes on at
//! nine tenths of its pace until the system's has caught up: windows that are over stay over, none is drawn out or put
//! off by more than a ninth of its length, and in the end both agree.

/// Pace while the system's clock is behind.
const PACE: f64 = 0.9;

/// See the module.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    shown: f64,
    at: f64,
}

impl Clock {
    /// The time at `now` (monotonic, ms) where the system says `unix_ms`; Unix clock, ms.
    pub fn read(&mut self, now: f64, unix_ms: u64) -> u64 {
        let gone = (now - self.at).max(0.0);
        let carried = if self.shown > 0.0 { self.shown + PACE * gone } else { 0.0 };
        (self.shown, self.at) = (carried.max(unix_ms as f64), self.at.max(now));
        self.shown as u64
    }

    /// It is this late at least, Unix clock, ms.
    pub fn at_least(&mut self, unix_ms: u64) {
        self.shown = self.shown.max(unix_ms as f64);
    }
}
