//! The server of calls, on a thread of its own: the loop that carries jobs may be behind by more than a caller waits.

use crate::calls::{call, Call, NoCall};
use crate::figures::export;
use crate::view::{self, Levels};
use bytes::Bytes;
use dispatch_api::Micros;
use dispatcher_state::{PlanRequestError, StateSnapshot};
use event_loop::{OperatorHandle, OperatorRequest};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};
use tracing::{debug, info, warn};

/// Largest head of a request.
const LARGEST_HEAD: usize = 8 * 1024;
/// Largest body; none is looked at.
const LARGEST_BODY: usize = 8 * 1024;
/// How long to wait before accepting again after the system could not.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How often it is tried to have an address that another process has.
const TAKEN_PAUSE: Duration = Duration::from_millis(100);
/// A level is forced for so long where the request does not say.
const FORCED_MS: u64 = 600_000;
/// How long the loop may take to show what it knows before what it laid out last is shown.
const LOOK_WAIT: Duration = Duration::from_millis(300);
/// ... and to do what it is asked: a caller waits 1 s.
const ASK_WAIT: Duration = Duration::from_millis(800);
/// How long an answer may take to be read.
const READ_WAIT: Duration = Duration::from_secs(2);

/// What a listener keeps to.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Connections that may be open together; one more closes the one that has waited longest for a whole request.
    pub connections: usize,
    /// A connection is closed when no request has come whole for so long.
    pub request_wait: Duration,
}

/// Where calls come.
#[derive(Debug)]
pub enum Door {
    /// On this socket.
    Open(std::net::TcpListener),
    /// On this address, as soon as the process that has it gives it up.
    Taken(SocketAddr),
}

/// Answers the calls on every socket that it is given.
pub struct Server {
    operators: OperatorHandle,
    metrics: PrometheusHandle,
    /// Names of the classes.
    classes: Vec<String>,
}

type Reply = Response<Full<Bytes>>;

fn reply(status: StatusCode, kind: &'static str, text: String) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}

fn plain(status: StatusCode, text: impl Into<String>) -> Reply {
    reply(status, "text/plain; charset=utf-8", text.into() + "\n")
}

/// Answers calls on these sockets, on a thread of its own, for as long as the program runs.
///
/// # Errors
/// What the system refuses.
pub fn start(
    operators: OperatorHandle,
    metrics: PrometheusHandle,
    classes: Vec<String>,
    doors: Vec<(Door, Bounds)>,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let server = move || {
        let server = Rc::new(Server {
            operators,
            metrics,
            classes,
        });
        LocalSet::new().block_on(&runtime, async {
            for (door, bounds) in doors {
                let server = Rc::clone(&server);
                spawn_local(async move {
                    match open(door).await {
                        Ok(socket) => server.accept(socket, bounds).await,
                        Err(e) => warn!("operators can't be answered: {e}"),
                    }
                });
            }
            std::future::pending::<()>().await;
        });
    };
    std::thread::Builder::new()
        .name("admin".into())
        .spawn(server)
        .map(drop)
}

async fn open(door: Door) -> io::Result<TcpListener> {
    match door {
        Door::Open(socket) => {
            socket.set_nonblocking(true)?;
            TcpListener::from_std(socket)
        }
        Door::Taken(addr) => loop {
            match TcpListener::bind(addr).await {
                Err(e) if e.kind() == io::ErrorKind::AddrInUse => {
                    tokio::time::sleep(TAKEN_PAUSE).await
                }
                bound => {
                    info!("operators are answered on {addr} by this process now");
                    return bound;
                }
            }
        },
    }
}

/// One connection, as far as others need its room.
struct Open {
    /// Its request has not come whole.
    waits: Cell<bool>,
    cut: Notify,
}

type Opens = Rc<RefCell<BTreeMap<u64, Rc<Open>>>>;

fn done(answer: Option<bool>, yes: &str, no: &str) -> Reply {
    match answer {
        Some(true) => plain(StatusCode::OK, yes),
        Some(false) => plain(StatusCode::NOT_FOUND, no),
        None => plain(
            StatusCode::SERVICE_UNAVAILABLE,
            "the dispatcher is busy; call again",
        ),
    }
}

fn maintenance(seen: &StateSnapshot) -> Reply {
    let Some(upkeep) = &seen.maintenance else {
        return plain(StatusCode::NOT_FOUND, "no plan is known");
    };
    match serde_json::to_string(&view::Maintenance::new(upkeep)) {
        Ok(text) => reply(StatusCode::OK, "application/json", text + "\n"),
        Err(e) => plain(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

fn members(seen: &StateSnapshot) -> Reply {
    let Some(members) = &seen.members else {
        return plain(
            StatusCode::NOT_FOUND,
            "nobody is watched; see the block membership of the operators' file",
        );
    };
    let shown = members.members.iter().map(|member| view::Member {
        member: member.update.member,
        state: member.update.state.as_str().to_owned(),
        incarnation: member.update.incarnation,
        heard: member.received_lately,
        heard_by: member.reachable,
    });
    match serde_json::to_string(&shown.collect::<Vec<_>>()) {
        Ok(text) => reply(StatusCode::OK, "application/json", text + "\n"),
        Err(e) => plain(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

impl Server {
    async fn accept(self: Rc<Self>, socket: TcpListener, bounds: Bounds) {
        let opens = Opens::default();
        for number in 0.. {
            let stream = loop {
                match socket.accept().await {
                    Ok((stream, _)) => break stream,
                    Err(e) => {
                        warn!("can't accept an operator's connection: {e}");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                }
            };
            let longest = opens
                .borrow()
                .values()
                .find(|open| open.waits.get())
                .cloned();
            if opens.borrow().len() >= bounds.connections {
                let Some(longest) = longest else {
                    debug!("an operator's connection over the limit is closed");
                    continue;
                };
                longest.cut.notify_one();
                // No more of it counts: it is closed as soon as this thread is at it.
                longest.waits.set(false);
                opens
                    .borrow_mut()
                    .retain(|_, open| !Rc::ptr_eq(open, &longest));
            }
            let open = Rc::new(Open {
                waits: Cell::new(true),
                cut: Notify::new(),
            });
            opens.borrow_mut().insert(number, Rc::clone(&open));
            let (server, opens) = (Rc::clone(&self), Rc::clone(&opens));
            spawn_local(async move {
                tokio::select! {
                    biased;
                    () = open.cut.notified() => debug!("an operator's connection that asks nothing makes room"),
                    () = server.connection(stream, &open, bounds) => {}
                }
                opens.borrow_mut().remove(&number);
            });
        }
    }

    async fn connection(&self, stream: TcpStream, open: &Open, bounds: Bounds) {
        let service = service_fn(|request| async {
            open.waits.set(false);
            self.respond(request).await
        });
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(bounds.request_wait)
            .max_buf_size(LARGEST_HEAD)
            .keep_alive(false)
            .serve_connection(TokioIo::new(stream), service);
        match tokio::time::timeout(bounds.request_wait + READ_WAIT, served).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => debug!("an operator's connection ended: {e}"),
            Err(_) => debug!("an operator's connection took too long"),
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Result<Reply, Infallible> {
        let (head, body) = request.into_parts();
        if Limited::new(body, LARGEST_BODY).collect().await.is_err() {
            return Ok(plain(
                StatusCode::BAD_REQUEST,
                "the body did not come whole, or is too long",
            ));
        }
        Ok(match call(head.method.as_str(), head.uri.path()) {
            Ok(Call::Ready) if self.operators.ready() => plain(StatusCode::OK, "ready"),
            Ok(Call::Ready) => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready to serve"),
            Ok(Call::Metrics) => {
                export(&*self.operators.snapshot(LOOK_WAIT).await, &self.classes);
                reply(StatusCode::OK, "text/plain; version=0.0.4", self.metrics.render())
            }
            Ok(Call::Members) => members(&*self.operators.snapshot(LOOK_WAIT).await),
            Ok(Call::Maintenance) => maintenance(&*self.operators.snapshot(LOOK_WAIT).await),
            Ok(Call::Plan) => self.plan(head.uri.query().unwrap_or("")).await,
            Ok(Call::Cancel) => {
                done(self.operators.request(ASK_WAIT, OperatorRequest::CancelPlan).await, "called off", "no plan is under way")
            }
            Ok(Call::Done) => {
                let query = view::query(head.uri.query().unwrap_or(""));
                let target = query.get("target").cloned().unwrap_or_default();
                let answer = self.operators.request(ASK_WAIT, |answer| OperatorRequest::TargetWorkDone(target, answer)).await;
                done(answer, "it comes back", "target: is not out by a plan here")
            }
            Ok(Call::Levels) => self.show(&*self.operators.snapshot(LOOK_WAIT).await),
            Ok(Call::Force) => self.force(head.uri.query().unwrap_or("")).await,
            Ok(Call::Rule { target, out }) => self.rule(target, out).await,
            Err(NoCall::Method(by)) => {
                let mut reply = plain(StatusCode::METHOD_NOT_ALLOWED, format!("only {by}"));
                reply.headers_mut().insert(ALLOW, HeaderValue::from_static(by));
                reply
            }
            Err(NoCall::Malformed(why)) => plain(StatusCode::BAD_REQUEST, why),
            Err(NoCall::Path) => plain(
                StatusCode::NOT_FOUND,
                "here are GET /-/ready, GET /-/metrics, PUT /-/runners/ID/disable, PUT /-/runners/ID/enable, \
                 GET /levels, GET /members, GET and POST /maintenance, POST /maintenance/cancel, \
                 POST /maintenance/done?target=ID, and POST /levels/force?level=NAME&for_ms=600000",
            ),
        })
    }

    async fn rule(&self, target: String, out: bool) -> Reply {
        let word = if out { "disabled" } else { "enabled" };
        match self
            .operators
            .request(ASK_WAIT, |answer| {
                OperatorRequest::OverrideTarget(target.clone(), out, answer)
            })
            .await
        {
            Some(true) => plain(StatusCode::OK, format!("{target} is {word}")),
            Some(false) => plain(
                StatusCode::NOT_FOUND,
                format!("{target:?} was never in the list"),
            ),
            None => plain(
                StatusCode::SERVICE_UNAVAILABLE,
                format!("{target:?} may not be {word} yet; it will be shortly, or call again"),
            ),
        }
    }

    /// `targets=A,B`, `out`, and where it is said `zone`, `share`, `drain_ms`, `out_ms`, `id`.
    async fn plan(&self, query: &str) -> Reply {
        let wanted = match view::wanted(&view::query(query)) {
            Ok(wanted) => wanted,
            Err(e) => return plain(StatusCode::BAD_REQUEST, e),
        };
        let id = wanted.id;
        match self
            .operators
            .request(ASK_WAIT, |answer| {
                OperatorRequest::SubmitPlan(wanted, answer)
            })
            .await
        {
            Some(Ok(())) => plain(StatusCode::OK, format!("plan {id} is followed")),
            Some(Err(e @ PlanRequestError::UnderWay { .. })) => {
                plain(StatusCode::CONFLICT, e.to_string())
            }
            Some(Err(e @ PlanRequestError::Off)) => plain(StatusCode::NOT_FOUND, e.to_string()),
            Some(Err(e)) => plain(StatusCode::BAD_REQUEST, e.to_string()),
            None => plain(
                StatusCode::SERVICE_UNAVAILABLE,
                "the plan may not be kept yet; look, or call again",
            ),
        }
    }

    fn show(&self, seen: &StateSnapshot) -> Reply {
        match Levels::new(&seen.status, &self.classes).map(|l| serde_json::to_string(&l)) {
            Some(Ok(text)) => reply(StatusCode::OK, "application/json", text + "\n"),
            Some(Err(e)) => plain(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
            None => plain(
                StatusCode::NOT_FOUND,
                "no levels are set; see the block levels of the operators' file",
            ),
        }
    }

    /// `level=NAME` or `level=auto`, and `for_ms`.
    async fn force(&self, query: &str) -> Reply {
        let seen = self.operators.snapshot(LOOK_WAIT).await;
        let Some(spec) = seen.status.levels.as_ref().map(|l| &l.config) else {
            return self.show(&seen);
        };
        let query = view::query(query);
        let value = |key: &str| query.get(key).map(String::as_str);
        let bad = |text: String| plain(StatusCode::BAD_REQUEST, text);
        let span = match value("for_ms").map(str::parse) {
            None => FORCED_MS,
            Some(Ok(ms)) if ms > 0 && ms <= spec.max_forced / 1_000 => ms,
            Some(_) => {
                return bad(format!(
                    "for_ms must be 1 to {} ms",
                    spec.max_forced / 1_000
                ))
            }
        };
        let wanted = match value("level") {
            Some("auto") => None,
            Some(name) => match spec.find(name) {
                Some(level) => Some((level, span * 1_000 as Micros)),
                None => {
                    let names: Vec<&str> =
                        (0..=spec.levels.len()).map(|at| spec.name(at)).collect();
                    return bad(format!(
                        "level: {name:?} is none of {}, auto",
                        names.join(", ")
                    ));
                }
            },
            None => return bad("level is missing, as in level=full or level=auto".into()),
        };
        match self
            .operators
            .request(ASK_WAIT, |answer| {
                OperatorRequest::ForceLevel(wanted, answer)
            })
            .await
        {
            Some(seen) => self.show(&seen),
            None => plain(
                StatusCode::SERVICE_UNAVAILABLE,
                "the dispatcher is busy; try again",
            ),
        }
    }
}
