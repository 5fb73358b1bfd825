//! Cost of the index of booked capacity over time, against a plain list of windows.
//!
//!     cargo bench --bench reservations [-- WINDOWS]
//!
//! WINDOWS windows (100,000 by default) of 15 minutes to 8 hours spread over a year; then the most booked in
//! windows asked for, a window removed and added again, and the next window that fits a level that most of the year
//! is above. The list is looked through whole for each question, and asked fewer of them.

use corkreach::reservations::{Index, Milli, Minute, Span, milli};
use std::hint::black_box;
use std::time::Instant;

const YEAR: u32 = 366 * 24 * 60;

/// The plain list: what an index has to be better than.
#[derive(Default)]
struct List(Vec<(Span, Milli)>);

impl List {
    fn remove(&mut self, span: Span, rate: Milli) {
        if let Some(i) = self.0.iter().position(|w| *w == (span, rate)) {
            self.0.swap_remove(i);
        }
    }

    /// Sums up the boundaries within the window, in their order.
    fn most(&self, asked: Span) -> Milli {
        let mut level = 0;
        let mut changes: Vec<(Minute, Milli)> = Vec::new();
        for (span, rate) in self.0.iter().filter(|(s, _)| s.meets(asked)) {
            if span.start <= asked.start {
                level += rate;
            } else {
                changes.push((span.start, *rate));
            }
            if span.end < asked.end {
                changes.push((span.end, -rate));
            }
        }
        changes.sort_unstable();
        changes.iter().fold((level, level), |(most, now), (_, by)| (most.max(now + by), now + by)).0
    }

    /// Tries each end of a window, and the start asked for.
    fn fits(&self, from: Minute, minutes: u32, level: Milli) -> Option<Minute> {
        let mut starts: Vec<Minute> = self.0.iter().map(|(s, _)| s.end).filter(|&end| end > from).collect();
        starts.push(from);
        starts.sort_unstable();
        starts.dedup();
        starts.into_iter().find(|&start| self.most(Span { start, end: start + minutes }) <= level)
    }
}

/// Nanoseconds of one of so many.
fn each(n: usize, mut what: impl FnMut(usize)) -> f64 {
    let since = Instant::now();
    (0..n).for_each(&mut what);
    since.elapsed().as_nanos() as f64 / n as f64
}

fn main() {
    let n: usize = std::env::args().skip(1).find_map(|a| a.parse().ok()).unwrap_or(100_000);
    let mut rng = fastrand::Rng::with_seed(0x5eed);
    let mut window = || {
        let start = rng.u32(0..YEAR / 15) * 15;
        (Span { start, end: start + 15 * rng.u32(1..=32) }, milli(f64::from(rng.u32(1..=20))))
    };
    let windows: Vec<(Span, Milli)> = (0..n).map(|_| window()).collect();
    let asked: Vec<Span> = (0..10_000).map(|_| window().0).collect();
    let (mut index, mut list) = (Index::default(), List::default());
    let build = each(n, |i| index.add(windows[i].0, windows[i].1));
    let build_list = each(n, |i| list.0.push(windows[i]));
    let question = |i: usize| asked[i % asked.len()];
    for i in 0..20 {
        assert_eq!(index.most(question(i)), list.most(question(i)));
    }
    let most = each(100_000, |i| _ = black_box(index.most(question(i))));
    let most_list = each(200, |i| _ = black_box(list.most(question(i))));
    let change = each(100_000, |i| {
        let (span, rate) = windows[i % n];
        index.add(span, -rate);
        index.add(span, rate);
    });
    let change_list = each(200, |i| {
        let (span, rate) = windows[i * 7 % n];
        list.remove(span, rate);
        list.0.push((span, rate));
    });
    // A level that one window in a hundred keeps to.
    let mut levels: Vec<Milli> = asked[..1000].iter().map(|&s| index.most(s)).collect();
    levels.sort_unstable();
    let level = levels[10];
    for i in 0..3 {
        let from = question(i).start;
        assert_eq!(index.fits(from, 60, level), list.fits(from, 60, level));
    }
    let fits = each(10_000, |i| _ = black_box(index.fits(question(i).start, 60, level)));
    let fits_list = each(3, |i| _ = black_box(list.fits(question(i).start, 60, level)));
    println!(
        "{n} windows, {} boundaries; nanoseconds for each        index         list",
        index.boundaries()
    );
    for (name, index, list) in [
        ("window added", build, build_list),
        ("window removed and added again", change, change_list),
        ("most booked in a window", most, most_list),
        ("next window that fits", fits, fits_list),
    ] {
        println!("{name:<32} {index:>44.0} {list:>12.0}");
    }
}
