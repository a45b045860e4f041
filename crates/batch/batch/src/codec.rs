//! Binary encoding of messages, commands and snapshots: little-endian, with a bound on each length.
//!
//! Reading never panics and sets no memory aside for bytes that have not arrived. A value over its
//! bound is neither read nor written.

use binrw::io::{Cursor, Read, Seek, Write};
use binrw::meta::{ReadEndian, WriteEndian};
use binrw::{BinRead, BinResult, BinWrite, Endian};
use bytes::Bytes;
use compact_str::CompactString;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use crate::wire::MAX_NAME;

/// The most bytes for which a buffer is reserved before any of them has been read: a short frame
/// that announces a long field can't claim much memory.
const MAX_RESERVED_BYTES: usize = 64 << 10;
/// The same for the elements of a list.
const MAX_RESERVED_ELEMENTS: usize = 64;

/// Why bytes are no message of the expected type.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes end within a field, or a field has no meaning or is over its bound.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The message is complete and so many bytes follow it.
    #[error("{0} bytes after the end of the message")]
    TrailingBytes(usize),
}

/// A message with a binary encoding.
pub trait Message: Sized {
    /// The message as bytes; empty if a field is over its bound. No reader accepts empty bytes.
    fn encode(&self) -> Bytes;

    /// Reads a message that takes up all of `bytes`.
    ///
    /// # Errors
    /// The bytes are malformed, or more than the message.
    fn decode(bytes: &[u8]) -> Result<Self, DecodeError>;
}

impl<T> Message for T
where
    T: for<'a> BinRead<Args<'a> = ()> + for<'a> BinWrite<Args<'a> = ()> + ReadEndian + WriteEndian,
{
    fn encode(&self) -> Bytes {
        let mut out = Cursor::new(Vec::new());
        match self.write(&mut out) {
            Ok(()) => Bytes::from(out.into_inner()),
            Err(_) => Bytes::new(),
        }
    }

    fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let mut cursor = Cursor::new(bytes);
        let message =
            Self::read(&mut cursor).map_err(|error| DecodeError::Malformed(error.to_string()))?;
        let read = usize::try_from(cursor.position()).unwrap_or(usize::MAX);
        match bytes.len().saturating_sub(read) {
            0 => Ok(message),
            trailing => Err(DecodeError::TrailingBytes(trailing)),
        }
    }
}

fn invalid<S: Seek>(stream: &mut S, message: &str) -> binrw::Error {
    binrw::Error::AssertFail {
        pos: stream.stream_position().unwrap_or(0),
        message: message.to_owned(),
    }
}

fn read_raw<R: Read + Seek>(reader: &mut R, endian: Endian, max: usize) -> BinResult<Vec<u8>> {
    let len = u32::read_options(reader, endian, ())?;
    if len as usize > max {
        return Err(invalid(reader, "too long"));
    }
    let mut out = Vec::with_capacity((len as usize).min(MAX_RESERVED_BYTES));
    reader.by_ref().take(u64::from(len)).read_to_end(&mut out)?;
    if out.len() != len as usize {
        return Err(invalid(reader, "cut off"));
    }
    // Many of these stay in memory for minutes.
    out.shrink_to_fit();
    Ok(out)
}

fn write_raw<W: Write + Seek>(
    writer: &mut W,
    endian: Endian,
    bytes: &[u8],
    max: usize,
) -> BinResult<()> {
    let len = match u32::try_from(bytes.len()) {
        Ok(len) if bytes.len() <= max => len,
        _ => return Err(invalid(writer, "too long")),
    };
    len.write_options(writer, endian, ())?;
    writer.write_all(bytes)?;
    Ok(())
}

/// Reads a UTF-8 text of at most `max` bytes.
#[binrw::parser(reader, endian)]
pub(crate) fn read_text(max: usize) -> BinResult<CompactString> {
    let raw = read_raw(reader, endian, max)?;
    CompactString::from_utf8(raw).map_err(|_| invalid(reader, "not UTF-8"))
}

/// Writes a text of at most `max` bytes.
#[binrw::writer(writer, endian)]
pub(crate) fn write_text(value: &CompactString, max: usize) -> BinResult<()> {
    write_raw(writer, endian, value.as_bytes(), max)
}

/// Reads a name (of a host, a route, a batch job, an item, a header, a machine or a zone).
#[binrw::parser(reader, endian)]
pub(crate) fn read_name() -> BinResult<CompactString> {
    read_text(reader, endian, (MAX_NAME,))
}

/// Writes a name.
#[binrw::writer(writer, endian)]
pub(crate) fn write_name(value: &CompactString) -> BinResult<()> {
    write_text(value, writer, endian, (MAX_NAME,))
}

/// Reads at most `max` bytes.
#[binrw::parser(reader, endian)]
pub(crate) fn read_bytes(max: usize) -> BinResult<Bytes> {
    read_raw(reader, endian, max).map(Bytes::from)
}

/// Writes at most `max` bytes.
#[binrw::writer(writer, endian)]
pub(crate) fn write_bytes(value: &Bytes, max: usize) -> BinResult<()> {
    write_raw(writer, endian, value, max)
}

/// Reads a list of at most `max` elements.
#[binrw::parser(reader, endian)]
pub(crate) fn read_list<T>(max: usize) -> BinResult<Vec<T>>
where
    T: for<'a> BinRead<Args<'a> = ()>,
{
    let count = u32::read_options(reader, endian, ())? as usize;
    if count > max {
        return Err(invalid(reader, "too many"));
    }
    let mut out = Vec::with_capacity(count.min(MAX_RESERVED_ELEMENTS));
    for _ in 0..count {
        out.push(T::read_options(reader, endian, ())?);
    }
    Ok(out)
}

/// Writes a list of at most `max` elements.
#[binrw::writer(writer, endian)]
pub(crate) fn write_list<T>(value: &Vec<T>, max: usize) -> BinResult<()>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    let count = match u32::try_from(value.len()) {
        Ok(count) if value.len() <= max => count,
        _ => return Err(invalid(writer, "too many")),
    };
    count.write_options(writer, endian, ())?;
    for element in value {
        element.write_options(writer, endian, ())?;
    }
    Ok(())
}

/// Reads an address: the IP version (4 or 6), its octets, the port.
#[binrw::parser(reader, endian)]
pub(crate) fn read_address() -> BinResult<SocketAddr> {
    let ip = match u8::read_options(reader, endian, ())? {
        4 => IpAddr::V4(Ipv4Addr::from(<[u8; 4]>::read_options(reader, endian, ())?)),
        6 => IpAddr::V6(Ipv6Addr::from(<[u8; 16]>::read_options(
            reader,
            endian,
            (),
        )?)),
        _ => return Err(invalid(reader, "no address")),
    };
    Ok(SocketAddr::new(ip, u16::read_options(reader, endian, ())?))
}

/// Writes an address.
#[binrw::writer(writer, endian)]
pub(crate) fn write_address(value: &SocketAddr) -> BinResult<()> {
    match value.ip() {
        IpAddr::V4(ip) => {
            4u8.write_options(writer, endian, ())?;
            ip.octets().write_options(writer, endian, ())?;
        }
        IpAddr::V6(ip) => {
            6u8.write_options(writer, endian, ())?;
            ip.octets().write_options(writer, endian, ())?;
        }
    }
    value.port().write_options(writer, endian, ())
}

/// Reads a flag: any byte but 0 is true.
pub(crate) fn flag(byte: u8) -> bool {
    byte != 0
}

/// Writes a flag as 0 or 1.
pub(crate) fn flag_byte(flag: &bool) -> u8 {
    u8::from(*flag)
}
