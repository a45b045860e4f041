//! Calls of runners and operators: what is answered at once, and what waits until it is true.

mod config;
mod outcome;
mod retirement;
mod rollout;
mod runners;

use super::pending::{Condition, PendingCall};
use super::{ControllerCore, Effect, QUORUM_CONTACT_TIMEOUT};
use crate::call::{Call, CallId, Response};
use crate::time::Time;
use chain_replication::{Member, Millis};
use std::net::SocketAddr;

/// The status of a call whose content is rejected.
const INVALID: u16 = 400;
/// Most calls that wait for their answer.
const MAX_PENDING: usize = 4_096;

/// What becomes of a call; an error is answered at once.
type Answer = Result<Outcome, Response>;

/// What becomes of a call that is taken up.
enum Outcome {
    Respond(Response),
    WaitFor(Condition),
}

/// The member of the chain that a call is for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ChainEnd {
    Head,
    Tail,
}

fn out_of_contact() -> Response {
    Response::error(503, 1312, "out of touch with the other controllers")
}

fn under_repair() -> Response {
    Response::error(503, 1310, "the chain is being repaired")
}

impl ControllerCore {
    /// A call that came to this controller. The answer comes as [`Effect::Respond`] with the same
    /// id, perhaps later.
    pub fn handle_call(&mut self, time: Time, id: CallId, call: Call) {
        let now = time.now;
        self.unix_ms = time.unix_ms;
        let answer = match call {
            Call::ReplaceConfig { base_version, body } => {
                self.replace_config(now, base_version, &body)
            }
            Call::GetConfig => self.get_config(now),
            Call::RunnerHeartbeat { id, body } => self.runner_heartbeat(now, &id, &body),
            Call::RunnerLeave { id } => self.runner_leave(now, &id),
            Call::RetireStore { node } => self.retire_store(now, &node),
            Call::GetRetirement { node } => self.get_retirement(now, &node),
            Call::BeginRollout { body } => self.begin_rollout(now, &body),
            Call::GetRollout { service } => self.get_rollout(now, service),
            Call::GetStatus => Ok(Outcome::Respond(crate::status::respond(self, now))),
        };
        match answer {
            Ok(Outcome::WaitFor(waits_for)) => {
                self.pending_calls.push(PendingCall {
                    id,
                    since: now,
                    waits_for,
                });
            }
            Ok(Outcome::Respond(response)) | Err(response) => self.respond(id, response),
        }
        self.work_off_effects(now);
    }

    fn respond(&mut self, call: CallId, response: Response) {
        self.rejections.calls += u64::from(response.status == INVALID);
        self.effects.push(Effect::Respond { call, response });
    }

    /// Sends the caller to the head or the tail, if this controller isn't it in contact with a
    /// majority: to another one that is reachable, or else to try again.
    fn require_end(&self, now: Millis, end: ChainEnd, path: &str) -> Result<(), Response> {
        let is_it = match end {
            ChainEnd::Head => self.chain.is_head(),
            ChainEnd::Tail => self.chain.is_tail(),
        };
        if is_it && self.has_quorum_contact(now) {
            return Ok(());
        }
        let members = self
            .chain
            .view()
            .map(|v| v.members.as_slice())
            .unwrap_or_default();
        let other = match end {
            ChainEnd::Head => members.first(),
            ChainEnd::Tail => members.last(),
        };
        // A redirect to a member that this controller itself can't reach would not help.
        let is_reachable = |m: &&Member| {
            let silent_for = self.peers.silent_for(now, m.addr);
            silent_for.is_some_and(|s| s < QUORUM_CONTACT_TIMEOUT)
        };
        let other = other
            .filter(|m| m.addr != self.me.addr)
            .filter(is_reachable);
        Err(other.map_or_else(out_of_contact, |m| {
            Response::redirect(self.ctl_of(m.addr), path)
        }))
    }

    fn ctl_of(&self, peer: SocketAddr) -> SocketAddr {
        let port = self.settings.ctl.map_or(peer.port(), |ctl| ctl.port());
        SocketAddr::new(peer.ip(), port)
    }

    fn may_wait(&self) -> bool {
        self.pending_calls.len() < MAX_PENDING
    }
}
