//! What the event loop is told before it runs: the endpoints known, and what other processes of this dispatcher left.

use super::process::Process;
use crate::handover::Handover;
use discovery::{EndpointMapper, ListSource};
use dispatch_api::ListUpdateKind;
use dispatcher_state::Input;

impl Process {
    /// How lists of discovery become inputs.
    pub fn endpoint_mapper(&self) -> EndpointMapper {
        EndpointMapper {
            zones: self.config.zones.clone(),
            kinds: self.config.kinds.clone(),
            clock: self.clock,
            record: self
                .handover
                .as_ref()
                .map(|handover| handover.list_record()),
        }
    }

    /// Sends the inputs that come before all others.
    pub fn send_initial_inputs(&self) {
        self.loop_handle.send_input(self.initial_endpoints());
        if let Some(handover) = &self.handover {
            self.send_handover_inputs(handover);
        }
    }

    /// The endpoints to begin with. Where none is known the input is sent nevertheless: the first input makes the
    /// decisions ask for the list.
    fn initial_endpoints(&self) -> Input {
        let configured = self.config.known.clone();
        let known = match &self.handover {
            Some(handover) => handover.initial_list(configured),
            None => configured,
        };
        match known {
            Some(list) => {
                self.endpoint_mapper()
                    .input(list, ListSource::Predecessor, self.config.discovery)
            }
            None => Input::EndpointsUpdated {
                kind: ListUpdateKind::Inherited,
                version: None,
                entries: vec![],
            },
        }
    }

    fn send_handover_inputs(&self, handover: &Handover) {
        // Before any job is sent: a target that a plan of maintenance took out stays out.
        if self.operator.membership.is_some() && self.config.peers.is_some() {
            handover.enable_maintenance();
            let saved = handover.saved_maintenance();
            self.loop_handle
                .send_input(Input::MaintenanceEnabled(saved));
        }
        if let Some(snapshot) = handover.saved_snapshot() {
            self.loop_handle.send_input(snapshot);
        }
        self.loop_handle.send_input(handover.saved_overrides());
        let limit = Input::ConnectionLimit(self.limits.targets);
        self.loop_handle.send_input(limit);
    }
}
