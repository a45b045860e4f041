//! What controllers tell each other of runs' records, and the form of records on disk.

use binrw::{binrw, BinRead};
use bytes::Bytes;
use chain_replication::to_bytes;
use compact_str::CompactString;
use relay_tree::Stamp;
use runner_registry::{RunRecord, MAX_ID_BYTES};
use std::io::Cursor;

/// Most records in a frame, or in a record of the log: some 40 KB.
pub const MAX_RECORDS: usize = 512;

/// Why bytes are no message or no list of records.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RunRecordError {
    /// They are cut off, too long, or of no known form.
    #[error("run records malformed")]
    Malformed,
    /// An id is no text.
    #[error("id of a run record is not UTF-8")]
    Id,
    /// A record can't be decoded.
    #[error("decode a run record")]
    Record(#[from] runner_registry::EntryError),
}

/// A runner's id and its record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedRunRecord {
    /// The runner's id.
    pub id: CompactString,
    /// The record.
    pub record: RunRecord,
}

/// A record of which a disk holds this version or a newer one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRunRecord {
    /// The runner's id.
    pub id: CompactString,
    /// The stamp of the record.
    pub stamp: Stamp,
}

/// A message between controllers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunRecordMessage {
    /// Write these to disk, and say when they are there.
    Store(Vec<NamedRunRecord>),
    /// The disk of the sender holds these.
    Stored {
        /// The identity of the disk.
        disk: u64,
        /// The records.
        records: Vec<StoredRunRecord>,
    },
}

#[binrw]
#[brw(little)]
struct EncodedRecord {
    #[br(temp, assert(usize::from(id_length) <= MAX_ID_BYTES))]
    #[bw(calc = id.len() as u8)]
    id_length: u8,
    #[br(count = id_length)]
    id: Vec<u8>,
    #[br(temp)]
    #[bw(calc = record.len() as u8)]
    length: u8,
    #[br(count = length)]
    record: Vec<u8>,
}

#[binrw]
#[brw(little)]
struct EncodedRecords {
    #[br(temp, assert(usize::from(count) <= MAX_RECORDS))]
    #[bw(calc = records.len() as u16)]
    count: u16,
    #[br(count = count)]
    records: Vec<EncodedRecord>,
}

#[binrw]
#[brw(little)]
struct EncodedStored {
    #[br(temp, assert(usize::from(id_length) <= MAX_ID_BYTES))]
    #[bw(calc = id.len() as u8)]
    id_length: u8,
    #[br(count = id_length)]
    id: Vec<u8>,
    major: u64,
    minor: u64,
}

#[binrw]
#[brw(little)]
enum EncodedMessage {
    #[brw(magic = 1u8)]
    Store(EncodedRecords),
    #[brw(magic = 2u8)]
    Stored {
        disk: u64,
        #[br(temp, assert(usize::from(count) <= MAX_RECORDS))]
        #[bw(calc = records.len() as u16)]
        count: u16,
        #[br(count = count)]
        records: Vec<EncodedStored>,
    },
}

impl EncodedRecords {
    fn new(records: &[NamedRunRecord]) -> Self {
        let encode = |named: &NamedRunRecord| EncodedRecord {
            id: named.id.as_bytes().to_vec(),
            record: named.record.encode().to_vec(),
        };
        EncodedRecords {
            records: records.iter().take(MAX_RECORDS).map(encode).collect(),
        }
    }

    fn decode(self) -> Result<Vec<NamedRunRecord>, RunRecordError> {
        let decode = |encoded: EncodedRecord| {
            Ok(NamedRunRecord {
                id: decode_id(&encoded.id)?,
                record: RunRecord::decode(&encoded.record)?,
            })
        };
        self.records.into_iter().map(decode).collect()
    }
}

fn decode_id(bytes: &[u8]) -> Result<CompactString, RunRecordError> {
    CompactString::from_utf8(bytes).map_err(|_| RunRecordError::Id)
}

/// Records as a record of the log; those beyond [`MAX_RECORDS`] are left out.
pub fn encode_records(records: &[NamedRunRecord]) -> Bytes {
    to_bytes(&EncodedRecords::new(records))
}

/// Decodes what [`encode_records`] gave. Bytes that follow are ignored.
///
/// # Errors
/// The bytes are no such list.
pub fn decode_records(bytes: &[u8]) -> Result<Vec<NamedRunRecord>, RunRecordError> {
    EncodedRecords::read(&mut Cursor::new(bytes))
        .map_err(|_| RunRecordError::Malformed)?
        .decode()
}

impl RunRecordMessage {
    /// The body of the frame; what is beyond [`MAX_RECORDS`] is left out.
    pub fn encode(&self) -> Bytes {
        to_bytes(&match self {
            RunRecordMessage::Store(records) => EncodedMessage::Store(EncodedRecords::new(records)),
            RunRecordMessage::Stored { disk, records } => {
                let encode = |stored: &StoredRunRecord| EncodedStored {
                    id: stored.id.as_bytes().to_vec(),
                    major: stored.stamp.0,
                    minor: stored.stamp.1,
                };
                EncodedMessage::Stored {
                    disk: *disk,
                    records: records.iter().take(MAX_RECORDS).map(encode).collect(),
                }
            }
        })
    }

    /// Decodes the body of a frame. Bytes that follow are ignored.
    ///
    /// # Errors
    /// The bytes are no message.
    pub fn decode(bytes: &[u8]) -> Result<Self, RunRecordError> {
        let message = EncodedMessage::read(&mut Cursor::new(bytes));
        match message.map_err(|_| RunRecordError::Malformed)? {
            EncodedMessage::Store(records) => Ok(RunRecordMessage::Store(records.decode()?)),
            EncodedMessage::Stored { disk, records } => {
                let decode = |encoded: EncodedStored| {
                    Ok(StoredRunRecord {
                        id: decode_id(&encoded.id)?,
                        stamp: Stamp(encoded.major, encoded.minor),
                    })
                };
                let records = records.into_iter().map(decode);
                Ok(RunRecordMessage::Stored {
                    disk,
                    records: records.collect::<Result<_, RunRecordError>>()?,
                })
            }
        }
    }
}
