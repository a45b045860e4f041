//! The founding of the tier: which controllers, by which identities, make up the first view. No I/O and no clock.
//!
//! The controllers that the settings name founded nothing yet if they all start on empty disks. Each draws its own
//! identity, announces it once it is on disk, and takes part only when every other founder has announced itself too,
//! or, after [`FOUNDING_WAIT`], a majority of them. The first view is then chosen by one round of the agreement among
//! the founders' addresses, so there is one founding however many propose. A founder that has a view answers with it,
//! and one that knows another identity of the announcer says so: a disk that was lost never founds again.
//!
//! It doesn't protect against a founder that loses its disk while, of the others, only one that has missed the whole
//! founding is reachable: that is more than any `FaultBudget` of a tier with three founders bears.

use binrw::binrw;
use bytes::Bytes;
use chain_replication::{DecodeError, Member, Millis, View};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use view_agreement::{Agreement, ControllerView, Message};

/// How often a founder announces itself: a few times within the 0.3 s in which all start.
const ANNOUNCE_EVERY: Millis = 100;
/// A founder that isn't heard for so long from the start is founded without, if a majority is heard: all are up at the
/// first start, and a process that ended is back sooner.
pub const FOUNDING_WAIT: Millis = 3_000;
/// Each next founder in the order of addresses proposes so much later, so that usually one does.
const PROPOSE_RANK: Millis = 300;

/// What founders send each other.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
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
    Agree {
        /// The message.
        msg: Message,
    },
}

impl Frame {
    /// As bytes for a frame.
    pub fn encode(&self) -> Bytes {
        chain_replication::to_bytes(self)
    }

    /// From a frame's bytes.
    ///
    /// # Errors
    /// They are no such frame.
    pub fn decode(bytes: &[u8]) -> Result<Frame, DecodeError> {
        chain_replication::from_bytes(bytes)
    }
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoundingOut {
    /// A frame for a founder; may be lost.
    Send {
        /// Its peer address.
        to: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// A record to write and sync, in order; then [`Founding::synced`].
    Write {
        /// Rises by one a record.
        ticket: u64,
        /// The record.
        record: Bytes,
    },
    /// The first view was chosen.
    Founded(ControllerView),
}

/// One founder's part.
#[derive(Debug)]
pub struct Founding {
    me: Member,
    founders: Vec<SocketAddr>,
    /// On the first view, among the founders by address: identity 0 stands for whoever has the address.
    agreement: Agreement,
    /// The identities by which the other founders have announced themselves first.
    identities: BTreeMap<SocketAddr, u64>,
    began: Millis,
    announced: Millis,
    /// Since when it takes part.
    since: Option<Millis>,
    /// Another founder knows this address by another identity: the disk was lost, and this is a newcomer.
    refused: bool,
    able: bool,
    out: Vec<FoundingOut>,
}

/// What precedes the first view: the founders decide on it.
fn before_the_first(founders: &[SocketAddr]) -> ControllerView {
    let acceptors: Vec<Member> = founders
        .iter()
        .map(|a| Member {
            id: 0,
            addr: *a,
            since: 0,
        })
        .collect();
    ControllerView {
        view: View {
            number: 0,
            members: acceptors.clone(),
            joining: Vec::new(),
        },
        acceptors,
    }
}

impl Founding {
    /// A founder whose disk holds no view, with what it holds of a founding under way; all of it synced.
    pub fn new(
        me: Member,
        mut founders: Vec<SocketAddr>,
        recovered: view_agreement::RecoveredAcceptor,
    ) -> Self {
        founders.sort_unstable();
        founders.dedup();
        let by_address = Member {
            id: 0,
            addr: me.addr,
            since: 0,
        };
        let mut agreement =
            Agreement::new(by_address, Some(before_the_first(&founders)), recovered);
        agreement.set_disk_writable(false);
        Founding {
            me,
            founders,
            agreement,
            identities: BTreeMap::new(),
            began: 0,
            announced: 0,
            since: None,
            refused: false,
            able: false,
            out: Vec::new(),
        }
    }

    /// Whether the disk takes what is written: until it does, nothing is announced.
    pub fn persists(&mut self, able: bool) {
        self.able = able;
        self.agreement.set_disk_writable(able);
    }

    /// A frame of another founder.
    pub fn message(&mut self, now: Millis, from: SocketAddr, frame: Frame) {
        if !self.founders.contains(&from) {
            return;
        }
        match frame {
            Frame::Announce { identity, known } => {
                // The first identity stands: one that comes with another has lost its disk since.
                self.identities.entry(from).or_insert(identity);
                self.refused |= known != 0 && known != self.me.id;
                self.begin(now);
            }
            Frame::Agree { msg } if self.since.is_some() => {
                self.agreement.handle_message(now, from, msg)
            }
            Frame::Agree { .. } => {}
        }
        self.collect();
    }

    /// All records up to this ticket are on disk.
    pub fn synced(&mut self, now: Millis, ticket: u64) {
        self.agreement.handle_synced(now, ticket);
        self.collect();
    }

    /// Time passes.
    pub fn tick(&mut self, now: Millis) {
        if self.began == 0 {
            self.began = now;
        }
        if self.able && now >= self.announced + ANNOUNCE_EVERY {
            self.announced = now;
            self.announce();
        }
        self.begin(now);
        if let Some(since) = self.since {
            self.agreement.tick(now);
            let rank = self
                .founders
                .iter()
                .position(|addr| *addr == self.me.addr)
                .unwrap_or_default();
            if now >= since + rank as Millis * PROPOSE_RANK && !self.agreement.is_proposing() {
                let first = self.first_view();
                self.agreement.propose(now, first);
            }
        }
        self.collect();
    }

    /// Takes part from now on, if it may. The others learn at once by whom they are known.
    fn begin(&mut self, now: Millis) {
        if self.since.is_none() && self.may_begin(now) {
            self.since = Some(now);
            self.announce();
        }
    }

    fn announce(&mut self) {
        for to in self.founders.iter().filter(|addr| **addr != self.me.addr) {
            let known = self.identities.get(to).copied().unwrap_or_default();
            let frame = Frame::Announce {
                identity: self.me.id,
                known,
            };
            self.out.push(FoundingOut::Send { to: *to, frame });
        }
    }

    /// Whether all founders are known to be as new as this one, or enough of them after a while.
    fn may_begin(&self, now: Millis) -> bool {
        let known = self.identities.len() + 1;
        let enough = known * 2 > self.founders.len() && now >= self.began + FOUNDING_WAIT;
        self.able && !self.refused && (known == self.founders.len() || enough)
    }

    /// The founders that are known, by their identities.
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
        let members: Vec<Member> = self.founders.iter().filter_map(member).collect();
        ControllerView {
            view: View {
                number: 1,
                members: members.clone(),
                joining: Vec::new(),
            },
            acceptors: members,
        }
    }

    /// What is to be done, in this order.
    pub fn take(&mut self) -> Vec<FoundingOut> {
        std::mem::take(&mut self.out)
    }

    /// Takes over what the agreement wants done.
    fn collect(&mut self) {
        for out in self.agreement.take_effects() {
            match out {
                view_agreement::Effect::Send { to, message: msg } if self.since.is_some() => {
                    self.out.push(FoundingOut::Send {
                        to,
                        frame: Frame::Agree { msg },
                    });
                }
                view_agreement::Effect::Send { .. }
                | view_agreement::Effect::ViewConfirmed { .. } => {}
                view_agreement::Effect::Write { ticket, record } => {
                    self.out.push(FoundingOut::Write { ticket, record })
                }
                view_agreement::Effect::ViewChosen(view) if view.number() > 0 => {
                    self.out.push(FoundingOut::Founded(view))
                }
                view_agreement::Effect::ViewChosen(_) => {}
            }
        }
    }

    /// Records that hold all that counts, for a file begun anew.
    pub fn whole(&self) -> Vec<Bytes> {
        self.agreement.snapshot_records()
    }
}
