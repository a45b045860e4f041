//! Responses to clients: local ones, which no runner had a part in, and bodies forwarded from runners.

use bytes::Bytes;
use http1::ConnectionState;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A body that ends early. Its connection is closed, so that the body never appears complete to the client.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("{0}")]
pub struct Truncated(pub &'static str);

/// The body of a response.
pub enum ResponseBody {
    /// Complete in memory; `None` once it has been sent.
    Full(Option<Bytes>),
    /// Sent chunk by chunk as it arrives from a runner.
    Streamed(Box<StreamedBody>),
}

/// A response to a client.
pub type ClientResponse = Response<ResponseBody>;

/// Takes the chunks of a body, one at a time; backpressure comes from the client's connection.
#[derive(Clone, Default)]
pub struct ChunkSender(Rc<RefCell<Option<Bytes>>>);

impl ChunkSender {
    /// Hands a chunk over, and returns when the next one may follow.
    pub async fn send(&self, piece: Bytes) {
        if piece.is_empty() {
            return;
        }
        *self.0.borrow_mut() = Some(piece);
        // Whoever takes it asks for more in the same turn, so no waker is needed.
        poll_fn(|_| {
            if self.0.borrow().is_none() {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }
}

type Run = Pin<Box<dyn Future<Output = Result<(), Truncated>>>>;

/// A body whose chunks a future produces.
pub struct StreamedBody {
    first: Option<Bytes>,
    run: Option<Run>,
    chunks: ChunkSender,
    connection: Rc<ConnectionState>,
}

impl StreamedBody {
    /// A body that begins with these bytes and goes on with what the future puts out. The connection is told its end.
    pub fn new(
        first: Bytes,
        chunks: ChunkSender,
        run: impl Future<Output = Result<(), Truncated>> + 'static,
        connection: Rc<ConnectionState>,
    ) -> Self {
        StreamedBody {
            first: Some(first).filter(|f| !f.is_empty()),
            run: Some(Box::pin(run)),
            chunks,
            connection,
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        let Some(run) = &mut self.run else {
            return Poll::Ready(None);
        };
        let polled = run.as_mut().poll(cx);
        let piece = self.chunks.0.borrow_mut().take();
        match polled {
            Poll::Ready(result) => {
                self.run = None;
                self.connection.response_started();
                match (piece, result) {
                    (_, Err(cut)) => Poll::Ready(Some(Err(cut))),
                    (Some(piece), Ok(())) => Poll::Ready(Some(Ok(piece))),
                    (None, Ok(())) => Poll::Ready(None),
                }
            }
            Poll::Pending => piece.map_or(Poll::Pending, |piece| Poll::Ready(Some(Ok(piece)))),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            ResponseBody::Full(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            ResponseBody::Streamed(pieces) => pieces
                .poll(cx)
                .map(|piece| piece.map(|p| p.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Full(bytes) => bytes.is_none(),
            ResponseBody::Streamed(pieces) => pieces.first.is_none() && pieces.run.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            ResponseBody::Streamed(_) => SizeHint::default(),
        }
    }
}

/// A response of this process itself, with a line of plain text that gives the reason.
pub fn local_response(status: StatusCode, why: impl Into<Bytes>) -> ClientResponse {
    let mut answer = Response::new(ResponseBody::Full(Some(why.into())));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    answer
}

/// A rejection: the request has not run and never will. `after_ms` is sent as `Retry-After`, in seconds with decimals.
pub fn rejection(status: StatusCode, why: &'static str, after_ms: u64) -> ClientResponse {
    let mut answer = local_response(status, why);
    let seconds = format!("{}.{:03}", after_ms / 1_000, after_ms % 1_000);
    if let Ok(value) = HeaderValue::try_from(seconds) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// A response with a JSON body.
pub fn json_response(status: StatusCode, body: Bytes) -> ClientResponse {
    let mut answer = Response::new(ResponseBody::Full(Some(body)));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}
