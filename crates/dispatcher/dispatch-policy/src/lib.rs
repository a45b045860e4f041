//! Every decision of a dispatcher, by subject. The interface is the crate `api`.
//! One `Sleeper` a worker spaces the pushes to it. A job goes to a random open worker, weighted by room; with
//! none open it is held. Only `push` sends and only `finish` answers: the rules are kept there.

mod backoff;
mod cold;
mod constants;
mod figures;
mod holding;
mod kept;
mod listing;
mod memory;
mod outcomes;
mod placing;
mod probing;
mod repeating;
mod terms;

use constants::{
    AGEING, AWAY, BUCKETS, COLD_JOB, COLD_SAFETY, DOWN, ERRORS, HOMES, HOMES_FEW, HURRY, IDLE,
    IDLE_LOST, INITIAL, KIN, KNOWN, LAST, MAX, MAX_RANDOMIZATION, MOST_SCOUTS, PACE_MEMORY,
    PACE_PRIOR, PRICE_DOWN, PRICE_FLOOR, PRICE_UP, PROBE_SPEND, PROBE_SPEND_HOMES, RANDOMIZATION,
    RARE, RESCAN, ROOM_SLACK, RUN_CAP, RUN_SPREAD, SAMPLE, SCOUTS, START_GRACE, START_OVERDUE,
    SUCCESSES_DOWN, TALLY, TELL_SPEND, TOLD_FOR, UP, WASTE_PATIENCE,
};
use discovery_pacing::{BoundedLoadShare, FleetLoad, KindCapacity, WatchPacer, ZoneReachability};
use dispatch_api::load_exchange::rendezvous_weight;
use dispatch_api::{
    Action, AdmissionPolicy, ClassMetrics, DeduplicationScope, DiscoveryFailure, Event,
    Idempotency, JobClass, JobId, JobSpec, ListUpdateKind, LoadReport, LoadReporting, Micros,
    Outcome, RetryBudget, Rules, Settings, SettingsError, WorkerEntry, WorkerId, WorkerStatus,
};
use kept::{
    paced, span, unit, Attempt, Candidate, Clock, Fleet, Job, Lane, Leg, Outstanding, Tally, Timer,
    Worker,
};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use repeating::Budget;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;
pub use {backoff::Sleeper, kept::SleeperTerms};

/// Decides for one dispatcher.
#[derive(Debug)]
pub struct Dispatcher {
    settings: Settings,
    rng: Pcg64Mcg,
    now: Micros,
    clock: Clock,
    workers: BTreeMap<WorkerId, Worker>,
    jobs: BTreeMap<JobId, Job>,
    held: BTreeMap<Lane, VecDeque<JobId>>,
    classes: Vec<Tally>,
    kinds: BTreeMap<u32, KindCapacity>,
    budget: Budget,
    fleet: Fleet,
}

impl Dispatcher {
    /// A dispatcher that knows nothing yet. The same seed and events give the same actions.
    ///
    /// # Errors
    /// What makes the settings unusable.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let tally = |c: &JobClass| Tally {
            run: c.latency_target as f64,
            runs: 1.0,
            ..Tally::default()
        };
        let classes = settings.classes.iter().map(tally).collect();
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
        let budget = Budget {
            rule: settings.rules.retry_budget,
            ..Budget::default()
        };
        let (now, workers, jobs, held, kinds, fleet) = Default::default();
        let ask = WatchPacer::new(settings.dispatchers, settings.discovery);
        let clock = Clock {
            grace,
            ask,
            ..Clock::default()
        };
        Ok(Dispatcher {
            settings,
            rng,
            now,
            clock,
            workers,
            jobs,
            held,
            classes,
            kinds,
            budget,
            fleet,
        })
    }

    /// Takes the time and one event, and appends what to do.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self
            .clock
            .ask
            .as_ref()
            .is_some_and(WatchPacer::is_first_call)
        {
            self.ask(DiscoveryFailure::Failed);
        }
        let news = event.worker();
        match event {
            Event::WorkersUpdated { kind, entries } => self.on_listed(kind, &entries, out),
            Event::WatchFailed(lost) => self.ask(lost),
            Event::JobAccepted(spec) => self.on_job(spec, out),
            Event::ClientDisconnected(job) => self.close(job, false, out),
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
            // Bound to its attempt: no deadline, no further attempt, and nothing owed but the stream's end.
            Event::StreamStarted { job, .. } => self
                .jobs
                .get_mut(&job)
                .into_iter()
                .for_each(|j| j.over = true),
            Event::AttemptEnded {
                job,
                attempt,
                worker,
                outcome,
                finished,
                report,
            } => {
                self.on_report(worker, report);
                self.on_ended((job, attempt, worker), outcome, finished, out);
            }
            Event::ProbeEnded {
                worker,
                outcome,
                report,
            } => self.on_probed(worker, outcome, report),
            Event::PeerLoad { from, held } => self.on_told(from, &held),
            Event::AbortJob(job) => self.finish(job, out),
            Event::AdmissionChanged(terms) => self.on_terms(terms, out),
            Event::Wake => {}
        }
        news.into_iter().for_each(|w| self.hang_up(w, out));
        self.run_timers(out);
        self.place_held(news, out);
        self.arm(out);
    }

    fn run_timers(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        while let Some(Reverse((_, timer))) =
            self.clock.timers.peek().filter(|t| t.0 .0 <= now).copied()
        {
            self.clock.timers.pop();
            match timer {
                Timer::Answer(id) => self.finish(id, out),
                Timer::Late(id) => self.on_late(id, out),
                Timer::Unplaced(id) => self.on_unplaced(id, out),
                Timer::Overdue(id, attempt, worker) => self.on_overdue((id, attempt, worker), out),
                Timer::Rewatch => {
                    self.clock.asked = now;
                    out.push(Action::WatchWorkers);
                }
            }
        }
    }

    fn arm(&mut self, out: &mut Vec<Action>) {
        let due = self.clock.timers.peek().map(|Reverse((due, _))| *due);
        let look = (!self.held.is_empty()).then(|| self.clock.rescan_at.max(self.now + 1));
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
