//! `corkreach check`: whether a configuration will do.

use super::source;
use argh::FromArgs;
use std::path::PathBuf;

/// Read a configuration and say whether it will do.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// configuration file (else GW_CONFIG)
    #[argh(option)]
    config: Option<PathBuf>,
}

impl Check {
    /// Reads the configuration as `serve` would, and prints what it says.
    pub fn run(self) -> Result<(), String> {
        let config = source(self.config, None, None)?.read()?;
        let (name, known, listen) = (&config.name, config.known.len(), config.listen);
        println!("{name}: {known} call servers known, listening on {listen}");
        Ok(())
    }
}
