//! Structured log: one line of key=value pairs for each event, on stderr.
//!
//! A line is `t=12.345 lvl=info role=.. node=.. msg=".." k=v`: the seconds since the process
//! started, the level, the event and its fields. Each line is written at once by one write, so that
//! a kill loses none, and none is longer than [`MAX_LINE_BYTES`]. Lines that would repeat go
//! through a [`RateLimiter`].

mod drain;
mod line;
mod rate_limiter;

pub use drain::LineDrain;
pub use line::{write_value, MAX_LINE_BYTES};
pub use rate_limiter::{LogLimiter, RateLimiter};
pub use slog;

use slog::{o, Level, Logger};
use std::io::Write;
use std::panic::{RefUnwindSafe, UnwindSafe};

/// A logger to stderr with the default level: `info` and above.
pub fn logger(node: &str, role: &str) -> Logger {
    logger_at(node, role, Level::Info)
}

/// A logger to stderr of this level and above.
pub fn logger_at(node: &str, role: &str, level: Level) -> Logger {
    logger_to(std::io::stderr(), node, role, level)
}

/// A logger to another writer.
pub fn logger_to<W>(to: W, node: &str, role: &str, level: Level) -> Logger
where
    W: Write + Send + UnwindSafe + RefUnwindSafe + 'static,
{
    let fields = o!("node" => node.to_owned(), "role" => role.to_owned());
    Logger::root(LineDrain::new(to, level), fields)
}
