//! The protocol: prepared lines in, replies out, through the host and the program.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use simulator_protocol::Host;
use std::io::Write;
use std::process::{Command, Output, Stdio};

const FACTS: &str = r#"{"allowed":{"attempts-cap":5,"may-cancel":true,"probes":true,"second-copies":false,
"retry-after":true,"max-retry-after-ms":2000.0},"az":0,"classes":[{"effect":"pure","group":"all",
"hard-limit-ms":5000.0,"late-worth":0.5,"memory-span-ms":5000.0,"name":"a","points":5.0,"slo-ms":250.0,
"stream":false,"new-field":[1]}],"costs":{"probe":0.002,"waste":0.04},"discovery":"on_request","family":"jobs",
"goal":{"whole":0.55,"worst-class":0.3},"peers-total":1,"report":{"names":["depth","x0"],"via":"answers"},
"rules":{"cold-ms":23000.0,"fall-ms":1000.0,"must-ask-in-ms":10000.0,"start-capacity":0.14,"tip-multiple":4.0},
"specifics":{"class-kind":[-1],"class-stretch":[1.75],"progress-ms":0.0,"report-x0":"free slots",
"tells-start":true},"tenants":null,"tick-ms":2.0,"worth-by":"request"}"#;

fn start(facts: &str) -> String {
    let list = r#"{"membership":{"kind":"stale_copy","rev":1,"entries":[{"worker":"10.0.0.1:80","status":"ready",
"generation-hw":0,"dc":0,"cohort":0,"rating":4,"last-start-ms":null}]}}"#;
    let start = format!(r#"{{"start":{{"init-seed":9,"facts":{facts}}}}}"#);
    format!(r#"{{"sim-time-ms":1000.5,"n":1,"dispatchers":[{{"who":3,"msgs":[{start},{list}]}}]}}"#)
        .replace('\n', "")
}

fn batch(n: u64, msgs: &str) -> String {
    format!(
        r#"{{"sim-time-ms":{}.5,"n":{n},"dispatchers":[{{"who":3,"msgs":[{msgs}]}}]}}"#,
        1000 + n
    )
}

const REQ: &str = r#"{"req":{"ref":77,"resent":false,"again":false,"expires-ms":6000.5,"mutates":false,
"cores-needed":1,"route-key":null,"memory":null,"project":null,"work-ms":null,"cls":0}}"#;

#[test]
fn a_job_is_pushed_and_its_attempt_ends() {
    let mut host = Host::default();
    let reply = host.answer(&start(FACTS)).unwrap();
    assert_eq!(
        reply,
        r#"{"n":1,"dispatchers":[{"who":3,"output":[{"keep-informed":{"want":true}}]}]}"#
    );
    let reply = host.answer(&batch(2, REQ)).unwrap();
    assert!(
        reply.contains(r#"{"try":{"ref":77,"worker":"10.0.0.1:80"}}"#),
        "{reply}"
    );
    assert!(reply.contains(r#""handle":"wake""#), "{reply}");
    let note = r#"{"interim":{"ref":77,"worker":"10.0.0.1:80","leg":0,"level":0,"what":1}}"#;
    let done = r#"{"settled":{"ref":77,"detail":null,"cost-time-ms":9,"worker":"10.0.0.1:80","leg":0,"how":0,
"finished":true,"report":[0,null]}}"#;
    let reply = host.answer(&batch(3, &format!("{note},{done}"))).unwrap();
    assert!(
        !reply.contains("bounce") && !reply.contains("error"),
        "{reply}"
    );
}

#[test]
fn a_rejection_backs_off_and_an_unsent_job_is_rejected_at_its_deadline() {
    let mut host = Host::default();
    host.answer(&start(FACTS)).unwrap();
    host.answer(&batch(2, REQ)).unwrap();
    let full = r#"{"settled":{"ref":77,"worker":"10.0.0.1:80","leg":0,"how":254,"finished":false,"report":null}}"#;
    let reply = host.answer(&batch(3, full)).unwrap();
    assert!(
        !reply.contains(r#""try""#),
        "held while the interval lasts: {reply}"
    );
    let gone = r#"{"membership":{"kind":"patch","rev":2,"entries":[{"worker":"10.0.0.1:80","status":"gone"}]}}"#;
    host.answer(&batch(4, gone)).unwrap();
    let reply = host
        .answer(&batch(5_000, r#"{"timer":{"handle":"wake"}}"#))
        .unwrap();
    assert!(reply.contains(r#"{"bounce":{"ref":77"#), "{reply}");
}

#[test]
fn a_kill_and_a_start_in_one_batch_leave_a_new_instance() {
    let mut host = Host::default();
    host.answer(&start(FACTS)).unwrap();
    let again = start(FACTS).replace(r#""msgs":["#, r#""msgs":[{"killed":{}},"#);
    assert!(host.answer(&again).unwrap().contains("keep-informed"));
    let late = r#"{"left":{"ref":5}}"#;
    assert_eq!(
        host.answer(&batch(4, late)).unwrap(),
        r#"{"n":4,"dispatchers":[]}"#
    );
}

#[test]
fn unknown_events_fields_and_empty_batches_are_skipped() {
    let mut host = Host::default();
    assert_eq!(
        host.answer(r#"{"sim-time-ms":1.25,"n":0,"dispatchers":[]}"#)
            .unwrap(),
        r#"{"n":0,"dispatchers":[]}"#
    );
    host.answer(&start(FACTS)).unwrap();
    let msgs = r#"{"novelty":{"x":1}},{"datagram":{"src-peer":1,"raw":"00"}}"#;
    assert_eq!(
        host.answer(&batch(2, msgs)).unwrap(),
        r#"{"n":2,"dispatchers":[]}"#
    );
}

#[test]
fn unusable_settings_are_reported_to_the_simulator() {
    let mut host = Host::default();
    let reply = host
        .answer(&start(
            &FACTS.replace(r#""peers-total":1"#, r#""peers-total":0"#),
        ))
        .unwrap();
    assert_eq!(
        reply,
        r#"{"n":1,"dispatchers":[{"who":3,"output":[{"panic":{"text":"settings count no dispatcher"}}]}]}"#
    );
}

fn run_program(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_fordrelay-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(input.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn the_program_answers_each_line_and_exits_with_success() {
    let input = format!("{}\n{}\n", start(FACTS), batch(2, REQ).replace('\n', ""));
    let out = run_program(&input);
    assert!(out.status.success());
    assert_eq!(String::from_utf8(out.stdout).unwrap().lines().count(), 2);
    assert!(out.stderr.is_empty());
}

#[test]
fn malformed_input_ends_the_program_with_one_message() {
    let good = r#"{"sim-time-ms":1,"n":0,"dispatchers":[]}"#;
    for bad in [
        "{",
        "[]",
        r#"{"n":1,"dispatchers":[]}"#,
        &batch(2, r#"{"left":{"ref":1}}"#),
        "\u{1}",
    ] {
        let out = run_program(&format!("{good}\n{bad}\n{good}\n"));
        assert!(!out.status.success());
        let text = String::from_utf8(out.stderr).unwrap();
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.starts_with("fordrelay-wirehost: line 2: "), "{text}");
        assert_eq!(
            String::from_utf8(out.stdout).unwrap().lines().count(),
            1,
            "nothing half-written"
        );
    }
}

#[test]
fn dispatchers_name_workers_by_hashes_and_ignore_malformed_datagrams() {
    let facts = FACTS
        .replace(r#""probes":true"#, r#""probes":false,"peers":true"#)
        .replace(r#""peers-total":1"#, r#""peers-total":2"#);
    let mut host = Host::default();
    host.answer(&start(&facts)).unwrap();
    let reply = host.answer(&batch(2, REQ)).unwrap();
    // 32 bits of FNV-1a of "10.0.0.1:80", and one slot.
    let mark = "10.0.0.1:80".bytes().fold(2_166_136_261u32, |h, b| {
        (h ^ u32::from(b)).wrapping_mul(16_777_619)
    });
    assert!(
        reply.contains(&format!(
            r#"{{"publish":{{"peer":"all","raw":"{mark:08x}01"}}}}"#
        )),
        "{reply}"
    );
    for raw in ["", "zz", "0102", "ffffffff09", "éééééééééé"] {
        host.answer(&batch(
            3,
            &format!(r#"{{"datagram":{{"src-peer":1,"raw":"{raw}"}}}}"#),
        ))
        .unwrap();
    }
    // Full by the other's report: the next job is held.
    let full = format!(r#"{{"datagram":{{"src-peer":1,"raw":"{mark:08x}ff"}}}}"#);
    host.answer(&batch(4, &full)).unwrap();
    let reply = host.answer(&batch(5, &REQ.replace("77", "78"))).unwrap();
    assert!(!reply.contains(r#""try""#), "{reply}");
}

#[test]
fn optional_rules_apply_only_where_given() {
    let rules = r#""spare-attempts":0,"extra-ratio":0,"extra-window-ms":5000,"hang-up-within-ms":800,"full-may-have-run":true,"#;
    let facts = FACTS.replace(r#""rules":{"#, &format!(r#""rules":{{{rules}"#));
    // The same events with and without them: a reset, then draining.
    let ended =
        r#"{"settled":{"ref":77,"leg":0,"worker":"10.0.0.1:80","how":251,"finished":false}}"#;
    let drain = r#"{"membership":{"kind":"patch","rev":2,"entries":[{"worker":"10.0.0.1:80","status":"draining"}]}}"#;
    let day = |facts: &str| {
        let mut host = Host::default();
        host.answer(&start(facts)).unwrap();
        let mut replies = host.answer(&batch(2, &REQ.replace('\n', ""))).unwrap();
        replies += &host.answer(&batch(3, ended)).unwrap();
        replies + &host.answer(&batch(4, drain)).unwrap()
    };
    let (with, without) = (day(&facts), day(FACTS));
    assert_eq!(
        with.matches(r#""try""#).count(),
        1,
        "no further attempt is allowed: {with}"
    );
    assert_eq!(without.matches(r#""try""#).count(), 2, "{without}");
    assert!(
        with.contains(r#"{"disconnect":{"worker":"10.0.0.1:80"}}"#),
        "{with}"
    );
    assert!(!without.contains("disconnect"), "{without}");
}

#[test]
fn bad_numbers_of_the_optional_rules_are_typed_errors() {
    for (bad, name) in [
        (r#""spare-attempts":3"#, "retry_budget.window"),
        (r#""extra-ratio":0.1"#, "retry_budget.window"),
        (
            r#""spare-attempts":3,"extra-window-ms":0"#,
            "retry_budget.window",
        ),
        (
            r#""spare-attempts":-3,"extra-window-ms":5000"#,
            "retry_budget.minimum",
        ),
        (
            r#""extra-ratio":-0.5,"extra-window-ms":5000"#,
            "retry_budget.ratio",
        ),
        (r#""hang-up-within-ms":-1"#, "close_on_drain"),
        (r#""hang-up-within-ms":0"#, "close_on_drain"),
    ] {
        let facts = FACTS.replace(r#""rules":{"#, &format!(r#""rules":{{{bad},"#));
        let reply = Host::default().answer(&start(&facts)).unwrap();
        assert!(
            reply.contains("panic") && reply.contains(name),
            "{bad}: {reply}"
        );
    }
}

/// The replies to a sequence of events; the attempt of the second job ends with this outcome.
fn replies(facts: &str, how: i64) -> String {
    let settled = |id: u64, leg: u32, how: i64| {
        format!(
            r#"{{"settled":{{"ref":{id},"leg":{leg},"worker":"10.0.0.1:80","how":{how},"finished":false,"report":[0,3]}}}}"#
        )
    };
    let interim = |id: u64, what: u8, level: f64| {
        format!(
            r#"{{"interim":{{"ref":{id},"worker":"10.0.0.1:80","leg":0,"level":{level},"what":{what}}}}}"#
        )
    };
    let request = |id: u64, expires: f64| {
        let expires = format!("{expires:.1}");
        REQ.replace('\n', "")
            .replace("77", &id.to_string())
            .replace("6000.5", &expires)
    };
    let echo =
        |how: i64| format!(r#"{{"echo":{{"worker":"10.0.0.1:80","how":{how},"report":[3,0]}}}}"#);
    let drain = r#"{"membership":{"kind":"patch","rev":2,"entries":[{"worker":"10.0.0.1:80","status":"draining"}]}}"#;
    let wake = r#"{"timer":{"handle":"wake"}}"#;
    let mut host = Host::default();
    let begins = r#"{"started":{"ref":1,"worker":"10.0.0.1:80","leg":0}}"#;
    let lines = [
        start(facts),
        batch(2, &request(1, 6_000.5)),
        batch(3, &echo(0)),
        batch(4, &interim(1, 1, 0.0)),
        batch(5, &interim(1, 2, 0.5)),
        batch(6, begins),
        batch(7, &request(2, 6_000.5)),
        batch(8, r#"{"left":{"ref":1}}"#),
        batch(9, &settled(1, 0, 250)),
        batch(10, &settled(2, 0, how)),
        batch(11, wake),
        batch(500, wake),
        batch(1_000, &request(3, 9_000.5)),
        batch(1_500, &settled(3, 0, 0)),
        batch(2_000, r#"{"datagram":{"src-peer":1,"raw":"00000001ff"}}"#),
        batch(3_000, r#"{"membership":{"kind":"failed"}}"#),
        batch(4_500, wake),
        batch(20_000, drain),
        batch(20_001, &request(4, 21_500.5)),
        batch(20_500, wake),
        batch(21_000, wake),
        batch(30_000, wake),
        batch(30_001, r#"{"killed":{}}"#),
    ];
    let replies = lines.iter().map(|line| host.answer(line).unwrap());
    replies.collect::<Vec<_>>().join("\n")
}

/// Each kind of message that the host writes, word for word, with a second dispatcher: see the
/// snapshot.
#[test]
fn each_message_keeps_its_form() {
    let facts = FACTS
        .replace(r#""probes":true"#, r#""probes":false,"peers":true"#)
        .replace(r#""peers-total":1"#, r#""peers-total":2"#)
        .replace(r#""rules":{"#, r#""rules":{"hang-up-within-ms":800,"#);
    let effect = facts.replace(r#""effect":"pure""#, r#""effect":"side_effect""#);
    let probes = facts.replace(r#""probes":false"#, r#""probes":true"#);
    let mut all = vec![replies(&probes, 254)];
    for how in [255, 254, 253, 252, 251, 250, 249, 248] {
        all.push(format!("pure, {how}\n{}", replies(&facts, how)));
        all.push(format!("side effect, {how}\n{}", replies(&effect, how)));
    }
    all.push(replies(
        &facts.replace(r#""tick-ms":2.0"#, r#""tick-ms":2.0,"over-share-worth":3"#),
        0,
    ));
    let all = all.join("\n\n");
    for form in [
        "try",
        "abandon",
        "bounce",
        "error",
        "sound-out",
        "disconnect",
        "publish",
        "keep-informed",
        "remind",
        "panic",
    ] {
        assert!(
            all.contains(&format!("{{\"{form}\":{{")),
            "{form} is never written"
        );
    }
    insta::assert_snapshot!(all);
}
