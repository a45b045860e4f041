//! The snapshot that one process of a dispatcher hands to the next at a hot restart. Nothing is decided here.

use super::Dispatcher;
use discovery_pacing::KindCapacity;
use dispatch_api::{ClassSnapshot, Micros, PolicySnapshot, WorkerSnapshot};

/// How long the state of single workers is valid, in microseconds; kinds and classes change slowly.
const WORKER_SNAPSHOT_VALIDITY: Micros = 10_000_000;
/// The largest plausible figure.
const MAX_PLAUSIBLE: f64 = 1.0e12;

fn sane(value: f64) -> bool {
    (0.0..=MAX_PLAUSIBLE).contains(&value)
}

impl Dispatcher {
    /// The state that a successor can use.
    pub fn snapshot(&self) -> PolicySnapshot {
        let worker = |w: &super::Worker| WorkerSnapshot {
            name_hash: w.listing.name_hash,
            started: w.listing.started,
            interval: (w.backoff.interval, w.backoff.open_at),
            runs: (w.expected, w.actual),
            // The successor's jobs are others than these, which count as peers' for it.
            held: (
                w.peer_slots + w.own_slots(),
                w.reported_at.or((w.own_slots() > 0.0).then_some(self.now)),
            ),
            cold: (w.warm_up.0, w.warm_up.2),
        };
        let class = |t: &super::ClassStatistics| ClassSnapshot {
            run: (t.run, t.runs),
            arrivals: t.arrivals,
            ended: (t.asked, t.in_time),
        };
        PolicySnapshot {
            at: self.now,
            kinds: self
                .kinds
                .iter()
                .map(|(kind, known)| (*kind, known.snapshot()))
                .collect(),
            classes: self.classes.iter().map(class).collect(),
            price: (self.fleet.price, self.fleet.best_value),
            workers: self
                .fleet
                .ready
                .iter()
                .filter_map(|id| self.workers.get(id))
                .map(worker)
                .collect(),
        }
    }

    /// Restores a predecessor's state for the workers that are listed by now. Implausible figures are ignored.
    pub fn restore(&mut self, now: Micros, known: &PolicySnapshot) {
        for (kind, figures) in &known.kinds {
            if let Some(recalled) = KindCapacity::from_snapshot(*figures) {
                self.kinds.insert(*kind, recalled);
            }
        }
        if known.classes.len() == self.classes.len() {
            for (statistics, class) in self.classes.iter_mut().zip(&known.classes) {
                let figures = [
                    class.run.0,
                    class.run.1,
                    class.arrivals,
                    class.ended.0,
                    class.ended.1,
                ];
                if figures.into_iter().all(sane) && class.run.0 >= 1.0 && class.run.1 >= 1.0 {
                    (statistics.run, statistics.runs) = class.run;
                    (statistics.arrivals, statistics.asked, statistics.in_time) =
                        (class.arrivals, class.ended.0, class.ended.1);
                }
            }
            if sane(known.price.0) && known.price.0 <= 1.0 && sane(known.price.1) {
                (self.fleet.price, self.fleet.best_value) = known.price;
            }
        }
        if now > known.at.saturating_add(WORKER_SNAPSHOT_VALIDITY) {
            return;
        }
        for worker in &known.workers {
            let same = |w: &&mut super::Worker| {
                w.listing.name_hash == worker.name_hash && w.listing.started == worker.started
            };
            let Some(w) = self.workers.values_mut().find(same) else {
                continue;
            };
            if sane(worker.interval.0) {
                (w.backoff.interval, w.backoff.open_at) = worker.interval;
            }
            if sane(worker.runs.0) && sane(worker.runs.1) {
                (w.expected, w.actual) = worker.runs;
            }
            if sane(worker.held.0) {
                (w.peer_slots, w.reported_at) =
                    (worker.held.0, worker.held.1.map(|at| at.min(now)));
            }
            w.warm_up = (
                worker.cold.0.min(now),
                1.0,
                worker.cold.1.filter(|work| sane(*work)),
            );
        }
    }
}
