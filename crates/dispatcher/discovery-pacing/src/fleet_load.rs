//! What the weights of a list say of the load of its workers, and for how long.
//!
//! All dispatchers have the same list, and have it late. If each sent its jobs to whoever had room when it was made,
//! all would send them to the same few until the next one: workers would be flooded and left idle in turns. So a
//! load is interpreted as in M. Dahlin, "Interpreting Stale Load Information" (ICDCS 1999, basic algorithm): of the
//! work that comes before the next news, each worker is given what raises it to the level that all come to.

use dispatch_api::Micros;

/// The largest weight that is believed: no machine has so many cores, and one absurd size would have all others of its
/// kind look full.
pub const LARGEST_WEIGHT: f64 = 1024.0;

/// Whether this is a weight that a worker may have.
pub(crate) fn sound(weight: f64) -> bool {
    weight > 0.0 && weight <= LARGEST_WEIGHT
}

/// Requests that a worker held for each of its cores when this weight was made, where weights are live: its size
/// divided by 1 + that number. `size` is the largest weight seen of its kind, since sizes are told nowhere; both are
/// without unit. None if either is no weight.
pub fn outstanding_per_core(size: f64, weight: f64) -> Option<f64> {
    (sound(size) && sound(weight)).then(|| (size / weight - 1.0).max(0.0))
}

/// How old loads are when a list with them arrives: they are renewed every 500 to 900 ms, and told late.
const LATE: Micros = 1_000_000;
/// The level up to which loads are interpreted at most, so that no figure of a list can make it boundless.
const HIGHEST: f64 = 16.0;

/// The loads of all workers that a list calls ready.
#[derive(Debug, Clone, Copy, Default)]
pub struct FleetLoad {
    /// Slots that were held.
    pub held: f64,
    /// Slots that there are, a cold worker's counted by its warmth.
    pub slots: f64,
    /// Those of them at workers that no class is bound to.
    pub loose: f64,
    /// When the list came.
    pub at: Micros,
}

impl FleetLoad {
    /// The share of the jobs with a choice, 0 to 1, that is better kept from workers that others are bound to: all
    /// until what is held anywhere would fill the loose slots one and a half times, none once it would fill them twice.
    /// What queues there is called off when it is late; what is bound has no other place.
    pub fn keep_off_share(&self) -> f64 {
        let filled = self.held / self.loose;
        if filled.is_finite() {
            (4.0 - 2.0 * filled).clamp(0.0, 1.0)
        } else {
            0.0
        }
    }

    /// More is held than there are slots: what is queued anywhere waits for all of it.
    pub fn is_saturated(&self) -> bool {
        self.held > self.slots
    }

    /// Up to how many times its slots a worker may be filled, so that all of them take what comes until loads are
    /// known again: with slots held for `run` microseconds each, that is as often what is held as `run` goes into
    /// the loads' age. At least 1: while little is held, any free slot is as good as another.
    pub fn fill_level(&self, now: Micros, run: f64) -> f64 {
        let age = now.saturating_sub(self.at).saturating_add(LATE) as f64;
        let filled = self.held * (1.0 + age / run.max(1.0)) / self.slots.max(1.0);
        if filled.is_finite() {
            filled.clamp(1.0, HIGHEST)
        } else {
            1.0
        }
    }
}
