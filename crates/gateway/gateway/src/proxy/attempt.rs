//! One attempt of a request at one runner, up to the head of the response.
//!
//! Owns what an attempt is held to ([`RouteTerms`]) and what has become of the earlier ones ([`AttemptHistory`]). Whether
//! another attempt follows is decided in [`crate::proxy::classify`].

use crate::client::request::{Request, ATTEMPT_ID, NOT_RUN, RUNNER};
use crate::connection::pool::{ConnectionNumber, Pooled};
use crate::connection::upstream::{Broken, Upstream};
use crate::counters::increment;
use crate::gateway::Gateway;
use crate::proxy::classify::{response_owner, AttemptCounts, ResponseEvidence, ResponseOwner};
use crate::proxy::in_flight::{AttemptOutcome, InFlightAttempt};
use crate::selection::selector::{Key, SelectedRunner};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use route_config::{Kind, Route};
use std::rc::Rc;
use tokio::time::{timeout, timeout_at, Duration, Instant};

/// The longest that one run of an item may take: far beyond any, so that a runner that hangs without a word is left.
const MAX_ITEM_RUN_MS: u64 = 120_000;
/// A runner that has no more than this left can't make an answer that reaches its client.
pub const MIN_REMAINING_MS: u64 = 5;

/// What a request is held to, from the route that takes it now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteTerms {
    /// It may run more than once.
    pub may_repeat: bool,
    /// Its answer may be taken up at another runner.
    pub resumable: bool,
    /// Its answer is a stream of events.
    pub streaming: bool,
    /// It is an item of a batch job.
    pub bulk: bool,
    /// Runners that it may be sent to.
    pub tries: u32,
    /// The longest that it is held.
    pub timeout_ms: u64,
    /// Within this its answer earns its whole worth.
    pub target_ms: u64,
    /// The longest pause between events, if it is told.
    pub gap_ms: Option<u64>,
}

impl RouteTerms {
    /// What holds for an item of a batch job: it is sent until it is done, or is no longer this process's to run.
    pub fn of_item(route: &Route) -> Self {
        RouteTerms {
            may_repeat: true,
            resumable: true,
            streaming: true,
            bulk: true,
            tries: u32::MAX,
            timeout_ms: MAX_ITEM_RUN_MS,
            target_ms: route.target_ms,
            gap_ms: route.gap_aim_ms,
        }
    }

    /// What a route says.
    pub fn of(route: &Route) -> Self {
        let streaming = route.kind == Kind::Streaming;
        let resumable = streaming && route.resumable;
        RouteTerms {
            may_repeat: resumable || route.kind == Kind::Idempotent,
            resumable,
            streaming,
            bulk: false,
            tries: route.tries,
            timeout_ms: route.timeout_ms,
            target_ms: route.target_ms,
            gap_ms: route.gap_aim_ms,
        }
    }
}

/// The attempts of a request so far.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Runners that got it.
    pub runners: Vec<Key>,
    /// Connections on which it was sent; none of them carries it again.
    pub connections: Vec<ConnectionNumber>,
    /// Attempts that count against the route's `Tries`.
    pub sends: u32,
    /// Connections that did not come up, or ended unused.
    pub unsent: u32,
    /// Some runner may have run it.
    pub may_have_run: bool,
}

impl AttemptHistory {
    /// The counts by which a retry is decided.
    pub fn counts(&self) -> AttemptCounts {
        AttemptCounts {
            sends: self.sends,
            unsent: self.unsent,
            may_have_run: self.may_have_run,
        }
    }

    /// Forgets runners and connections of earlier attempts, for an item that is attempted many times.
    pub fn forget_attempts(&mut self) {
        self.runners.clear();
        self.connections.clear();
    }
}

/// The head of an answer, and where the rest of it comes from.
pub struct ResponseStart {
    /// Its status and headers.
    pub head: Parts,
    /// The rest.
    pub body: Incoming,
    /// The connection that it comes on.
    pub upstream: Upstream,
    /// The send.
    pub in_flight: InFlightAttempt,
}

/// What an attempt came to, once the head of a response arrived or can't arrive any more.
pub enum AttemptResult {
    /// The head of a response to this request arrived.
    Responded(Box<ResponseStart>),
    /// The runner says that the request has not run; with its `Retry-After` in milliseconds.
    Declined(Option<u64>),
    /// Nothing of it was sent.
    NotSent,
    /// The connection ended without a response: the request may have run.
    Broken,
    /// The request's deadline passed.
    TimedOut,
}

/// Makes one attempt: sends a request to the selected runner and waits for the head of the response.
pub async fn send(
    gateway: &Rc<Gateway>,
    request: &Request,
    terms: &RouteTerms,
    chosen: SelectedRunner,
    history: &mut AttemptHistory,
    last_event_id: Option<&HeaderValue>,
) -> AttemptResult {
    let key = chosen.key;
    let upstream =
        match gateway
            .selector
            .connection(&chosen, !terms.may_repeat, &history.connections)
        {
            Some(upstream) => Ok(upstream),
            None if !gateway.selector.may_open(key) => Err(Broken::Unsent),
            None => {
                increment(&gateway.counts.opened);
                let opened = Upstream::open(
                    chosen.addr,
                    gateway.selector.count_connection(key),
                    gateway.selector.connect_timeout(),
                )
                .await;
                // The connection took its time: what was told meanwhile counts.
                if gateway.selector.usable(key) {
                    opened
                } else {
                    Err(Broken::Unsent)
                }
            }
        };
    let mut in_flight = chosen.in_flight;
    let mut upstream = match upstream {
        Ok(upstream) => upstream,
        Err(broken) => {
            increment(&gateway.counts.unsent);
            history.unsent += 1;
            in_flight.end(if matches!(broken, Broken::Connect(_)) {
                AttemptOutcome::ConnectFailed
            } else {
                AttemptOutcome::NotSent
            });
            return AttemptResult::NotSent;
        }
    };
    let left_ms = if terms.bulk {
        terms.timeout_ms
    } else {
        gateway.left_ms(request, terms.timeout_ms, gateway.clock.now())
    };
    if left_ms <= MIN_REMAINING_MS {
        in_flight.end(AttemptOutcome::NotSent);
        gateway.selector.keep(key, upstream);
        return if history.may_have_run {
            AttemptResult::TimedOut
        } else {
            AttemptResult::NotSent
        };
    }
    history.runners.push(key);
    history.connections.push(upstream.number());
    history.sends += 1;
    increment(&gateway.counts.sends);
    // An item's time is its batch job's; what its own headers say of a deadline is passed on.
    let told = (!terms.bulk).then_some(left_ms);
    let message = request.for_runner(&chosen.id, told, last_event_id);
    let until = Instant::now() + Duration::from_millis(left_ms);
    let again = terms.may_repeat && history.sends < terms.tries;
    let response = tokio::select! {
        biased;
        response = timeout_at(until, upstream.send(message)) => response,
        () = in_flight.overdue(), if again => {
            history.may_have_run = true;
            increment(&gateway.counts.broken);
            in_flight.end(AttemptOutcome::Abandoned);
            return AttemptResult::Broken;
        }
    };
    let response = match response {
        Ok(Ok(response)) => response,
        Ok(Err(broken)) if broken.is_unsent() => {
            history.runners.pop();
            history.sends -= 1;
            history.unsent += 1;
            increment(&gateway.counts.unsent);
            in_flight.end(AttemptOutcome::NotSent);
            return AttemptResult::NotSent;
        }
        Ok(Err(_)) => {
            history.may_have_run = true;
            increment(&gateway.counts.broken);
            in_flight.end(AttemptOutcome::Broken);
            return AttemptResult::Broken;
        }
        Err(_) => {
            history.may_have_run = true;
            in_flight.end(AttemptOutcome::TimedOut);
            return AttemptResult::TimedOut;
        }
    };
    classify_head(
        gateway,
        &request.attempt,
        history,
        response,
        upstream,
        in_flight,
    )
    .await
}

/// Classifies the head of a response.
async fn classify_head(
    gateway: &Rc<Gateway>,
    attempt: &HeaderValue,
    history: &mut AttemptHistory,
    response: Response<Incoming>,
    mut upstream: Upstream,
    mut in_flight: InFlightAttempt,
) -> AttemptResult {
    let (head, mut body) = response.into_parts();
    let signs = ResponseEvidence {
        attempt: head.headers.get(ATTEMPT_ID).map(HeaderValue::as_bytes),
        not_run: head.headers.contains_key(NOT_RUN)
            || head.status == StatusCode::MISDIRECTED_REQUEST,
        first_on_connection: upstream.is_first(),
    };
    let owner = response_owner(signs, attempt.as_bytes());
    if owner == ResponseOwner::Foreign {
        history.may_have_run = true;
        increment(&gateway.counts.foreign);
        gateway.log_unexpected_response(
            "an answer that is not this request's",
            in_flight.key(),
            &head,
        );
        in_flight.end(AttemptOutcome::Broken);
        return AttemptResult::Broken;
    }
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    // The runner that was meant may say 421 too, of weights that it has not; one that names nobody is another.
    let other = head
        .headers
        .get(RUNNER)
        .map_or(misdirected, |id| id.as_bytes() != in_flight.id().as_bytes());
    // Another runner's load says nothing of the one that was meant.
    if !other {
        in_flight.record_load(&head.headers);
    }
    if owner == ResponseOwner::NotRun {
        increment(&gateway.counts.declined);
        let after_ms = head.headers.get(RETRY_AFTER).and_then(retry_after_ms);
        if misdirected {
            in_flight.end(if other {
                AttemptOutcome::Misdirected
            } else {
                AttemptOutcome::NotSent
            });
            if other {
                gateway.selector.forget(in_flight.key());
                return AttemptResult::Declined(after_ms);
            }
        } else {
            in_flight.end(AttemptOutcome::Rejected);
        }
        // Its body is short and comes with its head; a connection whose rest has not come is closed.
        if let Some(upstream) = drained(&mut upstream, &mut body)
            .await
            .then(|| upstream.rest(&head.headers))
            .flatten()
        {
            gateway.selector.keep(in_flight.key(), upstream);
        }
        return AttemptResult::Declined(after_ms);
    }
    AttemptResult::Responded(Box::new(ResponseStart {
        head,
        body,
        upstream,
        in_flight,
    }))
}

/// `Retry-After` in milliseconds.
fn retry_after_ms(value: &HeaderValue) -> Option<u64> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (0.0..=60.0)
        .contains(&seconds)
        .then_some((seconds * 1_000.0) as u64)
}

/// Reads a short body to its end, if it is there by now.
pub async fn drained(upstream: &mut Upstream, body: &mut Incoming) -> bool {
    const SHORT: usize = 4 * 1024;
    const WAIT: Duration = Duration::from_millis(5);
    let whole = async {
        let mut read = 0;
        while let Some(data) = upstream.data(body).await {
            read += data.map_err(|_| ())?.len();
            if read > SHORT {
                return Err(());
            }
        }
        Ok(())
    };
    matches!(timeout(WAIT, whole).await, Ok(Ok(())))
}
