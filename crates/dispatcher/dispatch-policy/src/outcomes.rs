//! What an attempt that has started, ended or not started in time says.

use super::{
    paced, span, Action, Dispatcher, Idempotency, JobId, Leg, Outcome, Outstanding, Reverse, Timer,
    Worker, WorkerId, ERRORS, INITIAL, PACE_MEMORY, RARE, ROOM_SLACK, RUN_CAP, SAMPLE, TALLY,
};

impl Dispatcher {
    pub(crate) fn on_started(&mut self, id: JobId, attempt: u32, worker: WorkerId) {
        let mean_run = self.mean_run();
        let Some(w) = self.workers.get_mut(&worker) else {
            return;
        };
        w.heard(self.now);
        let Some(at) = w
            .find(id, attempt)
            .filter(|at| w.outstanding[*at].started.is_none())
        else {
            return;
        };
        w.outstanding[at].started = Some(self.now);
        self.fleet.reach.record_success(w.listing.zone);
        if w.errors < ERRORS && self.settings.start_notices {
            w.backoff.success(&paced(mean_run), &mut self.rng);
        }
    }

    pub(crate) fn on_ended(
        &mut self,
        leg: Leg,
        outcome: Outcome,
        finished: bool,
        out: &mut Vec<Action>,
    ) {
        let (id, attempt, _) = leg;
        let ran = self.settle_worker(leg, outcome);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.attempts
            .get_mut(attempt as usize)
            .map(|a| a.outcome.get_or_insert(outcome));
        if job.over && !job.in_flight() {
            self.jobs.remove(&id);
        } else if finished && !job.over {
            let latest = job.start_by + span(ran.unwrap_or(0.0));
            let in_time = outcome == Outcome::Done && self.now <= latest;
            self.close(id, in_time, out);
        } else if !job.over && !job.in_flight() && job.held.is_none() {
            match self
                .jobs
                .get(&id)
                .is_some_and(|j| self.hopeless(j) || self.now >= j.spec.expires)
            {
                true => self.finish(id, out),
                false => self.hold(id, true),
            }
        }
    }

    pub(crate) fn settle_worker(
        &mut self,
        (id, attempt, worker): Leg,
        outcome: Outcome,
    ) -> Option<f64> {
        let (mean_run, patience, told) = (self.mean_run(), self.patience(), self.told_loads());
        let rare = (f64::from(self.settings.dispatchers) / RARE).max(1.0);
        let (usual, rare) = (paced(mean_run), paced(mean_run * rare));
        let w = self.workers.get_mut(&worker)?;
        // A start notice may overtake an outcome: only runs under way for a while show slots.
        let starts = || {
            w.outstanding
                .iter()
                .filter_map(|o| Some((o.started?, o.slots)))
        };
        if starts().all(|(t, _)| self.now > t + self.clock.grace) {
            self.kinds
                .entry(w.listing.kind)
                .or_default()
                .record_running(starts().map(|(_, slots)| slots).sum());
        }
        let o = w
            .find(id, attempt)
            .map(|at| w.outstanding.swap_remove(at))?;
        self.fleet.own -= o.slots;
        w.told_at = None;
        let errors = w.errors.min(ERRORS) + u32::from(outcome == Outcome::Error);
        w.errors = if outcome == Outcome::Done { 0 } else { errors };
        w.heed(outcome, self.now, patience);
        self.fleet.sent.1 += u64::from(matches!(
            outcome,
            Outcome::Rejected | Outcome::ConnectFailed
        ));
        // Called off before its connection was up: it can't be reached.
        let waited = outcome == Outcome::NotSent && told && self.now > o.due;
        let unreached = outcome == Outcome::ConnectFailed || waited;
        if unreached && told {
            self.fleet.reach.record_failure(w.listing.zone);
        }
        match outcome {
            Outcome::Rejected => w.backoff.failure(self.now, &usual, &mut self.rng),
            _ if unreached => w.backoff.failure(self.now, &rare, &mut self.rng),
            // A worker that fails jobs at once always has room and would draw all traffic.
            Outcome::Error if w.errors >= ERRORS => {
                w.backoff.failure(self.now, &usual, &mut self.rng)
            }
            Outcome::Done if !self.settings.start_notices => {
                w.backoff.success(&usual, &mut self.rng)
            }
            _ => {}
        }
        // Where no start is told a run counts from its sending: room was seen there.
        let started = if self.settings.start_notices {
            o.started
        } else {
            Some(o.sent)
        };
        let started = started.filter(|_| outcome == Outcome::Done)?;
        let ran = self.now.saturating_sub(started).max(1) as f64;
        let relative = (ran / o.work).min(RUN_CAP);
        w.actual += relative - w.actual / PACE_MEMORY;
        w.expected += 1.0 - w.expected / PACE_MEMORY;
        let tally = &mut self.classes[self.jobs.get(&id)?.spec.class];
        tally.runs = (tally.runs + 1.0).min(TALLY);
        tally.run += (ran - tally.run) / tally.runs;
        Some(ran)
    }

    /// A push has not started: a failure to the back-off; a job safe to repeat is called off and placed anew.
    pub(crate) fn on_overdue(&mut self, (id, attempt, worker): Leg, out: &mut Vec<Action>) {
        let waits = |o: &Outstanding| o.job == id && o.attempt == attempt && o.started.is_none();
        let waits = self
            .workers
            .get(&worker)
            .is_some_and(|w| w.outstanding.iter().any(waits));
        let (mean_run, sample) = (self.mean_run(), self.sample(SAMPLE / 2));
        let Some(job) = self.jobs.get(&id).filter(|j| waits && !j.over) else {
            return;
        };
        let idempotency = self.settings.classes[job.spec.class].idempotency;
        let mut elsewhere = self.candidates(&sample);
        elsewhere.retain(|c| c.id != worker && c.room >= job.spec.slots - ROOM_SLACK);
        let safe = idempotency == Idempotency::Idempotent && !self.told_loads();
        let movable = safe || elsewhere.iter().any(|c| self.repeat_ok(job, Some(c.id)));
        if movable
            && !self.spent(job)
            && self.budget.fits(self.now, false)
            && self.settings.limits.cancel
        {
            out.push(Action::CancelAttempt { job: id, attempt });
        } else if idempotency != Idempotency::NonIdempotent {
            let again = Timer::Overdue(id, attempt, worker);
            self.clock
                .timers
                .push(Reverse((self.now + self.clock.grace, again)));
        }
        // Where all are full it is no fault of this worker, but each must leave the others their turn.
        let turns = mean_run * INITIAL * f64::from(self.settings.dispatchers - 1);
        let may_grow = |w: &Worker| !elsewhere.is_empty() || w.backoff.interval < turns;
        if let Some(w) = self
            .workers
            .get_mut(&worker)
            .filter(|w| w.backoff.open(self.now) && may_grow(w))
        {
            w.backoff.failure(self.now, &paced(mean_run), &mut self.rng);
        }
    }
}
