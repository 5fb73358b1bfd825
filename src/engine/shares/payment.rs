//! What an attempt or a dial is paid with, and whether there is enough of it.

use super::Parts;
use crate::terms::{Budget, BudgetId, Spending};

/// Part of a budget's burst that is kept for calls of the dearest class, where such calls come: what is cheaper is paid
/// only from what is above it, so that under scarcity the rate is the dear ones' first.
const KEPT: f64 = 0.5;
/// A class counts as the dearest for so long after its last call, ms.
const DEAR_MS: f64 = 5000.0;

/// What an attempt or a dial would be paid for.
pub(in crate::engine) struct Payment<'a> {
    pub spending: Spending,
    pub server: &'a str,
    pub site: Option<&'a str>,
    /// Of the call; dials have neither class nor number.
    pub class: Option<&'a str>,
    pub number: Option<&'a str>,
    pub worth: f64,
}

impl Payment<'_> {
    /// A later attempt loads a call server as a first one does: where second attempts are budgeted (`later`), it needs
    /// what the set-ups leave as well.
    fn falls_under(&self, budget: &Budget, later: bool) -> bool {
        let spent_on = budget.spending == self.spending
            || (later && self.spending == Spending::SecondAttempts && budget.spending == Spending::SetUps);
        let is = |wanted: &Option<String>, given: Option<&str>| {
            wanted.as_deref().is_none_or(|wanted| given == Some(wanted))
        };
        spent_on
            && is(&budget.server, Some(self.server))
            && is(&budget.site, self.site)
            && is(&budget.class, self.class)
            && budget
                .number_prefix
                .as_deref()
                .is_none_or(|prefix| self.number.is_some_and(|number| number.starts_with(prefix)))
    }

    pub(super) fn ordinary(&self, budget: &Budget, later: bool) -> bool {
        budget.id.0 < BudgetId::BOOKED && self.falls_under(budget, later)
    }
}

/// What is left to pay with.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spare {
    /// Of the scarcest budget, beyond one and beyond what is kept for dearer calls: from 0 on it can be paid. Without a
    /// budget, infinite.
    pub left: f64,
    pub scarcest: Option<BudgetId>,
}

impl Parts {
    /// Whether every budget that this falls under has one left; only then is it taken from each. What is asked is told
    /// to the control plane either way.
    pub(in crate::engine) fn pays(&mut self, payment: &Payment) -> bool {
        self.look();
        if self.booked(payment, true) {
            return true;
        }
        let pays = self.spare(payment).left >= 0.0;
        self.charge(payment, pays);
        pays
    }

    /// What is booked for a job is its own; beyond that its set-ups compete as others do. `told`: if it has none left, that
    /// is counted, as one that waits is asked about many times.
    pub(super) fn booked(&mut self, payment: &Payment, told: bool) -> bool {
        let (now, budgets) = (self.now, self.budgets.clone());
        for (budget, (spent, refused)) in budgets.iter().zip(&mut self.counts) {
            if budget.id.0 >= BudgetId::BOOKED && payment.falls_under(budget, false) {
                let paid = self.purse.spend(now, budget.id);
                if paid || told {
                    *(if paid { &mut *spent } else { &mut *refused }) += 1;
                    self.exchange.asked(budget.id, payment.worth, paid);
                }
                if paid {
                    return true;
                }
            }
        }
        false
    }

    /// What the budgets that this falls under have left.
    pub(super) fn spare(&mut self, payment: &Payment) -> Spare {
        let (now, budgets) = (self.now, self.budgets.clone());
        let later = self.any(&Spending::SecondAttempts);
        let mut spare = Spare { left: f64::INFINITY, scarcest: None };
        for (budget, dearest) in budgets.iter().zip(&mut self.dearest) {
            if payment.ordinary(budget, later) {
                if payment.worth >= dearest.0 || now - dearest.1 > DEAR_MS {
                    *dearest = (payment.worth, now);
                }
                let room = self.purse.room(now, budget.id).1;
                let kept = if payment.worth < dearest.0 { KEPT * (room - 1.0).max(0.0) } else { 0.0 };
                let left = self.purse.level(now, budget.id) - 1.0 - kept;
                if left < spare.left {
                    spare = Spare { left, scarcest: Some(budget.id) };
                }
            }
        }
        spare
    }

    /// Counts what was asked for, once for each attempt and dial that no booking paid, and takes it if it was paid.
    pub(super) fn charge(&mut self, payment: &Payment, pays: bool) {
        if let (Spending::SetUps, Some(site)) = (&payment.spending, payment.site) {
            self.exchange.sites().asked(site, payment.worth >= self.dear_from);
        }
        let later = self.any(&Spending::SecondAttempts);
        let (now, budgets) = (self.now, self.budgets.clone());
        for (budget, (spent, refused)) in budgets.iter().zip(&mut self.counts) {
            if payment.ordinary(budget, later) {
                let paid = pays && self.purse.spend(now, budget.id);
                *(if paid { spent } else { refused }) += 1;
                self.exchange.asked(budget.id, payment.worth, paid);
            }
        }
    }

    /// Of the scarcest budget that this falls under: its rate, a second; and whether a dearer call came of late.
    pub(super) fn rate(&mut self, payment: &Payment) -> (f64, bool) {
        let (now, budgets) = (self.now, self.budgets.clone());
        let later = self.any(&Spending::SecondAttempts);
        let (mut rate, mut dearer) = (f64::INFINITY, false);
        for (budget, dearest) in budgets.iter().zip(&self.dearest) {
            if payment.ordinary(budget, later) {
                rate = rate.min(self.purse.room(now, budget.id).0);
                dearer |= payment.worth < dearest.0 && now - dearest.1 <= DEAR_MS;
            }
        }
        (rate, dearer)
    }
}
