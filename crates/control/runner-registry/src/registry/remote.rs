//! What other controllers publish of runners.

use super::{Registry, TrackedRunner};
use crate::entry::id_from_key;
use crate::runner::{Runner, RunnerState};
use crate::stamp;
use relay_tree::{Ms, StateEntry};

impl Registry {
    /// An entry of the state table has changed. Entries that this controller published itself
    /// change nothing; those of other keys, and those that are no runner, are ignored.
    pub fn apply_remote_entry(&mut self, now: Ms, entry: &StateEntry) {
        self.start_grace_period(now);
        let Some(id) = id_from_key(&entry.key) else {
            return;
        };
        let Ok(runner) = Runner::read(entry) else {
            return;
        };
        if !self.runners.contains_key(id) && self.evict_if_full().is_err() {
            return;
        }
        match self.runners.get_mut(id) {
            Some(tracked) => tracked.apply_remote(now, entry, runner),
            None => {
                let tracked = TrackedRunner::new(now, runner, entry.stamp);
                self.runners.insert(id.into(), tracked);
            }
        }
    }
}

impl TrackedRunner {
    fn apply_remote(&mut self, now: Ms, entry: &StateEntry, runner: Runner) {
        // Of two entries with one stamp, from two controllers, the state table has chosen one, and
        // that is the one that comes.
        let known = entry.stamp == self.stamp && self.runner.same_description(&runner);
        if entry.stamp < self.stamp || known {
            return;
        }
        let is_same_run = stamp::generation(entry.stamp) == stamp::generation(self.stamp);
        let known_seqno = if is_same_run { self.runner.seqno } else { 0 };
        if runner.state == RunnerState::Gone {
            self.mark_gone(now, entry.stamp);
            // A heartbeat is news only above what the controller that timed it out had received.
            if !stamp::is_left(entry.stamp) {
                self.runner.seqno = known_seqno.max(runner.seqno);
            }
            return;
        }
        let seqno = known_seqno.max(runner.seqno);
        self.replace(now, Runner { seqno, ..runner }, entry.stamp);
    }
}
