//! The hash ring: who watches whom, the same for all that know the same list.

use crate::{Dispatcher, MAX_DISPATCHERS, WATCHERS};

/// How far along the ring watchers in other zones are looked for.
const MAX_STEPS: usize = 24;

/// A dispatcher and its place on the ring.
#[derive(Clone, Debug)]
struct Placed {
    place: u64,
    dispatcher: Dispatcher,
}

/// Dispatchers in the order of a hash of their ids, so that neighbours on the ring have nothing
/// else in common.
#[derive(Clone, Debug, Default)]
pub(crate) struct HashRing(Vec<Placed>);

impl HashRing {
    pub(crate) fn new(list: &[Dispatcher]) -> Self {
        let list = list.iter().take(MAX_DISPATCHERS);
        let placed = |one: &Dispatcher| Placed {
            place: hash(one.id),
            dispatcher: one.clone(),
        };
        let mut ring = list.map(placed).collect::<Vec<_>>();
        ring.sort_by_key(|placed| (placed.place, placed.dispatcher.id));
        ring.dedup_by_key(|placed| placed.dispatcher.id);
        HashRing(ring)
    }

    fn index(&self, id: u64) -> Option<usize> {
        let key = |placed: &Placed| (placed.place, placed.dispatcher.id);
        self.0.binary_search_by_key(&(hash(id), id), key).ok()
    }

    /// The watchers of a dispatcher: the next on the ring in zones that differ from each other,
    /// then the next whatever the zone.
    pub(crate) fn watchers(&self, id: u64) -> Vec<&Dispatcher> {
        let Some(index) = self.index(id) else {
            return Vec::new();
        };
        let steps = MAX_STEPS.min(self.0.len().saturating_sub(1));
        let next = self.0.iter().cycle().skip(index + 1).take(steps);
        let next = next.map(|placed| &placed.dispatcher).collect::<Vec<_>>();
        let mut chosen: Vec<&Dispatcher> = Vec::with_capacity(WATCHERS);
        for one in &next {
            if chosen.len() < WATCHERS && chosen.iter().all(|other| other.zone != one.zone) {
                chosen.push(one);
            }
        }
        for one in &next {
            if chosen.len() < WATCHERS && chosen.iter().all(|other| other.id != one.id) {
                chosen.push(one);
            }
        }
        chosen
    }

    /// The dispatchers that one watches: only those a short way before it on the ring can be.
    pub(crate) fn watched_by(&self, id: u64) -> Vec<&Dispatcher> {
        let Some(index) = self.index(id) else {
            return Vec::new();
        };
        let len = self.0.len();
        let steps = 1..=MAX_STEPS.min(len.saturating_sub(1));
        let before = steps.filter_map(|back| self.0.get((index + len - back) % len));
        let before = before.map(|placed| &placed.dispatcher);
        let watches =
            |one: &&Dispatcher| self.watchers(one.id).iter().any(|watcher| watcher.id == id);
        before.filter(watches).collect()
    }
}

/// The watchers of the dispatcher with this id; nobody if it isn't in the list.
pub fn watchers(list: &[Dispatcher], id: u64) -> Vec<Dispatcher> {
    HashRing::new(list)
        .watchers(id)
        .into_iter()
        .cloned()
        .collect()
}

/// Spreads the ids over the ring: the finalizer of splitmix64 (Steele, Lea, Flood: Fast Splittable
/// Pseudorandom Number Generators, 2014).
fn hash(id: u64) -> u64 {
    let mut x = id.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
