//! What dispatchers say to each other.

use std::io::Cursor;

use binrw::{binrw, BinRead, BinWrite};
use bytes::Bytes;

/// A message that can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("ring message malformed")]
pub struct BadMessage;

/// What dispatchers say to each other.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Msg {
    /// To a watcher: I live.
    #[brw(magic = 1u8)]
    Heartbeat {
        /// Who says it.
        id: u64,
        /// Rises with every heartbeat.
        heartbeat: u64,
    },
    /// A watcher to the one that it watches: say something.
    #[brw(magic = 2u8)]
    Ask {
        /// Who asks.
        by: u64,
        /// Who is asked.
        of: u64,
    },
    /// A watcher to the other watchers: I hear nothing of it.
    #[brw(magic = 3u8)]
    Suspect {
        /// Who says it.
        by: u64,
        /// Of whom.
        of: u64,
        /// The last heartbeat that was heard.
        heartbeat: u64,
    },
    /// A watcher to another one: I do hear it.
    #[brw(magic = 4u8)]
    Heard {
        /// Who says it.
        by: u64,
        /// Of whom.
        of: u64,
        /// The last heartbeat that was heard.
        heartbeat: u64,
        /// How long ago that was, in ms.
        ago: u32,
    },
}

impl Msg {
    /// The message as bytes.
    pub fn encode(&self) -> Bytes {
        let mut cursor = Cursor::new(Vec::with_capacity(32));
        // Writing to memory doesn't fail.
        let _ = self.write(&mut cursor);
        cursor.into_inner().into()
    }

    /// Reads a message; anything may stand in the bytes.
    pub fn decode(bytes: &[u8]) -> Result<Msg, BadMessage> {
        let mut cursor = Cursor::new(bytes);
        let msg = Msg::read(&mut cursor).map_err(|_| BadMessage)?;
        if cursor.position() == bytes.len() as u64 {
            Ok(msg)
        } else {
            Err(BadMessage)
        }
    }
}
