//! What is spoken on sockets, and the loop that carries out the reducer's effects.

pub mod discovery;
mod guard;
mod io;
pub mod listener;
pub mod peers;
mod report;
mod target;

pub use report::ReportNames;

use crate::api::{JobId, Micros};
use crate::net::lifecycle::clock::Clock;
use crate::net::state::{reduce, Answer, ConnId, Effect, Input, State};
use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::http::HeaderValue;
use hyper::Method;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// What is open together at most.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Flows.
    pub flows: usize,
    /// Bytes that they take.
    pub bytes: usize,
}

/// What a flow holds from its head on until nothing of it is out any more: its id, and a part of the memory.
struct Claim {
    desk: Rc<Desk>,
    id: Vec<u8>,
    bytes: usize,
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.desk.ids.borrow_mut().remove(&self.id);
        self.desk.claimed.set(self.desk.claimed.get() - self.bytes);
    }
}

/// Why a flow is not taken.
enum Unclaimed {
    /// Another one with its id is open.
    Repeated,
    /// There is no room.
    Full,
}

/// What goes on to a target as it came.
pub struct Passed {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// `Req-Id`.
    pub id: HeaderValue,
    /// `Idempotency-Key`, where there is one.
    pub key: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
    /// Held as long as an attempt may be out.
    _claim: Claim,
}

/// A flow that waits for its answer.
struct Waiting {
    passed: Rc<Passed>,
    answer: oneshot::Sender<Answer>,
}

/// What the tasks of the wire share: where inputs go, and the flows that wait.
pub struct Desk {
    inputs: mpsc::UnboundedSender<Input>,
    clock: Clock,
    names: ReportNames,
    bounds: Bounds,
    ids: RefCell<HashSet<Vec<u8>>>,
    claimed: Cell<usize>,
    waiting: RefCell<HashMap<JobId, Waiting>>,
    flows: Cell<u64>,
}

impl Desk {
    /// A desk, and the inputs that are reported to it.
    pub fn new(
        clock: Clock,
        names: ReportNames,
        bounds: Bounds,
    ) -> (Rc<Self>, mpsc::UnboundedReceiver<Input>) {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let (ids, claimed, waiting, flows) = Default::default();
        (Rc::new(Desk { inputs, clock, names, bounds, ids, claimed, waiting, flows }), receiver)
    }

    /// Claims the id and the memory of a flow, before its body is read.
    fn claim(self: &Rc<Self>, id: &HeaderValue, bytes: usize) -> Result<Claim, Unclaimed> {
        let mut ids = self.ids.borrow_mut();
        let claimed = self.claimed.get().saturating_add(bytes);
        if ids.contains(id.as_bytes()) {
            return Err(Unclaimed::Repeated);
        }
        if ids.len() >= self.bounds.flows || claimed > self.bounds.bytes {
            return Err(Unclaimed::Full);
        }
        ids.insert(id.as_bytes().to_vec());
        self.claimed.set(claimed);
        Ok(Claim { desk: Rc::clone(self), id: id.as_bytes().to_vec(), bytes })
    }

    /// Reports to the reducer. It is gone only when the program ends.
    pub fn report(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    /// The clock that all times here are on.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Flows that wait for their answer.
    pub fn open_flows(&self) -> usize {
        self.waiting.borrow().len()
    }

    fn open(&self, passed: Passed) -> (JobId, oneshot::Receiver<Answer>) {
        let flow = JobId(self.flows.get());
        self.flows.set(flow.0 + 1);
        let (answer, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(flow, Waiting { passed: Rc::new(passed), answer });
        (flow, receiver)
    }

    fn passed(&self, flow: JobId) -> Option<Rc<Passed>> {
        self.waiting.borrow().get(&flow).map(|w| Rc::clone(&w.passed))
    }

    fn close(&self, flow: JobId) -> Option<oneshot::Sender<Answer>> {
        self.waiting.borrow_mut().remove(&flow).map(|w| w.answer)
    }
}

/// Feeds the reducer and carries out what it asks for; ends when no task can report any more.
pub async fn run(
    mut state: State,
    desk: Rc<Desk>,
    mut inputs: mpsc::UnboundedReceiver<Input>,
    watches: mpsc::UnboundedSender<Option<u64>>,
    peers: Option<Rc<peers::Peers>>,
) {
    let mut conns: HashMap<ConnId, mpsc::UnboundedSender<target::Order>> = HashMap::new();
    loop {
        let now = desk.clock.now();
        let wait = state.wake_at().map(|at| Duration::from_micros(at.saturating_sub(now)));
        let input = tokio::select! {
            biased;
            input = inputs.recv() => match input {
                Some(input) => input,
                None => return,
            },
            () = tokio::time::sleep(wait.unwrap_or_default()), if wait.is_some() => Input::Tick,
        };
        if let Input::Closed { conn, .. } = &input {
            conns.remove(conn);
        }
        for effect in reduce(&mut state, desk.clock.now(), input) {
            match effect {
                Effect::Open { conn, addr } => {
                    let (orders, receiver) = mpsc::unbounded_channel();
                    conns.insert(conn, orders);
                    tokio::task::spawn_local(target::connection(conn, addr, receiver, Rc::clone(&desk)));
                }
                Effect::Send { conn, flow, wait } => {
                    // Without its request the connection is given up: its end is an outcome of the attempt.
                    match (conns.get(&conn), desk.passed(flow)) {
                        (Some(orders), Some(passed)) => {
                            let _ = orders.send(target::Order::Job { passed, wait });
                        }
                        _ => drop(conns.remove(&conn)),
                    }
                }
                Effect::Probe(conn) => {
                    conns.get(&conn).into_iter().for_each(|c| drop(c.send(target::Order::Probe)));
                }
                Effect::Close(conn) => drop(conns.remove(&conn)),
                Effect::Answer { flow, answer } => {
                    // A client that has just gone needs none.
                    if let Some(client) = desk.close(flow) {
                        let _ = client.send(answer);
                    }
                }
                Effect::Watch { after } => drop(watches.send(after)),
                Effect::Tell(message) => {
                    if let Some(peers) = &peers {
                        peers.tell(&message);
                    }
                }
            }
        }
    }
}

/// A span in seconds, as the headers have it.
fn seconds(span: Micros) -> String {
    format!("{:.3}", span as f64 / 1.0e6)
}
