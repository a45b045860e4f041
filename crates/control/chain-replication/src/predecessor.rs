//! The link to the predecessor within one view: what was reported to it and what it reported.

use crate::time::Millis;
use crate::view::Member;

/// The link to the predecessor. It begins anew with each view.
#[derive(Debug, Default)]
pub(crate) struct PredecessorLink {
    /// None at the head, and outside the view.
    pub member: Option<Member>,
    /// When the end of our log was last reported.
    pub last_position_sent_at: Option<Millis>,
    /// The newest entry on our disk that was acknowledged.
    pub acknowledged: u64,
    /// It was reported that we and all members after us are in sync.
    pub in_sync_reported: bool,
    /// The newest entry on the predecessor's disk, by its last message.
    pub newest_synced: u64,
}

impl PredecessorLink {
    pub fn new(member: Option<Member>) -> Self {
        PredecessorLink {
            member,
            ..PredecessorLink::default()
        }
    }

    /// Whether the last report of our position is at least this old, or there was none.
    pub fn position_is_older_than(&self, now: Millis, age: Millis) -> bool {
        self.last_position_sent_at
            .is_none_or(|at| now.saturating_sub(at) >= age)
    }
}
