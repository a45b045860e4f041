//! Who waits for a runner, in order: by rank, then by age. Items come behind all requests.

use compact_str::CompactString;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// The rank of an item of a batch job: behind any request.
pub const ITEMS: u32 = u32::MAX;

type Rank = (u32, u64, u64);
type WaitingRequests = BTreeMap<Rank, (CompactString, Rc<Notify>)>;

/// Those who wait.
#[derive(Default)]
pub struct Queue {
    waiting: Rc<RefCell<WaitingRequests>>,
    count: Cell<u64>,
}

/// A place among those who wait, until it is dropped.
pub struct Place {
    waiting: Rc<RefCell<WaitingRequests>>,
    rank: Rank,
    called: Rc<Notify>,
}

impl Queue {
    /// A place for one of this rank that came then and looks for a runner of this service.
    pub fn enter(&self, svc: CompactString, rank: u32, came: u64) -> Place {
        let rank = (rank, came, self.count.get());
        self.count.set(rank.2 + 1);
        let called = Rc::new(Notify::new());
        self.waiting
            .borrow_mut()
            .insert(rank, (svc, Rc::clone(&called)));
        Place {
            waiting: Rc::clone(&self.waiting),
            rank,
            called,
        }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Calls the first so many that look for a runner of this service.
    pub fn call(&self, svc: &str, most: usize) {
        let waiting = self.waiting.borrow();
        let those = waiting.values().filter(|(of, _)| of == svc);
        those.take(most).for_each(|(_, called)| called.notify_one());
    }

    /// Calls all.
    pub fn call_all(&self) {
        self.waiting
            .borrow()
            .values()
            .for_each(|(_, called)| called.notify_one());
    }
}

impl Place {
    /// Comes back once it is called.
    pub async fn turn(&self) {
        self.called.notified().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.waiting.borrow_mut().remove(&self.rank);
    }
}
