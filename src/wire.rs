//! Translation between the simulator's wire and [`crate::api`]. Nothing is decided here.

use crate::api::*;
use crate::decide::Dispatcher;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::panic::{catch_unwind, AssertUnwindSafe};

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
}

#[derive(Debug, Deserialize)]
struct Request {
    #[serde(rename = "ref")]
    id: u64,
    #[serde(rename = "expires-ms")]
    expires: f64,
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

#[derive(Debug, Deserialize)]
struct Facts {
    allowed: Allowed,
    #[serde(default)]
    az: u32,
    classes: Vec<ClassFacts>,
    #[serde(default)]
    costs: BTreeMap<String, f64>,
    #[serde(default)]
    discovery: String,
    goal: BTreeMap<String, f64>,
    #[serde(rename = "over-share-worth")]
    over_share_worth: Option<f64>,
    #[serde(rename = "peers-total")]
    peers_total: u32,
    report: Option<ReportFacts>,
    rules: RuleFacts,
    #[serde(default)]
    specifics: Specifics,
    tenants: Option<Vec<TenantFacts>>,
    #[serde(rename = "tick-ms")]
    tick: f64,
    #[serde(rename = "worth-by")]
    worth_by: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Allowed {
    attempts_cap: u32,
    conn_idle_ms: Option<f64>,
    #[serde(default)]
    may_cancel: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    second_copies: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ms: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ClassFacts {
    slo_ms: f64,
    hard_limit_ms: f64,
    aim_stretch: Option<f64>,
    effect: String,
    group: Option<String>,
    memory_span_ms: Option<f64>,
    #[serde(default)]
    points: f64,
    late_worth: Option<f64>,
}

#[derive(Debug, Deserialize)]
struct ReportFacts {
    names: Option<Vec<String>>,
    via: String,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RuleFacts {
    cold_ms: f64,
    fall_ms: f64,
    must_ask_in_ms: Option<f64>,
    start_capacity: f64,
    tip_multiple: f64,
    spare_attempts: Option<f64>,
    extra_ratio: Option<f64>,
    extra_window_ms: Option<f64>,
    hang_up_within_ms: Option<f64>,
    full_may_have_run: Option<bool>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Specifics {
    class_kind: Vec<i64>,
    class_stretch: Vec<f64>,
    progress_ms: f64,
    report_x0: Option<String>,
    tells_start: bool,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct TenantFacts {
    quota_per_s: Option<f64>,
    portion: Option<f64>,
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

/// Milliseconds as the wire has them, to whole microseconds; what is not a time counts as 0.
fn micros(ms: f64) -> Micros {
    (ms * 1000.0 + 0.5).clamp(0.0, 9.0e15) as Micros
}

fn millis(t: Micros) -> f64 {
    t as f64 / 1000.0
}

fn outcome(code: i64) -> Outcome {
    match code {
        0 => Outcome::Done,
        255 => Outcome::Error,
        254 => Outcome::Full,
        253 => Outcome::TimedOut,
        252 => Outcome::ConnectFailed,
        251 => Outcome::Reset,
        250 => Outcome::Cancelled,
        249 => Outcome::NotSent,
        _ => Outcome::Unknown,
    }
}

/// A stated span: where one is given, it must be one.
fn stated(ms: f64, name: &'static str) -> Result<Micros, SettingsError> {
    let sound = ms.is_finite() && ms >= 0.0;
    sound.then(|| micros(ms)).ok_or(SettingsError::BadFigure(name))
}

/// None where nothing of it is stated; a figure that needs a window has one, or the settings are at fault.
fn retry_budget(r: &RuleFacts) -> Result<Option<RetryBudget>, SettingsError> {
    if r.spare_attempts.is_none() && r.extra_ratio.is_none() && r.extra_window_ms.is_none() {
        return Ok(None);
    }
    let minimum = r.spare_attempts.unwrap_or(0.0);
    if !(0.0..=f64::from(u32::MAX)).contains(&minimum) {
        return Err(SettingsError::BadFigure("retry_budget.minimum"));
    }
    let window = stated(r.extra_window_ms.unwrap_or(0.0), "retry_budget.window")?;
    Ok(Some(RetryBudget { minimum: minimum as u32, ratio: r.extra_ratio.unwrap_or(0.0), window }))
}

fn settings(f: &Facts) -> Result<Settings, SettingsError> {
    let x = &f.specifics;
    let class = |(i, c): (usize, &ClassFacts)| Class {
        aim: micros(c.slo_ms),
        stretch: c.aim_stretch.or(x.class_stretch.get(i).copied()).unwrap_or(0.0),
        give_up: micros(c.hard_limit_ms),
        worth: c.points,
        late_worth: c.late_worth.unwrap_or(0.0),
        idempotency: match c.effect.as_str() {
            "pure" => Idempotency::Safe,
            "token" => Idempotency::Keyed {
                scope: match c.group.as_deref() {
                    Some("all") => Scope::All,
                    Some("zone") => Scope::Zone,
                    _ => Scope::Cell,
                },
                memory: micros(c.memory_span_ms.unwrap_or(0.0)),
            },
            _ => Idempotency::Unsafe,
        },
        kind: x.class_kind.get(i).and_then(|k| u32::try_from(*k).ok()),
    };
    let tenant = |t: &TenantFacts| Tenant {
        quota_per_s: t.quota_per_s.unwrap_or(0.0),
        share: t.portion.unwrap_or(0.0),
    };
    let cost = |name: &str| f.costs.get(name).copied().unwrap_or(0.0);
    let goal = |name: &str| f.goal.get(name).copied().unwrap_or(0.0);
    Ok(Settings {
        dispatchers: f.peers_total,
        zone: f.az,
        classes: f.classes.iter().enumerate().map(class).collect(),
        tenants: f.tenants.iter().flatten().map(tenant).collect(),
        goal: Goal {
            overall: goal("whole"),
            worst_window: goal("worst-window"),
            worst_class: goal("worst-class"),
            worst_tenant: goal("worst-tenant"),
        },
        worth_by_work: f.worth_by.as_deref() == Some("work"),
        over_share_worth: f.over_share_worth.unwrap_or(1.0),
        waste_price: cost("waste"),
        discovery: if f.discovery == "on_request" {
            Discovery::OnRequest { ask_within: micros(f.rules.must_ask_in_ms.unwrap_or(10_000.0)) }
        } else {
            Discovery::Pushed
        },
        reports: match f.report.as_ref().map(|r| r.via.as_str()) {
            Some("answers") => Reports::Outcomes,
            Some("probe") => Reports::Probes,
            _ => Reports::None,
        },
        start_notices: x.tells_start,
        progress_every: (x.progress_ms > 0.0).then(|| micros(x.progress_ms)),
        limits: Limits {
            attempts: f.allowed.attempts_cap,
            concurrent_attempts: f.allowed.second_copies,
            cancel: f.allowed.may_cancel,
            probe: f.allowed.probes,
            probe_price: cost("probe"),
            cross_zone_price: cost("cross-zone"),
            connect_price: cost("handshake"),
            connection_idle: micros(f.allowed.conn_idle_ms.unwrap_or(f64::INFINITY)),
            tell: if f.allowed.peers { MESSAGE_BYTES / ENTRY_BYTES } else { 0 },
            tell_price: cost("peer") * ENTRY_BYTES as f64 / MESSAGE_BYTES as f64,
            retry_after: f.allowed.retry_after.then(|| micros(f.allowed.max_retry_after_ms)),
        },
        rules: Rules {
            cold_for: micros(f.rules.cold_ms),
            start_capacity: f.rules.start_capacity,
            tip_multiple: f.rules.tip_multiple,
            tip_window: micros(f.rules.fall_ms),
            retry_budget: retry_budget(&f.rules)?,
            refusal_inconclusive: f.rules.full_may_have_run.unwrap_or(false),
            close_on_drain: f.rules.hang_up_within_ms.map(|t| stated(t, "close_on_drain")).transpose()?,
        },
        tick: micros(f.tick),
    })
}

/// Longest message between dispatchers, and one entry of it: a worker's mark and slots up to 255.
const MESSAGE_BYTES: usize = 256;
const ENTRY_BYTES: usize = 5;

/// What dispatchers call a worker among themselves: 32 bits of FNV-1a over its name.
fn mark(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |h: u32, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
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
        let names = f.report.as_ref().and_then(|r| r.names.as_deref()).unwrap_or_default();
        let at = |name: &str| names.iter().position(|n| n == name);
        let x0_is_slots = f.specifics.report_x0.as_deref().is_none_or(|t| t.contains("free slots"));
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
    dispatcher: Dispatcher,
    layout: ReportLayout,
    names: Vec<String>,
    numbers: HashMap<String, WorkerId>,
    marks: HashMap<u32, WorkerId>,
}

impl Instance {
    fn number(&mut self, name: &str) -> WorkerId {
        if let Some(id) = self.numbers.get(name) {
            return *id;
        }
        let id = WorkerId(self.names.len() as u32);
        self.names.push(name.to_owned());
        self.marks.insert(mark(name), id);
        self.numbers.insert(name.to_owned(), id);
        id
    }

    /// Entries of unknown workers and what is cut short are left out.
    fn told(&self, m: &Datagram) -> Event {
        let entry = |at: usize| {
            let text = m.raw.get(at..at + 2 * ENTRY_BYTES)?;
            let mark = u32::from_str_radix(text.get(..8)?, 16).ok()?;
            let slots = u32::from_str_radix(text.get(8..)?, 16).ok()?;
            Some((*self.marks.get(&mark)?, slots))
        };
        let held = (0..m.raw.len()).step_by(2 * ENTRY_BYTES).filter_map(entry).collect();
        Event::Told { from: m.src_peer, held }
    }

    fn event(&mut self, message: &Message) -> Option<Event> {
        if let Some(m) = &message.settled {
            Some(Event::Ended {
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
                1 => Some(Event::Started { job, attempt, worker }),
                2 => Some(Event::Progress { job, attempt, worker, done: m.level.unwrap_or(0.0) }),
                _ => None,
            }
        } else if let Some(m) = &message.req {
            Some(Event::Job(JobSpec {
                id: JobId(m.id),
                class: m.cls,
                tenant: m.project.unwrap_or(0),
                slots: m.slots.unwrap_or(1.0),
                expires: micros(m.expires),
                work: m.work.map(micros),
            }))
        } else if let Some(m) = &message.datagram {
            Some(self.told(m))
        } else if message.timer.is_some() {
            Some(Event::Wake)
        } else if let Some(m) = &message.left {
            Some(Event::ClientGone(JobId(m.id)))
        } else if let Some(m) = &message.echo {
            Some(Event::Probed {
                worker: self.number(m.worker),
                outcome: outcome(m.how),
                report: self.layout.read(&m.report),
            })
        } else if let Some(m) = &message.started {
            Some(Event::StreamBegun { job: JobId(m.id), attempt: m.leg, worker: self.number(m.worker) })
        } else if let Some(m) = &message.membership {
            let kind = match m.kind.as_str() {
                "patch" => ListKind::Changes,
                "whole" => ListKind::Whole,
                "stale_copy" => ListKind::Inherited,
                _ => return Some(Event::ListFailed),
            };
            let entries = m.entries.iter().flatten().map(|e| Listing {
                worker: self.number(e.worker),
                status: match e.status.as_str() {
                    "ready" => Status::Ready,
                    "gone" => Status::Gone,
                    _ => Status::Draining,
                },
                kind: e.kind.unwrap_or(0),
                zone: e.dc.unwrap_or(0),
                cell: e.cohort.unwrap_or(0),
                started: e.last_start.filter(|t| *t > 0.0).map(micros),
            });
            let entries = entries.collect();
            Some(Event::Listed { kind, entries })
        } else {
            None
        }
    }

    fn order(&self, action: Action) -> Option<Order<'_>> {
        let name = |w: WorkerId| self.names.get(w.0 as usize).map(String::as_str);
        Some(match action {
            Action::Push { job, worker } => Order::Try { id: job.0, worker: name(worker)? },
            Action::Cancel { job, attempt } => Order::Abandon { id: job.0, leg: attempt },
            Action::Refuse { job, retry_after } => {
                Order::Bounce { id: job.0, come_back: retry_after.map(millis) }
            }
            Action::Fail { job } => Order::Error { id: job.0 },
            Action::Probe { worker } => Order::SoundOut { worker: name(worker)? },
            Action::CloseIdle { worker } => Order::Disconnect { worker: name(worker)? },
            Action::Tell { held } => {
                let entry = |(w, slots): &(WorkerId, u32)| {
                    Some(format!("{:08x}{:02x}", mark(name(*w)?), (*slots).min(255)))
                };
                Order::Publish { peer: "all", raw: held.iter().filter_map(entry).collect() }
            }
            Action::Watch => Order::KeepInformed { want: true },
            Action::WakeAt(t) => Order::Remind { due: millis(t), handle: "wake" },
        })
    }
}

/// The instances of one process; they share nothing.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Option<Instance>>,
}

impl Host {
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
                (Ok(actions), Some(Some(i))) => actions.into_iter().filter_map(|a| i.order(a)).collect(),
                (Ok(_), _) => vec![],
            };
            if !output.is_empty() {
                dispatchers.push(Output { who, output });
            }
        }
        serde_json::to_string(&Reply { n: batch.n, dispatchers }).map_err(|e| e.to_string())
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
            let made = settings(&start.facts).and_then(|s| Dispatcher::new(s, start.init_seed));
            let layout = ReportLayout::new(&start.facts);
            return Ok(match made {
                Ok(dispatcher) => {
                    let (names, numbers, marks) = (Vec::new(), HashMap::new(), HashMap::new());
                    let instance = Instance { dispatcher, layout, names, numbers, marks };
                    self.instances.insert(who, Some(instance));
                    Ok(())
                }
                Err(e) => {
                    self.instances.insert(who, None);
                    Err(e.to_string())
                }
            });
        }
        let instance = match self.instances.get_mut(&who) {
            Some(Some(instance)) => instance,
            Some(None) => return Ok(Ok(())),
            None => return Err(format!("an event for instance {who}, which was never started")),
        };
        let Some(event) = instance.event(message) else { return Ok(Ok(())) };
        let handled = catch_unwind(AssertUnwindSafe(|| instance.dispatcher.handle(now, event, actions)));
        Ok(handled.map_err(|_| "the decision module panicked".to_string()))
    }
}
