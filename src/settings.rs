//! The settings object, from JSON to the module's [`Settings`], and a load report's columns.
//!
//! The simulator's adapter finds it in its first message, the border controller in its configuration.

use crate::interface::{Class, Customer, LoadReport, Reporting, Settings};
use serde::Deserialize;
use std::collections::BTreeSet;

/// A load report's columns, in the order sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Column {
    Free,
    Size,
    Queue,
    Utilisation,
    Wait,
    HoldBack,
    CanTake,
    Other,
}

/// A column by its name on the simulator's wire or on the sockets, which call some of them otherwise.
pub fn column(name: &str) -> Column {
    match name {
        "free" | "x0" => Column::Free,
        "size" | "x1" => Column::Size,
        "queue" => Column::Queue,
        "util" => Column::Utilisation,
        "latency_ms" => Column::Wait,
        "hold_back" | "eps" => Column::HoldBack,
        "can_take" | "qps" => Column::CanTake,
        _ => Column::Other,
    }
}

impl Column {
    /// Puts a figure into its place in a report; one below zero or not a number is absent.
    pub fn fill(self, report: &mut LoadReport, value: f64) {
        let value = Some(value).filter(|v| v.is_finite() && *v >= 0.0);
        match self {
            Column::Free => report.free_lines = value,
            Column::Size => report.lines = value,
            Column::Queue => report.queue = value,
            Column::Utilisation => report.utilisation = value,
            Column::Wait => report.wait_ms = value,
            Column::HoldBack => report.hold_back = value,
            Column::CanTake => report.can_take = value,
            Column::Other => {}
        }
    }
}

#[derive(Deserialize)]
struct Info {
    #[serde(default)]
    siblings: Option<u32>,
    #[serde(default)]
    index: u16,
    services: Vec<Service>,
    #[serde(default)]
    tenants: Vec<Tenant>,
    #[serde(default)]
    over_share_worth: Option<f64>,
    #[serde(default)]
    report: Report,
    ceilings: Ceilings,
    rules: Rules,
    specifics: Specifics,
}

#[derive(Deserialize)]
struct Service {
    #[serde(default)]
    name: String,
    target_ms: f64,
    deadline_ms: f64,
    worth: f64,
    #[serde(default)]
    late_worth: f64,
}

#[derive(Deserialize)]
struct Tenant {
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Default, Deserialize)]
struct Report {
    #[serde(default)]
    how: String,
    #[serde(default)]
    columns: Vec<String>,
}

#[derive(Deserialize)]
struct Ceilings {
    attempts_cap: u32,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    probing: bool,
    #[serde(default)]
    may_tell: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ms: f64,
    #[serde(default = "default_dial_timeout_ms")]
    dial_timeout_ms: f64,
    #[serde(default = "default_open_cap")]
    open_cap: usize,
}

fn default_dial_timeout_ms() -> f64 {
    500.0
}

fn default_open_cap() -> usize {
    20_000
}

#[derive(Deserialize)]
struct Rules {
    cold_from: f64,
    cold_ms: f64,
    fall_multiple: f64,
    fall_ms: f64,
}

#[derive(Deserialize)]
struct Specifics {
    guard_ms: f64,
    #[serde(default)]
    t1_ms: f64,
    #[serde(default)]
    class_width: Vec<u32>,
    #[serde(default)]
    pools_by_class: Vec<Vec<u32>>,
}

/// What the program around the module needs of the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostSettings {
    /// This border controller's place among those of its tier.
    pub index: u16,
    /// In the order of [`Settings::classes`].
    pub classes: Vec<ClassRules>,
    /// A connection not established within this time has failed.
    pub dial_timeout_ms: f64,
    /// Calls in set-up at most; more are turned away unseen.
    pub open_cap: usize,
    /// Callers' connections at most; the configuration's limits tell it.
    pub callers_max: usize,
}

/// What a set-up of a class must keep to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassRules {
    pub name: String,
    pub deadline_ms: f64,
    /// Lines that a call takes.
    pub width: u32,
    /// Places of the call servers that may take it; none named: any.
    places: Vec<u32>,
}

impl ClassRules {
    /// Whether a call server at this place may take calls of the class.
    pub fn takes(&self, place: u32) -> bool {
        self.places.is_empty() || self.places.contains(&place)
    }
}

/// Parses the host's part of the settings.
pub fn parse_host(text: &[u8]) -> Result<HostSettings, String> {
    let info: Info = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    let specifics = &info.specifics;
    let class = |(i, s): (usize, Service)| ClassRules {
        name: s.name,
        deadline_ms: s.deadline_ms,
        width: specifics.class_width.get(i).copied().unwrap_or(1),
        places: specifics.pools_by_class.get(i).cloned().unwrap_or_default(),
    };
    Ok(HostSettings {
        index: info.index,
        classes: info.services.into_iter().enumerate().map(class).collect(),
        dial_timeout_ms: info.ceilings.dial_timeout_ms,
        open_cap: info.ceilings.open_cap,
        callers_max: usize::MAX,
    })
}

/// The number of senders of the tier: as the settings tell it, else the border controllers that the configuration
/// lists as peers, this one included, else this one alone. A told 0 is no number.
fn senders(told: Option<u32>, listed: usize) -> u32 {
    let listed = u32::try_from(listed).unwrap_or(u32::MAX);
    told.filter(|&number| number > 0).unwrap_or(listed).max(1)
}

/// By class, the places named for other classes and not for it. A place that is named for none came later, and is open to
/// all; so are all places to a class for which none is named.
fn barred_places(pools_by_class: &[Vec<u32>]) -> Vec<Vec<u32>> {
    let named: BTreeSet<u32> = pools_by_class.iter().flatten().copied().collect();
    let barred = |own: &Vec<u32>| match own.is_empty() {
        true => Vec::new(),
        false => named.iter().copied().filter(|place| !own.contains(place)).collect(),
    };
    pools_by_class.iter().map(barred).collect()
}

/// Parses the settings for the module where no peers are listed.
pub fn parse(text: &[u8]) -> Result<(Settings, Vec<Column>), String> {
    parse_among(text, 0)
}

/// Parses the settings for the module. `listed` is the number of border controllers that the configuration lists as
/// peers; it stands in for a number of senders that the settings do not tell.
pub fn parse_among(text: &[u8], listed: usize) -> Result<(Settings, Vec<Column>), String> {
    let info: Info = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    let specifics = &info.specifics;
    let columns = info.report.columns.iter().map(|name| column(name)).collect();
    let class = |s: &Service| Class {
        target_ms: s.target_ms,
        deadline_ms: s.deadline_ms,
        worth: s.worth,
        late_worth: s.late_worth,
    };
    let settings = Settings {
        siblings: senders(info.siblings, listed),
        classes: info.services.iter().map(class).collect(),
        barred_places: barred_places(&specifics.pools_by_class),
        customers: info.tenants.iter().map(|t| Customer { quota_per_s: t.quota_per_s }).collect(),
        over_share_worth: info.over_share_worth.unwrap_or(1.0),
        reporting: match info.report.how.as_str() {
            "answers" => Reporting::Answers,
            "probe" => Reporting::Probes,
            _ => Reporting::None,
        },
        may_probe: info.ceilings.probing,
        may_cancel: info.ceilings.cancel,
        may_tell: info.ceilings.may_tell,
        stay_away_max_ms: if info.ceilings.retry_after { info.ceilings.max_retry_after_ms } else { 0.0 },
        max_attempts: info.ceilings.attempts_cap,
        guard_ms: specifics.guard_ms,
        resend_ms: specifics.t1_ms,
        cold_from: info.rules.cold_from,
        cold_ms: info.rules.cold_ms,
        fall_multiple: info.rules.fall_multiple,
        fall_ms: info.rules.fall_ms,
    };
    Ok((settings, columns))
}
