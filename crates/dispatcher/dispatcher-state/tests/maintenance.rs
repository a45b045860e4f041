//! Maintenance through the reducer: a target that a plan has out gets no request, returns when its
//! work is done, and stays out across a restart of the dispatcher.

#[path = "../../dispatch-policy/tests/common/mod.rs"]
mod common;

use common::*;
use dispatch_api::*;
use dispatcher_state::{
    reduce, Effect, Endpoint, Input, MembershipConfig, PlanRequest, PlanRequestError, State,
    StateConfig,
};

/// Two dispatchers, connected or partitioned, and four targets of two kinds.
struct Pair {
    states: Vec<State>,
    now: Micros,
    apart: bool,
    opened: Vec<(usize, u16)>,
}

fn listed(n: u32, started: Option<Micros>) -> Endpoint {
    let addr = ([127, 0, 0, 1], 4_000 + n as u16).into();
    let (zone, kind, cell, status, weight) = (0, n % 2, 0, WorkerStatus::Ready, None);
    Endpoint {
        name: format!("s-{n}"),
        addr,
        zone,
        kind,
        cell,
        status,
        started,
        weight,
    }
}

fn state(me: u32) -> State {
    let settings = Settings {
        dispatchers: 2,
        ..settings(vec![safe()])
    };
    let (connect_timeout, idle, probe_timeout) = (250 * MS, 5_000 * MS, 400 * MS);
    let setup = StateConfig {
        settings,
        seed: 7,
        me,
        connections: 10,
        connect_timeout,
        idle,
        probe_timeout,
        levels: None,
    };
    State::new(setup).expect("usable")
}

impl Pair {
    fn new() -> Self {
        let mut pair = Pair {
            states: vec![state(0), state(1)],
            now: START,
            apart: false,
            opened: vec![],
        };
        for me in 0..2 {
            pair.begin(me, None);
        }
        pair
    }

    fn begin(&mut self, me: usize, kept: Option<Box<maintenance::SavedState>>) {
        let entries = (0..4).map(|n| listed(n, None)).collect();
        self.take(
            me,
            Input::EndpointsUpdated {
                kind: ListUpdateKind::Full,
                version: Some(1),
                entries,
            },
        );
        self.take(me, Input::MaintenanceEnabled(kept));
        let incarnation = membership::incarnation::from_unix_seconds(self.now / 1_000_000);
        self.take(
            me,
            Input::MembershipChanged(Some(MembershipConfig {
                period: 100 * MS,
                incarnation,
            })),
        );
    }

    fn take(&mut self, me: usize, input: Input) {
        for effect in reduce(&mut self.states[me], self.now, input) {
            match effect {
                Effect::SendToPeer { to, message } if !self.apart => {
                    self.take(
                        to as usize,
                        Input::PeerDatagram {
                            from: me as u32,
                            message,
                        },
                    );
                }
                Effect::OpenConnection { addr, .. } => self.opened.push((me, addr.port())),
                _ => {}
            }
        }
    }

    fn pass(&mut self, span: Micros) {
        for _ in 0..span / (50 * MS) {
            self.now += 50 * MS;
            (0..2).for_each(|me| self.take(me, Input::Tick));
        }
    }

    fn wants(&self, targets: &[&str]) -> Result<maintenance::Plan, PlanRequestError> {
        let targets = targets.iter().map(|t| (*t).to_owned()).collect();
        let (out, zone, share, drain_ms, out_ms, id) = (1, 1, 1.0, 1_000, 60_000, 5);
        self.states[0].build_plan(&PlanRequest {
            targets,
            out,
            zone,
            share,
            drain_ms,
            out_ms,
            id,
        })
    }

    fn plan(&mut self) {
        let plan = self.wants(&["s-0", "s-1"]).expect("it can be followed");
        self.take(0, Input::PlanRequested(Some(Box::new(plan))));
    }

    /// The ports of the targets that jobs of a dispatcher go to.
    fn goes_to(&mut self, me: usize, first: u64) -> Vec<u16> {
        self.opened.clear();
        for id in first..first + 40 {
            let expires = self.now + 5_000 * MS;
            let spec = JobSpec {
                id: JobId(id),
                class: 0,
                tenant: 0,
                slots: 1.0,
                expires,
                work: None,
                key: None,
            };
            self.take(me, Input::FlowAccepted(spec));
            self.take(me, Input::ClientDisconnected(JobId(id)));
        }
        self.opened
            .iter()
            .filter(|(by, _)| *by == me)
            .map(|(_, port)| *port)
            .collect()
    }

    fn target_state(&self, me: usize, at: usize) -> maintenance::TargetState {
        self.states[me]
            .snapshot()
            .maintenance
            .expect("a plan")
            .progress
            .targets[at]
            .state
    }
}

#[test]
fn a_target_out_by_plan_gets_no_request_at_any_dispatcher_and_returns_after_its_restart() {
    let mut pair = Pair::new();
    pair.plan();
    pair.pass(400 * MS);
    for me in 0..2 {
        let ports = pair.goes_to(me, 100 * (1 + me as u64));
        assert!(
            !ports.is_empty() && !ports.contains(&4_000),
            "{me}: {ports:?}"
        );
        assert_eq!(pair.states[me].snapshot().ejected, 1, "operators see it");
    }
    pair.pass(400 * MS);
    assert_eq!(pair.target_state(0, 0), maintenance::TargetState::Drained);
    // Restarted: only one of them has heard of it.
    let restarted = vec![listed(0, Some(pair.now))];
    pair.take(
        1,
        Input::EndpointsUpdated {
            kind: ListUpdateKind::Incremental,
            version: Some(2),
            entries: restarted,
        },
    );
    pair.pass(1_000 * MS);
    assert_eq!(
        (pair.target_state(0, 0), pair.target_state(1, 0)),
        (
            maintenance::TargetState::Returned,
            maintenance::TargetState::Returned
        )
    );
    assert!(
        pair.target_state(0, 1) > maintenance::TargetState::InService,
        "the next one is out"
    );
    pair.take(0, Input::TargetWorkDone("s-1".into()));
    pair.pass(400 * MS);
    assert_eq!(
        pair.states[1]
            .snapshot()
            .maintenance
            .map(|u| u.progress.over),
        Some(true)
    );
    assert!(!pair.states[0].has_active_plan());
}

#[test]
fn a_plan_survives_a_process_and_applies_before_the_first_request() {
    let mut pair = Pair::new();
    pair.plan();
    pair.pass(200 * MS);
    assert!(
        pair.states[1].take_unsaved_change(),
        "the note must be written"
    );
    let kept = pair.states[1].saved_maintenance().map(Box::new);
    pair.states[1] = state(1);
    pair.apart = true;
    pair.begin(1, kept);
    assert!(
        !pair.goes_to(1, 500).contains(&4_000),
        "from its note, though nobody tells it"
    );
    let gone = |pair: &Pair| {
        pair.states[0]
            .snapshot()
            .maintenance
            .map_or(0, |u| u.progress.gone)
    };
    pair.take(0, Input::TargetWorkDone("s-0".into()));
    pair.pass(20_000 * MS);
    assert_eq!(gone(&pair), 1, "one of two is no majority");
}

#[test]
fn a_plan_request_that_can_not_be_followed_is_refused_with_its_reason() {
    let mut pair = Pair::new();
    assert_eq!(
        pair.wants(&["s-0", "s-9"]),
        Err(PlanRequestError::Unknown("s-9".into()))
    );
    assert_eq!(
        pair.wants(&["s-0", "s-2"]),
        Err(PlanRequestError::Kind(2)),
        "no other of its kind would be left"
    );
    assert!(matches!(pair.wants(&[]), Err(PlanRequestError::Plan(_))));
    pair.plan();
    assert_eq!(
        pair.wants(&["s-1"]),
        Err(PlanRequestError::UnderWay { id: 5, by: 0 })
    );
    pair.take(0, Input::PlanRequested(None));
    assert!(pair.wants(&["s-1"]).is_ok(), "called off");
}
