//! The operator's file of fleet limits (`deploy/limits.yaml`), YAML; unknown keys are an error, so that a
//! misspelt setting is not taken for an absent one. Every key has a default; the file is read at the start.
//!
//! ```yaml
//! retry_budget:
//!   ratio: 0.1          # second attempts to a call server, as a share of first attempts to it
//!   min_per_s: 1.0      # and so many a second besides by the whole fleet, so that a quiet server is tried again
//!   window_ms: 10000    # over this sliding window
//!   stay_away_ms: 1000  # advice with a shed retry, no longer than the settings let callers heed
//!   kept: 0.5           # part of a budget kept for calls worth more, where such calls come
//! first_attempts:
//!   shed_from: 0.3      # once retries are shed for more than this share of first attempts, the excess of these is shed
//!   most: 0.5           # but no more than this share; 0: none ever
//! redial:
//!   base_ms: 300        # the first gap before a call server that could not be reached is dialled again
//!   cap_ms: 5000        # the longest gap
//! probes:
//!   fleet_per_s: 2.0    # dials a second to one call server that is down, by the whole fleet; 0: no bound
//! ```

use serde::Deserialize;
use std::path::Path;

#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    #[serde(default)]
    pub retry_budget: BudgetSettings,
    #[serde(default)]
    pub first_attempts: FirstSettings,
    #[serde(default)]
    pub redial: RedialSettings,
    #[serde(default)]
    pub probes: ProbeSettings,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct BudgetSettings {
    pub ratio: f64,
    pub min_per_s: f64,
    pub window_ms: f64,
    pub stay_away_ms: f64,
    pub kept: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        BudgetSettings { ratio: 0.1, min_per_s: 1.0, window_ms: 10_000.0, stay_away_ms: 1000.0, kept: 0.5 }
    }
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct FirstSettings {
    pub shed_from: f64,
    pub most: f64,
}

impl Default for FirstSettings {
    fn default() -> Self {
        FirstSettings { shed_from: 0.3, most: 0.5 }
    }
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct RedialSettings {
    pub base_ms: f64,
    pub cap_ms: f64,
}

impl Default for RedialSettings {
    fn default() -> Self {
        RedialSettings { base_ms: 300.0, cap_ms: 5000.0 }
    }
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ProbeSettings {
    pub fleet_per_s: f64,
}

impl Default for ProbeSettings {
    fn default() -> Self {
        ProbeSettings { fleet_per_s: 2.0 }
    }
}

impl LimitSettings {
    /// Reads a file's text; errors say what is wrong and where.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: LimitSettings = serde_yaml_ng::from_str(text).map_err(|e| e.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    /// Reads and checks a file; errors name the file.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    fn check(&self) -> Result<(), String> {
        let b = &self.retry_budget;
        let figures = [
            ("retry_budget.ratio", b.ratio),
            ("retry_budget.min_per_s", b.min_per_s),
            ("retry_budget.window_ms", b.window_ms),
            ("retry_budget.stay_away_ms", b.stay_away_ms),
            ("retry_budget.kept", b.kept),
            ("first_attempts.shed_from", self.first_attempts.shed_from),
            ("first_attempts.most", self.first_attempts.most),
            ("redial.base_ms", self.redial.base_ms),
            ("redial.cap_ms", self.redial.cap_ms),
            ("probes.fleet_per_s", self.probes.fleet_per_s),
        ];
        if let Some((name, value)) = figures.iter().find(|(_, v)| !v.is_finite() || *v < 0.0) {
            return Err(format!("{name} is {value}: a finite figure of 0 or more is wanted"));
        }
        if b.window_ms < 100.0 {
            return Err(format!("retry_budget.window_ms is {}: 100 or more is wanted", b.window_ms));
        }
        if b.kept > 1.0 || self.first_attempts.most > 1.0 {
            return Err("retry_budget.kept and first_attempts.most are shares: 0 to 1 is wanted".to_owned());
        }
        if self.redial.cap_ms < self.redial.base_ms || self.redial.base_ms < 1.0 {
            return Err("redial: 1 <= base_ms <= cap_ms is wanted".to_owned());
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_shipped_file_reads_as_the_defaults() {
        let text = include_str!("../../deploy/limits.yaml");
        assert_eq!(LimitSettings::parse(text).unwrap(), LimitSettings::default());
    }

    #[test]
    fn unknown_keys_and_bad_figures_are_refused() {
        assert!(LimitSettings::parse("retry_budget:\n  ratoi: 0.2\n").unwrap_err().contains("ratoi"));
        assert!(LimitSettings::parse("redial:\n  base_ms: 900\n  cap_ms: 100\n").is_err());
        assert!(LimitSettings::parse("probes:\n  fleet_per_s: -1\n").unwrap_err().contains("fleet_per_s"));
        assert!(LimitSettings::parse("retry_budget:\n  window_ms: 5\n").is_err());
    }

    #[test]
    fn an_empty_file_is_the_defaults() {
        assert_eq!(LimitSettings::parse("{}").unwrap(), LimitSettings::default());
    }
}
