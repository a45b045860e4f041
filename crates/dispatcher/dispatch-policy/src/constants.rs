//! Every constant of the decisions.

// The back-off as in the paper; spans are multiples of the mean run of a job.
pub const UP: f64 = 2.0;
pub const DOWN: f64 = 0.5;
pub const RANDOMIZATION: f64 = 0.3;
pub const MAX_RANDOMIZATION: f64 = 1.0;
pub const SUCCESSES_DOWN: u32 = 3;
pub const INITIAL: f64 = 0.25; // a slot frees about this often on a busy worker of a few slots
pub const MAX: f64 = 8.0;

pub const ROOM_SLACK: f64 = 0.35; // room within this much of a job's slots is enough: reports are noisy
pub const HURRY: f64 = 3.0; // how fast a wide job gives up waiting for all its slots at once
pub const AGEING: f64 = 2.0; // a report's weight has halved after this many mean runs
pub const RESCAN: f64 = 0.02; // workers are looked through once in this share of a mean run
pub const SAMPLE: usize = 24; // workers in a look at most: its cost must not grow with the fleet
pub const HOMES: usize = 3; // workers meant for a key, to which its jobs go at once: what they need is kept
pub const HOMES_FEW: usize = 8; // ... where few are known, asked in turn: a wanted key has room
pub const KIN: f64 = 40.0; // a home draws its jobs so many times more than the next one
pub const AWAY: f64 = 0.5; // mean runs after which a job may go to any other, too
pub const RARE: f64 = 8.0; // dispatchers up to which each finds out soon enough what can't be reached
pub const PACE_PRIOR: f64 = 4.0; // runs that the pace of a worker starts with
pub const PACE_MEMORY: f64 = 12.0; // ... and remembers
pub const RUN_CAP: f64 = 4.0; // expected runs that one counts for in a pace: a long job doesn't make it slow

pub const PROBE_SPEND: f64 = 0.005; // share of all worth, on probes: little against what a crowded pick loses
pub const PROBE_SPEND_HOMES: f64 = 0.02; // ... for a job with homes where few are known: saves a fetch
pub const KNOWN: f64 = 0.8; // share of what a worker holds that must be known, or probes go ahead of a job
pub const SCOUTS: usize = 2; // probes out for a held job
pub const MOST_SCOUTS: usize = 8; // ... and for all of them
pub const TELL_SPEND: f64 = 0.006; // on telling the others of own load
pub const TOLD_FOR: f64 = 4.0; // mean runs that this is believed

// Connections that idle may be dropped unseen: what is sent on one is lost without an answer.
pub const IDLE: f64 = 0.5; // mean runs without use from which a connection may have been
pub const IDLE_LOST: f64 = 0.03; // ... and a guess at how often: to reconnect pays where it costs less

pub const START_GRACE: f64 = 0.12; // share of the shortest aim: no answer until then shows a full worker
pub const START_OVERDUE: f64 = 0.5; // share of its aim: unstarted then, it is a failure to the back-off
pub const WASTE_PATIENCE: f64 = 15.0; // ... or aims per unit of the price of waste, where that is longer
pub const ERRORS: u32 = 2; // error answers in a row that are a failure: single ones happen anywhere
pub const COLD_SAFETY: f64 = 0.4; // share of what tips one: gaps shrink as it warms, slow kinds stand less
pub const COLD_JOB: f64 = 0.25; // share of it that one job may take
pub const RUN_SPREAD: f64 = 1.8; // a run may take this multiple of what was expected: jobs and workers differ
pub const PRICE_UP: f64 = 1.12; // a slot's price grows by this for a job that would pay it and is late
pub const PRICE_DOWN: f64 = 0.95; // ... and falls by this for one in time: with a third late it stands
pub const PRICE_FLOOR: f64 = 0.02; // share of the best gain from which it rises
pub const LAST: f64 = 0.7; // share of a run without which a job is not worth a start before its client leaves
pub const TALLY: f64 = 200.0; // jobs that the tallies of the classes remember
pub const BUCKETS: u64 = 64; // parts of a retry budget's window in which jobs taken are counted together
