//! What follows from contact with a majority: catching up after a gap, and vouching for the age of
//! what this controller passes on.

use super::ControllerCore;
use chain_replication::Millis;
use relay_tree::Stamp;
use std::net::SocketAddr;

impl ControllerCore {
    /// Another controller has started or come back. What was sent to it before is lost: its state
    /// is requested at once, its view too if none is known here; and, out of contact, a quorum
    /// check is started, as it may complete the majority.
    pub(super) fn controller_appeared(&mut self, now: Millis, controller: SocketAddr) {
        self.last_heartbeat_at = None;
        self.state_table.poll_parent(controller);
        if self.agreement.current_view().is_none() {
            self.agreement.request_view(controller);
        }
        if !self.quorum_contact.holds(now) {
            self.agreement.check_quorum(now);
        }
    }

    /// How old what this controller publishes may be, in milliseconds; none while it doesn't vouch
    /// for it.
    pub fn vouched_age(&self, now: Millis) -> Option<Millis> {
        let age = self.state_table.staleness(now);
        Some(age).filter(|age| self.quorum_contact.caught_up && *age < Millis::MAX)
    }

    /// Looks at the contact, and tells those who follow this state table how old what it has may
    /// be. After a gap it does so only once it has caught up: a majority that confirms the view
    /// does not deliver the runners and configurations that were published during the gap.
    pub(super) fn update_quorum_contact(&mut self, now: Millis) {
        if self
            .quorum_contact
            .update(now, self.agreement.quorum_contact_age(now))
        {
            self.state_table.poll_parents();
        }
        if !self.quorum_contact.caught_up {
            let since = self.quorum_contact.since;
            self.quorum_contact.caught_up =
                since.is_some_and(|since| self.is_in_sync_with_majority(since));
        }
        if let Some(last) = self
            .quorum_contact
            .last
            .filter(|_| self.quorum_contact.caught_up)
        {
            self.state_table
                .report_quorum_contact(now, now.saturating_sub(last));
        }
    }

    fn is_in_sync_with_majority(&self, since: Millis) -> bool {
        self.is_majority(|addr| {
            addr == self.me.addr || self.state_table.is_in_sync_with(addr, since)
        })
    }

    /// Whether a majority of the acceptors have this entry, or a newer one: whichever majority goes
    /// on, one of it knows.
    pub(super) fn majority_has(&self, key: &str, stamp: Stamp) -> bool {
        let holders = self.state_table.peers_with(key, stamp);
        let own = self
            .state_table
            .get(key)
            .is_some_and(|entry| entry.stamp >= stamp);
        self.is_majority(|addr| {
            if addr == self.me.addr {
                own
            } else {
                holders.contains(&addr)
            }
        })
    }

    /// Whether this is true of a majority of the acceptors; not while no view is known.
    fn is_majority(&self, is_true_of: impl Fn(SocketAddr) -> bool) -> bool {
        let Some(current) = self.agreement.current_view() else {
            return false;
        };
        let count = current
            .acceptors
            .iter()
            .filter(|a| is_true_of(a.addr))
            .count();
        count * 2 > current.acceptors.len()
    }
}
