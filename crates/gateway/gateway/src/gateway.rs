//! What all parts of the process share.

use crate::client::memory_budget::Memory;
use crate::client::request::Request;
use crate::codes;
use crate::control::Control;
use crate::counters::Counters;
use crate::items::Items;
use crate::readiness::Readiness;
use crate::selection::selector::RunnerSelector;
use crate::shutdown;
use batch::wire::PlacementMap;
use http1::{Connections, Phase};
use hyper::http::response::Parts;
use peer_transport::Transport;
use route_config::Config;
use slog::{warn, Logger};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use structured_log::RateLimiter;
use tier_settings::Settings;
use tokio::sync::{watch, Notify};
use tokio::time::{Duration, Instant};

/// Steady milliseconds since the process started; never 0, which some tables take for never.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// It starts now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Now.
    pub fn now(&self) -> u64 {
        self.0.elapsed().as_millis() as u64 + 1
    }

    /// The moment of such a time.
    pub fn instant(&self, ms: u64) -> Instant {
        self.0 + Duration::from_millis(ms.saturating_sub(1).min(FAR_MS))
    }
}

/// A moment beyond all that is waited for.
const FAR_MS: u64 = 365 * 86_400_000;

/// The process.
pub struct Gateway {
    /// Where its lines go.
    pub log: Logger,
    /// Its clock.
    pub clock: Clock,
    /// Drawn at its start: the holder of its items.
    pub id: u64,
    /// The settings that are in force.
    pub settings: RefCell<Rc<Settings>>,
    /// The configuration that is in force.
    pub config: RefCell<Option<Rc<Config>>>,
    /// Which runner, and the connections to them.
    pub selector: RunnerSelector,
    /// What the control plane tells.
    pub control: Control,
    /// Items of batch jobs that are held here.
    pub items: Items,
    /// Clients' connections.
    pub connections: Rc<Connections>,
    /// What clients' bodies may take.
    pub memory: Memory,
    /// What happened.
    pub counts: Counters,
    /// Connections to the other processes.
    pub links: Rc<Transport>,
    /// Which stores keep which batch jobs.
    pub map: RefCell<Option<Rc<PlacementMap>>>,
    /// The map, the configuration or the phase has changed.
    pub changed: Notify,
    /// How far it is.
    pub phase: watch::Sender<Phase>,
    /// When SIGTERM came.
    pub stopped: Cell<Option<u64>>,
    /// It was ready once.
    pub was_ready: Cell<bool>,
    /// It has a settings file, to be looked at again.
    pub reads_settings: Cell<bool>,
    /// Lines that would repeat.
    pub rarely: RefCell<RateLimiter<&'static str>>,
}

impl Gateway {
    /// The configuration that is in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// The map of the stores.
    pub fn map(&self) -> Option<Rc<PlacementMap>> {
        self.map.borrow().clone()
    }

    /// Comes back once the map names another store than this one.
    pub async fn moved(
        &self,
        named: impl Fn(&PlacementMap) -> Option<SocketAddr>,
        from: SocketAddr,
    ) {
        loop {
            let changed = self.changed.notified();
            if self
                .map()
                .as_deref()
                .and_then(&named)
                .is_some_and(|now| now != from)
            {
                return;
            }
            changed.await;
        }
    }

    /// What is left for a request's answer: its client's patience, what the route allows, and what this process has left.
    pub fn left_ms(&self, request: &Request, timeout_ms: u64, now: u64) -> u64 {
        let left = request.left_ms(now, timeout_ms);
        match self.stopped.get() {
            None => left,
            Some(at) => {
                let grace = self.settings.borrow().bounds.grace_ms;
                left.min(shutdown::response_time_left(now.saturating_sub(at), grace))
            }
        }
    }

    /// The longest that a request may be under way from its coming on.
    pub fn longest_ms(&self, request: &Request) -> u64 {
        let config = self.config.borrow();
        let route = config
            .as_ref()
            .and_then(|c| c.route(&request.host, request.target.path()));
        request.left_ms(request.came, route.map_or(0, |route| route.timeout_ms))
    }

    /// Whether it was told to stop.
    pub fn stopping(&self) -> bool {
        self.stopped.get().is_some()
    }

    /// Whether clients may come.
    pub fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let readiness = Readiness {
            configured: self.config.borrow().is_some(),
            age_ms: self.control.age(now),
            runners: self.selector.has_runners(),
            state_table_complete_at: self.control.state_table_complete_at(),
            stopping: self.stopping(),
            was_ready: self.was_ready.get(),
        };
        let ready = readiness.judge(now);
        if ready {
            self.was_ready.set(true);
        }
        ready
    }

    /// A line about something that may repeat.
    pub fn log_rate_limited(&self, what: &'static str, write: impl FnOnce(u64)) {
        if let Some(left_out) = self.rarely.borrow_mut().check(self.clock.now(), what) {
            write(left_out);
        }
    }

    /// A runner's answer that can't be passed on.
    pub fn log_unexpected_response(
        &self,
        what: &'static str,
        key: crate::selection::selector::Key,
        head: &Parts,
    ) {
        self.log_rate_limited(what, |left_out| {
            let names: Vec<&str> = head.headers.keys().map(|name| name.as_str()).take(12).collect();
            warn!(self.log, "{}", what; "code" => codes::UNEXPECTED_RESPONSE, "runner" => self.selector.name(key).as_str(),
                "status" => head.status.as_u16(), "headers" => names.join(","), "left_out" => left_out);
        });
    }
}
