//! Which runners were told where their heartbeats are to go (`BeatUrl`).
//!
//! Runners spread over the controllers by rendezvous hashing, so that a controller that is added
//! takes over its share, and only the runners of one that is lost move. A runner keeps to the
//! address until a heartbeat fails there, and then goes on to any controller. Nothing is said to it
//! twice: one that can't reach its home, where this controller can, would else try in vain with
//! each heartbeat.

use runner_registry::MAX_RUNNERS;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The home that each runner was told last.
#[derive(Debug, Default)]
pub struct HeartbeatHomes {
    /// By the runner's id; at most [`MAX_RUNNERS`].
    named: HashMap<String, SocketAddr>,
}

impl HeartbeatHomes {
    /// Whether a runner that sent a heartbeat here is to be told its home. `was_at_home`: its
    /// heartbeats went there before, so one has failed there.
    pub fn name(&mut self, id: &str, home: SocketAddr, was_at_home: bool) -> bool {
        if self.named.get(id) == Some(&home) {
            return false;
        }
        if self.named.len() >= MAX_RUNNERS {
            // Told once more, they are as if they had just come.
            self.named.clear();
        }
        self.named.insert(id.to_owned(), home);
        !was_at_home
    }

    /// A runner has left.
    pub fn forget(&mut self, id: &str) {
        self.named.remove(id);
    }
}
