//! The acceptors of the next view, while they are replaced and added one after the other.
//!
//! Guarantees that a majority of the result are *established*: they were acceptors before and are
//! reachable now. So the next view can be decided without waiting for a newcomer.

use std::collections::BTreeMap;

use chain_replication::{Member, Observation};

use crate::controller_view::ControllerView;

/// How many of the members in these zones are in the `count` zones that hold the most of them.
pub(crate) fn members_in_fullest_zones(zones: &[u64], count: usize) -> usize {
    let mut members = BTreeMap::new();
    for zone in zones {
        *members.entry(*zone).or_insert(0) += 1;
    }
    let mut members: Vec<usize> = members.into_values().collect();
    members.sort_unstable_by(|a, b| b.cmp(a));
    members.into_iter().take(count).sum()
}

/// Whether a machine may take on a role: it is alive, and neither drains nor retires.
pub(crate) fn is_available(observation: &Observation) -> bool {
    observation.alive && !observation.draining && !observation.retiring
}

/// The acceptors, with what is observed of all machines.
pub(crate) struct Electorate<'a> {
    current: &'a ControllerView,
    observations: &'a [Observation],
    acceptors: Vec<Member>,
    /// By position: the acceptor was one before, stays, and is reachable now.
    established: Vec<bool>,
}

impl<'a> Electorate<'a> {
    pub fn new(current: &'a ControllerView, observations: &'a [Observation]) -> Self {
        let acceptors = current.acceptors.clone();
        let is_reachable = |acceptor: &Member| {
            observations
                .iter()
                .any(|o| o.alive && o.member.is_same_process(acceptor))
        };
        let established = acceptors.iter().map(is_reachable).collect();
        Electorate {
            current,
            observations,
            acceptors,
            established,
        }
    }

    pub fn into_acceptors(self) -> Vec<Member> {
        self.acceptors
    }

    /// Whether the acceptor in this position is still this one.
    pub fn keeps(&self, position: usize, acceptor: &Member) -> bool {
        self.acceptors.get(position) == Some(acceptor)
    }

    /// What is observed of an acceptor, if anything.
    pub fn observation(&self, acceptor: &Member) -> Option<&'a Observation> {
        self.observations
            .iter()
            .find(|o| o.member.is_same_process(acceptor))
    }

    /// Another identity is alive at the acceptor's address: its machine has lost its disk.
    pub fn newcomer_at(&self, acceptor: &Member) -> Option<&'a Observation> {
        self.observations.iter().find(|o| {
            o.alive && !o.retiring && o.member.addr == acceptor.addr && o.member.id != acceptor.id
        })
    }

    /// The zone of an acceptor; none if its machine is not known.
    fn zone(&self, acceptor: &Member) -> Option<u64> {
        self.observation(acceptor)
            .or_else(|| {
                self.observations
                    .iter()
                    .find(|o| o.member.addr == acceptor.addr)
            })
            .map(|o| o.zone)
    }

    /// The zones of the acceptors, without the one in this position. An acceptor of which nothing
    /// is known counts as in no zone.
    fn zones(&self, without: Option<usize>) -> Vec<u64> {
        let others = self
            .acceptors
            .iter()
            .enumerate()
            .filter(|(position, _)| Some(*position) != without);
        others
            .filter_map(|(_, acceptor)| self.zone(acceptor))
            .collect()
    }

    /// A machine that may become an acceptor: of the zone that the fewest other acceptors are in,
    /// then one that is in the chain, then in the order in which they were given.
    pub fn spare(&self, leaving: Option<usize>) -> Option<&'a Observation> {
        let zones = self.zones(leaving);
        let acceptors_in = |zone: u64| zones.iter().filter(|z| **z == zone).count();
        let is_acceptor = |o: &Observation| {
            self.acceptors
                .iter()
                .any(|acceptor| acceptor.addr == o.member.addr)
        };
        let view = &self.current.view;
        self.observations
            .iter()
            .filter(|o| is_available(o) && !is_acceptor(o))
            .min_by_key(|o| (acceptors_in(o.zone), view.position(&o.member).is_none()))
    }

    /// Replaces acceptors of the fullest zones by spares of emptier ones, until the loss of so many
    /// zones leaves a majority.
    pub fn spread_over_zones(&mut self, zone_failures: usize) {
        for _ in 0..self.acceptors.len() {
            let zones = self.zones(None);
            if members_in_fullest_zones(&zones, zone_failures) * 2 < self.acceptors.len() {
                return;
            }
            let acceptors_in = |zone: u64| zones.iter().filter(|z| **z == zone).count();
            let fullness = |position: &usize| {
                let zone = self
                    .acceptors
                    .get(*position)
                    .and_then(|acceptor| self.zone(acceptor));
                zone.map_or(0, acceptors_in)
            };
            // Of equals the last, and rather one that is new anyway.
            let is_new = |position: &usize| self.established.get(*position) == Some(&false);
            let by_fullness = |position: &usize| (fullness(position), is_new(position), *position);
            let Some(position) = (0..self.acceptors.len()).max_by_key(by_fullness) else {
                return;
            };
            let is_emptier =
                |spare: &&Observation| acceptors_in(spare.zone) + 1 < fullness(&position);
            let Some(spare) = self.spare(Some(position)).filter(is_emptier) else {
                return;
            };
            if !self.replace(position, spare) {
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

    /// Replaces an acceptor if the established ones remain a majority; whether it did.
    pub fn replace(&mut self, position: usize, spare: &Observation) -> bool {
        let others = self
            .established
            .iter()
            .enumerate()
            .filter(|(at, is)| *at != position && **is);
        if others.count() * 2 <= self.acceptors.len() {
            return false;
        }
        let member = self.as_acceptor(spare);
        if let (Some(acceptor), Some(established)) = (
            self.acceptors.get_mut(position),
            self.established.get_mut(position),
        ) {
            *acceptor = member;
            *established = false;
        }
        true
    }

    /// Adds spares up to `wanted` acceptors, to an odd number in the end, as long as the
    /// established ones remain a majority.
    pub fn grow(&mut self, wanted: usize) {
        let established = self.established.iter().filter(|is| **is).count();
        loop {
            let missing = if self.acceptors.len().is_multiple_of(2) {
                1
            } else {
                2
            };
            let grown = self.acceptors.len() + missing;
            // A lone initial member can't be a majority of three; with two more it is better off
            // all the same.
            let is_alone = self.acceptors.len() == 1 && established == 1;
            if grown > wanted.max(self.acceptors.len() | 1)
                || (established * 2 <= grown && !is_alone)
            {
                return;
            }
            let before = (self.acceptors.clone(), self.established.clone());
            for _ in 0..missing {
                let Some(spare) = self.spare(None) else {
                    (self.acceptors, self.established) = before;
                    return;
                };
                self.acceptors.push(self.as_acceptor(spare));
                self.established.push(false);
            }
        }
    }
}
