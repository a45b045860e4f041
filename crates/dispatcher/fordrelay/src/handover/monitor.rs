//! Watches the other processes for as long as this one runs: takes over what they tell, and divides the limits.

use super::overrides::{keep_newest, newer_than, override_input, Overrides};
use super::{Handover, ProcessFile};
use dispatcher_settings::platform::{Config, ProcessLimits};
use dispatcher_state::Input;
use event_loop::{FlowLimits, LoopHandle};
use hot_restart::Event;
use http1::Listener;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// How often the directory is read: what operators set at another process counts here within the grace of the rules.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a new process waits for the list before it serves without, in microseconds.
const LIST_WAIT: u64 = 1_500_000;
/// How long the file of a dead process is kept beside the own one, which has all of it, in microseconds.
const DEAD_FILE_TIME: u64 = 3_000_000;
/// The part of the connections of clients that this process may hold however many the other one holds.
const MIN_CLIENT_PARTS: usize = 4;

impl Handover {
    /// Runs for as long as the program.
    pub async fn monitor(
        self: Rc<Self>,
        loop_handle: Rc<LoopHandle>,
        listener: Rc<Listener>,
        config: Config,
    ) {
        let mut known_processes = 0;
        loop {
            let now = self.clock.now();
            self.check_readiness(&loop_handle, now);
            let files: Vec<ProcessFile> = self.directory.borrow_mut().read_new_files();
            for file in files {
                self.apply_file(file, &loop_handle);
            }
            let others = self.directory.borrow().alive();
            self.handle_event(Event::OtherProcesses(others));
            self.clients.set(listener.open());
            let processes = 1 + others;
            let limits = config.process_limits(processes);
            if known_processes != processes {
                known_processes = processes;
                self.alone_since.set((others == 0).then_some(now));
                apply_process_count(processes, limits, &loop_handle);
            }
            listener.set_max_connections(self.max_client_connections(limits, others));
            self.remove_dead_files(now);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn check_readiness(&self, loop_handle: &LoopHandle, now: u64) {
        if loop_handle.endpoints_known() {
            self.handle_event(Event::EndpointsKnown);
        }
        if now >= self.started_at + LIST_WAIT {
            self.handle_event(Event::WaitExpired);
        }
    }

    fn apply_file(&self, file: ProcessFile, loop_handle: &LoopHandle) {
        self.other_clients.set(file.clients);
        let maintenance = file.known.and_then(|knowledge| knowledge.maintenance);
        if let Some(saved) = maintenance.filter(|_| self.maintenance_enabled.get()) {
            let input = Input::MaintenanceEnabled(Some(Box::new(saved)));
            loop_handle.send_input(input);
        }
        self.apply_overrides(file.overrides, loop_handle);
    }

    /// Takes over only what is newer: otherwise each process would answer the other's file with its own, without end.
    fn apply_overrides(&self, overrides: Overrides, loop_handle: &LoopHandle) {
        let mut known = self.overrides.borrow_mut();
        let newer = newer_than(&known, overrides);
        if newer.is_empty() {
            return;
        }
        keep_newest(&mut known, newer.clone());
        loop_handle.send_input(override_input(newer));
    }

    fn max_client_connections(&self, limits: ProcessLimits, others: usize) -> usize {
        let held_by_others = if others > 0 {
            self.other_clients.get()
        } else {
            0
        };
        let left = limits.clients.saturating_sub(held_by_others);
        left.max(limits.clients / MIN_CLIENT_PARTS).max(1)
    }

    /// Removes the files of dead processes once this process's own file, written since, has all that they told.
    fn remove_dead_files(&self, now: u64) {
        let Some(since) = self.alone_since.get() else {
            return;
        };
        let is_saved_since = self.saved_at.get() > since + DEAD_FILE_TIME / 2;
        if now > since + DEAD_FILE_TIME && is_saved_since {
            self.alone_since.set(None);
            self.directory.borrow_mut().remove_dead();
        }
    }
}

/// Holds what each of so many processes may hold.
fn apply_process_count(processes: usize, limits: ProcessLimits, loop_handle: &LoopHandle) {
    info!(
        processes,
        share = ?limits,
        "the limits are there for so many processes"
    );
    loop_handle.set_limits(FlowLimits {
        flows: limits.flows,
        bytes: limits.bytes,
    });
    loop_handle.send_input(Input::ConnectionLimit(limits.targets));
    let count = u32::try_from(processes).unwrap_or(u32::MAX);
    loop_handle.send_input(Input::ProcessCount(count));
}
