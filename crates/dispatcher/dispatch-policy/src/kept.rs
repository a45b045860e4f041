//! What a dispatcher keeps: jobs, workers, counts and times. Nothing is decided here.

use super::{
    figures, AdmissionPolicy, Arc, BTreeMap, BinaryHeap, BoundedLoadShare, ClassMetrics, FleetLoad,
    JobId, JobSpec, Micros, Outcome, Pcg64Mcg, Reverse, RngCore, Sleeper, VecDeque, WatchPacer,
    WorkerEntry, WorkerId, WorkerStatus, ZoneReachability, DOWN, INITIAL, MAX, MAX_RANDOMIZATION,
    RANDOMIZATION, SUCCESSES_DOWN, UP,
};

pub(crate) fn span(units: f64) -> Micros {
    units.clamp(0.0, 1.0e15) as Micros
}

pub(crate) fn unit(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// What a [`Sleeper`] goes by; spans are in the unit of the caller's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SleeperTerms {
    /// The interval after a first failure, and the least one that is not zero.
    pub initial: f64,
    /// The longest interval.
    pub max: f64,
    /// What a failure multiplies the interval by.
    pub up: f64,
    /// ... and a run of successes.
    pub down: f64,
    /// How many successes make such a run.
    pub successes_down: u32,
    /// Share of an interval by which a draw may differ from it.
    pub randomization: f64,
    /// ... and the most by which it may.
    pub max_randomization: f64,
}

/// The constants of this crate, where jobs run for so long on average.
pub(crate) fn paced(mean_run: f64) -> SleeperTerms {
    SleeperTerms {
        initial: INITIAL * mean_run,
        max: MAX * mean_run,
        up: UP,
        down: DOWN,
        successes_down: SUCCESSES_DOWN,
        randomization: RANDOMIZATION,
        max_randomization: MAX_RANDOMIZATION * mean_run,
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Outstanding {
    pub(crate) job: JobId,
    pub(crate) attempt: u32,
    pub(crate) slots: f64,
    pub(crate) work: f64,
    pub(crate) sent: Micros,
    pub(crate) due: Micros, // unheard of until then, it has not started
    pub(crate) started: Option<Micros>,
}

#[derive(Debug, Default)]
pub(crate) struct Worker {
    pub(crate) listing: WorkerEntry,
    pub(crate) backoff: Sleeper,
    pub(crate) outstanding: Vec<Outstanding>,
    pub(crate) others: f64, // slots that others seem to hold
    pub(crate) reported: Option<Micros>,
    pub(crate) told: BTreeMap<u32, (f64, Micros)>, // slots that each of the others told of, and until when
    pub(crate) told_until: Micros,                 // ... and until when all of them are known
    pub(crate) told_at: Option<Micros>, // when own load was told; none if it has changed since
    pub(crate) expected: f64,           // time of recent runs, in expected runs
    pub(crate) actual: f64,
    pub(crate) probing: Option<Micros>,
    pub(crate) used: Option<Micros>, // last sent to or heard of, since its connections were last given back
    pub(crate) errors: u32,
    pub(crate) quiet: figures::Quiet,
    pub(crate) draw: BoundedLoadShare, // of jobs that it is a home for
    pub(crate) cold: (Micros, f64, Option<f64>), // sent to or started, the share of a gap left then, the work sent
}

impl Worker {
    pub(crate) fn ready(&self) -> bool {
        self.listing.status == WorkerStatus::Ready
    }

    pub(crate) fn own(&self) -> f64 {
        self.outstanding.iter().map(|o| o.slots).sum()
    }

    pub(crate) fn find(&self, job: JobId, attempt: u32) -> Option<usize> {
        self.outstanding
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

pub(crate) type Leg = (JobId, u32, WorkerId);

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    pub(crate) work: f64,
    pub(crate) came: Micros,
    pub(crate) start_by: Micros, // started later than this it is hardly in time
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) held: Option<Lane>,
    pub(crate) homes: Vec<WorkerId>, // where what it needs is likely kept, the likeliest first
    pub(crate) over: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Lane {
    pub(crate) class: usize,
    pub(crate) slots: u32,
    pub(crate) late: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) run: f64,  // mean so far
    pub(crate) runs: f64, // ... and how many it rests on
    pub(crate) arrivals: f64,
    pub(crate) asked: f64,
    pub(crate) in_time: f64,
    pub(crate) credit: f64, // of the share that the level in force admits
    pub(crate) counts: ClassMetrics,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    Answer(JobId),
    Late(JobId),
    Unplaced(JobId),
    Overdue(JobId, u32, WorkerId),
    Rewatch,
}

pub(crate) struct Candidate {
    pub(crate) id: WorkerId,
    pub(crate) room: f64,
    pub(crate) pace: f64,
    pub(crate) known: f64,  // share of what is held there that is known
    pub(crate) price: f64,  // of crossing zones and of a new connection
    pub(crate) bound: bool, // some class runs nowhere else
}

#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) ready: Vec<WorkerId>,
    pub(crate) near: Vec<WorkerId>,       // those of the own zone
    pub(crate) used: Vec<WorkerId>,       // those sent to last, the newest first
    pub(crate) scouted: usize,            // probes since a job was placed
    pub(crate) heard: VecDeque<WorkerId>, // those with the latest reports, the newest first
    pub(crate) scouts: VecDeque<(Micros, WorkerId)>, // probes out, the oldest first
    pub(crate) own: f64,
    pub(crate) sent: (u64, u64), // attempts, and those turned away
    pub(crate) others: (f64, f64, Micros), // what others hold: fading sum and weight of reports, and when added to
    pub(crate) loads: FleetLoad,           // as the list told them
    pub(crate) reach: ZoneReachability,
    pub(crate) tell_credit: f64,
    pub(crate) probe_credit: f64,
    pub(crate) best: f64,                           // gain of the best lane
    pub(crate) price: f64, // share of it that a job must bring for its slot time
    pub(crate) terms: Option<Arc<AdmissionPolicy>>, // of the level of reduced service in force
    pub(crate) processes: u32, // of this dispatcher that live; 0 where nobody has said
}

#[derive(Debug, Default)]
pub(crate) struct Clock {
    pub(crate) timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    pub(crate) armed: Option<Micros>,
    pub(crate) rescan_at: Micros,
    pub(crate) grace: Micros,           // an answer within this is prompt
    pub(crate) ask: Option<WatchPacer>, // of calls to discovery, where it must be asked
    pub(crate) asked: Micros, // when the last one was made: a watch goes on with each answer
}
