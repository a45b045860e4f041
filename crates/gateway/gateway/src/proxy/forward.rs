//! One request, from its arrival to its response: the runner of each attempt, and what follows when an attempt fails.
//!
//! A request that has certainly not run is retried at another runner while attempts and time are left, or rejected at once.
//! One that may have run is retried only where its route allows it; otherwise its client gets a 502 or 504, which promises
//! nothing.

use crate::client::memory_budget::Claim;
use crate::client::request::{Request, SEAL};
use crate::client::response::{local_response, rejection, ClientResponse, ResponseBody};
use crate::counters::increment;
use crate::gateway::Gateway;
use crate::proxy::attempt::{
    drained, send, AttemptHistory, AttemptResult, ResponseStart, RouteTerms, Work, MIN_REMAINING_MS,
};
use crate::proxy::classify::{next_step, without_retry, AttemptEnd, NextStep};
use crate::proxy::in_flight::AttemptOutcome;
use crate::proxy::stream;
use crate::selection::selector::{SelectedRunner, Selection, SelectionRequest};
use bytes::{Bytes, BytesMut};
use http1::ConnectionState;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use std::rc::Rc;
use tokio::time::{timeout_at, Duration, Instant};

/// Bytes of a body that are buffered before they are forwarded; a longer body is forwarded as it arrives.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// `Retry-After` of a request that as many runners declined as it may be sent to, in milliseconds.
const DECLINED_RETRY_AFTER_MS: u64 = 150;
/// A client that has not read its response so long after its deadline, in milliseconds, is not waited for.
const UNREAD_RESPONSE_MS: u64 = 1_000;
/// What happens to a request next.
enum Next {
    /// An attempt at this runner.
    Runner(SelectedRunner, Box<RouteTerms>),
    /// No further attempt: this is its response.
    Respond(ClientResponse),
}

/// Serves a request.
pub async fn forward(
    gateway: &Rc<Gateway>,
    request: Request,
    connection: &Rc<ConnectionState>,
    claim: Claim,
) -> ClientResponse {
    let mut history = AttemptHistory::default();
    let request = Rc::new(request);
    let most = gateway.longest_ms(&request) + UNREAD_RESPONSE_MS;
    connection.set_response_deadline(gateway.clock.instant(request.came + most));
    loop {
        let (chosen, terms) = match next(gateway, &request, &mut history).await {
            Next::Runner(chosen, terms) => (chosen, *terms),
            Next::Respond(answer) => return answer,
        };
        let (ended, after_ms) =
            match send(gateway, &request, &terms, chosen, &mut history, None).await {
                AttemptResult::Responded(started) => {
                    if let Some(answer) = answer(
                        gateway,
                        &request,
                        &terms,
                        &mut history,
                        *started,
                        connection,
                    )
                    .await
                    {
                        drop(claim);
                        return answer;
                    }
                    // The response ended early, and the request may be repeated.
                    continue;
                }
                AttemptResult::Declined(after_ms) => (AttemptEnd::NotRun, after_ms),
                AttemptResult::NotSent => (AttemptEnd::NotSent, None),
                AttemptResult::Broken => (AttemptEnd::Broken, None),
                AttemptResult::TimedOut => (AttemptEnd::TimedOut, None),
            };
        if let Some(answer) = response_for(
            gateway,
            next_step(ended, terms.may_repeat, terms.tries, history.counts()),
            after_ms,
        ) {
            return answer;
        }
    }
}

/// The response that a step means; `None` where the request is retried.
fn response_for(
    gateway: &Gateway,
    step: NextStep,
    after_ms: Option<u64>,
) -> Option<ClientResponse> {
    let (status, why) = match step {
        NextStep::Retry => return None,
        NextStep::Reject => {
            increment(&gateway.counts.refused);
            let after_ms = after_ms.unwrap_or(DECLINED_RETRY_AFTER_MS);
            return Some(rejection(
                StatusCode::SERVICE_UNAVAILABLE,
                "no runner has room\n",
                after_ms,
            ));
        }
        NextStep::BadGateway => (StatusCode::BAD_GATEWAY, "a runner broke off\n"),
        NextStep::GatewayTimeout => (StatusCode::GATEWAY_TIMEOUT, "no runner answered in time\n"),
    };
    increment(&gateway.counts.failed);
    Some(local_response(status, why))
}

/// The response to a request for which no further attempt is made.
fn final_response(
    gateway: &Gateway,
    history: &AttemptHistory,
    terms: &RouteTerms,
    after_ms: Option<u64>,
) -> ClientResponse {
    let step = without_retry(terms.may_repeat, history.may_have_run);
    response_for(gateway, step, after_ms)
        .unwrap_or_else(|| local_response(StatusCode::BAD_GATEWAY, "a runner broke off\n"))
}

/// Waits for a runner, while the request has time and attempts left.
async fn next(gateway: &Rc<Gateway>, request: &Rc<Request>, history: &mut AttemptHistory) -> Next {
    let mut place = None;
    loop {
        let now = gateway.clock.now();
        let Some(config) = gateway.config() else {
            return Next::Respond(no_route_response(gateway, history));
        };
        let Some(route) = config.route(&request.host, request.target.path()) else {
            return Next::Respond(no_route_response(gateway, history));
        };
        let terms = RouteTerms::of(route);
        let left_ms = gateway.left_ms(request, terms.timeout_ms, now);
        if left_ms <= MIN_REMAINING_MS {
            return Next::Respond(if history.may_have_run {
                increment(&gateway.counts.failed);
                local_response(StatusCode::GATEWAY_TIMEOUT, "no runner answered in time\n")
            } else {
                final_response(gateway, history, &terms, None)
            });
        }
        // The route may have changed: one that allowed a retry may no longer do so.
        if history.sends >= terms.tries || (history.may_have_run && !terms.may_repeat) {
            return Next::Respond(final_response(gateway, history, &terms, None));
        }
        let selection = SelectionRequest {
            request,
            route,
            history,
            left_ms,
            now,
            response_started: false,
        };
        match gateway.selector.select(&selection) {
            Selection::Runner(chosen) => return Next::Runner(chosen, Box::new(terms)),
            Selection::Reject { after_ms } => {
                return Next::Respond(final_response(gateway, history, &terms, Some(after_ms)));
            }
            Selection::Wait { until } => {
                let place =
                    place.get_or_insert_with(|| gateway.selector.queue(request, route.priority));
                let until = until.min(now + left_ms - MIN_REMAINING_MS);
                let until = gateway.clock.instant(until);
                let _ = timeout_at(until, place.turn()).await;
            }
        }
    }
}

fn no_route_response(gateway: &Gateway, history: &AttemptHistory) -> ClientResponse {
    if history.may_have_run {
        increment(&gateway.counts.failed);
        return local_response(StatusCode::BAD_GATEWAY, "a runner broke off\n");
    }
    increment(&gateway.counts.denied);
    local_response(StatusCode::NOT_FOUND, "no route leads there\n")
}

/// The client's response from the start of a runner's; `None` where that ended early and the request is retried.
async fn answer(
    gateway: &Rc<Gateway>,
    request: &Rc<Request>,
    terms: &RouteTerms,
    history: &mut AttemptHistory,
    mut started: ResponseStart,
    connection: &Rc<ConnectionState>,
) -> Option<ClientResponse> {
    history.may_have_run = true;
    let may_retry = terms.may_repeat && history.sends < terms.tries;
    let status = started.head.status;
    if !may_be_forwarded(&started.head, terms) {
        gateway.log_unexpected_response(
            "an answer that can't be passed on",
            started.in_flight.key(),
            &started.head,
        );
        started.in_flight.end(AttemptOutcome::Broken);
        if may_retry {
            return None;
        }
        increment(&gateway.counts.failed);
        return Some(local_response(
            StatusCode::BAD_GATEWAY,
            "a runner's answer can't be passed on\n",
        ));
    }
    if status.is_server_error() && may_retry {
        started.in_flight.end(AttemptOutcome::Failed);
        if drained(&mut started.upstream, &mut started.body).await {
            started.finish(gateway, AttemptOutcome::Failed);
        }
        return None;
    }
    let events = status.is_success() && is_events(&started.head);
    if events || terms.work == Work::Stream && status.is_success() {
        return stream::answer(gateway, request, terms, history, started, connection).await;
    }
    buffered_response(gateway, request, terms, started, connection, may_retry).await
}

/// Whether a client may get this response: a success needs its runner's seal, a status that promises that nothing ran needs
/// a request that may be repeated, and nobody asked for another protocol.
fn may_be_forwarded(head: &Parts, terms: &RouteTerms) -> bool {
    let unsealed = head.status.is_success() && !head.headers.contains_key(SEAL);
    let promise = matches!(head.status.as_u16(), 408 | 429 | 503) && !terms.may_repeat;
    !(unsealed || promise || head.status.is_informational())
}

fn is_events(head: &Parts) -> bool {
    let kind = head
        .headers
        .get(CONTENT_TYPE)
        .map(HeaderValue::as_bytes)
        .unwrap_or_default();
    kind.get(..17)
        .is_some_and(|kind| kind.eq_ignore_ascii_case(b"text/event-stream"))
}

/// The body of a response as far as it has arrived. One that arrives in one chunk is not copied.
#[derive(Default)]
struct BodyBuffer {
    first: Bytes,
    more: BytesMut,
}

impl BodyBuffer {
    fn len(&self) -> usize {
        self.first.len() + self.more.len()
    }

    fn push(&mut self, data: Bytes) {
        if self.first.is_empty() && self.more.is_empty() {
            self.first = data;
            return;
        }
        self.more
            .extend_from_slice(&std::mem::take(&mut self.first));
        self.more.extend_from_slice(&data);
    }

    fn into_bytes(self) -> Bytes {
        if self.more.is_empty() {
            self.first
        } else {
            self.more.freeze()
        }
    }
}

/// How buffering a body ended.
enum Buffered {
    /// It is complete.
    Complete,
    /// It is longer than [`MAX_BUFFERED_BYTES`].
    TooLong,
    /// It ended early.
    Failed(AttemptOutcome),
}

async fn buffer_body(
    started: &mut ResponseStart,
    buffer: &mut BodyBuffer,
    until: Instant,
) -> Buffered {
    loop {
        match timeout_at(until, started.upstream.data(&mut started.body)).await {
            Ok(None) => return Buffered::Complete,
            Ok(Some(Ok(data))) => buffer.push(data),
            Ok(Some(Err(_))) => return Buffered::Failed(AttemptOutcome::Broken),
            Err(_) => return Buffered::Failed(AttemptOutcome::TimedOut),
        }
        if buffer.len() > MAX_BUFFERED_BYTES {
            return Buffered::TooLong;
        }
    }
}

/// A response that is no stream. It is buffered, so that one that ends early can be retried and never appears complete; a
/// long one is forwarded as it arrives. `None`: it ended early and is retried.
async fn buffered_response(
    gateway: &Rc<Gateway>,
    request: &Rc<Request>,
    terms: &RouteTerms,
    mut started: ResponseStart,
    connection: &Rc<ConnectionState>,
    may_retry: bool,
) -> Option<ClientResponse> {
    let now = gateway.clock.now();
    let left_ms = gateway.left_ms(request, terms.timeout_ms, now).max(1);
    let until = Instant::now() + Duration::from_millis(left_ms);
    let mut buffer = BodyBuffer::default();
    let outcome = match buffer_body(&mut started, &mut buffer, until).await {
        Buffered::Complete => {
            let outcome = if started.head.status.is_server_error() {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Completed
            };
            let head = started.finish(gateway, outcome);
            increment(&gateway.counts.served);
            let body = ResponseBody::Full(Some(buffer.into_bytes()));
            return Some(forwarded_response(head, body));
        }
        Buffered::TooLong => {
            let start = buffer.into_bytes();
            return Some(stream::forward_remaining(
                gateway, request, terms, started, start, connection,
            ));
        }
        Buffered::Failed(outcome) => outcome,
    };
    let timed_out = outcome == AttemptOutcome::TimedOut;
    increment(&gateway.counts.broken);
    started.in_flight.end(outcome);
    if may_retry && !timed_out {
        return None;
    }
    increment(&gateway.counts.failed);
    Some(if timed_out {
        local_response(
            StatusCode::GATEWAY_TIMEOUT,
            "a runner's answer did not end in time\n",
        )
    } else {
        local_response(StatusCode::BAD_GATEWAY, "a runner broke off\n")
    })
}

/// A runner's response as its client gets it.
pub fn forwarded_response(mut head: Parts, body: ResponseBody) -> ClientResponse {
    crate::client::request::strip_hop_by_hop(&mut head.headers);
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = head.headers;
    answer
}
