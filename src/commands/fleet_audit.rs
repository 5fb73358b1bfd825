//! `corkreach fleet audit`: what every instance of a fleet acts on, and what is done about stragglers.

use argh::FromArgs;
use corkreach::fleet_audit::peers::Peers;
use corkreach::fleet_audit::{Desired, Remedy, Report, run};
use corkreach::version;
use std::path::{Path, PathBuf};

/// Ask every instance what it acts on, name the stragglers and the unreachable, and bring up or shut out the former.
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct FleetAudit {
    /// the file of the fleet's instances, YAML (deploy/fleet.yaml)
    #[argh(option)]
    peers: PathBuf,
    /// tell stragglers whose configuration alone is old to read it again
    #[argh(switch)]
    bring_up: bool,
    /// take stragglers out of service, and wait until their calls are over
    #[argh(switch)]
    shut_out: bool,
    /// id of the version to hold the fleet to (else the most common one)
    #[argh(option)]
    desired: Option<String>,
    /// hold the fleet to this configuration, with the most common of all else
    #[argh(option)]
    desired_config: Option<PathBuf>,
    /// print JSON in place of a table
    #[argh(switch)]
    json: bool,
}

impl FleetAudit {
    /// Asks the fleet and prints what it finds; a fleet that is not whole on the desired version is an error.
    pub fn run(self) -> Result<(), String> {
        let peers = Peers::read(&self.peers)?;
        let remedy = self.remedy()?;
        let desired = self.desired()?;
        let report = run::run(&peers, remedy, desired);
        self.print(&report)?;
        verdict(&report)
    }

    /// What is done about stragglers.
    fn remedy(&self) -> Result<Remedy, String> {
        match (self.bring_up, self.shut_out) {
            (true, true) => Err("--bring-up or --shut-out, not both".into()),
            (true, false) => Ok(Remedy::BringUp),
            (false, true) => Ok(Remedy::ShutOut),
            (false, false) => Ok(Remedy::Report),
        }
    }

    /// The version that the fleet is held to.
    fn desired(&self) -> Result<Desired, String> {
        match (&self.desired, &self.desired_config) {
            (Some(_), Some(_)) => Err("--desired or --desired-config, not both".into()),
            (Some(id), None) => Ok(Desired::Id(id.clone())),
            (None, Some(path)) => desired_by_config(path),
            (None, None) => Ok(Desired::Common),
        }
    }

    fn print(&self, report: &Report) -> Result<(), String> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(report).map_err(|e| e.to_string())?);
        } else {
            print!("{}", report.table());
        }
        Ok(())
    }
}

/// The version with this configuration.
fn desired_by_config(path: &Path) -> Result<Desired, String> {
    let told = |e: String| format!("{}: {e}", path.display());
    let text = std::fs::read(path).map_err(|e| told(e.to_string()))?;
    let (config, settings) = version::digests(&text).map_err(told)?;
    Ok(Desired::Config { config, settings })
}

/// Whether every instance is known to be on the desired version.
fn verdict(report: &Report) -> Result<(), String> {
    if report.clean() {
        return Ok(());
    }
    let bad = report.rows.iter().filter(|row| !row.standing.good()).count();
    let all = report.rows.len();
    Err(format!("{bad} of {all} instances are not on the desired version, or not known to be"))
}
