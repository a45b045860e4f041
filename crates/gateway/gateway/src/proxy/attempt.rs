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
use route_config::{Route, RouteKind};
use std::rc::Rc;
use tokio::time::{timeout, timeout_at, Duration, Instant};

/// The longest run of an item, in milliseconds: far beyond any, so that a runner that hangs silently is left.
const MAX_ITEM_RUN_MS: u64 = 120_000;
/// In milliseconds: a response that a runner begins with less time left does not reach its client.
pub const MIN_REMAINING_MS: u64 = 5;

/// What a request is held to, from the route that takes it now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteTerms {
    /// What kind of work it is.
    pub work: Work,
    /// It may run more than once.
    pub may_repeat: bool,
    /// Its stream may be resumed at another runner.
    pub resumable: bool,
    /// Attempts that are made at most, the first one included.
    pub tries: u32,
    /// The longest from its arrival to its response, in milliseconds.
    pub timeout_ms: u64,
    /// Its latency target, in milliseconds.
    pub target_ms: u64,
    /// The longest pause between events that its clients accept, in milliseconds, where it is known.
    pub gap_ms: Option<u64>,
}

/// Kinds of work that are sent to runners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// A request with one response body.
    Unary,
    /// A request whose response is a stream of events.
    Stream,
    /// An item of a batch job.
    BatchItem,
}

impl RouteTerms {
    /// Terms of an item of a batch job: attempts are made until it is done or its lease has ended.
    pub fn of_item(route: &Route) -> Self {
        RouteTerms {
            may_repeat: true,
            resumable: true,
            work: Work::BatchItem,
            tries: u32::MAX,
            timeout_ms: MAX_ITEM_RUN_MS,
            target_ms: route.target_ms,
            gap_ms: route.event_gap_target_ms,
        }
    }

    /// Terms of a request on a route.
    pub fn of(route: &Route) -> Self {
        let streaming = route.kind == RouteKind::Streaming;
        let resumable = streaming && route.resumable;
        RouteTerms {
            may_repeat: resumable || route.kind == RouteKind::Idempotent,
            resumable,
            work: if streaming { Work::Stream } else { Work::Unary },
            tries: route.max_attempts,
            timeout_ms: route.timeout_ms,
            target_ms: route.target_ms,
            gap_ms: route.event_gap_target_ms,
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

    /// Records that an attempt goes out.
    fn begin(&mut self, runner: Key, connection: ConnectionNumber) {
        self.runners.push(runner);
        self.connections.push(connection);
        self.sends += 1;
    }

    /// Takes the last attempt back, since nothing of it was sent. Its connection is not used for this request again.
    fn undo_begin(&mut self) {
        self.runners.pop();
        self.sends -= 1;
    }

    /// Forgets runners and connections of earlier attempts, for an item that is attempted many times.
    pub fn forget_attempts(&mut self) {
        self.runners.clear();
        self.connections.clear();
    }
}

/// The head of a response, and where the rest of it comes from.
pub struct ResponseStart {
    /// Its status and headers.
    pub head: Parts,
    /// The body, as it arrives.
    pub body: Incoming,
    /// The connection on which it arrives.
    pub upstream: Upstream,
    /// The attempt, until its response has ended.
    pub in_flight: InFlightAttempt,
}

impl ResponseStart {
    /// Ends the attempt, whose response has arrived completely, and keeps its connection if it can be used again.
    pub fn finish(self, gateway: &Gateway, outcome: AttemptOutcome) -> Parts {
        let ResponseStart {
            head,
            body: _body,
            upstream,
            mut in_flight,
        } = self;
        in_flight.end(outcome);
        if let Some(upstream) = upstream.rest(&head.headers) {
            gateway.selector.keep(in_flight.key(), upstream);
        }
        head
    }
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
/// `last_event_id`: the client has the events of a stream up to this one.
pub async fn send(
    gateway: &Rc<Gateway>,
    request: &Request,
    terms: &RouteTerms,
    chosen: SelectedRunner,
    history: &mut AttemptHistory,
    last_event_id: Option<&HeaderValue>,
) -> AttemptResult {
    let key = chosen.key;
    let upstream = acquire_connection(gateway, &chosen, terms, &history.connections).await;
    let mut in_flight = chosen.in_flight;
    let mut upstream = match upstream {
        Ok(upstream) => upstream,
        Err(broken) => {
            in_flight.end(if matches!(broken, Broken::Connect(_)) {
                AttemptOutcome::ConnectFailed
            } else {
                AttemptOutcome::NotSent
            });
            return not_sent(gateway, history);
        }
    };
    let left_ms = if terms.work == Work::BatchItem {
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
    history.begin(key, upstream.number());
    increment(&gateway.counts.sends);
    // An item's time is its batch job's; what its own headers say of a deadline is forwarded.
    let deadline_ms = (terms.work != Work::BatchItem).then_some(left_ms);
    let message = request.for_runner(&chosen.id, deadline_ms, last_event_id);
    let until = Instant::now() + Duration::from_millis(left_ms);
    let may_retry = terms.may_repeat && history.sends < terms.tries;
    let response = tokio::select! {
        biased;
        response = timeout_at(until, upstream.send(message)) => response,
        () = in_flight.overdue(), if may_retry => {
            increment(&gateway.counts.broken);
            in_flight.end(AttemptOutcome::Abandoned);
            history.may_have_run = true;
            return AttemptResult::Broken;
        }
    };
    match response {
        Ok(Ok(response)) => {
            let attempt = &request.attempt;
            classify_head(gateway, attempt, history, response, upstream, in_flight).await
        }
        Ok(Err(broken)) => connection_ended(gateway, history, &mut in_flight, &broken),
        Err(_) => {
            history.may_have_run = true;
            in_flight.end(AttemptOutcome::TimedOut);
            AttemptResult::TimedOut
        }
    }
}

/// An idle connection to the runner that is fit for this attempt, or a new one.
async fn acquire_connection(
    gateway: &Rc<Gateway>,
    chosen: &SelectedRunner,
    terms: &RouteTerms,
    used: &[ConnectionNumber],
) -> Result<Upstream, Broken> {
    let key = chosen.key;
    if let Some(upstream) = gateway.selector.connection(chosen, !terms.may_repeat, used) {
        return Ok(upstream);
    }
    if !gateway.selector.may_open(key) {
        return Err(Broken::Unsent);
    }
    increment(&gateway.counts.opened);
    let opened = Upstream::open(
        chosen.addr,
        gateway.selector.count_connection(key),
        gateway.selector.connect_timeout(),
    )
    .await;
    // Connecting took its time: updates that arrived meanwhile count.
    if gateway.selector.usable(key) {
        opened
    } else {
        Err(Broken::Unsent)
    }
}

/// The connection ended before the head of a response arrived.
fn connection_ended(
    gateway: &Gateway,
    history: &mut AttemptHistory,
    in_flight: &mut InFlightAttempt,
    broken: &Broken,
) -> AttemptResult {
    if broken.is_unsent() {
        history.undo_begin();
        in_flight.end(AttemptOutcome::NotSent);
        return not_sent(gateway, history);
    }
    history.may_have_run = true;
    increment(&gateway.counts.broken);
    in_flight.end(AttemptOutcome::Broken);
    AttemptResult::Broken
}

/// Counts an attempt of which nothing was sent.
fn not_sent(gateway: &Gateway, history: &mut AttemptHistory) -> AttemptResult {
    increment(&gateway.counts.unsent);
    history.unsent += 1;
    AttemptResult::NotSent
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
    let answered_by = answered_by(&head, &in_flight);
    // Another runner's load says nothing of the one that was selected.
    if answered_by == AnsweredBy::SelectedRunner {
        in_flight.record_load(&head.headers);
    }
    if owner == ResponseOwner::Own {
        return AttemptResult::Responded(Box::new(ResponseStart {
            head,
            body,
            upstream,
            in_flight,
        }));
    }
    increment(&gateway.counts.declined);
    let after_ms = head.headers.get(RETRY_AFTER).and_then(retry_after_ms);
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    in_flight.end(match (misdirected, answered_by) {
        (true, AnsweredBy::OtherRunner) => AttemptOutcome::Misdirected,
        (true, AnsweredBy::SelectedRunner) => AttemptOutcome::NotSent,
        (false, _) => AttemptOutcome::Rejected,
    });
    if misdirected && answered_by == AnsweredBy::OtherRunner {
        gateway.selector.close_connections(in_flight.key());
        return AttemptResult::Declined(after_ms);
    }
    // The body is short and arrives with the head; a connection on which it is incomplete is closed.
    if drained(&mut upstream, &mut body).await {
        if let Some(upstream) = upstream.rest(&head.headers) {
            gateway.selector.keep(in_flight.key(), upstream);
        }
    }
    AttemptResult::Declined(after_ms)
}

/// Which runner a response comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnsweredBy {
    /// The one that was selected.
    SelectedRunner,
    /// Another one, which has its address now.
    OtherRunner,
}

/// The runner that was selected may answer 421, too, for model weights that it lacks; a 421 that names no runner comes
/// from another one.
fn answered_by(head: &Parts, in_flight: &InFlightAttempt) -> AnsweredBy {
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    let other = head
        .headers
        .get(RUNNER)
        .map_or(misdirected, |id| id.as_bytes() != in_flight.id().as_bytes());
    if other {
        AnsweredBy::OtherRunner
    } else {
        AnsweredBy::SelectedRunner
    }
}

/// `Retry-After` in milliseconds.
fn retry_after_ms(value: &HeaderValue) -> Option<u64> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (0.0..=60.0)
        .contains(&seconds)
        .then_some((seconds * 1_000.0) as u64)
}

/// Reads a short body to its end; false if it has not arrived by now, or is not short.
pub async fn drained(upstream: &mut Upstream, body: &mut Incoming) -> bool {
    const SHORT: usize = 4 * 1024;
    const WAIT: Duration = Duration::from_millis(5);
    let read_to_end = async {
        let mut read = 0;
        while let Some(data) = upstream.data(body).await {
            read += data.map_err(|_| ())?.len();
            if read > SHORT {
                return Err(());
            }
        }
        Ok(())
    };
    matches!(timeout(WAIT, read_to_end).await, Ok(Ok(())))
}
