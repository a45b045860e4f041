//! Emptying a store, so that its machine can be taken away.

use super::load::Loads;
use super::observe::{status_of, Partition};
use super::{ChainLengths, RetireError, StorePlanner};
use batch::wire::{PlacementMap, StoreInfo, StoreState};
use chain_replication::{Member, Millis, View};

impl StorePlanner {
    /// The map in which this machine is to be emptied; none if it is already, or has been.
    ///
    /// # Errors
    /// There is no such machine, or too few would remain without it.
    pub fn retire(
        &self,
        now: Millis,
        map: &PlacementMap,
        node: &str,
        lengths: ChainLengths,
    ) -> Result<Option<PlacementMap>, RetireError> {
        let mut next = map.clone();
        self.list_stores(&mut next);
        let is_it = |store: &StoreInfo| store.node == node;
        let at = next
            .stores
            .iter()
            .position(is_it)
            .ok_or(RetireError::UnknownStore)?;
        let others = next
            .stores
            .iter()
            .enumerate()
            .filter(|(n, _)| *n != at)
            .map(|(_, s)| s);
        let remaining = others
            .filter(|s| s.state == StoreState::Up && self.takes_writes(now, s))
            .count();
        let Some(store) = next.stores.get_mut(at) else {
            return Err(RetireError::UnknownStore);
        };
        if store.state != StoreState::Up {
            return Ok(None);
        }
        if remaining < lengths.minimum {
            return Err(RetireError::TooFewRemaining);
        }
        store.state = StoreState::Retiring;
        next.number += 1;
        Ok(Some(next))
    }

    /// Releases the machines on which nothing depends any more.
    pub(super) fn finish_retirements(
        &self,
        now: Millis,
        next: &mut PlacementMap,
        current: &PlacementMap,
        lengths: ChainLengths,
        loads: &Loads,
    ) {
        for at in 0..next.stores.len() {
            let Some(store) = next.stores.get(at) else {
                break;
            };
            let is_done = store.state == StoreState::Retiring
                && self.is_emptied(
                    now,
                    Plan {
                        current,
                        next,
                        loads,
                    },
                    store,
                    lengths,
                );
            if let Some(store) = next.stores.get_mut(at).filter(|_| is_done) {
                store.state = StoreState::Retired;
            }
        }
    }

    /// Whether nothing depends on this store any more: it is in no chain of the map in place, and
    /// each chain is complete on the disks of its members, by their status in that very view.
    fn is_emptied(
        &self,
        now: Millis,
        plan: Plan<'_>,
        store: &StoreInfo,
        lengths: ChainLengths,
    ) -> bool {
        let Plan {
            current,
            next,
            loads,
        } = plan;
        let is_it = |m: &Member| m.addr == store.addr;
        let is_in_sync = |index: usize, view: &View, m: &Member| {
            let status = self
                .get(m.addr, m.id)
                .and_then(|s| status_of(&s.heartbeat, index));
            status.is_some_and(|s| s.view == view.number && s.in_sync_view == view.number)
        };
        let full_length = |index: usize, view: &View| {
            let usable = self.count_usable(
                now,
                Partition {
                    index,
                    view,
                    map: current,
                    loads,
                },
            );
            lengths.target.min(usable).max(lengths.minimum)
        };
        current.partitions.iter().enumerate().all(|(index, view)| {
            !view.members.iter().chain(&view.joining).any(is_it)
                && view.joining.is_empty()
                && next.partitions.get(index) == Some(view)
                && view.members.len() >= full_length(index, view)
                && view.members.iter().all(|m| is_in_sync(index, view, m))
        })
    }
}

/// A map that is being planned, and the one in place.
#[derive(Clone, Copy)]
struct Plan<'a> {
    current: &'a PlacementMap,
    next: &'a PlacementMap,
    loads: &'a Loads,
}
