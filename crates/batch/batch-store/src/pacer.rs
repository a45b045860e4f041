//! Paces large responses: reads, bodies and items leave no faster than a share of the machine's
//! link carries them.
//!
//! Owns no queue and no clock: it tells whether one more response may leave now. It guarantees that
//! what has been sent and is still on its way occupies the link for [`MAX_AHEAD_MS`] at most, so
//! that heartbeats and the chain's frames behind it are not late, and a store that everybody reads
//! from at once keeps its lease.

use chain_replication::Millis;

/// How far what has been sent may be ahead of the pace. At least a tick of the process, so that the
/// pace is kept from tick to tick.
const MAX_AHEAD_MS: Millis = 100;

/// When the link will have carried what has been sent.
#[derive(Debug)]
pub(crate) struct Pacer {
    bytes_per_ms: u64,
    carried_at: Millis,
    /// The bytes beyond whole milliseconds.
    rest: u64,
}

impl Pacer {
    /// Paces to so many bytes a millisecond, at least one.
    pub fn new(bytes_per_ms: u64) -> Self {
        Pacer {
            bytes_per_ms: bytes_per_ms.max(1),
            carried_at: 0,
            rest: 0,
        }
    }

    /// Whether one more response may leave now, of whatever size.
    pub fn allows(&self, now: Millis) -> bool {
        self.carried_at <= now + MAX_AHEAD_MS
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
