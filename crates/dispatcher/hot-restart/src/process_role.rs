//! What a process may do, by its stage and by whether another process of the same dispatcher is alive.

/// The stage of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Another process serves, and this one does not know the endpoints well enough yet.
    Starting,
    /// It serves.
    Serving,
    /// It was told to stop, and answers what it has accepted.
    Draining,
}

/// What may change the stage of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// It knows the endpoints.
    EndpointsKnown,
    /// It has waited for them for as long as it may, since whoever started it waits, too.
    WaitExpired,
    /// So many other processes of this dispatcher are alive.
    OtherProcesses(usize),
    /// It was told to stop.
    Stop,
}

/// The role of one process among those of its dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessRole {
    stage: Stage,
    others: usize,
}

impl ProcessRole {
    /// The role of a process that starts while so many others are alive. With none it serves at once.
    pub fn new(others: usize) -> Self {
        ProcessRole {
            stage: if others == 0 {
                Stage::Serving
            } else {
                Stage::Starting
            },
            others,
        }
    }

    /// Handles an event.
    pub fn handle_event(&mut self, event: Event) {
        self.stage = match (self.stage, event) {
            (_, Event::Stop) => Stage::Draining,
            (
                Stage::Starting,
                Event::EndpointsKnown | Event::WaitExpired | Event::OtherProcesses(0),
            ) => Stage::Serving,
            (stage, _) => stage,
        };
        if let Event::OtherProcesses(others) = event {
            self.others = others;
        }
    }

    /// Its stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether it serves: whoever started it may stop the others now.
    pub fn is_ready(&self) -> bool {
        self.stage == Stage::Serving
    }

    /// Whether it accepts connections from the socket that all processes share. A draining one does so
    /// only while no other could.
    pub fn accepts_connections(&self) -> bool {
        self.stage == Stage::Serving || self.stage == Stage::Draining && self.others == 0
    }

    /// Whether it holds the port for datagrams from other dispatchers, or tries to.
    pub fn holds_peer_port(&self) -> bool {
        self.stage != Stage::Draining
    }

    /// Processes that share the limits of the dispatcher.
    pub fn process_count(&self) -> usize {
        1 + self.others
    }
}
