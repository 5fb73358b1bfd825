//! What a border controller acts on: its build, and digests of its configuration, its settings and the operator's files,
//! and the serial of the list. Two processes with the same [`Version`] decide by the same code and the same figures.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::path::Path;

/// A digest is told by so many of its first bytes.
const DIGEST_BYTES: usize = 8;
/// What stands for a file that is not in force.
const NONE: &str = "none";

/// Everything that a decision depends on but the call, the list and the load reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The package's version.
    pub build: String,
    /// The commit that it was built from, or `unknown`.
    pub commit: String,
    /// Digest of the configuration, less what is each process's own: its name, addresses, seed and known list.
    pub config: String,
    /// Digest of the settings, less this process's own index.
    pub settings: String,
    /// Digest of the operator's file of fronts, or `none`.
    pub fronts: String,
    /// Of fleet limits.
    pub limits: String,
    /// Of sites.
    pub sites: String,
    /// Of the control plane; a process from before there was one tells none.
    #[serde(default = "none")]
    pub fleet: String,
}

fn none() -> String {
    NONE.into()
}

/// The hexadecimal start of the SHA-256 digest of some bytes.
#[must_use]
pub fn digest(bytes: &[u8]) -> String {
    let sum = Sha256::digest(bytes);
    sum.iter().take(DIGEST_BYTES).map(|byte| format!("{byte:02x}")).collect()
}

/// The digest of an operator's file; `none` where there is none.
///
/// # Errors
/// It can't be read.
pub fn digest_of(path: Option<&Path>) -> Result<String, String> {
    let Some(path) = path else { return Ok(NONE.into()) };
    std::fs::read(path).map(|bytes| digest(&bytes)).map_err(|e| format!("{}: {e}", path.display()))
}

/// The digests of a configuration and of its settings. Both are taken over the object's canonical text (keys in order),
/// so that layout does not count, and without what is each process's own.
///
/// # Errors
/// The text is no JSON object.
pub fn digests(config: &[u8]) -> Result<(String, String), String> {
    let mut object: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(config).map_err(|e| e.to_string())?;
    let mut settings = object.remove("settings").unwrap_or_default();
    if let Some(settings) = settings.as_object_mut() {
        settings.remove("index");
    }
    for own in ["name", "listen", "management", "seed", "known", "dns", "peer_listen", "peers"] {
        object.remove(own);
    }
    let text = |value: serde_json::Value| value.to_string();
    Ok((digest(text(object.into()).as_bytes()), digest(text(settings).as_bytes())))
}

impl Version {
    /// The version of this program under these digests of configuration and settings and these operator's files.
    ///
    /// # Errors
    /// A file can't be read.
    pub fn new(
        (config, settings): (String, String),
        fronts: Option<&Path>,
        limits: Option<&Path>,
        sites: Option<&Path>,
        fleet: Option<&Path>,
    ) -> Result<Version, String> {
        Ok(Version {
            build: env!("CARGO_PKG_VERSION").into(),
            commit: option_env!("CORKREACH_COMMIT").unwrap_or("unknown").into(),
            config,
            settings,
            fronts: digest_of(fronts)?,
            limits: digest_of(limits)?,
            sites: digest_of(sites)?,
            fleet: digest_of(fleet)?,
        })
    }

    /// A short name for it: the digest of all its parts.
    #[must_use]
    pub fn id(&self) -> String {
        let parts = [
            &self.build,
            &self.commit,
            &self.config,
            &self.settings,
            &self.fronts,
            &self.limits,
            &self.sites,
            &self.fleet,
        ];
        digest(parts.map(String::as_str).join("\n").as_bytes())
    }

    /// The names of the parts in which another differs.
    #[must_use]
    pub fn differs(&self, other: &Version) -> Vec<&'static str> {
        let parts = [
            ("build", self.build != other.build),
            ("commit", self.commit != other.commit),
            ("config", self.config != other.config),
            ("settings", self.settings != other.settings),
            ("fronts", self.fronts != other.fronts),
            ("limits", self.limits != other.limits),
            ("sites", self.sites != other.sites),
            ("fleet", self.fleet != other.fleet),
        ];
        parts.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }
}

/// What a process tells of itself at its management address (`GET /control/version`), as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// What it acts on.
    pub version: Version,
    /// Serial of the list that it follows.
    pub list: u32,
    /// Work may come.
    pub ready: bool,
    /// It was taken out of service, or shut out, and takes nothing new.
    pub out_of_service: bool,
    /// Set-ups that wait for their answer, and calls that stand.
    pub in_progress: usize,
    /// Why the last reload changed nothing; none: it was taken, or there was none.
    pub reload_failed: Option<String>,
}

#[cfg(test)]
mod tests {
    use super::*;

    const CONFIG: &str = r#"{"name": "n0", "seed": "1", "listen": "127.0.0.1:1", "limits": {"sockets": 9},
        "settings": {"siblings": 3, "index": 0}}"#;

    #[test]
    fn what_is_a_processs_own_and_the_layout_do_not_count() {
        let other = r#"{"settings": {"index": 2, "siblings": 3}, "limits": {"sockets": 9}, "name": "n2"}"#;
        assert_eq!(digests(CONFIG.as_bytes()).unwrap(), digests(other.as_bytes()).unwrap());
        let (config, settings) = digests(CONFIG.as_bytes()).unwrap();
        let changed = digests(CONFIG.replace("\"siblings\": 3", "\"siblings\": 4").as_bytes()).unwrap();
        assert_eq!(changed.0, config);
        assert_ne!(changed.1, settings);
        assert!(digests(b"[1]").is_err());
    }

    #[test]
    fn versions_say_in_what_they_differ() {
        let one = Version::new(digests(CONFIG.as_bytes()).unwrap(), None, None, None, None).unwrap();
        let two = Version::new(digests(CONFIG.replace('9', "8").as_bytes()).unwrap(), None, None, None, None)
            .unwrap();
        assert_eq!(one.differs(&two), vec!["config"]);
        assert_ne!(one.id(), two.id());
        assert_eq!(one.limits, "none");
        assert!(
            Version::new(
                digests(CONFIG.as_bytes()).unwrap(),
                Some(Path::new("/nowhere/x")),
                None,
                None,
                None
            )
            .is_err()
        );
    }
}
