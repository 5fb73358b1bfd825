//! Sums up a matrix of plays of the lab: scenarios by sizes of the fleet by seeds, without and with the control plane.
//!
//!     cargo run --release --example lab_matrix -- FOLDER
//!     cargo run --release --example lab_matrix -- FOLDER --clocked [SCENARIO...]
//!
//! The first reads what `corkreach lab` left in `FOLDER/SCENARIO-INSTANCES-SEED` and prints the tables of
//! `docs/results/pressed.md`. The second plays the scenarios (those of `deploy/lab/matrix` where none is named) on the
//! virtual clock first, at 3, 10 and 20 instances and with five seeds, and leaves its results there.

use corkreach::lab::{Scenario, clocked, results};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

const SIZES: [usize; 3] = [3, 10, 20];
const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;
/// The worth in time may be lower by so much, the attempts at pressed servers are to be fewer by this part, and the
/// worst-served instance is to have at least this part of the mean.
const WORTH_SLACK: f64 = 0.01;
const FEWER: f64 = 0.25;
const WORST: f64 = 0.8;

/// One run of one play.
#[derive(Clone, Copy, Default)]
struct Cell {
    attempts: f64,
    worth: f64,
    worst_to_mean: f64,
    /// Over the servers: seconds pressed, and attempts for each first set-up in these, and in those of the first run.
    seconds: f64,
    pressed: f64,
    then: f64,
    /// Set-ups that the servers sent back, for each first set-up.
    sent_back: f64,
}

fn main() -> Result<(), String> {
    let mut arguments = std::env::args().skip(1);
    let folder = arguments.next().ok_or("a folder is wanted")?;
    let folder = Path::new(&folder);
    let rest: Vec<String> = arguments.collect();
    if rest.first().is_some_and(|word| word == "--clocked") {
        let named = || rest[1..].iter().map(std::path::PathBuf::from).collect();
        let shipped =
            || ["storm", "crash", "pressed"].map(|s| format!("deploy/lab/matrix/{s}.yaml").into()).into();
        let scenarios: Vec<std::path::PathBuf> = if rest.len() > 1 { named() } else { shipped() };
        for path in scenarios {
            play(&path, folder)?;
        }
    }
    print!("{}", tables(&read(folder)?));
    Ok(())
}

fn play(path: &Path, folder: &Path) -> Result<(), String> {
    let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    for instances in SIZES {
        for seed in SEEDS {
            let mut scenario = Scenario::read(path)?;
            scenario.seed = seed;
            scenario.resize(instances);
            let figures = clocked::play(&scenario)?;
            results::write(&figures, &folder.join(format!("{name}-{instances}-{seed}")))?;
        }
    }
    Ok(())
}

type Cells = BTreeMap<(String, usize, u64), [Cell; 2]>;
/// The seeds of one scenario and size, each with its runs.
type Seeds = Vec<(u64, [Cell; 2])>;

fn read(folder: &Path) -> Result<Cells, String> {
    let mut cells = Cells::new();
    let fail = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
    for entry in std::fs::read_dir(folder).map_err(|e| fail(&e))? {
        let path = entry.map_err(|e| fail(&e))?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        let mut words = name.rsplitn(3, '-');
        let (Some(Ok(seed)), Some(Ok(n)), Some(scenario)) =
            (words.next().map(str::parse), words.next().map(str::parse), words.next())
        else {
            continue;
        };
        // A play that is not over has none.
        let Ok(text) = std::fs::read_to_string(path.join("summary.json")) else { continue };
        let summary: Value = serde_json::from_str(&text).map_err(|e| fail(&e))?;
        let back = sent_back(&path.join("servers.csv"))?;
        let of = |run: &str| {
            let all = summary.as_array().into_iter().flatten();
            let found = all.into_iter().find(|s| s["run"] == run && s["class"] == "all");
            found.map(|s| cell(s, back.get(run).copied().unwrap_or_default()))
        };
        let (Some(off), Some(on)) = (of("off"), of("on")) else {
            return Err(format!("{name}: a run is missing"));
        };
        cells.insert((scenario.to_owned(), n, seed), [off, on]);
    }
    Ok(cells)
}

/// Set-ups sent back, by run.
fn sent_back(path: &Path) -> Result<BTreeMap<String, f64>, String> {
    let mut table = csv::Reader::from_path(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let mut back = BTreeMap::new();
    for row in table.deserialize::<BTreeMap<String, String>>() {
        let row = row.map_err(|e| format!("{}: {e}", path.display()))?;
        let count: f64 = row.get("sent_back").and_then(|n| n.parse().ok()).unwrap_or_default();
        *back.entry(row.get("run").cloned().unwrap_or_default()).or_default() += count;
    }
    Ok(back)
}

fn cell(s: &Value, sent_back: f64) -> Cell {
    let figure = |v: &Value| v.as_f64().unwrap_or_default();
    let servers = || s["pressed"].as_array().into_iter().flatten();
    let seconds: f64 = servers().map(|p| figure(&p["seconds"])).sum();
    // A server that was never pressed has no figure of its own.
    let mean = |key: &str| {
        let (sum, n) = servers()
            .map(|p| figure(&p[key]))
            .filter(|&v| v > 0.0)
            .fold((0.0, 0.0), |(s, n), v| (s + v, n + 1.0));
        if n > 0.0 { sum / n } else { 0.0 }
    };
    Cell {
        attempts: figure(&s["attempts_per_first"]),
        worth: figure(&s["worth_in_time"]),
        worst_to_mean: figure(&s["instances"]["worst_to_mean"]),
        seconds,
        pressed: mean("attempts_per_first"),
        then: mean("attempts_per_first_then"),
        sent_back: sent_back / figure(&s["firsts"]).max(1.0),
    }
}

fn tables(cells: &Cells) -> String {
    let mut text = String::new();
    let mut groups: BTreeMap<(&str, usize), Seeds> = BTreeMap::new();
    for ((scenario, n, seed), runs) in cells {
        groups.entry((scenario, *n)).or_default().push((*seed, *runs));
    }
    text += "| scenario | instances | seed | worth off | on | worst/mean off | on | pressed s off | on | \
             att/first there off | on | on, in off's seconds | sent back off | on |\n";
    text += &format!("|{}\n", " --- |".repeat(14));
    for ((scenario, n), seeds) in &groups {
        for (seed, [off, on]) in seeds {
            text += &row(scenario, *n, &seed.to_string(), off, on);
        }
        let mean = |at: usize| {
            let sum = |f: fn(&Cell) -> f64| {
                seeds.iter().map(|(_, runs)| f(&runs[at])).sum::<f64>() / seeds.len() as f64
            };
            Cell {
                attempts: sum(|c| c.attempts),
                worth: sum(|c| c.worth),
                worst_to_mean: sum(|c| c.worst_to_mean),
                seconds: sum(|c| c.seconds),
                pressed: sum(|c| c.pressed),
                then: sum(|c| c.then),
                sent_back: sum(|c| c.sent_back),
            }
        };
        text += &row(scenario, *n, "mean", &mean(0), &mean(1));
    }
    text += "\n| scenario | instances | worth kept | attempts a quarter fewer, in off's pressed seconds | or pressed in \
             fewer seconds with no more there | worst of 0.8 of the mean |\n";
    text += &format!("|{}\n", " --- |".repeat(6));
    for ((scenario, n), seeds) in &groups {
        let count = |good: fn(&[Cell; 2]) -> bool| {
            format!("{} of {}", seeds.iter().filter(|(_, runs)| good(runs)).count(), seeds.len())
        };
        text += &format!(
            "| {scenario} | {n} | {} | {} | {} | {} |\n",
            count(|[off, on]| on.worth >= off.worth - WORTH_SLACK),
            count(|[off, on]| on.then <= (1.0 - FEWER) * off.then),
            count(|[off, on]| on.seconds <= (1.0 - FEWER) * off.seconds && on.pressed <= off.pressed),
            count(|[_, on]| on.worst_to_mean >= WORST),
        );
    }
    text
}

fn row(scenario: &str, n: usize, seed: &str, off: &Cell, on: &Cell) -> String {
    format!(
        "| {scenario} | {n} | {seed} | {:.3} | {:.3} | {:.2} | {:.2} | {:.0} | {:.0} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} |\n",
        off.worth,
        on.worth,
        off.worst_to_mean,
        on.worst_to_mean,
        off.seconds,
        on.seconds,
        off.pressed,
        on.pressed,
        on.then,
        off.sent_back,
        on.sent_back
    )
}
