//! What is written on a connection to a target: how much of a request is out, and when all of it is.

use crate::observed_stream::Observer;
use dispatcher_state::{ConnId, Input};
use event_loop::{ConnectionCommand, LoopHandle};
use std::cell::Cell;
use std::rc::Rc;

/// What is written on a connection.
pub(super) struct Outgoing {
    connection: ConnId,
    loop_handle: Rc<LoopHandle>,
    /// Bytes since the last command.
    written: Cell<u64>,
    /// A request of which less than this was written is certainly incomplete; while none is on its way, any is.
    least_complete: Cell<u64>,
    /// An attempt is on its way whose end was not reported as sent.
    awaits_sent: Cell<bool>,
}

impl Outgoing {
    /// A connection on which nothing is on its way.
    pub(super) fn new(connection: ConnId, loop_handle: Rc<LoopHandle>) -> Self {
        Outgoing {
            connection,
            loop_handle,
            written: Cell::new(0),
            least_complete: Cell::new(u64::MAX),
            awaits_sent: Cell::new(false),
        }
    }

    /// What this command asks for is written from now on.
    pub(super) fn begin(&self, command: &ConnectionCommand) {
        self.written.set(0);
        let is_job = matches!(command, ConnectionCommand::Job { .. });
        self.awaits_sent.set(is_job);
        self.least_complete.set(match command {
            // More than this is written for certain by the time that a request is complete.
            ConnectionCommand::Job { request, .. } => {
                (request.path.len() + request.body.len()) as u64
            }
            ConnectionCommand::Probe => 1,
        });
    }

    /// The exchange is over: nothing is on its way.
    pub(super) fn end(&self) {
        self.least_complete.set(u64::MAX);
    }

    /// Whether what is on its way is certainly incomplete.
    pub(super) fn is_incomplete(&self) -> bool {
        self.written.get() < self.least_complete.get()
    }
}

impl Observer for Rc<Outgoing> {
    fn wrote(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes as u64);
    }

    // hyper buffers a head with its whole body before it writes, and flushes once nothing of both is left.
    fn flushed(&self) {
        if !self.is_incomplete() && self.awaits_sent.replace(false) {
            self.loop_handle
                .send_input(Input::RequestSent(self.connection));
        }
    }
}
