//! Messages between controllers, and their layout in frames.

use binrw::binrw;
use bytes::Bytes;
use chain_replication::DecodeError;

use crate::controller_view::ControllerView;
use crate::proposal::{Proposal, ProposalId};

/// A message between controllers.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender's id.
    pub from: u64,
    /// The content.
    pub body: MessageBody,
}

/// The content of a [`Message`]. The first byte tells the kind.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MessageBody {
    /// Proposer to acceptor, phase 1a: promise to accept no proposal with a lower number.
    #[brw(magic = 1u8)]
    Prepare {
        /// The view to be chosen, and the number that the promise is asked for.
        proposal: ProposalId,
    },
    /// Acceptor to proposer, phase 1b: promised.
    #[brw(magic = 2u8)]
    Promise {
        /// The proposal that is promised to.
        promised: ProposalId,
        #[br(temp)]
        #[bw(calc = u8::from(accepted.is_some()))]
        has_accepted: u8,
        /// The proposal with the highest number that the acceptor has accepted for this view.
        #[br(if(has_accepted != 0))]
        accepted: Option<Proposal>,
    },
    /// Acceptor to proposer, in either phase: a higher number was promised.
    #[brw(magic = 3u8)]
    Rejected {
        /// The view to be chosen, and the highest number that the acceptor has promised.
        promised: ProposalId,
    },
    /// Proposer to acceptor, phase 2a: accept this proposal.
    #[brw(magic = 4u8)]
    Accept {
        /// The proposal.
        proposal: Proposal,
    },
    /// Acceptor to proposer, phase 2b: accepted.
    #[brw(magic = 5u8)]
    Accepted {
        /// The accepted proposal.
        accepted: ProposalId,
    },
    /// To learners: this view was chosen.
    #[brw(magic = 6u8)]
    Chosen {
        /// The view.
        value: ControllerView,
    },
    /// Asks for the newest view, if it is newer than the sender's.
    #[brw(magic = 7u8)]
    RequestView {
        /// The newest view that the sender knows, 0 if none.
        newest_known: u64,
    },
    /// Asks an acceptor whether this view is still the newest.
    #[brw(magic = 8u8)]
    QuorumCheck {
        /// The view's number.
        view_number: u64,
        /// The round of the check, by which the sender matches the answers.
        round: u64,
    },
    /// The view of the check is the newest that the acceptor knows.
    #[brw(magic = 9u8)]
    QuorumCheckReply {
        /// The view's number.
        view_number: u64,
        /// The round of the check.
        round: u64,
        /// The acceptor has accepted a proposal for the next view, which may be chosen by now.
        #[br(map = |x: u8| x != 0)]
        #[bw(map = |x: &bool| u8::from(*x))]
        undecided: bool,
    },
}

impl Message {
    /// The bytes of a frame, big-endian.
    pub fn encode(&self) -> Bytes {
        chain_replication::to_bytes(self)
    }

    /// Reads the bytes of a frame.
    ///
    /// # Errors
    /// The bytes are malformed, too short or too long.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        chain_replication::from_bytes(bytes)
    }
}
