//! One call to discovery, and the connection that calls follow each other on.

use bytes::Bytes;
use dispatcher_settings::list::TargetList;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tracing::debug;

/// How long a call of a watch asks discovery to wait for a change, see [`discovery_pacing`].
const WATCH_TIMEOUT: Duration = Duration::from_micros(discovery_pacing::WATCH_TIMEOUT);
/// ... and its first call, which is to tell what was missed: hardly at all.
const FIRST_CALL_WAIT: Duration = Duration::from_millis(1);
/// How long an answer may take beyond that ...
const ANSWER_TIMEOUT: Duration = Duration::from_micros(discovery_pacing::ANSWER_TIMEOUT);
/// ... and that of a first call, which has to queue at discovery.
const QUEUE_TIMEOUT: Duration = Duration::from_micros(discovery_pacing::QUEUE_TIMEOUT);
/// Where lists are pushed, the agent on this machine has no other caller, and what it has counts at
/// once, also what it learns right after an outage. It does not answer meanwhile, and a call that was
/// made then is never answered: so a watch there is short, and besides one that is not answered in time
/// others are made. From the agent's return to its answer it takes [`AGENT_RETRY_PAUSE`] and
/// [`AGENT_ANSWER`], or this and [`AGENT_ANSWER`], at the most: well within the time in which sends to a
/// draining target must end.
const AGENT_WATCH: Duration = Duration::from_millis(100);
/// How long an agent's answer usually takes, with a shared processor.
const AGENT_ANSWER: Duration = Duration::from_millis(60);
/// The pause between calls to an agent that fail.
pub(crate) const AGENT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time beyond a time-out for an answer that lies unread in the socket: a process that was stopped
/// finds its time up before it has read what it was sent meanwhile.
const UNREAD_GRACE: Duration = Duration::from_millis(50);
/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest list that is read, bytes.
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// How the site delivers lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// A shared discovery is asked when the dispatch policy says so.
    OnRequest,
    /// An agent on this machine has each list pushed, and is watched all the time.
    Pushed,
}

/// Where a call stands in its watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WatchStage {
    /// The first call, which queues at discovery.
    First,
    /// The watch has been answered before, and does not queue.
    Continued,
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("the request could not be formed: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("the answer did not come whole: {0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    #[error("answered with status {0}")]
    Status(StatusCode),
    #[error("a malformed list: {0}")]
    TargetList(#[from] serde_json::Error),
    #[error("no answer in time")]
    TimedOut(#[from] tokio::time::error::Elapsed),
}

/// A connection to discovery; dropping it closes the socket, also during a call.
pub(crate) struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    _driver: JoinSet<()>,
}

/// The answer to a call, and the connection for the next one.
pub(crate) struct Answer {
    pub list: TargetList,
    pub connection: Connection,
}

/// How long discovery is asked to wait for a change. The first call of a watch is answered as soon as
/// it leaves the queue, so that a broken path is noticed sooner.
pub(crate) fn change_wait(stage: WatchStage, delivery: Delivery) -> Duration {
    match (stage, delivery) {
        (WatchStage::First, _) => FIRST_CALL_WAIT,
        (WatchStage::Continued, Delivery::OnRequest) => WATCH_TIMEOUT,
        (WatchStage::Continued, Delivery::Pushed) => AGENT_WATCH,
    }
}

/// One call of a watch.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WatchCall {
    pub addr: SocketAddr,
    /// The version held; with none the full list is wanted.
    pub after: Option<u64>,
    pub stage: WatchStage,
    pub delivery: Delivery,
}

impl WatchCall {
    /// Makes the call. To an agent it makes further ones besides, until one is answered or the first
    /// has failed.
    pub async fn send(self, connection: Option<Connection>) -> Result<Answer, CallError> {
        let change_wait = change_wait(self.stage, self.delivery);
        let queue = match self.stage {
            WatchStage::First => QUEUE_TIMEOUT,
            WatchStage::Continued => Duration::ZERO,
        };
        let waits = Waits {
            change: change_wait,
            answer: change_wait + queue + ANSWER_TIMEOUT,
        };
        let mut first = std::pin::pin!(self.call(waits, connection));
        if self.delivery == Delivery::OnRequest {
            return first.await;
        }
        let further = Waits {
            change: FIRST_CALL_WAIT,
            answer: AGENT_ANSWER,
        };
        let mut pause = change_wait + AGENT_ANSWER;
        loop {
            tokio::select! {
                biased;
                answer = &mut first => return answer,
                () = tokio::time::sleep(pause) => {}
            }
            tokio::select! {
                biased;
                answer = &mut first => return answer,
                answer = timeout(AGENT_ANSWER, self.call(further, None)) => {
                    if let Ok(Ok(answer)) = answer {
                        return Ok(answer);
                    }
                }
            }
            pause = AGENT_RETRY_PAUSE;
        }
    }

    async fn call(self, waits: Waits, connection: Option<Connection>) -> Result<Answer, CallError> {
        let mut connection = match connection {
            Some(connection) if !connection.sender.is_closed() => connection,
            _ => connect(self.addr).await?,
        };
        let wait = waits.change.as_millis();
        let path = match self.after {
            Some(version) => format!("/v1/endpoints?index={version}&wait={wait}"),
            None => "/v1/endpoints".to_owned(),
        };
        let request = Request::builder()
            .uri(path)
            .header("host", self.addr.to_string())
            .body(Empty::new())?;
        let (status, body) = {
            let mut answer = std::pin::pin!(exchange(&mut connection, request));
            match timeout(waits.answer, &mut answer).await {
                Err(_) => timeout(UNREAD_GRACE, answer).await??,
                answered => answered??,
            }
        };
        if status != StatusCode::OK {
            return Err(CallError::Status(status));
        }
        let list = serde_json::from_slice(&body)?;
        Ok(Answer { list, connection })
    }
}

/// How long a call may wait.
#[derive(Debug, Clone, Copy)]
struct Waits {
    /// Discovery, for a change.
    change: Duration,
    /// This dispatcher, for the answer.
    answer: Duration,
}

async fn connect(addr: SocketAddr) -> Result<Connection, CallError> {
    let timed_out = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let stream = stream.await.map_err(timed_out)??;
    if let Err(error) = stream.set_nodelay(true) {
        debug!(%error, "can't set TCP_NODELAY");
    }
    let (sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
    let mut task = JoinSet::new();
    task.spawn_local(async {
        if let Err(error) = driver.await {
            debug!(%error, "connection to discovery failed");
        }
    });
    Ok(Connection {
        sender,
        _driver: task,
    })
}

async fn exchange(
    connection: &mut Connection,
    request: Request<Empty<Bytes>>,
) -> Result<(StatusCode, Bytes), CallError> {
    connection.sender.ready().await?;
    let response = connection.sender.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES);
    let body = body.collect().await.map_err(CallError::Body)?;
    Ok((status, body.to_bytes()))
}
