//! A ring of preallocated files that records are appended to.
//!
//! Records get rising tickets; a thread of its own writes all that waits with one write and one sync, and says which
//! ticket is on disk. Files whose records are all released are used again. The files are described in
//! docs/disk-files.md.

#![expect(
    clippy::missing_errors_doc,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    reason = "not revised yet"
)]

mod disk;
mod error;
pub mod format;
mod monitor;
mod persistence;
mod place;
mod recover;
mod ring;
mod writer;

pub use disk::{Disk, DiskFile, Folder};
pub use error::DiskError;
pub use monitor::{Monitor, StdMonitor};
pub use persistence::{DiskState, Persistence, REFUSAL_BOUND, STALL_BOUND};
pub use ring::{
    holder, open, open_each, open_for, prepare, prepare_each, prepare_for, DiskRing, Opened,
    Options, Prepared, Record, Shared,
};
pub use writer::Writer;

/// The shortest files a ring may have: the reserves for the ring's own records must be small beside them.
pub const LEAST_FILE: u64 = 16 << 10;
/// Files that must be there in full before the ring counts as prepared: one to write to, and the next.
pub const LEAST_FILES: usize = 2;
/// Records that may wait for the disk, beside the bound in bytes: short ones cost memory too.
pub const MOST_QUEUED_RECORDS: usize = 32 << 10;
/// Bytes of records that may wait for the disk; at 120 MB/s this is an eighth of a second.
pub const MOST_QUEUED: u64 = 16 << 20;
