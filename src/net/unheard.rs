//! What still comes in while the program ends, for its log: nobody acts on it any more.

use crate::engine::{Event, FromServer};

/// What came in after the reducer's last step.
#[derive(Debug, Default)]
pub(super) struct Unheard {
    /// Messages of callers, and of call servers.
    callers: usize,
    servers: usize,
    /// Of the latter, ends of calls.
    ends: usize,
}

impl Unheard {
    pub(super) fn note(&mut self, event: &Event) {
        match event {
            Event::Caller { .. } => self.callers += 1,
            Event::Server { message, .. } => {
                self.servers += 1;
                if let FromServer::Ended { call, .. } = message {
                    self.ends += 1;
                    log::debug!("call {:016x}: its end was read after the last step", call.0);
                }
            }
            _ => {}
        }
    }

    pub(super) fn log(&self) {
        let Unheard { callers, servers, ends } = self;
        log::info!(
            "ended; read after the last step: {callers} messages of callers, {servers} of call servers, {ends} of \
             these ends of calls"
        );
    }
}
