//! Why the program closes a connection to a call server, as the log says it.

use std::fmt;

/// Why a connection to a call server is closed from here.
#[derive(Clone, Copy, Debug)]
pub(super) enum CloseReason {
    /// Others heard the server's state, this one did not.
    MissedState,
    /// Set-ups sent later on other connections were answered sooner.
    Overtaken,
    /// What concerned a call of this connection came on another.
    PassedOver,
    /// Quiet for longest where there are many.
    Quiet,
    /// Another one is to show whether the server lives, and there is room for no more.
    MakesRoom,
    /// The server is silent and takes no new connection.
    Unreachable,
    /// The server has been silent for so long that its calls count as cut.
    Vanished,
    /// The list gives the server another address.
    AddressChanged,
    /// The list no longer names the server.
    Delisted,
    /// The program ends.
    Leaving,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            CloseReason::MissedState => "it missed a state that others heard",
            CloseReason::Overtaken => "it carries nothing more: others overtake it",
            CloseReason::PassedOver => "its calls are told of on others",
            CloseReason::Quiet => "it has been quiet for longest",
            CloseReason::MakesRoom => "another one is to show whether the server lives",
            CloseReason::Unreachable => "the server is silent and takes no new connection",
            CloseReason::Vanished => "the server has vanished",
            CloseReason::AddressChanged => "the server has another address",
            CloseReason::Delisted => "the server is no longer listed",
            CloseReason::Leaving => "the program ends",
        })
    }
}
