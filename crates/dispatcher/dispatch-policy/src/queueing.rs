//! Queued jobs: accepted, late, given up, closed.

use super::{
    rendezvous_weight, span, Action, DeduplicationScope, Dispatcher, Idempotency, InFlightAttempt,
    Job, JobId, JobSpec, QueueKey, Reverse, Timer, Worker, WorkerId, MAX_PROBES, MIN_PRICE,
    MIN_REMAINING_RUN, PRICE_DECREASE, PRICE_INCREASE, PROBE_BUDGET, PROBE_BUDGET_PREFERRED,
    RUN_SPREAD, STATISTICS_WINDOW,
};

impl Dispatcher {
    pub(crate) fn on_job(&mut self, spec: JobSpec, out: &mut Vec<Action>) {
        if spec.class >= self.settings.classes.len() || self.jobs.contains_key(&spec.id) {
            return out.push(Action::FailJob { job: spec.id });
        }
        if self.all_workers_disabled(spec.class) || self.rejects(&spec) {
            return out.push(Action::RejectJob {
                job: spec.id,
                retry_after: self.retry_after(),
            });
        }
        self.budget.take(self.now);
        let (id, class, expires) = (spec.id, spec.class, spec.expires);
        let asks_preferred = spec.key.is_some() && self.knows_few_workers();
        self.fleet.best_value -= self.fleet.best_value / STATISTICS_WINDOW;
        let statistics = self
            .classes
            .iter_mut()
            .flat_map(|t| [&mut t.arrivals, &mut t.asked, &mut t.in_time]);
        statistics.for_each(|count| *count -= *count / STATISTICS_WINDOW);
        self.classes[class].arrivals += 1.0;
        let work = spec
            .work
            .map_or(self.classes[class].run, |w| w as f64)
            .max(1.0);
        let limits = &self.settings.classes[class];
        // The work is an estimate; where a late result still has value, the job counts as late earlier.
        let sure = work * (1.0 - limits.late_value_share);
        let slack = span((limits.target_stretch - RUN_SPREAD).max(0.0) * sure);
        let start_by = (self.now + limits.latency_target + slack).min(expires);
        let answer_by = expires.saturating_sub(self.settings.tick.max(1_000));
        let (accepted_at, (attempts, queued, preferred, closed)) = (self.now, Default::default());
        self.jobs.insert(
            id,
            Job {
                spec,
                work,
                accepted_at,
                start_by,
                attempts,
                queued,
                preferred,
                closed,
            },
        );
        self.clock
            .timers
            .push(Reverse((answer_by, Timer::AnswerDeadline(id))));
        self.enqueue(id, false);
        self.limit_queueing(id, class);
        let spend = if asks_preferred {
            PROBE_BUDGET_PREFERRED
        } else {
            PROBE_BUDGET
        };
        let probes = spend / self.settings.limits.probe_price.max(1.0e-9);
        let most = if self.has_listed_loads() {
            0.0
        } else {
            MAX_PROBES as f64
        };
        self.fleet.probe_credit = (self.fleet.probe_credit + probes).min(most);
    }

    /// Share of a class's jobs that keep off workers to which another class is dedicated.
    pub(crate) fn yield_share(&self, class: usize) -> f64 {
        self.settings.classes[class]
            .kind
            .map_or(self.fleet.listed_load.keep_off_share(), |_| 0.0)
    }

    /// The open workers preferred for the job's key, by rendezvous hashing with bounded loads.
    pub(crate) fn preferred(&self, job: &Job) -> Vec<WorkerId> {
        let Some(key) = job.spec.key else {
            return vec![];
        };
        let kind = self.settings.classes[job.spec.class].kind;
        // A worker in warm-up that may get nothing yet is not preferred where a job does not wait for its preferred workers.
        let warm = |w: &Worker| {
            !self.has_listed_loads()
                || self.is_within_warm_up_limit(job, w)
                    && self.fleet.reach.is_trusted(w.listing.zone)
        };
        let yield_share =
            (rendezvous_weight(key, 0) as f64 / u64::MAX as f64) < self.yield_share(job.spec.class);
        let fits = |w: &Worker| {
            kind.is_none_or(|k| k == w.listing.kind)
                && w.load_share
                    .accepts(rendezvous_weight(job.spec.id.0, w.listing.name_hash))
                && warm(w)
                && !(yield_share && self.settings.has_dedicated_class(w.listing.kind))
        };
        let ready = self
            .fleet
            .ready
            .iter()
            .filter_map(|id| self.workers.get_key_value(id));
        let ready = ready.filter(|(_, w)| fits(w) && w.open(self.now, self.clock.grace));
        let mut preferred: Vec<_> = ready
            .map(|(id, w)| (Reverse(rendezvous_weight(key, w.listing.name_hash)), id))
            .collect();
        preferred.sort_unstable();
        preferred
            .into_iter()
            .take(self.max_preferred_workers())
            .map(|(_, id)| *id)
            .collect()
    }

    pub(crate) fn enqueue(&mut self, id: JobId, first: bool) {
        self.dequeue(id);
        let preferred = self.jobs.get(&id).map_or(vec![], |j| self.preferred(j));
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let (class, slots) = (
            job.spec.class,
            job.spec.slots.clamp(1.0, 1.0e6).ceil() as u32,
        );
        let queue_key = QueueKey {
            class,
            slots,
            late: self.now >= job.start_by,
        };
        (job.queued, job.preferred) = (Some(queue_key), preferred);
        self.clock.rescan_at = 0;
        self.clock
            .timers
            .push(Reverse((job.start_by.max(self.now + 1), Timer::Late(id))));
        let queue = self.queued.entry(queue_key).or_default();
        queue.insert(if first { 0 } else { queue.len() }, id);
    }

    pub(crate) fn dequeue(&mut self, id: JobId) {
        let Some(queue_key) = self.jobs.get_mut(&id).and_then(|j| j.queued.take()) else {
            return;
        };
        self.queued
            .entry(queue_key)
            .or_default()
            .retain(|j| *j != id);
        self.queued.retain(|_, queue| !queue.is_empty());
    }

    /// Ends a job without a result, the only place that does: rejected only where a retry by the client is harmless.
    pub(crate) fn give_up(&mut self, id: JobId, out: &mut Vec<Action>) {
        let retry_after = self.retry_after();
        let Some(job) = self.jobs.get(&id).filter(|j| !j.closed) else {
            return;
        };
        let idempotency = self.settings.classes[job.spec.class].idempotency;
        let repeats = matches!(
            idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        let harmless = repeats || job.first_possible_run(&self.settings.rules).is_none();
        out.push(if harmless {
            Action::RejectJob {
                job: id,
                retry_after,
            }
        } else {
            Action::FailJob { job: id }
        });
        self.close_job(id, false, out);
    }

    pub(crate) fn close_job(&mut self, id: JobId, in_time: bool, out: &mut Vec<Action>) {
        self.dequeue(id);
        let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.closed) else {
            return;
        };
        job.closed = true;
        let statistics = &mut self.classes[job.spec.class];
        statistics.counts.count(in_time);
        (statistics.asked, statistics.in_time) = (
            statistics.asked + 1.0,
            statistics.in_time + f64::from(u8::from(in_time)),
        );
        self.fleet.price *= if in_time { PRICE_DECREASE } else { 1.0 };
        let still_in_flight = (0..)
            .zip(&job.attempts)
            .filter(|(_, a)| a.outcome.is_none());
        let calls = still_in_flight.map(|(attempt, _)| Action::CancelAttempt { job: id, attempt });
        out.extend(calls.filter(|_| self.settings.limits.cancel));
        if !job.in_flight() {
            self.jobs.remove(&id);
        }
    }

    /// Whether a late job's value is too low beside the queued ones, or the jobs before it would outlast its deadline.
    pub(crate) fn is_not_worth_running(&self, job: &Job) -> bool {
        let Some(queue_key) = job.queued.map(|l| QueueKey { late: true, ..l }) else {
            return false;
        };
        let gain = self.value_density(&queue_key);
        let best = self
            .queued
            .keys()
            .map(|l| self.value_density(l))
            .fold(0.0, f64::max);
        let before = self
            .queued
            .iter()
            .filter(|(l, _)| **l != queue_key && self.value_density(l) >= gain);
        let wait = self.wait(before);
        let done = self.now + span(wait + MIN_REMAINING_RUN * self.classes[queue_key.class].run);
        gain == 0.0 || gain < best * self.fleet.price && wait > 0.0 || done > job.spec.expires
    }

    /// Whether a job waits at a worker, can't be in time, and all workers are full: its slot is worth more to another.
    pub(crate) fn occupies_saturated_worker(&self, job: &Job) -> bool {
        let free =
            self.settings.limits.cancel && self.settings.classes[job.spec.class].kind.is_none();
        let full = self.settings.start_notices && self.fleet.listed_load.is_saturated();
        let waits = |o: &InFlightAttempt| o.job == job.spec.id && o.started.is_none();
        let at = job
            .attempts
            .last()
            .and_then(|a| self.workers.get(&a.worker))
            .filter(|_| free && full);
        self.now >= job.start_by && at.is_some_and(|w| w.in_flight.iter().any(waits))
    }

    /// A queued job can't be in time any more: it moves behind the others, or ends if it has no value now.
    pub(crate) fn on_late(&mut self, id: JobId, out: &mut Vec<Action>) {
        if self
            .jobs
            .get(&id)
            .is_some_and(|j| !j.closed && self.occupies_saturated_worker(j))
        {
            return self.give_up(id, out);
        }
        let Some(job) = self.jobs.get(&id).filter(|j| j.queued.is_some()) else {
            return;
        };
        let (cannot_be_retried, was_late) = (
            self.cannot_be_retried(job),
            job.queued.is_some_and(|l| l.late),
        );
        let pays = job
            .queued
            .is_some_and(|l| self.value_density(&l) >= self.fleet.best_value * self.fleet.price);
        if pays && !was_late && !cannot_be_retried {
            self.fleet.price = (self.fleet.price * PRICE_INCREASE).clamp(MIN_PRICE, 0.5);
        }
        let again = self.now + (job.spec.expires.saturating_sub(self.now) / 4).max(1_000);
        match cannot_be_retried || self.is_not_worth_running(job) {
            true => self.give_up(id, out),
            false if was_late => self.clock.timers.push(Reverse((again, Timer::Late(id)))),
            false => self.enqueue(id, false),
        }
    }

    /// Whether no further attempt can be made, so that waiting is useless.
    pub(crate) fn cannot_be_retried(&self, job: &Job) -> bool {
        let oldest = self.budget.spent.front().zip(self.budget.rule.as_ref());
        let soon = oldest.is_some_and(|(t, rule)| t + rule.window < job.start_by);
        let broke = !job.attempts.is_empty() && !soon && !self.budget.fits(self.now, true);
        broke
            || self.attempts_exhausted(job)
            || self.all_workers_disabled(job.spec.class)
            || !self.may_repeat(job, None)
    }

    pub(crate) fn attempts_exhausted(&self, job: &Job) -> bool {
        let most = self
            .fleet
            .admission
            .as_ref()
            .map_or(u32::MAX, |t| t.class(job.spec.class).max_attempts);
        job.attempts.len() >= self.settings.limits.attempts.min(most) as usize
    }
}
