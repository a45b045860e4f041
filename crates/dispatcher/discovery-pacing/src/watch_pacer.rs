//! When service discovery is called for a new watch on the list of workers.
//!
//! Discovery is one service for all dispatchers and handles their calls one after the other. Each new
//! watch costs it some tens of milliseconds, also one whose caller has given up by then. If a hundred
//! dispatchers start together and call at once, its queue is longer than a caller waits; those that
//! give up call again while their first calls are still queued, and from then on no call is answered
//! in time. A watch that goes on costs nothing further. So new watches are spread over a time that
//! grows with the number of dispatchers, from which each draws alone.
//!
//! The delays are exponential backoff with jitter: M. Brooker, "Exponential Backoff And Jitter" (AWS
//! Architecture Blog, 2015).

use dispatch_api::{Discovery, DiscoveryFailure, Micros};

/// Time that the spread leaves for one call of each dispatcher beyond two, microseconds. It must be no
/// less than discovery takes for a call, or a simultaneous start fills its queue; the longer it is, the
/// later a restarted dispatcher learns of changes.
const CALL_SLOT: Micros = 60_000;
/// How late a dispatcher may learn of a change, microseconds, after discovery had it and could be
/// reached, whatever became of its calls: the limit that the site's rules set.
pub const STALENESS_LIMIT: Micros = 6_000_000;
/// How long a watch asks discovery to wait for a change, microseconds: a watch that broke silently is
/// noticed only after that. Continuing it costs discovery nothing, so the shorter it is, the more of
/// [`STALENESS_LIMIT`] is left.
pub const WATCH_TIMEOUT: Micros = 1_000_000;
/// How long the answer on a watch may take beyond [`WATCH_TIMEOUT`], microseconds: it does not queue at
/// discovery, so this is for the network and a shared processor.
pub const ANSWER_TIMEOUT: Micros = 750_000;
/// How long a call may queue at discovery before it fails there, microseconds.
pub const QUEUE_TIMEOUT: Micros = 2_000_000;
/// What a call takes besides queueing, microseconds: the connection, the answer and a shared
/// processor.
pub const CALL_OVERHEAD: Micros = 500_000;
/// The longest that a call takes to fail, microseconds: a second for the connection, its queueing, and
/// the answer.
const LONGEST_CALL: Micros = 1_000_000 + QUEUE_TIMEOUT + ANSWER_TIMEOUT + 250_000;
/// A failed call may have been made just before discovery could be reached: the next one is made so
/// long after it at the latest, microseconds, that it is answered within [`STALENESS_LIMIT`].
pub const RETRY_DEADLINE: Micros = STALENESS_LIMIT - QUEUE_TIMEOUT - CALL_OVERHEAD;
/// Slots that a retry is spread over: the calls that failed were too many at a time already.
const RETRY_SLOTS: u64 = 2;
/// The shortest backoff is the longest time without a watch, divided by this.
const MIN_BACKOFF_DIVISOR: u64 = 128;
/// The longest backoff, likewise, where [`RETRY_DEADLINE`] is no shorter.
const MAX_BACKOFF_DIVISOR: u64 = 4;
/// Jitter of a backoff, as a share of it in either direction.
const JITTER: f64 = 0.3;

/// Paces the calls of one dispatcher that start a watch.
#[derive(Debug, Clone)]
pub struct WatchPacer {
    /// Dispatchers that must not call at the same time; two do no harm.
    competitors: u64,
    /// The longest time without a watch.
    watch_within: Micros,
    /// Calls that failed in a row; none before the first call.
    failures: Option<u32>,
}

impl WatchPacer {
    /// The pacer of one of so many dispatchers; none where the list is pushed.
    pub fn new(dispatchers: u32, discovery: Discovery) -> Option<Self> {
        let Discovery::OnRequest { watch_within } = discovery else {
            return None;
        };
        Some(WatchPacer {
            competitors: u64::from(dispatchers.saturating_sub(2)),
            watch_within,
            failures: None,
        })
    }

    /// Whether no delay was asked for yet.
    pub fn is_first_call(&self) -> bool {
        self.failures.is_none()
    }

    /// How long to wait, microseconds, before the first call or after a failed one. `took` is how long
    /// that one took to fail, microseconds; `jitter` and `drawn` are uniform in 0 to 1.
    ///
    /// The first call is spread over 60 ms for each dispatcher beyond two, at most half of the longest
    /// time without a watch. The backoff after a failure doubles from one to the next, between 1/128
    /// and 1/4 of that time; on top comes twice the spread, which is the larger part where dispatchers
    /// are many. Both end [`RETRY_DEADLINE`] after the failed call was made. Where that cuts the delay,
    /// it is drawn from what is left: from all of it at first, since many may have failed at one
    /// moment, and then from its later half.
    ///
    /// A watch that times out after others were answered broke on its own: it is made again without a
    /// backoff.
    pub fn next_delay(
        &mut self,
        failure: DiscoveryFailure,
        took: Micros,
        jitter: f64,
        drawn: f64,
    ) -> Micros {
        let before = self.failures;
        self.failures = Some(before.map_or(0, |f| f.saturating_add(1)));
        // No call takes longer: what did was a watch that went on, and it broke just now.
        let took = if took > LONGEST_CALL { 0 } else { took };
        let limit = RETRY_DEADLINE.saturating_sub(took);
        match (before, failure) {
            (None, _) => scaled(self.spread(1).min(self.watch_within / 2), drawn),
            (Some(0), DiscoveryFailure::TimedOut) => scaled(self.spread(1).min(limit), drawn),
            (Some(failures), _) => {
                let backoff = self.backoff(failures, jitter);
                let spread = self.spread(RETRY_SLOTS);
                if backoff.saturating_add(spread) <= limit {
                    return backoff + scaled(spread, drawn);
                }
                let half = limit / 2;
                let floor = if failures == 0 {
                    backoff.min(half)
                } else {
                    half
                };
                floor + scaled(limit - floor, drawn)
            }
        }
    }

    /// Discovery has answered.
    pub fn answered(&mut self) {
        self.failures = Some(0);
    }

    fn backoff(&self, failures: u32, jitter: f64) -> Micros {
        let shortest = self.watch_within / MIN_BACKOFF_DIVISOR;
        let longest = self.watch_within / MAX_BACKOFF_DIVISOR;
        let doubled = shortest.saturating_mul(1 << failures.min(16));
        scaled(doubled.min(longest), 1.0 - JITTER + 2.0 * JITTER * jitter)
    }

    fn spread(&self, slots: u64) -> Micros {
        self.competitors.saturating_mul(CALL_SLOT * slots)
    }
}

/// A span times a factor, in whole microseconds.
fn scaled(span: Micros, factor: f64) -> Micros {
    (span as f64 * factor).max(0.0) as Micros
}
