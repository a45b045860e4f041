//! What tasks report to the reducer.

use crate::{Anomaly, Answer, ConnId, Endpoint, MembershipConfig, TargetOverride};
use bytes::Bytes;
use degradation::{DegradationConfig, Usage};
use dispatch_api::{
    DiscoveryFailure, JobId, JobSpec, ListUpdateKind, LoadReport, Micros, Outcome, PolicySnapshot,
};
use std::sync::Arc;

/// One input of the reducer.
#[derive(Debug, Clone)]
pub enum Input {
    /// Service discovery has sent the endpoint list, or changes to it.
    EndpointsUpdated {
        /// How it relates to the list before.
        kind: ListUpdateKind,
        /// Its version; none if nothing is known and the full list is to be fetched.
        version: Option<u64>,
        /// Its entries.
        entries: Vec<Endpoint>,
    },
    /// The watch on the endpoint list has failed and ended.
    WatchFailed(DiscoveryFailure),
    /// A flow was accepted; its id is new.
    FlowAccepted(JobSpec),
    /// A request got a fixed response before it became a flow, and its class was known.
    FlowRejected {
        /// Its class, by position.
        class: usize,
        /// The answer; none if its client had disconnected by then.
        answer: Option<Answer>,
    },
    /// The client of a flow has disconnected before its answer.
    ClientDisconnected(JobId),
    /// A connection is up and can carry an exchange.
    ConnectionUp(ConnId),
    /// A connection has carried its exchange to the end and can carry the next.
    ConnectionFree(ConnId),
    /// A connection is closed on this side: reported exactly once for each that was opened.
    ConnectionClosed {
        /// The connection.
        conn: ConnId,
        /// What was being sent when it broke was certainly not sent completely.
        unsent: bool,
    },
    /// The last byte of the request or probe on a connection has been sent.
    RequestSent(ConnId),
    /// The target has started the job.
    JobStarted(ConnId),
    /// The target has done this share of the job, 0 to 1.
    JobProgress(ConnId, f64),
    /// The target's final word on a job or a probe.
    ExchangeEnded {
        /// The connection.
        conn: ConnId,
        /// How it ended.
        outcome: Outcome,
        /// The result for the client, if the job was done.
        result: Option<Bytes>,
        /// The target's load report.
        report: Option<LoadReport>,
    },
    /// The target can't use the request: the request is at fault, not the target.
    RequestUnusable {
        /// The connection.
        conn: ConnId,
        /// The target's load report.
        report: Option<LoadReport>,
    },
    /// A datagram from another dispatcher.
    PeerDatagram {
        /// Its number.
        from: u32,
        /// The datagram.
        message: Vec<u8>,
    },
    /// This process represents its dispatcher among the members from now on; with none it does so no
    /// longer. Ignored where there are fewer than two dispatchers.
    MembershipChanged(Option<MembershipConfig>),
    /// This process has been told to stop, and announces it to the other dispatchers.
    ShuttingDown,
    /// This dispatcher takes part in maintenance from now on, with the state that another process of
    /// it saved, if there was any.
    MaintenanceEnabled(Option<Box<maintenance::SavedState>>),
    /// Operators submit a maintenance plan; with none they cancel the active one.
    PlanRequested(Option<Box<maintenance::Plan>>),
    /// The operators' work on a target that is out of service by the plan is done.
    TargetWorkDone(String),
    /// Something unusual came from outside, so many times.
    AnomalySeen(Anomaly, u64),
    /// How much of the program's own limits is in use.
    ResourceUsage(Usage),
    /// Other levels of degraded service are configured from now on, or none.
    LevelsReplaced(Option<Arc<DegradationConfig>>),
    /// Operators force a level, 0 for full service, for so many microseconds; with none the measured
    /// figures decide again.
    LevelForced(Option<(usize, Micros)>),
    /// The operators' latest overrides of targets, by name, set here or at another process of this
    /// dispatcher.
    OverridesChanged(Vec<(String, TargetOverride)>),
    /// What a predecessor process knew of the targets that are listed by now.
    SnapshotRecalled(Box<PolicySnapshot>),
    /// Every open flow is to have its final answer by this time.
    AnswerDeadline(Micros),
    /// So many connections to targets may be open at a time from now on.
    ConnectionLimit(usize),
    /// So many processes of this dispatcher are alive, this one included.
    ProcessCount(u32),
    /// The time that [`crate::State::wake_at`] named has come.
    Tick,
}
