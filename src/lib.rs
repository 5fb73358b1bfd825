//! A border controller that says which call set-ups go to which central server.
//!
//! Each sender refuses first set-ups to a core server with a probability *b*, set by Berger's
//! percent-blocking formula from that server's late load reports, and kept by each sender for each
//! server. The decision module (`interface`, `policy`) does no I/O, reads no clock and starts no thread: the
//! host hands every event to
//! [`Controller::handle`] with the time at which it happened, and carries out the actions that come back.
//! The same events give the same actions.
//!
//! ```
//! use corkreach::{Action, Call, CallId, Class, Controller, Event, Listed, ServerEntry, ServerId, Settings};
//!
//! let settings = Settings {
//!     classes: vec![Class { target_ms: 1500.0, deadline_ms: 9000.0, worth: 1.0, late_worth: 0.25 }],
//!     max_attempts: 4,
//!     guard_ms: 300.0,
//!     ..Settings::default()
//! };
//! let mut controller = Controller::new(settings, 7, 0.0);
//! let mut actions = Vec::new();
//!
//! let server = ServerEntry { id: ServerId(1), place: 0, state: Listed::Ready, started_at: None };
//! controller.handle(0.0, Event::Servers { complete: true, entries: vec![server] }, &mut actions);
//!
//! let call = Call { id: CallId(42), class: 0, customer: 0, expires_in_ms: 3000.0, first_choice: Some(0), ..Call::default() };
//! controller.handle(5.0, Event::Call(call), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { call: CallId(42), server: ServerId(1), .. })));
//! ```

pub mod audit;
pub mod clock;
pub mod codec;
pub mod config;
pub mod control;
pub mod engine;
pub mod fleet_audit;
pub mod fronts;
pub mod gather;
pub mod interface;
pub mod lab;
pub mod limits;
pub mod logger;
pub mod net;
pub mod policy;
pub mod rate_limited_log;
pub mod recovery;
pub mod reservations;
pub mod settings;
pub mod shares;
pub mod terms;
pub mod version;
pub mod worth;

pub use interface::*;
pub use policy::Controller;
