//! What is agreed and what is said about it.

use std::net::SocketAddr;

use binrw::binrw;
use bytes::Bytes;
use chain_replication::{read_addr, write_addr, DecodeError, Member, View};

/// Acceptors at most: as many as the largest core that still bears one decision a view change.
pub const MAX_ACCEPTORS: u32 = 9;

/// A view of the controllers: the chain, and who decides on the next one.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControllerView {
    /// The chain; its number is the number of the whole.
    pub view: View,
    #[br(temp, assert(count > 0 && count <= MAX_ACCEPTORS))]
    #[bw(calc = acceptors.len() as u32)]
    count: u32,
    /// Who decides on the next view.
    #[br(count = count)]
    pub acceptors: Vec<Member>,
}

impl ControllerView {
    /// Its number.
    pub fn number(&self) -> u64 {
        self.view.number
    }

    /// How many acceptors are more than half.
    pub fn quorum(&self) -> usize {
        self.acceptors.len() / 2 + 1
    }

    /// Whether this process decides.
    pub fn is_acceptor(&self, member: &Member) -> bool {
        self.acceptors.iter().any(|a| a.is_same_process(member))
    }

    /// As bytes.
    pub fn encode(&self) -> Bytes {
        chain_replication::to_bytes(self)
    }

    /// From bytes.
    pub fn decode(bytes: &[u8]) -> Result<ControllerView, DecodeError> {
        chain_replication::from_bytes(bytes)
    }
}

/// A try to have a view chosen. No two proposers use the same one, and none uses one twice.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProposalNumber {
    /// Higher than all it has seen.
    pub round: u64,
    /// The proposer's id.
    pub proposer_id: u64,
    /// The proposer's address: founders share an id.
    #[br(parse_with = read_addr)]
    #[bw(write_with = write_addr)]
    pub proposer_addr: SocketAddr,
}

/// What an acceptor has accepted.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// In this try.
    pub number: ProposalNumber,
    /// This view.
    pub value: ControllerView,
}

/// A word between controllers.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender's id.
    pub from: u64,
    /// What is said.
    pub body: MessageBody,
}

/// The words of [`Message`].
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MessageBody {
    /// Will you heed this try for the view of this number, and none below it?
    #[brw(magic = 1u8)]
    Prepare {
        /// The view to be chosen.
        view_number: u64,
        /// The try.
        proposal_number: ProposalNumber,
    },
    /// Yes, and this is what I have accepted.
    #[brw(magic = 2u8)]
    Promise {
        /// The view to be chosen.
        view_number: u64,
        /// The try.
        proposal_number: ProposalNumber,
        #[br(temp)]
        #[bw(calc = u8::from(accepted.is_some()))]
        some: u8,
        /// The newest that it has accepted for this number.
        #[br(if(some != 0))]
        accepted: Option<Proposal>,
    },
    /// No: I have promised another.
    #[brw(magic = 3u8)]
    Rejected {
        /// The view to be chosen.
        view_number: u64,
        /// The try that is heeded.
        promised: ProposalNumber,
    },
    /// Accept this.
    #[brw(magic = 4u8)]
    Accept {
        /// The try, and the view.
        proposal: Proposal,
    },
    /// It is accepted.
    #[brw(magic = 5u8)]
    Accepted {
        /// The view to be chosen.
        view_number: u64,
        /// The try.
        proposal_number: ProposalNumber,
    },
    /// This was chosen.
    #[brw(magic = 6u8)]
    Chosen {
        /// The view.
        value: ControllerView,
    },
    /// Tell me the newest, if it is newer than this.
    #[brw(magic = 7u8)]
    RequestView {
        /// The newest that is known, 0 if none.
        newest_known: u64,
    },
    /// Is this the newest?
    #[brw(magic = 8u8)]
    QuorumCheck {
        /// The view's number.
        view_number: u64,
        /// The round of pings.
        round: u64,
    },
    /// It is the newest that I know.
    #[brw(magic = 9u8)]
    QuorumCheckReply {
        /// The view's number.
        view_number: u64,
        /// The round of pings.
        round: u64,
        /// I have accepted a next one, which may be chosen by now.
        #[br(map = |x: u8| x != 0)]
        #[bw(map = |x: &bool| u8::from(*x))]
        undecided: bool,
    },
}

impl Message {
    /// As bytes for a frame.
    pub fn encode(&self) -> Bytes {
        chain_replication::to_bytes(self)
    }

    /// From a frame's bytes.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        chain_replication::from_bytes(bytes)
    }
}
