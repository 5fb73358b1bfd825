//! Three control planes on one virtual clock and a network that loses nothing.

use super::*;
use crate::reservations::{Answer, Reason, Request, State, Wish};
use crate::terms::BudgetId;

const FILE: &str = "
lease_ms: 1500
round_ms: 300
reservations:
  zone: UTC
  notice_min: 1
  sites: [{name: aarhus, per_s: 100, share: 0.6}, {name: odense, per_s: 50, share: 0.6}]
  teams: [{name: billing, per_s: 50, week_set_ups: 100000}]
  no_show: {grace_s: 20, step_s: 5}
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
    /// Those that run.
    up: Vec<bool>,
    parts: Vec<Vec<Part>>,
    budgets: Vec<Vec<Budget>>,
    mail: Vec<(Member, Member, Vec<u8>)>,
    answers: Vec<(u64, Answer)>,
    grantor: Option<usize>,
    ms: u64,
    /// The most that all could spend at any time.
    most: f64,
}

impl Fleet {
    fn start(file: &str) -> Fleet {
        let settings = ControlSettings::parse(file).unwrap();
        let place =
            |me| Place { me: Member(me), members: 3, incarnation: START_UNIX_MS, seed: 7 + u64::from(me) };
        Fleet {
            controls: (0..3).map(|me| Control::new(&settings, &place(me), 0.0).unwrap()).collect(),
            up: vec![true; 3],
            parts: vec![Vec::new(); 3],
            budgets: vec![settings.budgets(); 3],
            mail: Vec::new(),
            answers: Vec::new(),
            grantor: None,
            ms: 0,
            most: 0.0,
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        let mut effects = Vec::new();
        let ms = self.ms;
        self.controls[at].step(ms as f64, START_UNIX_MS + ms, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => {
                    assert!(bytes.len() <= wire::DATAGRAM_MOST);
                    self.mail.push((Member(at as u16), to, bytes));
                }
                Effect::Parts(parts) => self.parts[at] = parts,
                Effect::Budgets(budgets) => self.budgets[at] = budgets,
                Effect::Mastership(Some(_)) => self.grantor = Some(at),
                Effect::Answered { ticket, answer } => self.answers.push((ticket, answer)),
                _ => {}
            }
        }
    }

    /// Lets time pass up to `ms` with this demand of each instance, a second and worth, for budgets and sites.
    fn run(&mut self, ms: u64, demand: impl Fn(BudgetId) -> (f64, f64)) {
        while self.ms < ms {
            self.ms += STEP_MS;
            for (from, to, bytes) in std::mem::take(&mut self.mail) {
                if self.up[usize::from(to.0)] {
                    self.step(usize::from(to.0), Event::Datagram { from, bytes });
                }
            }
            for at in (0..3).filter(|&at| self.up[at]).collect::<Vec<_>>() {
                if self.ms.is_multiple_of(300) {
                    let sites = self.controls[at].sites();
                    let told = self.budgets[at].iter().map(|b| b.id).chain(sites.iter().map(|(id, _)| *id));
                    let ask = |budget| Demand { budget, per_s: demand(budget).0, worth: demand(budget).1 };
                    let demand = told.map(ask).collect();
                    self.step(at, Event::Demand(demand));
                }
                if self.controls[at].next_due() <= self.ms as f64 {
                    self.step(at, Event::Tick);
                }
            }
            self.most = self.most.max(self.sum());
        }
    }

    /// The rates that all instances together may spend at most, of everything.
    fn sum(&self) -> f64 {
        let of = |at: usize| {
            let live = self.parts[at].iter().filter(|p| p.until > self.ms as f64).map(|p| p.per_s);
            live.sum::<f64>() + self.budgets[at].iter().map(|b| floor_of(b, 3).0).sum::<f64>()
        };
        (0..3).filter(|&at| self.up[at]).map(of).sum()
    }

    /// What of a budget is divided among all now.
    fn of(&self, budget: u16) -> f64 {
        let all = self.parts.iter().flatten();
        all.filter(|p| p.budget.0 == budget && p.until > self.ms as f64).map(|p| p.per_s).sum()
    }

    /// What the grantor lets each running booking have.
    fn granted(&self) -> Vec<f64> {
        let listing = self.controls[self.grantor.unwrap()].listing().unwrap();
        assert!(listing.grantor);
        listing.bookings.iter().filter(|b| b.state == State::Running).map(|b| b.granted_per_s).collect()
    }

    fn wish(&mut self, at: usize, ticket: u64, wish: Wish) {
        self.step(at, Event::Wish { ticket, wish: Box::new(wish) });
    }
}

fn sixty(_: BudgetId) -> (f64, f64) {
    (60.0, 1.0)
}

fn job(id: &str, start: &str, per_s: f64) -> Request {
    Request {
        id: id.into(),
        team: "billing".into(),
        class: "voice".into(),
        per_s,
        start: format!("2026-12-02T{start}"),
        minutes: 10,
        ..Request::default()
    }
}

#[test]
fn a_booking_is_a_budget_in_its_window_and_the_whole_is_never_exceeded() {
    let mut fleet = Fleet::start(FILE);
    fleet.run(200_000, sixty);
    let mut in_window = 0.0_f64;
    while fleet.ms < 290_000 {
        fleet.run(fleet.ms + 1000, sixty);
        in_window = in_window.max(fleet.of(BudgetId::BOOKED));
    }
    fleet.run(420_000, sixty);
    assert!(in_window > 25.0, "a job's set-ups have {in_window} a second in its window");
    assert_eq!(fleet.of(BudgetId::BOOKED), 0.0);
    assert!(fleet.sum() > 85.0, "and then the whole is everybody's again: {}", fleet.sum());
    assert!(fleet.most <= 100.0 + 1e-6, "{}", fleet.most);
}

#[test]
fn a_booking_asked_for_at_any_instance_is_answered_there_and_known_to_all() {
    let mut fleet = Fleet::start(FILE);
    fleet.run(3000, sixty);
    (0..3).for_each(|at| fleet.wish(at, at as u64, Wish::Book(job("a", "02:20", 8.0))));
    fleet.wish(1, 7, Wish::Book(job("b", "02:20", 45.0)));
    fleet.run(6000, sixty);
    let mut answers = std::mem::take(&mut fleet.answers);
    answers.sort_by_key(|(ticket, _)| *ticket);
    let [(0, Answer::Booked(a)), (1, Answer::Booked(b)), (2, Answer::Booked(c)), (7, refused)] = &answers[..]
    else {
        panic!("{answers:?}");
    };
    assert!(a == b && b == c);
    assert!(
        matches!(refused, Answer::Refused { reason: Reason::TeamRate, nearest, .. } if !nearest.is_empty())
    );
    let ids = |at: usize| {
        let bookings = fleet.controls[at].listing().unwrap().bookings;
        bookings.into_iter().map(|b| b.request.id).collect::<Vec<_>>()
    };
    assert!((0..3).all(|at| ids(at) == ["nightly", "a"]));
}

#[test]
fn a_job_that_does_not_come_gives_back_and_a_new_grantor_knows_how_much_it_keeps() {
    let job_asks = |per_s: f64| {
        move |budget: BudgetId| if budget.0 >= BudgetId::BOOKED { (per_s, 1.0) } else { (60.0, 1.0) }
    };
    let mut fleet = Fleet::start(FILE);
    fleet.run(190_000, job_asks(0.0));
    assert_eq!(fleet.granted(), [40.0]);
    let before = fleet.of(0);
    // The window began at 180 s; the grace is 20 s.
    fleet.run(215_000, job_asks(0.0));
    assert_eq!(fleet.granted(), [4.0]);
    assert!(fleet.of(0) > before + 25.0, "{} of {before}", fleet.of(0));

    let old = fleet.grantor.take().unwrap();
    fleet.up[old] = false;
    fleet.parts[old].clear();
    fleet.run(220_000, job_asks(0.0));
    assert_ne!(fleet.grantor, Some(old));
    assert_eq!(fleet.granted(), [4.0], "the new grantor has not to find out by itself");

    let mut steps = Vec::new();
    while fleet.ms < 260_000 {
        fleet.run(fleet.ms + 1000, job_asks(13.0));
        let granted = fleet.granted()[0];
        if steps.last() != Some(&granted) {
            steps.push(granted);
        }
    }
    assert_eq!(steps, [4.0, 12.0, 24.0, 40.0]);
    assert!(fleet.most <= 100.0 + 1e-6, "{}", fleet.most);
}

#[test]
fn dear_live_traffic_comes_before_bookings_where_a_site_is_lost() {
    let mut fleet = Fleet::start(FILE);
    fleet.run(3000, sixty);
    fleet.wish(1, 0, Wish::Book(Request { site: Some("odense".into()), ..job("b", "02:04", 10.0) }));
    fleet.run(200_000, sixty);
    // Of 8 a second at each instance and site, a quarter is dear.
    let sites = fleet.controls[0].sites();
    let demand = move |budget: BudgetId| {
        if sites.iter().any(|(id, _)| *id == budget) { (8.0, 0.25) } else { (20.0, 1.0) }
    };
    fleet.run(250_000, &demand);
    assert_eq!(fleet.granted(), [40.0, 10.0]);
    for at in 0..3 {
        (0..2).for_each(|_| fleet.step(at, Event::Sites(vec![("aarhus".into(), 0.0)])));
    }
    fleet.run(252_000, &demand);
    // Odense takes 50, of which dear traffic of both sites needs 12: the earlier promise has what is left.
    let granted = fleet.granted();
    assert!((37.0..39.0).contains(&granted[0]) && granted[1] == 0.0, "{granted:?}");
    for at in 0..3 {
        (0..2).for_each(|_| fleet.step(at, Event::Sites(vec![("aarhus".into(), 1.0)])));
    }
    fleet.run(256_000, &demand);
    assert_eq!(fleet.granted(), [40.0, 10.0]);
    assert!(fleet.most <= 100.0 + 1e-6, "{}", fleet.most);
}

#[test]
fn live_traffic_closes_what_is_not_booked_yet_also_under_the_next_grantor() {
    let mut fleet = Fleet::start(FILE);
    // 31 at each of three instances are 93 a second at each site.
    let demand = |_| (31.0, 0.0);
    fleet.run(6000, demand);
    let old = fleet.grantor.take().unwrap();
    fleet.up[old] = false;
    let other = (old + 1) % 3;
    fleet.run(9000, |_| (0.0, 0.0));
    // Of 100 at a site the live traffic and a tenth leave nothing.
    fleet.wish(other, 1, Wish::Book(job("a", "02:20", 2.0)));
    fleet.run(11_000, demand);
    let answer = &fleet.answers.iter().find(|(ticket, _)| *ticket == 1).unwrap().1;
    assert!(matches!(answer, Answer::Refused { reason: Reason::Capacity, .. }), "{answer:?}");
}

#[test]
fn a_file_read_again_is_followed_by_whoever_grants() {
    let mut fleet = Fleet::start(FILE);
    fleet.run(3000, sixty);
    let file = FILE.replace("id: nightly", "id: other").replace("name: odense", "name: vejle");
    let settings = ControlSettings::parse(&file).unwrap().reservations.unwrap();
    (0..3).for_each(|at| fleet.step(at, Event::Reread(Box::new(settings.clone()))));
    fleet.run(6000, sixty);
    let states = |at: usize| {
        let bookings = fleet.controls[at].listing().unwrap().bookings;
        bookings.into_iter().map(|b| (b.request.id, b.state)).collect::<Vec<_>>()
    };
    let [nightly, other] = &states(0)[..] else { panic!("{:?}", states(0)) };
    assert_eq!((nightly.1, other.0.as_str(), other.1), (State::Cancelled, "other", State::Booked));
    assert!((1..3).all(|at| states(at) == states(0)));
    assert!((0..3).all(|at| fleet.controls[at].sites().iter().any(|(_, name)| name == "vejle")));
}

/// What a window takes out of the operator's budget is out of it before anybody has it under the booking's name, also if
/// the one who grants stands still meanwhile: the next one finds the old parts still held.
#[test]
fn a_takeover_while_a_window_begins_counts_nothing_twice() {
    let file = FILE.replace("02:03", "02:01");
    for before in (0..900).step_by(100) {
        let mut fleet = Fleet::start(&file);
        fleet.run(60_000 - before, sixty);
        let old = fleet.grantor.unwrap();
        fleet.up[old] = false;
        while fleet.grantor == Some(old) {
            fleet.run(fleet.ms + 10, sixty);
        }
        fleet.up[old] = true;
        fleet.run(66_000, sixty);
        assert!(fleet.of(BudgetId::BOOKED) > 25.0);
        assert!(fleet.most <= 100.0 + 1e-6, "{before}: {}", fleet.most);
    }
}
