//! What is kept in memory, and the one reducer that changes it.
//!
//! Tasks report an [`Input`]; [`reduce`] changes the [`State`] and returns each [`Effect`] to carry out. Nothing
//! here reads a clock, draws a random number, touches a socket or knows what protocol the flows came by.

#![expect(clippy::too_many_lines, reason = "not revised yet")]

mod counts;
mod flows;
mod plans;
mod pool;
mod reducer;
mod targets;

pub use counts::{Anomaly, ClassCounters, JobCounters};
pub use plans::{MaintenanceStatus, PlanRequest, PlanRequestError};
pub use reducer::{reduce, MembershipSnapshot, State, StateSnapshot};

use bytes::Bytes;
use degradation::{Spec, Usage};
use dispatch_api::{
    DiscoveryFailure, JobId, JobSpec, ListUpdateKind, LoadReport, Micros, Outcome, PolicySnapshot,
    Settings, WorkerStatus,
};
use std::net::SocketAddr;
use std::sync::Arc;

/// One connection to a target, as the reducer numbers it. A number never returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// The operators' word on a target; the latest counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetOverride {
    /// It is left out, whatever the list says.
    pub out: bool,
    /// When they said so.
    pub at: Micros,
    /// Since when it has been out, or had been when it was called back.
    pub since: Micros,
}

/// How a process joins the other dispatchers as a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipConfig {
    /// It pings one of them in each, microseconds.
    pub period: Micros,
    /// Later than that of any process before it.
    pub incarnation: u32,
}

/// What the reducer is told at the start.
#[derive(Debug, Clone)]
pub struct StateConfig {
    /// For the decisions.
    pub settings: Settings,
    /// For their random numbers.
    pub seed: u64,
    /// This dispatcher's own number.
    pub me: u32,
    /// Connections to targets that may be open together.
    pub connections: usize,
    /// A connection to a target that is not up by then has failed.
    pub connect_timeout: Micros,
    /// An idle connection to a target is closed after this.
    pub idle: Micros,
    /// A probe that is not answered by then has failed.
    pub probe_timeout: Micros,
    /// Levels of reduced service, if there are any.
    pub levels: Option<Arc<Spec>>,
}

/// One target of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its name, the same at every dispatcher.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its zone, by number.
    pub zone: u32,
    /// Its machine kind, by number.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes new work.
    pub status: WorkerStatus,
    /// When it last started; none if long ago.
    pub started: Option<Micros>,
    /// Its weight beside others; none if the list tells none.
    pub weight: Option<f64>,
}

/// What a task reports.
#[derive(Debug, Clone)]
pub enum Input {
    /// A list of targets, or changes to it.
    EndpointsUpdated {
        /// How it relates to the list before.
        kind: ListUpdateKind,
        /// Its version; none if nothing is known, and the whole list is to be asked for.
        version: Option<u64>,
        /// Its entries.
        entries: Vec<Endpoint>,
    },
    /// The watch on the list has failed and ended.
    WatchFailed(DiscoveryFailure),
    /// A flow was taken; its id is new.
    FlowAccepted(JobSpec),
    /// A request got a fixed response before it was a flow, and its class was known.
    FlowRejected {
        /// Its class, by position.
        class: usize,
        /// What it was answered as; none if its client had left by then.
        answer: Option<Answer>,
    },
    /// The client of a flow has gone before its answer.
    ClientDisconnected(JobId),
    /// A connection is up and can carry something.
    ConnectionUp(ConnId),
    /// A connection has carried its exchange to the end and can carry the next.
    ConnectionFree(ConnId),
    /// A connection is closed on this side. Reported once for each that was opened, whatever came of it.
    ConnectionClosed {
        /// The connection.
        conn: ConnId,
        /// What was being sent on it when it broke was certainly not sent whole.
        unsent: bool,
    },
    /// The last byte of what was ordered on the connection is out.
    RequestSent(ConnId),
    /// The target has begun the job.
    JobStarted(ConnId),
    /// The target has come this far with the job.
    JobProgress(ConnId, f64),
    /// The target's last word on a job or a probe.
    ExchangeEnded {
        /// The connection.
        conn: ConnId,
        /// What it said.
        outcome: Outcome,
        /// What the client gets, if it was done.
        result: Option<Bytes>,
        /// The target's load report.
        report: Option<LoadReport>,
    },
    /// The target's last word on a request that it can't use: the request is at fault.
    RequestUnusable {
        /// The connection.
        conn: ConnId,
        /// The target's load report.
        report: Option<LoadReport>,
    },
    /// A message from another dispatcher.
    PeerDatagram {
        /// Its number.
        from: u32,
        /// What it sent.
        message: Vec<u8>,
    },
    /// This process speaks for its dispatcher among all from now on, or does so no more. Of no effect with less than two.
    MembershipChanged(Option<MembershipConfig>),
    /// This process has been told to stop, and says so to the other dispatchers.
    ShuttingDown,
    /// This dispatcher takes part in maintenance from now on, with what another process of it kept, if there was any.
    MaintenanceEnabled(Option<Box<maintenance::SavedState>>),
    /// The operators want a plan followed; with none, the one under way called off.
    PlanRequested(Option<Box<maintenance::Plan>>),
    /// The operators' work on a target that is out by the plan is done.
    TargetWorkDone(String),
    /// Something from outside was odd, so many times.
    AnomalySeen(Anomaly, u64),
    /// How much of the program's own limits is in use.
    ResourceUsage(Usage),
    /// Other levels of reduced service are in force from now on, or none.
    LevelsReplaced(Option<Arc<Spec>>),
    /// The operators ask for a level, 0 for full service, for so long; with none for what the figures say.
    LevelForced(Option<(usize, Micros)>),
    /// The operators' latest word on targets, here or at another process of this dispatcher.
    OverridesChanged(Vec<(String, TargetOverride)>),
    /// What a predecessor knew of the targets that are listed by now.
    SnapshotRecalled(Box<PolicySnapshot>),
    /// Every flow that is open is to have its final answer by then.
    AnswerDeadline(Micros),
    /// So many connections to targets may be open together from now on.
    ConnectionLimit(usize),
    /// So many processes of this dispatcher live, this one included.
    ProcessCount(u32),
    /// The time that [`State::wake_at`] named has come.
    Tick,
}

/// The one final answer to a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// What the target made of it.
    Served(Bytes),
    /// Not served, and trying again is harmless.
    Rejected {
        /// Advice when to come again.
        retry_after: Option<Micros>,
    },
    /// Not served, and it may have run.
    Failed,
    /// Not served, since no target can use it.
    Unprocessable,
}

/// What the reducer asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Open a connection.
    OpenConnection {
        /// Its number.
        conn: ConnId,
        /// Where to.
        addr: SocketAddr,
    },
    /// Send a flow's request on a connection that is up and free.
    SendRequest {
        /// The connection.
        conn: ConnId,
        /// The flow.
        flow: JobId,
        /// How long this dispatcher will wait.
        wait: Micros,
    },
    /// Ask for the target's load on a connection that is up and free.
    SendProbe(ConnId),
    /// Close a connection, whatever it carries.
    CloseConnection(ConnId),
    /// Answer a flow.
    AnswerFlow {
        /// The flow.
        flow: JobId,
        /// Its answer.
        answer: Answer,
    },
    /// Watch the list for what is newer than this version, until a call fails.
    WatchEndpoints {
        /// The version held; with none the whole list is wanted.
        after: Option<u64>,
    },
    /// Send this to every other dispatcher.
    BroadcastToPeers(Vec<u8>),
    /// Send this to one other dispatcher.
    SendToPeer {
        /// Its number.
        to: u32,
        /// The message.
        message: Vec<u8>,
    },
}
