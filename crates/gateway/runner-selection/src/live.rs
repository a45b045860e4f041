//! Where a live request goes.

use crate::constants::{
    DRAWN, HOLDER_STEER, HOLDER_SURE, HOME_BOUND, HOME_SLACK, KEPT_SHARE, LATE_TIMES, LEAST_PART,
    MAX_PROMPT_PARTS, MAX_TRIED, MEMORY, NEAR_MS, NEAR_SHARE, PANIC_SHARE, PATIENCE, PLAIN_CHOICES,
    READ_WEIGHT, RETRY_NOBODY_MS, RETRY_RANGE_MS, RETRY_SHARE, RETRY_SPREAD, SCAN, SESSIONS,
    STEER_MS, WAIT_MOST_MS, WAIT_SHARE, ZONE_MS, ZONE_PER_TOKEN_MS,
};
use crate::engines::Engines;
use crate::health::Fit;
use crate::parts::Parts;
use crate::runner::Runner;
use crate::service::Svc;
use crate::{Choice, Ms, RunnerKey, Want};

/// What sending it to one runner would mean.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimate {
    /// Time to the first token.
    pub(crate) first: f64,
    /// ... of it until its turn comes.
    wait: f64,
    /// ... with what is laid on others, and what steers: the least is chosen.
    cost: f64,
    /// Slots that seem free there.
    room: f64,
    /// It has said nothing for long, and nothing is under way that would make it.
    silent: bool,
}

/// What the parts of a prompt say of where it should go.
#[derive(Debug, Default)]
pub(crate) struct Steering {
    /// Homes that are fit for it, and the tokens up to the end of the part.
    homes: Vec<(RunnerKey, f64)>,
    /// Ids of the parts that are worth remembering, and the tokens up to the end of each.
    depths: Vec<(u64, f64)>,
}

/// Tokens that a runner has of a prompt.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Kept {
    /// By what is likely there now.
    pub(crate) likely: f64,
    /// ... of it by the others' requests alone.
    pub(crate) trusted: f64,
    /// As it should be, so that copies come together.
    steered: f64,
}

/// One request's question.
struct Question<'a> {
    now: Ms,
    at: usize,
    want: &'a Want,
    steering: Steering,
}

/// Why none of the runners that were looked at takes it.
#[derive(Debug, Default)]
struct Shut {
    /// The first to open of those whose sleepers are shut or whose connections are all in use.
    until: Option<Ms>,
    /// Those avoided, and until when.
    avoided: Vec<(Ms, RunnerKey)>,
}

/// The objective; a route without one has all the time that its client waits.
fn target(want: &Want) -> u32 {
    if want.target_ms == 0 {
        want.left_ms.saturating_add(want.waited_ms)
    } else {
        want.target_ms
    }
}

impl Engines {
    /// Where a live request goes now.
    pub fn choose(&mut self, now: Ms, want: &Want) -> Choice {
        let known = self
            .svc_at(want.svc.as_str())
            .filter(|at| self.svcs.get(*at).is_some_and(|s| s.slots > 0.0));
        let Some(at) = known else {
            return self.later(now, want, None);
        };
        let Some(svc) = self.svcs.get_mut(at) else {
            return self.later(now, want, None);
        };
        svc.target += (f64::from(target(want)) - svc.target) / MEMORY;
        let steering = self.steering(now, at, want);
        let pool = self.pool(at, &steering, want);
        let question = Question {
            now,
            at,
            want,
            steering,
        };
        self.look(now, &pool);
        let mut shut = Shut::default();
        let tried = want.tried.get(..MAX_TRIED).unwrap_or(&want.tried);
        let mut found = self.estimates(&question, &pool, &mut shut, &|key| !tried.contains(&key));
        if found.iter().all(|(_, e)| e.room < 1.0)
            && pool.len() < self.svcs.get(at).map_or(0, |s| s.members.len())
        {
            // A few drawn ones may all be full or out: one wider look.
            let wider = self.drawn(at, SCAN);
            found = self.estimates(&question, &wider, &mut shut, &|key| !tried.contains(&key));
        }
        if found.is_empty() && !tried.is_empty() {
            found = self.estimates(&question, &pool, &mut shut, &|key| tried.contains(&key));
        }
        let crowded = found.iter().all(|(_, e)| e.room < 1.0);
        let many_out = shut.avoided.len() as f64 > PANIC_SHARE * pool.len() as f64;
        if (found.is_empty() && shut.until.is_none()) || (crowded && many_out) {
            // Trouble is a guess. Rather than nobody, or the few that are left and full: whose time is
            // up first.
            if let Some((until, runner)) = shut.avoided.iter().min().copied() {
                return match self.later(now, want, Some(until)) {
                    Choice::Wait { until } if found.is_empty() => Choice::Wait { until },
                    _ => Choice::Send { runner },
                };
            }
        }
        if found.is_empty() {
            return self.later(now, want, shut.until);
        }
        let least = found
            .iter()
            .map(|(_, e)| e.first)
            .fold(f64::INFINITY, f64::min);
        let patience = if want.prio == 0 {
            PATIENCE.0
        } else {
            PATIENCE.1
        } * f64::from(want.left_ms);
        let wait = found
            .iter()
            .map(|(_, e)| e.wait)
            .fold(f64::INFINITY, f64::min);
        let in_time = LATE_TIMES * f64::from(target(want).saturating_sub(want.waited_ms));
        let room = found.iter().any(|(_, e)| e.room >= 1.0);
        if !room && (least > patience || wait > in_time) {
            // What was said long ago is no reason to refuse, and nobody would ever say anything new.
            found.retain(|(_, e)| e.silent);
            if found.is_empty() {
                return Choice::Refuse {
                    retry_after_ms: self.retry_after(want, least),
                };
            }
        }
        match self.drawn_near(&found) {
            Some(runner) => Choice::Send { runner },
            None => self.later(now, want, shut.until),
        }
    }

    /// Nobody takes it now: a short wait, while that is no late refusal.
    fn later(&mut self, now: Ms, want: &Want, opens: Option<Ms>) -> Choice {
        let until = opens
            .unwrap_or(now + WAIT_MOST_MS)
            .clamp(now + 1, now + WAIT_MOST_MS);
        let waited = f64::from(want.waited_ms) + (until - now) as f64;
        let most = if want.tried.is_empty() {
            WAIT_SHARE * f64::from(target(want))
        } else {
            // It was offered to a runner in time: what is left may be used.
            f64::from(want.waited_ms) + RETRY_SHARE * f64::from(want.left_ms)
        };
        if waited <= most && ((until - now) as f64) < f64::from(want.left_ms) {
            return Choice::Wait { until };
        }
        let opens = opens.map_or(RETRY_NOBODY_MS, |at| at.saturating_sub(now) as f64);
        Choice::Refuse {
            retry_after_ms: self.retry_after(want, opens),
        }
    }

    fn retry_after(&mut self, want: &Want, frees: f64) -> u64 {
        let spread = RETRY_SPREAD.0 + (RETRY_SPREAD.1 - RETRY_SPREAD.0) * self.unit();
        let most =
            (RETRY_SHARE * f64::from(want.left_ms)).clamp(RETRY_RANGE_MS.0, RETRY_RANGE_MS.1);
        (frees * spread).clamp(RETRY_RANGE_MS.0, most) as u64
    }

    /// The parts of a prompt that are worth a way, and the homes that can take it.
    pub(crate) fn steering(&mut self, now: Ms, at: usize, want: &Want) -> Steering {
        let mut steering = Steering::default();
        let epoch = self.epoch;
        let Some(mut parts) = self
            .svcs
            .get_mut(at)
            .map(|svc| std::mem::take(&mut svc.parts))
        else {
            return steering;
        };
        if let Some(svc) = self.svcs.get(at).filter(|s| s.llm) {
            let up = || {
                let members = svc.members.iter();
                members
                    .filter_map(|k| Some((self.at(*k).filter(|r| r.up)?.hash, *k)))
                    .collect()
            };
            let mut depth = 0.0;
            for (n, (id, tokens)) in want.prefix.iter().take(MAX_PROMPT_PARTS).enumerate() {
                depth += f64::from(*tokens);
                let own =
                    n + 1 == want.prefix.len() && parts.again < SESSIONS && !parts.is_known(*id);
                if own || *tokens < LEAST_PART {
                    continue;
                }
                steering.depths.push((*id, depth));
                if svc.reading(f64::from(*tokens)) < STEER_MS {
                    continue;
                }
                // A session goes on where it was, home or not.
                if n + 1 == want.prefix.len() && parts.holders(*id).next().is_some() {
                    continue;
                }
                let homes = parts.homes(*id, now, epoch, &up);
                if let Some(home) = homes.iter().find(|k| self.fit_home(now, svc, **k)) {
                    steering.homes.push((*home, depth));
                }
            }
        }
        if let Some(svc) = self.svcs.get_mut(at) {
            svc.parts = parts;
        }
        steering
    }

    /// Bounded load: a home that is fuller than the others by far is passed over.
    fn fit_home(&self, now: Ms, svc: &Svc, key: RunnerKey) -> bool {
        let Some(r) = self.at(key) else { return false };
        let mean = (svc.others(now) + f64::from(svc.own) / svc.slots.max(1.0)) * r.slots;
        let bound = (HOME_BOUND * mean + HOME_SLACK * r.slots).max(1.0);
        r.health.fit(now) == Fit::Yes
            && !r.hangs(now)
            && r.load(now, svc) <= bound
            && r.memory(now, svc, 0.0) < 1.0
    }

    /// The runners to look at.
    pub(crate) fn pool(&mut self, at: usize, steering: &Steering, want: &Want) -> Vec<RunnerKey> {
        let Some(svc) = self.svcs.get(at) else {
            return Vec::new();
        };
        if svc.llm && svc.members.len() <= SCAN {
            return svc.members.clone();
        }
        if !svc.llm {
            return self.drawn(at, PLAIN_CHOICES + want.tried.len().min(MAX_TRIED));
        }
        let mut pool: Vec<RunnerKey> = steering.homes.iter().map(|(home, _)| *home).collect();
        pool.extend(
            steering
                .depths
                .iter()
                .flat_map(|(id, _)| svc.parts.holders(*id))
                .take(SCAN),
        );
        pool.extend(self.drawn(at, DRAWN));
        pool.sort_unstable();
        pool.dedup();
        pool
    }

    /// So many of a service's runners, drawn without preference; all where there are no more.
    pub(crate) fn drawn(&mut self, at: usize, many: usize) -> Vec<RunnerKey> {
        let Some(len) = self.svcs.get(at).map(|s| s.members.len()) else {
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
            .svcs
            .get(at)
            .map(|s| s.members.as_slice())
            .unwrap_or_default();
        places
            .into_iter()
            .filter_map(|n| members.get(n).copied())
            .collect()
    }

    /// Strikes those that hang.
    pub(crate) fn look(&mut self, now: Ms, pool: &[RunnerKey]) {
        for key in pool {
            if self.at(*key).is_some_and(|r| r.hangs(now)) {
                self.strike(now, *key, 0.0);
            }
        }
    }

    pub(crate) fn strike(&mut self, now: Ms, key: RunnerKey, least: f64) {
        let mut rng = self.rng.clone();
        if let Some(r) = self.at_mut(key) {
            r.health.strike(now, least, &mut rng);
        }
        self.rng = rng;
    }

    fn estimates(
        &self,
        question: &Question<'_>,
        pool: &[RunnerKey],
        shut: &mut Shut,
        wanted: &dyn Fn(RunnerKey) -> bool,
    ) -> Vec<(RunnerKey, Estimate)> {
        let Question {
            now,
            at,
            want,
            steering,
        } = question;
        let (now, at) = (*now, *at);
        let Some(svc) = self.svcs.get(at) else {
            return Vec::new();
        };
        let mut found = Vec::with_capacity(pool.len());
        for key in pool.iter().copied().filter(|k| wanted(*k)) {
            let Some(r) = self.at(key).filter(|r| r.up) else {
                continue;
            };
            match r.health.fit(now) {
                Fit::Yes => {}
                Fit::Trial
                    if want.repeatable
                        && !want.last_try
                        && (!svc.llm || r.health.live_trial(now)) => {}
                Fit::Trial => {
                    shut.avoided.push((r.health.avoided_until(), key));
                    continue;
                }
                Fit::Avoid(until) => {
                    shut.avoided.push((until, key));
                    continue;
                }
            }
            let estimate = self.estimate(now, svc, want, r, self.kept(svc, want, steering, key, r));
            let full = r.own >= self.connections(key);
            // What it told since its refusal goes before the sleeper: a refusal while it has room costs
            // more.
            let since = r
                .told
                .is_some_and(|t| r.refused.is_none_or(|refused| t.at > refused));
            let told_room = since && r.fresh(now, svc) && estimate.room >= 1.0;
            if full || (!r.sleeper.open(now) && !told_room) {
                let opens = if full {
                    now + WAIT_MOST_MS
                } else {
                    r.sleeper.open_at
                };
                shut.until = Some(shut.until.map_or(opens, |u| u.min(opens)));
                continue;
            }
            found.push((key, estimate));
        }
        found
    }

    /// What a runner has of a prompt.
    pub(crate) fn kept(
        &self,
        svc: &Svc,
        want: &Want,
        steering: &Steering,
        key: RunnerKey,
        r: &Runner,
    ) -> Kept {
        let mut kept = Kept::default();
        let held = |parts: &Parts, id| {
            let read = parts.holder(id, key)?;
            // The others have it read as much as this dispatcher does, and the oldest parts give way.
            let since = (r.read - read) * self.dispatchers;
            Some(svc.kv_capacity.is_none_or(|size| since < KEPT_SHARE * size))
        };
        for (id, depth) in &steering.depths {
            if held(&svc.parts, *id) == Some(true) {
                kept.likely = kept.likely.max(HOLDER_SURE * depth);
                kept.steered = kept.steered.max(HOLDER_STEER * depth);
            }
        }
        for (_, depth) in steering.homes.iter().filter(|(home, _)| *home == key) {
            let trusted = svc.parts.home_sure * depth;
            if trusted > kept.likely {
                (kept.likely, kept.trusted) = (trusted, *depth);
            }
            kept.steered = kept.steered.max(*depth);
        }
        let all = svc.prompt(want);
        kept.likely = kept.likely.min(all);
        kept.steered = kept.steered.min(all);
        kept
    }

    pub(crate) fn estimate(
        &self,
        now: Ms,
        svc: &Svc,
        want: &Want,
        r: &Runner,
        kept: Kept,
    ) -> Estimate {
        let (load, tokens) = (r.load(now, svc), svc.prompt(want));
        let room = r.slots - load;
        let frees = svc.hold.mean / r.slots;
        let mut queue = ((load + 1.0 - r.slots) * frees).max(0.0);
        if svc.llm {
            // Beyond its memory it waits for runs to end, or preempts others.
            let memory = r.memory(now, svc, svc.whole(want));
            queue += (memory - 1.0).max(0.0) * svc.hold.mean;
        }
        let ahead = (r.busy_until - now as f64).max(0.0) + r.overdue(now);
        // A plain answer comes whole; its first byte is its last.
        let serve = if svc.llm { svc.fit.base } else { svc.hold.mean };
        // Each of those beside it slows it a little: a step takes longer, a worker that is nearly full does.
        let beside = serve * (load / r.slots).min(1.0);
        let pace = r.paced(now);
        let first = queue + ahead + pace * (serve + beside + svc.reading(tokens - kept.likely));
        let zone = if r.near {
            0.0
        } else {
            ZONE_MS + ZONE_PER_TOKEN_MS * tokens
        };
        let read = svc.reading(tokens - kept.steered) * READ_WEIGHT;
        let cost = queue + ahead + pace * (serve + beside + read) + zone;
        Estimate {
            first,
            wait: queue + ahead,
            cost,
            room,
            silent: r.silent(now, svc),
        }
    }

    /// One of those that are about equal: the better, the likelier.
    fn drawn_near(&mut self, found: &[(RunnerKey, Estimate)]) -> Option<RunnerKey> {
        let least = found
            .iter()
            .map(|(_, e)| e.cost)
            .fold(f64::INFINITY, f64::min);
        let near = NEAR_MS.max(NEAR_SHARE * least);
        let weight = |e: &Estimate| (-(e.cost - least) / near).exp();
        let all: f64 = found.iter().map(|(_, e)| weight(e)).sum();
        let mut drawn = self.unit() * all;
        for (key, estimate) in found {
            drawn -= weight(estimate);
            if drawn <= 0.0 {
                return Some(*key);
            }
        }
        found.first().map(|(key, _)| *key)
    }
}
