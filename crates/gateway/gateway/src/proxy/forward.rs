//! One request, from its coming to its answer: which runner it is sent to, and what is done when that does not answer.
//!
//! What has certainly not run is sent to another runner while tries and time are left, or refused at once. What may have run
//! is repeated only where its route allows it; otherwise its client is told that nothing is promised.

use crate::client::memory_budget::Claim;
use crate::client::request::{Request, SEAL};
use crate::client::response::{local_response, rejection, ClientResponse, ResponseBody};
use crate::counters::increment;
use crate::gateway::Gateway;
use crate::proxy::attempt::{
    drained, send, AttemptHistory, AttemptResult, ResponseStart, RouteTerms, MIN_REMAINING_MS,
};
use crate::proxy::classify::{next_step, without_retry, AttemptEnd, NextStep};
use crate::proxy::in_flight::AttemptOutcome;
use crate::proxy::stream;
use crate::selection::selector::{SelectedRunner, Selection, SelectionRequest};
use bytes::{Bytes, BytesMut};
use http1::Guard;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use std::rc::Rc;
use tokio::time::{timeout_at, Duration, Instant};

/// The longest answer that is collected before it is passed on; a longer one is passed on as it comes.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// When a client may come again whose request was declined by as many runners as it may be sent to.
const DECLINED_RETRY_AFTER_MS: u64 = 150;
/// A client that has not taken its answer so long after the last moment for it is not waited for.
const UNREAD_RESPONSE_MS: u64 = 1_000;
/// Where a request goes next.
enum Next {
    /// To this runner.
    Runner(SelectedRunner, Box<RouteTerms>),
    /// Nowhere: this is its answer.
    Respond(ClientResponse),
}

/// Answers a request.
pub async fn forward(
    gateway: &Rc<Gateway>,
    request: Request,
    guard: &Rc<Guard>,
    claim: Claim,
) -> ClientResponse {
    let mut history = AttemptHistory::default();
    let request = Rc::new(request);
    let most = gateway.longest_ms(&request) + UNREAD_RESPONSE_MS;
    guard.answering_until(gateway.clock.instant(request.came + most));
    loop {
        let (chosen, terms) = match next(gateway, &request, &mut history).await {
            Next::Runner(chosen, terms) => (chosen, *terms),
            Next::Respond(answer) => return answer,
        };
        let (ended, after_ms) =
            match send(gateway, &request, &terms, chosen, &mut history, None).await {
                AttemptResult::Responded(started) => {
                    if let Some(answer) =
                        answer(gateway, &request, &terms, &mut history, *started, guard).await
                    {
                        drop(claim);
                        return answer;
                    }
                    // It broke off, and may be repeated.
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

/// The answer that a step means; none where the request is sent again.
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

/// The answer to a request that is sent to no further runner.
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

/// Waits for a runner, as long as there is reason to.
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
        // A route that allowed a repeat may no longer do so.
        if history.sends >= terms.tries || (history.may_have_run && !terms.may_repeat) {
            return Next::Respond(final_response(gateway, history, &terms, None));
        }
        let ask = SelectionRequest {
            request,
            route,
            history,
            left_ms,
            now,
            response_started: false,
        };
        match gateway.selector.select(&ask) {
            Selection::Runner(chosen) => return Next::Runner(chosen, Box::new(terms)),
            Selection::Reject { after_ms } => {
                return Next::Respond(final_response(gateway, history, &terms, Some(after_ms)));
            }
            Selection::Wait { until } => {
                let place =
                    place.get_or_insert_with(|| gateway.selector.queue(request, route.prio));
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

/// The answer to the client from what a runner began; none where it broke off and may be repeated.
async fn answer(
    gateway: &Rc<Gateway>,
    request: &Rc<Request>,
    terms: &RouteTerms,
    history: &mut AttemptHistory,
    mut started: ResponseStart,
    guard: &Rc<Guard>,
) -> Option<ClientResponse> {
    history.may_have_run = true;
    let again = terms.may_repeat && history.sends < terms.tries;
    let status = started.head.status;
    // A success without the stamp is none, and a promise that the runner has not made is not passed on.
    let unsealed = status.is_success() && !started.head.headers.contains_key(SEAL);
    // Nobody asked for another protocol.
    let switch = status.is_informational();
    let promise = matches!(status.as_u16(), 408 | 429 | 503) && !terms.may_repeat;
    if unsealed || promise || switch {
        gateway.log_unexpected_response(
            "an answer that can't be passed on",
            started.in_flight.key(),
            &started.head,
        );
        started.in_flight.end(AttemptOutcome::Broken);
        if again {
            return None;
        }
        increment(&gateway.counts.failed);
        return Some(local_response(
            StatusCode::BAD_GATEWAY,
            "a runner's answer can't be passed on\n",
        ));
    }
    if status.is_server_error() && again {
        started.in_flight.end(AttemptOutcome::Failed);
        if drained(&mut started.upstream, &mut started.body).await {
            if let Some(upstream) = started.upstream.rest(&started.head.headers) {
                gateway.selector.keep(started.in_flight.key(), upstream);
            }
        }
        return None;
    }
    let events = status.is_success() && is_events(&started.head);
    if events || terms.streaming && status.is_success() {
        return stream::answer(gateway, request, terms, history, started, guard).await;
    }
    whole(gateway, request, terms, started, guard, again).await
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

/// An answer that is no stream: collected, so that one that breaks off can be repeated and never appears complete.
async fn whole(
    gateway: &Rc<Gateway>,
    request: &Rc<Request>,
    terms: &RouteTerms,
    started: ResponseStart,
    guard: &Rc<Guard>,
    again: bool,
) -> Option<ClientResponse> {
    let ResponseStart {
        head,
        mut body,
        mut upstream,
        mut in_flight,
    } = started;
    let now = gateway.clock.now();
    let until = Instant::now()
        + Duration::from_millis(gateway.left_ms(request, terms.timeout_ms, now).max(1));
    let mut first = Bytes::new();
    let mut more = BytesMut::new();
    let word = loop {
        match timeout_at(until, upstream.data(&mut body)).await {
            Ok(None) => break None,
            Ok(Some(Ok(data))) if first.is_empty() && more.is_empty() => first = data,
            Ok(Some(Ok(data))) => {
                more.extend_from_slice(&std::mem::take(&mut first));
                more.extend_from_slice(&data);
            }
            Ok(Some(Err(_))) => break Some(AttemptOutcome::Broken),
            Err(_) => break Some(AttemptOutcome::TimedOut),
        }
        if first.len() + more.len() > MAX_BUFFERED_BYTES {
            let start = if more.is_empty() {
                first
            } else {
                more.freeze()
            };
            let started = ResponseStart {
                head,
                body,
                upstream,
                in_flight,
            };
            return Some(stream::forward_remaining(
                gateway, request, terms, started, start, guard,
            ));
        }
    };
    match word {
        None => {
            in_flight.end(if head.status.is_server_error() {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Completed
            });
            if let Some(upstream) = upstream.rest(&head.headers) {
                gateway.selector.keep(in_flight.key(), upstream);
            }
            increment(&gateway.counts.served);
            let body = if more.is_empty() {
                first
            } else {
                more.freeze()
            };
            Some(forwarded_response(head, ResponseBody::Full(Some(body))))
        }
        Some(word) => {
            let late = matches!(word, AttemptOutcome::TimedOut);
            increment(&gateway.counts.broken);
            in_flight.end(word);
            if again && !late {
                return None;
            }
            increment(&gateway.counts.failed);
            Some(if late {
                local_response(
                    StatusCode::GATEWAY_TIMEOUT,
                    "a runner's answer did not end in time\n",
                )
            } else {
                local_response(StatusCode::BAD_GATEWAY, "a runner broke off\n")
            })
        }
    }
}

/// A runner's answer as it is passed on.
pub fn forwarded_response(mut head: Parts, body: ResponseBody) -> ClientResponse {
    crate::client::request::strip_hop_by_hop(&mut head.headers);
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = head.headers;
    answer
}
