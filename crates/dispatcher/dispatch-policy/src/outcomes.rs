//! What is learned from an attempt that started, ended, or did not start in time.

use super::{
    backoff_config, span, Action, AttemptKey, ClassStatistics, Dispatcher, Idempotency,
    InFlightAttempt, JobId, Outcome, Reverse, Timer, Worker, WorkerId, CAPACITY_TOLERANCE,
    CONSECUTIVE_ERRORS, INITIAL_BACKOFF, MAX_RELATIVE_RUN, PACE_MEMORY, RARE_FAILURE_FLEET,
    SAMPLE_SIZE, STATISTICS_WINDOW,
};

impl Worker {
    /// Counts error responses in a row.
    fn count_errors(&mut self, outcome: Outcome) {
        let errors = self.consecutive_errors.min(CONSECUTIVE_ERRORS);
        self.consecutive_errors = match outcome {
            Outcome::Done => 0,
            Outcome::Error => errors + 1,
            _ => errors,
        };
    }

    /// Records how long a run took, beside what was expected, both in microseconds.
    fn record_run(&mut self, ran: f64, expected: f64) {
        let relative = (ran / expected).min(MAX_RELATIVE_RUN);
        self.actual += relative - self.actual / PACE_MEMORY;
        self.expected += 1.0 - self.expected / PACE_MEMORY;
    }
}

impl ClassStatistics {
    /// Records how long a run took, in microseconds.
    fn record_run(&mut self, ran: f64) {
        self.runs = (self.runs + 1.0).min(STATISTICS_WINDOW);
        self.run += (ran - self.run) / self.runs;
    }
}

impl Dispatcher {
    pub(crate) fn on_started(&mut self, id: JobId, attempt: u32, worker: WorkerId) {
        let mean_run = self.mean_run();
        let Some(w) = self.workers.get_mut(&worker) else {
            return;
        };
        w.record_response(self.now);
        let Some(at) = w
            .find(id, attempt)
            .filter(|at| w.in_flight[*at].started.is_none())
        else {
            return;
        };
        w.in_flight[at].started = Some(self.now);
        self.fleet.reach.record_success(w.listing.zone);
        if w.consecutive_errors < CONSECUTIVE_ERRORS && self.settings.start_notices {
            w.backoff
                .record_success(&backoff_config(mean_run), &mut self.rng);
        }
    }

    pub(crate) fn on_ended(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        finished: bool,
        out: &mut Vec<Action>,
    ) {
        let AttemptKey {
            job: id, attempt, ..
        } = key;
        let ran = self.record_attempt_end(key, outcome);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.attempts
            .get_mut(attempt as usize)
            .map(|a| a.outcome.get_or_insert(outcome));
        if job.closed && !job.in_flight() {
            self.jobs.remove(&id);
        } else if finished && !job.closed {
            let latest = job.start_by + span(ran.unwrap_or(0.0));
            let in_time = outcome == Outcome::Done && self.now <= latest;
            self.close_job(id, in_time, out);
        } else if !job.closed && !job.in_flight() && job.queued.is_none() {
            match self
                .jobs
                .get(&id)
                .is_some_and(|j| self.cannot_be_retried(j) || self.now >= j.spec.expires)
            {
                true => self.give_up(id, out),
                false => self.enqueue(id, true),
            }
        }
    }

    pub(crate) fn record_attempt_end(&mut self, key: AttemptKey, outcome: Outcome) -> Option<f64> {
        let AttemptKey {
            job: id,
            attempt,
            worker,
        } = key;
        let (mean_run, response_timeout, told) = (
            self.mean_run(),
            self.response_timeout(),
            self.has_listed_loads(),
        );
        let rare = (f64::from(self.settings.dispatchers) / RARE_FAILURE_FLEET).max(1.0);
        let (usual, rare) = (backoff_config(mean_run), backoff_config(mean_run * rare));
        let w = self.workers.get_mut(&worker)?;
        // A start notice may overtake an outcome: only runs that started some time ago show slots.
        let starts = || {
            w.in_flight
                .iter()
                .filter_map(|o| Some((o.started?, o.slots)))
        };
        if starts().all(|(t, _)| self.now > t + self.clock.grace) {
            self.kinds
                .entry(w.listing.kind)
                .or_default()
                .record_running(starts().map(|(_, slots)| slots).sum());
        }
        let o = w.find(id, attempt).map(|at| w.in_flight.swap_remove(at))?;
        self.fleet.own_slots -= o.slots;
        w.load_published_at = None;
        w.count_errors(outcome);
        w.record_outcome(outcome, self.now, response_timeout);
        self.fleet.sent.1 += u64::from(matches!(
            outcome,
            Outcome::Rejected | Outcome::ConnectFailed
        ));
        // Cancelled before its connection was established: the worker can't be reached.
        let waited = outcome == Outcome::NotSent && told && self.now > o.due;
        let is_unreachable = outcome == Outcome::ConnectFailed || waited;
        if is_unreachable && told {
            self.fleet.reach.record_failure(w.listing.zone);
        }
        let failed = match outcome {
            Outcome::Rejected => Some(&usual),
            _ if is_unreachable => Some(&rare),
            // A worker that fails jobs at once always has free capacity and would draw all traffic.
            Outcome::Error if w.consecutive_errors >= CONSECUTIVE_ERRORS => Some(&usual),
            _ => None,
        };
        if let Some(config) = failed {
            w.backoff.record_failure(self.now, config, &mut self.rng);
        } else if outcome == Outcome::Done && !self.settings.start_notices {
            w.backoff.record_success(&usual, &mut self.rng);
        }
        // Without start notices a run counts from its sending: free capacity was seen there.
        let started = if self.settings.start_notices {
            o.started
        } else {
            Some(o.sent)
        };
        let started = started.filter(|_| outcome == Outcome::Done)?;
        let ran = self.now.saturating_sub(started).max(1) as f64;
        w.record_run(ran, o.work);
        self.classes[self.jobs.get(&id)?.spec.class].record_run(ran);
        Some(ran)
    }

    /// An attempt did not start in time: a failure for the back-off; a job that may be repeated is cancelled and placed anew.
    pub(crate) fn on_start_timeout(&mut self, key: AttemptKey, out: &mut Vec<Action>) {
        let AttemptKey {
            job: id,
            attempt,
            worker,
        } = key;
        let waits =
            |o: &InFlightAttempt| o.job == id && o.attempt == attempt && o.started.is_none();
        let waits = self
            .workers
            .get(&worker)
            .is_some_and(|w| w.in_flight.iter().any(waits));
        let (mean_run, sample) = (self.mean_run(), self.sample(SAMPLE_SIZE / 2));
        let Some(job) = self.jobs.get(&id).filter(|j| waits && !j.closed) else {
            return;
        };
        let idempotency = self.settings.classes[job.spec.class].idempotency;
        let mut elsewhere = self.candidates(&sample);
        elsewhere.retain(|c| c.id != worker && c.room >= job.spec.slots - CAPACITY_TOLERANCE);
        let safe = idempotency == Idempotency::Idempotent && !self.has_listed_loads();
        let movable = safe || elsewhere.iter().any(|c| self.may_repeat(job, Some(c.id)));
        if movable
            && !self.attempts_exhausted(job)
            && self.budget.fits(self.now, false)
            && self.settings.limits.cancel
        {
            out.push(Action::CancelAttempt { job: id, attempt });
        } else if idempotency != Idempotency::NonIdempotent {
            let again = Timer::StartTimeout(key);
            self.clock
                .timers
                .push(Reverse((self.now + self.clock.grace, again)));
        }
        // Where all are full this worker is not at fault, but each dispatcher must leave the others their turn.
        let turns = mean_run * INITIAL_BACKOFF * f64::from(self.settings.dispatchers - 1);
        let may_grow = |w: &Worker| !elsewhere.is_empty() || w.backoff.interval < turns;
        if let Some(w) = self
            .workers
            .get_mut(&worker)
            .filter(|w| w.backoff.is_open(self.now) && may_grow(w))
        {
            w.backoff
                .record_failure(self.now, &backoff_config(mean_run), &mut self.rng);
        }
    }
}
