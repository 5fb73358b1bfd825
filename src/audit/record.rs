//! The entries of an audit log.

use crate::version::Version;
use serde::{Deserialize, Serialize};

/// What was decided of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Decision {
    /// It was taken up.
    Admitted {
        /// Its class.
        class: String,
    },
    /// Its first attempt went to this call server.
    Routed {
        /// Its name in the list.
        server: String,
    },
    /// A further one did.
    Retried {
        /// Its name in the list.
        server: String,
        /// Its number, from 1.
        attempt: u32,
    },
    /// Final answer: it stands.
    Answered {
        /// Where.
        server: String,
    },
    /// Final answer: it was turned away.
    Refused {
        /// The advice to stay away, ms; 0: none.
        stay_away_ms: u32,
    },
    /// Final answer: it failed.
    Failed,
    /// Its caller gave it up; no answer is owed.
    GivenUp,
    /// It stood, and is over.
    Released,
}

impl Decision {
    /// Whether it is a call's one final answer.
    #[must_use]
    pub fn is_final(&self) -> bool {
        matches!(self, Decision::Answered { .. } | Decision::Refused { .. } | Decision::Failed)
    }

    /// Its name in lists.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Decision::Admitted { .. } => "admitted",
            Decision::Routed { .. } => "routed",
            Decision::Retried { .. } => "retried",
            Decision::Answered { .. } => "answered",
            Decision::Refused { .. } => "refused",
            Decision::Failed => "failed",
            Decision::GivenUp => "given_up",
            Decision::Released => "released",
        }
    }
}

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Unix millisecond.
    pub at_ms: u64,
    /// The call.
    pub call: u64,
    /// What was decided.
    #[serde(flatten)]
    pub decision: Decision,
}

/// One entry of a file. Every file begins with the version in force, and a new one stands before the first decision taken
/// under it: all decisions up to the next version are of this one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "entry")]
pub enum Entry {
    /// What the decisions that follow were taken on.
    Version {
        /// Unix millisecond.
        at_ms: u64,
        /// The process.
        name: String,
        /// The serial of its list.
        list: u32,
        /// The version.
        version: Version,
    },
    /// A decision.
    Decision(Record),
}
