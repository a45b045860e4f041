//! Pending fetches of gateways: each is answered once there is an item, or when its time is over.

use batch::wire::{FetchRequest, MAX_WAIT_MS};
use chain_replication::Millis;
use std::collections::VecDeque;

/// The most pending fetches: one a gateway, and some that their gateways have given up.
const MAX_FETCHES: usize = 1_024;
/// However many fetches are pending, each gets so many items where there are: a message costs more
/// than an item.
const MIN_SHARE: usize = 4;

/// One pending fetch.
pub(crate) struct PendingFetch<R> {
    pub reply: R,
    pub request: FetchRequest,
    pub until: Millis,
}

/// All pending fetches, the oldest at the front.
pub(crate) struct FetchQueue<R> {
    pending: VecDeque<PendingFetch<R>>,
}

impl<R> FetchQueue<R> {
    pub fn new() -> Self {
        Self {
            pending: VecDeque::new(),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Adds a fetch. If too many are pending it is dropped, and its caller learns that there is no
    /// response.
    pub fn push(&mut self, now: Millis, request: FetchRequest, reply: R) {
        if self.pending.len() < MAX_FETCHES {
            let until = now + Millis::from(request.wait_ms.min(MAX_WAIT_MS));
            self.pending.push_back(PendingFetch {
                reply,
                request,
                until,
            });
        }
    }

    /// Takes the oldest fetch.
    pub fn pop(&mut self) -> Option<PendingFetch<R>> {
        self.pending.pop_front()
    }

    /// Puts back a fetch that got nothing.
    pub fn put_back(&mut self, fetch: PendingFetch<R>) {
        self.pending.push_back(fetch);
    }

    /// Takes the fetches whose time is over, or with a host for which `has_moved` is true.
    pub fn take_expired(
        &mut self,
        now: Millis,
        has_moved: impl Fn(&str) -> bool,
    ) -> Vec<PendingFetch<R>> {
        let mut expired = Vec::new();
        for _ in 0..self.pending.len() {
            let Some(fetch) = self.pending.pop_front() else {
                break;
            };
            let mut demands = fetch.request.demands.iter();
            if demands.any(|demand| has_moved(&demand.host)) || now >= fetch.until {
                expired.push(fetch);
            } else {
                self.pending.push_back(fetch);
            }
        }
        expired
    }
}

/// How many items of a route one fetch may take when so many items are queued and so many fetches
/// are held.
pub(crate) fn fair_share(items: usize, fetches: usize) -> usize {
    items.div_ceil(fetches.max(1)).max(MIN_SHARE)
}
