//! Contact with a majority of the acceptors, over changes of the view. It decides whether this controller takes
//! heartbeats, judges silent runners, and vouches for the age of what it passes on. It decides nothing about orders:
//! these go by the agreement's own word on the present view.

use super::{Owner, STALE};
use chain_replication::Millis;
use std::net::SocketAddr;

/// When a majority answered last, and since when without a gap.
#[derive(Debug, Default)]
pub(crate) struct QuorumContact {
    /// When the newest question was sent that a majority answered, in any view of this incarnation.
    last: Option<Millis>,
    /// When the contact began that holds now.
    since: Option<Millis>,
    /// Since then, all that a majority of the acceptors had has come here too.
    caught_up: bool,
}

impl QuorumContact {
    /// Whether a majority answered a question sent within the last [`STALE`] milliseconds.
    pub(crate) fn holds(&self, now: Millis) -> bool {
        self.last
            .is_some_and(|last| now.saturating_sub(last) < STALE)
    }

    /// A majority answered a question sent `age` milliseconds ago; none if no majority has answered in this view. True
    /// if contact has just begun.
    fn note(&mut self, now: Millis, age: Option<Millis>) -> bool {
        self.last = self.last.max(age.map(|age| now.saturating_sub(age)));
        if !self.holds(now) {
            *self = QuorumContact {
                last: self.last,
                ..QuorumContact::default()
            };
            return false;
        }
        let begins = self.since.is_none();
        self.since = self.since.or(self.last);
        begins
    }
}

impl Owner {
    /// Another controller has started or come back. What was sent to it before is lost: it is asked at once for what it
    /// has, for the view if none is known here, and, out of contact, all are for their word on the view, as it may make up the majority.
    pub(super) fn came(&mut self, now: Millis, controller: SocketAddr) {
        self.heartbeat_at = None;
        self.state_table.poll_parent(controller);
        if self.agreement.current_view().is_none() {
            self.agreement.request_view(now, controller);
        }
        if !self.contact.holds(now) {
            self.agreement.check_quorum(now);
        }
    }

    /// How old what this controller tells may be; none while it doesn't vouch for it.
    pub fn vouched_age(&self, now: Millis) -> Option<Millis> {
        Some(self.state_table.staleness(now))
            .filter(|age| self.contact.caught_up && *age < Millis::MAX)
    }

    /// Looks at the contact, and says to those who follow this state table how old what it has may be. After a gap it says so
    /// only once it has caught up: a majority's word that the view is the newest says nothing of runners and
    /// configurations that were spread during the gap.
    pub(super) fn tend_contact(&mut self, now: Millis) {
        if self
            .contact
            .note(now, self.agreement.quorum_contact_age(now))
        {
            self.state_table.poll_parents();
        }
        if !self.contact.caught_up {
            self.contact.caught_up = self
                .contact
                .since
                .is_some_and(|since| self.has_what_a_majority_has(since));
        }
        if let Some(last) = self.contact.last.filter(|_| self.contact.caught_up) {
            self.state_table
                .report_quorum_contact(now, now.saturating_sub(last));
        }
    }

    fn has_what_a_majority_has(&self, since: Millis) -> bool {
        let Some(current) = self.agreement.current_view() else {
            return false;
        };
        let has = |addr| addr == self.me.addr || self.state_table.is_in_sync_with(addr, since);
        current.acceptors.iter().filter(|a| has(a.addr)).count() * 2 > current.acceptors.len()
    }

    /// Whether a majority of the acceptors have this entry, or a newer one: whichever majority goes on, one of it knows.
    pub(super) fn majority_has(&self, key: &str, stamp: relay_tree::Stamp) -> bool {
        let Some(current) = self.agreement.current_view() else {
            return false;
        };
        let holders = self.state_table.peers_with(key, stamp);
        let own = self
            .state_table
            .get(key)
            .is_some_and(|entry| entry.stamp >= stamp);
        let has = |addr| {
            if addr == self.me.addr {
                own
            } else {
                holders.contains(&addr)
            }
        };
        current.acceptors.iter().filter(|a| has(a.addr)).count() * 2 > current.acceptors.len()
    }
}
