//! Jobs' results, for figures and log.

use crate::gather::{Key, Refused, Report, Why};

/// Results that are shown, one for each class and site; of more, those told longest ago are not.
const SHOWN_MOST: usize = 64;

/// What operators are shown of jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobFigures {
    /// Known here: those that run, and those that are cut and whose set-ups are refused.
    pub running: u64,
    pub cut: u64,
    /// Set-ups refused here as their job was cut.
    pub refused: Refused,
    /// At the grantor: the results of each class and site since it grants.
    pub results: Vec<ResultFigures>,
}

/// Results of one class and site.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResultFigures {
    pub class: String,
    /// Empty: all sites.
    pub site: String,
    /// Jobs that ended, and those of them that were cut.
    pub ended: u64,
    pub cut: u64,
    /// Of the last: share complete, worth, ms waited, and of these beyond the deadline planned.
    pub complete: f64,
    pub worth: f64,
    pub waited_ms: f64,
    pub lateness_ms: f64,
}

/// The results told here, of each class and site.
#[derive(Default)]
pub(super) struct Results(Vec<ResultFigures>);

impl Results {
    pub(super) fn shown(&self) -> &[ResultFigures] {
        &self.0
    }

    /// Takes one, of this booking; its line for the log.
    pub(super) fn told(&mut self, booking: &str, report: &Report) -> String {
        let Report { complete, worth, net, waited_ms, lateness_ms, open, explored, .. } = report;
        let (class, site) = match &report.key {
            Key::Job { class, site } => (class.clone(), site.clone().unwrap_or_default()),
            Key::Round { kind, .. } => (kind.clone(), String::new()),
        };
        let why = match report.why {
            Why::Whole => "whole",
            Why::GivenUp => "given_up",
            Why::Deadline => "deadline",
            Why::Cap => "cap",
        };
        let line = format!(
            "job result booking={booking} class={class} site={} why={why} complete={complete:.4} worth={worth:.4} \
             net={net:.4} waited_ms={waited_ms:.0} lateness_ms={lateness_ms:.0} open={open} explored={explored}",
            if site.is_empty() { "-" } else { &site },
        );
        let mut figures = match self.0.iter().position(|r| r.class == class && r.site == site) {
            Some(at) => self.0.remove(at),
            None => ResultFigures { class, site, ..ResultFigures::default() },
        };
        figures.ended += 1;
        figures.cut += u64::from(report.why != Why::Whole);
        (figures.complete, figures.worth) = (*complete, *worth);
        (figures.waited_ms, figures.lateness_ms) = (*waited_ms, *lateness_ms);
        self.0.push(figures);
        if self.0.len() > SHOWN_MOST {
            self.0.remove(0);
        }
        line
    }
}
