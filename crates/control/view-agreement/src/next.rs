//! The rule by which the next view of the controllers follows from what is seen of the machines. Pure.

use std::borrow::Cow;
use std::collections::BTreeMap;

use chain_replication::{next_view, Member, Millis, Observation};

use crate::wire::{ControllerView, MAX_ACCEPTORS};

/// How many losses at once the controllers are to survive, and what follows from that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sizing {
    /// Members of the chain, where there are machines.
    pub chain_len: usize,
    /// With fewer members nothing is acknowledged.
    pub min_chain_len: usize,
    /// Acceptors, where there are machines: `2f + 1`, so that a majority is left after `f` losses.
    pub acceptors: usize,
    /// So many zones may be lost at once, each with all its machines; 0 where only machines are counted.
    pub zone_failures: usize,
    /// An acceptor that is silent for longer is replaced by a spare, in milliseconds. It must be longer than the silence
    /// that makes a machine dead, and the replacement must be over before the next loss may come (`SyncS`). An
    /// acceptor that returns later is a spare itself, so replacing one too early costs a change of view and no safety.
    pub replace_after_ms: Millis,
}

impl Sizing {
    /// The shortest and the longest silence after which an acceptor is replaced.
    const REPLACE_AFTER_MS: std::ops::RangeInclusive<Millis> = 1_200..=3_000;

    /// For `faults` losses at once, the next of which comes `sync_ms` after the one before was made good at the
    /// earliest.
    pub fn new(faults: usize, sync_ms: Millis) -> Self {
        let (shortest, longest) = (
            *Self::REPLACE_AFTER_MS.start(),
            *Self::REPLACE_AFTER_MS.end(),
        );
        Sizing {
            chain_len: faults + 2,
            min_chain_len: faults + 1,
            acceptors: (2 * faults + 1).min(MAX_ACCEPTORS as usize),
            zone_failures: 0,
            replace_after_ms: (sync_ms / 3).clamp(shortest, longest),
        }
    }

    /// The same where so many whole zones may be lost at once as well: the acceptors and the chain are spread over zones
    /// so that a majority, and a member, are left.
    pub fn with_zone_failures(self, zones: usize) -> Self {
        Sizing {
            zone_failures: zones,
            ..self
        }
    }

    /// How many zones may be lost at once so that a majority of acceptors in these zones is left.
    pub fn zone_failures_tolerated(acceptors: &[u64]) -> usize {
        (0..acceptors.len())
            .rev()
            .find(|lost| held_by_fullest(acceptors, *lost) * 2 < acceptors.len())
            .unwrap_or(0)
    }

    /// How many losses at once leave a majority of so many acceptors.
    pub fn failures_tolerated(acceptors: usize) -> usize {
        acceptors.saturating_sub(1) / 2
    }
}

/// How many of those in these zones are in the `most` zones that hold the most of them.
fn held_by_fullest(zones: &[u64], most: usize) -> usize {
    let mut counts = BTreeMap::new();
    for zone in zones {
        *counts.entry(*zone).or_insert(0) += 1;
    }
    let mut counts: Vec<usize> = counts.into_values().collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    counts.into_iter().take(most).sum()
}

/// The next view by rule: the chain by [`chain_replication::next_view`], and the acceptors. None if nothing is to change or nothing
/// can.
///
/// An acceptor whose machine lost its disk (another id is alive at its address) is replaced by that newcomer at once;
/// one that is about to stop or that can't keep its promises on disk, by a spare at once; one that has been silent for
/// [`Sizing::replace_after_ms`], by a spare. Where there are fewer acceptors than [`Sizing::acceptors`], spares are
/// added, to an odd number. A majority of the new acceptors are always ones that were acceptors before and are there
/// now: so a view in which they have to decide never waits for a machine that has only just heard of it.
///
/// Where whole zones may be lost ([`Sizing::zones`]), acceptors of the fullest zone hand their votes to spares of emptier
/// ones until such a loss leaves a majority, and a chain that stands in too few zones takes in a member of another one and
/// then lets one of the fullest go. Both end where there are no spares of other zones.
///
/// The owner proposes what comes of it only if [`chain_replication::remaining_members_recently_seen`] agrees.
pub fn next_controller_view(
    current: &ControllerView,
    seen: &[Observation],
    sizing: Sizing,
    dead_for_ms: &dyn Fn(&Member) -> Millis,
) -> Option<ControllerView> {
    let spread = spread_chain(current, seen, sizing);
    let chain = next_view(
        &current.view,
        &spread,
        sizing.chain_len,
        sizing.min_chain_len,
    );
    let acceptors = next_acceptors(current, seen, sizing, dead_for_ms);
    if chain.is_none() && acceptors.is_none() {
        return None;
    }
    let mut view = chain.unwrap_or_else(|| current.view.clone());
    view.number = current.number() + 1;
    Some(ControllerView {
        view,
        acceptors: acceptors.unwrap_or_else(|| current.acceptors.clone()),
    })
}

/// What is seen, with the member marked as unwanted that is to make room for one of another zone, if any. By the rule of
/// the chain an unwanted member goes only once enough others are in sync.
fn spread_chain<'a>(
    current: &ControllerView,
    seen: &'a [Observation],
    sizing: Sizing,
) -> Cow<'a, [Observation]> {
    let members = &current.view.members;
    let find = |m: &Member| {
        seen.iter()
            .position(|s| s.alive && !s.draining && !s.retiring && s.member.is_same_process(m))
    };
    let places: Vec<usize> = members.iter().filter_map(find).collect();
    let zones: Vec<u64> = places
        .iter()
        .filter_map(|place| seen.get(*place))
        .map(|s| s.zone)
        .collect();
    let too_few_zones = held_by_fullest(&zones, sizing.zone_failures) == zones.len();
    let is_spare =
        |s: &Observation| s.alive && !s.draining && !s.retiring && !zones.contains(&s.zone);
    let makes_room = too_few_zones && seen.iter().any(is_spare) || members.len() > sizing.chain_len;
    // The last of those that are not alone in their zone.
    let is_double = |zone: u64| zones.iter().filter(|z| **z == zone).count() > 1;
    let goes = places
        .iter()
        .rev()
        .copied()
        .find(|place| seen.get(*place).is_some_and(|s| is_double(s.zone)));
    let mut spread = Cow::Borrowed(seen);
    if let Some(place) = goes.filter(|_| sizing.zone_failures > 0 && makes_room) {
        if let Some(seen) = spread.to_mut().get_mut(place) {
            seen.retiring = true;
        }
    }
    spread
}

/// The acceptors while they are changed one after the other.
struct Electorate<'a> {
    current: &'a ControllerView,
    seen: &'a [Observation],
    acceptors: Vec<Member>,
    /// Places of those that were acceptors before, stay, and are there now.
    established: Vec<bool>,
}

impl<'a> Electorate<'a> {
    fn new(current: &'a ControllerView, seen: &'a [Observation]) -> Self {
        let acceptors = current.acceptors.clone();
        let there = |a: &Member| seen.iter().any(|s| s.alive && s.member.is_same_process(a));
        let established = acceptors.iter().map(there).collect();
        Electorate {
            current,
            seen,
            acceptors,
            established,
        }
    }

    fn sees(&self, acceptor: &Member) -> Option<&'a Observation> {
        self.seen
            .iter()
            .find(|s| s.member.is_same_process(acceptor))
    }

    /// Another identity is alive at the acceptor's address: its machine has lost its disk.
    fn newcomer(&self, acceptor: &Member) -> Option<&'a Observation> {
        self.seen.iter().find(|s| {
            s.alive && !s.retiring && s.member.addr == acceptor.addr && s.member.id != acceptor.id
        })
    }

    /// The zone of an acceptor; none if its machine is not known.
    fn zone(&self, acceptor: &Member) -> Option<u64> {
        self.sees(acceptor)
            .or_else(|| self.seen.iter().find(|s| s.member.addr == acceptor.addr))
            .map(|s| s.zone)
    }

    /// The zones of the acceptors, but for the one in this place. One of which nothing is known counts as in no zone.
    fn zones(&self, but: Option<usize>) -> Vec<u64> {
        let others = self
            .acceptors
            .iter()
            .enumerate()
            .filter(|(place, _)| Some(*place) != but);
        others
            .filter_map(|(_, acceptor)| self.zone(acceptor))
            .collect()
    }

    /// A machine that may become an acceptor: of the zone that the fewest other acceptors are in, then one that holds the
    /// table, then in the order in which they were given.
    fn spare(&self, leaving_place: Option<usize>) -> Option<&'a Observation> {
        let zones = self.zones(leaving_place);
        let in_zone = |zone: u64| zones.iter().filter(|z| **z == zone).count();
        let usable = |s: &&Observation| s.alive && !s.draining && !s.retiring;
        let is_acceptor = |s: &Observation| self.acceptors.iter().any(|a| a.addr == s.member.addr);
        let view = &self.current.view;
        self.seen
            .iter()
            .filter(usable)
            .filter(|s| !is_acceptor(s))
            .min_by_key(|s| (in_zone(s.zone), view.position(&s.member).is_none()))
    }

    /// Gives votes of the fullest zone to spares of emptier ones until the loss of so many zones leaves a majority.
    fn spread(&mut self, zones_lost: usize) {
        for _ in 0..self.acceptors.len() {
            let zones = self.zones(None);
            if held_by_fullest(&zones, zones_lost) * 2 < self.acceptors.len() {
                return;
            }
            let in_zone = |zone: u64| zones.iter().filter(|z| **z == zone).count();
            let fullness = |place: &usize| {
                let zone = self.acceptors.get(*place).and_then(|a| self.zone(a));
                zone.map_or(0, in_zone)
            };
            // Of equals the last, and rather one that is new anyway.
            let is_new = |place: &usize| self.established.get(*place) == Some(&false);
            let Some(place) = (0..self.acceptors.len())
                .max_by_key(|place| (fullness(place), is_new(place), *place))
            else {
                return;
            };
            let emptier = |spare: &&Observation| in_zone(spare.zone) + 1 < fullness(&place);
            let Some(spare) = self.spare(Some(place)).filter(emptier) else {
                return;
            };
            if !self.replace(place, spare) {
                return;
            }
        }
    }

    fn as_acceptor(&self, spare: &Observation) -> Member {
        Member {
            since: self.current.number() + 1,
            ..spare.member.clone()
        }
    }

    /// Puts a machine in an acceptor's place, if the established ones remain a majority; whether it did.
    fn replace(&mut self, place: usize, spare: &Observation) -> bool {
        let established = self
            .established
            .iter()
            .enumerate()
            .filter(|(at, there)| *at != place && **there);
        if established.count() * 2 <= self.acceptors.len() {
            return false;
        }
        let member = self.as_acceptor(spare);
        if let (Some(acceptor), Some(there)) = (
            self.acceptors.get_mut(place),
            self.established.get_mut(place),
        ) {
            *acceptor = member;
            *there = false;
        }
        true
    }

    /// Adds a machine; whether the established ones remain a majority is looked at by [`Electorate::grow`].
    fn add(&mut self, spare: &Observation) {
        let member = self.as_acceptor(spare);
        self.acceptors.push(member);
        self.established.push(false);
    }

    /// Adds spares up to `wanted`, an odd number of acceptors in the end.
    fn grow(&mut self, wanted: usize) {
        let established = self.established.iter().filter(|there| **there).count();
        loop {
            let missing = if self.acceptors.len().is_multiple_of(2) {
                1
            } else {
                2
            };
            let grown = self.acceptors.len() + missing;
            // A lone founder can't be a majority of three; with two more it is better off all the same.
            let lone = self.acceptors.len() == 1 && established == 1;
            if grown > wanted.max(self.acceptors.len() | 1) || (established * 2 <= grown && !lone) {
                return;
            }
            let before = (self.acceptors.clone(), self.established.clone());
            for _ in 0..missing {
                let Some(spare) = self.spare(None) else {
                    (self.acceptors, self.established) = before;
                    return;
                };
                self.add(spare);
            }
        }
    }
}

fn next_acceptors(
    current: &ControllerView,
    seen: &[Observation],
    sizing: Sizing,
    dead_for_ms: &dyn Fn(&Member) -> Millis,
) -> Option<Vec<Member>> {
    let mut electorate = Electorate::new(current, seen);
    for (place, acceptor) in current.acceptors.iter().enumerate() {
        if let Some(newcomer) = electorate.newcomer(acceptor) {
            electorate.replace(place, newcomer);
        }
    }
    for (place, acceptor) in current.acceptors.iter().enumerate() {
        let gone = match electorate.sees(acceptor) {
            Some(s) if s.retiring || s.draining => true,
            Some(s) if s.alive => false,
            _ => dead_for_ms(acceptor) > sizing.replace_after_ms,
        };
        let replaced = electorate.acceptors.get(place) != Some(acceptor);
        if !gone || replaced {
            continue;
        }
        if let Some(spare) = electorate.spare(Some(place)) {
            electorate.replace(place, spare);
        }
    }
    electorate.grow(sizing.acceptors);
    if sizing.zone_failures > 0 {
        electorate.spread(sizing.zone_failures);
    }
    (electorate.acceptors != current.acceptors).then_some(electorate.acceptors)
}
