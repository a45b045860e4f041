//! What a replica reports of itself to the process that decides on the next view.

use binrw::binrw;
use bytes::Bytes;

use crate::codec::{from_bytes, to_bytes, DecodeError};

/// The state of a replica. Each figure stays true once it was reported.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReplicaStatus {
    /// Its id.
    pub id: u64,
    /// The newest view it has installed, 0 if none.
    pub view: u64,
    /// The newest view in which it was in sync, by its disk.
    pub in_sync_view: u64,
    /// The newest entry it has received.
    pub last_received: u64,
    /// It is joining, and holds all but the newest entries of this view.
    #[br(map = |x: u8| x != 0)]
    #[bw(map = |x: &bool| u8::from(*x))]
    pub caught_up: bool,
}

impl ReplicaStatus {
    /// The bytes for a peer, big-endian.
    pub fn encode(&self) -> Bytes {
        to_bytes(self)
    }

    /// Reads a peer's bytes.
    ///
    /// # Errors
    /// The bytes are malformed, too short or too long.
    pub fn decode(bytes: &[u8]) -> Result<ReplicaStatus, DecodeError> {
        from_bytes(bytes)
    }
}
