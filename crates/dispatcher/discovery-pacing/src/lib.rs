//! When discovery is asked for the list of workers.
//!
//! Discovery is one service for all dispatchers and takes their calls in turn. Each new watch costs it a turn of
//! some tens of milliseconds, also one whose caller has stopped waiting by then. A hundred dispatchers that start
//! together and call at once fill its queue with more turns than a caller waits for; those whose time is up call
//! again while their first calls are still being worked on, and from then on nobody gets an answer in time. A watch
//! that is kept up costs no further turn. So what matters is how new watches are spread: by a time that grows with
//! the number of dispatchers, and is drawn by each of them alone.
//!
//! The pauses are the usual ones of a client that must not become part of a herd: exponential back-off with jitter,
//! see M. Brooker, "Exponential Backoff And Jitter" (AWS Architecture Blog, 2015). Nothing here reads a clock or
//! draws a random number.

mod bounded_load;
mod capacity;
mod fleet_load;
mod reachability;

pub use bounded_load::BoundedLoadShare;
pub use capacity::KindCapacity;
pub use fleet_load::{outstanding_per_core, FleetLoad, LARGEST_WEIGHT};
pub use reachability::ZoneReachability;

use dispatch_api::{Discovery, DiscoveryFailure, Micros};

/// Room that is left to each dispatcher beyond two for one call to discovery. It must be no less than a turn of
/// discovery takes, or a start of all together fills its queue; the longer, the later a restarted dispatcher learns
/// of what has changed.
const TURN: Micros = 60_000;
/// What a failed call or a silent watch missed counts as told so long after discovery had it and could be reached, whatever
/// the settings say of asking.
pub const STALENESS_LIMIT: Micros = 6_000_000;
/// How long a watch asks discovery to wait: a watch that falls silent is noticed only after that. Going on costs discovery no
/// turn, so the shorter it is, the more of [`STALENESS_LIMIT`] is left.
pub const WATCH_TIMEOUT: Micros = 1_000_000;
/// How long the answer on a watch may take beyond that: no turn is waited for, so it is the network's time and that of a
/// processor which is shared.
pub const ANSWER_TIMEOUT: Micros = 750_000;
/// What a call may wait for its turn at discovery before it fails there.
pub const QUEUE_TIMEOUT: Micros = 2_000_000;
/// What a call takes beyond its turn: the connection, the answer and a processor that is shared.
pub const CALL_OVERHEAD: Micros = 500_000;
/// The longest that a call takes to fail: one second for the connection, its turn, and the answer.
const LONGEST_CALL: Micros = 1_000_000 + QUEUE_TIMEOUT + ANSWER_TIMEOUT + 250_000;
/// A call that failed may have been made just before discovery could be reached: the next one goes out so long after it at
/// the latest, so that it has its turn and its answer within [`STALENESS_LIMIT`].
pub const RETRY_DEADLINE: Micros = STALENESS_LIMIT - QUEUE_TIMEOUT - CALL_OVERHEAD;
/// Turns that each failed call is spread over: those that failed once already were too many.
const TURNS_AGAIN: u64 = 2;
/// The shortest pause after a failure, as a share of the longest time that may pass unasked.
const SHORTEST: u64 = 128;
/// The longest such pause, likewise, where [`RETRY_DEADLINE`] is no shorter.
const LONGEST: u64 = 4;
/// Jitter of a pause, as a share of it.
const JITTER: f64 = 0.3;

/// Paces the calls of one dispatcher that start a watch.
#[derive(Debug, Clone)]
pub struct WatchPacer {
    /// Dispatchers that must not meet at discovery; two do no harm there.
    many: u64,
    /// The longest time that may pass unasked.
    watch_within: Micros,
    /// Calls that failed in a row; none before the first call.
    failures: Option<u32>,
}

impl WatchPacer {
    /// For one of so many dispatchers; none where the list arrives unasked.
    pub fn new(dispatchers: u32, discovery: Discovery) -> Option<Self> {
        let Discovery::OnRequest { watch_within } = discovery else {
            return None;
        };
        let many = u64::from(dispatchers.saturating_sub(2));
        Some(WatchPacer {
            many,
            watch_within,
            failures: None,
        })
    }

    /// Whether no call has been asked for yet.
    pub fn is_first_call(&self) -> bool {
        self.failures.is_none()
    }

    /// How long to wait, microseconds, before the first call or after one that was lost; both draws are uniform in 0
    /// to 1.
    ///
    /// The first call is spread over 60 ms for each dispatcher beyond two, at most half of the time that may pass
    /// unasked. The pause after a failure doubles from one to the next, between 1/128 and 1/4 of that time; on top
    /// comes twice the spread, which is the larger part where dispatchers are many. Both together end [`RETRY_DEADLINE`] after
    /// the failed call was made, `took` being what it took to fail: however it failed, what it missed counts as told by then.
    /// Where that cuts the pause, it is drawn from what is left: from all of it at first, since many may have failed at one
    /// moment, and then from its later half.
    ///
    /// A call that falls silent after others were answered is broken on its own, and is made again without a back-off.
    pub fn next_delay(
        &mut self,
        lost: DiscoveryFailure,
        took: Micros,
        jitter: f64,
        drawn: f64,
    ) -> Micros {
        let before = self.failures;
        self.failures = Some(before.map_or(0, |f| f.saturating_add(1)));
        // No call takes longer: what did is a watch that needs none to go on, and it broke just now.
        let most = RETRY_DEADLINE.saturating_sub(if took > LONGEST_CALL { 0 } else { took });
        match (before, lost) {
            (None, _) => share(self.spread(1).min(self.watch_within / 2), drawn),
            (Some(0), DiscoveryFailure::TimedOut) => share(self.spread(1).min(most), drawn),
            (Some(failures), _) => {
                let doubled = (self.watch_within / SHORTEST).saturating_mul(1 << failures.min(16));
                let jittered = share(
                    doubled.min(self.watch_within / LONGEST),
                    1.0 - JITTER + 2.0 * JITTER * jitter,
                );
                let spread = self.spread(TURNS_AGAIN);
                if jittered.saturating_add(spread) <= most {
                    return jittered + share(spread, drawn);
                }
                let floor = if failures == 0 {
                    jittered.min(most / 2)
                } else {
                    most / 2
                };
                floor + share(most - floor, drawn)
            }
        }
    }

    /// Discovery has answered.
    pub fn answered(&mut self) {
        self.failures = Some(0);
    }

    fn spread(&self, turns: u64) -> Micros {
        self.many.saturating_mul(TURN * turns)
    }
}

/// A part of a span; the decisions know a span only as a whole number.
fn share(span: Micros, part: f64) -> Micros {
    (span as f64 * part).max(0.0) as Micros
}
