//! The datagrams between dispatchers, little-endian.

use std::io::Cursor;

use binrw::{binrw, BinRead, BinWrite};
use bytes::Bytes;

/// A datagram that can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("failure detector message malformed")]
pub struct DecodeError;

/// What dispatchers send to each other.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// To a watcher: the sender is alive.
    #[brw(magic = 1u8)]
    Heartbeat {
        /// The sender.
        id: u64,
        /// Rises with every heartbeat.
        heartbeat: u64,
    },
    /// A watcher to the dispatcher that it watches: requests a heartbeat.
    #[brw(magic = 2u8)]
    Probe {
        /// The watcher.
        by: u64,
        /// The dispatcher that it watches.
        of: u64,
    },
    /// A watcher to the other watchers: it receives no heartbeats.
    #[brw(magic = 3u8)]
    Suspect {
        /// The watcher.
        by: u64,
        /// The dispatcher that it watches.
        of: u64,
        /// The last heartbeat received.
        heartbeat: u64,
    },
    /// A watcher to another one: it does receive heartbeats.
    #[brw(magic = 4u8)]
    Alive {
        /// The watcher.
        by: u64,
        /// The dispatcher that it watches.
        of: u64,
        /// The last heartbeat received.
        heartbeat: u64,
        /// How long ago that was, in ms.
        age_ms: u32,
    },
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Bytes {
        let mut cursor = Cursor::new(Vec::with_capacity(32));
        // Writing to memory doesn't fail.
        let _ = self.write(&mut cursor);
        cursor.into_inner().into()
    }

    /// Decodes a message; the bytes may be anything.
    ///
    /// # Errors
    /// The bytes aren't exactly one message.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        let mut cursor = Cursor::new(bytes);
        let message = Message::read(&mut cursor).map_err(|_| DecodeError)?;
        if cursor.position() == bytes.len() as u64 {
            Ok(message)
        } else {
            Err(DecodeError)
        }
    }
}
