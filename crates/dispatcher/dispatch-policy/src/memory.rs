//! What passes from one process of a dispatcher to the next. Nothing is decided here.

use super::Dispatcher;
use discovery_pacing::KindCapacity;
use dispatch_api::{ClassSnapshot, Micros, PolicySnapshot, WorkerSnapshot};

/// What is known of single workers is believed for so long; kinds and classes change slowly.
const WORKERS_AGE: Micros = 10_000_000;
/// No figure that makes sense is larger.
const LARGEST: f64 = 1.0e12;

fn sane(value: f64) -> bool {
    (0.0..=LARGEST).contains(&value)
}

impl Dispatcher {
    /// What a successor can use.
    pub fn known(&self) -> PolicySnapshot {
        let worker = |w: &super::Worker| WorkerSnapshot {
            name_hash: w.listing.name_hash,
            started: w.listing.started,
            interval: (w.backoff.interval, w.backoff.open_at),
            runs: (w.expected, w.actual),
            // The successor's jobs are others than these.
            held: (
                w.others + w.own(),
                w.reported.or((w.own() > 0.0).then_some(self.now)),
            ),
            cold: (w.cold.0, w.cold.2),
        };
        let class = |t: &super::Tally| ClassSnapshot {
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
            price: (self.fleet.price, self.fleet.best),
            workers: self
                .fleet
                .ready
                .iter()
                .filter_map(|id| self.workers.get(id))
                .map(worker)
                .collect(),
        }
    }

    /// Takes over what a predecessor knew of what is listed by now. What makes no sense is passed over.
    pub fn recall(&mut self, now: Micros, known: &PolicySnapshot) {
        for (kind, figures) in &known.kinds {
            if let Some(recalled) = KindCapacity::from_snapshot(*figures) {
                self.kinds.insert(*kind, recalled);
            }
        }
        if known.classes.len() == self.classes.len() {
            for (tally, class) in self.classes.iter_mut().zip(&known.classes) {
                let figures = [
                    class.run.0,
                    class.run.1,
                    class.arrivals,
                    class.ended.0,
                    class.ended.1,
                ];
                if figures.into_iter().all(sane) && class.run.0 >= 1.0 && class.run.1 >= 1.0 {
                    (tally.run, tally.runs) = class.run;
                    (tally.arrivals, tally.asked, tally.in_time) =
                        (class.arrivals, class.ended.0, class.ended.1);
                }
            }
            if sane(known.price.0) && known.price.0 <= 1.0 && sane(known.price.1) {
                (self.fleet.price, self.fleet.best) = known.price;
            }
        }
        if now > known.at.saturating_add(WORKERS_AGE) {
            return;
        }
        for told in &known.workers {
            let same = |w: &&mut super::Worker| {
                w.listing.name_hash == told.name_hash && w.listing.started == told.started
            };
            let Some(w) = self.workers.values_mut().find(same) else {
                continue;
            };
            if sane(told.interval.0) {
                (w.backoff.interval, w.backoff.open_at) = told.interval;
            }
            if sane(told.runs.0) && sane(told.runs.1) {
                (w.expected, w.actual) = told.runs;
            }
            if sane(told.held.0) {
                (w.others, w.reported) = (told.held.0, told.held.1.map(|at| at.min(now)));
            }
            w.cold = (
                told.cold.0.min(now),
                1.0,
                told.cold.1.filter(|work| sane(*work)),
            );
        }
    }
}
