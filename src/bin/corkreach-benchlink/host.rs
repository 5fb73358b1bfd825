//! Batches to events, actions to replies.

use crate::wire::{Reader, Writer};
use corkreach::settings::{self, Column};
use corkreach::*;
use std::collections::BTreeMap;

/// One instance: its controller and what is needed to read its events.
struct Instance {
    controller: Controller,
    columns: Vec<Column>,
}

/// All instances of this process, and the lists they are told by number.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u32, Vec<ServerEntry>>,
    writer: Writer,
    actions: Vec<Action>,
}

impl Host {
    /// Handles the records of one batch and writes the reply's frame.
    pub fn batch(&mut self, now: f64, count: u32, body: &[u8], reply: &mut Vec<u8>) -> Result<(), String> {
        if !now.is_finite() {
            return Err("the batch's clock is not a number".into());
        }
        let mut fields = Reader::new(body);
        let (mut current, mut replying) = (None, None);
        for _ in 0..count {
            let code = fields.u16()?;
            match code {
                1090 => current = Some(fields.u16()?),
                1040 => self.register(&mut fields)?,
                _ => {
                    let i = current.ok_or_else(|| format!("record {code} before any instance is named"))?;
                    self.record(now, i, code, &mut fields)?;
                    self.write_actions(i, &mut replying);
                }
            }
        }
        if !fields.is_empty() {
            return Err(format!("bytes left over after {count} records"));
        }
        self.writer.finish(reply);
        Ok(())
    }

    fn register(&mut self, fields: &mut Reader) -> Result<(), String> {
        let (number, n) = (fields.u32()?, fields.u32()?);
        let mut entries = Vec::new();
        for _ in 0..n {
            let id = ServerId(fields.server()?);
            let (_zone, _kind, place) = (fields.u16()?, fields.u16()?, fields.u16()?);
            let state = match fields.u8()? {
                0 => Listed::Ready,
                1 => Listed::Draining,
                2 => Listed::Gone,
                other => return Err(format!("list entry in unknown state {other}")),
            };
            let (_share, started) = (fields.f32()?, fields.f64()?);
            let started_at = Some(started).filter(|s| s.is_finite() && *s != 0.0);
            entries.push(ServerEntry { id, place: place.into(), state, started_at });
        }
        self.lists.insert(number, entries);
        Ok(())
    }

    fn record(&mut self, now: f64, i: u16, code: u16, fields: &mut Reader) -> Result<(), String> {
        if code == 1080 {
            let seed = fields.u64()?;
            let n = fields.u32()? as usize;
            let (settings, columns) = settings::parse(fields.bytes(n)?)?;
            self.instances.insert(i, Instance { controller: Controller::new(settings, seed, now), columns });
            return Ok(());
        }
        let columns = self.instances.get(&i).map_or(&[][..], |instance| &instance.columns);
        let event = match code {
            1060 => {
                self.instances.remove(&i);
                return Ok(());
            }
            1110 => {
                let (number, kind, _version) = (fields.u32()?, fields.u8()?, fields.u64()?);
                match kind {
                    0..=2 => {
                        let entries = self.lists.get(&number).cloned();
                        let entries = entries.ok_or_else(|| format!("list {number} was never registered"))?;
                        Some(Event::Servers { complete: kind != 0, entries })
                    }
                    3 => None,
                    other => return Err(format!("membership of unknown kind {other}")),
                }
            }
            1050 => Some(Event::Call(order(fields)?)),
            1100 => {
                let (_sender, n) = (fields.u16()?, fields.u16()?);
                told(fields.bytes(n.into())?, columns)
            }
            1070 => Some(finished(fields, columns)?),
            1000 => Some(Event::Timer(fields.u64()?)),
            1010 => Some(Event::CallerLeft(CallId(fields.u64()?))),
            1020 => {
                let (call, _attempt) = (CallId(fields.u64()?), fields.u8()?);
                let (server, after_ms) = (ServerId(fields.server()?), fields.f64()?);
                Some(Event::Standing { call, server, after_ms })
            }
            1030 => {
                let (elapsed, server, result) = (fields.f64()?, ServerId(fields.server()?), fields.u16()?);
                let report = load_report(fields, columns)?;
                // Free lines are told unasked, with a time of 0: no answer to a probe.
                Some(if result == 200 && elapsed == 0.0 {
                    Event::Lines { server, report }
                } else {
                    let outcome = match result {
                        200 => ProbeOutcome::Answered,
                        429 => ProbeOutcome::TurnedAway,
                        _ => ProbeOutcome::Failed,
                    };
                    Event::Probed { server, outcome, report }
                })
            }
            other => return Err(format!("unknown record {other}")),
        };
        if let (Some(event), Some(instance)) = (event, self.instances.get_mut(&i)) {
            instance.controller.handle(now, event, &mut self.actions);
        }
        Ok(())
    }

    fn write_actions(&mut self, i: u16, replying: &mut Option<u16>) {
        if !self.actions.is_empty() && *replying != Some(i) {
            self.writer.record(1120).put(&i.to_be_bytes());
            *replying = Some(i);
        }
        let columns = self.instances.get(&i).map_or(&[][..], |instance| &instance.columns);
        let w = &mut self.writer;
        for action in self.actions.drain(..) {
            match action {
                Action::Send { call, server, timeout_ms } => {
                    let record = w.record(1000).put(&call.0.to_be_bytes());
                    record.server(server.0).put(&timeout_ms.to_be_bytes());
                }
                Action::Cancel { call, attempt } => {
                    w.record(1030).put(&call.0.to_be_bytes()).put(&[attempt as u8]);
                }
                Action::Refuse { call, stay_away_ms } => {
                    w.record(1010).put(&call.0.to_be_bytes()).put(&stay_away_ms.to_be_bytes());
                }
                Action::Fail(call) => {
                    w.record(1020).put(&call.0.to_be_bytes());
                }
                Action::Probe(server) => {
                    w.record(1050).server(server.0);
                }
                Action::TellAll { server, report } => {
                    let values = figures(columns, &report).map(|v| v.map_or(-1.0, |v| v as f32));
                    let text = values.flat_map(f32::to_be_bytes);
                    let bytes: Vec<u8> = server.0.to_be_bytes()[2..].iter().copied().chain(text).collect();
                    w.record(1070).put(&u16::MAX.to_be_bytes()).counted(&bytes);
                }
                Action::Timer { at, token } => {
                    w.record(1040).put(&at.to_be_bytes()).put(&token.to_be_bytes());
                }
                Action::Log(text) => {
                    w.record(1080).counted(text.as_bytes());
                }
            }
        }
    }
}

fn order(fields: &mut Reader) -> Result<Call, String> {
    let (id, class, customer) = (CallId(fields.u64()?), fields.u8()?.into(), fields.u32()? as usize);
    let (number, expires_in_ms, _effort) = (fields.u64()?, fields.f64()?, fields.f64()?);
    let (place, _width, _hop) = (fields.f32()?, fields.f32()?, fields.f32()?);
    let flags = fields.u8()?;
    let first_choice = (place >= 0.0 && place <= f32::from(u16::MAX)).then_some(place as u32);
    let number = (number != 0).then_some(number);
    Ok(Call { id, class, customer, number, expires_in_ms, first_choice, redial: flags & 2 != 0 })
}

fn finished(fields: &mut Reader, columns: &[Column]) -> Result<Event, String> {
    let (call, _attempt, server) = (CallId(fields.u64()?), fields.u8()?, ServerId(fields.server()?));
    let (closed, reason, result, _elapsed) = (fields.u8()? != 0, fields.u32()?, fields.u16()?, fields.f64()?);
    let report = load_report(fields, columns)?;
    let outcome = match result {
        200 => Outcome::Completed,
        502 => Outcome::Fault,
        429 if reason & 15 == 1 => Outcome::NoLine,
        429 => Outcome::ProcessorFull { wait_ms: (reason >= 16).then_some(f64::from(reason / 16)) },
        408 => Outcome::TimedOut,
        521 => Outcome::NotConnected,
        520 => Outcome::Reset,
        444 => Outcome::Cancelled,
        409 => Outcome::NotSent,
        other => return Err(format!("attempt ended with unknown code {other}")),
    };
    Ok(Event::Ended { call, server, outcome, closed, report })
}

fn load_report(fields: &mut Reader, columns: &[Column]) -> Result<LoadReport, String> {
    let mut report = LoadReport::default();
    for i in 0..fields.u8()?.into() {
        let value = f64::from(fields.f32()?);
        columns.get(i).copied().unwrap_or(Column::Other).fill(&mut report, value);
    }
    Ok(report)
}

/// One figure of a report; below zero or not a number, it is absent.
fn reported(fields: &mut Reader) -> Result<Option<f64>, String> {
    Ok(Some(f64::from(fields.f32()?)).filter(|v| v.is_finite() && *v >= 0.0))
}

/// The figure of a server's processor that stands in this column.
fn figure<'a>(report: &'a mut LoadReport, column: &Column) -> Option<&'a mut Option<f64>> {
    match column {
        Column::Queue => Some(&mut report.queue),
        Column::Utilisation => Some(&mut report.utilisation),
        Column::Wait => Some(&mut report.wait_ms),
        Column::HoldBack => Some(&mut report.hold_back),
        Column::CanTake => Some(&mut report.can_take),
        Column::Free | Column::Size | Column::Other => None,
    }
}

/// The processor's figures in the order of the columns: the text of a message, after the server.
fn figures(columns: &[Column], report: &LoadReport) -> impl Iterator<Item = Option<f64>> {
    let mut report = *report;
    columns.iter().filter_map(move |column| figure(&mut report, column).copied())
}

/// A sibling's message; one that does not read as such is passed over.
fn told(text: &[u8], columns: &[Column]) -> Option<Event> {
    let mut fields = Reader::new(text);
    let (server, mut report) = (ServerId(fields.server().ok()?), LoadReport::default());
    for column in columns {
        if let Some(value) = figure(&mut report, column) {
            *value = reported(&mut fields).ok()?;
        }
    }
    fields.is_empty().then_some(Event::Told { server, report })
}
