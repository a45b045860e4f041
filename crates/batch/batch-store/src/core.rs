//! The store without its sockets and its disk: what is told and called goes in, what is to be told and written comes
//! out. Time is told by the caller, in milliseconds of a steady clock.

mod calls;
mod quota;

use crate::answer::Answer;
use crate::fetches::Fetches;
use crate::pace::Pace;
use crate::part::{Act, Part, Turn};
use batch::wire::{
    ChainFrame, DecodeError, FetchResponse, Heartbeat, LeaseGrant, Message, PartitionStatus,
    Placement, PlacementMap, AUDIT, AUDIT_RESPONSE, CHAIN, HEARTBEAT, HEARTBEAT_INTERVAL_MS,
    LEASE_GRANT, MAX_PARTITIONS, RESERVE, RESERVE_PROGRESS, RESERVE_RESPONSE,
};
use bytes::Bytes;
use chain_replication::{LogRecord, Member, Message as ChainMessage, Millis, RecoveredLog};
use compact_str::CompactString;
use slog::{info, warn, Logger};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use structured_log::Rarely;
use write_ahead_log::{DiskHealth, DiskStatus};

/// A longer lease than this is none: several times what controllers give, and short beside what a tail that was replaced
/// could do harm with.
const LEASE_MOST: Millis = 3_000;
/// A controllers' head that grants nothing for so long may be another one by now: all controllers are told then.
const GRANT_LATE_MS: Millis = 900;
/// From so many hundredths of the disk on, batch jobs are refused: results and copies still need room.
const DISK_FULL_PERCENT: u64 = 85;
/// A disk that is behind for so long may stay so; writing the ring anew takes less.
const BEHIND_MS: Millis = 1_000;
/// A disk that finished nothing for so long, though something waits for it, is stalled: the chains go on without it. A
/// slow one (thirty times 5 ms a sync) finishes something every few hundred milliseconds.
const STALLED_MS: Millis = 1_500;
/// Of the disk, so many bytes are for what is written between two times that the ring is written anew.
const DISK_RESERVE: u64 = 12 << 20;
/// The ring holds its state twice while it is written anew, and a twentieth more for the ends of its files: batch jobs may
/// need so many hundredths of the disk.
const DISK_BATCH_JOBS_PERCENT: u64 = 47;
/// A sync that took so long is told in the log.
const SLOW_SYNC_MS: u64 = 200;

/// Who this store is, and its limits.
#[derive(Debug, Clone)]
pub struct Terms {
    /// Its peer address.
    pub addr: SocketAddr,
    /// The id on its disk.
    pub id: u64,
    /// Its machine.
    pub node: CompactString,
    /// Its zone.
    pub zone: CompactString,
    /// The users' `PollS`.
    pub poll_ms: u64,
    /// The fewest disks that are enough for an acknowledgement.
    pub least: usize,
    /// Batch jobs may need so many bytes of memory.
    pub most_bytes: usize,
    /// Drawn at the start of the process: no word to an earlier one counts for it.
    pub incarnation: u64,
    /// Answers to reads leave at so many bytes a millisecond at most.
    pub answer_bytes_per_ms: u64,
}

/// What is to be done outside.
#[derive(Debug)]
pub enum Effect {
    /// A frame to a peer; may be lost.
    Tell {
        /// Its peer address.
        to: SocketAddr,
        /// The kind of the frame.
        kind: u16,
        /// Its body.
        body: Bytes,
    },
    /// A record of a partition, to be written and synced in order; then [`Store::synced`].
    Write {
        /// The partition.
        part: u16,
        /// The ticket of its chain.
        ticket: u64,
        /// The record.
        write: LogRecord,
    },
    /// All records of a partition that were written so far are void.
    Void {
        /// The partition.
        part: u16,
    },
}

/// How the disk stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Disk {
    /// Bytes in use.
    pub used: u64,
    /// Bytes in all.
    pub size: u64,
    /// More waits to be written than the disk takes.
    pub behind: bool,
    /// How long the last sync took.
    pub sync_ms: u64,
}

impl Disk {
    /// Bytes of batch jobs that fit on it.
    fn capacity(&self) -> u64 {
        if self.size == 0 {
            return u64::MAX;
        }
        self.size.saturating_sub(DISK_RESERVE) / 100 * DISK_BATCH_JOBS_PERCENT
    }

    fn is_full(&self) -> bool {
        self.size > 0 && self.used * 100 >= self.size * DISK_FULL_PERCENT
    }
}

/// What was written and is not known to be on disk.
#[derive(Debug, Default)]
struct Unsynced {
    /// The newest ticket written of each partition that waits.
    tickets: BTreeMap<u16, u64>,
    /// When the disk last finished something, or had nothing to do.
    since: Option<Millis>,
}

impl Unsynced {
    fn written(&mut self, part: u16, ticket: u64) {
        self.tickets.insert(part, ticket);
    }

    fn synced(&mut self, now: Millis, part: u16, ticket: u64) {
        if self
            .tickets
            .get(&part)
            .is_some_and(|newest| *newest <= ticket)
        {
            self.tickets.remove(&part);
        }
        self.since = Some(now);
    }

    /// Time passes.
    fn tick(&mut self, now: Millis) {
        if self.tickets.is_empty() {
            self.since = None;
        } else {
            self.since.get_or_insert(now);
        }
    }

    fn is_stalled(&self, now: Millis) -> bool {
        !self.tickets.is_empty()
            && self
                .since
                .is_some_and(|since| now.saturating_sub(since) >= STALLED_MS)
    }
}

/// What one frame turned out to be.
#[derive(Debug, thiserror::Error)]
pub enum Odd {
    /// Its bytes are no message.
    #[error("{0}")]
    Wire(#[from] DecodeError),
    /// A message of the chain that can't be read.
    #[error("{0}")]
    Chain(#[from] chain_replication::DecodeError),
    /// A kind that a store doesn't know.
    #[error("a frame of an unknown kind")]
    Kind,
    /// A lease that no controller gives: of one that isn't known, or far too long.
    #[error("a lease of a stranger, or one of {0} ms")]
    Lease(Millis),
}

/// One store.
pub struct Store<R> {
    terms: Terms,
    parts: Vec<Option<Part<R>>>,
    /// Of the answers to reads of all partitions: they share one link.
    pace: Rc<RefCell<Pace>>,
    map: Option<PlacementMap>,
    /// Controllers: the head first where known.
    controllers: Vec<SocketAddr>,
    leased_until: Millis,
    granted_at: Millis,
    answered_ms: u64,
    heartbeat_at: Option<Millis>,
    fetches: Fetches<R>,
    disk: Disk,
    behind_since: Option<Millis>,
    unsynced: Unsynced,
    persistence: DiskHealth,
    leaving: bool,
    closed: bool,
    effects: Vec<Effect>,
    seldom: Rarely,
    log: Logger,
}

impl<R: Answer> Store<R> {
    /// A store with what its disk holds of each partition.
    pub fn new(terms: Terms, recovered: Vec<(u16, RecoveredLog)>, log: Logger) -> Self {
        let pace = Rc::new(RefCell::new(Pace::new(terms.answer_bytes_per_ms)));
        let mut parts: Vec<Option<Part<R>>> = Vec::new();
        parts.resize_with(
            recovered
                .iter()
                .map(|(number, _)| usize::from(*number) + 1)
                .max()
                .unwrap_or(0),
            || None,
        );
        for (number, recovered) in recovered {
            if let Some(place) = parts.get_mut(usize::from(number)) {
                *place = Some(Part::new(
                    number,
                    member(&terms),
                    terms.incarnation,
                    recovered,
                    Rc::clone(&pace),
                    log.clone(),
                ));
            }
        }
        Self {
            terms,
            parts,
            pace,
            map: None,
            controllers: Vec::new(),
            leased_until: 0,
            granted_at: 0,
            answered_ms: 0,
            heartbeat_at: None,
            fetches: Fetches::new(),
            disk: Disk::default(),
            behind_since: None,
            unsynced: Unsynced::default(),
            persistence: DiskHealth::default(),
            leaving: false,
            closed: false,
            effects: Vec::new(),
            seldom: Rarely::default(),
            log,
        }
    }

    /// What is to be done since the last call, in order.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The map that this store knows.
    pub fn map(&self) -> Option<&PlacementMap> {
        self.map.as_ref()
    }

    /// One partition's copy, if it has one.
    pub fn node(&self, part: usize) -> Option<&chain_replication::Replica<batch::BatchJobTable>> {
        self.parts.get(part)?.as_ref().map(Part::node)
    }

    /// The partitions of which it has a copy.
    pub fn held(
        &self,
    ) -> impl Iterator<Item = (u16, &chain_replication::Replica<batch::BatchJobTable>)> {
        let parts = self.parts.iter().zip(0u16..);
        parts.filter_map(|(part, number)| part.as_ref().map(|part| (number, part.node())))
    }

    /// Bytes of memory that all its batch jobs will need.
    pub fn bytes(&self) -> usize {
        self.held()
            .map(|(_, node)| node.state_machine().expected_bytes())
            .fold(0, usize::saturating_add)
    }

    /// Where controllers are, the head first where known.
    pub fn controllers(&mut self, controllers: Vec<SocketAddr>) {
        self.controllers = controllers;
    }

    fn turn(&self, now: Millis) -> Turn {
        let full = self.is_behind(now) || self.disk.is_full() || !self.persistence.is_writable();
        Turn {
            now,
            leased: now < self.leased_until,
            room: !full && (self.bytes() as u64) < self.capacity(),
            least: self.terms.least,
            poll_ms: self.terms.poll_ms,
            by_job: self
                .map
                .as_ref()
                .is_some_and(|map| map.placement == Placement::ByJob),
            partitions: self.map.as_ref().map_or(0, |map| map.partitions.len()),
        }
    }

    /// Bytes of batch jobs that it can hold.
    fn capacity(&self) -> u64 {
        self.disk.capacity().min(self.terms.most_bytes as u64)
    }

    /// Whether its disk has finished nothing for a while, though something waits.
    pub fn is_stalled(&self, now: Millis) -> bool {
        self.unsynced.is_stalled(now)
    }

    /// Whether no chain counts on this store: what it held is on the disks of others.
    pub fn is_empty(&self) -> bool {
        self.parts.iter().all(Option::is_none)
    }

    fn is_behind(&self, now: Millis) -> bool {
        self.behind_since
            .is_some_and(|since| now.saturating_sub(since) >= BEHIND_MS)
    }

    /// How the disk stands, told now and then.
    pub fn disk(&mut self, now: Millis, disk: Disk) {
        self.disk = disk;
        self.behind_since = if disk.behind {
            self.behind_since.or(Some(now))
        } else {
            None
        };
        if disk.sync_ms >= SLOW_SYNC_MS {
            if let Some(left_out) = self.seldom.now(now, "slow") {
                warn!(self.log, "disk slow"; "code" => 2201, "sync_ms" => disk.sync_ms, "left_out" => left_out);
            }
        }
        if disk.is_full() {
            if let Some(left_out) = self.seldom.now(now, "full") {
                warn!(self.log, "disk full: batch jobs are refused"; "code" => 2202, "used" => disk.used,
                    "size" => disk.size, "left_out" => left_out);
            }
        }
        if self.is_behind(now) {
            if let Some(left_out) = self.seldom.now(now, "behind") {
                warn!(self.log, "disk behind: batch jobs are refused"; "code" => 2207, "left_out" => left_out);
            }
        }
    }

    /// Whether the disk takes what is written; to be called with each tick and after each sync. Until it is said to, a
    /// store has no part in its chains and takes no batch jobs; it goes on reading from its copies under its lease.
    pub fn persistence(&mut self, now: Millis, disk: DiskStatus) {
        if !self.persistence.update(now, disk) {
            return;
        }
        self.heartbeat_at = None;
        if self.persistence.is_writable() {
            info!(self.log, "disk takes writes"; "code" => 2209);
        } else {
            let waits_ms = disk
                .pending_since
                .map_or(0, |since| now.saturating_sub(since));
            warn!(self.log, "disk takes no writes: out of the chains until it does"; "code" => 2208,
                "refuses" => disk.failing, "waits_ms" => waits_ms, "backlogged" => disk.backlogged);
        }
    }

    /// The newest map of the stores, as the controllers spread it.
    pub fn take_map(&mut self, now: Millis, map: PlacementMap) {
        if self
            .map
            .as_ref()
            .is_some_and(|old| old.number >= map.number)
        {
            return;
        }
        let head = |view: &&chain_replication::View| {
            view.members
                .first()
                .is_some_and(|m| m.addr == self.terms.addr)
        };
        let heads = map.partitions.iter().filter(head).count();
        info!(self.log, "map of the stores"; "number" => map.number, "stores" => map.stores.len(), "head_of" => heads);
        let turn = Turn {
            by_job: map.placement == Placement::ByJob,
            partitions: map.partitions.len(),
            ..self.turn(now)
        };
        let me = member(&self.terms);
        let wanted = map
            .partitions
            .len()
            .min(MAX_PARTITIONS)
            .max(self.parts.len());
        self.parts.resize_with(wanted, || None);
        for (number, view) in (0u16..).zip(map.partitions.iter()) {
            let Some(place) = self.parts.get_mut(usize::from(number)) else {
                break;
            };
            let inside = view
                .members
                .iter()
                .chain(&view.joining)
                .any(|member| member.is_same_process(&me));
            if inside {
                let part = place.get_or_insert_with(|| {
                    Part::new(
                        number,
                        me.clone(),
                        self.terms.incarnation,
                        RecoveredLog::default(),
                        Rc::clone(&self.pace),
                        self.log.clone(),
                    )
                });
                part.enter(turn, view.clone());
            } else if let Some(mut part) = place.take() {
                // Whatever it still has is of no more use to anyone, and must not mix with what may come later.
                info!(self.log, "partition left"; "partition" => number, "view" => view.number);
                part.close();
                self.unsynced.tickets.remove(&number);
                self.effects.push(Effect::Void { part: number });
            }
        }
        let before = self.map.replace(map);
        self.heads_changed(before.as_ref());
        for number in 0..self.parts.len() {
            self.after(turn, number);
        }
        self.serve(turn);
    }

    /// A frame that needs no answer.
    pub fn told(
        &mut self,
        now: Millis,
        from: SocketAddr,
        kind: u16,
        body: &Bytes,
    ) -> Result<(), Odd> {
        match kind {
            CHAIN => {
                let (number, body) = ChainFrame::split(body)
                    .ok_or_else(|| DecodeError::Malformed("a frame".into()))?;
                let msg = ChainMessage::decode(&body)?;
                if !self.persistence.is_writable() {
                    return Ok(());
                }
                let turn = self.turn(now);
                if let Some(part) = self.part(number) {
                    part.message(turn, from, msg);
                    self.after(turn, usize::from(number));
                    self.serve(turn);
                }
                Ok(())
            }
            LEASE_GRANT => {
                let grant = LeaseGrant::decode(body)?;
                if !self.controllers.contains(&from) || grant.lease_ms > LEASE_MOST {
                    return Err(Odd::Lease(grant.lease_ms));
                }
                self.granted(now, &grant);
                Ok(())
            }
            RESERVE | RESERVE_PROGRESS | RESERVE_RESPONSE | AUDIT | AUDIT_RESPONSE => {
                self.quota_word(now, kind, body)
            }
            _ => Err(Odd::Kind),
        }
    }

    fn granted(&mut self, now: Millis, grant: &LeaseGrant) {
        self.granted_at = now;
        if grant.sent_ms <= now {
            self.answered_ms = self.answered_ms.max(grant.sent_ms);
        }
        // A newer map may have other tails: its lease is none for the views known here.
        if self.map.as_ref().is_some_and(|map| map.number >= grant.map) && grant.sent_ms <= now {
            self.leased_until = self
                .leased_until
                .max(grant.sent_ms.saturating_add(grant.lease_ms));
        }
    }

    /// All records of a partition up to this ticket are on disk.
    pub fn synced(&mut self, now: Millis, part: u16, ticket: u64) {
        let turn = self.turn(now);
        self.unsynced.synced(now, part, ticket);
        if let Some(found) = self.part(part) {
            found.synced(turn, ticket);
            self.after(turn, usize::from(part));
        }
    }

    /// To be called once after a round of [`Store::synced`].
    pub fn all_synced(&mut self, now: Millis) {
        let turn = self.turn(now);
        self.serve(turn);
    }

    fn part(&mut self, number: u16) -> Option<&mut Part<R>> {
        self.parts
            .get_mut(usize::from(number))
            .and_then(Option::as_mut)
    }

    /// Takes over what a partition wants done.
    fn after(&mut self, turn: Turn, number: usize) {
        let Some(part) = self.parts.get_mut(number).and_then(Option::as_mut) else {
            return;
        };
        let number = number as u16;
        let mut to_self = Vec::new();
        for act in part.acts() {
            self.effects.push(match act {
                // Without a disk it has no part in the chain.
                Act::Send(..) if !self.persistence.is_writable() => continue,
                Act::Send(to, msg) => {
                    let body = ChainFrame {
                        partition: number,
                        body: msg.encode(),
                    }
                    .encode();
                    Effect::Tell {
                        to,
                        kind: CHAIN,
                        body,
                    }
                }
                Act::Write(ticket, write) => {
                    self.unsynced.written(number, ticket);
                    Effect::Write {
                        part: number,
                        ticket,
                        write,
                    }
                }
                Act::Tell(to, kind, body) if to == self.terms.addr => {
                    to_self.push((kind, body));
                    continue;
                }
                Act::Tell(to, kind, body) => Effect::Tell { to, kind, body },
                Act::TellHead(partition, kind, body) => {
                    match self.map.as_ref().and_then(|map| map.head(partition)) {
                        Some(to) if to == self.terms.addr => {
                            to_self.push((kind, body));
                            continue;
                        }
                        Some(to) => Effect::Tell { to, kind, body },
                        None => continue,
                    }
                }
            });
        }
        // Each such word is answered once, and what it leads to is asked for anew by the clock alone: this ends.
        for (kind, body) in to_self {
            let _ = self.quota_word(turn.now, kind, &body);
        }
    }

    /// The logs of all partitions together stay within a bound, however many there are.
    fn limit_logs(&mut self) {
        let limit =
            chain_replication::fair_log_limit(self.held().map(|(_, node)| node.log_bytes()));
        self.parts
            .iter_mut()
            .flatten()
            .for_each(|part| part.limit_log(limit));
    }

    /// Time passes; to be called every 50 to 100 ms.
    pub fn tick(&mut self, now: Millis) {
        let turn = self.turn(now);
        self.unsynced.tick(now);
        self.limit_logs();
        for number in 0..self.parts.len() {
            if let Some(part) = self.parts.get_mut(number).and_then(Option::as_mut) {
                part.tick(turn);
                self.after(turn, number);
            }
        }
        self.serve(turn);
        let parts = &self.parts;
        let is_head = |number: usize| {
            parts
                .get(number)
                .and_then(Option::as_ref)
                .is_some_and(Part::is_head)
        };
        let map = self.map.as_ref();
        let gone = |host: &str| {
            let mut kept =
                (0..parts.len()).filter(|at| map.is_some_and(|map| map.may_keep(*at, host)));
            !kept.any(is_head)
        };
        for fetch in self.fetches.over(now, gone) {
            // Empty, it is also a word that this store is still the head; without a lease it has none to give.
            if turn.leased {
                let elsewhere = self.elsewhere(&fetch.call);
                fetch.reply.answer(
                    FetchResponse {
                        items: Vec::new(),
                        elsewhere,
                    }
                    .encode(),
                );
            }
        }
        if self
            .heartbeat_at
            .is_none_or(|at| now.saturating_sub(at) >= HEARTBEAT_INTERVAL_MS)
        {
            self.heartbeat(now);
        }
    }

    fn heartbeat(&mut self, now: Millis) {
        self.heartbeat_at = Some(now);
        let status = |(number, node): (u16, &chain_replication::Replica<batch::BatchJobTable>)| {
            PartitionStatus {
                partition: number,
                status: node.status(),
                batch_jobs: u32::try_from(node.state_machine().len()).unwrap_or(u32::MAX),
                bytes: node.state_machine().expected_bytes() as u64,
            }
        };
        let heartbeat = Heartbeat {
            addr: self.terms.addr,
            id: self.terms.id,
            node: self.terms.node.clone(),
            zone: self.terms.zone.clone(),
            sent_ms: now,
            map: self.map.as_ref().map_or(0, |map| map.number),
            statuses: self.held().map(status).collect(),
            disk_used: self.disk.used,
            disk_size: self.disk.size,
            leaving: self.leaving,
            capacity: self.capacity(),
            stalled: self.is_stalled(now) || !self.persistence.is_writable(),
            answered_ms: self.answered_ms,
        };
        let body = heartbeat.encode();
        let late = now.saturating_sub(self.granted_at) >= GRANT_LATE_MS;
        let to = if late { self.controllers.len() } else { 1 };
        for controller in self.controllers.iter().take(to) {
            self.effects.push(Effect::Tell {
                to: *controller,
                kind: HEARTBEAT,
                body: body.clone(),
            });
        }
    }

    /// The process is to end: the controllers learn at once that the chains are to go on without it. Until they have
    /// taken it out it serves on, so that nobody is refused meanwhile.
    pub fn leave(&mut self, now: Millis) {
        if !self.leaving {
            self.leaving = true;
            info!(self.log, "leaving");
            self.heartbeat(now);
        }
    }

    /// The process ends now: who still waits learns that nobody here can say, and no more calls are taken.
    pub fn close(&mut self) {
        self.closed = true;
        for part in self.parts.iter_mut().flatten() {
            part.close();
        }
        self.fetches = Fetches::new();
    }
}

fn member(terms: &Terms) -> Member {
    Member {
        id: terms.id,
        addr: terms.addr,
        since: 0,
    }
}
