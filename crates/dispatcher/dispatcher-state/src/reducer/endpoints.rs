//! The endpoint list, and overrides of it by operators and by maintenance plans.

use super::Turn;
use crate::{Endpoint, TargetOverride};
use dispatch_api::{Event, ListUpdateKind, WorkerEntry};
use tracing::info;

impl Turn<'_> {
    pub(super) fn endpoints_updated(
        &mut self,
        kind: ListUpdateKind,
        version: Option<u64>,
        entries: Vec<Endpoint>,
    ) {
        let update = self.state.targets.update(kind, version, entries);
        for target in update.unusable {
            self.close_idle(target);
        }
        let entries = update.entries;
        self.events
            .push_back(Event::WorkersUpdated { kind, entries });
    }

    /// The policy is told of a disabled target as of one that drains.
    pub(super) fn overrides_changed(&mut self, overrides: Vec<(String, TargetOverride)>) {
        for (target, over) in overrides {
            let Some(update) = self.state.targets.set_override(&target, over) else {
                continue;
            };
            info!(target, out = over.disabled, "target override changed");
            if let Some(worker) = update.disabled {
                self.close_idle(worker);
            }
            self.tell_policy(update.entry.into_iter().collect());
        }
    }

    /// As an override, but by the maintenance plan.
    pub(super) fn set_out_of_service(&mut self, name_hash: u32, out: bool) {
        let targets = &mut self.state.targets;
        let entry = match out {
            true => targets.take_out_by_plan(name_hash, self.now),
            false => targets.return_by_plan(name_hash, self.now),
        };
        let Some(entry) = entry else { return };
        if out {
            self.close_idle(entry.worker);
        }
        self.tell_policy(vec![entry]);
        self.deliver_events();
    }

    fn tell_policy(&mut self, entries: Vec<WorkerEntry>) {
        let kind = ListUpdateKind::Incremental;
        self.events
            .push_back(Event::WorkersUpdated { kind, entries });
    }
}
