//! What the protocol crates share: the flows that wait for their answers, and the loop that feeds the reducer and
//! carries out what it asks for. It knows no protocol; each reports here and is ordered from here.

#![expect(clippy::too_many_lines, reason = "not revised yet")]

mod clock;
mod seldom;
mod window;

pub use clock::Clock;
pub use seldom::Seldom;
use window::Reply;
pub use window::{Ask, Window};

use bytes::Bytes;
use dispatch_api::{JobId, JobSpec, Micros};
use dispatcher_settings::report::ReportNames;
use dispatcher_state::{reduce, Answer, ConnId, Effect, Input, Seen, State};
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
pub struct Bounds {
    /// Flows.
    pub flows: usize,
    /// Bytes that they take.
    pub bytes: usize,
}

/// What a flow holds from its head on until nothing of it is out any more: its id, and a part of the memory.
pub struct Claim {
    desk: Rc<Desk>,
    id: Bytes,
    bytes: usize,
}

impl Claim {
    /// Gives back what is more than this.
    pub fn shrink(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        self.bytes -= less;
        self.desk.claimed.set(self.desk.claimed.get() - less);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.desk.ids.borrow_mut().remove(&self.id);
        self.desk.claimed.set(self.desk.claimed.get() - self.bytes);
    }
}

/// Why a flow is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unclaimed {
    /// Another one with its id is open.
    Repeated,
    /// There is no room.
    Full,
}

/// What goes on to a target as it came, whatever protocol it came by and goes on by.
pub struct Passed {
    /// Path and query.
    pub path: Bytes,
    /// The request's id.
    pub id: Bytes,
    /// The key by which targets know a repeat, where there is one.
    pub key: Option<Bytes>,
    /// The body.
    pub body: Bytes,
    /// Held as long as an attempt may be out.
    pub claim: Claim,
}

/// A flow that waits for its answer.
struct Waiting {
    passed: Rc<Passed>,
    answer: oneshot::Sender<Answer>,
}

/// What a connection to a target is to do next. Dropping the sender closes the connection at once.
pub enum Order {
    /// Send a job.
    Job {
        /// Its flow.
        flow: JobId,
        /// The job.
        passed: Rc<Passed>,
        /// How long this dispatcher will wait.
        wait: Micros,
    },
    /// Ask for the target's load.
    Probe,
}

/// What the loop needs of those who hold sockets.
pub trait Outlets {
    /// Opens a connection to a target, which carries out what it is ordered and reports when it is closed.
    fn open(&self, conn: ConnId, addr: SocketAddr, orders: mpsc::UnboundedReceiver<Order>);
    /// Watches the list for what is newer than this version; with none the whole list is wanted.
    fn watch(&self, after: Option<u64>);
    /// Sends a message to every other dispatcher.
    fn tell(&self, message: &[u8]);
    /// Sends a message to the other dispatcher of this number.
    fn tell_one(&self, to: u32, message: &[u8]);
    /// Keeps what is known for whatever process comes after this one: at once where the operators have just said
    /// something, else when it seems time. Tells whether nothing failed.
    fn keep(&self, state: &State, at_once: bool) -> bool;
    /// Whether there is anything to be kept.
    fn keeps(&self) -> bool;
}

/// What operators ask that may wait together.
const ASKS: usize = 32;
/// How often the figures are laid out for operators.
const LAY_OUT: Micros = 200_000;

/// What is reported to the desk, for the loop.
pub struct Reports {
    inputs: mpsc::UnboundedReceiver<Input>,
    asks: mpsc::Receiver<Ask>,
    seen: Option<watch::Sender<Arc<Seen>>>,
}

impl Reports {
    /// The next one, for whoever feeds the reducer; none once nobody can report any more.
    pub async fn next(&mut self) -> Option<Input> {
        self.inputs.recv().await
    }

    /// What operators look through, for as long as the loop runs. To be called once at most: without it nothing is
    /// laid out.
    pub fn window(&mut self, state: &State, desk: &Desk) -> Window {
        let (sender, seen) = watch::channel(Arc::new(state.seen()));
        self.seen = Some(sender);
        Window {
            asks: desk.asks.clone(),
            seen,
            ready: Arc::clone(&desk.ready),
        }
    }
}

/// What the protocols share: where inputs go, and the flows that wait.
pub struct Desk {
    inputs: mpsc::UnboundedSender<Input>,
    asks: mpsc::Sender<Ask>,
    ready: Arc<AtomicBool>,
    clock: Clock,
    names: ReportNames,
    bounds: Cell<Bounds>,
    listed: Cell<bool>,
    ids: RefCell<HashSet<Bytes>>,
    claimed: Cell<usize>,
    waiting: RefCell<HashMap<JobId, Waiting>>,
    flows: Cell<u64>,
}

impl Desk {
    /// A desk, and what is reported to it.
    pub fn new(clock: Clock, names: ReportNames, bounds: Bounds) -> (Rc<Self>, Reports) {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let (asks, asked) = mpsc::channel(ASKS);
        let (ready, listed, ids, claimed, waiting, flows) = Default::default();
        let bounds = Cell::new(bounds);
        let desk = Desk {
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
            Rc::new(desk),
            Reports {
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
    pub fn claim(self: &Rc<Self>, id: Bytes, bytes: usize) -> Result<Claim, Unclaimed> {
        let mut ids = self.ids.borrow_mut();
        let claimed = self.claimed.get().saturating_add(bytes);
        if ids.contains(&id) {
            return Err(Unclaimed::Repeated);
        }
        if ids.len() >= self.bounds().flows || claimed > self.bounds().bytes {
            return Err(Unclaimed::Full);
        }
        ids.insert(id.clone());
        self.claimed.set(claimed);
        Ok(Claim {
            desk: Rc::clone(self),
            id,
            bytes,
        })
    }

    /// Reports to the reducer. It is gone only when the program ends.
    pub fn report(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    /// The clock that all times here are on.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Whether jobs are served here, as operators are told.
    pub fn ready(&self, ready: bool) {
        self.ready
            .store(ready, std::sync::atomic::Ordering::Relaxed);
    }

    /// What may be open together.
    pub fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// So much may be open together from now on; what is open already stays.
    pub fn bound(&self, bounds: Bounds) {
        self.bounds.set(bounds);
    }

    /// Discovery has told of the targets.
    pub fn listed(&self) {
        self.listed.set(true);
    }

    /// Whether it ever has.
    pub fn has_list(&self) -> bool {
        self.listed.get()
    }

    /// How load reports are read.
    pub fn names(&self) -> &ReportNames {
        &self.names
    }

    /// Flows that wait for their answer.
    pub fn open_flows(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Whether a client still waits for this flow's answer. It is known here first: the reducer hears of a client that has
    /// left with its next input, and what it has ordered before is not to go out any more.
    pub fn waits(&self, flow: JobId) -> bool {
        self.waiting.borrow().contains_key(&flow)
    }

    /// Takes a flow, numbers it, and hands it to the decisions.
    pub fn take(self: &Rc<Self>, mut spec: JobSpec, passed: Passed) -> Flow {
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
        self.report(Input::Taken(spec));
        Flow {
            desk: Rc::clone(self),
            id,
            answer,
            answered: false,
        }
    }

    fn passed(&self, flow: JobId) -> Option<Rc<Passed>> {
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
pub struct Flow {
    desk: Rc<Desk>,
    id: JobId,
    answer: oneshot::Receiver<Answer>,
    answered: bool,
}

impl Flow {
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

impl Drop for Flow {
    fn drop(&mut self) {
        if !self.answered {
            debug!(flow = self.id.0, "client left");
            self.desk.close(self.id);
            self.desk.report(Input::Left(self.id));
        }
    }
}

/// Feeds the reducer and carries out what it asks for; ends when no task can report any more.
pub async fn run(mut state: State, desk: Rc<Desk>, mut reports: Reports, outlets: impl Outlets) {
    let mut conns: HashMap<ConnId, mpsc::UnboundedSender<Order>> = HashMap::new();
    let mut lay_out = 0;
    loop {
        let now = desk.clock.now();
        let watched = reports.seen.is_some() || outlets.keeps();
        if watched && now >= lay_out {
            lay_out = now + LAY_OUT;
            reports
                .seen
                .iter()
                .for_each(|seen| drop(seen.send_replace(Arc::new(state.seen()))));
            outlets.keep(&state, false);
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
        let mut ruled = matches!(input, Input::Ruled(_));
        if let Input::Closed { conn, .. } = &input {
            conns.remove(conn);
        }
        let effects = reduce(&mut state, desk.clock.now(), input);
        // What is said to others must hold for a successor, too: it is kept before they hear of it.
        let mut kept = true;
        if state.take_unkept() {
            (kept, ruled) = (outlets.keep(&state, true), false);
        }
        for effect in effects {
            match effect {
                Effect::Open { conn, addr } => {
                    let (orders, receiver) = mpsc::unbounded_channel();
                    conns.insert(conn, orders);
                    outlets.open(conn, addr, receiver);
                }
                Effect::Send { conn, flow, wait } => {
                    // Without its request the connection is given up: its end is an outcome of the attempt.
                    match (conns.get(&conn), desk.passed(flow)) {
                        (Some(orders), Some(passed)) => {
                            let _ = orders.send(Order::Job { flow, passed, wait });
                        }
                        _ => drop(conns.remove(&conn)),
                    }
                }
                Effect::Probe(conn) => {
                    conns
                        .get(&conn)
                        .into_iter()
                        .for_each(|c| drop(c.send(Order::Probe)));
                }
                Effect::Close(conn) => drop(conns.remove(&conn)),
                Effect::Answer { flow, answer } => {
                    // A client that has just gone needs none.
                    if let Some(client) = desk.close(flow) {
                        let _ = client.send(answer);
                    }
                }
                Effect::Watch { after } => outlets.watch(after),
                Effect::Tell(message) => outlets.tell(&message),
                Effect::TellOne { to, message } => outlets.tell_one(to, &message),
            }
        }
        // In force but not kept, it is no yes: whoever asked hears nothing from here, and is told to ask again.
        if kept && (!ruled || outlets.keep(&state, true)) {
            answer.give(&state);
        }
    }
}
