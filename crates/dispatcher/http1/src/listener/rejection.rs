//! Why a request gets a fixed response and never reaches a target.

use crate::seconds;
use bytes::Bytes;
use dispatch_api::Micros;
use dispatcher_state::Answer;
use http_body_util::Full;
use hyper::header::{HeaderValue, ALLOW, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// `Retry-After` where this dispatcher, not the targets, has too much to do.
const OVERLOAD_RETRY_AFTER: Micros = 250_000;

/// Why a request gets a fixed response and never reaches a target. The texts are the bodies that clients get.
#[derive(Debug, thiserror::Error)]
pub(super) enum Rejection {
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
    ClientLeft,
    #[error("no target can use this")]
    Unusable,
    #[error("jobs come by POST")]
    Method,
    #[error("nothing is here")]
    Path,
    #[error("too much is open here")]
    Overload,
}

impl Rejection {
    fn status(&self) -> StatusCode {
        match self {
            Rejection::Header(_)
            | Rejection::Class(_)
            | Rejection::Tenant(_)
            | Rejection::Repeated(_)
            | Rejection::Body
            | Rejection::ClientLeft
            | Rejection::Unusable => StatusCode::BAD_REQUEST,
            Rejection::Id => StatusCode::CONFLICT,
            Rejection::Framing => StatusCode::LENGTH_REQUIRED,
            Rejection::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::Slow => StatusCode::REQUEST_TIMEOUT,
            Rejection::Method => StatusCode::METHOD_NOT_ALLOWED,
            Rejection::Path => StatusCode::NOT_FOUND,
            Rejection::Overload => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The response to the client.
    pub(super) fn response(&self) -> Response<Full<Bytes>> {
        let mut response = text_response(self.status(), self.to_string());
        match self {
            Rejection::Overload => set_retry_after(&mut response, OVERLOAD_RETRY_AFTER),
            Rejection::Method => {
                let post = HeaderValue::from_static("POST");
                response.headers_mut().insert(ALLOW, post);
            }
            _ => {}
        }
        response
    }

    /// How the request is counted by the state machine; none where it counts as a fixed response only, since no usual
    /// client sends it.
    pub(super) fn counted_as(&self) -> Option<Counted> {
        match self {
            Rejection::Overload => Some(Counted::Answered(Answer::Rejected { retry_after: None })),
            Rejection::Slow => Some(Counted::Answered(Answer::Failed)),
            Rejection::ClientLeft => Some(Counted::ClientLeft),
            _ => None,
        }
    }
}

/// How a request that never reached a target is counted.
#[derive(Debug)]
pub(super) enum Counted {
    /// As one that got this answer.
    Answered(Answer),
    /// As one whose client left.
    ClientLeft,
}

impl Counted {
    pub(super) fn answer(self) -> Option<Answer> {
        match self {
            Counted::Answered(answer) => Some(answer),
            Counted::ClientLeft => None,
        }
    }
}

/// A response with this text.
pub(super) fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Sets `Retry-After`, in seconds with decimals.
pub(super) fn set_retry_after(response: &mut Response<Full<Bytes>>, wait: Micros) {
    if let Ok(value) = HeaderValue::try_from(seconds(wait)) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
}
