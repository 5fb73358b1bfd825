//! The operator's file of the fleet's control plane (`deploy/control.yaml`), YAML; unknown keys are an error, so that a
//! misspelt setting is not taken for an absent one. The file is read at the start, whole or not at all.

use crate::gather::GatherSettings;
use crate::terms::{Budget, BudgetId, Spending};
use serde::Deserialize;
use std::path::Path;

/// The shortest key that is taken, bytes.
const KEY_LEAST: usize = 16;

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The instances, by their index, of which one grants; three or five, so that a majority outlives one or two.
    #[serde(default = "keepers")]
    pub keepers: Vec<u16>,
    /// A part and a mastership lapse so long after they were asked for unless they are renewed, ms.
    #[serde(default = "lease_ms")]
    pub lease_ms: f64,
    /// Demand is told and parts are divided anew so often, ms.
    #[serde(default = "round_ms")]
    pub round_ms: f64,
    /// The most by which two instances' clocks may run apart, as a share (0.001: a millisecond in a second).
    #[serde(default = "drift")]
    pub drift: f64,
    /// Hexadecimal key of at least 16 bytes, the same at every instance: datagrams carry a keyed code. None: a checksum.
    #[serde(default)]
    pub key: Option<Key>,
    /// How long the rounds wait, and jobs; none: rounds as `crate::gather::Settings::rounds` has them, jobs without end.
    #[serde(default)]
    pub gather: Option<GatherSettings>,
    /// What may be booked for jobs; none: nothing.
    #[serde(default)]
    pub reservations: Option<crate::reservations::Settings>,
    pub budgets: Vec<BudgetSettings>,
}

/// One budget of the whole fleet.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BudgetSettings {
    /// In figures and log.
    pub name: String,
    /// What is paid with it.
    pub spend: Spend,
    /// Only what goes to this call server; none: any.
    #[serde(default)]
    pub server: Option<String>,
    /// Only what goes to this site (the list's zone); none: any.
    #[serde(default)]
    pub site: Option<String>,
    /// Only calls of this class; none: any.
    #[serde(default)]
    pub class: Option<String>,
    /// The whole fleet's, a second.
    pub per_s: f64,
    /// What the whole fleet may spend at once beyond the rate.
    #[serde(default)]
    pub burst: Option<f64>,
    /// Share kept back and split evenly among all configured instances, so that one cut off still serves.
    #[serde(default = "floor")]
    pub floor: f64,
}

/// What is paid with a budget, as the file names it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Spend {
    /// First attempts.
    SetUps,
    /// Second and later attempts.
    SecondAttempts,
    /// Connections to a call server that could not be reached.
    Dials,
}

/// A key; it is never printed.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Key(pub Vec<u8>);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

impl TryFrom<String> for Key {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let digits: Option<Vec<u8>> =
            text.trim().chars().map(|c| c.to_digit(16).and_then(|d| u8::try_from(d).ok())).collect();
        let digits =
            digits.filter(|d| d.len() % 2 == 0).ok_or("key: hexadecimal digits are wanted, two a byte")?;
        let bytes: Vec<u8> = digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect();
        if bytes.len() < KEY_LEAST {
            return Err(format!("key: {} bytes are given, at least {KEY_LEAST} are wanted", bytes.len()));
        }
        Ok(Key(bytes))
    }
}

fn keepers() -> Vec<u16> {
    vec![0, 1, 2]
}
fn lease_ms() -> f64 {
    3000.0
}
fn round_ms() -> f64 {
    500.0
}
fn drift() -> f64 {
    0.001
}
fn floor() -> f64 {
    0.1
}

impl ControlSettings {
    /// Reads a file's text; errors say what is wrong and where.
    ///
    /// # Errors
    /// It is no YAML of this form, or a figure is out of range.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: ControlSettings = serde_yaml_ng::from_str(text).map_err(|e| e.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    /// Reads and checks a file; errors name the file.
    ///
    /// # Errors
    /// As [`ControlSettings::parse`], or it can't be read.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// What of a file that was read again is acted on without a restart: its reservations, if there are any.
    ///
    /// # Errors
    /// It says what else has changed: nothing of it is acted on then.
    pub fn reread(&self, new: &Self) -> Result<Option<crate::reservations::Settings>, String> {
        let changed = [
            ("keepers", self.keepers != new.keepers),
            ("lease_ms", self.lease_ms != new.lease_ms),
            ("round_ms", self.round_ms != new.round_ms),
            ("drift", self.drift != new.drift),
            ("key", self.key != new.key),
            ("gather", self.gather != new.gather),
            ("budgets", self.budgets != new.budgets),
            ("reservations", self.reservations.is_some() != new.reservations.is_some()),
        ];
        let folder = |s: &Self| s.reservations.as_ref().and_then(|r| r.folder.clone());
        let moved = ("reservations.folder", folder(self) != folder(new));
        let names: Vec<&str> = changed.iter().chain([&moved]).filter(|(_, c)| *c).map(|(n, _)| *n).collect();
        if !names.is_empty() {
            return Err(format!("{}: a change needs a restart", names.join(", ")));
        }
        Ok(new.reservations.clone())
    }

    /// The budgets in the decision modules' terms, numbered in the file's order.
    #[must_use]
    pub fn budgets(&self) -> Vec<Budget> {
        let budget = |(id, b): (u16, &BudgetSettings)| Budget {
            id: BudgetId(id),
            name: b.name.clone(),
            spending: match b.spend {
                Spend::SetUps => Spending::SetUps,
                Spend::SecondAttempts => Spending::SecondAttempts,
                Spend::Dials => Spending::Dials,
            },
            server: b.server.clone(),
            site: b.site.clone(),
            class: b.class.clone(),
            number_prefix: None,
            per_s: b.per_s,
            // A quarter of a second's worth unless the file says otherwise.
            burst: b.burst.unwrap_or(b.per_s / 4.0),
            floor: b.floor,
        };
        (0..).zip(&self.budgets).map(budget).collect()
    }

    /// What holds whatever the fleet's size.
    fn check(&self) -> Result<(), String> {
        let mut keepers = self.keepers.clone();
        keepers.sort_unstable();
        keepers.dedup();
        if keepers.len() != self.keepers.len() || !matches!(keepers.len(), 3 | 5) {
            return Err("keepers: three or five different instances are wanted".to_owned());
        }
        let ranges = [
            ("lease_ms", self.lease_ms, 300.0, 60_000.0),
            ("round_ms", self.round_ms, 100.0, 10_000.0),
            ("drift", self.drift, 0.0, 0.05),
        ];
        if let Some((name, value, least, most)) =
            ranges.into_iter().find(|(_, value, least, most)| !(*least..=*most).contains(value))
        {
            return Err(format!("{name} is {value}: {least} to {most} is wanted"));
        }
        if self.lease_ms < 3.0 * self.round_ms {
            return Err("lease_ms: at least three rounds (round_ms) are wanted".to_owned());
        }
        if let Some(gather) = &self.gather {
            gather.check()?;
        }
        if let Some(reservations) = &self.reservations {
            reservations.check().map_err(|why| format!("reservations: {why}"))?;
        }
        if self.budgets.is_empty() || self.budgets.len() >= usize::from(BudgetId::LIVE) {
            return Err("budgets: at least one is wanted".to_owned());
        }
        for (i, b) in self.budgets.iter().enumerate() {
            if b.name.is_empty() || self.budgets[..i].iter().any(|other| other.name == b.name) {
                return Err(format!("budgets: a name of its own is wanted, not '{}'", b.name));
            }
            let rate = |value: f64| value.is_finite() && (0.0..=1e9).contains(&value);
            if !rate(b.per_s) || !b.burst.is_none_or(rate) || !(0.0..=1.0).contains(&b.floor) {
                return Err(format!(
                    "budget {}: per_s and burst of 0 or more, floor of 0 to 1 are wanted",
                    b.name
                ));
            }
            if b.spend == Spend::Dials && b.class.is_some() {
                return Err(format!("budget {}: dials are of no class", b.name));
            }
        }
        Ok(())
    }

    /// Whether it fits a fleet of so many instances.
    ///
    /// # Errors
    /// A keeper is none of them.
    pub fn check_fleet(&self, members: u16) -> Result<(), String> {
        match self.keepers.iter().find(|&&k| k >= members) {
            Some(k) => Err(format!("keepers: there is no instance {k} among {members}")),
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_shipped_file_reads_and_says_what_it_says() {
        let settings = ControlSettings::parse(include_str!("../../deploy/control.yaml")).unwrap();
        assert_eq!(
            (settings.keepers.as_slice(), settings.lease_ms, settings.round_ms),
            (&[0, 1, 2][..], 3000.0, 500.0)
        );
        assert!(settings.check_fleet(3).is_ok() && settings.check_fleet(2).is_err());
        assert!(settings.budgets().iter().any(|b| b.spending == Spending::SetUps && b.per_s > 0.0));
    }

    #[test]
    fn reservations_alone_may_change_without_a_restart() {
        let file = |more: &str| {
            let text = format!("budgets: [{{name: a, spend: set_ups, per_s: 10}}]\n{more}");
            ControlSettings::parse(&text).unwrap()
        };
        let booked = |share: f64, more: &str| {
            let sites = format!("sites: [{{name: aarhus, per_s: 9, share: {share}}}]");
            let teams = "teams: [{name: b, per_s: 9, week_set_ups: 9000}]";
            file(&format!("reservations: {{{sites}, {teams}{more}}}\n"))
        };
        let old = booked(0.5, "");
        assert_eq!(old.reread(&booked(0.6, "")), Ok(booked(0.6, "").reservations));
        assert_eq!(file("").reread(&file("")), Ok(None));
        for (new, named) in [
            (file(""), "reservations"),
            (booked(0.5, ", folder: /tmp/x"), "reservations.folder"),
            (ControlSettings { keepers: vec![1, 2, 3], ..old.clone() }, "keepers"),
            (ControlSettings { lease_ms: 4000.0, drift: 0.01, ..old.clone() }, "lease_ms, drift"),
            (ControlSettings { budgets: Vec::new(), ..old.clone() }, "budgets"),
        ] {
            assert_eq!(old.reread(&new), Err(format!("{named}: a change needs a restart")));
        }
    }

    #[test]
    fn what_does_not_fit_is_refused() {
        let one = "budgets: [{name: a, spend: set_ups, per_s: 10}]\n";
        assert!(ControlSettings::parse(one).is_ok());
        for wrong in [
            "budgets: []\n".to_owned(),
            format!("{one}leese_ms: 3000\n"),
            format!("{one}keepers: [0, 1]\n"),
            format!("{one}keepers: [0, 1, 1]\n"),
            format!("{one}lease_ms: 600\nround_ms: 300\n"),
            format!("{one}key: 00112233\n"),
            format!("{one}key: \"00112233445566778899aabbccddeefg\"\n"),
            one.replace("10", "-1"),
            one.replace("10", ".nan"),
            one.replace("per_s: 10", "per_s: 10, floor: 2"),
            "budgets: [{name: a, spend: dials, class: voice, per_s: 10}]\n".to_owned(),
            "budgets: [{name: a, spend: dials, per_s: 1}, {name: a, spend: set_ups, per_s: 10}]\n".to_owned(),
        ] {
            assert!(ControlSettings::parse(&wrong).is_err(), "{wrong}");
        }
    }
}
