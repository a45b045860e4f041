//! What a keeper has on disk: who founded the tier, what it promised, and its copy of the control state.

use crate::control::Control;
use bytes::Bytes;
use chain::Node;
use disk_ring::{DiskError, DiskRing, Record};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tier_facts::{decode_addresses, encode_addresses};
use view::Agreement;

/// Records of the agreement.
const VIEW: u8 = 1;
/// Records of the chain.
const CHAIN: u8 = 2;
/// The record of the founding, the first of all.
const FOUNDING: u8 = 3;

/// Whose write is on disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// The agreement's.
    View(u64),
    /// The chain's.
    Chain(u64),
}

/// The disk, and what waits for it.
pub struct Journal {
    ring: DiskRing,
    waiting: VecDeque<(u64, Told)>,
    founders: Vec<SocketAddr>,
    /// No compaction before this ticket is on disk: the one before still waits.
    compacting: Option<u64>,
}

/// What was on disk.
#[derive(Default)]
pub struct Found {
    /// The founders, if this disk was there then.
    pub founders: Vec<SocketAddr>,
    /// Records of the agreement, in order.
    pub views: Vec<Bytes>,
    /// Writes of the chain, in order.
    pub writes: Vec<Bytes>,
}

impl Journal {
    /// A journal over a disk that was opened, and what stood there.
    pub fn new(ring: DiskRing, records: Vec<(u64, Record)>) -> (Self, Found) {
        let mut found = Found::default();
        for (_, record) in records {
            match record.kind {
                VIEW => found.views.push(record.body),
                CHAIN => found.writes.push(record.body),
                FOUNDING => found.founders = decode_addresses(&record.body),
                _ => {}
            }
        }
        let founders = found.founders.clone();
        (Journal { ring, waiting: VecDeque::new(), founders, compacting: None }, found)
    }

    fn append(&self, kind: u8, body: Bytes) -> Result<u64, DiskError> {
        self.ring.append(Record { kind, group: 0, number: 0, body })
    }

    /// The first act on an empty disk of a founder.
    ///
    /// # Errors
    /// The disk's.
    pub fn found(&mut self, founders: &[SocketAddr]) -> Result<u64, DiskError> {
        self.founders = founders.to_vec();
        self.append(FOUNDING, encode_addresses(founders))
    }

    /// Writes; [`Journal::synced`] says when it is on disk.
    ///
    /// # Errors
    /// The disk's.
    pub fn write(&mut self, told: Told, body: Bytes) -> Result<(), DiskError> {
        let kind = match told {
            Told::View(_) => VIEW,
            Told::Chain(_) => CHAIN,
        };
        let ticket = self.append(kind, body)?;
        self.waiting.push_back((ticket, told));
        Ok(())
    }

    /// All up to this ticket is on disk: whose writes these were.
    pub fn synced(&mut self, ticket: u64) -> Vec<Told> {
        let mut told = Vec::new();
        while self.waiting.front().is_some_and(|(t, _)| *t <= ticket) {
            told.extend(self.waiting.pop_front().map(|(_, told)| told));
        }
        told
    }

    /// Writes all that counts once more when half of the ring is used, and gives up what stands before.
    ///
    /// # Errors
    /// The disk's.
    pub fn compact(&mut self, agreement: &Agreement, node: &Node<Control>) -> Result<(), DiskError> {
        let newest = *self.ring.synced().borrow();
        if let Some(first) = self.compacting {
            if newest < first {
                return Ok(());
            }
            self.compacting = None;
        }
        // What is on its way to the disk is part of neither.
        if self.ring.used() * 2 < self.ring.capacity() || !self.waiting.is_empty() {
            return Ok(());
        }
        let first = self.append(FOUNDING, encode_addresses(&self.founders))?;
        let mut last = first;
        for record in agreement.whole() {
            last = self.append(VIEW, record)?;
        }
        for write in node.whole() {
            last = self.append(CHAIN, write.encode())?;
        }
        self.ring.release_before(first);
        self.compacting = Some(last);
        Ok(())
    }

    /// Tells which ticket is the newest on disk.
    pub fn watch(&self) -> tokio::sync::watch::Receiver<u64> {
        self.ring.synced()
    }

    /// Bytes used, and there.
    pub fn room(&self) -> (u64, u64) {
        (self.ring.used(), self.ring.capacity())
    }
}
