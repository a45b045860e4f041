//! The one owner of a controller's tables, without I/O and clock: it takes what is asked and told, feeds the state machines
//! and says what is to be done.

mod calls;
mod contact;
mod duty;
mod repair;
mod spread;

use crate::begin::{Begin, Found, Unreadable};
use crate::control::Control;
use crate::dispatchers::Dispatchers;
use crate::founding::{Founding, FoundingOut, Frame};
use crate::heartbeats::{ControllerHeartbeat, Controllers, EVERY};
use crate::op::Answer;
use crate::plan::Stores;
use crate::refused::{PassedOver, Refused};
use batch::wire::Message as _;
use batch::wire::{Heartbeat, PlacementMap, HEARTBEAT};
use bytes::Bytes;
use calls::Pending;
use chain_replication::{Member, Millis, Replica};
use contact::QuorumContact;
use peer_transport::Peer;
use relay_tree::{Follow, Role, StateTable};
use replicated_state::{HELLO, RELAY};
use runner_registry::{Registry, RegistryConfig};
use slog::{info, warn, Logger};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tier_settings::{Reread, Settings, SettingsError};
use view_agreement::{Agreement, ControllerView};
use write_ahead_log::{DiskHealth, DiskStatus};

/// Frames of the agreement of views.
pub const VIEW: u16 = 0x0101;
/// Frames of the chain.
pub const CHAIN: u16 = 0x0102;
/// A controller's heartbeat.
pub const CONTROLLER_HEARTBEAT: u16 = 0x0103;
/// Frames of the founding.
pub const FOUNDING: u16 = 0x0104;

/// How often the owner looks at what time brings.
pub const TICK: Millis = 100;
/// A majority not heard for so long may have gone on without this controller. Not above the silence after which it would.
const STALE: Millis = 900;
/// A gap between ticks as long as this was a standstill of this process, and what it did not hear meanwhile says nothing.
const STANDSTILL: Millis = 500;

/// So long after SIGTERM a controller ends that nobody can replace: callers have found others by then.
const STOPPING: Millis = 1_200;
/// A controller that stops stays for so long after the view without it was chosen: the frames that say so go out, and
/// the others need not find out by themselves.
const HANDOVER_LINGER: Millis = 2 * TICK;

/// Whose write is on disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// The agreement's.
    View(u64),
    /// The chain's.
    Chain(u64),
    /// The founding's.
    FirstView(u64),
}

/// What the owner wants done, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Out {
    /// A frame for a peer; may be lost.
    Tell {
        /// Its peer address.
        to: SocketAddr,
        /// The frame's kind.
        kind: u16,
        /// The frame's body.
        body: Bytes,
    },
    /// A record to write and sync, in order; then [`Owner::synced`].
    Write {
        /// Whose it is.
        told: Told,
        /// The record.
        record: Bytes,
    },
    /// The answer to a call.
    Reply {
        /// Its number.
        call: u64,
        /// The answer.
        answer: Answer,
    },
}

/// What a controller is made of. Times are steady milliseconds of this process, never 0, which some tables take for never;
/// `unix` is the time of day in milliseconds.
pub struct Owner {
    pub(crate) log: Logger,
    pub(crate) settings: Settings,
    pub(crate) me: Member,
    pub(crate) incarnation: u64,
    pub(crate) agreement: Agreement,
    /// Until a view is known, if this is a founder.
    pub(crate) founding: Option<Founding>,
    pub(crate) node: Replica<Control>,
    pub(crate) state_table: StateTable,
    pub(crate) registry: Registry,
    pub(crate) controllers: Controllers,
    pub(crate) stores: Stores,
    pub(crate) dispatchers: Dispatchers,
    pub(crate) pending: Vec<Pending>,
    pub(crate) out: Vec<Out>,
    pub(crate) unix: u64,
    pub(crate) ticked: Millis,
    /// When heartbeats were sent last; none: they are due with the next tick.
    pub(crate) heartbeat_at: Option<Millis>,
    pub(crate) head_since: Option<Millis>,
    pub(crate) spreading: Option<(u64, Millis)>,
    /// The view that should be next, and since when it is that one.
    pub(crate) wanted: Option<(ControllerView, Millis)>,
    pub(crate) proposed: Millis,
    /// When the others were asked for a newer view.
    pub(crate) asked: Option<Millis>,
    pub(crate) touched_since: Option<Millis>,
    pub(crate) contact: QuorumContact,
    pub(crate) told_controllers: (u64, Vec<SocketAddr>),
    pub(crate) leaving: bool,
    /// When it was told to stop.
    pub(crate) stopped_at: Option<Millis>,
    /// Since when the others go on without this one, while it is stopping.
    pub(crate) replaced_since: Option<Millis>,
    /// So many losses the view in force survives, as last said in the log.
    pub(crate) tolerated: Option<usize>,
    /// The same of whole zones, or regions.
    pub(crate) tolerated_zones: Option<usize>,
    pub(crate) map: Option<PlacementMap>,
    /// Stores that get no lease, as of then: a map without them waits until those that they have run out.
    pub(crate) withheld: (Vec<SocketAddr>, Millis),
    pub(crate) room: (u64, u64),
    pub(crate) persistence: DiskHealth,
    /// More waits for the disk than is to be added to by anything.
    pub(crate) saturated: bool,
    pub(crate) refused: Refused,
}

impl Owner {
    /// A controller that has just started, with what its disk holds, all of it synced; a founder's record too.
    ///
    /// # Errors
    /// A record that can't be read.
    pub fn new(
        begin: Begin,
        found: &Found,
        settings: Settings,
        log: Logger,
    ) -> Result<Self, Unreadable> {
        let Begin {
            me,
            incarnation,
            founders,
        } = begin;
        let founding = if founders.is_empty() {
            None
        } else {
            Some(Founding::new(me.clone(), founders, found.founding()?))
        };
        let (views, writes) = found.recovered()?;
        let mut agreement = Agreement::new(me.clone(), None, views);
        agreement.set_disk_writable(false);
        let mut node = Replica::new(me.clone(), Control::default(), writes);
        if let Some(current) = agreement.current_view() {
            node.install_view(1, current.view.clone());
        }
        let terms = RegistryConfig {
            heartbeat_ms: settings.heartbeat_ms,
            owner: incarnation,
        };
        Ok(Owner {
            state_table: StateTable::new(incarnation, me.addr, Follow::All, Role::Root),
            me,
            incarnation,
            agreement,
            founding,
            node,
            registry: Registry::new(terms),
            controllers: Controllers::default(),
            stores: Stores::default(),
            dispatchers: Dispatchers::new(incarnation),
            pending: Vec::new(),
            out: Vec::new(),
            unix: 0,
            ticked: 1,
            heartbeat_at: None,
            head_since: None,
            spreading: None,
            wanted: None,
            proposed: 0,
            asked: None,
            touched_since: None,
            contact: QuorumContact::default(),
            told_controllers: (0, Vec::new()),
            leaving: false,
            stopped_at: None,
            replaced_since: None,
            tolerated: None,
            tolerated_zones: None,
            map: None,
            withheld: (Vec::new(), 0),
            room: (0, 0),
            persistence: DiskHealth::default(),
            saturated: false,
            refused: Refused::default(),
            log,
            settings,
        })
    }

    /// What is to be done, in this order.
    pub fn take(&mut self) -> Vec<Out> {
        std::mem::take(&mut self.out)
    }

    /// A frame of another process of the tier.
    pub fn told(&mut self, now: Millis, unix: u64, from: &Peer, kind: u16, body: &Bytes) {
        self.unix = unix;
        self.frame(now, from, kind, body);
        self.notice(now);
        self.work(now);
    }

    /// What a frame or a sync may have brought about, and what nobody should wait for until the next tick: contact with a
    /// majority, and with it the duty of the head.
    fn notice(&mut self, now: Millis) {
        self.tend_contact(now);
        if self.head_since.is_none() {
            self.plan(now);
        }
    }

    fn frame(&mut self, now: Millis, from: &Peer, kind: u16, body: &Bytes) {
        match kind {
            // What would be written can wait: others say it again.
            VIEW if self.saturated => {}
            CHAIN if !self.persistence.is_writable() => {}
            VIEW => match view_agreement::Message::decode(body) {
                Ok(msg) => self.agreement.handle_message(now, from.addr, msg),
                Err(e) => self.odd(now, from, kind, &e),
            },
            CHAIN => match chain_replication::Message::decode(body) {
                Ok(msg) => self.node.handle_message(now, from.addr, msg),
                Err(e) => self.odd(now, from, kind, &e),
            },
            RELAY => match relay_tree::Message::decode(body) {
                Ok(msg) => self.state_table.handle_message(now, from.addr, msg),
                Err(e) => self.odd(now, from, kind, &e),
            },
            CONTROLLER_HEARTBEAT => match ControllerHeartbeat::decode(body) {
                Some(heartbeat) => {
                    let id = heartbeat.id;
                    if self.controllers.heard(now, from.addr, heartbeat) {
                        info!(self.log, "controller heard"; "controller" => %from.addr, "id" => id, "node" => %from.node);
                        self.came(now, from.addr);
                    }
                }
                None => self.odd(now, from, kind, &"no heartbeat"),
            },
            FOUNDING => match Frame::decode(body) {
                Ok(frame) => self.founding_frame(now, from.addr, frame),
                Err(e) => self.odd(now, from, kind, &e),
            },
            HELLO => self.dispatchers.heard(now, from),
            HEARTBEAT => match Heartbeat::decode(body) {
                Ok(heartbeat) => {
                    let (addr, sent, node) =
                        (heartbeat.addr, heartbeat.sent_ms, heartbeat.node.clone());
                    if self.stores.heard(now, heartbeat) {
                        info!(self.log, "store heard"; "store" => %node, "addr" => %addr);
                    }
                    self.grant(now, addr, sent);
                }
                Err(e) => self.odd(now, from, kind, &e),
            },
            _ => self.odd(now, from, kind, &"unknown kind"),
        }
    }

    fn founding_frame(&mut self, now: Millis, from: SocketAddr, frame: Frame) {
        match &mut self.founding {
            Some(founding) => founding.message(now, from, frame),
            // There is a view already: whoever still founds learns it.
            None => {
                let asks = view_agreement::MessageBody::RequestView { newest_known: 0 };
                self.agreement.handle_message(
                    now,
                    from,
                    view_agreement::Message {
                        from: 0,
                        body: asks,
                    },
                );
            }
        }
    }

    /// What the founding wants done. It ends once a view is known.
    fn found(&mut self, now: Millis) -> bool {
        if self.agreement.current_view().is_some() {
            self.founding = None;
        }
        let outs = self
            .founding
            .as_mut()
            .map(Founding::take)
            .unwrap_or_default();
        let idle = outs.is_empty();
        for out in outs {
            match out {
                FoundingOut::Send { to, frame } => self.tell(to, FOUNDING, frame.encode()),
                FoundingOut::Write { ticket, record } => {
                    self.write(Told::FirstView(ticket), record)
                }
                FoundingOut::Founded(value) => {
                    info!(self.log, "founded"; "founders" => addresses(&value.view.members));
                    let msg = view_agreement::Message {
                        from: self.me.id,
                        body: view_agreement::MessageBody::Chosen { value },
                    };
                    self.agreement.handle_message(now, self.me.addr, msg);
                }
            }
        }
        idle
    }

    fn odd(&mut self, now: Millis, from: &Peer, kind: u16, why: &dyn std::fmt::Display) {
        self.refused.frames += 1;
        if let Some(left_out) = self.refused.lines.now(now, "frame") {
            warn!(self.log, "frame refused"; "code" => 1401, "from" => %from.addr, "kind" => kind, "why" => %why,
                "left_out" => left_out);
        }
    }

    /// Words that counted for nothing since the start.
    pub(crate) fn passed_over(&self) -> PassedOver {
        PassedOver {
            chain: self.node.ignored_messages(),
            view: self.agreement.ignored_messages(),
            relay: self.state_table.ignored_messages(),
        }
    }

    fn note_passed_over(&mut self, now: Millis) {
        let passed_over = self.passed_over();
        if passed_over != self.refused.passed_over
            && self.refused.lines.now(now, "passed over").is_some()
        {
            self.refused.passed_over = passed_over;
            info!(self.log, "words passed over: of views that are over, of strangers, for others"; "code" => 1409,
                "chain" => passed_over.chain, "view" => passed_over.view, "relay" => passed_over.relay);
        }
    }

    /// What time brings, every [`TICK`].
    pub fn tick(&mut self, now: Millis, unix: u64) {
        self.unix = unix;
        if now.saturating_sub(self.ticked) > STANDSTILL {
            warn!(self.log, "stood still"; "ms" => now - self.ticked);
            self.controllers.woke(now);
            self.stores.woke(now);
            self.dispatchers.woke(now);
            self.head_since = self.head_since.map(|_| now);
            self.touched_since = None;
        }
        self.ticked = now;
        self.agreement.tick(now);
        if let Some(founding) = &mut self.founding {
            founding.tick(now);
        }
        self.node.tick(now);
        self.tend_contact(now);
        self.state_table.tick(now);
        if self
            .heartbeat_at
            .is_none_or(|at| now.saturating_sub(at) >= EVERY)
        {
            self.heartbeat_at = Some(now);
            self.send_heartbeats(now);
        }
        self.follow(now);
        self.ask_for_view(now);
        self.sweep(now);
        let alive = self
            .contact
            .holds(now)
            .then(|| self.controllers.incarnations(now));
        for (key, stamp, value) in
            self.dispatchers
                .state_entries(now, unix, &self.state_table, alive.as_deref())
        {
            self.state_table.set(now, &key, stamp, value);
        }
        self.repair(now);
        self.plan(now);
        self.work(now);
        self.note_replaced(now);
        self.note_passed_over(now);
    }

    /// Silent runners and dispatchers are taken for gone only in contact with a majority. Out of contact their silence may
    /// be this controller's own: what is known is kept as it is, and its age shows that it is stale. When contact is back,
    /// each gets a whole span again.
    fn sweep(&mut self, now: Millis) {
        if !self.contact.holds(now) {
            self.dispatchers.woke(now);
            return;
        }
        let alive = self.controllers.incarnations(now);
        self.registry.set_live_owners(now, &alive);
        for state_entry in self.registry.sweep(now) {
            info!(self.log, "runner silent"; "state_entry" => %state_entry.key);
            self.state_table
                .set(now, &state_entry.key, state_entry.stamp, state_entry.value);
        }
    }

    /// How the disk stands; to be called with each tick and after each sync. Until it is said to be able, a controller votes
    /// and acknowledges nothing.
    pub fn persistence(&mut self, now: Millis, disk: DiskStatus) {
        self.saturated = disk.backlogged;
        if !self.persistence.update(now, disk) {
            return;
        }
        let able = self.persistence.is_writable();
        self.agreement.set_disk_writable(able);
        if let Some(founding) = &mut self.founding {
            founding.persists(able);
        }
        self.heartbeat_at = None;
        if able {
            info!(self.log, "disk takes writes"; "code" => 1404);
        } else {
            let waits_ms = disk
                .pending_since
                .map_or(0, |since| now.saturating_sub(since));
            warn!(self.log, "disk takes no writes: out of the chain until it does"; "code" => 1403,
                "refuses" => disk.failing, "waits_ms" => waits_ms, "backlogged" => disk.backlogged);
        }
    }

    /// SIGTERM: the others are told to go on without this one.
    pub fn stop(&mut self, now: Millis, unix: u64) {
        self.unix = unix;
        self.leaving = true;
        self.stopped_at.get_or_insert(now);
        self.heartbeat_at = None;
        info!(self.log, "stopping");
        self.work(now);
    }

    /// These writes are on disk.
    pub fn synced(&mut self, now: Millis, unix: u64, writes: &[Told]) {
        self.unix = unix;
        for told in writes {
            match *told {
                Told::View(ticket) => self.agreement.handle_synced(now, ticket),
                Told::Chain(ticket) => self.node.handle_synced(now, ticket),
                Told::FirstView(ticket) => {
                    if let Some(founding) = &mut self.founding {
                        founding.synced(now, ticket);
                    }
                }
            }
        }
        self.notice(now);
        self.work(now);
    }

    /// Works off what the machines ask for, until they ask for nothing more.
    fn work(&mut self, now: Millis) {
        for _ in 0..64 {
            let mut idle = self.found(now);
            for out in self.agreement.take_effects() {
                idle = false;
                match out {
                    view_agreement::Effect::Send { to, message: msg } => {
                        self.tell(to, VIEW, msg.encode())
                    }
                    view_agreement::Effect::Write { ticket, record } => {
                        self.write(Told::View(ticket), record)
                    }
                    view_agreement::Effect::ViewChosen(next) => self.chosen(now, &next),
                    view_agreement::Effect::ViewConfirmed {
                        token: of,
                        is_current: ok,
                    } => self.confirmed(of, ok),
                }
            }
            for out in self.node.take_effects() {
                idle = false;
                match out {
                    // Without a disk it has no part in the chain.
                    chain_replication::Effect::Send { .. } if !self.persistence.is_writable() => {}
                    chain_replication::Effect::Send { to, message: msg } => {
                        self.tell(to, CHAIN, msg.encode())
                    }
                    chain_replication::Effect::Write {
                        ticket,
                        record: write,
                    } => self.write(Told::Chain(ticket), write.encode()),
                    chain_replication::Effect::Committed { .. } => self.committed(now),
                    chain_replication::Effect::SnapshotInstalled => {
                        info!(self.log, "control state taken over");
                        // What was read from the state before may never have been kept.
                        self.map = None;
                    }
                }
            }
            for (to, msg) in self.state_table.take_messages() {
                idle = false;
                self.tell(to, RELAY, msg.encode());
            }
            for key in self.state_table.take_changed_keys() {
                idle = false;
                self.state_entry(now, &key);
            }
            if idle {
                break;
            }
        }
        self.spread(now);
        self.answer(now);
        for (to, msg) in self.state_table.take_messages() {
            self.tell(to, RELAY, msg.encode());
        }
    }

    fn tell(&mut self, to: SocketAddr, kind: u16, body: Bytes) {
        self.out.push(Out::Tell { to, kind, body });
    }

    fn write(&mut self, told: Told, record: Bytes) {
        self.out.push(Out::Write { told, record });
    }

    fn ctl_of(&self, peer: SocketAddr) -> SocketAddr {
        SocketAddr::new(
            peer.ip(),
            self.settings.ctl.map_or(peer.port(), |c| c.port()),
        )
    }

    /// The settings file was read again: only what may change while it runs is taken, and nothing of one that is not this
    /// process's, or not whole.
    pub fn reload(&mut self, file: Result<Settings, SettingsError>) {
        match file.and_then(|file| self.settings.reread(&file)) {
            Ok(Reread {
                settings,
                at_next_start,
                ..
            }) => {
                info!(self.log, "settings read again"; "peers" => settings.peers.len());
                if !at_next_start.is_empty() {
                    warn!(self.log, "settings that take effect at the next start"; "code" => 1406,
                        "keys" => at_next_start.join(","));
                }
                self.settings = settings;
            }
            Err(e) => warn!(self.log, "settings left as they were"; "code" => 1405, "why" => %e),
        }
    }

    /// The settings that are in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Bytes used on the disk, and there, and connections that were refused, for those who ask how the controller stands.
    pub fn measured(&mut self, (used, there): (u64, u64), refused_connections: u64) {
        self.room = (used, there);
        self.refused.connections = refused_connections;
    }

    /// Counts frames that are dropped before they come here.
    pub fn dropped(&self) -> Rc<Cell<u64>> {
        Rc::clone(&self.refused.dropped)
    }

    /// Whether this controller, which was told to stop, may end. It may once the others go on without it: it is neither a
    /// member of the chain nor an acceptor, nobody waits for its answer, and the others have been sent the view that says
    /// so. Where no other view is to be had, since there is no machine for its place or no majority, it may end after
    /// `STOPPING`.
    pub fn may_end(&self) -> bool {
        let replaced = self
            .replaced_since
            .is_some_and(|since| self.ticked >= since + HANDOVER_LINGER);
        let stopping_for = self
            .stopped_at
            .map_or(0, |at| self.ticked.saturating_sub(at));
        replaced || stopping_for >= STOPPING && self.wanted.is_none()
    }

    /// How long the platform waits between SIGTERM and SIGKILL, in milliseconds.
    pub fn grace_ms(&self) -> u64 {
        self.settings.bounds.grace_ms
    }

    fn note_replaced(&mut self, now: Millis) {
        let is_me = |m: &Member| m.id == self.me.id && m.addr == self.me.addr;
        let inside = |v: &ControllerView| v.view.members.iter().chain(&v.acceptors).any(is_me);
        let needed = !self.pending.is_empty() || self.agreement.current_view().is_some_and(inside);
        self.replaced_since = if needed {
            None
        } else {
            self.replaced_since.or(Some(now))
        };
    }

    /// The newest view that it knows.
    pub fn view(&self) -> Option<&ControllerView> {
        self.agreement.current_view()
    }

    /// Its copy of the control state.
    pub fn node(&self) -> &Replica<Control> {
        &self.node
    }

    /// Records of a founding under way, for a file begun anew.
    pub fn whole_founding(&self) -> Vec<Bytes> {
        self.founding
            .as_ref()
            .map(Founding::whole)
            .unwrap_or_default()
    }

    /// Records that hold all that counts, for a file begun anew: of the agreement, then of the chain.
    pub fn whole(&self) -> (Vec<Bytes>, Vec<Bytes>) {
        (
            self.agreement.snapshot_records(),
            self.node
                .snapshot_records()
                .iter()
                .map(chain_replication::LogRecord::encode)
                .collect(),
        )
    }
}

fn addresses(members: &[Member]) -> String {
    members
        .iter()
        .map(|m| m.addr.ip().to_string())
        .collect::<Vec<_>>()
        .join(",")
}
