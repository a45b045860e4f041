//! Flows: accepted, rejected, abandoned and answered.

use super::Turn;
use crate::connection_pool::{Attempt, Exchange, Repeat};
use crate::{Answer, Effect};
use dispatch_api::{Event, Idempotency, JobId, JobSpec, Micros, WorkerId};
use tracing::debug;

impl Turn<'_> {
    pub(super) fn flow_accepted(&mut self, spec: JobSpec) {
        let JobSpec {
            id, class, expires, ..
        } = spec;
        self.state.flows.insert(id, class, expires);
        self.state.counters.count_taken(class);
        self.events.push_back(Event::JobAccepted(spec));
    }

    pub(super) fn flow_rejected(&mut self, class: usize, answer: Option<&Answer>) {
        self.state.counters.count_taken(class);
        match answer {
            Some(answer) => self.state.counters.count_answered(class, answer),
            None => self.state.counters.count_gone(class),
        }
    }

    pub(super) fn client_disconnected(&mut self, flow: JobId) {
        if let Some(class) = self.state.flows.finish(flow) {
            self.state.counters.count_gone(class);
            self.events.push_back(Event::ClientDisconnected(flow));
        }
    }

    pub(super) fn answer(&mut self, flow: JobId, answer: Answer) {
        if let Some(class) = self.state.flows.finish(flow) {
            self.state.counters.count_answered(class, &answer);
            self.effects.push(Effect::AnswerFlow { flow, answer });
        }
    }

    /// Sends the next attempt of a job to a worker.
    pub(super) fn send_attempt(&mut self, job: JobId, worker: WorkerId) {
        let Some(flow) = self.state.flows.get_mut(job) else {
            return;
        };
        let number = flow.attempts;
        flow.attempts += 1;
        let name = self.state.targets.get(worker).map(|t| t.name.as_str());
        let (flow, attempt, target) = (job.0, number, worker.0);
        debug!(flow, attempt, target, name, "attempt dispatched");
        self.start_exchange(worker, Exchange::Attempt(Attempt { job, number }));
    }

    /// Whether it may be sent again if it is lost on its way.
    pub(super) fn repeat(&self, exchange: Exchange) -> Repeat {
        let Exchange::Attempt(Attempt { job, .. }) = exchange else {
            return Repeat::Allowed;
        };
        let class = self.state.flows.get(job).map(|f| f.class);
        let class = class.and_then(|c| self.state.config.settings.classes.get(c));
        match class.map(|c| c.idempotency) {
            Some(Idempotency::NonIdempotent) => Repeat::Forbidden,
            _ => Repeat::Allowed,
        }
    }

    /// When this dispatcher stops waiting for its answer.
    pub(super) fn deadline_of(&self, exchange: Exchange) -> Micros {
        match exchange {
            Exchange::Attempt(Attempt { job, .. }) => {
                self.state.flows.get(job).map_or(self.now, |f| f.expires)
            }
            Exchange::Probe => self.now + self.state.config.probe_timeout,
        }
    }
}
