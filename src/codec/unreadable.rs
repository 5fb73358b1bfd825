//! Why what a peer sent can't be read on: the typed error that codecs carry inside an [`io::Error`].

use std::error::Error;
use std::fmt;
use std::io;

/// Why the bytes of a connection can't be read on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// A message longer than the protocol allows.
    Oversized(String),
    /// A message that follows no rule of its protocol.
    Malformed(String),
    /// A message whose rest did not come.
    Half,
}

impl Unreadable {
    /// The cause that an error of a codec carries; none for a failure of the connection itself.
    #[must_use]
    pub fn in_error(error: &io::Error) -> Option<&Unreadable> {
        error.get_ref()?.downcast_ref()
    }
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unreadable::Oversized(text) | Unreadable::Malformed(text) => f.write_str(text),
            Unreadable::Half => f.write_str("half a message"),
        }
    }
}

impl Error for Unreadable {}

impl From<Unreadable> for io::Error {
    fn from(cause: Unreadable) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, cause)
    }
}

/// What a decoder gives at the end of its stream: the last message, and an error for bytes that make no whole one.
///
/// # Errors
/// [`Unreadable::Half`], if nothing was decoded and bytes are left.
pub fn at_end<T>(message: Option<T>, left: &[u8]) -> io::Result<Option<T>> {
    if message.is_none() && !left.is_empty() {
        return Err(Unreadable::Half.into());
    }
    Ok(message)
}
