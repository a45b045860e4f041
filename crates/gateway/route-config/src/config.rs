//! A configuration that is valid in itself: routes, services, limits. Names in JSON are in the doc
//! comments.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::bounded_json;
use crate::error::{ConfigError, ConfigFault};
use crate::parse::{self, ParsedConfig};
use crate::route_table::RouteTable;

/// A complete configuration that is valid in itself.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// `Gen`: its version, 0 before the first one.
    pub version: u64,
    /// `Routes`, in the order in which they came.
    pub routes: Vec<Route>,
    /// `Svcs`: the services, in the order in which they came.
    pub services: Vec<Service>,
    /// `Limits`: what clients may send.
    pub limits: Limits,
    route_table: RouteTable,
    service_by_name: HashMap<CompactString, usize>,
}

/// `Kind` of a route: what may be retried of its requests, and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RouteKind {
    /// `streaming`: answered by a stream of events.
    Streaming,
    /// `idempotent`: may run more than once.
    Idempotent,
    /// `mutating`: runs at most once for each attempt of the client.
    Mutating,
    /// `bulk`: takes batch jobs.
    Bulk,
}

/// A service that a route leads to, with its share of the requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// `Svc`: the name of the service.
    pub service: CompactString,
    /// `Weight`, from 0 on; shares are in proportion to it.
    pub weight: f64,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// `Name`; host and prefix if it has none.
    pub name: CompactString,
    /// `Host`, in lower case and without a port.
    pub host: CompactString,
    /// `Prefix` of its paths; it starts and ends with a slash.
    pub prefix: CompactString,
    /// `Kind`.
    pub kind: RouteKind,
    /// `TimeoutMs`: how long a request is open at most.
    pub timeout_ms: u64,
    /// `TargetMs`: the latency target of an answer, of the first event of a stream or of the 202 of
    /// a batch job.
    pub target_ms: u64,
    /// `DueMs`: all results of a batch job are due this long after its first submission.
    pub due_ms: u64,
    /// `RetainS`, in milliseconds: items of a batch job are not given up before this long after its
    /// first submission.
    pub retain_ms: u64,
    /// `MaxQueued`: tokens that may be queued; 0 for no limit.
    pub max_queued: u64,
    /// `Prio`: its priority, 0 being the highest.
    pub priority: u32,
    /// `Split`, or the one `Svc`: where it leads. At least one weight is over 0.
    pub targets: Vec<Target>,
    /// `Tries`: runners to which one attempt of the client may be sent; at least 1.
    pub max_attempts: u32,
    /// `Sticky`: requests name the parts of their prompts, and shared prefixes stay at one runner.
    pub sticky: bool,
    /// `Resumable`: a stream may be resumed at another runner.
    pub resumable: bool,
    /// `gap_aim_ms`: the latency target of the pause between events.
    pub event_gap_target_ms: Option<u64>,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// `Name`.
    pub name: CompactString,
    /// `HealthPath`: the path of its health checks.
    pub health_path: CompactString,
    /// `MaxConns`: connections that a runner accepts from all callers together.
    pub max_conns: u32,
    /// `Proto`: the protocol that its runners speak.
    pub protocol: CompactString,
    /// `Tls`: whether that goes over TLS.
    pub tls: bool,
    /// `Backend`: what its runners are like, if they run models.
    pub backend: Option<Backend>,
}

/// What the runners of a service are like.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// `Slots`: requests that a runner works on at a time.
    pub slots: u32,
    /// `KvCapacity`: tokens that its KV cache holds; 0 if unknown.
    pub kv_capacity: u64,
    /// `KvTokenBytes`: bytes of memory that a token takes; 0 if unknown.
    pub kv_token_bytes: u64,
    /// `LinkMbps`: bandwidth of its link in megabits a second; 0 if unknown.
    pub link_mbps: f64,
    /// `stride`: tokens in an event of a stream; 0 if unknown.
    pub stride: u32,
    /// `Models`: the names of its models.
    pub models: Vec<CompactString>,
}

/// What clients may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// `MaxHeaderBytes` of a request.
    pub max_header_bytes: u64,
    /// `MaxBodyBytes` of a request.
    pub max_body_bytes: u64,
    /// `HeaderTimeoutMs`: for the headers of a request.
    pub header_timeout_ms: u64,
    /// `IdleTimeoutMs`: for a connection without a request.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl Config {
    /// Reads a body and checks it.
    ///
    /// # Errors
    /// The first fault.
    pub fn read(body: &[u8]) -> Result<Config, ConfigError> {
        let value = bounded_json::parse(body)?;
        let ParsedConfig {
            version,
            routes,
            services,
            limits,
        } = parse::parse_config(&value)?;
        let route_table = RouteTable::new(&routes);
        let named = services.iter().enumerate();
        let service_by_name = named
            .map(|(at, service)| (service.name.clone(), at))
            .collect();
        Ok(Config {
            version,
            routes,
            services,
            limits,
            route_table,
            service_by_name,
        })
    }

    /// Whether it may follow the current version.
    ///
    /// # Errors
    /// Its version is not above the current one.
    pub fn check_follows(&self, current_version: u64) -> Result<(), ConfigError> {
        if self.version > current_version {
            return Ok(());
        }
        let detail = format!(
            "is {}, and the current version is {current_version}",
            self.version
        );
        Err(ConfigError::new(ConfigFault::OldVersion, "Gen", detail))
    }

    /// The route of a request: of those of its host, the one with the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.get(self.route_table.find(host, path)?)
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(*self.service_by_name.get(name)?)
    }
}

impl Route {
    /// The service for a request, by the weights; `uniform` is drawn evenly from 0 to 1.
    pub fn pick_service(&self, uniform: f64) -> &str {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = uniform * total;
        let mut last = "";
        for target in self.targets.iter().filter(|target| target.weight > 0.0) {
            if left < target.weight {
                return &target.service;
            }
            left -= target.weight;
            last = &target.service;
        }
        // Reached by 1, by what rounding leaves over and by what is no number.
        last
    }

    /// Whether it may lead to this service now.
    pub fn routes_to(&self, service: &str) -> bool {
        self.targets
            .iter()
            .any(|target| target.service == service && target.weight > 0.0)
    }
}
