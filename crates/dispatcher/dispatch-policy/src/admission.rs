//! The admission policy of a degradation level: which jobs are rejected, and how long others may be queued.

use super::{span, unit, Dispatcher, Timer};
use dispatch_api::{Action, AdmissionPolicy, JobId, JobSpec, Micros};
use std::cmp::Reverse;
use std::sync::Arc;

impl Dispatcher {
    /// Applies a policy to the queued jobs as if they arrived now, but for those that may have run.
    pub(super) fn on_admission_changed(
        &mut self,
        terms: Option<Arc<AdmissionPolicy>>,
        out: &mut Vec<Action>,
    ) {
        self.fleet.admission = terms;
        let jobs = self
            .queued
            .values()
            .flatten()
            .filter_map(|id| self.jobs.get(id));
        let unrun = jobs.filter(|j| j.first_possible_run(&self.settings.rules).is_none());
        for spec in unrun.map(|j| j.spec.clone()).collect::<Vec<_>>() {
            match self.rejects(&spec) {
                true => self.reject(spec.id, spec.class, out),
                false => self.limit_queueing(spec.id, spec.class),
            }
        }
    }

    /// Whether the policy rejects a job.
    pub(super) fn rejects(&mut self, spec: &JobSpec) -> bool {
        let pressed =
            |t: &&Arc<AdmissionPolicy>| self.wait(self.queued.iter()) >= t.min_backlog as f64;
        let Some(terms) = self.fleet.admission.as_ref().filter(pressed) else {
            return false;
        };
        let (class, statistics) = (terms.class(spec.class), &mut self.classes[spec.class]);
        statistics.credit = (statistics.credit + class.admitted_share).min(1.0);
        let taken = statistics.credit >= 1.0
            && spec.slots <= class.max_slots
            && self.jobs.len() <= terms.max_open_jobs;
        statistics.credit -= f64::from(u8::from(taken));
        statistics.counts.rejected_by_level += u64::from(!taken);
        !taken
    }

    /// Rejects a queued job as if it had not been accepted, so that the statistics of its class do not change.
    fn reject(&mut self, id: JobId, class: usize, out: &mut Vec<Action>) {
        let statistics = &mut self.classes[class];
        (statistics.asked, statistics.counts.over) = (
            statistics.asked - 1.0,
            statistics.counts.over.wrapping_sub(1),
        );
        self.give_up(id, out);
    }

    /// Slots that a job of the class leaves free at a worker to which another class is dedicated.
    pub(super) fn reserved_slots(&self, class: usize) -> f64 {
        let terms = self
            .fleet
            .admission
            .as_ref()
            .filter(|_| self.settings.classes[class].kind.is_none());
        terms.map_or(0.0, |t| t.class(class).reserved_slots)
    }

    fn max_queueing(&self, class: usize) -> Option<Micros> {
        self.fleet.admission.as_ref()?.class(class).max_hold
    }

    pub(super) fn limit_queueing(&mut self, id: JobId, class: usize) {
        let at = self.max_queueing(class).map(|hold| self.now + hold.max(1));
        self.clock
            .timers
            .extend(at.map(|at| Reverse((at, Timer::QueueingTimeout(id)))));
    }

    /// A job was queued for as long as the policy allows; it is rejected unless it was sent before.
    pub(super) fn on_queueing_timeout(&mut self, id: JobId, out: &mut Vec<Action>) {
        let waits = self
            .jobs
            .get(&id)
            .filter(|j| j.queued.is_some() && j.attempts.is_empty());
        let Some((class, accepted_at)) = waits.map(|j| (j.spec.class, j.accepted_at)) else {
            return;
        };
        if self
            .max_queueing(class)
            .is_some_and(|hold| self.now >= accepted_at + hold)
        {
            self.classes[class].counts.rejected_by_level += 1;
            self.reject(id, class, out);
        }
    }

    /// When a rejected client may retry, in microseconds; under a policy it is spread, so that not all come back together.
    pub(super) fn retry_after(&mut self) -> Option<Micros> {
        let wait = match self.fleet.admission.as_ref().map(|t| t.retry_after as f64) {
            Some(wait) => wait * (0.5 + unit(&mut self.rng)),
            None => self.mean_run(),
        };
        self.settings
            .limits
            .retry_after
            .map(|most| most.min(span(wait)))
    }
}
