//! What is believed and counted, for those who watch over the service. Nothing is decided here.

use super::{Dispatcher, Lane, Worker, AGEING, RUN_CAP, SAMPLE};
use discovery_pacing::{FleetLoad, KindCapacity};
use dispatch_api::{
    JobId, KindMetrics, ListUpdateKind, Micros, Outcome, PolicyMetrics, WorkerEntry, WorkerId,
};
use std::collections::{BTreeMap, VecDeque};

/// Progress notes missed in a row, or capped runs where there are none, after which a worker is silent.
const SILENT: f64 = 1.5;
/// Connections in a row that failed, or probes without an answer: such a worker is silent, too.
const UNREACHED: u32 = 2;

/// What a worker owes a word on.
#[derive(Debug, Default)]
pub(super) struct Quiet {
    /// Since when it owes one on some job; any word on any job will do.
    pub since: Option<Micros>,
    /// Connections to it, or probes, that failed in a row.
    unreached: u32,
}

impl Worker {
    /// It takes work and says nothing, or can't be reached, though its list calls it ready.
    fn silent(&self, now: Micros, patience: Micros) -> bool {
        self.quiet.unreached >= UNREACHED || self.quiet.since.is_some_and(|t| now > t + patience)
    }

    /// It has said something; jobs that are out there still may be due another word.
    pub(super) fn heard(&mut self, now: Micros) {
        let since = (!self.outstanding.is_empty()).then_some(now);
        self.quiet = Quiet {
            since,
            unreached: 0,
        };
    }

    /// An attempt there is over. One that was called off, or that nobody waited for any longer, is no word: a
    /// worker that was silent with it stays so, and one that had not been asked for long owes nothing more.
    pub(super) fn heed(&mut self, outcome: Outcome, now: Micros, patience: Micros) {
        match outcome {
            Outcome::Done | Outcome::Error | Outcome::Rejected => return self.heard(now),
            Outcome::ConnectFailed => self.quiet.unreached += 1,
            _ => {}
        }
        if self.outstanding.is_empty() && !self.silent(now, patience) {
            self.quiet.since = None;
        }
    }

    /// A probe is over.
    pub(super) fn heed_probe(&mut self, outcome: Outcome, now: Micros) {
        match outcome {
            Outcome::Done | Outcome::Error | Outcome::Rejected => self.heard(now),
            Outcome::ConnectFailed | Outcome::TimedOut => self.quiet.unreached += 1,
            _ => {}
        }
    }
}

impl Dispatcher {
    /// How long a worker may owe a word before it counts as silent.
    pub(super) fn patience(&self) -> Micros {
        let (times, each) = match self.settings.progress_every {
            Some(every) => (SILENT, every as f64),
            None => (RUN_CAP, self.mean_run()),
        };
        super::span(times * each) + self.clock.grace
    }

    /// What is known of its kind.
    pub(super) fn kind(&self, w: &Worker) -> KindCapacity {
        self.kinds.get(&w.listing.kind).copied().unwrap_or_default()
    }

    /// How long a job runs, by the classes that come.
    pub(super) fn mean_run(&self) -> f64 {
        let arrivals: f64 = self.classes.iter().map(|t| t.arrivals + 1.0).sum();
        self.classes
            .iter()
            .map(|t| t.run * (t.arrivals + 1.0))
            .sum::<f64>()
            / arrivals
    }

    /// How far a report still counts, by when it came.
    pub(super) fn fading(&self) -> impl Fn(Micros) -> f64 {
        let (now, ageing) = (self.now, AGEING * self.mean_run());
        move |at| ageing / (ageing + now.saturating_sub(at) as f64)
    }

    /// What others hold at a worker that says nothing: by reports of its peers, and as much as own jobs hold.
    pub(super) fn mean_others(&self) -> f64 {
        let (fade, count) = (
            self.fading()(self.fleet.others.2),
            self.fleet.ready.len().max(1) as f64,
        );
        let even = self.fleet.own / count * f64::from(self.settings.dispatchers - 1);
        (self.fleet.others.0 * fade + even) / (self.fleet.others.1 * fade + 1.0)
    }

    /// The list tells the loads of more workers than this dispatcher could ask.
    pub(super) fn told_loads(&self) -> bool {
        self.settings.live_weights && self.fleet.ready.len() > SAMPLE
    }

    /// Takes in what a list's live weights say of the workers' loads.
    pub(super) fn heed_weights(&mut self, list: ListUpdateKind, entries: &[WorkerEntry]) {
        if !self.told_loads() {
            self.fleet.loads = FleetLoad::default();
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
                (w.others, w.reported) = ((held - w.own()).max(0.0), Some(self.now));
            }
        }
        let load = |id: &WorkerId| {
            let w = self.workers.get(id)?;
            let (reach, bound) = (
                self.fleet.reach.trust(w.listing.zone),
                self.settings.has_dedicated_class(w.listing.kind),
            );
            let stands = self.kind(w).slots() * self.warmth(w);
            Some((*id, bound, (w.others + w.own()) * reach, stands * reach))
        };
        let all: Vec<(WorkerId, bool, f64, f64)> =
            self.fleet.ready.iter().filter_map(load).collect();
        let sum = |bound: bool| {
            let alike = all.iter().filter(|l| l.1 == bound);
            alike.fold((0.0, 0.0), |(held, stands), l| (held + l.2, stands + l.3))
        };
        let (bound, loose) = (sum(true), sum(false));
        let (held, slots) = (bound.0 + loose.0, bound.1 + loose.1);
        self.fleet.loads = FleetLoad {
            held,
            slots,
            loose: loose.1,
            at: self.now,
        };
        // Those that a class is bound to are kept freer than the rest: each is held against its like.
        for (id, is_bound, held, stands) in all
            .into_iter()
            .filter(|_| list != ListUpdateKind::Inherited)
        {
            let alike = if is_bound { bound } else { loose };
            self.workers
                .entry(id)
                .or_default()
                .draw
                .update(held / stands, alike.0 / alike.1);
        }
    }

    /// The share of its capacity that a worker has for certain.
    pub(super) fn warmth(&self, w: &Worker) -> f64 {
        let Some(started) = w.listing.started else {
            return 1.0;
        };
        let (rules, age) = (&self.settings.rules, self.now.saturating_sub(started));
        let warm = (age as f64 / rules.warm_up.max(1) as f64).min(1.0);
        (rules.start_capacity + (1.0 - rules.start_capacity) * warm).clamp(warm, 1.0)
    }

    /// Processes that may send to a worker: while a new version takes over, this dispatcher has two.
    pub(super) fn senders(&self) -> f64 {
        f64::from(self.settings.dispatchers) * f64::from(self.fleet.processes.max(1))
    }

    /// So many processes of this dispatcher live, this one included. They share what it may send to cold workers.
    pub fn share_among(&mut self, processes: u32) {
        self.fleet.processes = processes;
    }

    /// Work that is held there, in slots times microseconds.
    pub(super) fn work<'a>(
        &self,
        held: impl Iterator<Item = (&'a Lane, &'a VecDeque<JobId>)>,
    ) -> f64 {
        held.map(|(l, q)| f64::from(l.slots) * q.len() as f64 * self.classes[l.class].run)
            .sum()
    }

    /// How long what is held there would take at the pace at which own jobs are taken.
    pub(super) fn wait<'a>(
        &self,
        held: impl Iterator<Item = (&'a Lane, &'a VecDeque<JobId>)>,
    ) -> f64 {
        self.work(held) / self.fleet.own.max(self.fleet.ready.len() as f64).max(1.0)
    }

    /// Ready workers that get nothing for now: their back-off runs, or they owe an answer for too long.
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

    /// What is believed and counted, for those who watch over the service.
    pub fn figures(&self) -> PolicyMetrics {
        let patience = self.patience();
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
            match w.silent(self.now, patience) {
                true => at.unresponsive += 1.0,
                false => at.responsive += self.warmth(w),
            }
        }
        let held = self.work(self.held.iter());
        let ((sent, refused), own) = (self.fleet.sent, self.fleet.own);
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
