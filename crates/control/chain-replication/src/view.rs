//! Members and views: who replicates, in which order.

use std::net::SocketAddr;

use binrw::binrw;

use crate::codec::{read_addr, write_addr};

/// Members of a view at most: chains are 2 to 4 long; the rest bounds what a faulty peer may send.
pub const MAX_MEMBERS: u32 = 16;

/// A process with the disk it holds.
///
/// It is the same one only while both `id` and `addr` are the same: initial members all have the id
/// 0, and a machine that lost its disk comes back at its address with another id.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Member {
    /// Drawn when the disk was empty; 0 for an initial member.
    pub id: u64,
    /// Where it listens for peers.
    #[br(parse_with = read_addr)]
    #[bw(write_with = write_addr)]
    pub addr: SocketAddr,
    /// The view since which it has been a member without a gap.
    pub since: u64,
}

impl Member {
    /// Whether this is the same disk at the same address, whatever `since` says.
    pub fn is_same_process(&self, other: &Member) -> bool {
        self.id == other.id && self.addr == other.addr
    }
}

/// A chain, as agreed under a number.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Rises by one with each view.
    pub number: u64,
    #[br(temp, assert(member_count <= MAX_MEMBERS))]
    #[bw(calc = members.len() as u32)]
    member_count: u32,
    /// Head first, tail last.
    #[br(count = member_count)]
    pub members: Vec<Member>,
    #[br(temp, assert(joining_count <= MAX_MEMBERS))]
    #[bw(calc = joining.len() as u32)]
    joining_count: u32,
    /// These are brought up to date by the tail; no commit waits for them.
    #[br(count = joining_count)]
    pub joining: Vec<Member>,
}

impl View {
    /// The position of a member in the chain; 0 is the head.
    pub fn position(&self, member: &Member) -> Option<usize> {
        self.members
            .iter()
            .position(|other| other.is_same_process(member))
    }
}
