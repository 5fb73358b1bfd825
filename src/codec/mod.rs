//! Codecs of the fronts that are not the platform's own: the H.248-style text form.

pub mod h248;
