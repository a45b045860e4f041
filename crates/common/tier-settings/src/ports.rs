//! Where the processes of a machine listen for each other.

/// The kinds of processes that exchange frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerRole {
    /// Keeps the control state.
    Controller,
    /// Forwards requests.
    Gateway,
    /// Stores batch jobs.
    Store,
}

impl PeerRole {
    /// Its place in the range of ports: several processes of one machine share the range.
    pub(crate) fn offset(self) -> u16 {
        match self {
            PeerRole::Controller => 0,
            PeerRole::Gateway => 1,
            PeerRole::Store => 2,
        }
    }
}

/// The ports for frames between processes; the same on all machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PortRange {
    /// The first port.
    pub first: u16,
    /// The last port, not below the first.
    pub last: u16,
}

impl PortRange {
    /// Where a process of this role listens for the others, whether or not the range reaches that
    /// far.
    pub fn peer_port(self, role: PeerRole) -> u16 {
        self.first.saturating_add(role.offset())
    }

    /// The same; none if the range doesn't reach that far.
    pub(crate) fn checked_peer_port(self, role: PeerRole) -> Option<u16> {
        self.first
            .checked_add(role.offset())
            .filter(|port| *port <= self.last)
    }
}
