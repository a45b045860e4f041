//! The listener.

use crate::view::Levels;
use api::Micros;
use bytes::Bytes;
use desk::Desk;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use levels::Status;
use metrics::{counter, describe_counter, describe_gauge, gauge};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use state::Input;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tracing::{debug, warn};

/// Largest head of a request; there are no bodies.
const LARGEST_HEAD: usize = 8 * 1024;
/// How long to wait before accepting again after the system could not.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// A level is forced for so long where the request does not say.
const FORCED_MS: u64 = 600_000;

/// What the listener keeps to.
#[derive(Debug, Clone)]
pub struct Terms {
    /// Connections that may be open together; one more is closed at once.
    pub connections: usize,
    /// A connection is closed when no request has come whole for so long.
    pub request_wait: Duration,
    /// Names of the classes.
    pub classes: Vec<String>,
}

/// Sets up what counts, for the whole program. To be called before anything counts.
///
/// # Errors
/// Another one was set up before.
pub fn recorder() -> Result<PrometheusHandle, BuildError> {
    let handle = PrometheusBuilder::new().install_recorder()?;
    describe_counter!("fordrelay_answers_total", "Final answers, by what they were");
    describe_counter!("fordrelay_fixed_responses_total", "Requests that were never taken, by status");
    describe_counter!("fordrelay_attempts_total", "Attempts sent to targets");
    describe_counter!("fordrelay_attempts_refused_total", "Attempts turned away, or not connected");
    describe_counter!("fordrelay_jobs_over_total", "Jobs that are over, by class");
    describe_counter!("fordrelay_jobs_in_time_total", "Jobs served in time, by class");
    describe_counter!("fordrelay_jobs_turned_away_total", "Jobs that a level turned away, by class");
    describe_gauge!("fordrelay_level", "The level in force, 0 for full service");
    describe_gauge!("fordrelay_level_figure", "Figures that levels are entered and left by");
    describe_gauge!("fordrelay_open_flows", "Flows that wait for their answer");
    describe_gauge!("fordrelay_own_slots", "Slots that own jobs hold at targets");
    describe_gauge!("fordrelay_targets", "Ready targets, by kind, and whether they answer");
    Ok(handle)
}

/// The operators' listener.
pub struct Server {
    desk: Rc<Desk>,
    terms: Terms,
    metrics: PrometheusHandle,
    open: Cell<usize>,
}

type Reply = Response<Full<Bytes>>;

fn reply(status: StatusCode, kind: &'static str, text: String) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}

fn plain(status: StatusCode, text: impl Into<String>) -> Reply {
    reply(status, "text/plain; charset=utf-8", text.into() + "\n")
}

impl Server {
    /// A listener that does not listen yet.
    pub fn new(desk: Rc<Desk>, terms: Terms, metrics: PrometheusHandle) -> Rc<Self> {
        Rc::new(Server { desk, terms, metrics, open: Cell::new(0) })
    }

    /// Accepts connections for as long as the program runs.
    pub async fn accept(self: Rc<Self>, socket: TcpListener) {
        loop {
            match socket.accept().await {
                Ok((stream, _)) if self.open.get() < self.terms.connections => {
                    self.open.set(self.open.get() + 1);
                    tokio::task::spawn_local(Rc::clone(&self).connection(stream));
                }
                Ok(_) => debug!("an operator's connection over the limit is closed"),
                Err(e) => {
                    warn!("can't accept an operator's connection: {e}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request| self.respond(request));
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.terms.request_wait)
            .max_buf_size(LARGEST_HEAD)
            .serve_connection(TokioIo::new(stream), service)
            .await;
        if let Err(e) = served {
            debug!("an operator's connection ended: {e}");
        }
        self.open.set(self.open.get() - 1);
    }

    async fn respond(&self, request: Request<Incoming>) -> Result<Reply, Infallible> {
        let method = request.method();
        let (get, post) = (method == Method::GET, method == Method::POST);
        Ok(match request.uri().path() {
            "/levels" if get => self.levels().await,
            "/metrics" if get => self.metrics().await,
            "/levels/force" if post => self.force(request.uri().query().unwrap_or("")).await,
            "/levels" | "/metrics" => not_allowed("GET"),
            "/levels/force" => not_allowed("POST"),
            _ => plain(
                StatusCode::NOT_FOUND,
                "here are GET /levels, GET /metrics, and POST /levels/force?level=NAME&for_ms=600000",
            ),
        })
    }

    async fn status(&self) -> Result<Status, Reply> {
        let busy = || plain(StatusCode::SERVICE_UNAVAILABLE, "too many ask at once; try again");
        self.desk.status().await.ok_or_else(busy)
    }

    async fn levels(&self) -> Reply {
        match self.status().await {
            Ok(status) => self.show(&status),
            Err(busy) => busy,
        }
    }

    fn show(&self, status: &Status) -> Reply {
        match Levels::new(status, &self.terms.classes).map(|l| serde_json::to_string(&l)) {
            Some(Ok(text)) => reply(StatusCode::OK, "application/json", text + "\n"),
            Some(Err(e)) => plain(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
            None => {
                plain(StatusCode::NOT_FOUND, "no levels are set; see the block levels of the operators' file")
            }
        }
    }

    /// `level=NAME` or `level=auto`, and `for_ms`.
    async fn force(&self, query: &str) -> Reply {
        let status = match self.status().await {
            Ok(status) => status,
            Err(busy) => return busy,
        };
        let Some(spec) = status.levels.as_ref().map(|l| &l.spec) else { return self.show(&status) };
        let value = |key: &str| query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
        let bad = |text: String| plain(StatusCode::BAD_REQUEST, text);
        let span = match value("for_ms").map(str::parse) {
            None => FORCED_MS,
            Some(Ok(ms)) if ms > 0 && ms <= spec.force_most / 1_000 => ms,
            Some(_) => return bad(format!("for_ms must be 1 to {} ms", spec.force_most / 1_000)),
        };
        let wanted = match value("level") {
            Some("auto") => None,
            Some(name) => match spec.find(name) {
                Some(level) => Some((level, span * 1_000 as Micros)),
                None => {
                    let names: Vec<&str> = (0..=spec.levels.len()).map(|at| spec.name(at)).collect();
                    return bad(format!("level: {name:?} is none of {}, auto", names.join(", ")));
                }
            },
            None => return bad("level is missing, as in level=full or level=auto".into()),
        };
        self.desk.report(Input::Force(wanted));
        self.levels().await
    }

    async fn metrics(&self) -> Reply {
        match self.status().await {
            Ok(status) => self.export(&status),
            Err(busy) => return busy,
        }
        reply(StatusCode::OK, "text/plain; version=0.0.4", self.metrics.render())
    }

    fn export(&self, status: &Status) {
        let figures = &status.figures;
        counter!("fordrelay_attempts_total").absolute(figures.sent);
        counter!("fordrelay_attempts_refused_total").absolute(figures.refused);
        gauge!("fordrelay_open_flows").set(self.desk.open_flows() as f64);
        gauge!("fordrelay_own_slots").set(figures.own);
        for (name, class) in self.terms.classes.iter().zip(&figures.classes) {
            counter!("fordrelay_jobs_over_total", "class" => name.clone()).absolute(class.over);
            counter!("fordrelay_jobs_in_time_total", "class" => name.clone()).absolute(class.in_time);
            counter!("fordrelay_jobs_turned_away_total", "class" => name.clone()).absolute(class.turned_away);
        }
        for kind in &figures.kinds {
            for (answers, count) in [("yes", kind.answering), ("no", kind.silent)] {
                let labels = [("kind", kind.kind.to_string()), ("answers", answers.to_owned())];
                gauge!("fordrelay_targets", &labels).set(count);
            }
        }
        let Some(levels) = Levels::new(status, &self.terms.classes) else { return };
        gauge!("fordrelay_level").set(levels.rank as f64);
        for figure in levels.figures {
            let labels = [("figure", figure.figure), ("class", figure.class.unwrap_or_default())];
            gauge!("fordrelay_level_figure", &labels).set(figure.value.unwrap_or(0.0));
        }
    }
}

fn not_allowed(method: &'static str) -> Reply {
    let mut reply = plain(StatusCode::METHOD_NOT_ALLOWED, format!("only {method}"));
    reply.headers_mut().insert(ALLOW, HeaderValue::from_static(method));
    reply
}
