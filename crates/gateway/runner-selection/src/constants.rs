//! Every constant of the choice, with its reason.

use crate::Millis;

// The backoff of a runner; spans are multiples of the mean run of a request.
/// A runner of some dozens of slots frees one much more often than this: one rejection costs
/// little.
pub const BACKOFF_INITIAL_RUNS: f64 = 0.05;
/// A runner that rejects all the time is attempted once in a few runs.
pub const BACKOFF_MAX_RUNS: f64 = 4.0;
pub const BACKOFF_UP: f64 = 2.0;
pub const BACKOFF_DOWN: f64 = 0.5;
pub const BACKOFF_SUCCESSES_DOWN: u32 = 3;
pub const BACKOFF_RANDOMIZATION: f64 = 0.3;
pub const BACKOFF_MAX_RANDOMIZATION_RUNS: f64 = 1.0;
/// The first interval is never shorter: less is no pause on a loaded machine.
pub const BACKOFF_MIN_MS: f64 = 5.0;

// What is learned, and where it starts.
/// Prior of the time to a first token of an empty prompt with nothing ahead.
pub const BASE_MS: f64 = 10.0;
/// Prior of prefilling one token of a prompt: 100 tokens a millisecond, the middle of known
/// engines.
pub const PER_TOKEN_MS: f64 = 0.01;
/// Balancer slower or faster than this are not known; a fit outside is noise.
pub const PER_TOKEN_RANGE: (f64, f64) = (0.0005, 0.5);
pub const BASE_RANGE: (f64, f64) = (0.5, 1_000.0);
/// First tokens that the fit of the prefill speed remembers: some seconds of one dispatcher's
/// traffic.
pub const FIT_MEMORY: f64 = 100.0;
/// A first token that took more than this multiple of the expected time counts for no more.
pub const FIT_OUTLIER: f64 = 2.0;
/// Samples that the neutral guess counts for.
pub const FIT_PRIOR: f64 = 4.0;
/// Prior of a run, until runs have ended.
pub const RUN_MS: f64 = 300.0;
/// Prior of the latency target of live requests.
pub const TARGET_MS: f64 = 300.0;
/// Runs that means and deviations remember.
pub const MEMORY: f64 = 32.0;
/// Reports that the mean load by other dispatchers remembers: about as many as there are runners in
/// a small fleet.
pub const OTHERS_MEMORY: f64 = 10.0;
/// Runs that the pace of one runner remembers: sizes differ much from run to run.
pub const PACE_MEMORY: f64 = 12.0;
/// A pace this near to the others' is noise of the sizes.
pub const PACE_NOISE: (f64, f64) = (0.75, 1.35);
/// A single run counts for no more in a pace.
pub const PACE_RANGE: (f64, f64) = (0.3, 4.0);
/// A runner that reports that it is warming up counts as so much slower: it reports how long, not
/// how much.
pub const COLD_PACE: f64 = 1.5;

// Loads.
/// A report of a runner has decayed by half to the mean of the service after so many runs: that
/// many have ended.
pub const FADE_RUNS: f64 = 1.0;
pub const FADE_RANGE_MS: (f64, f64) = (100.0, 3_000.0);
/// `/-/report` shows the load of some hundred milliseconds before.
pub const REPORT_LAG_MS: Millis = 100;

/// A report that counts for less than this counts as none: one request may go and see.
pub const UNKNOWN_BELOW: f64 = 0.2;
/// The mean load by other dispatchers has decayed by half so long after the last report of any
/// runner.
pub const OTHERS_HALF_MS: f64 = 2_000.0;

// Live requests.
/// Runners up to which all are looked at; beyond, homes and a few drawn ones: the cost must not
/// grow with the fleet.
pub const MAX_SCANNED: usize = 64;
/// ... so many drawn ones: the best of eight is nearly the best of all.
pub const SAMPLED: usize = 8;
/// Runners drawn for a request of a plain service: two choices take away most of the wait, a third
/// bears a bad one.
pub const PLAIN_CHOICES: usize = 3;
/// Choices whose first tokens differ by less than this are equal: dispatchers don't know each
/// other's sends of the last moments.
pub const NEAR_MS: f64 = 5.0;
/// ... or by less than this share of the expected time.
pub const NEAR_SHARE: f64 = 0.1;
/// Another zone costs as much as this: it is to be passed over among equals only.
pub const ZONE_MS: f64 = 5.0;
/// ... and this for each token sent there: bytes between zones are priced, some four bytes a token.
pub const ZONE_PER_TOKEN_MS: f64 = 0.0003;
/// A part that is prefilled again costs the requests beside it about as much as its own, so prefill
/// counts twice.
pub const PREFILL_WEIGHT: f64 = 2.0;
/// A part that takes less to prefill than this is not steered by: about what two runners' waits
/// differ by without a queue.
pub const AFFINITY_MIN_MS: f64 = 8.0;
/// Homes cached for a part: the next ones stand in when the first is out or too full.
pub const HOMES: usize = 4;
/// A home is skipped beyond this multiple of the mean load (consistent hashing with bounded loads)
/// ...
pub const HOME_BOUND: f64 = 1.5;
/// ... and this share of its slots, so that a quiet fleet doesn't spread its parts.
pub const HOME_SLACK: f64 = 0.15;
/// How much a runner that is no home counts that was sent the part lately: a bit less, so that
/// copies come together at the home.
pub const HOLDER_AFFINITY: f64 = 0.85;
/// Chance that a runner still has what was sent there lately.
pub const HOLDER_HIT_RATE: f64 = 0.95;
/// Prior of the chance that a home has its part by other dispatchers' requests, and its range.
pub const HOME_HIT_RATE: f64 = 0.6;
pub const HOME_HIT_RATE_RANGE: (f64, f64) = (0.2, 0.95);
/// Share of a runner's KV cache that may have been prefilled since, with the part still there: the
/// running requests hold the rest.
pub const RETAINED_SHARE: f64 = 0.6;
/// Runners remembered for a part.
pub const HOLDERS: usize = 4;
/// PrefixTable of one prompt that are looked at.
pub const MAX_PROMPT_PARTS: usize = 32;
/// Tokens of a prompt and its answer at most, where the KV cache of the runners isn't known.
pub const MAX_TOKENS: f64 = 2.0e6;
/// PrefixTable remembered for a service: some kilobytes of kinds, and the sessions of half a
/// minute.
pub const MAX_PARTS: usize = 4_096;
/// A part of fewer tokens isn't remembered: it costs nothing to prefill.
pub const MIN_PART_TOKENS: u32 = 64;
/// Last parts that come again from this share on are sessions': they have homes from their first
/// request.
pub const SESSION_SHARE: f64 = 0.3;
/// Share of its latency target that a request may wait for a runner; beyond a quarter a rejection
/// is priced as late.
pub const WAIT_SHARE: f64 = 0.2;
/// A wait ends for another look after this at the latest, since answers bring reports.
pub const MAX_WAIT_MS: Millis = 25;
/// Where no slot is free and its turn is expected beyond this share of the target, a request is
/// rejected at once: a late answer earns a third and makes the next ones late, too; one that comes
/// back and is in time then earns two thirds. The wait is known roughly, and the prompt is still to
/// be prefilled, so it is well below one: in the model of the tests, with a sixth more traffic than
/// the runners can do, more than half of those served were late at 1.25, and a fifth at 0.5. What
/// the prompt itself takes doesn't count, or the kind with the longest ones would give way alone.
pub const REJECT_BEYOND_TARGET: f64 = 0.5;
/// Share of what the client still waits that the expected first token may take, by priority: the
/// first, the others. Leaves time for the rest of the answer; lower priorities give way first.
pub const PATIENCE_BY_PRIORITY: (f64, f64) = (0.8, 0.5);
/// `Retry-After` is drawn in these multiples of the time that a slot takes to free: those rejected
/// together come back spread.
pub const RETRY_SPREAD: (f64, f64) = (0.8, 1.6);
/// ... and this where no runner is there: a runner's start is published after about so long.
pub const RETRY_NO_RUNNER_MS: f64 = 500.0;
pub const RETRY_RANGE_MS: (f64, f64) = (50.0, 2_000.0);
/// Clients heed it up to a third of their time left; a longer one is as good as none.
pub const RETRY_SHARE: f64 = 0.3;

// Outlier ejection.
/// A first ejection: long enough for one more look, short for a reset that meant nothing.
pub const EJECTION_FIRST_MS: f64 = 150.0;
pub const EJECTION_UP: f64 = 2.0;
/// A runner that came back is found within this.
pub const EJECTION_MAX_MS: f64 = 3_000.0;
/// Drawn around it, so that dispatchers don't come back together.
pub const EJECTION_JITTER: f64 = 0.3;
/// An ejection after 421: the address is another's until the registry says otherwise.
pub const EJECTION_MISDIRECTED_MS: f64 = 1_000.0;
/// Error answers in a row that eject a runner: single ones happen anywhere.
pub const ERRORS_TO_EJECT: u32 = 3;
/// Silent for so many expected first-token times it hangs ...
pub const HUNG_TIMES: f64 = 4.0;
/// ... or so many deviations beyond the mean of its peers ...
pub const HUNG_DEVIATIONS: f64 = 4.0;
/// ... and never before this: a lost packet is sent again after 200 ms.
pub const HUNG_MIN_MS: f64 = 250.0;
/// A live request probes a runner so long after its ejection is over, in spans of it: a report is
/// cheaper and goes first.
pub const LIVE_PROBE_GRACE: f64 = 0.5;
/// After so many spans of it an ejection is forgotten: nothing that may probe the runner came by.
pub const EJECTION_FORGET: f64 = 8.0;
/// Beyond this share of ejected runners the fault is likelier on this side: they are used again
/// where the others are full (Envoy's panic threshold).
pub const PANIC_SHARE: f64 = 0.6;

// Items.
/// Share of the slots that stays free of items at least: a live request must not wait for an item's
/// end.
pub const RESERVE_MIN: f64 = 0.06;
/// ... and this share of what live requests use by now: so much more of them may come within an
/// item's run.
pub const RESERVE_GROWTH: f64 = 0.35;
pub const RESERVE_MAX: f64 = 0.4;
/// Share of late live requests from which items give way, and the span over which they do so.
pub const LATE_TOLERATED: f64 = 0.05;
pub const LATE_SPAN: f64 = 0.3;
/// ... but for this share of the free slots: batch jobs are due, too.
pub const ITEMS_MIN_SHARE: f64 = 0.25;
/// An item due within this takes the reserve as well, more of it the nearer: its value is highest
/// until then.
pub const URGENT_MS: f64 = 3_000.0;
/// Items due later than this leave the whole reserve free even of one that the fleet as a whole
/// seems to have room for; the nearer they are due, the less of it. Several times [`URGENT_MS`], so
/// that what waits still has time to be run.
pub const RELAXED_MS: f64 = 9_000.0;
/// Weight of a runner whose last report is old and whose slots seem taken: it stays in the draw.
pub const MIN_FREE_SLOTS: f64 = 0.05;
/// Share of the connections to a runner that items may hold.
pub const ITEM_CONNS: f64 = 0.75;
/// Share of the live latency target that items may keep a runner in prefill: a live request queues
/// behind them.
pub const ITEM_PREFILL_SHARE: f64 = 0.12;
/// Runners looked at for an item in a large fleet.
pub const ITEM_SCAN: usize = 32;

// Probes by `/-/report`.
/// Probes in a second at most, and how many at once: each costs about a hundredth of a request.
pub const PROBES_PER_S: f64 = 2.0;
pub const PROBE_BURST: f64 = 4.0;
/// A load reported longer ago than this is worth a probe where it matters.
pub const REPORT_STALE_MS: Millis = 1_500;
/// It matters in a fleet that is used beyond this share.
pub const PROBE_USAGE: f64 = 0.4;

// Bounds.
/// Runners known at most; more are ignored. The largest deployments have some thousands.
pub const MAX_RUNNERS: usize = 1 << 16;
/// Services known at most; those without runners give way.
pub const MAX_SERVICES: usize = 256;
/// Attempts in flight at most: more than a dispatcher has descriptors for.
pub const MAX_ATTEMPTS_IN_FLIGHT: usize = 16_384;
/// Runners in `attempted` that are heeded.
pub const MAX_ATTEMPTED: usize = 16;
/// Connections to a runner that a dispatcher may hold whatever the share is.
pub const MIN_CONNS: u32 = 2;
