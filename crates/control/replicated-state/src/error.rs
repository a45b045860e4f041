//! What can be wrong with an entry's bytes.

/// Why bytes are not the entry that was expected.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// They are no list of addresses, or one that is too long.
    #[error("decode a list of addresses")]
    Addresses(#[source] binrw::Error),
    /// They are no dispatcher's entry.
    #[error("decode a dispatcher's entry")]
    Dispatcher(#[source] binrw::Error),
    /// The zone of a dispatcher's entry is not UTF-8.
    #[error("decode the zone of a dispatcher's entry")]
    Zone(#[source] std::str::Utf8Error),
}
