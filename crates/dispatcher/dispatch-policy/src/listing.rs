//! What discovery tells of workers, and when it is asked.

use super::{
    unit, Action, BTreeSet, DiscoveryFailure, Dispatcher, ListUpdateKind, Reverse, Timer,
    WatchPacer, WorkerEntry, WorkerId, WorkerStatus,
};

impl Dispatcher {
    pub(crate) fn on_listed(
        &mut self,
        kind: ListUpdateKind,
        entries: &[WorkerEntry],
        out: &mut Vec<Action>,
    ) {
        self.clock.rescan_at = 0;
        self.clock.ask.iter_mut().for_each(WatchPacer::answered);
        self.clock.asked = self.now;
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
                (worker.backoff, worker.quiet, worker.others, worker.reported) = Default::default();
                // All dispatchers hear of it about now: each comes in at a time of its own.
                worker.cold = (self.now, unit(&mut self.rng), None);
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
        self.heed_weights(kind, entries);
        let zone = |id: &&WorkerId| self.workers[id].listing.zone == self.settings.zone;
        self.fleet.near = self.fleet.ready.iter().filter(zone).copied().collect();
        let shut: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.ready())
            .map(|(id, _)| *id)
            .collect();
        shut.into_iter().for_each(|id| self.hang_up(id, out));
        let stuck = self
            .held
            .iter()
            .filter(|(lane, _)| self.left_out(lane.class))
            .flat_map(|(_, q)| q);
        stuck
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| self.finish(id, out));
    }

    /// Operators have left out all that run the class: none of them comes back by itself.
    pub(crate) fn left_out(&self, class: usize) -> bool {
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

    /// Connections to a worker that drains or is gone are given back, on the notice and after each outcome.
    pub(crate) fn hang_up(&mut self, worker: WorkerId, out: &mut Vec<Action>) {
        let Some(w) = self.workers.get_mut(&worker).filter(|w| !w.ready()) else {
            return;
        };
        if w.used.is_some() && self.settings.rules.close_on_drain.is_some() {
            w.used = w.used.filter(|_| !w.outstanding.is_empty());
            out.push(Action::CloseIdleConnections { worker });
        }
    }

    /// Asks discovery after a pause: none is in another's way there.
    pub(crate) fn ask(&mut self, lost: DiscoveryFailure) {
        let took = self.now - self.clock.asked;
        let Some(ask) = self.clock.ask.as_mut() else {
            return;
        };
        let pause = ask.next_delay(lost, took, unit(&mut self.rng), unit(&mut self.rng));
        self.clock
            .timers
            .push(Reverse((self.now + pause, Timer::Rewatch)));
    }
}
