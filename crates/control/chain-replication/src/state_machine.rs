//! What is replicated: a deterministic state machine with snapshots.

/// A snapshot that the state machine can't read; its state stays as it was. Holds the reason.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("1201: the snapshot can't be read: {0}")]
pub struct SnapshotError(pub String);

/// The replicated state machine. `apply` must do the same on every replica, whatever the bytes are.
pub trait StateMachine {
    /// Applies the command of this number; numbers rise by one.
    fn apply(&mut self, number: u64, command: &[u8]);

    /// The full state as bytes; the same state gives the same bytes on every replica.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    /// The snapshot can't be read; the state stays as it was.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), SnapshotError>;
}
