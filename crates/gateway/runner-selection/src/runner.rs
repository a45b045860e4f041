//! What one dispatcher knows of one runner.

use crate::attempt::Attempt;
use crate::constants::{COLD_PACE, PACE_NOISE, UNKNOWN_BELOW};
use crate::health::Health;
use crate::prefix_table::hashed;
use crate::service::Service;
use crate::Millis;
use compact_str::CompactString;
use dispatch_policy::AdaptiveBackoff;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// KV cache in use, as a runner reported it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KvUsage {
    pub(crate) reported_at: Millis,
    /// Tokens that can't be evicted.
    pub(crate) used: f64,
    /// Tokens that it holds.
    pub(crate) size: f64,
}

/// What a runner reported of its load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReportedLoad {
    pub(crate) at: Millis,
    /// Requests of other dispatchers there.
    pub(crate) by_others: f64,
}

/// An attempt without a first token yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingFirstToken {
    pub(crate) id: u64,
    pub(crate) started_at: Millis,
    /// Without a sign of life by then the runner hangs.
    pub(crate) hung_at: Millis,
}

#[derive(Debug)]
pub(crate) struct Runner {
    pub(crate) id: CompactString,
    pub(crate) hash: u64,
    pub(crate) addr: SocketAddr,
    pub(crate) in_own_zone: bool,
    pub(crate) service: usize,
    pub(crate) slots: f64,
    pub(crate) up: bool,
    pub(crate) warming_until: Millis,
    pub(crate) backoff: AdaptiveBackoff,
    pub(crate) health: Health,
    pub(crate) in_flight: u32,
    pub(crate) items_in_flight: u32,
    /// Tokens of prompts and answers in flight there.
    pub(crate) tokens_in_flight: f64,
    pub(crate) reported: Option<ReportedLoad>,
    /// When the prompts sent there will be prefilled, as far as is known.
    pub(crate) prefill_until: f64,
    pub(crate) pending_first_tokens: VecDeque<PendingFirstToken>,
    /// When it last showed a sign of life.
    pub(crate) last_activity_at: Millis,
    /// Time of recent runs as a multiple of the mean of its service.
    pub(crate) relative_pace: f64,
    /// Tokens that this dispatcher had it prefill: the age of what its KV cache holds.
    pub(crate) prefilled_tokens: f64,
    /// KV cache in use, if it was reported.
    pub(crate) kv: Option<KvUsage>,
    /// When it last rejected an attempt as full.
    pub(crate) last_rejected_at: Option<Millis>,
    /// When it was last probed.
    pub(crate) last_probe_at: Option<Millis>,
}

impl Runner {
    /// A runner as the registry lists it, of which nothing else is known.
    pub(crate) fn new(
        now: Millis,
        registered: &runner_registry::Runner,
        service: usize,
        in_own_zone: bool,
    ) -> Self {
        Runner {
            id: registered.id.as_str().into(),
            hash: hashed(registered.id.as_str()),
            addr: registered.addr,
            in_own_zone,
            service,
            slots: f64::from(registered.slots.max(1)),
            up: true,
            warming_until: now.saturating_add(registered.warmup_left_ms),
            backoff: AdaptiveBackoff::default(),
            health: Health::default(),
            in_flight: 0,
            items_in_flight: 0,
            tokens_in_flight: 0.0,
            reported: None,
            prefill_until: 0.0,
            pending_first_tokens: VecDeque::new(),
            last_activity_at: 0,
            relative_pace: 1.0,
            prefilled_tokens: 0.0,
            kv: None,
            last_probe_at: None,
            last_rejected_at: None,
        }
    }

    /// Slots that count for its service: none while it drains.
    pub(crate) fn offered_slots(&self) -> f64 {
        if self.up {
            self.slots
        } else {
            0.0
        }
    }

    /// Requests of other dispatchers: a report decays to the mean of the service.
    pub(crate) fn load_by_others(&self, now: Millis, service: &Service) -> f64 {
        let mean = service.load_by_others(now) * self.slots;
        match self.reported {
            Some(load) => mean + (load.by_others - mean) * service.report_weight(now, load.at),
            None => mean,
        }
    }

    pub(crate) fn load(&self, now: Millis, service: &Service) -> f64 {
        self.load_by_others(now, service) + f64::from(self.in_flight)
    }

    /// Whether its report is recent enough to go by.
    pub(crate) fn report_is_fresh(&self, now: Millis, service: &Service) -> bool {
        self.reported
            .is_some_and(|t| service.report_weight(now, t.at) >= 0.5)
    }

    /// Whether no report counts any more, and no attempt is in flight whose answer would bring one.
    pub(crate) fn is_unknown(&self, now: Millis, service: &Service) -> bool {
        self.pending_first_tokens.is_empty()
            && self
                .reported
                .is_none_or(|t| service.report_weight(now, t.at) < UNKNOWN_BELOW)
    }

    pub(crate) fn pace_at(&self, now: Millis) -> f64 {
        let pace = if self.relative_pace > PACE_NOISE.0 && self.relative_pace < PACE_NOISE.1 {
            1.0
        } else {
            self.relative_pace
        };
        pace * if now < self.warming_until {
            COLD_PACE
        } else {
            1.0
        }
    }

    pub(crate) fn note_load(&mut self, at: Millis, load: f64) {
        self.reported = Some(ReportedLoad {
            at,
            by_others: (load - f64::from(self.in_flight)).max(0.0),
        });
    }

    /// Share of its KV cache in use with a request of so many tokens; above 1 it does not fit.
    pub(crate) fn memory_share(&self, now: Millis, service: &Service, tokens: f64) -> f64 {
        let Some(size) = self
            .kv
            .map(|kv| kv.size)
            .or(service.kv_capacity)
            .filter(|s| *s > 0.0)
        else {
            return 0.0;
        };
        let guess = self.tokens_in_flight + self.load_by_others(now, service) * service.tokens;
        let used = match self.kv {
            // Reported a while ago: what is in flight by now counts as well.
            Some(KvUsage {
                reported_at, used, ..
            }) => {
                let fresh = service.report_weight(now, reported_at);
                used * fresh + guess * (1.0 - fresh)
            }
            None => guess,
        };
        (used + tokens) / size
    }

    /// An attempt's prompt was prefilled, or the attempt is over.
    pub(crate) fn end_prefill(&mut self, now: Millis, id: u64) {
        self.pending_first_tokens.retain(|pending| pending.id != id);
        if self.pending_first_tokens.is_empty() {
            self.prefill_until = self.prefill_until.min(now as f64);
        }
    }

    /// An attempt is over; whether its first token was overdue, with no sign of life since it
    /// started.
    pub(crate) fn release(&mut self, now: Millis, id: u64, attempt: &Attempt) -> bool {
        let mut pending = self.pending_first_tokens.iter();
        let was_overdue = pending.any(|pending| pending.id == id && now > pending.hung_at)
            && self.last_activity_at <= attempt.started_at;
        self.in_flight = self.in_flight.saturating_sub(1);
        self.items_in_flight = self
            .items_in_flight
            .saturating_sub(u32::from(attempt.is_item()));
        self.tokens_in_flight = (self.tokens_in_flight - attempt.tokens).max(0.0);
        self.end_prefill(now, id);
        if self.health.probe == Some(id) {
            self.health.probe = None;
        }
        was_overdue
    }

    /// Whether an attempt is silent beyond its limit, since the last ejection and with no other
    /// sign of life.
    pub(crate) fn is_hung(&self, now: Millis) -> bool {
        let after = self.health.ejected_at;
        let counts = |u: &&PendingFirstToken| {
            after.is_none_or(|s| u.started_at > s) && self.last_activity_at <= u.started_at
        };
        self.pending_first_tokens
            .iter()
            .find(counts)
            .is_some_and(|u| now > u.hung_at)
    }

    /// How much longer than expected the oldest attempt has waited.
    pub(crate) fn overdue_ms(&self, now: Millis) -> f64 {
        self.pending_first_tokens
            .front()
            .map_or(0.0, |u| now.saturating_sub(u.hung_at) as f64)
    }
}
