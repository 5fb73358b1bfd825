//! What the reducer hears and asks for, in no protocol's words: each front has its own codec for these.

use crate::interface::{CallId, Listed, LoadReport, Settings};
use crate::settings::HostSettings;
use std::net::SocketAddr;

/// A connection from callers, as the driver numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerConn(pub u64);

/// A connection to a call server, as the reducer numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerConn(pub u64);

/// An operator's question, as the driver numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorConn(pub u64);

/// What operators ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorAsk {
    Ready,
    Figures,
    /// Drain: take nothing new, and let what is there come to its end.
    OutOfService,
    InService,
    /// What it is on, and how it stands.
    Status,
    /// Read the configuration again; the driver does it, and answers as to `Status`.
    Reload,
    /// As out of service, and set-ups are refused sooner: it acts on a version that it should not.
    ShutOut,
}

#[derive(Clone, Debug, PartialEq)]
pub enum OperatorAnswer {
    Ready(bool),
    Figures(Box<Figures>),
    Done,
    /// The engine's part of a status.
    Standing(Standing),
    /// The whole status.
    Status(Box<crate::version::Status>),
}

/// How the process stands, as the engine knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Work may come.
    pub ready: bool,
    /// An operator took it out of service, or shut it out.
    pub out_of_service: bool,
    /// Serial of the list that it follows.
    pub list: u32,
    /// Set-ups that wait for their answer, and calls that stand.
    pub in_progress: usize,
}

/// How set-ups of a class ended, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    pub stood: u64,
    pub refused: u64,
    pub failed: u64,
}

/// What operators are shown.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// By the classes' names.
    pub outcomes: Vec<(String, Outcomes)>,
    /// Attempts sent to call servers.
    pub tries: u64,
    /// Set-ups that wait for their answer, and calls that stand.
    pub in_progress: usize,
    /// Call servers on the list, and how many of them are avoided at present.
    pub known: usize,
    pub skipped: usize,
    /// What the fleet limits shed and let through, where they are on.
    pub limits: Option<crate::limits::Shed>,
    /// The sites, where there is a plan for their loss.
    pub recovery: Option<crate::recovery::RecoveryFigures>,
    /// This instance's parts of the fleet's budgets, where there are some.
    pub shares: Option<super::ShareFigures>,
    /// Messages between border controllers, where they are on.
    pub peers: Option<PeerFigures>,
    /// Probes of call servers, where they are allowed.
    pub probes: Option<ProbeFigures>,
}

/// A set-up as its caller sent it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SetUp {
    pub call: CallId,
    pub class: String,
    /// How long the caller waits for the answer.
    pub wait_ms: f64,
    pub redial: bool,
    pub number: Option<String>,
    /// Place of the call server of first choice.
    pub first_choice: Option<u32>,
    /// Lines that it takes.
    pub width: u32,
    pub description: String,
}

/// Why a message can't be taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Missing,
    Invalid,
    /// It is of no known type.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FromCaller {
    SetUp(SetUp),
    /// A message of which only the id could be read.
    Unreadable {
        call: CallId,
        fault: Fault,
    },
    /// The set-up is given up, or the standing call released.
    Release(CallId),
    /// A release of ours was heard.
    Heard(CallId),
    Test(CallId),
}

/// How a call that stood came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Release {
    Completed,
    Cut,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ToCaller {
    /// The call stands.
    Answer {
        call: CallId,
        description: String,
    },
    Refused {
        call: CallId,
        stay_away_ms: f64,
    },
    Failed(CallId),
    Unreadable {
        call: CallId,
        fault: Fault,
    },
    Released {
        call: CallId,
        how: Release,
    },
    /// A release was heard.
    Heard(CallId),
    Tested {
        call: CallId,
        passed: bool,
    },
    /// The set-up is still worked on: it asks nothing of its caller.
    Progress(CallId),
}

/// How a call server ended a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It came to its end.
    Normal,
    /// Full; `lines`: it was a line that lacked.
    Full {
        lines: bool,
        /// The wait at its processor, where it told one.
        waited_ms: Option<u32>,
    },
    Error,
    /// It never left.
    NotSent,
    /// It was cut, or the set-up broke on its way.
    Reset,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FromServer {
    /// The call stands; without a description nobody could be told so.
    Answer {
        call: CallId,
        description: Option<String>,
    },
    Ended {
        call: CallId,
        how: Ending,
        report: LoadReport,
    },
    State(LoadReport),
    /// A test was answered; `passed` with a report, else the call server had no room for it.
    Tested {
        test: CallId,
        passed: bool,
        report: LoadReport,
    },
    /// It means nothing but that the call server is there.
    Sign,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ToServer {
    SetUp {
        call: CallId,
        class: String,
        left_ms: u64,
        number: Option<String>,
        description: String,
    },
    Release(CallId),
    Heard(CallId),
    /// A test under this id, which is no call's.
    Test(CallId),
}

impl ToServer {
    pub fn call(&self) -> CallId {
        match self {
            ToServer::SetUp { call, .. } => *call,
            ToServer::Release(id) | ToServer::Heard(id) | ToServer::Test(id) => *id,
        }
    }
}

/// What one border controller tells the others of a call server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerReport {
    /// Unix millisecond of the sender's start: a later one is another process.
    pub born_ms: u64,
    /// How long after its start it was sent, ms.
    pub age_ms: u32,
    /// Counted from 1 by each sender.
    pub seq: u32,
    /// The call server's name in the list.
    pub server: String,
    /// Its processor's figures; free lines are each border controller's own.
    pub report: LoadReport,
}

/// Datagrams between border controllers, since the start: those sent, and those heard by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerFigures {
    /// Sent, and not sent: too many, too long, or not taken by the system.
    pub sent: u64,
    pub unsent: u64,
    /// Heard from a peer, and those whose word the module heard.
    pub heard: u64,
    pub taken: u64,
    /// Dropped: of no peer's address; beyond a peer's pace; of unknown kind; damaged; no room in the queue.
    pub stranger: u64,
    pub paced: u64,
    pub unknown: u64,
    pub damaged: u64,
    pub crowded: u64,
    /// Dropped: sent too long ago; doubled, overtaken or of an earlier process; of a call server not listed here.
    pub late: u64,
    pub old: u64,
    pub unlisted: u64,
    /// Kept, but no other voice bears it out yet.
    pub alone: u64,
}

/// Probes since the start: those sent, and how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProbeFigures {
    pub sent: u64,
    pub answered: u64,
    pub turned_away: u64,
    /// Not answered in time, or with no connection to send it on.
    pub failed: u64,
}

/// One call server in the name service's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    pub name: String,
    /// The zone in which it stands, where the list tells one.
    pub zone: Option<String>,
    pub addr: SocketAddr,
    pub place: u32,
    pub state: Listed,
    /// Unix millisecond of a late start.
    pub started_at: Option<f64>,
}

/// How a connection to a call server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// In order, or in a way that says nothing of the calls.
    Closed,
    /// Reset: the process died, or something broke on the way.
    Reset,
    /// Nothing listens there.
    Refused,
    /// It did not come up in time.
    TimedOut,
    /// Let go of from here: the call server may not have noticed, nor read what was written last.
    Abandoned,
}

/// The end of a call that has not reached its caller, as one process leaves it to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UndeliveredEnd {
    pub call: CallId,
    pub how: Release,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    CallerOpened(CallerConn),
    /// `read_at`: when it had come in, which may be well before its turn.
    Caller {
        conn: CallerConn,
        read_at: f64,
        message: FromCaller,
    },
    /// The caller had shut its side before the messages that follow were read: it may be gone.
    CallerShutEarly(CallerConn),
    /// The caller sends no more on it, but may still read.
    CallerEof(CallerConn),
    /// The caller has been in the middle of a message for too long; said again as long as it is.
    CallerStalled(CallerConn),
    /// `unsent`: what could not be written.
    CallerClosed {
        conn: CallerConn,
        unsent: Vec<ToCaller>,
    },
    ServerOpened(ServerConn),
    Server {
        conn: ServerConn,
        message: FromServer,
    },
    /// A release that the reducer wanted to know of has been written.
    Written {
        conn: ServerConn,
        call: CallId,
    },
    ServerLost {
        conn: ServerConn,
        how: Lost,
    },
    /// The name service's list, whole.
    List {
        serial: u32,
        servers: Vec<Listing>,
    },
    /// These ends were taken over by the exchange with other processes at this address.
    EndsPassedOn(Vec<UndeliveredEnd>),
    /// Ends came from that exchange. `own`: this process had given them there.
    EndsTaken {
        ends: Vec<UndeliveredEnd>,
        own: bool,
    },
    /// A process that served at this address before this one can be told of nothing any more, and has left these ends.
    PredecessorGone(Vec<UndeliveredEnd>),
    /// A timer may be due.
    Tick,
    /// A border controller, by its place among them, tells what it heard of a call server.
    Peer {
        from: u16,
        told: PeerReport,
    },
    /// The configuration was read again.
    Settings {
        settings: Settings,
        host: HostSettings,
    },
    /// An operator asks; one answer is owed.
    Operator {
        conn: OperatorConn,
        ask: OperatorAsk,
    },
    /// A planned stop. With a successor another process of this program serves at the same address already.
    Stop {
        successor: bool,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    ToCaller {
        conn: CallerConn,
        message: ToCaller,
    },
    CloseCaller(CallerConn),
    /// To be closed unless its caller has sent something more: the connection's task decides at the socket.
    CloseIdleCaller {
        conn: CallerConn,
        /// Messages from it that the engine has taken up: with more on their way the connection is not idle.
        heard: u64,
        /// Whether part of a message keeps it open as well as a whole one.
        keep_partial: bool,
    },
    /// No further connection is to be taken; those that wait to be taken up are.
    StopListening,
    Dial {
        conn: ServerConn,
        addr: SocketAddr,
        timeout_ms: f64,
    },
    /// `confirm`: a `Written` is wanted once it is.
    ToServer {
        conn: ServerConn,
        message: ToServer,
        confirm: bool,
    },
    /// Nothing more is written to it; it is read until the call server closes its side or it is abandoned.
    CloseServer(ServerConn),
    /// A connection that was closed is read no longer.
    AbandonServer(ServerConn),
    /// Call servers can tell this process of nothing any more, and these ends have reached no caller.
    ServersLeft(Vec<UndeliveredEnd>),
    /// These ends found no caller here: another process at this address may have callers. `EndsPassedOn` follows if there is one.
    PassOnEnds(Vec<UndeliveredEnd>),
    /// To every other border controller; it may be lost.
    ToPeers(PeerReport),
    /// To be written to the audit log before any effect beside it is carried out.
    Record(crate::audit::Record),
    ToOperator {
        conn: OperatorConn,
        answer: OperatorAnswer,
    },
    /// All that was taken is answered.
    Exit,
}
