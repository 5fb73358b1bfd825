//! The operator's file for the audit record (`deploy/audit.yaml`), YAML; unknown keys are an error.

use serde::Deserialize;
use std::path::{Path, PathBuf};

/// The whole file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AuditSettings {
    /// Folder of this process's own; it is made if it is not there.
    pub folder: PathBuf,
    /// A file that has grown beyond this is followed by the next, mebibytes.
    #[serde(default = "file_mb")]
    pub file_mb: u64,
    /// Files kept; older ones are removed as new ones begin.
    #[serde(default = "keep")]
    pub keep: usize,
    /// Whether each write waits for the disk: a record then outlives the machine, not only the process.
    #[serde(default)]
    pub sync: bool,
}

fn file_mb() -> u64 {
    64
}
fn keep() -> usize {
    16
}

impl AuditSettings {
    /// Reads a file's text.
    ///
    /// # Errors
    /// It says what is wrong and where.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: AuditSettings = serde_yaml_ng::from_str(text).map_err(|e| e.to_string())?;
        if settings.file_mb == 0 || settings.keep == 0 {
            return Err("file_mb and keep: 1 or more is wanted".into());
        }
        if settings.folder.as_os_str().is_empty() {
            return Err("folder: a path is wanted".into());
        }
        Ok(settings)
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    /// As [`AuditSettings::parse`], with the file's name.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_shipped_file_reads_and_bad_ones_are_refused() {
        let shipped = AuditSettings::parse(include_str!("../../deploy/audit.yaml")).unwrap();
        assert_eq!((shipped.file_mb, shipped.keep, shipped.sync), (64, 16, false));
        assert!(AuditSettings::parse("folder: x\nkeep: 0\n").is_err());
        assert!(AuditSettings::parse("folder: x\nsycn: true\n").unwrap_err().contains("sycn"));
        assert!(AuditSettings::parse("folder: \"\"\n").is_err());
    }
}
