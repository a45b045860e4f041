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
    /// They are no entry or report of a roll-out.
    #[error("decode a roll-out")]
    Rollout(#[source] binrw::Error),
    /// A name in a roll-out is not UTF-8.
    #[error("decode a name in a roll-out")]
    RolloutName(#[source] std::str::Utf8Error),
}
