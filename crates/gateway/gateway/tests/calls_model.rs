//! Every order of what may happen to requests that may not be repeated, their connections and their runner, up to a depth:
//! the pool and the verdicts are the real ones, the network and the runner are played.
//!
//! The checker: a request runs at most once, one that was refused never runs, each caller gets its own answer. Planted
//! faults, each in one of these decisions, are found by it.

use gateway::connection::pool::{ConnectionNumber, Pool, Pooled};
use gateway::proxy::classify::{
    next_step, response_owner, AttemptCounts, AttemptEnd, NextStep, ResponseEvidence, ResponseOwner,
};
use runner_selection::RunnerKey;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

const KEY: RunnerKey = RunnerKey(1);
const REQUESTS: usize = 2;
/// The fewest with which a request can be sent again.
const TRIES: u32 = 2;
/// Events in a row.
const DEPTH: usize = 8;
/// Within so many events each planted fault shows.
const FAULT_DEPTH: usize = 7;
/// Second answers that a runner may send, over all connections: one is enough for each fault, two for their meeting.
const SURPLUS_MOST: u32 = 2;

/// A fault in one of the decisions.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    None,
    /// Whoever waits takes whatever answer comes.
    IdNotCompared,
    /// A try may go out again on a connection that carried it.
    ConnectionUsedTwice,
    /// A connection whose request was given up is kept.
    KeptAfterTimeout,
    /// A reset after the request was written counts as if nothing had left.
    WrittenCountsAsUnsent,
    /// What may have run is sent again.
    BrokenIsRepeated,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum RunnerAnswer {
    Done,
    NotRun,
}

/// An answer, by the id that it names and what it says.
type Answer = (usize, RunnerAnswer);

/// What both ends of a connection share.
#[derive(Default)]
struct Wire {
    /// Requests that the runner has got and not dealt with.
    inbox: VecDeque<usize>,
    /// Answers on their way.
    on_its_way: VecDeque<Answer>,
    /// Something has arrived that nobody waited for.
    unasked: bool,
    reset: bool,
    /// The runner's last answer here.
    last: Option<Answer>,
    sends: u32,
}

struct Connection {
    number: ConnectionNumber,
    wire: Rc<RefCell<Wire>>,
}

impl Pooled for Connection {
    fn number(&self) -> ConnectionNumber {
        self.number
    }

    fn idle_for(&self) -> Duration {
        Duration::ZERO
    }

    fn is_usable(&mut self, _careful: bool) -> bool {
        // A reset that is on its way is not seen yet: only the write tells.
        !self.wire.borrow().unasked
    }

    fn is_worth_keeping(&mut self) -> bool {
        !self.wire.borrow().unasked
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closed: what the runner has got may still run, nothing of it is heard.
        self.wire.borrow_mut().on_its_way.clear();
    }
}

#[derive(Default)]
struct Request {
    on: Option<Connection>,
    used: Vec<ConnectionNumber>,
    sends: u32,
    unsent: u32,
    may_have_run: bool,
    end: Option<NextStep>,
    answered_with: Option<usize>,
    left: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Event {
    /// A request takes a connection, or a new one, and is written.
    Send(usize),
    /// The runner runs what it has got on a connection, and answers.
    Run(usize),
    /// It says that it does not run it.
    Decline(usize),
    /// It sends its last answer on a connection once more.
    Surplus(usize),
    /// What is on its way arrives.
    Arrive(usize),
    /// A connection is reset; what the runner has got on it is gone.
    Reset(usize),
    /// The time of a request is over.
    Timeout(usize),
    /// Its client leaves.
    Leave(usize),
    /// The runner is started again: all connections are reset, and none is kept.
    Restart,
}

struct World {
    fault: Fault,
    pool: Pool<Connection>,
    wires: Vec<Rc<RefCell<Wire>>>,
    requests: [Request; REQUESTS],
    ran: [u32; REQUESTS],
    surplus: u32,
}

impl World {
    fn new(fault: Fault) -> Self {
        World {
            fault,
            pool: Pool::default(),
            wires: Vec::new(),
            requests: Default::default(),
            ran: [0; REQUESTS],
            surplus: 0,
        }
    }

    fn events(&self) -> Vec<Event> {
        let mut all = Vec::new();
        for (n, request) in self.requests.iter().enumerate() {
            let open = request.end.is_none() && !request.left;
            if open && request.on.is_none() {
                all.push(Event::Send(n));
            }
            if open && request.on.is_some() {
                all.extend([Event::Timeout(n), Event::Leave(n)]);
            }
        }
        for (n, wire) in self.wires.iter().enumerate() {
            let wire = wire.borrow();
            if !wire.inbox.is_empty() {
                all.extend([Event::Run(n), Event::Decline(n)]);
            }
            if !wire.on_its_way.is_empty() {
                all.push(Event::Arrive(n));
            }
            if !wire.reset {
                all.push(Event::Reset(n));
                if wire.last.is_some() && self.surplus < SURPLUS_MOST {
                    all.push(Event::Surplus(n));
                }
            }
        }
        if !self.wires.is_empty() {
            all.push(Event::Restart);
        }
        all
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Send(n) => self.send(n),
            Event::Run(c) => self.runner_says(c, RunnerAnswer::Done),
            Event::Decline(c) => self.runner_says(c, RunnerAnswer::NotRun),
            Event::Surplus(c) => {
                self.surplus += 1;
                let mut wire = self.wires[c].borrow_mut();
                let last = wire.last;
                wire.on_its_way.extend(last);
            }
            Event::Arrive(c) => self.arrive(c),
            Event::Reset(c) => self.reset(c),
            Event::Timeout(n) => {
                let connection = self.requests[n].on.take();
                if self.fault == Fault::KeptAfterTimeout {
                    connection.into_iter().for_each(|c| self.pool.put(KEY, c));
                }
                self.ended(n, AttemptEnd::TimedOut);
            }
            Event::Leave(n) => {
                self.requests[n].left = true;
                self.requests[n].on = None;
            }
            Event::Restart => {
                (0..self.wires.len()).for_each(|c| self.reset(c));
                self.pool.close(KEY);
            }
        }
    }

    fn send(&mut self, n: usize) {
        let used: &[ConnectionNumber] = if self.fault == Fault::ConnectionUsedTwice {
            &[]
        } else {
            &self.requests[n].used
        };
        let connection = self.pool.take(KEY, true, used).unwrap_or_else(|| {
            let wire = Rc::<RefCell<Wire>>::default();
            self.wires.push(wire.clone());
            Connection {
                number: ConnectionNumber(self.wires.len() as u64),
                wire,
            }
        });
        let request = &mut self.requests[n];
        request.sends += 1;
        request.used.push(connection.number);
        let written = {
            let mut wire = connection.wire.borrow_mut();
            wire.sends += 1;
            if !wire.reset {
                wire.inbox.push_back(n);
            }
            !wire.reset
        };
        if written {
            request.on = Some(connection);
        } else {
            // The system takes nothing for a connection that it knows to be reset.
            request.sends -= 1;
            request.unsent += 1;
            self.ended(n, AttemptEnd::NotSent);
        }
    }

    fn runner_says(&mut self, c: usize, word: RunnerAnswer) {
        let mut wire = self.wires[c].borrow_mut();
        let Some(n) = wire.inbox.pop_front() else {
            return;
        };
        if word == RunnerAnswer::Done {
            self.ran[n] += 1;
        }
        wire.last = Some((n, word));
        wire.on_its_way.push_back((n, word));
    }

    fn holder(&self, c: usize) -> Option<usize> {
        let wire = &self.wires[c];
        self.requests
            .iter()
            .position(|r| r.on.as_ref().is_some_and(|on| Rc::ptr_eq(&on.wire, wire)))
    }

    fn arrive(&mut self, c: usize) {
        let holder = self.holder(c);
        let Some((named, word)) = self.wires[c].borrow_mut().on_its_way.pop_front() else {
            return;
        };
        let Some(n) = holder else {
            self.wires[c].borrow_mut().unasked = true;
            return;
        };
        let (id, own) = ([named as u8], [n as u8]);
        let signs = ResponseEvidence {
            attempt: Some(&id),
            not_run: word == RunnerAnswer::NotRun,
            first_on_connection: self.wires[c].borrow().sends <= 1,
        };
        let owner = match self.fault {
            Fault::IdNotCompared => response_owner(
                ResponseEvidence {
                    attempt: Some(&own),
                    ..signs
                },
                &own,
            ),
            _ => response_owner(signs, &own),
        };
        let connection = self.requests[n].on.take();
        if owner != ResponseOwner::Foreign {
            connection
                .into_iter()
                .for_each(|connection| self.pool.put(KEY, connection));
        }
        match owner {
            ResponseOwner::Foreign => self.ended(n, AttemptEnd::Broken),
            ResponseOwner::NotRun => self.ended(n, AttemptEnd::NotRun),
            ResponseOwner::Own => {
                self.requests[n].answered_with = Some(named);
                // Any step that ends it: the answer is what counts.
                self.requests[n].end = Some(NextStep::BadGateway);
            }
        }
    }

    fn reset(&mut self, c: usize) {
        let holder = self.holder(c);
        {
            let mut wire = self.wires[c].borrow_mut();
            wire.reset = true;
            // What the runner has got may have started to run: it counts as run, which is the worst case.
            while let Some(n) = wire.inbox.pop_front() {
                self.ran[n] += 1;
            }
            wire.on_its_way.clear();
        }
        if let Some(n) = holder {
            self.requests[n].on = None;
            let unsent = self.fault == Fault::WrittenCountsAsUnsent;
            self.ended(
                n,
                if unsent {
                    AttemptEnd::NotSent
                } else {
                    AttemptEnd::Broken
                },
            );
        }
    }

    fn ended(&mut self, n: usize, ended: AttemptEnd) {
        let request = &mut self.requests[n];
        request.may_have_run |= matches!(ended, AttemptEnd::Broken | AttemptEnd::TimedOut);
        let counts = AttemptCounts {
            sends: request.sends,
            unsent: request.unsent,
            may_have_run: request.may_have_run,
        };
        let may_repeat = self.fault == Fault::BrokenIsRepeated;
        match next_step(ended, may_repeat, TRIES, counts) {
            NextStep::Retry => {}
            step => request.end = Some(step),
        }
    }

    /// What is broken, if anything. All that runners have got still runs.
    fn broken(&self) -> Option<&'static str> {
        let mut ran = self.ran;
        for wire in &self.wires {
            wire.borrow().inbox.iter().for_each(|n| ran[*n] += 1);
        }
        for (n, request) in self.requests.iter().enumerate() {
            if self.ran[n] > 1 {
                return Some("a request ran twice");
            }
            if request.end == Some(NextStep::Reject) && ran[n] > 0 {
                return Some("a request that was refused runs");
            }
            if request.answered_with.is_some_and(|named| named != n) {
                return Some("an answer went to another caller");
            }
        }
        None
    }
}

/// The shortest orders first; the first that breaks something, and how many were played.
fn explore(fault: Fault, depth: usize) -> (Option<(Vec<Event>, &'static str)>, usize) {
    let mut played = 0;
    for most in 1..=depth {
        let mut path = Vec::new();
        if let Some(found) = from(fault, &mut path, most, &mut played) {
            return (Some(found), played);
        }
    }
    (None, played)
}

fn from(
    fault: Fault,
    path: &mut Vec<Event>,
    most: usize,
    played: &mut usize,
) -> Option<(Vec<Event>, &'static str)> {
    let mut world = World::new(fault);
    path.iter().for_each(|event| world.play(*event));
    if path.len() == most {
        *played += 1;
        return world.broken().map(|why| (path.clone(), why));
    }
    for event in world.events() {
        path.push(event);
        let found = from(fault, path, most, played);
        path.pop();
        if found.is_some() {
            return found;
        }
    }
    None
}

#[test]
fn no_order_of_events_gives_a_foreign_answer_or_a_second_run() {
    let (found, played) = explore(Fault::None, DEPTH);
    assert_eq!(found, None);
    assert!(played > 100_000, "only {played} orders were played");
}

#[test]
fn each_planted_fault_is_found() {
    for (fault, why) in [
        (Fault::IdNotCompared, "an answer went to another caller"),
        (
            Fault::ConnectionUsedTwice,
            "a request that was refused runs",
        ),
        (Fault::WrittenCountsAsUnsent, "a request ran twice"),
        (Fault::BrokenIsRepeated, "a request ran twice"),
    ] {
        let (found, _) = explore(fault, FAULT_DEPTH);
        let (order, broken) = found.unwrap_or_else(|| panic!("{fault:?} is not found"));
        assert_eq!(broken, why, "{fault:?} by {order:?}");
    }
}

/// The id that an answer names is the second net under the pool: a connection that was wrongly kept harms nobody.
#[test]
fn a_connection_that_is_kept_after_a_timeout_gives_no_foreign_answer() {
    let (found, _) = explore(Fault::KeptAfterTimeout, FAULT_DEPTH);
    assert_eq!(found, None);
}
