//! The loop round the core: it feeds inputs, synced writes, ticks and signals to it, and carries
//! out its effects. It decides nothing itself.

use crate::call::{Call, CallId, Input, ResponseSender};
use crate::core::{ControllerCore, Effect, TICK_INTERVAL};
use crate::journal::Journal;
use crate::program::StartError;
use crate::time::Time;
use peer_transport::Transport;
use process_startup::Signals;
use slog::{info, Logger};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tier_settings::Settings;
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;
use write_ahead_log::LogError;

/// The share of `GraceS` after which a controller that stops exits, whoever still needs it: well
/// before it is killed.
const SHUTDOWN_SHARE: f64 = 0.75;

/// The core with its disk, its transport and its callers.
pub struct EventLoop {
    core: ControllerCore,
    journal: Journal,
    transport: Rc<Transport>,
    /// Time 1 of the core.
    started_at: Instant,
    /// Who waits for the answer to which call. Bounded by the connections of `ctl`.
    waiting: HashMap<CallId, ResponseSender>,
    last_call: u64,
    log: Logger,
}

impl EventLoop {
    /// A loop that has not begun.
    pub fn new(
        core: ControllerCore,
        journal: Journal,
        transport: Rc<Transport>,
        started_at: Instant,
        log: Logger,
    ) -> Self {
        EventLoop {
            core,
            journal,
            transport,
            started_at,
            waiting: HashMap::new(),
            last_call: 0,
            log,
        }
    }

    fn time(&self) -> Time {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Time {
            now: self.started_at.elapsed().as_millis() as u64 + 1,
            unix_ms: unix.as_millis() as u64,
        }
    }

    /// Runs until the process may exit.
    pub async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Input>,
        mut synced: watch::Receiver<u64>,
        signals: Signals,
    ) -> Result<(), StartError> {
        let (mut terminate, mut hangup) = signals.into_parts();
        let mut tick = tokio::time::interval(Duration::from_millis(TICK_INTERVAL));
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut exits_at: Option<tokio::time::Instant> = None;
        loop {
            tokio::select! {
                biased;
                changed = synced.changed() => match changed {
                    Ok(()) => {
                        let lsn = *synced.borrow_and_update();
                        self.handle_synced(lsn);
                    }
                    Err(_) => return Err(StartError::Disk(LogError::Closed)),
                },
                input = inputs.recv() => if let Some(input) = input { self.handle_input(input) },
                _ = tick.tick() => {
                    let time = self.time();
                    self.core.update_disk_state(time.now, self.journal.state());
                    self.core.tick(time);
                }
                _ = terminate.recv(), if exits_at.is_none() => {
                    let grace = Duration::from_millis(self.core.termination_grace_ms());
                    exits_at = Some(tokio::time::Instant::now() + grace.mul_f64(SHUTDOWN_SHARE));
                    self.core.begin_shutdown(self.time());
                }
                _ = hangup.recv() => self.core.reload_settings(Settings::load()),
            }
            self.carry_out_effects();
            // Behind all that the core wanted written; also while the disk takes nothing.
            self.journal.compact_if_needed(self.time().now, &self.core);
            if exits_at.is_some_and(|at| tokio::time::Instant::now() >= at || self.core.may_exit())
            {
                info!(self.log, "stopped");
                return Ok(());
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        let time = self.time();
        match input {
            Input::Call { call, respond_to } => {
                if call == Call::GetStatus {
                    let refused = self.transport.counters().connections_rejected;
                    self.core.record_usage(self.journal.usage(), refused);
                }
                self.last_call += 1;
                let id = CallId(self.last_call);
                self.waiting.insert(id, respond_to);
                self.core.handle_call(time, id, call);
            }
            Input::Frame { from, kind, body } => self.core.handle_frame(time, &from, kind, &body),
        }
    }

    fn handle_synced(&mut self, lsn: u64) {
        let time = self.time();
        let writes = self.journal.synced(time.now, lsn);
        self.core.handle_synced(time, &writes);
        self.core.update_disk_state(time.now, self.journal.state());
    }

    fn carry_out_effects(&mut self) {
        let now = self.time().now;
        for effect in self.core.take_effects() {
            match effect {
                Effect::Send { to, kind, body } => self.transport.send(to, kind, body),
                Effect::Write { ticket, record } => self.journal.write(now, ticket, record),
                Effect::Respond { call, response } => {
                    // Who has gone away needs no answer.
                    if let Some(respond_to) = self.waiting.remove(&call) {
                        let _ = respond_to.send(response);
                    }
                }
            }
        }
    }
}
