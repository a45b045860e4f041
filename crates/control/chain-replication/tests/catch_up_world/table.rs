//! The replicated table of the runs: it takes one body in place of the one before, as a
//! configuration does.

use bytes::Bytes;
use chain_replication::{SnapshotError, StateMachine};

#[derive(Debug, Clone, Default)]
pub struct Table {
    /// After each change: a digest of it and all before it.
    pub digests: Vec<u64>,
    pub body: Bytes,
    /// Further bytes of a snapshot.
    pub filler: usize,
}

fn word(bytes: &[u8]) -> u64 {
    bytes
        .get(..8)
        .and_then(|b| b.try_into().ok())
        .map_or(0, u64::from_be_bytes)
}

impl StateMachine for Table {
    fn apply(&mut self, number: u64, command: &[u8]) {
        assert_eq!(
            number,
            self.digests.len() as u64 + 1,
            "applied in order, each once"
        );
        let before = self.digests.last().copied().unwrap_or(1);
        let digest = (before ^ word(command))
            .wrapping_mul(0x9E37_79B9_7F4A_7C15)
            .rotate_left(29);
        self.digests.push(digest);
        self.body = Bytes::copy_from_slice(command);
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut bytes =
            Vec::with_capacity(8 + 8 * self.digests.len() + self.body.len() + self.filler);
        bytes.extend_from_slice(&(self.digests.len() as u64).to_be_bytes());
        for digest in &self.digests {
            bytes.extend_from_slice(&digest.to_be_bytes());
        }
        bytes.extend_from_slice(&self.body);
        // In one piece: without optimization `resize` writes byte by byte.
        bytes.extend_from_slice(&vec![0; self.filler]);
        bytes
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), SnapshotError> {
        let short = || SnapshotError("cut short".to_owned());
        let count = word(snapshot) as usize;
        let digests = snapshot.get(8..8 + 8 * count).ok_or_else(short)?;
        let rest = snapshot.get(8 + 8 * count..).ok_or_else(short)?;
        let body = rest
            .get(..rest.len().saturating_sub(self.filler))
            .ok_or_else(short)?;
        self.digests = digests.chunks(8).map(word).collect();
        self.body = Bytes::copy_from_slice(body);
        Ok(())
    }
}
