//! The table as its users see it: entries in, entries out, time passing.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use compact_str::CompactString;

use crate::anti_entropy::Schedule;
use crate::entry::{Stamp, StateEntry};
use crate::message::Message;
use crate::parent::{ParentLink, ReportedAge};
use crate::parent_selection::ParentChoice;
use crate::subscriber::{SharedBodies, Subscriber, TableStatus};
use crate::table::{Origin, Table};
use crate::{Ms, HEARTBEAT_MS, MAX_STALENESS_MS, SUBSCRIBER_TIMEOUT_MS};

/// Ticks further apart than this mean that the process stalled: nobody is blamed for the silence.
const STALL_MS: Ms = 400;

/// Which of its parents a table subscribes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Follow {
    /// One: the first fresh one of the list.
    First,
    /// All of the list: controllers among themselves.
    All,
}

/// What a table is in the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A controller: the state that comes from it is as fresh as its contact with a quorum.
    Root,
    /// Any other process: as fresh as what its parents send.
    Relay,
}

/// What was rejected since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rejected {
    /// Entries over a limit ([`crate::MAX_ENTRIES`], [`crate::MAX_TABLE_BYTES`],
    /// [`crate::MAX_KEY_BYTES`], [`crate::MAX_VALUE_BYTES`]).
    pub entries: u64,
    /// Messages whose entries couldn't be decoded.
    pub messages: u64,
}

/// One process's place in the tree: its entries, its parents, its subscribers.
#[derive(Debug)]
pub struct StateTable {
    pub(crate) incarnation: u64,
    pub(crate) id: u64,
    pub(crate) me: SocketAddr,
    pub(crate) follow: Follow,
    pub(crate) role: Role,
    pub(crate) table: Table,
    /// The newest time that the caller has passed.
    pub(crate) now: Ms,
    started_at: Option<Ms>,
    pub(crate) last_tick: Option<Ms>,
    /// Root only: when its contact with a quorum was reported, and how long ago that contact was
    /// then.
    quorum_contact: Option<ReportedAge>,
    pub(crate) next_heartbeat: Ms,
    pub(crate) subscribers: BTreeMap<SocketAddr, Subscriber>,
    /// The newest epoch of all subscriptions to this table.
    pub(crate) epochs: u32,
    /// How many full copies have begun to arrive.
    pub(crate) copies: u32,
    pub(crate) choice: ParentChoice,
    pub(crate) links: Vec<ParentLink>,
    pub(crate) anti_entropy: Schedule,
    pub(crate) queued: Vec<(SocketAddr, Message)>,
    pub(crate) closed: bool,
    pub(crate) malformed_messages: u64,
    pub(crate) ignored_messages: u64,
}

impl StateTable {
    /// An empty table. `incarnation` is another at every start and never 0; the staleness of a root
    /// is derived from [`StateTable::report_quorum_contact`].
    pub fn new(incarnation: u64, me: SocketAddr, follow: Follow, role: Role) -> Self {
        StateTable {
            incarnation: incarnation.max(1),
            id: incarnation,
            me,
            follow,
            role,
            table: Table::new(),
            now: 0,
            started_at: None,
            last_tick: None,
            quorum_contact: None,
            next_heartbeat: 0,
            subscribers: BTreeMap::new(),
            epochs: 0,
            copies: 0,
            choice: ParentChoice::new(),
            links: Vec::new(),
            anti_entropy: Schedule::default(),
            queued: Vec::new(),
            closed: false,
            malformed_messages: 0,
            ignored_messages: 0,
        }
    }

    /// Sets the identity that parents see; without it, it is the incarnation.
    pub fn with_id(mut self, id: u64) -> Self {
        self.id = id;
        self
    }

    /// Sets an entry; false if what is known supersedes it or a limit is reached.
    pub fn set(&mut self, now: Ms, key: &str, stamp: Stamp, value: Option<Bytes>) -> bool {
        self.advance_clock(now);
        self.table.merge(
            now,
            StateEntry {
                key: key.into(),
                stamp,
                value,
            },
            Origin::Own,
            0,
        )
    }

    /// The entry of a key; without a value it is a tombstone.
    pub fn get(&self, key: &str) -> Option<&StateEntry> {
        self.table.get(key).map(|known| &known.entry)
    }

    /// The entries whose keys have the prefix, in the order of the keys, without tombstones.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a StateEntry> {
        self.table.with_prefix(prefix)
    }

    /// The keys whose entries changed since the last call, own ones included.
    pub fn take_changed_keys(&mut self) -> Vec<CompactString> {
        self.table.take_changed_keys()
    }

    /// What was rejected since the start.
    pub fn rejected(&self) -> Rejected {
        Rejected {
            entries: self.table.rejected(),
            messages: self.malformed_messages,
        }
    }

    /// Updates that were ignored since the start: from no parent, or for an earlier incarnation of
    /// this table.
    pub fn ignored_messages(&self) -> u64 {
        self.ignored_messages
    }

    /// The parent that is followed; none with [`Follow::All`].
    pub fn parent(&self) -> Option<SocketAddr> {
        self.choice.current
    }

    /// Root only: its last contact with a quorum was `age` ms ago. A root that comes back into
    /// contact tells its subscribers at once.
    pub fn report_quorum_contact(&mut self, now: Ms, age: Ms) {
        self.advance_clock(now);
        let was_stale = self.staleness(now) > MAX_STALENESS_MS;
        self.quorum_contact = Some(ReportedAge { at: now, age });
        if was_stale && age <= MAX_STALENESS_MS {
            self.heartbeat_all(now);
        }
    }

    /// A bound in ms on the staleness of the table: every change that a root had so long ago is
    /// known here. `u64::MAX`: never in contact.
    pub fn staleness(&self, now: Ms) -> Ms {
        if self.role == Role::Root {
            return ReportedAge::now(self.quorum_contact, now);
        }
        self.links
            .iter()
            .map(|link| link.staleness(now))
            .min()
            .unwrap_or(Ms::MAX)
    }

    /// Whether everything is here that this parent had at some moment since then. A message of the
    /// parent is dated by the subscription that it echoes, not by its arrival.
    pub fn is_in_sync_with(&self, parent: SocketAddr, since: Ms) -> bool {
        let link = self.links.iter().find(|link| link.addr == parent);
        link.is_some_and(|link| {
            link.is_in_sync()
                && link
                    .root_contact
                    .is_some_and(|reported| reported.at >= since)
        })
    }

    /// Renews the subscription to all parents at once; they reply at once.
    pub fn poll_parents(&mut self) {
        self.links.iter_mut().for_each(ParentLink::poll);
    }

    /// Renews the subscription to one parent at once; it replies at once.
    pub fn poll_parent(&mut self, parent: SocketAddr) {
        self.links
            .iter_mut()
            .filter(|link| link.addr == parent)
            .for_each(ParentLink::poll);
    }

    /// How long ago word of a root came down to here, whether or not all that goes with it has
    /// arrived. Parents are judged by this: one that is still receiving something large isn't out
    /// of contact.
    fn root_contact_age(&self, now: Ms) -> Ms {
        if self.role == Role::Root {
            return self.staleness(now);
        }
        self.links
            .iter()
            .map(|link| link.root_contact_age(now))
            .min()
            .unwrap_or(Ms::MAX)
    }

    /// Unsubscribes from the parents and lets subscribers look for another parent at once; nothing
    /// is sent after what this queues.
    pub fn close(&mut self, now: Ms) {
        self.advance_clock(now);
        let followed = self
            .links
            .iter()
            .map(|link| link.addr)
            .filter(|addr| self.follows(*addr));
        for addr in followed.collect::<Vec<_>>() {
            self.queued.push((
                addr,
                Message::Unsubscribe {
                    incarnation: self.incarnation,
                },
            ));
        }
        let stale = TableStatus {
            staleness: Ms::MAX,
            root_contact_age: Ms::MAX,
            ..self.status(now)
        };
        for (addr, subscriber) in &mut self.subscribers {
            subscriber.heartbeat_due = true;
            let mut shared = SharedBodies::default();
            let message = subscriber.next_message(*addr, &stale, &self.table, &mut shared);
            self.queued.extend(message.map(|message| (*addr, message)));
        }
        self.closed = true;
    }

    /// Lets time pass; to be called every 50 to 100 ms.
    pub fn tick(&mut self, now: Ms) {
        self.advance_clock(now);
        let stalled = self
            .last_tick
            .is_some_and(|last| now.saturating_sub(last) > STALL_MS);
        self.last_tick = Some(now);
        self.table.expire(now);
        if stalled {
            // Messages of the others may lie unread: they are handled before anybody is removed or
            // left.
            self.choice.current_since = now;
            let recently = now.saturating_sub(SUBSCRIBER_TIMEOUT_MS / 2);
            for subscriber in self.subscribers.values_mut() {
                subscriber.last_received = subscriber.last_received.max(recently);
            }
        }
        self.subscribers
            .retain(|_, subscriber| !subscriber.is_timed_out(now));
        if self.follow == Follow::First {
            self.choose_parent(now);
        }
        self.tick_anti_entropy(now);
        if now >= self.next_heartbeat {
            self.heartbeat_all(now);
        }
    }

    /// Makes a heartbeat to each subscriber due.
    pub(crate) fn heartbeat_all(&mut self, now: Ms) {
        self.next_heartbeat = now + HEARTBEAT_MS;
        for subscriber in self.subscribers.values_mut() {
            subscriber.heartbeat_due = true;
        }
    }

    pub(crate) fn advance_clock(&mut self, now: Ms) {
        self.now = self.now.max(now);
        self.started_at.get_or_insert(now);
    }

    pub(crate) fn status(&self, now: Ms) -> TableStatus {
        TableStatus {
            now,
            started_at: self.started_at.unwrap_or(now),
            incarnation: self.incarnation,
            staleness: self.staleness(now),
            root_contact_age: self.root_contact_age(now),
        }
    }
}
