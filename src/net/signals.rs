//! The signals that the border controller acts on.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals, each as a stream. One that arrives before its stream is asked is kept; several of a kind count as one.
#[derive(Debug)]
pub struct Signals {
    /// SIGHUP: the configuration is to be read again.
    pub hangups: Signal,
    /// SIGTERM: the program is to stop.
    pub stops: Signal,
    /// SIGINT: the program is to stop.
    pub interrupts: Signal,
}

impl Signals {
    /// Registers the handlers. Until then each of these signals has its default action: it kills the process. To be
    /// called within a runtime, and before anything that takes time.
    ///
    /// # Errors
    /// The system takes no handler.
    pub fn register() -> Result<Signals, String> {
        let stream = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
        Ok(Signals {
            hangups: stream(SignalKind::hangup())?,
            stops: stream(SignalKind::terminate())?,
            interrupts: stream(SignalKind::interrupt())?,
        })
    }

    /// Returns once the program is told to stop.
    pub async fn stop(&mut self) {
        tokio::select! {
            _ = self.stops.recv() => {}
            _ = self.interrupts.recv() => {}
        }
    }
}
