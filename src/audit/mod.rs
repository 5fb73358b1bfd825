//! The audit record: what a border controller decided, call by call, and on which version, in an append-only log of its
//! own. Off unless the operator's file (`--audit`, `deploy/audit.yaml`) names a folder for it.
//!
//! `record` has the entries, `log` writes and reads the files, `settings` the operator's file. The reducer asks for
//! records as effects, before the effects that they tell of; the driver writes them before it performs any of those.

mod log;
mod record;
mod settings;

pub use log::{Read, Writer, read, read_folder};
pub use record::{Decision, Entry, Record};
pub use settings::AuditSettings;
