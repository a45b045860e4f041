//! What became of a sending, and what runners say of themselves.

use crate::constants::{
    AVOID_WRONG_MS, ERRORS, HOME_SURE_RANGE, LEAST_PART, MAX_PROMPT_PARTS, MAX_SENDS, MEMORY,
    OTHERS_MEMORY, PACE_MEMORY, PACE_RANGE, REPORT_LAG_MS,
};
use crate::engines::{Engines, Sending};
use crate::health::Fit;
use crate::runner::Unanswered;
use crate::{End, Ms, Report, RunnerKey, SendId, Want};

impl Engines {
    /// It was sent there.
    pub fn sent(&mut self, now: Ms, key: RunnerKey, want: &Want, item: bool) -> SendId {
        let id = self.next_send;
        self.next_send += 1;
        if self.sends.len() >= MAX_SENDS {
            // Never ended, as it seems: the oldest is forgotten.
            if let Some(oldest) = self.sends.keys().next().copied() {
                self.ended(now, SendId(oldest), End::ClientLeft);
            }
        }
        let Some(at) = self.at(key).map(|r| r.svc) else {
            return SendId(id);
        };
        let steering = self.steering(now, at, want);
        let (Some(svc), Some(r)) = (self.svcs.get(at), self.at(key)) else {
            return SendId(id);
        };
        let kept = self.kept(svc, want, &steering, key, r);
        let expected = self.estimate(now, svc, want, r, kept).first;
        let tokens = svc.whole(want);
        let asked = f64::from(want.tokens_in) + f64::from(want.tokens_out);
        let unread = (svc.prompt(want) - kept.likely).max(0.0);
        let reading = svc.reading(unread) * r.paced(now);
        let limit = now + svc.patience(expected) as Ms;
        let sending = Sending {
            key,
            svc: at,
            item,
            sent: now,
            first: None,
            late_at: now + Ms::from(want.target_ms.saturating_sub(want.waited_ms)),
            tokens,
            unread,
            limit,
            repeatable: want.repeatable || item,
            told: false,
            alone: r.unanswered.is_empty()
                && r.busy_until <= now as f64
                && r.load(now, svc) + 1.0 < r.slots,
            roomy: r.load(now, svc) + 1.0 <= r.slots,
            trusted: kept.trusted,
            oversized: svc.kv_capacity.is_some_and(|size| asked > size),
        };
        let trial = r.health.fit(now) != Fit::Yes;
        if let Some(r) = self.at_mut(key) {
            r.own += 1;
            r.own_items += u32::from(item);
            r.own_tokens += tokens;
            r.read += unread;
            r.busy_until = r.busy_until.max(now as f64) + reading;
            r.unanswered.push_back(Unanswered {
                id,
                sent: now,
                limit,
            });
            if trial {
                r.health.trial = Some(id);
            }
            // Live requests don't wait for sleepers where room is told, so they don't put them off either.
            if item {
                r.sleeper.pushed(now);
            }
        }
        let read = self.at(key).map_or(0.0, |r| r.read);
        if let Some(svc) = self.svcs.get_mut(at) {
            svc.own += 1;
            svc.live_mean += (f64::from(svc.live) - svc.live_mean) / MEMORY;
            svc.items_unread += f64::from(u8::from(item));
            if item {
                svc.item_due = now + Ms::from(want.left_ms);
            }
            svc.live += u32::from(!item);
            svc.tokens += (tokens - svc.tokens) / MEMORY;
            svc.unread += (unread - svc.unread) / MEMORY;
            let last = want
                .prefix
                .last()
                .filter(|_| svc.llm)
                .map(|(id, _)| svc.parts.is_known(*id));
            if let Some(known) = last {
                svc.parts.again += (f64::from(u8::from(known)) - svc.parts.again) / MEMORY;
            }
            let worth = want
                .prefix
                .iter()
                .take(MAX_PROMPT_PARTS)
                .filter(|(_, tokens)| svc.llm && *tokens >= LEAST_PART);
            worth.for_each(|(id, _)| svc.parts.sent(*id, now, key, read));
        }
        self.sends.insert(id, sending);
        SendId(id)
    }

    /// The first token of a stream, or the head of an answer.
    pub fn first_token(&mut self, now: Ms, id: SendId) {
        let Some(sending) = self.sends.get_mut(&id.0).filter(|s| s.first.is_none()) else {
            return;
        };
        sending.first = Some(now);
        let sending = *sending;
        self.begun(now, id.0, &sending);
    }

    /// Another event of a stream: its runner lives.
    pub fn event(&mut self, now: Ms, id: SendId) {
        let Some(key) = self.sends.get(&id.0).map(|s| s.key) else {
            return;
        };
        if let Some(r) = self.at_mut(key) {
            r.heard = r.heard.max(now);
        }
    }

    fn begun(&mut self, now: Ms, id: u64, s: &Sending) {
        let took = now.saturating_sub(s.sent) as f64;
        let mut rng = self.rng.clone();
        let Some(svc) = self.svcs.get_mut(s.svc) else {
            return;
        };
        let terms = svc.sleeper_terms();
        svc.first.add(took);
        svc.items_unread -= f64::from(u8::from(s.item));
        if s.item && svc.live == 0 {
            // Nobody to give way to.
            svc.late -= svc.late / MEMORY;
        }
        if !s.item {
            svc.late += (f64::from(u8::from(now > s.late_at)) - svc.late) / MEMORY;
        }
        if s.alone && svc.llm {
            if s.trusted > 0.0 {
                // Nearer to what it takes with the part in memory, or without?
                let hit = svc.fit.base
                    + svc.reading(s.unread + s.trusted * svc.parts.home_sure - s.trusted);
                let half = svc.reading(s.trusted) / 2.0;
                let sure = f64::from(u8::from(took < hit + half));
                let learned = svc.parts.home_sure + (sure - svc.parts.home_sure) / MEMORY;
                svc.parts.home_sure = learned.clamp(HOME_SURE_RANGE.0, HOME_SURE_RANGE.1);
            } else {
                svc.fit.add(s.unread, took);
            }
        }
        if let Some(r) = self.at_mut(s.key) {
            r.heard = r.heard.max(now);
            r.answered(id);
            if r.unanswered.is_empty() {
                r.busy_until = r.busy_until.min(now as f64);
            }
            r.health.well(&mut rng);
            r.sleeper.success(&terms, &mut rng);
        }
        self.rng = rng;
    }

    /// A sending is over.
    pub fn ended(&mut self, now: Ms, id: SendId, end: End) {
        let Some(mut s) = self.sends.remove(&id.0) else {
            return;
        };
        let silent = s.first.is_none();
        if end == End::Ok && silent {
            self.begun(now, id.0, &s);
            s.first = Some(s.sent);
        }
        let Some(svc) = self.svcs.get_mut(s.svc) else {
            return;
        };
        svc.own = svc.own.saturating_sub(1);
        svc.live_mean += (f64::from(svc.live) - svc.live_mean) / MEMORY;
        svc.live = svc.live.saturating_sub(u32::from(!s.item));
        let took = now.saturating_sub(s.sent) as f64;
        let (usual, terms) = (svc.hold.mean, svc.sleeper_terms());
        // The time in a slot: without what it waited for one.
        let run = s.first.filter(|_| svc.llm).map_or(took, |f| {
            now.saturating_sub(f) as f64 + svc.reading(s.unread)
        });
        if end == End::Ok && (svc.llm || s.roomy) {
            svc.hold.add(run);
        }
        if s.item && s.first.is_none() {
            svc.items_unread -= 1.0;
        }
        let mut rng = self.rng.clone();
        let Some(r) = self.at_mut(s.key) else { return };
        let overdue =
            r.unanswered.iter().any(|u| u.id == id.0 && now > u.limit) && r.heard <= s.sent;
        r.own = r.own.saturating_sub(1);
        r.own_items = r.own_items.saturating_sub(u32::from(s.item));
        r.own_tokens = (r.own_tokens - s.tokens).max(0.0);
        r.answered(id.0);
        if r.unanswered.is_empty() {
            r.busy_until = r.busy_until.min(now as f64);
        }
        if r.health.trial == Some(id.0) {
            r.health.trial = None;
        }
        if matches!(
            end,
            End::Ok | End::Refused | End::Failed | End::NotRun | End::WrongRunner
        ) {
            r.heard = r.heard.max(now);
        }
        let mut strike = None;
        match end {
            End::Ok => {
                r.health.errors = 0;
                // Sizes differ: one run counts for little, and a long one for no more than a few.
                let pace = (run / usual.max(1.0)).clamp(PACE_RANGE.0, PACE_RANGE.1);
                r.pace += (pace - r.pace) / PACE_MEMORY;
            }
            // One that is larger than the memory is turned away by an empty runner, too.
            End::Refused if s.oversized => {}
            End::Refused => {
                // Its own word of this moment says more than that it is full.
                if r.told.is_none_or(|t| t.at < now) {
                    r.told(now, r.slots + f64::from(r.own));
                }
                r.refused = Some(now);
                r.sleeper.failure(now, &terms, &mut rng);
            }
            End::NotRun => r.sleeper.failure(now, &terms, &mut rng),
            End::ConnectFailed => {
                r.sleeper.failure(now, &terms, &mut rng);
                strike = Some(0.0);
            }
            End::Broken if silent => strike = Some(0.0),
            End::Broken | End::Failed => {
                r.health.errors += 1;
                strike = (r.health.errors >= ERRORS).then_some(0.0);
            }
            End::WrongRunner => strike = Some(AVOID_WRONG_MS),
            End::TimedOut if silent => strike = Some(0.0),
            End::ClientLeft if silent && overdue => strike = Some(0.0),
            End::TimedOut | End::ClientLeft => {}
        }
        self.rng = rng;
        if let Some(least) = strike {
            self.strike(now, s.key, least);
        }
    }

    /// `Fordrelay-Runner-Load` of an answer.
    pub fn load(&mut self, now: Ms, key: RunnerKey, running: u32, waiting: u32, slots: u32) {
        let Some(at) = self.at(key).map(|r| r.svc) else {
            return;
        };
        let reading = self.svcs.get(at).map_or(0.0, |svc| svc.reading(svc.unread));
        let Some(r) = self.at_mut(key) else { return };
        r.heard = r.heard.max(now);
        let before = r.offered();
        if slots > 0 {
            r.slots = f64::from(slots);
        }
        let more = r.offered() - before;
        r.told(now, f64::from(running) + f64::from(waiting));
        // What waits there unread by the others is ahead of what is sent now.
        let ahead = (f64::from(waiting) - r.unanswered.len() as f64).max(0.0);
        r.busy_until = r.busy_until.max(now as f64 + ahead * reading);
        self.count_slots(at, more);
        self.others_seen(now, at, key);
    }

    /// The answer to `/-/report`.
    pub fn report(&mut self, now: Ms, key: RunnerKey, report: Report) {
        let Some(at) = self.at(key).map(|r| r.svc) else {
            return;
        };
        let mut rng = self.rng.clone();
        let Some(r) = self.at_mut(key) else { return };
        r.heard = r.heard.max(now);
        // It answers: a runner that hangs doesn't.
        r.health.well(&mut rng);
        let told = now.saturating_sub(REPORT_LAG_MS);
        // An answer's own word is newer than a report.
        if r.told.is_none_or(|t| t.at <= told) {
            r.told(told, f64::from(report.queued) + f64::from(report.active));
        }
        if report.kv_size > 0 {
            r.kv = Some((told, report.kv_in_use as f64, report.kv_size as f64));
        }
        self.rng = rng;
        self.others_seen(now, at, key);
    }

    fn others_seen(&mut self, now: Ms, at: usize, key: RunnerKey) {
        let Some(share) = self
            .at(key)
            .and_then(|r| Some(r.told?.others / r.slots.max(1.0)))
        else {
            return;
        };
        if let Some(svc) = self.svcs.get_mut(at) {
            svc.others += (share - svc.others) / OTHERS_MEMORY;
            svc.others_at = svc.others_at.max(now);
        }
    }
}
