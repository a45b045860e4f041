//! One dispatcher of the simulation, with the names of its workers.

use crate::error::InstanceError;
use crate::input::{outcome, Datagram, Interim, Membership, Message, Request};
use crate::output::Order;
use crate::report::ReportLayout;
use degradation::DegradingDispatcher;
use dispatch_api::load_exchange::{self, name_hash};
use dispatch_api::{
    Action, DiscoveryFailure, Event, JobId, JobSpec, ListUpdateKind, Micros, WorkerEntry, WorkerId,
    WorkerStatus,
};
use dispatcher_settings::settings_object::micros;
use std::collections::HashMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// One dispatcher of the simulation, with the names of its workers.
pub(crate) struct Instance {
    dispatcher: DegradingDispatcher,
    layout: ReportLayout,
    names: Vec<String>,
    ids: HashMap<String, WorkerId>,
    ids_by_hash: HashMap<u32, WorkerId>,
}

impl Instance {
    pub fn new(dispatcher: DegradingDispatcher, layout: ReportLayout) -> Self {
        Instance {
            dispatcher,
            layout,
            names: Vec::new(),
            ids: HashMap::new(),
            ids_by_hash: HashMap::new(),
        }
    }

    /// Handles a message. A panic of the decision module ends the instance, not the process.
    pub fn handle(
        &mut self,
        now: Micros,
        message: &Message<'_>,
        actions: &mut Vec<Action>,
    ) -> Result<(), InstanceError> {
        let Some(event) = self.event(message) else {
            return Ok(());
        };
        let handle = AssertUnwindSafe(|| self.dispatcher.handle(now, event, actions));
        catch_unwind(handle).map_err(|_| InstanceError::Panicked)
    }

    /// The id of a worker; the next one for a new name.
    fn worker_id(&mut self, name: &str) -> WorkerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = WorkerId(self.names.len() as u32);
        self.names.push(name.to_owned());
        self.ids_by_hash.insert(name_hash(name), id);
        self.ids.insert(name.to_owned(), id);
        id
    }

    fn event(&mut self, message: &Message<'_>) -> Option<Event> {
        if let Some(ended) = &message.attempt_ended {
            Some(Event::AttemptEnded {
                job: JobId(ended.job),
                attempt: ended.attempt,
                worker: self.worker_id(ended.worker),
                outcome: outcome(ended.outcome),
                finished: ended.finished.unwrap_or(false),
                report: self.layout.read(&ended.report),
            })
        } else if let Some(interim) = &message.interim {
            self.interim(interim)
        } else if let Some(request) = &message.request {
            Some(Event::JobAccepted(job_spec(request)))
        } else if let Some(datagram) = &message.datagram {
            Some(self.peer_load(datagram))
        } else if message.timer.is_some() {
            Some(Event::Wake)
        } else if let Some(left) = &message.client_left {
            Some(Event::ClientDisconnected(JobId(left.job)))
        } else if let Some(ended) = &message.probe_ended {
            Some(Event::ProbeEnded {
                worker: self.worker_id(ended.worker),
                outcome: outcome(ended.outcome),
                report: self.layout.read(&ended.report),
            })
        } else if let Some(started) = &message.started {
            Some(Event::StreamStarted {
                job: JobId(started.job),
                attempt: started.attempt,
                worker: self.worker_id(started.worker),
            })
        } else {
            let membership = message.membership.as_ref()?;
            Some(self.workers(membership))
        }
    }

    fn interim(&mut self, interim: &Interim<'_>) -> Option<Event> {
        let (job, attempt) = (JobId(interim.job), interim.attempt);
        let worker = self.worker_id(interim.worker);
        match interim.what {
            1 => Some(Event::JobStarted {
                job,
                attempt,
                worker,
            }),
            2 => {
                let done = interim.done.unwrap_or(0.0);
                Some(Event::JobProgress {
                    job,
                    attempt,
                    worker,
                    done,
                })
            }
            _ => None,
        }
    }

    /// Entries of unknown workers and truncated ones are left out.
    fn peer_load(&self, datagram: &Datagram<'_>) -> Event {
        let bytes = datagram.raw.as_bytes().chunks_exact(2).map_while(|pair| {
            let text = std::str::from_utf8(pair).ok()?;
            u8::from_str_radix(text, 16).ok()
        });
        let known = |(hash, slots)| Some((*self.ids_by_hash.get(&hash)?, slots));
        let bytes = bytes.collect::<Vec<u8>>();
        let held = load_exchange::decode_entries(&bytes)
            .filter_map(known)
            .collect();
        Event::PeerLoad {
            from: datagram.src_peer,
            held,
        }
    }

    fn workers(&mut self, membership: &Membership<'_>) -> Event {
        let kind = match membership.kind.as_str() {
            "patch" => ListUpdateKind::Incremental,
            "whole" => ListUpdateKind::Full,
            "stale_copy" => ListUpdateKind::Inherited,
            _ => return Event::WatchFailed(DiscoveryFailure::Failed),
        };
        let entries = membership
            .entries
            .iter()
            .flatten()
            .map(|entry| WorkerEntry {
                worker: self.worker_id(entry.worker),
                name_hash: name_hash(entry.worker),
                status: match entry.status.as_str() {
                    "ready" => WorkerStatus::Ready,
                    "gone" => WorkerStatus::Removed,
                    _ => WorkerStatus::Draining,
                },
                kind: entry.kind.unwrap_or(0),
                zone: entry.zone.unwrap_or(0),
                cell: entry.cell.unwrap_or(0),
                started: entry.last_start_ms.filter(|ms| *ms > 0.0).map(micros),
                weight: entry.weight,
            });
        let entries = entries.collect();
        Event::WorkersUpdated { kind, entries }
    }

    /// The order of an action; none if it is about a worker without a name.
    pub fn order(&self, action: Action) -> Option<Order<'_>> {
        let name = |worker: WorkerId| self.names.get(worker.0 as usize).map(String::as_str);
        Some(match action {
            Action::Push { job, worker } => Order::Push {
                job: job.0,
                worker: name(worker)?,
            },
            Action::CancelAttempt { job, attempt } => Order::CancelAttempt {
                job: job.0,
                attempt,
            },
            Action::RejectJob { job, retry_after } => Order::Reject {
                job: job.0,
                retry_after_ms: retry_after.map(millis),
            },
            Action::FailJob { job } => Order::Fail { job: job.0 },
            Action::Probe { worker } => Order::Probe {
                worker: name(worker)?,
            },
            Action::CloseIdleConnections { worker } => Order::CloseIdleConnections {
                worker: name(worker)?,
            },
            Action::PublishLoad { held } => {
                let entry = |(worker, slots): &(WorkerId, u32)| {
                    Some(load_exchange::encode_entry(
                        name_hash(name(*worker)?),
                        *slots,
                    ))
                };
                let hex = |byte: u8| format!("{byte:02x}");
                let raw = held.iter().filter_map(entry).flatten().map(hex).collect();
                Order::PublishLoad { peer: "all", raw }
            }
            Action::WatchWorkers => Order::WatchWorkers { want: true },
            Action::WakeAt(due) => Order::WakeAt {
                due_ms: millis(due),
                handle: "wake",
            },
        })
    }
}

fn job_spec(request: &Request) -> JobSpec {
    JobSpec {
        id: JobId(request.job),
        class: request.class,
        tenant: request.tenant.unwrap_or(0),
        slots: request.slots.unwrap_or(1.0),
        expires: micros(request.expires_ms),
        work: request.work_ms.map(micros),
        key: request.key,
    }
}

fn millis(micros: Micros) -> f64 {
    micros as f64 / 1000.0
}
