//! What is logged, how, and the change of it while the program runs.

use dispatcher_settings::operator::{LogFormat, LogSettings};
use tracing::warn;
use tracing_subscriber::filter::ParseError;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{fmt, reload, EnvFilter, Layer, Registry};

/// Overrules the operators' file.
const VARIABLE: &str = "FORDRELAY_LOG";

/// The log of the program, once it is set up.
pub struct Logs {
    filter: reload::Handle<EnvFilter, Registry>,
}

impl Logs {
    /// What is to be logged.
    pub fn filter(log: &LogSettings) -> Result<EnvFilter, ParseError> {
        match std::env::var(VARIABLE) {
            Ok(text) if !text.is_empty() => EnvFilter::try_new(text),
            _ => EnvFilter::try_new(&log.level),
        }
    }

    /// Sets up the log, for the whole program. A filter that can't be read logs what is usual.
    pub fn start(log: &LogSettings) -> Self {
        let filter = Self::filter(log).unwrap_or_else(|_| EnvFilter::new("info"));
        let (filter, handle) = reload::Layer::new(filter);
        let lines = fmt::layer().with_writer(std::io::stderr);
        let lines = match log.format {
            LogFormat::Text => lines.with_ansi(false).boxed(),
            // Fields stand beside the line's own keys, and `target` is an engine box here, not a part of the program.
            LogFormat::Json => {
                let lines = lines.json().flatten_event(true).with_target(false);
                lines.with_current_span(false).with_span_list(false).boxed()
            }
        };
        // Another log can have been set up only by a test, and serves as well.
        let _ = tracing_subscriber::registry()
            .with(filter)
            .with(lines)
            .try_init();
        Logs { filter: handle }
    }

    /// Logs what this says from now on; how it is written stays as it was.
    pub fn change(&self, log: &LogSettings) {
        let changed = Self::filter(log).map(|filter| self.filter.reload(filter));
        match changed {
            Ok(Ok(())) => {}
            Ok(Err(e)) => warn!("what is logged stays as it was: {e}"),
            Err(e) => warn!("what is logged stays as it was: {e}"),
        }
    }
}
