//! What a line looks like, and which are written.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use std::io::Write;
use std::sync::{Arc, Mutex};
use structured_log::slog::{debug, error, info, o, warn, Drain, Level, Logger};
use structured_log::{logger_to, Rarely, MAX_LINE};

/// Keeps what is written, each write by itself.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<String>>>);

impl Write for Kept {
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
    let kept = Kept::default();
    log(&logger_to(kept.clone(), "edge-a-1", "controller", level));
    let lines = kept.0.lock().unwrap().clone();
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
fn an_event_is_one_line_by_one_write_with_its_pairs_in_order() {
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
fn the_level_says_what_is_written() {
    let all = |log: &Logger| {
        error!(log, "e");
        warn!(log, "w");
        info!(log, "i");
    };
    assert_eq!(written(Level::Info, all).len(), 3);
    assert_eq!(written(Level::Warning, all).len(), 2);
    assert_eq!(written(Level::Error, all).len(), 1);
    assert!(!logger_to(Kept::default(), "n", "r", Level::Error).is_enabled(Level::Info));
}

#[test]
fn a_line_is_never_too_long() {
    let long = "\u{e9}".repeat(5_000);
    let lines = written(Level::Info, |log| {
        info!(log, "{}", long; "a" => 1);
        info!(log, "m"; "a" => &long, "b" => &long, "c" => 2);
        for n in 0..MAX_LINE {
            info!(log, "{}", "x".repeat(n));
        }
    });
    assert_eq!(lines.len(), 2 + MAX_LINE, "one write for each");
    for line in lines {
        assert!(
            line.len() <= MAX_LINE && line.ends_with('\n') && line.matches('\n').count() == 1,
            "{line}"
        );
    }
}

#[test]
fn a_storm_is_one_line_in_a_while_for_each_key_and_none_goes_uncounted() {
    let mut rarely: Rarely = Rarely::new(1_000);
    let said: Vec<u64> = (0..5_000).filter_map(|now| rarely.now(now, "a")).collect();
    assert_eq!(said, [0, 999, 999, 999, 999]);
    assert_eq!(rarely.now(4_500, "b"), Some(0), "another key");
    assert_eq!(rarely.now(6_000, "a"), Some(999));
    // Time that jumps far is no reason to overflow.
    assert_eq!(rarely.now(u64::MAX, "a"), Some(0));
    assert_eq!(rarely.now(u64::MAX, "a"), None);
}

#[test]
fn many_keys_take_bounded_memory() {
    let mut rarely = Rarely::new(1_000);
    let mut left_out = 0;
    for key in 0..10_000_u64 {
        assert_eq!(rarely.now(key, key), Some(0));
        if rarely.now(key, key).is_none() {
            left_out += 1;
        }
    }
    assert_eq!((left_out, rarely.forgotten()), (10_000, 10_000 - 64));
}
