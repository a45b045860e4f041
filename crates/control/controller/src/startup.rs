//! What a controller starts with: who it is, and what its disk gives back.

use crate::run_record_message::RunRecordError;
use bytes::Bytes;
use chain_replication::{DecodeError, Member};
use replicated_state::{decode_addresses, encode_addresses};
use std::net::SocketAddr;
use tier_settings::Settings;
use view_agreement::ControllerView;

/// What a record on a controller's disk is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordKind {
    /// Of the agreement on views.
    ViewAgreement = 1,
    /// Of the chain.
    Chain = 2,
    /// The initial members of the tier: the first record of all on the disk of one of them.
    InitialMembers = 3,
    /// Of the agreement on the first view.
    Bootstrap = 4,
    /// Records of runs ([`run_record_message`](crate::run_record_message)).
    RunRecords = 5,
}

/// A record on disk that this version can't decode.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecoveryError {
    /// Of the agreement on views.
    #[error("decode a record of the view agreement")]
    ViewAgreement(#[source] DecodeError),
    /// Of the chain.
    #[error("decode a record of the chain")]
    Chain(#[source] DecodeError),
    /// Of the agreement on the first view.
    #[error("decode a record of the bootstrap")]
    Bootstrap(#[source] DecodeError),
    /// Of runs.
    #[error("decode records of runs")]
    RunRecords(#[source] RunRecordError),
}

/// The records that were on disk, by kind.
#[derive(Debug, Clone, Default)]
pub struct RecoveredState {
    /// The initial members, if this is the disk of one of them.
    pub initial_members: Vec<SocketAddr>,
    bootstrap: Vec<Bytes>,
    view_agreement: Vec<Bytes>,
    chain: Vec<Bytes>,
    run_records: Vec<Bytes>,
}

impl RecoveredState {
    /// Takes the next record, in the order in which they were written; those of other kinds are
    /// ignored.
    pub fn replay(&mut self, kind: u8, body: Bytes) {
        match kind {
            k if k == RecordKind::ViewAgreement as u8 => self.view_agreement.push(body),
            k if k == RecordKind::Chain as u8 => self.chain.push(body),
            k if k == RecordKind::Bootstrap as u8 => self.bootstrap.push(body),
            k if k == RecordKind::RunRecords as u8 => self.run_records.push(body),
            k if k == RecordKind::InitialMembers as u8 => {
                self.initial_members = decode_addresses(&body).unwrap_or_default();
            }
            _ => {}
        }
    }

    /// What the disk holds of a bootstrap.
    pub(crate) fn bootstrap(&self) -> Result<view_agreement::RecoveredAcceptor, RecoveryError> {
        read_agreement(&self.bootstrap).map_err(RecoveryError::Bootstrap)
    }

    /// What the disk holds of the agreement on views.
    pub(crate) fn view_agreement(
        &self,
    ) -> Result<view_agreement::RecoveredAcceptor, RecoveryError> {
        read_agreement(&self.view_agreement).map_err(RecoveryError::ViewAgreement)
    }

    /// What the disk holds of the chain.
    pub(crate) fn chain(&self) -> Result<chain_replication::RecoveredLog, RecoveryError> {
        let mut recovered = chain_replication::RecoveredLog::default();
        for record in &self.chain {
            recovered.replay(
                chain_replication::LogRecord::decode(record).map_err(RecoveryError::Chain)?,
            );
        }
        Ok(recovered)
    }

    /// What the disk holds of runs.
    pub(crate) fn run_records(&self) -> &[Bytes] {
        &self.run_records
    }

    /// Whether this is the disk of an initial member of a version in which all of them had the
    /// identity 0.
    fn is_of_unnumbered_member(&self, addr: SocketAddr) -> bool {
        let chosen = |record: &Bytes| match view_agreement::Record::decode(record) {
            Ok(view_agreement::Record::Chosen { value }) => Some(value),
            _ => None,
        };
        let has_zero =
            |value: ControllerView| value.acceptors.iter().any(|m| m.id == 0 && m.addr == addr);
        self.initial_members.contains(&addr)
            && self.view_agreement.iter().filter_map(chosen).any(has_zero)
    }
}

fn read_agreement(records: &[Bytes]) -> Result<view_agreement::RecoveredAcceptor, DecodeError> {
    let mut recovered = view_agreement::RecoveredAcceptor::default();
    for record in records {
        recovered.read(record)?;
    }
    Ok(recovered)
}

/// The numbers that tell one start of one controller from all others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// Drawn at this start.
    pub incarnation: u64,
    /// The identity of the disk; drawn for this process where it has none.
    pub disk_id: u64,
    /// The disk was empty, and `disk_id` was drawn for it.
    pub disk_was_empty: bool,
}

/// Who a controller is.
#[derive(Debug, Clone)]
pub struct Startup {
    /// Its peer address, and the identity of its disk.
    pub me: Member,
    /// Drawn at this start.
    pub incarnation: u64,
    /// Those with whom it bootstraps the tier, if it is one of them and knows no view yet.
    pub initial_members: Vec<SocketAddr>,
    /// A record that has to be on disk before the controller sends anything.
    pub first_record: Option<Bytes>,
}

impl Startup {
    /// Who this one is, by its settings and its disk.
    pub fn new(
        settings: &Settings,
        addr: SocketAddr,
        identity: ProcessIdentity,
        recovered: &RecoveredState,
    ) -> Self {
        let ProcessIdentity {
            incarnation,
            disk_id,
            disk_was_empty,
        } = identity;
        let members = initial_members(settings, addr, disk_was_empty, recovered);
        let id = if recovered.is_of_unnumbered_member(addr) {
            0
        } else {
            disk_id
        };
        let first_record =
            (disk_was_empty && !members.is_empty()).then(|| encode_addresses(&members));
        let bootstraps = members.contains(&addr) && recovered.view_agreement.is_empty();
        Startup {
            me: Member { id, addr, since: 0 },
            incarnation,
            initial_members: if bootstraps { members } else { Vec::new() },
            first_record,
        }
    }
}

/// The initial members that this process knows of: those on its disk, or its peers when the whole
/// tier starts for the first time.
fn initial_members(
    settings: &Settings,
    addr: SocketAddr,
    disk_was_empty: bool,
    recovered: &RecoveredState,
) -> Vec<SocketAddr> {
    if !recovered.initial_members.is_empty() {
        return recovered.initial_members.clone();
    }
    if !(disk_was_empty && settings.bootstrap) {
        return Vec::new();
    }
    let peers = settings.controller_peers();
    if peers.is_empty() {
        vec![addr]
    } else {
        peers
    }
}
