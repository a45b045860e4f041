//! Members in virtual time with large commands: links with a rate and a bounded queue, disks with
//! slow syncs and a bounded ring, and the real chain, its rule for the next view included. Only the
//! agreement on a view is stood in for: one instance decides, from what it last heard of each
//! machine.

mod checks;
pub mod disk;
mod events;
mod machines;
mod operator;
pub mod ring;
#[path = "../../../../common/write-ahead-log/tests/support/mod.rs"]
pub mod support;
pub mod table;
mod terms;
mod troubles;
mod views;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

use bytes::Bytes;
use chain_replication::{
    Acknowledgement, AppendEntries, ChunkAcknowledgement, Member, Message, MessageBody, Replica,
    ReplicaStatus, SnapshotChunk, StateMachine, View,
};
use disk::{Disk, ModelDisk};
use events::{Event, Queued};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use ring::RingDisk;
use table::Table;
pub use terms::{Faults, Figures, Terms};

/// Microseconds of virtual time.
pub type Us = u64;
pub const MS: Us = 1_000;

const WANTED: usize = 3;
const LEAST: usize = 2;
/// A machine that was not heard for so long counts as dead.
const FAILURE_TIMEOUT: Us = 1_000 * MS;
const TICK: Us = 100 * MS;
/// What may wait for one connection before messages are dropped: the bound of the links between
/// processes.
const LINK_QUEUE_BYTES: u64 = 4 << 20;
/// The log that a member keeps for others.
const KEPT_LOG_BYTES: u64 = 8 << 20;

pub struct Process {
    pub node: Replica<Table>,
    /// Proposed here as head and not acknowledged yet.
    waiting: BTreeSet<u64>,
}

pub struct Seat {
    pub addr: SocketAddr,
    pub id: u64,
    pub disk: Box<dyn Disk>,
    pub process: Option<Process>,
    pub starts_at: Option<Us>,
    /// Cut off from all others until then.
    pub cut_until: Us,
    /// Rises with each start: what was meant for the process before does not reach the next.
    incarnation: u64,
    heard_at: Us,
    status: ReplicaStatus,
    in_sync_checked: u64,
    /// Since when it joins without a disturbance, and what was sent to it since.
    joining: Option<Joining>,
}

#[derive(Debug, Clone, Copy)]
struct Joining {
    /// When it became a joiner, and when it or its sender was last disturbed.
    since: Us,
    disturbed: Us,
    bytes: u64,
    proposed_bytes: u64,
}

pub struct World {
    pub now: Us,
    pub terms: Terms,
    pub faults: Faults,
    pub seats: Vec<Seat>,
    pub view: View,
    pub acked: BTreeMap<u64, u64>,
    pub broken: Option<String>,
    pub figures: Figures,
    pub proposing: bool,
    pub troubles: bool,
    queue: BinaryHeap<Queued>,
    serial: u64,
    free_at: BTreeMap<(usize, usize), Us>,
    /// Acknowledged up to here when each view was chosen.
    acked_at_view: BTreeMap<u64, u64>,
    proposed: u64,
    proposed_bytes: u64,
    next_id: u64,
    dice: Pcg64Mcg,
}

fn new_disk(seed: u64, terms: &Terms, faults: Faults) -> Box<dyn Disk> {
    if terms.real_ring {
        Box::new(RingDisk::new(seed, terms.disk_fails, faults))
    } else {
        Box::new(ModelDisk::default())
    }
}

fn addr_of(seat: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, seat as u8 + 1], 7000))
}

impl World {
    pub fn new(seed: u64, terms: Terms, faults: Faults) -> World {
        let member = |seat: usize| Member {
            id: 0,
            addr: addr_of(seat),
            since: 1,
        };
        let view = View {
            number: 1,
            members: (0..WANTED).map(member).collect(),
            joining: Vec::new(),
        };
        let seats = (0..terms.machines).map(|seat| Seat {
            addr: addr_of(seat),
            id: if seat < WANTED { 0 } else { 100 + seat as u64 },
            disk: new_disk(seed * 100 + seat as u64, &terms, faults),
            process: None,
            starts_at: Some(0),
            cut_until: 0,
            incarnation: 0,
            heard_at: 0,
            status: ReplicaStatus::default(),
            in_sync_checked: 0,
            joining: None,
        });
        let mut world = World {
            now: 1_000 * MS,
            terms,
            faults,
            seats: seats.collect(),
            view,
            acked: BTreeMap::new(),
            broken: None,
            figures: Figures::default(),
            proposing: true,
            troubles: false,
            queue: BinaryHeap::new(),
            serial: 0,
            free_at: BTreeMap::new(),
            acked_at_view: BTreeMap::new(),
            proposed: 0,
            proposed_bytes: 0,
            next_id: 1_000,
            dice: Pcg64Mcg::seed_from_u64(seed),
        };
        world.later(0, Event::Tick);
        world.later(0, Event::Propose);
        world.later(2_000 * MS, Event::Trouble);
        world
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.dice.next_u64() % n.max(1)
    }

    fn later(&mut self, after: Us, event: Event) {
        self.serial += 1;
        self.queue
            .push(Queued(self.now + after, self.serial, event));
    }

    pub fn broke(&mut self, what: impl std::fmt::Display) {
        let at = self.now / MS;
        self.broken.get_or_insert(format!("at {at} ms: {what}"));
    }

    pub fn process(&self, seat: usize) -> Option<&Process> {
        self.seats.get(seat)?.process.as_ref()
    }

    fn seat_of(&self, addr: SocketAddr) -> usize {
        self.seats
            .iter()
            .position(|s| s.addr == addr)
            .expect("an address of the world")
    }

    pub fn head(&self) -> Option<usize> {
        let head = self.view.members.first()?;
        let seat = self.seat_of(head.addr);
        let node = &self.process(seat)?.node;
        let leads = self.seats[seat].id == head.id && node.is_head() && node.is_ready();
        (leads && node.view().is_some_and(|v| v.number == self.view.number)).then_some(seat)
    }

    pub fn joins(&self, seat: usize) -> bool {
        let s = &self.seats[seat];
        self.view
            .joining
            .iter()
            .any(|m| m.addr == s.addr && m.id == s.id)
    }

    pub fn is_member(&self, seat: usize) -> bool {
        let s = &self.seats[seat];
        self.view
            .members
            .iter()
            .any(|m| m.addr == s.addr && m.id == s.id)
    }

    fn cut(&self, seat: usize) -> bool {
        self.seats[seat].cut_until > self.now
    }

    /// Plays until `done` or something breaks; false if it was not done by then.
    pub fn until(&mut self, most: Us, done: impl Fn(&World) -> bool) -> bool {
        let end = self.now + most;
        while self.broken.is_none() && !done(self) {
            let Some(Queued(at, _, event)) = self.queue.pop() else {
                return false;
            };
            if at > end {
                self.queue.push(Queued(at, 0, event));
                self.now = end;
                return false;
            }
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.broken.is_none()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Message {
                from,
                to,
                mut message,
            } => {
                if self.cut(from) || self.cut(to) {
                    return;
                }
                let (now, addr) = (self.now / MS, self.seats[from].addr);
                if let Some(process) = self.seats[to].process.as_mut() {
                    let carries = matches!(
                        message.body,
                        MessageBody::AppendEntries(_) | MessageBody::SnapshotChunk(_)
                    );
                    if self.faults.accepts_old_view && carries {
                        message.view = process
                            .node
                            .view()
                            .map_or(0, |v| v.number)
                            .max(message.view);
                    }
                    process.node.handle_message(now, addr, message);
                    self.drain(to);
                }
            }
            Event::Synced { seat, incarnation } => self.synced(seat, incarnation),
            Event::Tick => {
                self.tick();
                self.later(TICK, Event::Tick);
            }
            Event::Propose => {
                self.propose();
                self.later(self.terms.gap, Event::Propose);
            }
            Event::Trouble => {
                if self.troubles {
                    self.trouble();
                }
                let after = 300 + self.below(1_500);
                self.later(after * MS, Event::Trouble);
            }
        }
    }
}

/// One bit of a part is another.
fn spoil(message: &mut Message) {
    if let MessageBody::SnapshotChunk(SnapshotChunk { bytes, .. }) = &mut message.body {
        let mut other = bytes.to_vec();
        if let Some(byte) = other.last_mut() {
            *byte ^= 1;
        }
        *bytes = Bytes::from(other);
    }
}

fn kind_of(body: &MessageBody) -> String {
    match body {
        MessageBody::LogPosition { number, last_view } => format!("Have({number} of {last_view})"),
        MessageBody::RequestPosition => "Ask".to_owned(),
        MessageBody::AppendEntries(AppendEntries {
            previous,
            previous_view,
            entries,
            ..
        }) => {
            format!("Entries({previous} of {previous_view} + {})", entries.len())
        }
        MessageBody::Acknowledge(Acknowledgement {
            synced,
            committed,
            in_sync,
        }) => format!("Ack({synced} {committed} {in_sync})"),
        MessageBody::SnapshotChunk(SnapshotChunk { id, offset, .. }) => {
            format!("Part({} {offset}/{})", id.number, id.total_bytes)
        }
        MessageBody::ChunkAcknowledgement(ChunkAcknowledgement {
            id,
            offset,
            received_beyond,
        }) => format!("PartAck({} {offset} {received_beyond:b})", id.number),
        MessageBody::ResumeSnapshot {
            number, id, offset, ..
        } => format!("Resume({number}: {} {offset})", id.number),
    }
}

fn size_of(message: &Message) -> u64 {
    let bytes = match &message.body {
        MessageBody::AppendEntries(AppendEntries { entries, .. }) => {
            entries.iter().map(|i| i.command.len() + 12).sum::<usize>() + 60
        }
        MessageBody::SnapshotChunk(SnapshotChunk { bytes, .. }) => bytes.len() + 60,
        _ => 60,
    };
    bytes as u64
}

/// A table that stands for the control state: its digests say which changes it took, its newest
/// body weighs.
pub fn replayed(recovered: &chain_replication::RecoveredLog) -> Table {
    let mut table = Table::default();
    if let Some(snapshot) = &recovered.snapshot {
        table
            .restore(&snapshot.state)
            .expect("a snapshot that was written");
    }
    for (number, entry) in (table.digests.len() as u64 + 1..).zip(&recovered.entries) {
        table.apply(number, &entry.command);
    }
    table
}
