//! The records on disk, and the state of an acceptor that is read back from them.

use binrw::binrw;
use bytes::Bytes;
use chain_replication::DecodeError;

use crate::controller_view::ControllerView;
use crate::proposal::{Proposal, ProposalId};

/// A record on disk; written and synced in the order in which the records are given out.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// This view was chosen, or is the bootstrap view.
    #[brw(magic = 1u8)]
    Chosen {
        /// The view.
        value: ControllerView,
    },
    /// No proposal with a lower number is accepted for this view, and our own numbers are above it.
    #[brw(magic = 2u8)]
    Promised {
        /// The proposal that was promised to.
        promised: ProposalId,
    },
    /// This proposal was accepted.
    #[brw(magic = 3u8)]
    Accepted {
        /// The proposal.
        proposal: Proposal,
    },
}

impl Record {
    /// The bytes of the record, big-endian.
    pub fn encode(&self) -> Bytes {
        chain_replication::to_bytes(self)
    }

    /// Reads the bytes of a record.
    ///
    /// # Errors
    /// The bytes are malformed, too short or too long.
    pub fn decode(bytes: &[u8]) -> Result<Record, DecodeError> {
        chain_replication::from_bytes(bytes)
    }
}

/// What the disk holds at the start, all of it synced.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RecoveredAcceptor {
    /// The newest view known to be chosen.
    pub chosen: Option<ControllerView>,
    /// The highest promise.
    pub promised: Option<ProposalId>,
    /// The accepted proposal with the highest number.
    pub accepted: Option<Proposal>,
}

impl RecoveredAcceptor {
    /// Applies a record; they are given in the order in which they were written.
    pub fn replay(&mut self, record: Record) {
        match record {
            Record::Chosen { value } => {
                if self
                    .chosen
                    .as_ref()
                    .is_none_or(|old| old.number() < value.number())
                {
                    self.chosen = Some(value);
                }
            }
            Record::Promised { promised } => self.promise(promised),
            Record::Accepted { proposal } => {
                // An acceptance implies the promise: no record of its own is written for that.
                self.promise(proposal.id());
                if self
                    .accepted
                    .as_ref()
                    .is_none_or(|old| old.id() <= proposal.id())
                {
                    self.accepted = Some(proposal);
                }
            }
        }
    }

    fn promise(&mut self, proposal: ProposalId) {
        if self.promised.is_none_or(|old| old < proposal) {
            self.promised = Some(proposal);
        }
    }

    /// Decodes a record and applies it.
    ///
    /// # Errors
    /// The bytes are no record; the state stays as it was.
    pub fn read(&mut self, record: &[u8]) -> Result<(), DecodeError> {
        self.replay(Record::decode(record)?);
        Ok(())
    }
}
