//! `corkreach serve`: the border controller itself.

use super::source;
use argh::FromArgs;
use corkreach::audit::AuditSettings;
use corkreach::config::Config;
use corkreach::control::ControlSettings;
use corkreach::fronts::Fronts;
use corkreach::limits::LimitSettings;
use corkreach::logger;
use corkreach::net::driver::Decisions;
use corkreach::net::startup::{self, Inputs};
use corkreach::recovery::SiteSettings;
use corkreach::version::Version;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Serve callers until SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// configuration file (else GW_CONFIG)
    #[argh(option)]
    config: Option<PathBuf>,
    /// address to listen on (else GW_LISTEN, else the configuration's)
    #[argh(option)]
    listen: Option<SocketAddr>,
    /// address for operators (else GW_MANAGEMENT, else the configuration's, else none)
    #[argh(option)]
    management: Option<SocketAddr>,
    /// the operator's file of further fronts, YAML (else GW_FRONTS, else none: only the platform's own)
    #[argh(option)]
    fronts: Option<PathBuf>,
    /// the operator's file of fleet limits, YAML (else GW_LIMITS, else none: no retry budget, fixed redials)
    #[argh(option)]
    limits: Option<PathBuf>,
    /// the operator's file of sites, YAML (else GW_SITES, else none: no plan for the loss of a site)
    #[argh(option)]
    sites: Option<PathBuf>,
    /// the operator's file for the audit record, YAML (else GW_AUDIT, else none: nothing is recorded)
    #[argh(option)]
    audit: Option<PathBuf>,
    /// the operator's file of the fleet's control plane, YAML (else GW_FLEET, else none: no budgets shared with others)
    #[argh(option)]
    fleet: Option<PathBuf>,
    /// least weighty log lines written: error, warn, info, debug or trace (info)
    #[argh(option, default = "log::LevelFilter::Info")]
    log: log::LevelFilter,
}

impl Serve {
    /// Serves until it is told to stop.
    pub fn run(self) -> Result<(), String> {
        startup::run(move || self.read())
    }

    /// Reads everything that it starts on, and starts the log.
    fn read(self) -> Result<Inputs, String> {
        let files = OperatorFiles {
            fronts: file(self.fronts, "GW_FRONTS"),
            limits: file(self.limits, "GW_LIMITS"),
            sites: file(self.sites, "GW_SITES"),
            audit: file(self.audit, "GW_AUDIT"),
            fleet: file(self.fleet, "GW_FLEET"),
        };
        let source = source(self.config, self.listen, self.management)?;
        let config = source.read()?;
        let fronts = files.read_fronts()?;
        let decisions = files.read_decisions(&config)?;
        logger::start(&config.name, self.log)?;
        Ok(Inputs { config, source, fronts, decisions })
    }
}

/// An operator's file, given on the command line or else by this variable.
fn file(given: Option<PathBuf>, variable: &str) -> Option<PathBuf> {
    given.or_else(|| std::env::var_os(variable).map(PathBuf::from))
}

/// The operator's files that there are.
struct OperatorFiles {
    fronts: Option<PathBuf>,
    limits: Option<PathBuf>,
    sites: Option<PathBuf>,
    audit: Option<PathBuf>,
    fleet: Option<PathBuf>,
}

impl OperatorFiles {
    /// Further fronts; none without a file.
    fn read_fronts(&self) -> Result<Fronts, String> {
        self.fronts.as_deref().map_or_else(|| Ok(Fronts::default()), Fronts::read)
    }

    /// The decision modules that the files turn on.
    fn read_decisions(&self, config: &Config) -> Result<Decisions, String> {
        Ok(Decisions {
            limits: self.limits.as_deref().map(LimitSettings::read).transpose()?,
            sites: self.sites.as_deref().map(SiteSettings::read).transpose()?,
            audit: self.audit.as_deref().map(AuditSettings::read).transpose()?,
            control: self.fleet.as_deref().map(read_control).transpose()?,
            version: self.version(config)?,
        })
    }

    /// What the process acts on.
    fn version(&self, config: &Config) -> Result<Version, String> {
        let files = [&self.fronts, &self.limits, &self.sites, &self.fleet];
        let [fronts, limits, sites, fleet] = files.map(|path| path.as_deref());
        Version::new(config.digests.clone(), fronts, limits, sites, fleet)
    }
}

/// The control plane's settings, and their file, which is read again on SIGHUP.
fn read_control(path: &Path) -> Result<(ControlSettings, PathBuf), String> {
    let settings = ControlSettings::read(path)?;
    Ok((settings, path.to_owned()))
}
