//! From the bytes of a connection to a hello and frames.

use super::{Frame, FrameError, FrameType, Header, Hello, HEADER_BYTES};
use binrw::BinRead;
use bytes::{Buf, Bytes, BytesMut};
use std::io::Cursor;

/// Capacity of the buffer that is reserved for a read.
const READ_BYTES: usize = 16 << 10;
/// A buffer that grew beyond this for a long frame isn't kept; a connection lives long.
const MAX_BUFFER_KEPT_BYTES: usize = 512 << 10;
/// Shorter bodies are copied, so that one that is kept for long doesn't hold the whole buffer.
const MIN_UNCOPIED_BYTES: usize = 4 << 10;

/// What comes out of a connection's bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Item {
    /// The first item.
    Hello(Hello),
    /// All the others.
    Frame(Frame),
}

/// Turns bytes into a hello and frames.
pub struct Decoder {
    buffer: BytesMut,
    max_body_bytes: usize,
    hello_received: bool,
}

impl Decoder {
    /// For a connection whose frames have bodies of `max_body_bytes` at most.
    pub fn new(max_body_bytes: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            max_body_bytes,
            hello_received: false,
        }
    }

    /// The buffer to read into, with capacity for a good read.
    pub fn buffer(&mut self) -> &mut BytesMut {
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_BUFFER_KEPT_BYTES {
            self.buffer = BytesMut::new();
        }
        if self.buffer.capacity() - self.buffer.len() < READ_BYTES / 4 {
            self.buffer.reserve(READ_BYTES);
        }
        &mut self.buffer
    }

    /// Takes in bytes that were read elsewhere.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete item, or none until more bytes are there.
    ///
    /// # Errors
    /// The bytes are rejected; the connection is of no more use.
    pub fn next_item(&mut self) -> Result<Option<Item>, FrameError> {
        if self.hello_received {
            return Ok(self.frame()?.map(Item::Frame));
        }
        let hello = Hello::take(&mut self.buffer)?;
        self.hello_received = hello.is_some();
        Ok(hello.map(Item::Hello))
    }

    fn frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(header) = self.buffer.get(..HEADER_BYTES) else {
            return Ok(None);
        };
        let Ok(header) = Header::read(&mut Cursor::new(header)) else {
            return Ok(None);
        };
        let frame_type = FrameType::from_code(header.frame_type)?;
        let too_large = FrameError::TooLarge {
            len: header.len,
            limit: self.max_body_bytes,
        };
        let len = usize::try_from(header.len).ok();
        let len = len
            .filter(|len| *len <= self.max_body_bytes)
            .ok_or(too_large)?;
        if self.buffer.len() < HEADER_BYTES + len {
            // Capacity for the whole frame at once, so that a long one isn't copied again and again
            // as it grows.
            self.buffer.reserve(HEADER_BYTES + len - self.buffer.len());
            return Ok(None);
        }
        self.buffer.advance(HEADER_BYTES);
        let body = if len < MIN_UNCOPIED_BYTES {
            let body = Bytes::copy_from_slice(self.buffer.get(..len).unwrap_or_default());
            self.buffer.advance(len);
            body
        } else {
            self.buffer.split_to(len).freeze()
        };
        Ok(Some(Frame {
            frame_type,
            kind: header.kind,
            call_id: header.call_id,
            body,
        }))
    }
}
