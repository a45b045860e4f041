//! Which worker a job goes to, and the only place that sends.

use super::{
    span, unit, Action, Attempt, AttemptKey, BTreeSet, Candidate, ClassStatistics, Dispatcher,
    Idempotency, InFlightAttempt, JobId, Micros, QueueKey, Reverse, Timer, Worker, WorkerId,
    CAPACITY_TOLERANCE, IDLE_CONNECTION_AGE, IDLE_CONNECTION_LOSS, KNOWN_LOAD_SHARE,
    MAX_RELATIVE_RUN, PACE_PRIOR, PREFERENCE_FACTOR, PREFERRED_WORKERS, RESCAN_INTERVAL,
    SAMPLE_SIZE, SPILLOVER_DELAY, START_TIMEOUT, WASTE_START_TIMEOUT, WIDE_JOB_URGENCY,
};

impl Worker {
    pub(crate) fn open(&self, now: Micros, grace: Micros) -> bool {
        self.ready() && self.backoff.is_open(now) && !self.blocked(now, grace)
    }

    pub(crate) fn blocked(&self, now: Micros, grace: Micros) -> bool {
        let waits = |o: &InFlightAttempt| o.started.is_none() && now > o.due;
        self.probe_sent_at.is_some_and(|t| now > t + grace) || self.in_flight.iter().any(waits)
    }

    pub(crate) fn pace(&self) -> f64 {
        (self.expected + PACE_PRIOR) / (self.actual + PACE_PRIOR)
    }
}

impl Dispatcher {
    pub(crate) fn candidates(&self, ids: &[WorkerId]) -> Vec<Candidate> {
        let (report_weight, mean_peer_slots, idle) = (
            self.report_weight(),
            self.mean_peer_slots(),
            self.idle_span(),
        );
        let level = self
            .has_listed_loads()
            .then(|| self.fleet.listed_load.fill_level(self.now, self.mean_run()));
        let candidate = |id: &WorkerId| {
            let w = self
                .workers
                .get(id)
                .filter(|w| w.open(self.now, self.clock.grace))?;
            let (slots, pace) = (
                self.kind(w).slots(),
                w.pace() * self.fleet.reach.trust(w.listing.zone),
            );
            let fresh = w.reported_at.map_or(0.0, &report_weight);
            let room = match level {
                Some(level) => slots * self.warm_share(w) * level - w.peer_slots,
                None => slots - w.peer_slots * fresh - mean_peer_slots * (1.0 - fresh),
            } - w.own_slots();
            let known = fresh + (1.0 - fresh) / f64::from(self.settings.dispatchers);
            let (price, bound) = (
                self.connection_price(w, idle),
                self.settings.has_dedicated_class(w.listing.kind),
            );
            (room >= 1.0 - CAPACITY_TOLERANCE).then_some(Candidate {
                id: *id,
                room,
                pace,
                known,
                price,
                bound,
            })
        };
        ids.iter().filter_map(candidate).collect()
    }

    pub(crate) fn place_queued_jobs(
        &mut self,
        updated_worker: Option<WorkerId>,
        out: &mut Vec<Action>,
    ) {
        if self.queued.is_empty() {
            return;
        }
        self.fleet
            .probes_in_flight
            .retain(|(t, _)| self.now <= t + self.clock.grace);
        let mut candidates = if self.now < self.clock.rescan_at {
            self.candidates(updated_worker.as_slice())
        } else {
            // With probes in flight or left in the budget, only workers with recent reports are considered.
            let sample = self.sample(if self.is_probing() { 0 } else { SAMPLE_SIZE });
            self.clock.rescan_at = self.now + span(RESCAN_INTERVAL * self.mean_run());
            self.candidates(&sample)
        };
        if self.is_probing() {
            let max_probe_price = self.max_probe_price(
                self.fleet
                    .probes_since_placement
                    .saturating_sub(self.fleet.probes_in_flight.len()),
            );
            candidates.retain(|c| c.known >= KNOWN_LOAD_SHARE && c.price <= max_probe_price);
        }
        let mut queue_keys: Vec<(f64, QueueKey)> = self
            .queued
            .keys()
            .map(|l| (self.value_density(l), *l))
            .collect();
        // Under overload, late jobs would fill all slots and make the next ones late, too.
        self.fleet.best_value = queue_keys
            .iter()
            .map(|l| l.0)
            .fold(self.fleet.best_value, f64::max);
        let bar = if self.fleet.own_slots < 1.0 {
            0.0
        } else {
            self.fleet.best_value * self.fleet.price
        };
        queue_keys.retain(|(gain, _)| *gain >= bar);
        queue_keys.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, queue_key) in queue_keys {
            while let Some(id) = self.queued.get(&queue_key).and_then(|q| q.front().copied()) {
                let picked = self.select_worker(id, &candidates);
                let Some(worker) = picked.filter(|w| self.send_attempt(id, *w, out).is_some())
                else {
                    break;
                };
                let same = candidates.iter_mut().filter(|c| c.id == worker);
                same.for_each(|c| c.room -= f64::from(queue_key.slots));
            }
        }
        self.send_probes(out);
    }

    /// Draws a worker among the open ones with capacity for the job, weighted by capacity and pace; the cheapest to reach first.
    pub(crate) fn select_worker(
        &mut self,
        id: JobId,
        candidates: &[Candidate],
    ) -> Option<WorkerId> {
        let job = self.jobs.get(&id)?;
        // A wide job wants all its slots free at first, fewer later: the worker's queue gives it the rest.
        let slots = job.spec.slots.max(1.0);
        let waited = self.now.saturating_sub(job.accepted_at) as f64;
        let whole = job.start_by.saturating_sub(job.accepted_at).max(1) as f64;
        let hurry = (WIDE_JOB_URGENCY * waited / whole).min(1.0);
        let need = (slots * (1.0 - hurry)).max(1.0) - CAPACITY_TOLERANCE;
        let headroom = self.reserved_slots(job.spec.class);
        let fits = |c: &&Candidate| c.room >= need + if c.bound { headroom } else { 0.0 };
        let rank = |c: &Candidate| {
            job.preferred
                .iter()
                .position(|h| *h == c.id)
                .unwrap_or(job.preferred.len())
        };
        // Where no report of the preferred workers will arrive, there is nothing to wait for.
        let away = self.has_listed_loads() || waited > SPILLOVER_DELAY * self.mean_run();
        let blind = !self.is_probing();
        // Where few loads are known, a preferred worker's turn comes once those before it are known, any other's once all are.
        let turn = |c: &Candidate| match self.knows_few_workers() {
            true => {
                blind
                    || job
                        .preferred
                        .iter()
                        .take(rank(c))
                        .all(|home| self.is_load_known(*home))
            }
            false => rank(c) < PREFERRED_WORKERS,
        };
        let yield_share = self.yield_share(job.spec.class);
        let left = |c: &Candidate| if c.bound { 1.0 - yield_share } else { 1.0 };
        let weight =
            |c: &&Candidate| c.room * c.pace * left(c) * PREFERENCE_FACTOR.powi(-(rank(c) as i32));
        let mut open: Vec<_> = candidates
            .iter()
            .filter(fits)
            .filter(|c| away || turn(c))
            .collect();
        // Fetching what a job's key needs takes longer than any path to a worker that caches it.
        let price = |c: &Candidate| {
            if job.preferred.is_empty() {
                c.price
            } else {
                0.0
            }
        };
        open.sort_by(|a, b| price(a).total_cmp(&price(b)));
        while let Some(cheapest) = open.first().map(|c| price(c)) {
            let alike = open.iter().take_while(|c| price(c) <= cheapest).count();
            let mut draw = unit(&mut self.rng) * open[..alike].iter().map(weight).sum::<f64>();
            let mut at = 0;
            while at + 1 < alike && draw >= weight(&open[at]) {
                draw -= weight(&open[at]);
                at += 1;
            }
            let drawn = open.remove(at).id;
            if self.may_send(id, drawn) {
                return Some(drawn);
            }
        }
        None
    }

    /// What a job of this queue adds to the operators' goal, per slot and time that it takes.
    pub(crate) fn value_density(&self, queue_key: &QueueKey) -> f64 {
        let (goal, classes) = (&self.settings.goal, &self.settings.classes);
        let by_work = |t: &ClassStatistics| {
            if self.settings.value_by_work {
                t.run
            } else {
                1.0
            }
        };
        let worth = |c: usize| classes[c].job_value * by_work(&self.classes[c]);
        let all: f64 = (0..classes.len())
            .map(|c| worth(c) * (self.classes[c].arrivals + 1.0))
            .sum();
        let served = |c: usize| (self.classes[c].in_time + 1.0) / (self.classes[c].asked + 1.0);
        let worst = (0..classes.len()).min_by(|a, b| served(*a).total_cmp(&served(*b)));
        let statistics = &self.classes[queue_key.class];
        let worst_class = if worst == Some(queue_key.class) {
            goal.worst_class
        } else {
            0.0
        };
        let gain = (goal.overall + goal.worst_window) * worth(queue_key.class) / all.max(1.0e-9)
            + worst_class / (statistics.arrivals + 1.0);
        let kept = if queue_key.late {
            classes[queue_key.class].late_value_share
        } else {
            1.0
        };
        gain * kept / (f64::from(queue_key.slots) * statistics.run.max(1.0))
    }

    /// Sends an attempt, the only place that does. `None` if it may not be sent.
    pub(crate) fn send_attempt(
        &mut self,
        id: JobId,
        worker: WorkerId,
        out: &mut Vec<Action>,
    ) -> Option<()> {
        self.may_send(id, worker).then(|| self.dequeue(id))?;
        let idle = self.idle_span();
        let (job, w) = (self.jobs.get_mut(&id)?, self.workers.get_mut(&worker)?);
        if w.in_flight.is_empty()
            && w.last_used_at
                .is_some_and(|t| self.now > t.saturating_add(idle))
        {
            out.push(Action::CloseIdleConnections { worker });
        }
        let attempt = job.attempts.len() as u32;
        let (slots, work, sent) = (job.spec.slots, job.work, self.now);
        self.budget
            .spent
            .extend(self.budget.rule.filter(|_| attempt > 0).map(|_| self.now));
        job.attempts.push(Attempt {
            worker,
            sent,
            outcome: None,
        });
        w.responsiveness.since.get_or_insert(self.now);
        self.fleet.sent.0 += 1;
        w.last_used_at = Some(self.now);
        let due = match self.settings.progress_every {
            _ if self.settings.start_notices => sent,
            Some(every) => sent + every + every / 4,
            None => sent + span(MAX_RELATIVE_RUN * work),
        } + self.clock.grace;
        w.in_flight.push(InFlightAttempt {
            job: id,
            attempt,
            slots,
            work,
            sent,
            due,
            started: None,
        });
        w.backoff.restart_interval(self.now);
        w.warm_up = (self.now, 1.0, Some(slots * work));
        w.load_published_at = None;
        self.fleet.own_slots += slots;
        self.fleet.recently_used.retain(|id| *id != worker);
        self.fleet.recently_used.insert(0, worker);
        self.fleet.recently_used.truncate(SAMPLE_SIZE / 2);
        self.fleet.probes_since_placement = 0;
        let class = job.spec.class;
        let key = AttemptKey {
            job: id,
            attempt,
            worker,
        };
        self.start_attempt_timers(key, due, class);
        out.push(Action::Push { job: id, worker });
        self.publish_load(out);
        Some(())
    }

    /// Starts the timers of an attempt: for its start, due at `due` at the earliest, and for the end of its key's memory.
    fn start_attempt_timers(&mut self, key: AttemptKey, due: Micros, class: usize) {
        let class = &self.settings.classes[class];
        let targets = START_TIMEOUT.max(WASTE_START_TIMEOUT * self.settings.waste_price);
        let at = due.max(self.now + span(class.latency_target as f64 * targets));
        if self.settings.start_notices || self.settings.progress_every.is_some() {
            let timer = Timer::StartTimeout(key);
            self.clock.timers.push(Reverse((at, timer)));
        }
        if let Idempotency::Keyed { memory, .. } = class.idempotency {
            // A job that may have run is answered when its key is about to be forgotten: it may not be retried after that.
            let at = self.now + memory - memory / 10;
            self.clock.timers.push(Reverse((at, Timer::Late(key.job))));
        }
    }

    /// Workers to consider: all of a small fleet; of a larger one the preferred, those with the latest reports, and some drawn.
    pub(crate) fn sample(&mut self, drawn: usize) -> Vec<WorkerId> {
        if self.fleet.ready.len() <= SAMPLE_SIZE {
            return self.fleet.ready.clone();
        }
        let firsts = self
            .queued
            .values()
            .filter_map(|q| self.jobs.get(q.front()?));
        let preferred = firsts.flat_map(|job| job.preferred.iter().copied());
        let mut sample: BTreeSet<WorkerId> = preferred
            .chain(self.fleet.recently_reported.iter().copied())
            .collect();
        (0..drawn).for_each(|_| sample.extend(self.draw_probe_target(f64::INFINITY)));
        sample.into_iter().collect()
    }

    pub(crate) fn connection_price(&self, w: &Worker, idle: Micros) -> f64 {
        let (limits, kept) = (&self.settings.limits, |t: Micros| {
            self.now <= t.saturating_add(idle)
        });
        let cross = if w.listing.zone == self.settings.zone {
            0.0
        } else {
            limits.cross_zone_price
        };
        cross
            + if w.last_used_at.is_some_and(kept) {
                0.0
            } else {
                limits.connect_price
            }
    }

    pub(crate) fn idle_span(&self) -> Micros {
        let limits = &self.settings.limits;
        let renew = limits.connect_price > 0.0 && limits.connect_price < IDLE_CONNECTION_LOSS;
        let fresh = if renew {
            span(IDLE_CONNECTION_AGE * self.mean_run())
        } else {
            Micros::MAX
        };
        fresh.min(limits.connection_idle)
    }
}
