//! The calls that wait for a reply from one address, by id. No I/O: replies, failures and callers
//! that leave come in, the waiter to be told comes out.
//!
//! An id is given once over all connections to the address: a reply that comes twice, late, or to a
//! call of an earlier connection finds no waiter.

use std::collections::HashMap;

/// The calls that wait for a reply; `W` receives the outcome.
#[derive(Debug)]
pub struct PendingCalls<W> {
    waiters: HashMap<u32, W>,
    last_id: u32,
}

impl<W> Default for PendingCalls<W> {
    fn default() -> Self {
        PendingCalls {
            waiters: HashMap::new(),
            last_id: 0,
        }
    }
}

impl<W> PendingCalls<W> {
    /// The id that the next call gets: one that no call waits under, never 0.
    pub fn next_id(&self) -> u32 {
        let mut id = self.last_id.wrapping_add(1);
        while id == 0 || self.waiters.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        id
    }

    /// A call with the id that [`PendingCalls::next_id`] gave waits from now on.
    pub fn insert(&mut self, id: u32, waiter: W) {
        self.last_id = id;
        self.waiters.insert(id, waiter);
    }

    /// A reply with this id has come, or its caller leaves: the waiter, if the call still waits.
    pub fn take(&mut self, id: u32) -> Option<W> {
        self.waiters.remove(&id)
    }

    /// The connection has ended: all waiters with their ids.
    pub fn take_all(&mut self) -> impl Iterator<Item = (u32, W)> {
        std::mem::take(&mut self.waiters).into_iter()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
