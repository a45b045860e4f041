//! Socket addresses in frames and entries: 16 bytes of IPv6 (IPv4 mapped), then the port.

use crate::encoding::to_bytes;
use crate::error::DecodeError;
use binrw::{binrw, BinRead};
use bytes::Bytes;
use std::io::Cursor;
use std::net::{IpAddr, Ipv6Addr, SocketAddr};

/// Most addresses in a list; more are left out when it is encoded, and refused when it is decoded.
pub const MAX_ADDRESSES: u32 = 4_096;

/// A socket address as it is encoded, for use as a field of other frames.
#[binrw]
#[brw(little)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Address {
    ip: [u8; 16],
    port: u16,
}

impl From<SocketAddr> for Address {
    fn from(addr: SocketAddr) -> Self {
        let ip = match addr.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped(),
            IpAddr::V6(ip) => ip,
        };
        Address {
            ip: ip.octets(),
            port: addr.port(),
        }
    }
}

impl From<Address> for SocketAddr {
    fn from(addr: Address) -> Self {
        let ip = Ipv6Addr::from(addr.ip);
        SocketAddr::new(
            ip.to_ipv4_mapped().map_or(IpAddr::V6(ip), IpAddr::V4),
            addr.port,
        )
    }
}

#[binrw]
#[brw(little)]
struct AddressList {
    #[br(temp, assert(count <= MAX_ADDRESSES))]
    #[bw(calc = addresses.len() as u32)]
    count: u32,
    #[br(count = count)]
    addresses: Vec<Address>,
}

/// Encodes a list of addresses; those beyond [`MAX_ADDRESSES`] are left out.
pub fn encode_addresses(addresses: &[SocketAddr]) -> Bytes {
    let addresses = addresses.iter().take(MAX_ADDRESSES as usize);
    to_bytes(&AddressList {
        addresses: addresses.map(|addr| (*addr).into()).collect(),
    })
}

/// Decodes a list of addresses. Bytes that follow it are ignored.
///
/// # Errors
/// The bytes are no such list, or announce more than [`MAX_ADDRESSES`].
pub fn decode_addresses(bytes: &[u8]) -> Result<Vec<SocketAddr>, DecodeError> {
    let list = AddressList::read(&mut Cursor::new(bytes)).map_err(DecodeError::Addresses)?;
    Ok(list.addresses.into_iter().map(Into::into).collect())
}
