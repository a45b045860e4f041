//! The other controllers, by their heartbeats: who is there, and who receives whom.
//!
//! Two controllers are in *mutual contact* while each receives the other's heartbeats. A link may
//! fail in one direction alone, so each heartbeat names those that its sender receives.

use crate::heartbeat::{ControllerHeartbeat, LEAVING, NO_DISK, UNABLE_TO_PERSIST};
use chain_replication::{Member, Millis, Observation, ReplicaStatus};
use replicated_state::Address;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How often a controller sends a heartbeat. Four fit into [`FAILURE_TIMEOUT`], so that one that
/// is late causes no failure.
pub const HEARTBEAT_INTERVAL: Millis = 200;
/// A controller silent for so long counts as failed. Shorter than the second after which callers of
/// `ctl` go elsewhere.
pub const FAILURE_TIMEOUT: Millis = 900;
/// So long after the first heartbeat of a peer, its own heartbeats and those of the others reflect
/// the contact with it: a heartbeat of each, and its delay. Before that, only what arrives here
/// counts.
const CONTACT_GRACE: Millis = 3 * HEARTBEAT_INTERVAL;
/// Most controllers that are tracked: those of 26 zones several times over.
const MAX_PEERS: usize = 256;
/// Those silent for so long are forgotten, unless the view names them.
const FORGET_AFTER: Millis = 60_000;

/// What is known of another controller.
#[derive(Debug, Clone)]
struct Peer {
    last_received_at: Millis,
    /// Since when its heartbeats have come without a gap.
    received_since: Millis,
    /// When it and this controller were last in mutual contact.
    last_contact_at: Millis,
    /// Since when its heartbeats report that it can't persist.
    unable_since: Option<Millis>,
    heartbeat: ControllerHeartbeat,
}

impl Peer {
    fn silent_for(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_received_at)
    }

    fn is_received(&self, now: Millis) -> bool {
        self.silent_for(now) < FAILURE_TIMEOUT
    }

    fn receives(&self, addr: SocketAddr) -> bool {
        self.heartbeat.receives_from.contains(&Address::from(addr))
    }

    fn observation(&self, addr: SocketAddr, alive: bool) -> Observation {
        let heartbeat = &self.heartbeat;
        Observation {
            member: Member {
                id: heartbeat.id,
                addr,
                since: 0,
            },
            alive,
            status: Some(heartbeat.chain_status()),
            zone: heartbeat.zone,
            draining: heartbeat.has(LEAVING),
            retiring: heartbeat.has(NO_DISK),
        }
    }
}

/// The other controllers, as this one knows them. Times are this process's steady milliseconds.
#[derive(Debug, Default)]
pub struct PeerControllers {
    peers: BTreeMap<SocketAddr, Peer>,
}

impl PeerControllers {
    /// A heartbeat has come. Tells whether it is the first one of that incarnation.
    pub fn record_heartbeat(
        &mut self,
        now: Millis,
        from: SocketAddr,
        heartbeat: ControllerHeartbeat,
    ) -> bool {
        let before = self.peers.get(&from);
        let known = before.is_some_and(|p| p.heartbeat.incarnation == heartbeat.incarnation);
        let stayed = before
            .filter(|p| known && p.is_received(now))
            .map(|p| p.received_since);
        let unable_since = heartbeat
            .has(UNABLE_TO_PERSIST)
            .then(|| before.and_then(|p| p.unable_since).unwrap_or(now));
        let last_contact_at = before.filter(|_| known).map_or(now, |p| p.last_contact_at);
        if known || self.peers.len() < MAX_PEERS {
            let peer = Peer {
                last_received_at: now,
                received_since: stayed.unwrap_or(now),
                last_contact_at,
                unable_since,
                heartbeat,
            };
            self.peers.insert(from, peer);
        }
        !known
    }

    /// This process stalled itself, so the missing heartbeats are no evidence of a failure.
    pub fn reset_after_stall(&mut self, now: Millis) {
        for peer in self.peers.values_mut() {
            (peer.last_received_at, peer.last_contact_at) = (now, now);
        }
    }

    /// Notes with whom this controller (`me`) is in mutual contact; to be called with each tick.
    pub fn note_mutual_contact(&mut self, now: Millis, me: SocketAddr) {
        for peer in self.peers.values_mut() {
            if peer.is_received(now) && peer.receives(me) {
                peer.last_contact_at = now;
            }
        }
    }

    /// For how long this one and this controller have not been in mutual contact: one that is
    /// received and receives nothing can decide on no view. None if no heartbeat of it ever came.
    pub fn out_of_contact_for(&self, now: Millis, addr: SocketAddr) -> Option<Millis> {
        self.peers
            .get(&addr)
            .map(|p| now.saturating_sub(p.last_contact_at))
    }

    /// Forgets those that have been silent for a minute.
    pub fn forget_silent(&mut self, now: Millis) {
        self.peers.retain(|_, p| p.silent_for(now) < FORGET_AFTER);
    }

    /// All that are tracked.
    pub fn known(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.peers.keys().copied()
    }

    /// Those whose heartbeats come here.
    pub fn received(&self, now: Millis) -> Vec<SocketAddr> {
        self.peers
            .iter()
            .filter(|(_, p)| p.is_received(now))
            .map(|(addr, _)| *addr)
            .collect()
    }

    /// Those whose heartbeats come here and who have a disk.
    pub fn with_disk(&self, now: Millis) -> Vec<SocketAddr> {
        let has_disk = |(_, peer): &(&SocketAddr, &Peer)| {
            peer.is_received(now) && !peer.heartbeat.has(NO_DISK)
        };
        self.peers
            .iter()
            .filter(has_disk)
            .map(|(addr, _)| *addr)
            .collect()
    }

    /// Whether this one has said that it is about to stop.
    pub fn is_leaving(&self, addr: SocketAddr) -> bool {
        self.peers
            .get(&addr)
            .is_some_and(|peer| peer.heartbeat.has(LEAVING))
    }

    /// How long this one has been silent; none if no heartbeat of it ever came.
    pub fn silent_for(&self, now: Millis, addr: SocketAddr) -> Option<Millis> {
        self.peers.get(&addr).map(|p| p.silent_for(now))
    }

    /// The identity at this address.
    pub fn identity(&self, addr: SocketAddr) -> Option<u64> {
        self.peers.get(&addr).map(|p| p.heartbeat.id)
    }

    /// The incarnation at this address.
    pub fn incarnation(&self, addr: SocketAddr) -> Option<u64> {
        self.peers.get(&addr).map(|p| p.heartbeat.incarnation)
    }

    /// What its last heartbeat reports of its replica; none if no heartbeat of it ever came.
    pub fn replica_status(&self, addr: SocketAddr) -> Option<ReplicaStatus> {
        self.peers.get(&addr).map(|p| p.heartbeat.chain_status())
    }

    /// For how long its heartbeats have reported that it can't persist; none if it can, or no
    /// heartbeat of it ever came.
    pub fn unable_to_persist_for(&self, now: Millis, addr: SocketAddr) -> Option<Millis> {
        let since = self.peers.get(&addr)?.unable_since?;
        Some(now.saturating_sub(since))
    }

    /// Incarnations of the controllers that are there, by which owners of runners and dispatchers
    /// are known: those received here, and those that one received here receives. Where only the
    /// link to one is cut, what it owns is not gone.
    pub fn live_incarnations(&self, now: Millis) -> Vec<u64> {
        let received_by_another = |addr: &SocketAddr| {
            self.peers
                .values()
                .filter(|p| p.is_received(now))
                .any(|p| p.receives(*addr))
        };
        let is_there =
            |addr: &SocketAddr, p: &Peer| p.is_received(now) || received_by_another(addr);
        let there = self.peers.iter().filter(|(addr, p)| is_there(addr, p));
        there.map(|(_, p)| p.heartbeat.incarnation).collect()
    }

    /// Whether `receiver` receives heartbeats of `sender`, as far as this controller (`me`) knows.
    fn is_received_by(
        &self,
        now: Millis,
        me: SocketAddr,
        receiver: SocketAddr,
        sender: SocketAddr,
    ) -> bool {
        if receiver == me {
            return self
                .silent_for(now, sender)
                .is_some_and(|s| s < FAILURE_TIMEOUT);
        }
        self.peers
            .get(&receiver)
            .is_some_and(|p| p.receives(sender))
    }

    /// Whether this controller (`me`) and another one are in mutual contact.
    pub fn in_mutual_contact(&self, now: Millis, me: SocketAddr, other: SocketAddr) -> bool {
        self.is_received_by(now, me, me, other) && self.is_received_by(now, me, other, me)
    }

    /// How many of `others` this controller (`me`) receives and are in mutual contact with `peer`.
    /// The list in the heartbeats of `peer` counts where they come here; where they don't, only the
    /// lists of the others are known.
    pub fn count_in_contact_with(
        &self,
        now: Millis,
        me: SocketAddr,
        peer: SocketAddr,
        others: &[SocketAddr],
    ) -> usize {
        let peer_is_received = self.is_received_by(now, me, me, peer);
        let is_in_contact = |other: SocketAddr| {
            other != me
                && self.is_received_by(now, me, me, other)
                && self.is_received_by(now, me, other, peer)
                && (!peer_is_received || self.is_received_by(now, me, peer, other))
        };
        others.iter().filter(|other| is_in_contact(**other)).count()
    }

    /// The controllers for the rule of the next view, this one (`me`, described by `own`) among
    /// them. Alive are, in the order given, those in mutual contact with all alive ones before
    /// them: a chain needs its neighbours to receive each other.
    pub fn observations(
        &self,
        now: Millis,
        me: SocketAddr,
        own: Observation,
        order: &[SocketAddr],
    ) -> Vec<Observation> {
        let mut own = Some(Observation { alive: true, ..own });
        let mut alive: Vec<SocketAddr> = Vec::new();
        let mut observations = Vec::new();
        for addr in self.in_order(me, order) {
            // This controller can't examine a peer that it is not in mutual contact with.
            let is_alive = addr == me
                || self.may_be_neighbours(now, me, addr, me)
                    && alive
                        .iter()
                        .all(|other| *other == me || self.may_be_neighbours(now, me, addr, *other));
            if is_alive {
                alive.push(addr);
            }
            if addr == me {
                observations.extend(own.take());
            } else if let Some(peer) = self.peers.get(&addr) {
                observations.push(peer.observation(addr, is_alive));
            }
        }
        observations
    }

    /// The order in which controllers are examined: as given, then the others, those without a disk
    /// last, so that none is dropped for lack of contact with them.
    fn in_order(&self, me: SocketAddr, order: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut addrs: Vec<SocketAddr> = order.to_vec();
        let mut rest: Vec<(&SocketAddr, &Peer)> = self
            .peers
            .iter()
            .filter(|(addr, _)| !order.contains(addr))
            .collect();
        rest.sort_by_key(|(_, peer)| peer.heartbeat.has(NO_DISK));
        addrs.extend(rest.into_iter().map(|(addr, _)| *addr));
        if !addrs.contains(&me) {
            addrs.push(me);
        }
        addrs.dedup();
        addrs
    }

    /// Whether `addr` and `other` count as in mutual contact. While one of them has just come into
    /// contact, their lists may be older than that, and only what this controller receives itself
    /// counts.
    fn may_be_neighbours(
        &self,
        now: Millis,
        me: SocketAddr,
        addr: SocketAddr,
        other: SocketAddr,
    ) -> bool {
        if self.contact_has_settled(now, me, addr) && self.contact_has_settled(now, me, other) {
            self.is_received_by(now, me, addr, other) && self.is_received_by(now, me, other, addr)
        } else {
            other != me || self.is_received_by(now, me, me, addr)
        }
    }

    fn contact_has_settled(&self, now: Millis, me: SocketAddr, addr: SocketAddr) -> bool {
        let settled = |p: &Peer| now.saturating_sub(p.received_since) >= CONTACT_GRACE;
        addr == me || self.peers.get(&addr).is_some_and(settled)
    }
}
