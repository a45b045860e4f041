//! Connections to runners that nobody uses just now, and how many there are to each.
//!
//! Owns the idle connections; whoever takes one has it alone until it is put back. Promises that no try of a request goes
//! out twice on one connection, and that one that has ended or got bytes unasked is not handed out where that is known.
//! Opens nothing and sends nothing: what a connection is stands behind [`Pooled`].

use crate::connection::upstream::{OpenConnection, Upstream};
use crate::selection::selector::Key;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// A request that may not be repeated goes out only on a connection that was used this lately, or on a new one: a runner
/// that has gone dark since doesn't take a new connection, and then it is known that the request has not run. About as long
/// as a runner that hangs is given at least; an opening costs a way there and back.
const RECENTLY_USED: Duration = Duration::from_millis(250);

/// The number of a connection; no two of a process have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConnectionNumber(pub u64);

/// A connection as the pool sees it.
pub trait Pooled {
    /// Its number.
    fn number(&self) -> ConnectionNumber;
    /// For how long nobody has used it.
    fn idle_for(&self) -> Duration;
    /// Whether it may still be used. `not_idempotent`: for a request that may not be repeated.
    fn is_usable(&mut self, not_idempotent: bool) -> bool;
    /// Whether it is worth keeping.
    fn is_worth_keeping(&mut self) -> bool;
}

struct Of<C> {
    idle: Vec<C>,
    open: Rc<Cell<usize>>,
}

impl<C> Default for Of<C> {
    fn default() -> Self {
        Of {
            idle: Vec::new(),
            open: Rc::default(),
        }
    }
}

/// The connections of the process.
pub struct Pool<C = Upstream> {
    runners: RefCell<HashMap<Key, Of<C>>>,
    last_number: Cell<u64>,
}

impl<C> Default for Pool<C> {
    fn default() -> Self {
        Pool {
            runners: RefCell::default(),
            last_number: Cell::new(0),
        }
    }
}

impl<C: Pooled> Pool<C> {
    /// The connection that was used last, if it is fit. `not_idempotent`: for a request that may not be repeated. `used`: the
    /// connections on which this try was sent before; a second answer to that send may still come on them, and would
    /// bear the same id as the answer to this one.
    pub fn take(&self, key: Key, not_idempotent: bool, used: &[ConnectionNumber]) -> Option<C> {
        let mut all = self.runners.borrow_mut();
        let idle = &mut all.get_mut(&key)?.idle;
        let mut passed_over = Vec::new();
        let found = loop {
            let Some(mut connection) = idle.pop() else {
                break None;
            };
            if used.contains(&connection.number()) {
                passed_over.push(connection);
                continue;
            }
            if not_idempotent && connection.idle_for() >= RECENTLY_USED {
                // The others are older still, and good for requests that may be repeated.
                idle.push(connection);
                break None;
            }
            if connection.is_usable(not_idempotent) {
                break Some(connection);
            }
        };
        idle.extend(passed_over.into_iter().rev());
        found
    }

    /// Keeps a connection for the next request.
    pub fn put(&self, key: Key, connection: C) {
        self.runners
            .borrow_mut()
            .entry(key)
            .or_default()
            .idle
            .push(connection);
    }

    /// Connections that are open to a runner, used or not.
    pub fn open(&self, key: Key) -> usize {
        self.runners
            .borrow()
            .get(&key)
            .map_or(0, |of| of.open.get())
    }

    /// One more connection to a runner.
    pub fn count_connection(&self, key: Key) -> OpenConnection {
        self.last_number.set(self.last_number.get() + 1);
        let number = ConnectionNumber(self.last_number.get());
        OpenConnection::new(
            &self.runners.borrow_mut().entry(key).or_default().open,
            number,
        )
    }

    /// Nothing is sent to the runner any more.
    pub fn close(&self, key: Key) {
        if let Some(of) = self.runners.borrow_mut().get_mut(&key) {
            of.idle.clear();
        }
    }

    /// Closes those that are kept for too long or have ended, and forgets runners without any.
    pub fn sweep(&self) {
        self.runners.borrow_mut().retain(|_, of| {
            of.idle.retain_mut(Pooled::is_worth_keeping);
            of.open.get() > 0
        });
    }
}
