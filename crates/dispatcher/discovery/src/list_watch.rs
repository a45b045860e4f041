//! The watch on the endpoint list: when calls follow each other, and what becomes of their answers.

use crate::client::{
    change_wait, CallError, Connection, Delivery, WatchCall, WatchStage, AGENT_RETRY_PAUSE,
};
use crate::{EndpointMapper, Findings, ListCheck, ListSource};
use dispatch_api::{DiscoveryFailure, Micros};
use dispatcher_settings::list::TargetList;
use dispatcher_state::{Anomaly, Input};
use event_loop::{LogRateLimiter, LoopHandle};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tracing::{debug, warn};

/// Pause after an answer that came early and told nothing, so that such answers can't make a storm of
/// calls. Discovery continues a watch if the next call comes within 200 ms.
const IDLE_PAUSE: Duration = Duration::from_millis(100);

/// Watches the endpoint list.
pub struct ListWatch {
    /// The address of discovery, which may move.
    pub addr: watch::Receiver<SocketAddr>,
    /// How lists are mapped.
    pub mapper: EndpointMapper,
    /// Where inputs go.
    pub loop_handle: Rc<LoopHandle>,
    /// Versions after which a watch is to start; with none the full list is wanted.
    pub requests: mpsc::UnboundedReceiver<Option<u64>>,
    /// How the site delivers lists.
    pub delivery: Delivery,
}

impl ListWatch {
    /// Watches each time that it is requested to, until a call fails; also, and at once, when
    /// discovery has moved: a call to its old address is dropped with its connection. Where lists are
    /// pushed, nobody requests it: it watches from the start, and again after each failure.
    pub async fn run(self) {
        let pushed = self.delivery == Delivery::Pushed;
        let mut watcher = Watcher {
            // Another discovery may count its versions in its own way: the full list comes first.
            full_list_wanted: pushed,
            config: self,
            connection: None,
            check: ListCheck::default(),
            failures: LogRateLimiter::default(),
            anomalies: BTreeMap::new(),
        };
        let mut pause = Duration::ZERO;
        loop {
            let after = tokio::select! {
                biased;
                () = moved(&mut watcher.config.addr) => {
                    watcher.discovery_moved();
                    None
                }
                () = tokio::time::sleep(pause), if pushed => None,
                after = watcher.config.requests.recv() => match after {
                    Some(after) => after.filter(|_| !watcher.full_list_wanted),
                    None => return,
                },
            };
            watcher.watch(after).await;
            pause = AGENT_RETRY_PAUSE;
        }
    }
}

/// Comes back when discovery has moved. It can't move any more once the program ends.
async fn moved(addr: &mut watch::Receiver<SocketAddr>) {
    if addr.changed().await.is_err() {
        std::future::pending().await
    }
}

/// The watch with what it keeps from one call to the next.
struct Watcher {
    config: ListWatch,
    connection: Option<Connection>,
    full_list_wanted: bool,
    check: ListCheck,
    failures: LogRateLimiter,
    anomalies: BTreeMap<Anomaly, LogRateLimiter>,
}

impl Watcher {
    fn discovery_moved(&mut self) {
        self.connection = None;
        self.full_list_wanted = true;
    }

    fn now(&self) -> Micros {
        self.config.loop_handle.clock().now()
    }

    /// Watches for changes after this version until a call fails.
    async fn watch(&mut self, mut after: Option<u64>) {
        let mut stage = WatchStage::First;
        loop {
            let addr = *self.config.addr.borrow_and_update();
            debug!(%addr, ?after, "endpoint list watched");
            let called_at = self.now();
            let call = WatchCall {
                addr,
                after,
                stage,
                delivery: self.config.delivery,
            };
            let connection = self.connection.take();
            let answer = tokio::select! {
                biased;
                () = moved(&mut self.config.addr) => {
                    self.discovery_moved();
                    (after, stage) = (None, WatchStage::First);
                    continue;
                }
                answer = call.send(connection) => answer,
            };
            match answer {
                Ok(answer) => {
                    self.connection = Some(answer.connection);
                    let list = answer.list;
                    let early = self.is_early(stage, called_at);
                    let idle = early && !list.full && list.servers.is_empty();
                    (after, stage) = (Some(list.version), WatchStage::Continued);
                    self.list_received(list, addr);
                    if idle {
                        tokio::time::sleep(IDLE_PAUSE).await;
                    }
                }
                Err(error) => return self.call_failed(&error),
            }
        }
    }

    /// Whether the answer to a call of a continued watch came long before the wait was over.
    fn is_early(&self, stage: WatchStage, called_at: Micros) -> bool {
        let wait = change_wait(stage, self.config.delivery).as_micros() as Micros;
        stage == WatchStage::Continued && self.now() - called_at < wait / 2
    }

    fn list_received(&mut self, list: TargetList, addr: SocketAddr) {
        let (version, full, entries) = (list.version, list.full, list.servers.len());
        debug!(version, full, entries, "endpoint list received");
        if self.full_list_wanted {
            self.check.discovery_moved();
            self.full_list_wanted = false;
        }
        let findings = self.check.check(&list, &self.config.mapper);
        self.report(findings);
        let input = self.config.mapper.input(list, ListSource::Discovery, addr);
        self.config.loop_handle.send_input(input);
        self.config.loop_handle.set_endpoints_known();
    }

    /// Logs and counts what is unusual about a list; each kind of it is logged once in a while.
    fn report(&mut self, findings: Findings) {
        let now = self.now();
        for (anomaly, finding) in findings {
            let limiter = self.anomalies.entry(anomaly).or_default();
            if let Some(kept_back) = limiter.record(now) {
                let (what, times) = (anomaly.as_str(), finding.count);
                let example = finding.example;
                warn!(what, times, kept_back, example, "unusual endpoint list");
            }
            let input = Input::AnomalySeen(anomaly, finding.count);
            self.config.loop_handle.send_input(input);
        }
    }

    fn call_failed(&mut self, error: &CallError) {
        match self.failures.record(self.now()) {
            Some(kept_back) => warn!(kept_back, %error, "discovery call failed"),
            None => debug!(%error, "discovery call failed"),
        }
        // One watch at a time: what was requested during this one is answered by its failure.
        while self.config.requests.try_recv().is_ok() {}
        let failure = match error {
            CallError::TimedOut(_) => DiscoveryFailure::TimedOut,
            _ => DiscoveryFailure::Failed,
        };
        self.config
            .loop_handle
            .send_input(Input::WatchFailed(failure));
    }
}
