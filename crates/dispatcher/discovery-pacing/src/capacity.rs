//! What is known of the workers of one machine kind.

use crate::fleet_load::{outstanding_per_core, sound};

/// Slots of a worker before anything is known of any.
const BASE_SLOTS: f64 = 4.0;
/// The quantile of the free slots reported that is followed: that many slots has a worker.
const FREE_QUANTILE: f64 = 0.98;
/// How fast it is followed, slots for each report.
const FREE_STEP: f64 = 0.5;
/// More slots than this no worker has.
const LARGEST: f64 = 1024.0;
/// Slots of a job, where only the number of jobs is told.
const WIDE: f64 = 1.4;

/// What is known of the workers of one machine kind. All figures are slots.
#[derive(Debug, Clone, Copy, Default)]
pub struct KindCapacity {
    ran: f64,
    above: f64,
    most: f64,
    size: f64,
}

impl KindCapacity {
    /// One of them reported free slots. LoadReporting are noisy: their highest value says too much, so a quantile is
    /// followed.
    pub fn record_free_slots(&mut self, free: f64) {
        self.most = self.most.max(free);
        let over = f64::from(u8::from(free > self.base() + self.above));
        self.above = (self.above + FREE_STEP * (over + FREE_QUANTILE - 1.0)).max(-self.base());
    }

    /// So many slots were seen at work at one of them.
    pub fn record_running(&mut self, running: f64) {
        self.ran = self.ran.max(running);
    }

    /// A list gave one of them this live weight. Returns the slots that seem to have been held there; none if the
    /// weight says nothing.
    pub fn record_weight(&mut self, weight: f64) -> Option<f64> {
        let weight = Some(weight).filter(|w| sound(*w))?;
        self.size = self.size.max(weight);
        Some(WIDE * self.slots() * outstanding_per_core(self.size, weight)?)
    }

    /// All that is known, for a successor.
    pub fn snapshot(&self) -> [f64; 4] {
        [self.ran, self.above, self.most, self.size]
    }

    /// What a predecessor knew; what makes no sense counts as nothing known.
    pub fn from_snapshot([ran, above, most, size]: [f64; 4]) -> Option<Self> {
        let sane = [ran, most, size]
            .into_iter()
            .all(|v| (0.0..=LARGEST).contains(&v));
        (sane && above.abs() <= LARGEST).then_some(KindCapacity {
            ran,
            above,
            most,
            size,
        })
    }

    /// The slots that one of them has, as far as is known.
    pub fn slots(&self) -> f64 {
        self.ran.max((self.base() + self.above).round()).max(1.0)
    }

    /// The slots that one of them has for certain, where it reports them; a size told is as good.
    pub fn certain_slots(&self) -> f64 {
        self.most
            .max(self.ran)
            .max(self.size)
            .clamp(1.0, self.slots())
    }

    fn base(&self) -> f64 {
        if self.size > 0.0 {
            self.size
        } else {
            BASE_SLOTS
        }
    }
}
