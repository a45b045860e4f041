//! Whether a process can make durable what it agrees to, judged by how long a write has waited.
//!
//! A process that can't gives no vote and no acknowledgement, reports it in its heartbeats, and is
//! left out of its chains while enough others remain. It counts as able again once all that waited
//! is synced. No I/O, no clock.

/// Milliseconds on a steady clock.
type Ms = u64;

/// A disk that has synced nothing for so long, in ms, while something waits, counts as stalled:
/// many syncs of a slow disk, and with the change of the view still well inside `AckMs`.
pub const STALL_TIMEOUT_MS: Ms = 1_000;
/// A disk whose writes have failed for so long, in ms, counts as failed: some retries.
pub const WRITE_FAILURE_TIMEOUT_MS: Ms = 250;

/// How the disk is now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DiskStatus {
    /// Since when something waits and nothing was synced; none while nothing waits.
    pub pending_since: Option<Ms>,
    /// The last write or sync failed; it is retried.
    pub failing: bool,
    /// What was read at the start is synced, and the segments are preallocated.
    pub preallocated: bool,
    /// So much waits that nothing more is to be agreed to.
    pub backlogged: bool,
}

/// Whether the disk counts as writable.
#[derive(Debug, Default)]
pub struct DiskHealth {
    writable: bool,
    failing_since: Option<Ms>,
}

impl DiskHealth {
    /// Whether the disk counts as writable; not before it was preallocated once.
    pub fn is_writable(&self) -> bool {
        self.writable
    }

    /// Takes in how the disk is now; true if the answer of [`DiskHealth::is_writable`] has changed.
    pub fn update(&mut self, now: Ms, disk: DiskStatus) -> bool {
        self.failing_since = if disk.failing {
            self.failing_since.or(Some(now))
        } else {
            None
        };
        let exceeds = |since: Option<Ms>, timeout: Ms| {
            since.is_some_and(|at| now.saturating_sub(at) >= timeout)
        };
        let before = self.writable;
        self.writable = if before {
            // A log that has been preallocated stays so.
            !exceeds(disk.pending_since, STALL_TIMEOUT_MS)
                && !exceeds(self.failing_since, WRITE_FAILURE_TIMEOUT_MS)
                && !disk.backlogged
        } else {
            disk.preallocated && !disk.failing && disk.pending_since.is_none()
        };
        self.writable != before
    }
}
