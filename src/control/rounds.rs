//! The rounds' deadline: each round of the grantor is a gather of the members' demand (`crate::gather`), which learns
//! when waiting for the last ones costs more than they bring.

use crate::gather::{Closed, GatherId, Gathers, Key, Settings};
use crate::terms::Member;

#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct RoundFigures {
    /// Rounds that are over, and how they went: the mean share of members heard, and the mean wait, ms.
    pub rounds: u64,
    pub complete: f64,
    pub waited_ms: f64,
    /// The deadline planned for the next, ms; 0: none yet.
    pub planned_ms: f64,
}

pub(super) struct Rounds {
    gathers: Gathers,
    closed: Vec<Closed>,
    figures: RoundFigures,
}

/// A round's number under which its answers are gathered.
fn id(epoch: u64, round: u32) -> GatherId {
    GatherId(epoch << 20 ^ u64::from(round))
}

impl Rounds {
    pub(super) fn new(settings: Settings, seed: u64) -> Self {
        let (closed, figures) = (Vec::new(), RoundFigures::default());
        Rounds { gathers: Gathers::new(settings, seed), closed, figures }
    }

    pub(super) fn figures(&self) -> RoundFigures {
        self.figures
    }

    /// A round was opened: how long it is to wait, ms.
    pub(super) fn opened(&mut self, at: f64, epoch: u64, round: u32, expected: &[Member]) -> f64 {
        let key = Key::round("demand", expected.len());
        let many = u32::try_from(expected.len()).unwrap_or(u32::MAX);
        self.figures.planned_ms = self.gathers.open(at, id(epoch, round), key, many, expected) - at;
        self.figures.planned_ms
    }

    /// A member was heard, in time or later.
    pub(super) fn heard(&mut self, now: f64, epoch: u64, round: u32, member: Member) {
        self.gathers.arrived(now, id(epoch, round), member, 1);
    }

    /// Ends the gathers whose time is over; what came later than the round was divided is learned from as well.
    pub(super) fn tick(&mut self, now: f64) {
        self.gathers.poll(now, &mut self.closed);
        for closed in self.closed.drain(..) {
            let f = &mut self.figures;
            f.rounds += 1;
            f.complete += (closed.complete - f.complete) / f.rounds as f64;
            f.waited_ms += (closed.waited_ms - f.waited_ms) / f.rounds as f64;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(m: u16) -> Member {
        Member(m)
    }

    #[test]
    fn a_member_that_is_never_heard_shortens_the_wait_for_it() {
        let mut rounds = Rounds::new(Settings::rounds(), 7);
        let all: Vec<Member> = (0..5).map(member).collect();
        let mut planned = Vec::new();
        for round in 0..80u32 {
            let at = f64::from(round) * 1000.0;
            planned.push(rounds.opened(at, 3, round, &all));
            (0..4).for_each(|m| rounds.heard(at + 5.0 + f64::from(m), 3, round, member(m)));
            rounds.tick(at + 900.0);
        }
        let figures = rounds.figures();
        assert_eq!(figures.rounds, 80);
        assert!((figures.complete - 0.8).abs() < 0.05, "{figures:?}");
        assert!(planned[79] < 60.0 && planned[79] <= planned[0], "{planned:?}");
    }
}
