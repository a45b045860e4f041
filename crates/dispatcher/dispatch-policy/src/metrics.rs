//! Estimates of capacity and load, and the metrics made of them. Nothing is decided here.

use super::responsiveness::UNRESPONSIVE_INTERVALS;
use super::{Dispatcher, QueueKey, Worker, MAX_RELATIVE_RUN, REPORT_HALF_LIFE, SAMPLE_SIZE};
use discovery_pacing::{FleetLoad, KindCapacity};
use dispatch_api::{
    JobId, KindMetrics, ListUpdateKind, Micros, PolicyMetrics, WorkerEntry, WorkerId,
};
use std::collections::{BTreeMap, VecDeque};

impl Dispatcher {
    /// How long a response may be due before a worker counts as unresponsive.
    pub(super) fn response_timeout(&self) -> Micros {
        let (times, each) = match self.settings.progress_every {
            Some(every) => (UNRESPONSIVE_INTERVALS, every as f64),
            None => (MAX_RELATIVE_RUN, self.mean_run()),
        };
        super::span(times * each) + self.clock.grace
    }

    /// The capacity learned for workers of its kind.
    pub(super) fn kind(&self, w: &Worker) -> KindCapacity {
        self.kinds.get(&w.listing.kind).copied().unwrap_or_default()
    }

    /// How long a job runs on average, by the classes that arrive, in microseconds.
    pub(super) fn mean_run(&self) -> f64 {
        let arrivals: f64 = self.classes.iter().map(|t| t.arrivals + 1.0).sum();
        self.classes
            .iter()
            .map(|t| t.run * (t.arrivals + 1.0))
            .sum::<f64>()
            / arrivals
    }

    /// Weight of a load report, 0 to 1, by when it arrived.
    pub(super) fn report_weight(&self) -> impl Fn(Micros) -> f64 {
        let (now, ageing) = (self.now, REPORT_HALF_LIFE * self.mean_run());
        move |at| ageing / (ageing + now.saturating_sub(at) as f64)
    }

    /// Slots that other dispatchers occupy at a worker that reports nothing: by reports of its peers, and as many as own jobs do.
    pub(super) fn mean_peer_slots(&self) -> f64 {
        let (fade, count) = (
            self.report_weight()(self.fleet.peer_load.2),
            self.fleet.ready.len().max(1) as f64,
        );
        let even = self.fleet.own_slots / count * f64::from(self.settings.dispatchers - 1);
        (self.fleet.peer_load.0 * fade + even) / (self.fleet.peer_load.1 * fade + 1.0)
    }

    /// Whether the list tells the loads of more workers than this dispatcher could probe.
    pub(super) fn has_listed_loads(&self) -> bool {
        self.settings.live_weights && self.fleet.ready.len() > SAMPLE_SIZE
    }

    /// Records the loads that a list's live weights show.
    pub(super) fn record_listed_weights(&mut self, list: ListUpdateKind, entries: &[WorkerEntry]) {
        if !self.has_listed_loads() {
            self.fleet.listed_load = FleetLoad::default();
            return;
        }
        for (entry, weight) in entries.iter().filter_map(|e| Some((e, e.weight?))) {
            let held = self
                .kinds
                .entry(entry.kind)
                .or_default()
                .record_weight(weight);
            let told = held.filter(|_| list != ListUpdateKind::Inherited);
            if let (Some(w), Some(held)) = (self.workers.get_mut(&entry.worker), told) {
                (w.peer_slots, w.reported_at) = ((held - w.own_slots()).max(0.0), Some(self.now));
            }
        }
        let load = |id: &WorkerId| {
            let w = self.workers.get(id)?;
            let (reach, bound) = (
                self.fleet.reach.trust(w.listing.zone),
                self.settings.has_dedicated_class(w.listing.kind),
            );
            let stands = self.kind(w).slots() * self.warm_share(w);
            Some((
                *id,
                bound,
                (w.peer_slots + w.own_slots()) * reach,
                stands * reach,
            ))
        };
        let all: Vec<(WorkerId, bool, f64, f64)> =
            self.fleet.ready.iter().filter_map(load).collect();
        let sum = |bound: bool| {
            let alike = all.iter().filter(|l| l.1 == bound);
            alike.fold((0.0, 0.0), |(held, stands), l| (held + l.2, stands + l.3))
        };
        let (bound, loose) = (sum(true), sum(false));
        let (held, slots) = (bound.0 + loose.0, bound.1 + loose.1);
        self.fleet.listed_load = FleetLoad {
            held,
            slots,
            loose: loose.1,
            at: self.now,
        };
        // Workers with a dedicated class are kept freer than the rest: each is compared with its like.
        for (id, is_bound, held, stands) in all
            .into_iter()
            .filter(|_| list != ListUpdateKind::Inherited)
        {
            let alike = if is_bound { bound } else { loose };
            self.workers
                .entry(id)
                .or_default()
                .load_share
                .update(held / stands, alike.0 / alike.1);
        }
    }

    /// The share of its capacity that a worker has while it warms up (slow start), 0 to 1.
    pub(super) fn warm_share(&self, w: &Worker) -> f64 {
        let Some(started) = w.listing.started else {
            return 1.0;
        };
        let (rules, age) = (&self.settings.rules, self.now.saturating_sub(started));
        let warm = (age as f64 / rules.warm_up.max(1) as f64).min(1.0);
        (rules.start_capacity + (1.0 - rules.start_capacity) * warm).clamp(warm, 1.0)
    }

    /// Processes that may send to a worker: during a hot restart, this dispatcher has two.
    pub(super) fn sender_count(&self) -> f64 {
        f64::from(self.settings.dispatchers) * f64::from(self.fleet.processes.max(1))
    }

    /// Sets how many processes of this dispatcher run, this one included. They share what it may send to workers in warm-up.
    pub fn set_process_count(&mut self, processes: u32) {
        self.fleet.processes = processes;
    }

    /// Work in these queues, in slots times microseconds.
    pub(super) fn work<'a>(
        &self,
        held: impl Iterator<Item = (&'a QueueKey, &'a VecDeque<JobId>)>,
    ) -> f64 {
        held.map(|(l, q)| f64::from(l.slots) * q.len() as f64 * self.classes[l.class].run)
            .sum()
    }

    /// How long the work in these queues takes at the rate at which own jobs run, in microseconds.
    pub(super) fn wait<'a>(
        &self,
        held: impl Iterator<Item = (&'a QueueKey, &'a VecDeque<JobId>)>,
    ) -> f64 {
        self.work(held)
            / self
                .fleet
                .own_slots
                .max(self.fleet.ready.len() as f64)
                .max(1.0)
    }

    /// Ready workers that are ejected for now: their back-off interval runs, or a response is overdue.
    fn ejected(&self) -> usize {
        let ready = self
            .fleet
            .ready
            .iter()
            .filter_map(|id| self.workers.get(id));
        ready
            .filter(|w| !w.open(self.now, self.clock.grace))
            .count()
    }

    /// Estimates and counts, for monitoring.
    pub fn metrics(&self) -> PolicyMetrics {
        let response_timeout = self.response_timeout();
        let mut kinds: BTreeMap<u32, KindMetrics> = BTreeMap::new();
        for w in self
            .fleet
            .ready
            .iter()
            .filter_map(|id| self.workers.get(id))
        {
            let (kind, slots) = (w.listing.kind, self.kind(w).slots());
            let at = kinds.entry(kind).or_insert(KindMetrics {
                kind,
                slots,
                responsive: 0.0,
                unresponsive: 0.0,
            });
            match w.is_unresponsive(self.now, response_timeout) {
                true => at.unresponsive += 1.0,
                false => at.responsive += self.warm_share(w),
            }
        }
        let held = self.work(self.queued.iter());
        let ((sent, refused), own) = (self.fleet.sent, self.fleet.own_slots);
        let classes = self.classes.iter().map(|t| t.counts).collect();
        PolicyMetrics {
            kinds: kinds.into_values().collect(),
            classes,
            held,
            own,
            open: self.jobs.len(),
            sent,
            refused,
            ejected: self.ejected(),
        }
    }
}
