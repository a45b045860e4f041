//! The exit codes and the `--json` forms that operators' scripts depend on.

use crate::stub_server::{respond, Answer, ClosedPort, StubServer};
use crate::{tier, Temp};
use std::process::{Command, Stdio};

/// An object a line for each controller that answers, its keys in alphabetical order, numbers as
/// they came.
#[test]
fn status_as_json_is_a_line_for_each_controller() {
    let first = StubServer::new(vec![respond(
        "200 OK",
        "{\"View\": 9, \"Chain\": [\"a\", \"b\"],\n \"Config\": {\"Gen\": 7}, \"X\": 0.5}",
    )]);
    let second = StubServer::new(vec![respond(
        "200 OK",
        "{\"View\":8,\"Odd\":null,\"Text\":\"k\u{e9}\\n\"}",
    )]);
    let output = tier(&[
        "status",
        "--json",
        "--ctl",
        &format!("{},{}", first.addr, second.addr),
    ]);
    let lines = "{\"Chain\":[\"a\",\"b\"],\"Config\":{\"Gen\":7},\"View\":9,\"X\":0.5}\n\
        {\"Odd\":null,\"Text\":\"k\u{e9}\\n\",\"View\":8}\n";
    assert_eq!(
        (output.exit_code, output.out.as_str(), output.err.as_str()),
        (0, lines, "")
    );
}

#[test]
fn status_as_json_ends_with_1_if_one_does_not_answer() {
    let (gone, odd) = (
        ClosedPort::new(),
        StubServer::new(vec![respond("200 OK", "no json")]),
    );
    let controller = StubServer::new(vec![respond("200 OK", "{\"View\":1}")]);
    let ctl = format!("{},{},{}", gone.addr, odd.addr, controller.addr);
    let output = tier(&["status", "--json", "--ctl", &ctl]);
    assert_eq!(
        (output.exit_code, output.out.as_str()),
        (1, "{\"View\":1}\n")
    );
    let lines: Vec<&str> = output.err.lines().collect();
    assert!(
        lines[0].starts_with(&format!("{}: O301 not-reached: ", gone.addr)),
        "{}",
        output.err
    );
    assert!(
        lines[1].starts_with(&format!("{}: O308 unreadable: ", odd.addr)),
        "{}",
        output.err
    );
    assert_eq!(
        lines[2],
        format!("fordrelay: O311 not-all: {}, {}", gone.addr, odd.addr)
    );
}

/// A command that changes something ends with 3 if it is unknown whether that happened.
#[test]
fn an_operation_with_an_unknown_outcome_ends_with_3() {
    let silent = || {
        StubServer::new(
            (0..100)
                .map(|_| respond("500 Internal Server Error", ""))
                .collect(),
        )
    };
    let one = silent();
    let output = tier(&["retire", "s", "--over", "9", "--ctl", &one.addr.to_string()]);
    assert_eq!((output.exit_code, output.out.as_str()), (3, ""));
    assert!(
        output.err.starts_with("fordrelay: O302 unclear: "),
        "{}",
        output.err
    );
}

#[test]
fn a_refusal_ends_with_1_in_each_command() {
    let refused = |args: &[&str], at: &str, status: &'static str, code: &str| {
        let one = StubServer::new(vec![respond(status, "why")]);
        let addr = one.addr.to_string();
        let output = tier(&[args, &[at, &addr]].concat());
        let fault = format!("fordrelay: {code}: {addr} answers {status}: why\n");
        assert_eq!(
            (output.exit_code, output.out.as_str(), output.err),
            (1, "", fault),
            "{args:?}"
        );
    };
    refused(&["config", "get"], "--ctl", "404 Not Found", "O305 unknown");
    refused(&["retire", "s"], "--ctl", "404 Not Found", "O305 unknown");
    refused(
        &["retire", "s", "--over", "1"],
        "--ctl",
        "400 Bad Request",
        "O304 invalid",
    );
    refused(
        &["lots", "read", "x", "--host", "h"],
        "--edge",
        "410 Gone",
        "O305 unknown",
    );
    refused(
        &["lots", "end", "x", "--host", "h"],
        "--edge",
        "409 Conflict",
        "O306 conflict",
    );
    refused(
        &["lots", "body", "x", "i", "--host", "h"],
        "--edge",
        "403 Forbidden",
        "O307 refused",
    );
}

#[test]
fn a_file_that_cannot_be_read_ends_with_1() {
    let output = tier(&["settings", "check", "/nowhere/at/all"]);
    assert_eq!((output.exit_code, output.out.as_str()), (1, ""));
    assert!(
        output.err.starts_with("fordrelay: S102 /nowhere/at/all: "),
        "{}",
        output.err
    );
    let output = tier(&["config", "put", "/nowhere/at/all", "--ctl", "127.0.0.1:1"]);
    assert_eq!((output.exit_code, output.out.as_str()), (1, ""));
    assert!(
        output
            .err
            .starts_with("fordrelay: O309 no-file: /nowhere/at/all: "),
        "{}",
        output.err
    );
}

#[test]
fn the_codes_end_with_0_and_begin_with_their_head() {
    let output = tier(&["codes"]);
    assert_eq!((output.exit_code, output.err.as_str()), (0, ""));
    assert!(output
        .out
        .starts_with("# Result codes\n\nWritten by `fordrelay tier codes`; a test compares."));
    insta::assert_snapshot!(output.out.split("## The operators' command\n").nth(1).unwrap(), @r##"
        | code | name | meaning |
        | --- | --- | --- |
        | O301 | not-reached | No address answered, and nothing was done. |
        | O302 | unclear | There was no clear answer: what was asked for may have been done. Ask again unchanged, or look. |
        | O303 | another-version | Another version is current than the one the configuration builds on (412). |
        | O304 | invalid | What was sent is invalid or too large (400, 413, 422). |
        | O305 | unknown | There is no such thing (404, 410). |
        | O306 | conflict | It is under way already, or too few machines would be left (409). |
        | O307 | refused | Refused with another status. |
        | O308 | unreadable | The answer can't be read. |
        | O309 | no-file | A file can't be read. |
        | O310 | not-now | Refused for now at every try (408, 421, 429). |
        | O311 | not-all | Not every address answered. |
        | O312 | program | The program itself could not go on. |
        | O313 | reverted | The new version was found to be bad: all traffic goes to the old one. |
        "##);
}

/// A reader that closes its end early is no error.
#[test]
fn a_reader_that_closes_its_end_early_ends_with_0() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_fordrelay"))
        .args(["tier", "lots", "body", "x", "i", "--host", "h", "--edge"])
        .arg({
            let edge = StubServer::new(vec![Answer::Status(
                "200 OK",
                String::new(),
                "x".repeat(1 << 20),
            )]);
            edge.addr.to_string()
        })
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let output = child.wait_with_output().unwrap();
    assert_eq!(
        (output.status.code(), output.stderr.as_slice()),
        (Some(0), &b""[..])
    );
}

/// What is printed of a file with all keys.
#[test]
fn all_keys_of_a_settings_file_are_printed() {
    let file = Temp::new(
        "all-keys",
        "Node = 'n'\nRole = 'r'\nMachineClass = 'edge'\nServes = ['ctl','edge']\nIp = '10.0.0.1'\nZone = 'z'\nRegion = 'y'
PortRange = [70,75]\nPeers = ['10.0.0.2:9']\nBootstrap = true\nVoting = false\nDataDir = '/data'\nHeartbeatMs = 500
Guarantees = ['base']\n[Zones]\nz = 'y'\n[Bind]\nHttp = '10.0.0.1:1'\nReadyz = '10.0.0.1:2'\nCtl = '10.0.0.1:3'
[Limits]\nCpuFrac = 0.5\nNcpu = 2\nRamMb = 512\nNofile = 2048\nLinkMbps = 12.5\nDiskMb = 7
[FaultBudget]\nNodes = 2\nZones = 1\nRegions = 1\n",
    );
    let output = tier(&["settings", "check", file.path()]);
    assert_eq!((output.exit_code, output.err.as_str()), (0, ""));
    insta::assert_snapshot!(output.out.split("[Bounds]").next().unwrap(), @r##"
        Node = "n"
        Role = "r"
        MachineClass = "edge"
        Serves = ["ctl","edge"]
        Ip = "10.0.0.1"
        Zone = "z"
        Region = "y"
        PortRange = [70,75]
        Peers = ["10.0.0.2:9"]
        Bootstrap = true
        Voting = false
        DataDir = "/data"
        HeartbeatMs = 500
        Guarantees = ["base"]
        [Zones]
        "z" = "y"
        [Bind]
        Http = "10.0.0.1:1"
        Readyz = "10.0.0.1:2"
        Ctl = "10.0.0.1:3"
        [Limits]
        CpuFrac = 0.5
        Ncpu = 2
        RamMb = 512
        Nofile = 2048
        LinkMbps = 12.5
        DiskMb = 7
        [FaultBudget]
        Nodes = 2
        Zones = 1
        Regions = 1
        "##);
}
