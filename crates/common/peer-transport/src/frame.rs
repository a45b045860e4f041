//! The bytes on a connection: a hello, then frames, all little-endian. No I/O: bytes go in as they
//! come, complete items come out.
//!
//! The format is described in `docs/peer-frames.md`.

mod decoder;
mod hello;

pub use decoder::{Decoder, Item};
pub use hello::Hello;

use binrw::{binrw, BinWrite};
use bytes::Bytes;
use std::io::Cursor;

/// The protocol version that this program speaks.
pub const VERSION: u16 = 1;
/// Bytes before a frame's body.
pub const HEADER_BYTES: usize = 11;

/// Why bytes of a peer were rejected; the connection ends with it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The first bytes aren't a hello's.
    #[error("not a peer of the tier: the connection doesn't begin with a hello")]
    NotAPeer,
    /// A hello of another version.
    #[error("unsupported protocol version {theirs}, expected {VERSION}")]
    UnsupportedVersion {
        /// What the hello says.
        theirs: u16,
    },
    /// A hello of this version that can't be decoded.
    #[error("malformed hello")]
    MalformedHello,
    /// A frame longer than allowed.
    #[error("frame body of {len} bytes exceeds the limit of {limit}")]
    TooLarge {
        /// What the frame's header says.
        len: u32,
        /// The longest body allowed.
        limit: usize,
    },
    /// A frame of a type that is unknown, or that doesn't go in this direction.
    #[error("unexpected frame type {0}")]
    UnexpectedType(u8),
}

/// What a frame is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameType {
    /// A message without a reply.
    OneWay,
    /// Requests a reply with the same call id.
    Call,
    /// The reply to a call.
    Reply,
    /// The call with this id gets no reply.
    NoReply,
}

impl FrameType {
    /// The byte on the wire.
    pub(crate) fn code(self) -> u8 {
        match self {
            Self::OneWay => 0,
            Self::Call => 1,
            Self::Reply => 2,
            Self::NoReply => 3,
        }
    }

    fn from_code(code: u8) -> Result<Self, FrameError> {
        match code {
            0 => Ok(Self::OneWay),
            1 => Ok(Self::Call),
            2 => Ok(Self::Reply),
            3 => Ok(Self::NoReply),
            other => Err(FrameError::UnexpectedType(other)),
        }
    }

    /// The error of a frame of this type that went in the wrong direction.
    pub(crate) fn unexpected(self) -> FrameError {
        FrameError::UnexpectedType(self.code())
    }
}

/// One frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// What it is for.
    pub frame_type: FrameType,
    /// The kind of message, given by those who send; 0 in replies.
    pub kind: u16,
    /// The id of the call on its connection; 0 in one-way messages.
    pub call_id: u32,
    /// The content.
    pub body: Bytes,
}

#[binrw]
#[brw(little)]
struct Header {
    len: u32,
    kind: u16,
    frame_type: u8,
    call_id: u32,
}

impl Frame {
    /// Bytes of the whole frame.
    pub fn len(&self) -> usize {
        HEADER_BYTES + self.body.len()
    }

    /// No frame is empty: it has a header.
    pub fn is_empty(&self) -> bool {
        false
    }

    /// The encoded header, which stands before the body.
    pub fn header(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        let header = Header {
            len: u32::try_from(self.body.len()).unwrap_or(u32::MAX),
            kind: self.kind,
            frame_type: self.frame_type.code(),
            call_id: self.call_id,
        };
        // The array is as long as the header, so writing to it can't fail.
        let _ = header.write(&mut Cursor::new(&mut bytes[..]));
        bytes
    }
}
