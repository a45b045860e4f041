//! Entries of the replicated state table that processes of several kinds read, and the kinds of the
//! frames that carry the table.
//!
//! Owns the encoding of these entries and nothing else: no I/O, no clock, no table. Decoding never
//! panics and allocates no more than the input announces within the stated bounds.

mod address;
mod dispatcher;
mod encoding;
mod error;
mod version_rollout;

pub use address::{decode_addresses, encode_addresses, Address, MAX_ADDRESSES};
pub use dispatcher::{Dispatcher, MAX_ZONE_BYTES};
pub use error::DecodeError;
pub use version_rollout::{
    rollout_key, runner_hash, AnswerCounts, RolloutEntry, RolloutReport, RolloutState, RouteReport,
    FULL_SHARE, MAX_REPORTED_ROUTES, ROLLOUT_KEY_PREFIX, ROLLOUT_LEASE_MS, ROLLOUT_RENEWAL_MS,
    ROLLOUT_REPORT, ROLLOUT_REPORT_INTERVAL_MS,
};

/// Kind of the frame with which a dispatcher announces itself to one controller. Its body is empty:
/// the connection's hello tells who the dispatcher is.
pub const HELLO: u16 = 0x0105;
/// Kind of the frames of the relay tree.
pub const RELAY: u16 = 0x0201;
/// How often a dispatcher announces itself, in milliseconds.
pub const HELLO_INTERVAL_MS: u64 = 1_000;
/// Key of the entry that lists the controllers' peer addresses, head of the chain first.
pub const CONTROLLERS_KEY: &str = "controllers";
/// What the keys of dispatchers' entries begin with; the dispatcher's node name follows.
pub const DISPATCHER_KEY_PREFIX: &str = "node/";
