//! The disk's thread: writes all that waits, syncs once, says so.

use crate::disk::{Disk, DiskFile};
use crate::error::DiskError;
use crate::format::{Header, Stored};
use crate::monitor::Monitor;
use crate::place::Job;
use crate::ring::Shared;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::watch;

/// A coming file is written through in such pieces, so that a record waits for one piece at most: 4 ms at 120 MB/s.
const PIECE: u64 = 512 << 10;
/// The buffer isn't kept longer than this.
const BUFFER_KEPT: usize = 1 << 20;

/// The files as they were found.
pub(crate) struct Log<D: Disk> {
    pub disk: D,
    /// By number: the place in the log that the file has, or none if there is nothing of worth in it.
    pub slots: Vec<Slot>,
    /// The file that is written to, once there is one.
    pub current: Option<D::File>,
    pub synced: u64,
    pub life: u32,
    pub identity: u64,
    pub file_bytes: u64,
    pub files_most: usize,
}

/// What is known of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Slot {
    /// There is no file of this number.
    Missing,
    /// Nothing of worth is in it.
    Free,
    /// It has this place in the log.
    Used(u64),
}

/// A coming file that is being written through.
struct Coming<F> {
    slot: u32,
    file: F,
    written: u64,
}

/// Writes what is appended.
pub struct Writer<D: Disk, M: Monitor<Shared>> {
    log: Log<D>,
    shared: Arc<M>,
    sender: watch::Sender<u64>,
    slow: Arc<AtomicU64>,
    buffer: Vec<u8>,
    buffer_at: u64,
    /// Where the newest file's content ends.
    end: u64,
    /// The newest serial that was encoded.
    newest: u64,
    oldest: u64,
    coming: Option<Coming<D::File>>,
    /// The system gave no room for another file.
    no_more: bool,
}

impl<D: Disk, M: Monitor<Shared>> Writer<D, M> {
    pub(crate) fn new(log: Log<D>, shared: Arc<M>, sender: watch::Sender<u64>, slow: Arc<AtomicU64>) -> Self {
        let newest = log.synced;
        let (buffer, end) = (Vec::new(), log.file_bytes);
        Self {
            log,
            shared,
            sender,
            slow,
            buffer,
            buffer_at: 0,
            end,
            newest,
            oldest: 0,
            coming: None,
            no_more: false,
        }
    }

    /// Writes the records of the start.
    pub(crate) fn first(&mut self, jobs: Vec<Job>) -> Result<(), DiskError> {
        self.batch(jobs).map_err(|error| DiskError::Io { file: self.log.disk.name(0), error })
    }

    /// Writes until the ring is closed or the disk fails.
    pub fn run(mut self) {
        while self.step() {}
    }

    /// Whether [`Writer::step`] would not wait.
    pub fn has_work(&self) -> bool {
        self.prepares() || self.shared.with(|shared| shared.urgent || shared.closing)
    }

    /// Waits for something to do and does it; false if there will be nothing more.
    pub fn step(&mut self) -> bool {
        let prepare = self.prepares();
        let jobs = self.shared.wait(|shared| {
            if shared.urgent || shared.closing {
                shared.urgent = false;
                shared.queued = 0;
                Some(Some((std::mem::take(&mut shared.jobs), shared.closing)))
            } else {
                prepare.then_some(None)
            }
        });
        let result = match jobs {
            Some((jobs, closing)) => self.batch(jobs).map(|()| !closing),
            None => self.prepare().map(|()| true),
        };
        result.unwrap_or_else(|_| {
            self.shared.with(|shared| {
                shared.failed = true;
                shared.jobs = Vec::new();
            });
            false
        })
    }

    /// Writes the jobs with one write and one sync, or with one of each a file if they go on in another.
    fn batch(&mut self, jobs: Vec<Job>) -> io::Result<()> {
        if jobs.is_empty() {
            return Ok(());
        }
        for job in jobs {
            match job {
                Job::File { seq, first_serial, low, oldest } => {
                    // What the new file writes over may be needed until all before it is on disk.
                    self.put()?;
                    self.oldest = oldest;
                    self.begin(seq)?;
                    let log = &self.log;
                    Header::new(log.life, log.file_bytes, log.identity, seq, first_serial, low)
                        .encode(&mut self.buffer);
                    self.buffer_at = 0;
                }
                Job::Record { serial, offset, owner, record } => {
                    if self.buffer.is_empty() {
                        self.buffer_at = offset;
                    }
                    self.newest = serial;
                    let (synced, life) = (self.log.synced, self.log.life);
                    Stored { serial, synced, life, owner, record }.encode(&mut self.buffer);
                }
            }
        }
        self.put()
    }

    /// Writes and syncs what is in the buffer.
    fn put(&mut self) -> io::Result<()> {
        let Some(file) = &mut self.log.current else { return Ok(()) };
        if self.buffer.is_empty() {
            return Ok(());
        }
        file.write_at(self.buffer_at, &self.buffer)?;
        let start = Instant::now();
        file.sync()?;
        let took = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.slow.store(took, Ordering::Relaxed);
        self.end = self.buffer_at + self.buffer.len() as u64;
        self.buffer.clear();
        self.buffer.shrink_to(BUFFER_KEPT);
        self.log.synced = self.newest;
        self.sender.send_replace(self.newest);
        Ok(())
    }

    /// Takes a file for that place of the log: the oldest one that isn't in use any more, one that was made ahead, or
    /// a new one.
    fn begin(&mut self, seq: u64) -> io::Result<()> {
        let (slot, file) = match (self.reusable(), self.coming.take()) {
            (Some(slot), coming) => {
                self.coming = coming;
                let mut file = self.log.disk.open(slot)?;
                file.set_len(self.log.file_bytes)?;
                (slot, file)
            }
            (None, Some(coming)) => (coming.slot, coming.file),
            (None, None) => {
                let slot = self.missing();
                let mut file = self.log.disk.create(slot)?;
                file.set_len(self.log.file_bytes)?;
                if seq == 1 {
                    // The first file is written through at once, others ahead of their use.
                    file.write_at(0, &vec![0; usize::try_from(self.log.file_bytes).unwrap_or(0)])?;
                }
                (slot, file)
            }
        };
        self.mark(slot, Slot::Used(seq));
        self.log.current = Some(file);
        Ok(())
    }

    /// A file that may be written over: one without worth, or the oldest that was left behind.
    fn reusable(&self) -> Option<u32> {
        let coming = self.coming.as_ref().map(|coming| coming.slot);
        let slots = (0u32..).zip(&self.log.slots).filter_map(|(slot, known)| match known {
            Slot::Free => Some((0, slot)),
            Slot::Used(seq) if *seq < self.oldest => Some((*seq, slot)),
            _ => None,
        });
        slots.filter(|(_, slot)| Some(*slot) != coming).min().map(|(_, slot)| slot)
    }

    fn missing(&self) -> u32 {
        let missing = self.log.slots.iter().position(|slot| *slot == Slot::Missing);
        u32::try_from(missing.unwrap_or(self.log.slots.len())).unwrap_or(u32::MAX)
    }

    fn mark(&mut self, slot: u32, state: Slot) {
        let slot = usize::try_from(slot).unwrap_or(usize::MAX);
        if slot >= self.log.slots.len() {
            self.log.slots.resize(slot.saturating_add(1), Slot::Missing);
        }
        if let Some(known) = self.log.slots.get_mut(slot) {
            *known = state;
        }
    }

    /// Whether there is a piece of a coming file to be written.
    fn prepares(&self) -> bool {
        match &self.coming {
            Some(coming) => coming.written < self.log.file_bytes,
            None => {
                let made = self.log.slots.iter().filter(|slot| **slot != Slot::Missing).count();
                !self.no_more
                    && made < self.log.files_most
                    && self.end > self.log.file_bytes / 4
                    && self.reusable().is_none()
            }
        }
    }

    /// Writes a piece of the coming file. Without room for it the ring stays as large as it is.
    fn prepare(&mut self) -> io::Result<()> {
        match self.piece() {
            Err(error) if error.kind() == io::ErrorKind::StorageFull => {
                self.no_more = true;
                if let Some(coming) = self.coming.take() {
                    drop(coming.file);
                    self.log.disk.remove(coming.slot)?;
                    self.mark(coming.slot, Slot::Missing);
                }
                let usable = self.log.slots.iter().filter(|slot| **slot != Slot::Missing).count();
                self.shared.with(|shared| shared.placer.files_most = usable);
                Ok(())
            }
            other => other,
        }
    }

    fn piece(&mut self) -> io::Result<()> {
        if self.coming.is_none() {
            let slot = self.missing();
            let mut file = self.log.disk.create(slot)?;
            file.set_len(self.log.file_bytes)?;
            self.mark(slot, Slot::Free);
            self.coming = Some(Coming { slot, file, written: 0 });
        }
        let Some(coming) = &mut self.coming else { return Ok(()) };
        let len = PIECE.min(self.log.file_bytes - coming.written);
        let zeros = vec![0; usize::try_from(len).unwrap_or(0)];
        coming.file.write_at(coming.written, &zeros)?;
        coming.file.sync()?;
        coming.written += len;
        Ok(())
    }
}
