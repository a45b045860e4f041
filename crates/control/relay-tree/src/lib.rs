//! Replication of control state to every process of the tier, down a tree of relays.
//!
//! A [`StateTable`] holds the newest entry of each key. Tables subscribe to one another: a gateway
//! or a store follows one parent, controllers follow each other. Changes are pushed at once;
//! heartbeats carry the newest sequence number and a bound on staleness, and a subscriber that
//! misses something asks again from the last number it has received. No I/O, clock or randomness:
//! the caller passes the time and carries the messages.

mod acknowledgement;
mod anti_entropy;
mod entry;
mod message;
mod parent;
mod parent_selection;
mod receive;
mod send;
mod state_table;
mod subscriber;
mod table;
mod topology;

pub use acknowledgement::{AckCounts, SubscriberStatus};
pub use entry::{Stamp, StateEntry, MAX_KEY_BYTES, MAX_VALUE_BYTES};
pub use message::{DecodeError, Message, Subscribe, Update, UpdateHeader};
pub use state_table::{Follow, Rejected, Role, StateTable};
pub use table::{MAX_ENTRIES, MAX_TABLE_BYTES, MAX_TOMBSTONES, TOMBSTONE_MS};
pub use topology::tree_parents;

/// Milliseconds on a steady clock that never goes back.
pub type Ms = u64;

/// Interval of a subscription's renewal and of the heartbeat to each subscriber.
pub const HEARTBEAT_MS: Ms = 250;
/// A parent that sends nothing for this long is left; must exceed two heartbeats.
pub const PARENT_TIMEOUT_MS: Ms = 700;
/// A parent whose state may be older than this is left.
pub const MAX_STALENESS_MS: Ms = 1_500;
/// How long a parent has to prove fresh before the next one is tried.
pub const PARENT_ATTEMPT_MS: Ms = 500;
/// A subscriber that sends nothing for this long is removed; must exceed several heartbeats.
pub const SUBSCRIBER_TIMEOUT_MS: Ms = 1_500;
/// Most subscribers of one table: far above the width of any tree, so that it bounds memory only.
pub const MAX_SUBSCRIBERS: usize = 4_096;
/// Most parents in a list; the rest of a longer list is ignored.
pub const MAX_PARENTS: usize = 16;
/// Target size of a chunk of entries, in bytes: heartbeats between chunks show that a slow link is
/// alive.
pub const CHUNK_BYTES: usize = 128 * 1024;
/// Most unacknowledged bytes in flight to one subscriber: heartbeats queue behind them.
pub const SEND_WINDOW_BYTES: usize = 512 * 1024;
