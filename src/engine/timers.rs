//! The reducer's timers, soonest first.

use std::collections::BTreeMap;

#[derive(Debug)]
pub struct Timers<T> {
    /// By due time in microseconds, then in the order set.
    due: BTreeMap<(u64, u64), T>,
    set: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { due: BTreeMap::new(), set: 0 }
    }
}

impl<T> Timers<T> {
    pub fn set(&mut self, at_ms: f64, what: T) {
        self.set += 1;
        // Rounded up: a timer never fires before its time.
        self.due.insert(((at_ms * 1000.0).ceil().max(0.0) as u64, self.set), what);
    }

    pub fn next_ms(&self) -> Option<f64> {
        self.due.first_key_value().map(|(&(at, _), _)| at as f64 / 1000.0)
    }

    pub fn pop(&mut self, now_ms: f64) -> Option<T> {
        let first = self.due.first_entry()?;
        (first.key().0 as f64 / 1000.0 <= now_ms).then(|| first.remove())
    }
}
