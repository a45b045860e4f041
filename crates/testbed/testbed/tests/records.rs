//! What the records of a play show of targets that are out and of late sends.

use testbed::records::{Ban, Records};

#[test]
fn what_is_out_is_summed_over_all_processes_and_a_late_send_is_seen() {
    let ban = |dispatcher, target: &str, from, to| Ban {
        dispatcher,
        target: target.to_owned(),
        from,
        to,
    };
    let second = 1_000_000;
    let bans = vec![
        ban(0, "a", 0, 3 * second),
        ban(1, "a", second, 4 * second),
        ban(1, "b", 2 * second, 5 * second),
    ];
    let records = Records { bans, forced: 0 };
    assert_eq!((records.most_out(&[], 0), records.targets()), (2, 2));
    assert_eq!(
        records.most_out(&[(1, 0)], 4 * second),
        1,
        "it had only just started"
    );
    let sends = [
        (second / 10, "a", 0),
        (2 * second, "a", 0),
        (2 * second, "b", 0),
        (5 * second, "a", 1),
    ];
    assert_eq!(records.late_sends(sends.into_iter()), 1);
}
