//! One runner in a controller's table.

use super::{runner_from_heartbeat, HeartbeatOutcome};
use crate::heartbeat::Heartbeat;
use crate::run_record::{remember_addr, FIRST_SEQNO};
use crate::runner::{Runner, RunnerState};
use crate::stamp;
use relay_tree::{Ms, Stamp};
use std::net::SocketAddr;

#[derive(Debug)]
pub(super) struct TrackedRunner {
    /// As published last, but for `seqno`: the highest received.
    pub(super) runner: Runner,
    /// The stamp of what is published.
    pub(super) stamp: Stamp,
    /// When its last heartbeat came here, or an entry of it.
    pub(super) last_heard_at: Ms,
    /// Since when it is gone.
    pub(super) gone_since: Option<Ms>,
    /// Its first call was received, here or by another controller.
    pub(super) first_call_received: bool,
    /// As in [`RunRecord`](crate::RunRecord).
    pub(super) previous_addrs: Vec<SocketAddr>,
}

impl TrackedRunner {
    pub(super) fn new(now: Ms, runner: Runner, stamp: Stamp) -> Self {
        TrackedRunner {
            first_call_received: runner.seqno <= FIRST_SEQNO,
            gone_since: (runner.state == RunnerState::Gone).then_some(now),
            runner,
            stamp,
            last_heard_at: now,
            previous_addrs: Vec::new(),
        }
    }

    pub(super) fn is_draining(&self) -> bool {
        stamp::is_draining(self.stamp)
    }

    /// The run that this stamp is of is gone. Of a run that was not known here nothing is known but
    /// its stamp.
    pub(super) fn mark_gone(&mut self, now: Ms, stamp: Stamp) {
        if stamp::generation(stamp) != stamp::generation(self.stamp) {
            let unknown = Runner::gone(&self.runner.id, u64::MAX);
            remember_addr(&mut self.previous_addrs, self.runner.addr, unknown.addr);
            self.runner = unknown;
            self.first_call_received = false;
        }
        self.stamp = stamp;
        self.runner.state = RunnerState::Gone;
        self.gone_since.get_or_insert(now);
    }

    /// Replaces what is known of the runner; its address before is remembered if it moved.
    pub(super) fn replace(&mut self, now: Ms, runner: Runner, stamp: Stamp) {
        let is_same_run = stamp::generation(stamp) == stamp::generation(self.stamp);
        self.first_call_received =
            is_same_run && self.first_call_received || runner.seqno <= FIRST_SEQNO;
        remember_addr(&mut self.previous_addrs, self.runner.addr, runner.addr);
        self.runner = runner;
        self.stamp = stamp;
        self.last_heard_at = now;
        self.gone_since = None;
    }

    fn unchanged(&self, draining: bool) -> HeartbeatOutcome {
        HeartbeatOutcome {
            publish: None,
            draining,
            stamp: self.stamp,
        }
    }

    /// A heartbeat of this run, which has not left.
    pub(super) fn heartbeat(
        &mut self,
        now: Ms,
        heartbeat: &Heartbeat,
        owner: u64,
    ) -> HeartbeatOutcome {
        let draining = heartbeat.draining;
        // That a runner drains is true whenever it was said, so a late call counts for that.
        let news_of_draining = draining && !self.is_draining();
        if heartbeat.seqno < self.runner.seqno && !news_of_draining {
            return self.unchanged(draining);
        }
        self.last_heard_at = now;
        if heartbeat.seqno == self.runner.seqno && !news_of_draining {
            return self.unchanged(draining);
        }
        let drains = draining || self.is_draining();
        let mut runner = runner_from_heartbeat(&self.runner.id, heartbeat, owner, drains);
        runner.seqno = runner.seqno.max(self.runner.seqno);
        let is_news = self.gone_since.is_some()
            || self.runner.state != runner.state
            || !self.runner.same_description(&runner);
        if !is_news {
            self.runner.seqno = runner.seqno;
            return self.unchanged(draining);
        }
        let entry = runner.state_entry(stamp::generation(self.stamp));
        self.replace(now, runner, entry.stamp);
        HeartbeatOutcome {
            stamp: entry.stamp,
            publish: Some(entry),
            draining,
        }
    }
}
