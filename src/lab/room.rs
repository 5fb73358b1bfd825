//! How much a stand-in call server takes: a bound that turns the rest away, or a processor with one line in front of
//! it, whose wait it reports, that starts cold and falls over when it is pushed too far (the platform's rules
//! `cold_from`, `cold_ms`, `fall_multiple`, `fall_ms`).

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// What a set-up meets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Met {
    /// It is answered after this time; the report tells a wait of so many milliseconds.
    Answered(Duration, f64),
    /// Turned away; the report tells a wait of so many milliseconds.
    Full(f64),
    /// It was one too many: the server falls over.
    Fell,
}

/// How a processor starts and falls.
#[derive(Clone, Copy, Debug, serde::Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Share of its capacity at its start.
    pub from: f64,
    /// Warm after this, ms.
    pub warm_ms: u64,
    /// While cold, more than this multiple of its present capacity over `fall_ms` pushes it over.
    pub fall_multiple: f64,
    /// See `fall_multiple`, ms.
    pub fall_ms: u64,
    /// Time for which one that fell over is down, ms.
    pub down_ms: u64,
}

/// The room of a stand-in.
pub enum Room {
    /// No bound.
    Unbounded,
    /// `per_s` set-ups a second over a burst of a tenth of a second; the rest is turned away at once.
    Bucket { per_s: f64, tokens: f64, at: Instant },
    /// A line served at `per_s` a second.
    Queue(Box<Queue>),
}

/// A processor with one line.
pub struct Queue {
    per_s: f64,
    /// One that would wait longer is turned away as full.
    longest: Duration,
    cold: Option<Cold>,
    started: Instant,
    busy_until: Instant,
    arrivals: VecDeque<Instant>,
}

impl Queue {
    /// One that is warm already.
    pub fn new(per_s: f64, longest: Duration, cold: Option<Cold>, now: Instant) -> Self {
        let warm_ms = cold.map_or(0, |c| c.warm_ms);
        let started = now.checked_sub(Duration::from_millis(warm_ms)).unwrap_or(now);
        Queue { per_s: per_s.max(0.1), longest, cold, started, busy_until: now, arrivals: VecDeque::new() }
    }

    /// Its process starts now: cold, and with nothing in its line.
    pub fn start(&mut self, now: Instant) {
        (self.started, self.busy_until) = (now, now);
        self.arrivals.clear();
    }

    /// Share of its capacity that it has now.
    pub fn warmth(&self, now: Instant) -> f64 {
        match self.cold {
            Some(c) if c.warm_ms > 0 => {
                let age = now.saturating_duration_since(self.started).as_secs_f64() * 1000.0;
                (c.from + (1.0 - c.from) * age / c.warm_ms as f64).min(1.0)
            }
            _ => 1.0,
        }
    }

    /// Set-ups a second that it can take now.
    pub fn can_take(&self, now: Instant) -> f64 {
        self.per_s * self.warmth(now)
    }

    fn meet(&mut self, now: Instant) -> Met {
        let warmth = self.warmth(now);
        if let Some(c) = self.cold.filter(|_| warmth < 1.0) {
            let span = Duration::from_millis(c.fall_ms);
            self.arrivals.push_back(now);
            while self.arrivals.front().is_some_and(|&at| now.saturating_duration_since(at) > span) {
                self.arrivals.pop_front();
            }
            let most = c.fall_multiple * self.per_s * warmth * span.as_secs_f64();
            if self.arrivals.len() as f64 > most {
                return Met::Fell;
            }
        }
        let wait = self.busy_until.saturating_duration_since(now);
        let wait_ms = wait.as_secs_f64() * 1000.0;
        if wait > self.longest {
            return Met::Full(wait_ms);
        }
        self.busy_until = self.busy_until.max(now) + Duration::from_secs_f64(1.0 / self.can_take(now));
        Met::Answered(self.busy_until.saturating_duration_since(now), wait_ms)
    }
}

impl Room {
    /// A bucket of so many set-ups a second.
    pub fn bucket(per_s: f64) -> Self {
        Room::Bucket { per_s, tokens: per_s / 10.0, at: Instant::now() }
    }

    /// What a set-up that comes now meets.
    pub fn meet(&mut self, now: Instant) -> Met {
        match self {
            Room::Unbounded => Met::Answered(Duration::ZERO, 5.0),
            Room::Bucket { per_s, tokens, at } => {
                let gained = now.saturating_duration_since(*at).as_secs_f64() * *per_s;
                *tokens = (*tokens + gained).min(*per_s / 10.0);
                *at = now;
                if *tokens < 1.0 {
                    return Met::Full(3000.0);
                }
                *tokens -= 1.0;
                Met::Answered(Duration::ZERO, 5.0)
            }
            Room::Queue(queue) => queue.meet(now),
        }
    }

    /// The wait that it tells one that only asks, ms; none: it has no room to answer.
    pub fn told_wait_ms(&self, now: Instant) -> Option<f64> {
        match self {
            Room::Unbounded => Some(5.0),
            Room::Bucket { per_s, tokens, at } => {
                let gained = now.saturating_duration_since(*at).as_secs_f64() * *per_s;
                (*tokens + gained >= 1.0).then_some(5.0)
            }
            Room::Queue(queue) => {
                let wait = queue.busy_until.saturating_duration_since(now);
                (wait <= queue.longest).then_some(wait.as_secs_f64() * 1000.0)
            }
        }
    }

    /// Set-ups a second that it reports it can take.
    pub fn can_take(&self, now: Instant) -> f64 {
        match self {
            Room::Queue(queue) => queue.can_take(now),
            Room::Bucket { per_s, .. } => *per_s,
            Room::Unbounded => 400.0,
        }
    }

    /// Its process starts again.
    pub fn start(&mut self, now: Instant) {
        if let Room::Queue(queue) = self {
            queue.start(now);
        }
    }

    /// Time for which one that fell over is down.
    pub fn down(&self) -> Duration {
        match self {
            Room::Queue(queue) => Duration::from_millis(queue.cold.map_or(0, |c| c.down_ms)),
            _ => Duration::ZERO,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LONGEST: Duration = Duration::from_millis(1500);
    const COLD: Cold = Cold { from: 0.4, warm_ms: 10_000, fall_multiple: 3.0, fall_ms: 1000, down_ms: 2000 };

    #[test]
    fn a_line_grows_until_it_is_full_and_is_worked_off() {
        let now = Instant::now();
        let mut queue = Queue::new(10.0, LONGEST, None, now);
        let met: Vec<Met> = (0..30).map(|_| queue.meet(now)).collect();
        assert!(matches!(met[1], Met::Answered(d, wait) if d.as_millis() == 200 && wait == 100.0));
        assert!(matches!(met[29], Met::Full(wait) if wait > 1500.0));
        assert!(matches!(queue.meet(now + Duration::from_secs(9)), Met::Answered(_, 0.0)));
    }

    #[test]
    fn a_cold_one_takes_less_and_falls_over_when_pushed() {
        let now = Instant::now();
        let mut queue = Queue::new(100.0, LONGEST, Some(COLD), now);
        assert_eq!(queue.warmth(now), 1.0);
        queue.start(now);
        assert_eq!(queue.can_take(now), 40.0);
        let fell = (0..200).position(|_| queue.meet(now) == Met::Fell);
        assert_eq!(fell, Some(120), "three times forty a second, over one second");
    }
}
