//! Anti-entropy: now and then a child compares all that it holds with its parent, by the sums of a
//! digest, and drops what the parent doesn't know.
//!
//! An entry that only a lost controller knew, or one that a parent has dropped by its own
//! comparison, is sent by nobody again and would stay for good. Only settled entries are dropped: a
//! newer one may still be on its way to the parent.

use std::collections::VecDeque;

use crate::message::BUCKETS;
use crate::parent::ParentLink;
use crate::state_table::{Follow, Role, StateTable};
use crate::{Ms, MAX_STALENESS_MS};

/// How long a parent has been followed before the first comparison, in ms; a random part of as much
/// is added.
const FIRST_DELAY_MS: Ms = 10_000;
/// From one comparison to the next; a random part of half as much is added. A digest takes 2 KiB
/// up, and the buckets that differ come down.
const INTERVAL_MS: Ms = 30_000;
/// An entry that came here so long ago has come to every fresh parent too: several times
/// [`crate::MAX_STALENESS_MS`].
const SETTLED_MS: Ms = 10_000;
/// The key of the item that says which buckets are the same at the parent; a control character, so
/// that no entry has it.
pub(crate) const EQUAL_BUCKETS_KEY: &str = "\u{1}same";

/// A sequence number of this table and when it was the newest.
#[derive(Clone, Copy, Debug)]
struct TimedSeq {
    at: Ms,
    seq: u64,
}

/// When the next comparison is due, and which entries are old enough to be dropped.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    due: Ms,
    history: VecDeque<TimedSeq>,
}

impl Schedule {
    /// The newest sequence number that is settled; 0 if none is.
    pub(crate) fn settled_seq(&self, now: Ms) -> u64 {
        let settled = |it: &&TimedSeq| now.saturating_sub(it.at) >= SETTLED_MS;
        self.history
            .iter()
            .rev()
            .find(settled)
            .map_or(0, |it| it.seq)
    }

    fn record(&mut self, now: Ms, seq: u64) {
        let due = |last: &TimedSeq| now.saturating_sub(last.at) >= SETTLED_MS / 2;
        if self.history.back().is_none_or(due) {
            self.history.push_back(TimedSeq { at: now, seq });
            // Two are always older than half of the span: the older one of three is settled.
            if self.history.len() > 4 {
                self.history.pop_front();
            }
        }
    }
}

/// Encodes which buckets are the same, a byte each.
pub(crate) fn encode_equal_buckets(equal: &[bool; BUCKETS]) -> Vec<u8> {
    equal.iter().map(|equal| u8::from(*equal)).collect()
}

/// Decodes which buckets are the same; none if the length is another.
pub(crate) fn decode_equal_buckets(bytes: &[u8]) -> Option<Box<[bool; BUCKETS]>> {
    let equal: Vec<bool> = bytes.iter().map(|byte| *byte != 0).collect();
    equal.into_boxed_slice().try_into().ok()
}

impl StateTable {
    /// Another parent is followed from now on.
    pub(crate) fn postpone_comparison(&mut self, now: Ms) {
        self.anti_entropy.due = now + FIRST_DELAY_MS + self.jitter(now, FIRST_DELAY_MS);
    }

    /// Begins a comparison if one is due and the parent is fit for it.
    pub(crate) fn tick_anti_entropy(&mut self, now: Ms) {
        self.anti_entropy.record(now, self.table.seq());
        let early = now < self.anti_entropy.due;
        if self.role == Role::Root
            || self.follow != Follow::First
            || early
            || self.choice.trial.is_some()
        {
            return;
        }
        let (current, jitter) = (self.choice.current, self.jitter(now, INTERVAL_MS / 2));
        let link = self
            .links
            .iter_mut()
            .find(|link| Some(link.addr) == current);
        // Judged by its staleness, which it renews only while it lacks nothing itself: a parent
        // that is still receiving has less than we do.
        let fit = |link: &&mut ParentLink| {
            link.is_fresh(now) && link.staleness(now) <= MAX_STALENESS_MS && link.is_in_sync()
        };
        if let Some(link) = link.filter(fit).filter(|link| link.received_seq > 0) {
            link.begin_comparison();
            self.anti_entropy.due = now + INTERVAL_MS + jitter;
        }
    }
}
