//! The operator's file of sites (`deploy/sites.yaml`), YAML; unknown keys are an error. It is read at the start.

use serde::Deserialize;
use std::path::Path;

/// The whole file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SiteSettings {
    /// The sites, in the order in which their claims are served when several are lost.
    pub sites: Vec<SiteEntry>,
    /// When a site counts as lost.
    #[serde(default)]
    pub loss: LossSettings,
    /// How it comes back.
    #[serde(default, rename = "return")]
    pub back: ReturnSettings,
    /// What callers are told whose calls are refused for want of room.
    #[serde(default)]
    pub refusal: RefusalSettings,
}

/// One site.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SiteEntry {
    /// Its name, in the log and the figures.
    pub name: String,
    /// Names of its call servers in the list; a `*` at the end stands for any ending.
    #[serde(default)]
    pub servers: Vec<String>,
    /// Or the zones of the list whose call servers stand here.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Set-ups a second that it usually gets from the whole fleet; absent: this process's own, times the fleet.
    #[serde(default)]
    pub usual_per_s: Option<f64>,
    /// Set-ups a second that it may take beyond its own; absent: as its load reports tell.
    #[serde(default)]
    pub spare_per_s: Option<f64>,
    /// Where its load goes once it is lost, in tiers: what a tier has no room for goes to the next. Absent: all other
    /// sites, as one tier.
    #[serde(default)]
    pub fallback: Vec<Vec<String>>,
}

/// When a site counts as lost.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct LossSettings {
    /// Share of its listed call servers that are down or draining, above 0 to 1.
    pub quorum: f64,
    /// For so long, ms.
    pub after_ms: f64,
    /// A call server is down once a set-up went there and it has said nothing for so long, ms.
    pub silent_ms: f64,
}

impl Default for LossSettings {
    fn default() -> Self {
        LossSettings { quorum: 1.0, after_ms: 1000.0, silent_ms: 1500.0 }
    }
}

/// How a site comes back.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ReturnSettings {
    /// Share of its listed call servers that are up and don't drain, above 0 to 1.
    pub quorum: f64,
    /// For so long before its return begins, ms.
    pub after_ms: f64,
    /// Times as long after each relapse, up to `after_max_ms`.
    pub relapse_factor: f64,
    /// See `relapse_factor`, ms.
    pub after_max_ms: f64,
    /// Share of its load that it gets first, 0 to 1.
    pub from: f64,
    /// It has its full share after this, ms, unless its load reports hold it back.
    pub ramp_ms: f64,
    /// While a call server there reports a longer wait, the share falls instead of rising, ms.
    pub wait_ms: f64,
}

impl Default for ReturnSettings {
    fn default() -> Self {
        ReturnSettings {
            quorum: 0.5,
            after_ms: 1000.0,
            relapse_factor: 2.0,
            after_max_ms: 60_000.0,
            from: 0.3,
            ramp_ms: 15_000.0,
            wait_ms: 300.0,
        }
    }
}

/// What callers are told.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct RefusalSettings {
    /// Advice to stay away, no longer than the settings let callers heed, ms.
    pub stay_away_ms: f64,
    /// Window over which rates and the mix of worths are taken, ms.
    pub window_ms: f64,
    /// Part of what a site's call servers say they can take that the plan fills, above 0 to 1.
    pub fill: f64,
    /// The plan refuses less and less while no call server reports a wait this long: others may not have lost the
    /// site, and then there is more room than it reckons with, ms.
    pub calm_ms: f64,
}

impl Default for RefusalSettings {
    fn default() -> Self {
        RefusalSettings { stay_away_ms: 2000.0, window_ms: 5000.0, fill: 1.0, calm_ms: 100.0 }
    }
}

/// The plan fills no more than this many times what the call servers say they can take.
const FILL_MOST: f64 = 2.0;

impl SiteSettings {
    /// Reads a file's text.
    ///
    /// # Errors
    /// It says what is wrong and where.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: SiteSettings = serde_yaml_ng::from_str(text).map_err(|e| e.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    /// As [`SiteSettings::parse`], with the file's name.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// The place of a site by its name.
    #[must_use]
    pub fn place(&self, name: &str) -> Option<usize> {
        self.sites.iter().position(|s| s.name == name)
    }

    /// The tiers of a site's fallback, as places of sites.
    #[must_use]
    pub fn tiers(&self, site: usize) -> Vec<Vec<usize>> {
        let Some(entry) = self.sites.get(site) else { return Vec::new() };
        if entry.fallback.is_empty() {
            return vec![(0..self.sites.len()).filter(|&other| other != site).collect()];
        }
        let tier = |names: &Vec<String>| names.iter().filter_map(|name| self.place(name)).collect();
        entry.fallback.iter().map(tier).collect()
    }

    /// The site at which a call server stands.
    #[must_use]
    pub fn site_of(&self, name: &str, zone: Option<&str>) -> Option<usize> {
        let named = |pattern: &String| match pattern.strip_suffix('*') {
            Some(start) => name.starts_with(start),
            None => name == pattern,
        };
        let stands = |s: &SiteEntry| {
            s.servers.iter().any(named) || zone.is_some_and(|zone| s.zones.iter().any(|z| z == zone))
        };
        self.sites.iter().position(stands)
    }

    fn check(&self) -> Result<(), String> {
        if self.sites.len() < 2 {
            return Err("sites: two at least are wanted, or there is nowhere to go".into());
        }
        for (i, site) in self.sites.iter().enumerate() {
            let name = &site.name;
            if self.sites[..i].iter().any(|other| &other.name == name) {
                return Err(format!("site {name} is there twice"));
            }
            if site.servers.is_empty() && site.zones.is_empty() {
                return Err(format!("site {name}: neither servers nor zones"));
            }
            for other in site.fallback.iter().flatten() {
                if other == name || self.place(other).is_none() {
                    return Err(format!("site {name}: fallback {other} is no other site"));
                }
            }
            let figures = [("usual_per_s", site.usual_per_s), ("spare_per_s", site.spare_per_s)];
            if let Some((key, _)) = figures.iter().find(|(_, v)| v.is_some_and(|v| !v.is_finite() || v < 0.0))
            {
                return Err(format!("site {name}: {key}: a finite figure of 0 or more is wanted"));
            }
        }
        let (loss, back, refusal) = (&self.loss, &self.back, &self.refusal);
        let times = [
            ("loss.after_ms", loss.after_ms),
            ("loss.silent_ms", loss.silent_ms),
            ("return.after_ms", back.after_ms),
            ("return.after_max_ms", back.after_max_ms),
            ("return.relapse_factor", back.relapse_factor),
            ("return.ramp_ms", back.ramp_ms),
            ("return.wait_ms", back.wait_ms),
            ("refusal.stay_away_ms", refusal.stay_away_ms),
            ("refusal.calm_ms", refusal.calm_ms),
            ("refusal.window_ms", refusal.window_ms),
        ];
        if let Some((key, value)) = times.iter().find(|(_, v)| !v.is_finite() || *v < 0.0) {
            return Err(format!("{key} is {value}: a finite figure of 0 or more is wanted"));
        }
        let shares = [
            ("loss.quorum", loss.quorum),
            ("return.quorum", back.quorum),
            ("refusal.fill", refusal.fill / FILL_MOST),
        ];
        if let Some((key, value)) = shares.iter().find(|(_, v)| !(*v > 0.0 && *v <= 1.0)) {
            return Err(format!("{key} is {value}: a share above 0 and up to 1 is wanted"));
        }
        if !(0.0..=1.0).contains(&back.from) {
            return Err(format!("return.from is {}: a share from 0 to 1 is wanted", back.from));
        }
        if back.quorum + loss.quorum <= 1.0 {
            return Err(
                "return.quorum and loss.quorum: more than 1 together is wanted, or a site swings".into()
            );
        }
        if back.relapse_factor < 1.0 || refusal.window_ms < 500.0 {
            return Err(
                "return.relapse_factor of 1 or more and refusal.window_ms of 500 or more are wanted".into()
            );
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TWO: &str = "sites:\n- {name: a, servers: [s-a*]}\n- {name: b, zones: [east]}\n";

    #[test]
    fn the_shipped_file_reads_and_sites_are_found_by_name_and_zone() {
        let shipped = SiteSettings::parse(include_str!("../../deploy/sites.yaml")).unwrap();
        assert_eq!(shipped.loss, LossSettings::default());
        assert_eq!(shipped.back, ReturnSettings::default());
        assert_eq!(shipped.refusal, RefusalSettings::default());
        let two = SiteSettings::parse(TWO).unwrap();
        assert_eq!(two.site_of("s-a7", None), Some(0));
        assert_eq!(two.site_of("s-x", Some("east")), Some(1));
        assert_eq!(two.site_of("s-x", Some("west")), None);
        assert_eq!(two.tiers(0), vec![vec![1]]);
    }

    #[test]
    fn what_can_not_be_followed_is_refused() {
        let complaint = |more: &str| SiteSettings::parse(&format!("{TWO}{more}")).unwrap_err();
        assert!(complaint("- {name: a, servers: [x]}\n").contains("twice"));
        assert!(complaint("- {name: c, servers: [x], fallback: [[d]]}\n").contains("fallback d"));
        assert!(complaint("- {name: c}\n").contains("neither"));
        assert!(complaint("return: {from: 2}\n").contains("return.from"));
        assert!(complaint("loss: {quorum: 0.4}\nreturn: {quorum: 0.5}\n").contains("swings"));
        assert!(complaint("loss: {quorom: 0.4}\n").contains("quorom"));
        assert!(SiteSettings::parse("sites: [{name: a, servers: [x]}]").unwrap_err().contains("two"));
    }
}
