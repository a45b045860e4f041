//! The one place that changes the state: an input in, effects out.
//!
//! Events for the policy are queued while an input is handled and delivered one after the other, so
//! that none is delivered while another one is being decided on.

mod connections;
mod endpoints;
mod exchanges;
mod flows;
mod peers;

use crate::connection_pool::Exchange;
use crate::{Answer, Effect, Input, State};
use degradation::{DegradingDispatcher, ForcedLevel};
use dispatch_api::{Action, Event, Micros};
use std::collections::VecDeque;
use tracing::info;

/// Takes one input at the time `now`, which never goes back, and returns what to do, in order.
pub fn reduce(state: &mut State, now: Micros, input: Input) -> Vec<Effect> {
    state.now = now;
    let mut turn = Turn {
        state,
        now,
        effects: Vec::new(),
        events: VecDeque::new(),
    };
    turn.handle_input(input);
    turn.deliver_events();
    turn.run_due();
    turn.effects
}

/// One call of the reducer.
struct Turn<'a> {
    state: &'a mut State,
    now: Micros,
    effects: Vec<Effect>,
    /// Events that the policy has not seen yet.
    events: VecDeque<Event>,
}

impl Turn<'_> {
    fn handle_input(&mut self, input: Input) {
        match input {
            Input::EndpointsUpdated {
                kind,
                version,
                entries,
            } => self.endpoints_updated(kind, version, entries),
            Input::OverridesChanged(overrides) => self.overrides_changed(overrides),
            Input::WatchFailed(failure) => self.events.push_back(Event::WatchFailed(failure)),
            Input::FlowAccepted(spec) => self.flow_accepted(spec),
            Input::FlowRejected { class, answer } => self.flow_rejected(class, answer.as_ref()),
            Input::ClientDisconnected(flow) => self.client_disconnected(flow),
            Input::ConnectionUp(conn) => self.connection_up(conn),
            Input::ConnectionFree(conn) => self.connection_free(conn),
            Input::ConnectionClosed { conn, unsent } => self.connection_closed(conn, unsent),
            Input::ConnectionLimit(limit) => self.set_connection_limit(limit),
            Input::RequestSent(conn) => self.request_sent(conn),
            Input::JobStarted(conn) => self.job_started(conn),
            Input::JobProgress(conn, done) => self.job_progress(conn, done),
            Input::ExchangeEnded {
                conn,
                outcome,
                result,
                report,
            } => self.exchange_ended(conn, outcome, result, report),
            Input::RequestUnusable { conn, report } => self.request_unusable(conn, report),
            Input::PeerDatagram { from, message } => self.peer_datagram(from, &message),
            Input::MembershipChanged(config) => self.membership_changed(config),
            Input::ShuttingDown => self.announce_shutdown(),
            Input::MaintenanceEnabled(saved) => self.enable_maintenance(saved.map(|s| *s)),
            Input::PlanRequested(plan) => self.plan_requested(plan.map(|p| *p)),
            Input::TargetWorkDone(target) => self.target_work_done(&target),
            Input::AnomalySeen(anomaly, times) => self.state.counters.count_anomaly(anomaly, times),
            Input::ResourceUsage(usage) => self.state.policy.set_usage(usage),
            Input::LevelsReplaced(config) => {
                self.decide(|policy, now, actions| policy.replace_config(now, config, actions));
            }
            Input::LevelForced(level) => {
                let level = level.map(|(rank, duration)| ForcedLevel { rank, duration });
                self.decide(|policy, now, actions| policy.force(now, level, actions));
            }
            Input::SnapshotRecalled(snapshot) => self.state.policy.recall(self.now, &snapshot),
            Input::AnswerDeadline(at) => {
                self.state.answer_deadline = Some(at);
                self.state.wakes.insert(at.max(self.now + 1));
            }
            Input::ProcessCount(processes) => self.state.policy.share_among(processes),
            Input::Tick => {}
        }
    }

    /// Delivers the queued events to the policy and carries out what it decides.
    fn deliver_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            self.decide(|policy, now, actions| policy.handle(now, event, actions));
        }
    }

    /// Has the policy decide, carries its actions out, and logs a change of the service level.
    fn decide(&mut self, ask: impl FnOnce(&mut DegradingDispatcher, Micros, &mut Vec<Action>)) {
        let mut actions = std::mem::take(&mut self.state.actions);
        ask(&mut self.state.policy, self.now, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.state.actions = actions;
        for change in self.state.policy.take_changes() {
            let measured = change.cause.measurement();
            let gauge = measured.map(|m| m.metric.key());
            let (value, bound) = (measured.map(|m| m.value), measured.map(|m| m.bound));
            let (to, from, cause) = (change.to, change.from, change.cause.word());
            info!(%from, %to, cause, gauge, value, bound, "service level changed");
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Push { job, worker } => self.send_attempt(job, worker),
            Action::CancelAttempt { job, attempt } => self.cancel_attempt(job, attempt),
            Action::RejectJob { job, retry_after } => {
                self.answer(job, Answer::Rejected { retry_after });
            }
            Action::FailJob { job } => self.answer(job, Answer::Failed),
            Action::Probe { worker } => self.start_exchange(worker, Exchange::Probe),
            Action::CloseIdleConnections { worker } => self.close_idle(worker),
            Action::PublishLoad { held } => self.publish_load(&held),
            Action::WatchWorkers => {
                let after = self.state.targets.version;
                self.effects.push(Effect::WatchEndpoints { after });
            }
            // A time that has come already is taken next, never within this call.
            Action::WakeAt(at) => drop(self.state.wakes.insert(at.max(self.now + 1))),
        }
    }

    /// Does what is due by now. The policy comes first, so that it answers a flow before the deadline
    /// of its connection passes.
    fn run_due(&mut self) {
        while self.state.wakes.first().is_some_and(|at| *at <= self.now) {
            // One event stands for all that are due; later ones are kept.
            self.state.wakes = self.state.wakes.split_off(&(self.now + 1));
            self.events.push_back(Event::Wake);
            self.deliver_events();
        }
        if self.state.answer_deadline.is_some_and(|at| at <= self.now) {
            self.state.answer_deadline = None;
            let waiting = self.state.flows.all_waiting();
            self.events.extend(waiting.into_iter().map(Event::AbortJob));
            self.deliver_events();
        }
        while let Some(conn) = self.state.pool.overdue(self.now) {
            self.deadline_passed(conn);
            self.deliver_events();
        }
        let coordinator = self.state.coordinator.wake_at();
        if coordinator.is_some_and(|at| at <= self.now) {
            self.coordinate(|coordinator, now, targets| coordinator.tick(now, targets));
        }
    }
}
