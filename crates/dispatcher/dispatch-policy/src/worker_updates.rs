//! Updates of the list of workers, and when discovery is called.

use super::{
    unit, Action, BTreeSet, DiscoveryFailure, Dispatcher, ListUpdateKind, Reverse, Timer,
    WatchPacer, WorkerEntry, WorkerId, WorkerStatus,
};

impl Dispatcher {
    pub(crate) fn on_workers_updated(
        &mut self,
        kind: ListUpdateKind,
        entries: &[WorkerEntry],
        out: &mut Vec<Action>,
    ) {
        self.clock.rescan_at = 0;
        self.clock
            .watch_pacer
            .iter_mut()
            .for_each(WatchPacer::answered);
        self.clock.last_watch_at = self.now;
        let listed: BTreeSet<WorkerId> = entries.iter().map(|e| e.worker).collect();
        let kept = |id: &WorkerId| kind == ListUpdateKind::Incremental || listed.contains(id);
        let left = self.workers.iter_mut().filter(|(id, _)| !kept(id));
        left.for_each(|(_, w)| w.listing.status = WorkerStatus::Removed);
        for entry in entries {
            let worker = self.workers.entry(entry.worker).or_default();
            let started = entry
                .started
                .map(|t| t.min(self.now))
                .max(worker.listing.started);
            if started > worker.listing.started {
                (
                    worker.backoff,
                    worker.responsiveness,
                    worker.peer_slots,
                    worker.reported_at,
                ) = Default::default();
                // All dispatchers learn of it about now: each begins to send at a time of its own.
                worker.warm_up = (self.now, unit(&mut self.rng), None);
                self.fleet.reach.record_success(entry.zone);
            }
            worker.listing = WorkerEntry {
                started,
                ..entry.clone()
            };
        }
        self.fleet.ready = self
            .workers
            .iter()
            .filter(|(_, w)| w.ready())
            .map(|(id, _)| *id)
            .collect();
        self.record_listed_weights(kind, entries);
        let zone = |id: &&WorkerId| self.workers[id].listing.zone == self.settings.zone;
        self.fleet.same_zone = self.fleet.ready.iter().filter(zone).copied().collect();
        let shut: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.ready())
            .map(|(id, _)| *id)
            .collect();
        shut.into_iter()
            .for_each(|id| self.close_idle_connections(id, out));
        let stuck = self
            .queued
            .iter()
            .filter(|(queue_key, _)| self.all_workers_disabled(queue_key.class))
            .flat_map(|(_, q)| q);
        stuck
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| self.give_up(id, out));
    }

    /// Whether operators disabled all workers that run the class: none of them returns by itself.
    pub(crate) fn all_workers_disabled(&self, class: usize) -> bool {
        let kind = self.settings.classes[class].kind;
        let listed = self
            .workers
            .values()
            .filter(|w| w.listing.status != WorkerStatus::Removed);
        let mut runs = listed
            .filter(|w| kind.is_none_or(|k| k == w.listing.kind))
            .peekable();
        runs.peek().is_some() && runs.all(|w| w.listing.status == WorkerStatus::Disabled)
    }

    /// Closes idle connections to a worker that drains or is gone, on the update and after each outcome.
    pub(crate) fn close_idle_connections(&mut self, worker: WorkerId, out: &mut Vec<Action>) {
        let Some(w) = self.workers.get_mut(&worker).filter(|w| !w.ready()) else {
            return;
        };
        if w.last_used_at.is_some() && self.settings.rules.close_on_drain.is_some() {
            w.last_used_at = w.last_used_at.filter(|_| !w.in_flight.is_empty());
            out.push(Action::CloseIdleConnections { worker });
        }
    }

    /// Schedules the next call to discovery after a failed one, paced so that a fleet does not overload it.
    pub(crate) fn schedule_watch(&mut self, lost: DiscoveryFailure) {
        let took = self.now - self.clock.last_watch_at;
        let Some(ask) = self.clock.watch_pacer.as_mut() else {
            return;
        };
        let pause = ask.next_delay(lost, took, unit(&mut self.rng), unit(&mut self.rng));
        self.clock
            .timers
            .push(Reverse((self.now + pause, Timer::Watch)));
    }
}
