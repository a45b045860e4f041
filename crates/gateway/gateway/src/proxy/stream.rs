//! Streams of events: passed on as they come, taken up at another runner where one breaks off.
//!
//! The answer's head waits for the first event: until then nothing is owed to the client, and a runner that breaks off is
//! like one that never began.

pub use crate::proxy::event_source::{has_explicit_end, idle_timeout, EventSource, StreamEnd};

use crate::client::request::{Request, SEAL};
use crate::client::response::{
    local_response, ChunkSender, ClientResponse, ResponseBody, StreamedBody, Truncated,
};
use crate::counters::increment;
use crate::gateway::Gateway;
use crate::proxy::attempt::{send, AttemptHistory, AttemptResult, ResponseStart, RouteTerms};
use crate::proxy::classify::MAX_NOT_SENT;
use crate::proxy::events::Events;
use crate::proxy::forward::forwarded_response;
use crate::proxy::in_flight::AttemptOutcome;
use crate::selection::selector::{Selection, SelectionRequest};
use bytes::Bytes;
use http1::Guard;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use hyper::StatusCode;
use std::pin::pin;
use std::rc::Rc;
use tokio::time::{sleep_until, timeout, Duration, Instant};

/// A client gives a stream up after a silence of two seconds or more; another runner is looked for no longer than this.
const RESUME_WITHIN_MS: u64 = 1_800;
/// How long is waited before another look for a runner, if nothing calls before.
const RESELECT_INTERVAL: Duration = Duration::from_millis(20);
/// Waits for the first event and begins the answer; none where the runner broke off before it and it may be repeated.
pub async fn answer(
    gateway: &Rc<Gateway>,
    request: &Rc<Request>,
    terms: &RouteTerms,
    history: &mut AttemptHistory,
    started: ResponseStart,
    guard: &Rc<Guard>,
) -> Option<ClientResponse> {
    let now = gateway.clock.now();
    let left = Duration::from_millis(gateway.left_ms(request, terms.timeout_ms, now));
    let last_event_at = Instant::now();
    let again = terms.resumable && history.sends < terms.tries;
    let mut source = EventSource {
        started,
        events: Events::default(),
        until: last_event_at + left,
        idle_timeout: None,
        last_event_at,
    };
    let first = source.first(again).await;
    match first {
        Ok(first) => {
            source.started.in_flight.first_token();
            source.idle_timeout = idle_timeout(terms);
            let head = head_of(&source.started.head);
            let chunks = ChunkSender::default();
            let history = std::mem::take(history);
            let run = run(
                Rc::clone(gateway),
                Rc::clone(request),
                *terms,
                history,
                source,
                chunks.clone(),
            );
            let body = StreamedBody::new(first, chunks, run, Rc::clone(guard));
            Some(forwarded_response(
                head,
                ResponseBody::Streamed(Box::new(body)),
            ))
        }
        Err(StreamEnd::Complete) if has_explicit_end(&source.started.head.headers) => {
            // No event at all: what came is passed on as it is.
            let rest = source.events.rest();
            let ResponseStart {
                head,
                upstream,
                mut in_flight,
                ..
            } = source.started;
            in_flight.end(AttemptOutcome::Completed);
            if let Some(upstream) = upstream.rest(&head.headers) {
                gateway.selector.keep(in_flight.key(), upstream);
            }
            increment(&gateway.counts.served);
            Some(forwarded_response(head, ResponseBody::Full(Some(rest))))
        }
        Err(end) => {
            // Without a length, and without an event, the end of the connection is no end of an answer.
            let end = if end == StreamEnd::Complete {
                StreamEnd::Broken
            } else {
                end
            };
            increment(&gateway.counts.broken);
            source.started.in_flight.end(end.outcome());
            if again && end != StreamEnd::DeadlineExceeded {
                return None;
            }
            increment(&gateway.counts.failed);
            Some(match end {
                StreamEnd::DeadlineExceeded => {
                    local_response(StatusCode::GATEWAY_TIMEOUT, "no runner answered in time\n")
                }
                _ => local_response(StatusCode::BAD_GATEWAY, "a runner broke off\n"),
            })
        }
    }
}

/// A copy of a head; the own one stays with the source, which asks it later whether the connection can be kept.
fn head_of(head: &Parts) -> Parts {
    let mut answer = hyper::Response::new(());
    *answer.status_mut() = head.status;
    *answer.headers_mut() = head.headers.clone();
    answer.into_parts().0
}

/// The stream from its second events on.
async fn run(
    gateway: Rc<Gateway>,
    request: Rc<Request>,
    terms: RouteTerms,
    mut history: AttemptHistory,
    mut source: EventSource,
    chunks: ChunkSender,
) -> Result<(), Truncated> {
    let mut timer = pin!(sleep_until(source.last_event_at));
    loop {
        let end = match source.next(&mut timer).await {
            Ok(events) => {
                chunks.send(events).await;
                continue;
            }
            Err(end) => end,
        };
        let framed = has_explicit_end(&source.started.head.headers);
        // Amid an event a connection that ends has broken off; behind one it may be the end where no length is given, and
        // a stream that can be taken up shows by its next run whether it was.
        let ended = framed || (!terms.resumable && !source.events.is_amid());
        let whole = end == StreamEnd::Complete && ended;
        if whole {
            chunks.send(source.events.rest()).await;
            let ResponseStart {
                head,
                upstream,
                mut in_flight,
                ..
            } = source.started;
            in_flight.end(AttemptOutcome::Completed);
            if let Some(upstream) = upstream.rest(&head.headers) {
                gateway.selector.keep(in_flight.key(), upstream);
            }
            increment(&gateway.counts.served);
            return Ok(());
        }
        increment(&gateway.counts.broken);
        let end = if end == StreamEnd::Complete {
            StreamEnd::Broken
        } else {
            end
        };
        source.started.in_flight.end(end.outcome());
        let last_event_id = source
            .events
            .last_id()
            .and_then(|id| HeaderValue::from_bytes(id).ok());
        let (Some(last_event_id), true, true) = (
            last_event_id,
            terms.resumable,
            end != StreamEnd::DeadlineExceeded,
        ) else {
            increment(&gateway.counts.cut);
            return Err(Truncated("a runner broke off"));
        };
        drop(source.started);
        let started = match resume(&gateway, &request, &mut history, &last_event_id).await {
            Some(started) => started,
            None => {
                increment(&gateway.counts.cut);
                return Err(Truncated("a runner broke off, and no other goes on"));
            }
        };
        increment(&gateway.counts.resumed);
        source.events.resumed_after(last_event_id.as_bytes());
        source = EventSource {
            started,
            last_event_at: Instant::now(),
            ..source
        };
    }
}

/// Another runner that goes on behind an event; none if there is none, or none in time.
async fn resume(
    gateway: &Rc<Gateway>,
    request: &Rc<Request>,
    history: &mut AttemptHistory,
    last_event_id: &HeaderValue,
) -> Option<ResponseStart> {
    let until = gateway.clock.now() + RESUME_WITHIN_MS;
    let mut place = None;
    loop {
        let now = gateway.clock.now();
        let config = gateway.config()?;
        let route = config
            .route(&request.host, request.target.path())
            .filter(|route| route.resumable)?;
        // Another service may say something else from the same place on.
        let same = request
            .svc
            .borrow()
            .as_ref()
            .is_some_and(|svc| route.leads_to(svc));
        let terms = RouteTerms::of(route);
        let left_ms = gateway.left_ms(request, terms.timeout_ms, now);
        if !same
            || now >= until
            || left_ms == 0
            || history.sends >= terms.tries
            || history.unsent >= MAX_NOT_SENT
        {
            return None;
        }
        let ask = SelectionRequest {
            request,
            route,
            history,
            left_ms,
            now,
            response_started: true,
        };
        let chosen = match gateway.selector.select(&ask) {
            Selection::Runner(chosen) => chosen,
            // What is started is not refused while its client may still wait for more of it.
            Selection::Wait { .. } | Selection::Reject { .. } => {
                let place = place.get_or_insert_with(|| gateway.selector.queue(request, 0));
                let _ = timeout(RESELECT_INTERVAL, place.turn()).await;
                continue;
            }
        };
        match send(
            gateway,
            request,
            &terms,
            chosen,
            history,
            Some(last_event_id),
        )
        .await
        {
            AttemptResult::Responded(mut started)
                if started.head.status == StatusCode::OK
                    && started.head.headers.contains_key(SEAL) =>
            {
                // The runner has a place for it.
                started.in_flight.first_token();
                return Some(*started);
            }
            AttemptResult::Responded(mut started) => started.in_flight.end(AttemptOutcome::Failed),
            AttemptResult::TimedOut => return None,
            AttemptResult::Declined(_) | AttemptResult::Broken | AttemptResult::NotSent => {}
        }
    }
}

/// Passes on a body of which some has come, byte for byte.
pub fn forward_remaining(
    gateway: &Rc<Gateway>,
    request: &Rc<Request>,
    terms: &RouteTerms,
    started: ResponseStart,
    start: Bytes,
    guard: &Rc<Guard>,
) -> ClientResponse {
    let left = gateway.left_ms(request, terms.timeout_ms, gateway.clock.now());
    let until = Instant::now() + Duration::from_millis(left);
    let head = head_of(&started.head);
    let chunks = ChunkSender::default();
    let run = bytes_on(Rc::clone(gateway), started, until, chunks.clone());
    forwarded_response(
        head,
        ResponseBody::Streamed(Box::new(StreamedBody::new(
            start,
            chunks,
            run,
            Rc::clone(guard),
        ))),
    )
}

async fn bytes_on(
    gateway: Rc<Gateway>,
    started: ResponseStart,
    until: Instant,
    chunks: ChunkSender,
) -> Result<(), Truncated> {
    let ResponseStart {
        head,
        mut body,
        mut upstream,
        mut in_flight,
    } = started;
    loop {
        let data = tokio::time::timeout_at(until, next_bytes(&mut upstream, &mut body)).await;
        match data {
            Ok(Some(Ok(data))) => chunks.send(data).await,
            Ok(None) => {
                in_flight.end(AttemptOutcome::Completed);
                if let Some(upstream) = upstream.rest(&head.headers) {
                    gateway.selector.keep(in_flight.key(), upstream);
                }
                increment(&gateway.counts.served);
                return Ok(());
            }
            Ok(Some(Err(_))) | Err(_) => {
                in_flight.end(AttemptOutcome::Broken);
                increment(&gateway.counts.cut);
                return Err(Truncated("a runner broke off"));
            }
        }
    }
}

async fn next_bytes(
    upstream: &mut crate::connection::upstream::Upstream,
    body: &mut Incoming,
) -> Option<Result<Bytes, crate::connection::upstream::Broken>> {
    upstream.data(body).await
}
