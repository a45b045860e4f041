//! Opening a log: recovery, the opening record, the thread.

use crate::error::LogError;
use crate::format::RecordType;
use crate::limits::{MIN_SEGMENTS, MIN_SEGMENT_BYTES};
use crate::log::WriteAheadLog;
use crate::monitor::{Monitor, StdMonitor};
use crate::options::{OpenAs, Options};
use crate::placement::watermark_record;
use crate::record::{Lsn, Record};
use crate::recovery::recover;
use crate::shared::SharedState;
use crate::storage::{LogDirectory, Storage};
use crate::writer::Writer;
use std::path::Path;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use tokio::sync::watch;

/// The stack of the log's thread, in bytes; its buffers are on the heap.
const STACK_BYTES: usize = 256 << 10;

/// An opened log with what was in it.
pub struct OpenedLog {
    /// The log.
    pub log: WriteAheadLog,
    /// What was appended and not released, with LSNs, in order.
    pub records: Vec<(Lsn, Record)>,
    /// The log's identity: the new one if there was no log.
    pub identity: u64,
    /// There was no log.
    pub is_new: bool,
    /// A torn write at the end was cut off.
    pub torn: bool,
}

/// A log whose thread doesn't run yet.
pub struct PreparedLog<S: Storage, M: Monitor<SharedState>> {
    /// The log.
    pub log: WriteAheadLog<M>,
    /// What its thread does.
    pub writer: Writer<S, M>,
    /// See [`OpenedLog::records`].
    pub records: Vec<(Lsn, Record)>,
    /// See [`OpenedLog::identity`].
    pub identity: u64,
    /// See [`OpenedLog::is_new`].
    pub is_new: bool,
    /// See [`OpenedLog::torn`].
    pub torn: bool,
}

/// The owner of a log as a number that is the same everywhere and never 0: a machine, and a role on
/// it (FNV-1a).
pub fn owner_id(node: &str, role: &str) -> u64 {
    let bytes = node.bytes().chain([0]).chain(role.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    hash.max(1)
}

/// Opens the log of a directory whoever its owner is; see [`open_for`].
///
/// # Errors
/// As [`open_for`].
pub fn open(dir: &Path, options: Options, new_identity: u64) -> Result<OpenedLog, LogError> {
    open_for(
        dir,
        options,
        OpenAs {
            new_identity,
            owner: 0,
        },
    )
}

/// Opens the log of a directory, or makes one. Blocks; for the start of a process only.
///
/// A log of another owner is refused and left as it is. A disk that can be read but not written to
/// is no error: the identity and the records are certain to be durable once
/// [`WriteAheadLog::synced_lsn`] is above 0, usually when this returns.
///
/// # Errors
/// The log can't be read, is corrupt, of a newer version or of another owner, or the options can't
/// be served.
pub fn open_for(dir: &Path, options: Options, open_as: OpenAs) -> Result<OpenedLog, LogError> {
    let mut records = Vec::new();
    let mut take = |lsn, record| records.push((lsn, record));
    let opened = open_each(dir, options, open_as, &mut take)?;
    Ok(OpenedLog { records, ..opened })
}

/// Does what [`open_for`] does, and hands each record to `take` instead of keeping them all:
/// `records` stays empty, and no more than two segments are in memory at a time.
///
/// # Errors
/// As [`open_for`]; what `take` was given before is void then.
pub fn open_each(
    dir: &Path,
    options: Options,
    open_as: OpenAs,
    take: &mut dyn FnMut(Lsn, Record),
) -> Result<OpenedLog, LogError> {
    let io = |source| LogError::Io {
        file: dir.display().to_string(),
        source,
    };
    let storage = LogDirectory::new(dir).map_err(io)?;
    let PreparedLog {
        mut log,
        writer,
        records,
        identity,
        is_new,
        torn,
    } = prepare_each::<_, StdMonitor<SharedState>>(storage, options, open_as, take)?;
    let thread = std::thread::Builder::new()
        .name("disk".into())
        .stack_size(STACK_BYTES);
    log.thread = Some(thread.spawn(move || writer.run()).map_err(io)?);
    Ok(OpenedLog {
        log,
        records,
        identity,
        is_new,
        torn,
    })
}

/// Does what [`open`] does on any storage, and leaves it to the caller to run the writer.
///
/// # Errors
/// As [`open_for`].
pub fn prepare<S: Storage, M: Monitor<SharedState>>(
    storage: S,
    options: Options,
    new_identity: u64,
) -> Result<PreparedLog<S, M>, LogError> {
    prepare_for(
        storage,
        options,
        OpenAs {
            new_identity,
            owner: 0,
        },
    )
}

/// Does what [`open_for`] does on any storage, and leaves it to the caller to run the writer.
///
/// # Errors
/// As [`open_for`].
pub fn prepare_for<S: Storage, M: Monitor<SharedState>>(
    storage: S,
    options: Options,
    open_as: OpenAs,
) -> Result<PreparedLog<S, M>, LogError> {
    let mut records = Vec::new();
    let mut take = |lsn, record| records.push((lsn, record));
    let prepared = prepare_each(storage, options, open_as, &mut take)?;
    Ok(PreparedLog {
        records,
        ..prepared
    })
}

/// Does what [`open_each`] does on any storage, and leaves it to the caller to run the writer.
///
/// # Errors
/// As [`open_each`].
pub fn prepare_each<S: Storage, M: Monitor<SharedState>>(
    storage: S,
    options: Options,
    open_as: OpenAs,
    take: &mut dyn FnMut(Lsn, Record),
) -> Result<PreparedLog<S, M>, LogError> {
    if options.segment_bytes < MIN_SEGMENT_BYTES || options.max_segments < MIN_SEGMENTS {
        return Err(LogError::InvalidOptions);
    }
    let mut recovered = recover(storage, options, open_as, take)?;
    let mut jobs = Vec::new();
    let opening = watermark_record(recovered.placement.low_watermark);
    if !recovered
        .placement
        .place(RecordType::Opening, opening, &mut jobs)
    {
        return Err(LogError::Full);
    }
    let (sender, synced_lsn) = watch::channel(0);
    let last_sync_us = Arc::new(AtomicU64::new(0));
    let shared = Arc::new(M::new(SharedState::new(recovered.placement)));
    let mut writer = Writer::new(
        recovered.segments,
        shared.clone(),
        sender,
        last_sync_us.clone(),
    );
    writer.write_opening(jobs);
    Ok(PreparedLog {
        log: WriteAheadLog {
            shared,
            synced_lsn,
            last_sync_us,
            thread: None,
        },
        writer,
        records: Vec::new(),
        identity: recovered.identity,
        is_new: recovered.is_new,
        torn: recovered.torn,
    })
}
