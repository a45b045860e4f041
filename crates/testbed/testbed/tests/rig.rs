//! Many processes of the program with faults between them, on loopback sockets.

use std::process::Command;
use testbed::rig::{Fault, Summary};

/// Killed, stopped and parted, with a fifth of datagrams lost: who is left keeps every rule, nobody crashes, and in the end
/// all take all for alive, those that came back included. Meanwhile a plan takes four boxes out in turn, two at a time.
#[test]
fn killed_stopped_and_parted_processes_keep_every_rule_and_find_each_other_again() {
    let logs = std::env::temp_dir().join(format!("fordrelay-rig-{}", std::process::id()));
    let mut command = Command::new(env!("CARGO_BIN_EXE_fordrelay-testbed"));
    command.args([
        "fleet",
        "--dispatchers",
        "6",
        "--boxes",
        "7",
        "--load",
        "0.2",
        "--seconds",
        "12",
    ]);
    command.args(["--plan", "4", "--out", "2"]);
    command.args([
        "--kills", "2", "--pauses", "1", "--splits", "1", "--seed", "1", "--json", "-",
    ]);
    let output = command
        .arg("--logs")
        .arg(&logs)
        .output()
        .expect("the lab runs");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let summary: Summary = serde_json::from_slice(&output.stdout).expect("its JSON");
    assert_eq!(
        (summary.rules_broken, summary.crashed),
        (0, 0),
        "{summary}, logs in {logs:?}"
    );
    assert_eq!(summary.faults.len(), 8, "{summary}");
    assert!(
        summary.agreed_after_ms.is_some(),
        "{summary}, logs in {logs:?}"
    );
    let plan = summary.plan.clone().expect("a plan");
    assert_eq!(
        (plan.targets, plan.late_sends),
        (4, 0),
        "{summary}, logs in {logs:?}"
    );
    assert!(
        plan.most_out <= 2 && plan.over_after_ms.is_some(),
        "{summary}, logs in {logs:?}"
    );
    assert!(summary.served * 10 > summary.jobs * 7, "{summary}");
    std::fs::remove_dir_all(logs).expect("its logs");
}

/// Ways closed in one direction, and a process that is told to stop: nobody who can be reached is taken for dead, and who left is
/// known to have left.
#[test]
fn processes_with_ways_closed_one_way_take_nobody_for_dead_who_can_be_reached() {
    let logs = std::env::temp_dir().join(format!("fordrelay-rig-ways-{}", std::process::id()));
    let mut command = Command::new(env!("CARGO_BIN_EXE_fordrelay-testbed"));
    command.args([
        "fleet",
        "--dispatchers",
        "6",
        "--boxes",
        "7",
        "--load",
        "0.2",
        "--seconds",
        "14",
    ]);
    command.args([
        "--kills",
        "0",
        "--pauses",
        "0",
        "--splits",
        "0",
        "--leave",
        "1",
        "--one-sided",
        "1",
    ]);
    command.args(["--period-ms", "250", "--seed", "2", "--json", "-"]);
    let output = command
        .arg("--logs")
        .arg(&logs)
        .output()
        .expect("the lab runs");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let summary: Summary = serde_json::from_slice(&output.stdout).expect("its JSON");
    assert_eq!(
        (summary.rules_broken, summary.crashed),
        (0, 0),
        "{summary}, logs in {logs:?}"
    );
    assert!(
        summary
            .faults
            .iter()
            .any(|(_, fault)| matches!(fault, Fault::OneSided(..))),
        "{summary}"
    );
    let members = &summary.members;
    assert_eq!(
        (members.false_deaths, members.left_suspected),
        (0, 0),
        "{summary}, logs in {logs:?}"
    );
    assert!(
        members.views_equal_ms.is_some() && members.left_known_ms < 2_000,
        "{summary}, logs in {logs:?}"
    );
    std::fs::remove_dir_all(logs).expect("its logs");
}
