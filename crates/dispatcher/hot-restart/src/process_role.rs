//! What a process may do, by how far it is and whether another one of the same dispatcher lives.

/// How far a process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Another one serves, and it does not know the targets well enough yet.
    Starting,
    /// It serves.
    Serving,
    /// It was told to stop.
    Draining,
}

/// What moves a process on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Discovery has told it of the targets.
    EndpointsKnown,
    /// It has waited for that for as long as it may: whoever starts it is waiting, too.
    WaitExpired,
    /// So many other processes of this dispatcher live.
    OtherProcesses(usize),
    /// It was told to stop.
    Stop,
}

/// One process among those of its dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessRole {
    stage: Stage,
    others: usize,
}

impl ProcessRole {
    /// A process that starts while so many others live. With none it serves at once: nobody else does.
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

    /// Moves it on.
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

    /// How far it is.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Jobs can be sent to it; whoever brought it in may stop the others now.
    pub fn is_ready(&self) -> bool {
        self.stage == Stage::Serving
    }

    /// It takes connections from the socket that all share. One that leaves does so only while nobody else could.
    pub fn accepts_connections(&self) -> bool {
        self.stage == Stage::Serving || self.stage == Stage::Draining && self.others == 0
    }

    /// It holds the port for datagrams from other dispatchers, or tries to.
    pub fn holds_peer_port(&self) -> bool {
        self.stage != Stage::Draining
    }

    /// Processes that the limits of the dispatcher are there for.
    pub fn process_count(&self) -> usize {
        1 + self.others
    }
}
