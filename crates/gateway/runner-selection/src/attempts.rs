//! The life of an attempt: its start, its first token, its end, and what is learned from each.

use crate::attempt::{Attempt, FirstToken, Traffic};
use crate::balancer::Balancer;
use crate::constants::{
    HOME_HIT_RATE_RANGE, MAX_ATTEMPTS_IN_FLIGHT, MAX_PROMPT_PARTS, MEMORY, MIN_PART_TOKENS,
    PACE_MEMORY, PACE_RANGE,
};
use crate::health::Availability;
use crate::runner::PendingFirstToken;
use crate::{AttemptId, Millis, Outcome, RequestProfile, RunnerKey};
use dispatch_policy::BackoffConfig;

/// How long an attempt held a slot, beside what is usual at its service.
struct Run {
    took_ms: f64,
    usual_ms: f64,
    /// The backoff of a runner of this service.
    backoff: BackoffConfig,
}

/// 1 or 0, to average.
fn indicator(holds: bool) -> f64 {
    f64::from(u8::from(holds))
}

impl Balancer {
    /// An attempt starts at this runner. Its end must be told by [`Balancer::attempt_ended`].
    pub fn attempt_started(
        &mut self,
        now: Millis,
        key: RunnerKey,
        request: &RequestProfile,
        traffic: Traffic,
    ) -> AttemptId {
        let id = self.next_attempt;
        self.next_attempt += 1;
        if self.attempts.len() >= MAX_ATTEMPTS_IN_FLIGHT {
            // Never ended, as it seems: the oldest is forgotten.
            if let Some(oldest) = self.attempts.keys().next().copied() {
                self.attempt_ended(now, AttemptId(oldest), Outcome::ClientDisconnected);
            }
        }
        if let Some(attempt) = self.new_attempt(now, key, request, traffic) {
            self.count_at_runner(now, id, &attempt);
            self.count_at_service(now, request, &attempt);
            self.attempts.insert(id, attempt);
        }
        AttemptId(id)
    }

    /// What is expected of an attempt; none if the runner is gone.
    fn new_attempt(
        &mut self,
        now: Millis,
        key: RunnerKey,
        request: &RequestProfile,
        traffic: Traffic,
    ) -> Option<Attempt> {
        let at = self.get(key)?.service;
        let affinity = self.affinity(now, at, request);
        let (service, runner) = (self.services.get(at)?, self.get(key)?);
        let cached = self.cached_tokens(service, request, &affinity, key, runner);
        let expected = self
            .estimate(now, service, request, runner, cached)
            .first_token_ms;
        let requested = f64::from(request.prompt_tokens) + f64::from(request.max_output_tokens);
        let load = runner.load(now, service);
        Some(Attempt {
            runner: key,
            service: at,
            traffic,
            started_at: now,
            first_token_at: None,
            target_at: now + Millis::from(request.target_ms.saturating_sub(request.waited_ms)),
            tokens: service.total_tokens(request),
            uncached_tokens: (service.prompt_tokens(request) - cached.likely).max(0.0),
            hung_at: now + service.hung_after_ms(expected) as Millis,
            retryable: request.retryable || traffic == Traffic::Item,
            reported_overdue: false,
            ran_alone: runner.pending_first_tokens.is_empty()
                && runner.prefill_until <= now as f64
                && load + 1.0 < runner.slots,
            had_free_slot: load + 1.0 <= runner.slots,
            home_cached_tokens: cached.at_home,
            oversized: service.kv_capacity.is_some_and(|size| requested > size),
        })
    }

    fn count_at_runner(&mut self, now: Millis, id: u64, attempt: &Attempt) {
        let key = attempt.runner;
        let (Some(service), Some(runner)) = (self.services.get(attempt.service), self.get(key))
        else {
            return;
        };
        let prefill_ms = service.prefill_ms(attempt.uncached_tokens) * runner.pace_at(now);
        let is_probe = runner.health.availability(now) != Availability::Healthy;
        let Some(runner) = self.get_mut(key) else {
            return;
        };
        runner.in_flight += 1;
        runner.items_in_flight += u32::from(attempt.is_item());
        runner.tokens_in_flight += attempt.tokens;
        runner.prefilled_tokens += attempt.uncached_tokens;
        runner.prefill_until = runner.prefill_until.max(now as f64) + prefill_ms;
        runner.pending_first_tokens.push_back(PendingFirstToken {
            id,
            started_at: now,
            hung_at: attempt.hung_at,
        });
        if is_probe {
            runner.health.probe = Some(id);
        }
        // Live requests don't wait for a backoff where a free slot was reported, so they don't
        // prolong it either.
        if attempt.is_item() {
            runner.backoff.restart_interval(now);
        }
    }

    fn count_at_service(&mut self, now: Millis, request: &RequestProfile, attempt: &Attempt) {
        let prefilled = self
            .get(attempt.runner)
            .map_or(0.0, |runner| runner.prefilled_tokens);
        let Some(service) = self.services.get_mut(attempt.service) else {
            return;
        };
        service.in_flight += 1;
        service.note_live_in_flight();
        service.items_in_prefill += indicator(attempt.is_item());
        if attempt.is_item() {
            service.last_item_due_at = now + Millis::from(request.remaining_ms);
        }
        service.live_in_flight += u32::from(!attempt.is_item());
        service.tokens += (attempt.tokens - service.tokens) / MEMORY;
        service.uncached_tokens += (attempt.uncached_tokens - service.uncached_tokens) / MEMORY;
        if !service.llm {
            return;
        }
        let prefixes = &mut service.prefixes;
        if let Some((last, _)) = request.prompt_parts.last() {
            let recurs = indicator(prefixes.is_known(*last));
            prefixes.recurring_share += (recurs - prefixes.recurring_share) / MEMORY;
        }
        for (part, tokens) in request.prompt_parts.iter().take(MAX_PROMPT_PARTS) {
            if *tokens >= MIN_PART_TOKENS {
                prefixes.note_holder(*part, now, attempt.runner, prefilled);
            }
        }
    }

    /// The first token of a stream, or the head of an answer.
    pub fn first_token_received(&mut self, now: Millis, id: AttemptId) {
        let attempt = self.attempts.get_mut(&id.0);
        let Some(attempt) = attempt.filter(|attempt| attempt.first_token_at.is_none()) else {
            return;
        };
        attempt.first_token_at = Some(now);
        let attempt = *attempt;
        self.note_first_token(now, id.0, &attempt);
    }

    /// Another event of a stream: its runner is alive.
    pub fn event_received(&mut self, now: Millis, id: AttemptId) {
        let Some(key) = self.attempts.get(&id.0).map(|attempt| attempt.runner) else {
            return;
        };
        if let Some(runner) = self.get_mut(key) {
            runner.last_activity_at = runner.last_activity_at.max(now);
        }
    }

    fn note_first_token(&mut self, now: Millis, id: u64, attempt: &Attempt) {
        let took = now.saturating_sub(attempt.started_at) as f64;
        let mut rng = self.rng.clone();
        let Some(service) = self.services.get_mut(attempt.service) else {
            return;
        };
        let terms = service.backoff_terms();
        service.first_token_ms.add(took);
        service.items_in_prefill -= indicator(attempt.is_item());
        if attempt.is_item() && service.live_in_flight == 0 {
            // There is no live request to give way to.
            service.late_share -= service.late_share / MEMORY;
        }
        if !attempt.is_item() {
            let is_late = indicator(now > attempt.target_at);
            service.late_share += (is_late - service.late_share) / MEMORY;
        }
        if attempt.ran_alone && service.llm {
            if attempt.home_cached_tokens > 0.0 {
                // Nearer to what it takes with the part in the cache, or without?
                let at_home = attempt.home_cached_tokens;
                let hit_rate = service.prefixes.home_hit_rate;
                let hit = service.prefill.base_ms
                    + service.prefill_ms(attempt.uncached_tokens + at_home * hit_rate - at_home);
                let half = service.prefill_ms(at_home) / 2.0;
                let was_hit = indicator(took < hit + half);
                let learned = hit_rate + (was_hit - hit_rate) / MEMORY;
                service.prefixes.home_hit_rate =
                    learned.clamp(HOME_HIT_RATE_RANGE.0, HOME_HIT_RATE_RANGE.1);
            } else {
                service.prefill.add(attempt.uncached_tokens, took);
            }
        }
        if let Some(runner) = self.get_mut(attempt.runner) {
            runner.last_activity_at = runner.last_activity_at.max(now);
            runner.end_prefill(now, id);
            runner.health.recover(&mut rng);
            runner.backoff.record_success(&terms, &mut rng);
        }
        self.rng = rng;
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, now: Millis, id: AttemptId, outcome: Outcome) {
        let Some(mut attempt) = self.attempts.remove(&id.0) else {
            return;
        };
        let was_silent = attempt.first_token_at.is_none();
        if outcome == Outcome::Completed && was_silent {
            self.note_first_token(now, id.0, &attempt);
            attempt.first_token_at = Some(attempt.started_at);
        }
        let Some(run) = self.end_at_service(now, &attempt, outcome) else {
            return;
        };
        let mut rng = self.rng.clone();
        let Some(runner) = self.get_mut(attempt.runner) else {
            return;
        };
        let first_token = match (was_silent, runner.release(now, id.0, &attempt)) {
            (false, _) => FirstToken::Received,
            (true, false) => FirstToken::Pending,
            (true, true) => FirstToken::Overdue,
        };
        if outcome.shows_life() {
            runner.last_activity_at = runner.last_activity_at.max(now);
        }
        match outcome {
            Outcome::Completed => {
                // Sizes differ: one run counts for little, and a long one for no more than a few.
                let pace = (run.took_ms / run.usual_ms.max(1.0)).clamp(PACE_RANGE.0, PACE_RANGE.1);
                runner.relative_pace += (pace - runner.relative_pace) / PACE_MEMORY;
            }
            // One that is larger than the memory is rejected by an empty runner, too.
            Outcome::Rejected if attempt.oversized => {}
            Outcome::Rejected => {
                // The load that it reported at this moment says more than that it is full.
                if runner.reported.is_none_or(|load| load.at < now) {
                    runner.note_load(now, runner.slots + f64::from(runner.in_flight));
                }
                runner.last_rejected_at = Some(now);
                runner.backoff.record_failure(now, &run.backoff, &mut rng);
            }
            Outcome::NotRun | Outcome::ConnectFailed => {
                runner.backoff.record_failure(now, &run.backoff, &mut rng);
            }
            _ => {}
        }
        let ejection = runner.health.note_outcome(outcome, first_token);
        self.rng = rng;
        if let Some(min_ms) = ejection {
            self.eject(now, attempt.runner, min_ms);
        }
    }

    /// Takes an attempt off its service, and learns from it how long runs take.
    fn end_at_service(&mut self, now: Millis, attempt: &Attempt, outcome: Outcome) -> Option<Run> {
        let service = self.services.get_mut(attempt.service)?;
        service.in_flight = service.in_flight.saturating_sub(1);
        service.note_live_in_flight();
        service.live_in_flight = service
            .live_in_flight
            .saturating_sub(u32::from(!attempt.is_item()));
        let (usual_ms, backoff) = (service.run_ms.mean, service.backoff_terms());
        let since_start = now.saturating_sub(attempt.started_at) as f64;
        // The time in a slot: without what it waited for one.
        let first_token_at = attempt.first_token_at.filter(|_| service.llm);
        let took_ms = first_token_at.map_or(since_start, |first| {
            now.saturating_sub(first) as f64 + service.prefill_ms(attempt.uncached_tokens)
        });
        if outcome == Outcome::Completed && (service.llm || attempt.had_free_slot) {
            service.run_ms.add(took_ms);
        }
        if attempt.is_item() && attempt.first_token_at.is_none() {
            service.items_in_prefill -= 1.0;
        }
        Some(Run {
            took_ms,
            usual_ms,
            backoff,
        })
    }
}
