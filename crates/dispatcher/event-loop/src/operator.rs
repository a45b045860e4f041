//! What operators see of the loop, and ask it, from another thread.

use dispatch_api::Micros;
use dispatcher_state::{Input, PlanRequest, PlanRequestError, State, StateSnapshot};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// What operators ask of the loop.
#[derive(Debug)]
pub enum OperatorRequest {
    /// What there is to see now.
    Snapshot(oneshot::Sender<StateSnapshot>),
    /// To have a level in force, as [`Input::LevelForced`] says, and what there is to see then.
    ForceLevel(Option<(usize, Micros)>, oneshot::Sender<StateSnapshot>),
    /// To leave a target out, or to have it back; answered once that is in force and kept, with whether a list has ever
    /// named it.
    OverrideTarget(String, bool, oneshot::Sender<bool>),
    /// To have a plan of maintenance followed; answered once it is kept, or with why it is not.
    SubmitPlan(PlanRequest, oneshot::Sender<Result<(), PlanRequestError>>),
    /// To call the plan off; answered with whether there is one.
    CancelPlan(oneshot::Sender<bool>),
    /// That the work on a target is done; answered with whether it is out by the plan.
    TargetWorkDone(String, oneshot::Sender<bool>),
}

/// Who is answered once an input has been taken in.
pub(crate) enum Reply {
    None,
    StateSnapshot(oneshot::Sender<StateSnapshot>),
    Ruled(oneshot::Sender<bool>),
    Planned(oneshot::Sender<Result<(), PlanRequestError>>),
}

impl Reply {
    pub fn give(self, state: &State) {
        match self {
            Reply::None => {}
            Reply::StateSnapshot(answer) => drop(answer.send(state.snapshot())),
            Reply::Ruled(answer) => drop(answer.send(true)),
            Reply::Planned(answer) => drop(answer.send(Ok(()))),
        }
    }
}

impl OperatorRequest {
    /// What the reducer is to take in for it; none where it is answered by that.
    pub(crate) fn input(self, state: &State, now: Micros) -> Option<(Input, Reply)> {
        match self {
            OperatorRequest::Snapshot(answer) => {
                Reply::StateSnapshot(answer).give(state);
                None
            }
            OperatorRequest::ForceLevel(level, answer) => {
                Some((Input::LevelForced(level), Reply::StateSnapshot(answer)))
            }
            OperatorRequest::SubmitPlan(wanted, answer) => match state.build_plan(&wanted) {
                Ok(plan) => Some((
                    Input::PlanRequested(Some(Box::new(plan))),
                    Reply::Planned(answer),
                )),
                Err(e) => {
                    let _ = answer.send(Err(e));
                    None
                }
            },
            OperatorRequest::CancelPlan(answer) if state.has_active_plan() => {
                Some((Input::PlanRequested(None), Reply::Ruled(answer)))
            }
            OperatorRequest::TargetWorkDone(target, answer) if state.is_out_by_plan(&target) => {
                Some((Input::TargetWorkDone(target), Reply::Ruled(answer)))
            }
            OperatorRequest::CancelPlan(answer) | OperatorRequest::TargetWorkDone(_, answer) => {
                let _ = answer.send(false);
                None
            }
            OperatorRequest::OverrideTarget(target, out, answer) => {
                match state.resolve_override(&target, out, now) {
                    Some(target_override) => Some((
                        Input::OverridesChanged(vec![(target, target_override)]),
                        Reply::Ruled(answer),
                    )),
                    None => {
                        let _ = answer.send(false);
                        None
                    }
                }
            }
        }
    }
}

/// The operators' side of the loop. It never waits for longer than it says.
#[derive(Debug, Clone)]
pub struct OperatorHandle {
    pub(crate) asks: mpsc::Sender<OperatorRequest>,
    pub(crate) seen: watch::Receiver<Arc<StateSnapshot>>,
    pub(crate) ready: Arc<AtomicBool>,
}

impl OperatorHandle {
    /// Whether jobs are served here.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// What there is to see now, or where the loop is busy for so long, what was laid out last.
    pub async fn look(&self, wait: Duration) -> Arc<StateSnapshot> {
        match self.ask(wait, OperatorRequest::Snapshot).await {
            Some(seen) => Arc::new(seen),
            None => Arc::clone(&self.seen.borrow()),
        }
    }

    /// Asks the loop; none if it has not answered by then. What was asked may be done all the same.
    pub async fn ask<T>(
        &self,
        wait: Duration,
        ask: impl FnOnce(oneshot::Sender<T>) -> OperatorRequest,
    ) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        self.asks.try_send(ask(sender)).ok()?;
        timeout(wait, answer).await.ok()?.ok()
    }
}
