//! Which runners are likely to have the parts of a prompt in their KV cache.
//!
//! A long shared part has homes by rendezvous hashing, the same at every dispatcher, and a home
//! that is much fuller than the others is skipped (consistent hashing with bounded loads: Mirrokni,
//! Thorup and Zadimoghaddam, 2018). Beside them counts where this dispatcher sent a part lately.

use crate::balancer::Balancer;
use crate::constants::{
    AFFINITY_MIN_MS, HOLDER_AFFINITY, HOLDER_HIT_RATE, HOME_BOUND, HOME_SLACK, MAX_PROMPT_PARTS,
    MIN_PART_TOKENS, RETAINED_SHARE, SESSION_SHARE,
};
use crate::health::Availability;
use crate::prefix_table::PrefixTable;
use crate::runner::Runner;
use crate::service::Service;
use crate::{Millis, RequestProfile, RunnerKey};

/// Where a request should go by the parts of its prompt.
#[derive(Debug, Default)]
pub(crate) struct PrefixAffinity {
    /// Homes that accept it, and the tokens up to the end of the part.
    pub(crate) homes: Vec<(RunnerKey, f64)>,
    /// Ids of the parts that are remembered, and the tokens up to the end of each.
    pub(crate) depths: Vec<(u64, f64)>,
}

/// Tokens of a prompt that a runner has in its KV cache.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CachedTokens {
    /// Expected, by what was sent there and by the hit rate of homes.
    pub(crate) likely: f64,
    /// Depth that is expected only since the runner is the home, by other dispatchers' requests.
    pub(crate) at_home: f64,
    /// As if homes always hit, so that copies of a part come together.
    pub(crate) for_affinity: f64,
}

impl Balancer {
    /// The parts of a prompt that are worth steering by, and the homes that accept it.
    pub(crate) fn affinity(
        &mut self,
        now: Millis,
        at: usize,
        request: &RequestProfile,
    ) -> PrefixAffinity {
        let mut affinity = PrefixAffinity::default();
        let epoch = self.epoch;
        let Some(mut parts) = self
            .services
            .get_mut(at)
            .map(|service| std::mem::take(&mut service.prefixes))
        else {
            return affinity;
        };
        if let Some(service) = self.services.get(at).filter(|s| s.llm) {
            let up = || {
                let members = service.members.iter();
                members
                    .filter_map(|k| Some((self.get(*k).filter(|runner| runner.up)?.hash, *k)))
                    .collect()
            };
            let mut depth = 0.0;
            for (n, (id, tokens)) in request
                .prompt_parts
                .iter()
                .take(MAX_PROMPT_PARTS)
                .enumerate()
            {
                depth += f64::from(*tokens);
                let own = n + 1 == request.prompt_parts.len()
                    && parts.recurring_share < SESSION_SHARE
                    && !parts.is_known(*id);
                if own || *tokens < MIN_PART_TOKENS {
                    continue;
                }
                affinity.depths.push((*id, depth));
                if service.prefill_ms(f64::from(*tokens)) < AFFINITY_MIN_MS {
                    continue;
                }
                // A session continues where it was, home or not.
                if n + 1 == request.prompt_parts.len() && parts.holders(*id).next().is_some() {
                    continue;
                }
                let homes = parts.homes(*id, now, epoch, &up);
                if let Some(home) = homes.iter().find(|k| self.home_accepts(now, service, **k)) {
                    affinity.homes.push((*home, depth));
                }
            }
        }
        if let Some(service) = self.services.get_mut(at) {
            service.prefixes = parts;
        }
        affinity
    }

    /// Bounded load: a home that is much fuller than the others is skipped.
    fn home_accepts(&self, now: Millis, service: &Service, key: RunnerKey) -> bool {
        let Some(runner) = self.get(key) else {
            return false;
        };
        let mean = (service.load_by_others(now)
            + f64::from(service.in_flight) / service.slots.max(1.0))
            * runner.slots;
        let bound = (HOME_BOUND * mean + HOME_SLACK * runner.slots).max(1.0);
        runner.health.availability(now) == Availability::Healthy
            && !runner.is_hung(now)
            && runner.load(now, service) <= bound
            && runner.memory_share(now, service, 0.0) < 1.0
    }

    /// The cached tokens of a prompt at a runner.
    pub(crate) fn cached_tokens(
        &self,
        service: &Service,
        request: &RequestProfile,
        affinity: &PrefixAffinity,
        key: RunnerKey,
        runner: &Runner,
    ) -> CachedTokens {
        let mut cached = CachedTokens::default();
        let held = |parts: &PrefixTable, id| {
            let read = parts.holder(id, key)?;
            // Other dispatchers have it prefill as much as this one does; the oldest parts are
            // evicted.
            let since = (runner.prefilled_tokens - read) * self.dispatchers;
            Some(
                service
                    .kv_capacity
                    .is_none_or(|size| since < RETAINED_SHARE * size),
            )
        };
        for (id, depth) in &affinity.depths {
            if held(&service.prefixes, *id) == Some(true) {
                cached.likely = cached.likely.max(HOLDER_HIT_RATE * depth);
                cached.for_affinity = cached.for_affinity.max(HOLDER_AFFINITY * depth);
            }
        }
        for (_, depth) in affinity.homes.iter().filter(|(home, _)| *home == key) {
            let trusted = service.prefixes.home_hit_rate * depth;
            if trusted > cached.likely {
                (cached.likely, cached.at_home) = (trusted, *depth);
            }
            cached.for_affinity = cached.for_affinity.max(*depth);
        }
        let all = service.prompt_tokens(request);
        cached.likely = cached.likely.min(all);
        cached.for_affinity = cached.for_affinity.min(all);
        cached
    }
}
