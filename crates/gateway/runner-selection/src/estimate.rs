//! What sending a request to a runner would cost: the expected time to the first token, and its parts.

use crate::affinity::{CachedTokens, PrefixAffinity};
use crate::balancer::Balancer;
use crate::constants::{READ_WEIGHT, WAIT_MOST_MS, ZONE_MS, ZONE_PER_TOKEN_MS};
use crate::health::Availability;
use crate::runner::Runner;
use crate::service::Service;
use crate::{Millis, RequestProfile, RunnerKey};

/// What sending it to one runner would mean.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimate {
    /// Time to the first token.
    pub(crate) first_token_ms: f64,
    /// ... of it until its turn comes.
    pub(crate) wait_ms: f64,
    /// ... with what is laid on others, and what steers: the least is chosen.
    pub(crate) cost_ms: f64,
    /// Slots that seem free there.
    pub(crate) free_slots: f64,
    /// It has said nothing for long, and nothing is under way that would make it.
    pub(crate) is_unknown: bool,
}

/// One request's query.
pub(crate) struct Query<'a> {
    pub(crate) now: Millis,
    pub(crate) at: usize,
    pub(crate) request: &'a RequestProfile,
    pub(crate) affinity: PrefixAffinity,
}

/// Why none of the runners that were looked at takes it.
#[derive(Debug, Default)]
pub(crate) struct Unavailable {
    /// The first to open of those whose backoffs are unavailable or whose connections are all in use.
    pub(crate) opens_at: Option<Millis>,
    /// Those avoided, and until when.
    pub(crate) ejected: Vec<(Millis, RunnerKey)>,
}

impl Balancer {
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
            match runner.health.availability(now) {
                Availability::Healthy => {}
                Availability::Probe
                    if request.retryable
                        && !request.is_last_attempt
                        && (!service.llm || runner.health.allows_live_probe(now)) => {}
                Availability::Probe => {
                    unavailable
                        .ejected
                        .push((runner.health.ejected_until(), key));
                    continue;
                }
                Availability::Ejected(until) => {
                    unavailable.ejected.push((until, key));
                    continue;
                }
            }
            let estimate = self.estimate(
                now,
                service,
                request,
                runner,
                self.cached_tokens(service, request, affinity, key, runner),
            );
            let full = runner.in_flight >= self.connection_limit(key);
            // What it told since its refusal goes before the backoff: a refusal while it has room costs
            // more.
            let since = runner
                .reported
                .is_some_and(|t| runner.last_rejected_at.is_none_or(|refused| t.at > refused));
            let told_room =
                since && runner.report_is_fresh(now, service) && estimate.free_slots >= 1.0;
            if full || (!runner.backoff.is_open(now) && !told_room) {
                let opens = if full {
                    now + WAIT_MOST_MS
                } else {
                    runner.backoff.open_at
                };
                unavailable.opens_at = Some(unavailable.opens_at.map_or(opens, |u| u.min(opens)));
                continue;
            }
            found.push((key, estimate));
        }
        found
    }

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
            // Beyond its memory it waits for runs to end, or preempts others.
            let memory = runner.memory_share(now, service, service.total_tokens(request));
            queue += (memory - 1.0).max(0.0) * service.run_ms.mean;
        }
        let ahead = (runner.prefill_until - now as f64).max(0.0) + runner.overdue_ms(now);
        // A plain answer comes whole; its first byte is its last.
        let serve = if service.llm {
            service.prefill.base_ms
        } else {
            service.run_ms.mean
        };
        // Each of those beside it slows it a little: a step takes longer, a worker that is nearly full does.
        let beside = serve * (load / runner.slots).min(1.0);
        let pace = runner.pace_at(now);
        let first =
            queue + ahead + pace * (serve + beside + service.prefill_ms(tokens - cached.likely));
        let zone = if runner.in_own_zone {
            0.0
        } else {
            ZONE_MS + ZONE_PER_TOKEN_MS * tokens
        };
        let read = service.prefill_ms(tokens - cached.for_affinity) * READ_WEIGHT;
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
