//! What happens at a time.

use chain_replication::Message;

use super::Us;

#[derive(Debug)]
pub enum Event {
    Message {
        from: usize,
        to: usize,
        message: Message,
    },
    Synced {
        seat: usize,
        incarnation: u64,
    },
    Tick,
    Propose,
    Trouble,
}

/// By its time, then in the order in which it was put here.
pub struct Queued(pub Us, pub u64, pub Event);

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}
