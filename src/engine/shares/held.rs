//! Attempts that wait for their budget: a call of the dearest class that finds none left is not turned away at once but
//! waits a moment for its turn, so that it is the cheap ones that are refused, and not whoever comes first.

use super::super::calls::{Attempt, Call, Stage};
use super::super::{Due, Effect, Engine, ToCaller};
use super::{Parts, Payment};
use crate::interface::{CallId, LoadReport, Outcome, ServerId};
use crate::terms::{BudgetId, Spending};

/// The longest that an attempt waits for its budget, ms: of the dearest class, and of others.
const HOLD_MS: f64 = 700.0;
const HOLD_OTHERS_MS: f64 = 250.0;
/// Of its caller's wait so much is left for the set-up itself, ms.
const LEFT_MS: f64 = 700.0;
/// Budgets are looked at so often while one waits, ms.
const LOOK_MS: f64 = 10.0;

pub(super) struct Held {
    pub(super) call: CallId,
    pub(super) server: ServerId,
    pub(super) worth: f64,
    /// The budget that was the scarcest.
    pub(super) budget: Option<BudgetId>,
    pub(super) until: f64,
}

/// How an attempt that was to be paid for ends up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::engine) enum Paid {
    Now,
    /// It waits for its turn, for so long at most, ms, and for this budget.
    Later(f64, Option<BudgetId>),
    No,
}

impl Parts {
    /// Pays for an attempt, or says whether it may wait; `room`: the call server is not pressed, or it is a first one.
    /// `left_ms` is left of its caller's wait, and it has waited for `held_ms`.
    pub(super) fn pay(
        &mut self,
        payment: &Payment,
        server: ServerId,
        room: bool,
        (left_ms, held_ms): (f64, f64),
    ) -> Paid {
        self.look();
        if room && self.booked(payment, true) {
            return Paid::Now;
        }
        // Nobody overtakes one that waits and is worth as much.
        let before = self.before(payment, server);
        let spare = self.spare(payment);
        if room && spare.left >= 0.0 && (before == 0 || spare.scarcest.is_none()) {
            self.charge(payment, true);
            return Paid::Now;
        }
        // One that could not be paid within its time is told at once; and so is one that finds the call server pressed: to the
        // module what waits here is that server's line, so it would stay pressed by those that wait for it not to be.
        let (rate, dearer) = self.rate(payment);
        // Where all calls are worth the same nobody gains by waiting, and those that wait count as a line of the call
        // server's: set-ups of a booking, paid already, would be refused for it.
        let hold_ms = match (self.dear_from.is_finite(), dearer) {
            (false, _) => 0.0,
            (true, true) => HOLD_OTHERS_MS,
            (true, false) => HOLD_MS,
        };
        let wait_ms = (hold_ms - held_ms).min(left_ms - LEFT_MS);
        if room && (before as f64) < (rate * hold_ms / 1000.0).ceil() && wait_ms >= LOOK_MS {
            return Paid::Later(wait_ms, spare.scarcest);
        }
        self.pressed += u64::from(!room);
        self.charge(payment, false);
        Paid::No
    }

    /// How many wait, at this call server or for a budget that this one needs, and are worth as much.
    fn before(&self, payment: &Payment, server: ServerId) -> usize {
        let later = self.any(&Spending::SecondAttempts);
        let needs = |id: BudgetId| self.budgets.iter().any(|b| b.id == id && payment.ordinary(b, later));
        let meets = |h: &&Held| h.server == server || h.budget.is_some_and(needs);
        self.held.iter().filter(meets).filter(|h| h.worth >= payment.worth).count()
    }
}

impl Engine {
    /// Pays for an attempt; one that is to wait is kept.
    pub(in crate::engine) fn pay(&mut self, id: CallId, server: ServerId) -> Paid {
        let now = self.now;
        let times = |call: &Call| (call.deadline - now, call.held_from.map_or(0.0, |from| now - from));
        let times = self.calls.live.get(&id).map_or((0.0, 0.0), times);
        let pay = |shares: &mut Parts, payment: &Payment, room| shares.pay(payment, server, room, times);
        let Some(paid) = self.with_payment(id, server, pay) else { return Paid::Now };
        if let (Paid::Later(wait_ms, budget), Some(call)) = (paid, self.calls.live.get_mut(&id)) {
            call.attempt = Some(Attempt {
                number: call.attempts,
                server,
                sent_at: self.now,
                written: 0,
                stage: Stage::Unpaid,
            });
            call.attempts += 1;
            call.held_from = call.held_from.or(Some(now));
            let worth = self.worths.get(call.class).copied().unwrap_or_default();
            let Some(shares) = self.shares.as_mut() else { return paid };
            if shares.held.is_empty() {
                self.timers.set(self.now + LOOK_MS, Due::Budgets);
            }
            // The dearest first, and in the order of their coming.
            let at = shares.held.partition_point(|h| h.worth >= worth);
            shares.held.insert(at, Held { call: id, server, worth, budget, until: now + wait_ms });
        }
        paid
    }

    fn with_payment<T>(
        &mut self,
        id: CallId,
        server: ServerId,
        act: impl FnOnce(&mut Parts, &Payment, bool) -> T,
    ) -> Option<T> {
        let (shares, s) = (self.shares.as_mut()?, self.fleet.servers.get(&server)?);
        let call = self.calls.live.get(&id)?;
        let first = call.weighed == 0;
        let payment = Payment {
            spending: if first { Spending::SetUps } else { Spending::SecondAttempts },
            server: &s.listing.name,
            site: s.listing.zone.as_deref(),
            class: self.host.classes.get(call.class).map(|c| c.name.as_str()),
            number: call.number.as_deref(),
            worth: self.worths.get(call.class).copied().unwrap_or_default(),
        };
        let room = first || shares.has_room(self.controller.share_refused(self.now, server));
        Some(act(shares, &payment, room))
    }

    /// Looks at the attempts that wait: paid for, they go out; one whose time is over is refused, and one whose call
    /// server takes nothing new is placed anew.
    pub(in crate::engine) fn pay_held(&mut self, out: &mut Vec<Effect>) {
        let Some(shares) = self.shares.as_mut() else { return };
        shares.look();
        for held in std::mem::take(&mut shares.held) {
            let Held { call: id, server, until, .. } = held;
            let waits = |a: &Attempt| a.server == server && a.stage == Stage::Unpaid;
            if !self.calls.live.get(&id).and_then(|c| c.attempt.as_ref()).is_some_and(waits) {
                continue;
            }
            if !self.fleet.is_ready(server) || self.fleet.is_down(server) {
                self.end_attempt(id, Outcome::NotSent, LoadReport::default());
                continue;
            }
            let over = self.now >= until;
            let paid = self.with_payment(id, server, |shares, payment, room| {
                if room && shares.booked(payment, false) {
                    return true;
                }
                let pays = room && shares.spare(payment).left >= 0.0;
                if pays || over {
                    shares.charge(payment, pays);
                    shares.pressed += u64::from(!room);
                }
                pays
            });
            match paid {
                Some(true) => self.begin(id, out),
                _ if over => self.refuse_unpaid(id, server, out),
                _ => {
                    if let Some(shares) = self.shares.as_mut() {
                        shares.held.push(held);
                    }
                }
            }
        }
        if self.shares.as_ref().is_some_and(|s| !s.held.is_empty()) {
            self.timers.set(self.now + LOOK_MS, Due::Budgets);
        }
    }

    /// No budget is left: the call is answered at once, with an advice of its own.
    pub(in crate::engine) fn refuse_unpaid(&mut self, id: CallId, server: ServerId, out: &mut Vec<Effect>) {
        let most = self.stay_away_max_ms;
        let stay_away_ms = self.shares.as_mut().map_or(0.0, |shares| shares.stay_away_ms(most));
        log::debug!("call {:016x}: an attempt finds no budget of the fleet's", id.0);
        if let Some(call) = self.calls.live.get_mut(&id) {
            call.attempt = None;
        }
        self.tell_ended(id, server, Outcome::NotSent, true, LoadReport::default());
        self.answer(id, ToCaller::Refused { call: id, stay_away_ms }, out);
    }

    /// The place of first choice; where its budget has none left, that of the call server whose has the most.
    pub(in crate::engine) fn paid_place(
        &mut self,
        class: usize,
        number: Option<&str>,
        first_choice: Option<u32>,
    ) -> Option<u32> {
        let Some(shares) = self.shares.as_mut().filter(|s| s.any(&Spending::SetUps)) else {
            return first_choice;
        };
        shares.look();
        let rules = self.host.classes.get(class);
        let ready = self.fleet.servers.iter().filter(|(id, s)| {
            self.fleet.is_ready(**id)
                && !self.fleet.is_down(**id)
                && rules.is_none_or(|r| r.takes(s.listing.place))
        });
        let mut best = (first_choice, f64::NEG_INFINITY);
        for (_, s) in ready {
            let spare = shares
                .spare(&Payment {
                    spending: Spending::SetUps,
                    server: &s.listing.name,
                    site: s.listing.zone.as_deref(),
                    class: rules.map(|c| c.name.as_str()),
                    number,
                    worth: self.worths.get(class).copied().unwrap_or_default(),
                })
                .left;
            if spare >= 0.0 && Some(s.listing.place) == first_choice {
                return first_choice;
            }
            if spare > best.1 {
                best = (Some(s.listing.place), spare);
            }
        }
        if best.1 >= 0.0 { best.0 } else { first_choice }
    }
}
