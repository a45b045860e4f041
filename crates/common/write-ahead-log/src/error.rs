//! What can go wrong with a ring.

use std::io;

/// Why something couldn't be done. What each means for the operator stands in docs/disk-files.md.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// No room until older records are released, or too much waits for the disk.
    #[error("the ring is full")]
    Full,
    /// The ring was closed.
    #[error("the ring is closed")]
    Closed,
    /// The record doesn't fit in a file.
    #[error("a record of {len} bytes doesn't fit in a file of the ring")]
    TooLong {
        /// Bytes of its body.
        len: usize,
    },
    /// The files were written by a newer program; nothing was touched.
    #[error("{file} has format version {version}, this program knows up to {known}; nothing was touched", known = crate::format::VERSION)]
    Newer {
        /// The file.
        file: String,
        /// Its version.
        version: u16,
    },
    /// The ring is another machine's, or of another role; nothing was touched.
    #[error("{file} belongs to another machine or to another role; nothing was touched")]
    Foreign {
        /// The file.
        file: String,
    },
    /// What had been synced can't be read back.
    #[error("{file} is corrupt at {offset}: {what}")]
    Corrupt {
        /// The file.
        file: String,
        /// Where in it.
        offset: u64,
        /// What is wrong.
        what: &'static str,
    },
    /// The system refused something at the start.
    #[error("{file}: {error}")]
    Io {
        /// The file or folder.
        file: String,
        /// What the system says.
        error: io::Error,
    },
    /// The options can't be served.
    #[error("a ring needs two files of {} bytes each at least", crate::LEAST_FILE)]
    Options,
}
