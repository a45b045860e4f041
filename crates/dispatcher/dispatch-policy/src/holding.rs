//! Jobs that are held for a place: taken, late, given up, answered.

use super::{
    rendezvous_weight, span, Action, DeduplicationScope, Dispatcher, Idempotency, Job, JobId,
    JobSpec, Lane, Outstanding, Reverse, Timer, Worker, WorkerId, LAST, MOST_SCOUTS, PRICE_DOWN,
    PRICE_FLOOR, PRICE_UP, PROBE_SPEND, PROBE_SPEND_HOMES, RUN_SPREAD, TALLY,
};

impl Dispatcher {
    pub(crate) fn on_job(&mut self, spec: JobSpec, out: &mut Vec<Action>) {
        if spec.class >= self.settings.classes.len() || self.jobs.contains_key(&spec.id) {
            return out.push(Action::FailJob { job: spec.id });
        }
        if self.left_out(spec.class) || self.turns_away(&spec) {
            return out.push(Action::RejectJob {
                job: spec.id,
                retry_after: self.retry_after(),
            });
        }
        self.budget.take(self.now);
        let (id, class, expires) = (spec.id, spec.class, spec.expires);
        let asks_homes = spec.key.is_some() && self.sees_few();
        self.fleet.best -= self.fleet.best / TALLY;
        let tallies = self
            .classes
            .iter_mut()
            .flat_map(|t| [&mut t.arrivals, &mut t.asked, &mut t.in_time]);
        tallies.for_each(|count| *count -= *count / TALLY);
        self.classes[class].arrivals += 1.0;
        let work = spec
            .work
            .map_or(self.classes[class].run, |w| w as f64)
            .max(1.0);
        let limits = &self.settings.classes[class];
        // Work is not known for sure; where a late answer still earns something, the job is given up earlier.
        let sure = work * (1.0 - limits.late_value_share);
        let slack = span((limits.target_stretch - RUN_SPREAD).max(0.0) * sure);
        let start_by = (self.now + limits.latency_target + slack).min(expires);
        let answer_by = expires.saturating_sub(self.settings.tick.max(1_000));
        let (came, (attempts, held, homes, over)) = (self.now, Default::default());
        self.jobs.insert(
            id,
            Job {
                spec,
                work,
                came,
                start_by,
                attempts,
                held,
                homes,
                over,
            },
        );
        self.clock
            .timers
            .push(Reverse((answer_by, Timer::Answer(id))));
        self.hold(id, false);
        self.bound_hold(id, class);
        let spend = if asks_homes {
            PROBE_SPEND_HOMES
        } else {
            PROBE_SPEND
        };
        let probes = spend / self.settings.limits.probe_price.max(1.0e-9);
        let most = if self.told_loads() {
            0.0
        } else {
            MOST_SCOUTS as f64
        };
        self.fleet.probe_credit = (self.fleet.probe_credit + probes).min(most);
    }

    /// The share of its jobs that a class leaves to others where these run nowhere else.
    pub(crate) fn yields(&self, class: usize) -> f64 {
        self.settings.classes[class]
            .kind
            .map_or(self.fleet.loads.keep_off_share(), |_| 0.0)
    }

    /// The open workers that are meant for the job's key.
    pub(crate) fn homes(&self, job: &Job) -> Vec<WorkerId> {
        let Some(key) = job.spec.key else {
            return vec![];
        };
        let kind = self.settings.classes[job.spec.class].kind;
        // A cold one that may not be sent to yet is no home where a job does not wait for its homes.
        let warm = |w: &Worker| {
            !self.told_loads()
                || self.cold_ok(job, w) && self.fleet.reach.is_trusted(w.listing.zone)
        };
        let yields =
            (rendezvous_weight(key, 0) as f64 / u64::MAX as f64) < self.yields(job.spec.class);
        let fits = |w: &Worker| {
            kind.is_none_or(|k| k == w.listing.kind)
                && w.draw
                    .accepts(rendezvous_weight(job.spec.id.0, w.listing.name_hash))
                && warm(w)
                && !(yields && self.settings.has_dedicated_class(w.listing.kind))
        };
        let ready = self
            .fleet
            .ready
            .iter()
            .filter_map(|id| self.workers.get_key_value(id));
        let ready = ready.filter(|(_, w)| fits(w) && w.open(self.now, self.clock.grace));
        let mut homes: Vec<_> = ready
            .map(|(id, w)| (Reverse(rendezvous_weight(key, w.listing.name_hash)), id))
            .collect();
        homes.sort_unstable();
        homes
            .into_iter()
            .take(self.most_homes())
            .map(|(_, id)| *id)
            .collect()
    }

    pub(crate) fn hold(&mut self, id: JobId, first: bool) {
        self.release(id);
        let homes = self.jobs.get(&id).map_or(vec![], |j| self.homes(j));
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let (class, slots) = (
            job.spec.class,
            job.spec.slots.clamp(1.0, 1.0e6).ceil() as u32,
        );
        let lane = Lane {
            class,
            slots,
            late: self.now >= job.start_by,
        };
        (job.held, job.homes) = (Some(lane), homes);
        self.clock.rescan_at = 0;
        self.clock
            .timers
            .push(Reverse((job.start_by.max(self.now + 1), Timer::Late(id))));
        let queue = self.held.entry(lane).or_default();
        queue.insert(if first { 0 } else { queue.len() }, id);
    }

    pub(crate) fn release(&mut self, id: JobId) {
        let Some(lane) = self.jobs.get_mut(&id).and_then(|j| j.held.take()) else {
            return;
        };
        self.held.entry(lane).or_default().retain(|j| *j != id);
        self.held.retain(|_, queue| !queue.is_empty());
    }

    /// The one place that answers: a refusal only where trying again is harmless.
    pub(crate) fn finish(&mut self, id: JobId, out: &mut Vec<Action>) {
        let retry_after = self.retry_after();
        let Some(job) = self.jobs.get(&id).filter(|j| !j.over) else {
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
        let harmless = repeats || job.exposed(&self.settings.rules).is_none();
        out.push(if harmless {
            Action::RejectJob {
                job: id,
                retry_after,
            }
        } else {
            Action::FailJob { job: id }
        });
        self.close(id, false, out);
    }

    pub(crate) fn close(&mut self, id: JobId, in_time: bool, out: &mut Vec<Action>) {
        self.release(id);
        let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.over) else {
            return;
        };
        job.over = true;
        let tally = &mut self.classes[job.spec.class];
        tally.counts.count(in_time);
        (tally.asked, tally.in_time) = (
            tally.asked + 1.0,
            tally.in_time + f64::from(u8::from(in_time)),
        );
        self.fleet.price *= if in_time { PRICE_DOWN } else { 1.0 };
        let out_still = (0..)
            .zip(&job.attempts)
            .filter(|(_, a)| a.outcome.is_none());
        let calls = out_still.map(|(attempt, _)| Action::CancelAttempt { job: id, attempt });
        out.extend(calls.filter(|_| self.settings.limits.cancel));
        if !job.in_flight() {
            self.jobs.remove(&id);
        }
    }

    /// A late job brings too little beside what is held, or what goes before it would outlast its time.
    pub(crate) fn given_up(&self, job: &Job) -> bool {
        let Some(lane) = job.held.map(|l| Lane { late: true, ..l }) else {
            return false;
        };
        let gain = self.gain(&lane);
        let best = self.held.keys().map(|l| self.gain(l)).fold(0.0, f64::max);
        let before = self
            .held
            .iter()
            .filter(|(l, _)| **l != lane && self.gain(l) >= gain);
        let wait = self.wait(before);
        let done = self.now + span(wait + LAST * self.classes[lane.class].run);
        gain == 0.0 || gain < best * self.fleet.price && wait > 0.0 || done > job.spec.expires
    }

    /// It waits at a worker and can't be in time, and all are full: its slot time is another's.
    pub(crate) fn in_the_way(&self, job: &Job) -> bool {
        let free =
            self.settings.limits.cancel && self.settings.classes[job.spec.class].kind.is_none();
        let full = self.settings.start_notices && self.fleet.loads.is_saturated();
        let waits = |o: &Outstanding| o.job == job.spec.id && o.started.is_none();
        let at = job
            .attempts
            .last()
            .and_then(|a| self.workers.get(&a.worker))
            .filter(|_| free && full);
        self.now >= job.start_by && at.is_some_and(|w| w.outstanding.iter().any(waits))
    }

    /// A held job can't be in time any more: it moves behind the others, or ends if it is worth nothing now.
    pub(crate) fn on_late(&mut self, id: JobId, out: &mut Vec<Action>) {
        if self
            .jobs
            .get(&id)
            .is_some_and(|j| !j.over && self.in_the_way(j))
        {
            return self.finish(id, out);
        }
        let Some(job) = self.jobs.get(&id).filter(|j| j.held.is_some()) else {
            return;
        };
        let (hopeless, was_late) = (self.hopeless(job), job.held.is_some_and(|l| l.late));
        let pays = job
            .held
            .is_some_and(|l| self.gain(&l) >= self.fleet.best * self.fleet.price);
        if pays && !was_late && !hopeless {
            self.fleet.price = (self.fleet.price * PRICE_UP).clamp(PRICE_FLOOR, 0.5);
        }
        let again = self.now + (job.spec.expires.saturating_sub(self.now) / 4).max(1_000);
        match hopeless || self.given_up(job) {
            true => self.finish(id, out),
            false if was_late => self.clock.timers.push(Reverse((again, Timer::Late(id)))),
            false => self.hold(id, false),
        }
    }

    /// No further attempt will be had: it is answered at once, not held for nothing.
    pub(crate) fn hopeless(&self, job: &Job) -> bool {
        let oldest = self.budget.spent.front().zip(self.budget.rule.as_ref());
        let soon = oldest.is_some_and(|(t, rule)| t + rule.window < job.start_by);
        let broke = !job.attempts.is_empty() && !soon && !self.budget.fits(self.now, true);
        broke || self.spent(job) || self.left_out(job.spec.class) || !self.repeat_ok(job, None)
    }

    pub(crate) fn spent(&self, job: &Job) -> bool {
        let most = self
            .fleet
            .terms
            .as_ref()
            .map_or(u32::MAX, |t| t.class(job.spec.class).max_attempts);
        job.attempts.len() >= self.settings.limits.attempts.min(most) as usize
    }
}
