//! Starts the watch of discovery.

use super::process::Process;
use discovery::{Delivery, ListWatch};
use dispatch_api::Discovery;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

/// What a running watch of discovery is told by.
pub struct DiscoveryWatch {
    /// Versions after which the next watch is to start; with none, the full list is wanted.
    pub requests: mpsc::UnboundedSender<Option<u64>>,
    /// The address of discovery, which a reload may change.
    pub addr: watch::Sender<SocketAddr>,
}

impl Process {
    /// Whether an agent pushes the lists of discovery.
    pub fn lists_are_pushed(&self) -> bool {
        self.config.settings.discovery == Discovery::Pushed
    }

    /// Starts the watch of discovery.
    pub fn watch_discovery(&self) -> DiscoveryWatch {
        let (requests, wanted) = mpsc::unbounded_channel();
        let (addr, current_addr) = watch::channel(self.config.discovery);
        let delivery = if self.lists_are_pushed() {
            Delivery::Pushed
        } else {
            Delivery::OnRequest
        };
        let list_watch = ListWatch {
            addr: current_addr,
            mapper: self.endpoint_mapper(),
            loop_handle: Rc::clone(&self.loop_handle),
            requests: wanted,
            delivery,
        };
        spawn_local(list_watch.run());
        DiscoveryWatch { requests, addr }
    }
}
