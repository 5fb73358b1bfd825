//! The audit of a fleet, a decision module of its own: by what the instances tell of themselves, who is a straggler,
//! whether it is brought up or shut out, and how many do so at once.
//!
//! Sans-I/O: whoever runs it ([`run`]) asks the instances what [`Audit::next`] says and tells [`Audit::heard`] what
//! came of it. Times are milliseconds on the caller's clock.

pub mod http;
pub mod peers;
pub mod run;

use crate::version::{Status, Version};
use serde::Serialize;
use std::collections::BTreeMap;

/// How an audit is made.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// What is done about stragglers.
    pub remedy: Remedy,
    /// A straggler younger than this is left alone: a roll-out may be under way, ms. It counts from when it was first
    /// seen to differ.
    pub grace_ms: f64,
    /// Share of the fleet that is reloading at once at most, 0 to 1; one instance always may.
    pub share: f64,
    /// Questions asked at once at most.
    pub at_once: usize,
    /// Times that an instance which gives no answer is asked again.
    pub retries: u32,
    /// The first gap before that, ms; it doubles.
    pub backoff_ms: f64,
    /// One that was told to reload or to drain is given this long to show it, ms.
    pub settle_ms: f64,
    /// It is asked so often meanwhile, ms.
    pub look_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            remedy: Remedy::Report,
            grace_ms: 0.0,
            share: 0.25,
            at_once: 8,
            retries: 2,
            backoff_ms: 200.0,
            settle_ms: 10_000.0,
            look_ms: 200.0,
        }
    }
}

/// The version that a fleet is held to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Desired {
    /// The one that more instances are on than on any other.
    Common,
    /// The one of this id, which some instance has to be on.
    Id(String),
    /// The most common one, with these digests of configuration and settings in place of its own.
    Config {
        /// Of the configuration.
        config: String,
        /// Of the settings.
        settings: String,
    },
    /// This one.
    Version(Version),
}

/// What is done about stragglers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remedy {
    /// They are named.
    Report,
    /// Those whose configuration alone is old are told to read it again.
    BringUp,
    /// They are taken out of service, and their calls answered.
    ShutOut,
}

/// What an instance is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ask {
    /// Its status.
    Status,
    /// To read its configuration again, and its status then.
    Reload,
    /// To take nothing new, and its status then.
    ShutOut,
}

/// How an instance stands in the audit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum Standing {
    /// Not heard yet.
    Unknown,
    /// On the desired version.
    Current,
    /// On another, and left alone: for now, or since nothing is to be done about it here.
    Straggler {
        /// The parts in which it differs.
        differs: Vec<&'static str>,
    },
    /// Told to reload, and not on the desired version yet.
    Reloading,
    /// On the desired version since it was told to reload.
    BroughtUp,
    /// Told to reload, it stayed on its old version.
    Stuck {
        /// What it says of it, or what was seen.
        why: String,
    },
    /// Told to take nothing new, with calls still there.
    Draining,
    /// It takes nothing new, and its calls are over.
    ShutOut,
    /// No answer, however often it was asked.
    Unreachable {
        /// What came of the last question.
        why: String,
    },
}

impl Standing {
    /// Its name in the table.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Standing::Unknown => "unknown",
            Standing::Current => "current",
            Standing::Straggler { .. } => "straggler",
            Standing::Reloading => "reloading",
            Standing::BroughtUp => "brought up",
            Standing::Stuck { .. } => "stuck",
            Standing::Draining => "draining",
            Standing::ShutOut => "shut out",
            Standing::Unreachable { .. } => "unreachable",
        }
    }

    /// It is on the desired version, or shut out on purpose.
    #[must_use]
    pub fn good(&self) -> bool {
        matches!(self, Standing::Current | Standing::BroughtUp | Standing::ShutOut)
    }

    /// Why, where there is more to say.
    #[must_use]
    pub fn why(&self) -> String {
        match self {
            Standing::Straggler { differs } => format!("differs in {}", differs.join(", ")),
            Standing::Stuck { why } | Standing::Unreachable { why } => why.clone(),
            _ => String::new(),
        }
    }
}

/// What is known of one instance.
#[derive(Clone, Debug)]
struct Peer {
    standing: Standing,
    status: Option<Status>,
    /// It is asked no sooner than this, ms; none: it is not to be asked any more.
    ask_at: Option<f64>,
    ask: Ask,
    asking: bool,
    /// Questions in a row that got no answer.
    failures: u32,
    /// When it was first seen to differ, and when it was told to reload or to drain.
    differs_since: Option<f64>,
    told_at: f64,
}

/// The audit of one fleet.
#[derive(Debug)]
pub struct Audit {
    rules: Rules,
    wanted: Desired,
    /// What that is, once all were heard.
    desired: Option<Version>,
    peers: BTreeMap<String, Peer>,
    /// The most that were reloading at once.
    most_reloading: usize,
}

impl Audit {
    /// An audit of these instances against this version.
    #[must_use]
    pub fn new(rules: Rules, wanted: Desired, peers: impl IntoIterator<Item = String>) -> Self {
        let peer = Peer {
            standing: Standing::Unknown,
            status: None,
            ask_at: Some(f64::NEG_INFINITY),
            ask: Ask::Status,
            asking: false,
            failures: 0,
            differs_since: None,
            told_at: f64::NEG_INFINITY,
        };
        let peers = peers.into_iter().map(|name| (name, peer.clone())).collect();
        Audit { rules, wanted, desired: None, peers, most_reloading: 0 }
    }

    /// What may be asked at `now`, ms; each is out until [`Audit::heard`] is told what came of it.
    pub fn next(&mut self, now: f64) -> Vec<(String, Ask)> {
        self.judge(now);
        let out = self.peers.values().filter(|p| p.asking).count();
        let mut room = self.rules.at_once.max(1).saturating_sub(out);
        let most = ((self.peers.len() as f64 * self.rules.share).floor() as usize).max(1);
        let mut reloading = self.peers.values().filter(|p| p.standing == Standing::Reloading).count();
        let mut asks = Vec::new();
        for (name, p) in &mut self.peers {
            if room == 0 {
                break;
            }
            if p.asking || p.ask_at.is_none_or(|at| at > now) {
                continue;
            }
            // One that did not hear it the first time has its place among those that reload already.
            if p.ask == Ask::Reload && p.standing != Standing::Reloading {
                if reloading >= most {
                    continue;
                }
                reloading += 1;
                p.standing = Standing::Reloading;
                p.told_at = now;
            }
            if p.ask == Ask::ShutOut {
                (p.standing, p.told_at) = (Standing::Draining, now);
            }
            p.asking = true;
            room -= 1;
            asks.push((name.clone(), p.ask));
        }
        self.most_reloading = self.most_reloading.max(reloading);
        asks
    }

    /// What came of a question at `now`, ms: what the instance tells of itself, or why it told nothing.
    pub fn heard(&mut self, name: &str, answer: Result<Status, String>, now: f64) {
        let Some(p) = self.peers.get_mut(name) else { return };
        p.asking = false;
        match answer {
            Ok(status) => {
                p.failures = 0;
                p.status = Some(status);
                // What was told was heard: from here on it is looked at.
                p.ask = Ask::Status;
                p.ask_at = None;
            }
            Err(why) => {
                p.failures += 1;
                if p.failures > self.rules.retries {
                    (p.standing, p.ask_at) = (Standing::Unreachable { why }, None);
                } else {
                    let gap = self.rules.backoff_ms * 2.0_f64.powi(p.failures as i32 - 1);
                    p.ask_at = Some(now + gap);
                }
            }
        }
    }

    /// The version that the fleet is held to; none while not all were heard, or where none can be told: two are equally
    /// common, or no instance is on the one asked for.
    #[must_use]
    pub fn desired(&self) -> Option<Version> {
        if self.desired.is_some() {
            return self.desired.clone();
        }
        let heard = |p: &Peer| p.status.is_some() || matches!(p.standing, Standing::Unreachable { .. });
        if !self.peers.values().all(heard) {
            return None;
        }
        let mut versions = self.peers.values().filter_map(|p| p.status.as_ref()).map(|s| &s.version);
        match &self.wanted {
            Desired::Common => common(versions.cloned()),
            Desired::Id(id) => versions.find(|v| &v.id() == id).cloned(),
            Desired::Version(version) => Some(version.clone()),
            Desired::Config { config, settings } => {
                let held =
                    |v: &Version| Version { config: config.clone(), settings: settings.clone(), ..v.clone() };
                common(versions.map(held))
            }
        }
    }

    /// Judges every instance that has told of itself and is not being asked.
    fn judge(&mut self, now: f64) {
        let Some(desired) = self.desired() else { return };
        // From the first judgement on the fleet is held to the same: a roll-out must not turn the majority.
        self.desired = Some(desired.clone());
        let rules = &self.rules;
        for p in self.peers.values_mut().filter(|p| !p.asking && p.ask_at.is_none()) {
            let Some(status) = &p.status else { continue };
            let differs = status.version.differs(&desired);
            let waited = now - p.told_at;
            let look = |p: &mut Peer| p.ask_at = Some(now + rules.look_ms);
            match &p.standing {
                Standing::Unreachable { .. }
                | Standing::Stuck { .. }
                | Standing::BroughtUp
                | Standing::ShutOut => {}
                Standing::Reloading => {
                    if let Some(why) = status.reload_failed.clone() {
                        p.standing = Standing::Stuck { why };
                    } else if differs.is_empty() && status.ready {
                        p.standing = Standing::BroughtUp;
                    } else if waited >= rules.settle_ms {
                        let why = match differs.is_empty() {
                            true => "not ready after its reload".to_owned(),
                            false => format!("still differs in {} after its reload", differs.join(", ")),
                        };
                        p.standing = Standing::Stuck { why };
                    } else {
                        look(p);
                    }
                }
                Standing::Draining => {
                    if status.out_of_service && status.in_progress == 0 {
                        p.standing = Standing::ShutOut;
                    } else if waited >= rules.settle_ms {
                        let why = match status.out_of_service {
                            true => format!("{} calls still there", status.in_progress),
                            false => "still in service".to_owned(),
                        };
                        p.standing = Standing::Stuck { why };
                    } else {
                        look(p);
                    }
                }
                Standing::Unknown | Standing::Current | Standing::Straggler { .. } => {
                    if differs.is_empty() {
                        p.standing = Standing::Current;
                        continue;
                    }
                    let since = *p.differs_since.get_or_insert(now);
                    let by_reload = differs.iter().all(|part| ["config", "settings"].contains(part));
                    p.standing = Standing::Straggler { differs };
                    if now - since < rules.grace_ms {
                        p.ask_at = Some(now + rules.look_ms.max(1.0));
                        continue;
                    }
                    match rules.remedy {
                        Remedy::BringUp if by_reload => (p.ask, p.ask_at) = (Ask::Reload, Some(now)),
                        Remedy::ShutOut => (p.ask, p.ask_at) = (Ask::ShutOut, Some(now)),
                        Remedy::Report | Remedy::BringUp => {}
                    }
                }
            }
        }
    }

    /// Nothing is out, and nothing more is to be asked.
    #[must_use]
    pub fn done(&self) -> bool {
        self.peers.values().all(|p| !p.asking && p.ask_at.is_none())
    }

    /// When the next question may be asked, ms.
    #[must_use]
    pub fn next_due(&self) -> Option<f64> {
        self.peers.values().filter(|p| !p.asking).filter_map(|p| p.ask_at).reduce(f64::min)
    }

    /// The outcome so far.
    #[must_use]
    pub fn report(&self) -> Report {
        let row = |(peer, p): (&String, &Peer)| Row {
            peer: peer.clone(),
            standing: p.standing.clone(),
            status: p.status.clone(),
        };
        Report {
            desired: self.desired(),
            rows: self.peers.iter().map(row).collect(),
            most_reloading: self.most_reloading,
        }
    }
}

/// The version that is there more often than any other; none if two are equally common.
fn common(versions: impl Iterator<Item = Version>) -> Option<Version> {
    let mut counts: BTreeMap<Version, usize> = BTreeMap::new();
    versions.for_each(|version| *counts.entry(version).or_default() += 1);
    let most = counts.values().copied().max()?;
    let mut common = counts.into_iter().filter(|(_, n)| *n == most).map(|(version, _)| version);
    let version = common.next()?;
    common.next().is_none().then_some(version)
}

/// One instance in the outcome.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Its management address, or the name given to it in the file.
    pub peer: String,
    /// How it stands.
    #[serde(flatten)]
    pub standing: Standing,
    /// What it last told.
    pub status: Option<Status>,
}

/// The outcome of an audit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The version that the fleet was held to; none: no version is the most common.
    pub desired: Option<Version>,
    /// By instance.
    pub rows: Vec<Row>,
    /// The most instances that were reloading at once.
    pub most_reloading: usize,
}

impl Report {
    /// Whether every instance was heard and is on the desired version, and in service or shut out on purpose.
    #[must_use]
    pub fn clean(&self) -> bool {
        self.desired.is_some() && self.rows.iter().all(|r| r.standing.good())
    }

    /// The outcome as a plain table.
    #[must_use]
    pub fn table(&self) -> String {
        let desired = self.desired.as_ref().map_or_else(
            || {
                "none: no version is the most common, or no instance is on the one asked for (--desired)"
                    .to_owned()
            },
            |v| {
                format!(
                    "{} (build {}, commit {}, config {}, settings {})",
                    v.id(),
                    v.build,
                    v.commit,
                    v.config,
                    v.settings
                )
            },
        );
        let mut text = format!("desired version: {desired}\n");
        text += &format!(
            "{:<24}{:<12}{:<18}{:>8}{:>7}{:>7}  {:<12}{}\n",
            "peer", "name", "version", "list", "ready", "calls", "state", "why"
        );
        for r in &self.rows {
            let (name, id, list, ready, calls) = match &r.status {
                Some(s) => {
                    let ready = if s.ready { "yes" } else { "no" };
                    (s.name.as_str(), s.version.id(), s.list.to_string(), ready, s.in_progress.to_string())
                }
                None => ("-", "-".into(), "-".into(), "-", "-".into()),
            };
            let (state, why) = (r.standing.name(), r.standing.why());
            let line =
                format!("{:<24}{name:<12}{id:<18}{list:>8}{ready:>7}{calls:>7}  {state:<12}{why}", r.peer);
            text += line.trim_end();
            text += "\n";
        }
        text
    }
}

#[cfg(test)]
mod tests;
