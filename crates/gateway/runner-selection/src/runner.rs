//! What is known of one runner.

use crate::constants::{COLD_PACE, PACE_DEAD, SILENT};
use crate::health::Health;
use crate::service::Service;
use crate::Millis;
use compact_str::CompactString;
use dispatch_policy::Sleeper;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// What a runner told of its load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReportedLoad {
    pub(crate) at: Millis,
    /// Requests there that aren't this dispatcher's.
    pub(crate) by_others: f64,
}

/// A sending without a first token yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingFirstToken {
    pub(crate) id: u64,
    pub(crate) started_at: Millis,
    /// Silent until then the runner hangs.
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
    pub(crate) backoff: Sleeper,
    pub(crate) health: Health,
    pub(crate) in_flight: u32,
    pub(crate) items_in_flight: u32,
    /// Tokens, in and out, of what is in flight there.
    pub(crate) tokens_in_flight: f64,
    pub(crate) reported: Option<ReportedLoad>,
    /// When what was sent there will have been read, as far as is known.
    pub(crate) prefill_until: f64,
    pub(crate) pending_first_tokens: VecDeque<PendingFirstToken>,
    /// The last sign of life.
    pub(crate) last_activity_at: Millis,
    /// Time of recent runs as a multiple of what was expected.
    pub(crate) relative_pace: f64,
    /// Tokens that this dispatcher had it read: the age of what its memory keeps.
    pub(crate) prefilled_tokens: f64,
    /// Memory in use, of its size, and when it was told.
    pub(crate) kv: Option<(Millis, f64, f64)>,
    /// When it turned something away as full last.
    pub(crate) last_rejected_at: Option<Millis>,
    /// When a report was asked for last.
    pub(crate) last_probe_at: Option<Millis>,
}

impl Runner {
    /// Slots that count for its service.
    pub(crate) fn offered_slots(&self) -> f64 {
        if self.up {
            self.slots
        } else {
            0.0
        }
    }

    /// Requests of the others: what was told fades to the mean.
    pub(crate) fn load_by_others(&self, now: Millis, svc: &Service) -> f64 {
        let mean = svc.load_by_others(now) * self.slots;
        match self.reported {
            Some(told) => mean + (told.by_others - mean) * svc.report_weight(now, told.at),
            None => mean,
        }
    }

    pub(crate) fn load(&self, now: Millis, svc: &Service) -> f64 {
        self.load_by_others(now, svc) + f64::from(self.in_flight)
    }

    /// Whether what it told is recent enough to go by.
    pub(crate) fn report_is_fresh(&self, now: Millis, svc: &Service) -> bool {
        self.reported
            .is_some_and(|t| svc.report_weight(now, t.at) >= 0.5)
    }

    /// Nothing is known of it by now, and no answer is on its way that would tell.
    pub(crate) fn is_unknown(&self, now: Millis, svc: &Service) -> bool {
        self.pending_first_tokens.is_empty()
            && self
                .reported
                .is_none_or(|t| svc.report_weight(now, t.at) < SILENT)
    }

    pub(crate) fn pace_at(&self, now: Millis) -> f64 {
        let pace = if self.relative_pace > PACE_DEAD.0 && self.relative_pace < PACE_DEAD.1 {
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

    /// Share of its memory that is taken, beyond one where a request of so many tokens would not fit.
    pub(crate) fn memory_share(&self, now: Millis, svc: &Service, tokens: f64) -> f64 {
        let Some(size) = self
            .kv
            .map(|(_, _, size)| size)
            .or(svc.kv_capacity)
            .filter(|s| *s > 0.0)
        else {
            return 0.0;
        };
        let guess = self.tokens_in_flight + self.load_by_others(now, svc) * svc.tokens;
        let used = match self.kv {
            // ReportedLoad a while ago: what is in flight by now counts as well.
            Some((at, used, _)) => {
                let fresh = svc.report_weight(now, at);
                used * fresh + guess * (1.0 - fresh)
            }
            None => guess,
        };
        (used + tokens) / size
    }

    pub(crate) fn first_token_done(&mut self, id: u64) {
        self.pending_first_tokens.retain(|u| u.id != id);
    }

    /// Silence beyond its limit, since the last strike and with no other sign of life.
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

    /// How much longer than expected the oldest sending has waited.
    pub(crate) fn overdue_ms(&self, now: Millis) -> f64 {
        self.pending_first_tokens
            .front()
            .map_or(0.0, |u| now.saturating_sub(u.hung_at) as f64)
    }
}
