//! The entry that a controller publishes for each dispatcher that announces itself to it.

use crate::address::Address;
use crate::encoding::to_bytes;
use crate::error::DecodeError;
use binrw::{binrw, BinRead};
use bytes::Bytes;
use compact_str::CompactString;
use std::io::Cursor;
use std::net::SocketAddr;

/// Longest zone in an entry, in bytes; what is beyond is cut off.
pub const MAX_ZONE_BYTES: usize = 256;

/// A dispatcher that runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatcher {
    /// Its address for peers.
    pub addr: SocketAddr,
    /// Its incarnation: a random number drawn at each start.
    pub id: u64,
    /// The incarnation of the controller that published the entry.
    pub owner: u64,
    /// Its zone.
    pub zone: CompactString,
}

#[binrw]
#[brw(little)]
struct EncodedDispatcher {
    addr: Address,
    id: u64,
    owner: u64,
    #[br(temp)]
    #[bw(calc = zone.len() as u16)]
    length: u16,
    #[br(count = length)]
    zone: Vec<u8>,
}

impl Dispatcher {
    /// The value of the entry.
    pub fn encode(&self) -> Bytes {
        let zone = self
            .zone
            .as_bytes()
            .iter()
            .take(MAX_ZONE_BYTES)
            .copied()
            .collect();
        to_bytes(&EncodedDispatcher {
            addr: self.addr.into(),
            id: self.id,
            owner: self.owner,
            zone,
        })
    }

    /// Decodes the value of an entry. Bytes that follow it are ignored.
    ///
    /// # Errors
    /// The bytes are no dispatcher's entry.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let encoded =
            EncodedDispatcher::read(&mut Cursor::new(bytes)).map_err(DecodeError::Dispatcher)?;
        let zone = std::str::from_utf8(&encoded.zone).map_err(DecodeError::Zone)?;
        Ok(Dispatcher {
            addr: encoded.addr.into(),
            id: encoded.id,
            owner: encoded.owner,
            zone: zone.into(),
        })
    }
}
