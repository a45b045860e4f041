//! Contact with a majority of the acceptors, over changes of the view.

use super::QUORUM_CONTACT_TIMEOUT;
use chain_replication::Millis;

/// When a majority answered last, and since when without a gap. It decides whether this controller
/// takes heartbeats, times out runners, and vouches for the age of what it passes on. It decides
/// nothing about configurations: these need the agreement's confirmation of the present view.
#[derive(Debug, Default)]
pub(crate) struct QuorumContact {
    /// When the newest question was sent that a majority answered, in any view of this incarnation.
    pub(super) last: Option<Millis>,
    /// When the contact began that holds now.
    pub(super) since: Option<Millis>,
    /// Since then, all that a majority of the acceptors had has come here too.
    pub(super) caught_up: bool,
}

impl QuorumContact {
    /// Whether a majority answered a question sent within the last [`QUORUM_CONTACT_TIMEOUT`].
    pub(crate) fn holds(&self, now: Millis) -> bool {
        self.last
            .is_some_and(|last| now.saturating_sub(last) < QUORUM_CONTACT_TIMEOUT)
    }

    /// A majority answered a question sent `age` milliseconds ago; none if no majority has answered
    /// in this view. True if contact has just begun.
    pub(super) fn update(&mut self, now: Millis, age: Option<Millis>) -> bool {
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
