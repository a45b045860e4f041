//! What may be sent and retried: the rules on repeats, and the retry budget.

use super::{
    Attempt, Dispatcher, Idempotency, Job, JobId, Micros, Outcome, RetryBudget, Rules, VecDeque,
    Worker, WorkerId, BUDGET_BUCKETS,
};

impl Job {
    pub(crate) fn in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }

    pub(crate) fn first_possible_run(&self, rules: &Rules) -> Option<&Attempt> {
        self.first_possible_run_of(rules, self.attempts.len())
    }

    /// The first of this many attempts that may have run.
    fn first_possible_run_of(&self, rules: &Rules, attempts: usize) -> Option<&Attempt> {
        let unrun = |o: Outcome| {
            o.proves_not_run() && !(rules.refusal_inconclusive && o == Outcome::Rejected)
        };
        self.attempts
            .iter()
            .take(attempts)
            .find(|a| a.outcome.is_none_or(|o| !unrun(o)))
    }
}

/// Counts for the retry budget, rounded down: accepted jobs, by parts of the window, and retries.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgetState {
    pub(crate) rule: Option<RetryBudget>,
    pub(crate) taken: VecDeque<(Micros, u32)>,
    pub(crate) spent: VecDeque<Micros>,
}

impl RetryBudgetState {
    pub(crate) fn take(&mut self, now: Micros) {
        let Some(rule) = &self.rule else { return };
        match self.taken.back_mut() {
            Some((since, jobs)) if now < *since + rule.window / BUDGET_BUCKETS => *jobs += 1,
            _ => self.taken.push_back((now, 1)),
        }
        self.taken.retain(|(since, _)| now < since + rule.window);
        self.spent.retain(|t| now <= t + rule.window);
    }

    /// Whether one more retry fits; one that is not needed leaves half of the minimum free.
    pub(crate) fn fits(&self, now: Micros, needed: bool) -> bool {
        let Some(rule) = &self.rule else { return true };
        let taken = self
            .taken
            .iter()
            .filter(|(since, _)| now < since + rule.window);
        let taken: f64 = taken.map(|(_, jobs)| f64::from(*jobs)).sum();
        let allowed = f64::from(rule.minimum) + rule.ratio * taken;
        let spent = self
            .spent
            .iter()
            .filter(|t| now <= **t + rule.window)
            .count();
        allowed as usize > spent + if needed { 0 } else { rule.minimum as usize / 2 }
    }
}

impl Dispatcher {
    pub(crate) fn may_send(&self, id: JobId, worker: WorkerId) -> bool {
        let (Some(job), Some(w)) = (self.jobs.get(&id), self.workers.get(&worker)) else {
            return false;
        };
        let class = &self.settings.classes[job.spec.class];
        let barred = self.attempts_exhausted(job)
            || job.in_flight() && !self.settings.limits.concurrent_attempts;
        let kind_ok = class.kind.is_none_or(|k| k == w.listing.kind);
        let over = job.closed || barred || !kind_ok || self.now >= job.spec.expires;
        let open = !over && w.ready() && w.backoff.is_open(self.now);
        let fits = || job.attempts.is_empty() || self.budget.fits(self.now, true);
        open && fits() && self.may_repeat(job, Some(worker)) && self.is_within_warm_up_limit(job, w)
    }

    /// Whether the last attempt may be sent now. What held when its worker was selected may have changed while its connection
    /// was established, so this is checked right before the request is written.
    pub fn may_start(&mut self, now: Micros, id: JobId, worker: WorkerId) -> bool {
        self.now = self.now.max(now);
        let Some(job) = self
            .jobs
            .get(&id)
            .filter(|j| !j.closed && self.now < j.spec.expires)
        else {
            return false;
        };
        let before = job.attempts.len().saturating_sub(1);
        self.workers.get(&worker).is_some_and(Worker::ready)
            && self.may_repeat_after(job, before, Some(worker))
    }

    /// Whether a job that may have run may be repeated, as its class allows; without a worker: at any worker.
    pub(crate) fn may_repeat(&self, job: &Job, worker: Option<WorkerId>) -> bool {
        self.may_repeat_after(job, job.attempts.len(), worker)
    }

    fn may_repeat_after(&self, job: &Job, attempts: usize, worker: Option<WorkerId>) -> bool {
        let first_possible_run = job.first_possible_run_of(&self.settings.rules, attempts);
        match (
            first_possible_run,
            self.settings.classes[job.spec.class].idempotency,
        ) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(_), Idempotency::NonIdempotent) => false,
            (Some(first), Idempotency::Keyed { scope, memory }) => {
                let group = |id: WorkerId| {
                    self.workers
                        .get(&id)
                        .map(|w| w.listing.deduplication_group(scope))
                };
                let in_group = worker.is_none_or(|w| group(w) == group(first.worker));
                // Within nine tenths of the time for which a key is remembered: the worker's clock starts when the job arrives.
                in_group && self.now.saturating_sub(first.sent) < memory - memory / 10
            }
        }
    }
}
