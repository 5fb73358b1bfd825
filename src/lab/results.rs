//! The lab's results: the figures as CSV tables (`servers.csv` and `callers.csv` by second, `instances.csv`), a
//! summary of each run as JSON (`summary.json`), and a chart over time, runs side by side (`chart.svg`).

use crate::lab::Figures;
use crate::lab::chart::chart;
pub use crate::lab::summary::{Pressed, Spread, Summary, summarize, table};
use crate::lab::tally::{Tally, Worth};
use serde::Serialize;
use std::path::Path;

/// The figures of some seconds only.
#[must_use]
pub fn within(figures: &Figures, seconds: std::ops::Range<usize>) -> Figures {
    Figures {
        servers: figures.servers.iter().filter(|s| seconds.contains(&s.second)).cloned().collect(),
        callers: figures.callers.iter().filter(|c| seconds.contains(&c.second)).cloned().collect(),
        instances: figures.instances.clone(),
    }
}

/// Writes the tables, the summary and the chart into `out`; returns the summary.
///
/// # Errors
/// A file could not be written or the chart drawn.
pub fn write(figures: &Figures, out: &Path) -> Result<Vec<Summary>, String> {
    let fail = |what: &str, e: &dyn std::fmt::Display| format!("{}: {e}", out.join(what).display());
    std::fs::create_dir_all(out).map_err(|e| fail("", &e))?;
    let servers = figures.servers.iter().map(|s| {
        let counted = (s.attempts, s.answered, s.sent_back, s.wait_ms, s.pressed, s.falls, s.dials);
        (s.run, s.second, &s.server, &s.site, counted)
    });
    const SERVER: [&str; 7] = ["attempts", "answered", "sent_back", "wait_ms", "pressed", "falls", "dials"];
    let head = [&["run", "second", "server", "site"], &SERVER[..]].concat();
    rows(&out.join("servers.csv"), &head, servers)?;
    let of = |t: &Tally, worth: Worth| {
        let counted = (t.offered, t.repeats, t.answered, t.refused, t.advised, t.failed);
        let folded = (t.firsts(), t.stood, t.in_time, t.late, worth);
        (counted, (t.doubled, t.lost, t.cut, t.unended, t.slowest_refusal_ms), folded)
    };
    const TALLY: [&str; 17] = [
        "offered",
        "repeats",
        "answered",
        "refused",
        "advised",
        "failed",
        "doubled",
        "lost",
        "cut",
        "unended",
        "slowest_refusal_ms",
        "firsts",
        "stood",
        "in_time",
        "late",
        "worth_offered",
        "worth_in_time",
    ];
    let callers = figures.callers.iter().map(|c| {
        let mut worth = Worth::default();
        worth.add(&c.tally, c.worth);
        (c.run, c.second, &c.class, of(&c.tally, worth))
    });
    rows(&out.join("callers.csv"), &[&["run", "second", "class"], &TALLY[..]].concat(), callers)?;
    let instances = figures.instances.iter().map(|i| (i.run, i.instance, of(&i.tally, i.worth)));
    rows(&out.join("instances.csv"), &[&["run", "instance"], &TALLY[..]].concat(), instances)?;
    let summary = summarize(figures);
    let text = serde_json::to_string_pretty(&summary).map_err(|e| fail("summary.json", &e))?;
    std::fs::write(out.join("summary.json"), text + "\n").map_err(|e| fail("summary.json", &e))?;
    chart(figures, &summary, &out.join("chart.svg")).map_err(|e| fail("chart.svg", &e))?;
    Ok(summary)
}

/// Writes a table.
fn rows<R: Serialize>(path: &Path, head: &[&str], rows: impl Iterator<Item = R>) -> Result<(), String> {
    let fail = |e: csv::Error| format!("{}: {e}", path.display());
    let mut table = csv::WriterBuilder::new().has_headers(false).from_path(path).map_err(fail)?;
    table.write_record(head).map_err(fail)?;
    for row in rows {
        table.serialize(row).map_err(fail)?;
    }
    table.flush().map_err(|e| format!("{}: {e}", path.display()))
}
