//! What is appended to a log.

use bytes::Bytes;

/// A log sequence number: the place of a record among all that were ever appended, from 1 on.
pub type Lsn = u64;

/// A record of the caller. Kind, group and number mean nothing to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// What it is.
    pub kind: u8,
    /// What it belongs to.
    pub group: u32,
    /// Its number there.
    pub number: u64,
    /// The content.
    pub body: Bytes,
}
