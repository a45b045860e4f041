//! What happened since the last line of figures.

use slog::{info, Logger};
use std::cell::Cell;

/// How often the figures are written.
pub const EVERY_MS: u64 = 10_000;

macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {
        /// Counters of one span of [`EVERY_MS`].
        #[derive(Debug, Default)]
        pub struct Counters { $($(#[$doc])* pub $name: Cell<u64>),+ }

        impl Counters {
            /// Writes one line, and begins anew.
            pub fn write(&self, log: &Logger) {
                info!(log, "figures"; $(stringify!($name) => self.$name.take()),+);
            }

            /// Whether there is nothing to tell.
            pub fn is_empty(&self) -> bool {
                $(self.$name.get() == 0)&&+
            }
        }
    };
}

counts! {
    /// Requests that came whole.
    came,
    /// Answers that were passed on whole.
    served,
    /// Answers with the promise that nothing ran, decided here.
    refused,
    /// Answers 404 and others for requests that no route takes.
    denied,
    /// Answers 502 and 504.
    failed,
    /// Clients that left before their answer was whole.
    left,
    /// Sends to runners.
    sends,
    /// Runners' words that a request has not run.
    declined,
    /// Connections to runners that did not come up, or ended before anything was sent.
    unsent,
    /// Sends that ended without an answer.
    broken,
    /// Connections to runners that were opened.
    opened,
    /// Answers that belonged to another request.
    foreign,
    /// Streams that were taken up at another runner.
    resumed,
    /// Streams that were cut.
    cut,
    /// Batch jobs that were taken.
    batch_jobs,
    /// Batch jobs and reads for which a store was not sure.
    unsure,
    /// Items that were fetched.
    items,
    /// Items that were done.
    done,
    /// Items that were given back.
    released,
    /// Frames and entries of other processes that were refused.
    odd,
    /// Messages of the relay tree that were passed over: of no parent, or for an earlier start of this process.
    strangers,
}

/// One more.
pub fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
