//! What an operator says about gathers: part `gather:` of the control plane's file.

use serde::Deserialize;

/// Part `gather:`; unknown keys are refused. Without `rounds` the control plane's rounds have
/// [`Settings::rounds`]; without `jobs` a job of a booking has no deadline.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatherSettings {
    #[serde(default)]
    pub jobs: Option<Settings>,
    #[serde(default)]
    pub rounds: Option<Settings>,
}

impl GatherSettings {
    /// Err: one line that names the part and what is wrong with it.
    pub fn check(&self) -> Result<(), String> {
        for (name, part) in [("jobs", &self.jobs), ("rounds", &self.rounds)] {
            if let Some(settings) = part {
                settings.check().map_err(|why| format!("gather.{name}: {why}"))?;
            }
        }
        Ok(())
    }
}

/// How one kind of gather is weighed and learned.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The curve: points (share complete, worth), shares rising from 0 to 1, worth not falling, straight between
    /// the points.
    pub worth: Vec<(f64, f64)>,
    /// Below this share complete the result is worth nothing, 0 to 1.
    #[serde(default)]
    pub least_share: f64,
    /// What a second of waiting costs, in the curve's worth.
    pub price_per_s: f64,
    /// No gather is open longer, ms.
    pub cap_ms: f64,
    /// What is believed until answers have been seen.
    pub prior: Prior,
    /// Share of the gathers (0 to 0.5) that wait longer on purpose.
    #[serde(default = "explore_share")]
    pub explore_share: f64,
    /// What these may cost: a share (0 to 0.2) of the worth of all gathers of the key.
    #[serde(default = "explore_cost")]
    pub explore_cost: f64,
    /// A gather's weight in what is known of usual days halves in so many gathers of its key.
    #[serde(default = "half_life")]
    pub half_life: f64,
    /// The same for what is known of the last few; at most a quarter of `half_life`.
    #[serde(default = "recent_half_life")]
    pub recent_half_life: f64,
    /// So many gathers in a row must go otherwise than usual before that is the usual.
    #[serde(default = "confirm")]
    pub confirm: u32,
    /// The planned deadline of a key moves by at most this factor from one gather to the next, above 1.
    #[serde(default = "step")]
    pub step: f64,
    /// What has arrived in a gather moves its deadline by at most this factor from the planned one, at least 1.
    #[serde(default = "reach")]
    pub reach: f64,
    /// So many keys are remembered; beyond them the one that was not used for longest is forgotten.
    #[serde(default = "max_keys")]
    pub max_keys: usize,
}

/// A log-normal belief about an answer's time.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prior {
    /// Half of the answers come within, ms.
    pub median_ms: f64,
    /// Five in six answers come within the median times this, above 1.
    pub spread: f64,
    /// Share of the answers that never come, 0 to 0.5.
    #[serde(default = "never")]
    pub never: f64,
    /// How many seen answers it weighs as much as.
    #[serde(default = "prior_weight")]
    pub weight: f64,
}

fn explore_share() -> f64 {
    0.04
}
fn explore_cost() -> f64 {
    0.01
}
fn half_life() -> f64 {
    60.0
}
fn recent_half_life() -> f64 {
    6.0
}
fn confirm() -> u32 {
    12
}
fn step() -> f64 {
    1.5
}
fn reach() -> f64 {
    2.0
}
fn max_keys() -> usize {
    256
}
fn never() -> f64 {
    0.02
}
fn prior_weight() -> f64 {
    8.0
}

impl Settings {
    /// What holds for the control plane's rounds unless the operator says otherwise: every member's demand counts
    /// alike, half of them is the least, a round that is 100 ms late is worth a tenth less, 500 ms is the end.
    pub fn rounds() -> Self {
        Settings {
            worth: vec![(0.0, 0.0), (1.0, 1.0)],
            least_share: 0.5,
            price_per_s: 1.0,
            cap_ms: 500.0,
            prior: Prior { median_ms: 10.0, spread: 3.0, never: never(), weight: prior_weight() },
            explore_share: explore_share(),
            explore_cost: explore_cost(),
            half_life: half_life(),
            recent_half_life: recent_half_life(),
            confirm: confirm(),
            step: step(),
            reach: reach(),
            max_keys: max_keys(),
        }
    }

    /// Err: one line about the first key that won't do.
    pub fn check(&self) -> Result<(), String> {
        let within = |name: &str, value: f64, low: f64, high: f64| {
            let fits = value >= low && value <= high;
            if fits { Ok(()) } else { Err(format!("`{name}` must be {low} to {high}, is {value}")) }
        };
        let ends = (self.worth.first().map(|p| p.0), self.worth.last().map(|p| p.0));
        if self.worth.len() < 2 || ends != (Some(0.0), Some(1.0)) {
            return Err("`worth` needs points from share 0 to share 1".into());
        }
        if self.worth.iter().any(|p| !p.1.is_finite() || p.1 < 0.0) {
            return Err("`worth` has a worth below 0 or none".into());
        }
        if !self.worth.is_sorted_by(|a, b| a.0 < b.0 && a.1 <= b.1) {
            return Err("`worth` must rise in its shares and never fall in its worths".into());
        }
        within("least_share", self.least_share, 0.0, 1.0)?;
        within("price_per_s", self.price_per_s, 0.0, 1e9)?;
        within("cap_ms", self.cap_ms, 10.0, 7.0 * 86_400_000.0)?;
        within("prior.median_ms", self.prior.median_ms, self.cap_ms / 10_000.0, self.cap_ms)?;
        within("prior.spread", self.prior.spread, 1.05, 100.0)?;
        within("prior.never", self.prior.never, 0.0, 0.5)?;
        within("prior.weight", self.prior.weight, 0.1, 10_000.0)?;
        within("explore_share", self.explore_share, 0.0, 0.5)?;
        within("explore_cost", self.explore_cost, 0.0, 0.2)?;
        within("half_life", self.half_life, 4.0, 100_000.0)?;
        within("recent_half_life", self.recent_half_life, 1.0, self.half_life / 4.0)?;
        within("confirm", f64::from(self.confirm), 2.0, 10_000.0)?;
        within("step", self.step, 1.01, 10.0)?;
        within("reach", self.reach, 1.0, 100.0)?;
        within("max_keys", self.max_keys as f64, 1.0, 100_000.0)
    }
}
