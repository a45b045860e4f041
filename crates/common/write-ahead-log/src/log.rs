//! The log as its users see it: append, release, close.

use crate::error::LogError;
use crate::format::RecordType;
use crate::limits::{MAX_QUEUED_BYTES, MAX_QUEUED_RECORDS};
use crate::monitor::{Monitor, StdMonitor};
use crate::record::{Lsn, Record};
use crate::shared::SharedState;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::watch;

/// A write-ahead log.
pub struct WriteAheadLog<M: Monitor<SharedState> = StdMonitor<SharedState>> {
    pub(crate) shared: Arc<M>,
    pub(crate) synced_lsn: watch::Receiver<Lsn>,
    /// How long the last sync took, in µs.
    pub(crate) last_sync_us: Arc<AtomicU64>,
    pub(crate) thread: Option<JoinHandle<()>>,
}

impl<M: Monitor<SharedState>> WriteAheadLog<M> {
    /// Queues a record for the log's thread; it is durable once [`WriteAheadLog::synced_lsn`] has
    /// reached its LSN.
    ///
    /// # Errors
    /// [`LogError::Full`], [`LogError::Closed`] or [`LogError::RecordTooLong`]; the record is then
    /// not in the log.
    pub fn append(&self, record: Record) -> Result<Lsn, LogError> {
        let len = record.body.len();
        let result = self.shared.with(|shared| {
            if shared.closing {
                return Err(LogError::Closed);
            }
            let limit = shared.placement.max_body_bytes();
            if len as u64 > limit {
                return Err(LogError::RecordTooLong { len, limit });
            }
            let queue_full = shared.jobs.len() >= MAX_QUEUED_RECORDS
                || shared.queued_bytes > 0 && shared.queued_bytes + len as u64 > MAX_QUEUED_BYTES;
            if queue_full {
                return Err(LogError::Full);
            }
            if !shared
                .placement
                .place(RecordType::Data, record, &mut shared.jobs)
            {
                shared.wants_segment = true;
                return Err(LogError::Full);
            }
            shared.queued_bytes += len as u64;
            // The thread was woken already if there was something urgent before.
            let wake = !std::mem::replace(&mut shared.urgent, true);
            Ok((shared.placement.next_lsn - 1, wake))
        });
        if !matches!(result, Ok((_, false))) {
            self.shared.wake();
        }
        result.map(|(lsn, _)| lsn)
    }

    /// The newest LSN that is durable with all before it; 0 until the first write since the log was
    /// opened is.
    pub fn synced_lsn(&self) -> watch::Receiver<Lsn> {
        self.synced_lsn.clone()
    }

    /// Records before the LSN are of no more use; segments are used again once nothing else is in
    /// them. This is written down with the next append.
    pub fn release_before(&self, lsn: Lsn) {
        self.shared.with(|shared| {
            if !shared.closing {
                shared.placement.release(lsn, &mut shared.jobs);
            }
        });
    }

    /// Bytes of segments in use, from the oldest that holds something not released to the end.
    pub fn used_bytes(&self) -> u64 {
        self.shared.with(|shared| shared.placement.used_bytes())
    }

    /// Bytes that all segments together may have.
    pub fn capacity_bytes(&self) -> u64 {
        self.shared
            .with(|shared| shared.placement.max_segments as u64 * shared.placement.segment_bytes)
    }

    /// The longest body that can be appended, in bytes.
    pub fn max_body_bytes(&self) -> u64 {
        self.shared.with(|shared| shared.placement.max_body_bytes())
    }

    /// How long the last sync took.
    pub fn last_sync_duration(&self) -> Duration {
        Duration::from_micros(self.last_sync_us.load(Ordering::Relaxed))
    }

    /// What the last write or sync failed with, if it failed: it is retried, and nothing new is
    /// synced meanwhile.
    pub fn fault(&self) -> Option<io::ErrorKind> {
        self.shared.with(|shared| shared.disk.fault)
    }

    /// Whether [`crate::MIN_SEGMENTS`] segments are preallocated, so that a disk that others fill
    /// leaves enough to go on.
    pub fn is_preallocated(&self) -> bool {
        self.shared.with(|shared| shared.disk.preallocated)
    }

    /// Has everything written and synced, and waits for the thread to end. A disk that fails gets
    /// one last try.
    pub fn close(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        self.shared.with(|shared| shared.closing = true);
        self.shared.wake();
        if let Some(thread) = self.thread.take() {
            // The thread doesn't panic; if it did, nothing more would be synced, as after any
            // fault.
            let _ = thread.join();
        }
    }
}

impl<M: Monitor<SharedState>> Drop for WriteAheadLog<M> {
    fn drop(&mut self) {
        self.shut_down();
    }
}
