//! A write-ahead log in preallocated segments that are used in a circle.
//!
//! Records get rising log sequence numbers (LSN). A thread of its own writes all queued records
//! with one write and one `fdatasync` and publishes the LSN up to which everything is durable.
//! Segments whose records are all released are used again. After a crash a torn write at the end is
//! cut off; corruption of what had been synced is an error. The format is described in
//! `docs/disk-files.md`.

mod error;
pub mod format;
mod health;
mod limits;
mod log;
mod monitor;
mod open;
mod options;
mod placement;
mod record;
mod recovery;
mod segments;
mod shared;
mod storage;
mod writer;

pub use error::{Corruption, LogError};
pub use health::{DiskHealth, DiskStatus, STALL_TIMEOUT_MS, WRITE_FAILURE_TIMEOUT_MS};
pub use limits::{MAX_QUEUED_BYTES, MAX_QUEUED_RECORDS, MIN_SEGMENTS, MIN_SEGMENT_BYTES};
pub use log::WriteAheadLog;
pub use monitor::{Monitor, StdMonitor};
pub use open::{
    open, open_each, open_for, owner_id, prepare, prepare_each, prepare_for, OpenedLog, PreparedLog,
};
pub use options::{OpenAs, Options};
pub use record::{Lsn, Record};
pub use shared::SharedState;
pub use storage::{LogDirectory, SegmentFile, Storage, StorageFile};
pub use writer::Writer;
