//! The grantor's account of what every member may hold: the greatest of what was granted to it and has neither been
//! acknowledged away nor lapsed. Whole numbers (thousandths), so that sums are exact.

use crate::terms::{Budget, BudgetId, Member};
use std::collections::BTreeMap;

/// A rate (thousandths a second) and a burst (thousandths).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Amount {
    pub per_s: u64,
    pub burst: u64,
}

impl Amount {
    pub fn max(self, other: Amount) -> Amount {
        Amount { per_s: self.per_s.max(other.per_s), burst: self.burst.max(other.burst) }
    }

    pub fn min(self, other: Amount) -> Amount {
        Amount { per_s: self.per_s.min(other.per_s), burst: self.burst.min(other.burst) }
    }

    pub fn plus(self, other: Amount) -> Amount {
        Amount { per_s: self.per_s + other.per_s, burst: self.burst + other.burst }
    }

    /// Never below nothing.
    pub fn less(self, other: Amount) -> Amount {
        Amount {
            per_s: self.per_s.saturating_sub(other.per_s),
            burst: self.burst.saturating_sub(other.burst),
        }
    }

    /// This want's part of what is `free`, where `lacking` is the sum of all wants.
    pub fn part(self, free: Amount, lacking: Amount) -> Amount {
        let part = |want: u64, free: u64, lacking: u64| {
            if lacking <= free {
                want
            } else {
                (u128::from(want) * u128::from(free) / u128::from(lacking)) as u64
            }
        };
        Amount {
            per_s: part(self.per_s, free.per_s, lacking.per_s),
            burst: part(self.burst, free.burst, lacking.burst),
        }
    }

    pub fn is_none(self) -> bool {
        self.per_s == 0 && self.burst == 0
    }
}

#[derive(Clone, Debug)]
struct Entry {
    life: u32,
    /// 0: adopted from an older grantor.
    seq: u32,
    amount: Amount,
    until: f64,
}

#[derive(Clone, Debug)]
struct Account {
    /// What may be granted of it in all; nothing once the budget is gone.
    whole: Amount,
    entries: Vec<Vec<Entry>>,
    /// Sum over all members.
    reserved: Amount,
}

/// What a member's entries come to: within a life the greatest counts, over lives the sum.
fn reserved(entries: &[Entry]) -> Amount {
    let mut sum = Amount::default();
    for (i, entry) in entries.iter().enumerate() {
        if entries[..i].iter().any(|e| e.life == entry.life) {
            continue;
        }
        let of_life = entries.iter().filter(|e| e.life == entry.life);
        sum = sum.plus(of_life.fold(Amount::default(), |most, e| most.max(e.amount)));
    }
    sum
}

impl Account {
    fn change(&mut self, member: Member, change: impl FnOnce(&mut Vec<Entry>)) {
        let Some(entries) = self.entries.get_mut(usize::from(member.0)) else { return };
        let before = reserved(entries);
        change(entries);
        self.reserved = self.reserved.plus(reserved(entries)).less(before);
    }
}

#[derive(Clone, Debug)]
pub(super) struct Ledger {
    members: usize,
    accounts: BTreeMap<BudgetId, Account>,
    /// Until then members not heard may hold whatever older grantors gave them.
    settled_at: f64,
    lapses_at: f64,
}

impl Ledger {
    pub(super) fn new(members: u16, settled_at: f64) -> Self {
        Ledger {
            members: usize::from(members),
            accounts: BTreeMap::new(),
            settled_at,
            lapses_at: f64::INFINITY,
        }
    }

    fn account(&mut self, budget: BudgetId) -> &mut Account {
        let members = self.members;
        self.accounts.entry(budget).or_insert_with(|| Account {
            whole: Amount::default(),
            entries: vec![Vec::new(); members],
            reserved: Amount::default(),
        })
    }

    /// These are the budgets; what is out of others stays on account until it lapses.
    pub(super) fn budgets(&mut self, budgets: &[Budget]) {
        self.accounts.retain(|_, account| !account.reserved.is_none());
        for account in self.accounts.values_mut() {
            account.whole = Amount::default();
        }
        for budget in budgets {
            let left = 1.0 - budget.floor.clamp(0.0, 1.0);
            let thousandths = |v: f64| (v * left * 1000.0).floor() as u64;
            self.account(budget.id).whole =
                Amount { per_s: thousandths(budget.per_s), burst: thousandths(budget.burst) };
        }
    }

    /// A member was found to hold this of an older grantor, until `until` at most. Once for each member and budget.
    pub(super) fn adopt(&mut self, member: Member, life: u32, budget: BudgetId, amount: Amount, until: f64) {
        self.account(budget).change(member, |entries| entries.push(Entry { life, seq: 0, amount, until }));
        self.lapses_at = self.lapses_at.min(until);
    }

    /// What is divided of a budget.
    pub(super) fn whole(&self, budget: BudgetId) -> Amount {
        self.accounts.get(&budget).map_or(Amount::default(), |a| a.whole)
    }

    /// What nobody may hold of a budget, and could be granted. While more of any budget may be held than its whole, that
    /// is nothing: what was taken out of one may be what another has now.
    pub(super) fn free(&self, now: f64, budget: BudgetId) -> Amount {
        let over = |a: &Account| !a.reserved.less(a.whole).is_none();
        match self.accounts.get(&budget) {
            Some(account) if now >= self.settled_at && !self.accounts.values().any(over) => {
                account.whole.less(account.reserved)
            }
            _ => Amount::default(),
        }
    }

    /// This part of what may be held, lowered in proportion where that is more than the whole.
    pub(super) fn within(&self, budget: BudgetId, part: Amount) -> Amount {
        let Some(account) = self.accounts.get(&budget) else { return Amount::default() };
        let lowered = |part: u64, whole: u64, held: u64| {
            if held <= whole {
                return part;
            }
            // Never more than the part: the whole is less than what is held.
            u64::try_from(u128::from(part) * u128::from(whole) / u128::from(held)).unwrap_or(0)
        };
        let (whole, held) = (account.whole, account.reserved);
        Amount {
            per_s: lowered(part.per_s, whole.per_s, held.per_s),
            burst: lowered(part.burst, whole.burst, held.burst),
        }
    }

    /// What a member may hold in this life.
    pub(super) fn reserved(&self, member: Member, life: u32, budget: BudgetId) -> Amount {
        let entries = self.accounts.get(&budget).and_then(|a| a.entries.get(usize::from(member.0)));
        entries
            .into_iter()
            .flatten()
            .filter(|e| e.life == life)
            .fold(Amount::default(), |m, e| m.max(e.amount))
    }

    /// What a member was given last in this life.
    pub(super) fn given(&self, member: Member, life: u32, budget: BudgetId) -> Amount {
        let entries = self.accounts.get(&budget).and_then(|a| a.entries.get(usize::from(member.0)));
        let last = entries.into_iter().flatten().filter(|e| e.life == life).max_by_key(|e| e.seq);
        last.map_or(Amount::default(), |e| e.amount)
    }

    /// Puts a grant on account, cut down to what is free beyond what the member may hold already: what it comes to.
    pub(super) fn grant(
        &mut self,
        now: f64,
        (member, life, seq): (Member, u32, u32),
        budget: BudgetId,
        wanted: Amount,
        until: f64,
    ) -> Amount {
        let had = self.reserved(member, life, budget);
        let amount = wanted.min(had.plus(self.free(now, budget)));
        self.account(budget).change(member, |entries| entries.push(Entry { life, seq, amount, until }));
        self.lapses_at = self.lapses_at.min(until);
        amount
    }

    /// A member holds what `seq` gave it, or later ones.
    pub(super) fn acknowledged(&mut self, member: Member, life: u32, seq: u32) {
        for account in self.accounts.values_mut() {
            let entries = account.entries.get(usize::from(member.0));
            if entries.is_some_and(|es| es.iter().any(|e| e.life == life && e.seq == seq)) {
                account.change(member, |entries| entries.retain(|e| e.life != life || e.seq >= seq));
            }
        }
    }

    /// A member holds nothing and will not take up anything.
    pub(super) fn gone(&mut self, member: Member, life: u32) {
        for account in self.accounts.values_mut() {
            account.change(member, |entries| entries.retain(|e| e.life != life));
        }
    }

    /// When something becomes free by itself.
    pub(super) fn due(&self) -> f64 {
        self.lapses_at
    }

    /// Strikes what has lapsed; whether what is free grew by it.
    pub(super) fn lapse(&mut self, now: f64) -> bool {
        if now < self.lapses_at {
            return false;
        }
        let mut freed = false;
        let mut next = f64::INFINITY;
        for account in self.accounts.values_mut() {
            let before = account.reserved;
            for at in 0..account.entries.len() {
                if account.entries[at].iter().any(|e| now >= e.until) {
                    account.change(Member(at as u16), |entries| entries.retain(|e| now < e.until));
                }
                next = account.entries[at].iter().fold(next, |next, e| next.min(e.until));
            }
            freed |= account.reserved != before;
        }
        self.lapses_at = next;
        freed
    }
}
