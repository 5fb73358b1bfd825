//! What instances say to each other about jobs: totals and states, which may be said twice, late or not at all.

use crate::terms::Epoch;
use serde::{Deserialize, Serialize};

/// Lines of a datagram at most, the same for both kinds: the longest is then 213 bytes.
pub(super) const LINES: usize = 10;

/// What instances say to each other about jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Message {
    /// To the grantor: this process's counts, all told. `life` tells processes of one member apart.
    Counts { life: u64, lines: Vec<(u64, u32, u32)> },
    /// From the grantor of this epoch: how jobs stand.
    Stands { epoch: Epoch, lines: Vec<(u64, Told)> },
}

/// How a job stands, as the grantor tells it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Told {
    /// It began so long ago, ms.
    Running {
        age_ms: u32,
    },
    Whole,
    /// Its set-ups are refused for so long from now, ms.
    Cut {
        left_ms: u32,
    },
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::control::wire::BODY_MOST;

    #[test]
    fn the_longest_fits_a_datagram() {
        let counts = Message::Counts { life: u64::MAX, lines: vec![(u64::MAX, u32::MAX, u32::MAX); LINES] };
        let told = Told::Cut { left_ms: u32::MAX };
        let stands = Message::Stands { epoch: Epoch(u64::MAX), lines: vec![(u64::MAX, told); LINES] };
        for message in [counts, stands] {
            let bytes = postcard::to_allocvec(&crate::control::Body::Jobs(message)).unwrap();
            assert!(bytes.len() <= BODY_MOST, "{}", bytes.len());
        }
    }
}
