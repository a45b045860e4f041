//! The flows that were accepted and are not yet done with.

use crate::ConnId;
use dispatch_api::{JobId, Micros};
use std::collections::HashMap;

/// One flow.
#[derive(Debug)]
pub(crate) struct Flow {
    /// Its class, by position.
    pub class: usize,
    /// When its client stops waiting.
    pub expires: Micros,
    /// Attempts that the policy has asked for so far.
    pub attempts: u32,
    /// The connection of the attempt in flight.
    pub in_flight: Option<ConnId>,
    /// It has its final answer, or nobody waits for one.
    pub finished: bool,
}

/// All flows. One is kept until it is finished and its attempt is no longer in flight.
#[derive(Debug, Default)]
pub(crate) struct Flows {
    flows: HashMap<JobId, Flow>,
}

impl Flows {
    pub fn insert(&mut self, id: JobId, class: usize, expires: Micros) {
        self.flows.insert(
            id,
            Flow {
                class,
                expires,
                attempts: 0,
                in_flight: None,
                finished: false,
            },
        );
    }

    pub fn get(&self, id: JobId) -> Option<&Flow> {
        self.flows.get(&id)
    }

    pub fn get_mut(&mut self, id: JobId) -> Option<&mut Flow> {
        self.flows.get_mut(&id)
    }

    /// Whether the flow still waits for its answer.
    pub fn is_waiting(&self, id: JobId) -> bool {
        self.get(id).is_some_and(|f| !f.finished)
    }

    /// The flows that wait for their answer, the first accepted first.
    pub fn all_waiting(&self) -> Vec<JobId> {
        let waiting = self.flows.iter().filter(|(_, f)| !f.finished);
        let mut all: Vec<_> = waiting.map(|(id, _)| *id).collect();
        all.sort_unstable();
        all
    }

    /// Marks the flow as finished; returns its class if it was not finished before.
    pub fn finish(&mut self, id: JobId) -> Option<usize> {
        let flow = self.flows.get_mut(&id).filter(|f| !f.finished)?;
        flow.finished = true;
        let class = flow.class;
        self.remove_if_done(id);
        Some(class)
    }

    /// The flow's attempt is in flight on this connection.
    pub fn attempt_sent(&mut self, id: JobId, conn: ConnId) {
        if let Some(flow) = self.flows.get_mut(&id) {
            flow.in_flight = Some(conn);
        }
    }

    /// The flow's attempt is no longer in flight.
    pub fn attempt_ended(&mut self, id: JobId) {
        if let Some(flow) = self.flows.get_mut(&id) {
            flow.in_flight = None;
        }
        self.remove_if_done(id);
    }

    fn remove_if_done(&mut self, id: JobId) {
        let done = |f: &Flow| f.finished && f.in_flight.is_none();
        if self.get(id).is_some_and(done) {
            self.flows.remove(&id);
        }
    }
}
