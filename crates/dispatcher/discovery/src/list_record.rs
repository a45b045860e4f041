//! The list as discovery last sent it, with every target that it has ever named, for a successor
//! process.

use dispatcher_settings::list::{ListedTarget, TargetList, TargetState};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Targets that are recorded; beyond them the first removed ones are dropped.
const MAX_ENTRIES: usize = 4_096;

/// The recorded list, updates applied.
#[derive(Debug, Default)]
pub struct ListRecord {
    /// The discovery that sent it last: a successor that is configured with another one asks anew.
    source: Option<SocketAddr>,
    version: u64,
    entries: BTreeMap<String, ListedTarget>,
}

impl ListRecord {
    /// Applies a full list, or changes, as the discovery at this address sent them.
    pub fn update(&mut self, list: &TargetList, source: SocketAddr) {
        (self.version, self.source) = (list.version, Some(source));
        if list.full {
            for entry in self.entries.values_mut() {
                entry.state = TargetState::Gone;
            }
        }
        for entry in &list.servers {
            self.entries.insert(entry.id.clone(), entry.clone());
        }
        let mut surplus = self.entries.len().saturating_sub(MAX_ENTRIES);
        self.entries.retain(|_, entry| {
            let drop = surplus > 0 && entry.state == TargetState::Gone;
            surplus -= usize::from(drop);
            !drop
        });
    }

    /// The address of the discovery that sent the list last; none before the first list.
    pub fn source(&self) -> Option<SocketAddr> {
        self.source
    }

    /// The full list; targets that were removed are named as such.
    pub fn list(&self) -> TargetList {
        TargetList {
            version: self.version,
            full: true,
            servers: self.entries.values().cloned().collect(),
        }
    }
}
