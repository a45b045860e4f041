//! The file by which one process tells the others, and its successors, what it knows.
//!
//! A line of text says what it is: `fordrelay-note VERSION LENGTH CRC32`, the checksum (CRC-32/ISO-HDLC, in hex) being
//! that of the JSON of LENGTH bytes that follows. A file that is cut, changed or of another kind is told by it and
//! read as nothing. A newer version is left alone; fields that this one does not know are passed over, and those that
//! an older one did not write are empty.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The version that is written, and the newest that is read.
pub const VERSION: u32 = 1;
/// The largest note that is read, bytes.
pub const MAX_BYTES: usize = 8 * 1024 * 1024;
const MAGIC: &str = "fordrelay-note";

/// Why a file is no note that can be read.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandoverError {
    /// It does not begin as one.
    #[error("is no note of fordrelay")]
    Foreign,
    /// A later program wrote it.
    #[error("has version {0}, and {VERSION} is the newest that can be read")]
    Newer(u32),
    /// Its length is another one.
    #[error("holds {0} bytes of {1}")]
    Cut(usize, usize),
    /// Its checksum is another one.
    #[error("does not match its checksum")]
    Changed,
    /// It holds what makes no sense.
    #[error("{0}")]
    Malformed(String),
}

/// The operators' latest word on a target. Times are Unix time in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedOverride {
    /// It is left out.
    pub out: bool,
    /// When they said so.
    pub at: u64,
    /// Since when it has been out, or had been when it was called back.
    pub since: u64,
}

/// What one process tells. `L` is the list of targets in discovery's form, `K` what is known of them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound = "L: Serialize + DeserializeOwned, K: Serialize + DeserializeOwned")]
pub struct HandoverFile<L, K> {
    /// When it was written, Unix time in microseconds.
    pub written: u64,
    /// Connections from clients that it holds.
    #[serde(default)]
    pub clients: usize,
    /// The operators' word on targets, by name.
    #[serde(default)]
    pub words: BTreeMap<String, SavedOverride>,
    /// Where the discovery was that told the list, which a successor believes only if it is configured with it.
    #[serde(default)]
    pub discovery: Option<String>,
    /// The list as it is held, and every target that it ever named.
    #[serde(default = "none")]
    pub list: Option<L>,
    /// What is known of the targets.
    #[serde(default = "none")]
    pub known: Option<K>,
}

fn none<T>() -> Option<T> {
    None
}

impl<L: Serialize + DeserializeOwned, K: Serialize + DeserializeOwned> HandoverFile<L, K> {
    /// The bytes of the file.
    ///
    /// # Errors
    /// What of it can't be written as JSON.
    pub fn encode(&self) -> Result<Vec<u8>, HandoverError> {
        let body = serde_json::to_vec(self).map_err(|e| HandoverError::Malformed(e.to_string()))?;
        let mut file = format!(
            "{MAGIC} {VERSION} {} {:08x}\n",
            body.len(),
            crc32fast::hash(&body)
        )
        .into_bytes();
        file.extend_from_slice(&body);
        Ok(file)
    }

    /// What a file says.
    ///
    /// # Errors
    /// Why it says nothing.
    pub fn decode(file: &[u8]) -> Result<Self, HandoverError> {
        let end = file
            .iter()
            .take(128)
            .position(|b| *b == b'\n')
            .ok_or(HandoverError::Foreign)?;
        let (head, body) = (&file[..end], &file[end + 1..]);
        let head = std::str::from_utf8(head).map_err(|_| HandoverError::Foreign)?;
        let words: Vec<&str> = head.split(' ').collect();
        let [MAGIC, version, rest @ ..] = words.as_slice() else {
            return Err(HandoverError::Foreign);
        };
        let version: u32 = version.parse().map_err(|_| HandoverError::Foreign)?;
        if version > VERSION {
            return Err(HandoverError::Newer(version));
        }
        let [length, checksum] = rest else {
            return Err(HandoverError::Foreign);
        };
        let length: usize = length.parse().map_err(|_| HandoverError::Foreign)?;
        let checksum = u32::from_str_radix(checksum, 16).map_err(|_| HandoverError::Foreign)?;
        if length != body.len() {
            return Err(HandoverError::Cut(body.len(), length));
        }
        if checksum != crc32fast::hash(body) {
            return Err(HandoverError::Changed);
        }
        serde_json::from_slice(body).map_err(|e| HandoverError::Malformed(e.to_string()))
    }
}
