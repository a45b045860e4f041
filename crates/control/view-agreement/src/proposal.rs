//! Proposals and their numbers, as in Lamport's paper: a proposal is a number with a value.

use std::net::SocketAddr;

use binrw::binrw;
use chain_replication::{read_addr, write_addr};

use crate::controller_view::ControllerView;

/// The number of a proposal: unique to one attempt of one proposer, and ordered.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProposalNumber {
    /// Above every round that the proposer has seen or used for this view.
    pub round: u64,
    /// The proposer's id.
    pub proposer_id: u64,
    /// The proposer's address: initial members share an id.
    #[br(parse_with = read_addr)]
    #[bw(write_with = write_addr)]
    pub proposer_addr: SocketAddr,
}

/// A proposal: its number, and the view that is proposed.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The proposal's number.
    pub number: ProposalNumber,
    /// The proposed view.
    pub value: ControllerView,
}

impl Proposal {
    /// The instance and the number that this proposal belongs to.
    pub fn id(&self) -> ProposalId {
        ProposalId {
            view_number: self.value.number(),
            proposal_number: self.number,
        }
    }
}

/// One proposal of one instance of Paxos. Ordered by the instance, then by the number.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProposalId {
    /// The number of the view to be chosen: it names the instance.
    pub view_number: u64,
    /// The number of the proposal within the instance.
    pub proposal_number: ProposalNumber,
}
