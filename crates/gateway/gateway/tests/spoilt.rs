//! What runners say of themselves, spoilt: read or refused.

use gateway::selection::load_report::read;
use proptest::prelude::*;

const REPORT: &str =
    r#"{"Queued":3,"Active":8,"KvInUse":1000,"KvSize":90000,"More":[1,{"a":null}]}"#;

#[test]
fn a_report_is_read_whole_or_not_at_all() {
    let whole = read(REPORT.as_bytes()).unwrap();
    assert_eq!(
        (whole.queued, whole.active, whole.kv_in_use, whole.kv_size),
        (3, 8, 1_000, 90_000)
    );
    for cut in 0..REPORT.len() {
        assert!(read(&REPORT.as_bytes()[..cut]).is_none(), "cut at {cut}");
    }
    assert!(
        read(REPORT.repeat(2).as_bytes()).is_none(),
        "two in one answer"
    );
    for spoilt in [
        "\"Queued\":-3",
        "\"Queued\":\"3\"",
        "\"Queued\":3.5",
        "\"Queue\":3",
    ] {
        assert!(
            read(REPORT.replace("\"Queued\":3", spoilt).as_bytes()).is_none(),
            "{spoilt}"
        );
    }
    let deep = format!(
        "{{\"Queued\":1,\"Active\":1,\"More\":{}",
        "[".repeat(30_000)
    );
    assert!(read(deep.as_bytes()).is_none());
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_refused(
        at in 0..REPORT.len(), with in any::<u8>(), bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let _ = read(&bytes);
        let mut spoilt = REPORT.as_bytes().to_vec();
        spoilt[at] = with;
        let _ = read(&spoilt);
    }
}
