//! Parts of prompts: their homes, and where they were sent lately.

use crate::constants::{HOLDERS, HOMES, HOME_HIT_RATE, MAX_PARTS};
use crate::{Millis, RunnerKey};
use std::collections::HashMap;

/// A part of prompts as this dispatcher has seen it, mostly a shared prefix.
#[derive(Debug, Default)]
pub(crate) struct Prefix {
    last_used_at: Millis,
    /// Runners that it was sent to, and the tokens they had prefilled by then; the newest last.
    holders: Vec<(RunnerKey, f64)>,
    /// Its homes, as of that epoch of the service's runners.
    homes: Vec<RunnerKey>,
    epoch: u64,
}

#[derive(Debug)]
pub(crate) struct PrefixTable {
    known: HashMap<u64, Prefix>,
    /// Share of last parts that had come before: above a bound they are sessions.
    pub(crate) recurring_share: f64,
    /// Learned chance that a home has its part by other dispatchers' requests.
    pub(crate) home_hit_rate: f64,
}

impl Default for PrefixTable {
    fn default() -> Self {
        PrefixTable {
            known: HashMap::new(),
            recurring_share: 0.0,
            home_hit_rate: HOME_HIT_RATE,
        }
    }
}

/// Mixes two hashes (SplitMix64); the same at every dispatcher, on every machine.
pub(crate) fn mixed(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// FNV-1a of a runner's id, mixed.
pub(crate) fn hashed(id: &str) -> u64 {
    let fnv = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
    mixed(id.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, fnv), 0)
}

impl PrefixTable {
    pub(crate) fn is_known(&self, id: u64) -> bool {
        self.known.contains_key(&id)
    }

    /// The homes of a part by rendezvous hashing (Thaler and Ravishankar, 1998), the highest first;
    /// `up` gives the hashes of all runners.
    pub(crate) fn homes(
        &mut self,
        id: u64,
        now: Millis,
        epoch: u64,
        up: &dyn Fn() -> Vec<(u64, RunnerKey)>,
    ) -> &[RunnerKey] {
        self.make_room(now);
        let part = self.known.entry(id).or_default();
        part.last_used_at = part.last_used_at.max(now);
        if part.homes.is_empty() || part.epoch != epoch {
            let mut draws = up();
            draws
                .iter_mut()
                .for_each(|(hash, _)| *hash = mixed(id, *hash));
            let many = HOMES.min(draws.len());
            if many > 0 && many < draws.len() {
                draws.select_nth_unstable_by(many - 1, |a, b| b.cmp(a));
            }
            draws.truncate(many);
            draws.sort_unstable_by(|a, b| b.cmp(a));
            part.homes = draws.into_iter().map(|(_, key)| key).collect();
            part.epoch = epoch;
        }
        &part.homes
    }

    /// What that runner had prefilled when it was last sent the part.
    pub(crate) fn holder(&self, id: u64, key: RunnerKey) -> Option<f64> {
        self.known
            .get(&id)?
            .holders
            .iter()
            .find(|(k, _)| *k == key)
            .map(|(_, read)| *read)
    }

    pub(crate) fn holders(&self, id: u64) -> impl Iterator<Item = RunnerKey> + '_ {
        self.known
            .get(&id)
            .into_iter()
            .flat_map(|p| p.holders.iter().map(|(key, _)| *key))
    }

    pub(crate) fn note_holder(&mut self, id: u64, now: Millis, key: RunnerKey, read: f64) {
        self.make_room(now);
        let part = self.known.entry(id).or_default();
        part.last_used_at = now;
        part.holders.retain(|(k, _)| *k != key);
        if part.holders.len() >= HOLDERS {
            part.holders.remove(0);
        }
        part.holders.push((key, read));
    }

    /// Where there are too many the older half is dropped: no list has to be kept in order for
    /// that.
    fn make_room(&mut self, now: Millis) {
        if self.known.len() < MAX_PARTS {
            return;
        }
        let mut ages: Vec<Millis> = self
            .known
            .values()
            .map(|p| now.saturating_sub(p.last_used_at))
            .collect();
        let middle = ages.len() / 2;
        let (_, median, _) = ages.select_nth_unstable(middle);
        let median = *median;
        self.known
            .retain(|_, p| now.saturating_sub(p.last_used_at) < median);
        if self.known.len() >= MAX_PARTS {
            self.known.clear();
        }
    }
}
