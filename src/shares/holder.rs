//! A member's own side: it answers the grantor's questions, takes grants of the one epoch it has promised itself to,
//! and drops what has lapsed.

use super::mastership::is_epoch_of;
use super::message::{Granted, Message, Reported, thousandths};
use super::settings::ShareSettings;
use crate::terms::{BudgetId, Demand, Epoch, Member, Part};

#[derive(Clone, Debug)]
struct Held {
    budget: BudgetId,
    epoch: Epoch,
    /// Of the last grant. Outlives what it gave, so that an older one that comes late is known as such.
    seq: u32,
    per_s: u32,
    burst: u32,
    until: f64,
}

#[derive(Clone, Debug)]
pub(super) struct Holder {
    keepers: Vec<Member>,
    lease_ms: f64,
    life: u32,
    /// The highest epoch heard of: grants of no other are taken.
    fence: Epoch,
    grantor: Option<(Member, f64)>,
    held: Vec<Held>,
    demands: Vec<Demand>,
    left: bool,
}

impl Holder {
    pub(super) fn new(settings: &ShareSettings, life: u32) -> Self {
        Holder {
            keepers: settings.keepers.clone(),
            lease_ms: settings.holders_ms(settings.lease_ms),
            life,
            fence: Epoch(0),
            grantor: None,
            held: Vec::new(),
            demands: Vec::new(),
            left: false,
        }
    }

    pub(super) fn demand(&mut self, demands: Vec<Demand>) {
        self.demands = demands;
    }

    /// The grantor last heard of, if within a lease.
    pub(super) fn grantor(&self, now: f64) -> Option<(Member, Epoch)> {
        self.grantor.filter(|(_, at)| now < at + self.lease_ms).map(|(member, _)| (member, self.fence))
    }

    /// What is held now.
    pub(super) fn parts(&self) -> Vec<Part> {
        let live = self.held.iter().filter(|h| h.per_s > 0 || h.burst > 0);
        live.map(|h| Part {
            budget: h.budget,
            per_s: f64::from(h.per_s) / 1000.0,
            burst: f64::from(h.burst) / 1000.0,
            until: h.until,
            epoch: h.epoch,
        })
        .collect()
    }

    /// When the next part lapses.
    pub(super) fn due(&self) -> f64 {
        let live = self.held.iter().filter(|h| h.per_s > 0 || h.burst > 0);
        live.map(|h| h.until).fold(f64::INFINITY, f64::min)
    }

    /// Drops what has lapsed; whether anything had.
    pub(super) fn lapse(&mut self, now: f64) -> bool {
        let mut any = false;
        for held in self.held.iter_mut().filter(|h| now >= h.until) {
            any |= held.per_s > 0 || held.burst > 0;
            (held.per_s, held.burst) = (0, 0);
        }
        let fence = self.fence;
        self.held.retain(|h| h.epoch == fence || now < h.until);
        any
    }

    /// Gives everything back; the answer for the grantor, if one is known.
    pub(super) fn leave(&mut self) -> Option<(Member, Message)> {
        self.left = true;
        self.held.clear();
        let (to, _) = self.grantor?;
        Some((to, Message::Gone { epoch: self.fence, life: self.life }))
    }

    /// The grantor asks: answers with the pages of a report.
    pub(super) fn asked(&mut self, now: f64, from: Member, epoch: Epoch, round: u32) -> Vec<Message> {
        if !self.keepers.contains(&from) || !is_epoch_of(epoch, from) {
            return Vec::new();
        }
        if epoch < self.fence {
            return vec![Message::Stale { epoch: self.fence }];
        }
        self.fence = epoch;
        self.grantor = Some((from, now));
        self.lapse(now);
        if self.left {
            return vec![Message::Gone { epoch, life: self.life }];
        }
        let lines = self.lines();
        let mut pages: Vec<Vec<Reported>> = lines.chunks(Message::REPORT_LINES).map(<[_]>::to_vec).collect();
        if pages.is_empty() {
            pages.push(Vec::new());
        }
        pages.truncate(usize::from(u8::MAX));
        let (life, stamp, count) = (self.life, now.max(0.0).floor() as u64, pages.len() as u8);
        let page = |(page, lines)| Message::Report { epoch, round, life, stamp, page, pages: count, lines };
        (0..).zip(pages).map(page).collect()
    }

    fn lines(&self) -> Vec<Reported> {
        let mut lines: Vec<Reported> = Vec::new();
        for held in self.held.iter().filter(|h| h.epoch != self.fence) {
            let old = Some((held.per_s, held.burst));
            lines.push(Reported { budget: held.budget, old, ..Reported::default() });
        }
        for demand in self.demands.iter().filter(|d| d.per_s > 0.0) {
            let (asked, worth) = (thousandths(demand.per_s), thousandths(demand.worth));
            match lines.iter_mut().find(|l| l.budget == demand.budget) {
                Some(line) => (line.asked, line.worth) = (asked, worth),
                None => lines.push(Reported { budget: demand.budget, asked, worth, old: None }),
            }
        }
        lines
    }

    /// A grant; the answer to it if it is in force now, and whether parts changed.
    pub(super) fn granted(
        &mut self,
        now: f64,
        (epoch, seq, life): (Epoch, u32, u32),
        stamp: u64,
        lines: &[Granted],
    ) -> Option<(Message, bool)> {
        let until = stamp as f64 + self.lease_ms;
        // A stamp is of the past; one that is not was not ours.
        if epoch != self.fence || life != self.life || self.left || stamp as f64 > now || now >= until {
            return None;
        }
        let mut changed = false;
        for line in lines {
            let new = Held { budget: line.budget, epoch, seq, per_s: line.per_s, burst: line.burst, until };
            match self.held.iter_mut().find(|h| h.budget == line.budget) {
                Some(held) if held.epoch == epoch && held.seq >= seq => {}
                Some(held) => {
                    changed = true;
                    *held = new;
                }
                None => {
                    changed = true;
                    self.held.push(new);
                }
            }
        }
        Some((Message::Ack { epoch, seq, life }, changed))
    }
}
