//! The order in which the process ends after SIGTERM.
//!
//! The platform needs two misses of `readyz`, a second apart, before it sends no new connection; what comes until then is
//! served like any other. Then nothing new is accepted, connections that wait for nothing are closed, and what is open has
//! until shortly before the platform kills the process.

use http1::Phase;

/// How long new connections are accepted after SIGTERM: two misses a second apart, and the clients on their way.
const KEEP_ACCEPTING_MS: u64 = 2_500;
/// How long before the platform's SIGKILL the process ends by itself.
const SIGKILL_MARGIN_MS: u64 = 500;

/// What holds at a moment after SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownStep {
    /// How far the program is.
    pub phase: Phase,
    /// It ends now.
    pub over: bool,
    /// In how many milliseconds this changes by itself.
    pub next_ms: u64,
}

/// What holds so long after SIGTERM, with so many requests and connections open.
pub fn shutdown_step(since_ms: u64, grace_ms: u64, open: usize) -> ShutdownStep {
    let last = grace_ms.saturating_sub(SIGKILL_MARGIN_MS);
    let accept_on = KEEP_ACCEPTING_MS.min(last / 2);
    if since_ms < accept_on {
        return ShutdownStep {
            phase: Phase::Draining,
            over: false,
            next_ms: accept_on - since_ms,
        };
    }
    let over = open == 0 || since_ms >= last;
    // How many are open is looked at again after at most so long.
    let next_ms = last.saturating_sub(since_ms).min(50);
    ShutdownStep {
        phase: Phase::Closing,
        over,
        next_ms,
    }
}

/// How long an answer that is started so long after SIGTERM may take at most.
pub fn response_time_left(since_ms: u64, grace_ms: u64) -> u64 {
    grace_ms
        .saturating_sub(SIGKILL_MARGIN_MS)
        .saturating_sub(since_ms)
}
