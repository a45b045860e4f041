//! A disk in memory that loses and tears what wasn't synced.
#![allow(dead_code, reason = "each test uses a part of it")]

use bytes::Bytes;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use write_ahead_log::{Record, Storage, StorageFile};

pub struct Rng(Pcg64Mcg);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Below `most`.
    pub fn below(&mut self, most: u64) -> u64 {
        self.0.next_u64() % most
    }

    pub fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}

#[derive(Clone)]
enum Change {
    Write { offset: u64, bytes: Vec<u8> },
    SetLen(u64),
}

#[derive(Clone, Default)]
struct FileState {
    /// What is durable; nothing until the first sync.
    durable: Option<Vec<u8>>,
    pending: Vec<Change>,
    now: Vec<u8>,
}

#[derive(Clone, Default)]
struct DiskState {
    files: BTreeMap<u32, FileState>,
    /// Operations until the power fails.
    operations_left: Option<u64>,
    /// Bytes that fit on the disk.
    capacity: Option<u64>,
    /// All writes fail.
    writes_fail: bool,
    /// The percentage of writes and syncs that fail, and the generator that draws which.
    failing: Option<(u64, Pcg64Mcg)>,
    failed: u64,
    writes: u64,
    syncs: u64,
    planted_fault: Option<PlantedFault>,
}

/// A fault of the disk that the tests must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// A write that failed counts as done.
    Write,
    /// A sync that failed counts as done.
    Sync,
}

impl DiskState {
    fn operation(&mut self) -> io::Result<()> {
        match &mut self.operations_left {
            Some(0) => Err(io::Error::other("no power")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Whether this write or sync fails.
    fn next_operation_fails(&mut self) -> bool {
        let fails = self
            .failing
            .as_mut()
            .is_some_and(|(share, rng)| rng.next_u64() % 100 < *share);
        self.failed += u64::from(fails || self.writes_fail);
        fails
    }

    fn file(&mut self, slot: u32) -> &mut FileState {
        self.files.get_mut(&slot).expect("the file exists")
    }
}

/// What is new is zeros; put there in one piece, which a build without optimization does far faster
/// than one by one.
fn set_len(to: &mut Vec<u8>, len: usize) {
    if to.len() < len {
        to.extend_from_slice(&vec![0; len - to.len()]);
    }
    to.truncate(len);
}

fn apply(change: &Change, to: &mut Vec<u8>) {
    match change {
        Change::Write { offset, bytes } => {
            let offset = *offset as usize;
            set_len(to, to.len().max(offset + bytes.len()));
            to[offset..offset + bytes.len()].copy_from_slice(bytes);
        }
        Change::SetLen(len) => set_len(to, *len as usize),
    }
}

#[derive(Clone, Default)]
pub struct MemoryDisk(Arc<Mutex<DiskState>>);

pub struct MemoryFile {
    disk: MemoryDisk,
    slot: u32,
}

impl MemoryDisk {
    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().unwrap()
    }

    pub fn lose_power_after(&self, operations: u64) {
        self.state().operations_left = Some(operations);
    }

    pub fn restore_power(&self) {
        self.state().operations_left = None;
    }

    pub fn set_capacity(&self, bytes: u64) {
        self.state().capacity = Some(bytes);
    }

    /// From now on all writes fail, or not any more.
    pub fn fail_writes(&self, fail: bool) {
        self.state().writes_fail = fail;
    }

    /// From now on this percentage of writes and syncs fails.
    pub fn fail_randomly(&self, percent: u64, seed: u64) {
        self.state().failing = Some((percent, Pcg64Mcg::seed_from_u64(seed)));
    }

    /// From now on the disk has this fault.
    pub fn plant_fault(&self, planted_fault: PlantedFault) {
        self.state().planted_fault = Some(planted_fault);
    }

    /// Writes and syncs that have failed.
    pub fn failed(&self) -> u64 {
        self.state().failed
    }

    pub fn has_power(&self) -> bool {
        self.state().operations_left != Some(0)
    }

    pub fn counts(&self) -> (u64, u64) {
        let state = self.state();
        (state.writes, state.syncs)
    }

    pub fn slots(&self) -> Vec<u32> {
        self.state().files.keys().copied().collect()
    }

    pub fn bytes(&self, slot: u32) -> Vec<u8> {
        self.state().file(slot).now.clone()
    }

    pub fn change(&self, slot: u32, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.state();
        let file = state.file(slot);
        change(&mut file.now);
        file.durable = Some(file.now.clone());
        file.pending.clear();
    }

    pub fn remove_file(&self, slot: u32) {
        self.state().files.remove(&slot);
    }

    /// The disk as it is after a crash of the process.
    pub fn after_crash(&self) -> Self {
        let mut state = self.state().clone();
        state.operations_left = None;
        state.failing = None;
        Self(Arc::new(Mutex::new(state)))
    }

    /// The disk as it is after a power loss: of what wasn't synced all is lost, or each write is
    /// there, missing or torn.
    pub fn after_power_loss(&self, rng: &mut Rng) -> Self {
        let mut state = self.state().clone();
        state.operations_left = None;
        state.failing = None;
        let all_gone = rng.one_in(4);
        state.files = std::mem::take(&mut state.files)
            .into_iter()
            .filter_map(|(slot, file)| {
                if file.durable.is_none() && (all_gone || rng.one_in(2)) {
                    return None;
                }
                let mut now = file.durable.unwrap_or_default();
                for change in &file.pending {
                    if !all_gone {
                        survive(change, &mut now, rng);
                    }
                }
                Some((
                    slot,
                    FileState {
                        durable: Some(now.clone()),
                        pending: Vec::new(),
                        now,
                    },
                ))
            })
            .collect();
        Self(Arc::new(Mutex::new(state)))
    }
}

fn survive(change: &Change, to: &mut Vec<u8>, rng: &mut Rng) {
    let Change::Write { offset, bytes } = change else {
        if rng.one_in(2) {
            apply(change, to);
        }
        return;
    };
    match rng.below(4) {
        0 => apply(change, to),
        1 => {}
        // Torn: the first part only.
        2 => {
            let len = rng.below(bytes.len() as u64 + 1) as usize;
            apply(
                &Change::Write {
                    offset: *offset,
                    bytes: bytes[..len].to_vec(),
                },
                to,
            );
        }
        // Torn: some sectors of it. They are short here, so that much is torn.
        _ => {
            let sector = 1 << (3 + rng.below(7));
            let mut at = 0;
            while at < bytes.len() {
                let end = ((*offset as usize + at) / sector + 1) * sector - *offset as usize;
                let end = end.min(bytes.len());
                if rng.one_in(2) {
                    apply(
                        &Change::Write {
                            offset: offset + at as u64,
                            bytes: bytes[at..end].to_vec(),
                        },
                        to,
                    );
                }
                at = end;
            }
        }
    }
}

impl Storage for MemoryDisk {
    type File = MemoryFile;

    fn files(&mut self) -> io::Result<Vec<(u32, u64)>> {
        Ok(self
            .state()
            .files
            .iter()
            .map(|(slot, file)| (*slot, file.now.len() as u64))
            .collect())
    }

    fn open(&mut self, slot: u32) -> io::Result<MemoryFile> {
        self.state().operation()?;
        Ok(MemoryFile {
            disk: self.clone(),
            slot,
        })
    }

    fn create(&mut self, slot: u32) -> io::Result<MemoryFile> {
        let mut state = self.state();
        state.operation()?;
        assert!(
            !state.files.contains_key(&slot),
            "a file in use would be truncated"
        );
        state.files.insert(slot, FileState::default());
        Ok(MemoryFile {
            disk: self.clone(),
            slot,
        })
    }

    fn remove(&mut self, slot: u32) -> io::Result<()> {
        let mut state = self.state();
        state.operation()?;
        state.files.remove(&slot);
        Ok(())
    }

    fn name(&self, slot: u32) -> String {
        format!("ring-{slot:04}")
    }
}

impl StorageFile for MemoryFile {
    fn read(&mut self, most: u64, to: &mut Vec<u8>) -> io::Result<()> {
        let mut state = self.disk.state();
        state.operation()?;
        to.clear();
        let now = &state.file(self.slot).now;
        let most = usize::try_from(most).unwrap_or(usize::MAX).min(now.len());
        to.extend_from_slice(&now[..most]);
        Ok(())
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.disk.state();
        let used: usize = state.files.values().map(|file| file.now.len()).sum();
        let grows = (offset as usize + bytes.len()).saturating_sub(state.file(self.slot).now.len());
        if state.writes_fail
            || state
                .capacity
                .is_some_and(|capacity| (used + grows) as u64 > capacity)
        {
            state.failed += 1;
            return Err(io::ErrorKind::StorageFull.into());
        }
        if state.next_operation_fails() {
            // A part of it may have reached the disk.
            let len = bytes.len() / 2;
            let change = Change::Write {
                offset,
                bytes: bytes[..len].to_vec(),
            };
            let file = state.file(self.slot);
            apply(&change, &mut file.now);
            file.pending.push(change);
            let lies = state.planted_fault == Some(PlantedFault::Write);
            return if lies {
                Ok(())
            } else {
                Err(io::ErrorKind::StorageFull.into())
            };
        }
        let change = Change::Write {
            offset,
            bytes: bytes.to_vec(),
        };
        // A write during which the power fails may have begun.
        let result = state.operation();
        state.writes += 1;
        let file = state.file(self.slot);
        apply(&change, &mut file.now);
        file.pending.push(change);
        result
    }

    fn set_len(&mut self, len: u64) -> io::Result<()> {
        let mut state = self.disk.state();
        state.operation()?;
        let file = state.file(self.slot);
        if file.now.len() as u64 != len {
            apply(&Change::SetLen(len), &mut file.now);
            file.pending.push(Change::SetLen(len));
        }
        Ok(())
    }

    fn length(&mut self) -> io::Result<u64> {
        Ok(self.disk.state().file(self.slot).now.len() as u64)
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.state();
        state.operation()?;
        state.syncs += 1;
        let fails = state.next_operation_fails();
        let file = state.file(self.slot);
        let mut durable = file.durable.take().unwrap_or_default();
        // What a failed sync didn't write out stays readable and is never written out by a later
        // sync (as Linux does).
        let kept = if fails {
            file.pending.len() / 2
        } else {
            file.pending.len()
        };
        file.pending
            .drain(..)
            .take(kept)
            .for_each(|change| apply(&change, &mut durable));
        file.durable = Some(durable);
        if fails && state.planted_fault != Some(PlantedFault::Sync) {
            return Err(io::Error::other("the sync failed"));
        }
        Ok(())
    }
}

/// A record whose content follows from its number.
pub fn record(number: u64, len: usize) -> Record {
    let body: Vec<u8> = (0..len)
        .map(|at| (number as usize * 31 + at) as u8)
        .collect();
    Record {
        kind: number as u8,
        group: number as u32 ^ 7,
        number,
        body: Bytes::from(body),
    }
}
