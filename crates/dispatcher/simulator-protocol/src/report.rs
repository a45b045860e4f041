//! Load reports of workers.

use crate::input::ReportRow;
use dispatch_api::LoadReport;
use dispatcher_settings::settings_object::SettingsObject;

/// The position of each value in a load report.
#[derive(Debug, Default)]
pub(crate) struct ReportLayout {
    free_slots: Option<usize>,
    queued: Option<usize>,
    outstanding: Option<usize>,
}

impl ReportLayout {
    pub fn new(facts: &SettingsObject) -> Self {
        let names = facts
            .report
            .as_ref()
            .and_then(|report| report.names.as_deref());
        let names = names.unwrap_or_default();
        let position = |name: &str| names.iter().position(|known| known == name);
        let meaning = facts.specifics.report_x0.as_deref();
        let x0_is_slots = meaning.is_none_or(|text| text.contains("free slots"));
        ReportLayout {
            free_slots: position("x0").filter(|_| x0_is_slots),
            queued: position("depth"),
            outstanding: position("concurrent"),
        }
    }

    pub fn read(&self, row: &ReportRow) -> Option<LoadReport> {
        let row = row.as_ref()?;
        let value = |at: Option<usize>| at.and_then(|at| row.get(at).copied().flatten());
        Some(LoadReport {
            free_slots: value(self.free_slots),
            queued: value(self.queued),
            outstanding: value(self.outstanding),
        })
    }
}
