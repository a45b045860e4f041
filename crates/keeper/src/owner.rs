//! The one owner of a keeper's tables. It works through a queue of commands, feeds the state machines and carries out
//! what they ask for.

use crate::beats::{zone_number, KeeperBeat, Keepers, StatusFrame, EVERY};
use crate::control::{digest, Change, Command, Control};
use crate::dispatchers::Dispatchers;
use crate::journal::{Journal, Told};
use crate::op::{Answer, Op, Reply};
use crate::plan::{Lengths, NotRetired, Stores, LEASE};
use bytes::Bytes;
use chain::{Member, Ms, Node, Seen};
use lots::wire::Message as _;
use lots::wire::{Beat, Grant, StoreMap, StoreState, BEAT, GRANT};
use peer_link::{Links, Peer};
use relay_tree::{Board, Stamp};
use route_config::Config;
use runner_registry::Registry;
use slog::{info, warn, Logger};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tier_facts::{decode_addresses, encode_addresses, HELLO, RELAY};
use tier_settings::Settings;
use view::{Agreement, KeeperView};

/// Frames of the agreement of views.
pub const VIEW: u16 = 0x0101;
/// Frames of the chain.
pub const CHAIN: u16 = 0x0102;
/// A keeper's beat.
pub const KEEPER_BEAT: u16 = 0x0103;

/// How often the owner looks at what time brings.
pub const TICK: Ms = 100;
/// A majority not heard for so long may have gone on without this keeper. Not above the silence after which it would.
const STALE: Ms = 900;
/// A gap between ticks as long as this was a standstill of this process, and what it did not hear meanwhile says nothing.
const STANDSTILL: Ms = 500;
/// Those who have not confirmed a configuration by then are out of touch or slow, and are not waited for.
const SPREAD_WITHIN: Ms = 400;
/// A caller that has waited so long asks elsewhere; well below `AckMs` and beyond one change of the view.
const WAITING_MOST: Ms = 3_500;
/// A runner gives a call up after a second, and goes to the next keeper.
const DRAIN_WITHIN: Ms = 700;
/// What waits for its answer at most.
const PENDING_MOST: usize = 4_096;
/// How long a proposal is given before the next one, and how much later each next acceptor in the order tries.
const PROPOSE_EVERY: Ms = 700;
/// A keeper proposes a view without those that it does not hear only once it has been in touch for so long: a whole silence
/// and a beat.
const JUDGES_AFTER: Ms = crate::beats::SILENT + EVERY;
/// How often one that lacks the newest view asks for it.
const ASK_EVERY: Ms = 300;
/// See [`PROPOSE_EVERY`].
const PROPOSE_RANK: Ms = 250;

/// What waits for something to become true.
pub(crate) enum Pending {
    /// A configuration, until it is in force.
    Put { gen: u64, change: Change, reply: Reply, since: Ms },
    /// A reader at the tail, until a majority has said that its view is the newest and all it saw is kept.
    Get { token: u64, sure: bool, number: u64, reply: Reply, since: Ms },
    /// A runner that leaves, until another keeper knows.
    Drain { key: String, stamp: Stamp, reply: Reply, since: Ms },
    /// A map that an operator asked for, until it is kept.
    Retire { number: u64, reply: Reply, since: Ms },
}

/// What a keeper is made of.
pub struct Owner {
    pub(crate) log: Logger,
    pub(crate) settings: Settings,
    pub(crate) me: Member,
    pub(crate) life: u64,
    pub(crate) clock: Instant,
    pub(crate) agreement: Agreement,
    pub(crate) node: Node<Control>,
    pub(crate) board: Board,
    pub(crate) registry: Registry,
    pub(crate) keepers: Keepers,
    pub(crate) stores: Stores,
    pub(crate) dispatchers: Dispatchers,
    pub(crate) journal: Journal,
    pub(crate) links: Rc<Links>,
    pub(crate) pending: Vec<Pending>,
    pub(crate) ticked: Ms,
    pub(crate) beaten: Ms,
    pub(crate) head_since: Option<Ms>,
    pub(crate) spreading: Option<(u64, Ms)>,
    pub(crate) wanted_since: Option<(u64, Ms)>,
    pub(crate) proposed: Ms,
    pub(crate) asked: Ms,
    pub(crate) touched_since: Option<Ms>,
    pub(crate) told_keepers: (u64, Vec<SocketAddr>),
    pub(crate) leaving: bool,
    pub(crate) map: Option<StoreMap>,
    pub(crate) failed: bool,
}

impl Owner {
    /// Steady milliseconds; never 0, which some tables take for never.
    pub fn now(&self) -> Ms {
        self.clock.elapsed().as_millis() as Ms + 1
    }

    fn lengths(&self) -> Lengths {
        let least = self.settings.budget.nodes as usize + 1;
        Lengths { wanted: least + 1, least }
    }

    fn ctl_of(&self, peer: SocketAddr) -> SocketAddr {
        SocketAddr::new(peer.ip(), self.settings.ctl.map_or(peer.port(), |c| c.port()))
    }

    /// Whether a majority of the acceptors said lately that this view is the newest.
    fn in_touch(&self, now: Ms) -> bool {
        self.agreement.last_majority(now).is_some_and(|age| age < STALE)
    }

    /// Whether what is put in here is acknowledged by enough disks.
    fn can_commit(&self) -> bool {
        let members = self.node.view().map_or(0, |v| v.members.len());
        let founders = self.agreement.current().map_or(1, |v| v.acceptors.len());
        self.node.is_head() && self.node.ready() && members >= self.lengths().least.min(founders)
    }

    /// One thing that was asked or told.
    pub fn handle(&mut self, op: Op) {
        let now = self.now();
        match op {
            Op::Put { base, body, reply } => self.put(now, base, &body, reply),
            Op::Get(reply) => self.get(now, reply),
            Op::Beat { id, body, reply } => self.beat(now, &id, &body, reply),
            Op::Leave { id, reply } => {
                let fact = self.registry.leave(now, &id);
                if let Some(fact) = fact {
                    info!(self.log, "runner left"; "runner" => &id);
                    self.board.set(now, &fact.key, fact.stamp, fact.value);
                }
                let _ = reply.send(Answer::ok());
            }
            Op::RetireBegin { node, reply } => self.retire_begin(now, &node, reply),
            Op::RetireGet { node, reply } => self.retire_get(&node, reply),
            Op::Status(reply) => {
                let _ = reply.send(crate::status::answer(self, now));
            }
            Op::Told { from, kind, body } => self.told(now, &from, kind, &body),
            Op::Stop => {
                self.leaving = true;
                self.beaten = 0;
                info!(self.log, "stopping");
            }
        }
        self.work(now);
    }

    fn told(&mut self, now: Ms, from: &Peer, kind: u16, body: &Bytes) {
        match kind {
            VIEW => match view::Msg::decode(body) {
                Ok(msg) => self.agreement.message(now, from.addr, msg),
                Err(e) => self.odd(from, kind, &e),
            },
            CHAIN => match chain::Msg::decode(body) {
                Ok(msg) => self.node.message(now, from.addr, msg),
                Err(e) => self.odd(from, kind, &e),
            },
            RELAY => match relay_tree::Msg::decode(body.clone()) {
                Ok(msg) => self.board.message(now, from.addr, msg),
                Err(e) => self.odd(from, kind, &e),
            },
            KEEPER_BEAT => match KeeperBeat::decode(body) {
                Some(beat) => {
                    let id = beat.id;
                    if self.keepers.heard(now, from.addr, beat) {
                        info!(self.log, "keeper heard"; "keeper" => %from.addr, "id" => id, "node" => %from.node);
                        self.beaten = 0;
                    }
                }
                None => self.odd(from, kind, &"no beat"),
            },
            HELLO => self.dispatchers.heard(now, from),
            BEAT => match Beat::decode(body) {
                Ok(beat) => {
                    let (addr, sent, node) = (beat.addr, beat.sent_ms, beat.node.clone());
                    if self.stores.heard(now, beat) {
                        info!(self.log, "store heard"; "store" => %node, "addr" => %addr);
                    }
                    self.grant(now, addr, sent);
                }
                Err(e) => self.odd(from, kind, &e),
            },
            _ => self.odd(from, kind, &"unknown kind"),
        }
    }

    fn odd(&self, from: &Peer, kind: u16, why: &dyn std::fmt::Display) {
        warn!(self.log, "frame refused"; "code" => 1401, "from" => %from.addr, "kind" => kind, "why" => %why);
    }

    fn grant(&mut self, now: Ms, store: SocketAddr, sent_ms: u64) {
        let age = self.agreement.last_majority(now).unwrap_or(Ms::MAX);
        if !self.node.is_head() || age >= STALE {
            return;
        }
        let lease_ms = LEASE.min(STALE - age);
        let map = self.map.as_ref().map_or(0, |m| m.number);
        self.links.tell(store, GRANT, Grant { sent_ms, lease_ms, map }.encode());
    }

    fn put(&mut self, now: Ms, base: u64, body: &Bytes, reply: Reply) {
        let refuse = |reply: Reply, status, code, what: &str| {
            let _ = reply.send(Answer::refused(status, code, what));
        };
        if !self.node.is_head() || !self.in_touch(now) {
            return self.pass_on(now, "/-/config/replace", true, reply);
        }
        if !self.can_commit() || self.pending.len() >= PENDING_MOST {
            return refuse(reply, 503, 1310, "the chain is being repaired");
        }
        let digest = digest(body);
        let control = self.node.machine();
        if let Some(gen) = control.took(base, &digest) {
            let change = Change { base, gen, digest };
            self.pending.push(Pending::Put { gen, change, reply, since: now });
            return;
        }
        if base != control.gen() {
            let what = format!("version {} is in place, not {base}", control.gen());
            return refuse(reply, 412, 1311, &what);
        }
        let checked =
            Config::read(body).and_then(|config| config.check_follows(control.gen()).map(|()| config));
        let config = match checked {
            Ok(config) => config,
            Err(e) => {
                info!(self.log, "configuration refused"; "code" => e.code(), "why" => %e);
                return refuse(reply, 400, e.code(), &e.to_string());
            }
        };
        let change = Change { base, gen: config.gen, digest };
        let command = Command::Config { change, body: body.to_vec() }.encode();
        match self.node.propose(now, command) {
            Some(number) => {
                info!(self.log, "configuration ordered"; "gen" => config.gen, "base" => base, "number" => number);
                self.pending.push(Pending::Put { gen: config.gen, change, reply, since: now });
            }
            None => refuse(reply, 503, 1310, "the chain is being repaired"),
        }
    }

    /// Sends the caller to the head or the tail, if that is another one, and tells it to come again otherwise.
    fn pass_on(&mut self, now: Ms, path: &str, head: bool, reply: Reply) {
        let members = self.node.view().map(|v| v.members.as_slice()).unwrap_or_default();
        let other = if head { members.first() } else { members.last() };
        let other = other.filter(|m| m.addr != self.me.addr);
        // A member of the view that this one itself does not hear is no help.
        let heard = |m: &&Member| self.keepers.silent(now, m.addr).is_some_and(|s| s < STALE);
        let answer = match other.filter(heard) {
            Some(member) => Answer::elsewhere(self.ctl_of(member.addr), path),
            None => Answer::refused(503, 1312, "out of touch with the other keepers"),
        };
        let _ = reply.send(answer);
    }

    fn get(&mut self, now: Ms, reply: Reply) {
        if !self.node.is_tail() || !self.in_touch(now) {
            return self.pass_on(now, "/-/config/get", false, reply);
        }
        if self.pending.len() >= PENDING_MOST || !self.node.active() {
            let _ = reply.send(Answer::refused(503, 1310, "the chain is being repaired"));
            return;
        }
        let token = self.agreement.confirm(now);
        let number = self.node.received();
        self.pending.push(Pending::Get { token, sure: false, number, reply, since: now });
    }

    fn beat(&mut self, now: Ms, id: &str, body: &[u8], reply: Reply) {
        // One that is cut off would keep a runner to itself, unseen by all others.
        let alone = self.agreement.current().is_some_and(|v| v.acceptors.len() > 1) && self.ticked > 4_000;
        if alone && !self.touches_others(now) {
            let _ = reply.send(Answer::refused(503, 1312, "out of touch with the other keepers"));
            return;
        }
        let taken = match self.registry.beat(now, id, body) {
            Ok(taken) => taken,
            Err(e) => {
                warn!(self.log, "beat refused"; "runner" => id, "why" => %e);
                let _ = reply.send(Answer::refused(400, 1320, &e.to_string()));
                return;
            }
        };
        let Some(fact) = taken.publish else {
            let _ = reply.send(Answer::ok());
            return;
        };
        info!(self.log, "runner told"; "runner" => id, "draining" => taken.draining);
        let (key, stamp) = (fact.key.to_string(), fact.stamp);
        self.board.set(now, &fact.key, stamp, fact.value);
        if taken.draining && self.pending.len() < PENDING_MOST {
            self.pending.push(Pending::Drain { key, stamp, reply, since: now });
        } else {
            let _ = reply.send(Answer::ok());
        }
    }

    fn touches_others(&self, now: Ms) -> bool {
        // A keeper that is no acceptor has no majority of its own to hear; hearing one acceptor in touch will do.
        let Some(current) = self.agreement.current() else { return true };
        let heard = |m: &&Member| {
            m.addr == self.me.addr || self.keepers.silent(now, m.addr).is_some_and(|s| s < STALE)
        };
        current.acceptors.iter().filter(heard).count() * 2 > current.acceptors.len()
    }

    fn retire_begin(&mut self, now: Ms, node: &str, reply: Reply) {
        if !self.node.is_head() || !self.in_touch(now) {
            return self.pass_on(now, &format!("/-/retire/{node}/begin"), true, reply);
        }
        let answer = match (&self.map, self.can_commit()) {
            (Some(map), true) => match self.stores.retire(now, map, node, self.lengths()) {
                Err(NotRetired::Unknown) => Answer::refused(404, 1330, "no store machine of that name"),
                Err(NotRetired::TooFew) => Answer::refused(409, 1331, "too few store machines would remain"),
                Ok(None) => Answer::ok(),
                Ok(Some(next)) => {
                    let number = next.number;
                    info!(self.log, "store to be emptied"; "store" => node, "map" => number);
                    if self.order_map(now, &next) {
                        self.pending.push(Pending::Retire { number, reply, since: now });
                        return;
                    }
                    Answer::refused(503, 1310, "the chain is being repaired")
                }
            },
            _ => Answer::refused(503, 1310, "the chain is being repaired, or no map of stores yet"),
        };
        let _ = reply.send(answer);
    }

    fn retire_get(&mut self, node: &str, reply: Reply) {
        let now = self.now();
        if !self.node.is_head() || !self.in_touch(now) {
            return self.pass_on(now, &format!("/-/retire/{node}/get"), true, reply);
        }
        // The map as committed, never as ordered only: at `complete` the machine is taken away at once.
        let state = self.map.as_ref().and_then(|m| m.stores.iter().find(|s| s.node == node)).map(|s| s.state);
        let answer = match state {
            Some(StoreState::Retired) => Answer::body("{\"State\":\"complete\"}"),
            Some(StoreState::Retiring) => Answer::body("{\"State\":\"rolling\"}"),
            Some(_) => Answer::refused(404, 1332, "it is not being emptied"),
            None if self.map.is_none() => Answer::refused(503, 1310, "no map of stores yet"),
            None => Answer::refused(404, 1330, "no store machine of that name"),
        };
        let _ = reply.send(answer);
    }

    fn order_map(&mut self, now: Ms, next: &StoreMap) -> bool {
        // One at a time: the next is planned on what is committed.
        if self.node.machine().map_number != self.map.as_ref().map_or(0, |m| m.number) {
            return false;
        }
        let body = next.encode().to_vec();
        self.node.propose(now, Command::Map { number: next.number, body }.encode()).is_some()
    }

    /// What time brings.
    pub fn tick(&mut self) {
        let now = self.now();
        if now.saturating_sub(self.ticked) > STANDSTILL {
            warn!(self.log, "stood still"; "ms" => now - self.ticked);
            self.keepers.woke(now);
            self.stores.woke(now);
            self.dispatchers.woke(now);
            self.head_since = self.head_since.map(|_| now);
            self.touched_since = None;
        }
        self.ticked = now;
        self.agreement.tick(now);
        self.node.tick(now);
        let age = self.agreement.last_majority(now).unwrap_or(Ms::MAX);
        // A keeper that is no acceptor is as fresh as the keepers that it hears.
        let is_me = |m: &Member| m.id == self.me.id && m.addr == self.me.addr;
        let acceptor = self.agreement.current().is_some_and(|v| v.acceptors.iter().any(is_me));
        if acceptor || self.touches_others(now) && self.agreement.current().is_some() {
            self.board.pulse(now, if acceptor { age } else { 0 });
        }
        self.board.tick(now);
        if now.saturating_sub(self.beaten) >= EVERY {
            self.beaten = now;
            self.send_beats(now);
        }
        self.follow(now);
        self.ask_for_view(now);
        let alive = self.keepers.lives(now);
        self.registry.alive_owners(now, &alive);
        for fact in self.registry.sweep(now) {
            info!(self.log, "runner silent"; "fact" => %fact.key);
            self.board.set(now, &fact.key, fact.stamp, fact.value);
        }
        for (key, stamp, value) in self.dispatchers.facts(now, &self.board) {
            self.board.set(now, &key, stamp, value);
        }
        self.repair(now);
        self.plan(now);
        self.work(now);
    }

    fn send_beats(&mut self, now: Ms) {
        let hears = self.keepers.hears(now);
        let status = StatusFrame::new(&self.node.status());
        let hears = hears.into_iter().map(Into::into).collect();
        let zone = zone_number(&self.settings.zone);
        let beat = KeeperBeat {
            id: self.me.id,
            life: self.life,
            zone,
            status,
            leaving: u8::from(self.leaving),
            hears,
        };
        let body = beat.encode();
        for addr in self.all_keepers() {
            self.links.tell(addr, KEEPER_BEAT, body.clone());
        }
    }

    /// A newcomer, or one that hears frames of a newer view, asks those it knows of.
    fn ask_for_view(&mut self, now: Ms) {
        let own = self.agreement.current().map_or(0, |v| v.view.number);
        let behind = own == 0 || self.node.newest_heard() > own;
        if behind && now >= self.asked + ASK_EVERY {
            self.asked = now;
            for addr in self.all_keepers() {
                self.agreement.ask(now, addr);
            }
        }
    }

    /// All other keepers that are known from anywhere.
    fn all_keepers(&self) -> BTreeSet<SocketAddr> {
        let mut all: BTreeSet<SocketAddr> = self.keepers.known().collect();
        all.extend(self.settings.keeper_peers());
        if let Some(current) = self.agreement.current() {
            all.extend(
                current
                    .view
                    .members
                    .iter()
                    .chain(&current.view.joining)
                    .chain(&current.acceptors)
                    .map(|m| m.addr),
            );
        }
        all.extend(self.told_keepers.1.iter().copied());
        all.remove(&self.me.addr);
        all
    }

    /// Follows the boards of the other keepers.
    fn follow(&mut self, now: Ms) {
        self.keepers.forget(now);
        let all: Vec<SocketAddr> = self.all_keepers().into_iter().collect();
        self.board.parents(now, all);
    }

    /// The view of the keepers, if it should be another one.
    fn repair(&mut self, now: Ms) {
        let Some(current) = self.agreement.current().cloned() else { return };
        let rank = current.acceptors.iter().position(|a| a.id == self.me.id && a.addr == self.me.addr);
        let (Some(rank), true) = (rank, self.in_touch(now)) else {
            self.wanted_since = None;
            self.touched_since = None;
            return;
        };
        // One that has just started, woken or come back has not heard yet who is there.
        if now < *self.touched_since.get_or_insert(now) + JUDGES_AFTER {
            return;
        }
        let order: Vec<SocketAddr> = current.view.members.iter().map(|m| m.addr).collect();
        let own = Seen {
            member: self.me.clone(),
            alive: true,
            status: Some(self.node.status()),
            zone: zone_number(&self.settings.zone),
            leaving: self.leaving,
            unwanted: false,
        };
        let seen = self.keepers.seen(now, self.me.addr, own, &order);
        let lengths = self.lengths();
        let by_id = |id: u64, addr: SocketAddr| {
            let same = self.keepers.id(addr) == Some(id);
            if same {
                self.keepers.silent(now, addr)
            } else {
                None
            }
        };
        let dead_for = |m: &Member| by_id(m.id, m.addr).unwrap_or(self.clock.elapsed().as_millis() as Ms);
        let next = view::next_keeper_view(&current, &seen, lengths.wanted, lengths.least, &dead_for);
        let Some(next) = next else {
            self.wanted_since = None;
            return;
        };
        let number = next.view.number;
        let since = match self.wanted_since {
            Some((n, since)) if n == number => since,
            _ => {
                self.wanted_since = Some((number, now));
                now
            }
        };
        if now >= since + PROPOSE_RANK * rank as Ms && now >= self.proposed + PROPOSE_EVERY {
            self.proposed = now;
            info!(self.log, "view proposed"; "view" => number, "chain" => addresses(&next.view.members));
            self.agreement.propose(now, next);
        }
    }

    /// The map of stores: the head's duty.
    fn plan(&mut self, now: Ms) {
        let leads = self.node.is_head() && self.in_touch(now) && self.can_commit();
        if !leads {
            if self.head_since.take().is_some() {
                self.stores.begin();
            }
            return;
        }
        let since = match self.head_since {
            Some(since) => since,
            None => {
                info!(self.log, "head of the chain"; "view" => self.node.view().map_or(0, |v| v.number));
                self.head_since = Some(now);
                // What was committed before it was the head is told by it now, whether anything follows or not.
                self.committed(now);
                now
            }
        };
        if let Some(next) = self.stores.plan(now, self.map.as_ref(), since, self.lengths()) {
            if self.order_map(now, &next) {
                info!(self.log, "map of stores ordered"; "map" => next.number, "stores" => next.stores.len());
            }
        }
    }

    /// Carries out what the machines ask for, until they ask for nothing more.
    fn work(&mut self, now: Ms) {
        for _ in 0..64 {
            let mut idle = true;
            for out in self.agreement.take() {
                idle = false;
                match out {
                    view::Out::Send { to, msg } => self.links.tell(to, VIEW, msg.encode()),
                    view::Out::Write { ticket, record } => self.write(Told::View(ticket), record),
                    view::Out::Chosen(next) => self.chosen(now, &next),
                    view::Out::Confirmed { token: of, ok } => self.confirmed(of, ok),
                }
            }
            for out in self.node.take() {
                idle = false;
                match out {
                    chain::Out::Send { to, msg } => self.links.tell(to, CHAIN, msg.encode()),
                    chain::Out::Write { ticket, write } => self.write(Told::Chain(ticket), write.encode()),
                    chain::Out::Committed { .. } => self.committed(now),
                    chain::Out::Reset => info!(self.log, "control state taken over"),
                }
            }
            for (to, msg) in self.board.take() {
                idle = false;
                self.links.tell(to, RELAY, msg.encode());
            }
            for key in self.board.changes() {
                idle = false;
                self.fact(now, &key);
            }
            if idle {
                break;
            }
        }
        self.spread(now);
        self.answer(now);
        for (to, msg) in self.board.take() {
            self.links.tell(to, RELAY, msg.encode());
        }
    }

    fn write(&mut self, told: Told, record: Bytes) {
        if let Err(e) = self.journal.write(told, record) {
            slog::crit!(self.log, "disk failed"; "why" => %e);
            self.failed = true;
        }
    }

    /// Settings that changed: only what may change while it runs.
    pub fn reload(&mut self, settings: Settings) {
        info!(self.log, "settings read again"; "peers" => settings.peers.len());
        self.settings.peers = settings.peers;
        self.settings.bounds = settings.bounds;
    }

    /// Whether the others go on without this one, so that it may end: it is neither head nor waited for.
    pub fn replaced(&self) -> bool {
        let inside =
            |v: &KeeperView| v.view.members.iter().any(|m| m.id == self.me.id && m.addr == self.me.addr);
        self.pending.is_empty() && !self.agreement.current().is_some_and(inside)
    }

    /// Whether the disk has failed: nothing may be said any more.
    pub fn failed(&self) -> bool {
        self.failed
    }

    /// So much is on disk.
    pub fn synced(&mut self, ticket: u64) {
        let now = self.now();
        for told in self.journal.synced(ticket) {
            match told {
                Told::View(ticket) => self.agreement.synced(now, ticket),
                Told::Chain(ticket) => self.node.synced(now, ticket),
            }
        }
        self.work(now);
        if let Err(e) = self.journal.compact(&self.agreement, &self.node) {
            slog::crit!(self.log, "disk failed"; "why" => %e);
            self.failed = true;
        }
    }

    fn chosen(&mut self, now: Ms, next: &KeeperView) {
        info!(self.log, "view in force"; "view" => next.view.number, "chain" => addresses(&next.view.members),
            "acceptors" => addresses(&next.acceptors), "joining" => addresses(&next.view.joining));
        self.head_since = None;
        self.stores.begin();
        self.node.enter(now, next.view.clone());
        self.spreading = None;
        self.beaten = 0;
    }

    fn confirmed(&mut self, of: u64, ok: bool) {
        for pending in &mut self.pending {
            if let Pending::Get { token, sure, since, .. } = pending {
                if *token == of {
                    *sure = ok;
                    // A no is answered at once, as what has waited too long is.
                    *since = if ok { *since } else { 0 };
                }
            }
        }
    }

    /// What is on all disks of the chain is told to all, by the head.
    fn committed(&mut self, now: Ms) {
        if self.node.committed() < self.node.received() && self.node.is_head() {
            // What is ordered and not yet kept stays untold; the table already holds it.
            return;
        }
        let (map_number, map) = (self.node.machine().map_number, self.node.machine().map.clone());
        if map_number > self.map.as_ref().map_or(0, |m| m.number) {
            match StoreMap::decode(&map) {
                Ok(read) => {
                    info!(self.log, "map of stores in force"; "map" => map_number);
                    self.map = Some(read);
                }
                Err(e) => warn!(self.log, "map of stores unreadable"; "why" => %e),
            }
        }
        if !self.node.is_head() {
            return;
        }
        if map_number > 0 {
            self.board.set(now, "stores", Stamp(map_number, 0), Some(map));
        }
        if let Some((change, body)) = &self.node.machine().config {
            let (stamp, body) = (Stamp(change.gen, 0), body.clone());
            if self.board.set(now, "config/next", stamp, Some(body)) {
                info!(self.log, "configuration kept"; "gen" => change.gen);
            }
            let active = self.board.get("config/active").is_some_and(|f| f.stamp >= stamp);
            if !active && self.spreading.is_none_or(|(gen, _)| gen != stamp.0) {
                self.spreading = Some((stamp.0, now));
            }
        }
        self.tell_keepers(now);
    }

    /// Puts a configuration in force once all in touch hold it.
    fn spread(&mut self, now: Ms) {
        let Some((gen, since)) = self.spreading else { return };
        let held = self.board.confirmed("config/next", Stamp(gen, 0));
        if held.confirmed >= held.subscribers && held.peers_whole >= held.peers
            || now >= since + SPREAD_WITHIN
        {
            self.spreading = None;
            self.board.set(now, "config/active", Stamp(gen, 0), Some(Bytes::new()));
            info!(self.log, "configuration in force"; "gen" => gen, "held" => held.confirmed, "of" => held.subscribers);
        }
    }

    /// The addresses of all keepers, head first, for those who follow them.
    fn tell_keepers(&mut self, now: Ms) {
        let Some(view) = self.node.view().cloned() else { return };
        let mut list: Vec<SocketAddr> = view.members.iter().map(|m| m.addr).collect();
        list.extend(
            self.keepers.hears(now).into_iter().filter(|a| !view.members.iter().any(|m| m.addr == *a)),
        );
        if self.told_keepers == (view.number, list.clone()) {
            return;
        }
        self.told_keepers = (view.number, list.clone());
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let value = encode_addresses(&list);
        self.board.set(now, "keepers", Stamp(view.number, unix), Some(value));
    }

    fn fact(&mut self, now: Ms, key: &str) {
        if key.starts_with("runner/") {
            if let Some(fact) = self.board.get(key) {
                self.registry.learned(now, fact);
            }
        } else if key == "keepers" && !self.node.is_head() {
            if let Some(value) = self.board.get(key).and_then(|f| f.value.as_ref()) {
                self.told_keepers.1 = decode_addresses(value);
            }
        }
    }

    /// Answers those for whom what they wait for has become true, or too late.
    fn answer(&mut self, now: Ms) {
        if self.pending.is_empty() {
            return;
        }
        let active = self.board.get("config/active").map_or(0, |f| f.stamp.0);
        let leads = self.node.is_head();
        let committed = self.node.committed();
        for pending in std::mem::take(&mut self.pending) {
            match pending {
                Pending::Put { gen, change, reply, since } => {
                    let taken = self.node.machine().took(change.base, &change.digest) == Some(gen);
                    if active >= gen && taken && leads {
                        let _ = reply.send(Answer::ok());
                    } else if !taken || !leads || now > since + WAITING_MOST {
                        let _ = reply.send(Answer::refused(
                            503,
                            1313,
                            "whether it was taken is open: send it again unchanged",
                        ));
                    } else {
                        self.pending.push(Pending::Put { gen, change, reply, since });
                    }
                }
                Pending::Get { token, sure, number, reply, since } => {
                    if sure && committed >= number.max(self.node.received()) && self.node.is_tail() {
                        let _ = reply.send(match &self.node.machine().config {
                            Some((_, body)) => Answer::body(body.clone()),
                            None => Answer::refused(404, 1314, "there is no configuration yet"),
                        });
                    } else if !self.node.is_tail() || now > since + STALE {
                        let _ = reply.send(Answer::refused(503, 1312, "out of touch with the other keepers"));
                    } else {
                        self.pending.push(Pending::Get { token, sure, number, reply, since });
                    }
                }
                Pending::Drain { key, stamp, reply, since } => {
                    let lone = self.agreement.current().is_none_or(|v| v.acceptors.len() < 2);
                    if lone || self.board.confirmed(&key, stamp).peers_confirmed > 0 {
                        let _ = reply.send(Answer::ok());
                    } else if now > since + DRAIN_WITHIN {
                        let _ = reply.send(Answer::refused(503, 1321, "no other keeper knows of it yet"));
                    } else {
                        self.pending.push(Pending::Drain { key, stamp, reply, since });
                    }
                }
                Pending::Retire { number, reply, since } => {
                    if self.map.as_ref().is_some_and(|m| m.number >= number) {
                        let _ = reply.send(Answer::ok());
                    } else if now > since + WAITING_MOST {
                        let _ = reply.send(Answer::refused(
                            503,
                            1313,
                            "whether it was taken is open: send it again",
                        ));
                    } else {
                        self.pending.push(Pending::Retire { number, reply, since });
                    }
                }
            }
        }
    }
}

fn addresses(members: &[Member]) -> String {
    members.iter().map(|m| m.addr.ip().to_string()).collect::<Vec<_>>().join(",")
}
