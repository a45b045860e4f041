//! What operators do and see: disabled targets, and counters that add up whatever becomes of a job.

#[path = "../../dispatch-policy/tests/common/mod.rs"]
mod common;

use common::*;
use dispatch_api::*;
use dispatcher_state::{
    reduce, Answer, ConnId, Effect, Endpoint, Input, State, StateConfig, TargetOverride,
};
use proptest::prelude::*;

struct Bench {
    state: State,
    now: Micros,
}

fn listed(n: u32, status: WorkerStatus, started: Option<Micros>) -> Endpoint {
    let addr = ([127, 0, 0, 1], 4_000 + n as u16).into();
    Endpoint {
        weight: None,
        name: format!("s-{n}"),
        addr,
        zone: 0,
        kind: 0,
        cell: 0,
        status,
        started,
    }
}

impl Bench {
    fn new(targets: u32) -> Self {
        let setup = StateConfig {
            settings: settings(vec![safe(), unsafe_class()]),
            seed: 7,
            me: 0,
            connections: 10,
            connect_timeout: 250 * MS,
            idle: 5_000 * MS,
            probe_timeout: 400 * MS,
            levels: None,
        };
        let mut bench = Bench {
            state: State::new(setup).expect("usable"),
            now: START,
        };
        bench.list(
            ListUpdateKind::Full,
            (0..targets)
                .map(|n| listed(n, WorkerStatus::Ready, None))
                .collect(),
        );
        bench
    }

    fn take(&mut self, input: Input) -> Vec<Effect> {
        reduce(&mut self.state, self.now, input)
    }

    fn after(&mut self, span: Micros) -> Vec<Effect> {
        self.now += span;
        self.take(Input::Tick)
    }

    fn list(&mut self, kind: ListUpdateKind, entries: Vec<Endpoint>) -> Vec<Effect> {
        self.take(Input::EndpointsUpdated {
            kind,
            version: Some(1),
            entries,
        })
    }

    /// The effects of an operator's call.
    fn rule(&mut self, target: &str, out: bool) -> Vec<Effect> {
        let word = self
            .state
            .resolve_override(target, out, self.now)
            .expect("it was listed");
        self.take(Input::OverridesChanged(vec![(target.to_owned(), word)]))
    }

    fn flow(&mut self, id: u64, class: usize) -> Vec<Effect> {
        let expires = self.now + 5_000 * MS;
        let spec = JobSpec {
            id: JobId(id),
            class,
            tenant: 0,
            slots: 1.0,
            expires,
            work: None,
            key: None,
        };
        self.take(Input::FlowAccepted(spec))
    }

    fn serve(&mut self, id: u64) {
        let effects = self.flow(id, 0);
        let conn = opened(&effects)
            .or(sent(&effects))
            .expect("it goes out at once")
            .0;
        self.take(Input::ConnectionUp(conn));
        self.take(Input::RequestSent(conn));
        let (outcome, result) = (Outcome::Done, Some("r".into()));
        self.take(Input::ExchangeEnded {
            conn,
            outcome,
            result,
            report: None,
        });
        self.take(Input::ConnectionFree(conn));
    }

    /// Listed targets, and those that get nothing for now.
    fn pool(&self) -> (usize, usize) {
        let seen = self.state.snapshot();
        (seen.listed, seen.ejected)
    }
}

/// A connection that is opened, and the port.
fn opened(effects: &[Effect]) -> Option<(ConnId, u16)> {
    effects.iter().find_map(|e| match e {
        Effect::OpenConnection { conn, addr } => Some((*conn, addr.port())),
        _ => None,
    })
}

fn sent(effects: &[Effect]) -> Option<(ConnId, u16)> {
    effects.iter().find_map(|e| match e {
        Effect::SendRequest { conn, .. } => Some((*conn, 0)),
        _ => None,
    })
}

fn refused(effects: &[Effect]) -> bool {
    effects.iter().any(|e| {
        matches!(
            e,
            Effect::AnswerFlow {
                answer: Answer::Rejected {
                    retry_after: Some(_)
                },
                ..
            }
        )
    })
}

/// Guards against a request to a disabled target: on an idle connection, on one that is being
/// opened, after a list, full or incremental, that says it is ready, or at another address.
#[test]
fn a_disabled_target_gets_no_request_whatever_the_list_says() {
    let mut b = Bench::new(2);
    for id in 0..6 {
        b.serve(id);
    }
    let coming_up = (10..30).find_map(|id| {
        let (conn, port) = opened(&b.flow(id, 0))?;
        (port == 4_000).then_some(conn)
    });
    b.rule("s-0", true);
    assert_eq!(b.pool(), (2, 1));
    let conn = coming_up.expect("one of them goes there");
    let effects = b.take(Input::ConnectionUp(conn));
    assert!(
        sent(&effects).is_none_or(|(other, _)| other != conn),
        "it came up too late"
    );
    b.list(
        ListUpdateKind::Incremental,
        vec![listed(0, WorkerStatus::Ready, Some(START))],
    );
    b.list(
        ListUpdateKind::Full,
        vec![
            listed(0, WorkerStatus::Ready, Some(START)),
            listed(1, WorkerStatus::Ready, None),
        ],
    );
    b.rule("s-0", true);
    for id in 100..140 {
        let effects = b.flow(id, 0);
        assert!(opened(&effects).is_none_or(|(_, port)| port != 4_000));
        b.after(20 * MS);
    }
    // Gone and listed again, it is still out.
    b.list(
        ListUpdateKind::Full,
        vec![listed(1, WorkerStatus::Ready, None)],
    );
    let (size, ejected) = b.pool();
    b.list(
        ListUpdateKind::Incremental,
        vec![listed(0, WorkerStatus::Ready, Some(b.now))],
    );
    assert_eq!((size, b.pool()), (1, (2, ejected + 1)));
}

/// Guards against a target that gets nothing after it was enabled again, and against one that is
/// overloaded, since it was restarted meanwhile and the list does not know yet.
#[test]
fn one_enable_call_ends_the_override_and_the_target_warms_up() {
    let mut b = Bench::new(1);
    b.rule("s-0", true);
    b.after(3_000 * MS);
    b.rule("s-0", true);
    b.after(7_000 * MS);
    b.rule("s-0", false);
    let (mut gaps, mut last) = (vec![], b.now);
    for id in 0..200 {
        let effects = b.flow(id, 0);
        let later = b.after(25 * MS);
        if let Some((conn, _)) = opened(&effects).or(opened(&later)) {
            gaps.push(b.now - last);
            last = b.now;
            b.take(Input::ConnectionUp(conn));
            b.take(Input::JobStarted(conn));
            let (outcome, result) = (Outcome::Done, Some("r".into()));
            b.take(Input::ExchangeEnded {
                conn,
                outcome,
                result,
                report: None,
            });
            b.take(Input::ConnectionClosed {
                conn,
                unsent: false,
            });
        }
    }
    // At 0.2 of four slots at the start, 6 s of 20 s on, jobs of 400 ms: some a second, not all forty.
    assert!(
        (5..100).contains(&gaps.len()),
        "{} in 5 s: {gaps:?}",
        gaps.len()
    );
    // A call back of what is not out changes nothing.
    let word = b.state.resolve_override("s-0", false, b.now).unwrap();
    assert_eq!(word.disabled_since, word.set_at);
    assert!(
        b.state.resolve_override("s-9", true, b.now).is_none(),
        "never listed"
    );
}

/// Guards against two processes that disagree on which override is the latest.
#[test]
fn the_latest_override_counts_in_whatever_order_they_arrive() {
    let word = |disabled, set_at| TargetOverride {
        disabled,
        set_at,
        disabled_since: set_at,
    };
    for words in [
        [word(true, 5), word(false, 9)],
        [word(false, 9), word(true, 5)],
    ] {
        let mut b = Bench::new(2);
        for target_override in words {
            b.take(Input::OverridesChanged(vec![
                ("s-1".into(), target_override),
                ("s-7".into(), word(true, 3)),
            ]));
        }
        assert_eq!(b.pool(), (2, 0));
        assert_eq!(
            b.state
                .overrides()
                .find(|(name, _)| *name == "s-1")
                .unwrap()
                .1
                .set_at,
            9
        );
        b.list(
            ListUpdateKind::Incremental,
            vec![listed(7, WorkerStatus::Ready, None)],
        );
        assert_eq!(b.pool(), (3, 1), "said before the list named it");
    }
}

/// Guards against jobs that queue for targets which only an operator can bring back.
#[test]
fn with_all_targets_disabled_jobs_are_rejected_at_once_with_retry_after() {
    let mut b = Bench::new(2);
    b.rule("s-0", true);
    b.list(
        ListUpdateKind::Incremental,
        vec![listed(1, WorkerStatus::Draining, None)],
    );
    assert!(!refused(&b.flow(1, 1)), "one drains: another may come");
    assert!(refused(&b.rule("s-1", true)), "what was held");
    assert!(refused(&b.flow(2, 1)));
    b.list(
        ListUpdateKind::Incremental,
        vec![listed(1, WorkerStatus::Ready, None)],
    );
    b.rule("s-1", false);
    assert!(
        !refused(&b.flow(3, 0)),
        "held until it may be sent to a cold one"
    );
}

/// Guards against flows that are left unanswered when the program ends before their deadline.
#[test]
fn flows_open_at_shutdown_are_answered_as_their_class_allows() {
    let mut b = Bench::new(1);
    let conn = opened(&b.flow(1, 1)).expect("it goes out").0;
    b.take(Input::ConnectionUp(conn));
    b.rule("s-0", true);
    b.list(
        ListUpdateKind::Incremental,
        vec![listed(1, WorkerStatus::Draining, None)],
    );
    b.flow(2, 1);
    let ends = b.now + 1_000 * MS;
    b.take(Input::AnswerDeadline(ends));
    assert!(b.after(900 * MS).is_empty());
    let answers: Vec<_> = b
        .after(100 * MS)
        .into_iter()
        .filter(|e| matches!(e, Effect::AnswerFlow { .. }))
        .collect();
    let (failed, held) = (&answers[0], &answers[1]);
    assert!(
        matches!(
            failed,
            Effect::AnswerFlow {
                flow: JobId(1),
                answer: Answer::Failed
            }
        ),
        "it may have run"
    );
    assert!(matches!(
        held,
        Effect::AnswerFlow {
            flow: JobId(2),
            answer: Answer::Rejected { .. }
        }
    ));
    assert_eq!(b.state.snapshot().counts.active(), 0);
}

#[derive(Debug, Clone)]
enum Step {
    Take(usize),
    Leave(u64),
    Up(u64),
    Sent(u64),
    End(u64, u8),
    Close(u64, bool),
    TurnBack(usize, u8),
    Rule(u32, bool),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0usize..3).prop_map(Step::Take),
        1 => (0u64..40).prop_map(Step::Leave),
        4 => (1u64..40).prop_map(Step::Up),
        4 => (1u64..40).prop_map(Step::Sent),
        4 => (1u64..40, 0u8..7).prop_map(|(conn, how)| Step::End(conn, how)),
        3 => (1u64..40, any::<bool>()).prop_map(|(conn, unsent)| Step::Close(conn, unsent)),
        1 => (0usize..3, 0u8..3).prop_map(|(class, how)| Step::TurnBack(class, how)),
        1 => (0u32..3, any::<bool>()).prop_map(|(target, out)| Step::Rule(target, out)),
        2 => (1u64..3_000).prop_map(Step::Wait),
    ]
}

proptest! {
    /// For every way in which a job can end: each is counted exactly once, as what its client was
    /// answered.
    #[test]
    fn taken_is_ended_and_active_and_each_answer_counts_once(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut b = Bench::new(3);
        let (mut jobs, mut answers, mut turned, mut left) = (0, [0u64; 3], 0, 0);
        for step in steps {
            let effects = match step {
                Step::Take(class) => {
                    jobs += 1;
                    b.flow(jobs - 1, class.min(1))
                }
                Step::Leave(flow) => b.take(Input::ClientDisconnected(JobId(flow))),
                Step::Up(conn) => b.take(Input::ConnectionUp(ConnId(conn))),
                Step::Sent(conn) => b.take(Input::RequestSent(ConnId(conn))),
                Step::End(conn, how) => {
                    let outcomes = [Outcome::Done, Outcome::Error, Outcome::Rejected, Outcome::Reset];
                    let result = (how == 0).then(|| "r".into());
                    match outcomes.get(usize::from(how)) {
                        Some(outcome) => {
                            let (conn, outcome) = (ConnId(conn), *outcome);
                            b.take(Input::ExchangeEnded { conn, outcome, result, report: None })
                        }
                        None => b.take(Input::RequestUnusable { conn: ConnId(conn), report: None }),
                    }
                }
                Step::Close(conn, unsent) => b.take(Input::ConnectionClosed { conn: ConnId(conn), unsent }),
                Step::TurnBack(class, how) => {
                    turned += u64::from(class < 2);
                    left += u64::from(class < 2 && how == 2);
                    let answers = [Some(Answer::Rejected { retry_after: None }), Some(Answer::Failed), None];
                    b.take(Input::FlowRejected { class, answer: answers[usize::from(how)].clone() })
                }
                Step::Rule(target, out) => b.rule(&format!("s-{target}"), out),
                Step::Wait(ms) => b.after(ms * MS),
            };
            for effect in &effects {
                match effect {
                    Effect::AnswerFlow { answer: Answer::Served(_), .. } => answers[0] += 1,
                    Effect::AnswerFlow { answer: Answer::Rejected { .. }, .. } => answers[1] += 1,
                    Effect::AnswerFlow { .. } => answers[2] += 1,
                    _ => {}
                }
            }
            let counts = b.state.snapshot().counts;
            let sum = |of: fn(&dispatcher_state::ClassCounters) -> u64| counts.classes.iter().map(of).sum::<u64>();
            prop_assert_eq!(sum(|c| c.taken), jobs + turned);
            prop_assert_eq!(sum(|c| c.taken), sum(|c| c.ended()) + counts.active());
            prop_assert_eq!(sum(|c| c.ok), answers[0]);
            prop_assert_eq!(sum(|c| c.shed) + sum(|c| c.errors), answers[1] + answers[2] + turned - left);
            prop_assert!(sum(|c| c.gone) <= jobs + left);
        }
    }
}
