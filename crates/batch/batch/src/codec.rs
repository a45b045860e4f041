//! Reading and writing of bounded fields for binrw, shared by the wire, the commands and the snapshot.

use binrw::io::{Cursor, Read, Seek, Write};
use binrw::meta::{ReadEndian, WriteEndian};
use binrw::{BinRead, BinResult, BinWrite, Endian};
use bytes::Bytes;
use compact_str::CompactString;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Bytes that are no message of the kind.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// They break off, or a field has no meaning or is over its bound.
    #[error("no message of this kind: {0}")]
    Malformed(String),
    /// There are more bytes behind the message.
    #[error("{0} bytes behind the message")]
    TrailingBytes(usize),
}

/// A message that turns into bytes and back.
pub trait Message: Sized {
    /// As bytes; none when a field is over its bound, which nobody reads as a message.
    fn encode(&self) -> Bytes;
    /// From bytes, whole.
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
        let behind = bytes
            .len()
            .saturating_sub(usize::try_from(cursor.position()).unwrap_or(usize::MAX));
        if behind > 0 {
            return Err(DecodeError::TrailingBytes(behind));
        }
        Ok(message)
    }
}

fn bad<R: Seek>(reader: &mut R, message: &str) -> binrw::Error {
    binrw::Error::AssertFail {
        pos: reader.stream_position().unwrap_or(0),
        message: message.to_owned(),
    }
}

fn raw<R: Read + Seek>(reader: &mut R, endian: Endian, max: usize) -> BinResult<Vec<u8>> {
    let len = u32::read_options(reader, endian, ())?;
    if len as usize > max {
        return Err(bad(reader, "too long"));
    }
    // Little memory is set aside on the word of a length alone: a short frame can't claim much.
    let mut out = Vec::with_capacity((len as usize).min(64 << 10));
    reader.by_ref().take(u64::from(len)).read_to_end(&mut out)?;
    if out.len() != len as usize {
        return Err(bad(reader, "cut off"));
    }
    // Many of these are kept for minutes.
    out.shrink_to_fit();
    Ok(out)
}

fn put_raw<W: Write + Seek>(
    writer: &mut W,
    endian: Endian,
    bytes: &[u8],
    max: usize,
) -> BinResult<()> {
    let len = match u32::try_from(bytes.len()) {
        Ok(len) if bytes.len() <= max => len,
        _ => return Err(bad(writer, "too long")),
    };
    len.write_options(writer, endian, ())?;
    writer.write_all(bytes)?;
    Ok(())
}

/// Reads a text of at most `max` bytes.
#[binrw::parser(reader, endian)]
pub(crate) fn text(max: usize) -> BinResult<CompactString> {
    let raw = raw(reader, endian, max)?;
    CompactString::from_utf8(raw).map_err(|_| bad(reader, "not UTF-8"))
}

/// Writes a text of at most `max` bytes.
#[binrw::writer(writer, endian)]
pub(crate) fn put_text(value: &CompactString, max: usize) -> BinResult<()> {
    put_raw(writer, endian, value.as_bytes(), max)
}

/// Reads at most `max` bytes.
#[binrw::parser(reader, endian)]
pub(crate) fn bytes(max: usize) -> BinResult<Bytes> {
    raw(reader, endian, max).map(Bytes::from)
}

/// Writes at most `max` bytes.
#[binrw::writer(writer, endian)]
pub(crate) fn put_bytes(value: &Bytes, max: usize) -> BinResult<()> {
    put_raw(writer, endian, value, max)
}

/// Reads a list of at most `max` elements.
#[binrw::parser(reader, endian)]
pub(crate) fn list<T>(max: usize) -> BinResult<Vec<T>>
where
    T: for<'a> BinRead<Args<'a> = ()>,
{
    let count = u32::read_options(reader, endian, ())? as usize;
    if count > max {
        return Err(bad(reader, "too many"));
    }
    let mut out = Vec::with_capacity(count.min(64));
    for _ in 0..count {
        out.push(T::read_options(reader, endian, ())?);
    }
    Ok(out)
}

/// Writes a list of at most `max` elements.
#[binrw::writer(writer, endian)]
pub(crate) fn put_list<T>(value: &Vec<T>, max: usize) -> BinResult<()>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    let count = match u32::try_from(value.len()) {
        Ok(count) if value.len() <= max => count,
        _ => return Err(bad(writer, "too many")),
    };
    count.write_options(writer, endian, ())?;
    for element in value {
        element.write_options(writer, endian, ())?;
    }
    Ok(())
}

/// Reads an address.
#[binrw::parser(reader, endian)]
pub(crate) fn socket_address() -> BinResult<SocketAddr> {
    let kind = u8::read_options(reader, endian, ())?;
    let ip = match kind {
        4 => IpAddr::V4(Ipv4Addr::from(<[u8; 4]>::read_options(reader, endian, ())?)),
        6 => IpAddr::V6(Ipv6Addr::from(<[u8; 16]>::read_options(
            reader,
            endian,
            (),
        )?)),
        _ => return Err(bad(reader, "no address")),
    };
    Ok(SocketAddr::new(ip, u16::read_options(reader, endian, ())?))
}

/// Writes an address.
#[binrw::writer(writer, endian)]
pub(crate) fn put_address(value: &SocketAddr) -> BinResult<()> {
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
