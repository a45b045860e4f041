//! Why a heartbeat or an entry is rejected.

/// Why a heartbeat is rejected. Its text and its number reach the runner in the answer to its call
/// (code 1320 in docs/result-codes.md), so both stay.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeartbeatError {
    /// The id in the path is empty, too long, or has other than visible ASCII characters, or a
    /// slash.
    #[error("heartbeat 1: bad id")]
    BadId,
    /// The body is larger than [`MAX_BODY_BYTES`](crate::MAX_BODY_BYTES).
    #[error("heartbeat 2: body too large")]
    TooLarge,
    /// The body is no JSON, or isn't an object.
    #[error("heartbeat 3: not a JSON object")]
    NotJson,
    /// A member is missing.
    #[error("heartbeat 4: {0} is missing")]
    Missing(&'static str),
    /// A member has another type than it must have, or a value that it can't have.
    #[error("heartbeat 5: {0} is not valid")]
    Invalid(&'static str),
    /// [`MAX_RUNNERS`](crate::MAX_RUNNERS) are known already.
    #[error("heartbeat 6: too many runners")]
    Full,
}

impl HeartbeatError {
    /// The number that the text begins with.
    pub fn code(&self) -> u16 {
        match self {
            HeartbeatError::BadId => 1,
            HeartbeatError::TooLarge => 2,
            HeartbeatError::NotJson => 3,
            HeartbeatError::Missing(_) => 4,
            HeartbeatError::Invalid(_) => 5,
            HeartbeatError::Full => 6,
        }
    }
}

/// Why an entry of the state table is no runner.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// The key isn't that of a runner.
    #[error("runner entry 1: key is not of a runner")]
    Key,
    /// The value is no encoded runner.
    #[error("runner entry 2: value malformed")]
    Value,
}
