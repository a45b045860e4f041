//! What is asked and answered.

use crate::Millis;
use compact_str::CompactString;

/// A runner as [`crate::Balancer`] knows it; a runner that comes anew has another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunnerKey(pub u32);

/// One sending to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// What the configuration says of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceTerms {
    /// Connections that a runner accepts from all dispatchers together.
    pub max_conns: u32,
    /// Tokens that a runner's memory holds, where it is a model runner.
    pub kv_capacity: Option<u64>,
    /// Whether its runners are model runners: prompts, tokens and `/-/report`.
    pub llm: bool,
}

/// What looks for a runner.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestProfile {
    /// The service.
    pub service: CompactString,
    /// Id and tokens of the parts of the prompt, in order; the last one is the request's or its
    /// session's own.
    pub prompt_parts: Vec<(u64, u32)>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens to be sent out.
    pub max_output_tokens: u32,
    /// The objective: milliseconds to the first token (or the answer).
    pub target_ms: u32,
    /// Milliseconds that the client still waits; for an item those until it is due.
    pub remaining_ms: u32,
    /// Milliseconds since the request came.
    pub waited_ms: u32,
    /// Rank of the route, 0 the highest.
    pub priority: u8,
    /// Runners that it was sent to already: avoided while there are others.
    pub attempted: Vec<RunnerKey>,
    /// It can be sent once more and then not again.
    pub is_last_attempt: bool,
    /// It may run more than once: idempotent, resumable or an item. Only such ones try a runner that was
    /// in trouble.
    pub retryable: bool,
}

/// Where a live request goes now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// To this runner; [`crate::Balancer::sent`] is to be called when it is sent.
    Send {
        /// The runner.
        runner: RunnerKey,
    },
    /// Nobody is fit just now: ask again then (or when an answer has come).
    Wait {
        /// The time on the steady clock.
        until: Millis,
    },
    /// It can't make its time: refuse it now.
    Reject {
        /// When a new try has a chance, milliseconds from now.
        retry_after_ms: u64,
    },
}

/// How a sending ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Completed,
    /// Not run: the runner is full.
    Rejected,
    /// No connection.
    ConnectFailed,
    /// The connection or the answer broke.
    ConnectionLost,
    /// The runner's own 500: it ran.
    ServerError,
    /// Not run for another reason, or handed back unstarted.
    NotRun,
    /// 421: another runner has this address by now.
    Misdirected,
    /// No answer within its time.
    TimedOut,
    /// The client left, or the dispatcher broke it off itself.
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
    /// Tokens in memory that can't give way.
    pub kv_in_use: u64,
    /// Tokens that its memory holds.
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
    /// Time to a first token with nothing to read and nothing ahead.
    pub base_ms: f64,
    /// Time to read one token of a prompt.
    pub per_token_ms: f64,
    /// DecayingMean time to first tokens.
    pub first_token_ms: f64,
    /// DecayingMean time of a run.
    pub run_ms: f64,
    /// How sure it is that a home has its part by the others' requests.
    pub home_hit_rate: f64,
    /// Share of the slots that other dispatchers hold.
    pub load_by_others: f64,
    /// Share of live requests that came late.
    pub late_share: f64,
    /// Share of the slots that items leave free.
    pub item_reserve: f64,
}
