//! The state of a dispatcher's policy: jobs, workers, statistics, timers. Nothing is decided here.

use super::{
    responsiveness, AdaptiveBackoff, AdmissionPolicy, Arc, BTreeMap, BinaryHeap, BoundedLoadShare,
    ClassMetrics, FleetLoad, JobId, JobSpec, Micros, Outcome, Pcg64Mcg, Reverse, RngCore, VecDeque,
    WatchPacer, WorkerEntry, WorkerId, WorkerStatus, ZoneReachability, BACKOFF_DECREASE,
    BACKOFF_INCREASE, BACKOFF_JITTER, INITIAL_BACKOFF, MAX_BACKOFF, MAX_BACKOFF_JITTER,
    SUCCESSES_TO_DECREASE,
};

pub(crate) fn span(units: f64) -> Micros {
    units.clamp(0.0, 1.0e15) as Micros
}

pub(crate) fn unit(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Parameters of an [`AdaptiveBackoff`]; spans are in the unit of the caller's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackoffConfig {
    /// The interval after a first failure, and the least one that is not zero.
    pub initial: f64,
    /// The longest interval.
    pub max: f64,
    /// Factor by which a failure increases the interval.
    pub increase_factor: f64,
    /// Factor by which a run of successes decreases it.
    pub decrease_factor: f64,
    /// How many successes make such a run.
    pub successes_to_decrease: u32,
    /// Share of an interval by which a draw may differ from it.
    pub jitter: f64,
    /// ... and the most by which it may.
    pub max_jitter: f64,
}

/// The back-off of this crate, for jobs that run this long on average.
pub(crate) fn backoff_config(mean_run: f64) -> BackoffConfig {
    BackoffConfig {
        initial: INITIAL_BACKOFF * mean_run,
        max: MAX_BACKOFF * mean_run,
        increase_factor: BACKOFF_INCREASE,
        decrease_factor: BACKOFF_DECREASE,
        successes_to_decrease: SUCCESSES_TO_DECREASE,
        jitter: BACKOFF_JITTER,
        max_jitter: MAX_BACKOFF_JITTER * mean_run,
    }
}

#[derive(Debug, Clone)]
pub(crate) struct InFlightAttempt {
    pub(crate) job: JobId,
    pub(crate) attempt: u32,
    pub(crate) slots: f64,
    pub(crate) work: f64,
    pub(crate) sent: Micros,
    pub(crate) due: Micros, // without a response until then, it has not started
    pub(crate) started: Option<Micros>,
}

#[derive(Debug, Default)]
pub(crate) struct Worker {
    pub(crate) listing: WorkerEntry,
    pub(crate) backoff: AdaptiveBackoff,
    pub(crate) in_flight: Vec<InFlightAttempt>,
    pub(crate) peer_slots: f64, // slots that other dispatchers seem to occupy
    pub(crate) reported_at: Option<Micros>,
    pub(crate) peer_reports: BTreeMap<u32, (f64, Micros)>, // slots that each other dispatcher reported, and until when that is valid
    pub(crate) peer_reports_until: Micros, // until when the reports of all of them are valid
    pub(crate) load_published_at: Option<Micros>, // when own load was published; none if it has changed since
    pub(crate) expected: f64,                     // time of recent runs, in expected runs
    pub(crate) actual: f64,
    pub(crate) probe_sent_at: Option<Micros>,
    pub(crate) last_used_at: Option<Micros>, // last attempt or response, since its connections were last closed
    pub(crate) consecutive_errors: u32,
    pub(crate) responsiveness: responsiveness::Responsiveness,
    pub(crate) load_share: BoundedLoadShare, // share of the jobs for which it is preferred
    pub(crate) warm_up: (Micros, f64, Option<f64>), // when last sent to or started, the share of a gap left then, the work sent
}

impl Worker {
    pub(crate) fn ready(&self) -> bool {
        self.listing.status == WorkerStatus::Ready
    }

    pub(crate) fn own_slots(&self) -> f64 {
        self.in_flight.iter().map(|o| o.slots).sum()
    }

    pub(crate) fn find(&self, job: JobId, attempt: u32) -> Option<usize> {
        self.in_flight
            .iter()
            .position(|o| o.job == job && o.attempt == attempt)
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) worker: WorkerId,
    pub(crate) sent: Micros,
    pub(crate) outcome: Option<Outcome>,
}

/// One attempt of a job at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) job: JobId,
    /// Its number among the attempts of the job, from 0.
    pub(crate) attempt: u32,
    pub(crate) worker: WorkerId,
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    pub(crate) work: f64,
    pub(crate) accepted_at: Micros,
    pub(crate) start_by: Micros, // started later than this it is hardly in time
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) queued: Option<QueueKey>,
    pub(crate) preferred: Vec<WorkerId>, // workers preferred for its key, the most preferred first
    pub(crate) closed: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    pub(crate) class: usize,
    pub(crate) slots: u32,
    pub(crate) late: bool,
}

#[derive(Debug, Default)]
pub(crate) struct ClassStatistics {
    pub(crate) run: f64,  // mean so far
    pub(crate) runs: f64, // ... and how many it rests on
    pub(crate) arrivals: f64,
    pub(crate) asked: f64,
    pub(crate) in_time: f64,
    pub(crate) credit: f64, // of the share that the admission policy lets in
    pub(crate) counts: ClassMetrics,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    AnswerDeadline(JobId),
    Late(JobId),
    QueueingTimeout(JobId),
    StartTimeout(AttemptKey),
    Watch,
}

pub(crate) struct Candidate {
    pub(crate) id: WorkerId,
    pub(crate) room: f64,
    pub(crate) pace: f64,
    pub(crate) known: f64,  // share of its load that is known
    pub(crate) price: f64,  // of crossing zones and of a new connection
    pub(crate) bound: bool, // some class is dedicated to its kind
}

#[derive(Debug, Default)]
pub(crate) struct FleetState {
    pub(crate) ready: Vec<WorkerId>,
    pub(crate) same_zone: Vec<WorkerId>, // those of this dispatcher's zone
    pub(crate) recently_used: Vec<WorkerId>, // those sent to last, the newest first
    pub(crate) probes_since_placement: usize, // probes since a job was last placed
    pub(crate) recently_reported: VecDeque<WorkerId>, // those with the latest reports, newest first
    pub(crate) probes_in_flight: VecDeque<(Micros, WorkerId)>, // oldest first
    pub(crate) own_slots: f64,
    pub(crate) sent: (u64, u64), // attempts, and rejected ones
    pub(crate) peer_load: (f64, f64, Micros), // what others hold: report_weight sum and weight of reports, and when added to
    pub(crate) listed_load: FleetLoad,        // as the list shows it
    pub(crate) reach: ZoneReachability,
    pub(crate) load_exchange_credit: f64,
    pub(crate) probe_credit: f64,
    pub(crate) best_value: f64, // value density of the best queue
    pub(crate) price: f64,      // share of it that a job's value density must reach
    pub(crate) admission: Option<Arc<AdmissionPolicy>>, // policy of the degradation level in force
    pub(crate) processes: u32,  // of this dispatcher that run; 0 if unknown
}

#[derive(Debug, Default)]
pub(crate) struct Clock {
    pub(crate) timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    pub(crate) armed: Option<Micros>,
    pub(crate) rescan_at: Micros,
    pub(crate) grace: Micros, // a response within this is prompt
    pub(crate) watch_pacer: Option<WatchPacer>, // of calls to discovery, where it must be called
    pub(crate) last_watch_at: Micros, // a watch continues with each response
}
