//! The answer to each call.

use crate::metrics::export;
use crate::query::Query;
use crate::route::{route, Route, RouteError, TargetRule};
use crate::view::{Levels, Maintenance, Member};
use bytes::Bytes;
use dispatch_api::Micros;
use dispatcher_state::{PlanRequestError, StateSnapshot};
use event_loop::{OperatorHandle, OperatorRequest};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::{Request, Response, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use std::convert::Infallible;
use std::time::Duration;

/// Largest body of a request, in bytes; none is looked at.
const MAX_BODY_BYTES: usize = 8 * 1024;
/// How long a level is forced where the request does not say.
const DEFAULT_FORCED_MS: u64 = 600_000;
/// How long the event loop may take for a snapshot before the last one is shown.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long it may take for a request: a caller waits 1 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// The answer to an unknown path.
const CALLS: &str =
    "here are GET /-/ready, GET /-/metrics, PUT /-/runners/ID/disable, PUT /-/runners/ID/enable, \
     GET /levels, GET /members, GET and POST /maintenance, POST /maintenance/cancel, \
     POST /maintenance/done?target=ID, and POST /levels/force?level=NAME&for_ms=600000";

type Reply = Response<Full<Bytes>>;

fn reply(status: StatusCode, content_type: &'static str, text: String) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

fn plain(status: StatusCode, text: impl Into<String>) -> Reply {
    reply(status, "text/plain; charset=utf-8", text.into() + "\n")
}

fn json(value: &impl Serialize) -> Reply {
    match serde_json::to_string(value) {
        Ok(text) => reply(StatusCode::OK, "application/json", text + "\n"),
        Err(e) => plain(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// The answer to a request that the event loop has done, found nothing for, or not got to.
fn confirm(done: Option<bool>, yes: &str, no: &str) -> Reply {
    match done {
        Some(true) => plain(StatusCode::OK, yes),
        Some(false) => plain(StatusCode::NOT_FOUND, no),
        None => plain(
            StatusCode::SERVICE_UNAVAILABLE,
            "the dispatcher is busy; call again",
        ),
    }
}

/// Answers calls with what the event loop knows and does.
pub(crate) struct Handlers {
    operators: OperatorHandle,
    metrics: PrometheusHandle,
    /// The names of the classes.
    classes: Vec<String>,
}

impl Handlers {
    pub fn new(operators: OperatorHandle, metrics: PrometheusHandle, classes: Vec<String>) -> Self {
        Handlers {
            operators,
            metrics,
            classes,
        }
    }

    pub async fn respond(&self, request: Request<Incoming>) -> Result<Reply, Infallible> {
        let (head, body) = request.into_parts();
        if Limited::new(body, MAX_BODY_BYTES).collect().await.is_err() {
            let text = "the body did not come whole, or is too long";
            return Ok(plain(StatusCode::BAD_REQUEST, text));
        }
        let query = Query::parse(head.uri.query().unwrap_or(""));
        Ok(match route(head.method.as_str(), head.uri.path()) {
            Ok(route) => self.handle(route, &query).await,
            Err(RouteError::Method(allowed)) => {
                let mut reply = plain(StatusCode::METHOD_NOT_ALLOWED, format!("only {allowed}"));
                reply
                    .headers_mut()
                    .insert(ALLOW, HeaderValue::from_static(allowed));
                reply
            }
            Err(RouteError::Malformed(reason)) => plain(StatusCode::BAD_REQUEST, reason),
            Err(RouteError::UnknownPath) => plain(StatusCode::NOT_FOUND, CALLS),
        })
    }

    async fn handle(&self, route: Route, query: &Query) -> Reply {
        match route {
            Route::Ready if self.operators.ready() => plain(StatusCode::OK, "ready"),
            Route::Ready => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready to serve"),
            Route::Metrics => {
                export(
                    &*self.operators.snapshot(SNAPSHOT_TIMEOUT).await,
                    &self.classes,
                );
                reply(
                    StatusCode::OK,
                    "text/plain; version=0.0.4",
                    self.metrics.render(),
                )
            }
            Route::Members => members(&*self.operators.snapshot(SNAPSHOT_TIMEOUT).await),
            Route::Maintenance => maintenance(&*self.operators.snapshot(SNAPSHOT_TIMEOUT).await),
            Route::SubmitPlan => self.submit_plan(query).await,
            Route::CancelPlan => {
                let done = self
                    .operators
                    .request(REQUEST_TIMEOUT, OperatorRequest::CancelPlan);
                confirm(done.await, "called off", "no plan is under way")
            }
            Route::TargetWorkDone => {
                let target = query.get("target").unwrap_or_default().to_owned();
                let request = |answer| OperatorRequest::TargetWorkDone(target, answer);
                let done = self.operators.request(REQUEST_TIMEOUT, request).await;
                confirm(done, "it comes back", "target: is not out by a plan here")
            }
            Route::Levels => self.levels(&*self.operators.snapshot(SNAPSHOT_TIMEOUT).await),
            Route::ForceLevel => self.force_level(query).await,
            Route::OverrideTarget { target, rule } => self.override_target(target, rule).await,
        }
    }

    async fn override_target(&self, target: String, rule: TargetRule) -> Reply {
        let disable = rule == TargetRule::Disable;
        let state = if disable { "disabled" } else { "enabled" };
        let request = |answer| OperatorRequest::OverrideTarget(target.clone(), disable, answer);
        match self.operators.request(REQUEST_TIMEOUT, request).await {
            Some(true) => plain(StatusCode::OK, format!("{target} is {state}")),
            Some(false) => plain(
                StatusCode::NOT_FOUND,
                format!("{target:?} was never in the list"),
            ),
            None => plain(
                StatusCode::SERVICE_UNAVAILABLE,
                format!("{target:?} may not be {state} yet; it will be shortly, or call again"),
            ),
        }
    }

    /// The query has `targets=A,B`, and perhaps `out`, `zone`, `share`, `drain_ms`, `out_ms`, `id`.
    async fn submit_plan(&self, query: &Query) -> Reply {
        let plan = match query.plan() {
            Ok(plan) => plan,
            Err(e) => return plain(StatusCode::BAD_REQUEST, e.to_string()),
        };
        let id = plan.id;
        let request = |answer| OperatorRequest::SubmitPlan(plan, answer);
        match self.operators.request(REQUEST_TIMEOUT, request).await {
            Some(Ok(())) => plain(StatusCode::OK, format!("plan {id} is followed")),
            Some(Err(e)) => {
                let status = match e {
                    PlanRequestError::UnderWay { .. } => StatusCode::CONFLICT,
                    PlanRequestError::Off => StatusCode::NOT_FOUND,
                    _ => StatusCode::BAD_REQUEST,
                };
                plain(status, e.to_string())
            }
            None => plain(
                StatusCode::SERVICE_UNAVAILABLE,
                "the plan may not be kept yet; look, or call again",
            ),
        }
    }

    fn levels(&self, snapshot: &StateSnapshot) -> Reply {
        match Levels::new(&snapshot.status, &self.classes) {
            Some(levels) => json(&levels),
            None => plain(
                StatusCode::NOT_FOUND,
                "no levels are set; see the block levels of the operators' file",
            ),
        }
    }

    /// The query has `level=NAME` or `level=auto`, and perhaps `for_ms`.
    async fn force_level(&self, query: &Query) -> Reply {
        let snapshot = self.operators.snapshot(SNAPSHOT_TIMEOUT).await;
        let Some(config) = snapshot.status.levels.as_ref().map(|levels| &levels.config) else {
            return self.levels(&snapshot);
        };
        let bad = |text: String| plain(StatusCode::BAD_REQUEST, text);
        let max_ms = config.max_forced / 1_000;
        let forced_ms = match query.get("for_ms").map(str::parse) {
            None => DEFAULT_FORCED_MS,
            Some(Ok(ms)) if ms > 0 && ms <= max_ms => ms,
            Some(_) => return bad(format!("for_ms must be 1 to {max_ms} ms")),
        };
        let forced = match query.get("level") {
            Some("auto") => None,
            Some(name) => match config.find(name) {
                Some(level) => Some((level, forced_ms * 1_000 as Micros)),
                None => {
                    let names: Vec<&str> = (0..=config.levels.len())
                        .map(|at| config.name(at))
                        .collect();
                    let names = names.join(", ");
                    return bad(format!("level: {name:?} is none of {names}, auto"));
                }
            },
            None => return bad("level is missing, as in level=full or level=auto".into()),
        };
        let request = |answer| OperatorRequest::ForceLevel(forced, answer);
        match self.operators.request(REQUEST_TIMEOUT, request).await {
            Some(snapshot) => self.levels(&snapshot),
            None => plain(
                StatusCode::SERVICE_UNAVAILABLE,
                "the dispatcher is busy; try again",
            ),
        }
    }
}

fn maintenance(snapshot: &StateSnapshot) -> Reply {
    match &snapshot.maintenance {
        Some(status) => json(&Maintenance::new(status)),
        None => plain(StatusCode::NOT_FOUND, "no plan is known"),
    }
}

fn members(snapshot: &StateSnapshot) -> Reply {
    let Some(members) = &snapshot.members else {
        return plain(
            StatusCode::NOT_FOUND,
            "nobody is watched; see the block membership of the operators' file",
        );
    };
    let members = members.members.iter().map(|member| Member {
        member: member.update.member,
        state: member.update.state.as_str().to_owned(),
        incarnation: member.update.incarnation,
        heard: member.received_lately,
        heard_by: member.reachable,
    });
    json(&members.collect::<Vec<_>>())
}
