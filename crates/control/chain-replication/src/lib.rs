//! Chain replication of one state machine: order, acknowledgement, recovery. No I/O, no clock, no
//! randomness.
//!
//! After van Renesse and Schneider, "Chain replication for supporting high throughput and
//! availability" (OSDI 2004), with a log on disk. The head numbers commands and applies them at
//! once. Each member writes an entry and, once its own disk holds it, forwards it to its successor.
//! Once the tail's disk holds it, it is committed, and the acknowledgement travels back to the
//! head. The order of disk and network is in `docs/control-state.md`. The invariants, and what
//! upholds each:
//!
//! - *One history a view.* All entries of a view come from its head, whose log only grows, and
//!   nothing is forwarded before it is synced. So frames may be lost, doubled and reordered: each
//!   names the entry before its first by view and number, and two logs that agree on one entry
//!   agree on all before it (the log matching property of Raft).
//! - *No message crosses a view.* A member handles messages of its own view only, from its own
//!   neighbours only, and only if they are meant for its own identity.
//! - *Only a member that holds every acknowledged entry leads.* A member is *in sync* in a view
//!   once its disk holds all that the head held when the view began, and a record of that
//!   ([`LogRecord::InSync`]); before, it neither forwards nor acknowledges. A member with
//!   `in_sync_view >= since` holds everything that was ever acknowledged: nothing could be
//!   acknowledged without it since.

mod codec;
mod commit;
mod effect;
mod forwarding;
mod inspection;
mod limits;
mod log;
mod message;
mod next_view;
mod predecessor;
mod receiving;
mod record;
mod recovery;
mod replica;
mod snapshot_id;
mod snapshot_receiver;
mod snapshot_sender;
mod snapshot_sending;
mod state_machine;
mod status;
mod successor;
mod sync_queue;
mod time;
mod view;

pub use codec::{
    from_bytes, read_addr, read_bytes, to_bytes, write_addr, write_bytes, DecodeError,
};
pub use effect::Effect;
pub use limits::{
    BATCH_BYTES, CHUNKS_IN_FLIGHT, CHUNK_BYTES, MAX_COMMAND_BYTES, MAX_SNAPSHOT_BYTES,
    MAX_UNCOMMITTED_BYTES, WINDOW_BYTES,
};
pub use log::fair_log_limit;
pub use message::{
    Acknowledgement, AppendEntries, ChunkAcknowledgement, Entry, Message, MessageBody,
    SnapshotChunk,
};
pub use next_view::{
    next_view, remaining_members_recently_seen, Observation, MAX_JOINING, RECENT_CONTACT_MS,
};
pub use record::LogRecord;
pub use recovery::{LogEntry, PartialSnapshot, RecoveredLog, StateSnapshot};
pub use replica::Replica;
pub use snapshot_id::SnapshotId;
pub use state_machine::{SnapshotError, StateMachine};
pub use status::ReplicaStatus;
pub use time::Millis;
pub use view::{Member, View, MAX_MEMBERS};
