//! A lab scenario, read from the operator's YAML: the fleet, its call servers, the load offered and the faults
//! on a schedule. Unknown keys are refused, so a misspelt fault is not silently left out.

use crate::lab::proxy::Fault;
use crate::lab::standin::Mode;
use serde::Deserialize;

/// The limits operators start from.
const SHIPPED_LIMITS: &str = include_str!("../../deploy/limits.yaml");

/// The whole scenario (docs/operations-lab.md has an example).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Draws the proxies' delays and the instances' seeds; the same seed, the same schedule.
    #[serde(default = "seed")]
    pub seed: u64,
    /// Length of the offer, seconds.
    pub seconds: usize,
    /// Border controllers started, each a process of the program.
    pub instances: usize,
    /// The callers' wait for each set-up, milliseconds (parameter 130).
    #[serde(default = "wait_ms")]
    pub wait_ms: u32,
    /// Set-ups a second offered to each instance, as steps from a second on.
    pub load: Vec<Step>,
    /// The stand-in call servers.
    pub servers: Vec<Server>,
    /// What happens, and when.
    #[serde(default)]
    pub faults: Vec<Event>,
    /// The fleet limits file for the run with limits on, relative to the scenario's folder; none: the
    /// shipped `deploy/limits.yaml` values.
    #[serde(default)]
    pub limits: Option<std::path::PathBuf>,
    /// Runs made, in order: `off` (no limits), `on` (limits), or both.
    #[serde(default = "runs")]
    pub runs: Vec<Run>,
}

fn seed() -> u64 {
    1
}
fn wait_ms() -> u32 {
    2000
}
fn runs() -> Vec<Run> {
    vec![Run::Off, Run::On]
}

/// Whether a run has the fleet limits.
#[derive(Clone, Copy, Debug, Deserialize, serde::Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// No limits: the program as it runs on the platform.
    Off,
    /// The limits of the scenario.
    On,
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
    /// Set-ups a second it takes before it reports itself full; none: no bound.
    #[serde(default)]
    pub capacity_per_s: Option<f64>,
    /// How it answers from the start.
    #[serde(default = "answer")]
    pub mode: ModeName,
}

fn answer() -> ModeName {
    ModeName::Answer
}

/// How a stand-in answers set-ups (the stand-in's [`Mode`]).
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum ModeName {
    /// It answers.
    Answer,
    /// It is full: it refuses every set-up and reports so.
    Full,
    /// It cuts every set-up while its reports say all is well.
    Reset,
    /// It takes set-ups and never answers them.
    Mute,
}

impl From<ModeName> for Mode {
    fn from(name: ModeName) -> Mode {
        match name {
            ModeName::Answer => Mode::Answer,
            ModeName::Full => Mode::Full,
            ModeName::Reset => Mode::Reset,
            ModeName::Mute => Mode::Mute,
        }
    }
}

/// A fault at second `at_s`: on the links to a server (from all instances, or from some), in a server's way of
/// answering, or the crash of an instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Second of the run.
    pub at_s: usize,
    /// The call server concerned.
    #[serde(default)]
    pub server: Option<String>,
    /// The instances whose links are touched; none: all.
    #[serde(default)]
    pub instances: Option<Vec<usize>>,
    /// What the links' proxies do from now on.
    #[serde(default)]
    pub fault: Option<Fault>,
    /// For `delay`: the longest delay of a read, milliseconds.
    #[serde(default)]
    pub delay_ms: Option<u64>,
    /// How the server answers from now on.
    #[serde(default)]
    pub mode: Option<ModeName>,
    /// The list tells every instance that the server started again now.
    #[serde(default)]
    pub restarted: bool,
    /// This instance is killed, as a crash.
    #[serde(default)]
    pub crash: Option<usize>,
}

impl Scenario {
    /// Reads a scenario and checks that what it names exists.
    ///
    /// # Errors
    /// The YAML is not a scenario, or an event names a server or an instance the scenario lacks.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = serde_yaml_ng::from_str(text).map_err(|e| format!("scenario: {e}"))?;
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
        scenario.limits = scenario.limits.map(|file| folder.join(file));
        Ok(scenario)
    }

    /// The text of the fleet limits for a run with them on, checked as the program would.
    ///
    /// # Errors
    /// The file named can't be read or is no limits file.
    pub fn limits_text(&self) -> Result<String, String> {
        let Some(path) = &self.limits else { return Ok(SHIPPED_LIMITS.to_owned()) };
        crate::limits::LimitSettings::read(path)?;
        std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
    }

    fn check(&self) -> Result<(), String> {
        if self.instances == 0 || self.instances > 64 {
            return Err(format!("instances: {} (1 to 64)", self.instances));
        }
        if self.servers.is_empty() || self.seconds == 0 || self.load.is_empty() {
            return Err("servers, seconds and load must not be empty".into());
        }
        for event in &self.faults {
            let known = |id: &String| self.servers.iter().any(|s| &s.id == id);
            if let Some(id) = event.server.as_ref().filter(|id| !known(id)) {
                return Err(format!("at {} s: no server {id}", event.at_s));
            }
            let instances = event.instances.iter().flatten().chain(&event.crash);
            if let Some(i) = instances.into_iter().find(|&&i| i >= self.instances) {
                return Err(format!("at {} s: no instance {i}", event.at_s));
            }
            let on_server = event.fault.is_some() || event.mode.is_some() || event.restarted;
            if on_server && event.server.is_none() {
                return Err(format!("at {} s: a fault, mode or restart names no server", event.at_s));
            }
        }
        Ok(())
    }

    /// Set-ups a second offered to each instance in this second.
    #[must_use]
    pub fn per_s(&self, second: usize) -> f64 {
        self.load.iter().filter(|s| s.at_s <= second).max_by_key(|s| s.at_s).map_or(0.0, |s| s.per_s)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_shipped_scenario_reads_and_a_wrong_name_is_refused() {
        let shipped = Scenario::parse(include_str!("../../deploy/lab/crash.yaml")).unwrap();
        assert_eq!(shipped.runs, vec![Run::Off, Run::On]);
        assert!(shipped.per_s(0) > 0.0);
        let wrong = "seconds: 3\ninstances: 2\nload: [{at_s: 0, per_s: 1}]\nservers: [{id: a}]\n\
                     faults: [{at_s: 1, server: b, fault: reset}]\n";
        assert!(Scenario::parse(wrong).unwrap_err().contains("no server b"));
        let misspelt =
            "seconds: 3\ninstances: 2\nload: [{at_s: 0, per_s: 1}]\nservers: [{id: a, mdoe: full}]\n";
        assert!(Scenario::parse(misspelt).unwrap_err().contains("mdoe"));
    }

    #[test]
    fn load_steps_hold_from_their_second() {
        let text = "seconds: 9\ninstances: 1\nload: [{at_s: 0, per_s: 5}, {at_s: 4, per_s: 20}]\nservers: [{id: a}]\n";
        let scenario = Scenario::parse(text).unwrap();
        assert_eq!(
            [scenario.per_s(0), scenario.per_s(3), scenario.per_s(4), scenario.per_s(8)],
            [5.0, 5.0, 20.0, 20.0]
        );
    }
}
