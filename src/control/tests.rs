//! Three control planes on one virtual clock and a network that loses nothing.

use super::*;
use crate::terms::BudgetId;

const FILE: &str = "
lease_ms: 1500
round_ms: 300
reservations:
  zone: UTC
  notice_min: 1
  sites: [{name: aarhus, per_s: 100, share: 0.6}]
  teams: [{name: billing, per_s: 50, week_set_ups: 100000}]
  bookings:
    - {id: nightly, team: billing, class: voice, number_prefix: \"0045\", per_s: 40, start: \"2026-12-02T02:03\", minutes: 2}
budgets:
  - {name: all, spend: set_ups, per_s: 100, burst: 60, floor: 0.1}
";
/// 2026-12-02T02:00:00 UTC.
const START_UNIX_MS: u64 = 1_796_176_800_000;
const STEP_MS: u64 = 10;

struct Fleet {
    controls: Vec<Control>,
    parts: Vec<Vec<Part>>,
    budgets: Vec<Vec<Budget>>,
    mail: Vec<(Member, Member, Vec<u8>)>,
}

impl Fleet {
    fn step(&mut self, at: usize, ms: u64, event: Event) {
        let mut effects = Vec::new();
        self.controls[at].step(ms as f64, START_UNIX_MS + ms, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => self.mail.push((Member(at as u16), to, bytes)),
                Effect::Parts(parts) => self.parts[at] = parts,
                Effect::Budgets(budgets) => self.budgets[at] = budgets,
                _ => {}
            }
        }
    }

    /// The rates that all instances together may spend at most, of everything.
    fn sum(&self, ms: u64) -> f64 {
        let parts = self.parts.iter().flatten().filter(|p| p.until > ms as f64).map(|p| p.per_s);
        let floors = self.budgets.iter().flatten().map(|b| floor_of(b, 3).0);
        parts.sum::<f64>() + floors.sum::<f64>()
    }

    fn booked(&self) -> f64 {
        let booked = self.parts.iter().flatten().filter(|p| p.budget.0 >= BudgetId::BOOKED);
        booked.map(|p| p.per_s).sum()
    }
}

#[test]
fn a_booking_is_a_budget_in_its_window_and_the_whole_is_never_exceeded() {
    let settings = ControlSettings::parse(FILE).unwrap();
    let place =
        |me| Place { me: Member(me), members: 3, incarnation: START_UNIX_MS, seed: 7 + u64::from(me) };
    let mut fleet = Fleet {
        controls: (0..3).map(|me| Control::new(&settings, &place(me), 0.0).unwrap()).collect(),
        parts: vec![Vec::new(); 3],
        budgets: vec![settings.budgets(); 3],
        mail: Vec::new(),
    };
    let (mut most, mut in_window, mut after) = (0.0_f64, 0.0_f64, f64::INFINITY);
    for ms in (STEP_MS..420_000).step_by(STEP_MS as usize) {
        for (from, to, bytes) in std::mem::take(&mut fleet.mail) {
            assert!(bytes.len() <= wire::DATAGRAM_MOST);
            fleet.step(usize::from(to.0), ms, Event::Datagram { from, bytes });
        }
        for at in 0..3 {
            if ms % 300 == 0 {
                let ask = |b: &Budget| Demand { budget: b.id, per_s: 60.0, worth: 1.0 };
                let demand = fleet.budgets[at].iter().map(ask).collect();
                fleet.step(at, ms, Event::Demand(demand));
            }
            if fleet.controls[at].next_due() <= ms as f64 {
                fleet.step(at, ms, Event::Tick);
            }
        }
        most = most.max(fleet.sum(ms));
        match ms {
            200_000..290_000 => in_window = in_window.max(fleet.booked()),
            320_000.. => after = after.min(fleet.booked()),
            _ => {}
        }
    }
    assert!(most <= 100.0 + 1e-6, "{most}");
    assert!(in_window > 25.0, "a job's set-ups have {in_window} a second in its window");
    assert_eq!(after, 0.0);
    assert!(fleet.sum(419_990) > 85.0, "and then the whole is everybody's again: {}", fleet.sum(419_990));
}
