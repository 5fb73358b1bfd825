//! The lab's results: the figures by second as CSV tables (`servers.csv`, `callers.csv`), a summary of each run
//! as JSON (`summary.json`), and a chart of each server's attempts and dials over time, runs side by side
//! (`chart.svg`).

use crate::lab::{Figures, Run};
use plotters::prelude::*;
use serde::Serialize;
use std::path::Path;

/// One run in brief.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Summary {
    /// `off` or `on`.
    pub run: Run,
    /// Set-ups offered by all callers.
    pub offered: u64,
    /// Set-ups that reached any server, for each offered.
    pub attempts_per_offered: f64,
    /// The most set-ups that reached one server in one second, for each set-up offered in that second.
    pub worst_server_second_per_offered: f64,
    /// The most dials by the whole fleet at one server in one second, the first second (the fleet's own
    /// start) left out.
    pub peak_dials_per_s: u64,
    /// Answered, refused, failed: shares of offered.
    pub answered: f64,
    /// Refused by the border controllers.
    pub refused: f64,
    /// Failed at or on the way to servers.
    pub failed: f64,
    /// Set-ups with two final answers or an answer out of turn (must be 0).
    pub doubled: u64,
    /// Set-ups at live instances left with no final answer (must be 0).
    pub lost: u64,
    /// Set-ups lost with an instance that was crashed on purpose.
    pub lost_at_crashes: u64,
}

/// The crash losses of one run's second.
fn figures_lost(run: Run, second: usize, figures: &Figures) -> u64 {
    figures.callers.iter().find(|c| c.run == run && c.second == second).map_or(0, |c| c.lost_at_crashes)
}

/// Sums up each run of the figures.
#[must_use]
pub fn summarize(figures: &Figures) -> Vec<Summary> {
    let mut runs: Vec<Run> = figures.callers.iter().map(|c| c.run).collect();
    runs.dedup();
    runs.into_iter()
        .map(|run| {
            let callers: Vec<_> = figures.callers.iter().filter(|c| c.run == run).collect();
            let servers: Vec<_> = figures.servers.iter().filter(|s| s.run == run).collect();
            let sum =
                |f: fn(&crate::lab::caller::Tally) -> u64| callers.iter().map(|c| f(&c.tally)).sum::<u64>();
            let offered = sum(|t| t.offered);
            let share = |n: u64| if offered == 0 { 0.0 } else { n as f64 / offered as f64 };
            let offered_in = |second: usize| callers.get(second).map_or(0, |c| c.tally.offered);
            let worst = servers
                .iter()
                .filter(|s| offered_in(s.second) > 0)
                .map(|s| s.attempts as f64 / offered_in(s.second) as f64)
                .fold(0.0, f64::max);
            Summary {
                run,
                offered,
                attempts_per_offered: share(servers.iter().map(|s| s.attempts).sum()),
                worst_server_second_per_offered: worst,
                peak_dials_per_s: servers.iter().filter(|s| s.second > 0).map(|s| s.dials).max().unwrap_or(0),
                answered: share(sum(|t| t.answered)),
                refused: share(sum(|t| t.refused)),
                failed: share(sum(|t| t.failed)),
                doubled: sum(|t| t.doubled),
                lost: sum(|t| t.lost),
                lost_at_crashes: callers.iter().map(|c| c.lost_at_crashes).sum(),
            }
        })
        .collect()
}

/// The summary as a plain table, one run a line.
#[must_use]
pub fn table(summary: &[Summary]) -> String {
    let mut text = String::from(
        "run  offered  attempts/offered  worst-second  peak-dials/s  answered  refused  failed  doubled  lost  lost-at-crash\n",
    );
    for s in summary {
        let run = if s.run == Run::On { "on " } else { "off" };
        text += &format!(
            "{run}  {:7}  {:16.3}  {:12.3}  {:12}  {:8.3}  {:7.3}  {:6.3}  {:7}  {:4}  {:13}\n",
            s.offered,
            s.attempts_per_offered,
            s.worst_server_second_per_offered,
            s.peak_dials_per_s,
            s.answered,
            s.refused,
            s.failed,
            s.doubled,
            s.lost,
            s.lost_at_crashes
        );
    }
    text
}

/// Writes the tables, the summary and the chart into `out`; returns the summary.
///
/// # Errors
/// A file could not be written or the chart drawn.
pub fn write(figures: &Figures, out: &Path) -> Result<Vec<Summary>, String> {
    let fail = |what: &str, e: &dyn std::fmt::Display| format!("{}: {e}", out.join(what).display());
    std::fs::create_dir_all(out).map_err(|e| fail("", &e))?;
    let mut servers = csv::Writer::from_path(out.join("servers.csv")).map_err(|e| fail("servers.csv", &e))?;
    for row in &figures.servers {
        servers.serialize(row).map_err(|e| fail("servers.csv", &e))?;
    }
    servers.flush().map_err(|e| fail("servers.csv", &e))?;
    let mut callers = csv::WriterBuilder::new()
        .has_headers(false)
        .from_path(out.join("callers.csv"))
        .map_err(|e| fail("callers.csv", &e))?;
    let head =
        ["run", "second", "offered", "answered", "refused", "failed", "doubled", "lost", "lost_at_crashes"];
    callers.write_record(head).map_err(|e| fail("callers.csv", &e))?;
    for row in &figures.callers {
        let t = row.tally;
        let row = (row.run, row.second, t.offered, t.answered, t.refused, t.failed, t.doubled, t.lost);
        callers.serialize((row, figures_lost(row.0, row.1, figures))).map_err(|e| fail("callers.csv", &e))?;
    }
    callers.flush().map_err(|e| fail("callers.csv", &e))?;
    let summary = summarize(figures);
    let text = serde_json::to_string_pretty(&summary).map_err(|e| fail("summary.json", &e))?;
    std::fs::write(out.join("summary.json"), text + "\n").map_err(|e| fail("summary.json", &e))?;
    chart(figures, &out.join("chart.svg")).map_err(|e| fail("chart.svg", &e))?;
    Ok(summary)
}

/// Attempts a second at each server (solid) and dials a second (thin), one panel for each run, with the set-ups
/// offered a second in black.
fn chart(figures: &Figures, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let mut runs: Vec<Run> = figures.callers.iter().map(|c| c.run).collect();
    runs.dedup();
    let root = SVGBackend::new(path, (900, 360 * runs.len().max(1) as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    let panels = root.split_evenly((runs.len().max(1), 1));
    let mut ids: Vec<&str> = figures.servers.iter().map(|s| s.server.as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    let seconds = figures.callers.iter().map(|c| c.second + 1).max().unwrap_or(1);
    let top = figures
        .servers
        .iter()
        .map(|s| s.attempts.max(s.dials))
        .chain(figures.callers.iter().map(|c| c.tally.offered))
        .max()
        .unwrap_or(1)
        .max(1);
    for (panel, run) in panels.iter().zip(&runs) {
        let title = format!("limits {}: per second", if *run == Run::On { "on" } else { "off" });
        let mut chart = ChartBuilder::on(panel)
            .caption(title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(45)
            .build_cartesian_2d(0..seconds, 0..top + top / 10)?;
        chart.configure_mesh().x_desc("second").y_desc("count").draw()?;
        let offered = figures.callers.iter().filter(|c| c.run == *run).map(|c| (c.second, c.tally.offered));
        chart
            .draw_series(LineSeries::new(offered, BLACK.stroke_width(2)))?
            .label("offered")
            .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], BLACK.stroke_width(2)));
        for (k, id) in ids.iter().enumerate() {
            let colour = Palette99::pick(k).to_rgba();
            let rows = || figures.servers.iter().filter(move |s| s.run == *run && s.server == *id);
            chart
                .draw_series(LineSeries::new(rows().map(|s| (s.second, s.attempts)), colour.stroke_width(2)))?
                .label(format!("{id} attempts"))
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
            chart
                .draw_series(LineSeries::new(rows().map(|s| (s.second, s.dials)), colour.stroke_width(1)))?
                .label(format!("{id} dials"))
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(1)));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    }
    root.present()?;
    Ok(())
}
