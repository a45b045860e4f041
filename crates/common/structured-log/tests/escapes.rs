//! The form of a line with all its escapes, byte for byte: other programs parse it.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use std::io::Write;
use std::sync::{Arc, Mutex};
use structured_log::slog::{crit, debug, error, info, o, trace, warn, Level, Logger};
use structured_log::{logger_to, write_value, MAX_LINE_BYTES};

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// All that is logged, without the times.
fn logged(log: impl Fn(&Logger)) -> String {
    let buffer = Buffer::default();
    log(&logger_to(
        buffer.clone(),
        "edge a-1",
        "batch-store",
        Level::Trace,
    ));
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    text.lines()
        .map(|line| format!("{}\n", line.split_once(' ').unwrap().1))
        .collect()
}

#[test]
fn each_value_is_written_in_this_form() {
    let cases = [
        ("plain", "plain"),
        ("10.0.0.1:7200", "10.0.0.1:7200"),
        ("[::1]:80", "[::1]:80"),
        ("a,b;c/d{e}'f'", "a,b;c/d{e}'f'"),
        ("k\u{e9}\u{4e2d}", "k\u{e9}\u{4e2d}"),
        ("", "\"\""),
        (" ", "\" \""),
        ("two words", "\"two words\""),
        ("a=b", "\"a=b\""),
        ("say \"no\"", "\"say \\\"no\\\"\""),
        ("a\\b", "\"a\\\\b\""),
        ("a\nb", "\"a\\nb\""),
        ("a\rb", "\"a\\u{d}b\""),
        ("a\tb", "\"a\\u{9}b\""),
        ("a\0b", "\"a\\u{0}b\""),
        ("a\u{7f}b", "\"a\\u{7f}b\""),
        ("a\u{85}b", "\"a\\u{85}b\""),
        // Blank, but no control character.
        ("a\u{a0}b", "\"a\u{a0}b\""),
        ("a\u{2028}b", "\"a\u{2028}b\""),
    ];
    for (value, expected) in cases {
        let mut text = String::new();
        write_value(&mut text, &format_args!("{value}")).unwrap();
        assert_eq!(text, expected, "{value:?}");
    }
}

#[test]
fn each_level_and_kind_of_value_is_written_in_this_form() {
    let text = logged(|log| {
        let log = log.new(o!("part" => "chain", "view" => 7u64));
        crit!(log, "c");
        error!(log, "an {}", "error"; "n" => -1i64);
        warn!(log, "w"; "f" => 0.5f64, "b" => true, "c" => 'x', "none" => Option::<u32>::None, "unit" => ());
        info!(log, "i"; "some" => Some(3u8), "debug" => ?[1, 2], "shown" => %"a b");
        debug!(log, "d"; "first" => 1, "second" => 2, "third" => 3);
        trace!(log, "");
    });
    insta::assert_snapshot!(text, @r##"
        lvl=crit node="edge a-1" role=batch-store part=chain view=7 msg=c
        lvl=error node="edge a-1" role=batch-store part=chain view=7 msg="an error" n=-1
        lvl=warn node="edge a-1" role=batch-store part=chain view=7 msg=w f=0.5 b=true c=x none="" unit=()
        lvl=info node="edge a-1" role=batch-store part=chain view=7 msg=i some=3 debug="[1, 2]" shown="a b"
        lvl=debug node="edge a-1" role=batch-store part=chain view=7 msg=d first=1 second=2 third=3
        "##);
}

#[test]
fn the_time_of_a_line_is_seconds_with_three_decimals() {
    let buffer = Buffer::default();
    info!(logger_to(buffer.clone(), "n", "r", Level::Info), "m");
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    let (time, rest) = text.split_once(' ').unwrap();
    assert!(
        time.strip_prefix("t=0.")
            .is_some_and(|ms| ms.len() == 3 && ms.parse::<u32>().is_ok()),
        "{time}"
    );
    assert_eq!(rest, "lvl=info node=n role=r msg=m\n");
}

/// A line that would be too long is truncated between characters, and two dots before its end say
/// so.
#[test]
fn a_truncated_line_ends_in_two_dots() {
    let long = "\u{e9}".repeat(MAX_LINE_BYTES);
    let text = logged(|log| info!(log, "{}", long; "k" => 1));
    assert!(text.starts_with("lvl=info node=\"edge a-1\" role=batch-store msg=\u{e9}\u{e9}"));
    assert!(text.ends_with("\u{e9}..\n") && !text.contains("k=1"));
    assert_eq!((MAX_LINE_BYTES, text.len()), (1_024, TRUNCATED_BYTES));
}

/// Bytes without the time: eight less than the whole line, which the next character of two bytes
/// would have made too long.
const TRUNCATED_BYTES: usize = 1_015;
