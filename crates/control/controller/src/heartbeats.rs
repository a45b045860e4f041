//! What controllers tell each other five times a second, and who of them counts as alive.

use binrw::{binrw, BinRead, BinWrite};
use bytes::Bytes;
use chain_replication::{Millis, Observation, ReplicaStatus};
use replicated_state::Address;
use std::collections::BTreeMap;
use std::io::Cursor;
use std::net::SocketAddr;

/// How often a controller says that it is there. Four fit into [`SILENT`], so that one late by a slow turn condemns nobody.
pub const EVERY: Millis = 200;
/// A controller silent for so long is out of touch. Shorter than the second after which callers of `ctl` go elsewhere.
pub const SILENT: Millis = 900;
/// One that has come into touch says whom it hears, and the others say that they hear it, within so long: a heartbeat of each
/// and its way. Before that, it is judged by what is heard of it alone.
const SETTLED: Millis = 3 * EVERY;
/// Controllers known at most: those of 26 zones several times over.
const MOST: usize = 256;
/// Those silent for so long are forgotten, unless the view names them.
const FORGOTTEN: Millis = 60_000;

/// Flag of a heartbeat: it has had SIGTERM.
pub const LEAVING: u8 = 1;
/// Flag of a heartbeat: its disk takes nothing, so that it can be no member and give no vote.
pub const UNABLE_TO_PERSIST: u8 = 2;

/// Flag of a heartbeat: it has no disk at all, and may be neither a member of the chain nor an acceptor.
pub const NO_DISK: u8 = 4;

/// One heartbeat.
#[binrw]
#[brw(little)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControllerHeartbeat {
    /// Who it is.
    pub id: u64,
    /// Drawn at each start.
    pub incarnation: u64,
    /// Its place, as a number that is the same for all of the zone.
    pub zone: u64,
    /// Where its copy of the control state stands.
    pub status: StatusFrame,
    /// [`LEAVING`], [`UNABLE_TO_PERSIST`] and [`NO_DISK`], added up.
    pub flags: u8,
    #[br(temp)]
    #[bw(calc = hears.len() as u16)]
    count: u16,
    /// Whom it hears.
    #[br(count = count)]
    pub hears: Vec<Address>,
}

/// [`Status`] in a frame.
#[binrw]
#[brw(little)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusFrame {
    view: u64,
    in_sync_view: u64,
    received: u64,
    caught_up: u8,
}

impl StatusFrame {
    /// From the chain's own.
    pub fn new(status: &ReplicaStatus) -> Self {
        let ReplicaStatus {
            view,
            in_sync_view,
            last_received: received,
            caught_up,
            ..
        } = *status;
        StatusFrame {
            view,
            in_sync_view,
            received,
            caught_up: u8::from(caught_up),
        }
    }

    fn status(&self, id: u64) -> ReplicaStatus {
        let StatusFrame {
            view,
            in_sync_view,
            received,
            caught_up,
        } = *self;
        ReplicaStatus {
            id,
            view,
            in_sync_view,
            last_received: received,
            caught_up: caught_up == 1,
        }
    }
}

impl ControllerHeartbeat {
    /// As bytes.
    pub fn encode(&self) -> Bytes {
        let mut out = Cursor::new(Vec::new());
        // A vector takes whatever is written to it.
        let _ = self.write(&mut out);
        out.into_inner().into()
    }

    /// From bytes; none if they are no heartbeat, or more than one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let mut input = Cursor::new(bytes);
        let heartbeat = ControllerHeartbeat::read(&mut input).ok()?;
        (input.position() == bytes.len() as u64).then_some(heartbeat)
    }
}

/// What is known of another controller.
#[derive(Debug, Clone)]
struct Other {
    heard: Millis,
    /// Since when it has been heard without a gap.
    since: Millis,
    /// When it and this controller last heard each other.
    touched: Millis,
    /// Since when it has said that it can't persist.
    unable_since: Option<Millis>,
    heartbeat: ControllerHeartbeat,
}

/// The controllers as one of them hears them.
#[derive(Debug, Default)]
pub struct Controllers {
    others: BTreeMap<SocketAddr, Other>,
}

impl Controllers {
    /// A heartbeat has come. Tells whether it is the first one of that incarnation.
    pub fn heard(&mut self, now: Millis, from: SocketAddr, heartbeat: ControllerHeartbeat) -> bool {
        let before = self.others.get(&from);
        let known = before.is_some_and(|o| o.heartbeat.incarnation == heartbeat.incarnation);
        let stayed = before
            .filter(|o| known && now.saturating_sub(o.heard) < SILENT)
            .map(|o| o.since);
        let unable = heartbeat.flags & UNABLE_TO_PERSIST != 0;
        let unable_since = unable.then(|| before.and_then(|o| o.unable_since).unwrap_or(now));
        let touched = before.filter(|_| known).map_or(now, |o| o.touched);
        if known || self.others.len() < MOST {
            let since = stayed.unwrap_or(now);
            self.others.insert(
                from,
                Other {
                    heard: now,
                    since,
                    touched,
                    unable_since,
                    heartbeat,
                },
            );
        }
        !known
    }

    /// This process stood still itself: what it did not hear meanwhile says nothing.
    pub fn woke(&mut self, now: Millis) {
        for other in self.others.values_mut() {
            (other.heard, other.touched) = (now, now);
        }
    }

    /// Notes with whom this controller (`me`) is in touch both ways; to be called with each tick.
    pub fn note_touch(&mut self, now: Millis, me: SocketAddr) {
        let me = Address::from(me);
        for other in self.others.values_mut() {
            if now.saturating_sub(other.heard) < SILENT && other.heartbeat.hears.contains(&me) {
                other.touched = now;
            }
        }
    }

    /// For how long this one and this controller have not heard each other: one that is heard and hears nothing can decide
    /// on no view. None if it was never heard.
    pub fn out_of_touch_for(&self, now: Millis, addr: SocketAddr) -> Option<Millis> {
        self.others
            .get(&addr)
            .map(|o| now.saturating_sub(o.touched))
    }

    /// Forgets who has been silent for long.
    pub fn forget(&mut self, now: Millis) {
        self.others
            .retain(|_, o| now.saturating_sub(o.heard) < FORGOTTEN);
    }

    /// All that were heard lately or not so lately.
    pub fn known(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.others.keys().copied()
    }

    /// Those in touch.
    pub fn hears(&self, now: Millis) -> Vec<SocketAddr> {
        let fresh = |o: &Other| now.saturating_sub(o.heard) < SILENT;
        self.others
            .iter()
            .filter(|(_, o)| fresh(o))
            .map(|(a, _)| *a)
            .collect()
    }

    /// How long this one has been silent; none if it was never heard.
    pub fn silent(&self, now: Millis, addr: SocketAddr) -> Option<Millis> {
        self.others.get(&addr).map(|o| now.saturating_sub(o.heard))
    }

    /// The identity at this address.
    pub fn id(&self, addr: SocketAddr) -> Option<u64> {
        self.others.get(&addr).map(|o| o.heartbeat.id)
    }

    /// For how long this one has said that it can't persist; none if it can, or was never heard.
    pub fn unable_for(&self, now: Millis, addr: SocketAddr) -> Option<Millis> {
        let since = self.others.get(&addr)?.unable_since?;
        Some(now.saturating_sub(since))
    }

    /// Lives of the controllers that are there, by which owners of runners are known: those heard here, and those that one
    /// heard here hears. Where only the link to one is cut, what hangs on that one is not gone.
    pub fn incarnations(&self, now: Millis) -> Vec<u64> {
        let fresh = |o: &&Other| now.saturating_sub(o.heard) < SILENT;
        let heard_by_another = |addr: &SocketAddr| {
            let addr = Address::from(*addr);
            self.others
                .values()
                .filter(fresh)
                .any(|o| o.heartbeat.hears.contains(&addr))
        };
        let there = self
            .others
            .iter()
            .filter(|(addr, o)| fresh(o) || heard_by_another(addr));
        there.map(|(_, o)| o.heartbeat.incarnation).collect()
    }

    /// Whether `listener` hears `speaker`, as far as this controller (`me`) knows.
    fn is_heard_by(
        &self,
        now: Millis,
        me: SocketAddr,
        listener: SocketAddr,
        speaker: SocketAddr,
    ) -> bool {
        if listener == me {
            return self.silent(now, speaker).is_some_and(|s| s < SILENT);
        }
        let speaker = Address::from(speaker);
        self.others
            .get(&listener)
            .is_some_and(|o| o.heartbeat.hears.contains(&speaker))
    }

    /// Whether this controller and another one hear each other.
    pub fn in_touch_with(&self, now: Millis, me: SocketAddr, other: SocketAddr) -> bool {
        self.is_heard_by(now, me, me, other) && self.is_heard_by(now, me, other, me)
    }

    /// Those of `listeners` that this controller (`me`) hears and that are in touch with `speaker`. What `speaker` says of
    /// whom it hears counts where it is heard here; where it isn't, only what the listeners say is known.
    pub fn in_touch_among(
        &self,
        now: Millis,
        me: SocketAddr,
        speaker: SocketAddr,
        listeners: &[SocketAddr],
    ) -> usize {
        let speaker_is_heard = self.is_heard_by(now, me, me, speaker);
        let is_in_touch = |listener: SocketAddr| {
            listener != me
                && self.is_heard_by(now, me, me, listener)
                && self.is_heard_by(now, me, listener, speaker)
                && (!speaker_is_heard || self.is_heard_by(now, me, speaker, listener))
        };
        listeners
            .iter()
            .filter(|listener| is_in_touch(**listener))
            .count()
    }

    /// The controllers for the rule of the next view, this one among them. Alive are, in the order given, those that are in
    /// touch with all alive ones before them, both ways: a chain needs its neighbours to hear each other.
    pub fn seen(
        &self,
        now: Millis,
        me: SocketAddr,
        own: Observation,
        order: &[SocketAddr],
    ) -> Vec<Observation> {
        let mut addrs: Vec<SocketAddr> = order.to_vec();
        // Those without a disk come last: nobody is out for not hearing them.
        let mut rest: Vec<(&SocketAddr, &Other)> = self
            .others
            .iter()
            .filter(|(addr, _)| !order.contains(addr))
            .collect();
        rest.sort_by_key(|(_, other)| other.heartbeat.flags & NO_DISK != 0);
        addrs.extend(rest.into_iter().map(|(addr, _)| *addr));
        if !addrs.contains(&me) {
            addrs.push(me);
        }
        addrs.dedup();
        let hears = |from: SocketAddr, to: SocketAddr| self.is_heard_by(now, me, from, to);
        let settled = |addr: SocketAddr| {
            addr == me
                || self
                    .others
                    .get(&addr)
                    .is_some_and(|o| now.saturating_sub(o.since) >= SETTLED)
        };
        let mut alive: Vec<SocketAddr> = Vec::new();
        let mut seen = Vec::new();
        // The one that looks is in touch with itself; who is not in touch with it both ways can't be judged by it.
        for addr in addrs {
            let touches = |b: SocketAddr| {
                if settled(addr) && settled(b) {
                    hears(addr, b) && hears(b, addr)
                } else {
                    // What they say of each other may be from before one of them came back.
                    b != me || hears(me, addr)
                }
            };
            let up = addr == me
                || (touches(me) && alive.iter().filter(|a| **a != me).all(|a| touches(*a)));
            if up {
                alive.push(addr);
            }
            if addr == me {
                seen.push(Observation {
                    alive: true,
                    ..own.clone()
                });
            } else if let Some(other) = self.others.get(&addr) {
                let heartbeat = &other.heartbeat;
                let member = chain_replication::Member {
                    id: heartbeat.id,
                    addr,
                    since: 0,
                };
                let status = Some(heartbeat.status.status(heartbeat.id));
                let (zone, leaving) = (heartbeat.zone, heartbeat.flags & LEAVING != 0);
                let unwanted = heartbeat.flags & NO_DISK != 0;
                seen.push(Observation {
                    member,
                    alive: up,
                    status,
                    zone,
                    draining: leaving,
                    retiring: unwanted,
                });
            }
        }
        seen
    }
}

/// A zone's name as a number that is the same everywhere.
pub fn zone_number(zone: &str) -> u64 {
    zone.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}
