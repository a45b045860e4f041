//! From JSON to a configuration: defaults, bounds, and references between its parts.

use std::collections::{HashMap, HashSet};

use compact_str::{format_compact, CompactString};
use jzon::JsonValue;

use crate::config::{Backend, Limits, Route, RouteKind, Service, Target};
use crate::error::{ConfigError, ConfigFault};
use crate::host::normalize_host;
use crate::object::{ObjectReader, MAX_EXACT};

/// Routes of a configuration at most.
pub const MAX_ROUTES: usize = 10_000;
/// Services of a configuration at most.
pub const MAX_SERVICES: usize = 1_000;
/// Services that one route leads to at most.
pub const MAX_TARGETS: usize = 100;
/// Models of one service at most.
pub const MAX_MODELS: usize = 1_000;
/// Longest name of a route, a host, a service or a model, in bytes.
pub const MAX_NAME: usize = 255;
/// Longest prefix of a route and path of a health check, in bytes.
pub const MAX_PATH: usize = 2_048;

/// Longest time of a route: a year. Wide on purpose: a time is no reason to reject a configuration.
const MAX_TIME_MS: u64 = 365 * 24 * 3_600_000;
/// Largest weight; a hundred of them still add up.
const MAX_WEIGHT: f64 = 1e12;

/// The default of `TimeoutMs`.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// The default of `DueMs` on a `bulk` route.
const DEFAULT_DUE_MS: u64 = 600_000;
/// The default of `MaxConns`.
const DEFAULT_MAX_CONNS: u32 = 100;
/// The default of `Slots`.
const DEFAULT_SLOTS: u32 = 8;

/// The parts of a configuration.
pub(crate) struct ParsedConfig {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub limits: Limits,
}

/// Reads a configuration from the outermost object.
pub(crate) fn parse_config(value: &JsonValue) -> Result<ParsedConfig, ConfigError> {
    let top = ObjectReader::of(value, CompactString::default())?;
    let version = top.required(parse_version(&top)?, "Gen")?;
    for list in ["Routes", "Svcs"] {
        top.required(top.has(list).then_some(()), list)?;
    }
    let services = parse_services(&top)?;
    let names: HashSet<&str> = services
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    let routes = parse_routes(&top, &names)?;
    let limits = parse_limits(top.object("Limits")?)?;
    Ok(ParsedConfig {
        version,
        routes,
        services,
        limits,
    })
}

/// The version, which is compared and so must be exact.
fn parse_version(top: &ObjectReader<'_>) -> Result<Option<u64>, ConfigError> {
    let number = top.number("Gen", MAX_EXACT as f64)?;
    if number.is_some_and(|number| number.fract() != 0.0) {
        return Err(top.error(ConfigFault::BadNumber, "Gen", "must be a whole figure"));
    }
    Ok(number.map(|number| number as u64))
}

fn parse_services(top: &ObjectReader<'_>) -> Result<Vec<Service>, ConfigError> {
    let mut seen = HashSet::new();
    let mut services = Vec::new();
    for (n, value) in top.list("Svcs", MAX_SERVICES)?.iter().enumerate() {
        let one = ObjectReader::of(value, format_compact!("Svcs[{n}]"))?;
        let name = one.required(one.text("Name", MAX_NAME)?, "Name")?;
        if !seen.insert(name) {
            return Err(one.error(
                ConfigFault::DuplicateService,
                "Name",
                format!("there are two services {name:?}"),
            ));
        }
        let health_path = one.text("HealthPath", MAX_PATH)?.unwrap_or("/healthz");
        if !health_path.starts_with('/') || health_path.contains(' ') {
            let detail = format!("{health_path:?} does not start with a slash, or holds spaces");
            return Err(one.error(ConfigFault::BadName, "HealthPath", detail));
        }
        services.push(Service {
            name: name.into(),
            health_path: health_path.into(),
            max_conns: one
                .count_u32("MaxConns")?
                .filter(|n| *n > 0)
                .unwrap_or(DEFAULT_MAX_CONNS),
            protocol: one.text("Proto", MAX_NAME)?.unwrap_or("h1").into(),
            tls: one.flag("Tls")?.unwrap_or(false),
            backend: one
                .object("Backend")?
                .map(|backend| parse_backend(&backend))
                .transpose()?,
        });
    }
    Ok(services)
}

fn parse_backend(one: &ObjectReader<'_>) -> Result<Backend, ConfigError> {
    let mut models = Vec::new();
    for (n, value) in one.list("Models", MAX_MODELS)?.iter().enumerate() {
        // What is not needed is no reason to reject: a model may also be given by its name alone.
        if let Some(name) = value.as_str().filter(|name| name.len() <= MAX_NAME) {
            models.push(name.into());
            continue;
        }
        let model = ObjectReader::of(value, one.path(&format_compact!("Models[{n}]")))?;
        models.extend(model.text("Name", MAX_NAME)?.map(CompactString::from));
    }
    Ok(Backend {
        slots: one
            .count_u32("Slots")?
            .filter(|n| *n > 0)
            .unwrap_or(DEFAULT_SLOTS),
        kv_capacity: one.count("KvCapacity", MAX_EXACT)?.unwrap_or(0),
        kv_token_bytes: one.count("KvTokenBytes", MAX_EXACT)?.unwrap_or(0),
        link_mbps: one.number("LinkMbps", f64::MAX)?.unwrap_or(0.0),
        stride: one.count_u32("stride")?.unwrap_or(0),
        models,
    })
}

fn parse_routes(
    top: &ObjectReader<'_>,
    services: &HashSet<&str>,
) -> Result<Vec<Route>, ConfigError> {
    let list = top.list("Routes", MAX_ROUTES)?;
    let mut routes = Vec::with_capacity(list.len());
    let mut seen: HashMap<(CompactString, CompactString), usize> =
        HashMap::with_capacity(list.len());
    for (n, value) in list.iter().enumerate() {
        let one = ObjectReader::of(value, format_compact!("Routes[{n}]"))?;
        let route = parse_route(&one, services)?;
        if let Some(other) = seen.insert((route.host.clone(), route.prefix.clone()), n) {
            let detail = format!(
                "host {:?} and prefix {:?} are those of Routes[{other}] too",
                route.host, route.prefix
            );
            return Err(one.error(ConfigFault::DuplicateRoute, "Prefix", detail));
        }
        routes.push(route);
    }
    Ok(routes)
}

fn parse_route(one: &ObjectReader<'_>, services: &HashSet<&str>) -> Result<Route, ConfigError> {
    let host = one.required(one.text("Host", MAX_NAME)?, "Host")?;
    let host = normalize_host(host);
    let prefix = one.required(one.text("Prefix", MAX_PATH)?, "Prefix")?;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(one.error(
            ConfigFault::BadPrefix,
            "Prefix",
            format!("{prefix:?} does not start and end with a slash"),
        ));
    }
    let kind = parse_kind(one)?;
    let time = |name| one.count(name, MAX_TIME_MS);
    let timeout_ms = time("TimeoutMs")?.unwrap_or(DEFAULT_TIMEOUT_MS);
    if timeout_ms == 0 {
        return Err(one.error(ConfigFault::ZeroTimeout, "TimeoutMs", "is 0"));
    }
    let bulk = kind == RouteKind::Bulk;
    let due_ms = time("DueMs")?.unwrap_or(if bulk { DEFAULT_DUE_MS } else { 0 });
    let retain_s = one.number("RetainS", (MAX_TIME_MS / 1_000) as f64)?;
    Ok(Route {
        name: one
            .text("Name", MAX_NAME)?
            .map_or_else(|| format_compact!("{host}{prefix}"), CompactString::from),
        host: host.into_owned().into(),
        prefix: prefix.into(),
        kind,
        timeout_ms,
        target_ms: time("TargetMs")?.unwrap_or(timeout_ms),
        due_ms,
        retain_ms: retain_s.map_or(due_ms.saturating_mul(2), |s| (s * 1_000.0).ceil() as u64),
        max_queued: one.count("MaxQueued", MAX_EXACT)?.unwrap_or(0),
        priority: one.count_u32("Prio")?.unwrap_or(0),
        targets: parse_targets(one, services)?,
        max_attempts: one.count_u32("Tries")?.unwrap_or(1).max(1),
        sticky: one.flag("Sticky")?.unwrap_or(false),
        resumable: one.flag("Resumable")?.unwrap_or(false),
        event_gap_target_ms: time("gap_aim_ms")?.filter(|ms| *ms > 0),
    })
}

fn parse_kind(one: &ObjectReader<'_>) -> Result<RouteKind, ConfigError> {
    match one.text("Kind", MAX_NAME)? {
        Some("streaming") => Ok(RouteKind::Streaming),
        Some("idempotent") => Ok(RouteKind::Idempotent),
        Some("mutating") => Ok(RouteKind::Mutating),
        Some("bulk") => Ok(RouteKind::Bulk),
        // The safe default: nothing is retried that may have run.
        None => Ok(RouteKind::Mutating),
        Some(other) => {
            let detail = format!("{other:?} is none of streaming, idempotent, mutating and bulk");
            Err(one.error(ConfigFault::UnknownKind, "Kind", detail))
        }
    }
}

/// Where a route leads: by its split, or to its one service.
fn parse_targets(
    one: &ObjectReader<'_>,
    services: &HashSet<&str>,
) -> Result<Vec<Target>, ConfigError> {
    let known = |of: &ObjectReader<'_>, name: &str| {
        if services.contains(name) {
            return Ok(CompactString::from(name));
        }
        let detail = format!("there is no service {name:?}");
        Err(of.error(ConfigFault::UnknownService, "Svc", detail))
    };
    // Beside a split it leads nowhere, and still has to be known.
    let service = one
        .text("Svc", MAX_NAME)?
        .map(|service| known(one, service))
        .transpose()?;
    let split = one.list("Split", MAX_TARGETS)?;
    if let (Some(service), []) = (service, split) {
        return Ok(vec![Target {
            service,
            weight: 1.0,
        }]);
    }
    if one.get("Split").is_none() {
        return Err(one.error(
            ConfigFault::Missing,
            "Svc",
            "is missing, and there is no Split",
        ));
    }
    let mut targets = Vec::with_capacity(split.len());
    for (n, value) in split.iter().enumerate() {
        let part = ObjectReader::of(value, one.path(&format_compact!("Split[{n}]")))?;
        let service = part.required(part.text("Svc", MAX_NAME)?, "Svc")?;
        let service = known(&part, service)?;
        targets.push(Target {
            service,
            weight: parse_weight(&part)?,
        });
    }
    if targets.iter().all(|target| target.weight == 0.0) {
        return Err(one.error(
            ConfigFault::BadWeights,
            "Split",
            "has weights that add up to 0",
        ));
    }
    Ok(targets)
}

/// A weight; 1 by default.
fn parse_weight(part: &ObjectReader<'_>) -> Result<f64, ConfigError> {
    let Some(value) = part.get("Weight") else {
        return Ok(1.0);
    };
    match value.as_f64() {
        Some(weight) if (0.0..=MAX_WEIGHT).contains(&weight) => Ok(weight),
        Some(weight) => Err(part.error(
            ConfigFault::BadWeights,
            "Weight",
            format!("is {weight}; it must be from 0 to {MAX_WEIGHT}"),
        )),
        None => Err(part.error(ConfigFault::BadWeights, "Weight", "must be a figure")),
    }
}

fn parse_limits(one: Option<ObjectReader<'_>>) -> Result<Limits, ConfigError> {
    let default = Limits::default();
    let Some(one) = one else { return Ok(default) };
    // A limit of 0 would let no request in; it counts as not set.
    let read = |name, default| {
        Ok(one
            .count(name, MAX_EXACT)?
            .filter(|n| *n > 0)
            .unwrap_or(default))
    };
    Ok(Limits {
        max_header_bytes: read("MaxHeaderBytes", default.max_header_bytes)?,
        max_body_bytes: read("MaxBodyBytes", default.max_body_bytes)?,
        header_timeout_ms: read("HeaderTimeoutMs", default.header_timeout_ms)?,
        idle_timeout_ms: read("IdleTimeoutMs", default.idle_timeout_ms)?,
    })
}
