//! Translation between the simulator's wire and [`dispatch_api`]. Nothing is decided here.
//!
//! ```rust
//! use dispatch_api::{Action, Event, ListUpdateKind, WorkerEntry, WorkerStatus, WorkerId};
//! use simulator_protocol::Host;
//!
//! // The simulator's wire: one line in, one line out. An empty batch gets an empty reply.
//! let reply = Host::default().answer(r#"{"sim-time-ms":1.0,"n":1,"dispatchers":[]}"#);
//! assert_eq!(reply.as_deref(), Ok(r#"{"n":1,"dispatchers":[]}"#));
//!
//! // The same types, without any wire.
//! let listing = WorkerEntry { worker: WorkerId(0), status: WorkerStatus::Ready, ..WorkerEntry::default() };
//! let _event = Event::WorkersUpdated { kind: ListUpdateKind::Full, entries: vec![listing] };
//! let _action = Action::WatchWorkers;
//! ```

#![expect(clippy::too_many_lines, reason = "not revised yet")]

use degradation::DegradingDispatcher;
use dispatch_api::load_exchange::{self, name_hash};
use dispatch_api::{
    Action, DiscoveryFailure, Event, JobId, JobSpec, ListUpdateKind, LoadReport, Micros, Outcome,
    WorkerEntry, WorkerId, WorkerStatus,
};
use dispatcher_settings::facts::{micros, settings, Facts};
use dispatcher_settings::operator::{Operator, Source};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

/// One line from the simulator.
#[derive(Debug, Deserialize)]
struct Batch<'a> {
    #[serde(rename = "sim-time-ms")]
    now: f64,
    n: u64,
    #[serde(borrow)]
    dispatchers: Vec<Group<'a>>,
}

#[derive(Debug, Deserialize)]
struct Group<'a> {
    who: u64,
    #[serde(borrow)]
    msgs: Vec<Message<'a>>,
}

/// One message: an object with a single known key. Unknown keys are skipped.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Message<'a> {
    start: Option<Start>,
    #[serde(borrow)]
    membership: Option<Membership<'a>>,
    req: Option<Request>,
    #[serde(borrow)]
    started: Option<Leg<'a>>,
    left: Option<Left>,
    killed: Option<serde::de::IgnoredAny>,
    #[serde(borrow)]
    echo: Option<Echo<'a>>,
    timer: Option<serde::de::IgnoredAny>,
    #[serde(borrow)]
    datagram: Option<Datagram<'a>>,
    #[serde(borrow)]
    interim: Option<Interim<'a>>,
    #[serde(borrow)]
    settled: Option<Settled<'a>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Start {
    init_seed: u64,
    facts: Box<Facts>,
}

#[derive(Debug, Deserialize)]
struct Membership<'a> {
    kind: String,
    #[serde(borrow)]
    entries: Option<Vec<Entry<'a>>>,
}

#[derive(Debug, Deserialize)]
struct Entry<'a> {
    worker: &'a str,
    status: String,
    #[serde(rename = "generation-hw")]
    kind: Option<u32>,
    dc: Option<u32>,
    cohort: Option<u32>,
    #[serde(rename = "last-start-ms")]
    last_start: Option<f64>,
    rating: Option<f64>,
}

#[derive(Debug, Deserialize)]
struct Request {
    #[serde(rename = "ref")]
    id: u64,
    #[serde(rename = "expires-ms")]
    expires: f64,
    #[serde(rename = "route-key")]
    key: Option<u64>,
    #[serde(rename = "cores-needed")]
    slots: Option<f64>,
    project: Option<usize>,
    #[serde(rename = "work-ms")]
    work: Option<f64>,
    cls: usize,
}

#[derive(Debug, Deserialize)]
struct Leg<'a> {
    #[serde(rename = "ref")]
    id: u64,
    leg: u32,
    worker: &'a str,
}

#[derive(Debug, Deserialize)]
struct Left {
    #[serde(rename = "ref")]
    id: u64,
}

#[derive(Debug, Deserialize)]
struct Echo<'a> {
    worker: &'a str,
    how: i64,
    report: Option<Vec<Option<f64>>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Datagram<'a> {
    src_peer: u32,
    raw: &'a str,
}

#[derive(Debug, Deserialize)]
struct Interim<'a> {
    #[serde(rename = "ref")]
    id: u64,
    leg: u32,
    worker: &'a str,
    level: Option<f64>,
    what: i64,
}

#[derive(Debug, Deserialize)]
struct Settled<'a> {
    #[serde(rename = "ref")]
    id: u64,
    leg: u32,
    worker: &'a str,
    how: i64,
    finished: Option<bool>,
    report: Option<Vec<Option<f64>>>,
}

#[derive(Debug, Serialize)]
struct Reply<'a> {
    n: u64,
    dispatchers: Vec<Output<'a>>,
}

#[derive(Debug, Serialize)]
struct Output<'a> {
    who: u64,
    output: Vec<Order<'a>>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Order<'a> {
    Try {
        #[serde(rename = "ref")]
        id: u64,
        worker: &'a str,
    },
    Abandon {
        #[serde(rename = "ref")]
        id: u64,
        leg: u32,
    },
    Bounce {
        #[serde(rename = "ref")]
        id: u64,
        #[serde(rename = "come-back-ms")]
        come_back: Option<f64>,
    },
    Error {
        #[serde(rename = "ref")]
        id: u64,
    },
    SoundOut {
        worker: &'a str,
    },
    Disconnect {
        worker: &'a str,
    },
    Publish {
        peer: &'static str,
        raw: String,
    },
    KeepInformed {
        want: bool,
    },
    Remind {
        #[serde(rename = "due-at-ms")]
        due: f64,
        handle: &'static str,
    },
    Panic {
        text: String,
    },
}

fn millis(t: Micros) -> f64 {
    t as f64 / 1000.0
}

fn outcome(code: i64) -> Outcome {
    match code {
        0 => Outcome::Done,
        255 => Outcome::Error,
        254 => Outcome::Rejected,
        253 => Outcome::TimedOut,
        252 => Outcome::ConnectFailed,
        251 => Outcome::Reset,
        250 => Outcome::Cancelled,
        249 => Outcome::NotSent,
        _ => Outcome::Unknown,
    }
}

/// Where each value of a load report stands.
#[derive(Debug, Default)]
struct ReportLayout {
    free_slots: Option<usize>,
    queued: Option<usize>,
    outstanding: Option<usize>,
}

impl ReportLayout {
    fn new(f: &Facts) -> Self {
        let names = f
            .report
            .as_ref()
            .and_then(|r| r.names.as_deref())
            .unwrap_or_default();
        let at = |name: &str| names.iter().position(|n| n == name);
        let x0_is_slots = f
            .specifics
            .report_x0
            .as_deref()
            .is_none_or(|t| t.contains("free slots"));
        ReportLayout {
            free_slots: at("x0").filter(|_| x0_is_slots),
            queued: at("depth"),
            outstanding: at("concurrent"),
        }
    }

    fn read(&self, row: &Option<Vec<Option<f64>>>) -> Option<LoadReport> {
        let row = row.as_ref()?;
        let value = |at: Option<usize>| at.and_then(|i| row.get(i).copied().flatten());
        Some(LoadReport {
            free_slots: value(self.free_slots),
            queued: value(self.queued),
            outstanding: value(self.outstanding),
        })
    }
}

/// One dispatcher with the names that its wire uses.
struct Instance {
    decisions: DegradingDispatcher,
    layout: ReportLayout,
    names: Vec<String>,
    numbers: HashMap<String, WorkerId>,
    name_hashes: HashMap<u32, WorkerId>,
}

impl Instance {
    fn number(&mut self, name: &str) -> WorkerId {
        if let Some(id) = self.numbers.get(name) {
            return *id;
        }
        let id = WorkerId(self.names.len() as u32);
        self.names.push(name.to_owned());
        self.name_hashes.insert(name_hash(name), id);
        self.numbers.insert(name.to_owned(), id);
        id
    }

    /// Entries of unknown workers and what is cut short are left out.
    fn told(&self, m: &Datagram) -> Event {
        let bytes = m.raw.as_bytes().chunks_exact(2).map_while(|pair| {
            let text = std::str::from_utf8(pair).ok()?;
            u8::from_str_radix(text, 16).ok()
        });
        let known = |(name_hash, slots)| Some((*self.name_hashes.get(&name_hash)?, slots));
        let held = load_exchange::decode_entries(&bytes.collect::<Vec<u8>>())
            .filter_map(known)
            .collect();
        Event::PeerLoad {
            from: m.src_peer,
            held,
        }
    }

    fn event(&mut self, message: &Message) -> Option<Event> {
        if let Some(m) = &message.settled {
            Some(Event::AttemptEnded {
                job: JobId(m.id),
                attempt: m.leg,
                worker: self.number(m.worker),
                outcome: outcome(m.how),
                finished: m.finished.unwrap_or(false),
                report: self.layout.read(&m.report),
            })
        } else if let Some(m) = &message.interim {
            let (job, attempt, worker) = (JobId(m.id), m.leg, self.number(m.worker));
            match m.what {
                1 => Some(Event::JobStarted {
                    job,
                    attempt,
                    worker,
                }),
                2 => Some(Event::JobProgress {
                    job,
                    attempt,
                    worker,
                    done: m.level.unwrap_or(0.0),
                }),
                _ => None,
            }
        } else if let Some(m) = &message.req {
            Some(Event::JobAccepted(JobSpec {
                id: JobId(m.id),
                class: m.cls,
                tenant: m.project.unwrap_or(0),
                slots: m.slots.unwrap_or(1.0),
                expires: micros(m.expires),
                work: m.work.map(micros),
                key: m.key,
            }))
        } else if let Some(m) = &message.datagram {
            Some(self.told(m))
        } else if message.timer.is_some() {
            Some(Event::Wake)
        } else if let Some(m) = &message.left {
            Some(Event::ClientDisconnected(JobId(m.id)))
        } else if let Some(m) = &message.echo {
            Some(Event::ProbeEnded {
                worker: self.number(m.worker),
                outcome: outcome(m.how),
                report: self.layout.read(&m.report),
            })
        } else if let Some(m) = &message.started {
            Some(Event::StreamStarted {
                job: JobId(m.id),
                attempt: m.leg,
                worker: self.number(m.worker),
            })
        } else if let Some(m) = &message.membership {
            let kind = match m.kind.as_str() {
                "patch" => ListUpdateKind::Incremental,
                "whole" => ListUpdateKind::Full,
                "stale_copy" => ListUpdateKind::Inherited,
                _ => return Some(Event::WatchFailed(DiscoveryFailure::Failed)),
            };
            let entries = m.entries.iter().flatten().map(|e| WorkerEntry {
                worker: self.number(e.worker),
                name_hash: name_hash(e.worker),
                status: match e.status.as_str() {
                    "ready" => WorkerStatus::Ready,
                    "gone" => WorkerStatus::Removed,
                    _ => WorkerStatus::Draining,
                },
                kind: e.kind.unwrap_or(0),
                zone: e.dc.unwrap_or(0),
                cell: e.cohort.unwrap_or(0),
                started: e.last_start.filter(|t| *t > 0.0).map(micros),
                weight: e.rating,
            });
            let entries = entries.collect();
            Some(Event::WorkersUpdated { kind, entries })
        } else {
            None
        }
    }

    fn order(&self, action: Action) -> Option<Order<'_>> {
        let name = |w: WorkerId| self.names.get(w.0 as usize).map(String::as_str);
        Some(match action {
            Action::Push { job, worker } => Order::Try {
                id: job.0,
                worker: name(worker)?,
            },
            Action::CancelAttempt { job, attempt } => Order::Abandon {
                id: job.0,
                leg: attempt,
            },
            Action::RejectJob { job, retry_after } => Order::Bounce {
                id: job.0,
                come_back: retry_after.map(millis),
            },
            Action::FailJob { job } => Order::Error { id: job.0 },
            Action::Probe { worker } => Order::SoundOut {
                worker: name(worker)?,
            },
            Action::CloseIdleConnections { worker } => Order::Disconnect {
                worker: name(worker)?,
            },
            Action::PublishLoad { held } => {
                let entry = |(w, slots): &(WorkerId, u32)| {
                    Some(load_exchange::encode_entry(name_hash(name(*w)?), *slots))
                };
                let hex = |byte: u8| format!("{byte:02x}");
                let raw = held.iter().filter_map(entry).flatten().map(hex).collect();
                Order::Publish { peer: "all", raw }
            }
            Action::WatchWorkers => Order::KeepInformed { want: true },
            Action::WakeAt(t) => Order::Remind {
                due: millis(t),
                handle: "wake",
            },
        })
    }
}

/// The instances of one process; they share nothing.
#[derive(Default)]
pub struct Host {
    operator: Option<(Operator, Source)>,
    instances: BTreeMap<u64, Option<Instance>>,
}

impl Host {
    /// A host whose instances take what concerns them from an operators' file.
    pub fn new(operator: Option<(Operator, Source)>) -> Self {
        Host {
            operator,
            instances: BTreeMap::new(),
        }
    }

    fn start(&self, start: &Start) -> Result<DegradingDispatcher, String> {
        let classes: Vec<String> = start.facts.classes.iter().map(|c| c.name.clone()).collect();
        let spec = self
            .operator
            .as_ref()
            .map(|(operator, source)| operator.spec(&classes, source));
        let spec = spec.transpose().map_err(|e| e.to_string())?.flatten();
        let settings = settings(&start.facts).map_err(|e| e.to_string())?;
        DegradingDispatcher::new(settings, start.init_seed, spec.map(Arc::new))
            .map_err(|e| e.to_string())
    }

    /// Answers one line.
    ///
    /// # Errors
    /// A plain text that says what is wrong with the line. Nothing of it has an answer then.
    pub fn answer(&mut self, line: &str) -> Result<String, String> {
        let batch: Batch = serde_json::from_str(line).map_err(|e| e.to_string())?;
        if !batch.now.is_finite() {
            return Err("the clock is not a number".into());
        }
        let now = micros(batch.now);
        let mut results: Vec<(u64, Result<Vec<Action>, String>)> =
            Vec::with_capacity(batch.dispatchers.len());
        for group in &batch.dispatchers {
            let mut actions = Vec::new();
            let mut fault = None;
            for message in &group.msgs {
                if let Err(text) = self.deliver(group.who, now, message, &mut actions)? {
                    fault.get_or_insert(text);
                }
            }
            results.push((group.who, fault.map_or(Ok(actions), Err)));
        }
        let mut dispatchers = Vec::with_capacity(results.len());
        for (who, result) in results {
            let output = match (result, self.instances.get(&who)) {
                (Err(text), _) => vec![Order::Panic { text }],
                (Ok(actions), Some(Some(i))) => {
                    actions.into_iter().filter_map(|a| i.order(a)).collect()
                }
                (Ok(_), _) => vec![],
            };
            if !output.is_empty() {
                dispatchers.push(Output { who, output });
            }
        }
        serde_json::to_string(&Reply {
            n: batch.n,
            dispatchers,
        })
        .map_err(|e| e.to_string())
    }

    /// The outer error is the line's fault, the inner one the instance's.
    fn deliver(
        &mut self,
        who: u64,
        now: Micros,
        message: &Message,
        actions: &mut Vec<Action>,
    ) -> Result<Result<(), String>, String> {
        if message.killed.is_some() {
            // What the old life ordered in this batch must not reach the new one.
            actions.clear();
            self.instances.insert(who, None);
            return Ok(Ok(()));
        }
        if let Some(start) = &message.start {
            actions.clear();
            let made = self.start(start);
            let layout = ReportLayout::new(&start.facts);
            return Ok(match made {
                Ok(decisions) => {
                    let (names, numbers, name_hashes) =
                        (Vec::new(), HashMap::new(), HashMap::new());
                    let instance = Instance {
                        decisions,
                        layout,
                        names,
                        numbers,
                        name_hashes,
                    };
                    self.instances.insert(who, Some(instance));
                    Ok(())
                }
                Err(e) => {
                    self.instances.insert(who, None);
                    Err(e)
                }
            });
        }
        let instance = match self.instances.get_mut(&who) {
            Some(Some(instance)) => instance,
            Some(None) => return Ok(Ok(())),
            None => {
                return Err(format!(
                    "an event for instance {who}, which was never started"
                ))
            }
        };
        let Some(event) = instance.event(message) else {
            return Ok(Ok(()));
        };
        let handled = catch_unwind(AssertUnwindSafe(|| {
            instance.decisions.handle(now, event, actions)
        }));
        Ok(handled.map_err(|_| "the decision module panicked".to_string()))
    }
}
