//! The reload of both configuration files on SIGHUP.

use crate::config_files::{ConfigFiles, LoadedConfig};
use crate::log::Logs;
use dispatcher_state::Input;
use event_loop::LoopHandle;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tracing::{info, warn};

/// What a reload reads, and what it changes.
pub struct Reload {
    pub files: ConfigFiles,
    pub logs: Logs,
    pub loop_handle: Rc<LoopHandle>,
    /// The classes of requests as they were at the start, by position.
    pub classes: Vec<String>,
    pub discovery: watch::Sender<SocketAddr>,
}

impl Reload {
    /// Reads both files again at each SIGHUP.
    pub async fn run(self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.files.load() {
                Ok(loaded) => self.apply(loaded),
                Err(e) => warn!("the configuration stays as it was: {e}"),
            }
        }
    }

    /// Applies the address of discovery, the degradation levels and what is logged. Everything else takes effect at
    /// the next start, since open flows and what is known of targets rest on it.
    fn apply(&self, loaded: LoadedConfig) {
        let LoadedConfig {
            platform,
            operator,
            levels,
        } = loaded;
        info!(discovery = %platform.discovery, "the configuration was read again");
        self.discovery.send_if_modified(|addr| {
            std::mem::replace(addr, platform.discovery) != platform.discovery
        });
        self.logs.change(&operator.log);
        // A level counts classes by position, and the positions in force are those of the start.
        if platform.classes == self.classes {
            self.loop_handle.send_input(Input::LevelsReplaced(levels));
        } else {
            warn!("the classes differ from those of the start: the levels stay as they were");
        }
    }
}
