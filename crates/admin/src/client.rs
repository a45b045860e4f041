//! The client of the operators' listener, for the command line.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// How long an answer may take.
const WAIT: Duration = Duration::from_secs(5);
/// Largest answer that is read.
const LARGEST: usize = 4 * 1024 * 1024;

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// Nobody is there.
    #[error("can't reach {addr}: {error}; is admin.listen set in its operators' file?")]
    Connect {
        /// Where.
        addr: SocketAddr,
        /// What the system says.
        error: std::io::Error,
    },
    /// No answer, or none that can be read.
    #[error("{0} gave no answer: {1}")]
    Broken(SocketAddr, String),
    /// It says no, with this status.
    #[error("{1}")]
    Refused(StatusCode, String),
}

impl ClientError {
    /// A no for now (503): the loop was behind, or the word is not yet kept for a successor; the call may be made again.
    pub fn for_now(&self) -> bool {
        matches!(self, ClientError::Refused(StatusCode::SERVICE_UNAVAILABLE, _))
    }
}

/// Asks, and returns the text of the answer.
///
/// # Errors
/// Why there is none.
pub async fn ask(addr: SocketAddr, method: Method, path: &str) -> Result<String, ClientError> {
    let stream = TcpStream::connect(addr).await.map_err(|error| ClientError::Connect { addr, error })?;
    let broken = |e: &dyn std::fmt::Display| ClientError::Broken(addr, e.to_string());
    let exchange = async {
        let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| broken(&e))?;
        let request = Request::builder().method(method).uri(path).header("host", addr.to_string());
        let request = request.body(Empty::<Bytes>::new()).map_err(|e| broken(&e))?;
        let answer = async {
            let response = sender.send_request(request).await.map_err(|e| broken(&e))?;
            let status = response.status();
            let body = Limited::new(response.into_body(), LARGEST).collect().await.map_err(|e| broken(&e))?;
            Ok((status, String::from_utf8_lossy(&body.to_bytes()).into_owned()))
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
    match tokio::time::timeout(WAIT, exchange).await {
        Err(e) => Err(broken(&e)),
        Ok(Err(e)) => Err(e),
        Ok(Ok((StatusCode::OK, text))) => Ok(text),
        Ok(Ok((status, text))) => Err(ClientError::Refused(status, text.trim_end().to_owned())),
    }
}
