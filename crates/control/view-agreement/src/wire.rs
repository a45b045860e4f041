//! What is agreed and what is said about it.

use std::net::SocketAddr;

use binrw::binrw;
use bytes::Bytes;
use chain_replication::{read_addr, write_addr, BadBytes, Member, View};

/// Acceptors at most: as many as the largest core that still bears one decision a view change.
pub const MOST_ACCEPTORS: u32 = 9;

/// A view of the controllers: the chain, and who decides on the next one.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControllerView {
    /// The chain; its number is the number of the whole.
    pub view: View,
    #[br(temp, assert(count > 0 && count <= MOST_ACCEPTORS))]
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
    pub fn majority(&self) -> usize {
        self.acceptors.len() / 2 + 1
    }

    /// Whether this process decides.
    pub fn accepts(&self, member: &Member) -> bool {
        self.acceptors.iter().any(|a| a.is(member))
    }

    /// As bytes.
    pub fn encode(&self) -> Bytes {
        chain_replication::to_bytes(self)
    }

    /// From bytes.
    pub fn decode(bytes: &[u8]) -> Result<ControllerView, BadBytes> {
        chain_replication::from_bytes(bytes)
    }
}

/// A try to have a view chosen. No two proposers use the same one, and none uses one twice.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ballot {
    /// Higher than all it has seen.
    pub round: u64,
    /// The proposer's id.
    pub id: u64,
    /// The proposer's address: founders share an id.
    #[br(parse_with = read_addr)]
    #[bw(write_with = write_addr)]
    pub addr: SocketAddr,
}

/// What an acceptor has accepted.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// In this try.
    pub ballot: Ballot,
    /// This view.
    pub value: ControllerView,
}

/// A word between controllers.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Msg {
    /// The sender's id.
    pub from: u64,
    /// What is said.
    pub body: Body,
}

/// The words of [`Msg`].
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Will you heed this try for the view of this number, and none below it?
    #[brw(magic = 1u8)]
    Prepare {
        /// The view to be chosen.
        number: u64,
        /// The try.
        ballot: Ballot,
    },
    /// Yes, and this is what I have accepted.
    #[brw(magic = 2u8)]
    Promise {
        /// The view to be chosen.
        number: u64,
        /// The try.
        ballot: Ballot,
        #[br(temp)]
        #[bw(calc = u8::from(accepted.is_some()))]
        some: u8,
        /// The newest that it has accepted for this number.
        #[br(if(some != 0))]
        accepted: Option<Accepted>,
    },
    /// No: I have promised another.
    #[brw(magic = 3u8)]
    Refused {
        /// The view to be chosen.
        number: u64,
        /// The try that is heeded.
        promised: Ballot,
    },
    /// Accept this.
    #[brw(magic = 4u8)]
    Accept {
        /// The try, and the view.
        proposal: Accepted,
    },
    /// It is accepted.
    #[brw(magic = 5u8)]
    Accepted {
        /// The view to be chosen.
        number: u64,
        /// The try.
        ballot: Ballot,
    },
    /// This was chosen.
    #[brw(magic = 6u8)]
    Chosen {
        /// The view.
        value: ControllerView,
    },
    /// Tell me the newest, if it is newer than this.
    #[brw(magic = 7u8)]
    Ask {
        /// The newest that is known, 0 if none.
        have: u64,
    },
    /// Is this the newest?
    #[brw(magic = 8u8)]
    Ping {
        /// The view's number.
        view: u64,
        /// The round of pings.
        round: u64,
    },
    /// It is the newest that I know.
    #[brw(magic = 9u8)]
    Pong {
        /// The view's number.
        view: u64,
        /// The round of pings.
        round: u64,
        /// I have accepted a next one, which may be chosen by now.
        #[br(map = |x: u8| x != 0)]
        #[bw(map = |x: &bool| u8::from(*x))]
        unsure: bool,
    },
}

impl Msg {
    /// As bytes for a frame.
    pub fn encode(&self) -> Bytes {
        chain_replication::to_bytes(self)
    }

    /// From a frame's bytes.
    pub fn decode(bytes: &[u8]) -> Result<Msg, BadBytes> {
        chain_replication::from_bytes(bytes)
    }
}
