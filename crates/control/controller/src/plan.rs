//! The map of stores, a singleton duty of the head of the controllers: which stores form the chain of each partition of batch jobs.

use batch::wire::{Heartbeat, Placement, PlacementMap, StoreInfo, StoreState, MAX_PARTITIONS};
use chain_replication::{Member, Millis, Observation, ReplicaStatus, View};
use compact_str::CompactString;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The longest lease that a store's tail gets for its reads, counted from when it sent its heartbeat. Two heartbeats and more fit in.
pub const LEASE: Millis = 700;
/// A store silent for so long is dead: no lease of it can be valid any more, and a slow turn does not look like it.
pub const SILENT: Millis = 1_200;
/// A store that says things, and for so long has not said that it has an answer, hears nothing: links may be cut one way.
pub const DEAF: Millis = 1_800;
/// So long after it began, a head declares nobody dead that it has merely not heard. It must exceed two spans. Leases of the
/// head before it run for 0.9 s at most after that one was last in contact, and so after this one began (0.7 s after the end
/// of a process that starts again as head). And a store that is well must have been heard: all may start with the head or a
/// little later, learn from the tree who it is, and may be as slow as [`SILENT`] allows. One whose disk is gone is dropped
/// earlier, see `Stores::is_replaced`.
pub const SETTLE: Millis = 1_600;
/// So long after the first store was heard, the first map is made: all start within 0.3 s of each other.
const GATHER: Millis = 900;
/// Stores known at most.
const MOST: usize = 1_024;

/// So many partitions a store, and no fewer than that in all: a store that is lost leaves its work to several, and one that
/// comes takes its share in small copies.
const PARTITIONS_PER_STORE: usize = 2;
const LEAST_PARTITIONS: usize = 16;

/// Into how many partitions the jobs are split where so many stores begin. It stays as long as the deployment does.
pub fn partitions_for(stores: usize) -> usize {
    let wanted = stores
        .saturating_mul(PARTITIONS_PER_STORE)
        .clamp(LEAST_PARTITIONS, MAX_PARTITIONS);
    wanted.next_power_of_two().min(MAX_PARTITIONS)
}

struct Heard {
    at: Millis,
    heartbeat: Heartbeat,
    /// Its lease ends by then at the latest.
    lent_until: Millis,
    /// The oldest grant that it has not said to have: the `sent_ms` of the heartbeat that was answered, and when it was.
    unconfirmed: Option<(u64, Millis)>,
    /// It has said that it has a grant of this head: it runs now, and isn't a word that was long on its way.
    has_grant: bool,
}

impl Heard {
    /// Whether it says things and hears nothing: it can't take part in a chain, though it is heard.
    fn is_deaf(&self, now: Millis) -> bool {
        self.unconfirmed
            .is_some_and(|(_, at)| now.saturating_sub(at) >= DEAF)
    }
}

/// What the head knows of the stores.
#[derive(Default)]
pub struct Stores {
    by_addr: BTreeMap<SocketAddr, Heard>,
    first: Option<Millis>,
}

/// What the tier can bear, and so how long a chain is.
#[derive(Debug, Clone, Copy)]
pub struct Lengths {
    /// Where there are machines.
    pub wanted: usize,
    /// Below this nothing is acknowledged.
    pub least: usize,
}

/// Why a store can't be emptied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRetired {
    /// Nobody of that name.
    Unknown,
    /// Too few would be left.
    TooFew,
}

impl Stores {
    /// A heartbeat has come. Tells whether it is the first of that store.
    pub fn heard(&mut self, now: Millis, heartbeat: Heartbeat) -> bool {
        self.first.get_or_insert(now);
        let new = self
            .by_addr
            .get(&heartbeat.addr)
            .is_none_or(|h| h.heartbeat.id != heartbeat.id);
        if self.by_addr.len() < MOST || self.by_addr.contains_key(&heartbeat.addr) {
            let before = self.by_addr.get(&heartbeat.addr);
            let lent_until = before.map_or(0, |h| h.lent_until);
            // Another process counts its own time from its own start.
            let same = before.filter(|h| {
                h.heartbeat.id == heartbeat.id && h.heartbeat.sent_ms <= heartbeat.sent_ms
            });
            let open = same.and_then(|h| h.unconfirmed);
            let unconfirmed = open.filter(|(sent, _)| *sent > heartbeat.answered_ms);
            let has_grant =
                same.is_some_and(|h| h.has_grant) || open.is_some() && unconfirmed.is_none();
            self.by_addr.insert(
                heartbeat.addr,
                Heard {
                    at: now,
                    heartbeat,
                    lent_until,
                    unconfirmed,
                    has_grant,
                },
            );
        }
        new
    }

    /// A store's heartbeat is answered with a lease that ends by then at the latest.
    pub fn granted(&mut self, now: Millis, store: SocketAddr, sent_ms: u64, until: Millis) {
        if let Some(heard) = self.by_addr.get_mut(&store) {
            heard.lent_until = heard.lent_until.max(until);
            heard.unconfirmed.get_or_insert((sent_ms, now));
        }
    }

    /// Whether one of these may still have a lease.
    pub fn lent(&self, now: Millis, stores: &[SocketAddr]) -> bool {
        stores
            .iter()
            .any(|s| self.by_addr.get(s).is_some_and(|h| h.lent_until > now))
    }

    /// The tails of [`tails_lost`] whose leases are to be waited for: a process that has ended has none.
    pub fn tails_to_outlast(&self, map: &PlacementMap, next: &PlacementMap) -> Vec<SocketAddr> {
        addresses(lost_tails(map, next).filter(|tail| !self.is_replaced(tail)))
    }

    /// This process stood still itself.
    pub fn woke(&mut self, now: Millis) {
        for heard in self.by_addr.values_mut() {
            heard.at = now;
            heard.unconfirmed = None;
            heard.has_grant = false;
        }
    }

    /// Nothing that was heard before counts: another head begins.
    pub fn begin(&mut self) {
        self.by_addr.clear();
        self.first = None;
    }

    fn alive(&self, now: Millis, addr: SocketAddr, id: u64) -> bool {
        let heard = self.by_addr.get(&addr).filter(|h| h.heartbeat.id == id);
        heard.is_some_and(|h| now.saturating_sub(h.at) < SILENT && !h.is_deaf(now))
    }

    /// Alive, and its disk takes what is written.
    fn takes_writes(&self, now: Millis, addr: SocketAddr, id: u64) -> bool {
        self.alive(now, addr, id)
            && self
                .by_addr
                .get(&addr)
                .is_some_and(|h| !h.heartbeat.stalled)
    }

    /// The map that should follow, if any. `since` is when this controller became the head.
    pub fn plan(
        &self,
        now: Millis,
        current: Option<&PlacementMap>,
        since: Millis,
        lengths: Lengths,
    ) -> Option<PlacementMap> {
        let Some(current) = current else {
            return self
                .first
                .filter(|f| now >= f + GATHER)
                .and_then(|_| self.first_map(now, lengths));
        };
        let settled = now >= since + SETTLE;
        let mut next = current.clone();
        self.list(&mut next);
        let mut loads = Loads::of(self, current);
        for (partition, view) in current.partitions.iter().enumerate() {
            if !settled && !self.only_replaced_are_missing(now, view) {
                continue;
            }
            let seen = self.seen(now, &next, partition, view, &loads, lengths);
            let silent_for = |m: &Member| {
                let heard = self.by_addr.get(&m.addr).filter(|h| h.heartbeat.id == m.id);
                heard.map_or(now, |h| now.saturating_sub(h.at))
            };
            let wanted = chain_replication::next_view(view, &seen, lengths.wanted, lengths.least);
            let dropped_too_early = |next: &View| {
                let mut dropped = view.members.iter().filter(|m| next.position(m).is_none());
                !settled && dropped.any(|m| !self.is_replaced(m))
            };
            let wanted = wanted.filter(|next| !dropped_too_early(next));
            // Where a store is dropped, all that stay must have been heard of late.
            if let Some(view) = wanted.filter(|next| {
                chain_replication::remaining_members_recently_seen(view, next, &silent_for)
            }) {
                if let Some(place) = next.partitions.get_mut(partition) {
                    loads.moved(partition, place, &view);
                    *place = view;
                }
            }
        }
        if !settled && next.partitions == current.partitions {
            return None;
        }
        for at in 0..next.stores.len() {
            let Some(store) = next.stores.get(at).filter(|_| settled) else {
                break;
            };
            if store.state == StoreState::Retiring
                && self.emptied(now, &next, current, store, lengths, &loads)
            {
                if let Some(store) = next.stores.get_mut(at) {
                    store.state = StoreState::Retired;
                }
            }
        }
        next.number += 1;
        let same = next.partitions == current.partitions && next.stores == current.stores;
        (!same).then_some(next)
    }

    /// Whether another store runs at the address of this one, with another disk. Then the process that had the place, and
    /// any lease of it, has ended: an address belongs to one machine. It runs now, as it has answered to this head; a word
    /// that was long on its way would say nothing of what came after it.
    fn is_replaced(&self, member: &Member) -> bool {
        self.by_addr
            .get(&member.addr)
            .is_some_and(|heard| heard.heartbeat.id != member.id && heard.has_grant)
    }

    /// Whether a member of this chain is replaced, and all others of it are heard, so that none is taken for gone that has
    /// merely not found this head yet.
    fn only_replaced_are_missing(&self, now: Millis, view: &View) -> bool {
        let there = |m: &Member| self.alive(now, m.addr, m.id) || self.is_replaced(m);
        view.members.iter().any(|m| self.is_replaced(m))
            && view.members.iter().chain(&view.joining).all(there)
    }

    /// New machines, and new identities of old ones.
    fn list(&self, map: &mut PlacementMap) {
        for heard in self.by_addr.values() {
            let heartbeat = &heard.heartbeat;
            let at = map.stores.iter().position(|s| s.addr == heartbeat.addr);
            let room = map.stores.len() < MOST;
            match at.and_then(|at| map.stores.get_mut(at)) {
                Some(store) if store.id == heartbeat.id => {}
                Some(store) => {
                    // An empty disk: what was being emptied is a newcomer now, unless it is on its way out.
                    store.id = heartbeat.id;
                    store.node = heartbeat.node.clone();
                    if store.state == StoreState::Gone {
                        store.state = StoreState::Up;
                    }
                }
                None if room => map.stores.push(StoreInfo {
                    node: heartbeat.node.clone(),
                    addr: heartbeat.addr,
                    id: heartbeat.id,
                    zone: heartbeat.zone.clone(),
                    state: StoreState::Up,
                }),
                None => {}
            }
        }
    }

    fn seen(
        &self,
        now: Millis,
        map: &PlacementMap,
        partition: usize,
        view: &View,
        loads: &Loads,
        lengths: Lengths,
    ) -> Vec<Observation> {
        let able = self.able(now, map, partition, view, loads);
        let too_few = able < lengths.least;
        let mut seen: Vec<((u64, u64), Observation)> = Vec::new();
        for heard in self.by_addr.values() {
            let heartbeat = &heard.heartbeat;
            let state = map
                .stores
                .iter()
                .find(|s| s.addr == heartbeat.addr)
                .map_or(StoreState::Up, |s| s.state);
            let inside = view
                .members
                .iter()
                .chain(&view.joining)
                .any(|m| m.id == heartbeat.id && m.addr == heartbeat.addr);
            if !inside && (state == StoreState::Retired || !loads.fits(partition, heartbeat)) {
                continue;
            }
            let status = status_of(heartbeat, partition);
            seen.push((
                // Who has fewest copies is the first to be given one more.
                (
                    loads.copies(heartbeat.addr),
                    rank(partition, &heartbeat.node),
                ),
                Observation {
                    member: Member {
                        id: heartbeat.id,
                        addr: heartbeat.addr,
                        since: 0,
                    },
                    alive: self.alive(now, heartbeat.addr, heartbeat.id),
                    status,
                    zone: crate::heartbeats::zone_number(&heartbeat.zone),
                    draining: heartbeat.leaving,
                    // One that is being emptied, and has not been released, helps out where too few others are left.
                    retiring: state != StoreState::Up
                        && !(too_few && state == StoreState::Retiring),
                },
            ));
        }
        seen.sort_by_key(|(rank, s)| (*rank, s.member.addr));
        let mut seen: Vec<Observation> = seen.into_iter().map(|(_, s)| s).collect();
        self.leave_out_stalled(view, lengths.least, able, &mut seen);
        seen
    }

    /// Those whose disks take nothing, or have finished nothing for a while, count as gone: as members only while enough
    /// others remain, or can take their places (`able` stores in all). Else nothing would be acknowledged without them
    /// either, and their copies are worth keeping.
    fn leave_out_stalled(&self, view: &View, least: usize, able: usize, seen: &mut [Observation]) {
        let unable = |s: &Observation| {
            self.by_addr
                .get(&s.member.addr)
                .is_some_and(|h| h.heartbeat.stalled)
        };
        let inside = |s: &Observation| {
            view.members
                .iter()
                .any(|member| member.is_same_process(&s.member))
        };
        let left = seen
            .iter()
            .filter(|s| s.alive && inside(s) && !unable(s))
            .count();
        let goes_on = left >= least || left > 0 && able >= least;
        for store in seen.iter_mut().filter(|s| unable(s)) {
            store.alive &= inside(store) && !goes_on;
        }
    }

    /// How many stores that may be given partitions can serve in this chain: they are there, and hold a copy or have room.
    fn able(
        &self,
        now: Millis,
        map: &PlacementMap,
        partition: usize,
        view: &View,
        loads: &Loads,
    ) -> usize {
        let holds = |s: &StoreInfo| {
            view.members
                .iter()
                .any(|m| m.addr == s.addr && m.id == s.id)
        };
        let able = |s: &&StoreInfo| {
            let heard = self
                .by_addr
                .get(&s.addr)
                .filter(|heard| !heard.heartbeat.stalled);
            let fits =
                heard.is_some_and(|heard| holds(s) || loads.fits(partition, &heard.heartbeat));
            s.state == StoreState::Up && self.alive(now, s.addr, s.id) && fits
        };
        map.stores.iter().filter(able).count()
    }

    /// Each partition starts on stores of different zones, another first one for each.
    fn first_map(&self, now: Millis, lengths: Lengths) -> Option<PlacementMap> {
        let mut map = PlacementMap {
            number: 1,
            partitions: Vec::new(),
            stores: Vec::new(),
            placement: Placement::ByJob,
        };
        self.list(&mut map);
        let alive: Vec<StoreInfo> = map
            .stores
            .iter()
            .filter(|s| self.takes_writes(now, s.addr, s.id))
            .cloned()
            .collect();
        if alive.len() < lengths.least {
            return None;
        }
        let mut given: BTreeMap<SocketAddr, Given> = BTreeMap::new();
        for partition in 0..partitions_for(alive.len()) {
            let chosen = chain_over_zones(partition, &alive, lengths.wanted, &given);
            for (place, store) in chosen.iter().enumerate() {
                let given = given.entry(store.addr).or_default();
                given.copies += 1;
                given.heads += usize::from(place == 0);
                given.tails += usize::from(place + 1 == chosen.len());
            }
            let member = |s: &StoreInfo| Member {
                id: s.id,
                addr: s.addr,
                since: 1,
            };
            let members = chosen.iter().map(member).collect();
            map.partitions.push(View {
                number: 1,
                members,
                joining: Vec::new(),
            });
        }
        Some(map)
    }

    /// Whether nothing depends on this store any more: it is in no chain of the map in force, and each chain is whole on
    /// the disks of its members, as they said in that very view.
    fn emptied(
        &self,
        now: Millis,
        next: &PlacementMap,
        current: &PlacementMap,
        store: &StoreInfo,
        lengths: Lengths,
        loads: &Loads,
    ) -> bool {
        let holds = |m: &Member| m.addr == store.addr;
        let whole = |partition: usize, view: &View| {
            view.members.iter().all(|m| {
                let status = self.by_addr.get(&m.addr).filter(|h| h.heartbeat.id == m.id);
                let status = status.and_then(|h| status_of(&h.heartbeat, partition));
                status.is_some_and(|s| s.view == view.number && s.in_sync_view == view.number)
            })
        };
        let whole_length = |partition: usize, view: &View| {
            lengths
                .wanted
                .min(self.able(now, current, partition, view, loads))
                .max(lengths.least)
        };
        current.partitions.iter().enumerate().all(|(p, view)| {
            let there = view.members.iter().chain(&view.joining).any(holds);
            !there
                && view.joining.is_empty()
                && next.partitions.get(p) == Some(view)
                && view.members.len() >= whole_length(p, view)
                && whole(p, view)
        })
    }

    /// The map in which this machine is to be emptied.
    ///
    /// # Errors
    /// Why it can't be.
    pub fn retire(
        &self,
        now: Millis,
        map: &PlacementMap,
        node: &str,
        lengths: Lengths,
    ) -> Result<Option<PlacementMap>, NotRetired> {
        let mut next = map.clone();
        self.list(&mut next);
        let at = next
            .stores
            .iter()
            .position(|s| s.node == node)
            .ok_or(NotRetired::Unknown)?;
        let left = next.stores.iter().enumerate();
        let left = left.filter(|(n, s)| {
            *n != at && s.state == StoreState::Up && self.takes_writes(now, s.addr, s.id)
        });
        let left = left.count();
        let Some(store) = next.stores.get_mut(at) else {
            return Err(NotRetired::Unknown);
        };
        if store.state != StoreState::Up {
            return Ok(None);
        }
        if left < lengths.least {
            return Err(NotRetired::TooFew);
        }
        store.state = StoreState::Retiring;
        next.number += 1;
        Ok(Some(next))
    }

    /// The stores as operators see them: name, state, whether it is heard.
    pub fn told(&self, now: Millis, map: &PlacementMap) -> Vec<(CompactString, StoreState, bool)> {
        map.stores
            .iter()
            .map(|s| (s.node.clone(), s.state, self.alive(now, s.addr, s.id)))
            .collect()
    }
}

/// What a store has of the first map so far.
#[derive(Clone, Copy, Default)]
struct Given {
    heads: usize,
    tails: usize,
    copies: usize,
}

/// The chain of a partition: in different zones as far as there are any, and each place given to who has fewest of its kind.
fn chain_over_zones(
    partition: usize,
    stores: &[StoreInfo],
    wanted: usize,
    given: &BTreeMap<SocketAddr, Given>,
) -> Vec<StoreInfo> {
    let mut chosen: Vec<StoreInfo> = Vec::new();
    // The head first, then the tail, then who stands between them.
    for place in 0..wanted.min(stores.len()) {
        let free = stores
            .iter()
            .filter(|s| chosen.iter().all(|c| c.addr != s.addr));
        let next = free.min_by_key(|s| {
            let same_zone = chosen.iter().any(|c| c.zone == s.zone);
            let has = given.get(&s.addr).copied().unwrap_or_default();
            let of_the_kind = match place {
                0 => has.heads,
                1 => has.tails,
                _ => 0,
            };
            (
                same_zone,
                of_the_kind,
                has.copies,
                rank(partition, &s.node),
                s.addr,
            )
        });
        let Some(next) = next else { break };
        chosen.insert(place.min(1), next.clone());
    }
    chosen
}

/// How many bytes the partitions have, and the stores hold or are to hold by the map.
struct Loads {
    partitions: Vec<u64>,
    stores: BTreeMap<SocketAddr, u64>,
    copies: BTreeMap<SocketAddr, u64>,
}

impl Loads {
    fn of(stores: &Stores, map: &PlacementMap) -> Self {
        let said = |partition: usize, m: &Member| {
            let heard = stores
                .by_addr
                .get(&m.addr)
                .filter(|h| h.heartbeat.id == m.id)?;
            heard
                .heartbeat
                .statuses
                .iter()
                .find(|s| usize::from(s.partition) == partition)
                .map(|s| s.bytes)
        };
        let bytes = |(partition, view): (usize, &View)| {
            view.members
                .iter()
                .filter_map(|m| said(partition, m))
                .max()
                .unwrap_or(0)
        };
        let mut loads = Loads {
            partitions: map.partitions.iter().enumerate().map(bytes).collect(),
            stores: BTreeMap::new(),
            copies: BTreeMap::new(),
        };
        let nobody = View {
            number: 0,
            members: Vec::new(),
            joining: Vec::new(),
        };
        for (partition, view) in map.partitions.iter().enumerate() {
            loads.moved(partition, &nobody, view);
        }
        loads
    }

    fn bytes(&self, partition: usize) -> u64 {
        self.partitions.get(partition).copied().unwrap_or(0)
    }

    /// A partition's chain is another one now.
    fn moved(&mut self, partition: usize, old: &View, new: &View) {
        let bytes = self.bytes(partition);
        for member in old.members.iter().chain(&old.joining) {
            let load = self.stores.entry(member.addr).or_insert(0);
            *load = load.saturating_sub(bytes);
            let copies = self.copies.entry(member.addr).or_insert(0);
            *copies = copies.saturating_sub(1);
        }
        for member in new.members.iter().chain(&new.joining) {
            let load = self.stores.entry(member.addr).or_insert(0);
            *load = load.saturating_add(bytes);
            *self.copies.entry(member.addr).or_insert(0) += 1;
        }
    }

    /// How many copies a store has, or is to have.
    fn copies(&self, store: SocketAddr) -> u64 {
        self.copies.get(&store).copied().unwrap_or(0)
    }

    /// Whether a store has room for a copy of a partition beside what it is to hold already.
    fn fits(&self, partition: usize, heartbeat: &Heartbeat) -> bool {
        let held = self.stores.get(&heartbeat.addr).copied().unwrap_or(0);
        let bytes = self.bytes(partition);
        bytes == 0 || held.saturating_add(bytes) <= heartbeat.capacity
    }
}

/// The tails by one map that are not in their chains by the next.
fn lost_tails<'a>(
    map: &'a PlacementMap,
    next: &'a PlacementMap,
) -> impl Iterator<Item = &'a Member> {
    let pairs = map.partitions.iter().zip(&next.partitions);
    pairs.filter_map(|(old, new)| {
        old.members
            .last()
            .filter(|tail| new.position(tail).is_none())
    })
}

/// The stores that serve reads of a partition by one map and are not in its chain by the next.
pub fn tails_lost(map: &PlacementMap, next: &PlacementMap) -> Vec<SocketAddr> {
    addresses(lost_tails(map, next))
}

fn addresses<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<SocketAddr> {
    let mut addresses: Vec<SocketAddr> = members.map(|m| m.addr).collect();
    addresses.sort();
    addresses.dedup();
    addresses
}

/// Where a store's copy of a partition stands, as it said.
fn status_of(heartbeat: &Heartbeat, partition: usize) -> Option<ReplicaStatus> {
    heartbeat
        .statuses
        .iter()
        .find(|s| usize::from(s.partition) == partition)
        .map(|s| s.status)
}

/// The place of a store in the order of a partition: the same at every head.
fn rank(partition: usize, node: &str) -> u64 {
    let mut rank = crate::heartbeats::zone_number(node)
        ^ (partition as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    rank ^= rank >> 31;
    rank = rank.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    rank ^ (rank >> 29)
}
