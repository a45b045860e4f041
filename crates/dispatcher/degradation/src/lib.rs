//! Levels of reduced service under overload: named steps between full service and the least that is
//! kept up, each with thresholds for entering and leaving it and with what the decisions admit at
//! it.
//!
//! [`DegradationConfig`] is what operators configure, checked; [`Meter`] reads the metrics;
//! [`LevelSelector`] holds which level applies, since when and why; [`DegradingDispatcher`] joins
//! these to the decisions. Nothing here reads a clock or touches a socket: time comes with each
//! call and never runs back. See docs/degradation.md.

mod change;
mod config;
mod dispatcher;
mod explain;
mod meter;
mod metric;
mod readings;
mod selector;

pub use change::{Cause, LevelChange, Measurement};
pub use config::{ConfigError, DegradationConfig, Level};
pub use dispatcher::{DegradingDispatcher, LevelStatus, Status};
pub use meter::Meter;
pub use metric::{Metric, Threshold, Thresholds};
pub use readings::{Readings, Usage, WindowedShare};
pub use selector::{ForcedLevel, LevelSelector};
