//! Which version of a service a request goes to while a roll-out is under way, and what is seen of
//! both versions.
//!
//! Runners of a service stand in up to three pools, which runner selection knows as services of
//! their own, so that neither learns from the other: the base, the new version, and runners of the
//! new version that take no part yet (or any more). Decides nothing by itself: the shares come from
//! the controllers, and end without them.

use crate::proxy::in_flight::AttemptOutcome;
use compact_str::{format_compact, CompactString};
use relay_tree::Stamp;
use replicated_state::{
    runner_hash, AnswerCounts, RolloutEntry, RolloutReport, RolloutState, RouteReport, FULL_SHARE,
    MAX_REPORTED_ROUTES, ROLLOUT_LEASE_MS,
};
use runner_registry::Runner;
use std::collections::HashMap;

/// Services of which roll-outs are kept at most.
const MAX_ROLLOUTS: usize = 1_000;
/// An answer that takes so many times as long as the old version's do is slow.
const SLOW_FACTOR: f64 = 2.5;
/// The same for its first event, where a cold prefix cache makes a difference too.
const SLOW_FIRST_FACTOR: f64 = 6.0;
/// Never slow: a first event within so many milliseconds of the usual.
const FIRST_EVENT_SLACK_MS: f64 = 100.0;
/// Nothing is called slow before so many answers of the old version have shown what is usual.
const MIN_BASELINE: f64 = 10.0;
/// So many answers the usual times remember.
const BASELINE_MEMORY: f64 = 100.0;
/// Answers of fewer tokens are measured from start to end.
const MIN_TOKENS: u32 = 20;

/// A pool of a service's runners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionPool {
    /// All but the new version.
    Base,
    /// The new version.
    Target,
    /// Runners of the new version that get nothing.
    Standby,
}

impl VersionPool {
    /// The name under which runner selection knows the pool. A control character keeps it apart
    /// from services, whose names have none.
    pub fn service(self, service: &str) -> CompactString {
        match self {
            VersionPool::Base => service.into(),
            VersionPool::Target => format_compact!("{service}\u{1}target"),
            VersionPool::Standby => format_compact!("{service}\u{1}standby"),
        }
    }
}

/// What the draw of a version goes by.
#[derive(Debug, Clone, Copy)]
pub struct DrawnRequest<'a> {
    /// The request's own id: the same at each attempt, random among requests.
    pub id: &'a [u8],
    /// What was attempted before goes to the old version, unless all goes to the new one.
    pub is_first_attempt: bool,
}

/// An attempt whose answer counts for the roll-out of its service.
#[derive(Debug, Clone)]
pub struct ObservedAttempt {
    service: CompactString,
    rollout: u64,
    route: CompactString,
    pool: VersionPool,
    started_at: u64,
    first_event_at: Option<u64>,
    tokens_out: u32,
}

impl ObservedAttempt {
    /// The first event of its answer, or the head of one that is no stream.
    pub fn first_event(&mut self, now: u64) {
        self.first_event_at.get_or_insert(now);
    }
}

/// A mean that forgets.
#[derive(Debug, Clone, Copy, Default)]
struct Baseline {
    mean: f64,
    count: f64,
}

impl Baseline {
    fn add(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(BASELINE_MEMORY);
        self.mean += (value - self.mean) / self.count;
    }

    fn is_exceeded(&self, value: f64, factor: f64, slack: f64) -> bool {
        self.count >= MIN_BASELINE && value > self.mean * factor + slack
    }
}

/// What was seen on one route.
#[derive(Debug, Clone, Default)]
struct RouteEvidence {
    old: AnswerCounts,
    new: AnswerCounts,
    /// Milliseconds for each token behind the first event, of the old version.
    per_token_ms: Baseline,
    /// Milliseconds from the start of an attempt to its end, of the old version.
    total_ms: Baseline,
    /// Milliseconds to the first event, of the old version.
    first_event_ms: Baseline,
}

impl RouteEvidence {
    fn record(&mut self, now: u64, attempt: &ObservedAttempt, failed: bool) {
        let is_slow = !failed && self.is_slow(now, attempt);
        let counts = match attempt.pool {
            VersionPool::Base => &mut self.old,
            VersionPool::Target | VersionPool::Standby => &mut self.new,
        };
        counts.answers = counts.answers.saturating_add(1);
        counts.bad = counts.bad.saturating_add(u32::from(failed || is_slow));
    }

    /// Compares an answer with what is usual, and learns from those of the old version.
    fn is_slow(&mut self, now: u64, attempt: &ObservedAttempt) -> bool {
        let first = attempt.first_event_at.unwrap_or(now);
        let first_ms = first.saturating_sub(attempt.started_at) as f64;
        let (baseline, value) = if attempt.tokens_out >= MIN_TOKENS {
            let rest_ms = now.saturating_sub(first) as f64;
            (
                &mut self.per_token_ms,
                rest_ms / f64::from(attempt.tokens_out),
            )
        } else {
            let total_ms = now.saturating_sub(attempt.started_at) as f64;
            (&mut self.total_ms, total_ms)
        };
        let is_slow = baseline.is_exceeded(value, SLOW_FACTOR, 0.0)
            || self
                .first_event_ms
                .is_exceeded(first_ms, SLOW_FIRST_FACTOR, FIRST_EVENT_SLACK_MS);
        if attempt.pool == VersionPool::Base {
            baseline.add(value);
            self.first_event_ms.add(first_ms);
        }
        is_slow
    }
}

/// The roll-out of one service.
#[derive(Debug)]
struct ServiceRollout {
    stamp: Stamp,
    entry: RolloutEntry,
    received_at: u64,
    routes: HashMap<CompactString, RouteEvidence>,
}

impl ServiceRollout {
    /// The share of requests for the new version now, in millionths. Once all requests go there it
    /// stays so without renewals: the end may be committed, and the old runners stopped, before it
    /// is received here.
    fn share(&self, now: u64) -> u32 {
        let is_stale = now.saturating_sub(self.received_at) > ROLLOUT_LEASE_MS;
        match self.entry.state {
            RolloutState::Complete => FULL_SHARE,
            RolloutState::Reverted => 0,
            RolloutState::Rolling if is_stale && self.entry.share < FULL_SHARE => 0,
            RolloutState::Rolling => self.entry.share,
        }
    }

    fn pool_of(&self, runner: &Runner) -> VersionPool {
        if runner.software_version != self.entry.target {
            return VersionPool::Base;
        }
        match self.entry.state {
            RolloutState::Complete => VersionPool::Target,
            RolloutState::Reverted => VersionPool::Standby,
            RolloutState::Rolling if runner_hash(&runner.id) <= self.entry.max_runner_hash => {
                VersionPool::Target
            }
            RolloutState::Rolling => VersionPool::Standby,
        }
    }
}

/// The roll-outs of all services.
#[derive(Debug, Default)]
pub struct VersionRollouts {
    by_service: HashMap<CompactString, ServiceRollout>,
}

impl VersionRollouts {
    /// Takes an entry of the controllers. False if it is older than what is known.
    pub fn apply(&mut self, now: u64, service: &str, stamp: Stamp, entry: RolloutEntry) -> bool {
        if let Some(known) = self.by_service.get_mut(service) {
            if stamp < known.stamp {
                return false;
            }
            if stamp.0 != known.stamp.0 {
                known.routes.clear();
            }
            (known.stamp, known.entry, known.received_at) = (stamp, entry, now);
            return true;
        }
        if self.by_service.len() >= MAX_ROLLOUTS {
            return false;
        }
        let rollout = ServiceRollout {
            stamp,
            entry,
            received_at: now,
            routes: HashMap::new(),
        };
        self.by_service.insert(service.into(), rollout);
        true
    }

    /// The pool in which a runner stands.
    pub fn pool_of(&self, runner: &Runner) -> VersionPool {
        let rollout = self.by_service.get(&runner.service);
        rollout.map_or(VersionPool::Base, |rollout| rollout.pool_of(runner))
    }

    /// The share of a service's requests for the new version now, in millionths.
    pub fn share(&self, now: u64, service: &str) -> u32 {
        let rollout = self.by_service.get(service);
        rollout.map_or(0, |rollout| rollout.share(now))
    }

    /// The pool for a request: that of the version that is drawn for it, or the old one where the
    /// new version has no runner. Never the other way round: a new version gets no more than its
    /// share, whatever becomes of the old runners.
    pub fn pool_for(
        &self,
        now: u64,
        service: &str,
        request: DrawnRequest<'_>,
        has_runner: impl Fn(VersionPool) -> bool,
    ) -> VersionPool {
        let share = self.share(now, service);
        let drawn = || {
            let id = String::from_utf8_lossy(request.id);
            (runner_hash(&id) % u64::from(FULL_SHARE)) as u32
        };
        let is_drawn = request.is_first_attempt && share > 0 && drawn() < share;
        let is_target = share >= FULL_SHARE || is_drawn;
        if is_target && (has_runner(VersionPool::Target) || !has_runner(VersionPool::Base)) {
            VersionPool::Target
        } else {
            VersionPool::Base
        }
    }

    /// An attempt begins; none where nothing has to be learned of it.
    pub fn observe(
        &self,
        now: u64,
        service: &str,
        route: &str,
        pool: VersionPool,
        tokens_out: u32,
    ) -> Option<ObservedAttempt> {
        let rollout = self.by_service.get(service)?;
        (rollout.entry.state == RolloutState::Rolling).then(|| ObservedAttempt {
            service: service.into(),
            rollout: rollout.stamp.0,
            route: route.into(),
            pool,
            started_at: now,
            first_event_at: None,
            tokens_out,
        })
    }

    /// An attempt has ended. What says nothing of the version (no connection, no room, a client
    /// that left) doesn't count.
    pub fn record(&mut self, now: u64, attempt: &ObservedAttempt, outcome: AttemptOutcome) {
        let failed = match outcome {
            AttemptOutcome::Completed => false,
            AttemptOutcome::Failed | AttemptOutcome::Broken | AttemptOutcome::TimedOut => true,
            AttemptOutcome::Rejected
            | AttemptOutcome::Misdirected
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::NotSent
            | AttemptOutcome::Abandoned => return,
        };
        let rollout = self.by_service.get_mut(&attempt.service);
        let Some(rollout) = rollout.filter(|rollout| rollout.stamp.0 == attempt.rollout) else {
            return;
        };
        let is_full = rollout.routes.len() >= MAX_REPORTED_ROUTES;
        if is_full && !rollout.routes.contains_key(&attempt.route) {
            return;
        }
        let evidence = rollout.routes.entry(attempt.route.clone()).or_default();
        evidence.record(now, attempt, failed);
    }

    /// Services whose roll-out is under way, each with whom to report to.
    pub fn reports(
        &self,
        now: u64,
        old_in_flight: impl Fn(&str) -> u32,
    ) -> Vec<(std::net::SocketAddr, RolloutReport)> {
        let rolling = self.by_service.iter().filter(|(_, rollout)| {
            rollout.entry.state == RolloutState::Rolling
                && now.saturating_sub(rollout.received_at) <= ROLLOUT_LEASE_MS
        });
        let report = |(service, rollout): (&CompactString, &ServiceRollout)| {
            let routes = rollout.routes.iter().map(|(route, seen)| RouteReport {
                route: route.clone(),
                old: seen.old,
                new: seen.new,
            });
            let report = RolloutReport {
                service: service.clone(),
                rollout: rollout.stamp.0,
                share: rollout.share(now),
                old_in_flight: old_in_flight(service),
                routes: routes.collect(),
            };
            (rollout.entry.report_to, report)
        };
        rolling.map(report).collect()
    }
}
