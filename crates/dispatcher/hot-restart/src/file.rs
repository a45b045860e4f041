//! The file by which one process tells the others, and its successors, what it knows.
//!
//! A line of text says what it is: `fordrelay-note VERSION LENGTH CRC32`, the checksum (CRC-32/ISO-HDLC,
//! in hex) being that of the JSON of LENGTH bytes that follows. A file that is truncated, corrupted or
//! of another kind is recognised and refused. One of a newer version is left alone. Unknown fields are
//! ignored, and absent ones have their defaults, so that versions can read each other.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The version that is written, and the newest that is read.
pub const VERSION: u32 = 1;
/// The largest file that is read, bytes.
pub const MAX_BYTES: usize = 8 * 1024 * 1024;
const MAGIC: &str = "fordrelay-note";
/// The first version that was ever written.
const OLDEST_VERSION: u32 = 1;
/// The checksum has so many hexadecimal digits.
const CHECKSUM_DIGITS: usize = 8;
/// The header line ends within so many bytes.
const MAX_HEADER_BYTES: usize = 128;

/// Why a file is refused.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandoverError {
    /// It does not begin as a handover file.
    #[error("is no note of fordrelay")]
    Foreign,
    /// A newer program wrote it.
    #[error("has version {0}, and {VERSION} is the newest that can be read")]
    Newer(u32),
    /// Its length is not the one in its header: found, and expected.
    #[error("holds {0} bytes of {1}")]
    Cut(usize, usize),
    /// Its checksum is not the one in its header.
    #[error("does not match its checksum")]
    Changed,
    /// Its JSON is malformed, or can't be written.
    #[error("{0}")]
    Malformed(String),
}

/// The latest override of a target by operators. Times are Unix time in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedOverride {
    /// The target is disabled.
    #[serde(rename = "out")]
    pub disabled: bool,
    /// When it was set.
    #[serde(rename = "at")]
    pub set_at: u64,
    /// Since when the target has been disabled, or had been when it was enabled again.
    #[serde(rename = "since")]
    pub disabled_since: u64,
}

/// What one process leaves. `L` is the endpoint list as discovery writes it, `K` what is known of the
/// targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound = "L: Serialize + DeserializeOwned, K: Serialize + DeserializeOwned")]
pub struct HandoverFile<L, K> {
    /// When it was written, Unix time in microseconds.
    #[serde(rename = "written")]
    pub written_at: u64,
    /// Open connections from clients.
    #[serde(default)]
    pub clients: usize,
    /// Overrides of targets, by name.
    #[serde(default, rename = "words")]
    pub overrides: BTreeMap<String, SavedOverride>,
    /// The address of the discovery that sent the list: a successor believes the list only if it is
    /// configured with the same one.
    #[serde(default)]
    pub discovery: Option<String>,
    /// The list, with every target that it has ever named.
    #[serde(default = "none", rename = "list")]
    pub endpoints: Option<L>,
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
    /// It can't be written as JSON.
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

    /// Decodes a file.
    ///
    /// # Errors
    /// It is truncated, corrupted, of another kind or of a newer version.
    pub fn decode(file: &[u8]) -> Result<Self, HandoverError> {
        let newline = file.iter().take(MAX_HEADER_BYTES).position(|b| *b == b'\n');
        let end = newline.ok_or(HandoverError::Foreign)?;
        let (header, body) = (&file[..end], &file[end + 1..]);
        let Header { length, checksum } = Header::decode(header)?;
        if length != body.len() {
            return Err(HandoverError::Cut(body.len(), length));
        }
        if checksum != crc32fast::hash(body) {
            return Err(HandoverError::Changed);
        }
        serde_json::from_slice(body).map_err(|e| HandoverError::Malformed(e.to_string()))
    }
}

/// What the first line says of the rest.
struct Header {
    length: usize,
    checksum: u32,
}

impl Header {
    fn decode(line: &[u8]) -> Result<Self, HandoverError> {
        let foreign = || HandoverError::Foreign;
        let line = std::str::from_utf8(line).map_err(|_| foreign())?;
        let words: Vec<&str> = line.split(' ').collect();
        let [MAGIC, version, rest @ ..] = words.as_slice() else {
            return Err(foreign());
        };
        let version: u32 = version.parse().map_err(|_| foreign())?;
        if version > VERSION {
            return Err(HandoverError::Newer(version));
        }
        if version < OLDEST_VERSION {
            return Err(foreign());
        }
        let [length, checksum] = rest else {
            return Err(foreign());
        };
        // Numbers that were written here have no sign, which parsing would pass over.
        let is_sound = length.bytes().all(|byte| byte.is_ascii_digit())
            && checksum.len() == CHECKSUM_DIGITS
            && checksum.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_sound {
            return Err(foreign());
        }
        Ok(Header {
            length: length.parse().map_err(|_| foreign())?,
            checksum: u32::from_str_radix(checksum, 16).map_err(|_| foreign())?,
        })
    }
}
