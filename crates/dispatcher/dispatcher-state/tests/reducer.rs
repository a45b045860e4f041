//! The reducer, without any socket.

#[path = "../../dispatch-policy/tests/common/mod.rs"]
mod common;

use common::*;
use dispatch_api::*;
use dispatcher_state::{reduce, Answer, ConnId, Effect, Endpoint, Input, State, StateConfig};
use rstest::rstest;

struct Bench {
    state: State,
    now: Micros,
    effects: Vec<Effect>,
}

impl Bench {
    fn new(class: JobClass, targets: u32) -> Self {
        let setup = StateConfig {
            settings: settings(vec![class]),
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
            effects: vec![],
        };
        bench.list(
            ListUpdateKind::Full,
            (0..targets).map(|n| (n, WorkerStatus::Ready)),
        );
        bench
    }

    fn take(&mut self, input: Input) -> &[Effect] {
        self.effects = reduce(&mut self.state, self.now, input);
        &self.effects
    }

    fn list(&mut self, kind: ListUpdateKind, targets: impl Iterator<Item = (u32, WorkerStatus)>) {
        let entry = |(n, status)| Endpoint {
            weight: None,
            name: format!("s-{n}"),
            addr: ([127, 0, 0, 1], 4_000 + n as u16).into(),
            zone: 0,
            kind: 0,
            cell: 0,
            status,
            started: None,
        };
        self.take(Input::EndpointsUpdated {
            kind,
            version: Some(1),
            entries: targets.map(entry).collect(),
        });
    }

    /// Accepts a flow; returns the connection that is opened for it.
    fn flow(&mut self, id: u64) -> ConnId {
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
        self.take(Input::FlowAccepted(spec));
        self.opened().expect("a connection is opened")
    }

    fn opened(&self) -> Option<ConnId> {
        self.effects.iter().find_map(|e| match e {
            Effect::OpenConnection { conn, .. } => Some(*conn),
            _ => None,
        })
    }

    fn sent(&self) -> Option<ConnId> {
        self.effects.iter().find_map(|e| match e {
            Effect::SendRequest { conn, .. } => Some(*conn),
            _ => None,
        })
    }

    fn answer(&self) -> Option<Answer> {
        self.effects.iter().find_map(|e| match e {
            Effect::AnswerFlow { answer, .. } => Some(answer.clone()),
            _ => None,
        })
    }

    /// Serves a flow on the connection that it gets, which is free afterwards; returns whether it
    /// is a new one.
    fn serve(&mut self, id: u64) -> (ConnId, bool) {
        let expires = self.now + 900 * MS;
        let spec = JobSpec {
            id: JobId(id),
            class: 0,
            tenant: 0,
            slots: 1.0,
            expires,
            work: None,
            key: None,
        };
        self.take(Input::FlowAccepted(spec));
        let (opened, sent) = (self.opened(), self.sent());
        if let Some(conn) = opened {
            self.take(Input::ConnectionUp(conn));
        }
        let conn = opened.or(sent).expect("it goes out at once");
        self.done(conn);
        self.take(Input::ConnectionFree(conn));
        (conn, opened.is_some())
    }

    fn done(&mut self, conn: ConnId) {
        let result = Some("r".into());
        self.take(Input::ExchangeEnded {
            conn,
            outcome: Outcome::Done,
            result,
            report: None,
        });
    }
}

/// Guards against a dropped wake-up: the policy asks for a time once, and an event that arrives
/// when an earlier one is due must not make both vanish. A queued flow would then miss its
/// deadline.
#[test]
fn a_queued_flow_is_rejected_before_its_deadline_whatever_else_happens() {
    let mut b = Bench::new(safe(), 0);
    let expires = b.now + 5_000 * MS;
    let spec = JobSpec {
        id: JobId(1),
        class: 0,
        tenant: 0,
        slots: 1.0,
        expires,
        work: None,
        key: None,
    };
    b.take(Input::FlowAccepted(spec));
    while b.answer().is_none() {
        b.now = b
            .state
            .wake_at()
            .expect("a held flow always has a time at which it is looked at");
        assert!(b.now < expires, "not answered in time");
        // News that changes nothing arrives just as the time has come.
        b.take(Input::PeerDatagram {
            from: 0,
            message: vec![],
        });
    }
    assert!(matches!(
        b.answer(),
        Some(Answer::Rejected {
            retry_after: Some(_)
        })
    ));
}

/// Guards against a request to a target that started to drain while the connection was being
/// opened.
#[test]
fn a_target_that_starts_draining_while_its_connection_opens_gets_no_request() {
    let mut b = Bench::new(unsafe_class(), 1);
    let conn = b.flow(1);
    b.list(
        ListUpdateKind::Incremental,
        [(0, WorkerStatus::Draining), (1, WorkerStatus::Ready)].into_iter(),
    );
    b.take(Input::ConnectionUp(conn));
    assert_eq!(b.sent(), None);
    assert!(b.effects.contains(&Effect::CloseConnection(conn)));
    assert!(
        b.opened().is_some(),
        "it never ran, so it goes to the other target"
    );
}

/// Guards against a retry after the idempotency window: decided within it, its connection came up
/// outside, and the job may have run twice.
#[rstest]
#[case::inside(390, true)]
#[case::outside(420, false)]
fn the_idempotency_window_is_checked_again_once_the_connection_is_up(
    #[case] up_after: Micros,
    #[case] sent: bool,
) {
    let mut class = class(Idempotency::Keyed {
        scope: DeduplicationScope::Zone,
        memory: 450 * MS,
    });
    class.latency_target = 4_000 * MS;
    let mut b = Bench::new(class, 2);
    let first = b.flow(1);
    b.take(Input::ConnectionUp(first));
    b.now += 380 * MS;
    b.take(Input::ConnectionClosed {
        conn: first,
        unsent: false,
    });
    let second = b.opened().expect("inside the window it is tried again");
    b.now += (up_after - 380) * MS;
    b.take(Input::ConnectionUp(second));
    assert_eq!(b.sent().is_some(), sent);
    assert_eq!(
        b.answer(),
        (!sent).then_some(Answer::Failed),
        "what is given up is answered at once"
    );
}

/// Guards against a request that is sent after its deadline, since its connection came up at that
/// very moment.
#[test]
fn a_connection_that_comes_up_after_the_deadline_of_its_flow_carries_nothing() {
    let mut b = Bench::new(safe(), 1);
    let expires = b.now + 100 * MS;
    let spec = JobSpec {
        id: JobId(1),
        class: 0,
        tenant: 0,
        slots: 1.0,
        expires,
        work: None,
        key: None,
    };
    b.take(Input::FlowAccepted(spec));
    let conn = b.opened().expect("a connection is opened");
    b.now = expires;
    b.take(Input::ConnectionUp(conn));
    assert_eq!(b.sent(), None);
}

/// Guards against two attempts in flight at a time: the next one waits until the connection of the
/// last is closed.
#[rstest]
#[case::overdue(false)]
#[case::timed_out(true)]
fn the_next_attempt_waits_until_the_cancelled_connection_is_closed(#[case] client_leaves: bool) {
    let mut b = Bench::new(safe(), 2);
    let conn = b.flow(1);
    b.take(Input::ConnectionUp(conn));
    assert_eq!(b.sent(), Some(conn));
    if client_leaves {
        b.take(Input::ClientDisconnected(JobId(1)));
    }
    while !b.effects.contains(&Effect::CloseConnection(conn)) {
        b.effects
            .retain(|e| !matches!(e, Effect::SendRequest { conn: c, .. } if *c == conn));
        assert_eq!((b.sent(), b.opened(), b.answer()), (None, None, None));
        b.now = b
            .state
            .wake_at()
            .expect("an unstarted attempt is looked at");
        b.take(Input::Tick);
    }
    assert_eq!(
        (b.sent(), b.opened()),
        (None, None),
        "not before it is closed"
    );
    b.take(Input::ConnectionClosed {
        conn,
        unsent: false,
    });
    assert_eq!(b.opened().is_some(), !client_leaves);
}

/// Guards against a retry of a job that may have run: only a request that was certainly not sent
/// completely never ran.
#[rstest]
#[case::unsent(true)]
#[case::in_doubt(false)]
fn a_reset_proves_that_nothing_ran_only_if_the_request_was_not_sent(#[case] unsent: bool) {
    let mut b = Bench::new(unsafe_class(), 2);
    let conn = b.flow(1);
    b.take(Input::ConnectionUp(conn));
    b.take(Input::ConnectionClosed { conn, unsent });
    assert_eq!(b.answer(), (!unsent).then_some(Answer::Failed));
    assert_eq!(b.opened().is_some(), unsent);
}

/// Guards against losing a response that crosses its cancellation: the client gets it if it still
/// waits.
#[test]
fn a_response_that_crosses_the_closing_of_its_connection_is_served_once() {
    let mut b = Bench::new(safe(), 1);
    let conn = b.flow(1);
    b.take(Input::ConnectionUp(conn));
    b.now += 5_000 * MS - 1;
    b.take(Input::Tick);
    assert!(
        matches!(b.answer(), Some(Answer::Rejected { .. })),
        "its time is up"
    );
    b.done(conn);
    assert_eq!(b.answer(), None, "one answer is final");
    b.take(Input::ConnectionClosed {
        conn,
        unsent: false,
    });
    assert!(b.effects.is_empty());
}

/// Guards against requests on a connection that the target is about to close as idle.
#[test]
fn a_connection_is_reused_and_closed_after_its_idle_timeout() {
    let mut b = Bench::new(safe(), 1);
    let conn = b.flow(1);
    b.take(Input::ConnectionUp(conn));
    b.done(conn);
    assert_eq!(b.answer(), Some(Answer::Served("r".into())));
    b.take(Input::ConnectionFree(conn));
    let spec = JobSpec {
        id: JobId(2),
        class: 0,
        tenant: 0,
        slots: 1.0,
        expires: b.now + 900 * MS,
        work: None,
        key: None,
    };
    b.take(Input::FlowAccepted(spec));
    assert_eq!((b.sent(), b.opened()), (Some(conn), None));
    b.done(conn);
    b.take(Input::ConnectionFree(conn));
    b.now += 5_000 * MS;
    assert!(b.take(Input::Tick).contains(&Effect::CloseConnection(conn)));
}

/// Guards against requests that are lost on connections which the other side dropped long before
/// the stated time: after one such loss a connection that has been idle for half as long is no
/// longer trusted.
#[test]
fn an_idle_connection_is_trusted_only_as_long_as_reused_ones_have_lasted() {
    let mut b = Bench::new(safe(), 1);
    let (first, _) = b.serve(1);
    b.now += 200 * MS;
    let expires = b.now + 900 * MS;
    b.take(Input::FlowAccepted(JobSpec {
        id: JobId(2),
        class: 0,
        tenant: 0,
        slots: 1.0,
        expires,
        work: None,
        key: None,
    }));
    assert_eq!(b.sent(), Some(first), "200 ms are nothing yet");
    b.take(Input::ConnectionClosed {
        conn: first,
        unsent: false,
    });
    let second = b.opened().expect("it is sent again, on a new one");
    b.take(Input::ConnectionUp(second));
    b.done(second);
    b.take(Input::ConnectionFree(second));
    b.now += 90 * MS;
    assert_eq!(b.serve(3), (second, false));
    b.now += 101 * MS;
    assert!(
        b.take(Input::Tick)
            .contains(&Effect::CloseConnection(second)),
        "no use is left for it"
    );
    assert!(b.serve(4).1);
}

/// Guards against the loss of a non-idempotent request on a connection that may be dead.
#[test]
fn non_idempotent_requests_use_recently_used_connections_only() {
    let mut b = Bench::new(unsafe_class(), 1);
    let (first, _) = b.serve(1);
    b.now += 4 * MS;
    assert_eq!(b.serve(2), (first, false));
    b.now += 6 * MS;
    assert!(b.serve(3).1);
}

/// Guards against more connections than the limit on descriptors allows.
#[test]
fn connections_stay_within_their_limit_and_a_hanging_connect_times_out() {
    let mut b = Bench::new(safe(), 20);
    let mut open = std::collections::BTreeSet::new();
    for id in 0..40 {
        let expires = b.now + 5_000 * MS;
        let spec = JobSpec {
            id: JobId(id),
            class: 0,
            tenant: 0,
            slots: 1.0,
            expires,
            work: None,
            key: None,
        };
        b.take(Input::FlowAccepted(spec));
        open.extend(b.opened());
        assert!(open.len() <= 10, "{open:?}");
    }
    assert_eq!(open.len(), 10);
    b.now += 250 * MS;
    b.take(Input::Tick);
    assert!(open
        .iter()
        .all(|conn| b.effects.contains(&Effect::CloseConnection(*conn))));
}

/// Guards against datagrams that are truncated, name unknown targets or come from no dispatcher.
#[rstest]
#[case(0, vec![0; 5])]
#[case(9, vec![0; 5])]
#[case(u32::MAX, vec![1, 2, 3])]
fn a_malformed_peer_datagram_changes_nothing(#[case] from: u32, #[case] message: Vec<u8>) {
    let mut b = Bench::new(safe(), 1);
    assert!(b.take(Input::PeerDatagram { from, message }).is_empty());
    b.flow(1);
}
