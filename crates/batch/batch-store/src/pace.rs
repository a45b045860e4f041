//! The pace of large answers: reads, bodies and items leave no faster than a share of the machine's link carries them.
//!
//! Owns no queue and no clock: it says whether one more answer may leave now. Promises that what has left and is still on
//! its way takes the link [`MOST_AHEAD_MS`] at most, so heartbeats and the chain's frames behind it are not late, and a
//! store that everybody reads from at once keeps its lease.

use chain_replication::Millis;

/// What has left may be ahead of the pace by so much: a tick of the process, so that the pace is kept from tick to tick.
const MOST_AHEAD_MS: Millis = 100;

/// When the link will have carried what has left.
#[derive(Debug)]
pub(crate) struct Pace {
    bytes_per_ms: u64,
    carried_at: Millis,
    /// Of the millisecond that `carried_at` begins.
    rest: u64,
}

impl Pace {
    /// For so many bytes a millisecond, at least one.
    pub fn new(bytes_per_ms: u64) -> Self {
        Pace {
            bytes_per_ms: bytes_per_ms.max(1),
            carried_at: 0,
            rest: 0,
        }
    }

    /// Whether one more answer may leave now, of whatever size.
    pub fn allows(&self, now: Millis) -> bool {
        self.carried_at <= now + MOST_AHEAD_MS
    }

    /// So many bytes leave now.
    pub fn spend(&mut self, now: Millis, bytes: usize) {
        if self.carried_at < now {
            (self.carried_at, self.rest) = (now, 0);
        }
        let bytes = self.rest + bytes as u64;
        self.carried_at += bytes / self.bytes_per_ms;
        self.rest = bytes % self.bytes_per_ms;
    }
}
