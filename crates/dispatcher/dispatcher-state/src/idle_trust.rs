//! How long an idle connection is trusted to carry a request.
//!
//! Middleboxes may drop a connection long before the configured idle time, and the request that finds
//! out is lost. So the trusted span adapts: it shrinks with each such loss, to half of what that
//! connection had been idle for, and grows again while none occurs.

use dispatch_api::Micros;

/// A connection that was in use this recently, microseconds, is trusted in any case.
pub(crate) const MIN_TRUSTED_IDLE: Micros = 5_000;
/// Requests on reused connections that must succeed before the span grows, by half.
const SUCCESSES_TO_GROW: u32 = 20;
/// A connection that breaks this soon, microseconds, after it was reused was dead before.
const STALE_BREAK_WINDOW: Micros = 50_000;

/// The trusted span.
#[derive(Debug)]
pub(crate) struct IdleTrust {
    span: Micros,
    max: Micros,
    successes: u32,
}

impl IdleTrust {
    /// Trusts connections for `max` microseconds at the most, and to begin with.
    pub fn new(max: Micros) -> Self {
        IdleTrust {
            span: max,
            max,
            successes: 0,
        }
    }

    /// How long a connection may have been idle, microseconds.
    pub fn span(&self) -> Micros {
        self.span
    }

    /// A connection that was reused after `idled` microseconds broke `after` microseconds later.
    pub fn record_break(&mut self, idled: Micros, after: Micros) {
        if after <= STALE_BREAK_WINDOW {
            self.span = self.span.min(idled / 2).max(MIN_TRUSTED_IDLE);
            self.successes = 0;
        }
    }

    /// A request on a reused connection succeeded.
    pub fn record_success(&mut self) {
        self.successes += 1;
        if self.successes >= SUCCESSES_TO_GROW {
            self.successes = 0;
            self.span = (self.span + self.span / 2).min(self.max);
        }
    }
}
