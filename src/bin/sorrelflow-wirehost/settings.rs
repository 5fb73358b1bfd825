//! The settings message, from JSON to the module's [`Settings`].

use serde::Deserialize;
use sorrelflow::{Class, Customer, Reporting, Settings};

/// A load report's columns, in the order sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Column {
    Free,
    Size,
    Queue,
    Utilisation,
    Wait,
    HoldBack,
    Other,
}

#[derive(Deserialize)]
struct Info {
    siblings: u32,
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
}

/// Parses the text of `configure`.
pub fn parse(text: &[u8]) -> Result<(Settings, Vec<Column>), String> {
    let info: Info = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    let columns = info.report.columns.iter().map(|name| match name.as_str() {
        "free" => Column::Free,
        "size" => Column::Size,
        "queue" => Column::Queue,
        "util" => Column::Utilisation,
        "latency_ms" => Column::Wait,
        "hold_back" => Column::HoldBack,
        _ => Column::Other,
    });
    let columns = columns.collect();
    let class = |s: &Service| Class {
        target_ms: s.target_ms,
        deadline_ms: s.deadline_ms,
        worth: s.worth,
        late_worth: s.late_worth,
    };
    let settings = Settings {
        siblings: info.siblings,
        classes: info.services.iter().map(class).collect(),
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
        max_attempts: info.ceilings.attempts_cap,
        guard_ms: info.specifics.guard_ms,
        resend_ms: info.specifics.t1_ms,
        cold_from: info.rules.cold_from,
        cold_ms: info.rules.cold_ms,
        fall_multiple: info.rules.fall_multiple,
        fall_ms: info.rules.fall_ms,
    };
    Ok((settings, columns))
}
