//! The segment files of a log and what is known of each.

use crate::record::Lsn;
use crate::storage::Storage;

/// What is known of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Slot {
    /// There is no file of this number.
    Missing,
    /// Nothing of use is in it, and it isn't known whether all its bytes have blocks on the disk.
    Free,
    /// Nothing of use is in it, and it is preallocated.
    Preallocated,
    /// It is the segment with this sequence number.
    Used(u64),
}

/// The end of the newest segment that may not have been synced by the process before.
pub(crate) struct UnverifiedTail {
    pub offset: u64,
    pub bytes: Vec<u8>,
}

/// The files as they were found.
pub(crate) struct Segments<S: Storage> {
    pub storage: S,
    /// By the number of the file.
    pub slots: Vec<Slot>,
    /// The segment that is written to, once there is one.
    pub current: Option<S::File>,
    pub synced_lsn: Lsn,
    pub incarnation: u32,
    pub identity: u64,
    /// Whose log it is; 0 if that was not said.
    pub owner: u64,
    pub segment_bytes: u64,
    pub max_segments: usize,
    /// Until it is known to be synced.
    pub unverified_tail: Option<UnverifiedTail>,
}

impl<S: Storage> Segments<S> {
    /// Segments with blocks on the disk for each of their bytes.
    pub(crate) fn preallocated(&self) -> usize {
        let preallocated = |slot: &&Slot| matches!(slot, Slot::Preallocated | Slot::Used(_));
        self.slots.iter().filter(preallocated).count()
    }

    pub(crate) fn set_slot(&mut self, slot: u32, state: Slot) {
        let slot = usize::try_from(slot).unwrap_or(usize::MAX);
        if slot >= self.slots.len() {
            self.slots.resize(slot.saturating_add(1), Slot::Missing);
        }
        if let Some(known) = self.slots.get_mut(slot) {
            *known = state;
        }
    }

    /// A file that may be written over: a preallocated one, or the oldest segment before
    /// `oldest_seq`.
    pub(crate) fn reusable(&self, oldest_seq: u64) -> Option<u32> {
        let slots = (0u32..)
            .zip(&self.slots)
            .filter_map(|(slot, known)| match known {
                Slot::Preallocated => Some((0, slot)),
                Slot::Used(seq) if *seq < oldest_seq => Some((*seq, slot)),
                _ => None,
            });
        slots.min().map(|(_, slot)| slot)
    }

    /// The file to preallocate next: one that is there without use, or a new one.
    pub(crate) fn next_to_preallocate(&self) -> PreallocationSlot {
        let free = self.slots.iter().position(|slot| *slot == Slot::Free);
        let missing = || self.slots.iter().position(|slot| *slot == Slot::Missing);
        let slot = free.or_else(missing).unwrap_or(self.slots.len());
        let slot = u32::try_from(slot).unwrap_or(u32::MAX);
        match free {
            Some(_) => PreallocationSlot::Existing(slot),
            None => PreallocationSlot::New(slot),
        }
    }
}

/// A file to preallocate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PreallocationSlot {
    /// It is there.
    Existing(u32),
    /// It is to be made.
    New(u32),
}
