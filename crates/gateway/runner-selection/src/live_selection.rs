//! Where a live request goes: to one of the runners with about the least cost, or it waits, or is
//! rejected.

use crate::affinity::PrefixAffinity;
use crate::balancer::Balancer;
use crate::constants::{
    MAX_ATTEMPTED, MAX_SCANNED, MAX_WAIT_MS, MEMORY, NEAR_MS, NEAR_SHARE, PANIC_SHARE,
    PATIENCE_BY_PRIORITY, PLAIN_CHOICES, REJECT_BEYOND_TARGET, RETRY_NO_RUNNER_MS, RETRY_RANGE_MS,
    RETRY_SHARE, RETRY_SPREAD, SAMPLED, WAIT_SHARE,
};
use crate::estimate::{Estimate, Query, Unavailable};
use crate::{Choice, Millis, RequestProfile, RunnerKey};

/// The latency target; without one, all the time that its client waits.
fn target(request: &RequestProfile) -> u32 {
    if request.target_ms == 0 {
        request.remaining_ms.saturating_add(request.waited_ms)
    } else {
        request.target_ms
    }
}

/// The runners that take a request, with what each would cost.
struct Candidates {
    estimates: Vec<(RunnerKey, Estimate)>,
    unavailable: Unavailable,
    /// How many were looked at.
    looked_at: usize,
}

fn least(estimates: &[(RunnerKey, Estimate)], figure: impl Fn(&Estimate) -> f64) -> f64 {
    estimates
        .iter()
        .map(|(_, estimate)| figure(estimate))
        .fold(f64::INFINITY, f64::min)
}

/// Whether even the best of full runners would be too late for this request.
fn misses_target(estimates: &[(RunnerKey, Estimate)], request: &RequestProfile) -> bool {
    let share = if request.priority == 0 {
        PATIENCE_BY_PRIORITY.0
    } else {
        PATIENCE_BY_PRIORITY.1
    };
    let patience = share * f64::from(request.remaining_ms);
    let in_time =
        REJECT_BEYOND_TARGET * f64::from(target(request).saturating_sub(request.waited_ms));
    least(estimates, |estimate| estimate.first_token_ms) > patience
        || least(estimates, |estimate| estimate.wait_ms) > in_time
}

impl Balancer {
    /// Where a live request goes now.
    pub fn choose(&mut self, now: Millis, request: &RequestProfile) -> Choice {
        let at = self.service_index(request.service.as_str());
        let service = at.and_then(|at| self.services.get_mut(at));
        let (Some(at), Some(service)) = (at, service.filter(|service| service.slots > 0.0)) else {
            return self.wait_or_reject(now, request, None);
        };
        service.target_ms += (f64::from(target(request)) - service.target_ms) / MEMORY;
        let affinity = self.affinity(now, at, request);
        let query = Query {
            now,
            at,
            request,
            affinity,
        };
        let Candidates {
            mut estimates,
            unavailable,
            looked_at,
        } = self.find_candidates(&query);
        let all_full = estimates
            .iter()
            .all(|(_, estimate)| estimate.free_slots < 1.0);
        let many_ejected = unavailable.ejected.len() as f64 > PANIC_SHARE * looked_at as f64;
        if (estimates.is_empty() && unavailable.opens_at.is_none()) || (all_full && many_ejected) {
            // An ejection is a guess. Rather than to nobody, or to the few that are left and full:
            // to the one whose ejection ends first.
            if let Some((until, runner)) = unavailable.ejected.iter().min().copied() {
                return match self.wait_or_reject(now, request, Some(until)) {
                    Choice::Wait { until } if estimates.is_empty() => Choice::Wait { until },
                    _ => Choice::Send { runner },
                };
            }
        }
        if estimates.is_empty() {
            return self.wait_or_reject(now, request, unavailable.opens_at);
        }
        if all_full && misses_target(&estimates, request) {
            // An old report is no reason to reject: else no new one would ever come.
            let first_token_ms = least(&estimates, |estimate| estimate.first_token_ms);
            estimates.retain(|(_, estimate)| estimate.is_unknown);
            if estimates.is_empty() {
                return Choice::Reject {
                    retry_after_ms: self.retry_after(request, first_token_ms),
                };
            }
        }
        match self.sample_among_nearest(&estimates) {
            Some(runner) => Choice::Send { runner },
            None => self.wait_or_reject(now, request, unavailable.opens_at),
        }
    }

    /// The runners that take a request, and why others don't.
    fn find_candidates(&mut self, query: &Query<'_>) -> Candidates {
        let Query {
            now, at, request, ..
        } = *query;
        let pool = self.candidates(at, &query.affinity, request);
        self.eject_hung(now, &pool);
        let mut unavailable = Unavailable::default();
        let attempted = request
            .attempted
            .get(..MAX_ATTEMPTED)
            .unwrap_or(&request.attempted);
        let is_new = |key| !attempted.contains(&key);
        let mut estimates = self.estimates(query, &pool, &mut unavailable, &is_new);
        let all_full = estimates
            .iter()
            .all(|(_, estimate)| estimate.free_slots < 1.0);
        if all_full && pool.len() < self.services.get(at).map_or(0, |s| s.members.len()) {
            // A few drawn ones may all be full or ejected: one wider look.
            let wider = self.sample(at, MAX_SCANNED);
            estimates = self.estimates(query, &wider, &mut unavailable, &is_new);
        }
        if estimates.is_empty() && !attempted.is_empty() {
            estimates = self.estimates(query, &pool, &mut unavailable, &|key| !is_new(key));
        }
        Candidates {
            estimates,
            unavailable,
            looked_at: pool.len(),
        }
    }

    /// No runner takes it now: a short wait, as long as a rejection after it is not late.
    fn wait_or_reject(
        &mut self,
        now: Millis,
        request: &RequestProfile,
        opens: Option<Millis>,
    ) -> Choice {
        let until = opens
            .unwrap_or(now + MAX_WAIT_MS)
            .clamp(now + 1, now + MAX_WAIT_MS);
        let waited = f64::from(request.waited_ms) + (until - now) as f64;
        let most = if request.attempted.is_empty() {
            WAIT_SHARE * f64::from(target(request))
        } else {
            // It was offered to a runner in time: the rest of its time may be used.
            f64::from(request.waited_ms) + RETRY_SHARE * f64::from(request.remaining_ms)
        };
        if waited <= most && ((until - now) as f64) < f64::from(request.remaining_ms) {
            return Choice::Wait { until };
        }
        let opens = opens.map_or(RETRY_NO_RUNNER_MS, |at| at.saturating_sub(now) as f64);
        Choice::Reject {
            retry_after_ms: self.retry_after(request, opens),
        }
    }

    fn retry_after(&mut self, request: &RequestProfile, frees: f64) -> u64 {
        let spread = RETRY_SPREAD.0 + (RETRY_SPREAD.1 - RETRY_SPREAD.0) * self.uniform();
        let most = (RETRY_SHARE * f64::from(request.remaining_ms))
            .clamp(RETRY_RANGE_MS.0, RETRY_RANGE_MS.1);
        (frees * spread).clamp(RETRY_RANGE_MS.0, most) as u64
    }

    /// The runners to estimate.
    pub(crate) fn candidates(
        &mut self,
        at: usize,
        affinity: &PrefixAffinity,
        request: &RequestProfile,
    ) -> Vec<RunnerKey> {
        let Some(service) = self.services.get(at) else {
            return Vec::new();
        };
        if service.llm && service.members.len() <= MAX_SCANNED {
            return service.members.clone();
        }
        if !service.llm {
            return self.sample(
                at,
                PLAIN_CHOICES + request.attempted.len().min(MAX_ATTEMPTED),
            );
        }
        let mut pool: Vec<RunnerKey> = affinity.homes.iter().map(|(home, _)| *home).collect();
        pool.extend(
            affinity
                .depths
                .iter()
                .flat_map(|(id, _)| service.prefixes.holders(*id))
                .take(MAX_SCANNED),
        );
        pool.extend(self.sample(at, SAMPLED));
        pool.sort_unstable();
        pool.dedup();
        pool
    }

    /// A uniform sample of a service's runners; all where there are no more.
    pub(crate) fn sample(&mut self, at: usize, many: usize) -> Vec<RunnerKey> {
        let Some(len) = self.services.get(at).map(|s| s.members.len()) else {
            return Vec::new();
        };
        let mut places: Vec<usize> = Vec::with_capacity(many.min(len));
        if many >= len {
            places.extend(0..len);
        } else {
            // Floyd's sampling: as many draws as are wanted.
            for top in len - many..len {
                let drawn = self.below(top + 1);
                places.push(if places.contains(&drawn) { top } else { drawn });
            }
        }
        let members = self
            .services
            .get(at)
            .map(|s| s.members.as_slice())
            .unwrap_or_default();
        places
            .into_iter()
            .filter_map(|n| members.get(n).copied())
            .collect()
    }

    /// Draws one of those of about the least cost; the lower its cost, the likelier (softmin).
    fn sample_among_nearest(&mut self, found: &[(RunnerKey, Estimate)]) -> Option<RunnerKey> {
        let least = found
            .iter()
            .map(|(_, e)| e.cost_ms)
            .fold(f64::INFINITY, f64::min);
        let near = NEAR_MS.max(NEAR_SHARE * least);
        let weight = |e: &Estimate| (-(e.cost_ms - least) / near).exp();
        let all: f64 = found.iter().map(|(_, e)| weight(e)).sum();
        let mut drawn = self.uniform() * all;
        for (key, estimate) in found {
            drawn -= weight(estimate);
            if drawn <= 0.0 {
                return Some(*key);
            }
        }
        found.first().map(|(key, _)| *key)
    }
}
