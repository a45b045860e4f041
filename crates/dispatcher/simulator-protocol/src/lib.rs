//! Translates between the simulator's protocol, one line of JSON in and one out, and
//! [`dispatch_api`]. Nothing is decided here.
//!
//! ```rust
//! use dispatch_api::{Action, Event, ListUpdateKind, WorkerEntry, WorkerStatus, WorkerId};
//! use simulator_protocol::Host;
//!
//! // The simulator's protocol: one line in, one line out. An empty batch gets an empty reply.
//! let reply = Host::default().answer(r#"{"sim-time-ms":1.0,"n":1,"dispatchers":[]}"#);
//! assert_eq!(reply.unwrap(), r#"{"n":1,"dispatchers":[]}"#);
//!
//! // The same types, without any protocol.
//! let listing = WorkerEntry { worker: WorkerId(0), status: WorkerStatus::Ready, ..WorkerEntry::default() };
//! let _event = Event::WorkersUpdated { kind: ListUpdateKind::Full, entries: vec![listing] };
//! let _action = Action::WatchWorkers;
//! ```

mod error;
mod host;
mod input;
mod instance;
mod output;
mod report;

pub use error::LineError;
pub use host::Host;
