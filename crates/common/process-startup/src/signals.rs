//! The signals that the platform sends.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals that the platform sends to a process, kept from the installation on.
pub struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    /// Takes SIGTERM and SIGHUP from now on. To be called before anything else in the runtime: a
    /// signal that comes earlier has its default action, which ends the process.
    ///
    /// # Errors
    /// The system refuses a handler.
    pub fn install() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Returns once SIGTERM has come: the process is to stop. Cancel safe.
    pub async fn terminated(&mut self) {
        self.terminate.recv().await;
    }

    /// Returns once SIGHUP has come: the settings file has changed. Cancel safe.
    pub async fn hung_up(&mut self) {
        self.hangup.recv().await;
    }

    /// The same signals one by one, for a loop that waits for both at once.
    pub fn into_parts(self) -> (Signal, Signal) {
        (self.terminate, self.hangup)
    }
}
