//! The target group: every target that a list has named, numbered for the decisions, and the operators' word on some.

use super::{Endpoint, TargetOverride};
use dispatch_api::load_exchange;
use dispatch_api::{ListUpdateKind, Micros, WorkerEntry, WorkerId, WorkerStatus};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// How late a list may be: what started before a call back by less than this may be new to it.
const LATE: Micros = 6_000_000;

/// One target.
#[derive(Debug)]
pub(super) struct Target {
    pub name: String,
    pub addr: SocketAddr,
    /// It may get something new.
    pub ready: bool,
    /// What the list says of it, the operators' word left aside.
    listing: WorkerEntry,
    /// It counts as started no earlier than this: it was called back, and a list may not know of its start.
    started_from: Option<Micros>,
}

/// All of them; a target keeps its number for good.
#[derive(Debug, Default)]
pub(super) struct TargetGroup {
    targets: Vec<Target>,
    numbers: HashMap<String, WorkerId>,
    name_hashes: HashMap<u32, WorkerId>,
    overrides: BTreeMap<String, TargetOverride>,
    /// Out by a plan of maintenance, since when.
    planned: BTreeMap<u32, Micros>,
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

    pub fn by_name_hash(&self, name_hash: u32) -> Option<WorkerId> {
        self.name_hashes.get(&name_hash).copied()
    }

    /// Whether a list has ever named it.
    pub fn named(&self, name: &str) -> bool {
        self.numbers.contains_key(name)
    }

    /// TargetView in the list.
    pub fn listed(&self) -> usize {
        self.targets
            .iter()
            .filter(|t| t.listing.status != WorkerStatus::Removed)
            .count()
    }

    /// ... and of these, those that are out by hand.
    pub fn out(&self) -> usize {
        let listed = |t: &&Target| t.listing.status != WorkerStatus::Removed;
        self.targets
            .iter()
            .filter(listed)
            .filter(|t| self.is_out(&t.name))
            .count()
    }

    pub fn overrides(&self) -> impl Iterator<Item = (&str, TargetOverride)> {
        self.overrides
            .iter()
            .map(|(name, target_override)| (name.as_str(), *target_override))
    }

    pub fn target_override(&self, name: &str) -> Option<TargetOverride> {
        self.overrides.get(name).copied()
    }

    fn is_out(&self, name: &str) -> bool {
        self.overrides.get(name).is_some_and(|r| r.out)
            || self.planned.contains_key(&load_exchange::name_hash(name))
    }

    /// The name behind a mark.
    pub fn named_by(&self, name_hash: u32) -> Option<&str> {
        self.get(self.by_name_hash(name_hash)?)
            .map(|t| t.name.as_str())
    }

    /// Whether the list says that a target was started after this.
    pub fn started_after(&self, name_hash: u32, since: Micros) -> bool {
        let started = self
            .by_name_hash(name_hash)
            .and_then(|id| self.get(id))
            .and_then(|t| t.listing.started);
        started.is_some_and(|at| at > since)
    }

    /// What the list says of every target that is in it.
    pub fn all_listed(&self) -> impl Iterator<Item = (&str, &WorkerEntry)> {
        let listed = |t: &&Target| t.listing.status != WorkerStatus::Removed;
        self.targets
            .iter()
            .filter(listed)
            .map(|t| (t.name.as_str(), &t.listing))
    }

    /// Leaves a target out by a plan, or has it back. Returns what the decisions are to hear, if a list has named it.
    pub fn plan(
        &mut self,
        name_hash: u32,
        out: bool,
        now: Micros,
    ) -> Option<(WorkerEntry, WorkerId)> {
        let worker = match out {
            true => {
                self.planned.entry(name_hash).or_insert(now);
                self.by_name_hash(name_hash)?
            }
            false => {
                let since = self.planned.remove(&name_hash)?;
                let worker = self.by_name_hash(name_hash)?;
                if let Some(target) = self.targets.get_mut(worker.0 as usize) {
                    // As after a word of the operators: it may have been restarted, and the list not know yet.
                    target.started_from = Some(since.max(now.saturating_sub(LATE)));
                }
                worker
            }
        };
        Some((
            WorkerEntry {
                weight: None,
                ..self.shown(worker)
            },
            worker,
        ))
    }

    /// Takes a list over. Returns it for the decisions, and the targets whose connections are of no more use.
    pub fn update(
        &mut self,
        kind: ListUpdateKind,
        version: Option<u64>,
        entries: Vec<Endpoint>,
    ) -> (Vec<WorkerEntry>, BTreeSet<WorkerId>) {
        self.version = version;
        let mut stale = BTreeSet::new();
        let mut listings = Vec::with_capacity(entries.len());
        for entry in entries {
            let worker = self.number(&entry);
            let Some(target) = self.targets.get_mut(worker.0 as usize) else {
                continue;
            };
            if target.addr != entry.addr {
                stale.insert(worker);
            }
            target.addr = entry.addr;
            let Endpoint {
                zone,
                kind,
                cell,
                status,
                started,
                weight,
                ..
            } = entry;
            let name_hash = load_exchange::name_hash(&target.name);
            target.listing = WorkerEntry {
                worker,
                name_hash,
                status,
                kind,
                zone,
                cell,
                started,
                weight,
            };
            listings.push(self.shown(worker));
            if !self.ready(worker) {
                stale.insert(worker);
            }
        }
        if kind != ListUpdateKind::Incremental {
            let listed: BTreeSet<WorkerId> = listings.iter().map(|l| l.worker).collect();
            for (n, target) in (0..).zip(&mut self.targets) {
                if !listed.contains(&WorkerId(n)) {
                    target.ready = false;
                    target.listing.status = WorkerStatus::Removed;
                    stale.insert(WorkerId(n));
                }
            }
        }
        (listings, stale)
    }

    /// Takes the operators' word on a target over, if it is the latest. Returns what the decisions are to hear of it,
    /// if a list has named it, and the target if it is out.
    pub fn rule(
        &mut self,
        name: &str,
        target_override: TargetOverride,
    ) -> Option<(Option<WorkerEntry>, Option<WorkerId>)> {
        let before = self.overrides.get(name).copied();
        if before.is_some_and(|b| b.at >= target_override.at) {
            return None;
        }
        self.overrides.insert(name.to_owned(), target_override);
        let Some(worker) = self.numbers.get(name).copied() else {
            return Some((None, None));
        };
        if let Some(target) = self
            .targets
            .get_mut(worker.0 as usize)
            .filter(|_| !target_override.out)
        {
            // Out since then, it may have been restarted at any time and be cold.
            let was_out =
                before.is_some_and(|b| b.out) || target_override.since < target_override.at;
            let from = target_override
                .since
                .max(target_override.at.saturating_sub(LATE));
            target.started_from = if was_out {
                Some(from)
            } else {
                target.started_from
            };
        }
        // What the list said last of its load is no news.
        let shown = WorkerEntry {
            weight: None,
            ..self.shown(worker)
        };
        Some((Some(shown), target_override.out.then_some(worker)))
    }

    /// What the decisions hear of a target: one that is out is so whatever the list says, unless it is gone.
    fn shown(&mut self, worker: WorkerId) -> WorkerEntry {
        let Some(target) = self.targets.get(worker.0 as usize) else {
            return WorkerEntry::default();
        };
        let (out, listing) = (self.is_out(&target.name), target.listing.clone());
        let status = match listing.status {
            WorkerStatus::Ready | WorkerStatus::Draining if out => WorkerStatus::Disabled,
            status => status,
        };
        let started = listing.started.max(target.started_from);
        if let Some(target) = self.targets.get_mut(worker.0 as usize) {
            target.ready = status == WorkerStatus::Ready;
        }
        WorkerEntry {
            status,
            started,
            ..listing
        }
    }

    fn number(&mut self, entry: &Endpoint) -> WorkerId {
        if let Some(id) = self.numbers.get(&entry.name) {
            return *id;
        }
        let id = WorkerId(self.targets.len() as u32);
        let listing = WorkerEntry {
            worker: id,
            ..WorkerEntry::default()
        };
        let (name, addr) = (entry.name.clone(), entry.addr);
        self.targets.push(Target {
            name,
            addr,
            ready: false,
            listing,
            started_from: None,
        });
        self.name_hashes
            .insert(load_exchange::name_hash(&entry.name), id);
        self.numbers.insert(entry.name.clone(), id);
        id
    }
}
