//! Probes, and what reports and the other dispatchers say of loads.

use super::{
    paced, span, unit, Action, Dispatcher, LoadReport, LoadReporting, Outcome, VecDeque, Worker,
    WorkerId, HOMES, HOMES_FEW, KNOWN, MOST_SCOUTS, SAMPLE, SCOUTS, TELL_SPEND, TOLD_FOR,
};

impl Dispatcher {
    /// What a report says of free slots, if anything.
    pub(crate) fn on_report(
        &mut self,
        worker: WorkerId,
        report: Option<LoadReport>,
    ) -> Option<f64> {
        let figure = |of: fn(&LoadReport) -> Option<f64>| {
            LoadReport::plausible(report.as_ref().and_then(of))
        };
        let (told, held) = (figure(|r| r.free_slots), figure(|r| r.outstanding));
        let fading = self.fading();
        let w = self
            .workers
            .get_mut(&worker)
            .filter(|_| told.or(held).is_some())?;
        // On an outcome the report is from before; its queue is gone, and would keep an idle worker shut.
        let queued = figure(|r| r.queued).unwrap_or(0.0);
        let waiting = if told.is_some() && self.settings.reports == LoadReporting::Probes {
            queued
        } else {
            0.0
        };
        let kind = self.kinds.entry(w.listing.kind).or_default();
        told.into_iter()
            .for_each(|free| kind.record_free_slots(free));
        // Where free slots are not told, what is held says as much: all but what waits is running.
        let free = told.unwrap_or_else(|| {
            let held = held.unwrap_or(0.0);
            // By one slot a report: none that is absurd makes a cold worker look large.
            kind.record_running((held - queued).floor().min(kind.slots() + 1.0));
            kind.slots() - held
        });
        if self.now < w.told_until {
            return Some(free);
        }
        let others = (kind.slots() - free + waiting - w.own()).clamp(0.0, kind.slots());
        let (kept, fade) = (
            w.reported.map_or(0.0, |t| fading(t) / 2.0),
            fading(self.fleet.others.2),
        );
        (w.others, w.reported) = (w.others * kept + others * (1.0 - kept), Some(self.now));
        self.fleet.others = (
            self.fleet.others.0 * fade + others,
            self.fleet.others.1 * fade + 1.0,
            self.now,
        );
        self.fleet.heard.retain(|id| *id != worker);
        self.fleet.heard.push_front(worker);
        self.fleet.heard.truncate(SAMPLE / 2);
        Some(free)
    }

    pub(crate) fn on_probed(
        &mut self,
        worker: WorkerId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        self.fleet.scouts.retain(|(_, id)| *id != worker);
        let mean_run = self.mean_run();
        let free = self
            .on_report(worker, report)
            .is_some_and(|free| free >= 1.0);
        let Some(w) = self.workers.get_mut(&worker) else {
            return;
        };
        w.probing = None;
        w.heed_probe(outcome, self.now);
        match outcome {
            // A rare pusher would not see a worker's recovery by its pushes.
            Outcome::Done if free => w.backoff.success(&paced(mean_run), &mut self.rng),
            Outcome::Done | Outcome::Reset => {} // broken off, it says as little of the worker as a job would
            _ => w.backoff.failure(self.now, &paced(mean_run), &mut self.rng),
        }
    }

    pub(crate) fn scout(&mut self, out: &mut Vec<Action>) {
        let each = if self.sees_few() { 1 } else { SCOUTS };
        let most = (each * self.held.values().map(VecDeque::len).sum::<usize>()).min(MOST_SCOUTS);
        // So many tries and no more: a draw may find nobody to ask.
        for _ in 0..MOST_SCOUTS {
            if self.fleet.scouts.len() < most && self.may_scout() {
                self.probe(self.bearable(self.fleet.scouted), out);
                self.fleet.scouted += 1;
            }
        }
    }

    /// What a job may cost after so many probes: the cheapest come first, if that saves twice their cost.
    pub(crate) fn bearable(&self, scouted: usize) -> f64 {
        let limits = &self.settings.limits;
        let mut steps = [limits.cross_zone_price, limits.connect_price];
        steps.sort_by(f64::total_cmp);
        let worth = steps
            .iter()
            .filter(|price| **price > 2.0 * SCOUTS as f64 * limits.probe_price)
            .count();
        let levels = &[0.0, steps[0], steps[1]][..worth + worth / 2];
        levels
            .get(scouted / SCOUTS)
            .copied()
            .unwrap_or(f64::INFINITY)
    }

    pub(crate) fn probe(&mut self, bearable: f64, out: &mut Vec<Action>) {
        let (drawn, idle) = (
            self.unknown_home().or_else(|| self.draw(bearable)),
            self.idle_span(),
        );
        let fits = |w: &Worker| w.probing.is_none() && w.ready() && self.price(w, idle) <= bearable;
        let Some(id) = drawn.filter(|id| self.workers.get(id).is_some_and(fits)) else {
            return;
        };
        self.fleet.probe_credit -= 1.0;
        self.workers.entry(id).or_default().probing = Some(self.now);
        self.fleet.scouts.push_back((self.now, id));
        out.push(Action::Probe { worker: id });
    }

    /// A look is a part of the fleet, and no list tells its loads: a dispatcher knows whom it asks just now.
    pub(crate) fn sees_few(&self) -> bool {
        self.fleet.ready.len() > SAMPLE && !self.told_loads()
    }

    /// The homes of a job where few workers are known.
    pub(crate) fn most_homes(&self) -> usize {
        if self.sees_few() {
            HOMES_FEW
        } else {
            HOMES
        }
    }

    /// Nothing more will be learned of it just now: it has just said what it holds, or gets nothing.
    pub(crate) fn is_asked(&self, id: WorkerId) -> bool {
        let Some(w) = self
            .workers
            .get(&id)
            .filter(|w| w.open(self.now, self.clock.grace))
        else {
            return true;
        };
        w.probing.is_none() && w.reported.map_or(0.0, self.fading()) >= KNOWN
    }

    /// The first home of a held job that is to be asked, where few are known.
    fn unknown_home(&self) -> Option<WorkerId> {
        let idle = |id: &&WorkerId| self.workers.get(id).is_some_and(|w| w.probing.is_none());
        let held = self.held.values().flatten().filter(|_| self.sees_few());
        let first = |id| {
            self.jobs
                .get(id)?
                .homes
                .iter()
                .find(|h| !self.is_asked(**h))
                .filter(idle)
        };
        held.filter_map(first).next().copied()
    }

    pub(crate) fn may_scout(&self) -> bool {
        self.settings.limits.probe
            && self.settings.dispatchers > 1
            && self.fleet.probe_credit >= 1.0
    }

    pub(crate) fn scouting(&self) -> bool {
        !self.fleet.scouts.is_empty() || self.may_scout()
    }

    pub(crate) fn draw(&mut self, bearable: f64) -> Option<WorkerId> {
        let (limits, fleet) = (&self.settings.limits, &self.fleet);
        let near = if bearable < limits.cross_zone_price {
            &fleet.near
        } else {
            &fleet.ready
        };
        let pool = if bearable < limits.connect_price {
            &fleet.used
        } else {
            near
        };
        pool.get((unit(&mut self.rng) * pool.len() as f64) as usize)
            .copied()
    }

    /// Each push buys entries for the others; the more must read a message, the more go into one.
    pub(crate) fn tell(&mut self, out: &mut Vec<Action>) {
        let (limits, others) = (
            &self.settings.limits,
            f64::from(self.settings.dispatchers - 1),
        );
        let entries = TELL_SPEND / (limits.peer_price * others).max(1.0e-9);
        self.fleet.tell_credit = (self.fleet.tell_credit + entries).min(limits.tell as f64);
        if others == 0.0 || self.fleet.tell_credit < others.min(limits.tell as f64).max(1.0) {
            return;
        }
        let again = span(TOLD_FOR / 2.0 * self.mean_run());
        let news = |w: &Worker| w.ready() && w.told_at.is_none_or(|t| self.now > t + again);
        let news = self
            .workers
            .iter_mut()
            .filter(|(_, w)| news(w))
            .take(self.fleet.tell_credit as usize);
        let told = |(id, w): (&WorkerId, &mut Worker)| {
            (w.told_at.replace(self.now), (*id, w.own() as u32)).1
        };
        let held: Vec<_> = news.map(told).collect();
        self.fleet.tell_credit -= held.len() as f64;
        out.push(Action::PublishLoad { held });
    }

    pub(crate) fn on_told(&mut self, from: u32, held: &[(WorkerId, u32)]) {
        let until = self.now + span(TOLD_FOR * self.mean_run());
        for (id, slots) in held {
            let Some(w) = self.workers.get_mut(id) else {
                continue;
            };
            w.told.insert(from, (f64::from(*slots), until));
            w.told.retain(|_, (_, until)| *until >= self.now);
            // The sum of a part of them says nothing of the rest; a dead dispatcher is not believed for good.
            if w.told.len() + 1 >= self.settings.dispatchers as usize {
                let most = self.kinds.entry(w.listing.kind).or_default().slots();
                let others: f64 = w.told.values().map(|(slots, _)| slots).sum();
                (w.others, w.reported) = (others.min(most), Some(self.now));
                w.told_until = w.told.values().map(|(_, until)| *until).min().unwrap_or(0);
            }
        }
    }
}
