//! What became of a sending, and what runners say of themselves.

use crate::constants::{
    AVOID_WRONG_MS, ERRORS, HOME_SURE_RANGE, LEAST_PART, MAX_PROMPT_PARTS, MAX_SENDS, MEMORY,
    OTHERS_MEMORY, PACE_MEMORY, PACE_RANGE, REPORT_LAG_MS,
};
use crate::engines::{Attempt, Balancer};
use crate::health::Availability;
use crate::runner::PendingFirstToken;
use crate::{AttemptId, LoadReport, Millis, Outcome, RequestProfile, RunnerKey};

impl Balancer {
    /// It was sent there.
    pub fn attempt_started(
        &mut self,
        now: Millis,
        key: RunnerKey,
        want: &RequestProfile,
        item: bool,
    ) -> AttemptId {
        let id = self.next_attempt;
        self.next_attempt += 1;
        if self.attempts.len() >= MAX_SENDS {
            // Never ended, as it seems: the oldest is forgotten.
            if let Some(oldest) = self.attempts.keys().next().copied() {
                self.attempt_ended(now, AttemptId(oldest), Outcome::ClientDisconnected);
            }
        }
        let Some(at) = self.get(key).map(|r| r.service) else {
            return AttemptId(id);
        };
        let steering = self.affinity(now, at, want);
        let (Some(svc), Some(r)) = (self.services.get(at), self.get(key)) else {
            return AttemptId(id);
        };
        let kept = self.cached_tokens(svc, want, &steering, key, r);
        let expected = self.estimate(now, svc, want, r, kept).first_token_ms;
        let tokens = svc.total_tokens(want);
        let asked = f64::from(want.prompt_tokens) + f64::from(want.max_output_tokens);
        let unread = (svc.prompt_tokens(want) - kept.likely).max(0.0);
        let reading = svc.prefill_ms(unread) * r.pace_at(now);
        let limit = now + svc.hung_after_ms(expected) as Millis;
        let sending = Attempt {
            runner: key,
            service: at,
            item,
            started_at: now,
            first_token_at: None,
            target_at: now + Millis::from(want.target_ms.saturating_sub(want.waited_ms)),
            tokens,
            uncached_tokens: unread,
            hung_at: limit,
            retryable: want.retryable || item,
            reported_overdue: false,
            ran_alone: r.pending_first_tokens.is_empty()
                && r.prefill_until <= now as f64
                && r.load(now, svc) + 1.0 < r.slots,
            had_free_slot: r.load(now, svc) + 1.0 <= r.slots,
            home_cached_tokens: kept.at_home,
            oversized: svc.kv_capacity.is_some_and(|size| asked > size),
        };
        let trial = r.health.availability(now) != Availability::Healthy;
        if let Some(r) = self.get_mut(key) {
            r.in_flight += 1;
            r.items_in_flight += u32::from(item);
            r.tokens_in_flight += tokens;
            r.prefilled_tokens += unread;
            r.prefill_until = r.prefill_until.max(now as f64) + reading;
            r.pending_first_tokens.push_back(PendingFirstToken {
                id,
                started_at: now,
                hung_at: limit,
            });
            if trial {
                r.health.probe = Some(id);
            }
            // Live requests don't wait for sleepers where room is told, so they don't put them off either.
            if item {
                r.backoff.pushed(now);
            }
        }
        let read = self.get(key).map_or(0.0, |r| r.prefilled_tokens);
        if let Some(svc) = self.services.get_mut(at) {
            svc.in_flight += 1;
            svc.mean_live_in_flight +=
                (f64::from(svc.live_in_flight) - svc.mean_live_in_flight) / MEMORY;
            svc.items_in_prefill += f64::from(u8::from(item));
            if item {
                svc.last_item_due_at = now + Millis::from(want.remaining_ms);
            }
            svc.live_in_flight += u32::from(!item);
            svc.tokens += (tokens - svc.tokens) / MEMORY;
            svc.uncached_tokens += (unread - svc.uncached_tokens) / MEMORY;
            let last = want
                .prompt_parts
                .last()
                .filter(|_| svc.llm)
                .map(|(id, _)| svc.prefixes.is_known(*id));
            if let Some(known) = last {
                svc.prefixes.recurring_share +=
                    (f64::from(u8::from(known)) - svc.prefixes.recurring_share) / MEMORY;
            }
            let worth = want
                .prompt_parts
                .iter()
                .take(MAX_PROMPT_PARTS)
                .filter(|(_, tokens)| svc.llm && *tokens >= LEAST_PART);
            worth.for_each(|(id, _)| svc.prefixes.note_holder(*id, now, key, read));
        }
        self.attempts.insert(id, sending);
        AttemptId(id)
    }

    /// The first token of a stream, or the head of an answer.
    pub fn first_token_received(&mut self, now: Millis, id: AttemptId) {
        let Some(sending) = self
            .attempts
            .get_mut(&id.0)
            .filter(|s| s.first_token_at.is_none())
        else {
            return;
        };
        sending.first_token_at = Some(now);
        let sending = *sending;
        self.note_first_token(now, id.0, &sending);
    }

    /// Another event of a stream: its runner lives.
    pub fn event_received(&mut self, now: Millis, id: AttemptId) {
        let Some(key) = self.attempts.get(&id.0).map(|s| s.runner) else {
            return;
        };
        if let Some(r) = self.get_mut(key) {
            r.last_activity_at = r.last_activity_at.max(now);
        }
    }

    fn note_first_token(&mut self, now: Millis, id: u64, s: &Attempt) {
        let took = now.saturating_sub(s.started_at) as f64;
        let mut rng = self.rng.clone();
        let Some(svc) = self.services.get_mut(s.service) else {
            return;
        };
        let terms = svc.backoff_terms();
        svc.first_token_ms.add(took);
        svc.items_in_prefill -= f64::from(u8::from(s.item));
        if s.item && svc.live_in_flight == 0 {
            // Nobody to give way to.
            svc.late_share -= svc.late_share / MEMORY;
        }
        if !s.item {
            svc.late_share += (f64::from(u8::from(now > s.target_at)) - svc.late_share) / MEMORY;
        }
        if s.ran_alone && svc.llm {
            if s.home_cached_tokens > 0.0 {
                // Nearer to what it takes with the part in memory, or without?
                let hit = svc.prefill.base_ms
                    + svc.prefill_ms(
                        s.uncached_tokens + s.home_cached_tokens * svc.prefixes.home_hit_rate
                            - s.home_cached_tokens,
                    );
                let half = svc.prefill_ms(s.home_cached_tokens) / 2.0;
                let sure = f64::from(u8::from(took < hit + half));
                let learned =
                    svc.prefixes.home_hit_rate + (sure - svc.prefixes.home_hit_rate) / MEMORY;
                svc.prefixes.home_hit_rate = learned.clamp(HOME_SURE_RANGE.0, HOME_SURE_RANGE.1);
            } else {
                svc.prefill.add(s.uncached_tokens, took);
            }
        }
        if let Some(r) = self.get_mut(s.runner) {
            r.last_activity_at = r.last_activity_at.max(now);
            r.first_token_done(id);
            if r.pending_first_tokens.is_empty() {
                r.prefill_until = r.prefill_until.min(now as f64);
            }
            r.health.recover(&mut rng);
            r.backoff.success(&terms, &mut rng);
        }
        self.rng = rng;
    }

    /// A sending is over.
    pub fn attempt_ended(&mut self, now: Millis, id: AttemptId, end: Outcome) {
        let Some(mut s) = self.attempts.remove(&id.0) else {
            return;
        };
        let silent = s.first_token_at.is_none();
        if end == Outcome::Completed && silent {
            self.note_first_token(now, id.0, &s);
            s.first_token_at = Some(s.started_at);
        }
        let Some(svc) = self.services.get_mut(s.service) else {
            return;
        };
        svc.in_flight = svc.in_flight.saturating_sub(1);
        svc.mean_live_in_flight +=
            (f64::from(svc.live_in_flight) - svc.mean_live_in_flight) / MEMORY;
        svc.live_in_flight = svc.live_in_flight.saturating_sub(u32::from(!s.item));
        let took = now.saturating_sub(s.started_at) as f64;
        let (usual, terms) = (svc.run_ms.mean, svc.backoff_terms());
        // The time in a slot: without what it waited for one.
        let run = s.first_token_at.filter(|_| svc.llm).map_or(took, |f| {
            now.saturating_sub(f) as f64 + svc.prefill_ms(s.uncached_tokens)
        });
        if end == Outcome::Completed && (svc.llm || s.had_free_slot) {
            svc.run_ms.add(run);
        }
        if s.item && s.first_token_at.is_none() {
            svc.items_in_prefill -= 1.0;
        }
        let mut rng = self.rng.clone();
        let Some(r) = self.get_mut(s.runner) else {
            return;
        };
        let overdue = r
            .pending_first_tokens
            .iter()
            .any(|u| u.id == id.0 && now > u.hung_at)
            && r.last_activity_at <= s.started_at;
        r.in_flight = r.in_flight.saturating_sub(1);
        r.items_in_flight = r.items_in_flight.saturating_sub(u32::from(s.item));
        r.tokens_in_flight = (r.tokens_in_flight - s.tokens).max(0.0);
        r.first_token_done(id.0);
        if r.pending_first_tokens.is_empty() {
            r.prefill_until = r.prefill_until.min(now as f64);
        }
        if r.health.probe == Some(id.0) {
            r.health.probe = None;
        }
        if matches!(
            end,
            Outcome::Completed
                | Outcome::Rejected
                | Outcome::ServerError
                | Outcome::NotRun
                | Outcome::Misdirected
        ) {
            r.last_activity_at = r.last_activity_at.max(now);
        }
        let mut strike = None;
        match end {
            Outcome::Completed => {
                r.health.consecutive_errors = 0;
                // Sizes differ: one run counts for little, and a long one for no more than a few.
                let pace = (run / usual.max(1.0)).clamp(PACE_RANGE.0, PACE_RANGE.1);
                r.relative_pace += (pace - r.relative_pace) / PACE_MEMORY;
            }
            // One that is larger than the memory is turned away by an empty runner, too.
            Outcome::Rejected if s.oversized => {}
            Outcome::Rejected => {
                // Its own word of this moment says more than that it is full.
                if r.reported.is_none_or(|t| t.at < now) {
                    r.note_load(now, r.slots + f64::from(r.in_flight));
                }
                r.last_rejected_at = Some(now);
                r.backoff.failure(now, &terms, &mut rng);
            }
            Outcome::NotRun => r.backoff.failure(now, &terms, &mut rng),
            Outcome::ConnectFailed => {
                r.backoff.failure(now, &terms, &mut rng);
                strike = Some(0.0);
            }
            Outcome::ConnectionLost if silent => strike = Some(0.0),
            Outcome::ConnectionLost | Outcome::ServerError => {
                r.health.consecutive_errors += 1;
                strike = (r.health.consecutive_errors >= ERRORS).then_some(0.0);
            }
            Outcome::Misdirected => strike = Some(AVOID_WRONG_MS),
            Outcome::TimedOut if silent => strike = Some(0.0),
            Outcome::ClientDisconnected if silent && overdue => strike = Some(0.0),
            Outcome::TimedOut | Outcome::ClientDisconnected => {}
        }
        self.rng = rng;
        if let Some(least) = strike {
            self.eject(now, s.runner, least);
        }
    }

    /// `Fordrelay-Runner-Load` of an answer.
    pub fn load_reported(
        &mut self,
        now: Millis,
        key: RunnerKey,
        running: u32,
        waiting: u32,
        slots: u32,
    ) {
        let Some(at) = self.get(key).map(|r| r.service) else {
            return;
        };
        let reading = self
            .services
            .get(at)
            .map_or(0.0, |svc| svc.prefill_ms(svc.uncached_tokens));
        let Some(r) = self.get_mut(key) else { return };
        r.last_activity_at = r.last_activity_at.max(now);
        let before = r.offered_slots();
        if slots > 0 {
            r.slots = f64::from(slots);
        }
        let more = r.offered_slots() - before;
        r.note_load(now, f64::from(running) + f64::from(waiting));
        // What waits there unread by the others is ahead of what is sent now.
        let ahead = (f64::from(waiting) - r.pending_first_tokens.len() as f64).max(0.0);
        r.prefill_until = r.prefill_until.max(now as f64 + ahead * reading);
        self.count_slots(at, more);
        self.note_load_by_others(now, at, key);
    }

    /// The answer to `/-/report`.
    pub fn report_received(&mut self, now: Millis, key: RunnerKey, report: LoadReport) {
        let Some(at) = self.get(key).map(|r| r.service) else {
            return;
        };
        let mut rng = self.rng.clone();
        let Some(r) = self.get_mut(key) else { return };
        r.last_activity_at = r.last_activity_at.max(now);
        // It answers: a runner that hangs doesn't.
        r.health.recover(&mut rng);
        let told = now.saturating_sub(REPORT_LAG_MS);
        // An answer's own word is newer than a report.
        if r.reported.is_none_or(|t| t.at <= told) {
            r.note_load(told, f64::from(report.queued) + f64::from(report.active));
        }
        if report.kv_size > 0 {
            r.kv = Some((told, report.kv_in_use as f64, report.kv_size as f64));
        }
        self.rng = rng;
        self.note_load_by_others(now, at, key);
    }

    fn note_load_by_others(&mut self, now: Millis, at: usize, key: RunnerKey) {
        let Some(share) = self
            .get(key)
            .and_then(|r| Some(r.reported?.by_others / r.slots.max(1.0)))
        else {
            return;
        };
        if let Some(svc) = self.services.get_mut(at) {
            svc.load_by_others += (share - svc.load_by_others) / OTHERS_MEMORY;
            svc.last_report_at = svc.last_report_at.max(now);
        }
    }
}
