//! A process that is sent entries: the next member, or at the tail one that is joining.

use crate::snapshot_sender::SnapshotSender;
use crate::time::Millis;
use crate::view::Member;

/// What was not acknowledged for this long is sent again: many syncs and round trips, far below the
/// time of a view change.
const RESEND_MS: Millis = 300;
/// Bytes a millisecond that a link, and a member's share of a processor, carry at least: entries of
/// megabytes are not sent again while the first copy of them is still in flight.
const MIN_LINK_BYTES_PER_MS: u64 = 8_000;
/// Each time in vain doubles the wait before the next, up to so many times: on a link that is full,
/// more of the same only makes it fuller.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// A process that is sent entries, and what is known of its progress in this view.
#[derive(Debug)]
pub(crate) struct Successor {
    pub peer: Member,
    pub joining: bool,
    /// The next entry to send; none until it has reported its position.
    pub next: Option<u64>,
    /// It has received all entries up to this one, by its last message.
    pub received: u64,
    /// All entries up to this one are on its disk.
    pub acknowledged: u64,
    /// It and all members after it are in sync in this view.
    pub in_sync: bool,
    /// The snapshot that is being sent to it.
    pub snapshot: Option<SnapshotSender>,
    /// One that was being sent in an earlier view: it goes on if the receiver has its beginning.
    pub earlier_snapshot: Option<SnapshotSender>,
    /// When something was last sent to it or came from it.
    last_contact_at: Option<Millis>,
    /// How often the same was sent again since it last took something new.
    pub resends: u32,
}

impl Successor {
    /// The next member of the chain.
    pub fn member(peer: &Member) -> Successor {
        Successor {
            peer: peer.clone(),
            joining: false,
            next: None,
            received: 0,
            acknowledged: 0,
            in_sync: false,
            snapshot: None,
            earlier_snapshot: None,
            last_contact_at: None,
            resends: 0,
        }
    }

    /// A process that is joining behind the tail.
    pub fn joining(peer: &Member) -> Successor {
        Successor {
            joining: true,
            ..Successor::member(peer)
        }
    }

    /// How long it may be idle before the same is sent again, with so many bytes in flight to it.
    pub fn resend_after(&self, bytes_in_flight: u64) -> Millis {
        let doublings = self.resends.min(MAX_BACKOFF_DOUBLINGS);
        (RESEND_MS + bytes_in_flight / MIN_LINK_BYTES_PER_MS) << doublings
    }

    /// Something was sent to it or came from it.
    pub fn in_contact(&mut self, now: Millis) {
        self.last_contact_at = Some(now);
    }

    /// How long nothing was sent to it nor came from it.
    pub fn idle(&self, now: Millis) -> Millis {
        self.last_contact_at
            .map_or(Millis::MAX, |at| now.saturating_sub(at))
    }

    /// It has received all entries up to this one.
    pub fn has_received(&mut self, number: u64) {
        if number != self.received {
            self.resends = 0;
        }
        self.received = number;
    }

    /// Takes over the snapshot that was being sent to the same process in the view before.
    pub fn take_over_snapshot(&mut self, before: &mut [Successor]) {
        let same = before
            .iter_mut()
            .find(|other| other.peer.is_same_process(&self.peer));
        let snapshot =
            same.and_then(|other| other.snapshot.take().or(other.earlier_snapshot.take()));
        self.earlier_snapshot = snapshot.map(SnapshotSender::for_new_view);
    }
}
