//! Load probes, load reports, and the exchange of loads among dispatchers.

use super::{
    backoff_config, span, unit, Action, Dispatcher, LoadReport, LoadReporting, Outcome, VecDeque,
    Worker, WorkerId, KNOWN_LOAD_SHARE, LOAD_EXCHANGE_BUDGET, MAX_PROBES, PEER_LOAD_VALIDITY,
    PREFERRED_WORKERS, PREFERRED_WORKERS_SPARSE, PROBES_PER_JOB, SAMPLE_SIZE,
};

impl Dispatcher {
    /// Records a load report; the free slots that it shows, if any.
    pub(crate) fn on_report(
        &mut self,
        worker: WorkerId,
        report: Option<LoadReport>,
    ) -> Option<f64> {
        let figure = |of: fn(&LoadReport) -> Option<f64>| {
            LoadReport::plausible(report.as_ref().and_then(of))
        };
        let (told, held) = (figure(|r| r.free_slots), figure(|r| r.outstanding));
        let report_weight = self.report_weight();
        let w = self
            .workers
            .get_mut(&worker)
            .filter(|_| told.or(held).is_some())?;
        // The report on an outcome is older than it: its queue is gone, and would keep an idle worker closed.
        let queued = figure(|r| r.queued).unwrap_or(0.0);
        let waiting = if told.is_some() && self.settings.reports == LoadReporting::Probes {
            queued
        } else {
            0.0
        };
        let kind = self.kinds.entry(w.listing.kind).or_default();
        told.into_iter()
            .for_each(|free| kind.record_free_slots(free));
        // Where free slots are not reported, occupied ones show as much: all that does not wait is running.
        let free = told.unwrap_or_else(|| {
            let held = held.unwrap_or(0.0);
            // By one slot per report, so that no absurd report makes a worker in warm-up look large.
            kind.record_running((held - queued).floor().min(kind.slots() + 1.0));
            kind.slots() - held
        });
        if self.now < w.peer_reports_until {
            return Some(free);
        }
        let others = (kind.slots() - free + waiting - w.own_slots()).clamp(0.0, kind.slots());
        let (kept, fade) = (
            w.reported_at.map_or(0.0, |t| report_weight(t) / 2.0),
            report_weight(self.fleet.peer_load.2),
        );
        (w.peer_slots, w.reported_at) =
            (w.peer_slots * kept + others * (1.0 - kept), Some(self.now));
        self.fleet.peer_load = (
            self.fleet.peer_load.0 * fade + others,
            self.fleet.peer_load.1 * fade + 1.0,
            self.now,
        );
        self.fleet.recently_reported.retain(|id| *id != worker);
        self.fleet.recently_reported.push_front(worker);
        self.fleet.recently_reported.truncate(SAMPLE_SIZE / 2);
        Some(free)
    }

    pub(crate) fn on_probe_ended(
        &mut self,
        worker: WorkerId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        self.fleet.probes_in_flight.retain(|(_, id)| *id != worker);
        let mean_run = self.mean_run();
        let free = self
            .on_report(worker, report)
            .is_some_and(|free| free >= 1.0);
        let Some(w) = self.workers.get_mut(&worker) else {
            return;
        };
        w.probe_sent_at = None;
        w.record_probe_outcome(outcome, self.now);
        match outcome {
            // A dispatcher that sends rarely would not see a worker's recovery by its attempts.
            Outcome::Done if free => w
                .backoff
                .record_success(&backoff_config(mean_run), &mut self.rng),
            Outcome::Done | Outcome::Reset => {} // a reset connection shows as little of the worker as it does for a job
            _ => w
                .backoff
                .record_failure(self.now, &backoff_config(mean_run), &mut self.rng),
        }
    }

    pub(crate) fn send_probes(&mut self, out: &mut Vec<Action>) {
        let each = if self.knows_few_workers() {
            1
        } else {
            PROBES_PER_JOB
        };
        let most = (each * self.queued.values().map(VecDeque::len).sum::<usize>()).min(MAX_PROBES);
        // Bounded: a draw may find no worker to probe.
        for _ in 0..MAX_PROBES {
            if self.fleet.probes_in_flight.len() < most && self.may_probe() {
                self.probe(self.max_probe_price(self.fleet.probes_since_placement), out);
                self.fleet.probes_since_placement += 1;
            }
        }
    }

    /// The price of a connection that is acceptable after so many probes: the cheapest workers come first, if that saves twice
    /// the probes' cost.
    pub(crate) fn max_probe_price(&self, probes_since_placement: usize) -> f64 {
        let limits = &self.settings.limits;
        let mut steps = [limits.cross_zone_price, limits.connect_price];
        steps.sort_by(f64::total_cmp);
        let worth = steps
            .iter()
            .filter(|price| **price > 2.0 * PROBES_PER_JOB as f64 * limits.probe_price)
            .count();
        let levels = &[0.0, steps[0], steps[1]][..worth + worth / 2];
        levels
            .get(probes_since_placement / PROBES_PER_JOB)
            .copied()
            .unwrap_or(f64::INFINITY)
    }

    pub(crate) fn probe(&mut self, max_probe_price: f64, out: &mut Vec<Action>) {
        let (drawn, idle) = (
            self.unknown_preferred_worker()
                .or_else(|| self.draw_probe_target(max_probe_price)),
            self.idle_span(),
        );
        let fits = |w: &Worker| {
            w.probe_sent_at.is_none()
                && w.ready()
                && self.connection_price(w, idle) <= max_probe_price
        };
        let Some(id) = drawn.filter(|id| self.workers.get(id).is_some_and(fits)) else {
            return;
        };
        self.fleet.probe_credit -= 1.0;
        self.workers.entry(id).or_default().probe_sent_at = Some(self.now);
        self.fleet.probes_in_flight.push_back((self.now, id));
        out.push(Action::Probe { worker: id });
    }

    /// Whether the load of few workers is known: a sample is a part of the fleet, and no list tells its loads.
    pub(crate) fn knows_few_workers(&self) -> bool {
        self.fleet.ready.len() > SAMPLE_SIZE && !self.has_listed_loads()
    }

    /// How many workers are preferred for a key.
    pub(crate) fn max_preferred_workers(&self) -> usize {
        if self.knows_few_workers() {
            PREFERRED_WORKERS_SPARSE
        } else {
            PREFERRED_WORKERS
        }
    }

    /// Whether a probe would learn nothing more: the worker has just reported, or gets nothing anyway.
    pub(crate) fn is_load_known(&self, id: WorkerId) -> bool {
        let Some(w) = self
            .workers
            .get(&id)
            .filter(|w| w.open(self.now, self.clock.grace))
        else {
            return true;
        };
        w.probe_sent_at.is_none()
            && w.reported_at.map_or(0.0, self.report_weight()) >= KNOWN_LOAD_SHARE
    }

    /// The first preferred worker of a queued job that is to be probed, where few loads are known.
    fn unknown_preferred_worker(&self) -> Option<WorkerId> {
        let idle = |id: &&WorkerId| {
            self.workers
                .get(id)
                .is_some_and(|w| w.probe_sent_at.is_none())
        };
        let held = self
            .queued
            .values()
            .flatten()
            .filter(|_| self.knows_few_workers());
        let first = |id| {
            self.jobs
                .get(id)?
                .preferred
                .iter()
                .find(|h| !self.is_load_known(**h))
                .filter(idle)
        };
        held.filter_map(first).next().copied()
    }

    pub(crate) fn may_probe(&self) -> bool {
        self.settings.limits.probe
            && self.settings.dispatchers > 1
            && self.fleet.probe_credit >= 1.0
    }

    pub(crate) fn is_probing(&self) -> bool {
        !self.fleet.probes_in_flight.is_empty() || self.may_probe()
    }

    pub(crate) fn draw_probe_target(&mut self, max_probe_price: f64) -> Option<WorkerId> {
        let (limits, fleet) = (&self.settings.limits, &self.fleet);
        let near = if max_probe_price < limits.cross_zone_price {
            &fleet.same_zone
        } else {
            &fleet.ready
        };
        let pool = if max_probe_price < limits.connect_price {
            &fleet.recently_used
        } else {
            near
        };
        pool.get((unit(&mut self.rng) * pool.len() as f64) as usize)
            .copied()
    }

    /// Publishes own load. Each attempt buys entries; the more dispatchers must read a message, the more entries go into one.
    pub(crate) fn publish_load(&mut self, out: &mut Vec<Action>) {
        let (limits, others) = (
            &self.settings.limits,
            f64::from(self.settings.dispatchers - 1),
        );
        let entries = LOAD_EXCHANGE_BUDGET / (limits.peer_price * others).max(1.0e-9);
        self.fleet.load_exchange_credit =
            (self.fleet.load_exchange_credit + entries).min(limits.tell as f64);
        if others == 0.0
            || self.fleet.load_exchange_credit < others.min(limits.tell as f64).max(1.0)
        {
            return;
        }
        let again = span(PEER_LOAD_VALIDITY / 2.0 * self.mean_run());
        let news =
            |w: &Worker| w.ready() && w.load_published_at.is_none_or(|t| self.now > t + again);
        let news = self
            .workers
            .iter_mut()
            .filter(|(_, w)| news(w))
            .take(self.fleet.load_exchange_credit as usize);
        let told = |(id, w): (&WorkerId, &mut Worker)| {
            (
                w.load_published_at.replace(self.now),
                (*id, w.own_slots() as u32),
            )
                .1
        };
        let held: Vec<_> = news.map(told).collect();
        self.fleet.load_exchange_credit -= held.len() as f64;
        out.push(Action::PublishLoad { held });
    }

    pub(crate) fn on_peer_load(&mut self, from: u32, held: &[(WorkerId, u32)]) {
        let until = self.now + span(PEER_LOAD_VALIDITY * self.mean_run());
        for (id, slots) in held {
            let Some(w) = self.workers.get_mut(id) else {
                continue;
            };
            w.peer_reports.insert(from, (f64::from(*slots), until));
            w.peer_reports.retain(|_, (_, until)| *until >= self.now);
            // A partial sum says nothing of the rest; and the report of a dead dispatcher expires.
            if w.peer_reports.len() + 1 >= self.settings.dispatchers as usize {
                let most = self.kinds.entry(w.listing.kind).or_default().slots();
                let others: f64 = w.peer_reports.values().map(|(slots, _)| slots).sum();
                (w.peer_slots, w.reported_at) = (others.min(most), Some(self.now));
                w.peer_reports_until = w
                    .peer_reports
                    .values()
                    .map(|(_, until)| *until)
                    .min()
                    .unwrap_or(0);
            }
        }
    }
}
