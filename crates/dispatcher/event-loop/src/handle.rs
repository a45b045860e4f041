//! What the protocol crates share: where inputs go, which flows are open, and what is known of the
//! process.

use crate::flows::{FlowLimits, FlowReservation, ForwardedRequest, PendingFlow, ReservationError};
use crate::operator::OPERATOR_QUEUE;
use crate::{Clock, LoopInputs, OperatorRequest};
use bytes::Bytes;
use dispatch_api::{JobId, JobSpec};
use dispatcher_settings::report::ReportNames;
use dispatcher_state::{Answer, Input};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tracing::debug;

/// A flow that waits for its answer.
struct WaitingFlow {
    request: Rc<ForwardedRequest>,
    client: oneshot::Sender<Answer>,
}

/// The handle to the event loop, for the tasks on its thread.
pub struct LoopHandle {
    inputs: mpsc::UnboundedSender<Input>,
    operator_requests: mpsc::Sender<OperatorRequest>,
    ready: Arc<AtomicBool>,
    clock: Clock,
    report_names: ReportNames,
    limits: Cell<FlowLimits>,
    endpoints_known: Cell<bool>,
    /// Ids of the flows that hold a reservation.
    reserved_ids: RefCell<HashSet<Bytes>>,
    /// Memory that these have reserved, bytes.
    reserved_bytes: Cell<usize>,
    waiting: RefCell<HashMap<JobId, WaitingFlow>>,
    next_flow: Cell<u64>,
}

impl LoopHandle {
    /// A handle, and the receiving end of its inputs for [`crate::run`].
    pub fn new(
        clock: Clock,
        report_names: ReportNames,
        limits: FlowLimits,
    ) -> (Rc<Self>, LoopInputs) {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let (operator_requests, operators) = mpsc::channel(OPERATOR_QUEUE);
        let handle = LoopHandle {
            inputs,
            operator_requests,
            ready: Arc::default(),
            clock,
            report_names,
            limits: Cell::new(limits),
            endpoints_known: Cell::new(false),
            reserved_ids: RefCell::default(),
            reserved_bytes: Cell::new(0),
            waiting: RefCell::default(),
            next_flow: Cell::new(0),
        };
        (Rc::new(handle), LoopInputs::new(receiver, operators))
    }

    pub(crate) fn operator_requests(&self) -> mpsc::Sender<OperatorRequest> {
        self.operator_requests.clone()
    }

    pub(crate) fn readiness(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.ready)
    }

    /// Reserves the id and the memory of a flow, before its body is read.
    ///
    /// # Errors
    /// Another flow with this id is open, or the limits leave no room.
    pub fn reserve(
        self: &Rc<Self>,
        id: Bytes,
        bytes: usize,
    ) -> Result<FlowReservation, ReservationError> {
        let mut ids = self.reserved_ids.borrow_mut();
        let reserved = self.reserved_bytes.get().saturating_add(bytes);
        if ids.contains(&id) {
            return Err(ReservationError::Repeated);
        }
        let limits = self.limits();
        if ids.len() >= limits.flows || reserved > limits.bytes {
            return Err(ReservationError::Full);
        }
        ids.insert(id.clone());
        self.reserved_bytes.set(reserved);
        Ok(FlowReservation {
            loop_handle: Rc::clone(self),
            id,
            bytes,
        })
    }

    pub(crate) fn release_bytes(&self, bytes: usize) {
        self.reserved_bytes.set(self.reserved_bytes.get() - bytes);
    }

    pub(crate) fn release_id(&self, id: &Bytes) {
        self.reserved_ids.borrow_mut().remove(id);
    }

    /// Sends an input to the reducer. The loop is gone only when the program ends.
    pub fn send_input(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    /// The clock that all times here are on.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Sets whether jobs are served here, as operators are told.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// What may be open at a time.
    pub fn limits(&self) -> FlowLimits {
        self.limits.get()
    }

    /// Sets what may be open at a time; flows that are open already stay.
    pub fn set_limits(&self, limits: FlowLimits) {
        self.limits.set(limits);
    }

    /// Records that service discovery has sent the endpoint list.
    pub fn set_endpoints_known(&self) {
        self.endpoints_known.set(true);
    }

    /// Whether service discovery has ever sent the endpoint list to this process.
    pub fn endpoints_known(&self) -> bool {
        self.endpoints_known.get()
    }

    /// How the fields of load reports are named.
    pub fn report_names(&self) -> &ReportNames {
        &self.report_names
    }

    /// Flows that wait for their answer.
    pub fn open_flows(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Whether a client still waits for this flow's answer. It is known here first: the reducer is
    /// told of a disconnected client by its next input, and what it ordered before that must not be
    /// sent any more.
    pub fn is_awaited(&self, flow: JobId) -> bool {
        self.waiting.borrow().contains_key(&flow)
    }

    /// Accepts a flow, numbers it, and hands it to the reducer.
    pub fn accept_flow(
        self: &Rc<Self>,
        mut spec: JobSpec,
        request: ForwardedRequest,
    ) -> PendingFlow {
        let id = JobId(self.next_flow.get());
        self.next_flow.set(id.0 + 1);
        spec.id = id;
        let (client, answer) = oneshot::channel();
        let request = Rc::new(request);
        let waiting = WaitingFlow { request, client };
        self.waiting.borrow_mut().insert(id, waiting);
        debug!(flow = id.0, class = spec.class, "flow accepted");
        self.send_input(Input::FlowAccepted(spec));
        PendingFlow {
            loop_handle: Rc::clone(self),
            id,
            answer,
            answered: false,
        }
    }

    /// The request of a flow that still waits.
    pub(crate) fn request(&self, flow: JobId) -> Option<Rc<ForwardedRequest>> {
        let waiting = self.waiting.borrow();
        waiting.get(&flow).map(|w| Rc::clone(&w.request))
    }

    /// Removes a flow from those that wait; returns where its answer goes.
    pub(crate) fn remove_waiting(&self, flow: JobId) -> Option<oneshot::Sender<Answer>> {
        self.waiting.borrow_mut().remove(&flow).map(|w| w.client)
    }
}
