//! Slow start: workers in warm-up are not overloaded by all dispatchers together.

use super::{span, Dispatcher, Job, LoadReporting, Worker, WARM_UP_MAX_JOB, WARM_UP_SAFETY};

impl Dispatcher {
    /// Whether a job may go to a worker in warm-up: attempts are spaced by this dispatcher's share of the load it bears.
    pub(crate) fn is_within_warm_up_limit(&self, job: &Job, w: &Worker) -> bool {
        let (rules, share) = (&self.settings.rules, self.warm_share(w));
        let (kind, told) = (self.kind(w), self.settings.reports != LoadReporting::None);
        let shown = if told {
            kind.certain_slots()
        } else {
            kind.slots()
        };
        let (work, capacity) = (job.spec.slots * job.work, shown * share);
        let tips = rules.overload_multiple * capacity;
        // By the work that was sent last, not by this job's: small jobs would keep a wide one from ever going there.
        let (since, wait, sent) = w.warm_up;
        let spent = sent.unwrap_or(work) * self.sender_count();
        let gap = wait * spent / (WARM_UP_SAFETY * tips).max(1.0e-9);
        share >= 1.0
            || work <= WARM_UP_MAX_JOB * tips * rules.overload_window as f64
                && self.now >= since + span(gap)
    }
}
