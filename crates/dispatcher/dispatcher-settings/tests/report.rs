//! Load reports are read under the names of both parties.

use dispatch_api::LoadReport;
use dispatcher_settings::report::ReportNames;

/// Guards against reports that say nothing because their fields have the other party's names.
#[test]
fn a_field_is_read_under_either_name() {
    for text in [
        r#"{"x0":3,"inflight":7,"queue":2}"#,
        r#"{"x0":3,"concurrent":7,"depth":2,"new":[]}"#,
    ] {
        let fields = serde_json::from_str(text).expect("an object");
        let report = ReportNames { x0_is_slots: true }.read(&fields);
        let expected = LoadReport {
            free_slots: Some(3.0),
            queued: Some(2.0),
            outstanding: Some(7.0),
        };
        assert_eq!(report, expected);
    }
}
