//! What is learned of a service: prefill speed, first tokens, runs, the load by other dispatchers.

use crate::constants::{
    BACKOFF_DOWN, BACKOFF_INITIAL_RUNS, BACKOFF_MAX_RANDOMIZATION_RUNS, BACKOFF_MAX_RUNS,
    BACKOFF_MIN_MS, BACKOFF_RANDOMIZATION, BACKOFF_SUCCESSES_DOWN, BACKOFF_UP, BASE_MS, BASE_RANGE,
    FADE_RANGE_MS, FADE_RUNS, FIT_MEMORY, FIT_OUTLIER, FIT_PRIOR, HUNG_DEVIATIONS, HUNG_MIN_MS,
    HUNG_TIMES, ITEM_PREFILL_SHARE, MAX_TOKENS, MEMORY, OTHERS_HALF_MS, PER_TOKEN_MS,
    PER_TOKEN_RANGE, RUN_MS, TARGET_MS,
};
use crate::prefix_table::PrefixTable;
use crate::{Millis, RequestProfile, RunnerKey, ServiceTerms};
use compact_str::CompactString;
use dispatch_policy::BackoffConfig;

/// Mean and mean deviation that forget exponentially.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DecayingMean {
    pub(crate) mean: f64,
    pub(crate) deviation: f64,
    count: f64,
}

impl DecayingMean {
    pub(crate) fn from(guess: f64) -> Self {
        DecayingMean {
            mean: guess,
            deviation: guess / 2.0,
            count: 1.0,
        }
    }

    pub(crate) fn add(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(MEMORY);
        let off = value - self.mean;
        self.mean += off / self.count;
        self.deviation += (off.abs() - self.deviation) / self.count;
    }
}

/// First-token time over uncached tokens: a line by least squares that forgets exponentially.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PrefillFit {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    pub(crate) base_ms: f64,
    pub(crate) per_token_ms: f64,
}

impl PrefillFit {
    fn new() -> Self {
        let mut fit = PrefillFit {
            n: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
            base_ms: BASE_MS,
            per_token_ms: PER_TOKEN_MS,
        };
        // The prior, as samples: an empty prompt, and one of some thousand tokens.
        for tokens in [0.0, 5_000.0] {
            fit.sample(tokens, BASE_MS + tokens * PER_TOKEN_MS, FIT_PRIOR / 2.0);
        }
        fit
    }

    fn sample(&mut self, x: f64, y: f64, weight: f64) {
        self.n += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    pub(crate) fn add(&mut self, tokens: f64, ms: f64) {
        let keep = 1.0 - 1.0 / FIT_MEMORY;
        for sum in [
            &mut self.n,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= keep;
        }
        // Something unknown was ahead of some samples: one of these must not tilt the line.
        let expected = self.base_ms + self.per_token_ms * tokens;
        self.sample(tokens, ms.min(FIT_OUTLIER * expected + BASE_MS), 1.0);
        let spread = self.n * self.xx - self.x * self.x;
        // Prompts of one size don't show the speed.
        if spread > 1.0e-3 * self.n * self.xx && spread > 0.0 {
            let slope = (self.n * self.xy - self.x * self.y) / spread;
            self.per_token_ms = slope.clamp(PER_TOKEN_RANGE.0, PER_TOKEN_RANGE.1);
        }
        self.base_ms =
            ((self.y - self.per_token_ms * self.x) / self.n).clamp(BASE_RANGE.0, BASE_RANGE.1);
    }
}

#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: CompactString,
    pub(crate) llm: bool,
    pub(crate) max_conns: u32,
    pub(crate) kv_capacity: Option<f64>,
    /// All its known runners.
    pub(crate) members: Vec<RunnerKey>,
    /// Slots of those that are up.
    pub(crate) slots: f64,
    pub(crate) prefill: PrefillFit,
    pub(crate) first_token_ms: DecayingMean,
    /// Time in a slot.
    pub(crate) run_ms: DecayingMean,
    /// Mean tokens of a prompt and its answer.
    pub(crate) tokens: f64,
    /// Mean uncached tokens of a prompt.
    pub(crate) uncached_tokens: f64,
    /// Load by other dispatchers for each slot, over the runners, and when a runner last reported.
    pub(crate) load_by_others: f64,
    pub(crate) last_report_at: Millis,
    /// Share of live requests whose first token missed the target.
    pub(crate) late_share: f64,
    /// Requests and items of this dispatcher in flight.
    pub(crate) in_flight: u32,
    /// Items of this dispatcher without a first token, and the mean latency target of live
    /// requests.
    pub(crate) items_in_prefill: f64,
    pub(crate) target_ms: f64,
    /// When the item is due that was started last.
    pub(crate) last_item_due_at: Millis,
    /// Live requests of this dispatcher in flight, now and on average.
    pub(crate) live_in_flight: u32,
    pub(crate) mean_live_in_flight: f64,
    pub(crate) prefixes: PrefixTable,
}

impl Service {
    pub(crate) fn new(name: &str, terms: ServiceTerms) -> Self {
        let mut service = Service {
            name: name.into(),
            llm: false,
            max_conns: 0,
            kv_capacity: None,
            members: Vec::new(),
            slots: 0.0,
            prefill: PrefillFit::new(),
            first_token_ms: DecayingMean::from(BASE_MS),
            run_ms: DecayingMean::from(RUN_MS),
            tokens: 1_000.0,
            uncached_tokens: 500.0,
            load_by_others: 0.0,
            last_report_at: 0,
            late_share: 0.0,
            in_flight: 0,
            items_in_prefill: 0.0,
            target_ms: TARGET_MS,
            last_item_due_at: 0,
            live_in_flight: 0,
            mean_live_in_flight: 0.0,
            prefixes: PrefixTable::default(),
        };
        service.apply_terms(terms);
        service
    }

    pub(crate) fn apply_terms(&mut self, terms: ServiceTerms) {
        self.llm = terms.llm;
        self.max_conns = terms.max_conns;
        self.kv_capacity = terms.kv_capacity.map(|tokens| tokens as f64);
    }

    /// Averages the live requests in flight; called before their number changes.
    pub(crate) fn note_live_in_flight(&mut self) {
        let live = f64::from(self.live_in_flight);
        self.mean_live_in_flight += (live - self.mean_live_in_flight) / MEMORY;
    }

    /// How much of a report of that time still counts, from 1 down to 0.
    pub(crate) fn report_weight(&self, now: Millis, at: Millis) -> f64 {
        let half = (self.run_ms.mean * FADE_RUNS).clamp(FADE_RANGE_MS.0, FADE_RANGE_MS.1);
        half / (half + now.saturating_sub(at) as f64)
    }

    /// Mean load by other dispatchers for each slot; without reports it decays to nothing.
    pub(crate) fn load_by_others(&self, now: Millis) -> f64 {
        self.load_by_others * OTHERS_HALF_MS
            / (OTHERS_HALF_MS + now.saturating_sub(self.last_report_at) as f64)
    }

    /// Share of the slots in use, queued requests included; none where no runner reported lately.
    pub(crate) fn usage(&self, now: Millis) -> Option<f64> {
        let recent = self.last_report_at > 0
            && now.saturating_sub(self.last_report_at) as f64 <= OTHERS_HALF_MS;
        recent.then(|| self.load_by_others + f64::from(self.in_flight) / self.slots.max(1.0))
    }

    /// Milliseconds until the next items are due: stores give the earliest due first, so no earlier
    /// than the last one was.
    pub(crate) fn item_slack(&self, now: Millis) -> f64 {
        self.last_item_due_at.saturating_sub(now) as f64
    }

    /// Tokens of a prompt, bounded by what a runner can hold.
    pub(crate) fn prompt_tokens(&self, request: &RequestProfile) -> f64 {
        f64::from(request.prompt_tokens).min(self.kv_capacity.unwrap_or(MAX_TOKENS))
    }

    /// Tokens of a prompt and its answer, bounded alike.
    pub(crate) fn total_tokens(&self, request: &RequestProfile) -> f64 {
        let most = self.kv_capacity.unwrap_or(MAX_TOKENS);
        (f64::from(request.prompt_tokens) + f64::from(request.max_output_tokens)).min(most)
    }

    /// Milliseconds to prefill so many tokens.
    pub(crate) fn prefill_ms(&self, tokens: f64) -> f64 {
        if self.llm {
            tokens * self.prefill.per_token_ms
        } else {
            0.0
        }
    }

    pub(crate) fn backoff_terms(&self) -> BackoffConfig {
        let run = self.run_ms.mean;
        BackoffConfig {
            initial: (BACKOFF_INITIAL_RUNS * run).max(BACKOFF_MIN_MS),
            max: (BACKOFF_MAX_RUNS * run).max(BACKOFF_MIN_MS),
            increase_factor: BACKOFF_UP,
            decrease_factor: BACKOFF_DOWN,
            successes_to_decrease: BACKOFF_SUCCESSES_DOWN,
            jitter: BACKOFF_RANDOMIZATION,
            max_jitter: BACKOFF_MAX_RANDOMIZATION_RUNS * run,
        }
    }

    /// Items of one dispatcher that so many runners may have in prefill at a time.
    pub(crate) fn max_items_in_prefill(&self, dispatchers: f64, runners: f64) -> f64 {
        let each = self.prefill_ms(self.uncached_tokens).max(1.0);
        (runners * ITEM_PREFILL_SHARE * self.target_ms / each / dispatchers).max(1.0)
    }

    /// Milliseconds after which an attempt without its expected first token counts as hung.
    pub(crate) fn hung_after_ms(&self, expected: f64) -> f64 {
        let peers = self.first_token_ms.mean + HUNG_DEVIATIONS * self.first_token_ms.deviation;
        (HUNG_TIMES * expected).max(peers).max(HUNG_MIN_MS)
    }
}
