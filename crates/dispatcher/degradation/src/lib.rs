//! Levels of reduced service: named steps between full service and the least that is kept up, each with a condition
//! for entering and leaving it and with what it asks of the decisions.
//!
//! [`Spec`] is what operators write, checked; [`Gauges`] makes readings of what the decisions can tell; [`Ladder`]
//! holds which level is in force, since when and why; [`Governed`] joins these to the decisions. Nothing here reads
//! a clock or touches a socket: time comes with each call and never runs back.

#![expect(clippy::too_many_lines, reason = "not revised yet")]

mod gauges;
mod governed;
mod ladder;
mod spec;

pub use gauges::{Gauges, Readings, Usage};
pub use governed::{Governed, LevelStatus, Status};
pub use ladder::{Cause, Change, Ladder};
pub use spec::{Bounds, Gauge, Level, Spec, SpecError};
