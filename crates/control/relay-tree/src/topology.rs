//! The form of the tree: who follows whom, the same for all who know the same lists.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A process and its zone.
type Located<'a> = (SocketAddr, &'a str);

/// The parents of one process, in order of preference.
///
/// The process's place in the sorted list of dispatchers decides. The first `width` dispatchers for
/// each controller follow the controllers, the others, `width` by `width`, the dispatchers before
/// them; each prefers a parent in its own zone. Behind that parent come one in another zone and
/// then all controllers, those of the own zone first.
pub fn tree_parents(
    me: SocketAddr,
    my_zone: &str,
    dispatchers: &[(SocketAddr, impl AsRef<str>)],
    controllers: &[(SocketAddr, impl AsRef<str>)],
    width: usize,
) -> Vec<SocketAddr> {
    let width = width.max(1);
    let mut all = sorted(dispatchers);
    all.insert(me, my_zone);
    let all = all.into_iter().collect::<Vec<_>>();
    let controllers = sorted(controllers)
        .into_iter()
        .filter(|(addr, _)| *addr != me);
    let controllers = controllers.collect::<Vec<_>>();
    let place = all.iter().position(|(addr, _)| *addr == me).unwrap_or(0);
    let Levels { above, level } = levels_at(place, &all, &controllers, width);

    let first = parent_in_level(above, level, me, width);
    let mut list = Vec::from_iter(first);
    let first_zone = first
        .and_then(|first| above.iter().find(|(addr, _)| *addr == first))
        .map(|(_, zone)| *zone);
    let others = above
        .iter()
        .filter(|(_, zone)| Some(*zone) != first_zone)
        .collect::<Vec<_>>();
    if !others.is_empty() {
        list.extend(others.get(place % others.len()).map(|(addr, _)| *addr));
    }
    // The controllers of other zones begin at another one for each place, which spreads the load.
    let (own, far): (Vec<_>, Vec<_>) = controllers.iter().partition(|(_, zone)| *zone == my_zone);
    list.extend(own.iter().map(|(addr, _)| *addr));
    let start = place % far.len().max(1);
    list.extend(
        far.iter()
            .skip(start)
            .chain(far.iter().take(start))
            .map(|(addr, _)| *addr),
    );
    let mut seen = Vec::new();
    list.retain(|addr| {
        let new = *addr != me && !seen.contains(addr);
        seen.push(*addr);
        new
    });
    list
}

fn sorted(list: &[(SocketAddr, impl AsRef<str>)]) -> BTreeMap<SocketAddr, &str> {
    list.iter()
        .map(|(addr, zone)| (*addr, zone.as_ref()))
        .collect()
}

/// A level of the tree and the one above it.
struct Levels<'a> {
    above: &'a [Located<'a>],
    level: &'a [Located<'a>],
}

/// The level of a place: each is as wide as the one above it allows.
fn levels_at<'a>(
    place: usize,
    all: &'a [Located<'a>],
    controllers: &'a [Located<'a>],
    width: usize,
) -> Levels<'a> {
    let (mut above, mut level) = (controllers, all);
    let mut start = 0;
    while !above.is_empty() {
        let capacity = above.len().saturating_mul(width).min(level.len());
        let (own, rest) = level.split_at(capacity);
        if place < start + capacity || rest.is_empty() {
            level = own;
            break;
        }
        (above, level) = (own, rest);
        start += capacity;
    }
    Levels { above, level }
}

/// The parent of one member of a level: first each takes one of its own zone while that has
/// capacity, evenly; those left take the least loaded of any zone.
fn parent_in_level(
    above: &[Located<'_>],
    level: &[Located<'_>],
    me: SocketAddr,
    width: usize,
) -> Option<SocketAddr> {
    let mut load = vec![0usize; above.len()];
    let mut zones: BTreeMap<&str, (Vec<usize>, usize)> = BTreeMap::new();
    for (index, (_, zone)) in above.iter().enumerate() {
        zones.entry(*zone).or_default().0.push(index);
    }
    let mut left = Vec::new();
    for (addr, zone) in level {
        let own = zones
            .get_mut(*zone)
            .filter(|(members, taken)| *taken < members.len().saturating_mul(width));
        let Some((members, taken)) = own else {
            left.push(*addr);
            continue;
        };
        let index = members.get(*taken % members.len()).copied()?;
        *taken += 1;
        *load.get_mut(index)? += 1;
        if *addr == me {
            return above.get(index).map(|(addr, _)| *addr);
        }
    }
    let mut by_load: BTreeMap<(usize, usize), ()> = BTreeMap::new();
    by_load.extend(
        load.iter()
            .enumerate()
            .map(|(index, load)| ((*load, index), ())),
    );
    for addr in left {
        let ((load, index), ()) = by_load.pop_first()?;
        if addr == me {
            return above.get(index).map(|(addr, _)| *addr);
        }
        by_load.insert((load + 1, index), ());
    }
    None
}
