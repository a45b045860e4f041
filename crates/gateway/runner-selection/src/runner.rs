//! What is known of one runner.

use crate::constants::{COLD_PACE, PACE_DEAD, SILENT};
use crate::health::Health;
use crate::service::Svc;
use crate::Ms;
use compact_str::CompactString;
use dispatch_policy::Sleeper;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// What a runner told of its load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Told {
    pub(crate) at: Ms,
    /// Requests there that aren't this dispatcher's.
    pub(crate) others: f64,
}

/// A sending without a first token yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Unanswered {
    pub(crate) id: u64,
    pub(crate) sent: Ms,
    /// Silent until then the runner hangs.
    pub(crate) limit: Ms,
}

#[derive(Debug)]
pub(crate) struct Runner {
    pub(crate) id: CompactString,
    pub(crate) hash: u64,
    pub(crate) addr: SocketAddr,
    pub(crate) near: bool,
    pub(crate) svc: usize,
    pub(crate) slots: f64,
    pub(crate) up: bool,
    pub(crate) cold_until: Ms,
    pub(crate) sleeper: Sleeper,
    pub(crate) health: Health,
    pub(crate) own: u32,
    pub(crate) own_items: u32,
    /// Tokens, in and out, of what is in flight there.
    pub(crate) own_tokens: f64,
    pub(crate) told: Option<Told>,
    /// When what was sent there will have been read, as far as is known.
    pub(crate) busy_until: f64,
    pub(crate) unanswered: VecDeque<Unanswered>,
    /// The last sign of life.
    pub(crate) heard: Ms,
    /// Time of recent runs as a multiple of what was expected.
    pub(crate) pace: f64,
    /// Tokens that this dispatcher had it read: the age of what its memory keeps.
    pub(crate) read: f64,
    /// Memory in use, of its size, and when it was told.
    pub(crate) kv: Option<(Ms, f64, f64)>,
    /// When it turned something away as full last.
    pub(crate) refused: Option<Ms>,
    /// When a report was asked for last.
    pub(crate) asked: Option<Ms>,
}

impl Runner {
    /// Slots that count for its service.
    pub(crate) fn offered(&self) -> f64 {
        if self.up {
            self.slots
        } else {
            0.0
        }
    }

    /// Requests of the others: what was told fades to the mean.
    pub(crate) fn others(&self, now: Ms, svc: &Svc) -> f64 {
        let mean = svc.others(now) * self.slots;
        match self.told {
            Some(told) => mean + (told.others - mean) * svc.fading(now, told.at),
            None => mean,
        }
    }

    pub(crate) fn load(&self, now: Ms, svc: &Svc) -> f64 {
        self.others(now, svc) + f64::from(self.own)
    }

    /// Whether what it told is recent enough to go by.
    pub(crate) fn fresh(&self, now: Ms, svc: &Svc) -> bool {
        self.told.is_some_and(|t| svc.fading(now, t.at) >= 0.5)
    }

    /// Nothing is known of it by now, and no answer is on its way that would tell.
    pub(crate) fn silent(&self, now: Ms, svc: &Svc) -> bool {
        self.unanswered.is_empty() && self.told.is_none_or(|t| svc.fading(now, t.at) < SILENT)
    }

    pub(crate) fn paced(&self, now: Ms) -> f64 {
        let pace = if self.pace > PACE_DEAD.0 && self.pace < PACE_DEAD.1 {
            1.0
        } else {
            self.pace
        };
        pace * if now < self.cold_until {
            COLD_PACE
        } else {
            1.0
        }
    }

    pub(crate) fn told(&mut self, at: Ms, load: f64) {
        self.told = Some(Told {
            at,
            others: (load - f64::from(self.own)).max(0.0),
        });
    }

    /// Share of its memory that is taken, beyond one where a request of so many tokens would not fit.
    pub(crate) fn memory(&self, now: Ms, svc: &Svc, tokens: f64) -> f64 {
        let Some(size) = self
            .kv
            .map(|(_, _, size)| size)
            .or(svc.kv_capacity)
            .filter(|s| *s > 0.0)
        else {
            return 0.0;
        };
        let guess = self.own_tokens + self.others(now, svc) * svc.tokens;
        let used = match self.kv {
            // Told a while ago: what is in flight by now counts as well.
            Some((at, used, _)) => {
                let fresh = svc.fading(now, at);
                used * fresh + guess * (1.0 - fresh)
            }
            None => guess,
        };
        (used + tokens) / size
    }

    pub(crate) fn answered(&mut self, id: u64) {
        self.unanswered.retain(|u| u.id != id);
    }

    /// Silence beyond its limit, since the last strike and with no other sign of life.
    pub(crate) fn hangs(&self, now: Ms) -> bool {
        let after = self.health.struck;
        let counts = |u: &&Unanswered| after.is_none_or(|s| u.sent > s) && self.heard <= u.sent;
        self.unanswered
            .iter()
            .find(counts)
            .is_some_and(|u| now > u.limit)
    }

    /// How much longer than expected the oldest sending has waited.
    pub(crate) fn overdue(&self, now: Ms) -> f64 {
        self.unanswered
            .front()
            .map_or(0.0, |u| now.saturating_sub(u.limit) as f64)
    }
}
