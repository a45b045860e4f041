//! Which zones can be reached.
//!
//! A zone that is lost takes half of a fleet with it, and the list says so only seconds later. A dispatcher that sees
//! little of any worker would learn of each by a failure of its own; what it learns of one holds for its zone.

use std::collections::BTreeMap;

/// What a failure leaves of the trust in a zone.
const FAILED: f64 = 0.5;
/// How far a success leads back to full trust.
const REACHED: f64 = 0.5;
/// The least trust: some attempts go on to ask.
const LEAST: f64 = 0.01;
/// From here on a zone counts as reached.
const TRUSTED: f64 = 0.4;
/// Zones that are kept track of; more are not told apart by any list of sense.
const ZONES: usize = 64;

/// How far each zone is trusted to be reached: 1 to begin with.
#[derive(Debug, Clone, Default)]
pub struct ZoneReachability {
    zones: BTreeMap<u32, f64>,
}

impl ZoneReachability {
    /// A worker of the zone was reached.
    pub fn record_success(&mut self, zone: u32) {
        self.set(zone, self.trust(zone) + REACHED * (1.0 - self.trust(zone)));
    }

    /// Whether an attempt at a worker of the zone has failed since no connection came up.
    pub fn record_failure(&mut self, zone: u32) {
        self.set(zone, (self.trust(zone) * FAILED).max(LEAST));
    }

    fn set(&mut self, zone: u32, trust: f64) {
        if self.zones.len() < ZONES || self.zones.contains_key(&zone) {
            self.zones.insert(zone, trust);
        }
    }

    /// The trust in a zone, 0.01 to 1.
    pub fn trust(&self, zone: u32) -> f64 {
        self.zones.get(&zone).copied().unwrap_or(1.0)
    }

    /// Whether the zone can be counted on: one failure, or one success after many, does not decide it.
    pub fn is_trusted(&self, zone: u32) -> bool {
        self.trust(zone) > TRUSTED
    }
}
