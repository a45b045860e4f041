//! Who subscribes to a table, and who of them has acknowledged what.

use std::net::SocketAddr;

use crate::entry::Stamp;
use crate::state_table::StateTable;
use crate::subscriber::Subscriber;
use crate::Ms;

/// How many have acknowledged an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AckCounts {
    /// Tables below this one, at any depth; other controllers don't count.
    pub subscribers: usize,
    /// Those of them that have certainly received it.
    pub acknowledged: usize,
    /// Other controllers that follow this table.
    pub peers: usize,
    /// Those of them that have received it themselves.
    pub peers_acknowledged: usize,
    /// Those of them that have received it together with all tables below them.
    pub peer_subtrees_acknowledged: usize,
}

/// A subscriber as it is now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// Its address.
    pub addr: SocketAddr,
    /// Its identity.
    pub id: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// Time in ms since its last message.
    pub last_received_ms_ago: Ms,
    /// How many tables hang below it.
    pub descendants: usize,
    /// It is a controller that follows this controller.
    pub peer: bool,
}

impl StateTable {
    /// How many have the entry with this stamp or a newer one.
    pub fn acknowledged(&self, key: &str, stamp: Stamp) -> AckCounts {
        let seq = self.seq_of(key, stamp);
        let mut counts = AckCounts::default();
        for subscriber in self.subscribers.values() {
            let descendants = subscriber.descendants as usize;
            let has = seq.is_some_and(|seq| subscriber.received_seq >= seq);
            let subtree_has = has && seq.is_some_and(|seq| subscriber.subtree_received_seq >= seq);
            if subscriber.peer {
                counts.peers += 1;
                counts.peers_acknowledged += usize::from(has);
                counts.peer_subtrees_acknowledged += usize::from(subtree_has);
            } else {
                counts.subscribers += 1 + descendants;
                counts.acknowledged += usize::from(has) + if subtree_has { descendants } else { 0 };
            }
        }
        counts
    }

    /// The other controllers that follow this table and have the entry with this stamp or a newer
    /// one.
    pub fn peers_with(&self, key: &str, stamp: Stamp) -> Vec<SocketAddr> {
        let seq = self.seq_of(key, stamp);
        let has = |subscriber: &Subscriber| {
            subscriber.peer && seq.is_some_and(|seq| subscriber.received_seq >= seq)
        };
        let subscribers = self
            .subscribers
            .iter()
            .filter(|(_, subscriber)| has(subscriber));
        subscribers.map(|(addr, _)| *addr).collect()
    }

    /// The tables that follow this one, in the order of their addresses.
    pub fn subscribers(&self) -> Vec<SubscriberStatus> {
        let status = |(addr, subscriber): (&SocketAddr, &Subscriber)| SubscriberStatus {
            addr: *addr,
            id: subscriber.id,
            incarnation: subscriber.incarnation,
            last_received_ms_ago: self.now.saturating_sub(subscriber.last_received),
            descendants: subscriber.descendants as usize,
            peer: subscriber.peer,
        };
        self.subscribers.iter().map(status).collect()
    }

    /// The sequence number of the entry, if it has this stamp or a newer one.
    fn seq_of(&self, key: &str, stamp: Stamp) -> Option<u64> {
        let entry = self
            .table
            .get(key)
            .filter(|known| known.entry.stamp >= stamp)?;
        Some(entry.seq)
    }
}
