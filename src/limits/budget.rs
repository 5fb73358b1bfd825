//! A retry budget for one call server: second attempts allowed only as a share of first attempts over a sliding
//! window, plus a small floor, so that refusals and time-outs at a weak server do not turn into more load on it.

use super::settings::BudgetSettings;
use std::collections::VecDeque;

/// The window is counted in so many slices; a slice falls out whole.
const SLICES: f64 = 10.0;

#[derive(Clone, Copy, Debug)]
struct Slice {
    /// Start of the slice, ms.
    from: f64,
    firsts: u32,
    retries: u32,
}

/// First attempts and second attempts sent to one call server over the last `window_ms`.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    floor: f64,
    window_ms: f64,
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    pub fn new(settings: &BudgetSettings) -> Self {
        let window_ms = settings.window_ms.max(1.0);
        RetryBudget {
            ratio: settings.ratio.max(0.0),
            floor: settings.min_per_s.max(0.0) * window_ms / 1000.0,
            window_ms,
            slices: VecDeque::new(),
        }
    }

    /// The slice for `now`, ms, with those that fell out of the window dropped.
    fn slice(&mut self, now: f64) -> &mut Slice {
        let width = self.window_ms / SLICES;
        while self.slices.front().is_some_and(|s| now - s.from >= self.window_ms) {
            self.slices.pop_front();
        }
        let from = (now / width).floor() * width;
        if self.slices.back().is_none_or(|s| s.from < from) {
            self.slices.push_back(Slice { from, firsts: 0, retries: 0 });
        }
        self.slices.back_mut().expect("a slice was just pushed")
    }

    /// A first attempt was sent at `now`, ms.
    pub fn first(&mut self, now: f64) {
        self.slice(now).firsts += 1;
    }

    /// Second attempts that the budget would still let through at `now`, ms, and all that it lets through over the
    /// window, by one of `fleet` processes: the floor is the whole fleet's.
    pub fn left(&mut self, now: f64, fleet: u32) -> (f64, f64) {
        self.slice(now);
        let (firsts, retries) = self
            .slices
            .iter()
            .fold((0.0, 0.0), |(f, r), s| (f + f64::from(s.firsts), r + f64::from(s.retries)));
        let whole = self.ratio * firsts + self.floor / f64::from(fleet.max(1));
        (whole - retries, whole)
    }

    /// Takes one second attempt from the budget at `now`, ms, if there is one to take beyond the part of it, 0 to 1,
    /// that is kept for others.
    pub fn try_retry(&mut self, now: f64, kept: f64, fleet: u32) -> bool {
        let (left, whole) = self.left(now, fleet);
        if left - kept * whole >= 1.0 {
            self.slice(now).retries += 1;
            true
        } else {
            false
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn budget(ratio: f64, min_per_s: f64) -> RetryBudget {
        RetryBudget::new(&BudgetSettings {
            ratio,
            min_per_s,
            window_ms: 10_000.0,
            stay_away_ms: 0.0,
            kept: 0.0,
        })
    }

    #[test]
    fn retries_stay_within_the_share_of_first_attempts_plus_the_floor() {
        let mut b = budget(0.2, 0.5);
        // 100 first attempts a second for 30 s, and a retry wanted for every one.
        let (mut firsts, mut retries) = (0, 0);
        for ms in (0..30_000).step_by(10) {
            let now = ms as f64;
            b.first(now);
            firsts += 1;
            retries += usize::from(b.try_retry(now, 0.0, 1));
        }
        let share = retries as f64 / firsts as f64;
        assert!(share <= 0.2 + 0.5 / 100.0 + 0.01, "{share}");
        assert!(share > 0.15, "{share}");
    }

    #[test]
    fn without_first_attempts_only_the_floor_is_left() {
        let mut b = budget(0.5, 1.0);
        let sent = (0..1000).filter(|i| b.try_retry(*i as f64, 0.0, 1)).count();
        assert_eq!(sent, 10, "1 a second over a window of 10 s");
    }

    #[test]
    fn the_budget_comes_back_as_the_window_slides() {
        let mut b = budget(0.0, 1.0);
        assert_eq!((0..50).filter(|_| b.try_retry(0.0, 0.0, 1)).count(), 10);
        assert!(!b.try_retry(9_999.0, 0.0, 1));
        assert!(b.try_retry(10_500.0, 0.0, 1), "the first slice fell out of the window");
    }

    #[test]
    fn the_floor_is_the_whole_fleets() {
        let sent = |fleet: u32| -> usize {
            let mut budgets: Vec<RetryBudget> = (0..fleet).map(|_| budget(0.0, 4.0)).collect();
            budgets.iter_mut().map(|b| (0..100).filter(|_| b.try_retry(0.0, 0.0, fleet)).count()).sum()
        };
        assert_eq!([sent(1), sent(5), sent(20)], [40, 40, 40], "4 a second over a window of 10 s, by all");
    }

    #[test]
    fn the_kept_part_is_there_for_those_it_is_kept_for() {
        let mut b = budget(0.0, 1.0);
        assert_eq!((0..50).filter(|_| b.try_retry(0.0, 0.5, 1)).count(), 5);
        assert_eq!((0..50).filter(|_| b.try_retry(0.0, 0.0, 1)).count(), 5);
    }

    #[test]
    fn a_zero_budget_lets_nothing_through() {
        let mut b = budget(0.0, 0.0);
        b.first(0.0);
        assert!(!b.try_retry(1.0, 0.0, 1));
    }
}
