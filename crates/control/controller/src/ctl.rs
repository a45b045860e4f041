//! The HTTP server for the calls of runners and operators (`Bind.Ctl`): one dispatch on method and
//! path segments. It keeps no state but the count of connections; the event loop answers.

use crate::call::{Call, Input, Response as CallResponse};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// Longest body that is read: a configuration of the largest size that `MaxBodyBytes` usually
/// allows, twice.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Longest name of a runner or a machine in a path, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// Connections open at once; more are closed at once, so that callers go elsewhere.
const MAX_CONNECTIONS: usize = 1024;
/// Callers give a call up after a second, or more for large bodies; an answer later than this finds
/// no caller.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4_000);
/// The head of a request must come completely within this.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// How long to wait before the next connection when one can't be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Header with the version that a configuration builds on.
const BASE_VERSION_HEADER: &str = "fordrelay-base-version";
/// Inputs that may wait for the event loop.
pub const INPUT_QUEUE_CAPACITY: usize = 4096;

/// Serves `ctl` until the process ends.
pub async fn serve(listener: TcpListener, inputs: mpsc::Sender<Input>) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open.get() >= MAX_CONNECTIONS {
            continue;
        }
        open.set(open.get() + 1);
        let (open, inputs) = (Rc::clone(&open), inputs.clone());
        tokio::task::spawn_local(async move {
            serve_connection(stream, inputs).await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve_connection(stream: TcpStream, inputs: mpsc::Sender<Input>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let inputs = inputs.clone();
        async move { Ok::<_, Infallible>(http_response(respond(request, &inputs).await)) }
    });
    // A connection that breaks off is its caller's to open again.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn http_response(answer: CallResponse) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if answer.status == 503 {
        headers.insert(RETRY_AFTER, HeaderValue::from_static("0.2"));
    }
    if let Some(location) = answer.location.and_then(|l| HeaderValue::from_str(&l).ok()) {
        headers.insert(LOCATION, location);
    }
    response
}

async fn respond(request: Request<Incoming>, inputs: &mpsc::Sender<Input>) -> CallResponse {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    let base_version = head.headers.get(BASE_VERSION_HEADER);
    let base_version = base_version.map(|value| value.to_str().unwrap_or("").trim().to_owned());
    let body = Limited::new(body, MAX_BODY_BYTES).collect();
    let body = match tokio::time::timeout(ANSWER_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => {
            return CallResponse::error(413, 1301, "the body is broken off or longer than 8 MiB");
        }
        Err(_) => return CallResponse::error(408, 1302, "the body did not come in time"),
    };
    let call = match dispatch(
        head.method.as_str(),
        &segments,
        base_version.as_deref(),
        body,
    ) {
        Ok(call) => call,
        Err(rejection) => return rejection,
    };
    let (respond_to, answer) = oneshot::channel();
    if inputs.try_send(Input::Call { call, respond_to }).is_err() {
        return CallResponse::error(503, 1303, "too much waits here");
    }
    match tokio::time::timeout(ANSWER_TIMEOUT, answer).await {
        Ok(Ok(answer)) => answer,
        _ => CallResponse::error(
            503,
            1304,
            "no answer in time; whether it was taken is open: send it again unchanged",
        ),
    }
}

/// The one table of calls.
fn dispatch(
    method: &str,
    path: &[&str],
    base_version: Option<&str>,
    body: Bytes,
) -> Result<Call, CallResponse> {
    Ok(match (method, path) {
        ("POST" | "PUT", ["-", "config", "replace"]) => {
            let base_version = base_version.unwrap_or("0").parse().map_err(|_| {
                CallResponse::error(400, 1306, "Fordrelay-Base-Version is no whole number")
            })?;
            Call::ReplaceConfig { base_version, body }
        }
        ("GET", ["-", "config", "get"]) => Call::GetConfig,
        ("POST", ["-", "runners", id, "beat"]) => Call::RunnerHeartbeat {
            id: checked_name(id)?,
            body,
        },
        ("POST", ["-", "runners", id, "leave"]) => Call::RunnerLeave {
            id: checked_name(id)?,
        },
        ("POST", ["-", "retire", node, "begin"]) => Call::RetireStore {
            node: checked_name(node)?,
        },
        ("GET", ["-", "retire", node, "get"]) => Call::GetRetirement {
            node: checked_name(node)?,
        },
        ("POST", ["-", "rollouts", "begin"]) => Call::BeginRollout { body },
        ("GET", ["-", "rollouts", service, "get"]) => Call::GetRollout {
            service: checked_name(service)?,
        },
        ("GET", ["-", "status"]) => Call::GetStatus,
        (
            _,
            ["-", "config", "replace" | "get"]
            | ["-", "runners", _, "beat" | "leave"]
            | ["-", "retire", _, _]
            | ["-", "rollouts", "begin"]
            | ["-", "rollouts", _, "get"],
        ) => return Err(CallResponse::error(405, 1307, "not with this method")),
        _ => return Err(CallResponse::error(404, 1308, "no such call")),
    })
}

fn checked_name(name: &str) -> Result<String, CallResponse> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(CallResponse::error(
            400,
            1305,
            "a name that is empty or too long",
        ));
    }
    Ok(name.to_owned())
}
