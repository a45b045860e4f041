//! A client of the operators' listener, for the command line.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// How long an answer may take.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection couldn't be opened: nothing of the call was sent.
    #[error("can't reach {addr}: {source}; is admin.listen set in its operators' file?")]
    Connect {
        /// The address.
        addr: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// No answer, or none that can be read; from which address, and why.
    #[error("{0} gave no answer: {1}")]
    NoAnswer(SocketAddr, String),
    /// An error status, with the text of the answer.
    #[error("{1}")]
    Status(StatusCode, String),
}

impl ClientError {
    /// Whether the call may be retried (503): the event loop was behind, or the change is not yet
    /// persisted for a successor.
    pub fn is_temporary(&self) -> bool {
        matches!(
            self,
            ClientError::Status(StatusCode::SERVICE_UNAVAILABLE, _)
        )
    }
}

/// An answer, whatever it says.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its complete body.
    pub body: Bytes,
}

/// The limits of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// For all of it, the connection included.
    pub timeout: Duration,
    /// Bytes of the answer.
    pub max_answer_bytes: usize,
}

/// Makes a call without a body, and gives the text of the answer.
///
/// # Errors
/// There is no answer, or its status isn't 200.
pub async fn request_text(
    addr: SocketAddr,
    method: Method,
    path: &str,
) -> Result<String, ClientError> {
    let broken = |e: &dyn std::fmt::Display| ClientError::NoAnswer(addr, e.to_string());
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", addr.to_string());
    let request = request.body(Full::default()).map_err(|e| broken(&e))?;
    let Answer { status, body, .. } = send(
        addr,
        request,
        CallLimits {
            timeout: TIMEOUT,
            max_answer_bytes: MAX_ANSWER_BYTES,
        },
    )
    .await?;
    let text = String::from_utf8_lossy(&body).into_owned();
    match status {
        StatusCode::OK => Ok(text),
        status => Err(ClientError::Status(status, text.trim_end().to_owned())),
    }
}

/// Makes a call over a connection of its own, and gives the answer, whatever its status.
///
/// # Errors
/// There is no answer: [`ClientError::Connect`] if nothing of the call was sent.
pub async fn send(
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
    limits: CallLimits,
) -> Result<Answer, ClientError> {
    let broken = |e: &dyn std::fmt::Display| ClientError::NoAnswer(addr, e.to_string());
    let deadline = tokio::time::Instant::now() + limits.timeout;
    let stream = match tokio::time::timeout_at(deadline, TcpStream::connect(addr)).await {
        Ok(stream) => stream.map_err(|source| ClientError::Connect { addr, source })?,
        Err(e) => {
            return Err(ClientError::Connect {
                addr,
                source: e.into(),
            })
        }
    };
    let exchange = async {
        let (mut sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| broken(&e))?;
        let answer = async {
            let response = sender.send_request(request).await.map_err(|e| broken(&e))?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, limits.max_answer_bytes)
                .collect()
                .await
                .map_err(|e| broken(&e))?;
            Ok(Answer {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        tokio::pin!(conn);
        tokio::pin!(answer);
        tokio::select! {
            biased;
            answer = &mut answer => answer,
            result = &mut conn => match result {
                // What has come in is still to be read when the connection has ended.
                Ok(()) => answer.await,
                Err(e) => Err(broken(&e)),
            },
        }
    };
    match tokio::time::timeout_at(deadline, exchange).await {
        Err(e) => Err(broken(&e)),
        Ok(result) => result,
    }
}
