//! What a result of some completeness is worth, by the operator's curve.

/// The curve, made ready from checked settings.
#[derive(Clone, Debug)]
pub struct Worth {
    points: Vec<(f64, f64)>,
    least: f64,
    price_per_ms: f64,
}

impl Worth {
    pub fn new(points: &[(f64, f64)], least: f64, price_per_s: f64) -> Self {
        Worth { points: points.to_vec(), least, price_per_ms: price_per_s / 1000.0 }
    }

    /// The worth of a share complete (0 to 1).
    pub fn of(&self, share: f64) -> f64 {
        if share + 1e-9 < self.least { 0.0 } else { self.drawn(share) }
    }

    /// The same without the least share: what a result on its way there counts as.
    pub fn drawn(&self, share: f64) -> f64 {
        let above = self.points.partition_point(|p| p.0 < share).clamp(1, self.points.len() - 1);
        let (a, b) = (self.points[above - 1], self.points[above]);
        let part = ((share - a.0) / (b.0 - a.0)).clamp(0.0, 1.0);
        a.1 + (b.1 - a.1) * part
    }

    /// The price of waiting so long.
    pub fn price(&self, ms: f64) -> f64 {
        self.price_per_ms * ms
    }

    /// How long may be waited for this worth, ms; without end if waiting is free.
    pub fn buys_ms(&self, worth: f64) -> f64 {
        if self.price_per_ms > 0.0 { worth / self.price_per_ms } else { f64::INFINITY }
    }
}
