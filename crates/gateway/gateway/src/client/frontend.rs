//! Clients' requests: read whole, matched to a route, handed on.

use crate::client::batch_api;
use crate::client::memory_budget::Claim;
use crate::client::request::{self, Request};
use crate::client::response::{local_response, rejection, ClientResponse, ResponseBody};
use crate::counters::increment;
use crate::gateway::Gateway;
use crate::proxy::forward;
use bytes::{Bytes, BytesMut};
use http1::{ConnectionState, Phase, RequestContext, RequestHandler};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use route_config::RouteKind;
use std::rc::Rc;
use tokio::time::{timeout, timeout_at, Duration, Instant};

/// When a client may come again where nothing is known of why: the control plane comes up, or memory is full.
const RETRY_AFTER_MS: u64 = 250;

/// A body that is copied out of what was read at once, which is 8 KiB and more.
const SMALL: usize = 4 * 1024;

/// Why a request gets a fixed answer and never reaches a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// No configuration is in force here yet.
    #[error("no configuration is in force here yet")]
    Unconfigured,
    /// Nothing leads there.
    #[error("no route leads there")]
    NoRoute,
    /// What was sent is no request that can be passed on.
    #[error("the request can't be read")]
    Unreadable,
    /// A body with a length and in chunks, or of no known end.
    #[error("a body comes with its length or in chunks, not both")]
    Framing,
    /// The body is larger than the configuration allows.
    #[error("the body is too large")]
    TooLarge,
    /// The body did not come in time.
    #[error("the request did not come in time")]
    Slow,
    /// Too much is open here.
    #[error("too much is open here")]
    Overload,
}

impl RequestError {
    /// The answer to the client.
    pub fn answer(self) -> ClientResponse {
        match self {
            RequestError::Unconfigured => rejection(
                StatusCode::SERVICE_UNAVAILABLE,
                "no configuration is in force here yet\n",
                RETRY_AFTER_MS,
            ),
            RequestError::Overload => rejection(
                StatusCode::SERVICE_UNAVAILABLE,
                "too much is open here\n",
                RETRY_AFTER_MS,
            ),
            RequestError::NoRoute => {
                local_response(StatusCode::NOT_FOUND, "no route leads there\n")
            }
            RequestError::Unreadable => {
                local_response(StatusCode::BAD_REQUEST, "the request can't be read\n")
            }
            RequestError::Framing => local_response(
                StatusCode::BAD_REQUEST,
                "a body comes with its length or in chunks\n",
            ),
            RequestError::TooLarge => {
                local_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n")
            }
            RequestError::Slow => local_response(
                StatusCode::REQUEST_TIMEOUT,
                "the request did not come in time\n",
            ),
        }
    }

    fn counts_as_refused(self) -> bool {
        matches!(self, RequestError::Unconfigured | RequestError::Overload)
    }
}

/// So long after its start a process has its configuration, or its control plane is in trouble. Clients give a dispatcher
/// a second to read their requests.
const FIRST_CONFIG: Duration = Duration::from_millis(1_500);

/// The front of the process.
pub struct Frontend(pub Rc<Gateway>);

impl RequestHandler for Frontend {
    type Body = ResponseBody;

    async fn handle(
        &self,
        request: hyper::Request<Incoming>,
        context: RequestContext<'_>,
    ) -> Response<ResponseBody> {
        let gateway = &self.0;
        let (state, socket) = (context.state, context.socket);
        let (mut answer, denied) = match self.read(request, context).await {
            Ok(answer) => (answer, false),
            Err(denied) => {
                increment(if denied.counts_as_refused() {
                    &gateway.counts.refused
                } else {
                    &gateway.counts.denied
                });
                (denied.answer(), true)
            }
        };
        // Who sends what can't be used may have sent more of it, and a body that was not read is no head.
        if denied || socket.has_discarded() || gateway.connections.phase() != Phase::Serving {
            answer
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if matches!(answer.body(), ResponseBody::Full(_)) {
            state.response_started();
        }
        answer
    }
}

impl Frontend {
    async fn read(
        &self,
        request: hyper::Request<Incoming>,
        context: RequestContext<'_>,
    ) -> Result<ClientResponse, RequestError> {
        let gateway = &self.0;
        let came = gateway.clock.now();
        let (head, body) = request.into_parts();
        let chunks = head.headers.contains_key(TRANSFER_ENCODING);
        // A length beside it may hide another request in the body, and hyper drops that length unseen.
        if chunks && !context.state.is_chunked_only() {
            return Err(RequestError::Framing);
        }
        context.state.head_received();
        if context.over_limit {
            return Err(RequestError::Overload);
        }
        let host = request::host(&head).ok_or(RequestError::Unreadable)?;
        let path = head.uri.path();
        let of_batch_jobs = batch_api::is_call(path);
        let limits = {
            let config = match gateway.config() {
                Some(config) => config,
                None => self
                    .first_config()
                    .await
                    .ok_or(RequestError::Unconfigured)?,
            };
            if !of_batch_jobs && config.route(&host, path).is_none() {
                return Err(RequestError::NoRoute);
            }
            config.limits
        };
        let most = usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX);
        let (body, claim) = self.read_body(body, most, context.state).await?;
        context.state.request_received();
        if of_batch_jobs {
            return Ok(batch_api::answer(gateway, &head, &host, came).await);
        }
        let request = Request::new(head, host, body, came).ok_or(RequestError::Unreadable)?;
        // Its leaving may lie in the socket behind its request, where the connection waited to be accepted or read.
        if context.socket.has_gone() {
            increment(&gateway.counts.left);
            return Err(RequestError::Unreadable);
        }
        increment(&gateway.counts.came);
        let kind = gateway.config().and_then(|c| {
            c.route(&request.host, request.target.path())
                .map(|r| r.kind)
        });
        match kind {
            None => Err(RequestError::NoRoute),
            Some(RouteKind::Bulk) => Ok(batch_api::submit(gateway, &request).await),
            Some(_) => Ok(forward::forward(gateway, request, context.state, claim).await),
        }
    }
}

impl Frontend {
    /// Reads a body of at most `max_bytes`, within the memory budget and the time that clients have for a request.
    async fn read_body(
        &self,
        body: Incoming,
        max_bytes: usize,
        state: &ConnectionState,
    ) -> Result<(Bytes, Claim), RequestError> {
        let gateway = &self.0;
        let length = body
            .size_hint()
            .upper()
            .map_or(0, |upper| usize::try_from(upper).unwrap_or(usize::MAX));
        if length > max_bytes {
            return Err(RequestError::TooLarge);
        }
        let mut claim = gateway.memory.claim(length).ok_or(RequestError::Overload)?;
        if body.is_end_stream() {
            return Ok((Bytes::new(), claim));
        }
        state.body_started();
        let until = Instant::now() + gateway.connections.table().timeouts().request;
        let body = timeout_at(until, collect(body, max_bytes, &mut claim))
            .await
            .unwrap_or(Err(RequestError::Slow))?;
        Ok((body, claim))
    }

    /// The first configuration of a process that has just started, which arrives within a second or so: requests that come
    /// before it wait for it. Later, a process without a configuration rejects at once.
    async fn first_config(&self) -> Option<Rc<route_config::Config>> {
        let gateway = &self.0;
        let configured = async {
            loop {
                let changed = gateway.changed.notified();
                if let Some(config) = gateway.config() {
                    return config;
                }
                changed.await;
            }
        };
        let started = Duration::from_millis(gateway.clock.now());
        timeout(FIRST_CONFIG.saturating_sub(started), configured)
            .await
            .ok()
    }
}

/// A body whole, within this length and what there is room for.
async fn collect(
    mut body: Incoming,
    most: usize,
    claim: &mut Claim,
) -> Result<Bytes, RequestError> {
    let mut first = Bytes::new();
    let mut more = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| RequestError::Unreadable)?.into_data() else {
            continue;
        };
        let length = first.len() + more.len() + data.len();
        if length > most {
            return Err(RequestError::TooLarge);
        }
        if !claim.grow(length) {
            return Err(RequestError::Overload);
        }
        // The usual body is one piece, and nothing is copied.
        if first.is_empty() && more.is_empty() {
            first = data;
        } else {
            if more.is_empty() {
                more.extend_from_slice(&std::mem::take(&mut first));
            }
            more.extend_from_slice(&data);
        }
    }
    Ok(match () {
        // A small one alone would hold all that was read with it for as long as its request is open.
        () if more.is_empty() && first.len() <= SMALL => Bytes::copy_from_slice(&first),
        () if more.is_empty() => first,
        () => more.freeze(),
    })
}
