//! The form of a line, and which lines are written.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use std::io::Write;
use std::sync::{Arc, Mutex};
use structured_log::slog::{debug, error, info, o, warn, Drain, Level, Logger};
use structured_log::{logger_to, LogLimiter, RateLimiter, MAX_LINE_BYTES};

/// Collects what is written, each write by itself.
#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<String>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0
            .lock()
            .unwrap()
            .push(String::from_utf8(bytes.to_vec()).unwrap());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// What a logger of this level writes, without the time.
fn written(level: Level, log: impl Fn(&Logger)) -> Vec<String> {
    let buffer = Buffer::default();
    log(&logger_to(buffer.clone(), "edge-a-1", "controller", level));
    let lines = buffer.0.lock().unwrap().clone();
    let timeless = |line: &String| {
        let (time, rest) = line.split_once(' ').unwrap();
        let time = time.strip_prefix("t=").unwrap();
        assert!(
            time.parse::<f64>().is_ok() && time.split_once('.').unwrap().1.len() == 3,
            "{line}"
        );
        rest.to_owned()
    };
    lines.iter().map(timeless).collect()
}

#[test]
fn an_event_is_one_line_by_one_write_with_its_fields_in_order() {
    let lines = written(Level::Info, |log| {
        info!(log, "a view was chosen"; "view" => 7, "members" => 3, "head" => "10.0.0.1:7200");
        warn!(log.new(o!("part" => "chain")), "behind"; "by" => 4.5, "who" => "the tail", "ok" => false);
        debug!(log, "not said");
        error!(log, "said \"no\"\nand = left"; "empty" => "", "path" => r"a\b", "odd" => "\u{7}");
    });
    insta::assert_snapshot!(lines.concat(), @r##"
        lvl=info node=edge-a-1 role=controller msg="a view was chosen" view=7 members=3 head=10.0.0.1:7200
        lvl=warn node=edge-a-1 role=controller part=chain msg=behind by=4.5 who="the tail" ok=false
        lvl=error node=edge-a-1 role=controller msg="said \"no\"\nand = left" empty="" path="a\\b" odd="\u{7}"
        "##);
}

#[test]
fn the_level_filters_lines() {
    let all = |log: &Logger| {
        error!(log, "e");
        warn!(log, "w");
        info!(log, "i");
    };
    assert_eq!(written(Level::Info, all).len(), 3);
    assert_eq!(written(Level::Warning, all).len(), 2);
    assert_eq!(written(Level::Error, all).len(), 1);
    assert!(!logger_to(Buffer::default(), "n", "r", Level::Error).is_enabled(Level::Info));
}

#[test]
fn lines_are_bounded() {
    let long = "\u{e9}".repeat(5_000);
    let lines = written(Level::Info, |log| {
        info!(log, "{}", long; "a" => 1);
        info!(log, "m"; "a" => &long, "b" => &long, "c" => 2);
        for n in 0..MAX_LINE_BYTES {
            info!(log, "{}", "x".repeat(n));
        }
    });
    assert_eq!(lines.len(), 2 + MAX_LINE_BYTES, "one write for each line");
    for line in lines {
        assert!(
            line.len() <= MAX_LINE_BYTES && line.ends_with('\n') && line.matches('\n').count() == 1,
            "{line}"
        );
    }
}

#[test]
fn repeated_events_pass_once_an_interval_for_each_key_and_are_counted() {
    let mut limiter: RateLimiter = RateLimiter::new(1_000);
    let passed: Vec<u64> = (0..5_000)
        .filter_map(|now| limiter.check(now, "a"))
        .collect();
    assert_eq!(passed, [0, 999, 999, 999, 999]);
    assert_eq!(limiter.check(4_500, "b"), Some(0), "another key");
    assert_eq!(limiter.check(6_000, "a"), Some(999));
    // Time that jumps far doesn't overflow.
    assert_eq!(limiter.check(u64::MAX, "a"), Some(0));
    assert_eq!(limiter.check(u64::MAX, "a"), None);
}

#[test]
fn many_keys_take_bounded_memory() {
    let mut limiter = RateLimiter::new(1_000);
    let mut suppressed = 0;
    for key in 0..10_000_u64 {
        assert_eq!(limiter.check(key, key), Some(0));
        if limiter.check(key, key).is_none() {
            suppressed += 1;
        }
    }
    assert_eq!((suppressed, limiter.evicted()), (10_000, 10_000 - 64));
}

#[test]
fn a_limiter_by_the_own_clock_passes_the_first_event_of_each_key() {
    let limiter = LogLimiter::default();
    let mut passed = Vec::new();
    for key in ["a", "a", "b", "a", "b"] {
        limiter.log(key, |suppressed| passed.push((key, suppressed)));
    }
    assert_eq!(passed, [("a", 0), ("b", 0)]);
}
