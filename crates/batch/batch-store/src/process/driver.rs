//! What the tasks of the process share: the store, its journal, its connections, its place in the
//! relay tree. Does what the store wants done.

use crate::journal::Journal;
use crate::{Effect, Store};
use batch::wire::{Message as _, PlacementMap};
use bytes::Bytes;
use peer_transport::{Handler, Peer, Reply, Transport};
use relay_tree::StateTable;
use replicated_state::{decode_addresses, CONTROLLERS_KEY, RELAY};
use slog::{info, warn, Logger};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use structured_log::RateLimiter;
use tier_settings::{Reload, Settings};
use write_ahead_log::Lsn;

/// The entry of the control state with the placement map.
const PLACEMENT_KEY: &str = "stores";

/// Where controllers are.
#[derive(Default)]
pub(super) struct Controllers {
    /// As the settings name them.
    pub configured: Vec<SocketAddr>,
    /// As the controllers themselves do.
    pub published: Vec<SocketAddr>,
}

/// How many messages were ignored so far.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct IgnoredMessages {
    chains: u64,
    relay: u64,
}

/// All of the process that its tasks share.
pub(super) struct Driver {
    pub store: RefCell<Store<Reply>>,
    pub journal: RefCell<Option<Journal>>,
    pub state_table: RefCell<StateTable>,
    pub transport: Rc<Transport>,
    pub controllers: RefCell<Controllers>,
    pub rate_limiter: RefCell<RateLimiter>,
    /// As last logged.
    pub ignored: Cell<IgnoredMessages>,
    pub started: Instant,
    pub log: Logger,
}

impl Driver {
    /// Steady milliseconds, never 0.
    pub fn now(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis())
            .unwrap_or(u64::MAX)
            .saturating_add(1)
    }

    /// Does what the store wants done.
    pub fn apply_effects(&self) {
        let effects = self.store.borrow_mut().take_effects();
        let mut journal = self.journal.borrow_mut();
        if let Some(journal) = journal.as_mut() {
            journal.set_now(self.now());
        }
        for effect in effects {
            match (effect, journal.as_mut()) {
                (Effect::Send { to, kind, body }, _) => self.transport.send(to, kind, body),
                (
                    Effect::Write {
                        partition,
                        ticket,
                        record,
                    },
                    Some(journal),
                ) => journal.write(partition, ticket, &record),
                (Effect::Discard { partition }, Some(journal)) => journal.discard(partition),
                (Effect::Write { .. } | Effect::Discard { .. }, None) => {}
            }
        }
    }

    /// All up to this LSN of the log is on disk.
    pub fn handle_synced(&self, lsn: Lsn) {
        let now = self.now();
        let mut journal = self.journal.borrow_mut();
        let synced = journal.as_mut().map(|journal| {
            journal.set_now(now);
            journal.synced(lsn)
        });
        let mut store = self.store.borrow_mut();
        if let Some(journal) = journal.as_ref() {
            store.update_health(now, journal.status());
        }
        drop(journal);
        for synced in synced.unwrap_or_default() {
            store.handle_synced(now, synced.partition, synced.ticket);
        }
        store.finish_synced(now);
        drop(store);
        self.apply_effects();
    }

    /// Time passes.
    pub fn tick(&self) {
        let now = self.now();
        self.state_table.borrow_mut().tick(now);
        self.sync_state_table(now);
        {
            let mut store = self.store.borrow_mut();
            if let Some(journal) = self.journal.borrow_mut().as_mut() {
                journal.set_now(now);
                journal.tick(store.replicas());
                store.update_disk(now, journal.disk());
                store.update_health(now, journal.status());
            }
            store.tick(now);
        }
        self.log_ignored_messages(now);
        self.apply_effects();
    }

    /// Logs how many messages were ignored, if more were since the last time.
    fn log_ignored_messages(&self, now: u64) {
        let store = self.store.borrow();
        let chains = store
            .replicas()
            .map(|(_, replica)| replica.ignored_messages());
        let ignored = IgnoredMessages {
            chains: chains.sum(),
            relay: self.state_table.borrow().ignored_messages(),
        };
        if ignored == self.ignored.get() {
            return;
        }
        let mut rate_limiter = self.rate_limiter.borrow_mut();
        if rate_limiter.check(now, "ignored messages").is_some() {
            self.ignored.set(ignored);
            info!(self.log, "stale messages ignored"; "code" => 2213,
                "chains" => ignored.chains, "relay" => ignored.relay);
        }
    }

    /// Applies what the state table has received, and sends what it wants sent.
    pub fn sync_state_table(&self, now: u64) {
        let mut state_table = self.state_table.borrow_mut();
        for key in state_table.take_changed_keys() {
            let Some(value) = state_table
                .get(&key)
                .and_then(|state_entry| state_entry.value.clone())
            else {
                continue;
            };
            match key.as_str() {
                PLACEMENT_KEY => match PlacementMap::decode(&value) {
                    Ok(map) => self.store.borrow_mut().apply_map(now, map),
                    Err(why) => {
                        warn!(self.log, "placement map unreadable"; "code" => 2204, "why" => %why);
                    }
                },
                CONTROLLERS_KEY => {
                    self.controllers.borrow_mut().published =
                        decode_addresses(&value).unwrap_or_default();
                    state_table.set_parents(now, self.update_controllers());
                }
                _ => {}
            }
        }
        for (to, message) in state_table.take_messages() {
            self.transport.send(to, RELAY, message.encode());
        }
    }

    /// The settings file was read again: `Peers` are applied, all else that changed at the next
    /// start.
    pub fn apply_settings(&self, reread: Reload, settings: &mut Settings) {
        let Reload {
            settings: new,
            mut restart_required,
            ..
        } = reread;
        if new.bounds != settings.bounds {
            restart_required.push("Bounds");
        }
        if !restart_required.is_empty() {
            warn!(self.log, "settings take effect at the next start"; "code" => 2211,
                "keys" => restart_required.join(","));
        }
        settings.peers = new.peers;
        self.controllers.borrow_mut().configured = settings.controller_peers();
        let (now, parents) = (self.now(), self.update_controllers());
        self.state_table.borrow_mut().set_parents(now, parents);
    }

    /// Passes the controllers on to the store; returns whom the state table may follow.
    pub fn update_controllers(&self) -> Vec<SocketAddr> {
        let Controllers {
            configured,
            published,
        } = &*self.controllers.borrow();
        let receivers = union(published, configured);
        self.store.borrow_mut().set_controllers(receivers);
        union(configured, published)
    }

    fn log_rejected_frame(&self, from: &Peer, kind: u16, why: &dyn std::fmt::Display) {
        let mut rate_limiter = self.rate_limiter.borrow_mut();
        if let Some(left_out) = rate_limiter.check(self.now(), "rejected frame") {
            warn!(self.log, "frame rejected"; "code" => 2205, "from" => %from.addr,
                "kind" => kind, "why" => %why, "left_out" => left_out);
        }
    }
}

/// All of the first, and those of the second that are not among them.
fn union(first: &[SocketAddr], second: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut union = first.to_vec();
    union.extend(second.iter().filter(|addr| !first.contains(addr)));
    union
}

impl Handler for Driver {
    fn handle_message(&self, from: &Rc<Peer>, kind: u16, body: Bytes) {
        let now = self.now();
        if kind == RELAY {
            match relay_tree::Message::decode(&body) {
                Ok(message) => {
                    self.state_table
                        .borrow_mut()
                        .handle_message(now, from.addr, message);
                    self.sync_state_table(now);
                }
                Err(why) => self.log_rejected_frame(from, kind, &why),
            }
        } else {
            let handled = self
                .store
                .borrow_mut()
                .handle_message(now, from.addr, kind, &body);
            if let Err(why) = handled {
                self.log_rejected_frame(from, kind, &why);
            }
        }
        self.apply_effects();
    }

    fn handle_call(&self, from: &Rc<Peer>, kind: u16, body: Bytes, reply: Reply) {
        let now = self.now();
        let handled = self
            .store
            .borrow_mut()
            .handle_request(now, kind, &body, reply);
        if let Err(why) = handled {
            self.log_rejected_frame(from, kind, &why);
        }
        self.apply_effects();
    }
}
