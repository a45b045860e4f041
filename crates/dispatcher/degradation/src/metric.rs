//! What is measured, and thresholds on it.

/// A metric that a threshold bounds. More is worse for each of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Metric {
    /// How long queued work would take at this dispatcher's share of the capacity, in milliseconds.
    QueueingDelay,
    /// Share of the usual capacity that is not ready or does not answer, 0 to 1.
    LostCapacity,
    /// Share of a class's jobs that were not served in time, 0 to 1. The class's index.
    MissedDeadlines(usize),
    /// Share of the attempts that targets rejected or could not be reached for, 0 to 1.
    RejectedAttempts,
    /// Open flows, as a share of their limit.
    OpenFlows,
    /// Resident memory, as a share of its limit.
    Memory,
    /// Descriptors in use, as a share of their limit.
    Descriptors,
}

impl Metric {
    /// The key that it has in the operators' file and in `--json`; a class is named beside it.
    pub fn key(self) -> &'static str {
        match self {
            Metric::QueueingDelay => "wait_ms",
            Metric::LostCapacity => "lost",
            Metric::MissedDeadlines(_) => "late",
            Metric::RejectedAttempts => "refused",
            Metric::OpenFlows => "flows",
            Metric::Memory => "memory",
            Metric::Descriptors => "descriptors",
        }
    }

    /// What it measures, as operators read it.
    pub fn describe(self, classes: &[String]) -> String {
        match self {
            Metric::QueueingDelay => "held work, as a wait in ms".into(),
            Metric::LostCapacity => "share of the usual capacity that is lost".into(),
            Metric::MissedDeadlines(class) => {
                let name = classes.get(class).map_or("?", String::as_str);
                format!("share of {name} not served in time")
            }
            Metric::RejectedAttempts => "share of attempts turned away".into(),
            Metric::OpenFlows => "share of the flows allowed that is open".into(),
            Metric::Memory => "share of the memory allowed that is in use".into(),
            Metric::Descriptors => "share of the descriptors allowed that is in use".into(),
        }
    }

    /// Whether it may change so suddenly that more than one level at a time is justified.
    fn is_sudden(self) -> bool {
        matches!(
            self,
            Metric::LostCapacity | Metric::Memory | Metric::Descriptors
        )
    }
}

/// A bound on one metric.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Threshold {
    /// The metric.
    pub metric: Metric,
    /// In the metric's unit.
    pub bound: f64,
}

/// Bounds on metrics, in a fixed order.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Thresholds(pub Vec<Threshold>);

impl Thresholds {
    /// The bound on one metric.
    pub fn get(&self, metric: Metric) -> Option<f64> {
        self.0.iter().find(|t| t.metric == metric).map(|t| t.bound)
    }

    /// Those that justify more than one level at a time.
    pub(crate) fn sudden(&self) -> impl Iterator<Item = &Threshold> {
        self.0.iter().filter(|t| t.metric.is_sudden())
    }
}
