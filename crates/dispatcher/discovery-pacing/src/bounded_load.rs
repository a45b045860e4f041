//! How far a worker draws the jobs whose key it is meant for.
//!
//! Keys are not equally wanted: where the first of a thousand comes with every twelfth job, its three homes get more than they
//! can run, while others stand idle, and no dispatcher of three hundred sees it from its own four jobs a second. What all
//! see is the list. The rule is that of consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, SODA 2018): a
//! home takes jobs up to a bound that is a little above what workers hold on average, and the rest goes to the next one.
//! There the load is known at once; here it is some seconds old, and all dispatchers act on the same list. So it is not the
//! load that decides on a job, but a share that each list moves a little, as a controller does: all move it alike, since
//! all see the same list, and what they send together settles at the bound.

/// The bound, in times the mean fill of all workers ...
const ABOVE_MEAN: f64 = 1.25;
/// ... but at least this fill: below it hardly anything waits.
const NO_QUEUE: f64 = 0.8;
/// The least share: a key is never without its homes for good.
const LEAST: f64 = 0.02;
/// One list moves the share by what it is off, and down by no more than this factor: what it shows is older than the last
/// move or two, and a larger step after each would swing.
const STEP_DOWN: f64 = 0.6;
/// ... or up.
const STEP_UP: f64 = 1.3;

/// The share of the jobs of its keys that a worker draws, 0.02 to 1: 1 to begin with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BoundedLoadShare(f64);

impl Default for BoundedLoadShare {
    fn default() -> Self {
        BoundedLoadShare(1.0)
    }
}

impl BoundedLoadShare {
    /// A list says how full the worker is, and how full all are; both in what is held for each slot.
    pub fn update(&mut self, fill: f64, mean: f64) {
        let bound = NO_QUEUE.max(ABOVE_MEAN * mean);
        let step = bound / fill.max(1.0e-3);
        if step.is_finite() {
            self.0 = (self.0 * step.clamp(STEP_DOWN, STEP_UP)).clamp(LEAST, 1.0);
        }
    }

    /// Whether it draws a job; `coin` is uniform over all numbers, and the same at each look at the same job.
    pub fn accepts(self, coin: u64) -> bool {
        coin as f64 <= self.0 * u64::MAX as f64
    }
}
