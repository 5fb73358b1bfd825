//! The order of worth: over a sliding window, how many of the set-ups asked for are worth how much, so that a share
//! of them that has to be refused is taken from the lowest worth up. Sans-I/O: times are milliseconds on the
//! caller's clock.

use std::collections::VecDeque;

/// The window is counted in so many slices; a slice falls out whole.
const SLICES: f64 = 10.0;
/// No rate is taken over less than this, ms.
const RATE_LEAST_MS: f64 = 1000.0;

/// Set-ups by worth over the last `window_ms`.
#[derive(Clone, Debug)]
pub struct WorthMix {
    window_ms: f64,
    /// Start of each slice, ms, and its counts by worth.
    slices: VecDeque<(f64, Vec<(f64, u32)>)>,
    /// The counts over the window, ascending by worth.
    sums: Vec<(f64, u32)>,
}

fn add(counts: &mut Vec<(f64, u32)>, worth: f64, n: u32) {
    match counts.binary_search_by(|(w, _)| w.total_cmp(&worth)) {
        Ok(i) => counts[i].1 += n,
        Err(i) => counts.insert(i, (worth, n)),
    }
}

impl WorthMix {
    /// An empty mix over a window of so many milliseconds.
    #[must_use]
    pub fn new(window_ms: f64) -> Self {
        WorthMix { window_ms: window_ms.max(1.0), slices: VecDeque::new(), sums: Vec::new() }
    }

    /// Lets what is older than the window fall out.
    fn slide(&mut self, now: f64) {
        while self.slices.front().is_some_and(|(from, _)| now - from >= self.window_ms) {
            for (worth, n) in self.slices.pop_front().into_iter().flat_map(|(_, counts)| counts) {
                if let Ok(i) = self.sums.binary_search_by(|(w, _)| w.total_cmp(&worth)) {
                    self.sums[i].1 = self.sums[i].1.saturating_sub(n);
                }
            }
            self.sums.retain(|&(_, n)| n > 0);
        }
    }

    /// One of this worth is asked for at `now`, ms.
    pub fn count(&mut self, worth: f64, now: f64) {
        self.slide(now);
        let width = self.window_ms / SLICES;
        let from = (now / width).floor() * width;
        if self.slices.back().is_none_or(|(last, _)| *last < from) {
            self.slices.push_back((from, Vec::new()));
        }
        if let Some((_, counts)) = self.slices.back_mut() {
            add(counts, worth, 1);
        }
        add(&mut self.sums, worth, 1);
    }

    /// So many were asked for over the window.
    pub fn total(&mut self, now: f64) -> u32 {
        self.slide(now);
        self.sums.iter().map(|&(_, n)| n).sum()
    }

    /// So many a second were asked for over what the window holds, or over a second if it holds less.
    pub fn per_s(&mut self, now: f64) -> f64 {
        let total = f64::from(self.total(now));
        let span = self.slices.front().map_or(0.0, |(from, _)| now - from);
        total * 1000.0 / span.max(RATE_LEAST_MS)
    }

    /// The share of those in the window that are worth more than this, 0 to 1.
    pub fn above(&mut self, worth: f64, now: f64) -> f64 {
        let total = self.total(now);
        let above: u32 = self.sums.iter().filter(|(w, _)| *w > worth).map(|&(_, n)| n).sum();
        if total == 0 { 0.0 } else { f64::from(above) / f64::from(total) }
    }

    /// With what probability one of this worth is refused, 0 to 1, when `share` of all in the window must be, the
    /// lowest worth first.
    pub fn refused(&mut self, worth: f64, share: f64, now: f64) -> f64 {
        let total = f64::from(self.total(now));
        let (mut below, mut same) = (0.0, 0.0);
        for &(w, n) in &self.sums {
            if w < worth {
                below += f64::from(n);
            } else if w == worth {
                same += f64::from(n);
            }
        }
        let wanted = share.clamp(0.0, 1.0) * total - below;
        if wanted <= 0.0 {
            0.0
        } else if same <= 0.0 {
            1.0
        } else {
            (wanted / same).min(1.0)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// 70 of worth 1 and 30 of worth 3 within a second.
    fn mix() -> WorthMix {
        let mut mix = WorthMix::new(5000.0);
        for i in 0..100u32 {
            mix.count(if i % 10 < 7 { 1.0 } else { 3.0 }, f64::from(i) * 10.0);
        }
        mix
    }

    #[test]
    fn a_share_is_taken_from_the_lowest_worth_up() {
        let mut mix = mix();
        assert_eq!(mix.refused(1.0, 0.35, 1000.0), 0.5);
        assert_eq!(mix.refused(3.0, 0.35, 1000.0), 0.0);
        assert_eq!(mix.refused(1.0, 0.85, 1000.0), 1.0);
        assert!((mix.refused(3.0, 0.85, 1000.0) - 0.5).abs() < 1e-9);
        assert!((mix.above(1.0, 1000.0) - 0.3).abs() < 1e-9);
    }

    #[test]
    fn a_rate_is_the_same_wherever_the_window_is_cut() {
        let mut mix = WorthMix::new(5000.0);
        for i in 0..2000u32 {
            let now = f64::from(i) * 10.0;
            mix.count(1.0, now);
            if i > 100 {
                assert!((mix.per_s(now) - 100.0).abs() < 1.5, "{} at {now}", mix.per_s(now));
            }
        }
    }

    #[test]
    fn what_is_older_than_the_window_counts_no_more() {
        let mut mix = mix();
        assert_eq!(mix.total(1000.0), 100);
        assert_eq!(mix.total(6500.0), 0);
        assert_eq!(mix.refused(1.0, 0.0, 6500.0), 0.0);
    }

    proptest::proptest! {
        /// Whatever the mix, the share refused over all worths is the share asked for.
        #[test]
        fn the_refused_share_adds_up(counts in proptest::collection::vec(1u32..50, 1..6), share in 0.0f64..1.0) {
            let mut mix = WorthMix::new(1000.0);
            for (worth, &n) in counts.iter().enumerate() {
                (0..n).for_each(|_| mix.count(worth as f64, 1.0));
            }
            let total: u32 = counts.iter().sum();
            let refused: f64 = counts
                .iter()
                .enumerate()
                .map(|(worth, &n)| f64::from(n) * mix.refused(worth as f64, share, 2.0))
                .sum();
            proptest::prop_assert!((refused / f64::from(total) - share).abs() < 1e-9);
        }
    }
}
