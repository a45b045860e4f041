//! Limits the rate of log lines about a failure that repeats: a hundred dispatchers must not flood
//! their logs.

use dispatch_api::Micros;

/// Limits the log lines about one kind of failure to one in [`LogRateLimiter::INTERVAL`].
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    logged_at: Option<Micros>,
    suppressed: u64,
}

impl LogRateLimiter {
    /// The shortest time between two lines, microseconds.
    pub const INTERVAL: Micros = 10_000_000;

    /// Records a failure at this time. If it is to be logged, returns how many were suppressed since
    /// the last one that was: the first is, and then one in each interval.
    pub fn record(&mut self, now: Micros) -> Option<u64> {
        let next = self.logged_at.map(|at| at.saturating_add(Self::INTERVAL));
        if next.is_some_and(|next| now < next) {
            self.suppressed += 1;
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}
