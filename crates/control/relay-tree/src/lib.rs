//! How entries reach all processes of the tier, down a tree of relays; no I/O.
//!
//! A [`StateTable`] holds the newest entry of every key. State tables subscribe to one another: a gateway or a store follows one
//! parent, controllers follow each other. A change is pushed at once, a heartbeat tells the newest number and how old
//! what it says may be, and whoever misses something asks again from the last number that it has. The clock is the
//! caller's: milliseconds that never go back.

#![expect(
    clippy::missing_errors_doc,
    clippy::needless_pass_by_value,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    reason = "not revised yet"
)]

mod audit;
mod choose;
mod confirmed;
mod down;
mod entry;
mod state_table;
mod table;
mod tree;
mod up;
mod wire;

pub use confirmed::{Confirmed, Subscriber};
pub use entry::{Stamp, StateEntry, MAX_KEY, MAX_VALUE};
pub use state_table::{Follow, StateTable};
pub use table::{MAX_BYTES, MAX_FACTS, MAX_TOMBSTONES, TOMBSTONE_MS};
pub use tree::tree_parents;
pub use wire::{BadMessage, Msg, StateEntries, Subscribe};

/// Milliseconds on a steady clock.
pub type Ms = u64;

/// How often a subscription is repeated, and how often a subscriber gets a heartbeat.
pub const HEARTBEAT_MS: Ms = 250;
/// A parent that says nothing for this long is left.
pub const SILENT_MS: Ms = 700;
/// A parent whose knowledge may be older than this is left.
pub const STALE_MS: Ms = 1_500;
/// How long a parent is tried before it is given up.
pub const TRY_MS: Ms = 500;
/// A subscriber that says nothing for this long is forgotten.
pub const FORGET_MS: Ms = 1_500;
/// Most subscribers of one state table: far above the width of any tree, so it bounds memory only.
pub const MAX_SUBSCRIBERS: usize = 4_096;
/// Most parents that a list may name; the rest of a longer list is ignored.
pub const MAX_PARENTS: usize = 16;
/// Entries are sent in parts of at most about this size, so that heartbeats between them show a slow link alive.
pub const PART_BYTES: usize = 128 * 1024;
/// What may be on its way to one subscriber before it says that it has some: heartbeats wait behind it.
pub const WINDOW_BYTES: usize = 512 * 1024;
