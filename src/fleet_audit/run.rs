//! Carries an audit out: each question on a thread of its own, no more of them than the rules allow, so that a dead or
//! slow instance holds no other up.

use super::peers::Peers;
use super::{Ask, Audit, Desired, Remedy, Report, http};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// The audit looks at what is due at least so often.
const TICK: Duration = Duration::from_millis(50);

/// Audits the instances of a file.
#[must_use]
pub fn run(peers: &Peers, remedy: Remedy, desired: Desired) -> Report {
    let mut audit = Audit::new(peers.rules(remedy), desired, peers.peers.iter().cloned());
    let (answers, heard) = mpsc::channel();
    let since = Instant::now();
    let now = || since.elapsed().as_secs_f64() * 1000.0;
    loop {
        for (peer, ask) in audit.next(now()) {
            let (answers, timeout) = (answers.clone(), peers.timeout());
            std::thread::spawn(move || {
                let answer = asked(&peer, ask, timeout);
                // Nobody waits for it once the audit is over.
                let _ = answers.send((peer, answer));
            });
        }
        if audit.done() {
            return audit.report();
        }
        let wait = audit
            .next_due()
            .map_or(TICK, |due| Duration::from_secs_f64((due - now()).max(0.0) / 1000.0).min(TICK));
        if let Ok((peer, answer)) = heard.recv_timeout(wait.max(Duration::from_millis(1))) {
            audit.heard(&peer, answer, now());
        }
    }
}

fn asked(peer: &str, ask: Ask, timeout: Duration) -> Result<crate::version::Status, String> {
    log::debug!("asking {peer}: {ask:?}");
    http::ask(peer, ask, timeout)
}
