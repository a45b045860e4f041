//! Gateways that wait for items.

use batch::wire::{FetchRequest, MAX_WAIT_MS};
use chain_replication::Millis;
use std::collections::VecDeque;

/// Calls that may wait: one a gateway and some that were given up.
const MOST: usize = 1_024;
/// However many wait, each gets so many items where there are: a message costs more than an item.
const LEAST_SHARE: usize = 4;

/// One that waits.
pub(crate) struct Fetch<R> {
    pub reply: R,
    pub call: FetchRequest,
    pub until: Millis,
}

/// All that wait, the longest waiting first.
pub(crate) struct Fetches<R> {
    waiting: VecDeque<Fetch<R>>,
}

impl<R> Fetches<R> {
    pub fn new() -> Self {
        Self {
            waiting: VecDeque::new(),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Waits; given back if too many do.
    pub fn push(&mut self, now: Millis, call: FetchRequest, reply: R) -> Option<R> {
        if self.waiting.len() >= MOST {
            return Some(reply);
        }
        let until = now + Millis::from(call.wait_ms.min(MAX_WAIT_MS));
        self.waiting.push_back(Fetch { reply, call, until });
        None
    }

    /// Takes the longest waiting out, with how many still wait behind it.
    pub fn pop(&mut self) -> Option<Fetch<R>> {
        self.waiting.pop_front()
    }

    /// Puts one back that got nothing.
    pub fn put_back(&mut self, fetch: Fetch<R>) {
        self.waiting.push_back(fetch);
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Takes those out whose time is over, or who ask for a host for which `gone` holds.
    pub fn over(&mut self, now: Millis, gone: impl Fn(&str) -> bool) -> Vec<Fetch<R>> {
        let mut over = Vec::new();
        for _ in 0..self.waiting.len() {
            let Some(fetch) = self.waiting.pop_front() else {
                break;
            };
            let moved = fetch.call.wants.iter().any(|want| gone(&want.host));
            if now >= fetch.until || moved {
                over.push(fetch);
            } else {
                self.waiting.push_back(fetch);
            }
        }
        over
    }
}

/// How many items of a route one may take when so many wait and so many ask.
pub(crate) fn share(items: usize, asking: usize) -> usize {
    items.div_ceil(asking.max(1)).max(LEAST_SHARE)
}
