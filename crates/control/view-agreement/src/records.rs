//! What is on disk.

use binrw::binrw;
use bytes::Bytes;
use chain_replication::DecodeError;

use crate::wire::{ControllerView, Proposal, ProposalNumber};

/// A record for the disk; written and synced in the order in which they come.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// This view was chosen (or founded).
    #[brw(magic = 1u8)]
    Chosen {
        /// The view.
        value: ControllerView,
    },
    /// For the view of this number, nothing below this try is heeded, and our own tries are above it.
    #[brw(magic = 2u8)]
    Promised {
        /// The view to be chosen.
        view_number: u64,
        /// The try.
        proposal_number: ProposalNumber,
    },
    /// This was accepted.
    #[brw(magic = 3u8)]
    Accepted {
        /// The try, and the view.
        proposal: Proposal,
    },
}

impl Record {
    /// As bytes for the disk.
    pub fn encode(&self) -> Bytes {
        chain_replication::to_bytes(self)
    }

    /// From the disk's bytes.
    pub fn decode(bytes: &[u8]) -> Result<Record, DecodeError> {
        chain_replication::from_bytes(bytes)
    }
}

/// What the disk holds at the start; all of it synced.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RecoveredAcceptor {
    /// The newest view known to be chosen.
    pub chosen: Option<ControllerView>,
    /// The view to be chosen, and the highest try heeded for it.
    pub promised: Option<(u64, ProposalNumber)>,
    /// What was accepted last.
    pub accepted: Option<Proposal>,
}

impl RecoveredAcceptor {
    /// Takes the records in the order in which they were written.
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
            Record::Promised {
                view_number: number,
                proposal_number: ballot,
            } => self.promise(number, ballot),
            Record::Accepted { proposal: accepted } => {
                let new = (accepted.value.number(), accepted.number);
                self.promise(new.0, new.1);
                if self
                    .accepted
                    .as_ref()
                    .is_none_or(|old| (old.value.number(), old.number) <= new)
                {
                    self.accepted = Some(accepted);
                }
            }
        }
    }

    fn promise(&mut self, number: u64, ballot: ProposalNumber) {
        if self.promised.is_none_or(|old| old < (number, ballot)) {
            self.promised = Some((number, ballot));
        }
    }

    /// Reads a record and takes it.
    pub fn read(&mut self, record: &[u8]) -> Result<(), DecodeError> {
        self.replay(Record::decode(record)?);
        Ok(())
    }
}
