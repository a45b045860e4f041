//! Where a live request goes.

use crate::constants::{
    DRAWN, HOLDER_STEER, HOLDER_SURE, HOME_BOUND, HOME_SLACK, KEPT_SHARE, LATE_TIMES, LEAST_PART,
    MAX_PROMPT_PARTS, MAX_TRIED, MEMORY, NEAR_MS, NEAR_SHARE, PANIC_SHARE, PATIENCE, PLAIN_CHOICES,
    READ_WEIGHT, RETRY_NOBODY_MS, RETRY_RANGE_MS, RETRY_SHARE, RETRY_SPREAD, SCAN, SESSIONS,
    STEER_MS, WAIT_MOST_MS, WAIT_SHARE, ZONE_MS, ZONE_PER_TOKEN_MS,
};
use crate::engines::Balancer;
use crate::health::Availability;
use crate::parts::PrefixTable;
use crate::runner::Runner;
use crate::service::Service;
use crate::{Choice, Millis, RequestProfile, RunnerKey};

/// What sending it to one runner would mean.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimate {
    /// Time to the first token.
    pub(crate) first_token_ms: f64,
    /// ... of it until its turn comes.
    wait_ms: f64,
    /// ... with what is laid on others, and what steers: the least is chosen.
    cost_ms: f64,
    /// Slots that seem free there.
    free_slots: f64,
    /// It has said nothing for long, and nothing is under way that would make it.
    is_unknown: bool,
}

/// What the parts of a prompt say of where it should go.
#[derive(Debug, Default)]
pub(crate) struct PrefixAffinity {
    /// Homes that are fit for it, and the tokens up to the end of the part.
    homes: Vec<(RunnerKey, f64)>,
    /// Ids of the parts that are worth remembering, and the tokens up to the end of each.
    depths: Vec<(u64, f64)>,
}

/// Tokens that a runner has of a prompt.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CachedTokens {
    /// By what is likely there now.
    pub(crate) likely: f64,
    /// ... of it by the others' requests alone.
    pub(crate) at_home: f64,
    /// As it should be, so that copies come together.
    for_affinity: f64,
}

/// One request's question.
struct Query<'a> {
    now: Millis,
    at: usize,
    want: &'a RequestProfile,
    steering: PrefixAffinity,
}

/// Why none of the runners that were looked at takes it.
#[derive(Debug, Default)]
struct Unavailable {
    /// The first to open of those whose sleepers are shut or whose connections are all in use.
    opens_at: Option<Millis>,
    /// Those avoided, and until when.
    ejected: Vec<(Millis, RunnerKey)>,
}

/// The objective; a route without one has all the time that its client waits.
fn target(want: &RequestProfile) -> u32 {
    if want.target_ms == 0 {
        want.remaining_ms.saturating_add(want.waited_ms)
    } else {
        want.target_ms
    }
}

impl Balancer {
    /// Where a live request goes now.
    pub fn choose(&mut self, now: Millis, want: &RequestProfile) -> Choice {
        let known = self
            .service_index(want.service.as_str())
            .filter(|at| self.services.get(*at).is_some_and(|s| s.slots > 0.0));
        let Some(at) = known else {
            return self.wait_or_reject(now, want, None);
        };
        let Some(svc) = self.services.get_mut(at) else {
            return self.wait_or_reject(now, want, None);
        };
        svc.target_ms += (f64::from(target(want)) - svc.target_ms) / MEMORY;
        let steering = self.affinity(now, at, want);
        let pool = self.candidates(at, &steering, want);
        let question = Query {
            now,
            at,
            want,
            steering,
        };
        self.eject_hung(now, &pool);
        let mut shut = Unavailable::default();
        let tried = want.attempted.get(..MAX_TRIED).unwrap_or(&want.attempted);
        let mut found = self.estimates(&question, &pool, &mut shut, &|key| !tried.contains(&key));
        if found.iter().all(|(_, e)| e.free_slots < 1.0)
            && pool.len() < self.services.get(at).map_or(0, |s| s.members.len())
        {
            // A few drawn ones may all be full or out: one wider look.
            let wider = self.sample(at, SCAN);
            found = self.estimates(&question, &wider, &mut shut, &|key| !tried.contains(&key));
        }
        if found.is_empty() && !tried.is_empty() {
            found = self.estimates(&question, &pool, &mut shut, &|key| tried.contains(&key));
        }
        let crowded = found.iter().all(|(_, e)| e.free_slots < 1.0);
        let many_out = shut.ejected.len() as f64 > PANIC_SHARE * pool.len() as f64;
        if (found.is_empty() && shut.opens_at.is_none()) || (crowded && many_out) {
            // Trouble is a guess. Rather than nobody, or the few that are left and full: whose time is
            // up first.
            if let Some((until, runner)) = shut.ejected.iter().min().copied() {
                return match self.wait_or_reject(now, want, Some(until)) {
                    Choice::Wait { until } if found.is_empty() => Choice::Wait { until },
                    _ => Choice::Send { runner },
                };
            }
        }
        if found.is_empty() {
            return self.wait_or_reject(now, want, shut.opens_at);
        }
        let least = found
            .iter()
            .map(|(_, e)| e.first_token_ms)
            .fold(f64::INFINITY, f64::min);
        let patience = if want.priority == 0 {
            PATIENCE.0
        } else {
            PATIENCE.1
        } * f64::from(want.remaining_ms);
        let wait = found
            .iter()
            .map(|(_, e)| e.wait_ms)
            .fold(f64::INFINITY, f64::min);
        let in_time = LATE_TIMES * f64::from(target(want).saturating_sub(want.waited_ms));
        let room = found.iter().any(|(_, e)| e.free_slots >= 1.0);
        if !room && (least > patience || wait > in_time) {
            // What was said long ago is no reason to refuse, and nobody would ever say anything new.
            found.retain(|(_, e)| e.is_unknown);
            if found.is_empty() {
                return Choice::Reject {
                    retry_after_ms: self.retry_after(want, least),
                };
            }
        }
        match self.sample_among_nearest(&found) {
            Some(runner) => Choice::Send { runner },
            None => self.wait_or_reject(now, want, shut.opens_at),
        }
    }

    /// Nobody takes it now: a short wait, while that is no late refusal.
    fn wait_or_reject(
        &mut self,
        now: Millis,
        want: &RequestProfile,
        opens: Option<Millis>,
    ) -> Choice {
        let until = opens
            .unwrap_or(now + WAIT_MOST_MS)
            .clamp(now + 1, now + WAIT_MOST_MS);
        let waited = f64::from(want.waited_ms) + (until - now) as f64;
        let most = if want.attempted.is_empty() {
            WAIT_SHARE * f64::from(target(want))
        } else {
            // It was offered to a runner in time: what is left may be used.
            f64::from(want.waited_ms) + RETRY_SHARE * f64::from(want.remaining_ms)
        };
        if waited <= most && ((until - now) as f64) < f64::from(want.remaining_ms) {
            return Choice::Wait { until };
        }
        let opens = opens.map_or(RETRY_NOBODY_MS, |at| at.saturating_sub(now) as f64);
        Choice::Reject {
            retry_after_ms: self.retry_after(want, opens),
        }
    }

    fn retry_after(&mut self, want: &RequestProfile, frees: f64) -> u64 {
        let spread = RETRY_SPREAD.0 + (RETRY_SPREAD.1 - RETRY_SPREAD.0) * self.uniform();
        let most =
            (RETRY_SHARE * f64::from(want.remaining_ms)).clamp(RETRY_RANGE_MS.0, RETRY_RANGE_MS.1);
        (frees * spread).clamp(RETRY_RANGE_MS.0, most) as u64
    }

    /// The parts of a prompt that are worth a way, and the homes that can take it.
    pub(crate) fn affinity(
        &mut self,
        now: Millis,
        at: usize,
        want: &RequestProfile,
    ) -> PrefixAffinity {
        let mut steering = PrefixAffinity::default();
        let epoch = self.epoch;
        let Some(mut parts) = self
            .services
            .get_mut(at)
            .map(|svc| std::mem::take(&mut svc.prefixes))
        else {
            return steering;
        };
        if let Some(svc) = self.services.get(at).filter(|s| s.llm) {
            let up = || {
                let members = svc.members.iter();
                members
                    .filter_map(|k| Some((self.get(*k).filter(|r| r.up)?.hash, *k)))
                    .collect()
            };
            let mut depth = 0.0;
            for (n, (id, tokens)) in want.prompt_parts.iter().take(MAX_PROMPT_PARTS).enumerate() {
                depth += f64::from(*tokens);
                let own = n + 1 == want.prompt_parts.len()
                    && parts.recurring_share < SESSIONS
                    && !parts.is_known(*id);
                if own || *tokens < LEAST_PART {
                    continue;
                }
                steering.depths.push((*id, depth));
                if svc.prefill_ms(f64::from(*tokens)) < STEER_MS {
                    continue;
                }
                // A session goes on where it was, home or not.
                if n + 1 == want.prompt_parts.len() && parts.holders(*id).next().is_some() {
                    continue;
                }
                let homes = parts.homes(*id, now, epoch, &up);
                if let Some(home) = homes.iter().find(|k| self.home_accepts(now, svc, **k)) {
                    steering.homes.push((*home, depth));
                }
            }
        }
        if let Some(svc) = self.services.get_mut(at) {
            svc.prefixes = parts;
        }
        steering
    }

    /// Bounded load: a home that is fuller than the others by far is passed over.
    fn home_accepts(&self, now: Millis, svc: &Service, key: RunnerKey) -> bool {
        let Some(r) = self.get(key) else { return false };
        let mean =
            (svc.load_by_others(now) + f64::from(svc.in_flight) / svc.slots.max(1.0)) * r.slots;
        let bound = (HOME_BOUND * mean + HOME_SLACK * r.slots).max(1.0);
        r.health.availability(now) == Availability::Healthy
            && !r.is_hung(now)
            && r.load(now, svc) <= bound
            && r.memory_share(now, svc, 0.0) < 1.0
    }

    /// The runners to look at.
    pub(crate) fn candidates(
        &mut self,
        at: usize,
        steering: &PrefixAffinity,
        want: &RequestProfile,
    ) -> Vec<RunnerKey> {
        let Some(svc) = self.services.get(at) else {
            return Vec::new();
        };
        if svc.llm && svc.members.len() <= SCAN {
            return svc.members.clone();
        }
        if !svc.llm {
            return self.sample(at, PLAIN_CHOICES + want.attempted.len().min(MAX_TRIED));
        }
        let mut pool: Vec<RunnerKey> = steering.homes.iter().map(|(home, _)| *home).collect();
        pool.extend(
            steering
                .depths
                .iter()
                .flat_map(|(id, _)| svc.prefixes.holders(*id))
                .take(SCAN),
        );
        pool.extend(self.sample(at, DRAWN));
        pool.sort_unstable();
        pool.dedup();
        pool
    }

    /// So many of a service's runners, drawn without preference; all where there are no more.
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

    /// Strikes those that hang.
    pub(crate) fn eject_hung(&mut self, now: Millis, pool: &[RunnerKey]) {
        for key in pool {
            if self.get(*key).is_some_and(|r| r.is_hung(now)) {
                self.eject(now, *key, 0.0);
            }
        }
    }

    pub(crate) fn eject(&mut self, now: Millis, key: RunnerKey, least: f64) {
        let mut rng = self.rng.clone();
        if let Some(r) = self.get_mut(key) {
            r.health.eject(now, least, &mut rng);
        }
        self.rng = rng;
    }

    fn estimates(
        &self,
        question: &Query<'_>,
        pool: &[RunnerKey],
        shut: &mut Unavailable,
        wanted: &dyn Fn(RunnerKey) -> bool,
    ) -> Vec<(RunnerKey, Estimate)> {
        let Query {
            now,
            at,
            want,
            steering,
        } = question;
        let (now, at) = (*now, *at);
        let Some(svc) = self.services.get(at) else {
            return Vec::new();
        };
        let mut found = Vec::with_capacity(pool.len());
        for key in pool.iter().copied().filter(|k| wanted(*k)) {
            let Some(r) = self.get(key).filter(|r| r.up) else {
                continue;
            };
            match r.health.availability(now) {
                Availability::Healthy => {}
                Availability::Probe
                    if want.retryable
                        && !want.is_last_attempt
                        && (!svc.llm || r.health.allows_live_probe(now)) => {}
                Availability::Probe => {
                    shut.ejected.push((r.health.ejected_until(), key));
                    continue;
                }
                Availability::Ejected(until) => {
                    shut.ejected.push((until, key));
                    continue;
                }
            }
            let estimate = self.estimate(
                now,
                svc,
                want,
                r,
                self.cached_tokens(svc, want, steering, key, r),
            );
            let full = r.in_flight >= self.connection_limit(key);
            // What it told since its refusal goes before the sleeper: a refusal while it has room costs
            // more.
            let since = r
                .reported
                .is_some_and(|t| r.last_rejected_at.is_none_or(|refused| t.at > refused));
            let told_room = since && r.report_is_fresh(now, svc) && estimate.free_slots >= 1.0;
            if full || (!r.backoff.open(now) && !told_room) {
                let opens = if full {
                    now + WAIT_MOST_MS
                } else {
                    r.backoff.open_at
                };
                shut.opens_at = Some(shut.opens_at.map_or(opens, |u| u.min(opens)));
                continue;
            }
            found.push((key, estimate));
        }
        found
    }

    /// What a runner has of a prompt.
    pub(crate) fn cached_tokens(
        &self,
        svc: &Service,
        want: &RequestProfile,
        steering: &PrefixAffinity,
        key: RunnerKey,
        r: &Runner,
    ) -> CachedTokens {
        let mut kept = CachedTokens::default();
        let held = |parts: &PrefixTable, id| {
            let read = parts.holder(id, key)?;
            // The others have it read as much as this dispatcher does, and the oldest parts give way.
            let since = (r.prefilled_tokens - read) * self.dispatchers;
            Some(svc.kv_capacity.is_none_or(|size| since < KEPT_SHARE * size))
        };
        for (id, depth) in &steering.depths {
            if held(&svc.prefixes, *id) == Some(true) {
                kept.likely = kept.likely.max(HOLDER_SURE * depth);
                kept.for_affinity = kept.for_affinity.max(HOLDER_STEER * depth);
            }
        }
        for (_, depth) in steering.homes.iter().filter(|(home, _)| *home == key) {
            let trusted = svc.prefixes.home_hit_rate * depth;
            if trusted > kept.likely {
                (kept.likely, kept.at_home) = (trusted, *depth);
            }
            kept.for_affinity = kept.for_affinity.max(*depth);
        }
        let all = svc.prompt_tokens(want);
        kept.likely = kept.likely.min(all);
        kept.for_affinity = kept.for_affinity.min(all);
        kept
    }

    pub(crate) fn estimate(
        &self,
        now: Millis,
        svc: &Service,
        want: &RequestProfile,
        r: &Runner,
        kept: CachedTokens,
    ) -> Estimate {
        let (load, tokens) = (r.load(now, svc), svc.prompt_tokens(want));
        let room = r.slots - load;
        let frees = svc.run_ms.mean / r.slots;
        let mut queue = ((load + 1.0 - r.slots) * frees).max(0.0);
        if svc.llm {
            // Beyond its memory it waits for runs to end, or preempts others.
            let memory = r.memory_share(now, svc, svc.total_tokens(want));
            queue += (memory - 1.0).max(0.0) * svc.run_ms.mean;
        }
        let ahead = (r.prefill_until - now as f64).max(0.0) + r.overdue_ms(now);
        // A plain answer comes whole; its first byte is its last.
        let serve = if svc.llm {
            svc.prefill.base_ms
        } else {
            svc.run_ms.mean
        };
        // Each of those beside it slows it a little: a step takes longer, a worker that is nearly full does.
        let beside = serve * (load / r.slots).min(1.0);
        let pace = r.pace_at(now);
        let first = queue + ahead + pace * (serve + beside + svc.prefill_ms(tokens - kept.likely));
        let zone = if r.in_own_zone {
            0.0
        } else {
            ZONE_MS + ZONE_PER_TOKEN_MS * tokens
        };
        let read = svc.prefill_ms(tokens - kept.for_affinity) * READ_WEIGHT;
        let cost = queue + ahead + pace * (serve + beside + read) + zone;
        Estimate {
            first_token_ms: first,
            wait_ms: queue + ahead,
            cost_ms: cost,
            free_slots: room,
            is_unknown: r.is_unknown(now, svc),
        }
    }

    /// One of those that are about equal: the better, the likelier.
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
