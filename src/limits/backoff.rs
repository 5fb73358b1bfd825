//! Back-off for dialling a call server that could not be reached: "decorrelated jitter", each gap drawn
//! between the base and three times the last one, at most the cap. Processes that lost the same server at the
//! same moment draw apart at once instead of dialling it in step.

use super::settings::RedialSettings;

#[derive(Clone, Debug)]
pub struct Backoff {
    base_ms: f64,
    cap_ms: f64,
    last_ms: f64,
    rng: fastrand::Rng,
}

impl Backoff {
    pub fn new(settings: &RedialSettings, seed: u64) -> Self {
        let base_ms = settings.base_ms.max(1.0);
        Backoff {
            base_ms,
            cap_ms: settings.cap_ms.max(base_ms),
            last_ms: base_ms,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// The next gap, ms: uniform in [base, min(cap, 3 × last)].
    pub fn next_gap(&mut self) -> f64 {
        let high = (self.last_ms * 3.0).min(self.cap_ms);
        self.last_ms = self.base_ms + self.rng.f64() * (high - self.base_ms);
        self.last_ms
    }

    /// Reached again: the next loss starts from the base.
    pub fn reset(&mut self) {
        self.last_ms = self.base_ms;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings() -> RedialSettings {
        RedialSettings { base_ms: 300.0, cap_ms: 5000.0 }
    }

    #[test]
    fn gaps_stay_between_base_and_cap_and_grow() {
        let mut b = Backoff::new(&settings(), 11);
        let gaps: Vec<f64> = (0..40).map(|_| b.next_gap()).collect();
        assert!(gaps.iter().all(|g| (300.0..=5000.0).contains(g)), "{gaps:?}");
        let late: f64 = gaps[20..].iter().sum::<f64>() / 20.0;
        assert!(late > 1500.0, "the gaps grow towards the cap: {late}");
    }

    #[test]
    fn processes_with_other_seeds_draw_apart() {
        let (mut a, mut b) = (Backoff::new(&settings(), 1), Backoff::new(&settings(), 2));
        let (ga, gb) = (a.next_gap(), b.next_gap());
        assert!((ga - gb).abs() > 1.0, "{ga} {gb}");
    }

    #[test]
    fn a_reset_starts_from_the_base() {
        let mut b = Backoff::new(&settings(), 3);
        for _ in 0..20 {
            b.next_gap();
        }
        b.reset();
        assert!(b.next_gap() <= 900.0);
    }
}
