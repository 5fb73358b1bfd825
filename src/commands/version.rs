//! `corkreach version`: the program's version.

use argh::FromArgs;

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
pub struct Version {}

impl Version {
    /// Prints the package's version, and the commit that it was built from.
    pub fn run(self) {
        let commit = option_env!("CORKREACH_COMMIT").unwrap_or("unknown");
        println!("corkreach {} (commit {commit})", env!("CARGO_PKG_VERSION"));
    }
}
