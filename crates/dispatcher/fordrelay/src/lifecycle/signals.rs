//! The signals that stop a dispatcher.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// SIGTERM and SIGINT.
pub struct StopSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignal {
    /// Installs the handlers.
    ///
    /// # Errors
    /// What the system refuses.
    pub fn install() -> io::Result<Self> {
        Ok(StopSignal {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Returns once one of them has come.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
