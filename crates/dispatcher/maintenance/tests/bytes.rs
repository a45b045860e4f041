//! The bytes of the maintenance datagrams, both ways, and the JSON that a process leaves to its successor.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use maintenance::{
    Effect, Limits, Maintenance, MemberReport, Message, Observations, Plan, PlanId, SavedState,
    StateReport, Target,
};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

fn holds(message: &Message, written: &str) {
    assert_eq!(hex(&message.encode()), hex(&bytes(written)));
    assert_eq!(&Message::decode(&bytes(written)).unwrap(), message);
}

fn member_reports(reports: &[(u16, u64)]) -> Vec<MemberReport> {
    let report = |(member, report): &(u16, u64)| MemberReport {
        member: *member,
        report: StateReport(*report),
    };
    reports.iter().map(report).collect()
}

fn plan() -> Plan {
    Plan {
        version: 0x0102_0304,
        by: 0x0506,
        id: 0x0708_090a,
        limits: Limits {
            out: 2,
            zone: 1,
            kinds: vec![1, 2],
        },
        drain_ms: 10_000,
        out_ms: 600_000,
        cancelled: true,
        targets: vec![
            Target {
                name_hash: 0xdead_beef,
                kind: 1,
                zone: 0,
            },
            Target {
                name_hash: 1,
                kind: 0,
                zone: 1,
            },
        ],
    }
}

#[test]
fn a_plan_is_written_byte_for_byte_and_read_back() {
    holds(
        &Message::Plan(3, plan()),
        "02 01 0003 01020304 0506 0708090a 01 02 01 00002710 000927c0 02 01 02 02 deadbeef 01 00 00000001 00 01",
    );
}

#[test]
fn a_plan_of_a_length_that_is_a_multiple_of_five_ends_in_a_zero_byte() {
    let mut plan = Plan {
        cancelled: false,
        ..plan()
    };
    plan.limits.kinds = vec![3];
    plan.targets[0].kind = 0;
    holds(
        &Message::Plan(0xfffe, plan),
        "02 01 fffe 01020304 0506 0708090a 00 02 01 00002710 000927c0 01 03 02 deadbeef 00 00 00000001 00 01 00",
    );
}

#[test]
fn progress_is_written_byte_for_byte_and_read_back() {
    let reports = member_reports(&[(0, 0xe4), (1, 0xffff_ffff_ffff)]);
    let two = Message::Progress {
        from: 1,
        plan: PlanId {
            version: 2,
            by: 3,
            id: 4,
        },
        gone: 5,
        reports,
    };
    holds(
        &two,
        "02 02 0001 00000002 0003 00000004 05 02 0000 0000000000e4 0001 ffffffffffff",
    );
    let reports = member_reports(&[(0, 1), (0x0102, 2), (3, 0x0123_4567_89ab)]);
    let three = Message::Progress {
        from: 0x0102,
        plan: PlanId {
            version: 2,
            by: 3,
            id: 4,
        },
        gone: 24,
        reports,
    };
    holds(
        &three,
        "02 02 0102 00000002 0003 00000004 18 03 0000 000000000001 0102 000000000002 0003 0123456789ab 00",
    );
}

const LEFT: &str = r#"{"plan":{"version":1,"by":0,"id":7,"limits":{"out":2,"zone":1,"kinds":[1,2]},"drain_ms":10000,"out_ms":600000,"cancelled":false,"targets":[{"mark":3735928559,"kind":1,"zone":0},{"mark":1,"kind":0,"zone":1}]},"gone":2,"words":5,"since":[5000000,5000000]}"#;

#[test]
fn what_a_process_leaves_to_its_successor_keeps_its_json() {
    let mut member = Maintenance::new(0, 1);
    member.submit(5_000_000, plan(), 7).unwrap();
    let look = Observations {
        alive: &|_| true,
        in_flight: &|_| true,
        restarted: &|_, _| false,
    };
    let out = |effect: &Effect| matches!(effect, Effect::SetOutOfService { out: true, .. });
    assert_eq!(
        member
            .tick(5_000_000, &look)
            .iter()
            .filter(|effect| out(effect))
            .count(),
        2
    );
    let left = member.saved_state().unwrap();
    assert_eq!(serde_json::to_string(&left).unwrap(), LEFT);
    let read: SavedState = serde_json::from_str(LEFT).unwrap();
    assert_eq!(read, left);
}

#[test]
fn what_is_shown_of_a_plan_keeps_its_json() {
    let mut member = Maintenance::new(0, 1);
    member.submit(5_000_000, plan(), 7).unwrap();
    let look = Observations {
        alive: &|_| true,
        in_flight: &|_| true,
        restarted: &|_, _| false,
    };
    member.tick(5_000_000, &look);
    let shown = serde_json::to_value(member.progress(5_000_000).unwrap()).unwrap();
    let target = |name_hash: u32| serde_json::json!({"mark": name_hash, "standing": "out", "since": 5_000_000, "not_empty": [0], "not_back": [0]});
    assert_eq!(
        shown["targets"],
        serde_json::json!([target(0xdead_beef), target(1)])
    );
    assert_eq!(
        [&shown["gone"], &shown["over"], &shown["paused"]],
        [
            &serde_json::json!(2),
            &serde_json::json!(false),
            &serde_json::json!(false)
        ]
    );
}
