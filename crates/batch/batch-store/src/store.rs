//! A store without its sockets and its disk: messages and requests go in, frames to be sent and
//! records to be written come out.
//!
//! It owns the replicas of its partitions and the lease from the controllers. Time is given by the
//! caller, in milliseconds of a steady clock. It acknowledges only what is on the disks of enough
//! members of a chain, and serves reads only while it holds a lease.

mod disk;
mod lease;
mod messages;
mod placement;
mod requests;

use crate::fetch_queue::FetchQueue;
use crate::pacer::Pacer;
use crate::partition::{Context, Partition, PartitionEffect, Shared};
use crate::responder::Responder;
use batch::wire::{
    ChainFrame, DecodeError, FetchResponse, Message as _, Placement, PlacementMap, CHAIN,
    HEARTBEAT_INTERVAL_MS,
};
use batch::BatchJobTable;
use bytes::Bytes;
use chain_replication::{LogRecord, Member, Millis, RecoveredLog, Replica};
use compact_str::CompactString;
use disk::UnsyncedWrites;
use lease::ControllerLease;
use slog::{info, Logger};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use structured_log::RateLimiter;
use write_ahead_log::DiskHealth;

pub use disk::DiskUsage;

/// Who this store is, and its limits.
#[derive(Debug, Clone)]
pub struct StoreConfig {
    /// Its peer address.
    pub addr: SocketAddr,
    /// The id on its disk.
    pub id: u64,
    /// Its machine.
    pub node: CompactString,
    /// Its zone.
    pub zone: CompactString,
    /// The users' `PollS` in milliseconds.
    pub poll_ms: u64,
    /// The fewest disks that are enough for an acknowledgement.
    pub min_members: usize,
    /// The most bytes of memory for batch jobs.
    pub max_bytes: usize,
    /// Drawn at the start of the process: no response to an earlier one counts for it.
    pub incarnation: u64,
    /// The most bytes a millisecond of responses to reads.
    pub response_bytes_per_ms: u64,
}

/// What is to be done outside.
#[derive(Debug)]
pub enum Effect {
    /// A frame to a peer; may be lost.
    Send {
        /// Its peer address.
        to: SocketAddr,
        /// The kind of the frame.
        kind: u16,
        /// Its body.
        body: Bytes,
    },
    /// A record of a partition, to be written and synced in order; then [`Store::handle_synced`].
    Write {
        /// The partition.
        partition: u16,
        /// The ticket of its chain.
        ticket: u64,
        /// The record.
        record: LogRecord,
    },
    /// All records of a partition that were written so far are void.
    Discard {
        /// The partition.
        partition: u16,
    },
}

/// Why a frame was rejected.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// Its bytes are no message of its kind.
    #[error("{0}")]
    Wire(#[from] DecodeError),
    /// A message of the chain that can't be read.
    #[error("{0}")]
    Chain(#[from] chain_replication::DecodeError),
    /// A kind that a store doesn't know.
    #[error("unknown kind of frame")]
    UnknownKind,
    /// A lease that no controller grants: the sender isn't known, or the lease is far too long.
    #[error("a lease of {0} ms from an unknown sender, or too long a lease")]
    InvalidLease(Millis),
}

/// Where a process stands on its way to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lifecycle {
    Running,
    /// It serves on until the chains go on without it.
    Leaving,
    /// It takes no more requests.
    Closed,
}

/// One store.
pub struct Store<R> {
    config: StoreConfig,
    /// What all partitions share.
    shared: Shared,
    partitions: Vec<Option<Partition<R>>>,
    map: Option<PlacementMap>,
    /// Controllers: the leading one first where known.
    controllers: Vec<SocketAddr>,
    lease: ControllerLease,
    fetches: FetchQueue<R>,
    disk: DiskUsage,
    behind_since: Option<Millis>,
    unsynced: UnsyncedWrites,
    health: DiskHealth,
    lifecycle: Lifecycle,
    effects: Vec<Effect>,
    rate_limiter: RateLimiter,
    log: Logger,
}

impl<R: Responder> Store<R> {
    /// A store with what its disk holds of each partition.
    pub fn new(config: StoreConfig, recovered: Vec<(u16, RecoveredLog)>, log: Logger) -> Self {
        let shared = Shared {
            me: Member {
                id: config.id,
                addr: config.addr,
                since: 0,
            },
            incarnation: config.incarnation,
            pacer: Rc::new(RefCell::new(Pacer::new(config.response_bytes_per_ms))),
            log: log.clone(),
        };
        let mut partitions: Vec<Option<Partition<R>>> = Vec::new();
        for (number, recovered) in recovered {
            let index = usize::from(number);
            if partitions.len() <= index {
                partitions.resize_with(index + 1, || None);
            }
            if let Some(slot) = partitions.get_mut(index) {
                *slot = Some(Partition::new(number, shared.clone(), recovered));
            }
        }
        Self {
            config,
            shared,
            partitions,
            map: None,
            controllers: Vec::new(),
            lease: ControllerLease::default(),
            fetches: FetchQueue::new(),
            disk: DiskUsage::default(),
            behind_since: None,
            unsynced: UnsyncedWrites::default(),
            health: DiskHealth::default(),
            lifecycle: Lifecycle::Running,
            effects: Vec::new(),
            rate_limiter: RateLimiter::default(),
            log,
        }
    }

    /// What is to be done since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The placement map that this store has applied.
    pub fn map(&self) -> Option<&PlacementMap> {
        self.map.as_ref()
    }

    /// The replica of one partition, if there is one.
    pub fn replica(&self, partition: usize) -> Option<&Replica<BatchJobTable>> {
        let partition = self.partitions.get(partition)?.as_ref()?;
        Some(partition.replica())
    }

    /// The partitions of which it has a replica.
    pub fn replicas(&self) -> impl Iterator<Item = (u16, &Replica<BatchJobTable>)> {
        let partitions = self.partitions.iter().zip(0u16..);
        partitions.filter_map(|(partition, number)| Some((number, partition.as_ref()?.replica())))
    }

    /// Bytes of memory that all its batch jobs will need.
    pub fn expected_bytes(&self) -> usize {
        self.replicas()
            .map(|(_, replica)| replica.state_machine().expected_bytes())
            .fold(0, usize::saturating_add)
    }

    /// Whether no chain counts on this store: what it held is on the disks of others.
    pub fn is_empty(&self) -> bool {
        self.partitions.iter().all(Option::is_none)
    }

    /// Sets where controllers are, the leading one first where known.
    pub fn set_controllers(&mut self, controllers: Vec<SocketAddr>) {
        self.controllers = controllers;
    }

    fn context(&self, now: Millis) -> Context {
        let is_full = self.is_behind(now) || self.disk.is_full() || !self.health.is_writable();
        Context {
            now,
            has_lease: self.lease.is_held(now),
            has_capacity: !is_full && (self.expected_bytes() as u64) < self.capacity(),
            min_members: self.config.min_members,
            poll_ms: self.config.poll_ms,
            placement: self
                .map
                .as_ref()
                .map_or(Placement::ByHost, |map| map.placement),
            partitions: self.map.as_ref().map_or(0, |map| map.partitions.len()),
        }
    }

    /// Bytes of batch jobs that it can hold.
    fn capacity(&self) -> u64 {
        self.disk.capacity().min(self.config.max_bytes as u64)
    }

    fn partition_mut(&mut self, number: usize) -> Option<&mut Partition<R>> {
        self.partitions.get_mut(number).and_then(Option::as_mut)
    }

    /// Takes over the effects of a partition.
    fn collect_effects(&mut self, context: Context, number: usize) {
        let Some(partition) = self.partition_mut(number) else {
            return;
        };
        let effects = partition.take_effects();
        let partition = number as u16;
        let mut to_self = Vec::new();
        for effect in effects {
            match effect {
                // Without a disk it has no part in the chain.
                PartitionEffect::SendChain { .. } if !self.health.is_writable() => {}
                PartitionEffect::SendChain { to, message } => {
                    let body = message.encode();
                    let body = ChainFrame { partition, body }.encode();
                    let kind = CHAIN;
                    self.effects.push(Effect::Send { to, kind, body });
                }
                PartitionEffect::Write { ticket, record } => {
                    self.unsynced.written(partition, ticket);
                    self.effects.push(Effect::Write {
                        partition,
                        ticket,
                        record,
                    });
                }
                PartitionEffect::Send { to, kind, body } if to == self.config.addr => {
                    to_self.push((kind, body));
                }
                PartitionEffect::Send { to, kind, body } => {
                    self.effects.push(Effect::Send { to, kind, body });
                }
                PartitionEffect::SendToHead {
                    partition,
                    kind,
                    body,
                } => match self.map.as_ref().and_then(|map| map.head(partition)) {
                    Some(to) if to == self.config.addr => to_self.push((kind, body)),
                    Some(to) => self.effects.push(Effect::Send { to, kind, body }),
                    None => {}
                },
            }
        }
        // Each such message is answered once, and what it leads to is retried by the clock alone:
        // this ends.
        for (kind, body) in to_self {
            let _ = self.handle_quota_message(context.now, kind, &body);
        }
    }

    /// The logs of all partitions together stay within a bound, however many there are.
    fn limit_logs(&mut self) {
        let log_bytes = self.replicas().map(|(_, replica)| replica.log_bytes());
        let limit = chain_replication::fair_log_limit(log_bytes);
        for partition in self.partitions.iter_mut().flatten() {
            partition.set_log_limit(limit);
        }
    }

    /// Time passes; to be called every 50 to 100 ms.
    pub fn tick(&mut self, now: Millis) {
        let context = self.context(now);
        self.unsynced.tick(now);
        self.limit_logs();
        for number in 0..self.partitions.len() {
            if let Some(partition) = self.partition_mut(number) {
                partition.tick(context);
                self.collect_effects(context, number);
            }
        }
        self.serve_fetches(context);
        self.answer_expired_fetches(context);
        if self.lease.is_heartbeat_due(now, HEARTBEAT_INTERVAL_MS) {
            self.send_heartbeat(now);
        }
    }

    fn answer_expired_fetches(&mut self, context: Context) {
        let (partitions, map) = (&self.partitions, self.map.as_ref());
        let is_head = |number: usize| {
            let partition = partitions.get(number).and_then(Option::as_ref);
            partition.is_some_and(Partition::is_head)
        };
        let has_moved = |host: &str| {
            let may_hold = |number: &usize| map.is_some_and(|map| map.may_hold(*number, host));
            !(0..partitions.len()).filter(may_hold).any(is_head)
        };
        for fetch in self.fetches.take_expired(context.now, has_moved) {
            // An empty response also tells that this store is still the head; without a lease it
            // can't tell.
            if context.has_lease {
                let redirects = self.redirects(&fetch.request);
                let items = Vec::new();
                let response = FetchResponse { items, redirects };
                fetch.reply.respond(response.encode());
            }
        }
    }

    /// The process is to end: the controllers learn at once that the chains are to go on without
    /// it. Until they have removed it, it serves on, so that no request is refused meanwhile.
    pub fn start_leaving(&mut self, now: Millis) {
        if self.lifecycle == Lifecycle::Running {
            self.lifecycle = Lifecycle::Leaving;
            info!(self.log, "leaving");
            self.send_heartbeat(now);
        }
    }

    /// The process ends now: pending requests are answered with "unknown", and no more are taken.
    pub fn close(&mut self) {
        self.lifecycle = Lifecycle::Closed;
        for partition in self.partitions.iter_mut().flatten() {
            partition.close();
        }
        self.fetches = FetchQueue::new();
    }
}
