//! Reading and writing the layouts of records and frames, big-endian.
//!
//! Reading never panics, and never allocates more than came.

use std::io::{Cursor, Read};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use binrw::meta::{ReadEndian, WriteEndian};
use binrw::{BinRead, BinResult, BinWrite, Error};
use bytes::Bytes;

/// What a value takes in memory before it grows: most messages and records are shorter.
const USUAL_BYTES: usize = 128;

/// Bytes that hold no value of the expected layout.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// A field is invalid, or the bytes end too soon. Holds what the layout expected, and where.
    #[error("1202: not readable: {0}")]
    Malformed(String),
    /// There are more bytes than the layout has. Holds how many.
    #[error("1203: {0} bytes too many")]
    TrailingBytes(usize),
}

/// The bytes of a value.
pub fn to_bytes<T>(value: &T) -> Bytes
where
    T: for<'a> BinWrite<Args<'a> = ()> + WriteEndian,
{
    let mut out = Cursor::new(Vec::with_capacity(USUAL_BYTES));
    // Writing to memory fails only where a count does not fit its field, and counts are bounded.
    match value.write(&mut out) {
        Ok(()) => Bytes::from(out.into_inner()),
        Err(_) => Bytes::new(),
    }
}

/// The value of these bytes, all of which must belong to it.
///
/// # Errors
/// The bytes are malformed, too short or too long.
pub fn from_bytes<T>(bytes: &[u8]) -> Result<T, DecodeError>
where
    T: for<'a> BinRead<Args<'a> = ()> + ReadEndian,
{
    let mut input = Cursor::new(bytes);
    let value = T::read(&mut input).map_err(|error| DecodeError::Malformed(error.to_string()))?;
    let end = usize::try_from(input.position()).unwrap_or(usize::MAX);
    match bytes.len().saturating_sub(end) {
        0 => Ok(value),
        trailing => Err(DecodeError::TrailingBytes(trailing)),
    }
}

/// Reads an address: its family (4 or 6), its bytes, the port.
///
/// # Errors
/// The bytes end too soon, or the family is neither 4 nor 6.
#[binrw::parser(reader, endian)]
pub fn read_addr() -> BinResult<SocketAddr> {
    let pos = reader.stream_position()?;
    let ip = match u8::read_options(reader, endian, ())? {
        4 => IpAddr::from(Ipv4Addr::from(<[u8; 4]>::read_options(reader, endian, ())?)),
        6 => IpAddr::from(Ipv6Addr::from(<[u8; 16]>::read_options(
            reader,
            endian,
            (),
        )?)),
        family => {
            let message = format!("family {family} is neither 4 nor 6");
            return Err(Error::AssertFail { pos, message });
        }
    };
    Ok(SocketAddr::new(ip, u16::read_options(reader, endian, ())?))
}

/// Writes an address as [`read_addr`] reads it.
///
/// # Errors
/// The writer fails.
#[binrw::writer(writer, endian)]
pub fn write_addr(addr: &SocketAddr) -> BinResult<()> {
    match addr.ip() {
        IpAddr::V4(ip) => (4u8, ip.octets()).write_options(writer, endian, ())?,
        IpAddr::V6(ip) => (6u8, ip.octets()).write_options(writer, endian, ())?,
    }
    addr.port().write_options(writer, endian, ())
}

/// Reads a length in four bytes and so many bytes, at most `max_bytes`.
///
/// # Errors
/// The bytes end too soon, or the length is above `max_bytes`.
#[binrw::parser(reader, endian)]
pub fn read_bytes(max_bytes: u32) -> BinResult<Bytes> {
    let pos = reader.stream_position()?;
    let len = u32::read_options(reader, endian, ())?;
    if len > max_bytes {
        return Err(Error::AssertFail {
            pos,
            message: format!("{len} bytes are more than {max_bytes}"),
        });
    }
    let mut bytes = Vec::new();
    let got = reader.take(u64::from(len)).read_to_end(&mut bytes)?;
    if got as u64 != u64::from(len) {
        return Err(Error::AssertFail {
            pos,
            message: format!("{got} bytes came of {len}"),
        });
    }
    Ok(Bytes::from(bytes))
}

/// Writes bytes as [`read_bytes`] reads them.
///
/// # Errors
/// There are more than 4 GiB, or the writer fails.
#[binrw::writer(writer, endian)]
pub fn write_bytes(bytes: &Bytes) -> BinResult<()> {
    let pos = writer.stream_position()?;
    let len = u32::try_from(bytes.len()).map_err(|_| Error::AssertFail {
        pos,
        message: "more than 4 GiB".to_owned(),
    })?;
    len.write_options(writer, endian, ())?;
    writer.write_all(bytes)?;
    Ok(())
}
