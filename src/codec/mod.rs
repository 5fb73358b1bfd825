//! Codecs: the fronts that are not the platform's own (the H.248-style text form), and peers' datagrams.

pub mod h248;
pub mod peers;
