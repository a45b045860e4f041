//! Flows from the head of their request on: what each reserves, what is forwarded of it, and the
//! answer that it waits for.

use crate::LoopHandle;
use bytes::Bytes;
use dispatch_api::JobId;
use dispatcher_state::{Answer, Input};
use std::rc::Rc;
use tokio::sync::oneshot;
use tracing::debug;

/// What may be open at a time.
#[derive(Debug, Clone, Copy)]
pub struct FlowLimits {
    /// Flows.
    pub flows: usize,
    /// Memory that they take together, bytes.
    pub bytes: usize,
}

/// What a flow holds from its head until nothing of it is in flight: its id and a part of the memory.
/// Both are released when it is dropped.
pub struct FlowReservation {
    pub(crate) loop_handle: Rc<LoopHandle>,
    pub(crate) id: Bytes,
    pub(crate) bytes: usize,
}

impl FlowReservation {
    /// Releases the memory above this many bytes.
    pub fn shrink(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        self.loop_handle.release_bytes(surplus);
    }
}

impl Drop for FlowReservation {
    fn drop(&mut self) {
        self.loop_handle.release_id(&self.id);
        self.loop_handle.release_bytes(self.bytes);
    }
}

/// Why a flow can't be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ReservationError {
    /// Another flow with its id is open.
    #[error("another flow with this id is open")]
    Repeated,
    /// The limits leave no room for it.
    #[error("the limits on open flows leave no room")]
    Full,
}

/// What is forwarded of a request to a target, unchanged, whatever protocol it came by.
pub struct ForwardedRequest {
    /// Path and query.
    pub path: Bytes,
    /// The request's id.
    pub id: Bytes,
    /// The idempotency key, where there is one.
    pub key: Option<Bytes>,
    /// The body.
    pub body: Bytes,
    /// Held for as long as an attempt may be in flight.
    pub reservation: FlowReservation,
}

/// An accepted flow. If it is dropped before its answer, its client has disconnected, and the reducer
/// is told.
pub struct PendingFlow {
    pub(crate) loop_handle: Rc<LoopHandle>,
    pub(crate) id: JobId,
    pub(crate) answer: oneshot::Receiver<Answer>,
    pub(crate) answered: bool,
}

impl PendingFlow {
    /// Its number.
    pub fn id(&self) -> JobId {
        self.id
    }

    /// Waits for its one final answer.
    pub async fn answer(mut self) -> Answer {
        let answer = (&mut self.answer).await;
        self.answered = true;
        // The sender is dropped without an answer only when the program ends.
        answer.unwrap_or(Answer::Failed)
    }
}

impl Drop for PendingFlow {
    fn drop(&mut self) {
        if !self.answered {
            debug!(flow = self.id.0, "client disconnected");
            self.loop_handle.remove_waiting(self.id);
            let input = Input::ClientDisconnected(self.id);
            self.loop_handle.send_input(input);
        }
    }
}
