//! The listener: takes jobs from clients and answers them.

mod job_headers;
mod rejection;

use crate::connections::{Connections, Phase, ProtocolLimits, RequestContext, RequestHandler};
use bytes::Bytes;
use dispatch_api::{JobSpec, Micros};
use dispatcher_state::{Answer, Input};
use event_loop::{FlowReservation, ForwardedRequest, LoopHandle, ReservationError};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use job_headers::{affinity_key, JobHeaders};
use metrics::counter;
use rejection::{set_retry_after, text_response, Rejection};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::debug;

/// Bytes of the largest body of a request.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Bytes of the largest head of a request, and what is read of a body at a time.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes that a job takes beside its body.
const JOB_OVERHEAD_BYTES: usize = 8 * 1024;
/// A connection on which no request was received for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// What a listener checks jobs against.
#[derive(Debug, Clone)]
pub struct ListenerTerms {
    /// Names of the classes; the decisions count them by position.
    pub classes: Vec<String>,
    /// Names of the tenants, likewise.
    pub tenants: Vec<String>,
    /// Connections that may be open together.
    pub connections: usize,
    /// The longest that the client of a class waits, by class.
    pub client_timeout: Vec<Micros>,
}

/// The listener's side of the dispatcher.
pub struct Listener {
    loop_handle: Rc<LoopHandle>,
    terms: ListenerTerms,
    connections: Rc<Connections>,
    /// What is accepted must be answered by then: the platform ends a program that was told to stop.
    response_deadline: Cell<Micros>,
}

/// A job that was received completely.
struct ReceivedJob {
    spec: JobSpec,
    request: ForwardedRequest,
}

impl Listener {
    /// A listener that is not accepting yet.
    pub fn new(
        loop_handle: Rc<LoopHandle>,
        terms: ListenerTerms,
        phase: watch::Receiver<Phase>,
    ) -> Rc<Self> {
        let limits = ProtocolLimits {
            head_timeout: Some(IDLE_TIMEOUT),
            max_head_bytes: None,
            buffer_bytes: READ_BUFFER_BYTES,
            sends_date: true,
        };
        let connections = Rc::new(Connections::new(phase, terms.connections, limits));
        Rc::new(Listener {
            loop_handle,
            terms,
            connections,
            response_deadline: Cell::new(Micros::MAX),
        })
    }

    /// Whatever is accepted from now on is answered by then at the latest.
    pub fn set_response_deadline(&self, deadline: Micros) {
        self.response_deadline.set(deadline);
    }

    /// So many connections may be open together from now on; those that are open stay.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.connections.set_max_connections(max_connections);
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.connections.open()
    }

    /// Accepts connections until another process does or the phase is `Closing`, and what the system has accepted for
    /// this one alone by then.
    pub async fn accept(self: Rc<Self>, socket: TcpListener) {
        Rc::clone(&self.connections).accept(self, socket).await;
    }

    /// Closes overdue connections, as long as the program runs.
    pub async fn close_overdue(self: Rc<Self>) {
        self.connections.close_overdue().await;
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        context: RequestContext<'_>,
    ) -> Result<Response<Full<Bytes>>, Rejection> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/ready") if request.body().is_end_stream() => {
                Ok(text_response(StatusCode::OK, "ready\n"))
            }
            (&Method::POST, "/ready") => Err(Rejection::Path),
            (&Method::POST, _) => {
                let received_at = self.loop_handle.clock().now();
                let job = self.receive_job(request, context, received_at).await?;
                self.run_job(job, received_at).await
            }
            (&Method::GET, _) => Err(Rejection::Path),
            _ => Err(Rejection::Method),
        }
    }

    /// Counts a request that never reaches a target.
    fn count(&self, class: usize, rejection: Rejection) -> Rejection {
        if let Some(counted) = rejection.counted_as() {
            let answer = counted.answer();
            self.loop_handle
                .send_input(Input::FlowRejected { class, answer });
        }
        rejection
    }

    /// Reads a job, up to the last byte of its body.
    async fn receive_job(
        &self,
        request: Request<Incoming>,
        context: RequestContext<'_>,
        received_at: Micros,
    ) -> Result<ReceivedJob, Rejection> {
        let (head, body) = request.into_parts();
        let max_bytes = body_bound(&head, &body, &context)?;
        let JobHeaders { id, mut spec } =
            JobHeaders::read(&head.headers, &self.terms, received_at)?;
        spec.key = head.uri.query().and_then(affinity_key);
        spec.expires = spec.expires.min(self.response_deadline.get());
        let class = spec.class;
        if context.over_limit {
            return Err(self.count(class, Rejection::Overload));
        }
        let id = Bytes::copy_from_slice(id.as_bytes());
        let mut reservation = self.reserve(class, id.clone(), max_bytes)?;
        let patience = Duration::from_micros(spec.expires.saturating_sub(received_at));
        let body = self
            .receive_body(body, &context, patience)
            .await
            .map_err(|rejection| self.count(class, rejection))?;
        reservation.shrink(body.len() + JOB_OVERHEAD_BYTES);
        context.state.request_received();
        let key = head.headers.get("idempotency-key");
        let key = key.map(|key| Bytes::copy_from_slice(key.as_bytes()));
        let path = head.uri.path_and_query().ok_or(Rejection::Path)?.as_str();
        debug!(?id, %path, "request received");
        let path = Bytes::copy_from_slice(path.as_bytes());
        // That its client left may lie in the socket behind its request, where the connection waited to be accepted or read.
        if context.socket.has_gone() {
            return Err(self.count(class, Rejection::ClientLeft));
        }
        let request = ForwardedRequest {
            path,
            id,
            key,
            body,
            reservation,
        };
        Ok(ReceivedJob { spec, request })
    }

    fn reserve(
        &self,
        class: usize,
        id: Bytes,
        max_bytes: usize,
    ) -> Result<FlowReservation, Rejection> {
        let reserved = self.loop_handle.reserve(id, max_bytes + JOB_OVERHEAD_BYTES);
        reserved.map_err(|error| match error {
            ReservationError::Repeated => Rejection::Id,
            ReservationError::Full => self.count(class, Rejection::Overload),
        })
    }

    /// Reads a body, as long as its client and this listener have patience.
    async fn receive_body(
        &self,
        body: Incoming,
        context: &RequestContext<'_>,
        patience: Duration,
    ) -> Result<Bytes, Rejection> {
        let timeout = self.connections.table().timeouts().request;
        let until = (context.state.receiving_since() + timeout).min(Instant::now() + patience);
        let body = Limited::new(body, MAX_BODY_BYTES).collect();
        match tokio::time::timeout_at(until, body).await {
            Err(_) => Err(Rejection::Slow),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Rejection::TooLarge),
            Ok(Err(_)) => Err(Rejection::Body),
            Ok(Ok(body)) => Ok(body.to_bytes()),
        }
    }

    /// Hands a job to the state machine and waits for its answer. hyper drops this future when the client leaves, and the
    /// job with it.
    async fn run_job(
        &self,
        job: ReceivedJob,
        received_at: Micros,
    ) -> Result<Response<Full<Bytes>>, Rejection> {
        let flow = self.loop_handle.accept_flow(job.spec, job.request);
        let number = flow.id().0;
        let answer = flow.answer().await;
        let took = self.loop_handle.clock().now() - received_at;
        debug!(flow = number, took, "{}", name(&answer));
        match answer {
            Answer::Served(result) => Ok(Response::new(Full::new(result))),
            Answer::Rejected { retry_after } => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                let mut response = text_response(status, "try again\n");
                if let Some(wait) = retry_after {
                    set_retry_after(&mut response, wait);
                }
                Ok(response)
            }
            Answer::Unprocessable => Err(Rejection::Unusable),
            Answer::Failed => Ok(text_response(StatusCode::BAD_GATEWAY, "failed\n")),
        }
    }
}

/// The most bytes that a request's body may have, once its head was received.
fn body_bound(
    head: &Parts,
    body: &Incoming,
    context: &RequestContext<'_>,
) -> Result<usize, Rejection> {
    // A length beside it may hide another request in the body, and hyper drops that length unseen.
    let is_chunked = head.headers.contains_key(TRANSFER_ENCODING);
    if is_chunked && !context.state.is_chunked_only() {
        return Err(Rejection::Framing);
    }
    context.state.head_received();
    if is_chunked {
        // It may become as long as any.
        return Ok(MAX_BODY_BYTES);
    }
    let length = body.size_hint().upper().ok_or(Rejection::Framing)?;
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if length > MAX_BODY_BYTES {
        return Err(Rejection::TooLarge);
    }
    Ok(length)
}

/// What an answer is called in the log.
fn name(answer: &Answer) -> &'static str {
    match answer {
        Answer::Served(_) => "served",
        Answer::Rejected { .. } => "refused",
        Answer::Unprocessable => "unusable",
        Answer::Failed => "failed",
    }
}

impl RequestHandler for Listener {
    type Body = Full<Bytes>;

    async fn handle(
        &self,
        request: Request<Incoming>,
        context: RequestContext<'_>,
    ) -> Response<Full<Bytes>> {
        let (state, socket, over_limit) = (context.state, context.socket, context.over_limit);
        let (mut response, is_rejected) = match self.respond(request, context).await {
            Ok(response) => (response, false),
            Err(rejection) => {
                debug!("fixed response: {rejection}");
                let response = rejection.response();
                counter!("fordrelay_fixed_responses_total", "status" => response.status().as_str().to_owned())
                    .increment(1);
                (response, true)
            }
        };
        // Who sends what can't be used may have sent more of it, and a body that was not read is no head.
        let ends = over_limit
            || is_rejected
            || socket.has_discarded()
            || self.connections.phase() != Phase::Serving;
        if ends {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        state.response_started();
        response
    }
}
