//! How a runner is written into an entry of the replicated state table.

use crate::error::EntryError;
use crate::heartbeat::{check_id, MAX_MODELS, MAX_NAME_BYTES};
use crate::runner::{Model, Runner, RunnerState};
use crate::stamp;
use binrw::{binrw, BinRead, BinWrite};
use bytes::Bytes;
use compact_str::{format_compact, CompactString};
use relay_tree::{Stamp, StateEntry};
use std::io::Cursor;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// What the keys of runners' entries begin with.
const KEY_PREFIX: &str = "runner/";
/// Usual size of an encoded runner, in bytes.
const USUAL_BYTES: usize = 128;

#[binrw]
#[brw(little, magic = 1u8)]
struct EncodedRunner {
    #[br(assert(state <= 1))]
    state: u8,
    owner: u64,
    seqno: u64,
    slots: u32,
    warmup_left_ms: u64,
    #[br(assert(ip_len == 4 || ip_len == 16))]
    ip_len: u8,
    #[br(count = ip_len)]
    ip: Vec<u8>,
    port: u16,
    service: EncodedName,
    zone: EncodedName,
    software_version: EncodedName,
    phase: EncodedName,
    #[br(assert(usize::from(models_len) <= MAX_MODELS))]
    models_len: u8,
    #[br(count = models_len)]
    models: Vec<EncodedModel>,
}

#[binrw]
#[brw(little)]
struct EncodedModel {
    name: EncodedName,
    version: u64,
}

#[binrw]
#[brw(little)]
struct EncodedName {
    #[br(assert(usize::from(len) <= MAX_NAME_BYTES))]
    len: u8,
    #[br(count = len)]
    text: Vec<u8>,
}

impl EncodedName {
    fn new(text: &str) -> EncodedName {
        let text = text
            .as_bytes()
            .iter()
            .copied()
            .take(MAX_NAME_BYTES)
            .collect::<Vec<_>>();
        EncodedName {
            len: text.len() as u8,
            text,
        }
    }

    fn decode(&self) -> Result<CompactString, EntryError> {
        CompactString::from_utf8(&self.text).map_err(|_| EntryError::Value)
    }
}

impl EncodedRunner {
    fn new(runner: &Runner) -> EncodedRunner {
        let ip = match runner.addr.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        let encode = |model: &Model| EncodedModel {
            name: EncodedName::new(&model.name),
            version: model.version,
        };
        let models = runner
            .models
            .iter()
            .take(MAX_MODELS)
            .map(encode)
            .collect::<Vec<_>>();
        EncodedRunner {
            state: u8::from(runner.state == RunnerState::Draining),
            owner: runner.owner,
            seqno: runner.seqno,
            slots: runner.slots,
            warmup_left_ms: runner.warmup_left_ms,
            ip_len: ip.len() as u8,
            ip,
            port: runner.addr.port(),
            service: EncodedName::new(&runner.service),
            zone: EncodedName::new(&runner.zone),
            software_version: EncodedName::new(&runner.software_version),
            phase: EncodedName::new(&runner.phase),
            models_len: models.len() as u8,
            models,
        }
    }

    fn decode(&self, id: &str) -> Result<Runner, EntryError> {
        let ip = match (
            <[u8; 4]>::try_from(&self.ip[..]),
            <[u8; 16]>::try_from(&self.ip[..]),
        ) {
            (Ok(octets), _) => IpAddr::V4(Ipv4Addr::from(octets)),
            (_, Ok(octets)) => IpAddr::V6(Ipv6Addr::from(octets)),
            _ => return Err(EntryError::Value),
        };
        let decode = |model: &EncodedModel| {
            Ok(Model {
                name: model.name.decode()?,
                version: model.version,
            })
        };
        Ok(Runner {
            id: id.into(),
            service: self.service.decode()?,
            addr: SocketAddr::new(ip, self.port),
            zone: self.zone.decode()?,
            software_version: self.software_version.decode()?,
            slots: self.slots,
            state: if self.state == 0 {
                RunnerState::Up
            } else {
                RunnerState::Draining
            },
            warmup_left_ms: self.warmup_left_ms,
            phase: self.phase.decode()?,
            models: self
                .models
                .iter()
                .map(decode)
                .collect::<Result<_, EntryError>>()?,
            seqno: self.seqno,
            owner: self.owner,
        })
    }
}

/// The key of a runner's entry.
pub fn entry_key(id: &str) -> CompactString {
    format_compact!("{KEY_PREFIX}{id}")
}

/// The id in the key of a runner's entry; none for other keys.
pub fn id_from_key(key: &str) -> Option<&str> {
    key.strip_prefix(KEY_PREFIX)
        .filter(|id| check_id(id).is_ok())
}

/// An entry that says that a runner is gone.
pub(crate) fn tombstone(id: &str, stamp: Stamp) -> StateEntry {
    StateEntry {
        key: entry_key(id),
        stamp,
        value: None,
    }
}

impl Runner {
    /// Decodes a runner's entry. One without a value is a runner that is gone, of which only the id
    /// and the sequence number are known.
    ///
    /// # Errors
    /// The key is not that of a runner, or the value is no encoded runner.
    pub fn read(entry: &StateEntry) -> Result<Runner, EntryError> {
        let id = id_from_key(&entry.key).ok_or(EntryError::Key)?;
        let Some(value) = &entry.value else {
            return Ok(Runner::gone(id, stamp::seqno(entry.stamp)));
        };
        let mut cursor = Cursor::new(&value[..]);
        let encoded = EncodedRunner::read(&mut cursor).map_err(|_| EntryError::Value)?;
        if cursor.position() != value.len() as u64 {
            return Err(EntryError::Value);
        }
        encoded.decode(id)
    }

    /// The entry that publishes this runner.
    pub(crate) fn state_entry(&self, generation: u8) -> StateEntry {
        let mut cursor = Cursor::new(Vec::with_capacity(USUAL_BYTES));
        // A vector grows as needed, and none of these types refuses a value.
        let _ = EncodedRunner::new(self).write(&mut cursor);
        let value = Some(Bytes::from(cursor.into_inner()));
        StateEntry {
            key: entry_key(&self.id),
            stamp: stamp::said(generation, self.seqno, self.state == RunnerState::Draining),
            value,
        }
    }
}
