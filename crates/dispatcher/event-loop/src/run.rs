//! The loop: takes inputs, calls the reducer, carries out its effects, and saves what a successor
//! process must know before anybody is told of it.

use crate::io::SaveWhen;
use crate::operator::{PendingReply, Reply};
use crate::{ConnectionCommand, IoBackend, LoopHandle, OperatorHandle, OperatorRequest};
use dispatch_api::Micros;
use dispatcher_state::{reduce, ConnId, Effect, Input, State, StateSnapshot};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// How often a snapshot is published for operators, and saved if that is due, microseconds.
const PUBLISH_INTERVAL: Micros = 200_000;

/// The receiving end of the inputs, for the loop.
pub struct LoopInputs {
    inputs: mpsc::UnboundedReceiver<Input>,
    operators: mpsc::Receiver<OperatorRequest>,
    published: Option<watch::Sender<Arc<StateSnapshot>>>,
}

impl LoopInputs {
    pub(crate) fn new(
        inputs: mpsc::UnboundedReceiver<Input>,
        operators: mpsc::Receiver<OperatorRequest>,
    ) -> Self {
        LoopInputs {
            inputs,
            operators,
            published: None,
        }
    }

    /// The next input, for whoever drives the reducer itself; none once nobody can send any more.
    pub async fn next(&mut self) -> Option<Input> {
        self.inputs.recv().await
    }

    /// The operators' side of the loop. To be called once at the most: without it no snapshot is
    /// published.
    pub fn operator_handle(&mut self, state: &State, loop_handle: &LoopHandle) -> OperatorHandle {
        let (sender, published) = watch::channel(Arc::new(state.snapshot()));
        self.published = Some(sender);
        OperatorHandle {
            requests: loop_handle.operator_requests(),
            published,
            ready: loop_handle.readiness(),
        }
    }
}

/// Runs the loop; ends when no task can send an input any more.
pub async fn run(
    state: State,
    loop_handle: Rc<LoopHandle>,
    mut inputs: LoopInputs,
    backend: impl IoBackend,
) {
    let mut event_loop = EventLoop {
        state,
        loop_handle,
        backend,
        connections: HashMap::new(),
    };
    let mut publish_at = 0;
    loop {
        let now = event_loop.loop_handle.clock().now();
        let publishes = inputs.published.is_some() || event_loop.backend.saves_state();
        if publishes && now >= publish_at {
            publish_at = now + PUBLISH_INTERVAL;
            event_loop.publish(inputs.published.as_ref());
        }
        let next = publishes.then_some(publish_at);
        let wake = [event_loop.state.wake_at(), next]
            .into_iter()
            .flatten()
            .min();
        let wait = wake.map(|at| Duration::from_micros(at.saturating_sub(now)));
        let PendingReply { input, reply } = tokio::select! {
            biased;
            // First, since there are few of them, and an operator waits a second at the most.
            Some(request) = inputs.operators.recv() => {
                match request.into_input(&event_loop.state, now) {
                    Some(pending) => pending,
                    None => continue,
                }
            }
            input = inputs.inputs.recv() => match input {
                Some(input) => PendingReply { input, reply: Reply::None },
                None => return,
            },
            () = tokio::time::sleep(wait.unwrap_or_default()), if wait.is_some() => {
                PendingReply { input: Input::Tick, reply: Reply::None }
            }
        };
        event_loop.handle(input, reply);
    }
}

/// The loop's own state between two inputs.
struct EventLoop<B> {
    state: State,
    loop_handle: Rc<LoopHandle>,
    backend: B,
    /// Where the commands of each open connection go.
    connections: HashMap<ConnId, mpsc::UnboundedSender<ConnectionCommand>>,
}

impl<B: IoBackend> EventLoop<B> {
    fn publish(&self, published: Option<&watch::Sender<Arc<StateSnapshot>>>) {
        if let Some(published) = published {
            published.send_replace(Arc::new(self.state.snapshot()));
        }
        self.backend.save_state(&self.state, SaveWhen::Due);
    }

    fn handle(&mut self, input: Input, reply: Reply) {
        let mut save_overrides = matches!(input, Input::OverridesChanged(_));
        if let Input::ConnectionClosed { conn, .. } = &input {
            self.connections.remove(conn);
        }
        let now = self.loop_handle.clock().now();
        let effects = reduce(&mut self.state, now, input);
        // What other dispatchers are told must hold for a successor, too: it is saved before.
        let mut saved = true;
        if self.state.take_unsaved_change() {
            saved = self.backend.save_state(&self.state, SaveWhen::Now);
            save_overrides = false;
        }
        for effect in effects {
            self.carry_out(effect);
        }
        // In force but not saved is no success: the operator gets no answer from here, and is told to
        // ask again.
        if saved && (!save_overrides || self.backend.save_state(&self.state, SaveWhen::Now)) {
            reply.send(&self.state);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::OpenConnection { conn, addr } => {
                let (commands, receiver) = mpsc::unbounded_channel();
                self.connections.insert(conn, commands);
                self.backend.open_connection(conn, addr, receiver);
            }
            Effect::SendRequest { conn, flow, wait } => {
                // Without its request the connection is closed, which ends the attempt.
                match (self.connections.get(&conn), self.loop_handle.request(flow)) {
                    (Some(commands), Some(request)) => {
                        let _ = commands.send(ConnectionCommand::Job {
                            flow,
                            request,
                            wait,
                        });
                    }
                    _ => drop(self.connections.remove(&conn)),
                }
            }
            Effect::SendProbe(conn) => {
                if let Some(commands) = self.connections.get(&conn) {
                    let _ = commands.send(ConnectionCommand::Probe);
                }
            }
            Effect::CloseConnection(conn) => drop(self.connections.remove(&conn)),
            Effect::AnswerFlow { flow, answer } => {
                // A client that has just disconnected needs none.
                if let Some(client) = self.loop_handle.remove_waiting(flow) {
                    let _ = client.send(answer);
                }
            }
            Effect::WatchEndpoints { after } => self.backend.watch_endpoints(after),
            Effect::BroadcastToPeers(message) => self.backend.broadcast_to_peers(&message),
            Effect::SendToPeer { to, message } => self.backend.send_to_peer(to, &message),
        }
    }
}
