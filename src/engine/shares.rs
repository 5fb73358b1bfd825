//! Hosts this instance's parts of the fleet's budgets (`crate::shares`): what may be spent on an attempt or a dial, what
//! was asked for, and the refusals' advice. What is decided elsewhere is read from the exchange; nothing here waits.

use super::{Due, Engine};
use crate::interface::ServerId;
use crate::shares::{Exchange, Purse};
use crate::terms::{Budget, BudgetId, Spending};
use std::collections::HashMap;
use std::sync::Arc;

/// A call server at which the module refuses more than this share of first set-ups has no room for second attempts.
const PRESSED: f64 = 0.05;
/// One that may not be dialled now is asked about again after this, ms.
const DIAL_AGAIN_MS: f64 = 300.0;
/// Advice to stay away is drawn from this part of the longest that callers heed up to all of it, so that those who
/// were turned away in one second don't come back in one.
const STAY_AWAY_FROM: f64 = 0.25;

/// Part of a budget's burst that is kept for calls of the dearest class, where such calls come: what is cheaper is paid
/// only from what is above it, so that under scarcity the rate is the dear ones' first.
const KEPT: f64 = 0.5;
/// A class counts as the dearest for so long after its last call, ms.
const DEAR_MS: f64 = 5000.0;

/// Of one budget, for operators' figures.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BudgetFigures {
    pub name: String,
    /// This instance's rate (a second) and burst, part and floor together.
    pub per_s: f64,
    pub burst: f64,
    /// What was asked of it and paid, and asked and refused for want of it.
    pub spent: u64,
    pub refused: u64,
}

/// Of all budgets, and of the control plane that divides them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareFigures {
    pub budgets: Vec<BudgetFigures>,
    /// Second attempts refused because the call server was pressed.
    pub pressed: u64,
    pub control: crate::control::ControlFigures,
}

/// What an attempt or a dial would be paid for.
pub(super) struct Payment<'a> {
    pub spending: Spending,
    pub server: &'a str,
    pub site: Option<&'a str>,
    /// Of the call; dials have neither class nor number.
    pub class: Option<&'a str>,
    pub number: Option<&'a str>,
    pub worth: f64,
}

impl Payment<'_> {
    fn falls_under(&self, budget: &Budget) -> bool {
        let is = |wanted: &Option<String>, given: Option<&str>| {
            wanted.as_deref().is_none_or(|wanted| given == Some(wanted))
        };
        budget.spending == self.spending
            && is(&budget.server, Some(self.server))
            && is(&budget.site, self.site)
            && is(&budget.class, self.class)
            && budget
                .number_prefix
                .as_deref()
                .is_none_or(|prefix| self.number.is_some_and(|number| number.starts_with(prefix)))
    }
}

pub(super) struct Parts {
    exchange: Arc<Exchange>,
    seen: u64,
    purse: Purse,
    budgets: Arc<Vec<Budget>>,
    /// Spent and refused, by the budgets' order.
    counts: Vec<(u64, u64)>,
    /// The dearest that was to be paid of late, and when, by the budgets' order.
    dearest: Vec<(f64, f64)>,
    pressed: u64,
    /// Worth of the dearest class, where classes differ in it.
    dear_from: f64,
    /// The driver's monotonic clock, ms.
    now: f64,
    /// When a call server that may not be dialled is asked about again.
    dial_again: HashMap<ServerId, f64>,
    rng: fastrand::Rng,
}

impl Parts {
    fn new(exchange: Arc<Exchange>, members: u16, seed: u64, now: f64) -> Self {
        let budgets = exchange.snapshot().budgets.clone();
        Parts {
            exchange,
            seen: 0,
            purse: Purse::new(budgets.to_vec(), members, now),
            counts: vec![(0, 0); budgets.len()],
            dearest: vec![(0.0, f64::NEG_INFINITY); budgets.len()],
            budgets,
            pressed: 0,
            dear_from: f64::INFINITY,
            now,
            dial_again: HashMap::new(),
            rng: fastrand::Rng::with_seed(seed ^ 0x5a17),
        }
    }

    /// Takes up what the control plane decided since.
    fn look(&mut self) {
        let Some(news) = self.exchange.news(&mut self.seen) else { return };
        if !Arc::ptr_eq(&news.budgets, &self.budgets) {
            let kept =
                |b: &Budget| self.budgets.iter().position(|old| old.id == b.id).map(|at| self.counts[at]);
            self.counts = news.budgets.iter().map(|b| kept(b).unwrap_or_default()).collect();
            self.dearest = vec![(0.0, f64::NEG_INFINITY); self.counts.len()];
            self.purse.budgets(self.now, &news.budgets);
            self.budgets = news.budgets.clone();
        }
        self.purse.take(self.now, &news.parts);
    }

    /// Whether every budget that this falls under has one left; only then is it taken from each. What is asked is told
    /// to the control plane either way.
    pub(super) fn pays(&mut self, payment: &Payment) -> bool {
        self.look();
        let (now, budgets) = (self.now, self.budgets.clone());
        // What is booked for a job is its own; beyond that its set-ups compete as others do.
        for (budget, (spent, refused)) in budgets.iter().zip(&mut self.counts) {
            if budget.id.0 >= BudgetId::BOOKED && payment.falls_under(budget) {
                let paid = self.purse.spend(now, budget.id);
                *(if paid { &mut *spent } else { &mut *refused }) += 1;
                self.exchange.asked(budget.id, payment.worth, paid);
                if paid {
                    return true;
                }
            }
        }
        if let (Spending::SetUps, Some(site)) = (&payment.spending, payment.site) {
            self.exchange.sites().asked(site, payment.worth >= self.dear_from);
        }
        let ordinary = |b: &Budget| b.id.0 < BudgetId::BOOKED && payment.falls_under(b);
        let mut pays = true;
        for (budget, dearest) in budgets.iter().zip(&mut self.dearest) {
            if ordinary(budget) {
                if payment.worth >= dearest.0 || now - dearest.1 > DEAR_MS {
                    *dearest = (payment.worth, now);
                }
                let room = self.purse.room(now, budget.id).1;
                let kept = if payment.worth < dearest.0 { KEPT * (room - 1.0).max(0.0) } else { 0.0 };
                pays &= self.purse.level(now, budget.id) >= 1.0 + kept;
            }
        }
        for (budget, (spent, refused)) in budgets.iter().zip(&mut self.counts) {
            if ordinary(budget) {
                let paid = pays && self.purse.spend(now, budget.id);
                *(if paid { spent } else { refused }) += 1;
                self.exchange.asked(budget.id, payment.worth, paid);
            }
        }
        pays
    }

    pub(super) fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    fn any(&self, spending: &Spending) -> bool {
        self.budgets.iter().any(|b| b.spending == *spending)
    }

    /// Dials to a call server that is down are paid for.
    pub(super) fn pace_dials(&self) -> bool {
        self.any(&Spending::Dials)
    }

    /// Second attempts are paid from the call servers' headroom: at a pressed one there is none.
    pub(super) fn has_room(&mut self, share_refused: f64) -> bool {
        let room = share_refused <= PRESSED || !self.any(&Spending::SecondAttempts);
        self.pressed += u64::from(!room);
        room
    }

    /// Advice for a caller that is turned away, ms.
    pub(super) fn stay_away_ms(&mut self, most: f64) -> f64 {
        most * (STAY_AWAY_FROM + (1.0 - STAY_AWAY_FROM) * self.rng.f64())
    }

    fn figures(&mut self) -> ShareFigures {
        self.look();
        let (now, budgets) = (self.now, self.budgets.clone());
        let of = |(budget, &(spent, refused)): (&Budget, &(u64, u64))| {
            let (per_s, burst) = self.purse.room(now, budget.id);
            BudgetFigures { name: budget.name.clone(), per_s, burst, spent, refused }
        };
        let budgets = budgets.iter().zip(&self.counts).map(of).collect();
        ShareFigures { budgets, pressed: self.pressed, ..ShareFigures::default() }
    }
}

impl Engine {
    /// Turns on the fleet's budgets, of a fleet of so many configured members; `now` is the driver's monotonic time.
    #[must_use]
    pub fn with_shares(mut self, exchange: Arc<Exchange>, members: u16, seed: u64, now: f64) -> Self {
        self.shares = Some(Parts::new(exchange, members, seed, now));
        self.tell_worths();
        self
    }

    /// Calls of the dearest class are dear, where there are cheaper ones.
    pub(super) fn tell_worths(&mut self) {
        if let Some(shares) = self.shares.as_mut() {
            let most = self.worths.iter().copied().fold(0.0, f64::max);
            let differ = self.worths.iter().any(|&worth| worth < most);
            shares.dear_from = if differ { most } else { f64::INFINITY };
        }
    }

    /// The driver's monotonic time, ms, told before each step: parts lapse by it, whatever the Unix clock does.
    pub fn monotonic(&mut self, now: f64) {
        if let Some(shares) = self.shares.as_mut() {
            shares.now = shares.now.max(now);
        }
        self.jobs_now(now);
    }

    /// Whether this call server may be dialled now. One that is down is dialled only if it is paid for; else it is asked
    /// about again a little later.
    pub(super) fn may_dial(&mut self, server: ServerId) -> bool {
        if !self.fleet.is_down(server) {
            return true;
        }
        let (Some(shares), Some(s)) = (self.shares.as_mut(), self.fleet.servers.get(&server)) else {
            return true;
        };
        let payment = Payment {
            spending: Spending::Dials,
            server: &s.listing.name,
            site: s.listing.zone.as_deref(),
            class: None,
            number: None,
            worth: 1.0,
        };
        let pays = shares.pays(&payment);
        let again = self.now + DIAL_AGAIN_MS;
        if pays {
            shares.dial_again.remove(&server);
        } else if shares.dial_again.get(&server).is_none_or(|&at| at <= self.now) {
            shares.dial_again.insert(server, again);
            self.timers.set(again, Due::Redial(server));
        }
        pays
    }

    pub(super) fn forget_dials(&mut self, server: ServerId) {
        if let Some(shares) = self.shares.as_mut() {
            shares.dial_again.remove(&server);
        }
    }

    pub(super) fn share_figures(&mut self) -> Option<ShareFigures> {
        self.shares.as_mut().map(Parts::figures)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::terms::Part;

    fn budget(id: u16, spending: Spending, server: Option<&str>, class: Option<&str>) -> Budget {
        Budget {
            id: BudgetId(id),
            name: format!("b{id}"),
            spending,
            server: server.map(str::to_owned),
            site: None,
            class: class.map(str::to_owned),
            number_prefix: None,
            per_s: 10.0,
            burst: 4.0,
            floor: 0.0,
        }
    }

    fn parts(budgets: &[Budget]) -> Parts {
        Parts::new(Arc::new(Exchange::new(budgets)), 2, 7, 0.0)
    }

    fn set_up<'a>(server: &'a str, class: &'a str) -> Payment<'a> {
        let (site, number) = (Some("aarhus"), Some("0045"));
        Payment { spending: Spending::SetUps, server, site, class: Some(class), number, worth: 1.0 }
    }

    fn give(parts: &mut Parts, budgets: &[u16], until: f64) {
        let part =
            |&id: &u16| Part { budget: BudgetId(id), per_s: 10.0, burst: 4.0, until, ..Part::default() };
        parts.exchange.publish(budgets.iter().map(part).collect());
        parts.look();
    }

    #[test]
    fn all_that_match_must_agree_and_none_is_charged_if_one_refuses() {
        let all = budget(0, Spending::SetUps, None, None);
        let mut p = parts(&[all, budget(1, Spending::SetUps, Some("s-a"), None)]);
        give(&mut p, &[0], 9000.0);
        p.now = 200.0;
        assert!(!p.pays(&set_up("s-a", "voice")), "the call server's own has nothing");
        assert_eq!(p.purse.level(200.0, BudgetId(0)), 2.0);
        assert!(p.pays(&set_up("s-b", "voice")) && p.pays(&set_up("s-b", "voice")));
        assert!(!p.pays(&set_up("s-b", "voice")));
        let figures = p.figures();
        assert_eq!((figures.budgets[0].spent, figures.budgets[0].refused), (2, 2));
        assert_eq!((figures.budgets[1].spent, figures.budgets[1].refused), (0, 1));
        let (demand, spent) = p.exchange.demands(1000.0);
        assert_eq!((demand[0].per_s, demand[1].per_s, spent), (4.0, 1.0, vec![2, 0]));
    }

    #[test]
    fn what_no_budget_speaks_of_costs_nothing() {
        let mut p = parts(&[budget(0, Spending::SetUps, None, Some("video"))]);
        assert!(p.pays(&set_up("s-a", "voice")));
        assert!(!p.pays(&set_up("s-a", "video")));
        assert!(p.pays(&Payment { spending: Spending::SecondAttempts, ..set_up("s-a", "video") }));
        let prefix = Budget { number_prefix: Some("0046".into()), ..budget(0, Spending::SetUps, None, None) };
        let mut p = parts(&[prefix]);
        assert!(p.pays(&set_up("s-a", "voice")));
        assert!(!p.pays(&Payment { number: Some("00461"), ..set_up("s-a", "voice") }));
    }

    #[test]
    fn under_scarcity_the_dear_are_paid_first_and_nothing_is_kept_where_none_come() {
        let mut p = parts(&[budget(0, Spending::SetUps, None, None)]);
        give(&mut p, &[0], 1e6);
        let pay = |p: &mut Parts, worth| u32::from(p.pays(&Payment { worth, ..set_up("s-a", "voice") }));
        let mut paid = [0; 2];
        // 40 a second want one of 10, every fifth of them of worth 3.
        for i in 0..400u32 {
            p.now = f64::from(i) * 25.0;
            let dear = i % 5 == 0;
            paid[usize::from(dear)] += pay(&mut p, if dear { 3.0 } else { 1.0 });
        }
        assert!(paid[1] >= 78 && (15..=25).contains(&paid[0]), "{paid:?}");
        p.now = 20_000.0;
        assert_eq!(
            (0..9).map(|_| pay(&mut p, 1.0)).sum::<u32>(),
            4,
            "the whole burst, with no dear ones about"
        );
    }

    #[test]
    fn a_jobs_set_ups_are_paid_from_its_booking_and_beyond_it_as_others() {
        let job = Budget {
            number_prefix: Some("0045".into()),
            ..budget(BudgetId::BOOKED, Spending::SetUps, None, None)
        };
        let mut p = parts(&[budget(0, Spending::SetUps, None, None), job]);
        give(&mut p, &[0, BudgetId::BOOKED], 9000.0);
        p.now = 200.0;
        assert_eq!((0..9).filter(|_| p.pays(&set_up("s-a", "voice"))).count(), 4, "two of each");
        assert!(!p.pays(&Payment { number: None, ..set_up("s-a", "voice") }));
        let figures = p.figures();
        assert_eq!((figures.budgets[0].spent, figures.budgets[1].spent), (2, 2));
    }

    /// A control thread that died or is stuck publishes nothing more: its parts lapse, and no answer waits for it.
    #[test]
    fn parts_lapse_by_the_monotonic_clock_where_nobody_renews_them() {
        let mut p = parts(&[budget(0, Spending::SetUps, None, None)]);
        give(&mut p, &[0], 600.0);
        p.now = 599.0;
        assert!(p.pays(&set_up("s-a", "voice")));
        p.now = 2400.0;
        assert!(!p.pays(&set_up("s-a", "voice")));
    }

    #[test]
    fn second_attempts_need_room_only_where_they_have_a_budget_and_advice_is_spread() {
        let mut p = parts(&[budget(0, Spending::SetUps, None, None)]);
        assert!(p.has_room(0.9));
        let mut p = parts(&[budget(0, Spending::SecondAttempts, None, None)]);
        assert!(p.has_room(0.0) && !p.has_room(0.4));
        let advice: Vec<f64> = (0..200).map(|_| p.stay_away_ms(2000.0)).collect();
        assert!(advice.iter().all(|ms| (500.0..=2000.0).contains(ms)));
        let late = advice.iter().filter(|&&ms| ms > 1250.0).count();
        assert!((60..140).contains(&late), "{late} of 200 in the later half");
        assert_eq!(p.stay_away_ms(0.0), 0.0);
    }
}
