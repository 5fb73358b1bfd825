//! The lab's chart, as SVG.

use crate::lab::summary::{Summary, runs};
use crate::lab::tally::Tally;
use crate::lab::{Figures, Run};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

/// A figure of a tally.
type Count = fn(&Tally) -> u64;

/// What `count` finds in each second, over all classes.
fn callers(figures: &Figures, run: Run, seconds: usize, count: Count) -> Vec<(usize, u64)> {
    let mut by_second: Vec<(usize, u64)> = (0..seconds).map(|second| (second, 0)).collect();
    for c in figures.callers.iter().filter(|c| c.run == run) {
        by_second[c.second].1 += count(&c.tally);
    }
    by_second
}

/// What the summary says of the whole run.
fn caption(run: Run, summary: &[Summary]) -> String {
    let whole = summary.iter().find(|s| s.run == run).and_then(|s| Some((s, s.instances?)));
    whole.map_or_else(
        || run.name().to_owned(),
        |(s, i)| {
            format!(
                "{}: worth in time {:.3}, instances {:.3} to {:.3}, {:.2} attempts for each first set-up",
                run.name(),
                s.worth_in_time,
                i.worst,
                i.best,
                s.attempts_per_first.unwrap_or(0.0)
            )
        },
    )
}

/// A second of a line of the chart.
#[derive(Clone, Copy, Default)]
struct Point {
    attempts: u64,
    dials: u64,
    pressed: bool,
}

/// A line of the chart, by second.
type Line = Vec<Point>;

/// The lines of one run: one for each site where the scenario has sites, else one for each server.
fn lines(figures: &Figures, run: Run, seconds: usize) -> BTreeMap<&str, Line> {
    let mut lines: BTreeMap<&str, Line> = BTreeMap::new();
    for s in figures.servers.iter().filter(|s| s.run == run) {
        let name = if s.site.is_empty() { &s.server } else { &s.site };
        let line = lines.entry(name).or_insert_with(|| vec![Point::default(); seconds]);
        let point = &mut line[s.second];
        point.attempts += s.attempts;
        point.dials += s.dials;
        point.pressed |= s.pressed;
    }
    lines
}

/// Attempts a second at each site or server (thick; a dot where it was pressed) and dials a second (thin), one panel for
/// each run, with all tries offered a second in black, the first ones in grey, and in blue those that stood in time.
pub(super) fn chart(
    figures: &Figures,
    summary: &[Summary],
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let runs = runs(figures);
    let root = SVGBackend::new(path, (900, 360 * runs.len().max(1) as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    let panels = root.split_evenly((runs.len().max(1), 1));
    let seconds = figures.callers.iter().map(|c| c.second + 1).max().unwrap_or(1);
    let drawn: Vec<_> = runs.iter().map(|&run| lines(figures, run, seconds)).collect();
    let counted =
        drawn.iter().flat_map(BTreeMap::values).flatten().map(|point| point.attempts.max(point.dials));
    let offered = |t: &Tally| t.offered;
    let offered_most = runs.iter().flat_map(|&run| callers(figures, run, seconds, offered)).map(|(_, n)| n);
    let top = counted.chain(offered_most).max().unwrap_or(1).max(1);
    for ((panel, run), lines) in panels.iter().zip(&runs).zip(&drawn) {
        let mut chart = ChartBuilder::on(panel)
            .caption(caption(*run, summary), ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(45)
            .build_cartesian_2d(0..seconds, 0..top + top / 10)?;
        chart.configure_mesh().x_desc("second").y_desc("per second").draw()?;
        let of_callers: [(&str, RGBColor, Count); 3] = [
            ("offered", BLACK, offered),
            ("first set-ups", RGBColor(150, 150, 150), Tally::firsts),
            ("stood in time", BLUE, |t| t.in_time),
        ];
        for (what, colour, count) in of_callers {
            chart
                .draw_series(LineSeries::new(callers(figures, *run, seconds, count), colour.stroke_width(2)))?
                .label(what)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        for (k, (name, line)) in lines.iter().enumerate() {
            let colour = Palette99::pick(k).to_rgba();
            let seconds = || line.iter().enumerate();
            let series = [
                ("attempts", 2, seconds().map(|(second, p)| (second, p.attempts)).collect::<Vec<_>>()),
                ("dials", 1, seconds().map(|(second, p)| (second, p.dials)).collect()),
            ];
            let pressed = seconds().filter(|(_, p)| p.pressed);
            chart.draw_series(
                pressed.map(|(second, p)| Circle::new((second, p.attempts), 3, colour.filled())),
            )?;
            for (what, width, points) in series {
                chart
                    .draw_series(LineSeries::new(points, colour.stroke_width(width)))?
                    .label(format!("{name} {what}"))
                    .legend(move |(x, y)| {
                        PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(width))
                    });
            }
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    }
    root.present()?;
    Ok(())
}
