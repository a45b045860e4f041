//! The listener: takes flows from clients and answers them.

use super::{seconds, Desk, Passed};
use crate::api::{JobId, JobSpec, Micros};
use crate::net::state::{Answer, Input};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONNECTION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tracing::{debug, warn};

/// Largest body of a request.
const LARGEST_BODY: usize = 64 * 1024;
/// A client that has not sent a whole head by then is cut off.
const HEAD_WAIT: Duration = Duration::from_secs(60);
/// Connections beyond the limit that are still taken, to be told to come again.
const OVERFLOW: usize = 16;
/// How long a request may have been under way when its head is read: its deadline runs from its sending.
const TRAVEL: Micros = 2_000;
/// How long to wait before accepting again after the system could not.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// What a client is told when this dispatcher, not the targets, has too much to do.
const OVERLOAD_RETRY: Micros = 250_000;

/// How far the program is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It was told to stop: it still takes what comes, and says that connections end.
    Leaving,
    /// It takes no new connection and closes each that waits for nothing.
    Closing,
}

/// What a listener checks flows against.
#[derive(Debug, Clone)]
pub struct Terms {
    /// Names of the classes; the decisions count them by position.
    pub classes: Vec<String>,
    /// Names of the tenants, likewise.
    pub tenants: Vec<String>,
    /// Connections that may be open together.
    pub connections: usize,
    /// Flows that may be open together.
    pub flows: usize,
}

/// The listener's side of the dispatcher.
pub struct Listener {
    desk: Rc<Desk>,
    terms: Terms,
    phase: watch::Receiver<Phase>,
    open: Cell<usize>,
    closed: Notify,
}

/// Why a request gets a fixed response and never reaches a target.
#[derive(Debug, thiserror::Error)]
enum Refusal {
    #[error("{0} is missing or malformed")]
    Header(&'static str),
    #[error("no class is called {0:?}")]
    Class(String),
    #[error("no tenant is called {0:?}")]
    Tenant(String),
    #[error("the body is over 64 KiB")]
    TooLarge,
    #[error("the body did not come whole")]
    Body,
    #[error("the body did not come in time")]
    Slow,
    #[error("jobs come by POST")]
    Method,
    #[error("nothing is here")]
    Path,
    #[error("too much is open here")]
    Overload,
}

impl Refusal {
    fn response(&self) -> Response<Full<Bytes>> {
        let status = match self {
            Refusal::Header(_) | Refusal::Class(_) | Refusal::Tenant(_) | Refusal::Body => {
                StatusCode::BAD_REQUEST
            }
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Slow => StatusCode::REQUEST_TIMEOUT,
            Refusal::Method => StatusCode::METHOD_NOT_ALLOWED,
            Refusal::Path => StatusCode::NOT_FOUND,
            Refusal::Overload => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = fixed(status, self.to_string());
        match self {
            Refusal::Overload => retry_after(&mut response, OVERLOAD_RETRY),
            Refusal::Method => drop(response.headers_mut().insert(ALLOW, HeaderValue::from_static("POST"))),
            _ => {}
        }
        response
    }
}

fn fixed(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

fn retry_after(response: &mut Response<Full<Bytes>>, wait: Micros) {
    if let Ok(value) = HeaderValue::try_from(seconds(wait)) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
}

/// Tells the reducer when a client leaves: hyper drops the service's future then.
struct Leaver<'a> {
    desk: &'a Desk,
    flow: JobId,
    answered: bool,
}

impl Drop for Leaver<'_> {
    fn drop(&mut self) {
        if !self.answered {
            debug!(flow = self.flow.0, "client left");
            self.desk.close(self.flow);
            self.desk.report(Input::Left(self.flow));
        }
    }
}

impl Listener {
    /// A listener that is not accepting yet.
    pub fn new(desk: Rc<Desk>, terms: Terms, phase: watch::Receiver<Phase>) -> Rc<Self> {
        Rc::new(Listener { desk, terms, phase, open: Cell::new(0), closed: Notify::new() })
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Accepts connections until the phase is `Closing`, and what the system has accepted by then.
    pub async fn accept(self: Rc<Self>, socket: TcpListener) {
        let mut phase = self.phase.clone();
        loop {
            // At the limit the rest waits in the system's queue until a connection has closed.
            while self.open.get() >= self.terms.connections + OVERFLOW {
                self.closed.notified().await;
            }
            let accepted = tokio::select! {
                biased;
                accepted = socket.accept() => accepted,
                _ = phase.wait_for(|p| *p == Phase::Closing) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    self.open.set(self.open.get() + 1);
                    // Beyond the limit a connection is there only to be told to come again.
                    let crowded = self.open.get() > self.terms.connections;
                    tokio::task::spawn_local(Rc::clone(&self).connection(stream, crowded));
                }
                Err(e) => {
                    // Out of descriptors, or the client was gone before: neither may end the loop.
                    warn!("can't accept: {e}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, crowded: bool) {
        if let Err(e) = stream.set_nodelay(true) {
            debug!("can't set TCP_NODELAY: {e}");
        }
        let service = service_fn(|request| self.respond(request, crowded));
        let mut phase = self.phase.clone();
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_WAIT)
            .max_buf_size(2 * LARGEST_BODY)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(conn);
        let result = tokio::select! {
            biased;
            result = &mut conn => result,
            _ = phase.wait_for(|p| *p == Phase::Closing) => {
                conn.as_mut().graceful_shutdown();
                conn.await
            }
        };
        if let Err(e) = result {
            debug!("a client's connection ended: {e}");
        }
        self.open.set(self.open.get() - 1);
        self.closed.notify_one();
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        crowded: bool,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let mut response = match self.route(request, crowded).await {
            Ok(response) => response,
            Err(refusal) => {
                debug!("fixed response: {refusal}");
                refusal.response()
            }
        };
        if crowded || *self.phase.borrow() != Phase::Serving {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    async fn route(
        &self,
        request: Request<Incoming>,
        crowded: bool,
    ) -> Result<Response<Full<Bytes>>, Refusal> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/ready") => Ok(fixed(StatusCode::OK, "ready\n".into())),
            (&Method::POST, "/ready") => Err(Refusal::Path),
            (&Method::POST, _) => self.flow(request, crowded).await,
            (&Method::GET, _) => Err(Refusal::Path),
            _ => Err(Refusal::Method),
        }
    }

    async fn flow(
        &self,
        request: Request<Incoming>,
        crowded: bool,
    ) -> Result<Response<Full<Bytes>>, Refusal> {
        let came = self.desk.clock().now();
        let (head, body) = request.into_parts();
        let (id, mut spec) = self.read(&head.headers, came)?;
        if crowded || self.desk.open_flows() >= self.terms.flows {
            return Err(Refusal::Overload);
        }
        let wait = Duration::from_micros(spec.expires.saturating_sub(came));
        let body = Limited::new(body, LARGEST_BODY).collect();
        let body = match tokio::time::timeout(wait, body).await {
            Err(_) => return Err(Refusal::Slow),
            Ok(Err(e)) if e.is::<LengthLimitError>() => return Err(Refusal::TooLarge),
            Ok(Err(_)) => return Err(Refusal::Body),
            Ok(Ok(body)) => body.to_bytes(),
        };
        let key = head.headers.get("idempotency-key").cloned();
        let passed_id = id.clone();
        let path = head.uri.into_parts().path_and_query.ok_or(Refusal::Path)?;
        let passed = Passed { method: head.method, path, id, key, body };
        let (flow, answer) = self.desk.open(passed);
        let mut leaver = Leaver { desk: &self.desk, flow, answered: false };
        spec.id = flow;
        debug!(flow = flow.0, id = ?passed_id, class = spec.class, left = spec.expires - came, "taken");
        self.desk.report(Input::Taken(spec));
        let answer = answer.await;
        leaver.answered = true;
        debug!(flow = flow.0, took = self.desk.clock().now() - came, "{}", name(&answer));
        Ok(match answer {
            Ok(Answer::Served(result)) => Response::new(Full::new(result)),
            Ok(Answer::Refused { retry_after: wait }) => {
                let mut response = fixed(StatusCode::SERVICE_UNAVAILABLE, "try again\n".into());
                wait.into_iter().for_each(|wait| retry_after(&mut response, wait));
                response
            }
            // The sender is dropped unused only when the program ends amid it.
            Ok(Answer::Failed) | Err(_) => fixed(StatusCode::BAD_GATEWAY, "failed\n".into()),
        })
    }

    /// Takes out what the decisions need.
    fn read(&self, headers: &HeaderMap, came: Micros) -> Result<(HeaderValue, JobSpec), Refusal> {
        let text = |name: &'static str| match headers.get(name).map(HeaderValue::to_str) {
            None => Ok(None),
            Some(text) => text.map(|t| Some(t.trim())).map_err(|_| Refusal::Header(name)),
        };
        let id = headers.get("req-id").filter(|id| !id.is_empty()).ok_or(Refusal::Header("Req-Id"))?;
        text("req-id")?;
        let kind = text("req-kind")?.ok_or(Refusal::Header("Req-Kind"))?;
        let named = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let class = named(&self.terms.classes, kind).ok_or_else(|| Refusal::Class(kind.to_owned()))?;
        let tenant = match text("req-owner")? {
            Some(owner) if !self.terms.tenants.is_empty() => {
                named(&self.terms.tenants, owner).ok_or_else(|| Refusal::Tenant(owner.to_owned()))?
            }
            _ => 0,
        };
        let deadline = text("req-deadline")?.and_then(figure).ok_or(Refusal::Header("Req-Deadline"))?;
        let work = match text("req-cost")? {
            Some(cost) => Some(figure(cost).ok_or(Refusal::Header("Req-Cost"))?),
            None => None,
        };
        let mut slots = 1.0;
        for extra in text("req-extra")?.unwrap_or("").split(',').filter(|e| !e.trim().is_empty()) {
            let (name, value) = extra.split_once('=').ok_or(Refusal::Header("Req-Extra"))?;
            if matches!(name.trim(), "slots" | "cores-needed") {
                slots = figure(value.trim()).ok_or(Refusal::Header("Req-Extra"))?;
            }
        }
        let expires = came + micros(deadline).saturating_sub(TRAVEL);
        let work = work.map(micros);
        Ok((id.clone(), JobSpec { id: JobId(0), class, tenant, slots, expires, work }))
    }
}

/// What an answer is called in the log.
fn name<E>(answer: &Result<Answer, E>) -> &'static str {
    match answer {
        Ok(Answer::Served(_)) => "served",
        Ok(Answer::Refused { .. }) => "refused",
        Ok(Answer::Failed) | Err(_) => "failed",
    }
}

/// A figure that can be meant: a number, not negative, not beyond all bounds.
fn figure(text: &str) -> Option<f64> {
    text.parse().ok().filter(|v: &f64| (0.0..=1.0e6).contains(v))
}

fn micros(seconds: f64) -> Micros {
    (seconds * 1.0e6) as Micros
}
