//! The log's thread: writes what is queued, syncs it, retries after a fault, preallocates segments.

use crate::format::{Header, NewHeader, StoredRecord};
use crate::limits::MIN_SEGMENTS;
use crate::monitor::Monitor;
use crate::placement::{SegmentJob, WriteJob};
use crate::record::Lsn;
use crate::segments::{PreallocationSlot, Segments, Slot};
use crate::shared::{DiskView, SharedState};
use crate::storage::{Storage, StorageFile};
use std::collections::VecDeque;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// A segment is preallocated in chunks of so many bytes, so that a record waits for one chunk at
/// most: 4 ms at 120 MB/s.
const PREALLOCATION_CHUNK_BYTES: u64 = 512 << 10;
/// Most bytes of the buffer's memory that are kept between writes.
const MAX_BUFFER_KEPT_BYTES: usize = 1 << 20;
/// The delay before the first retry of a write that failed; it doubles with each further one.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// The longest delay between retries: a member is wanted back soon after the disk has capacity
/// again.
const RETRY_MAX: Duration = Duration::from_millis(400);
/// A spare segment that couldn't be preallocated is tried again after so many batches.
const SPARE_RETRY_BATCHES: u32 = 64;

/// A file that is being preallocated.
struct Preallocation<F> {
    slot: u32,
    file: F,
    written: u64,
}

/// Work taken from the shared state.
struct Taken {
    jobs: Vec<WriteJob>,
    closing: bool,
}

/// Writes what is appended, in order.
///
/// A write or a sync that fails ends nothing. What of the bytes since the last good sync has
/// reached the disk is then unknown, so all of them are kept in memory, written once more and
/// synced; only that sync counts. Nothing that was appended later is written before.
pub struct Writer<S: Storage, M: Monitor<SharedState>> {
    segments: Segments<S>,
    shared: Arc<M>,
    synced: watch::Sender<Lsn>,
    last_sync_us: Arc<AtomicU64>,
    /// Taken from the queue and not yet encoded.
    jobs: VecDeque<WriteJob>,
    /// Encoded and not synced; kept until a sync has covered all of it.
    buffer: Vec<u8>,
    /// Where in the current segment the buffer goes.
    buffer_offset: u64,
    /// Where the newest segment's records end.
    end_offset: u64,
    /// The newest LSN that was encoded.
    newest_lsn: Lsn,
    oldest_seq: u64,
    preallocation: Option<Preallocation<S::File>>,
    /// Retries in a row that failed; 0 while the disk is well.
    failures: u32,
    /// What was last published in the shared state.
    published: DiskView,
    /// Batches until a spare segment is tried again.
    spare_retry_in: u32,
}

impl<S: Storage, M: Monitor<SharedState>> Writer<S, M> {
    pub(crate) fn new(
        segments: Segments<S>,
        shared: Arc<M>,
        synced: watch::Sender<Lsn>,
        last_sync_us: Arc<AtomicU64>,
    ) -> Self {
        let newest_lsn = segments.synced_lsn;
        let end_offset = segments.segment_bytes;
        Self {
            segments,
            shared,
            synced,
            last_sync_us,
            jobs: VecDeque::new(),
            buffer: Vec::new(),
            buffer_offset: 0,
            end_offset,
            newest_lsn,
            oldest_seq: 0,
            preallocation: None,
            failures: 0,
            published: DiskView::default(),
            spare_retry_in: 0,
        }
    }

    /// Writes the records of the start, or leaves them to the retries if the disk fails.
    pub(crate) fn write_opening(&mut self, jobs: Vec<WriteJob>) {
        self.jobs.extend(jobs);
        let result = self.write_jobs();
        self.publish(result.as_ref().err());
    }

    /// Writes until the log is closed.
    pub fn run(mut self) {
        while self.step() {
            if let Some(delay) = self.retry_delay() {
                std::thread::sleep(delay);
            }
        }
    }

    /// How long to wait before the next [`Writer::step`], after one that failed.
    pub fn retry_delay(&self) -> Option<Duration> {
        let doublings = self.failures.checked_sub(1)?.min(8);
        Some((RETRY_MIN * (1 << doublings)).min(RETRY_MAX))
    }

    /// Whether [`Writer::step`] would neither wait nor be a retry.
    pub fn has_work(&self) -> bool {
        let may_grow = self.may_grow();
        let has_work = |shared: &mut SharedState| {
            shared.urgent || shared.closing || may_grow && shared.wants_segment
        };
        self.failures == 0 && (self.wants_preallocation() || self.shared.with(has_work))
    }

    /// Waits for something to do and does it; false if there will be nothing more. After a failure
    /// it doesn't wait but tries again.
    pub fn step(&mut self) -> bool {
        let ready = self.failures > 0 || self.wants_preallocation();
        let retries = !self.jobs.is_empty()
            || !self.buffer.is_empty()
            || self.segments.unverified_tail.is_some();
        let may_grow = self.may_grow();
        let Taken { jobs, closing } = self.shared.wait(|shared| {
            let closing = shared.closing;
            if retries {
                // What waits in memory goes first; the queue stays where it is bounded.
                Some(Taken {
                    jobs: Vec::new(),
                    closing,
                })
            } else if shared.urgent || closing {
                shared.urgent = false;
                shared.queued_bytes = 0;
                Some(Taken {
                    jobs: std::mem::take(&mut shared.jobs),
                    closing,
                })
            } else if may_grow && std::mem::take(&mut shared.wants_segment) {
                Some(Taken {
                    jobs: Vec::new(),
                    closing: false,
                })
            } else {
                ready.then_some(Taken {
                    jobs: Vec::new(),
                    closing: false,
                })
            }
        });
        let preallocates = jobs.is_empty() && !retries && !closing;
        self.jobs.extend(jobs);
        let result = if preallocates {
            self.preallocate()
        } else {
            self.write_jobs()
        };
        let failed = result.is_err();
        self.publish(result.as_ref().err());
        // What was appended while a retry was under way is still to be written at the end.
        let left = !failed && retries && self.shared.with(|shared| !shared.jobs.is_empty());
        !closing || left
    }

    /// Publishes how the disk is, for all users of the log.
    fn publish(&mut self, error: Option<&io::Error>) {
        let fault = error.map(io::Error::kind);
        self.failures = if fault.is_some() {
            self.failures.saturating_add(1)
        } else {
            0
        };
        let preallocated = self.segments.preallocated() >= MIN_SEGMENTS;
        let disk = DiskView {
            fault,
            preallocated,
        };
        if self.published != disk {
            self.published = disk;
            self.shared.with(|shared| shared.disk = disk);
        }
    }

    /// Whether a further segment may be begun.
    fn may_grow(&self) -> bool {
        self.preallocation.is_none() && self.segments.preallocated() < self.segments.max_segments
    }

    /// Writes the jobs with one write and one sync, or with one of each a segment if they go on in
    /// another. After an error it is called again and goes on where it was.
    fn write_jobs(&mut self) -> io::Result<()> {
        self.rewrite_unverified_tail()?;
        self.spare_retry_in = self.spare_retry_in.saturating_sub(1);
        while let Some(job) = self.jobs.front() {
            if let WriteJob::Segment(segment) = *job {
                // What the new segment writes over may be needed until all before it is durable.
                self.flush()?;
                self.begin_segment(segment)?;
            }
            if let Some(WriteJob::Record {
                lsn,
                offset,
                record_type,
                record,
            }) = self.jobs.pop_front()
            {
                if self.buffer.is_empty() {
                    self.buffer_offset = offset;
                }
                self.newest_lsn = lsn;
                let (synced_lsn, incarnation) =
                    (self.segments.synced_lsn, self.segments.incarnation);
                let stored = StoredRecord {
                    lsn,
                    synced_lsn,
                    incarnation,
                    record_type,
                    record,
                };
                stored.encode(&mut self.buffer);
            }
        }
        self.flush()
    }

    /// Gives the newest segment found its full length, and makes durable what the process before
    /// may have left unsynced, since what is written from now on says that it is. It is written
    /// once more, as a sync that had failed may have left it readable and never to be written out.
    fn rewrite_unverified_tail(&mut self) -> io::Result<()> {
        let segments = &mut self.segments;
        if let (Some(tail), Some(file)) = (&segments.unverified_tail, &mut segments.current) {
            file.fill(segments.segment_bytes)?;
            file.write_at(tail.offset, &tail.bytes)?;
            file.sync()?;
        }
        segments.unverified_tail = None;
        Ok(())
    }

    /// Writes and syncs what is in the buffer. It stays there until it is synced.
    fn flush(&mut self) -> io::Result<()> {
        let Some(file) = &mut self.segments.current else {
            return Ok(());
        };
        if self.buffer.is_empty() {
            return Ok(());
        }
        file.write_at(self.buffer_offset, &self.buffer)?;
        let start = Instant::now();
        file.sync()?;
        let took_us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.last_sync_us.store(took_us, Ordering::Relaxed);
        self.end_offset = self.buffer_offset + self.buffer.len() as u64;
        self.buffer.clear();
        self.buffer.shrink_to(MAX_BUFFER_KEPT_BYTES);
        self.segments.synced_lsn = self.newest_lsn;
        self.synced.send_replace(self.newest_lsn);
        Ok(())
    }

    /// Takes a file for the segment: one that isn't in use any more, a preallocated one, or a new
    /// one that is preallocated first. Its header goes into the buffer.
    fn begin_segment(&mut self, job: SegmentJob) -> io::Result<()> {
        self.oldest_seq = job.oldest_seq;
        while self.reusable().is_none() {
            self.write_chunk(self.segments.segment_bytes)?;
        }
        if let Some(slot) = self.reusable() {
            let mut file = self.segments.storage.open(slot)?;
            file.fill(self.segments.segment_bytes)?;
            self.segments.set_slot(slot, Slot::Used(job.seq));
            self.segments.current = Some(file);
        }
        let header = NewHeader {
            incarnation: self.segments.incarnation,
            segment_bytes: self.segments.segment_bytes,
            identity: self.segments.identity,
            seq: job.seq,
            first_lsn: job.first_lsn,
            low_watermark: job.low_watermark,
            owner: self.segments.owner,
        };
        Header::from(header).encode(&mut self.buffer);
        self.buffer_offset = 0;
        Ok(())
    }

    fn reusable(&self) -> Option<u32> {
        self.segments.reusable(self.oldest_seq)
    }

    /// Whether there is a chunk of a segment to be preallocated.
    fn wants_preallocation(&self) -> bool {
        let preallocated = self.segments.preallocated();
        if self.preallocation.is_some() || preallocated < MIN_SEGMENTS {
            return true;
        }
        self.spare_retry_in == 0
            && preallocated < self.segments.max_segments
            && self.end_offset > self.segments.segment_bytes / 4
            && self.reusable().is_none()
    }

    /// Writes a chunk of the segment that is being preallocated. Without capacity on the disk the
    /// log goes on with the segments that it has, if there are enough, and tries again later.
    fn preallocate(&mut self) -> io::Result<()> {
        let result = self.write_chunk(PREALLOCATION_CHUNK_BYTES);
        let usable = self.segments.preallocated();
        if let Err(error) = result {
            if let Some(preallocation) = self.preallocation.take() {
                drop(preallocation.file);
                // One that can't be removed either is preallocated again later.
                let removed = self.segments.storage.remove(preallocation.slot).is_ok();
                let state = if removed { Slot::Missing } else { Slot::Free };
                self.segments.set_slot(preallocation.slot, state);
            }
            let max_segments = usable.max(MIN_SEGMENTS);
            self.shared
                .with(|shared| shared.placement.max_segments = max_segments);
            self.spare_retry_in = SPARE_RETRY_BATCHES;
            return if usable >= MIN_SEGMENTS {
                Ok(())
            } else {
                Err(error)
            };
        }
        if self.preallocation.is_none() {
            let max_segments = self.segments.max_segments;
            self.shared
                .with(|shared| shared.placement.max_segments = max_segments);
        }
        Ok(())
    }

    /// Writes up to `most` zeros of the segment that is being preallocated; begins one if there is
    /// none.
    fn write_chunk(&mut self, most: u64) -> io::Result<()> {
        let segment_bytes = self.segments.segment_bytes;
        if self.preallocation.is_none() {
            let (slot, file) = match self.segments.next_to_preallocate() {
                PreallocationSlot::New(slot) => (slot, self.segments.storage.create(slot)?),
                PreallocationSlot::Existing(slot) => (slot, self.segments.storage.open(slot)?),
            };
            self.segments.set_slot(slot, Slot::Free);
            self.preallocation = Some(Preallocation {
                slot,
                file,
                written: 0,
            });
        }
        let Some(preallocation) = &mut self.preallocation else {
            return Ok(());
        };
        let len = most.min(segment_bytes - preallocation.written);
        let zeros = vec![0; usize::try_from(len).unwrap_or(0)];
        preallocation.file.write_at(preallocation.written, &zeros)?;
        preallocation.file.sync()?;
        preallocation.written += len;
        if preallocation.written >= segment_bytes {
            preallocation.file.set_len(segment_bytes)?;
            let slot = preallocation.slot;
            self.preallocation = None;
            self.segments.set_slot(slot, Slot::Preallocated);
        }
        Ok(())
    }
}
