//! The values that callers pass in and get back.

use crate::Millis;
use compact_str::CompactString;

/// Names a runner within one [`crate::Balancer`]; a runner that comes again has another key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunnerKey(pub u32);

/// One attempt at a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// What the configuration says of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceTerms {
    /// Connections that a runner accepts from all dispatchers together.
    pub max_conns: u32,
    /// Tokens that a runner's KV cache holds, where it is a model runner.
    pub kv_capacity: Option<u64>,
    /// Whether its runners are model runners: prompts, tokens and `/-/report`.
    pub llm: bool,
}

/// What matters of a request for the selection of a runner.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestProfile {
    /// The service.
    pub service: CompactString,
    /// Id and tokens of the parts of the prompt, in order; the last one is the request's or its
    /// session's own.
    pub prompt_parts: Vec<(u64, u32)>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer at most.
    pub max_output_tokens: u32,
    /// The latency target: milliseconds to the first token (or the answer).
    pub target_ms: u32,
    /// Milliseconds that the client still waits; for an item those until it is due.
    pub remaining_ms: u32,
    /// Milliseconds since the request came.
    pub waited_ms: u32,
    /// Priority of the route, 0 the highest.
    pub priority: u8,
    /// Runners that were attempted already: avoided while there are others.
    pub attempted: Vec<RunnerKey>,
    /// This is the last attempt that its route allows.
    pub is_last_attempt: bool,
    /// It may run more than once: idempotent, resumable or an item. Only such requests probe a
    /// runner that was ejected.
    pub retryable: bool,
}

/// Where a live request goes now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// To this runner; [`crate::Balancer::attempt_started`] is to be called then.
    Send {
        /// The runner.
        runner: RunnerKey,
    },
    /// No runner is available just now: ask again then (or when an answer has come).
    Wait {
        /// The time on the monotonic clock.
        until: Millis,
    },
    /// It would miss its time: reject it now.
    Reject {
        /// When a retry has a chance, milliseconds from now.
        retry_after_ms: u64,
    },
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer.
    Completed,
    /// Not run: the runner is full.
    Rejected,
    /// No connection.
    ConnectFailed,
    /// The connection or the answer broke.
    ConnectionLost,
    /// The runner's own 500: it ran.
    ServerError,
    /// Not run for another reason, or returned unstarted.
    NotRun,
    /// 421: another runner has this address by now.
    Misdirected,
    /// No answer within its time.
    TimedOut,
    /// The client left, or the dispatcher cancelled it.
    ClientDisconnected,
}

/// `Fordrelay-Runner-Load` of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunnerLoad {
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Its slots; 0 if it doesn't tell.
    pub slots: u32,
}

/// The answer to `/-/report`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Requests that wait there.
    pub queued: u32,
    /// Requests that run there.
    pub active: u32,
    /// Tokens in the KV cache that can't be evicted.
    pub kv_in_use: u64,
    /// Tokens that its KV cache holds.
    pub kv_size: u64,
}

impl Outcome {
    /// Whether the runner itself answered.
    pub(crate) fn shows_life(self) -> bool {
        matches!(
            self,
            Outcome::Completed
                | Outcome::Rejected
                | Outcome::ServerError
                | Outcome::NotRun
                | Outcome::Misdirected
        )
    }
}

/// What was learned of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceEstimates {
    /// Slots of its runners that are up.
    pub slots: f64,
    /// Time to a first token of an empty prompt with nothing ahead.
    pub base_ms: f64,
    /// Time to prefill one token.
    pub per_token_ms: f64,
    /// Mean time to first tokens.
    pub first_token_ms: f64,
    /// Mean time of a run.
    pub run_ms: f64,
    /// Learned chance that a home has its part by other dispatchers' requests.
    pub home_hit_rate: f64,
    /// Share of the slots that other dispatchers hold.
    pub load_by_others: f64,
    /// Share of live requests whose first token missed the target.
    pub late_share: f64,
    /// Share of the slots that items leave free.
    pub item_reserve: f64,
}
