//! Reads the records of all partitions back, in the order in which they were written.

use super::record::{FIRST, LAST, MIDDLE, VOID, WHOLE};
use batch::wire::MAX_PARTITIONS;
use batch::BatchJobTable;
use bytes::Bytes;
use chain_replication::{LogRecord, RecoveredLog, StateMachine};
use write_ahead_log::{Lsn, Record};

/// The most bytes of entries in memory while the log is read back, over all partitions: older ones
/// go into their partition's state at once. A log of 500 MB may hold that much in entries, and a
/// process has half of it.
const MAX_ENTRY_BYTES: u64 = 48 << 20;

/// Of a partition's entries so many bytes stay when older ones go into its state: a member that
/// starts keeps no more of them.
const MAX_KEPT_BYTES: u64 = 8 << 20;

/// The disk holds something that can't be read, though it was synced.
#[derive(Debug, thiserror::Error)]
pub enum RecoveryError {
    /// A record of a chain.
    #[error("record {lsn} of partition {partition}: {source}")]
    Write {
        /// The log sequence number of its last record.
        lsn: Lsn,
        /// The partition.
        partition: u32,
        /// What is wrong.
        source: chain_replication::DecodeError,
    },
    /// A record of no known kind, or of a partition that can't be.
    #[error("record {lsn} has kind {kind}, partition {partition}")]
    Kind {
        /// The log sequence number of its last record.
        lsn: Lsn,
        /// The kind.
        kind: u8,
        /// The partition.
        partition: u32,
    },
    /// A partition's full state.
    #[error("partition {partition}: {source}")]
    Snapshot {
        /// The partition.
        partition: u16,
        /// What is wrong.
        source: chain_replication::SnapshotError,
    },
}

/// What is known of a partition while the log is read back.
#[derive(Default)]
struct PartitionRecovery {
    recovered: Option<RecoveredLog>,
    /// The chunks of a write whose last one has not been read.
    chunks: Vec<u8>,
    /// Bytes of the entries in memory, and of a few that may have been dropped.
    entry_bytes: u64,
}

impl PartitionRecovery {
    /// Joins the chunks of a write; returns the whole write with its last chunk.
    fn join_chunks(&mut self, kind: u8, body: Bytes) -> Option<Bytes> {
        match kind {
            WHOLE => return Some(body),
            // Chunks without an end were cut off by a crash: their write was not acknowledged.
            FIRST => self.chunks = body.to_vec(),
            _ => self.chunks.extend_from_slice(&body),
        }
        (kind == LAST).then(|| Bytes::from(std::mem::take(&mut self.chunks)))
    }
}

/// Recovers the state of each partition from the records of the log.
pub struct Recovery {
    partitions: Vec<PartitionRecovery>,
    entry_bytes: u64,
    /// The bytes of all records' bodies.
    bytes: u64,
    records: u64,
}

impl Default for Recovery {
    fn default() -> Self {
        let partitions = (0..MAX_PARTITIONS).map(|_| PartitionRecovery::default());
        Recovery {
            partitions: partitions.collect(),
            entry_bytes: 0,
            bytes: 0,
            records: 0,
        }
    }
}

impl Recovery {
    /// Bytes of the records that were read.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// How many records were read.
    pub fn records(&self) -> u64 {
        self.records
    }

    /// Bytes of the entries in memory, at least.
    pub fn entry_bytes(&self) -> u64 {
        self.entry_bytes
    }

    /// Takes the next record.
    ///
    /// # Errors
    /// It can't be read: then nothing on this disk can be trusted.
    pub fn replay(&mut self, lsn: Lsn, record: Record) -> Result<(), RecoveryError> {
        let Record {
            kind,
            group: partition,
            body,
            ..
        } = record;
        self.bytes += body.len() as u64;
        self.records += 1;
        let unknown = RecoveryError::Kind {
            lsn,
            kind,
            partition,
        };
        let index = usize::try_from(partition).unwrap_or(usize::MAX);
        let Some(read) = self.partitions.get_mut(index) else {
            return Err(unknown);
        };
        match kind {
            WHOLE | FIRST | MIDDLE | LAST => {}
            VOID => {
                self.entry_bytes = self.entry_bytes.saturating_sub(read.entry_bytes);
                *read = PartitionRecovery::default();
                return Ok(());
            }
            _ => return Err(unknown),
        }
        let Some(whole) = read.join_chunks(kind, body) else {
            return Ok(());
        };
        let write = LogRecord::decode(&whole).map_err(|source| RecoveryError::Write {
            lsn,
            partition,
            source,
        })?;
        self.entry_bytes = self.entry_bytes.saturating_sub(read.entry_bytes);
        match &write {
            LogRecord::Entry { command, .. } => read.entry_bytes += command.len() as u64,
            LogRecord::Snapshot { .. } | LogRecord::SnapshotComplete { .. } => read.entry_bytes = 0,
            LogRecord::View { .. } | LogRecord::InSync { .. } | LogRecord::SnapshotChunk { .. } => {
            }
        }
        self.entry_bytes += read.entry_bytes;
        read.recovered.get_or_insert_default().replay(write);
        self.bound_entries()
    }

    /// Keeps the entries in memory within their bound: older ones of the partition with the most go
    /// into its state.
    fn bound_entries(&mut self) -> Result<(), RecoveryError> {
        if self.entry_bytes <= MAX_ENTRY_BYTES {
            return Ok(());
        }
        let with_entries = self.partitions.iter().filter(|read| read.entry_bytes > 0);
        let with_entries = with_entries.count() as u64;
        let keep = (MAX_ENTRY_BYTES / 2 / with_entries.max(1)).min(MAX_KEPT_BYTES);
        let largest = (0u16..)
            .zip(&mut self.partitions)
            .max_by_key(|(_, read)| read.entry_bytes);
        let Some((partition, read)) = largest else {
            return Ok(());
        };
        let Some(recovered) = read.recovered.as_mut() else {
            return Ok(());
        };
        recovered
            .compact(BatchJobTable::new(), keep)
            .map_err(|source| RecoveryError::Snapshot { partition, source })?;
        self.entry_bytes = self.entry_bytes.saturating_sub(read.entry_bytes);
        read.entry_bytes = recovered.entry_bytes();
        self.entry_bytes += read.entry_bytes;
        Ok(())
    }

    /// The recovered state of each partition with records.
    ///
    /// # Errors
    /// A partition's state can't be read.
    pub fn finish(self) -> Result<Vec<(u16, RecoveredLog)>, RecoveryError> {
        let mut found = Vec::new();
        for (partition, read) in (0u16..).zip(self.partitions) {
            let Some(recovered) = read.recovered else {
                continue;
            };
            if let Some(snapshot) = &recovered.snapshot {
                BatchJobTable::new()
                    .restore(&snapshot.state)
                    .map_err(|source| RecoveryError::Snapshot { partition, source })?;
            }
            found.push((partition, recovered));
        }
        Ok(found)
    }
}

/// Recovers the state of each partition from all records of a log.
///
/// # Errors
/// A record or a state can't be read: then nothing on this disk can be trusted.
pub fn recover(records: Vec<(Lsn, Record)>) -> Result<Vec<(u16, RecoveredLog)>, RecoveryError> {
    let mut recovery = Recovery::default();
    for (lsn, record) in records {
        recovery.replay(lsn, record)?;
    }
    recovery.finish()
}
