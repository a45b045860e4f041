//! What operators see of the loop, and request of it, from another thread.

use dispatch_api::Micros;
use dispatcher_state::{Input, PlanRequest, PlanRequestError, State, StateSnapshot};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// Requests of operators that may queue.
pub(crate) const OPERATOR_QUEUE: usize = 32;

/// A request of operators, with the channel for its answer.
#[derive(Debug)]
pub enum OperatorRequest {
    /// The state as it is now.
    Snapshot(oneshot::Sender<StateSnapshot>),
    /// Force a level, as [`Input::LevelForced`] says; answered with the state as it is then.
    ForceLevel(Option<(usize, Micros)>, oneshot::Sender<StateSnapshot>),
    /// Disable a target (true) or enable it; answered once that is in force and saved, with whether
    /// a list has ever named it.
    OverrideTarget(String, bool, oneshot::Sender<bool>),
    /// Submit a maintenance plan; answered once it is saved, or with why it is refused.
    SubmitPlan(PlanRequest, oneshot::Sender<Result<(), PlanRequestError>>),
    /// Cancel the plan; answered with whether one is active.
    CancelPlan(oneshot::Sender<bool>),
    /// The work on a target is done; answered with whether it is out of service by the plan.
    TargetWorkDone(String, oneshot::Sender<bool>),
}

/// What is answered once an input has been handled and saved.
pub(crate) enum Reply {
    None,
    Snapshot(oneshot::Sender<StateSnapshot>),
    Done(oneshot::Sender<bool>),
    PlanSaved(oneshot::Sender<Result<(), PlanRequestError>>),
}

impl Reply {
    /// Answers. Nobody may wait for it any more.
    pub fn send(self, state: &State) {
        match self {
            Reply::None => {}
            Reply::Snapshot(answer) => drop(answer.send(state.snapshot())),
            Reply::Done(answer) => drop(answer.send(true)),
            Reply::PlanSaved(answer) => drop(answer.send(Ok(()))),
        }
    }
}

/// What the loop does for a request.
pub(crate) struct PendingReply {
    pub input: Input,
    pub reply: Reply,
}

impl OperatorRequest {
    /// The input that the request comes to; none if it is answered without one.
    pub(crate) fn into_input(self, state: &State, now: Micros) -> Option<PendingReply> {
        let (input, reply) = match self {
            OperatorRequest::Snapshot(answer) => {
                Reply::Snapshot(answer).send(state);
                return None;
            }
            OperatorRequest::ForceLevel(level, answer) => {
                (Input::LevelForced(level), Reply::Snapshot(answer))
            }
            OperatorRequest::SubmitPlan(request, answer) => match state.build_plan(&request) {
                Ok(plan) => {
                    let input = Input::PlanRequested(Some(Box::new(plan)));
                    (input, Reply::PlanSaved(answer))
                }
                Err(error) => {
                    let _ = answer.send(Err(error));
                    return None;
                }
            },
            OperatorRequest::CancelPlan(answer) if state.has_active_plan() => {
                (Input::PlanRequested(None), Reply::Done(answer))
            }
            OperatorRequest::TargetWorkDone(target, answer) if state.is_out_by_plan(&target) => {
                (Input::TargetWorkDone(target), Reply::Done(answer))
            }
            OperatorRequest::CancelPlan(answer) | OperatorRequest::TargetWorkDone(_, answer) => {
                let _ = answer.send(false);
                return None;
            }
            OperatorRequest::OverrideTarget(target, disabled, answer) => {
                let Some(over) = state.resolve_override(&target, disabled, now) else {
                    let _ = answer.send(false);
                    return None;
                };
                let input = Input::OverridesChanged(vec![(target, over)]);
                (input, Reply::Done(answer))
            }
        };
        Some(PendingReply { input, reply })
    }
}

/// The operators' side of the loop, for use on another thread. No call waits for longer than it says.
#[derive(Debug, Clone)]
pub struct OperatorHandle {
    pub(crate) requests: mpsc::Sender<OperatorRequest>,
    pub(crate) published: watch::Receiver<Arc<StateSnapshot>>,
    pub(crate) ready: Arc<AtomicBool>,
}

impl OperatorHandle {
    /// Whether jobs are served here.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// The state as it is now, or if the loop does not answer in time, as it was last published.
    pub async fn snapshot(&self, wait: Duration) -> Arc<StateSnapshot> {
        match self.request(wait, OperatorRequest::Snapshot).await {
            Some(snapshot) => Arc::new(snapshot),
            None => Arc::clone(&self.published.borrow()),
        }
    }

    /// Sends a request to the loop; none if it has not answered in time. What was requested may be
    /// done all the same.
    pub async fn request<T>(
        &self,
        wait: Duration,
        request: impl FnOnce(oneshot::Sender<T>) -> OperatorRequest,
    ) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        self.requests.try_send(request(sender)).ok()?;
        timeout(wait, answer).await.ok()?.ok()
    }
}
