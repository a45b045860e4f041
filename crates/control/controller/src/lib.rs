//! The control plane of the tier: holds the configuration, the runners, the dispatchers and the
//! placement of batch partitions on stores. Runners and operators call it (`ctl`); the other
//! processes follow its replicated state table down a tree of relays.
//!
//! [`core::ControllerCore`] is all of it without sockets, disk and clock; [`run`] puts it into a
//! process.

pub mod bootstrap;
pub mod call;
pub mod control_state;
pub mod core;
pub mod ctl;
pub mod dispatchers;
mod event_loop;
pub mod frame_kind;
pub mod heartbeat;
pub mod heartbeat_homes;
pub mod journal;
pub mod peers;
pub mod placement;
mod program;
mod rejections;
pub mod run_record_message;
pub mod startup;
mod status;
mod time;
pub mod version_rollout;

pub use program::run;
pub use time::Time;
