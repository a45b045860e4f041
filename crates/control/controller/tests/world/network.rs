//! Frames between processes: connections keep the order; cuts hold or lose what is on its way.

use super::{Actor, Dice, Event, World};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A cut shorter than this holds frames back, a longer one breaks the connection.
const USER_TIMEOUT: u64 = 1_000;

pub struct Network {
    /// Rarely a frame takes up to so long.
    slow_most: u64,
    /// When the last frame of a pair arrives.
    last: BTreeMap<(SocketAddr, SocketAddr), u64>,
    /// A connection that broke has another number afterwards.
    connections: BTreeMap<(SocketAddr, SocketAddr), u64>,
    /// From when to when nothing gets from one to the other.
    cuts: BTreeMap<(SocketAddr, SocketAddr), (u64, u64)>,
    /// Added to the delay of all that one sends or gets, until then.
    slowed: BTreeMap<SocketAddr, (u64, u64)>,
}

impl Network {
    pub fn new(dice: &mut Dice) -> Network {
        Network {
            slow_most: dice.between(5, 60),
            last: BTreeMap::new(),
            connections: BTreeMap::new(),
            cuts: BTreeMap::new(),
            slowed: BTreeMap::new(),
        }
    }

    pub fn cut(&mut self, from: SocketAddr, to: SocketAddr, begins: u64, ends: u64) {
        let cut = self.cuts.entry((from, to)).or_insert((begins, ends));
        // One that lasts is made longer, never shorter.
        *cut = if cut.1 > begins {
            (cut.0.min(begins), cut.1.max(ends))
        } else {
            (begins, ends)
        };
    }

    pub fn slow(&mut self, addr: SocketAddr, until: u64, by: u64) {
        self.slowed.insert(addr, (until, by));
    }

    /// Breaks the connections of one: what is on its way is lost.
    pub fn reset(&mut self, addr: SocketAddr) {
        for (pair, number) in &mut self.connections {
            if pair.0 == addr || pair.1 == addr {
                *number += 1;
            }
        }
    }

    /// When a frame sent now arrives, on which connection; none if it is lost.
    fn send(
        &mut self,
        now: u64,
        from: SocketAddr,
        to: SocketAddr,
        dice: &mut Dice,
    ) -> Option<(u64, u64)> {
        let connection = *self.connections.entry((from, to)).or_default();
        let most = if dice.permille(30) { self.slow_most } else { 6 };
        let mut at = now + dice.between(1, most);
        for addr in [from, to] {
            if let Some((until, by)) = self.slowed.get(&addr) {
                at += if *until > now {
                    dice.between(by / 2, *by)
                } else {
                    0
                };
            }
        }
        if let Some((begins, ends)) = self.cuts.get(&(from, to)).copied() {
            if at >= begins && at < ends {
                if ends - begins >= USER_TIMEOUT {
                    return None;
                }
                at = ends + dice.between(1, 200);
            }
        }
        let last = self.last.entry((from, to)).or_default();
        *last = at.max(*last);
        Some((*last, connection))
    }
}

impl World {
    pub fn tell(&mut self, from: SocketAddr, to: SocketAddr, kind: u16, body: Bytes) {
        if self.actor(to).is_none() {
            return;
        }
        if let Some((at, connection)) = self.network.send(self.now, from, to, &mut self.dice) {
            self.after(
                at - self.now,
                Event::Frame {
                    from,
                    to,
                    kind,
                    body,
                    connection,
                },
            );
        }
    }

    pub fn arrived(
        &mut self,
        from: SocketAddr,
        to: SocketAddr,
        kind: u16,
        body: Bytes,
        connection: u64,
    ) {
        if self
            .network
            .connections
            .get(&(from, to))
            .is_some_and(|number| *number != connection)
        {
            return;
        }
        let Some(actor) = self.actor(to) else { return };
        let frozen = self.frozen(actor);
        if frozen > self.now {
            // It lies unread, in its order, and is read before time goes on.
            return self.after(
                frozen - self.now,
                Event::Frame {
                    from,
                    to,
                    kind,
                    body,
                    connection,
                },
            );
        }
        match actor {
            Actor::Controller(n) => self.controller_receives(n, from, kind, &body),
            Actor::Dispatcher(n) => self.dispatcher_receives(n, from, kind, &body),
            Actor::Store(n) => self.store_receives(n, from, kind, &body),
        }
    }
}
