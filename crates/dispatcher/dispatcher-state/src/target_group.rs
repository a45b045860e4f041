//! Every target that the endpoint list has ever named, numbered for the policy, with the overrides of
//! operators and of maintenance plans.
//!
//! What the policy is told of a target is its list entry with these overrides applied.

use crate::{Endpoint, TargetOverride};
use dispatch_api::load_exchange::name_hash;
use dispatch_api::{ListUpdateKind, Micros, WorkerEntry, WorkerId, WorkerStatus};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// How late the list may be, microseconds: of a start that lies less than this before a target was
/// enabled again, the list may not know yet.
const MAX_LIST_DELAY: Micros = 6_000_000;

/// One target.
#[derive(Debug)]
pub(crate) struct Target {
    pub name: String,
    pub addr: SocketAddr,
    /// It may get new work.
    ready: bool,
    /// Its list entry, without overrides.
    entry: WorkerEntry,
    /// It counts as started no earlier than this: it was enabled again, and the list may not know of
    /// its restart.
    started_from: Option<Micros>,
}

impl Target {
    fn is_listed(&self) -> bool {
        self.entry.status != WorkerStatus::Removed
    }
}

/// What an update of the list comes to.
#[derive(Debug)]
pub(crate) struct ListUpdate {
    /// The entries for the policy, overrides applied.
    pub entries: Vec<WorkerEntry>,
    /// Targets whose idle connections are of no more use, in the order of their numbers.
    pub unusable: BTreeSet<WorkerId>,
}

/// What an override of one target comes to.
#[derive(Debug)]
pub(crate) struct OverrideUpdate {
    /// The entry for the policy; none if no list has ever named the target.
    pub entry: Option<WorkerEntry>,
    /// The target, if it gets no new work from now on.
    pub disabled: Option<WorkerId>,
}

/// All targets. A target keeps its number for good.
#[derive(Debug, Default)]
pub(crate) struct TargetGroup {
    targets: Vec<Target>,
    by_name: HashMap<String, WorkerId>,
    by_name_hash: HashMap<u32, WorkerId>,
    overrides: BTreeMap<String, TargetOverride>,
    /// Out of service by a maintenance plan, by the hash of the name, and since when.
    out_by_plan: BTreeMap<u32, Micros>,
    /// The version of the list held.
    pub version: Option<u64>,
}

impl TargetGroup {
    pub fn get(&self, id: WorkerId) -> Option<&Target> {
        self.targets.get(id.0 as usize)
    }

    fn get_mut(&mut self, id: WorkerId) -> Option<&mut Target> {
        self.targets.get_mut(id.0 as usize)
    }

    /// Whether it may get new work.
    pub fn is_ready(&self, id: WorkerId) -> bool {
        self.get(id).is_some_and(|t| t.ready)
    }

    pub fn by_name_hash(&self, name_hash: u32) -> Option<WorkerId> {
        self.by_name_hash.get(&name_hash).copied()
    }

    /// The name behind a hash.
    pub fn name_of(&self, name_hash: u32) -> Option<&str> {
        let target = self.get(self.by_name_hash(name_hash)?)?;
        Some(target.name.as_str())
    }

    /// Whether a list has ever named it.
    pub fn is_known(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    fn all_listed(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter().filter(|t| t.is_listed())
    }

    /// Targets in the list.
    pub fn listed_count(&self) -> usize {
        self.all_listed().count()
    }

    /// Targets in the list that are out of service by an override or a plan.
    pub fn disabled_count(&self) -> usize {
        let listed = self.all_listed();
        listed.filter(|t| self.is_disabled(&t.name)).count()
    }

    /// The list entry of every target in the list, by name, without overrides.
    pub fn listed_entries(&self) -> impl Iterator<Item = (&str, &WorkerEntry)> {
        self.all_listed().map(|t| (t.name.as_str(), &t.entry))
    }

    pub fn overrides(&self) -> impl Iterator<Item = (&str, TargetOverride)> {
        let overrides = self.overrides.iter();
        overrides.map(|(name, over)| (name.as_str(), *over))
    }

    pub fn override_of(&self, name: &str) -> Option<TargetOverride> {
        self.overrides.get(name).copied()
    }

    fn is_disabled(&self, name: &str) -> bool {
        self.overrides.get(name).is_some_and(|o| o.disabled)
            || self.out_by_plan.contains_key(&name_hash(name))
    }

    /// Whether the list says that a target was started after this time.
    pub fn started_after(&self, name_hash: u32, time: Micros) -> bool {
        let target = self.by_name_hash(name_hash).and_then(|id| self.get(id));
        let started = target.and_then(|t| t.entry.started);
        started.is_some_and(|at| at > time)
    }

    /// Takes a target out of service by a plan. Returns its entry for the policy, if a list has ever
    /// named it.
    pub fn take_out_by_plan(&mut self, name_hash: u32, now: Micros) -> Option<WorkerEntry> {
        self.out_by_plan.entry(name_hash).or_insert(now);
        let worker = self.by_name_hash(name_hash)?;
        Some(self.entry_without_weight(worker))
    }

    /// Has a target back that a plan had out. Returns its entry for the policy, likewise.
    pub fn return_by_plan(&mut self, name_hash: u32, now: Micros) -> Option<WorkerEntry> {
        let since = self.out_by_plan.remove(&name_hash)?;
        let worker = self.by_name_hash(name_hash)?;
        if let Some(target) = self.get_mut(worker) {
            // As after an override: it may have been restarted, and the list not know yet.
            target.started_from = Some(since.max(now.saturating_sub(MAX_LIST_DELAY)));
        }
        Some(self.entry_without_weight(worker))
    }

    /// Takes an update of the list in.
    pub fn update(
        &mut self,
        kind: ListUpdateKind,
        version: Option<u64>,
        endpoints: Vec<Endpoint>,
    ) -> ListUpdate {
        self.version = version;
        let mut unusable = BTreeSet::new();
        let mut entries = Vec::with_capacity(endpoints.len());
        for endpoint in endpoints {
            let worker = self.number(&endpoint);
            if self.replace(worker, &endpoint) {
                unusable.insert(worker);
            }
            entries.push(self.effective_entry(worker));
            if !self.is_ready(worker) {
                unusable.insert(worker);
            }
        }
        if kind != ListUpdateKind::Incremental {
            let listed: BTreeSet<WorkerId> = entries.iter().map(|entry| entry.worker).collect();
            for (number, target) in (0..).zip(&mut self.targets) {
                if !listed.contains(&WorkerId(number)) {
                    target.ready = false;
                    target.entry.status = WorkerStatus::Removed;
                    unusable.insert(WorkerId(number));
                }
            }
        }
        ListUpdate { entries, unusable }
    }

    /// Replaces the list entry of a target; returns whether its address has changed.
    fn replace(&mut self, worker: WorkerId, endpoint: &Endpoint) -> bool {
        let Some(target) = self.get_mut(worker) else {
            return false;
        };
        let moved = target.addr != endpoint.addr;
        target.addr = endpoint.addr;
        target.entry = WorkerEntry {
            worker,
            name_hash: name_hash(&target.name),
            status: endpoint.status,
            kind: endpoint.kind,
            zone: endpoint.zone,
            cell: endpoint.cell,
            started: endpoint.started,
            weight: endpoint.weight,
        };
        moved
    }

    /// Takes an operator's override in, if it is later than the one held; else returns none.
    pub fn set_override(&mut self, name: &str, over: TargetOverride) -> Option<OverrideUpdate> {
        let before = self.override_of(name);
        if before.is_some_and(|b| b.set_at >= over.set_at) {
            return None;
        }
        self.overrides.insert(name.to_owned(), over);
        let Some(worker) = self.by_name.get(name).copied() else {
            return Some(OverrideUpdate {
                entry: None,
                disabled: None,
            });
        };
        let was_out = before.is_some_and(|b| b.disabled) || over.disabled_since < over.set_at;
        if !over.disabled && was_out {
            if let Some(target) = self.get_mut(worker) {
                // Out since then, it may have been restarted at any time and be warming up.
                let earliest = over.set_at.saturating_sub(MAX_LIST_DELAY);
                target.started_from = Some(over.disabled_since.max(earliest));
            }
        }
        Some(OverrideUpdate {
            entry: Some(self.entry_without_weight(worker)),
            disabled: over.disabled.then_some(worker),
        })
    }

    /// The entry for the policy between two lists: the load that the last one told is no news.
    fn entry_without_weight(&mut self, worker: WorkerId) -> WorkerEntry {
        WorkerEntry {
            weight: None,
            ..self.effective_entry(worker)
        }
    }

    /// The entry for the policy: the list entry with overrides applied. A target that is out of
    /// service is so whatever the list says, unless the list has removed it.
    fn effective_entry(&mut self, worker: WorkerId) -> WorkerEntry {
        let Some(target) = self.get(worker) else {
            return WorkerEntry::default();
        };
        let status = match target.entry.status {
            WorkerStatus::Ready | WorkerStatus::Draining if self.is_disabled(&target.name) => {
                WorkerStatus::Disabled
            }
            status => status,
        };
        let entry = WorkerEntry {
            status,
            started: target.entry.started.max(target.started_from),
            ..target.entry.clone()
        };
        if let Some(target) = self.get_mut(worker) {
            target.ready = status == WorkerStatus::Ready;
        }
        entry
    }

    /// The number of an endpoint, which is a new one if no list has named it before.
    fn number(&mut self, endpoint: &Endpoint) -> WorkerId {
        if let Some(id) = self.by_name.get(&endpoint.name) {
            return *id;
        }
        let id = WorkerId(self.targets.len() as u32);
        self.targets.push(Target {
            name: endpoint.name.clone(),
            addr: endpoint.addr,
            ready: false,
            entry: WorkerEntry {
                worker: id,
                ..WorkerEntry::default()
            },
            started_from: None,
        });
        self.by_name_hash.insert(name_hash(&endpoint.name), id);
        self.by_name.insert(endpoint.name.clone(), id);
        id
    }
}
