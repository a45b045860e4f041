//! The record of a run that must outlive the memory of controllers: it drains, it left, or it
//! started under the id of one that had.

use crate::error::EntryError;
use crate::heartbeat::{check_id, Heartbeat};
use binrw::{binrw, BinRead, BinWrite};
use bytes::Bytes;
use compact_str::{format_compact, CompactString};
use relay_tree::{Stamp, StateEntry};
use replicated_state::Address;
use std::io::Cursor;
use std::net::SocketAddr;

/// What the keys of records begin with.
const KEY_PREFIX: &str = "run/";
/// The highest sequence number of a run's first call.
pub(crate) const FIRST_SEQNO: u64 = 1;
/// A first call that comes again while the run is not so far beyond it may have been sent twice.
const MIN_SEQNO_GAP: u64 = 3;
/// In the major part of a record's stamp, where its generation begins; its phase is below.
const GENERATION_SHIFT: u32 = 8;
/// The minor part of the stamp of a record that was evicted: above all sequence numbers.
const EVICTED: u64 = u64::MAX;
/// Most addresses of before that a record keeps. Late calls come for seconds, in which no runner
/// starts anew or moves more often.
pub const MAX_PREVIOUS_ADDRS: usize = 4;

/// How far a run is. Each outranks the one before.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunPhase {
    /// It started, under the id of a run before it.
    Started = 0,
    /// It takes no new requests and will end.
    Draining = 1,
    /// It said that it ends.
    Left = 2,
}

/// What is known of one run of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// How many runs there were under this id before it, of which a controller knew the end.
    pub generation: u8,
    /// How far it is.
    pub phase: RunPhase,
    /// Its first call was received.
    pub first_call_received: bool,
    /// The highest sequence number received of it; 0 if none is known.
    pub seqno: u64,
    /// Where it listened last, if that is known.
    pub addr: Option<SocketAddr>,
    /// Where it listened before it moved, and the runs before it did, the newest first;
    /// [`MAX_PREVIOUS_ADDRS`] at most.
    pub previous_addrs: Vec<SocketAddr>,
}

#[binrw]
#[brw(little, magic = 1u8)]
struct EncodedRecord {
    generation: u8,
    phase: RunPhase,
    #[br(map = |flag: u8| flag != 0)]
    #[bw(map = |flag: &bool| u8::from(*flag))]
    first_call_received: bool,
    seqno: u64,
    addr: Address,
    #[br(temp, assert(usize::from(count) <= MAX_PREVIOUS_ADDRS))]
    #[bw(calc = previous_addrs.len() as u8)]
    count: u8,
    #[br(count = count)]
    previous_addrs: Vec<Address>,
}

impl RunRecord {
    /// The value of the entry that publishes it, and its form on disk.
    pub fn encode(&self) -> Bytes {
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        let encoded = EncodedRecord {
            generation: self.generation,
            phase: self.phase,
            first_call_received: self.first_call_received,
            seqno: self.seqno,
            addr: self.addr.unwrap_or(unknown).into(),
            previous_addrs: self
                .previous_addrs
                .iter()
                .take(MAX_PREVIOUS_ADDRS)
                .map(|addr| Address::from(*addr))
                .collect(),
        };
        let mut cursor = Cursor::new(Vec::new());
        // A vector grows as needed, and none of these types refuses a value.
        let _ = encoded.write(&mut cursor);
        cursor.into_inner().into()
    }

    /// Decodes what [`RunRecord::encode`] gave. Bytes that follow are ignored.
    ///
    /// # Errors
    /// The bytes are no record.
    pub fn decode(bytes: &[u8]) -> Result<Self, EntryError> {
        let encoded =
            EncodedRecord::read(&mut Cursor::new(bytes)).map_err(|_| EntryError::Value)?;
        let known = |addr: Address| Some(SocketAddr::from(addr)).filter(|addr| addr.port() != 0);
        Ok(RunRecord {
            generation: encoded.generation,
            phase: encoded.phase,
            first_call_received: encoded.first_call_received,
            seqno: encoded.seqno,
            addr: known(encoded.addr),
            previous_addrs: encoded
                .previous_addrs
                .into_iter()
                .filter_map(known)
                .collect(),
        })
    }

    /// The stamp of its entry.
    pub fn stamp(&self) -> Stamp {
        Stamp(
            u64::from(self.generation) << GENERATION_SHIFT | self.phase as u64,
            self.seqno,
        )
    }

    /// The generation of the record that has this stamp.
    pub(crate) fn generation_of(stamp: Stamp) -> u8 {
        (stamp.0 >> GENERATION_SHIFT) as u8
    }

    /// The entry that publishes it.
    pub(crate) fn entry(&self, id: &str) -> StateEntry {
        StateEntry {
            key: run_record_key(id),
            stamp: self.stamp(),
            value: Some(self.encode()),
        }
    }

    /// The entry that tells that this record was evicted.
    pub(crate) fn eviction(&self, id: &str) -> StateEntry {
        StateEntry {
            key: run_record_key(id),
            stamp: Stamp(self.stamp().0, EVICTED),
            value: None,
        }
    }

    /// Whether a heartbeat is of a process that started after this run, and not a late one of the
    /// run itself.
    ///
    /// Sequence numbers rise with each call of a run, so a first call is none of a run whose own has
    /// been received. Neither is one from an address that neither the run nor any before it had;
    /// but a first run that is up may move, and goes on as the same.
    pub(crate) fn is_succeeded_by(&self, heartbeat: &Heartbeat) -> bool {
        let is_elsewhere = self.addr.is_some() && !self.listened_at(heartbeat.addr);
        if heartbeat.draining {
            return self.phase == RunPhase::Left && is_elsewhere;
        }
        let is_first_call = heartbeat.seqno <= FIRST_SEQNO
            && self.first_call_received
            && self.seqno >= heartbeat.seqno.saturating_add(MIN_SEQNO_GAP);
        let may_have_moved = self.phase == RunPhase::Started && self.generation == 0;
        if may_have_moved {
            return is_first_call;
        }
        is_first_call || is_elsewhere
    }

    /// Whether a heartbeat is a late one of a run before this one: from where only that listened.
    pub(crate) fn is_preceded_by(&self, heartbeat: &Heartbeat) -> bool {
        self.generation > 0
            && self.addr != Some(heartbeat.addr)
            && self.previous_addrs.contains(&heartbeat.addr)
    }

    /// Adds addresses of before, behind those that are known.
    pub(crate) fn add_previous_addrs(&mut self, addrs: &[SocketAddr]) {
        for addr in addrs {
            let is_full = self.previous_addrs.len() >= MAX_PREVIOUS_ADDRS;
            if !is_full && !self.listened_at(*addr) {
                self.previous_addrs.push(*addr);
            }
        }
    }

    fn listened_at(&self, addr: SocketAddr) -> bool {
        self.addr == Some(addr) || self.previous_addrs.contains(&addr)
    }
}

/// Puts an address before those that are known; `current` is where the runner listens now.
pub(crate) fn remember_addr(known: &mut Vec<SocketAddr>, addr: SocketAddr, current: SocketAddr) {
    known.retain(|other| *other != addr && *other != current);
    if addr != current && addr.port() != 0 {
        known.insert(0, addr);
    }
    known.truncate(MAX_PREVIOUS_ADDRS);
}

/// The key of the entry of a runner's record.
pub fn run_record_key(id: &str) -> CompactString {
    format_compact!("{KEY_PREFIX}{id}")
}

/// The id in the key of a record's entry; none for other keys.
pub fn id_from_run_record_key(key: &str) -> Option<&str> {
    key.strip_prefix(KEY_PREFIX)
        .filter(|id| check_id(id).is_ok())
}
