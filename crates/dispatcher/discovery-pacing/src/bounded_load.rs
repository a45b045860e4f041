//! Which share of the jobs of its keys a home worker accepts.
//!
//! Keys are not equally popular: where one of a thousand comes with every twelfth job, its three home
//! workers get more than they can run while others are idle, and no dispatcher of three hundred sees
//! that from its own four jobs a second. What all see is the list. The rule is that of consistent
//! hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, SODA 2018): a home worker accepts jobs
//! up to a bound a little above the mean load, and the rest goes to the next one. There the load is
//! known at once; here it is some seconds old, and all dispatchers act on the same list. So not the
//! load decides on a job, but a share that each list moves a little, as a controller does: all move it
//! alike, and what they send together settles at the bound.

/// The bound, in times the mean fill of all workers ...
const BOUND_OVER_MEAN: f64 = 1.25;
/// ... but at least this fill: below it hardly anything queues.
const MIN_BOUND: f64 = 0.8;
/// The least share: no key loses its home workers for good.
const MIN_SHARE: f64 = 0.02;
/// One list moves the share down by no more than this factor: what it shows is older than the last move
/// or two, and larger steps would oscillate.
const MAX_STEP_DOWN: f64 = 0.6;
/// ... or up.
const MAX_STEP_UP: f64 = 1.3;

/// The share of the jobs of its keys that a worker accepts, 0.02 to 1: 1 to begin with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BoundedLoadShare(f64);

impl Default for BoundedLoadShare {
    fn default() -> Self {
        BoundedLoadShare(1.0)
    }
}

impl BoundedLoadShare {
    /// A list tells the fill of the worker and the mean fill of all, both in held slots a slot.
    pub fn update(&mut self, fill: f64, mean: f64) {
        let bound = MIN_BOUND.max(BOUND_OVER_MEAN * mean);
        let step = bound / fill.max(1.0e-3);
        if step.is_finite() {
            let step = step.clamp(MAX_STEP_DOWN, MAX_STEP_UP);
            self.0 = (self.0 * step).clamp(MIN_SHARE, 1.0);
        }
    }

    /// Whether it accepts a job. `coin` is uniform over all numbers, and the same whenever the same job
    /// is considered.
    pub fn accepts(self, coin: u64) -> bool {
        coin as f64 <= self.0 * u64::MAX as f64
    }
}
