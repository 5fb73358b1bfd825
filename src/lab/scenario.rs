//! A lab scenario, read from the operator's YAML: the fleet, its call servers, the load offered and the faults
//! on a schedule. Unknown keys are refused, so a misspelt fault is not silently left out.

use crate::lab::caller::{Class, Repeats};
use crate::lab::proxy::Fault;
use crate::lab::room::Cold;
use crate::lab::standin::Mode;
use serde::Deserialize;
use std::path::PathBuf;

/// The limits operators start from.
const SHIPPED: &str = "shipped";
const SHIPPED_LIMITS: &str = include_str!("../../deploy/limits.yaml");

/// The whole scenario (docs/operations-lab.md has an example).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Draws the proxies' delays, the callers' classes and the instances' seeds; the same seed, the same schedule.
    #[serde(default = "seed")]
    pub seed: u64,
    /// Length of the offer, seconds.
    pub seconds: usize,
    /// Border controllers started, each a process of the program.
    pub instances: usize,
    /// The callers' wait for each set-up, milliseconds (parameter 130).
    #[serde(default = "wait_ms")]
    pub wait_ms: u32,
    /// The classes of calls.
    #[serde(default = "classes")]
    pub classes: Vec<Class>,
    /// Whether callers that were turned away come again; none: they don't.
    #[serde(default)]
    pub repeats: Option<Repeats>,
    /// Set-ups a second offered to each instance, as steps from a second on.
    pub load: Vec<Step>,
    /// By instance, by how much its load differs from the steps'; those not named are as the steps say.
    #[serde(default)]
    pub weights: Vec<f64>,
    /// The stand-in call servers.
    pub servers: Vec<Server>,
    /// A server that reports a longer wait counts as pressed in that second, as does one that sends set-ups back; ms.
    #[serde(default = "pressed_ms")]
    pub pressed_ms: u64,
    /// What happens, and when.
    #[serde(default)]
    pub faults: Vec<Event>,
    /// The fleet limits file of the `on` runs, relative to the scenario's folder; `shipped`: the values of
    /// `deploy/limits.yaml`, which is meant too where neither this nor `sites` nor `control` is named.
    #[serde(default)]
    pub limits: Option<PathBuf>,
    /// The sites file of the `on` runs, relative to the scenario's folder; none: no plan.
    #[serde(default)]
    pub sites: Option<PathBuf>,
    /// The control plane's file of the `on` runs, relative to the scenario's folder; none: no budgets are shared. In both
    /// runs the instances may then send each other messages.
    #[serde(default)]
    pub control: Option<PathBuf>,
    /// Runs made, in order: `off` (none of the files), `on`, or both.
    #[serde(default = "runs")]
    pub runs: Vec<Run>,
}

fn seed() -> u64 {
    1
}
fn wait_ms() -> u32 {
    2000
}
fn pressed_ms() -> u64 {
    500
}
fn classes() -> Vec<Class> {
    vec![Class { name: "voice".into(), worth: 1.0, part: 1.0 }]
}
fn runs() -> Vec<Run> {
    vec![Run::Off, Run::On]
}

/// Whether a run has the files under trial.
#[derive(Clone, Copy, Debug, Deserialize, serde::Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// No limits, no sites, no control plane: the program as it runs on the platform.
    Off,
    /// With the limits, the sites or the control plane of the scenario.
    On,
}

impl Run {
    /// Its name in tables and folders.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Run::Off => "off",
            Run::On => "on",
        }
    }
}

/// From `at_s` on, each instance is offered `per_s` set-ups a second.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Second of the run.
    pub at_s: usize,
    /// Set-ups a second to each instance.
    pub per_s: f64,
}

/// One stand-in call server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its id in the list.
    pub id: String,
    /// The site at which it stands, for faults that strike a whole site.
    #[serde(default)]
    pub site: Option<String>,
    /// Set-ups a second it takes; what is beyond is turned away. None: no bound.
    #[serde(default)]
    pub capacity_per_s: Option<f64>,
    /// Instead of a bound: set-ups a second that its processor works off, with a line whose wait it reports.
    #[serde(default)]
    pub line_per_s: Option<f64>,
    /// With `line_per_s`: one that would wait longer there is turned away, ms.
    #[serde(default = "line_ms")]
    pub line_ms: u64,
    /// With `line_per_s`: how it starts and falls over.
    #[serde(default)]
    pub cold: Option<Cold>,
    /// Calls that it answers stand for so long, ms.
    #[serde(default)]
    pub hold_ms: u64,
    /// How it answers from the start.
    #[serde(default = "answer")]
    pub mode: Mode,
}

fn line_ms() -> u64 {
    1500
}
fn answer() -> Mode {
    Mode::Answer
}

/// Some instances, or all of them.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum Which {
    /// One, by its number from 0.
    One(usize),
    /// Some, by their numbers.
    Some(Vec<usize>),
    /// `all`.
    All(All),
}

/// The word `all`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum All {
    /// Every instance.
    All,
}

impl Which {
    /// The numbers meant, of a fleet of `n`.
    #[must_use]
    pub fn of(&self, n: usize) -> Vec<usize> {
        match self {
            Which::One(i) => vec![*i],
            Which::Some(some) => some.clone(),
            Which::All(_) => (0..n).collect(),
        }
    }
}

/// A fault at second `at_s`: on the links to a server or a site (from all instances, or from some), in their way of
/// answering, or the crash or start of instances.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Second of the run.
    pub at_s: usize,
    /// The call server concerned.
    #[serde(default)]
    pub server: Option<String>,
    /// Or all call servers of this site.
    #[serde(default)]
    pub site: Option<String>,
    /// The instances whose links are touched; none: all.
    #[serde(default)]
    pub instances: Option<Which>,
    /// What the links' proxies do from now on.
    #[serde(default)]
    pub fault: Option<Fault>,
    /// For `delay`: the longest delay of a read, milliseconds.
    #[serde(default)]
    pub delay_ms: Option<u64>,
    /// How the servers answer from now on.
    #[serde(default)]
    pub mode: Option<Mode>,
    /// The list tells every instance that the servers started again now.
    #[serde(default)]
    pub restarted: bool,
    /// The list tells every instance that the servers drain from now on, or no longer do.
    #[serde(default)]
    pub draining: Option<bool>,
    /// These instances are killed, as a crash.
    #[serde(default)]
    pub crash: Option<Which>,
    /// These instances, killed before, are started again.
    #[serde(default)]
    pub start: Option<Which>,
}

impl Scenario {
    /// Reads a scenario and checks that what it names exists.
    ///
    /// # Errors
    /// The YAML is not a scenario, or an event names a server or an instance the scenario lacks.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let wrong = |e: serde_yaml_ng::Error| format!("scenario: {e}");
        // Entries may be written as variants of one another (YAML's merge key).
        let mut tree: serde_yaml_ng::Value = serde_yaml_ng::from_str(text).map_err(wrong)?;
        tree.apply_merge().map_err(wrong)?;
        let scenario: Scenario = serde_yaml_ng::from_value(tree).map_err(wrong)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// The same from a file.
    ///
    /// # Errors
    /// The file can't be read, or as [`Scenario::parse`].
    pub fn read(path: &std::path::Path) -> Result<Scenario, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut scenario = Scenario::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        let folder = path.parent().unwrap_or(std::path::Path::new("."));
        scenario.limits =
            scenario.limits.map(|file| if file.as_os_str() == SHIPPED { file } else { folder.join(file) });
        scenario.sites = scenario.sites.map(|file| folder.join(file));
        scenario.control = scenario.control.map(|file| folder.join(file));
        Ok(scenario)
    }

    /// The text of the fleet limits for a run with them on, checked as the program would; none: no limits.
    ///
    /// # Errors
    /// The file named can't be read or is no limits file.
    pub fn limits_text(&self) -> Result<Option<String>, String> {
        let Some(path) = &self.limits else {
            let none = self.sites.is_none() && self.control.is_none();
            return Ok(none.then(|| SHIPPED_LIMITS.to_owned()));
        };
        if path.as_os_str() == SHIPPED {
            return Ok(Some(SHIPPED_LIMITS.to_owned()));
        }
        crate::limits::LimitSettings::read(path)?;
        std::fs::read_to_string(path).map(Some).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// The text of the sites file for a run with it on; none: no plan.
    ///
    /// # Errors
    /// The file named can't be read.
    pub fn sites_text(&self) -> Result<Option<String>, String> {
        let read =
            |path: &PathBuf| std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()));
        self.sites.as_ref().map(read).transpose()
    }

    /// The text of the control plane's file for a run with it on, checked as the program would; none: none.
    ///
    /// # Errors
    /// The file named can't be read, or does not fit the fleet.
    pub fn control_text(&self) -> Result<Option<String>, String> {
        let Some(path) = &self.control else { return Ok(None) };
        let settings = crate::control::ControlSettings::read(path)?;
        settings.check_fleet(u16::try_from(self.instances).unwrap_or(u16::MAX))?;
        std::fs::read_to_string(path).map(Some).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// The places in `servers` of the call servers that this event concerns.
    #[must_use]
    pub fn touched(&self, event: &Event) -> Vec<usize> {
        let meant = |s: &Server| {
            event.server.as_ref() == Some(&s.id) || (event.site.is_some() && event.site == s.site)
        };
        (0..self.servers.len()).filter(|&i| meant(&self.servers[i])).collect()
    }

    /// Checks that what it names exists.
    ///
    /// # Errors
    /// A figure is out of range, or an event names a server, a site or an instance the scenario lacks.
    pub fn check(&self) -> Result<(), String> {
        if self.instances == 0 || self.instances > 64 {
            return Err(format!("instances: {} (1 to 64)", self.instances));
        }
        if self.servers.is_empty() || self.seconds == 0 || self.load.is_empty() || self.classes.is_empty() {
            return Err("servers, classes, seconds and load must not be empty".into());
        }
        if self.classes.iter().any(|c| !(c.part > 0.0 && c.part.is_finite() && c.worth.is_finite())) {
            return Err("classes: a part above 0 and a finite worth are wanted".into());
        }
        if self.weights.len() > self.instances || self.weights.iter().any(|w| !(w.is_finite() && *w >= 0.0)) {
            return Err("weights: one of 0 or more for each instance at most".into());
        }
        if let Some(s) = self.servers.iter().find(|s| s.cold.is_some() && s.line_per_s.is_none()) {
            return Err(format!("server {}: cold wants line_per_s", s.id));
        }
        for event in &self.faults {
            let at = event.at_s;
            let on_server =
                event.fault.is_some() || event.mode.is_some() || event.restarted || event.draining.is_some();
            if let Some(id) =
                event.server.as_ref().or(event.site.as_ref()).filter(|_| self.touched(event).is_empty())
            {
                return Err(format!("at {at} s: no server or site {id}"));
            }
            if on_server && self.touched(event).is_empty() {
                return Err(format!("at {at} s: a fault, mode, drain or restart names no server or site"));
            }
            let named = [&event.instances, &event.crash, &event.start];
            let mut named = named.into_iter().flatten().flat_map(|which| which.of(self.instances));
            if let Some(i) = named.find(|&i| i >= self.instances) {
                return Err(format!("at {at} s: no instance {i}"));
            }
        }
        Ok(())
    }

    /// Takes `n` instances; the load offered in all stays the same.
    pub fn resize(&mut self, n: usize) {
        let weight = |i: usize| self.weights.get(i).copied().unwrap_or(1.0);
        let sum = |n: usize| (0..n).map(weight).sum::<f64>();
        let factor = sum(self.instances) / sum(n).max(f64::MIN_POSITIVE);
        self.weights.truncate(n);
        self.load.iter_mut().for_each(|step| step.per_s *= factor);
        self.instances = n;
    }

    /// Set-ups a second offered to an instance in this second.
    #[must_use]
    pub fn per_s(&self, instance: usize, second: usize) -> f64 {
        let weight = self.weights.get(instance).copied().unwrap_or(1.0);
        weight * self.load.iter().filter(|s| s.at_s <= second).max_by_key(|s| s.at_s).map_or(0.0, |s| s.per_s)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_shipped_scenarios_read_and_a_wrong_name_is_refused() {
        let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/lab");
        let mut read = 0;
        for file in std::fs::read_dir(folder).unwrap() {
            let path = file.unwrap().path();
            if path.is_dir() {
                continue;
            }
            let shipped = Scenario::read(&path).unwrap();
            assert_eq!(shipped.runs, vec![Run::Off, Run::On]);
            assert!(shipped.per_s(0, 0) > 0.0);
            read += 1;
        }
        assert!(read >= 1);
        let wrong = "seconds: 3\ninstances: 2\nload: [{at_s: 0, per_s: 1}]\nservers: [{id: a}]\n\
                     faults: [{at_s: 1, server: b, fault: reset}]\n";
        assert!(Scenario::parse(wrong).unwrap_err().contains("no server or site b"));
        let misspelt =
            "seconds: 3\ninstances: 2\nload: [{at_s: 0, per_s: 1}]\nservers: [{id: a, mdoe: full}]\n";
        assert!(Scenario::parse(misspelt).unwrap_err().contains("mdoe"));
    }

    #[test]
    fn load_steps_hold_from_their_second() {
        let text = "seconds: 9\ninstances: 1\nload: [{at_s: 0, per_s: 5}, {at_s: 4, per_s: 20}]\nservers: [{id: a}]\n";
        let scenario = Scenario::parse(text).unwrap();
        assert_eq!(
            [scenario.per_s(0, 0), scenario.per_s(0, 3), scenario.per_s(0, 4), scenario.per_s(0, 8)],
            [5.0, 5.0, 20.0, 20.0]
        );
    }
}
