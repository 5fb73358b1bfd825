//! The start of the border controller: its signals first, then its files, then its sockets.

use super::driver::{self, Decisions};
use super::signals::Signals;
use crate::config::{Config, Source};
use crate::fronts::Fronts;
use tokio::task::{LocalSet, spawn_blocking};

/// What the files named on the command line say.
#[derive(Debug)]
pub struct Inputs {
    /// The configuration.
    pub config: Config,
    /// Where the configuration is read from again.
    pub source: Source,
    /// Fronts beside the platform's own.
    pub fronts: Fronts,
    /// What the operator's files turn on.
    pub decisions: Decisions,
}

/// Runs the border controller until it is stopped. `read` reads its files; signals that arrive meanwhile are not lost.
///
/// # Errors
/// A file will not do, or an address can't be listened on.
pub fn run<R>(read: R) -> Result<(), String>
where
    R: FnOnce() -> Result<Inputs, String> + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let outcome = LocalSet::new().block_on(&runtime, start(read));
    // After a stop the files may still be being read: that is not waited for.
    runtime.shutdown_background();
    outcome
}

/// Reads the files, then serves. A stop ends the program at once as long as the files are being read: no caller is
/// connected yet, so there is nothing to answer, and the reading may never come to its end.
async fn start<R>(read: R) -> Result<(), String>
where
    R: FnOnce() -> Result<Inputs, String> + Send + 'static,
{
    let mut signals = Signals::register()?;
    let inputs = tokio::select! {
        () = signals.stop() => return Ok(()),
        inputs = spawn_blocking(read) => inputs.map_err(|e| format!("start: {e}"))??,
    };
    driver::serve(inputs.config, inputs.source, inputs.fronts, inputs.decisions, signals).await
}
