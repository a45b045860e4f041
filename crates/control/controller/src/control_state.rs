//! The control state that the chain replicates: the newest configuration, which changes led to it,
//! and the placement of batch partitions on stores.
//!
//! It changes by [`Command`]s alone, in the order of the chain, so all replicas are the same.

use binrw::{binrw, BinRead};
use bytes::Bytes;
use chain_replication::{to_bytes, SnapshotError, StateMachine};
use replicated_state::RolloutState;
use std::collections::{BTreeMap, VecDeque};
use std::io::Cursor;

/// So many changes are remembered, to recognize one that is sent again: over an hour of 66,000 a
/// day, and days of hundreds many times over. Each takes 48 bytes, all 192 KiB in the table and its
/// snapshot.
pub const MAX_REMEMBERED_CHANGES: usize = 4_096;

/// Services of which a roll-out is remembered at most: as many as a configuration may have.
pub const MAX_ROLLOUTS: usize = 1_000;

/// An operator's order to move a service to another version.
#[binrw]
#[brw(little)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    #[br(temp)]
    #[bw(calc = service.len() as u16)]
    service_length: u16,
    /// The service, in UTF-8.
    #[br(count = service_length)]
    pub service: Vec<u8>,
    #[br(temp)]
    #[bw(calc = target.len() as u16)]
    target_length: u16,
    /// The new version, in UTF-8.
    #[br(count = target_length)]
    pub target: Vec<u8>,
    /// Within so many milliseconds it is to be done (`OverS`).
    pub over_ms: u64,
    /// The time of day at which it was taken, in milliseconds.
    pub begun_unix_ms: u64,
}

/// The newest roll-out of a service.
#[binrw]
#[brw(little)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRecord {
    /// The number of the command that began it: rises with each roll-out, and fences what is said
    /// of the one before.
    pub id: u64,
    /// How far it is.
    pub state: RolloutState,
    /// The order.
    pub order: RolloutOrder,
}

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
    /// A roll-out begins, if none of the service is under way.
    #[brw(magic = 3u8)]
    BeginRollout {
        /// The order.
        order: RolloutOrder,
    },
    /// The roll-out of this id ends, if it is under way.
    #[brw(magic = 4u8)]
    EndRollout {
        /// Its id.
        id: u64,
        /// How it ends.
        state: RolloutState,
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
    /// The newest roll-out of each service, [`MAX_ROLLOUTS`] at most.
    pub rollouts: BTreeMap<Vec<u8>, RolloutRecord>,
}

impl ControlState {
    /// The version of the newest configuration; 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |(change, _)| change.version)
    }

    /// The newest roll-out of a service.
    pub fn rollout(&self, service: &str) -> Option<&RolloutRecord> {
        self.rollouts.get(service.as_bytes())
    }

    fn begin_rollout(&mut self, id: u64, order: RolloutOrder) {
        let known = self.rollouts.get(&order.service);
        let is_full = known.is_none() && self.rollouts.len() >= MAX_ROLLOUTS;
        if is_full || known.is_some_and(|record| record.state == RolloutState::Rolling) {
            return;
        }
        let state = RolloutState::Rolling;
        let service = order.service.clone();
        self.rollouts
            .insert(service, RolloutRecord { id, state, order });
    }

    fn end_rollout(&mut self, id: u64, state: RolloutState) {
        let mut records = self.rollouts.values_mut();
        let record = records.find(|record| record.id == id);
        if let Some(record) = record.filter(|record| record.state == RolloutState::Rolling) {
            record.state = state;
        }
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

/// What follows the state in a snapshot once there was a roll-out. An older version ignores it.
#[binrw]
#[brw(little)]
struct EncodedRollouts {
    #[br(temp, assert(usize::from(count) <= MAX_ROLLOUTS))]
    #[bw(calc = rollouts.len() as u16)]
    count: u16,
    #[br(count = count)]
    rollouts: Vec<RolloutRecord>,
}

impl StateMachine for ControlState {
    fn apply(&mut self, number: u64, command: &[u8]) {
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
            Some(Command::BeginRollout { order }) => self.begin_rollout(number, order),
            Some(Command::EndRollout { id, state }) => self.end_rollout(id, state),
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
        let mut snapshot = to_bytes(&encoded).to_vec();
        if !self.rollouts.is_empty() {
            let rollouts = self.rollouts.values().cloned().collect();
            snapshot.extend_from_slice(&to_bytes(&EncodedRollouts { rollouts }));
        }
        snapshot
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), SnapshotError> {
        let unreadable = |error: binrw::Error| SnapshotError(error.to_string());
        let mut cursor = Cursor::new(snapshot);
        let encoded = EncodedState::read(&mut cursor).map_err(unreadable)?;
        let rollouts = if cursor.position() < snapshot.len() as u64 {
            EncodedRollouts::read(&mut cursor)
                .map_err(unreadable)?
                .rollouts
        } else {
            Vec::new()
        };
        let newest = encoded.accepted_changes.last().copied();
        let newest = newest.filter(|_| encoded.has_config == 1);
        *self = ControlState {
            config: newest.map(|change| (change, encoded.config.into())),
            accepted_changes: encoded.accepted_changes.into(),
            placement_number: encoded.placement_number,
            placement: encoded.placement.into(),
            rollouts: rollouts
                .into_iter()
                .map(|record| (record.order.service.clone(), record))
                .collect(),
        };
        Ok(())
    }
}
