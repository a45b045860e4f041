//! A process as its hellos name it.

use compact_str::CompactString;
use std::net::SocketAddr;

/// A process as its hellos name it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The address at which it listens for peers.
    pub addr: SocketAddr,
    /// Its identity; another one after a restart without a disk.
    pub id: u64,
    /// Its machine.
    pub node: CompactString,
    /// Its zone.
    pub zone: CompactString,
}
