//! The items of one route that wait for a gateway, in the order in which they should be run.

use crate::lease_table::ItemKey;
use compact_str::CompactString;
use std::collections::BTreeSet;

/// One queued item, ordered by when it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuedItem {
    /// When its result is due, by the head's clock.
    pub(crate) due: u64,
    pub(crate) item: ItemKey,
}

/// How soon an item should be run, compared with those of other queues: items that can still be in
/// time before late ones, and those due first at the front. Smaller is more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    late: bool,
    rank: u64,
}

/// How long a run is assumed to take before any was measured.
const INITIAL_RUN_MS: u64 = 500;
/// The longest run that the estimate follows: one that hung tells nothing about the next.
const MAX_RUN_MS: u64 = 60_000;
/// The weight of the newest run in the moving average: one part in so many.
const RUN_WEIGHT: u64 = 8;

/// The queue of a route.
#[derive(Debug)]
pub(crate) struct RouteQueue {
    pub(crate) host: CompactString,
    pub(crate) route: CompactString,
    queue: BTreeSet<QueuedItem>,
    /// A moving average of the time from lease to result.
    run_ms: u64,
}

impl RouteQueue {
    pub(crate) fn new(host: CompactString, route: CompactString) -> Self {
        Self {
            host,
            route,
            queue: BTreeSet::new(),
            run_ms: INITIAL_RUN_MS,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub(crate) fn push(&mut self, item: QueuedItem) {
        self.queue.insert(item);
    }

    pub(crate) fn remove(&mut self, item: &QueuedItem) {
        self.queue.remove(item);
    }

    /// Takes the time of a run from lease to result into the estimate.
    pub(crate) fn record_run(&mut self, ms: u64) {
        self.run_ms = (self.run_ms * (RUN_WEIGHT - 1) + ms.min(MAX_RUN_MS)) / RUN_WEIGHT;
    }

    /// The urgency of the next item to run. Comparable between queues whose clocks differ.
    pub(crate) fn urgency(&self, clock: u64) -> Option<Urgency> {
        let due = self.next(clock)?.due;
        Some(if due >= self.still_in_time(clock) {
            Urgency {
                late: false,
                rank: due.saturating_sub(clock),
            }
        } else {
            Urgency {
                late: true,
                rank: u64::MAX - clock.saturating_sub(due),
            }
        })
    }

    /// An item that is due from this time on can still be in time.
    fn still_in_time(&self, clock: u64) -> u64 {
        clock.saturating_add(self.run_ms / 2)
    }

    fn next(&self, clock: u64) -> Option<QueuedItem> {
        let first = QueuedItem {
            due: self.still_in_time(clock),
            item: ItemKey { job: 0, index: 0 },
        };
        self.queue
            .range(first..)
            .next()
            .or_else(|| self.queue.first())
            .copied()
    }

    /// Takes the next item to run: the one due first of those that can still be in time, or else
    /// the one due first of all. An item that is certainly late is worth less, however late it is:
    /// run first, it would make all others late too.
    pub(crate) fn pop(&mut self, clock: u64) -> Option<QueuedItem> {
        let next = self.next(clock)?;
        self.queue.remove(&next);
        Some(next)
    }
}
