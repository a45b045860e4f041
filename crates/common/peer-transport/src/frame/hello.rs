//! The first thing on a connection, from both sides.

use super::{FrameError, VERSION};
use crate::peer::Peer;
use binrw::{binrw, BinRead, BinWrite};
use bytes::{Buf, Bytes, BytesMut};
use compact_str::CompactString;
use std::io::Cursor;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Bytes of a hello that are the same in every version: magic, version, length of the rest.
const PREFIX_BYTES: usize = 8;
/// Most bytes of the rest: an address and two names of at most 255 bytes need 539; what is beyond
/// is for later fields.
const MAX_BODY_BYTES: usize = 1024;

/// Who is at the other end: the first thing on a connection, from both sides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// The sender's own listening address.
    pub addr: SocketAddr,
    /// The sender's identity.
    pub id: u64,
    /// The sender's machine.
    pub node: CompactString,
    /// The sender's zone.
    pub zone: CompactString,
}

impl From<Peer> for Hello {
    fn from(peer: Peer) -> Self {
        Hello {
            addr: peer.addr,
            id: peer.id,
            node: peer.node,
            zone: peer.zone,
        }
    }
}

impl From<Hello> for Peer {
    fn from(hello: Hello) -> Self {
        Peer {
            addr: hello.addr,
            id: hello.id,
            node: hello.node,
            zone: hello.zone,
        }
    }
}

#[binrw]
#[brw(little, magic = b"FRPL")]
struct Prefix {
    version: u16,
    len: u16,
}

#[binrw]
#[brw(little)]
struct Body {
    id: u64,
    ip: Ip,
    port: u16,
    node: Name,
    zone: Name,
}

#[binrw]
#[brw(little)]
enum Ip {
    #[brw(magic = 4u8)]
    V4([u8; 4]),
    #[brw(magic = 6u8)]
    V6([u8; 16]),
}

#[binrw]
#[brw(little)]
struct Name {
    len: u8,
    #[br(count = len)]
    text: Vec<u8>,
}

impl Name {
    /// Truncates at a character boundary to what the length byte can say.
    fn truncated(text: &str) -> Self {
        let mut end = text.len().min(usize::from(u8::MAX));
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let text = text.as_bytes().get(..end).unwrap_or_default().to_vec();
        Self {
            len: u8::try_from(end).unwrap_or(u8::MAX),
            text,
        }
    }

    fn text(&self) -> Result<CompactString, FrameError> {
        CompactString::from_utf8(&self.text).map_err(|_| FrameError::MalformedHello)
    }
}

impl Hello {
    /// Encodes the hello. Names are truncated at 255 bytes.
    pub fn encode(&self) -> Bytes {
        let ip = match self.addr.ip() {
            IpAddr::V4(ip) => Ip::V4(ip.octets()),
            IpAddr::V6(ip) => Ip::V6(ip.octets()),
        };
        let (node, zone) = (Name::truncated(&self.node), Name::truncated(&self.zone));
        let mut body = Cursor::new(Vec::with_capacity(64));
        // Writing to memory can't fail; were it to, the peer would reject the hello as malformed.
        let _ = Body {
            id: self.id,
            ip,
            port: self.addr.port(),
            node,
            zone,
        }
        .write(&mut body);
        let body = body.into_inner();
        let mut hello = Cursor::new(Vec::with_capacity(PREFIX_BYTES + body.len()));
        let len = u16::try_from(body.len()).unwrap_or(u16::MAX);
        let _ = Prefix {
            version: VERSION,
            len,
        }
        .write(&mut hello);
        let mut hello = hello.into_inner();
        hello.extend_from_slice(&body);
        hello.into()
    }

    fn decode_body(body: &[u8]) -> Result<Self, FrameError> {
        let body = Body::read(&mut Cursor::new(body)).map_err(|_| FrameError::MalformedHello)?;
        let ip = match body.ip {
            Ip::V4(ip) => IpAddr::V4(Ipv4Addr::from(ip)),
            Ip::V6(ip) => IpAddr::V6(Ipv6Addr::from(ip)),
        };
        let (node, zone) = (body.node.text()?, body.zone.text()?);
        Ok(Self {
            addr: SocketAddr::new(ip, body.port),
            id: body.id,
            node,
            zone,
        })
    }

    /// Takes the hello from the beginning of the buffer; none until it is complete.
    pub(super) fn take(buffer: &mut BytesMut) -> Result<Option<Self>, FrameError> {
        let Some(mut prefix) = buffer.get(..PREFIX_BYTES) else {
            let known = buffer.iter().zip(b"FRPL").all(|(is, wanted)| is == wanted);
            return if known {
                Ok(None)
            } else {
                Err(FrameError::NotAPeer)
            };
        };
        let prefix =
            Prefix::read(&mut Cursor::new(&mut prefix)).map_err(|_| FrameError::NotAPeer)?;
        if prefix.version != VERSION {
            return Err(FrameError::UnsupportedVersion {
                theirs: prefix.version,
            });
        }
        let len = usize::from(prefix.len);
        if len > MAX_BODY_BYTES {
            return Err(FrameError::MalformedHello);
        }
        let Some(body) = buffer.get(PREFIX_BYTES..PREFIX_BYTES + len) else {
            return Ok(None);
        };
        let hello = Self::decode_body(body)?;
        buffer.advance(PREFIX_BYTES + len);
        Ok(Some(hello))
    }
}
