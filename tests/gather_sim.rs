//! Learned deadlines against fixed ones on drawn answer times: the table of `docs/gather.md` and its bounds.
//!
//!     cargo test --test gather_sim -- --nocapture

use corkreach::gather::{Closed, GatherId, Gathers, Key, Prior, Settings};
use corkreach::terms::Member;
use std::fmt::Write;

const MEMBERS: u16 = 12;
const EACH: u32 = 5;
const EXPECTED: u32 = MEMBERS as u32 * EACH;
const CAP_MS: f64 = 20_000.0;
const FIRST: usize = 20;
const GATHERS: usize = FIRST + 200;
/// The world changes at this gather, where it does.
const CHANGE: usize = FIRST + 100;
const SEEDS: [u64; 5] = [11, 23, 58, 101, 4242];

/// Settings every scenario starts from; the prior fits none of the shapes.
fn settings() -> Settings {
    Settings {
        worth: vec![(0.0, 0.0), (0.5, 0.3), (0.9, 0.9), (1.0, 1.0)],
        least_share: 0.5,
        price_per_s: 0.15,
        cap_ms: CAP_MS,
        prior: Prior { median_ms: 1000.0, spread: 3.0, never: 0.02, weight: 8.0 },
        ..Settings::rounds()
    }
}

/// The worth of these settings, written a second time so that the module's own is not its judge.
fn worth(share: f64) -> f64 {
    match share {
        s if s < 0.5 - 1e-9 => 0.0,
        s if s < 0.9 => 0.3 + (s - 0.5) / 0.4 * 0.6,
        s => 0.9 + (s - 0.9),
    }
}

fn normal(rng: &mut fastrand::Rng) -> f64 {
    (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (rng.f64() * std::f64::consts::TAU).cos()
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Shape {
    Light,
    Heavy,
    TwoModes,
    SlowSite,
    AllSlower,
    Silent,
}

const SHAPES: [(Shape, &str); 6] = [
    (Shape::Light, "light tail"),
    (Shape::Heavy, "heavy tail"),
    (Shape::TwoModes, "two modes"),
    (Shape::SlowSite, "one site 3x slower half-way"),
    (Shape::AllSlower, "all 3x slower half-way"),
    (Shape::Silent, "one in six never comes"),
];

impl Shape {
    fn changes(self) -> bool {
        matches!(self, Shape::SlowSite | Shape::AllSlower)
    }

    /// One answer's time, ms; infinite: it never comes.
    fn draw(self, gather: usize, member: u16, rng: &mut fastrand::Rng) -> f64 {
        let log_normal =
            |median: f64, sigma: f64, rng: &mut fastrand::Rng| median * (sigma * normal(rng)).exp();
        let light = log_normal(300.0, 0.4, rng);
        let slower = |slow: bool| if slow && gather >= CHANGE { 3.0 } else { 1.0 };
        match self {
            Shape::Light => light,
            Shape::Heavy => 150.0 * (1.0 - rng.f64()).powf(-1.0 / 1.2),
            Shape::TwoModes if rng.f64() < 0.3 => log_normal(2000.0, 0.15, rng),
            Shape::TwoModes => log_normal(200.0, 0.3, rng),
            Shape::SlowSite => light * slower(member.is_multiple_of(3)),
            Shape::AllSlower => light * slower(true),
            Shape::Silent if rng.f64() < 1.0 / 6.0 => f64::INFINITY,
            Shape::Silent => light,
        }
    }

    /// All gathers of one world: answers as (time, member), in order of time.
    fn world(self, gathers: usize, seed: u64) -> Vec<Vec<(f64, u16)>> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let one = |gather| {
            let each = |i: u32| (i % u32::from(MEMBERS)) as u16;
            let mut answers: Vec<_> =
                (0..EXPECTED).map(|i| (self.draw(gather, each(i), &mut rng), each(i))).collect();
            answers.sort_by(|a, b| a.0.total_cmp(&b.0));
            answers
        };
        (0..gathers).map(one).collect()
    }
}

/// Worth less price of one gather that is closed at a fixed time, or once whole.
fn fixed(answers: &[(f64, u16)], deadline_ms: f64) -> f64 {
    let came = answers.partition_point(|a| a.0 <= deadline_ms);
    let waited = if came == answers.len() { answers[came - 1].0 } else { deadline_ms };
    worth(came as f64 / answers.len() as f64) - 0.15 * waited / 1000.0
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, n) = values.fold((0.0, 0.0), |(s, n), v| (s + v, n + 1.0));
    sum / n
}

/// The best fixed deadline of these gathers, known afterwards: (mean worth less price, ms).
fn best_fixed(world: &[Vec<(f64, u16)>]) -> (f64, f64) {
    let times = (0..600).map(|i| 20.0 * (CAP_MS / 20.0f64).powf(f64::from(i) / 599.0));
    times.map(|ms| (mean(world.iter().map(|g| fixed(g, ms))), ms)).max_by(|a, b| a.0.total_cmp(&b.0)).unwrap()
}

/// The time by which 99 in 100 of those answers came that came at all.
fn p99(world: &[Vec<(f64, u16)>]) -> f64 {
    let mut times: Vec<f64> = world.iter().flatten().map(|a| a.0).filter(|t| t.is_finite()).collect();
    times.sort_by(f64::total_cmp);
    times[times.len() * 99 / 100].min(CAP_MS)
}

/// Plays one gather from `start`; returns how it closed.
fn play(gathers: &mut Gathers, id: u64, start: f64, answers: &[(f64, u16)]) -> Closed {
    let key = Key::Job { class: "batch".into(), site: None };
    let members: Vec<Member> = (0..MEMBERS).map(Member).collect();
    gathers.open(start, GatherId(id), key, EXPECTED, &members);
    let (mut told, mut closed) = ([0u32; MEMBERS as usize], Vec::new());
    for &(ms, member) in answers {
        while let Some(due) = gathers.next_due().filter(|due| *due <= start + ms.min(1e9)) {
            gathers.poll(due, &mut closed);
            if let Some(closed) = closed.pop() {
                return closed;
            }
        }
        told[usize::from(member)] += 1;
        gathers.arrived(start + ms, GatherId(id), Member(member), told[usize::from(member)]);
    }
    gathers.poll(start + answers.last().unwrap().0, &mut closed);
    closed.pop().expect("a gather ends")
}

fn learned(world: &[Vec<(f64, u16)>], seed: u64) -> (Vec<f64>, Gathers) {
    let mut gathers = Gathers::new(settings(), seed);
    let one = |(i, answers): (usize, &Vec<(f64, u16)>)| {
        let closed = play(&mut gathers, i as u64, i as f64 * 60_000.0, answers);
        assert!(closed.waited_ms <= CAP_MS * 1.0001, "{closed:?}");
        let net = worth(closed.complete) - 0.15 * closed.waited_ms / 1000.0;
        assert!((net - closed.net).abs() < 1e-9, "{closed:?}");
        net
    };
    let nets = world.iter().enumerate().map(one).collect();
    (nets, gathers)
}

#[test]
fn learned_deadlines_stay_near_the_best_fixed_one() {
    let mut table = String::from(
        "| shape | seed | best fixed (ms) | its worth | learned | regret | none | 1 s | p99 | explored, cost | after the change |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mut broken = Vec::new();
    for (shape, name) in SHAPES {
        for seed in SEEDS {
            let world = shape.world(GATHERS, seed);
            let (nets, gathers) = learned(&world, seed);
            let (best, at) = best_fixed(&world[FIRST..]);
            let ours = mean(nets[FIRST..].iter().copied());
            let regret = (best - ours) / best;
            let against = |ms: f64| mean(world[FIRST..].iter().map(|g| fixed(g, ms)));
            let (none, second, percentile) =
                (against(CAP_MS), against(1000.0), against(p99(&world[FIRST..])));
            let figures = &gathers.figures()[0];
            let after = shape.changes().then(|| {
                let again = CHANGE + 30;
                let best = best_fixed(&world[again..]).0;
                (best - mean(nets[again..].iter().copied())) / best
            });
            let cost = figures.explore_cost / figures.mean_net / figures.gathers as f64;
            writeln!(
                table,
                "| {name} | {seed} | {at:.0} | {best:.3} | {ours:.3} | {:.1}% | {none:.3} | {second:.3} | {percentile:.3} | {}, {:.2}% | {} |",
                regret * 100.0,
                figures.explored,
                cost * 100.0,
                after.map_or("".into(), |r| format!("{:.1}%", r * 100.0)),
            )
            .unwrap();
            if regret > 0.03 || after.is_some_and(|r| r > 0.06) || ours < none * 0.99 {
                broken.push((name, seed, regret, after));
            }
        }
    }
    println!("{table}");
    assert!(broken.is_empty(), "{broken:?}");
}
