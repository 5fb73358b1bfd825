//! What callers heard, counted: each try by itself, and each first set-up with its repeats folded into it.

/// A call that stands within this, counted from its first try, has its full worth, ms.
pub const AIM_MS: f64 = 1500.0;
/// One that stands later, but within this, has only [`LATE_WORTH`] of it, ms.
pub const DEADLINE_MS: f64 = 9000.0;
/// The share of its worth that a late call keeps.
pub const LATE_WORTH: f64 = 0.2;

/// What a caller heard in one second of the run for one class, by the set-ups it offered in that second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Tally {
    /// Set-ups offered, repeats among them.
    pub offered: u64,
    /// Of these, repeats of one turned away.
    pub repeats: u64,
    /// Answered: the call stood.
    pub answered: u64,
    /// Refused by the border controller (cause 42).
    pub refused: u64,
    /// Of these, with advice to stay away.
    pub advised: u64,
    /// Ended otherwise: failed at a server, timed out, cut.
    pub failed: u64,
    /// A second final answer, or an answer out of turn: never allowed.
    pub doubled: u64,
    /// Still without a final answer when the caller stopped waiting, at an instance that lived: never allowed.
    pub lost: u64,
    /// Without a final answer since their instance was crashed, or offered while it was down: the crash's own loss.
    pub cut: u64,
    /// Calls that stood, and of whose end nothing was heard.
    pub unended: u64,
    /// The longest time to a refusal, ms.
    pub slowest_refusal_ms: u64,
    /// First set-ups that stood in the end, at whichever try; they count in the second of the first.
    pub stood: u64,
    /// Of these, within [`AIM_MS`] of the first try.
    pub in_time: u64,
    /// Of these, later than that and within [`DEADLINE_MS`].
    pub late: u64,
}

impl Tally {
    /// Adds another's counts.
    pub fn add(&mut self, from: &Tally) {
        self.offered += from.offered;
        self.repeats += from.repeats;
        self.answered += from.answered;
        self.refused += from.refused;
        self.advised += from.advised;
        self.failed += from.failed;
        self.doubled += from.doubled;
        self.lost += from.lost;
        self.cut += from.cut;
        self.unended += from.unended;
        self.slowest_refusal_ms = self.slowest_refusal_ms.max(from.slowest_refusal_ms);
        self.stood += from.stood;
        self.in_time += from.in_time;
        self.late += from.late;
    }

    /// First set-ups offered: repeats belong to theirs.
    #[must_use]
    pub fn firsts(&self) -> u64 {
        self.offered - self.repeats
    }

    /// A first set-up stands, so many ms after its first try.
    pub fn stand(&mut self, after_ms: f64) {
        self.stood += 1;
        self.in_time += u64::from(after_ms <= AIM_MS);
        self.late += u64::from(after_ms > AIM_MS && after_ms <= DEADLINE_MS);
    }
}

/// Worth offered with first set-ups, and the part of it that was served.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Worth {
    /// Of all first set-ups.
    pub offered: f64,
    /// Of those that stood in time, and the late ones' share.
    pub in_time: f64,
}

impl Worth {
    /// Adds what was heard of a class whose calls are worth `each`.
    pub fn add(&mut self, tally: &Tally, each: f64) {
        self.offered += each * tally.firsts() as f64;
        self.in_time += each * (tally.in_time as f64 + LATE_WORTH * tally.late as f64);
    }

    /// The share served, 0 to 1; of nothing, 0.
    #[must_use]
    pub fn share(&self) -> f64 {
        if self.offered > 0.0 { self.in_time / self.offered } else { 0.0 }
    }
}
