//! What sending a request to a runner would cost: the expected time to the first token, and its
//! parts.

use crate::affinity::{CachedTokens, PrefixAffinity};
use crate::balancer::Balancer;
use crate::constants::{MAX_WAIT_MS, PREFILL_WEIGHT, ZONE_MS, ZONE_PER_TOKEN_MS};
use crate::health::Availability;
use crate::runner::Runner;
use crate::service::Service;
use crate::{Millis, RequestProfile, RunnerKey};

/// What sending a request to one runner would cost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimate {
    /// Expected time to the first token.
    pub(crate) first_token_ms: f64,
    /// Of that, the time until its turn comes.
    pub(crate) wait_ms: f64,
    /// With the cost for others, the zone and affinity: about the least is chosen.
    pub(crate) cost_ms: f64,
    /// Slots that are expected to be free there.
    pub(crate) free_slots: f64,
    /// It has reported nothing for long, and no attempt is in flight whose answer would.
    pub(crate) is_unknown: bool,
}

/// One look for a runner.
pub(crate) struct Query<'a> {
    pub(crate) now: Millis,
    pub(crate) at: usize,
    pub(crate) request: &'a RequestProfile,
    pub(crate) affinity: PrefixAffinity,
}

/// Why runners that were looked at don't take a request.
#[derive(Debug, Default)]
pub(crate) struct Unavailable {
    /// When the first of those opens that are in backoff or whose connections are all in use.
    pub(crate) opens_at: Option<Millis>,
    /// Those that are ejected, and until when.
    pub(crate) ejected: Vec<(Millis, RunnerKey)>,
}

/// Until when a runner is ejected for this request; none if the request may go there.
fn ejected_until(
    now: Millis,
    request: &RequestProfile,
    service: &Service,
    runner: &Runner,
) -> Option<Millis> {
    let may_probe = || {
        request.retryable
            && !request.is_last_attempt
            && (!service.llm || runner.health.allows_live_probe(now))
    };
    match runner.health.availability(now) {
        Availability::Healthy => None,
        Availability::Probe if may_probe() => None,
        Availability::Probe => Some(runner.health.ejected_until()),
        Availability::Ejected(until) => Some(until),
    }
}

impl Balancer {
    /// The runners of a pool that take a request, with what each would cost; notes why others
    /// don't.
    pub(crate) fn estimates(
        &self,
        query: &Query<'_>,
        pool: &[RunnerKey],
        unavailable: &mut Unavailable,
        wanted: &dyn Fn(RunnerKey) -> bool,
    ) -> Vec<(RunnerKey, Estimate)> {
        let Query {
            now,
            at,
            request,
            affinity,
        } = query;
        let (now, at) = (*now, *at);
        let Some(service) = self.services.get(at) else {
            return Vec::new();
        };
        let mut found = Vec::with_capacity(pool.len());
        for key in pool.iter().copied().filter(|k| wanted(*k)) {
            let Some(runner) = self.get(key).filter(|runner| runner.up) else {
                continue;
            };
            if let Some(until) = ejected_until(now, request, service, runner) {
                unavailable.ejected.push((until, key));
                continue;
            }
            let cached = self.cached_tokens(service, request, affinity, key, runner);
            let estimate = self.estimate(now, service, request, runner, cached);
            if let Some(opens_at) = self.closed_until(now, service, key, runner, &estimate) {
                let opens_at = unavailable.opens_at.map_or(opens_at, |at| at.min(opens_at));
                unavailable.opens_at = Some(opens_at);
                continue;
            }
            found.push((key, estimate));
        }
        found
    }

    /// When a runner opens whose connections are all in use or that is in backoff; none if it is
    /// open.
    fn closed_until(
        &self,
        now: Millis,
        service: &Service,
        key: RunnerKey,
        runner: &Runner,
        estimate: &Estimate,
    ) -> Option<Millis> {
        if runner.in_flight >= self.connection_limit(key) {
            return Some(now + MAX_WAIT_MS);
        }
        // A load reported since its rejection goes before the backoff: to reject a request while a
        // slot is free costs more.
        let reported_since = runner.reported.is_some_and(|load| {
            runner
                .last_rejected_at
                .is_none_or(|rejected_at| load.at > rejected_at)
        });
        let has_free_slot =
            reported_since && runner.report_is_fresh(now, service) && estimate.free_slots >= 1.0;
        (!runner.backoff.is_open(now) && !has_free_slot).then_some(runner.backoff.open_at)
    }

    /// What sending a request to this runner would cost.
    pub(crate) fn estimate(
        &self,
        now: Millis,
        service: &Service,
        request: &RequestProfile,
        runner: &Runner,
        cached: CachedTokens,
    ) -> Estimate {
        let (load, tokens) = (runner.load(now, service), service.prompt_tokens(request));
        let room = runner.slots - load;
        let frees = service.run_ms.mean / runner.slots;
        let mut queue = ((load + 1.0 - runner.slots) * frees).max(0.0);
        if service.llm {
            // Beyond its KV cache it waits for runs to end, or preempts others.
            let memory = runner.memory_share(now, service, service.total_tokens(request));
            queue += (memory - 1.0).max(0.0) * service.run_ms.mean;
        }
        let ahead = (runner.prefill_until - now as f64).max(0.0) + runner.overdue_ms(now);
        // A plain answer comes at once; its first byte is its last.
        let serve = if service.llm {
            service.prefill.base_ms
        } else {
            service.run_ms.mean
        };
        // Each request beside it slows it a little: a decoding step takes longer.
        let beside = serve * (load / runner.slots).min(1.0);
        let pace = runner.pace_at(now);
        let first =
            queue + ahead + pace * (serve + beside + service.prefill_ms(tokens - cached.likely));
        let zone = if runner.in_own_zone {
            0.0
        } else {
            ZONE_MS + ZONE_PER_TOKEN_MS * tokens
        };
        let read = service.prefill_ms(tokens - cached.for_affinity) * PREFILL_WEIGHT;
        let cost = queue + ahead + pace * (serve + beside + read) + zone;
        Estimate {
            first_token_ms: first,
            wait_ms: queue + ahead,
            cost_ms: cost,
            free_slots: room,
            is_unknown: runner.is_unknown(now, service),
        }
    }
}
