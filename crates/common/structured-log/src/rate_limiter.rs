//! Limits repeated log lines to one an interval for each key, and counts the suppressed ones.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Instant;

/// The shortest time between two lines of one key, unless another is given.
const DEFAULT_INTERVAL_MS: u64 = 10_000;
/// Most keys that are remembered: causes are few, and keys made of addresses must not fill the
/// memory.
const MAX_KEYS: usize = 64;

/// Limits events to one an interval for each key. The caller passes the time by any steady clock:
/// interval and times are in the same unit, milliseconds for the default interval.
#[derive(Debug)]
pub struct RateLimiter<K = &'static str> {
    interval: u64,
    keys: BTreeMap<K, Passed>,
    evicted: u64,
}

/// The last event of a key that passed.
#[derive(Debug)]
struct Passed {
    at: u64,
    /// How many were suppressed since.
    suppressed: u64,
}

impl<K: Ord + Clone> Default for RateLimiter<K> {
    fn default() -> Self {
        RateLimiter::new(DEFAULT_INTERVAL_MS)
    }
}

impl<K: Ord + Clone> RateLimiter<K> {
    /// One event of a key passes in this time.
    pub fn new(interval: u64) -> Self {
        RateLimiter {
            interval,
            keys: BTreeMap::new(),
            evicted: 0,
        }
    }

    /// An event of the key happens. If it passes, gives how many of its key were suppressed since
    /// the last one that did.
    pub fn check(&mut self, now: u64, key: K) -> Option<u64> {
        if let Some(passed) = self.keys.get_mut(&key) {
            if now.saturating_sub(passed.at) < self.interval {
                passed.suppressed = passed.suppressed.saturating_add(1);
                return None;
            }
            passed.at = now;
            return Some(std::mem::take(&mut passed.suppressed));
        }
        if self.keys.len() >= MAX_KEYS {
            self.evict_oldest();
        }
        self.keys.insert(
            key,
            Passed {
                at: now,
                suppressed: 0,
            },
        );
        Some(0)
    }

    /// How many suppressed events will not be reported, since their keys were evicted.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    fn evict_oldest(&mut self) {
        let oldest = self.keys.iter().min_by_key(|(_, passed)| passed.at);
        let oldest = oldest.map(|(key, _)| key.clone());
        if let Some(passed) = oldest.and_then(|key| self.keys.remove(&key)) {
            self.evicted = self.evicted.saturating_add(passed.suppressed);
        }
    }
}

/// A [`RateLimiter`] by the process's own clock, for code that isn't given the time.
#[derive(Debug)]
pub struct LogLimiter {
    started: Instant,
    limiter: RefCell<RateLimiter>,
}

impl Default for LogLimiter {
    fn default() -> Self {
        LogLimiter {
            started: Instant::now(),
            limiter: RefCell::default(),
        }
    }
}

impl LogLimiter {
    /// An event of the key happens. If it passes, `log` is called with how many of its key were
    /// suppressed.
    pub fn log(&self, key: &'static str, log: impl FnOnce(u64)) {
        let now_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let suppressed = self.limiter.borrow_mut().check(now_ms, key);
        if let Some(suppressed) = suppressed {
            log(suppressed);
        }
    }
}
