//! The one place that changes the state.

use super::counts::JobCounters;
use super::flows::Flows;
use super::plans::MaintenanceStatus;
use super::pool::{Load, Pool, Stage};
use super::targets::TargetGroup;
use super::{
    Anomaly, Answer, ConnId, Effect, Input, MembershipConfig, StateConfig, TargetOverride,
};
use bytes::Bytes;
use coordination::{Coordinator, TargetView};
use degradation::{Governed, Status};
use dispatch_api::load_exchange;
use dispatch_api::{
    Action, Event, Idempotency, JobId, ListUpdateKind, LoadReport, LoadReporting, Micros, Outcome,
    PolicySnapshot, SettingsError, WorkerId,
};
use membership::{MemberUpdate, Swim};
use std::collections::{BTreeSet, VecDeque};
use tracing::{debug, info};

/// How long a connection may take for the last bytes after a target's last word.
const SETTLE: Micros = 1_000_000;

/// All that a dispatcher keeps.
#[derive(Debug)]
pub struct State {
    setup: StateConfig,
    decisions: Governed,
    flows: Flows,
    targets: TargetGroup,
    pool: Pool,
    counts: JobCounters,
    /// When the program ends, and every flow that is open by then is answered.
    ends: Option<Micros>,
    /// What the dispatchers settle among themselves.
    pub(super) coordinator: Coordinator,
    /// The time of the last input.
    now: Micros,
    /// Every time that the decisions have asked for: they ask for none twice, so none may be dropped.
    wakes: BTreeSet<Micros>,
    /// Empty between calls; kept for its room.
    actions: Vec<Action>,
}

impl State {
    /// A state that knows of no target and no flow.
    ///
    /// # Errors
    /// What makes the settings unusable.
    pub fn new(setup: StateConfig) -> Result<Self, SettingsError> {
        let decisions = Governed::new(setup.settings.clone(), setup.seed, setup.levels.clone())?;
        let (flows, targets, pool) = (
            Default::default(),
            Default::default(),
            Pool::new(setup.idle),
        );
        let counts = JobCounters::new(setup.settings.classes.len());
        let coordinator = Coordinator::new(setup.me, setup.settings.dispatchers, setup.seed);
        let (wakes, actions, ends, now) = Default::default();
        Ok(State {
            setup,
            decisions,
            flows,
            targets,
            pool,
            counts,
            ends,
            coordinator,
            now,
            wakes,
            actions,
        })
    }

    /// What can be seen from outside.
    pub fn snapshot(&self) -> StateSnapshot {
        let status = self.decisions.status();
        let ejected = self.targets.out() + status.figures.ejected;
        let members = self
            .coordinator
            .members()
            .map(|m| MembershipSnapshot::of(m, self.now));
        let (counts, listed, maintenance) = (
            self.counts.clone(),
            self.targets.listed(),
            self.maintenance_status(),
        );
        StateSnapshot {
            counts,
            listed,
            ejected,
            status,
            members,
            maintenance,
        }
    }

    /// What a successor can use.
    pub fn policy_snapshot(&self) -> PolicySnapshot {
        self.decisions.known()
    }

    /// The operators' latest word on each target that they ever spoke of.
    pub fn overrides(&self) -> impl Iterator<Item = (&str, TargetOverride)> {
        self.targets.overrides()
    }

    /// What the operators' word on a target comes to at this time; none if no list has ever named it.
    pub fn resolve_override(&self, target: &str, out: bool, now: Micros) -> Option<TargetOverride> {
        let before = self
            .is_known_target(target)
            .then(|| self.targets.target_override(target))?;
        let at = before.map_or(now, |b| now.max(b.at + 1));
        let since = before.filter(|b| b.out).map_or(at, |b| b.since);
        Some(TargetOverride { out, at, since })
    }

    /// Whether a list has ever named this target.
    pub fn is_known_target(&self, target: &str) -> bool {
        self.targets.named(target)
    }

    /// The level of service in force, where there are levels, and the last change.
    pub fn level(&self) -> Option<(&str, Option<&degradation::Change>)> {
        self.decisions.level()
    }

    /// When an [`Input::Tick`] is wanted next.
    pub fn wake_at(&self) -> Option<Micros> {
        let coordinator = self.coordinator.wake_at();
        [
            self.wakes.first().copied(),
            self.pool.next_deadline(),
            coordinator,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    pub(super) fn targets(&self) -> &TargetGroup {
        &self.targets
    }

    /// The time of the last input.
    pub(super) fn last_input_at(&self) -> Micros {
        self.now
    }

    /// What maintenance leaves to a successor; none without a plan.
    pub fn saved_maintenance(&self) -> Option<maintenance::SavedState> {
        self.coordinator.saved_state()
    }

    /// Whether that has changed since the last call: it is to be kept before anybody else is told.
    pub fn take_unsaved_change(&mut self) -> bool {
        self.coordinator.take_unsaved_change()
    }
}

/// What can be seen of the state from outside.
#[derive(Debug, Clone)]
pub struct StateSnapshot {
    /// What the decisions believe and count, and the levels.
    pub status: Status,
    /// What has become of the jobs.
    pub counts: JobCounters,
    /// TargetView in the list, those that drain included.
    pub listed: usize,
    /// ... and of these, those that are out by hand or get nothing for now.
    pub ejected: usize,
    /// What is believed of each dispatcher, by number, where they watch each other.
    pub members: Option<MembershipSnapshot>,
    /// The plan of maintenance, where one is known.
    pub maintenance: Option<MaintenanceStatus>,
}

/// What is believed of the dispatchers.
#[derive(Debug, Clone)]
pub struct MembershipSnapshot {
    /// Of each, by number: what it is believed to be, whether it was heard lately, and whether it hears this one.
    pub members: Vec<(membership::MemberUpdate, bool, bool)>,
    /// The number of the view, the same at all that hold the same others for there.
    pub view: u32,
}

impl MembershipSnapshot {
    fn of(swim: &Swim, now: Micros) -> Self {
        let shown = |change: MemberUpdate| {
            let (heard, by) = swim.heard(change.member, now);
            (change, heard, by)
        };
        MembershipSnapshot {
            members: swim.members().into_iter().map(shown).collect(),
            view: swim.view_hash(),
        }
    }
}

/// Takes one input at a time `now`, which never runs back, and returns what to do, in order.
pub fn reduce(state: &mut State, now: Micros, input: Input) -> Vec<Effect> {
    state.now = now;
    let mut turn = Turn {
        state,
        now,
        effects: Vec::new(),
        events: VecDeque::new(),
    };
    turn.take(input);
    turn.settle();
    turn.run_due();
    turn.effects
}

/// What is known here of targets.
struct Here<'a> {
    targets: &'a TargetGroup,
    pool: &'a Pool,
}

impl TargetView for Here<'_> {
    fn in_flight(&self, name_hash: u32) -> bool {
        self.targets
            .by_name_hash(name_hash)
            .is_some_and(|target| self.pool.carries(target))
    }

    fn restarted(&self, name_hash: u32, since: Micros) -> bool {
        self.targets.started_after(name_hash, since)
    }
}

/// One call of the reducer: events for the decisions are queued, so that none is delivered amid another.
struct Turn<'a> {
    state: &'a mut State,
    now: Micros,
    effects: Vec<Effect>,
    events: VecDeque<Event>,
}

impl Turn<'_> {
    fn take(&mut self, input: Input) {
        match input {
            Input::EndpointsUpdated {
                kind,
                version,
                entries,
            } => {
                let (entries, stale) = self.state.targets.update(kind, version, entries);
                stale.into_iter().for_each(|target| self.close_idle(target));
                self.events
                    .push_back(Event::WorkersUpdated { kind, entries });
            }
            Input::OverridesChanged(overrides) => self.ruled(overrides),
            Input::WatchFailed(lost) => self.events.push_back(Event::WatchFailed(lost)),
            Input::FlowAccepted(spec) => {
                self.state.flows.take(spec.id, spec.class, spec.expires);
                self.state.counts.taken(spec.class);
                self.events.push_back(Event::JobAccepted(spec));
            }
            Input::FlowRejected { class, answer } => {
                self.state.counts.taken(class);
                match answer {
                    Some(answer) => self.state.counts.answered(class, &answer),
                    None => self.state.counts.gone(class),
                }
            }
            Input::ClientDisconnected(flow) => {
                if let Some(class) = self.state.flows.finish(flow) {
                    self.state.counts.gone(class);
                    self.events.push_back(Event::ClientDisconnected(flow));
                }
            }
            Input::ConnectionUp(conn) => self.up(conn),
            Input::ConnectionFree(conn) => self.free(conn),
            Input::ConnectionClosed { conn, unsent } => self.closed(conn, unsent),
            Input::RequestSent(conn) => self.sent(conn),
            Input::JobStarted(conn) => {
                if let Some((job, attempt, worker)) = self.attempt(conn) {
                    debug!(flow = job.0, attempt, target = worker.0, "started");
                    self.events.push_back(Event::JobStarted {
                        job,
                        attempt,
                        worker,
                    });
                }
            }
            Input::JobProgress(conn, done) => {
                if let Some((job, attempt, worker)) = self.attempt(conn) {
                    self.events.push_back(Event::JobProgress {
                        job,
                        attempt,
                        worker,
                        done,
                    });
                }
            }
            Input::ExchangeEnded {
                conn,
                outcome,
                result,
                report,
            } => self.last_word(conn, outcome, result, report),
            Input::RequestUnusable { conn, report } => {
                if let Some((job, _, _)) = self.attempt(conn) {
                    self.answer(job, Answer::Unprocessable);
                }
                // It says nothing of the target's health.
                self.last_word(conn, Outcome::Unknown, None, report);
            }
            Input::PeerDatagram { from, message } => {
                // To all means to this dispatcher too; a number out of range is nobody's.
                if from == self.state.setup.me || from >= self.state.setup.settings.dispatchers {
                    return;
                }
                if !message.len().is_multiple_of(load_exchange::ENTRY_BYTES)
                    && self.state.coordinator.has_membership()
                {
                    let effects = self
                        .state
                        .coordinator
                        .handle_datagram(self.now, from, &message);
                    self.settled(effects);
                } else {
                    let known = |(name_hash, slots)| {
                        Some((self.state.targets.by_name_hash(name_hash)?, slots))
                    };
                    let held = load_exchange::decode_entries(&message)
                        .filter_map(known)
                        .collect();
                    self.events.push_back(Event::PeerLoad { from, held });
                }
            }
            Input::MembershipChanged(joining) => {
                let joining = joining.map(
                    |MembershipConfig {
                         period,
                         incarnation,
                     }| (period, incarnation),
                );
                let effects = self.state.coordinator.join(self.now, joining);
                self.settled(effects);
            }
            Input::ShuttingDown => {
                let effects = self.state.coordinator.leave(self.now);
                self.settled(effects);
            }
            Input::MaintenanceEnabled(kept) => {
                let effects = self
                    .state
                    .coordinator
                    .enable_maintenance(self.now, kept.map(|kept| *kept));
                self.settled(effects);
            }
            Input::PlanRequested(plan) => {
                if let Some(plan) = plan
                    .as_ref()
                    .filter(|_| self.state.coordinator.maintenance().is_some())
                {
                    info!(
                        id = plan.id,
                        targets = plan.targets.len(),
                        "a plan of maintenance is followed"
                    );
                }
                self.asks(|coordinator, now, known| {
                    coordinator.submit_plan(now, plan.map(|plan| *plan), known)
                });
            }
            Input::TargetWorkDone(target) => {
                self.asks(|coordinator, now, known| {
                    coordinator.target_work_done(now, load_exchange::name_hash(&target), known)
                });
            }
            Input::AnomalySeen(what, times) => self.state.counts.count_anomaly(what, times),
            Input::ResourceUsage(usage) => self.state.decisions.used(usage),
            Input::LevelsReplaced(spec) => {
                self.decide(|decisions, now, actions| decisions.replace(now, spec, actions))
            }
            Input::LevelForced(level) => {
                self.decide(|decisions, now, actions| decisions.force(now, level, actions))
            }
            Input::SnapshotRecalled(known) => self.state.decisions.recall(self.now, &known),
            Input::AnswerDeadline(at) => {
                self.state.ends = Some(at);
                self.state.wakes.insert(at.max(self.now + 1));
            }
            Input::ConnectionLimit(most) => {
                self.state.setup.connections = most;
                for _ in most..self.state.pool.len() {
                    let Some(longest) = self.state.pool.idle_longest() else {
                        break;
                    };
                    self.close(longest, None);
                }
            }
            Input::ProcessCount(processes) => self.state.decisions.share_among(processes),
            Input::Tick => {}
        }
    }

    /// Delivers what is queued, and does what the decisions ask for.
    fn settle(&mut self) {
        while let Some(event) = self.events.pop_front() {
            self.decide(|decisions, now, actions| decisions.handle(now, event, actions));
        }
    }

    /// Has something decided, does what comes of it, and says so where another level is in force.
    fn decide(&mut self, ask: impl FnOnce(&mut Governed, Micros, &mut Vec<Action>)) {
        let mut actions = std::mem::take(&mut self.state.actions);
        ask(&mut self.state.decisions, self.now, &mut actions);
        for action in actions.drain(..) {
            self.act(action);
        }
        self.state.actions = actions;
        for change in self.state.decisions.take_changes() {
            let (gauge, value, bound) = match change.cause.figure() {
                Some((gauge, value, bound)) => (Some(gauge.key()), Some(value), Some(bound)),
                None => (None, None, None),
            };
            let (to, from, cause) = (change.to, change.from, change.cause.word());
            info!(%from, %to, cause, gauge, value, bound, "the level of service changed");
        }
    }

    /// What is due by now: the decisions come first, so that they answer a flow before its time is up.
    fn run_due(&mut self) {
        while self.state.wakes.first().is_some_and(|at| *at <= self.now) {
            // One event stands for all that are due; those still to come are kept.
            self.state.wakes = self.state.wakes.split_off(&(self.now + 1));
            self.events.push_back(Event::Wake);
            self.settle();
        }
        if self.state.ends.is_some_and(|ends| ends <= self.now) {
            self.state.ends = None;
            self.events.extend(
                self.state
                    .flows
                    .all_waiting()
                    .into_iter()
                    .map(Event::AbortJob),
            );
            self.settle();
        }
        while let Some(conn) = self.state.pool.due(self.now) {
            self.time_up(conn);
            self.settle();
        }
        if self
            .state
            .coordinator
            .wake_at()
            .is_some_and(|at| at <= self.now)
        {
            self.asks(|coordinator, now, known| coordinator.tick(now, known));
        }
    }

    /// Asks the council, which may look at what is known of targets, and does what comes of it.
    fn asks(
        &mut self,
        ask: impl FnOnce(&mut Coordinator, Micros, &dyn TargetView) -> Vec<coordination::Effect>,
    ) {
        let State {
            coordinator,
            targets,
            pool,
            ..
        } = &mut *self.state;
        let effects = ask(coordinator, self.now, &Here { targets, pool });
        self.settled(effects);
    }

    /// What the dispatchers have settled.
    fn settled(&mut self, effects: Vec<coordination::Effect>) {
        for effect in effects {
            match effect {
                coordination::Effect::Send { to, message } => {
                    self.effects.push(Effect::SendToPeer { to, message })
                }
                coordination::Effect::SetOutOfService { name_hash, out } => {
                    self.ban(name_hash, out)
                }
                coordination::Effect::Joined {
                    me,
                    members,
                    incarnation,
                } => {
                    info!(me, members, incarnation, "joined the dispatchers");
                }
                coordination::Effect::MemberChanged(MemberUpdate {
                    member,
                    incarnation,
                    state,
                }) => {
                    info!(member, state = state.as_str(), incarnation, "a dispatcher");
                }
                coordination::Effect::ReachabilityChanged { member, heard } => {
                    info!(member, heard, "whether a dispatcher hears this one");
                }
                coordination::Effect::TargetStateChanged {
                    name_hash,
                    standing,
                    forced,
                } => {
                    let target = self.state.targets.named_by(name_hash).unwrap_or("unknown");
                    info!(target, ?standing, forced, "maintenance");
                }
                coordination::Effect::PlanRejected(e) => {
                    info!("a plan of maintenance can't be followed: {e}")
                }
                coordination::Effect::PlanCancelled(called_off) => {
                    info!(called_off, "a plan of maintenance is called off");
                }
                coordination::Effect::MalformedDatagram => {
                    self.state.counts.count_anomaly(Anomaly::CutDatagram, 1)
                }
            }
        }
    }

    /// As the operators' word on a target, but by the plan.
    fn ban(&mut self, name_hash: u32, out: bool) {
        let Some((entry, target)) = self.state.targets.plan(name_hash, out, self.now) else {
            return;
        };
        if out {
            self.close_idle(target);
        }
        self.events.push_back(Event::WorkersUpdated {
            kind: ListUpdateKind::Incremental,
            entries: vec![entry],
        });
        self.settle();
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Push { job, worker } => self.push(job, worker),
            Action::CancelAttempt { job, attempt } => self.cancel(job, attempt),
            Action::RejectJob { job, retry_after } => {
                self.answer(job, Answer::Rejected { retry_after })
            }
            Action::FailJob { job } => self.answer(job, Answer::Failed),
            Action::Probe { worker } => self.carry(worker, Load::Probe),
            Action::CloseIdleConnections { worker } => self.close_idle(worker),
            Action::PublishLoad { held } => {
                let entry = |(worker, slots): &(WorkerId, u32)| {
                    Some(load_exchange::encode_entry(
                        load_exchange::name_hash(&self.state.targets.get(*worker)?.name),
                        *slots,
                    ))
                };
                let message: Vec<u8> = held.iter().filter_map(entry).flatten().collect();
                self.effects.push(Effect::BroadcastToPeers(message));
            }
            Action::WatchWorkers => self.effects.push(Effect::WatchEndpoints {
                after: self.state.targets.version,
            }),
            // One that is due already comes next, never within this call.
            Action::WakeAt(at) => drop(self.state.wakes.insert(at.max(self.now + 1))),
        }
    }

    fn answer(&mut self, flow: JobId, answer: Answer) {
        if let Some(class) = self.state.flows.finish(flow) {
            self.state.counts.answered(class, &answer);
            self.effects.push(Effect::AnswerFlow { flow, answer });
        }
    }

    /// An attempt is out whole, be it that nobody waits for it any more.
    fn sent(&mut self, conn: ConnId) {
        let stage = self.state.pool.get(conn).map(|c| c.stage);
        if let Some(
            Stage::Busy(Load::Attempt(job, _)) | Stage::Closing(Some((Load::Attempt(job, _), _))),
        ) = stage
        {
            self.state
                .flows
                .class(job)
                .into_iter()
                .for_each(|class| self.state.counts.sent(class));
        }
    }

    /// The operators' word on targets: the decisions hear of one that is out as of one that drains.
    fn ruled(&mut self, overrides: Vec<(String, TargetOverride)>) {
        for (target, target_override) in overrides {
            let Some((entry, out)) = self.state.targets.rule(&target, target_override) else {
                continue;
            };
            info!(
                target,
                out = target_override.out,
                "the operators' word on a target"
            );
            if let Some(worker) = out {
                self.close_idle(worker);
            }
            let entries = entry.into_iter().collect();
            self.events.push_back(Event::WorkersUpdated {
                kind: ListUpdateKind::Incremental,
                entries,
            });
        }
    }

    fn push(&mut self, job: JobId, worker: WorkerId) {
        let Some(flow) = self.state.flows.get_mut(job) else {
            return;
        };
        let attempt = flow.attempts;
        flow.attempts += 1;
        let name = self.state.targets.get(worker).map(|t| t.name.as_str());
        debug!(flow = job.0, attempt, target = worker.0, name, "pushed");
        self.carry(worker, Load::Attempt(job, attempt));
    }

    /// Finds a connection for it: the idle one used last, or a new one if the limit leaves room.
    fn carry(&mut self, target: WorkerId, load: Load) {
        let Some(addr) = self.state.targets.get(target).map(|t| t.addr) else {
            return self.ended(target, load, Outcome::NotSent, None);
        };
        let repeatable = self.repeatable(load);
        if let Some(conn) = self.state.pool.idle_at(target, repeatable, self.now) {
            return self.send(conn, load);
        }
        if self.state.pool.len() >= self.state.setup.connections {
            // The place is free once that one is closed: the limit holds on the sockets, too.
            if let Some(longest) = self.state.pool.idle_longest() {
                self.close(longest, None);
            }
            return self.ended(target, load, Outcome::NotSent, None);
        }
        let until = self
            .patience(load)
            .min(self.now + self.state.setup.connect_timeout);
        let conn = self.state.pool.open(target, load, until);
        if let Load::Attempt(flow, _) = load {
            self.state
                .flows
                .get_mut(flow)
                .into_iter()
                .for_each(|f| f.out = Some(conn));
        }
        self.effects.push(Effect::OpenConnection { conn, addr });
    }

    /// Whether it may be sent again after it was lost on its way.
    fn repeatable(&mut self, load: Load) -> bool {
        let Load::Attempt(flow, _) = load else {
            return true;
        };
        let class = self.state.flows.get_mut(flow).map(|f| f.class);
        let class = class.and_then(|c| self.state.setup.settings.classes.get(c));
        class.is_none_or(|c| c.idempotency != Idempotency::NonIdempotent)
    }

    /// When this dispatcher stops waiting for it.
    fn patience(&mut self, load: Load) -> Micros {
        match load {
            Load::Attempt(flow, _) => self
                .state
                .flows
                .get_mut(flow)
                .map_or(self.now, |f| f.expires),
            Load::Probe => self.now + self.state.setup.probe_timeout,
        }
    }

    fn send(&mut self, conn: ConnId, load: Load) {
        let until = self.patience(load);
        self.state.pool.used(conn, load, self.now, until);
        self.effects.push(match load {
            Load::Attempt(flow, _) => {
                self.state
                    .flows
                    .get_mut(flow)
                    .into_iter()
                    .for_each(|f| f.out = Some(conn));
                Effect::SendRequest {
                    conn,
                    flow,
                    wait: until.saturating_sub(self.now),
                }
            }
            Load::Probe => Effect::SendProbe(conn),
        });
    }

    /// The list may have changed, the flow ended, or the time in which it may be repeated run out, while the connection was
    /// being opened: look again.
    fn up(&mut self, conn: ConnId) {
        let Some((target, stage)) = self.state.pool.get(conn).map(|c| (c.target, c.stage)) else {
            return;
        };
        let Stage::Opening(load) = stage else { return };
        let wanted = match load {
            Load::Attempt(flow, _) => {
                self.state.flows.waiting(flow)
                    && self.state.decisions.may_start(self.now, flow, target)
            }
            Load::Probe => true,
        };
        if wanted && self.state.targets.ready(target) {
            return self.send(conn, load);
        }
        self.free(conn);
        self.ended(target, load, Outcome::NotSent, None);
    }

    fn free(&mut self, conn: ConnId) {
        let Some((target, stage)) = self.state.pool.get(conn).map(|c| (c.target, c.stage)) else {
            return;
        };
        match stage {
            Stage::Opening(_) | Stage::Settling if self.state.targets.ready(target) => {
                self.state.pool.idles(conn, self.now);
            }
            Stage::Opening(_) | Stage::Settling => self.close(conn, None),
            Stage::Busy(_) | Stage::Idle | Stage::Closing(_) => {}
        }
    }

    fn close(&mut self, conn: ConnId, ending: Option<(Load, Outcome)>) {
        self.state.pool.set(conn, Stage::Closing(ending), None);
        self.effects.push(Effect::CloseConnection(conn));
    }

    fn close_idle(&mut self, target: WorkerId) {
        for conn in self.state.pool.all_idle_at(target) {
            self.close(conn, None);
        }
    }

    /// The next attempt may follow only once this one's connection is closed: the outcome waits for that.
    fn cancel(&mut self, job: JobId, attempt: u32) {
        let Some(conn) = self.state.flows.get_mut(job).and_then(|f| f.out) else {
            return;
        };
        match self.state.pool.get(conn).map(|c| c.stage) {
            Some(Stage::Opening(load)) if load == Load::Attempt(job, attempt) => {
                self.close(conn, Some((load, Outcome::NotSent)));
            }
            Some(Stage::Busy(load)) if load == Load::Attempt(job, attempt) => {
                self.close(conn, Some((load, Outcome::Cancelled)));
            }
            _ => {}
        }
    }

    fn time_up(&mut self, conn: ConnId) {
        let Some(stage) = self.state.pool.get(conn).map(|c| c.stage) else {
            return;
        };
        match stage {
            Stage::Opening(load) => self.close(conn, Some((load, Outcome::ConnectFailed))),
            Stage::Busy(load) => self.close(conn, Some((load, Outcome::TimedOut))),
            Stage::Settling | Stage::Idle => self.close(conn, None),
            Stage::Closing(_) => self.state.pool.set(conn, stage, None),
        }
    }

    fn closed(&mut self, conn: ConnId, unsent: bool) {
        let Some(gone) = self.state.pool.remove(conn) else {
            return;
        };
        debug!(conn = conn.0, target = gone.target.0, stage = ?gone.stage, unsent, "closed");
        if matches!(gone.stage, Stage::Busy(_)) {
            self.state.pool.broke(&gone, self.now);
        }
        let (load, outcome) = match gone.stage {
            Stage::Opening(load) => (load, Outcome::ConnectFailed),
            Stage::Busy(load) if unsent => (load, Outcome::ConnectFailed),
            Stage::Busy(load) => (load, Outcome::Reset),
            Stage::Closing(Some(ending)) => ending,
            Stage::Closing(None) | Stage::Settling | Stage::Idle => return,
        };
        self.ended(gone.target, load, outcome, None);
    }

    /// A last word that crosses the closing still counts: it says more than that nobody waited for it.
    fn last_word(
        &mut self,
        conn: ConnId,
        outcome: Outcome,
        result: Option<Bytes>,
        report: Option<LoadReport>,
    ) {
        let Some((target, stage)) = self.state.pool.get(conn).map(|c| (c.target, c.stage)) else {
            return;
        };
        let load = match stage {
            Stage::Busy(load) => {
                self.state.pool.went_well(conn);
                self.state
                    .pool
                    .set(conn, Stage::Settling, Some(self.now + SETTLE));
                load
            }
            Stage::Closing(Some((load, _))) => {
                self.state.pool.set(conn, Stage::Closing(None), None);
                load
            }
            Stage::Opening(_) | Stage::Settling | Stage::Idle | Stage::Closing(None) => return,
        };
        let outcome = match (load, result) {
            (Load::Attempt(flow, _), Some(result)) => {
                self.answer(flow, Answer::Served(result));
                Outcome::Done
            }
            // Done without a result is nothing that a client could be given.
            (Load::Attempt(..), None) if outcome == Outcome::Done => Outcome::Error,
            _ => outcome,
        };
        self.ended(target, load, outcome, report);
    }

    /// Tells the decisions how it ended.
    fn ended(
        &mut self,
        worker: WorkerId,
        load: Load,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let reports = self.state.setup.settings.reports;
        match load {
            Load::Attempt(job, attempt) => {
                debug!(
                    flow = job.0,
                    attempt,
                    target = worker.0,
                    ?outcome,
                    "attempt ended"
                );
                let finished = !self.state.flows.waiting(job);
                self.state.flows.back(job);
                let report = report.filter(|_| reports == LoadReporting::Outcomes);
                self.events.push_back(Event::AttemptEnded {
                    job,
                    attempt,
                    worker,
                    outcome,
                    finished,
                    report,
                });
            }
            Load::Probe => {
                let report = report.filter(|_| reports != LoadReporting::None);
                debug!(target = worker.0, ?outcome, ?report, "probe ended");
                self.events.push_back(Event::ProbeEnded {
                    worker,
                    outcome,
                    report,
                });
            }
        }
    }

    fn attempt(&self, conn: ConnId) -> Option<(JobId, u32, WorkerId)> {
        let conn = self.state.pool.get(conn)?;
        match conn.stage {
            Stage::Busy(Load::Attempt(job, attempt)) => Some((job, attempt, conn.target)),
            _ => None,
        }
    }
}
