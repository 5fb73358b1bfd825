//! Which of the messages that wait to be written to a call server still have to go out.

use super::servers::Order;
use crate::engine::ToServer;
use crate::interface::CallId;
use std::collections::{HashMap, HashSet};

/// The places in a batch of a set-up that is released later in the same batch, and of that release.
///
/// The connection stood still while they waited. The set-up was given up meanwhile, so it begins no attempt any more,
/// and what never went out needs no release.
pub fn given_up_unwritten(batch: &[Order]) -> HashSet<usize> {
    let mut unwritten: HashMap<CallId, usize> = HashMap::new();
    let mut given_up = HashSet::new();
    for (place, (message, _)) in batch.iter().enumerate() {
        match message {
            ToServer::SetUp { call, .. } => {
                unwritten.insert(*call, place);
            }
            ToServer::Release(call) => {
                if let Some(set_up) = unwritten.remove(call) {
                    given_up.extend([set_up, place]);
                }
            }
            ToServer::Heard(_) | ToServer::Test(_) => {}
        }
    }
    given_up
}
