//! Codecs: the fronts that are not the platform's own (the H.248-style text form), peers' datagrams, and what
//! the codecs share.

pub mod common;
pub mod h248;
pub mod peers;
pub mod unreadable;
