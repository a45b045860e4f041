//! The heartbeat that controllers send each other, as a frame.

use binrw::binrw;
use bytes::Bytes;
use chain_replication::{DecodeError, ReplicaStatus};
use replicated_state::Address;

/// Flag of a heartbeat: the sender has had SIGTERM.
pub const LEAVING: u8 = 1;
/// Flag of a heartbeat: the sender's disk takes nothing, so it can be no member and give no vote.
pub const UNABLE_TO_PERSIST: u8 = 2;
/// Flag of a heartbeat: the sender has no disk at all, and may be neither a member of the chain nor
/// an acceptor.
pub const NO_DISK: u8 = 4;

/// One heartbeat.
#[binrw]
#[brw(little)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControllerHeartbeat {
    /// The identity of the sender's disk.
    pub id: u64,
    /// Drawn at each start.
    pub incarnation: u64,
    /// The sender's failure domain, by [`zone_hash`].
    pub zone: u64,
    /// Where its replica of the control state stands.
    pub status: EncodedStatus,
    /// [`LEAVING`], [`UNABLE_TO_PERSIST`] and [`NO_DISK`], added up.
    pub flags: u8,
    #[br(temp)]
    #[bw(calc = receives_from.len() as u16)]
    count: u16,
    /// The controllers whose heartbeats it receives.
    #[br(count = count)]
    pub receives_from: Vec<Address>,
}

/// A chain's [`ReplicaStatus`] in a heartbeat; the identity stands beside it.
#[binrw]
#[brw(little)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EncodedStatus {
    view: u64,
    in_sync_view: u64,
    received: u64,
    caught_up: u8,
}

impl From<&ReplicaStatus> for EncodedStatus {
    fn from(status: &ReplicaStatus) -> Self {
        let ReplicaStatus {
            view,
            in_sync_view,
            last_received: received,
            caught_up,
            ..
        } = *status;
        EncodedStatus {
            view,
            in_sync_view,
            received,
            caught_up: u8::from(caught_up),
        }
    }
}

impl ControllerHeartbeat {
    /// The body of the frame.
    pub fn encode(&self) -> Bytes {
        chain_replication::to_bytes(self)
    }

    /// Decodes the body of a frame.
    ///
    /// # Errors
    /// It is no heartbeat, or is followed by other bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        chain_replication::from_bytes(bytes)
    }

    /// Whether this flag is set.
    pub(crate) fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// The sender's replica, as the chain's rule of the next view takes it.
    pub(crate) fn chain_status(&self) -> ReplicaStatus {
        let EncodedStatus {
            view,
            in_sync_view,
            received,
            caught_up,
        } = self.status;
        ReplicaStatus {
            id: self.id,
            view,
            in_sync_view,
            last_received: received,
            caught_up: caught_up == 1,
        }
    }
}

/// A zone's name as a number that is the same in all processes: FNV-1a with 64 bits.
pub fn zone_hash(zone: &str) -> u64 {
    zone.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
