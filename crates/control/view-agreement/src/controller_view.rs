//! The value that is agreed on: a view of the controllers, as bytes on disk and in frames.

use binrw::binrw;
use bytes::Bytes;
use chain_replication::{DecodeError, Member, View};

/// Acceptors at most: as many as the largest core that still bears one decision a view change.
pub const MAX_ACCEPTORS: u32 = 9;

/// A view of the controllers: the chain, and the acceptors that choose the view after it.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControllerView {
    /// The chain; its number is the number of the whole.
    pub view: View,
    #[br(temp, assert(count > 0 && count <= MAX_ACCEPTORS))]
    #[bw(calc = acceptors.len() as u32)]
    count: u32,
    /// The acceptors for the next view, 1 to [`MAX_ACCEPTORS`].
    #[br(count = count)]
    pub acceptors: Vec<Member>,
}

impl ControllerView {
    /// Its number, from 1 on; it rises by one with each view.
    pub fn number(&self) -> u64 {
        self.view.number
    }

    /// How many acceptors are a majority.
    pub fn quorum(&self) -> usize {
        self.acceptors.len() / 2 + 1
    }

    /// Whether this process is an acceptor for the next view.
    pub fn is_acceptor(&self, member: &Member) -> bool {
        self.acceptors
            .iter()
            .any(|acceptor| acceptor.is_same_process(member))
    }

    /// The bytes of the layout, big-endian.
    pub fn encode(&self) -> Bytes {
        chain_replication::to_bytes(self)
    }

    /// Reads what [`ControllerView::encode`] wrote.
    ///
    /// # Errors
    /// The bytes are malformed, too short or too long, or hold no or too many acceptors.
    pub fn decode(bytes: &[u8]) -> Result<ControllerView, DecodeError> {
        chain_replication::from_bytes(bytes)
    }
}
