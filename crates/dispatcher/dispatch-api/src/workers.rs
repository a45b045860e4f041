//! Workers as service discovery lists them and as they report their load.

use crate::{DeduplicationScope, Micros, WorkerId};

/// Whether a worker of the list takes new work.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum WorkerStatus {
    /// It takes new work.
    Ready,
    /// It finishes what it has and is to get nothing new.
    Draining,
    /// The same, since operators have disabled it: until they enable it again.
    Disabled,
    /// It is no longer in the list.
    #[default]
    Removed,
}

/// One worker of the list.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: WorkerId,
    /// A hash of its name, the same at every dispatcher ([`crate::load_exchange::name_hash`]).
    pub name_hash: u32,
    /// Whether it takes new work.
    pub status: WorkerStatus,
    /// Its machine kind.
    pub kind: u32,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// When its process last started; none if long ago.
    pub started: Option<Micros>,
    /// Its weight relative to others of the list, without unit: see
    /// [`crate::Settings::live_weights`]. None if the list gives none.
    pub weight: Option<f64>,
}

impl WorkerEntry {
    /// The number of the group of workers that recognise each other's duplicates, to which it
    /// belongs.
    pub fn deduplication_group(&self, scope: DeduplicationScope) -> u32 {
        match scope {
            DeduplicationScope::All => 0,
            DeduplicationScope::Zone => self.zone,
            DeduplicationScope::Cell => self.cell,
        }
    }
}

/// How an update relates to the list before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// It replaces the list.
    Full,
    /// It holds the changed entries alone.
    Incremental,
    /// It is the list that an earlier process of this dispatcher had last; it may be old.
    Inherited,
}

/// How a call to service discovery, or a watch there, failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryFailure {
    /// No answer came in time, nor an error: the path there may be broken for this dispatcher alone.
    TimedOut,
    /// It was refused or reset, which other dispatchers may see at the same time.
    Failed,
}

/// A worker's load report; what a site does not report is absent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Jobs waiting for a slot.
    pub queued: Option<f64>,
    /// Jobs running or waiting.
    pub outstanding: Option<f64>,
}

impl LoadReport {
    /// The value, bounded by a million, if it is plausible: a number that is not negative.
    pub fn plausible(value: Option<f64>) -> Option<f64> {
        value
            .filter(|v| v.is_finite() && *v >= 0.0)
            .map(|v| v.min(1.0e6))
    }
}
