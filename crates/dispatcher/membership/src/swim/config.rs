//! What a member is configured with, and what it asks for.

use crate::{MemberUpdate, Message};
use dispatch_api::Micros;

/// Members of one tier at the most.
pub const MAX_MEMBERS: u16 = 1_024;

/// Configuration of a member.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// Its number, below `members`.
    pub me: u16,
    /// How many members there are, itself included; 2 to [`MAX_MEMBERS`].
    pub members: u16,
    /// Protocol period, microseconds: one member is pinged in each.
    pub period: Micros,
    /// Its incarnation, later than that of any process before it, 1 to 2^24 - 1.
    pub incarnation: u32,
    /// Seed of the order in which members are pinged.
    pub seed: u64,
}

/// What a member asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram to another member.
    Send {
        /// The member's number.
        to: u16,
        /// The datagram.
        message: Message,
    },
    /// What is believed of another member has changed.
    MemberChanged(MemberUpdate),
    /// Whether datagrams of this member reach another one has changed: it says that this one is
    /// suspected or dead, and no refutation reaches it.
    ReachabilityChanged {
        /// The member's number.
        member: u16,
        /// They reach it (again).
        reachable: bool,
    },
}

/// Whether datagrams pass between this member and another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connectivity {
    /// A datagram of the other one was received directly lately.
    pub received_lately: bool,
    /// Datagrams of this one reach the other, as far as it says.
    pub reachable: bool,
}
