//! What callers, call servers and the name service saw in one trial; times are milliseconds since its start.

use std::collections::BTreeMap;

/// The number of a call.
pub type CallId = u64;

/// A caller's view of one set-up.
#[derive(Clone, Debug, Default)]
pub struct SetUp {
    pub node: usize,
    pub class: String,
    pub number: String,
    pub description: String,
    pub wait_ms: f64,
    /// When its last byte was written.
    pub sent_at: Option<f64>,
    /// The caller gave it up, or closed its connection, then.
    pub given_up_at: Option<f64>,
    pub finals: Vec<Final>,
    /// Its connection ended then, by no wish of the caller.
    pub connection_ended_at: Option<f64>,
    /// It crossed the end of its connection and went out a second time.
    pub resent: bool,
    /// The caller released the call that stood.
    pub released_at: Option<f64>,
    /// When the caller read that the call is over.
    pub release_read_at: Option<f64>,
}

/// An answer that ends a set-up.
#[derive(Clone, Debug)]
pub struct Final {
    pub at: f64,
    pub kind: FinalKind,
    pub stay_away_ms: Option<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FinalKind {
    Stands { description: String },
    Refused,
    Failed,
}

/// A call server's view of one attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub call: CallId,
    pub node: usize,
    /// The server's number of the connection that it came on.
    pub connection: u64,
    pub server: String,
    pub place: u32,
    pub arrived_at: f64,
    pub class: String,
    pub number: String,
    pub description: String,
    pub left_ms: f64,
    pub ended: Option<(f64, AttemptEnd)>,
    /// The server had started cold then, and takes that many set-ups a second once warm.
    pub cold_since: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    Answered,
    /// Full, moot or an error: no guard runs from it.
    Refused,
    /// The server reset it, the node released it or closed its connection, or the server died.
    Broken,
}

/// A call that stands, as its server sees it.
#[derive(Clone, Debug)]
pub struct Standing {
    pub call: CallId,
    pub server: String,
    /// What its answer gave.
    pub description: String,
    pub since: f64,
    pub ended: Option<(f64, StandingEnd)>,
    /// When its release was first written to a connection that carried it.
    pub release_written_at: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandingEnd {
    /// The call came to its end.
    Released,
    /// The node released it.
    ByNode,
    /// The server's process or machine is gone.
    Cut,
}

/// A change of the list of call servers.
#[derive(Clone, Debug)]
pub struct ListEvent {
    pub at: f64,
    pub server: String,
    pub change: ListChange,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListChange {
    Started,
    Draining,
    Gone,
}

/// A node was sent an answer that holds all events up to this one.
#[derive(Clone, Debug)]
pub struct ListTold {
    pub node: usize,
    pub at: f64,
    /// How many list events had happened by the time of the answer.
    pub events: usize,
}

/// The name service could not be reached by a node, or answered nothing that can be read.
#[derive(Clone, Debug)]
pub struct Outage {
    pub node: usize,
    pub from: f64,
    pub to: f64,
}

/// One process of a node.
#[derive(Clone, Debug)]
pub struct Process {
    pub node: usize,
    pub started_at: f64,
    pub ready_at: Option<f64>,
    /// SIGTERM was sent then.
    pub stopped_at: Option<f64>,
    /// SIGKILL was sent then.
    pub killed_at: Option<f64>,
    /// It ended then, and how.
    pub ended: Option<(f64, String)>,
    pub most_descriptors: usize,
    pub most_memory_mb: f64,
}

/// A new process took over from a node's old one, beside it.
#[derive(Clone, Debug)]
pub struct HandOver {
    pub node: usize,
    /// The new process was started then, and the old one ended.
    pub from: f64,
    pub to: f64,
}

/// A connection that a node opened to a call server.
#[derive(Clone, Debug)]
pub struct Link {
    pub node: usize,
    pub server: String,
    pub opened_at: f64,
    pub closed_at: Option<f64>,
}

/// A connection that a caller in good order opened to a node.
#[derive(Clone, Debug)]
pub struct CallerConnection {
    pub node: usize,
    pub opened_at: f64,
    pub closed_at: Option<f64>,
}

/// All of it.
#[derive(Debug, Default)]
pub struct Record {
    pub set_ups: BTreeMap<CallId, SetUp>,
    pub attempts: Vec<Attempt>,
    /// Descriptions that call servers gave in answers.
    pub given: BTreeMap<CallId, Vec<String>>,
    pub standing: Vec<Standing>,
    pub list: Vec<ListEvent>,
    pub told: Vec<ListTold>,
    pub outages: Vec<Outage>,
    pub processes: Vec<Process>,
    pub hand_overs: Vec<HandOver>,
    pub links: Vec<Link>,
    /// Nodes that tested a call server.
    pub tests: Vec<(usize, String)>,
    /// Bytes that no message begins with, or lines that are none: who read them, and what.
    pub unreadable: Vec<String>,
    pub caller_connections: Vec<CallerConnection>,
    /// The rig itself stood still: when, and for how long.
    pub stalls: Vec<(f64, f64)>,
    pub ended_at: f64,
}

impl Record {
    /// The attempts of each call in the order of their arrival.
    pub fn attempts_by_call(&self) -> BTreeMap<CallId, Vec<&Attempt>> {
        let mut by_call: BTreeMap<CallId, Vec<&Attempt>> = BTreeMap::new();
        for attempt in &self.attempts {
            by_call.entry(attempt.call).or_default().push(attempt);
        }
        by_call.values_mut().for_each(|a| a.sort_by(|x, y| x.arrived_at.total_cmp(&y.arrived_at)));
        by_call
    }

    /// Whether a hand-over of this node was under way then, or had been for so long before, ms.
    pub fn in_hand_over(&self, node: usize, at: f64, after_ms: f64) -> bool {
        self.hand_overs.iter().any(|h| h.node == node && (h.from..=h.to + after_ms).contains(&at))
    }

    /// The process of this node that ran then.
    pub fn process_at(&self, node: usize, at: f64) -> Option<&Process> {
        self.processes.iter().rfind(|p| p.node == node && p.started_at <= at)
    }
}
