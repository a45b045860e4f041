//! Cold workers: none is pushed over by all dispatchers together.

use super::{span, Dispatcher, Job, LoadReporting, Worker, COLD_JOB, COLD_SAFETY};

impl Dispatcher {
    /// A cold worker is spaced by this dispatcher's part of what it stands: all together don't push it over.
    pub(crate) fn cold_ok(&self, job: &Job, w: &Worker) -> bool {
        let (rules, share) = (&self.settings.rules, self.warmth(w));
        let (kind, told) = (self.kind(w), self.settings.reports != LoadReporting::None);
        let shown = if told {
            kind.certain_slots()
        } else {
            kind.slots()
        };
        let (work, capacity) = (job.spec.slots * job.work, shown * share);
        let tips = rules.overload_multiple * capacity;
        // By what was sent last, not by this job: small ones would keep a wide one from ever going there.
        let (since, wait, sent) = w.cold;
        let spent = sent.unwrap_or(work) * self.senders();
        let gap = wait * spent / (COLD_SAFETY * tips).max(1.0e-9);
        share >= 1.0
            || work <= COLD_JOB * tips * rules.overload_window as f64
                && self.now >= since + span(gap)
    }
}
