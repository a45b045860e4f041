//! The target group: every target that a list has named, numbered for the decisions.

use super::Listed;
use api::told;
use api::{ListKind, Listing, Status, WorkerId};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// One target.
#[derive(Debug)]
pub(super) struct Target {
    pub name: String,
    pub addr: SocketAddr,
    pub ready: bool,
}

/// All of them; a target keeps its number for good.
#[derive(Debug, Default)]
pub(super) struct TargetGroup {
    targets: Vec<Target>,
    numbers: HashMap<String, WorkerId>,
    marks: HashMap<u32, WorkerId>,
    /// The version of the list held.
    pub version: Option<u64>,
}

impl TargetGroup {
    pub fn get(&self, id: WorkerId) -> Option<&Target> {
        self.targets.get(id.0 as usize)
    }

    pub fn ready(&self, id: WorkerId) -> bool {
        self.get(id).is_some_and(|t| t.ready)
    }

    pub fn marked(&self, mark: u32) -> Option<WorkerId> {
        self.marks.get(&mark).copied()
    }

    /// Takes a list over. Returns it for the decisions, and the targets whose connections are of no more use.
    pub fn update(
        &mut self,
        kind: ListKind,
        version: Option<u64>,
        entries: Vec<Listed>,
    ) -> (Vec<Listing>, BTreeSet<WorkerId>) {
        self.version = version;
        let mut stale = BTreeSet::new();
        let mut listings = Vec::with_capacity(entries.len());
        for entry in entries {
            let (worker, ready) = (self.number(&entry), entry.status == Status::Ready);
            let Some(target) = self.targets.get_mut(worker.0 as usize) else { continue };
            if !ready || target.addr != entry.addr {
                stale.insert(worker);
            }
            (target.addr, target.ready) = (entry.addr, ready);
            let Listed { zone, kind, cell, status, started, weight, .. } = entry;
            let mark = told::mark(&target.name);
            listings.push(Listing { worker, mark, status, kind, zone, cell, started, weight });
        }
        if kind != ListKind::Changes {
            let listed: BTreeSet<WorkerId> = listings.iter().map(|l| l.worker).collect();
            for (n, target) in (0..).zip(&mut self.targets) {
                if !listed.contains(&WorkerId(n)) {
                    target.ready = false;
                    stale.insert(WorkerId(n));
                }
            }
        }
        (listings, stale)
    }

    fn number(&mut self, entry: &Listed) -> WorkerId {
        if let Some(id) = self.numbers.get(&entry.name) {
            return *id;
        }
        let id = WorkerId(self.targets.len() as u32);
        self.targets.push(Target { name: entry.name.clone(), addr: entry.addr, ready: false });
        self.marks.insert(told::mark(&entry.name), id);
        self.numbers.insert(entry.name.clone(), id);
        id
    }
}
