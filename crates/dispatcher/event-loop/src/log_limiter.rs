//! Says what fails again and again only now and then: a hundred dispatchers must not drown in their logs.

use dispatch_api::Micros;

/// The shortest time between two lines about the same failure.
const EVERY: Micros = 10_000_000;

/// Whether a failure is to be said.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    said: Option<Micros>,
    kept_back: u64,
}

impl LogRateLimiter {
    /// A failure at this time. Returns how many were kept back since the last one that was said, if this one is to
    /// be said; the first is, and one in ten seconds after it.
    pub fn record(&mut self, now: Micros) -> Option<u64> {
        if self.said.is_some_and(|at| now < at.saturating_add(EVERY)) {
            self.kept_back += 1;
            return None;
        }
        self.said = Some(now);
        Some(std::mem::take(&mut self.kept_back))
    }
}

#[cfg(test)]
mod tests {
    use super::{LogRateLimiter, EVERY};

    #[test]
    fn a_burst_of_failures_is_one_line_in_ten_seconds_and_all_are_counted() {
        let mut log_limiter = LogRateLimiter::default();
        let said: Vec<u64> = (0..1_000)
            .filter_map(|n| log_limiter.record(n * EVERY / 100))
            .collect();
        assert_eq!(said, [0, 99, 99, 99, 99, 99, 99, 99, 99, 99]);
    }
}
