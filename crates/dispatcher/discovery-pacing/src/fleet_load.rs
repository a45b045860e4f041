//! What the live weights of a list say of the load of all workers, and for how long.
//!
//! All dispatchers have the same list, and have it late. If each sent its jobs to whichever worker was
//! free when the list was made, all would send to the same few until the next one: workers would be
//! flooded and idle in turns. So loads are interpreted as in M. Dahlin, "Interpreting Stale Load
//! Information" (ICDCS 1999, basic algorithm): of the work that arrives before the next list, each
//! worker is given what raises it to the level that all come to.

use dispatch_api::Micros;

/// The largest weight that is believed: no machine has so many cores, and one absurd size would make
/// all others of its kind look full.
pub const LARGEST_WEIGHT: f64 = 1024.0;
/// How old loads are when a list with them arrives, microseconds: they are renewed every 500 to 900 ms,
/// and arrive late.
const LIST_DELAY: Micros = 1_000_000;
/// The highest fill level, so that no figure of a list can make it boundless.
const MAX_FILL_LEVEL: f64 = 16.0;

/// Whether this is a weight that a worker may have.
pub(crate) fn is_weight(weight: f64) -> bool {
    weight > 0.0 && weight <= LARGEST_WEIGHT
}

/// Requests per core that a worker had outstanding when this live weight was made, which is its size
/// divided by 1 + that number. `size` is the largest weight seen of its kind, since sizes are not
/// listed; both are without unit. None if either is no plausible weight.
pub fn outstanding_per_core(size: f64, weight: f64) -> Option<f64> {
    (is_weight(size) && is_weight(weight)).then(|| (size / weight - 1.0).max(0.0))
}

/// The load of all workers that a list calls ready.
#[derive(Debug, Clone, Copy, Default)]
pub struct FleetLoad {
    /// Slots held.
    pub held: f64,
    /// Slots that there are; of a worker in slow start its present share counts.
    pub slots: f64,
    /// Of these, the slots of workers that no class is dedicated to.
    pub loose: f64,
    /// When the list arrived.
    pub at: Micros,
}

impl FleetLoad {
    /// The share of the jobs with a choice, 0 to 1, that is better kept off workers that other classes
    /// are dedicated to: all until everything held would fill the other slots one and a half times,
    /// none once it would fill them twice. What queues there is cancelled when it is late; a dedicated
    /// class has nowhere else to go.
    pub fn keep_off_share(&self) -> f64 {
        let filled = self.held / self.loose;
        if filled.is_finite() {
            (4.0 - 2.0 * filled).clamp(0.0, 1.0)
        } else {
            0.0
        }
    }

    /// Whether more is held than there are slots: whatever queues waits for all of it.
    pub fn is_saturated(&self) -> bool {
        self.held > self.slots
    }

    /// Up to how many times its slots a worker may be filled, 1 to 16, so that all workers together
    /// take what arrives until loads are known again: with slots held for `run` microseconds each, that
    /// is as often what is held as `run` goes into the age of the loads. While little is held, any free
    /// slot is as good as another.
    pub fn fill_level(&self, now: Micros, run: f64) -> f64 {
        let age = now.saturating_sub(self.at).saturating_add(LIST_DELAY) as f64;
        let filled = self.held * (1.0 + age / run.max(1.0)) / self.slots.max(1.0);
        if filled.is_finite() {
            filled.clamp(1.0, MAX_FILL_LEVEL)
        } else {
            1.0
        }
    }
}
