//! The limit on log lines about a failure that repeats.

use event_loop::LogRateLimiter;

#[test]
fn a_burst_of_failures_is_one_line_in_ten_seconds_and_all_are_counted() {
    assert_eq!(LogRateLimiter::INTERVAL, 10_000_000);
    let mut limiter = LogRateLimiter::default();
    let suppressed: Vec<u64> = (0..1_000)
        .filter_map(|n| limiter.record(n * LogRateLimiter::INTERVAL / 100))
        .collect();
    assert_eq!(suppressed, [0, 99, 99, 99, 99, 99, 99, 99, 99, 99]);
}
