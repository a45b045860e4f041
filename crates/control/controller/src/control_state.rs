//! The control state that the chain replicates: the newest configuration, which changes led to it,
//! and the placement of batch partitions on stores.
//!
//! It changes by [`Command`]s alone, in the order of the chain, so all replicas are the same.

use binrw::{binrw, BinRead};
use bytes::Bytes;
use chain_replication::{to_bytes, SnapshotError, StateMachine};
use std::collections::VecDeque;
use std::io::Cursor;

/// So many changes are remembered, to recognize one that is sent again: over an hour of 66,000 a
/// day, and days of hundreds many times over. Each takes 48 bytes, all 192 KiB in the table and its
/// snapshot.
pub const MAX_REMEMBERED_CHANGES: usize = 4_096;

/// What identifies a change of the configuration: the version that it builds on, and its body.
#[binrw]
#[brw(little)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigChange {
    /// The version that it builds on (`Fordrelay-Base-Version`).
    pub base_version: u64,
    /// Its own version (`Gen`).
    pub version: u64,
    /// Digest of its body.
    pub digest: [u8; 32],
}

/// A command of the control state.
#[binrw]
#[brw(little)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// A configuration takes the place of the one before.
    #[brw(magic = 1u8)]
    ReplaceConfig {
        /// What identifies it.
        change: ConfigChange,
        #[br(temp)]
        #[bw(calc = body.len() as u32)]
        length: u32,
        /// The body, as the operator sent it.
        #[br(count = length)]
        body: Vec<u8>,
    },
    /// A placement map takes the place of the one before.
    #[brw(magic = 2u8)]
    ReplacePlacement {
        /// Its number.
        number: u64,
        #[br(temp)]
        #[bw(calc = body.len() as u32)]
        length: u32,
        /// The map, encoded.
        #[br(count = length)]
        body: Vec<u8>,
    },
}

impl Command {
    /// The command as an entry of the chain.
    pub fn encode(&self) -> Bytes {
        to_bytes(self)
    }

    /// Decodes an entry of the chain; none if it is no command of this version. Bytes that follow
    /// are ignored.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        Command::read(&mut Cursor::new(bytes)).ok()
    }
}

/// The state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ControlState {
    /// The newest configuration, and the change that put it there.
    pub config: Option<(ConfigChange, Bytes)>,
    /// The changes that were accepted, the newest last, [`MAX_REMEMBERED_CHANGES`] at most.
    pub accepted_changes: VecDeque<ConfigChange>,
    /// Number of the placement map; 0 if there is none.
    pub placement_number: u64,
    /// The placement map, encoded.
    pub placement: Bytes,
}

impl ControlState {
    /// The version of the newest configuration; 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |(change, _)| change.version)
    }

    /// Whether all changes on this version that were ever accepted are still remembered. Each
    /// change builds on the one accepted before it, so what was forgotten built on older versions
    /// than the oldest that is remembered.
    pub fn remembers_changes_on(&self, base_version: u64) -> bool {
        let is_full = self.accepted_changes.len() >= MAX_REMEMBERED_CHANGES;
        let oldest = self.accepted_changes.front();
        !is_full || oldest.is_none_or(|oldest| base_version >= oldest.base_version)
    }

    /// The version that this very change was accepted as; none if it wasn't.
    pub fn accepted_version(&self, base_version: u64, digest: &[u8; 32]) -> Option<u64> {
        let is_it = |change: &&ConfigChange| {
            change.base_version == base_version && change.digest == *digest
        };
        self.accepted_changes
            .iter()
            .rev()
            .find(is_it)
            .map(|change| change.version)
    }
}

/// The digest of a configuration's body (BLAKE3).
pub fn digest(body: &[u8]) -> [u8; 32] {
    *blake3::hash(body).as_bytes()
}

/// The state in a snapshot.
#[binrw]
#[brw(little)]
struct EncodedState {
    #[br(temp)]
    #[bw(calc = accepted_changes.len() as u32)]
    count: u32,
    #[br(count = count)]
    accepted_changes: Vec<ConfigChange>,
    /// 1 where there is a configuration; it is then that of the newest change.
    has_config: u8,
    #[br(temp)]
    #[bw(calc = config.len() as u32)]
    length: u32,
    #[br(count = length)]
    config: Vec<u8>,
    placement_number: u64,
    #[br(temp)]
    #[bw(calc = placement.len() as u32)]
    placement_length: u32,
    #[br(count = placement_length)]
    placement: Vec<u8>,
}

impl StateMachine for ControlState {
    fn apply(&mut self, _number: u64, command: &[u8]) {
        match Command::decode(command) {
            // The head has checked it; checked again here, since a change that doesn't follow must
            // not count whatever happened there.
            Some(Command::ReplaceConfig { change, body })
                if change.base_version == self.config_version()
                    && change.version > self.config_version() =>
            {
                self.config = Some((change, body.into()));
                self.accepted_changes.push_back(change);
                if self.accepted_changes.len() > MAX_REMEMBERED_CHANGES {
                    self.accepted_changes.pop_front();
                }
            }
            Some(Command::ReplacePlacement { number, body }) if number > self.placement_number => {
                self.placement_number = number;
                self.placement = body.into();
            }
            _ => {}
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let encoded = EncodedState {
            accepted_changes: self.accepted_changes.iter().copied().collect(),
            has_config: u8::from(self.config.is_some()),
            config: self
                .config
                .as_ref()
                .map(|(_, body)| body.to_vec())
                .unwrap_or_default(),
            placement_number: self.placement_number,
            placement: self.placement.to_vec(),
        };
        to_bytes(&encoded).to_vec()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), SnapshotError> {
        let encoded = EncodedState::read(&mut Cursor::new(snapshot))
            .map_err(|error| SnapshotError(error.to_string()))?;
        let newest = encoded.accepted_changes.last().copied();
        let newest = newest.filter(|_| encoded.has_config == 1);
        *self = ControlState {
            config: newest.map(|change| (change, encoded.config.into())),
            accepted_changes: encoded.accepted_changes.into(),
            placement_number: encoded.placement_number,
            placement: encoded.placement.into(),
        };
        Ok(())
    }
}
