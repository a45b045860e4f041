//! Which zones can be reached.
//!
//! A zone that is lost takes a large part of the fleet with it, and the list says so only seconds
//! later. A dispatcher that sends little to any one worker would learn of each by a failure of its own;
//! so what it learns of one worker holds for its zone.

use std::collections::BTreeMap;

/// Factor of the trust in a zone after a failure.
const FAILURE_FACTOR: f64 = 0.5;
/// Share of the way back to full trust after a success.
const SUCCESS_STEP: f64 = 0.5;
/// The least trust: some attempts go on, so that a recovery is noticed.
const MIN_TRUST: f64 = 0.01;
/// Above this a zone counts as reachable.
const TRUSTED: f64 = 0.4;
/// Zones that are tracked: no plausible list has more, and memory stays bounded.
const MAX_ZONES: usize = 64;

/// How far each zone is trusted to be reachable: 1 to begin with.
#[derive(Debug, Clone, Default)]
pub struct ZoneReachability {
    zones: BTreeMap<u32, f64>,
}

impl ZoneReachability {
    /// A worker of the zone was reached.
    pub fn record_success(&mut self, zone: u32) {
        let trust = self.trust(zone);
        self.set(zone, trust + SUCCESS_STEP * (1.0 - trust));
    }

    /// An attempt at a worker of the zone failed, since no connection came up.
    pub fn record_failure(&mut self, zone: u32) {
        self.set(zone, (self.trust(zone) * FAILURE_FACTOR).max(MIN_TRUST));
    }

    fn set(&mut self, zone: u32, trust: f64) {
        if self.zones.len() < MAX_ZONES || self.zones.contains_key(&zone) {
            self.zones.insert(zone, trust);
        }
    }

    /// The trust in a zone, 0.01 to 1.
    pub fn trust(&self, zone: u32) -> f64 {
        self.zones.get(&zone).copied().unwrap_or(1.0)
    }

    /// Whether the zone can be counted on. One failure does not end that, and one success after many
    /// failures does not restore it.
    pub fn is_trusted(&self, zone: u32) -> bool {
        self.trust(zone) > TRUSTED
    }
}
