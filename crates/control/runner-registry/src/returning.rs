//! Runs that ended and whose heartbeats keep coming all the same.
//!
//! Late heartbeats of a run that ended come for seconds. Where they go on for longer than that, a
//! process that could not be distinguished from the run has started under its id.

use compact_str::CompactString;
use relay_tree::Ms;
use std::collections::BTreeMap;

/// Heartbeats with rising sequence numbers for so long are no late ones, in milliseconds.
pub(crate) const RETURN_AFTER_MS: Ms = 60_000;
/// Most runs that are watched; others wait until one of them is forgotten.
const MAX_WATCHED: usize = 1_024;

#[derive(Debug)]
struct Watched {
    since: Ms,
    last_at: Ms,
    seqno: u64,
}

/// The runs that are watched, by id.
#[derive(Debug, Default)]
pub(crate) struct ReturningRuns {
    watched: BTreeMap<CompactString, Watched>,
}

impl ReturningRuns {
    /// A heartbeat of a run that ended has come. Whether they have gone on for too long to be late
    /// ones; a pause of more than `max_pause` begins anew.
    pub(crate) fn has_returned(&mut self, now: Ms, id: &str, seqno: u64, max_pause: Ms) -> bool {
        let is_current = |watched: &Watched| now.saturating_sub(watched.last_at) <= max_pause;
        if let Some(watched) = self.watched.get_mut(id).filter(|known| is_current(known)) {
            if seqno <= watched.seqno {
                return false;
            }
            (watched.last_at, watched.seqno) = (now, seqno);
            let has_returned = now.saturating_sub(watched.since) >= RETURN_AFTER_MS;
            if has_returned {
                self.watched.remove(id);
            }
            return has_returned;
        }
        if self.watched.len() >= MAX_WATCHED {
            self.watched.retain(|_, watched| is_current(watched));
        }
        if self.watched.len() < MAX_WATCHED {
            let (since, last_at) = (now, now);
            let watched = Watched {
                since,
                last_at,
                seqno,
            };
            self.watched.insert(id.into(), watched);
        }
        false
    }
}
