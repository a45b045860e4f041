//! What other controllers publish of runners.

use super::{Registry, TrackedRunner};
use crate::entry::{id_from_key, LEFT_STAMP};
use crate::runner::{Runner, RunnerState};
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
                let gone_since = (runner.state == RunnerState::Gone).then_some(now);
                let stamp = entry.stamp;
                let tracked = TrackedRunner {
                    runner,
                    stamp,
                    last_heard_at: now,
                    gone_since,
                };
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
        self.stamp = entry.stamp;
        if runner.state == RunnerState::Gone {
            // A heartbeat is news only above what the controller that timed it out had received.
            if entry.stamp != LEFT_STAMP {
                self.runner.seqno = self.runner.seqno.max(runner.seqno);
            }
            self.runner.state = RunnerState::Gone;
            self.gone_since.get_or_insert(now);
            return;
        }
        let seqno = self.runner.seqno.max(runner.seqno);
        self.runner = Runner { seqno, ..runner };
        self.gone_since = None;
        self.last_heard_at = now;
    }
}
