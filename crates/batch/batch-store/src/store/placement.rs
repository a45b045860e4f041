//! New placement maps: partitions that come and go, and heads that change.

use super::{Effect, Store};
use crate::partition::{Context, Partition};
use crate::responder::Responder;
use batch::wire::{PlacementMap, MAX_PARTITIONS};
use chain_replication::{Millis, RecoveredLog, View};
use slog::info;

impl<R: Responder> Store<R> {
    /// Applies the newest placement map of the stores, as the controllers spread it. One that is
    /// not newer than the last is ignored.
    pub fn apply_map(&mut self, now: Millis, map: PlacementMap) {
        if self
            .map
            .as_ref()
            .is_some_and(|old| old.number >= map.number)
        {
            return;
        }
        let is_head = |view: &&View| {
            let head = view.members.first();
            head.is_some_and(|member| member.addr == self.config.addr)
        };
        let head_of = map.partitions.iter().filter(is_head).count();
        info!(self.log, "placement map applied"; "number" => map.number,
            "stores" => map.stores.len(), "head_of" => head_of);
        let context = Context {
            placement: map.placement,
            partitions: map.partitions.len(),
            ..self.context(now)
        };
        let len = map
            .partitions
            .len()
            .min(MAX_PARTITIONS)
            .max(self.partitions.len());
        self.partitions.resize_with(len, || None);
        for (number, view) in (0u16..).zip(map.partitions.iter()) {
            if !self.apply_view(context, number, view) {
                break;
            }
        }
        let before = self.map.replace(map);
        self.retry_after_head_changes(before.as_ref());
        for number in 0..self.partitions.len() {
            self.collect_effects(context, number);
        }
        self.serve_fetches(context);
    }

    /// The view of one partition; false if there is no such partition.
    fn apply_view(&mut self, context: Context, number: u16, view: &View) -> bool {
        let Some(slot) = self.partitions.get_mut(usize::from(number)) else {
            return false;
        };
        let mut members = view.members.iter().chain(&view.joining);
        if members.any(|member| member.is_same_process(&self.shared.me)) {
            let partition = slot.get_or_insert_with(|| {
                Partition::new(number, self.shared.clone(), RecoveredLog::default())
            });
            partition.install_view(context, view.clone());
        } else if let Some(mut partition) = slot.take() {
            // Whatever it still has is of no more use, and must not mix with what may come later.
            info!(self.log, "partition left"; "partition" => number, "view" => view.number);
            partition.close();
            self.unsynced.forget(number);
            self.effects.push(Effect::Discard { partition: number });
        }
        true
    }

    /// A map with other heads is applied: what was requested of the heads before them is requested
    /// again.
    fn retry_after_head_changes(&mut self, before: Option<&PlacementMap>) {
        let (Some(before), Some(map)) = (before, self.map.as_ref()) else {
            return;
        };
        let partitions = (0u16..).take(map.partitions.len());
        let changed: Vec<u16> = partitions
            .filter(|number| {
                let number = usize::from(*number);
                before.head(number) != map.head(number)
            })
            .collect();
        for partition in self.partitions.iter_mut().flatten() {
            partition.heads_changed(&changed);
        }
    }
}
