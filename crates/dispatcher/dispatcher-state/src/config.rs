//! What the state machine is configured with at its start.

use degradation::DegradationConfig;
use dispatch_api::{Micros, Settings};
use std::sync::Arc;

/// Configuration of a [`crate::State`].
#[derive(Debug, Clone)]
pub struct StateConfig {
    /// Settings of the dispatch policy.
    pub settings: Settings,
    /// Seed of the policy's random numbers.
    pub seed: u64,
    /// This dispatcher's own number, from 0.
    pub me: u32,
    /// Connections to targets that may be open at a time.
    pub connections: usize,
    /// A connection to a target that is not up after this, microseconds, has failed.
    pub connect_timeout: Micros,
    /// An idle connection to a target is closed after this, microseconds.
    pub idle: Micros,
    /// A probe that is not answered after this, microseconds, has failed.
    pub probe_timeout: Micros,
    /// Levels of degraded service; none where there are none.
    pub levels: Option<Arc<DegradationConfig>>,
}
