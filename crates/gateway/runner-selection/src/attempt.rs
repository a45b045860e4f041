//! One attempt at a runner that has not ended, as it was when it started.

use crate::{Millis, RunnerKey};

/// What is sent to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Traffic {
    /// A request whose client waits.
    Live,
    /// An item of a batch job.
    Item,
}

/// Whether the first token of an attempt had come when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FirstToken {
    Received,
    Pending,
    /// It was still missing long after it was expected, and the runner showed no sign of life.
    Overdue,
}

/// One attempt that has not ended.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts, most of them observed when the attempt started"
)]
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) runner: RunnerKey,
    /// The index of the service.
    pub(crate) service: usize,
    pub(crate) traffic: Traffic,
    pub(crate) started_at: Millis,
    pub(crate) first_token_at: Option<Millis>,
    /// A first token after this misses the latency target.
    pub(crate) target_at: Millis,
    /// Tokens of the prompt and the answer.
    pub(crate) tokens: f64,
    /// Tokens of the prompt that are probably not in the runner's KV cache.
    pub(crate) uncached_tokens: f64,
    /// Without a first token by then the runner hangs.
    pub(crate) hung_at: Millis,
    pub(crate) retryable: bool,
    /// It was reported as overdue.
    pub(crate) reported_overdue: bool,
    /// Nothing else was ahead of it, as far as was known: its first token shows the prefill speed.
    pub(crate) ran_alone: bool,
    /// It found a slot free.
    pub(crate) had_free_slot: bool,
    /// Tokens of shared parts that its home was trusted to have by other dispatchers' requests.
    pub(crate) home_cached_tokens: f64,
    /// It needs more tokens than a runner's memory holds.
    pub(crate) oversized: bool,
}

impl Attempt {
    pub(crate) fn is_item(&self) -> bool {
        self.traffic == Traffic::Item
    }
}
