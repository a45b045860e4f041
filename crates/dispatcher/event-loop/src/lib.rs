//! What the protocol crates share: the flows that wait for their answers, and the loop that feeds the reducer and
//! carries out what it asks for. It knows no protocol; each reports here and is ordered from here.

#![expect(clippy::too_many_lines, reason = "not revised yet")]

mod clock;
mod log_limiter;
mod operator;

pub use clock::Clock;
pub use log_limiter::LogRateLimiter;
use operator::Reply;
pub use operator::{OperatorHandle, OperatorRequest};

use bytes::Bytes;
use dispatch_api::{JobId, JobSpec, Micros};
use dispatcher_settings::report::ReportNames;
use dispatcher_state::{reduce, Answer, ConnId, Effect, Input, State, StateSnapshot};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tracing::debug;

/// What is open together at most.
#[derive(Debug, Clone, Copy)]
pub struct FlowLimits {
    /// Flows.
    pub flows: usize,
    /// Bytes that they take.
    pub bytes: usize,
}

/// What a flow holds from its head on until nothing of it is out any more: its id, and a part of the memory.
pub struct FlowReservation {
    loop_handle: Rc<LoopHandle>,
    id: Bytes,
    bytes: usize,
}

impl FlowReservation {
    /// Gives back what is more than this.
    pub fn shrink(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        self.bytes -= less;
        self.loop_handle
            .claimed
            .set(self.loop_handle.claimed.get() - less);
    }
}

impl Drop for FlowReservation {
    fn drop(&mut self) {
        self.loop_handle.ids.borrow_mut().remove(&self.id);
        self.loop_handle
            .claimed
            .set(self.loop_handle.claimed.get() - self.bytes);
    }
}

/// Why a flow is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReservationError {
    /// Another one with its id is open.
    Repeated,
    /// There is no room.
    Full,
}

/// What goes on to a target as it came, whatever protocol it came by and goes on by.
pub struct ForwardedRequest {
    /// Path and query.
    pub path: Bytes,
    /// The request's id.
    pub id: Bytes,
    /// The key by which targets know a repeat, where there is one.
    pub key: Option<Bytes>,
    /// The body.
    pub body: Bytes,
    /// Held as long as an attempt may be out.
    pub claim: FlowReservation,
}

/// A flow that waits for its answer.
struct Waiting {
    passed: Rc<ForwardedRequest>,
    answer: oneshot::Sender<Answer>,
}

/// What a connection to a target is to do next. Dropping the sender closes the connection at once.
pub enum ConnectionCommand {
    /// Send a job.
    Job {
        /// Its flow.
        flow: JobId,
        /// The job.
        passed: Rc<ForwardedRequest>,
        /// How long this dispatcher will wait.
        wait: Micros,
    },
    /// OperatorRequest for the target's load.
    Probe,
}

/// What the loop needs of those who hold sockets.
pub trait IoBackend {
    /// Opens a connection to a target, which carries out what it is ordered and reports when it is closed.
    fn open_connection(
        &self,
        conn: ConnId,
        addr: SocketAddr,
        orders: mpsc::UnboundedReceiver<ConnectionCommand>,
    );
    /// Watches the list for what is newer than this version; with none the whole list is wanted.
    fn watch_endpoints(&self, after: Option<u64>);
    /// Sends a message to every other dispatcher.
    fn broadcast_to_peers(&self, message: &[u8]);
    /// Sends a message to the other dispatcher of this number.
    fn send_to_peer(&self, to: u32, message: &[u8]);
    /// Keeps what is known for whatever process comes after this one: at once where the operators have just said
    /// something, else when it seems time. Tells whether nothing failed.
    fn save_state(&self, state: &State, at_once: bool) -> bool;
    /// Whether there is anything to be kept.
    fn saves_state(&self) -> bool;
}

/// What operators ask that may wait together.
const ASKS: usize = 32;
/// How often the figures are laid out for operators.
const LAY_OUT: Micros = 200_000;

/// What is reported to the desk, for the loop.
pub struct LoopInputs {
    inputs: mpsc::UnboundedReceiver<Input>,
    asks: mpsc::Receiver<OperatorRequest>,
    seen: Option<watch::Sender<Arc<StateSnapshot>>>,
}

impl LoopInputs {
    /// The next one, for whoever feeds the reducer; none once nobody can report any more.
    pub async fn next(&mut self) -> Option<Input> {
        self.inputs.recv().await
    }

    /// What operators look through, for as long as the loop runs. To be called once at most: without it nothing is
    /// laid out.
    pub fn window(&mut self, state: &State, loop_handle: &LoopHandle) -> OperatorHandle {
        let (sender, seen) = watch::channel(Arc::new(state.snapshot()));
        self.seen = Some(sender);
        OperatorHandle {
            asks: loop_handle.asks.clone(),
            seen,
            ready: Arc::clone(&loop_handle.ready),
        }
    }
}

/// What the protocols share: where inputs go, and the flows that wait.
pub struct LoopHandle {
    inputs: mpsc::UnboundedSender<Input>,
    asks: mpsc::Sender<OperatorRequest>,
    ready: Arc<AtomicBool>,
    clock: Clock,
    names: ReportNames,
    bounds: Cell<FlowLimits>,
    listed: Cell<bool>,
    ids: RefCell<HashSet<Bytes>>,
    claimed: Cell<usize>,
    waiting: RefCell<HashMap<JobId, Waiting>>,
    flows: Cell<u64>,
}

impl LoopHandle {
    /// A desk, and what is reported to it.
    pub fn new(clock: Clock, names: ReportNames, bounds: FlowLimits) -> (Rc<Self>, LoopInputs) {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let (asks, asked) = mpsc::channel(ASKS);
        let (ready, listed, ids, claimed, waiting, flows) = Default::default();
        let bounds = Cell::new(bounds);
        let loop_handle = LoopHandle {
            inputs,
            asks,
            ready,
            clock,
            names,
            bounds,
            listed,
            ids,
            claimed,
            waiting,
            flows,
        };
        (
            Rc::new(loop_handle),
            LoopInputs {
                inputs: receiver,
                asks: asked,
                seen: None,
            },
        )
    }

    /// Claims the id and the memory of a flow, before its body is read.
    ///
    /// # Errors
    /// Why it can't be taken.
    pub fn reserve(
        self: &Rc<Self>,
        id: Bytes,
        bytes: usize,
    ) -> Result<FlowReservation, ReservationError> {
        let mut ids = self.ids.borrow_mut();
        let claimed = self.claimed.get().saturating_add(bytes);
        if ids.contains(&id) {
            return Err(ReservationError::Repeated);
        }
        if ids.len() >= self.limits().flows || claimed > self.limits().bytes {
            return Err(ReservationError::Full);
        }
        ids.insert(id.clone());
        self.claimed.set(claimed);
        Ok(FlowReservation {
            loop_handle: Rc::clone(self),
            id,
            bytes,
        })
    }

    /// LoopInputs to the reducer. It is gone only when the program ends.
    pub fn send_input(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    /// The clock that all times here are on.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Whether jobs are served here, as operators are told.
    pub fn set_ready(&self, ready: bool) {
        self.ready
            .store(ready, std::sync::atomic::Ordering::Relaxed);
    }

    /// What may be open together.
    pub fn limits(&self) -> FlowLimits {
        self.bounds.get()
    }

    /// So much may be open together from now on; what is open already stays.
    pub fn set_limits(&self, bounds: FlowLimits) {
        self.bounds.set(bounds);
    }

    /// Discovery has told of the targets.
    pub fn set_endpoints_known(&self) {
        self.listed.set(true);
    }

    /// Whether it ever has.
    pub fn endpoints_known(&self) -> bool {
        self.listed.get()
    }

    /// How load reports are read.
    pub fn report_names(&self) -> &ReportNames {
        &self.names
    }

    /// Flows that wait for their answer.
    pub fn open_flows(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Whether a client still waits for this flow's answer. It is known here first: the reducer hears of a client that has
    /// left with its next input, and what it has ordered before is not to go out any more.
    pub fn is_awaited(&self, flow: JobId) -> bool {
        self.waiting.borrow().contains_key(&flow)
    }

    /// Takes a flow, numbers it, and hands it to the decisions.
    pub fn accept_flow(
        self: &Rc<Self>,
        mut spec: JobSpec,
        passed: ForwardedRequest,
    ) -> PendingFlow {
        let id = JobId(self.flows.get());
        self.flows.set(id.0 + 1);
        spec.id = id;
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(
            id,
            Waiting {
                passed: Rc::new(passed),
                answer: sender,
            },
        );
        debug!(flow = id.0, class = spec.class, "taken");
        self.send_input(Input::FlowAccepted(spec));
        PendingFlow {
            loop_handle: Rc::clone(self),
            id,
            answer,
            answered: false,
        }
    }

    fn passed(&self, flow: JobId) -> Option<Rc<ForwardedRequest>> {
        self.waiting
            .borrow()
            .get(&flow)
            .map(|w| Rc::clone(&w.passed))
    }

    fn close(&self, flow: JobId) -> Option<oneshot::Sender<Answer>> {
        self.waiting.borrow_mut().remove(&flow).map(|w| w.answer)
    }
}

/// A flow that was taken. Dropped before its answer, its client has left, and the decisions are told.
pub struct PendingFlow {
    loop_handle: Rc<LoopHandle>,
    id: JobId,
    answer: oneshot::Receiver<Answer>,
    answered: bool,
}

impl PendingFlow {
    /// Its number.
    pub fn id(&self) -> JobId {
        self.id
    }

    /// Waits for its one final answer.
    pub async fn answer(mut self) -> Answer {
        let answer = (&mut self.answer).await;
        self.answered = true;
        // The sender is dropped unused only when the program ends amid it.
        answer.unwrap_or(Answer::Failed)
    }
}

impl Drop for PendingFlow {
    fn drop(&mut self) {
        if !self.answered {
            debug!(flow = self.id.0, "client left");
            self.loop_handle.close(self.id);
            self.loop_handle
                .send_input(Input::ClientDisconnected(self.id));
        }
    }
}

/// Feeds the reducer and carries out what it asks for; ends when no task can report any more.
pub async fn run(
    mut state: State,
    loop_handle: Rc<LoopHandle>,
    mut reports: LoopInputs,
    backend: impl IoBackend,
) {
    let mut conns: HashMap<ConnId, mpsc::UnboundedSender<ConnectionCommand>> = HashMap::new();
    let mut lay_out = 0;
    loop {
        let now = loop_handle.clock.now();
        let watched = reports.seen.is_some() || backend.saves_state();
        if watched && now >= lay_out {
            lay_out = now + LAY_OUT;
            reports
                .seen
                .iter()
                .for_each(|seen| drop(seen.send_replace(Arc::new(state.snapshot()))));
            backend.save_state(&state, false);
        }
        let next = watched.then_some(lay_out);
        let wake = [state.wake_at(), next].into_iter().flatten().min();
        let wait = wake.map(|at| Duration::from_micros(at.saturating_sub(now)));
        let (input, answer) = tokio::select! {
            biased;
            // First, since there are few of them, and whoever asks waits a second at most.
            Some(ask) = reports.asks.recv() => match ask.input(&state, now) {
                Some(asked) => asked,
                None => continue,
            },
            input = reports.inputs.recv() => match input {
                Some(input) => (input, Reply::None),
                None => return,
            },
            () = tokio::time::sleep(wait.unwrap_or_default()), if wait.is_some() => (Input::Tick, Reply::None),
        };
        let mut ruled = matches!(input, Input::OverridesChanged(_));
        if let Input::ConnectionClosed { conn, .. } = &input {
            conns.remove(conn);
        }
        let effects = reduce(&mut state, loop_handle.clock.now(), input);
        // What is said to others must hold for a successor, too: it is kept before they hear of it.
        let mut kept = true;
        if state.take_unsaved_change() {
            (kept, ruled) = (backend.save_state(&state, true), false);
        }
        for effect in effects {
            match effect {
                Effect::OpenConnection { conn, addr } => {
                    let (orders, receiver) = mpsc::unbounded_channel();
                    conns.insert(conn, orders);
                    backend.open_connection(conn, addr, receiver);
                }
                Effect::SendRequest { conn, flow, wait } => {
                    // Without its request the connection is given up: its end is an outcome of the attempt.
                    match (conns.get(&conn), loop_handle.passed(flow)) {
                        (Some(orders), Some(passed)) => {
                            let _ = orders.send(ConnectionCommand::Job { flow, passed, wait });
                        }
                        _ => drop(conns.remove(&conn)),
                    }
                }
                Effect::SendProbe(conn) => {
                    conns
                        .get(&conn)
                        .into_iter()
                        .for_each(|c| drop(c.send(ConnectionCommand::Probe)));
                }
                Effect::CloseConnection(conn) => drop(conns.remove(&conn)),
                Effect::AnswerFlow { flow, answer } => {
                    // A client that has just gone needs none.
                    if let Some(client) = loop_handle.close(flow) {
                        let _ = client.send(answer);
                    }
                }
                Effect::WatchEndpoints { after } => backend.watch_endpoints(after),
                Effect::BroadcastToPeers(message) => backend.broadcast_to_peers(&message),
                Effect::SendToPeer { to, message } => backend.send_to_peer(to, &message),
            }
        }
        // In force but not kept, it is no yes: whoever asked hears nothing from here, and is told to ask again.
        if kept && (!ruled || backend.save_state(&state, true)) {
            answer.give(&state);
        }
    }
}
