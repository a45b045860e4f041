//! The bootstrap of the tier: which controllers, by which identities, make up the first view. No
//! I/O and no clock.
//!
//! The controllers that the settings name are its initial members if they all start on empty disks.
//! Each draws its own identity, announces it once it is on disk, and takes part only when every
//! other one has announced itself too or, after [`ABSENT_MEMBER_TIMEOUT`], a majority of them. The
//! first view is then chosen by the agreement among the members' addresses, so there is one first
//! view however many propose. A member that has a view answers with it, and one that knows another
//! identity of the announcer reports it: a disk that was lost never bootstraps again.
//!
//! It doesn't protect against a member that loses its disk while, of the others, only one that has
//! missed the bootstrap entirely is reachable: that is more than any `FaultBudget` of a tier with
//! three initial members tolerates.

use binrw::binrw;
use bytes::Bytes;
use chain_replication::{DecodeError, Member, Millis, View};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use view_agreement::{Agreement, ControllerView, Message};

/// How often a member announces itself: a few times within the 0.3 s in which all start.
const ANNOUNCE_INTERVAL: Millis = 100;
/// The bootstrap goes on without a member that has sent nothing for so long after the start, if a
/// majority announced itself: all start together the first time, and a process that ended is back
/// sooner.
pub const ABSENT_MEMBER_TIMEOUT: Millis = 3_000;
/// Each next member in the order of addresses proposes so much later, so that usually one does.
const PROPOSAL_STAGGER: Millis = 300;

/// What initial members send each other.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BootstrapMessage {
    /// The sender's disk was empty.
    #[brw(magic = 1u8)]
    Announce {
        /// The identity of the sender's disk.
        identity: u64,
        /// The identity by which the sender knows the receiver, 0 if by none.
        known: u64,
    },
    /// A message of the agreement on the first view.
    #[brw(magic = 2u8)]
    Agreement {
        /// The message.
        message: Message,
    },
}

impl BootstrapMessage {
    /// The body of the frame.
    pub fn encode(&self) -> Bytes {
        chain_replication::to_bytes(self)
    }

    /// Decodes the body of a frame.
    ///
    /// # Errors
    /// It is no such message, or is followed by other bytes.
    pub fn decode(bytes: &[u8]) -> Result<BootstrapMessage, DecodeError> {
        chain_replication::from_bytes(bytes)
    }
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BootstrapEffect {
    /// Send a message to a member; it may be lost.
    Send {
        /// The member's peer address.
        to: SocketAddr,
        /// The message.
        message: BootstrapMessage,
    },
    /// Write and sync a record, in order; then call [`Bootstrap::synced`].
    Write {
        /// Rises by one a record.
        ticket: u64,
        /// The record.
        record: Bytes,
    },
    /// The first view was chosen.
    Completed(ControllerView),
}

/// One member's part of the bootstrap.
#[derive(Debug)]
pub struct Bootstrap {
    me: Member,
    members: Vec<SocketAddr>,
    /// On the first view, among the members by address: identity 0 stands for whoever has the
    /// address.
    agreement: Agreement,
    /// The identities by which the other members have announced themselves first.
    identities: BTreeMap<SocketAddr, u64>,
    /// 0 before the first tick.
    started_at: Millis,
    last_announced_at: Millis,
    /// Since when it takes part.
    participating_since: Option<Millis>,
    /// Another member knows this address by another identity: the disk was lost, and this is a
    /// newcomer.
    is_newcomer: bool,
    disk_writable: bool,
    effects: Vec<BootstrapEffect>,
}

/// The view before the first one, whose acceptors are the initial members by address.
fn view_zero(members: &[SocketAddr]) -> ControllerView {
    let by_address = |addr: &SocketAddr| Member {
        id: 0,
        addr: *addr,
        since: 0,
    };
    let acceptors: Vec<Member> = members.iter().map(by_address).collect();
    let view = View {
        number: 0,
        members: acceptors.clone(),
        joining: Vec::new(),
    };
    ControllerView { view, acceptors }
}

impl Bootstrap {
    /// A member whose disk holds no view, with what it holds of a bootstrap under way, all of it
    /// synced.
    pub fn new(
        me: Member,
        mut members: Vec<SocketAddr>,
        recovered: view_agreement::RecoveredAcceptor,
    ) -> Self {
        members.sort_unstable();
        members.dedup();
        let by_address = Member {
            id: 0,
            addr: me.addr,
            since: 0,
        };
        let mut agreement = Agreement::new(by_address, Some(view_zero(&members)), recovered);
        agreement.set_disk_writable(false);
        Bootstrap {
            me,
            members,
            agreement,
            identities: BTreeMap::new(),
            started_at: 0,
            last_announced_at: 0,
            participating_since: None,
            is_newcomer: false,
            disk_writable: false,
            effects: Vec::new(),
        }
    }

    /// Whether the disk takes what is written: until it does, nothing is announced.
    pub fn set_disk_writable(&mut self, writable: bool) {
        self.disk_writable = writable;
        self.agreement.set_disk_writable(writable);
    }

    /// A message of another member; those of others are ignored.
    pub fn handle_message(&mut self, now: Millis, from: SocketAddr, message: BootstrapMessage) {
        if !self.members.contains(&from) {
            return;
        }
        match message {
            BootstrapMessage::Announce { identity, known } => {
                // The first identity stands: one that comes with another has lost its disk since.
                self.identities.entry(from).or_insert(identity);
                self.is_newcomer |= known != 0 && known != self.me.id;
                self.participate_if_possible(now);
            }
            BootstrapMessage::Agreement { message } if self.participating_since.is_some() => {
                self.agreement.handle_message(now, from, message);
            }
            BootstrapMessage::Agreement { .. } => {}
        }
        self.collect_effects();
    }

    /// All records up to this ticket are on disk.
    pub fn synced(&mut self, now: Millis, ticket: u64) {
        self.agreement.handle_synced(now, ticket);
        self.collect_effects();
    }

    /// Time passes.
    pub fn tick(&mut self, now: Millis) {
        if self.started_at == 0 {
            self.started_at = now;
        }
        if self.disk_writable && now >= self.last_announced_at + ANNOUNCE_INTERVAL {
            self.last_announced_at = now;
            self.announce();
        }
        self.participate_if_possible(now);
        if let Some(since) = self.participating_since {
            self.agreement.tick(now);
            let rank = self.members.iter().position(|addr| *addr == self.me.addr);
            let due = since + rank.unwrap_or_default() as Millis * PROPOSAL_STAGGER;
            if now >= due && !self.agreement.is_proposing() {
                let first = self.first_view();
                self.agreement.propose(now, first);
            }
        }
        self.collect_effects();
    }

    /// What is to be done, in this order.
    pub fn take_effects(&mut self) -> Vec<BootstrapEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Records that hold all that counts, in place of all written before.
    pub fn snapshot_records(&self) -> Vec<Bytes> {
        self.agreement.snapshot_records()
    }

    /// Takes part from now on, if it may. The others learn at once by whom they are known.
    fn participate_if_possible(&mut self, now: Millis) {
        if self.participating_since.is_none() && self.may_participate(now) {
            self.participating_since = Some(now);
            self.announce();
        }
    }

    fn announce(&mut self) {
        for to in self.members.iter().filter(|addr| **addr != self.me.addr) {
            let known = self.identities.get(to).copied().unwrap_or_default();
            let message = BootstrapMessage::Announce {
                identity: self.me.id,
                known,
            };
            self.effects
                .push(BootstrapEffect::Send { to: *to, message });
        }
    }

    /// Whether all members are known to be as new as this one, or a majority of them after a while.
    fn may_participate(&self, now: Millis) -> bool {
        let known = self.identities.len() + 1;
        let waited = now >= self.started_at + ABSENT_MEMBER_TIMEOUT;
        let enough = known == self.members.len() || known * 2 > self.members.len() && waited;
        self.disk_writable && !self.is_newcomer && enough
    }

    /// The members that are known, by their identities.
    fn first_view(&self) -> ControllerView {
        let identity = |addr: &SocketAddr| {
            if *addr == self.me.addr {
                Some(self.me.id)
            } else {
                self.identities.get(addr).copied()
            }
        };
        let member = |addr: &SocketAddr| {
            Some(Member {
                id: identity(addr)?,
                addr: *addr,
                since: 1,
            })
        };
        let members: Vec<Member> = self.members.iter().filter_map(member).collect();
        let view = View {
            number: 1,
            members: members.clone(),
            joining: Vec::new(),
        };
        ControllerView {
            view,
            acceptors: members,
        }
    }

    /// Takes over what the agreement wants done.
    fn collect_effects(&mut self) {
        for effect in self.agreement.take_effects() {
            match effect {
                view_agreement::Effect::Send { to, message }
                    if self.participating_since.is_some() =>
                {
                    let message = BootstrapMessage::Agreement { message };
                    self.effects.push(BootstrapEffect::Send { to, message });
                }
                view_agreement::Effect::Send { .. }
                | view_agreement::Effect::ViewConfirmed { .. } => {}
                view_agreement::Effect::Write { ticket, record } => {
                    self.effects.push(BootstrapEffect::Write { ticket, record });
                }
                view_agreement::Effect::ViewChosen(view) if view.number() > 0 => {
                    self.effects.push(BootstrapEffect::Completed(view));
                }
                view_agreement::Effect::ViewChosen(_) => {}
            }
        }
    }
}
