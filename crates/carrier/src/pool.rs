//! Connections to runners that nobody uses just now, and how many there are to each.

use crate::choice::Key;
use crate::upstream::{Counted, Upstream};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// A request that may not be repeated goes out only on a connection that was used this lately, or on a new one: a runner
/// that has gone dark since doesn't take a new connection, and then it is known that the request has not run.
const LATELY: Duration = Duration::from_secs(3);

#[derive(Default)]
struct Of {
    idle: Vec<Upstream>,
    open: Rc<Cell<usize>>,
}

/// The connections of the process.
#[derive(Default)]
pub struct Pool(RefCell<HashMap<Key, Of>>);

impl Pool {
    /// The connection that was used last, if it is fit. `careful`: for a request that may not be repeated.
    pub fn take(&self, key: Key, careful: bool) -> Option<Upstream> {
        let mut all = self.0.borrow_mut();
        let idle = &mut all.get_mut(&key)?.idle;
        while let Some(mut upstream) = idle.pop() {
            if careful && upstream.idle_for() >= LATELY {
                // The others are older still, and good for requests that may be repeated.
                idle.push(upstream);
                return None;
            }
            if upstream.is_fit(careful) {
                return Some(upstream);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    pub fn put(&self, key: Key, upstream: Upstream) {
        self.0.borrow_mut().entry(key).or_default().idle.push(upstream);
    }

    /// Connections that are open to a runner, used or not.
    pub fn open(&self, key: Key) -> usize {
        self.0.borrow().get(&key).map_or(0, |of| of.open.get())
    }

    /// One more connection to a runner.
    pub fn counted(&self, key: Key) -> Counted {
        Counted::new(&self.0.borrow_mut().entry(key).or_default().open)
    }

    /// Nothing is sent to the runner any more.
    pub fn close(&self, key: Key) {
        if let Some(of) = self.0.borrow_mut().get_mut(&key) {
            of.idle.clear();
        }
    }

    /// Closes those that are kept for too long or have ended, and forgets runners without any.
    pub fn sweep(&self) {
        self.0.borrow_mut().retain(|_, of| {
            of.idle.retain_mut(Upstream::is_kept);
            of.open.get() > 0
        });
    }
}
