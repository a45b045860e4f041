//! A keeper that is always there: plans the map of the stores by the chains' own rule.

use bytes::Bytes;
use chain::{next_view, Member, Seen, View};
use lots::wire::{Beat, Grant, Message, StoreInfo, StoreMap, StoreState, PARTITIONS};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const LEASE: u64 = 700;
const SILENT: u64 = 1_200;

#[derive(Default)]
pub struct Keeper {
    beats: BTreeMap<SocketAddr, (u64, Beat)>,
    retiring: Vec<SocketAddr>,
    pub map: Option<StoreMap>,
}

impl Keeper {
    /// A beat is answered with a lease, and with the map if the store has an older one.
    pub fn heard(&mut self, now: u64, beat: Beat) -> (Grant, Option<Bytes>) {
        let number = self.map.as_ref().map_or(0, |map| map.number);
        let grant = Grant { sent_ms: beat.sent_ms, lease_ms: LEASE, map: number };
        let map = self.map.as_ref().filter(|map| map.number > beat.map).map(Message::encode);
        self.beats.insert(beat.addr, (now, beat));
        (grant, map)
    }

    pub fn retire(&mut self, addr: SocketAddr) {
        if self.retiring.is_empty() {
            self.retiring.push(addr);
        }
    }

    /// Those of whom nothing is needed any more, by what the others say of their copies.
    pub fn retired(&mut self) -> Vec<SocketAddr> {
        let Some(map) = &self.map else { return Vec::new() };
        let beats = &self.beats;
        let (retired, retiring) = self.retiring.drain(..).partition(|addr| {
            map.partitions.iter().zip(0u16..).all(|(view, partition)| {
                let held = view.members.iter().chain(&view.joining).any(|m| m.addr == *addr);
                let whole = view.members.iter().all(|m| {
                    let said = beats.get(&m.addr).filter(|(_, beat)| beat.id == m.id);
                    let said =
                        said.and_then(|(_, beat)| beat.statuses.iter().find(|s| s.partition == partition));
                    said.is_some_and(|s| s.status.view == view.number && s.status.in_sync_view == view.number)
                });
                !held && whole && view.members.len() >= 2 && view.joining.is_empty()
            })
        });
        self.retiring = retiring;
        retired
    }

    pub fn plan(&mut self, now: u64) -> Option<StoreMap> {
        let Some(current) = self.map.clone() else {
            if now < 1_500 {
                return None;
            }
            return self.first();
        };
        let mut next = current.clone();
        for (partition, view) in next.partitions.iter_mut().enumerate() {
            let seen: Vec<Seen> =
                self.beats.values().map(|(at, beat)| self.seen(now, *at, beat, partition)).collect();
            if let Some(new) = next_view(view, &seen, 3, 2) {
                *view = new;
            }
        }
        if next == current {
            return None;
        }
        next.number += 1;
        self.map = Some(next.clone());
        Some(next)
    }

    fn seen(&self, now: u64, at: u64, beat: &Beat, partition: usize) -> Seen {
        let status = beat.statuses.iter().find(|s| usize::from(s.partition) == partition);
        Seen {
            member: Member { id: beat.id, addr: beat.addr, since: 0 },
            alive: now - at < SILENT,
            status: status.map(|s| s.status),
            zone: beat.zone.len() as u64 + beat.zone.bytes().map(u64::from).sum::<u64>(),
            leaving: beat.leaving,
            unwanted: self.retiring.contains(&beat.addr),
        }
    }

    fn first(&mut self) -> Option<StoreMap> {
        let stores: Vec<&Beat> = self.beats.values().map(|(_, beat)| beat).collect();
        let view = |partition: usize| {
            let members = (0..3.min(stores.len())).map(|n| {
                let store = stores[(partition + n) % stores.len()];
                Member { id: store.id, addr: store.addr, since: 1 }
            });
            View { number: 1, members: members.collect(), joining: Vec::new() }
        };
        let info = |beat: &&Beat| StoreInfo {
            node: beat.node.clone(),
            addr: beat.addr,
            id: beat.id,
            zone: beat.zone.clone(),
            state: StoreState::Up,
        };
        let map = StoreMap {
            number: 1,
            partitions: (0..PARTITIONS).map(view).collect(),
            stores: stores.iter().map(info).collect(),
        };
        self.map = Some(map.clone());
        Some(map)
    }
}
