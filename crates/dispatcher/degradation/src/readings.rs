//! One reading of all metrics.

use crate::metric::Metric;

/// How much of the program's own limits is in use, each a share of its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Open flows.
    pub flows: f64,
    /// Resident memory.
    pub memory: f64,
    /// Descriptors.
    pub descriptors: f64,
}

/// A share over two windows. One that rests on too few samples is not known.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WindowedShare {
    /// Over the short window.
    pub short: Option<f64>,
    /// Over the long one.
    pub long: Option<f64>,
}

impl WindowedShare {
    /// What it was over both windows at least.
    fn sustained(self) -> Option<f64> {
        Some(self.short?.min(self.long?))
    }
}

/// One reading of all metrics.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Readings {
    /// Queued work as a delay, in milliseconds.
    pub queueing_delay_ms: f64,
    /// Share of the usual capacity that is lost.
    pub lost_capacity: f64,
    /// By class, the share not served in time.
    pub missed_deadlines: Vec<WindowedShare>,
    /// Share of attempts that were rejected.
    pub rejected_attempts: WindowedShare,
    /// The program's own limits.
    pub usage: Usage,
    /// Slots of all targets that answer, as believed.
    pub capacity: f64,
    /// Targets that are listed as ready and do not answer.
    pub unresponsive: f64,
}

impl Readings {
    /// What counts for entering a level: shares must be reached over both windows, so that neither
    /// a short burst nor what is long over counts.
    pub fn entering(&self, metric: Metric) -> Option<f64> {
        match metric {
            Metric::MissedDeadlines(class) => self.missed_deadlines.get(class)?.sustained(),
            Metric::RejectedAttempts => self.rejected_attempts.sustained(),
            _ => self.now(metric),
        }
    }

    /// What counts for leaving a level: the latest alone.
    pub fn now(&self, metric: Metric) -> Option<f64> {
        match metric {
            Metric::QueueingDelay => Some(self.queueing_delay_ms),
            Metric::LostCapacity => Some(self.lost_capacity),
            Metric::MissedDeadlines(class) => self.missed_deadlines.get(class)?.short,
            Metric::RejectedAttempts => self.rejected_attempts.short,
            Metric::OpenFlows => Some(self.usage.flows),
            Metric::Memory => Some(self.usage.memory),
            Metric::Descriptors => Some(self.usage.descriptors),
        }
    }
}
