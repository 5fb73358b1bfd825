//! One site's state as this process sees it: up, lost, or returning on a ramp. A site is lost and comes back only after
//! a time in which the same was seen all along, and longer after each relapse, so that a link that flaps does not move
//! its load to and fro.

use super::settings::{LossSettings, ReturnSettings};

/// A report of pressure holds a ramp back for so long, ms: reports come about once a second.
const PRESSED_MS: f64 = 1000.0;

/// How a site stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// It serves its own load.
    Up,
    /// Its load goes elsewhere.
    Lost,
    /// It gets a share of its load that rises.
    Returning,
}

impl State {
    /// Its name in the log and the figures.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            State::Up => "up",
            State::Lost => "lost",
            State::Returning => "returning",
        }
    }
}

/// What this process sees of the call servers of a site.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Seen {
    /// Listed.
    pub servers: usize,
    /// Down, or draining.
    pub down: usize,
    /// Up, and not draining.
    pub up: usize,
}

/// The state of one site.
#[derive(Clone, Debug)]
pub struct Site {
    state: State,
    /// Since when what would change the state has been seen all along, ms.
    leaning: Option<f64>,
    /// How far up the ramp it is, 0 to 1.
    progress: f64,
    /// When it was last looked at, and when its load reports last held it back, ms.
    looked_at: f64,
    pressed_at: f64,
    /// Relapses since it last came all the way back.
    relapses: i32,
    /// It had call servers once: without any now it is lost.
    known: bool,
}

impl Default for Site {
    fn default() -> Self {
        Site {
            state: State::Up,
            leaning: None,
            progress: 1.0,
            looked_at: f64::NEG_INFINITY,
            pressed_at: f64::NEG_INFINITY,
            relapses: 0,
            known: false,
        }
    }
}

impl Site {
    /// How it stands.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// The share of its load that it gets now, 0 to 1.
    #[must_use]
    pub fn share(&self, back: &ReturnSettings) -> f64 {
        match self.state {
            State::Up => 1.0,
            State::Lost => 0.0,
            State::Returning => back.from + (1.0 - back.from) * self.progress,
        }
    }

    /// A call server there reports a wait beyond the ramp's at `now`, ms.
    pub fn pressed(&mut self, now: f64) {
        self.pressed_at = now;
    }

    /// For how long it has to be up before its return begins, ms.
    #[must_use]
    pub fn back_after_ms(&self, back: &ReturnSettings) -> f64 {
        let longer = back.relapse_factor.powi(self.relapses.min(30));
        (back.after_ms * longer).min(back.after_max_ms.max(back.after_ms))
    }

    /// Whether it reported pressure of late.
    #[must_use]
    pub fn is_pressed(&self, now: f64) -> bool {
        now - self.pressed_at < PRESSED_MS
    }

    /// Moves on to `now`, ms, by what is seen of its call servers; the new state if it changed. `others_pressed`: a site
    /// that is up reports pressure as well. Then its own tells of a shortage everywhere, which holding it back would only
    /// make worse, and the ramp goes on.
    pub fn look(
        &mut self,
        now: f64,
        seen: Seen,
        others_pressed: bool,
        loss: &LossSettings,
        back: &ReturnSettings,
    ) -> Option<State> {
        let since = if self.looked_at.is_finite() { (now - self.looked_at).max(0.0) } else { 0.0 };
        self.looked_at = self.looked_at.max(now);
        self.known |= seen.servers > 0;
        let of = |n: usize| if seen.servers == 0 { 0.0 } else { n as f64 / seen.servers as f64 };
        let lost = self.known && (seen.servers == 0 || of(seen.down) >= loss.quorum);
        let back_again = seen.servers > 0 && of(seen.up) >= back.quorum && !lost;
        if self.state == State::Returning {
            let pressed = self.is_pressed(now) && !others_pressed;
            let step = if back.ramp_ms > 0.0 { since / back.ramp_ms } else { 1.0 };
            self.progress = (self.progress + if pressed { -step } else { step }).clamp(0.0, 1.0);
        }
        let leans = if self.state == State::Lost { back_again } else { lost };
        if !leans {
            self.leaning = None;
            if self.state == State::Returning && self.progress >= 1.0 {
                (self.state, self.relapses) = (State::Up, 0);
                return Some(State::Up);
            }
            return None;
        }
        let leaning = *self.leaning.get_or_insert(now);
        let wait = if self.state == State::Lost { self.back_after_ms(back) } else { loss.after_ms };
        if now - leaning < wait {
            return None;
        }
        self.leaning = None;
        if self.state == State::Lost {
            (self.state, self.progress) = (State::Returning, 0.0);
        } else {
            self.relapses += i32::from(self.state == State::Returning);
            (self.state, self.progress) = (State::Lost, 0.0);
        }
        Some(self.state)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const UP: Seen = Seen { servers: 2, down: 0, up: 2 };
    const DOWN: Seen = Seen { servers: 2, down: 2, up: 0 };

    fn settings() -> (LossSettings, ReturnSettings) {
        (LossSettings::default(), ReturnSettings { after_ms: 2000.0, from: 0.1, ..ReturnSettings::default() })
    }

    /// Looks every 100 ms from `from` to `to`; the changes, each with its time.
    fn looks(site: &mut Site, from: u32, to: u32, seen: Seen) -> Vec<(u32, State)> {
        let (loss, back) = settings();
        let times = (from..to).step_by(100);
        times.filter_map(|at| site.look(f64::from(at), seen, false, &loss, &back).map(|s| (at, s))).collect()
    }

    #[test]
    fn a_site_is_lost_after_its_time_and_comes_back_on_a_ramp() {
        let mut site = Site::default();
        assert_eq!(looks(&mut site, 0, 1000, UP), vec![]);
        assert_eq!(looks(&mut site, 1000, 3000, DOWN), vec![(2000, State::Lost)]);
        assert_eq!(looks(&mut site, 3000, 6000, UP), vec![(5000, State::Returning)]);
        let (_, back) = settings();
        assert!((site.share(&back) - (0.1 + 0.9 * 900.0 / 15_000.0)).abs() < 1e-6, "{}", site.share(&back));
        assert_eq!(looks(&mut site, 6000, 21_000, UP), vec![(20_000, State::Up)]);
    }

    #[test]
    fn a_link_that_flaps_moves_nothing() {
        let mut site = Site::default();
        for round in 0..20 {
            let at = round * 1000;
            assert_eq!(looks(&mut site, at, at + 800, DOWN), vec![]);
            assert_eq!(looks(&mut site, at + 800, at + 1000, UP), vec![]);
        }
    }

    #[test]
    fn one_of_two_servers_down_is_no_lost_site_and_a_drained_one_is() {
        let mut site = Site::default();
        assert_eq!(looks(&mut site, 0, 5000, Seen { servers: 2, down: 1, up: 1 }), vec![]);
        assert_eq!(looks(&mut site, 5000, 7000, DOWN).len(), 1);
        // It returns while one of its servers drains.
        let draining = Seen { servers: 2, down: 1, up: 1 };
        assert_eq!(looks(&mut site, 7000, 10_000, draining), vec![(9000, State::Returning)]);
    }

    #[test]
    fn each_relapse_within_the_ramp_makes_the_next_return_wait_longer() {
        let mut site = Site::default();
        looks(&mut site, 0, 1100, DOWN);
        assert_eq!(looks(&mut site, 1200, 4000, UP), vec![(3200, State::Returning)]);
        assert_eq!(looks(&mut site, 4000, 6000, DOWN), vec![(5000, State::Lost)]);
        assert_eq!(looks(&mut site, 6000, 12_000, UP), vec![(10_000, State::Returning)]);
        assert_eq!(looks(&mut site, 12_000, 14_000, DOWN), vec![(13_000, State::Lost)]);
        assert_eq!(looks(&mut site, 14_000, 40_000, UP)[..1], [(22_000, State::Returning)]);
        assert_eq!(site.state(), State::Up);
    }

    #[test]
    fn pressure_turns_the_ramp_back() {
        let mut site = Site::default();
        let (_, back) = settings();
        looks(&mut site, 0, 1100, DOWN);
        looks(&mut site, 1200, 8000, UP);
        let before = site.share(&back);
        site.pressed(8000.0);
        looks(&mut site, 8000, 9000, UP);
        assert!(site.share(&back) < before);
        looks(&mut site, 9000, 12_000, UP);
        assert!(site.share(&back) > before);
        // Where all are pressed the shortage is not its own.
        let (before, loss) = (site.share(&back), LossSettings::default());
        site.pressed(12_000.0);
        site.look(12_500.0, UP, true, &loss, &back);
        assert!(site.share(&back) > before);
    }

    #[test]
    fn a_site_whose_servers_all_left_the_list_is_lost_and_one_never_listed_is_not() {
        let mut site = Site::default();
        assert_eq!(looks(&mut site, 0, 5000, Seen::default()), vec![]);
        looks(&mut site, 5000, 5100, UP);
        assert_eq!(looks(&mut site, 5100, 7000, Seen::default()), vec![(6100, State::Lost)]);
    }
}
