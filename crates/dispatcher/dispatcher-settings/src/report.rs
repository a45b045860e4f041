//! Load reports as targets write them.

use dispatch_api::LoadReport;
use serde_json::{Map, Value};

/// How the fields of a load report are named: by the simulator or by the settings.
#[derive(Debug, Clone, Default)]
pub struct ReportNames {
    /// `x0` counts free slots.
    pub x0_is_slots: bool,
}

impl ReportNames {
    /// Reads a report. A field that is absent or no number is unknown.
    pub fn read(&self, fields: &Map<String, Value>) -> LoadReport {
        let number = |names: &[&str]| {
            names
                .iter()
                .find_map(|n| fields.get(*n))
                .and_then(Value::as_f64)
        };
        LoadReport {
            free_slots: number(&["x0"]).filter(|_| self.x0_is_slots),
            queued: number(&["queue", "depth"]),
            outstanding: number(&["inflight", "concurrent"]),
        }
    }
}
