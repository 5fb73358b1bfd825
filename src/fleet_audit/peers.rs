//! The operator's file of a fleet's instances (`deploy/fleet.yaml`), YAML; unknown keys are an error.

use super::{Remedy, Rules};
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;

/// The whole file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Management addresses, `host:port`.
    pub peers: Vec<String>,
    /// An answer is waited for so long, ms.
    #[serde(default = "timeout_ms")]
    pub timeout_ms: u64,
    /// An instance that gives no answer is asked so many times more.
    #[serde(default = "retries")]
    pub retries: u32,
    /// The first gap before that, ms; it doubles.
    #[serde(default = "backoff_ms")]
    pub backoff_ms: f64,
    /// Questions out at once at most.
    #[serde(default = "at_once")]
    pub at_once: usize,
    /// Share of the fleet reloading at once at most; one instance always may.
    #[serde(default = "share")]
    pub share: f64,
    /// A straggler is left alone for so long after it was first seen: a roll-out may be under way, ms.
    #[serde(default)]
    pub grace_ms: f64,
    /// One told to reload or to drain is given so long to show it, ms.
    #[serde(default = "settle_ms")]
    pub settle_ms: f64,
}

fn timeout_ms() -> u64 {
    2000
}
fn retries() -> u32 {
    2
}
fn backoff_ms() -> f64 {
    200.0
}
fn at_once() -> usize {
    8
}
fn share() -> f64 {
    0.25
}
fn settle_ms() -> f64 {
    10_000.0
}

impl Peers {
    /// Reads a file's text.
    ///
    /// # Errors
    /// It says what is wrong and where.
    pub fn parse(text: &str) -> Result<Self, String> {
        let peers: Peers = serde_yaml_ng::from_str(text).map_err(|e| e.to_string())?;
        if peers.peers.is_empty() {
            return Err("peers: none is named".into());
        }
        for (i, peer) in peers.peers.iter().enumerate() {
            let port =
                peer.rsplit_once(':').map(|(host, port)| !host.is_empty() && port.parse::<u16>().is_ok());
            if port != Some(true) {
                return Err(format!("peer {peer}: host:port is wanted"));
            }
            if peers.peers[..i].contains(peer) {
                return Err(format!("peer {peer} is there twice"));
            }
        }
        let figures = [peers.backoff_ms, peers.grace_ms, peers.settle_ms, peers.share];
        if figures.iter().any(|v| !v.is_finite() || *v < 0.0) || peers.share > 1.0 {
            return Err("times of 0 or more and a share from 0 to 1 are wanted".into());
        }
        if peers.timeout_ms == 0 || peers.at_once == 0 || peers.retries > 20 {
            return Err("timeout_ms and at_once of 1 or more and at most 20 retries are wanted".into());
        }
        Ok(peers)
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    /// As [`Peers::parse`], with the file's name.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// The audit's rules, with this remedy.
    #[must_use]
    pub fn rules(&self, remedy: Remedy) -> Rules {
        Rules {
            remedy,
            grace_ms: self.grace_ms,
            share: self.share,
            at_once: self.at_once,
            retries: self.retries,
            backoff_ms: self.backoff_ms,
            settle_ms: self.settle_ms,
            ..Rules::default()
        }
    }

    /// How long an answer is waited for.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_shipped_file_reads_and_bad_ones_are_refused() {
        let shipped = Peers::parse(include_str!("../../deploy/fleet.yaml")).unwrap();
        let rules = shipped.rules(Remedy::Report);
        assert_eq!(Rules { grace_ms: 0.0, ..rules }, Rules::default());
        let complaint = |text: &str| Peers::parse(text).unwrap_err();
        assert!(complaint("peers: []").contains("none"));
        assert!(complaint("peers: [nowhere]").contains("host:port"));
        assert!(complaint("peers: [\"a:1\", \"a:1\"]").contains("twice"));
        assert!(complaint("peers: [\"a:1\"]\nshare: 2").contains("share"));
        assert!(complaint("peers: [\"a:1\"]\nsahre: 0.2").contains("sahre"));
    }
}
