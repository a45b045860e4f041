//! The dispatch policy: every decision of a dispatcher, a module for each subject. No I/O, no clock; random numbers come
//! from a seed, so the same events give the same actions. Events and actions are those of [`dispatch_api`].
//!
//! One [`AdaptiveBackoff`] per worker spaces the attempts sent to it. A job goes to a worker drawn at random among those with
//! free capacity, weighted by it; with none, the job is queued. Only `Dispatcher::send_attempt` sends and only
//! `Dispatcher::give_up` answers without a result, so the rules on repeats are checked in these two places.

mod admission;
mod backoff;
mod constants;
mod metrics;
mod outcomes;
mod placement;
mod probing;
mod queueing;
mod responsiveness;
mod retry_rules;
mod snapshot;
mod state;
mod warm_up;
mod worker_updates;

use constants::{
    BACKOFF_DECREASE, BACKOFF_INCREASE, BACKOFF_JITTER, BUDGET_BUCKETS, CAPACITY_TOLERANCE,
    CONSECUTIVE_ERRORS, IDLE_CONNECTION_AGE, IDLE_CONNECTION_LOSS, INITIAL_BACKOFF,
    KNOWN_LOAD_SHARE, LOAD_EXCHANGE_BUDGET, MAX_BACKOFF, MAX_BACKOFF_JITTER, MAX_PROBES,
    MAX_RELATIVE_RUN, MIN_PRICE, MIN_REMAINING_RUN, PACE_MEMORY, PACE_PRIOR, PEER_LOAD_VALIDITY,
    PREFERENCE_FACTOR, PREFERRED_WORKERS, PREFERRED_WORKERS_SPARSE, PRICE_DECREASE, PRICE_INCREASE,
    PROBES_PER_JOB, PROBE_BUDGET, PROBE_BUDGET_PREFERRED, RARE_FAILURE_FLEET, REPORT_HALF_LIFE,
    RESCAN_INTERVAL, RUN_SPREAD, SAMPLE_SIZE, SPILLOVER_DELAY, START_GRACE, START_TIMEOUT,
    STATISTICS_WINDOW, SUCCESSES_TO_DECREASE, WARM_UP_MAX_JOB, WARM_UP_SAFETY, WASTE_START_TIMEOUT,
    WIDE_JOB_URGENCY,
};
use discovery_pacing::{BoundedLoadShare, FleetLoad, KindCapacity, WatchPacer, ZoneReachability};
use dispatch_api::load_exchange::rendezvous_weight;
use dispatch_api::{
    Action, AdmissionPolicy, ClassMetrics, DeduplicationScope, DiscoveryFailure, Event,
    Idempotency, JobClass, JobId, JobSpec, ListUpdateKind, LoadReport, LoadReporting, Micros,
    Outcome, RetryBudget, Rules, Settings, SettingsError, WorkerEntry, WorkerId, WorkerStatus,
};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use retry_rules::RetryBudgetState;
use state::{
    backoff_config, span, unit, Attempt, AttemptKey, Candidate, ClassStatistics, Clock, FleetState,
    InFlightAttempt, Job, QueueKey, Timer, Worker,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;
pub use {backoff::AdaptiveBackoff, state::BackoffConfig};

/// Decides for one dispatcher.
#[derive(Debug)]
pub struct Dispatcher {
    settings: Settings,
    rng: Pcg64Mcg,
    now: Micros,
    clock: Clock,
    workers: BTreeMap<WorkerId, Worker>,
    jobs: BTreeMap<JobId, Job>,
    queued: BTreeMap<QueueKey, VecDeque<JobId>>,
    classes: Vec<ClassStatistics>,
    kinds: BTreeMap<u32, KindCapacity>,
    budget: RetryBudgetState,
    fleet: FleetState,
}

impl Dispatcher {
    /// A dispatcher that knows nothing yet. The same seed and events give the same actions.
    ///
    /// # Errors
    /// What makes the settings unusable.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let statistics = |c: &JobClass| ClassStatistics {
            run: c.latency_target as f64,
            runs: 1.0,
            ..ClassStatistics::default()
        };
        let classes = settings.classes.iter().map(statistics).collect();
        let grace = span(
            settings
                .classes
                .iter()
                .map(|c| c.latency_target)
                .min()
                .unwrap_or(0) as f64
                * START_GRACE,
        );
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let budget = RetryBudgetState {
            rule: settings.rules.retry_budget,
            ..RetryBudgetState::default()
        };
        let (now, workers, jobs, queued, kinds, fleet) = Default::default();
        let watch_pacer = WatchPacer::new(settings.dispatchers, settings.discovery);
        let clock = Clock {
            grace,
            watch_pacer,
            ..Clock::default()
        };
        Ok(Dispatcher {
            settings,
            rng,
            now,
            clock,
            workers,
            jobs,
            queued,
            classes,
            kinds,
            budget,
            fleet,
        })
    }

    /// Handles one event at a time in microseconds, and appends the actions to carry out.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self
            .clock
            .watch_pacer
            .as_ref()
            .is_some_and(WatchPacer::is_first_call)
        {
            self.schedule_watch(DiscoveryFailure::Failed);
        }
        let updated_worker = event.worker();
        self.on_event(event, out);
        updated_worker
            .into_iter()
            .for_each(|w| self.close_idle_connections(w, out));
        self.fire_timers(out);
        self.place_queued_jobs(updated_worker, out);
        self.arm(out);
    }

    fn on_event(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::WorkersUpdated { kind, entries } => self.on_workers_updated(kind, &entries, out),
            Event::WatchFailed(lost) => self.schedule_watch(lost),
            Event::JobAccepted(spec) => self.on_job(spec, out),
            Event::ClientDisconnected(job) => self.close_job(job, false, out),
            Event::JobStarted {
                job,
                attempt,
                worker,
            }
            | Event::JobProgress {
                job,
                attempt,
                worker,
                ..
            } => {
                self.on_started(job, attempt, worker);
            }
            // Its client has the beginning of the result: no deadline, no retry; only the stream's end is awaited.
            Event::StreamStarted { job, .. } => self
                .jobs
                .get_mut(&job)
                .into_iter()
                .for_each(|j| j.closed = true),
            Event::AttemptEnded {
                job,
                attempt,
                worker,
                outcome,
                finished,
                report,
            } => {
                self.on_report(worker, report);
                let key = AttemptKey {
                    job,
                    attempt,
                    worker,
                };
                self.on_ended(key, outcome, finished, out);
            }
            Event::ProbeEnded {
                worker,
                outcome,
                report,
            } => self.on_probe_ended(worker, outcome, report),
            Event::PeerLoad { from, held } => self.on_peer_load(from, &held),
            Event::AbortJob(job) => self.give_up(job, out),
            Event::AdmissionChanged(terms) => self.on_admission_changed(terms, out),
            Event::Wake => {}
        }
    }

    fn fire_timers(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        while let Some(Reverse((_, timer))) =
            self.clock.timers.peek().filter(|t| t.0 .0 <= now).copied()
        {
            self.clock.timers.pop();
            match timer {
                Timer::AnswerDeadline(id) => self.give_up(id, out),
                Timer::Late(id) => self.on_late(id, out),
                Timer::QueueingTimeout(id) => self.on_queueing_timeout(id, out),
                Timer::StartTimeout(key) => self.on_start_timeout(key, out),
                Timer::Watch => {
                    self.clock.last_watch_at = now;
                    out.push(Action::WatchWorkers);
                }
            }
        }
    }

    fn arm(&mut self, out: &mut Vec<Action>) {
        let due = self.clock.timers.peek().map(|Reverse((due, _))| *due);
        let look = (!self.queued.is_empty()).then(|| self.clock.rescan_at.max(self.now + 1));
        let Some(next) = [due, look].into_iter().flatten().min() else {
            return;
        };
        if self
            .clock
            .armed
            .is_none_or(|at| at <= self.now || next < at)
        {
            self.clock.armed = Some(next);
            out.push(Action::WakeAt(next));
        }
    }
}
