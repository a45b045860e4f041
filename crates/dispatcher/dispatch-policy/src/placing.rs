//! Which worker a job goes to; the one place that sends.

use super::{
    span, unit, Action, Attempt, BTreeSet, Candidate, Dispatcher, Idempotency, JobId, Lane, Micros,
    Outstanding, Reverse, Tally, Timer, Worker, WorkerId, AWAY, HOMES, HURRY, IDLE, IDLE_LOST, KIN,
    KNOWN, PACE_PRIOR, RESCAN, ROOM_SLACK, RUN_CAP, SAMPLE, START_OVERDUE, WASTE_PATIENCE,
};

impl Worker {
    pub(crate) fn open(&self, now: Micros, grace: Micros) -> bool {
        self.ready() && self.backoff.open(now) && !self.blocked(now, grace)
    }

    pub(crate) fn blocked(&self, now: Micros, grace: Micros) -> bool {
        let waits = |o: &Outstanding| o.started.is_none() && now > o.due;
        self.probing.is_some_and(|t| now > t + grace) || self.outstanding.iter().any(waits)
    }

    pub(crate) fn pace(&self) -> f64 {
        (self.expected + PACE_PRIOR) / (self.actual + PACE_PRIOR)
    }
}

impl Dispatcher {
    pub(crate) fn candidates(&self, ids: &[WorkerId]) -> Vec<Candidate> {
        let (fading, mean_others, idle) = (self.fading(), self.mean_others(), self.idle_span());
        let level = self
            .told_loads()
            .then(|| self.fleet.loads.fill_level(self.now, self.mean_run()));
        let candidate = |id: &WorkerId| {
            let w = self
                .workers
                .get(id)
                .filter(|w| w.open(self.now, self.clock.grace))?;
            let (slots, pace) = (
                self.kind(w).slots(),
                w.pace() * self.fleet.reach.trust(w.listing.zone),
            );
            let fresh = w.reported.map_or(0.0, &fading);
            let room = match level {
                Some(level) => slots * self.warmth(w) * level - w.others,
                None => slots - w.others * fresh - mean_others * (1.0 - fresh),
            } - w.own();
            let known = fresh + (1.0 - fresh) / f64::from(self.settings.dispatchers);
            let (price, bound) = (
                self.price(w, idle),
                self.settings.has_dedicated_class(w.listing.kind),
            );
            (room >= 1.0 - ROOM_SLACK).then_some(Candidate {
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

    pub(crate) fn place_held(&mut self, news: Option<WorkerId>, out: &mut Vec<Action>) {
        if self.held.is_empty() {
            return;
        }
        self.fleet
            .scouts
            .retain(|(t, _)| self.now <= t + self.clock.grace);
        let mut candidates = if self.now < self.clock.rescan_at {
            self.candidates(news.as_slice())
        } else {
            // With probes out or to spare only workers heard of lately will do.
            let sample = self.sample(if self.scouting() { 0 } else { SAMPLE });
            self.clock.rescan_at = self.now + span(RESCAN * self.mean_run());
            self.candidates(&sample)
        };
        if self.scouting() {
            let bearable =
                self.bearable(self.fleet.scouted.saturating_sub(self.fleet.scouts.len()));
            candidates.retain(|c| c.known >= KNOWN && c.price <= bearable);
        }
        let mut lanes: Vec<(f64, Lane)> = self.held.keys().map(|l| (self.gain(l), *l)).collect();
        // With more work than time late jobs would fill all slots, and make late whatever comes next.
        self.fleet.best = lanes.iter().map(|l| l.0).fold(self.fleet.best, f64::max);
        let bar = if self.fleet.own < 1.0 {
            0.0
        } else {
            self.fleet.best * self.fleet.price
        };
        lanes.retain(|(gain, _)| *gain >= bar);
        lanes.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, lane) in lanes {
            while let Some(id) = self.held.get(&lane).and_then(|q| q.front().copied()) {
                let picked = self.pick(id, &candidates);
                let Some(worker) = picked.filter(|w| self.push(id, *w, out).is_some()) else {
                    break;
                };
                let same = candidates.iter_mut().filter(|c| c.id == worker);
                same.for_each(|c| c.room -= f64::from(lane.slots));
            }
        }
        self.scout(out);
    }

    /// A random draw over open workers with room for the job, weighted by room and pace; the cheapest first.
    pub(crate) fn pick(&mut self, id: JobId, candidates: &[Candidate]) -> Option<WorkerId> {
        let job = self.jobs.get(&id)?;
        // A wide job asks for all its slots at first, for fewer later: it gets them together in a queue.
        let slots = job.spec.slots.max(1.0);
        let waited = self.now.saturating_sub(job.came) as f64;
        let whole = job.start_by.saturating_sub(job.came).max(1) as f64;
        let hurry = (HURRY * waited / whole).min(1.0);
        let need = (slots * (1.0 - hurry)).max(1.0) - ROOM_SLACK;
        let headroom = self.headroom(job.spec.class);
        let fits = |c: &&Candidate| c.room >= need + if c.bound { headroom } else { 0.0 };
        let rank = |c: &Candidate| {
            job.homes
                .iter()
                .position(|h| *h == c.id)
                .unwrap_or(job.homes.len())
        };
        // Where no news of the homes will come, there is nothing to wait for.
        let away = self.told_loads() || waited > AWAY * self.mean_run();
        let blind = !self.scouting();
        // Where few are known a home comes once those before it were asked, and any other once all were.
        let turn = |c: &Candidate| match self.sees_few() {
            true => {
                blind
                    || job
                        .homes
                        .iter()
                        .take(rank(c))
                        .all(|home| self.is_asked(*home))
            }
            false => rank(c) < HOMES,
        };
        let yields = self.yields(job.spec.class);
        let left = |c: &Candidate| if c.bound { 1.0 - yields } else { 1.0 };
        let weight = |c: &&Candidate| c.room * c.pace * left(c) * KIN.powi(-(rank(c) as i32));
        let mut open: Vec<_> = candidates
            .iter()
            .filter(fits)
            .filter(|c| away || turn(c))
            .collect();
        // To fetch what a job needs takes longer than any way to where it is kept.
        let price = |c: &Candidate| if job.homes.is_empty() { c.price } else { 0.0 };
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
            if self.may_push(id, drawn) {
                return Some(drawn);
            }
        }
        None
    }

    /// What a job of this lane adds to the goal for each slot and time that it takes.
    pub(crate) fn gain(&self, lane: &Lane) -> f64 {
        let (goal, classes) = (&self.settings.goal, &self.settings.classes);
        let by_work = |t: &Tally| {
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
        let tally = &self.classes[lane.class];
        let worst_class = if worst == Some(lane.class) {
            goal.worst_class
        } else {
            0.0
        };
        let gain = (goal.overall + goal.worst_window) * worth(lane.class) / all.max(1.0e-9)
            + worst_class / (tally.arrivals + 1.0);
        let kept = if lane.late {
            classes[lane.class].late_value_share
        } else {
            1.0
        };
        gain * kept / (f64::from(lane.slots) * tally.run.max(1.0))
    }

    /// The one place that sends. None if it may not.
    pub(crate) fn push(
        &mut self,
        id: JobId,
        worker: WorkerId,
        out: &mut Vec<Action>,
    ) -> Option<()> {
        self.may_push(id, worker).then(|| self.release(id))?;
        let idle = self.idle_span();
        let (job, w) = (self.jobs.get_mut(&id)?, self.workers.get_mut(&worker)?);
        if w.outstanding.is_empty() && w.used.is_some_and(|t| self.now > t.saturating_add(idle)) {
            out.push(Action::CloseIdleConnections { worker });
        }
        let attempt = job.attempts.len() as u32;
        let latency_target = self.settings.classes[job.spec.class].latency_target as f64;
        let (slots, work, sent) = (job.spec.slots, job.work, self.now);
        self.budget
            .spent
            .extend(self.budget.rule.filter(|_| attempt > 0).map(|_| self.now));
        job.attempts.push(Attempt {
            worker,
            sent,
            outcome: None,
        });
        w.quiet.since.get_or_insert(self.now);
        self.fleet.sent.0 += 1;
        w.used = Some(self.now);
        let due = match self.settings.progress_every {
            _ if self.settings.start_notices => sent,
            Some(every) => sent + every + every / 4,
            None => sent + span(RUN_CAP * work),
        } + self.clock.grace;
        w.outstanding.push(Outstanding {
            job: id,
            attempt,
            slots,
            work,
            sent,
            due,
            started: None,
        });
        w.backoff.pushed(self.now);
        w.cold = (self.now, 1.0, Some(slots * work));
        w.told_at = None;
        self.fleet.own += slots;
        self.fleet.used.retain(|id| *id != worker);
        self.fleet.used.insert(0, worker);
        self.fleet.used.truncate(SAMPLE / 2);
        self.fleet.scouted = 0;
        let overdue = START_OVERDUE.max(WASTE_PATIENCE * self.settings.waste_price);
        let at = due.max(self.now + span(latency_target * overdue));
        let told = self.settings.start_notices || self.settings.progress_every.is_some();
        self.clock
            .timers
            .extend(told.then_some(Reverse((at, Timer::Overdue(id, attempt, worker)))));
        if let Idempotency::Keyed { memory, .. } = self.settings.classes[job.spec.class].idempotency
        {
            // What may have run is answered when its key is about to be forgotten, not held for nothing.
            self.clock
                .timers
                .push(Reverse((self.now + memory - memory / 10, Timer::Late(id))));
        }
        out.push(Action::Push { job: id, worker });
        self.tell(out);
        Some(())
    }

    /// Workers to look at: all of a small fleet; of a larger one homes, those heard of last, and some drawn.
    pub(crate) fn sample(&mut self, drawn: usize) -> Vec<WorkerId> {
        if self.fleet.ready.len() <= SAMPLE {
            return self.fleet.ready.clone();
        }
        let firsts = self.held.values().filter_map(|q| self.jobs.get(q.front()?));
        let homes = firsts.flat_map(|job| job.homes.iter().copied());
        let mut sample: BTreeSet<WorkerId> =
            homes.chain(self.fleet.heard.iter().copied()).collect();
        (0..drawn).for_each(|_| sample.extend(self.draw(f64::INFINITY)));
        sample.into_iter().collect()
    }

    pub(crate) fn price(&self, w: &Worker, idle: Micros) -> f64 {
        let (limits, kept) = (&self.settings.limits, |t: Micros| {
            self.now <= t.saturating_add(idle)
        });
        let cross = if w.listing.zone == self.settings.zone {
            0.0
        } else {
            limits.cross_zone_price
        };
        cross
            + if w.used.is_some_and(kept) {
                0.0
            } else {
                limits.connect_price
            }
    }

    pub(crate) fn idle_span(&self) -> Micros {
        let limits = &self.settings.limits;
        let renew = limits.connect_price > 0.0 && limits.connect_price < IDLE_LOST;
        let fresh = if renew {
            span(IDLE * self.mean_run())
        } else {
            Micros::MAX
        };
        fresh.min(limits.connection_idle)
    }
}
