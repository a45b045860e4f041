//! All client connections that are open, and which of them is closed: for being overdue, or for want of capacity.

use crate::connection_state::{ConnectionState, Stage, Timeouts, CLOSE_DELAY};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A connection that has sent nothing for so long may be closed for want of capacity: a client usually sends its request
/// at once, and a response is out by then.
pub const MIN_EVICTION_AGE: Duration = Duration::from_millis(100);

/// What can be done for a connection that finds no capacity.
#[derive(Debug, PartialEq, Eq)]
pub enum Eviction {
    /// One that nobody waits for is being closed.
    UnderWay,
    /// None may be closed yet, but one will have to send something soon or be closed.
    Later,
    /// Each has a request that is being answered.
    Impossible,
}

/// Which connection is closed first: the lower the earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// It has not sent a complete request.
    WithoutRequest,
    /// It waits between requests.
    Idle,
    /// It is too young to be closed.
    TooYoung,
}

/// All connections that are open.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    timeouts: Rc<Cell<Timeouts>>,
    open: RefCell<HashMap<u64, Rc<ConnectionState>>>,
    /// The number of the next connection.
    next_number: Cell<u64>,
}

impl ConnectionTable {
    /// How long connections are waited for from now on.
    pub fn set_timeouts(&self, timeouts: Timeouts) {
        self.timeouts.set(timeouts);
    }

    /// How long connections are waited for.
    pub fn timeouts(&self) -> Timeouts {
        self.timeouts.get()
    }

    /// A connection was accepted: the number under which it is removed, and its state.
    pub fn insert(&self) -> (u64, Rc<ConnectionState>) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let state = Rc::new(ConnectionState::new(Rc::clone(&self.timeouts)));
        self.open.borrow_mut().insert(number, Rc::clone(&state));
        (number, state)
    }

    /// It is closed.
    pub fn remove(&self, number: u64) {
        self.open.borrow_mut().remove(&number);
    }

    /// Connections that are open.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Closes those whose request was not received in time, whose client doesn't read its response, or that are idle for
    /// longer than they may be.
    pub fn close_overdue(&self) {
        let timeouts = self.timeouts.get();
        for state in self.open.borrow().values() {
            let is_due = match state.stage() {
                Stage::ReceivingRequest(since) => since.elapsed() >= timeouts.request + CLOSE_DELAY,
                Stage::WritingResponse(since) => since.elapsed() >= timeouts.write,
                Stage::Idle(since) => timeouts.idle.is_some_and(|most| since.elapsed() >= most),
                Stage::Responding => state.is_past_deadline(),
            };
            if is_due {
                state.evict();
            }
        }
    }

    /// Closes the connection that has gone longest without a complete request, or else the one idle for longest.
    pub fn evict_one(&self) -> Eviction {
        let open = self.open.borrow();
        let ranked = open
            .values()
            .filter_map(|state| Some((eviction_rank(state)?, state)));
        match ranked.min_by_key(|(rank, _)| *rank) {
            Some(((EvictionRank::TooYoung, _), _)) => Eviction::Later,
            Some((_, state)) => {
                state.evict();
                Eviction::UnderWay
            }
            None => Eviction::Impossible,
        }
    }
}

/// The rank of a connection, and since when it is in its stage; none if it is not closed for want of capacity.
fn eviction_rank(state: &ConnectionState) -> Option<(EvictionRank, Instant)> {
    let (rank, since) = match state.stage() {
        Stage::ReceivingRequest(since) => (EvictionRank::WithoutRequest, since),
        Stage::Idle(since) => (EvictionRank::Idle, since),
        Stage::Responding | Stage::WritingResponse(_) => return None,
    };
    if since.elapsed() >= MIN_EVICTION_AGE {
        Some((rank, since))
    } else {
        Some((EvictionRank::TooYoung, since))
    }
}
