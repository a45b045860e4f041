//! The listener: takes flows from clients and answers them.

use crate::connections::{Answers, Asked, Connections, Phase, Reading};
use crate::seconds;
use bytes::Bytes;
use dispatch_api::load_exchange;
use dispatch_api::{JobId, JobSpec, Micros};
use dispatcher_state::{Answer, Input};
use event_loop::{ForwardedRequest, LoopHandle, ReservationError};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONNECTION, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use metrics::counter;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::debug;

/// Largest body of a request.
const LARGEST_BODY: usize = 64 * 1024;
/// Largest head of a request, and what is read of a body at a time.
const READ_BUFFER: usize = 16 * 1024;
/// Longest id of a request.
const LONGEST_ID: usize = 256;
/// What a flow takes beside its body.
const FLOW_BYTES: usize = 8 * 1024;
/// A connection on which no request has come for so long is closed.
const IDLE_WAIT: Duration = Duration::from_secs(60);
/// How long a request may have been under way when its head is read: its deadline runs from its sending.
const TRAVEL: Micros = 2_000;
/// What a client is told when this dispatcher, not the targets, has too much to do.
const OVERLOAD_RETRY: Micros = 250_000;

/// What a listener checks flows against.
#[derive(Debug, Clone)]
pub struct Terms {
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
    terms: Terms,
    connections: Rc<Connections>,
    /// What is taken must be answered by then: the platform ends a program that was told to stop.
    ends: Cell<Micros>,
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
    #[error("{0} is given more than once")]
    Repeated(&'static str),
    #[error("another request with this id is open")]
    Id,
    #[error(
        "a body must come with its Content-Length or in chunks, not both, and after the answer before it"
    )]
    Framing,
    #[error("the body is over 64 KiB")]
    TooLarge,
    #[error("the body did not come whole")]
    Body,
    #[error("the request did not come in time")]
    Slow,
    #[error("the client has left")]
    Left,
    #[error("no target can use this")]
    Unusable,
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
            Refusal::Header(_)
            | Refusal::Class(_)
            | Refusal::Tenant(_)
            | Refusal::Repeated(_)
            | Refusal::Body
            | Refusal::Left
            | Refusal::Unusable => StatusCode::BAD_REQUEST,
            Refusal::Id => StatusCode::CONFLICT,
            Refusal::Framing => StatusCode::LENGTH_REQUIRED,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Slow => StatusCode::REQUEST_TIMEOUT,
            Refusal::Method => StatusCode::METHOD_NOT_ALLOWED,
            Refusal::Path => StatusCode::NOT_FOUND,
            Refusal::Overload => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = fixed(status, self.to_string());
        match self {
            Refusal::Overload => retry_after(&mut response, OVERLOAD_RETRY),
            Refusal::Method => drop(
                response
                    .headers_mut()
                    .insert(ALLOW, HeaderValue::from_static("POST")),
            ),
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

impl Listener {
    /// A listener that is not accepting yet.
    pub fn new(
        loop_handle: Rc<LoopHandle>,
        terms: Terms,
        phase: watch::Receiver<Phase>,
    ) -> Rc<Self> {
        let reading = Reading {
            head_wait: Some(IDLE_WAIT),
            head: None,
            buffer: READ_BUFFER,
            date: true,
        };
        let connections = Rc::new(Connections::new(phase, terms.connections, reading));
        Rc::new(Listener {
            loop_handle,
            terms,
            connections,
            ends: Cell::new(Micros::MAX),
        })
    }

    /// Whatever is taken from now on is answered by then at the latest.
    pub fn answer_by(&self, ends: Micros) {
        self.ends.set(ends);
    }

    /// So many connections may be open together from now on; those that are open stay.
    pub fn bound(&self, most: usize) {
        self.connections.bound(most);
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

    /// Closes connections whose requests don't come, as long as the program runs.
    pub async fn sweep(self: Rc<Self>) {
        self.connections.sweep().await;
    }

    async fn route(
        &self,
        request: Request<Incoming>,
        asked: Asked<'_>,
    ) -> Result<Response<Full<Bytes>>, Refusal> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/ready") if request.body().is_end_stream() => {
                Ok(fixed(StatusCode::OK, "ready\n".into()))
            }
            (&Method::POST, "/ready") => Err(Refusal::Path),
            (&Method::POST, _) => self.flow(request, asked).await,
            (&Method::GET, _) => Err(Refusal::Path),
            _ => Err(Refusal::Method),
        }
    }

    async fn flow(
        &self,
        request: Request<Incoming>,
        Asked {
            guard,
            socket,
            crowded,
        }: Asked<'_>,
    ) -> Result<Response<Full<Bytes>>, Refusal> {
        let came = self.loop_handle.clock().now();
        let (head, body) = request.into_parts();
        // A length beside it may hide another request in the body, and hyper drops that length unseen.
        let chunks = head.headers.contains_key(TRANSFER_ENCODING);
        if chunks && !guard.only_chunks() {
            return Err(Refusal::Framing);
        }
        guard.head_over();
        // In chunks it may become as long as any.
        let length = if chunks {
            LARGEST_BODY as u64
        } else {
            body.size_hint().upper().ok_or(Refusal::Framing)?
        };
        if length > LARGEST_BODY as u64 {
            return Err(Refusal::TooLarge);
        }
        let (id, mut spec) = self.read(&head.headers, came)?;
        spec.key = head.uri.query().and_then(key);
        spec.expires = spec.expires.min(self.ends.get());
        let class = spec.class;
        let turned_back = |refusal: Refusal| {
            let answer = match refusal {
                Refusal::Overload => Some(Answer::Rejected { retry_after: None }),
                Refusal::Slow => Some(Answer::Failed),
                Refusal::Left => None,
                // Nothing that a usual client sends; it counts as a fixed response only.
                _ => return refusal,
            };
            self.loop_handle
                .send_input(Input::FlowRejected { class, answer });
            refusal
        };
        if crowded {
            return Err(turned_back(Refusal::Overload));
        }
        let id = Bytes::copy_from_slice(id.as_bytes());
        let mut reservation = self
            .loop_handle
            .reserve(id.clone(), length as usize + FLOW_BYTES)
            .map_err(|e| match e {
                ReservationError::Repeated => Refusal::Id,
                ReservationError::Full => turned_back(Refusal::Overload),
            })?;
        let wait = Duration::from_micros(spec.expires.saturating_sub(came));
        let until = (guard.asking_since() + self.connections.guards().waits().request)
            .min(Instant::now() + wait);
        let body = match tokio::time::timeout_at(until, Limited::new(body, LARGEST_BODY).collect())
            .await
        {
            Err(_) => return Err(turned_back(Refusal::Slow)),
            Ok(Err(e)) if e.is::<LengthLimitError>() => return Err(Refusal::TooLarge),
            Ok(Err(_)) => return Err(Refusal::Body),
            Ok(Ok(body)) => body.to_bytes(),
        };
        reservation.shrink(body.len() + FLOW_BYTES);
        guard.answering();
        let key = head
            .headers
            .get("idempotency-key")
            .map(|k| Bytes::copy_from_slice(k.as_bytes()));
        let path = head.uri.path_and_query().ok_or(Refusal::Path)?.as_str();
        debug!(?id, %path, "whole");
        let path = Bytes::copy_from_slice(path.as_bytes());
        // Its leaving may lie in the socket behind its request, where the connection waited to be accepted or read.
        if socket.has_gone() {
            return Err(turned_back(Refusal::Left));
        }
        // hyper drops the service's future when the client leaves, and the flow with it.
        let flow = self.loop_handle.accept_flow(
            spec,
            ForwardedRequest {
                path,
                id,
                key,
                body,
                reservation,
            },
        );
        let number = flow.id().0;
        let answer = flow.answer().await;
        debug!(
            flow = number,
            took = self.loop_handle.clock().now() - came,
            "{}",
            name(&answer)
        );
        Ok(match answer {
            Answer::Served(result) => Response::new(Full::new(result)),
            Answer::Rejected { retry_after: wait } => {
                let mut response = fixed(StatusCode::SERVICE_UNAVAILABLE, "try again\n".into());
                wait.into_iter()
                    .for_each(|wait| retry_after(&mut response, wait));
                response
            }
            Answer::Unprocessable => return Err(Refusal::Unusable),
            Answer::Failed => fixed(StatusCode::BAD_GATEWAY, "failed\n".into()),
        })
    }

    /// Takes out what the decisions need.
    fn read(&self, headers: &HeaderMap, came: Micros) -> Result<(HeaderValue, JobSpec), Refusal> {
        // Said twice, a target or another party may read the other one.
        let only = |name: &'static str| {
            let mut all = headers.get_all(name).iter();
            let first = all.next();
            all.next()
                .map_or(Ok(first), |_| Err(Refusal::Repeated(name)))
        };
        let text = |name: &'static str| match only(name)?.map(HeaderValue::to_str) {
            None => Ok(None),
            Some(text) => text
                .map(|t| Some(t.trim()))
                .map_err(|_| Refusal::Header(name)),
        };
        let sound =
            |id: &&HeaderValue| !id.is_empty() && id.len() <= LONGEST_ID && id.to_str().is_ok();
        let id = only("req-id")?
            .filter(sound)
            .ok_or(Refusal::Header("Req-Id"))?;
        only("idempotency-key")?;
        let kind = text("req-kind")?.ok_or(Refusal::Header("Req-Kind"))?;
        let named = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let class =
            named(&self.terms.classes, kind).ok_or_else(|| Refusal::Class(kind.to_owned()))?;
        let tenant = match text("req-owner")? {
            Some(owner) if !self.terms.tenants.is_empty() => named(&self.terms.tenants, owner)
                .ok_or_else(|| Refusal::Tenant(owner.to_owned()))?,
            _ => 0,
        };
        let deadline = text("req-deadline")?
            .and_then(figure)
            .ok_or(Refusal::Header("Req-Deadline"))?;
        let work = match text("req-cost")? {
            Some(cost) => Some(figure(cost).ok_or(Refusal::Header("Req-Cost"))?),
            None => None,
        };
        let mut slots = 1.0;
        for extra in text("req-extra")?
            .unwrap_or("")
            .split(',')
            .filter(|e| !e.trim().is_empty())
        {
            let (name, value) = extra.split_once('=').ok_or(Refusal::Header("Req-Extra"))?;
            if matches!(name.trim(), "slots" | "cores-needed") {
                slots = figure(value.trim()).ok_or(Refusal::Header("Req-Extra"))?;
            }
        }
        // No client of the class waits for longer than that, whatever it says.
        let longest = self
            .terms
            .client_timeout
            .get(class)
            .copied()
            .unwrap_or(Micros::MAX);
        let expires = came + micros(deadline).saturating_sub(TRAVEL).min(longest);
        let work = work.map(micros);
        Ok((
            id.clone(),
            JobSpec {
                id: JobId(0),
                class,
                tenant,
                slots,
                expires,
                work,
                key: None,
            },
        ))
    }
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

/// What a request concerns, as a number: the same text gives the same number at every dispatcher.
fn key(query: &str) -> Option<u64> {
    let sid = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("sid="))?;
    (!sid.is_empty()).then(|| u64::from(load_exchange::name_hash(sid)))
}

/// A figure that can be meant: a number, not negative, not beyond all bounds.
fn figure(text: &str) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|v: &f64| (0.0..=1.0e6).contains(v))
}

fn micros(seconds: f64) -> Micros {
    (seconds * 1.0e6) as Micros
}

impl Answers for Listener {
    type Body = Full<Bytes>;

    async fn answer(&self, request: Request<Incoming>, asked: Asked<'_>) -> Response<Full<Bytes>> {
        let (guard, socket, crowded) = (asked.guard, asked.socket, asked.crowded);
        let (mut response, refused) = match self.route(request, asked).await {
            Ok(response) => (response, false),
            Err(refusal) => {
                debug!("fixed response: {refusal}");
                let response = refusal.response();
                counter!("fordrelay_fixed_responses_total", "status" => response.status().as_str().to_owned())
                    .increment(1);
                (response, true)
            }
        };
        // Who sends what can't be used may have sent more of it, and a body that was not read is no head.
        let ends =
            crowded || refused || socket.overran() || self.connections.phase() != Phase::Serving;
        if ends {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        guard.answered();
        response
    }
}
