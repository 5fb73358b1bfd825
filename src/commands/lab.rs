//! `corkreach lab`: a scenario of the fleet lab, played and written down.

use argh::FromArgs;
use corkreach::lab::{self, Scenario, results};
use std::path::PathBuf;

/// Play a lab scenario: a fleet of this program's processes, stand-in call servers and faults between them,
/// once with fleet limits off and once on; tables, a summary and a chart are written to the results folder.
#[derive(FromArgs)]
#[argh(subcommand, name = "lab")]
pub struct Lab {
    /// the scenario, YAML (deploy/lab/crash.yaml is one)
    #[argh(positional)]
    scenario: PathBuf,
    /// folder for the results (results/lab)
    #[argh(option, default = "PathBuf::from(\"results/lab\")")]
    out: PathBuf,
    /// a seed in place of the scenario's
    #[argh(option)]
    seed: Option<u64>,
    /// border controllers in place of the scenario's; the load offered in all stays the same
    #[argh(option)]
    instances: Option<usize>,
}

impl Lab {
    /// Plays the scenario, writes the results and prints their summary.
    pub fn run(self) -> Result<(), String> {
        let scenario = self.scenario()?;
        let program = std::env::current_exe().map_err(|e| format!("this program's path: {e}"))?;
        let figures = lab::play(&scenario, &program, &self.out)?;
        let summary = results::write(&figures, &self.out)?;
        println!("{}", results::table(&summary));
        println!("results in {}", self.out.display());
        Ok(())
    }

    /// The scenario, with what the command line sets in its place.
    fn scenario(&self) -> Result<Scenario, String> {
        let mut scenario = Scenario::read(&self.scenario)?;
        scenario.seed = self.seed.unwrap_or(scenario.seed);
        if let Some(instances) = self.instances {
            scenario.resize(instances);
        }
        Ok(scenario)
    }
}
