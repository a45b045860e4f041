//! The client of discovery: asks for the list of targets and watches it.

#![expect(clippy::too_many_lines, reason = "not revised yet")]

mod kept;
mod odd;

pub use kept::Kept;

use bytes::Bytes;
use dispatch_api::load_exchange;
use dispatch_api::{DiscoveryFailure, ListUpdateKind, Micros, WorkerStatus};
use dispatcher_settings::list::{Entry, List, State};
use dispatcher_state::{Anomaly, Endpoint, Input};
use event_loop::{Clock, LogRateLimiter, LoopHandle};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;
use tracing::{debug, warn};

/// How long a watch asks discovery to wait, see [`discovery_pacing`].
const WATCH_TIMEOUT: Duration = Duration::from_micros(discovery_pacing::WATCH_TIMEOUT);
/// ... and its first call, which is to say what was missed: hardly at all.
const NO_WAIT: Duration = Duration::from_millis(1);
/// How long an answer may take beyond that ...
const ANSWER_TIMEOUT: Duration = Duration::from_micros(discovery_pacing::ANSWER_TIMEOUT);
/// ... and a call that has to wait for its turn first.
const TURN_WAIT: Duration = Duration::from_micros(discovery_pacing::QUEUE_TIMEOUT);
/// Where lists are pushed, the agent on this machine has nobody else to answer, and what it has counts at once, also what it
/// hears right after an outage. It is silent meanwhile, and a call that was made then is never answered: so a watch there is
/// short, and one that is not answered in time has others made beside it. From the agent's return to its answer it takes
/// these two last ones together, or the first two, at most, well within the time in which sends to a target that drains must end.
const AGENT_WATCH: Duration = Duration::from_millis(100);
/// ... the time that an agent's answer usually takes, with a processor that is shared ...
const AGENT_ANSWER: Duration = Duration::from_millis(60);
/// ... and the pause between calls that fail.
const AGENT_PAUSE: Duration = Duration::from_millis(50);
/// ... and beyond that again, for what lies in the socket: a process that was stopped finds its time up before it has read
/// what it was told meanwhile.
const UNREAD_WAIT: Duration = Duration::from_millis(50);
/// How long to wait after an answer that came early and told nothing, so that such answers can't make a storm
/// of calls; a watch goes on if the next call comes within 200 ms.
const IDLE_PAUSE: Duration = Duration::from_millis(100);
/// How long a connection may take.
const CONNECT_WAIT: Duration = Duration::from_millis(1_000);
/// Largest list that is read.
const LARGEST_LIST: usize = 8 * 1024 * 1024;

/// What the names in a list count as.
#[derive(Debug, Clone)]
pub struct Places {
    /// Names of the zones, in the settings' order.
    pub zones: Vec<String>,
    /// Names of the machine kinds, likewise.
    pub kinds: Vec<String>,
    /// What Unix time is on the dispatcher's clock.
    pub clock: Clock,
    /// The list as it was told, for a successor; none where nobody will ask for it.
    pub kept: Option<Rc<RefCell<Kept>>>,
}

impl Places {
    /// The list as the reducer takes it; `from` is the discovery that told it, or is to be believed to have.
    pub fn input(&self, list: List, inherited: bool, from: SocketAddr) -> Input {
        self.kept
            .iter()
            .for_each(|kept| kept.borrow_mut().take(&list, from));
        // Names that the settings don't hold are places too, and different ones: keys are shared by place.
        let place = |names: &[String], name: &str| {
            let known = names.iter().position(|n| n == name);
            known.map_or_else(|| load_exchange::name_hash(name) | 1 << 31, |at| at as u32)
        };
        let entry = |e: Entry| Endpoint {
            zone: place(&self.zones, &e.zone),
            kind: place(&self.kinds, &e.kind),
            name: e.id,
            addr: e.addr,
            cell: e.cell,
            status: match e.state {
                State::Ready => WorkerStatus::Ready,
                State::Draining => WorkerStatus::Draining,
                State::Gone => WorkerStatus::Removed,
            },
            weight: e.weight,
            started: (e.started_ms > 0.0).then(|| self.clock.at_unix_ms(e.started_ms)),
        };
        let kind = match list.full {
            _ if inherited => ListUpdateKind::Inherited,
            true => ListUpdateKind::Full,
            false => ListUpdateKind::Incremental,
        };
        let entries = list.servers.into_iter().map(entry).collect();
        Input::EndpointsUpdated {
            kind,
            version: Some(list.version),
            entries,
        }
    }
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("the request could not be formed: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("the answer did not come whole: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("answered with status {0}")]
    Status(StatusCode),
    #[error("a malformed list: {0}")]
    List(#[from] serde_json::Error),
    #[error("no answer in time")]
    Silent(#[from] tokio::time::error::Elapsed),
}

/// Watches the list each time that it is told to, until a call fails; also, and at once, when discovery has
/// moved. What it is not asked at its old address any more closes with the link there, also amid a call. Where lists are
/// `pushed`, nobody tells it to: it watches from the start, and again after each failure.
pub async fn watch(
    mut at: watch::Receiver<SocketAddr>,
    places: Places,
    loop_handle: Rc<LoopHandle>,
    mut wanted: mpsc::UnboundedReceiver<Option<u64>>,
    pushed: bool,
) {
    let (mut link, mut log_limiter) = (None, LogRateLimiter::default());
    let (mut lists, mut said) = (odd::Lists::default(), BTreeMap::new());
    // Another discovery may count its versions in another way: the whole list is asked for first.
    let mut whole = pushed;
    let mut pause = Duration::ZERO;
    loop {
        let mut after = tokio::select! {
            biased;
            () = moved(&mut at) => { (link, whole) = (None, true); None }
            () = tokio::time::sleep(pause), if pushed => None,
            after = wanted.recv() => match after {
                Some(after) => after.filter(|_| !whole),
                None => return,
            },
        };
        // Whether this watch has been answered before: one that goes on waits for no turn.
        let mut going = false;
        loop {
            let addr = *at.borrow_and_update();
            debug!(%addr, ?after, "watching the list");
            let asked = loop_handle.clock().now();
            let answer = tokio::select! {
                biased;
                () = moved(&mut at) => {
                    (link, whole, after, going) = (None, true, None, false);
                    continue;
                }
                answer = ask(addr, after, going, link.take(), pushed) => answer,
            };
            match answer {
                Ok((list, kept)) => {
                    link = Some(kept);
                    debug!(
                        version = list.version,
                        full = list.full,
                        entries = list.servers.len(),
                        "list"
                    );
                    if whole {
                        lists.moved();
                    }
                    say(&loop_handle, &mut said, lists.look(&list, &places));
                    let early = going
                        && loop_handle.clock().now() - asked
                            < news_wait(going, pushed).as_micros() as Micros / 2;
                    let idle = early && !list.full && list.servers.is_empty();
                    (after, whole, going) = (Some(list.version), false, true);
                    loop_handle.send_input(places.input(list, false, addr));
                    loop_handle.set_endpoints_known();
                    if idle {
                        tokio::time::sleep(IDLE_PAUSE).await;
                    }
                }
                Err(e) => {
                    match log_limiter.record(loop_handle.clock().now()) {
                        Some(kept_back) => warn!(kept_back, "a call to discovery failed: {e}"),
                        None => debug!("a call to discovery failed: {e}"),
                    }
                    // Only one watch at a time: what was asked for amid this one is answered by its failure.
                    while wanted.try_recv().is_ok() {}
                    let silent = matches!(e, CallError::Silent(_));
                    loop_handle.send_input(Input::WatchFailed(if silent {
                        DiscoveryFailure::TimedOut
                    } else {
                        DiscoveryFailure::Failed
                    }));
                    pause = AGENT_PAUSE;
                    break;
                }
            }
        }
    }
}

/// Says and counts what is odd about a list; each kind of it once in a while.
fn say(loop_handle: &LoopHandle, said: &mut BTreeMap<Anomaly, LogRateLimiter>, found: odd::Found) {
    for (what, (times, example)) in found {
        if let Some(kept_back) = said
            .entry(what)
            .or_default()
            .record(loop_handle.clock().now())
        {
            warn!(
                what = what.as_str(),
                times, kept_back, "an odd list: {example}"
            );
        }
        loop_handle.send_input(Input::AnomalySeen(what, times));
    }
}

/// Comes back when discovery has moved. Nobody can move it any more once the program ends.
async fn moved(at: &mut watch::Receiver<SocketAddr>) {
    if at.changed().await.is_err() {
        std::future::pending().await
    }
}

/// A connection to discovery; dropping it closes the socket, also amid a call.
struct Link {
    sender: SendRequest<Empty<Bytes>>,
    _conn: JoinSet<()>,
}

/// How long discovery is asked to wait for news. The first call of a watch is answered once its turn has come: what was missed
/// is told, and a silence noticed, sooner.
fn news_wait(going: bool, pushed: bool) -> Duration {
    match (going, pushed) {
        (false, _) => NO_WAIT,
        (true, false) => WATCH_TIMEOUT,
        (true, true) => AGENT_WATCH,
    }
}

/// One call, or where lists are pushed, as many beside it as it takes until one is answered or the first has failed.
async fn ask(
    addr: SocketAddr,
    after: Option<u64>,
    going: bool,
    link: Option<Link>,
    pushed: bool,
) -> Result<(List, Link), CallError> {
    let news = news_wait(going, pushed);
    let turn = if going { Duration::ZERO } else { TURN_WAIT };
    let mut first = std::pin::pin!(call(addr, after, news, news + turn + ANSWER_TIMEOUT, link));
    if !pushed {
        return first.await;
    }
    let mut pause = news + AGENT_ANSWER;
    loop {
        tokio::select! {
            biased;
            answer = &mut first => return answer,
            () = tokio::time::sleep(pause) => {}
        }
        tokio::select! {
            biased;
            answer = &mut first => return answer,
            answer = timeout(AGENT_ANSWER, call(addr, after, NO_WAIT, AGENT_ANSWER, None)) => {
                if let Ok(Ok(answer)) = answer {
                    return Ok(answer);
                }
            }
        }
        pause = AGENT_PAUSE;
    }
}

async fn call(
    addr: SocketAddr,
    after: Option<u64>,
    news: Duration,
    wait: Duration,
    link: Option<Link>,
) -> Result<(List, Link), CallError> {
    let mut link = match link {
        Some(link) if !link.sender.is_closed() => link,
        _ => {
            let late = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
            let stream = timeout(CONNECT_WAIT, TcpStream::connect(addr))
                .await
                .map_err(late)??;
            if let Err(e) = stream.set_nodelay(true) {
                debug!("can't set TCP_NODELAY: {e}");
            }
            let (sender, conn) = http1::handshake(TokioIo::new(stream)).await?;
            let mut task = JoinSet::new();
            task.spawn_local(async { conn.await.unwrap_or_else(|e| debug!("discovery: {e}")) });
            Link {
                sender,
                _conn: task,
            }
        }
    };
    let path = match after {
        Some(version) => format!("/v1/endpoints?index={version}&wait={}", news.as_millis()),
        None => "/v1/endpoints".to_owned(),
    };
    let request = Request::builder()
        .uri(path)
        .header("host", addr.to_string())
        .body(Empty::new())?;
    let (status, body) = {
        let mut answer = std::pin::pin!(async {
            link.sender.ready().await?;
            let response = link.sender.send_request(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), LARGEST_LIST)
                .collect()
                .await
                .map_err(CallError::Body)?;
            Ok::<_, CallError>((status, body.to_bytes()))
        });
        match timeout(wait, &mut answer).await {
            Err(_) => timeout(UNREAD_WAIT, answer).await??,
            answered => answered??,
        }
    };
    if status != StatusCode::OK {
        return Err(CallError::Status(status));
    }
    Ok((serde_json::from_slice(&body)?, link))
}
