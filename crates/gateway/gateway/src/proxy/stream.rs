//! Streams of events: forwarded as they arrive, resumed at another runner where one breaks off.
//!
//! The head of the response waits for the first event: until then the client has nothing, and a runner that breaks off is
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
use http1::ConnectionState;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use hyper::StatusCode;
use route_config::Route;
use std::pin::pin;
use std::rc::Rc;
use tokio::time::{sleep_until, timeout, timeout_at, Duration, Instant};

/// Clients give a stream up after a silence of two seconds or more; a runner to resume it is looked for no longer than this,
/// in milliseconds.
const RESUME_WITHIN_MS: u64 = 1_800;
/// How long to wait before looking for a runner again, if the queue does not wake the stream before.
const RESELECT_INTERVAL: Duration = Duration::from_millis(20);
/// Waits for the first event and begins the client's response; `None` where the runner broke off before that and the request
/// is retried.
pub async fn answer(
    gateway: &Rc<Gateway>,
    request: &Rc<Request>,
    terms: &RouteTerms,
    history: &mut AttemptHistory,
    started: ResponseStart,
    connection: &Rc<ConnectionState>,
) -> Option<ClientResponse> {
    let now = gateway.clock.now();
    let left = Duration::from_millis(gateway.left_ms(request, terms.timeout_ms, now));
    let last_event_at = Instant::now();
    let may_retry = terms.resumable && history.sends < terms.tries;
    let mut source = EventSource {
        started,
        events: Events::default(),
        until: last_event_at + left,
        idle_timeout: None,
        last_event_at,
    };
    match source.first(may_retry).await {
        Ok(first) => {
            source.started.in_flight.first_token();
            source.idle_timeout = idle_timeout(terms);
            let head = head_of(&source.started.head);
            let chunks = ChunkSender::default();
            let stream = Stream {
                gateway: Rc::clone(gateway),
                request: Rc::clone(request),
                terms: *terms,
                history: std::mem::take(history),
                source,
            };
            let run = stream.run(chunks.clone());
            let body = StreamedBody::new(first, chunks, run, Rc::clone(connection));
            let body = ResponseBody::Streamed(Box::new(body));
            Some(forwarded_response(head, body))
        }
        Err(StreamEnd::Complete) if has_explicit_end(&source.started.head.headers) => {
            // There was no event at all: what arrived is forwarded as it is.
            let rest = source.events.rest();
            let head = source.started.finish(gateway, AttemptOutcome::Completed);
            increment(&gateway.counts.served);
            Some(forwarded_response(head, ResponseBody::Full(Some(rest))))
        }
        Err(end) => {
            let end = end.without_explicit_end();
            increment(&gateway.counts.broken);
            source.started.in_flight.end(end.outcome());
            if may_retry && end != StreamEnd::DeadlineExceeded {
                return None;
            }
            increment(&gateway.counts.failed);
            Some(if end == StreamEnd::DeadlineExceeded {
                local_response(StatusCode::GATEWAY_TIMEOUT, "no runner answered in time\n")
            } else {
                local_response(StatusCode::BAD_GATEWAY, "a runner broke off\n")
            })
        }
    }
}

/// A copy of a head. The original stays with the source, which needs it to decide whether the connection can be kept.
fn head_of(head: &Parts) -> Parts {
    let mut answer = hyper::Response::new(());
    *answer.status_mut() = head.status;
    *answer.headers_mut() = head.headers.clone();
    answer.into_parts().0
}

/// A stream whose first events were sent to its client.
struct Stream {
    gateway: Rc<Gateway>,
    request: Rc<Request>,
    terms: RouteTerms,
    history: AttemptHistory,
    source: EventSource,
}

impl Stream {
    /// Sends the events after the first ones, across as many runners as the route allows.
    async fn run(mut self, chunks: ChunkSender) -> Result<(), Truncated> {
        let mut timer = pin!(sleep_until(self.source.last_event_at));
        loop {
            let end = match self.source.next(&mut timer).await {
                Ok(events) => {
                    chunks.send(events).await;
                    continue;
                }
                Err(end) => end,
            };
            if end == StreamEnd::Complete && self.is_end_of_stream() {
                chunks.send(self.source.events.rest()).await;
                let Stream {
                    gateway, source, ..
                } = self;
                source.started.finish(&gateway, AttemptOutcome::Completed);
                increment(&gateway.counts.served);
                return Ok(());
            }
            increment(&self.gateway.counts.broken);
            let end = end.without_explicit_end();
            self.source.started.in_flight.end(end.outcome());
            let last_event_id = self
                .source
                .events
                .last_id()
                .and_then(|id| HeaderValue::from_bytes(id).ok())
                .filter(|_| self.terms.resumable && end != StreamEnd::DeadlineExceeded);
            let Some(last_event_id) = last_event_id else {
                increment(&self.gateway.counts.cut);
                return Err(Truncated("a runner broke off"));
            };
            self = self.resume_at_another(&last_event_id).await?;
        }
    }

    /// Whether the end of the body is the end of the stream. Amid an event, a connection that ends has broken off. Behind one
    /// it may be the end where no length is given; a stream that can be resumed shows by its next attempt whether it was.
    fn is_end_of_stream(&self) -> bool {
        has_explicit_end(&self.source.started.head.headers)
            || (!self.terms.resumable && !self.source.events.is_partial())
    }

    /// Goes on with the events of another runner.
    async fn resume_at_another(mut self, last_event_id: &HeaderValue) -> Result<Self, Truncated> {
        let EventSource {
            started,
            mut events,
            until,
            idle_timeout,
            ..
        } = self.source;
        // Its connection is closed before another runner is looked for.
        drop(started);
        let resumed = resume(
            &self.gateway,
            &self.request,
            &mut self.history,
            last_event_id,
        )
        .await;
        let Some(started) = resumed else {
            increment(&self.gateway.counts.cut);
            return Err(Truncated("a runner broke off, and no other goes on"));
        };
        increment(&self.gateway.counts.resumed);
        events.resumed_after(last_event_id.as_bytes());
        let source = EventSource {
            started,
            events,
            until,
            idle_timeout,
            last_event_at: Instant::now(),
        };
        Ok(Stream { source, ..self })
    }
}

/// A response that goes on after an event, from another runner; `None` if there is none, or none in time.
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
        let terms = RouteTerms::of(route);
        let left_ms = gateway.left_ms(request, terms.timeout_ms, now);
        if !is_same_service(request, route)
            || now >= until
            || left_ms == 0
            || history.sends >= terms.tries
            || history.unsent >= MAX_NOT_SENT
        {
            return None;
        }
        let selection = SelectionRequest {
            request,
            route,
            history,
            left_ms,
            now,
            response_started: true,
        };
        let chosen = match gateway.selector.select(&selection) {
            Selection::Runner(chosen) => chosen,
            // A stream that has begun is not rejected while its client may still wait for more of it.
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
                // The runner has capacity for it.
                started.in_flight.first_token();
                return Some(*started);
            }
            AttemptResult::Responded(mut started) => started.in_flight.end(AttemptOutcome::Failed),
            AttemptResult::TimedOut => return None,
            AttemptResult::Declined(_) | AttemptResult::Broken | AttemptResult::NotSent => {}
        }
    }
}

/// Whether the route still leads to the service that sent the events so far: another one may send other events after the
/// same id.
fn is_same_service(request: &Request, route: &Route) -> bool {
    let service = request.svc.borrow();
    service
        .as_ref()
        .is_some_and(|service| route.routes_to(service))
}

/// Forwards a body of which some has arrived, byte for byte.
pub fn forward_remaining(
    gateway: &Rc<Gateway>,
    request: &Rc<Request>,
    terms: &RouteTerms,
    started: ResponseStart,
    start: Bytes,
    connection: &Rc<ConnectionState>,
) -> ClientResponse {
    let left = gateway.left_ms(request, terms.timeout_ms, gateway.clock.now());
    let until = Instant::now() + Duration::from_millis(left);
    let head = head_of(&started.head);
    let chunks = ChunkSender::default();
    let run = send_remaining(Rc::clone(gateway), started, until, chunks.clone());
    forwarded_response(
        head,
        ResponseBody::Streamed(Box::new(StreamedBody::new(
            start,
            chunks,
            run,
            Rc::clone(connection),
        ))),
    )
}

async fn send_remaining(
    gateway: Rc<Gateway>,
    mut started: ResponseStart,
    until: Instant,
    chunks: ChunkSender,
) -> Result<(), Truncated> {
    loop {
        let data = timeout_at(until, started.upstream.data(&mut started.body)).await;
        match data {
            Ok(Some(Ok(data))) => chunks.send(data).await,
            Ok(None) => {
                started.finish(&gateway, AttemptOutcome::Completed);
                increment(&gateway.counts.served);
                return Ok(());
            }
            Ok(Some(Err(_))) | Err(_) => {
                started.in_flight.end(AttemptOutcome::Broken);
                increment(&gateway.counts.cut);
                return Err(Truncated("a runner broke off"));
            }
        }
    }
}
