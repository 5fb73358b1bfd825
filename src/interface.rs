//! The module's interface: plain types for settings, events and actions.
//!
//! Times are milliseconds on one clock that only advances; its zero is arbitrary.

/// A call, as the host numbers it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A core server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// A class of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Class {
    /// A call set up within this time earns its full worth.
    pub target_ms: f64,
    /// How long a caller persists, from the first try.
    pub deadline_ms: f64,
    pub worth: f64,
    /// Share of the worth earned between target and deadline.
    pub late_worth: f64,
}

/// A customer with a share of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Customer {
    /// Calls a second within its share, over all senders.
    pub quota_per_s: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reporting {
    #[default]
    None,
    /// In the outcomes of attempts, and in probe answers.
    Answers,
    /// In probe answers alone.
    Probes,
}

/// What a sender is told at start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Senders in this tier, this one included; 1 where the number is not known.
    pub siblings: u32,
    pub classes: Vec<Class>,
    /// By class, the places that its calls may not go to; a class beyond the end may go anywhere.
    pub barred_places: Vec<Vec<u32>>,
    pub customers: Vec<Customer>,
    /// Worth of a call beyond its customer's share, as a share of its class's worth.
    pub over_share_worth: f64,
    pub reporting: Reporting,
    pub may_probe: bool,
    pub may_cancel: bool,
    pub may_tell: bool,
    /// The longest advice to stay away that callers heed; 0: none may be given.
    pub stay_away_max_ms: f64,
    /// Attempts a call may have in all.
    pub max_attempts: u32,
    /// No further attempt within this time of a timeout, reset or cancellation.
    pub guard_ms: f64,
    /// A set-up that waits at a server is repeated after this, then at doubling gaps; 0: never.
    pub resend_ms: f64,
    /// A cold server starts at this share of its capacity or above, and is warm after `cold_ms`.
    pub cold_from: f64,
    pub cold_ms: f64,
    /// More than this multiple of its present capacity for `fall_ms` pushes a cold server over.
    pub fall_multiple: f64,
    pub fall_ms: f64,
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listed {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One server in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerEntry {
    pub id: ServerId,
    /// Number by which calls name their first choice.
    pub place: u32,
    pub state: Listed,
    /// Most recent start; `None`: long ago.
    pub started_at: Option<f64>,
}

/// A server's figures: free lines as they were when told, the rest of its processor, late and noisy; each is
/// absent where the site has none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Lines on which it can still take calls, and lines in all.
    pub free_lines: Option<f64>,
    pub lines: Option<f64>,
    /// Set-ups waiting.
    pub queue: Option<f64>,
    /// Share of the processor occupied.
    pub utilisation: Option<f64>,
    /// Wait at the processor.
    pub wait_ms: Option<f64>,
    /// New set-ups a second that it can take from all senders.
    pub can_take: Option<f64>,
    /// Share of new set-ups it asks each sender to hold back.
    pub hold_back: Option<f64>,
}

/// A call handed to this sender, which now owes it one final answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Call {
    pub id: CallId,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Index into [`Settings::customers`].
    pub customer: usize,
    /// Time until the caller abandons this try.
    pub expires_in_ms: f64,
    /// Place of the server of first choice.
    pub first_choice: Option<u32>,
    /// The number called: a redial calls the same one.
    pub number: Option<u64>,
    /// It is dialled again, where callers mark that.
    pub redial: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The call stood and has ended.
    Completed,
    /// A fault, or the number called is busy.
    Fault,
    /// The server's processor turned it away, and may have told a wait.
    ProcessorFull {
        wait_ms: Option<f64>,
    },
    /// No line was free.
    NoLine,
    TimedOut,
    NotConnected,
    /// The set-up or the standing call was cut.
    Reset,
    Cancelled,
    /// It was never sent.
    NotSent,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// With a report.
    Answered,
    /// At once, without one: the server had no room for it.
    TurnedAway,
    /// Not in time, or not at all.
    Failed,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list: all of it, or the entries that changed.
    Servers { complete: bool, entries: Vec<ServerEntry> },
    /// A call has been handed to this sender.
    Call(Call),
    /// The caller left, or its time ran out.
    CallerLeft(CallId),
    /// An attempt of this call was given up at this server, which may not know yet: no further one goes there.
    Barred { call: CallId, server: ServerId },
    /// The server knows: the call may go there again.
    Unbarred { call: CallId, server: ServerId },
    /// The call stands.
    Standing { call: CallId, server: ServerId, after_ms: f64 },
    /// An attempt ended. `closed`: the call needs no further answer.
    Ended { call: CallId, server: ServerId, outcome: Outcome, closed: bool, report: LoadReport },
    /// A server's free lines, told unasked; the other figures are absent.
    Lines { server: ServerId, report: LoadReport },
    /// A probe ended.
    Probed { server: ServerId, outcome: ProbeOutcome, report: LoadReport },
    /// A sibling tells what it heard of a server.
    Told { server: ServerId, report: LoadReport },
    /// A timer set by [`Action::Timer`] fell due.
    Timer(u64),
    /// The settings changed, but for the classes' order; all else goes on.
    Settings(Settings),
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin a set-up; `timeout_ms` 0 waits until the caller gives up.
    Send {
        call: CallId,
        server: ServerId,
        timeout_ms: f64,
    },
    /// Call off the attempt with this number (from 0, in the order sent).
    Cancel {
        call: CallId,
        attempt: u32,
    },
    /// Final answer: turned away. `stay_away_ms` 0 gives no advice.
    Refuse {
        call: CallId,
        stay_away_ms: f64,
    },
    /// Final answer: it failed.
    Fail(CallId),
    Probe(ServerId),
    /// Tell every sibling what was heard of a server; free lines are left out.
    TellAll {
        server: ServerId,
        report: LoadReport,
    },
    /// Hand back [`Event::Timer`] at this time.
    Timer {
        at: f64,
        token: u64,
    },
    /// A line for the operators.
    Log(String),
}
