//! What a level of reduced service asks: which jobs are turned away, and how long others wait for a place.

use super::{span, unit, Dispatcher, Timer};
use dispatch_api::{Action, AdmissionPolicy, JobId, JobSpec, Micros};
use std::cmp::Reverse;
use std::sync::Arc;

impl Dispatcher {
    /// Jobs that are held are treated as if they came now; what may have run is left to its own rule.
    pub(super) fn on_terms(&mut self, terms: Option<Arc<AdmissionPolicy>>, out: &mut Vec<Action>) {
        self.fleet.terms = terms;
        let jobs = self
            .held
            .values()
            .flatten()
            .filter_map(|id| self.jobs.get(id));
        let unrun = jobs.filter(|j| j.exposed(&self.settings.rules).is_none());
        for spec in unrun.map(|j| j.spec.clone()).collect::<Vec<_>>() {
            match self.turns_away(&spec) {
                true => self.turn_away(spec.id, spec.class, out),
                false => self.bound_hold(spec.id, spec.class),
            }
        }
    }

    /// The level in force does not take it.
    pub(super) fn turns_away(&mut self, spec: &JobSpec) -> bool {
        let pressed =
            |t: &&Arc<AdmissionPolicy>| self.wait(self.held.iter()) >= t.min_backlog as f64;
        let Some(terms) = self.fleet.terms.as_ref().filter(pressed) else {
            return false;
        };
        let (class, tally) = (terms.class(spec.class), &mut self.classes[spec.class]);
        tally.credit = (tally.credit + class.admitted_share).min(1.0);
        let taken = tally.credit >= 1.0
            && spec.slots <= class.max_slots
            && self.jobs.len() <= terms.max_open_jobs;
        tally.credit -= f64::from(u8::from(taken));
        tally.counts.rejected_by_level += u64::from(!taken);
        !taken
    }

    /// Ends a job that was held as if it had not been taken: a class is not served worse for it.
    fn turn_away(&mut self, id: JobId, class: usize, out: &mut Vec<Action>) {
        let tally = &mut self.classes[class];
        (tally.asked, tally.counts.over) = (tally.asked - 1.0, tally.counts.over.wrapping_sub(1));
        self.finish(id, out);
    }

    /// Slots that a job of the class leaves free at a worker that another class is bound to.
    pub(super) fn headroom(&self, class: usize) -> f64 {
        let terms = self
            .fleet
            .terms
            .as_ref()
            .filter(|_| self.settings.classes[class].kind.is_none());
        terms.map_or(0.0, |t| t.class(class).reserved_slots)
    }

    fn hold_bound(&self, class: usize) -> Option<Micros> {
        self.fleet.terms.as_ref()?.class(class).max_hold
    }

    pub(super) fn bound_hold(&mut self, id: JobId, class: usize) {
        let at = self.hold_bound(class).map(|hold| self.now + hold.max(1));
        self.clock
            .timers
            .extend(at.map(|at| Reverse((at, Timer::Unplaced(id)))));
    }

    /// The level in force has it wait for a place no longer, unless it was sent before.
    pub(super) fn on_unplaced(&mut self, id: JobId, out: &mut Vec<Action>) {
        let waits = self
            .jobs
            .get(&id)
            .filter(|j| j.held.is_some() && j.attempts.is_empty());
        let Some((class, came)) = waits.map(|j| (j.spec.class, j.came)) else {
            return;
        };
        if self
            .hold_bound(class)
            .is_some_and(|hold| self.now >= came + hold)
        {
            self.classes[class].counts.rejected_by_level += 1;
            self.turn_away(id, class, out);
        }
    }

    /// Advice when to come again; under a level it is spread, so that not all come back together.
    pub(super) fn retry_after(&mut self) -> Option<Micros> {
        let wait = match self.fleet.terms.as_ref().map(|t| t.retry_after as f64) {
            Some(wait) => wait * (0.5 + unit(&mut self.rng)),
            None => self.mean_run(),
        };
        self.settings
            .limits
            .retry_after
            .map(|most| most.min(span(wait)))
    }
}
