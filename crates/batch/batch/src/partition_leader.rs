//! What the head of a partition knows beyond the table: which items are queued for a gateway, which
//! gateway leases which item, how often an item failed, and when something is to be given up or
//! deleted.
//!
//! All of it is soft state: a new head builds it from the table, and gateways report their leases
//! to it. For [`TAKEOVER_GRACE_MS`] it leases nothing, so that their reports arrive first. An item
//! that is leased twice nevertheless runs twice at worst, and has one result.

mod completion;
mod expiry;
mod lease;
mod submit;

use crate::codec::Message;
use crate::command::Command;
use crate::lease_table::{ItemKey, LeaseTable};
use crate::route_queue::{QueuedItem, RouteQueue, Urgency};
use crate::table::{BatchJob, BatchJobTable, ItemState};
use crate::wire::RouteDemand;
use bytes::Bytes;
use chain_replication::Millis;
use compact_str::CompactString;
use std::collections::{BTreeSet, HashMap, HashSet};

pub use lease::Fetch;
pub use submit::{max_queued_tokens, Admission, EndDecision, QuotaState, SubmitDecision};

/// A new head leases no items for so long. Longer than the interval at which gateways renew their
/// leases ([`LEASE_RENEWAL_INTERVAL_MS`](crate::wire::LEASE_RENEWAL_INTERVAL_MS)).
pub const TAKEOVER_GRACE_MS: u64 = 600;
/// The bits of a lease number that count within a view; the view is above them.
const VIEW_SHIFT: u32 = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseState {
    Queued,
    Leased { holder: u64, lease: u64 },
    Finished,
}

#[derive(Clone, Copy, Debug)]
struct LeaderItem {
    state: LeaseState,
    failures: u32,
    /// The newest lease that its holder has ended by a failure or a release; 0 if none. It may not
    /// be renewed.
    ended_lease: u64,
}

/// The most routes that are remembered without a batch job: several times those of a deployment.
/// Configurations come and go with names that are new each time.
pub const MAX_UNUSED_ROUTES: usize = 1_024;

/// A batch job with items that are not finished.
#[derive(Debug)]
struct LeaderJob {
    id: CompactString,
    route: usize,
    /// When it was accepted, due and may be given up, by the head's clock.
    accepted: u64,
    due: u64,
    give_up: u64,
    max_failures: u32,
    items: Vec<LeaderItem>,
    /// How many items are not finished.
    unfinished: usize,
}

impl LeaderJob {
    fn new(id: &CompactString, job: &BatchJob, route: usize) -> Self {
        let items: Vec<LeaderItem> = job
            .items
            .iter()
            .map(|item| LeaderItem {
                state: match item.state {
                    ItemState::Pending { .. } => LeaseState::Queued,
                    ItemState::Finished { .. } | ItemState::Ended => LeaseState::Finished,
                },
                failures: 0,
                ended_lease: 0,
            })
            .collect();
        let is_unfinished = |item: &&LeaderItem| item.state != LeaseState::Finished;
        LeaderJob {
            id: id.clone(),
            route,
            accepted: job.accepted,
            due: job.sent.saturating_add(job.due_ms),
            // Counted from when it was accepted, which is no earlier than the sending: never too
            // soon.
            give_up: if job.retain_ms == 0 {
                u64::MAX
            } else {
                job.accepted.saturating_add(job.retain_ms)
            },
            max_failures: job.max_failures.max(1),
            unfinished: items.iter().filter(is_unfinished).count(),
            items,
        }
    }
}

/// When the rest of a batch job may be given up, by the head's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GiveUp {
    at: u64,
    job: u64,
}

/// The soft state of a partition's head.
#[derive(Debug)]
pub struct PartitionLeader {
    poll_ms: u64,
    started: Millis,
    clock_at_start: u64,
    /// The highest clock of the commands that this head has made.
    last_clock: u64,
    last_expiry: Millis,
    last_lease: u64,
    next_job: u64,
    job_numbers: HashMap<CompactString, u64>,
    jobs: HashMap<u64, LeaderJob>,
    routes: Vec<RouteQueue>,
    route_index: HashMap<(CompactString, CompactString), usize>,
    leases: LeaseTable,
    give_ups: BTreeSet<GiveUp>,
    /// When a batch job may be deleted, by the head's clock, and its id.
    deletions: BTreeSet<(u64, CompactString)>,
    /// The one entry of a batch job in `deletions`.
    deletion_at: HashMap<CompactString, u64>,
    /// Rotates the routes of fetches, so that each is first in its turn.
    turn: usize,
}

impl PartitionLeader {
    /// The head's state of a view, built from the table as it is. `poll_ms` is the users' `PollS`
    /// in milliseconds: how long results stay readable.
    pub fn new(now: Millis, view: u64, table: &BatchJobTable, poll_ms: u64) -> Self {
        let mut leader = Self {
            poll_ms,
            started: now,
            clock_at_start: table.clock(),
            last_clock: table.clock(),
            last_expiry: now,
            // Leases of different heads never have the same number: views are numbered.
            last_lease: view << VIEW_SHIFT,
            next_job: 0,
            job_numbers: HashMap::new(),
            jobs: HashMap::new(),
            routes: Vec::new(),
            route_index: HashMap::new(),
            leases: LeaseTable::default(),
            give_ups: BTreeSet::new(),
            deletions: BTreeSet::new(),
            deletion_at: HashMap::new(),
            turn: 0,
        };
        for (id, job) in table.iter() {
            leader.add(id, job);
        }
        leader
    }

    /// The head's clock in milliseconds: the table's when it became head, and the time since.
    pub fn clock(&self, now: Millis) -> u64 {
        self.clock_at_start
            .saturating_add(now.saturating_sub(self.started))
    }

    /// Whether the time is over in which gateways report their leases.
    pub fn is_open(&self, now: Millis) -> bool {
        now.saturating_sub(self.started) >= TAKEOVER_GRACE_MS
    }

    /// How many items are queued for a gateway.
    pub fn queued(&self) -> usize {
        self.routes.iter().map(RouteQueue::len).sum()
    }

    /// How many items of a route are queued for a gateway.
    pub fn queued_on(&self, host: &str, route: &str) -> usize {
        self.queue(host, route).map_or(0, RouteQueue::len)
    }

    /// How many items gateways have leased.
    pub fn leased(&self) -> usize {
        self.leases.count()
    }

    /// Whether there is nothing to do, however much time passes.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.deletions.is_empty()
    }

    /// The urgency of the most urgent item of the routes that are wanted; `None` if none is queued.
    pub fn urgency(&self, now: Millis, demands: &[RouteDemand]) -> Option<Urgency> {
        let clock = self.clock(now);
        let wanted = demands.iter().filter(|demand| demand.max_items > 0);
        wanted
            .filter_map(|demand| self.queue(&demand.host, &demand.route)?.urgency(clock))
            .min()
    }

    /// Whether an item of a route that is wanted is queued and may be leased.
    pub fn has_items_for(&self, now: Millis, demands: &[RouteDemand]) -> bool {
        let has_items = |demand: &RouteDemand| {
            let queue = self.queue(&demand.host, &demand.route);
            demand.max_items > 0 && queue.is_some_and(|queue| !queue.is_empty())
        };
        self.is_open(now) && demands.iter().any(has_items)
    }

    /// A command that changes nothing. Once it is committed, so is all that the head had received
    /// when it was proposed, and no head of a later view had started before.
    pub fn barrier(&mut self, now: Millis) -> Bytes {
        let clock = self.clock(now);
        self.encode(&Command::AdvanceClock { clock })
    }

    /// The command as bytes, to be proposed.
    pub(crate) fn encode(&mut self, command: &Command) -> Bytes {
        self.last_clock = self.last_clock.max(command.clock());
        command.encode()
    }

    fn route_of(&self, host: &str, route: &str) -> Option<usize> {
        let key = (CompactString::from(host), CompactString::from(route));
        self.route_index.get(&key).copied()
    }

    fn queue(&self, host: &str, route: &str) -> Option<&RouteQueue> {
        self.routes.get(self.route_of(host, route)?)
    }

    fn add(&mut self, id: &CompactString, job: &BatchJob) {
        if job.is_finished() {
            self.plan_deletion(id, job.accepted);
        }
        if job.is_finished() || self.job_numbers.contains_key(id) {
            return;
        }
        let route = self.route_for(job);
        let number = self.next_job;
        self.next_job += 1;
        let job = LeaderJob::new(id, job, route);
        if let Some(queue) = self.routes.get_mut(route) {
            for (item, index) in job.items.iter().zip(0u16..) {
                if item.state == LeaseState::Queued {
                    let item = ItemKey { job: number, index };
                    queue.push(QueuedItem { due: job.due, item });
                }
            }
        }
        if job.give_up < u64::MAX {
            self.give_ups.insert(GiveUp {
                at: job.give_up,
                job: number,
            });
        }
        self.job_numbers.insert(id.clone(), number);
        self.jobs.insert(number, job);
    }

    /// The route of a batch job; made if it is the first job of its route.
    fn route_for(&mut self, job: &BatchJob) -> usize {
        if let Some(route) = self.route_of(&job.host, &job.route) {
            return route;
        }
        let (host, name) = (job.host.clone(), job.route.clone());
        let queue = RouteQueue::new(host.clone(), name.clone());
        let unused = self.unused_route();
        let route = unused.unwrap_or(self.routes.len());
        match self.routes.get_mut(route) {
            Some(place) => {
                let before = std::mem::replace(place, queue);
                self.route_index.remove(&(before.host, before.route));
            }
            None => self.routes.push(queue),
        }
        self.route_index.insert((host, name), route);
        route
    }

    /// A route without a batch job whose place another one may take, once there are many. What was
    /// learned of its runs is forgotten.
    fn unused_route(&self) -> Option<usize> {
        if self.routes.len() < MAX_UNUSED_ROUTES {
            return None;
        }
        let used: HashSet<usize> = self.jobs.values().map(|job| job.route).collect();
        (0..self.routes.len()).find(|route| !used.contains(route))
    }

    /// How many routes are remembered: [`MAX_UNUSED_ROUTES`], or one for each batch job if there are
    /// more of these.
    pub fn remembered_routes(&self) -> usize {
        self.routes.len()
    }

    fn item_key(&self, batch_job: &str, index: u32) -> Option<ItemKey> {
        let job = *self.job_numbers.get(batch_job)?;
        Some(ItemKey {
            job,
            index: u16::try_from(index).ok()?,
        })
    }

    /// Removes a batch job of which no item is to be run any more, with its leases.
    fn remove_job(&mut self, number: u64) {
        let Some(job) = self.jobs.remove(&number) else {
            return;
        };
        self.plan_deletion(&job.id, job.accepted);
        self.job_numbers.remove(&job.id);
        self.give_ups.remove(&GiveUp {
            at: job.give_up,
            job: number,
        });
        for (item, index) in job.items.iter().zip(0u16..) {
            let key = ItemKey { job: number, index };
            match item.state {
                LeaseState::Queued => {
                    if let Some(queue) = self.routes.get_mut(job.route) {
                        queue.remove(&QueuedItem {
                            due: job.due,
                            item: key,
                        });
                    }
                }
                LeaseState::Leased { holder, .. } => {
                    self.leases.remove(holder, key);
                }
                LeaseState::Finished => {}
            }
        }
    }
}
