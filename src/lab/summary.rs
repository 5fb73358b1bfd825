//! The summary of each run: shares of the set-ups offered, each try by itself; first set-ups with their repeats folded into
//! them, as the service is measured; and the servers in the seconds in which they were pressed.

use crate::lab::tally::{Tally, Worth};
use crate::lab::{Figures, Run};
use serde::Serialize;
use std::collections::{BTreeMap, HashSet};

/// One class, or all, of one run in brief.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Summary {
    /// `off` or `on`.
    pub run: Run,
    /// The class, or `all`.
    pub class: String,
    /// Set-ups offered by all callers, repeats among them.
    pub offered: u64,
    /// Of these, repeats of ones turned away.
    pub repeats: u64,
    /// Set-ups that reached any server, for each offered; of all classes only.
    pub attempts_per_offered: Option<f64>,
    /// The most dials by the whole fleet at one server in one second, the first second (the fleet's own
    /// start) left out; of all classes only.
    pub peak_dials_per_s: Option<u64>,
    /// Answered: a share of offered.
    pub answered: f64,
    /// Refused by the border controllers: a share of offered.
    pub refused: f64,
    /// Of the refused, told to stay away: a share.
    pub advised: f64,
    /// Failed at or on the way to servers: a share of offered.
    pub failed: f64,
    /// The longest time to a refusal, ms.
    pub slowest_refusal_ms: u64,
    /// Set-ups with two final answers or an answer out of turn (must be 0).
    pub doubled: u64,
    /// Set-ups at live instances left with no final answer (must be 0).
    pub lost: u64,
    /// Set-ups lost with an instance that was crashed on purpose.
    pub cut: u64,
    /// First set-ups: repeats are folded into theirs.
    pub firsts: u64,
    /// Set-ups that reached any server, for each first set-up; of all classes only.
    pub attempts_per_first: Option<f64>,
    /// First set-ups that stood in the end, at whichever try: a share of these.
    pub stood: f64,
    /// Worth that stood within its aim, counted from the first try, and the share that late calls keep: of the worth
    /// offered with first set-ups.
    pub worth_in_time: f64,
    /// That worth over the instances, in the whole run; of all classes only.
    pub instances: Option<Spread>,
    /// The servers in the seconds in which they were pressed; of all classes only.
    pub pressed: Vec<Pressed>,
}

/// The share of worth in time that single instances reached.
#[derive(Clone, Copy, Debug, Default, Serialize, PartialEq)]
pub struct Spread {
    /// The lowest.
    pub worst: f64,
    /// The mean over the instances.
    pub mean: f64,
    /// The highest.
    pub best: f64,
    /// The lowest over the mean; where nobody got anything, 0.
    pub worst_to_mean: f64,
}

/// One server in the seconds in which it sent set-ups back, or reported a long wait.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Pressed {
    /// The server.
    pub server: String,
    /// In how many seconds.
    pub seconds: usize,
    /// Set-ups that reached it in these, for each first set-up offered to the fleet.
    pub attempts_per_first: f64,
    /// The same in the seconds in which it was pressed in the first run: with `off` and `on`, over one set of seconds.
    pub attempts_per_first_then: f64,
}

/// The runs, in their order.
pub(super) fn runs(figures: &Figures) -> Vec<Run> {
    let mut runs: Vec<Run> = figures.callers.iter().map(|c| c.run).collect();
    runs.dedup();
    runs
}

/// Sums up each run of the figures: all classes, then, where there are several, each of them.
#[must_use]
pub fn summarize(figures: &Figures) -> Vec<Summary> {
    let mut classes: Vec<&str> = Vec::new();
    for c in &figures.callers {
        if !classes.contains(&c.class.as_str()) {
            classes.push(&c.class);
        }
    }
    let mut summary = Vec::new();
    for run in runs(figures) {
        summary.push(summary_of(figures, run, None));
        if classes.len() > 1 {
            summary.extend(classes.iter().map(|class| summary_of(figures, run, Some(class))));
        }
    }
    summary
}

fn summary_of(figures: &Figures, run: Run, class: Option<&str>) -> Summary {
    let (mut tally, mut worth) = (Tally::default(), Worth::default());
    let meant = |c: &&crate::lab::CallerSecond| c.run == run && class.is_none_or(|name| name == c.class);
    for c in figures.callers.iter().filter(meant) {
        tally.add(&c.tally);
        worth.add(&c.tally, c.worth);
    }
    let share = |n: u64, of: u64| if of == 0 { 0.0 } else { n as f64 / of as f64 };
    let servers = || figures.servers.iter().filter(|s| s.run == run);
    let attempts = servers().map(|s| s.attempts).sum();
    let peak = servers().filter(|s| s.second > 0).map(|s| s.dials).max().unwrap_or(0);
    Summary {
        run,
        class: class.unwrap_or("all").to_owned(),
        offered: tally.offered,
        repeats: tally.repeats,
        attempts_per_offered: class.is_none().then_some(share(attempts, tally.offered)),
        peak_dials_per_s: class.is_none().then_some(peak),
        answered: share(tally.answered, tally.offered),
        refused: share(tally.refused, tally.offered),
        advised: share(tally.advised, tally.refused),
        failed: share(tally.failed, tally.offered),
        slowest_refusal_ms: tally.slowest_refusal_ms,
        doubled: tally.doubled,
        lost: tally.lost,
        cut: tally.cut,
        firsts: tally.firsts(),
        attempts_per_first: class.is_none().then_some(share(attempts, tally.firsts())),
        stood: share(tally.stood, tally.firsts()),
        worth_in_time: worth.share(),
        instances: class.is_none().then(|| spread(figures, run)),
        pressed: if class.is_none() { pressed(figures, run) } else { Vec::new() },
    }
}

fn spread(figures: &Figures, run: Run) -> Spread {
    let shares: Vec<f64> =
        figures.instances.iter().filter(|i| i.run == run).map(|i| i.worth.share()).collect();
    if shares.is_empty() {
        return Spread::default();
    }
    let worst = shares.iter().copied().fold(f64::INFINITY, f64::min);
    let best = shares.iter().copied().fold(0.0, f64::max);
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    Spread { worst, mean, best, worst_to_mean: if mean > 0.0 { worst / mean } else { 0.0 } }
}

fn pressed(figures: &Figures, run: Run) -> Vec<Pressed> {
    let mut firsts: BTreeMap<usize, u64> = BTreeMap::new();
    for c in figures.callers.iter().filter(|c| c.run == run) {
        *firsts.entry(c.second).or_default() += c.tally.firsts();
    }
    let first_run = runs(figures).first().copied().unwrap_or(run);
    let mut servers: Vec<&str> = Vec::new();
    for s in &figures.servers {
        if !servers.contains(&s.server.as_str()) {
            servers.push(&s.server);
        }
    }
    let seconds = |server: &str, run: Run| -> HashSet<usize> {
        let pressed = figures.servers.iter().filter(|s| s.run == run && s.server == server && s.pressed);
        pressed.map(|s| s.second).collect()
    };
    let per_first = |server: &str, seconds: &HashSet<usize>| {
        let there = figures.servers.iter().filter(|s| s.run == run && s.server == server);
        let attempts: u64 = there.filter(|s| seconds.contains(&s.second)).map(|s| s.attempts).sum();
        let firsts: u64 = seconds.iter().filter_map(|second| firsts.get(second)).sum();
        if firsts == 0 { 0.0 } else { attempts as f64 / firsts as f64 }
    };
    let of = |server: &str| {
        let (own, then) = (seconds(server, run), seconds(server, first_run));
        Pressed {
            server: server.to_owned(),
            seconds: own.len(),
            attempts_per_first: per_first(server, &own),
            attempts_per_first_then: per_first(server, &then),
        }
    };
    servers.into_iter().map(of).collect()
}

/// The summary as plain tables: each try by itself, first set-ups with their repeats, servers under pressure.
#[must_use]
pub fn table(summary: &[Summary]) -> String {
    let mut text = format!(
        "{:<4}{:<14}{:>8}{:>9}{:>11}{:>9}{:>9}{:>9}{:>9}{:>9}{:>12}{:>8}{:>6}{:>6}\n",
        "run",
        "class",
        "offered",
        "repeats",
        "att/offer",
        "dials/s",
        "answered",
        "refused",
        "advised",
        "failed",
        "slowest ms",
        "doubled",
        "lost",
        "cut"
    );
    for s in summary {
        let attempts = s.attempts_per_offered.map_or_else(String::new, |n| format!("{n:.3}"));
        let dials = s.peak_dials_per_s.map_or_else(String::new, |n| n.to_string());
        text += &format!(
            "{:<4}{:<14}{:>8}{:>9}{attempts:>11}{dials:>9}{:>9.3}{:>9.3}{:>9.3}{:>9.3}{:>12}{:>8}{:>6}{:>6}\n",
            s.run.name(),
            s.class,
            s.offered,
            s.repeats,
            s.answered,
            s.refused,
            s.advised,
            s.failed,
            s.slowest_refusal_ms,
            s.doubled,
            s.lost,
            s.cut
        );
    }
    text + "\n" + &folded(summary) + "\n" + &under_pressure(summary)
}

/// First set-ups with their repeats folded into them.
fn folded(summary: &[Summary]) -> String {
    let mut text = format!(
        "{:<4}{:<14}{:>8}{:>11}{:>9}{:>9}{:>9}{:>9}{:>9}{:>12}\n",
        "run", "class", "firsts", "att/first", "stood", "worth", "worst", "mean", "best", "worst/mean"
    );
    for s in summary {
        let attempts = s.attempts_per_first.map_or_else(String::new, |n| format!("{n:.3}"));
        let spread = s.instances.map_or_else(String::new, |i| {
            format!("{:>9.3}{:>9.3}{:>9.3}{:>12.3}", i.worst, i.mean, i.best, i.worst_to_mean)
        });
        text += &format!(
            "{:<4}{:<14}{:>8}{attempts:>11}{:>9.3}{:>9.3}{spread}\n",
            s.run.name(),
            s.class,
            s.firsts,
            s.stood,
            s.worth_in_time
        );
    }
    text
}

/// Each server in its pressed seconds.
fn under_pressure(summary: &[Summary]) -> String {
    let first = summary.first().map_or("", |s| s.run.name());
    let mut text = format!(
        "{:<4}{:<14}{:>10}{:>11}{:>24}\n",
        "run",
        "server",
        "pressed s",
        "att/first",
        format!("att/first pressed {first}")
    );
    for (run, p) in summary.iter().flat_map(|s| s.pressed.iter().map(|p| (s.run, p))) {
        text += &format!(
            "{:<4}{:<14}{:>10}{:>11.3}{:>24.3}\n",
            run.name(),
            p.server,
            p.seconds,
            p.attempts_per_first,
            p.attempts_per_first_then
        );
    }
    text
}

#[cfg(test)]
mod tests;
