//! What must hold: nothing acknowledged is lost, doubled or in another order anywhere.

use std::collections::{BTreeMap, BTreeSet};

use chain_replication::{SnapshotError, StateMachine};

/// The table of the trials: the commands' ids by number, in order.
#[derive(Debug, Clone, Default)]
pub struct History {
    pub ids: Vec<u64>,
    /// Bytes that make a snapshot come in several parts.
    pub filler: usize,
}

pub fn id_of(command: &[u8]) -> u64 {
    command
        .get(..8)
        .and_then(|b| b.try_into().ok())
        .map_or(0, u64::from_be_bytes)
}

impl StateMachine for History {
    fn apply(&mut self, number: u64, command: &[u8]) {
        assert_eq!(
            number,
            self.ids.len() as u64 + 1,
            "applied in order, each once"
        );
        self.ids.push(id_of(command));
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut bytes = vec![0; 8 + 8 * self.ids.len() + self.filler];
        let words = std::iter::once(self.ids.len() as u64).chain(self.ids.iter().copied());
        for (at, word) in bytes.chunks_exact_mut(8).zip(words) {
            at.copy_from_slice(&word.to_be_bytes());
        }
        bytes
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), SnapshotError> {
        let short = || SnapshotError("cut short".to_owned());
        let count = id_of(snapshot) as usize;
        let body = snapshot.get(8..8 + 8 * count).ok_or_else(short)?;
        self.ids = body.chunks(8).map(id_of).collect();
        Ok(())
    }
}

#[derive(Default)]
pub struct Checker {
    /// Acknowledged to a client: number and id.
    pub acked: BTreeMap<u64, u64>,
    /// What members of chains of two and more held to be committed.
    committed: BTreeMap<u64, u64>,
    pub broken: Option<String>,
    pub reads: u64,
    pub restored: u64,
    pub views: u64,
    pub wipes: u64,
}

impl Checker {
    pub fn broke(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }

    pub fn acknowledged(&mut self, number: u64, id: u64) {
        if let Some(other) = self.acked.insert(number, id).filter(|other| *other != id) {
            self.broke(format!("{number} was acknowledged as {other} and as {id}"));
        }
    }

    /// A member holds this to be committed, in a view of two and more.
    pub fn committed(&mut self, after: u64, number: u64, history: &History) {
        for n in after + 1..=number {
            let Some(id) = history.ids.get(n as usize - 1) else {
                return self.broke(format!("{n} is committed at one that does not hold it"));
            };
            if let Some(other) = self.committed.insert(n, *id).filter(|other| other != id) {
                return self.broke(format!("{n} was committed as {other} and as {id}"));
            }
        }
    }

    /// The highest number acknowledged.
    pub fn acked_up_to(&self) -> u64 {
        self.acked.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// A read's answer must have all that was acknowledged before it was asked; `all`: look at
    /// every one, else at the newest.
    pub fn read(&mut self, acked_up_to: u64, history: &History, all: bool) {
        self.reads += 1;
        let from = if all {
            0
        } else {
            acked_up_to.saturating_sub(64)
        };
        for (number, id) in self.acked.range(from..=acked_up_to) {
            let found = history.ids.get(*number as usize - 1);
            if found != Some(id) {
                let what = format!("{number} was acknowledged as {id} and is read as {found:?}");
                return self.broke(what);
            }
        }
        let once: BTreeSet<u64> = if all {
            history.ids.iter().copied().collect()
        } else {
            BTreeSet::new()
        };
        if all && once.len() != history.ids.len() {
            self.broke("a command stands twice".to_owned());
        }
    }
}
