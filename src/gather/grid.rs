//! Times since a gather's opening, in bins that grow with the time.

/// Bins of a grid. Each is 7.5% longer than the one before, so a deadline is as fine.
pub const BINS: usize = 128;

/// From the first edge to the last, as a factor.
const RANGE: f64 = 10_000.0;

/// The edges, ms: bin `i` is from edge `i` (0 for the first) up to edge `i + 1`; the last edge is the cap.
#[derive(Clone, Debug)]
pub struct Grid {
    edges: Vec<f64>,
    low: f64,
    per_ln: f64,
}

impl Grid {
    pub fn new(cap_ms: f64) -> Self {
        let low = cap_ms / RANGE;
        let per_ln = BINS as f64 / RANGE.ln();
        let edge = |i: usize| if i == 0 { 0.0 } else { low * (i as f64 / per_ln).exp() };
        Grid { edges: (0..=BINS).map(edge).collect(), low, per_ln }
    }

    /// The bin of a time; those beyond the cap are in the last.
    pub fn bin(&self, ms: f64) -> usize {
        let place = (ms / self.low).max(1.0).ln() * self.per_ln;
        (place as usize).min(BINS - 1)
    }

    pub fn edge(&self, i: usize) -> f64 {
        self.edges[i]
    }

    /// How much of its bin has passed at a time, 0 to 1.
    pub fn passed(&self, ms: f64) -> f64 {
        let bin = self.bin(ms);
        let (from, to) = (self.edges[bin], self.edges[bin + 1]);
        ((ms - from) / (to - from)).clamp(0.0, 1.0)
    }
}
