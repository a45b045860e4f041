//! Counters of jobs by class, as operators are shown them.
//!
//! The reducer counts where it ends a flow or learns that an attempt has been sent. At every moment
//! `taken = ended + active`, and each flow that has ended is counted under exactly one of `ok`,
//! `shed`, `errors` and `gone`.

use crate::{Anomaly, Answer};

/// The jobs of one class, counted since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Accepted, or rejected before they became a flow.
    pub taken: u64,
    /// Served.
    pub ok: u64,
    /// Rejected: by the policy, or for want of capacity.
    pub shed: u64,
    /// Failed: any other answer.
    pub errors: u64,
    /// Abandoned by their clients, who disconnected before an answer.
    pub gone: u64,
    /// Attempts whose last byte has been sent.
    pub tries: u64,
}

impl ClassCounters {
    /// Jobs that have ended.
    pub fn ended(&self) -> u64 {
        self.ok + self.shed + self.errors + self.gone
    }
}

/// Counters of all classes, by position, and of anomalies.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobCounters {
    /// By class.
    pub classes: Vec<ClassCounters>,
    anomalies: [u64; Anomaly::ALL.len()],
}

impl JobCounters {
    pub(crate) fn new(classes: usize) -> Self {
        JobCounters {
            classes: vec![ClassCounters::default(); classes],
            ..JobCounters::default()
        }
    }

    /// Jobs accepted and not yet ended.
    pub fn active(&self) -> u64 {
        self.classes.iter().map(|c| c.taken - c.ended()).sum()
    }

    /// How often an anomaly was seen.
    pub fn anomalies(&self, anomaly: Anomaly) -> u64 {
        self.anomalies[anomaly as usize]
    }

    pub(crate) fn count_anomaly(&mut self, anomaly: Anomaly, times: u64) {
        self.anomalies[anomaly as usize] += times;
    }

    /// A class that the settings do not name is not counted.
    fn update(&mut self, class: usize, count: impl FnOnce(&mut ClassCounters)) {
        if let Some(counters) = self.classes.get_mut(class) {
            count(counters);
        }
    }

    pub(crate) fn count_taken(&mut self, class: usize) {
        self.update(class, |c| c.taken += 1);
    }

    pub(crate) fn count_answered(&mut self, class: usize, answer: &Answer) {
        self.update(class, |c| match answer {
            Answer::Served(_) => c.ok += 1,
            Answer::Rejected { .. } => c.shed += 1,
            Answer::Failed | Answer::Unprocessable => c.errors += 1,
        });
    }

    pub(crate) fn count_gone(&mut self, class: usize) {
        self.update(class, |c| c.gone += 1);
    }

    pub(crate) fn count_sent(&mut self, class: usize) {
        self.update(class, |c| c.tries += 1);
    }
}
