//! The client of targets over loopback: what is looked at last before a request is written.

use bytes::Bytes;
use dispatch_api::{JobId, JobSpec};
use dispatcher_settings::report::ReportNames;
use dispatcher_state::{ConnId, Input};
use event_loop::{Clock, ConnectionCommand, FlowLimits, ForwardedRequest, LoopHandle};
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

fn forwarded(loop_handle: &Rc<LoopHandle>, id: &'static str) -> ForwardedRequest {
    let (path, body, key) = (Bytes::from_static(b"/api"), Bytes::from_static(b"x"), None);
    let reservation = loop_handle
        .reserve(Bytes::from_static(id.as_bytes()), 1)
        .expect("there is room");
    ForwardedRequest {
        path,
        id: Bytes::from_static(id.as_bytes()),
        key,
        body,
        reservation,
    }
}

fn spec() -> JobSpec {
    JobSpec {
        id: JobId(0),
        class: 0,
        tenant: 0,
        slots: 1.0,
        expires: 60_000_000,
        work: None,
        key: None,
    }
}

/// An order lies before the connection while its client leaves: the reducer hears of that with its next input, the target of
/// the job it must not get. What is ordered next goes out on the same connection.
#[tokio::test(flavor = "current_thread")]
async fn a_job_whose_client_has_left_since_it_was_ordered_is_not_written() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let addr = target.local_addr().unwrap();
            let bounds = FlowLimits {
                flows: 10,
                bytes: 1_000,
            };
            let (loop_handle, mut reports) =
                LoopHandle::new(Clock::start(), ReportNames { x0_is_slots: true }, bounds);
            let (orders, receiver) = mpsc::unbounded_channel();
            let order = |flow: &event_loop::PendingFlow, id| {
                orders.send(ConnectionCommand::Job {
                    flow: flow.id(),
                    request: Rc::new(forwarded(&loop_handle, id)),
                    wait: 1_000_000,
                })
            };
            let gone = loop_handle.accept_flow(spec(), forwarded(&loop_handle, "gone"));
            let stays = loop_handle.accept_flow(spec(), forwarded(&loop_handle, "stays"));
            spawn_local(http1::connection(
                ConnId(1),
                addr,
                receiver,
                Rc::clone(&loop_handle),
            ));
            let (mut stream, _) = target.accept().await.unwrap();
            while !matches!(reports.next().await, Some(Input::ConnectionUp(_))) {}
            order(&gone, "to-nobody").unwrap();
            drop(gone);
            order(&stays, "to-somebody").unwrap();
            let (mut text, mut piece) = (String::new(), [0; 1_024]);
            while !text.contains("to-somebody") {
                let read = stream.read(&mut piece).await.unwrap();
                assert!(read > 0, "closed after {text:?}");
                text.push_str(&String::from_utf8_lossy(&piece[..read]));
            }
            assert!(!text.contains("to-nobody"), "{text}");
        })
        .await;
}
