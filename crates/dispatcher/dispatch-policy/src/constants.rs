//! Every constant of the policy, with its unit and reason. A *mean run* is how long a job runs on average, by the classes
//! that arrive; spans are multiples of it, so that one set of constants serves deployments of fast and of slow jobs.

// Adaptive back-off, after "Responsive exponential backoff" (see `AdaptiveBackoff`).

/// Factor by which a failure increases an interval.
pub const BACKOFF_INCREASE: f64 = 2.0;
/// Factor by which a run of successes decreases an interval.
pub const BACKOFF_DECREASE: f64 = 0.5;
/// Share of an interval by which a draw may differ from it.
pub const BACKOFF_JITTER: f64 = 0.3;
/// The most by which a draw may differ, in mean runs.
pub const MAX_BACKOFF_JITTER: f64 = 1.0;
/// Successes in a run that decreases an interval.
pub const SUCCESSES_TO_DECREASE: u32 = 3;
/// The interval after a first failure, in mean runs: a slot frees about this often on a busy worker of a few slots.
pub const INITIAL_BACKOFF: f64 = 0.25;
/// The longest interval, in mean runs.
pub const MAX_BACKOFF: f64 = 8.0;

// Placement.

/// Slots: free capacity within this much of a job's slots is enough, since load reports are noisy.
pub const CAPACITY_TOLERANCE: f64 = 0.35;
/// How fast a wide job gives up waiting for all its slots at once, per share of its time that it has waited.
pub const WIDE_JOB_URGENCY: f64 = 3.0;
/// Mean runs after which the weight of a load report has halved.
pub const REPORT_HALF_LIFE: f64 = 2.0;
/// Interval between looks through the workers, in mean runs.
pub const RESCAN_INTERVAL: f64 = 0.02;
/// Workers in a look at most: its cost must not grow with the fleet.
pub const SAMPLE_SIZE: usize = 24;
/// Workers preferred for a key, by rendezvous hashing: its jobs go to them at once, since they cache what the key needs.
pub const PREFERRED_WORKERS: usize = 3;
/// The same where a dispatcher knows the load of few workers and probes them in turn: a popular key has capacity.
pub const PREFERRED_WORKERS_SPARSE: usize = 8;
/// Factor by which a preferred worker draws its jobs more than the next one.
pub const PREFERENCE_FACTOR: f64 = 40.0;
/// Mean runs after which a job may also go to a worker that is not preferred.
pub const SPILLOVER_DELAY: f64 = 0.5;
/// Dispatchers up to which each learns soon enough, by its own attempts, which workers can't be reached.
pub const RARE_FAILURE_FLEET: f64 = 8.0;
/// Runs of prior weight with which a worker's pace starts.
pub const PACE_PRIOR: f64 = 4.0;
/// Runs that a worker's pace remembers.
pub const PACE_MEMORY: f64 = 12.0;
/// Expected runs that one run counts for in a pace at most: a long job does not make its worker slow.
pub const MAX_RELATIVE_RUN: f64 = 4.0;

// Probes and load exchange.

/// Share of all value that is spent on probes: little against what a crowded choice loses.
pub const PROBE_BUDGET: f64 = 0.005;
/// The same for a job with preferred workers where few loads are known: a probe saves fetching what the key needs.
pub const PROBE_BUDGET_PREFERRED: f64 = 0.02;
/// Share of a worker's load that must be known for a job to be sent without a probe.
pub const KNOWN_LOAD_SHARE: f64 = 0.8;
/// Probes in flight for one queued job.
pub const PROBES_PER_JOB: usize = 2;
/// Probes in flight for all queued jobs.
pub const MAX_PROBES: usize = 8;
/// Share of all value that is spent on telling the other dispatchers this one's load.
pub const LOAD_EXCHANGE_BUDGET: f64 = 0.006;
/// Mean runs for which a load told by another dispatcher is valid.
pub const PEER_LOAD_VALIDITY: f64 = 4.0;

// Connections that idle may be dropped unseen: a request sent on one is lost without a response.

/// Mean runs without use after which a connection may have been dropped.
pub const IDLE_CONNECTION_AGE: f64 = 0.5;
/// Estimated share of idle connections that were: connecting anew pays where it costs less.
pub const IDLE_CONNECTION_LOSS: f64 = 0.03;

// Starts, failures and warm-up.

/// Share of the shortest latency target: no response until then shows a full worker.
pub const START_GRACE: f64 = 0.12;
/// Share of a job's latency target: an attempt that has not started by then counts as a failure in the back-off.
pub const START_TIMEOUT: f64 = 0.5;
/// The same in latency targets per unit of the price of wasted work, where that is longer.
pub const WASTE_START_TIMEOUT: f64 = 15.0;
/// Error responses in a row that count as a failure: single ones happen anywhere.
pub const CONSECUTIVE_ERRORS: u32 = 2;
/// Share of the load that overloads a worker in warm-up that all dispatchers together send it: gaps shrink as it warms up, and
/// slow kinds bear less.
pub const WARM_UP_SAFETY: f64 = 0.4;
/// Share of that load that one job may bring.
pub const WARM_UP_MAX_JOB: f64 = 0.25;
/// A run may take this multiple of what was expected: jobs and workers differ.
pub const RUN_SPREAD: f64 = 1.8;

// The price of a slot, below which jobs are given up under overload.

/// Factor by which the price rises for a job that would pay it and is late.
pub const PRICE_INCREASE: f64 = 1.12;
/// Factor by which it falls for a job in time: with a third of the jobs late it is stable.
pub const PRICE_DECREASE: f64 = 0.95;
/// Share of the highest value density from which the price rises.
pub const MIN_PRICE: f64 = 0.02;
/// Share of a run that must be left before its client's deadline for a job to be worth a start.
pub const MIN_REMAINING_RUN: f64 = 0.7;

// Statistics.

/// Jobs that the statistics of a class remember.
pub const STATISTICS_WINDOW: f64 = 200.0;
/// Parts of a retry budget's window in which accepted jobs are counted together.
pub const BUDGET_BUCKETS: u64 = 64;
