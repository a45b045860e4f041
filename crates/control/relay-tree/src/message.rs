//! The messages between tables and their encoding (little-endian, one message a frame).

mod item;

pub(crate) use item::{Chunk, Item};

use std::io::Cursor;

use binrw::{binrw, BinRead, BinWrite};
use bytes::{Bytes, BytesMut};

/// Buckets of a digest: 2 KiB a digest, and a bucket of 65,536 entries then holds 256 of them.
pub(crate) const BUCKETS: usize = 256;

/// A message that can't be decoded.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum DecodeError {
    /// It is cut short, or a field has a value that it can't have.
    #[error("relay message malformed at byte {0}")]
    Malformed(u64),
    /// Something in it is larger than allowed.
    #[error("relay message: {0} too large")]
    TooLarge(&'static str),
}

/// What tables send to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Child to parent: the subscription, its renewal, and what has been received so far.
    Subscribe(Subscribe),
    /// Parent to child: entries, or none as a heartbeat.
    Update(Update),
    /// Child to parent: the subscription ends.
    Unsubscribe {
        /// The child's incarnation.
        incarnation: u64,
    },
}

/// A subscription or its renewal.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subscribe {
    /// The child's incarnation.
    pub incarnation: u64,
    /// The child's identity.
    pub id: u64,
    /// The parent's incarnation that the sequence numbers below belong to; 0 before it is known.
    pub parent_incarnation: u64,
    /// All changes of the parent up to this sequence number have arrived.
    pub received_seq: u64,
    /// So many bytes of the next value have arrived too, if that one comes in chunks.
    pub received_bytes: u32,
    /// All changes up to this sequence number have arrived at the child and at all of its
    /// descendants.
    pub subtree_received_seq: u64,
    /// How many tables hang below the child, at any depth.
    pub descendants: u32,
    /// The child's clock in ms; the parent echoes it.
    pub sent_at: u64,
    /// The parent's newest epoch that the child has seen.
    pub epoch: u32,
    /// The serial of the newest message received in that epoch.
    pub received_serial: u32,
    /// `PEER`, `GAP`, `FULL_COPY`, `REPLY_NOW`.
    pub flags: u8,
    /// How many sums follow: none or one a bucket.
    #[br(temp, assert(usize::from(digest_len) == 0 || usize::from(digest_len) == BUCKETS))]
    #[bw(calc = if digest.is_empty() { 0 } else { BUCKETS as u16 })]
    digest_len: u16,
    /// Empty, or a sum of hashes for each bucket of what the child holds already.
    #[br(count = digest_len)]
    pub digest: Vec<u64>,
}

/// Flag of a subscription: the sender is a controller that follows another controller.
pub(crate) const PEER: u8 = 1;
/// Flag of a subscription: something is missing, send again from `received_seq`.
pub(crate) const GAP: u8 = 2;
/// Flag of a subscription: send everything, as what the child holds is too old to be compared. Flag
/// of an update: it is part of such a full copy.
pub(crate) const FULL_COPY: u8 = 4;
/// Flag of an update: the last chunk of a full copy.
pub(crate) const FULL_COPY_END: u8 = 8;
/// Flag of a subscription: reply at once. A parent that doesn't know the flag replies with its next
/// heartbeat.
pub(crate) const REPLY_NOW: u8 = 16;

/// Entries in the order of the parent's sequence numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Sequence numbers and times.
    pub header: UpdateHeader,
    /// The encoded entries, shared by all subscribers that get the same.
    pub body: Bytes,
}

/// What stands before the entries of an update.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateHeader {
    /// The parent's incarnation; a new one counts from 1 again.
    pub incarnation: u64,
    /// The child's incarnation that this is for.
    pub to_incarnation: u64,
    /// Rises whenever the parent begins to send again from an earlier position.
    pub epoch: u32,
    /// Counts the messages of the epoch that advance the position; a heartbeat repeats the last
    /// one's.
    pub serial: u32,
    /// The child must have all changes up to this sequence number,
    pub from_seq: u64,
    /// and so many bytes of the next value.
    pub from_bytes: u32,
    /// With this message it has all changes up to this sequence number,
    pub to_seq: u64,
    /// and so many bytes of the next value.
    pub to_bytes: u32,
    /// The parent's newest sequence number.
    pub newest_seq: u64,
    /// Bound on the staleness of the parent's state in ms; the largest number: it was never in
    /// contact with a root.
    pub staleness_ms: u32,
    /// Time in ms since word of a root came to the parent, whether or not it has received
    /// everything yet.
    pub root_contact_ms: u32,
    /// `sent_at` of the newest subscription of the child,
    pub echo: u64,
    /// and how long ago in ms the parent received that.
    pub echo_delay_ms: u32,
    /// `FULL_COPY`, `FULL_COPY_END`.
    pub flags: u8,
    /// How many entries follow.
    pub entry_count: u32,
}

/// A position in a parent's sequence of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    /// All changes up to this sequence number.
    pub seq: u64,
    /// And so many bytes of the next value.
    pub bytes: u32,
}

impl Subscribe {
    pub(crate) fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}

impl UpdateHeader {
    pub(crate) fn from(&self) -> Position {
        Position {
            seq: self.from_seq,
            bytes: self.from_bytes,
        }
    }

    pub(crate) fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// The child's time at which what the header says held at the latest: its subscription's time
    /// and the time that the parent kept it.
    pub(crate) fn as_of(&self) -> u64 {
        self.echo.saturating_add(u64::from(self.echo_delay_ms))
    }
}

impl Update {
    /// Decodes the entries of the body.
    pub(crate) fn items(&self) -> Result<Vec<Item>, DecodeError> {
        let mut cursor = Cursor::new(&self.body[..]);
        // The count isn't trusted for an allocation: each item takes 22 bytes at least.
        let most = self.body.len() / Item::MIN_BYTES;
        let mut items = Vec::with_capacity((self.header.entry_count as usize).min(most));
        for _ in 0..self.header.entry_count {
            items.push(Item::decode(&mut cursor)?);
        }
        match cursor.position() == self.body.len() as u64 {
            true => Ok(items),
            false => Err(DecodeError::Malformed(cursor.position())),
        }
    }
}

/// The first byte of a message.
mod tag {
    pub const SUBSCRIBE: u8 = 1;
    pub const UPDATE: u8 = 2;
    pub const UNSUBSCRIBE: u8 = 3;
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Bytes {
        let mut cursor = Cursor::new(Vec::with_capacity(96));
        // Writing to memory doesn't fail.
        let _ = match self {
            Message::Subscribe(subscribe) => tag::SUBSCRIBE
                .write_le(&mut cursor)
                .and_then(|()| subscribe.write(&mut cursor)),
            Message::Update(update) => tag::UPDATE
                .write_le(&mut cursor)
                .and_then(|()| update.header.write(&mut cursor)),
            Message::Unsubscribe { incarnation } => tag::UNSUBSCRIBE
                .write_le(&mut cursor)
                .and_then(|()| incarnation.write_le(&mut cursor)),
        };
        match self {
            Message::Update(update) if !update.body.is_empty() => {
                let header = cursor.into_inner();
                let mut message = BytesMut::with_capacity(header.len() + update.body.len());
                message.extend_from_slice(&header);
                message.extend_from_slice(&update.body);
                message.freeze()
            }
            _ => cursor.into_inner().into(),
        }
    }

    /// Decodes a message; the bytes may be anything.
    ///
    /// # Errors
    /// The bytes aren't exactly one message with all its entries readable and within their limits.
    pub fn decode(bytes: &Bytes) -> Result<Message, DecodeError> {
        let mut cursor = Cursor::new(&bytes[..]);
        let malformed = |_| DecodeError::Malformed(0);
        let message = match u8::read_le(&mut cursor).map_err(malformed)? {
            tag::SUBSCRIBE => Message::Subscribe(Subscribe::read(&mut cursor).map_err(malformed)?),
            tag::UPDATE => {
                let header = UpdateHeader::read(&mut cursor).map_err(malformed)?;
                let update = Update {
                    header,
                    body: bytes.slice(cursor.position() as usize..),
                };
                update.items()?;
                return Ok(Message::Update(update));
            }
            tag::UNSUBSCRIBE => Message::Unsubscribe {
                incarnation: u64::read_le(&mut cursor).map_err(malformed)?,
            },
            _ => return Err(DecodeError::Malformed(0)),
        };
        match cursor.position() == bytes.len() as u64 {
            true => Ok(message),
            false => Err(DecodeError::Malformed(cursor.position())),
        }
    }
}
