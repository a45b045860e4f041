//! The target client: one task for each connection, from its opening to its closing.

use crate::io::{Observed, Observer};
use crate::seconds;
use bytes::{Bytes, BytesMut};
use dispatch_api::{LoadReport, Micros, Outcome};
use dispatcher_settings::report::ReportNames;
use dispatcher_state::{ConnId, Input};
use event_loop::{ConnectionCommand, ForwardedRequest, LoopHandle};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::http::uri::PathAndQuery;
use hyper::http::HeaderValue;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Map, Value};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::{debug, warn};

/// Longest answer that a target may give; a result of 64 KiB fits even if each byte is escaped.
const LONGEST_ANSWER: usize = 512 * 1024;
/// How long a connection rests after an answer that does not say which request it is for. Should that answer come twice, the
/// second one is seen in this time and ends the connection, and is not taken for the answer to the next request: a job that
/// runs would be thought turned away unseen, and sent again.
const REST: Duration = Duration::from_millis(100);

/// How an exchange ended.
struct LastWord {
    outcome: Outcome,
    result: Option<Bytes>,
    report: Option<LoadReport>,
}

/// Why an exchange has no last word, or can't be followed by another.
#[derive(Debug, thiserror::Error)]
enum Broken {
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("a request could not be formed: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("a path that HTTP/1.1 can't carry: {0}")]
    Path(#[from] hyper::http::uri::InvalidUri),
    #[error("a header that HTTP/1.1 can't carry: {0}")]
    Header(#[from] hyper::header::InvalidHeaderValue),
    #[error("a malformed line: {0}")]
    Line(#[from] serde_json::Error),
    #[error("a line about another request")]
    Foreign,
    #[error("an answer that is too long")]
    TooLong,
    #[error("an answer that ends before its last line")]
    CutShort,
}

impl Broken {
    /// What the target said made no sense, as against: it broke off.
    fn nonsense(&self) -> bool {
        matches!(self, Broken::Line(_) | Broken::Foreign | Broken::TooLong)
    }
}

/// What is written on a connection.
struct Outgoing {
    conn: ConnId,
    loop_handle: Rc<LoopHandle>,
    /// Bytes since the last order.
    written: Cell<u64>,
    /// A request that has written less than this is certainly not whole; while none is on its way, any is not.
    whole: Cell<u64>,
    /// An attempt is ordered, and it has not been told yet that it is out whole.
    owed: Cell<bool>,
}

impl Outgoing {
    fn ordered(&self, order: &ConnectionCommand) {
        self.written.set(0);
        self.owed
            .set(matches!(order, ConnectionCommand::Job { .. }));
        self.whole.set(match order {
            // More than this is written for certain by the time that a request is whole.
            ConnectionCommand::Job { request, .. } => {
                (request.path.len() + request.body.len()) as u64
            }
            ConnectionCommand::Probe => 1,
        });
    }
}

impl Observer for Rc<Outgoing> {
    fn wrote(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes as u64);
    }

    // hyper buffers a head with its whole body before it writes, and flushes once nothing of both is left.
    fn flushed(&self) {
        if self.written.get() >= self.whole.get() && self.owed.replace(false) {
            self.loop_handle.send_input(Input::RequestSent(self.conn));
        }
    }
}

/// Opens a connection, carries out orders, and reports once when it is closed.
pub async fn connection(
    id: ConnId,
    addr: SocketAddr,
    mut orders: mpsc::UnboundedReceiver<ConnectionCommand>,
    loop_handle: Rc<LoopHandle>,
) {
    let (written, whole, owed) = (Cell::new(0), Cell::new(u64::MAX), Cell::new(false));
    let outgoing = Rc::new(Outgoing {
        conn: id,
        loop_handle: Rc::clone(&loop_handle),
        written,
        whole,
        owed,
    });
    tokio::select! {
        biased;
        // Nothing is ordered before the connection is up, so an end of orders is all that can come.
        _ = orders.recv() => {}
        stream = connect(addr) => match stream {
            Ok(stream) => serve(id, stream, &mut orders, &loop_handle, &outgoing).await,
            Err(e) => debug!(%addr, "can't connect: {e}"),
        }
    }
    // The socket is closed by now: the next attempt may follow.
    let unsent = outgoing.written.get() < outgoing.whole.get();
    loop_handle.send_input(Input::ConnectionClosed { conn: id, unsent });
}

async fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // Small writes that the system holds back are lost with the connection.
    if let Err(e) = socket.set_nodelay(true) {
        debug!("can't set TCP_NODELAY: {e}");
    }
    socket.connect(addr).await
}

async fn serve(
    id: ConnId,
    stream: TcpStream,
    orders: &mut mpsc::UnboundedReceiver<ConnectionCommand>,
    loop_handle: &LoopHandle,
    outgoing: &Rc<Outgoing>,
) {
    let io = TokioIo::new(Observed::new(stream, Rc::clone(outgoing)));
    let Ok((mut sender, conn)) = http1::handshake::<_, Full<Bytes>>(io).await else {
        return;
    };
    tokio::pin!(conn);
    loop_handle.send_input(Input::ConnectionUp(id));
    loop {
        let order = tokio::select! {
            biased;
            order = orders.recv() => order,
            _ = &mut conn => None,
        };
        let Some(order) = order else { return };
        if let ConnectionCommand::Job { flow, .. } = &order {
            // The last look before the socket.
            if !loop_handle.is_awaited(*flow) {
                debug!(conn = id.0, flow = flow.0, "not sent: its client has left");
                loop_handle.send_input(ended(
                    id,
                    LastWord {
                        outcome: Outcome::NotSent,
                        result: None,
                        report: None,
                    },
                ));
                loop_handle.send_input(Input::ConnectionFree(id));
                continue;
            }
        }
        outgoing.ordered(&order);
        let mut closed = false;
        let done = {
            let exchange = exchange(id, order, &mut sender, loop_handle);
            tokio::pin!(exchange);
            loop {
                tokio::select! {
                    biased;
                    done = &mut exchange => break done,
                    // What has come in is still to be read when the connection has ended.
                    _ = &mut conn, if !closed => closed = true,
                    // Nothing is ordered on a busy connection, so this is its closing.
                    _ = orders.recv() => return,
                }
            }
        };
        match done {
            Ok(named) if !closed => {
                outgoing.whole.set(u64::MAX);
                let rested = async {
                    let ready = sender.ready().await.is_ok();
                    if !named {
                        sleep(REST).await;
                    }
                    ready
                };
                let ready = tokio::select! {
                    biased;
                    _ = &mut conn => false,
                    ready = rested => ready,
                    _ = orders.recv() => false,
                };
                if !ready {
                    return;
                }
                loop_handle.send_input(Input::ConnectionFree(id));
            }
            Ok(_) => return,
            Err(e) => return debug!(conn = id.0, "exchange broke: {e}"),
        }
    }
}

/// One request and its answer, to the end of the body. Tells whether the connection needs no rest: the answer named its
/// request, or was a probe's, which no job can take for a word that it has not run.
async fn exchange(
    id: ConnId,
    order: ConnectionCommand,
    sender: &mut SendRequest<Full<Bytes>>,
    loop_handle: &LoopHandle,
) -> Result<bool, Broken> {
    let result = match &order {
        ConnectionCommand::Job { request, wait, .. } => {
            job(id, request, *wait, sender, loop_handle).await
        }
        ConnectionCommand::Probe => probe(id, sender, loop_handle).await.map(|()| true),
    };
    if let Err(e) = &result {
        if e.nonsense() {
            warn!(conn = id.0, "a target answered nonsense: {e}");
            loop_handle.send_input(ended(
                id,
                LastWord {
                    outcome: Outcome::Error,
                    result: None,
                    report: None,
                },
            ));
        }
    }
    result
}

fn ended(conn: ConnId, word: LastWord) -> Input {
    Input::ExchangeEnded {
        conn,
        outcome: word.outcome,
        result: word.result,
        report: word.report,
    }
}

async fn job(
    id: ConnId,
    passed: &ForwardedRequest,
    wait: Micros,
    sender: &mut SendRequest<Full<Bytes>>,
    loop_handle: &LoopHandle,
) -> Result<bool, Broken> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(Uri::from(PathAndQuery::from_maybe_shared(
            passed.path.clone(),
        )?))
        .header("host", "target")
        .header("req-id", HeaderValue::from_maybe_shared(passed.id.clone())?)
        .header("req-deadline", seconds(wait));
    if let Some(key) = &passed.key {
        request = request.header(
            "idempotency-key",
            HeaderValue::from_maybe_shared(key.clone())?,
        );
    }
    let response = sender
        .send_request(request.body(Full::new(passed.body.clone()))?)
        .await?;
    if response.status() != StatusCode::OK {
        let declined = response
            .headers()
            .get("srv-declined")
            .is_some_and(|v| v.as_bytes() == b"1");
        let report = header_report(&response, loop_handle.report_names());
        loop_handle.send_input(match response.status() {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => ended(
                id,
                LastWord {
                    outcome: Outcome::Rejected,
                    result: None,
                    report,
                },
            ),
            // The request is at fault, not the target.
            status if status.is_client_error() => Input::RequestUnusable { conn: id, report },
            _ => ended(
                id,
                LastWord {
                    outcome: Outcome::Error,
                    result: None,
                    report,
                },
            ),
        });
        return collect(response.into_body()).await.map(|_| false);
    }
    let report = header_report(&response, loop_handle.report_names());
    let mut over = false;
    body(response.into_body(), |line| {
        // After its last line nothing that a target says counts.
        if let Some(mut word) = if over {
            None
        } else {
            follow(id, passed, line, loop_handle)?
        } {
            over = true;
            word.report = word.report.or(report);
            loop_handle.send_input(ended(id, word));
        }
        Ok(over)
    })
    .await
    .map(|()| true)
}

fn header_report(response: &Response<Incoming>, names: &ReportNames) -> Option<LoadReport> {
    let text = response.headers().get("srv-load")?.to_str().ok()?;
    let fields: Map<String, Value> = serde_json::from_str(text).ok()?;
    Some(names.read(&fields))
}

/// One line of a target about a job.
#[derive(Debug, Deserialize)]
struct Line<'a> {
    id: &'a str,
    state: &'a str,
    #[serde(default)]
    share: f64,
    #[serde(borrow)]
    result: Option<&'a RawValue>,
    load: Option<Map<String, Value>>,
}

/// Reports what a line says; the last line is returned.
fn follow(
    id: ConnId,
    passed: &ForwardedRequest,
    line: &[u8],
    loop_handle: &LoopHandle,
) -> Result<Option<LastWord>, Broken> {
    let line: Line = serde_json::from_slice(line)?;
    if passed.id != line.id.as_bytes() {
        return Err(Broken::Foreign);
    }
    let report = line
        .load
        .map(|fields| loop_handle.report_names().read(&fields));
    let last = |outcome| {
        Some(LastWord {
            outcome,
            result: None,
            report,
        })
    };
    Ok(match line.state {
        "started" => {
            loop_handle.send_input(Input::JobStarted(id));
            None
        }
        "running" => {
            loop_handle.send_input(Input::JobProgress(id, line.share));
            None
        }
        "done" => {
            // A text is what it says, anything else is itself.
            let read = |raw: &RawValue| match serde_json::from_str::<String>(raw.get()) {
                Ok(text) => Bytes::from(text),
                Err(_) => Bytes::copy_from_slice(raw.get().as_bytes()),
            };
            Some(LastWord {
                outcome: Outcome::Done,
                result: line.result.map(read),
                report,
            })
        }
        "failed" => last(Outcome::Error),
        "returned" => last(Outcome::Rejected),
        "lost" => last(Outcome::Reset),
        other => {
            warn!(
                conn = id.0,
                state = other,
                "a line with an unknown state is passed over"
            );
            None
        }
    })
}

/// Hands each line of a body over, and fails if it ends before one that was the last.
async fn body(
    mut body: Incoming,
    mut take: impl FnMut(&[u8]) -> Result<bool, Broken>,
) -> Result<(), Broken> {
    let (mut kept, mut total, mut over) = (BytesMut::new(), 0, false);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        total += data.len();
        if total > LONGEST_ANSWER {
            return Err(Broken::TooLong);
        }
        kept.extend_from_slice(&data);
        while let Some(end) = kept.iter().position(|b| *b == b'\n') {
            let line = kept.split_to(end + 1);
            if !line.trim_ascii().is_empty() {
                over = take(line.trim_ascii())?;
            }
        }
    }
    // The last line may go without its end.
    if !kept.trim_ascii().is_empty() {
        over = take(kept.trim_ascii())?;
    }
    over.then_some(()).ok_or(Broken::CutShort)
}

async fn probe(
    id: ConnId,
    sender: &mut SendRequest<Full<Bytes>>,
    loop_handle: &LoopHandle,
) -> Result<(), Broken> {
    let request = Request::builder()
        .method(Method::GET)
        .uri("/status/load")
        .header("host", "target")
        .body(Full::new(Bytes::new()))?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let mut report = header_report(&response, loop_handle.report_names());
    let text = collect(response.into_body()).await?;
    let outcome = match status {
        StatusCode::OK => Outcome::Done,
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Rejected,
        _ => Outcome::Error,
    };
    if status == StatusCode::OK && !text.trim_ascii().is_empty() {
        let fields: Map<String, Value> = serde_json::from_slice(&text)?;
        report = Some(loop_handle.report_names().read(&fields));
    }
    loop_handle.send_input(ended(
        id,
        LastWord {
            outcome,
            result: None,
            report,
        },
    ));
    Ok(())
}

async fn collect(body: Incoming) -> Result<Bytes, Broken> {
    let mut text = BytesMut::new();
    let mut body = body;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        text.extend_from_slice(&data);
        if text.len() > LONGEST_ANSWER {
            return Err(Broken::TooLong);
        }
    }
    Ok(text.freeze())
}
