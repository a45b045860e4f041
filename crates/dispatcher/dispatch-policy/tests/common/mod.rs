//! A dispatcher under test with its clock.
#![allow(dead_code)]

use dispatch_api::*;
use dispatch_policy::Dispatcher;

pub const MS: Micros = 1_000;
pub const START: Micros = 1_000_000_000;

pub fn class(idempotency: Idempotency) -> JobClass {
    JobClass {
        latency_target: 400 * MS,
        target_stretch: 2.0,
        client_timeout: 5_000 * MS,
        job_value: 1.0,
        late_value_share: 0.5,
        idempotency,
        kind: None,
    }
}

pub fn settings(classes: Vec<JobClass>) -> Settings {
    Settings {
        dispatchers: 1,
        zone: 0,
        classes,
        tenants: vec![],
        goal: ObjectiveWeights {
            overall: 0.6,
            worst_window: 0.1,
            worst_class: 0.3,
            worst_tenant: 0.0,
        },
        value_by_work: false,
        over_share_value: 0.1,
        waste_price: 0.0,
        discovery: Discovery::Pushed,
        reports: LoadReporting::Outcomes,
        start_notices: true,
        progress_every: None,
        live_weights: false,
        limits: Limits {
            attempts: 5,
            concurrent_attempts: false,
            cancel: true,
            probe: true,
            probe_price: 0.002,
            cross_zone_price: 0.0,
            connect_price: 0.0,
            connection_idle: 60_000 * MS,
            tell: 0,
            peer_price: 0.0,
            retry_after: Some(2_000 * MS),
        },
        rules: Rules {
            warm_up: 20_000 * MS,
            start_capacity: 0.2,
            overload_multiple: 3.0,
            overload_window: 1_000 * MS,
            retry_budget: None,
            refusal_inconclusive: false,
            close_on_drain: None,
        },
        tick: 2 * MS,
    }
}

pub fn safe() -> JobClass {
    class(Idempotency::Idempotent)
}

pub fn unsafe_class() -> JobClass {
    class(Idempotency::NonIdempotent)
}

pub fn keyed(scope: DeduplicationScope) -> JobClass {
    class(Idempotency::Keyed {
        scope,
        memory: 3_000 * MS,
    })
}

pub fn listing(worker: u32) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(worker),
        name_hash: worker,
        status: WorkerStatus::Ready,
        kind: 0,
        zone: 0,
        cell: worker / 2,
        started: None,
        weight: None,
    }
}

pub struct Rig {
    pub d: Dispatcher,
    pub now: Micros,
    pub expires_in: Micros,
    pub work: Option<Micros>,
    pub key: Option<u64>,
}

impl Rig {
    pub fn new(settings: Settings, workers: u32) -> Self {
        Rig::seeded(settings, workers, 7)
    }

    pub fn seeded(settings: Settings, workers: u32, seed: u64) -> Self {
        let d = Dispatcher::new(settings, seed).expect("usable settings");
        let mut rig = Rig {
            d,
            now: START,
            expires_in: 5_000 * MS,
            work: None,
            key: None,
        };
        rig.list(
            ListUpdateKind::Inherited,
            (0..workers).map(listing).collect(),
        );
        rig
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.d.handle(self.now, event, &mut out);
        out
    }

    pub fn list(&mut self, kind: ListUpdateKind, entries: Vec<WorkerEntry>) -> Vec<Action> {
        self.event(Event::WorkersUpdated { kind, entries })
    }

    pub fn job(&mut self, id: u64, class: usize, slots: f64) -> Vec<Action> {
        let expires = self.now + self.expires_in;
        let (work, key) = (self.work, self.key);
        self.event(Event::JobAccepted(JobSpec {
            id: JobId(id),
            class,
            tenant: 0,
            slots,
            expires,
            work,
            key,
        }))
    }

    pub fn started(&mut self, id: u64, attempt: u32, worker: WorkerId) -> Vec<Action> {
        self.event(Event::JobStarted {
            job: JobId(id),
            attempt,
            worker,
        })
    }

    pub fn ended(
        &mut self,
        id: u64,
        attempt: u32,
        worker: WorkerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let finished = outcome == Outcome::Done;
        self.event(Event::AttemptEnded {
            job: JobId(id),
            attempt,
            worker,
            outcome,
            finished,
            report: None,
        })
    }

    /// Answers each probe, and so on until nobody is asked any more; who was asked, and all that was done.
    pub fn answer_probes(
        &mut self,
        actions: Vec<Action>,
        report: impl Fn(WorkerId) -> LoadReport,
    ) -> (Vec<WorkerId>, Vec<Action>) {
        let (mut asked, mut done, mut next) = (Vec::new(), Vec::new(), actions);
        while !next.is_empty() {
            self.now += MS;
            let mut follow = Vec::new();
            for action in &next {
                if let Action::Probe { worker } = *action {
                    asked.push(worker);
                    let report = Some(report(worker));
                    follow.extend(self.event(Event::ProbeEnded {
                        worker,
                        outcome: Outcome::Done,
                        report,
                    }));
                }
            }
            done.extend(std::mem::replace(&mut next, follow));
        }
        (asked, done)
    }

    /// Moves the clock and wakes the dispatcher.
    pub fn after(&mut self, span: Micros) -> Vec<Action> {
        self.now += span;
        self.event(Event::Wake)
    }
}

pub fn pushes(actions: &[Action]) -> Vec<(u64, WorkerId)> {
    let push = |a: &Action| match a {
        Action::Push { job, worker } => Some((job.0, *worker)),
        _ => None,
    };
    actions.iter().filter_map(push).collect()
}

pub fn answers(actions: &[Action]) -> Vec<(u64, bool)> {
    let answer = |a: &Action| match a {
        Action::RejectJob { job, .. } => Some((job.0, true)),
        Action::FailJob { job } => Some((job.0, false)),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}

pub fn cancels(actions: &[Action]) -> Vec<(u64, u32)> {
    let cancel = |a: &Action| match a {
        Action::CancelAttempt { job, attempt } => Some((job.0, *attempt)),
        _ => None,
    };
    actions.iter().filter_map(cancel).collect()
}
