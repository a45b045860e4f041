//! When a call that waits is answered, and how.

use super::out_of_contact;
use crate::call::Response;
use crate::control_state::ConfigChange;
use crate::core::pending::{Condition, PendingCall, ReadQuery};
use crate::core::{ControllerCore, QUORUM_CONTACT_TIMEOUT};
use chain_replication::Millis;
use relay_tree::Stamp;
use runner_registry::entry_key;

/// A caller that has waited so long calls elsewhere; well below `AckMs` and beyond one change of
/// the view.
pub(super) const COMMIT_TIMEOUT: Millis = 3_500;
/// A runner gives a call up after a second, and goes to the next controller.
const DRAIN_TIMEOUT: Millis = 700;

pub(super) fn unclear() -> Response {
    Response::error(
        503,
        1313,
        "whether it was taken is open: send it again unchanged",
    )
}

/// A runner drains or has left, and too few controllers know.
pub(super) fn too_few_know() -> Response {
    Response::error(503, 1321, "too few other controllers know of it yet")
}

impl ControllerCore {
    /// A majority has answered whether the view is the newest.
    pub(in crate::core) fn view_confirmed(&mut self, of: u64, ok: bool) {
        for pending in &mut self.pending_calls {
            if let Condition::ReadConfirmed {
                token, confirmed, ..
            } = &mut pending.waits_for
            {
                if *token == of {
                    *confirmed = ok;
                    if !ok {
                        // It is answered at once, as what has waited too long is.
                        pending.since = 0;
                    }
                }
            }
        }
    }

    /// What was confirmed of the view before is not known of the next one.
    pub(in crate::core) fn forget_confirmations(&mut self) {
        for pending in &mut self.pending_calls {
            if let Condition::ReadConfirmed { confirmed, .. } = &mut pending.waits_for {
                (*confirmed, pending.since) = (false, 0);
            }
        }
    }

    /// Answers those for whom what they wait for has become true, or too late.
    pub(in crate::core) fn answer_pending(&mut self, now: Millis) {
        if self.pending_calls.is_empty() {
            return;
        }
        for pending in std::mem::take(&mut self.pending_calls) {
            match self.response_to(now, &pending) {
                None => self.pending_calls.push(pending),
                Some(response) => self.respond(pending.id, response),
            }
        }
    }

    /// The answer to a call that waits; none while it is open.
    fn response_to(&self, now: Millis, pending: &PendingCall) -> Option<Response> {
        let waited_for = |timeout: Millis| now > pending.since + timeout;
        match &pending.waits_for {
            Condition::ConfigApplied { change, number } => {
                self.config_response(change, *number, waited_for(COMMIT_TIMEOUT))
            }
            Condition::ReadConfirmed {
                query,
                confirmed,
                number,
                ..
            } => {
                let committed = self.chain.committed() >= *number.max(&self.chain.last_received());
                if *confirmed && committed && self.chain.is_tail() {
                    return Some(self.read_response(query));
                }
                let over = !self.chain.is_tail() || waited_for(QUORUM_CONTACT_TIMEOUT);
                over.then(out_of_contact)
            }
            Condition::ConflictCommitted {
                base_version,
                digest,
                number,
            } => {
                let over = waited_for(COMMIT_TIMEOUT);
                self.conflict_response(*base_version, digest, *number, over)
            }
            Condition::RunRecorded { id, stamp, record } => {
                self.run_recorded_response(id, *stamp, *record, waited_for(DRAIN_TIMEOUT))
            }
            Condition::RolloutBegun {
                service,
                target,
                number,
            } => {
                let waited_ms = now.saturating_sub(pending.since);
                self.rollout_begun_response(service, target, *number, waited_ms)
            }
            Condition::PlacementCommitted { number } => {
                if self
                    .placement
                    .as_ref()
                    .is_some_and(|map| map.number >= *number)
                {
                    return Some(Response::ok());
                }
                let message = "whether it was taken is open: send it again";
                waited_for(COMMIT_TIMEOUT).then(|| Response::error(503, 1313, message))
            }
        }
    }

    fn run_recorded_response(
        &self,
        id: &str,
        stamp: Stamp,
        record: Stamp,
        waited_too_long: bool,
    ) -> Option<Response> {
        // Looked up first, since it costs less: with thousands of calls it is asked often.
        let is_recorded = self.is_run_recorded(id, record);
        if !is_recorded && !waited_too_long {
            return None;
        }
        if !self.majority_has(&entry_key(id), stamp) {
            return waited_too_long.then(too_few_know);
        }
        if !is_recorded {
            return Some(Response::error(503, 1322, "too few disks have it yet"));
        }
        Some(Response::ok())
    }

    fn config_response(
        &self,
        change: &ConfigChange,
        number: u64,
        waited_too_long: bool,
    ) -> Option<Response> {
        let is_active = self.active_config_version() >= change.version;
        let leads = self.chain.is_head();
        let accepted = self
            .chain
            .state_machine()
            .accepted_version(change.base_version, &change.digest);
        let is_accepted = accepted == Some(change.version);
        // That its version applies proves nothing by itself: another controller may lead by now,
        // and may have accepted another change under the same version.
        let is_committed = self.acknowledgeable() >= number;
        if is_active && is_accepted && is_committed && leads {
            return Some(Response::ok());
        }
        (!is_accepted || !leads || waited_too_long).then(unclear)
    }

    fn read_response(&self, query: &ReadQuery) -> Response {
        if let ReadQuery::Rollout(service) = query {
            return self.rollout_response(service);
        }
        match &self.chain.state_machine().config {
            Some((_, body)) => Response::json(body.clone()),
            None => Response::error(404, 1314, "there is no configuration yet"),
        }
    }

    /// The answer to a change that lost; none while what it lost to is not committed yet.
    fn conflict_response(
        &self,
        base_version: u64,
        digest: &[u8; 32],
        number: u64,
        waited_too_long: bool,
    ) -> Option<Response> {
        let state = self.chain.state_machine();
        let may_be_accepted = state.accepted_version(base_version, digest).is_some()
            || state.config_version() == base_version;
        if self.can_commit() && !may_be_accepted && self.acknowledgeable() >= number {
            let message = format!(
                "version {} is in place, not {base_version}",
                state.config_version()
            );
            return Some(Response::error(412, 1311, &message));
        }
        (may_be_accepted || !self.chain.is_head() || waited_too_long).then(unclear)
    }
}
