//! The entries of the ordered log of booking operations.

use super::book::Op;
use crate::terms::Epoch;
use serde::{Deserialize, Serialize};

/// A place in the log: of two, the one with the higher epoch is further, then the one with the higher index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark {
    pub epoch: Epoch,
    /// Entries before it and with it.
    pub index: u64,
}

/// An operation in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The mastership under which it was taken.
    pub epoch: Epoch,
    pub op: Op,
}
