//! How many slots the workers of one machine kind have.

use crate::fleet_load::{is_weight, outstanding_per_core};

/// Slots of a worker before anything is known of its kind.
const BASE_SLOTS: f64 = 4.0;
/// The quantile of the reported free slots that counts as the slots of a worker.
const FREE_QUANTILE: f64 = 0.98;
/// How fast that quantile is tracked, slots a report.
const QUANTILE_STEP: f64 = 0.5;
/// No worker has more slots than this.
const MAX_SLOTS: f64 = 1024.0;
/// Slots of a job, where only the number of jobs is known.
const SLOTS_PER_JOB: f64 = 1.4;

/// What is known of the workers of one machine kind. All figures are slots.
#[derive(Debug, Clone, Copy, Default)]
pub struct KindCapacity {
    /// The most that were seen running at a time.
    max_running: f64,
    /// The tracked quantile of free slots, relative to the base.
    quantile_above_base: f64,
    /// The most that were reported free.
    max_free: f64,
    /// The largest weight in the list, which stands for the size; 0 for none.
    size: f64,
}

impl KindCapacity {
    /// A worker reported free slots. Reports are noisy, and the highest is too high, so a quantile is
    /// tracked.
    pub fn record_free_slots(&mut self, free: f64) {
        self.max_free = self.max_free.max(free);
        let above = free > self.base() + self.quantile_above_base;
        let step = QUANTILE_STEP * (f64::from(u8::from(above)) + FREE_QUANTILE - 1.0);
        self.quantile_above_base = (self.quantile_above_base + step).max(-self.base());
    }

    /// So many slots were seen at work at a worker.
    pub fn record_running(&mut self, running: f64) {
        self.max_running = self.max_running.max(running);
    }

    /// The list gave a worker this live weight. Returns the slots that seem to be held there; none if
    /// it is no plausible weight.
    pub fn record_weight(&mut self, weight: f64) -> Option<f64> {
        let weight = Some(weight).filter(|w| is_weight(*w))?;
        self.size = self.size.max(weight);
        Some(SLOTS_PER_JOB * self.slots() * outstanding_per_core(self.size, weight)?)
    }

    /// All that is known, for a successor process.
    pub fn snapshot(&self) -> [f64; 4] {
        [
            self.max_running,
            self.quantile_above_base,
            self.max_free,
            self.size,
        ]
    }

    /// What a predecessor process knew; none if it is not plausible.
    pub fn from_snapshot(
        [max_running, quantile_above_base, max_free, size]: [f64; 4],
    ) -> Option<Self> {
        let counts = [max_running, max_free, size];
        let plausible = counts.into_iter().all(|v| (0.0..=MAX_SLOTS).contains(&v))
            && quantile_above_base.abs() <= MAX_SLOTS;
        plausible.then_some(KindCapacity {
            max_running,
            quantile_above_base,
            max_free,
            size,
        })
    }

    /// The slots that a worker has, as far as is known; at least 1.
    pub fn slots(&self) -> f64 {
        let quantile = (self.base() + self.quantile_above_base).round();
        self.max_running.max(quantile).max(1.0)
    }

    /// The slots that a worker has for certain, where it reports them; a listed size is as good.
    pub fn certain_slots(&self) -> f64 {
        let shown = self.max_free.max(self.max_running).max(self.size);
        shown.clamp(1.0, self.slots())
    }

    fn base(&self) -> f64 {
        if self.size > 0.0 {
            self.size
        } else {
            BASE_SLOTS
        }
    }
}
