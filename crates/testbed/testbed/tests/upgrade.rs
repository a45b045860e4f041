//! New versions under load on sockets: the program started beside itself, told to stop and killed outright.

use rstest::rstest;
use std::process::Command;
use std::sync::Mutex;
use testbed::upgrade::{Summary, Way};

fn play(seed: u64, upgrades: u32, cuts: bool) -> Summary {
    play_with(seed, upgrades, if cuts { &["--cuts"] } else { &[] })
}

/// One play at a time: each starts a fleet and processes that answer in time only with the cores they had alone.
static ALONE: Mutex<()> = Mutex::new(());

fn play_with(seed: u64, upgrades: u32, ways: &[&str]) -> Summary {
    let _alone = ALONE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let logs =
        std::env::temp_dir().join(format!("fordrelay-upgrade-{}-{seed}", std::process::id()));
    let mut command = Command::new(env!("CARGO_BIN_EXE_fordrelay-testbed"));
    command.args([
        "upgrade",
        "--boxes",
        "4",
        "--load",
        "0.25",
        "--seconds",
        "7",
        "--json",
        "-",
    ]);
    command.args([
        "--upgrades",
        &upgrades.to_string(),
        "--seed",
        &seed.to_string(),
    ]);
    command.arg("--logs").arg(&logs).args(ways);
    let output = command.output().expect("the lab runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let summary: Summary = serde_json::from_str(&text).expect("its JSON");
    assert_eq!(
        (summary.rules_broken, summary.late_sends),
        (0, 0),
        "seed {seed}: {text}, logs in {logs:?}"
    );
    std::fs::remove_dir_all(logs).expect("its logs");
    summary
}

/// No job is lost by a new version, also by a second one right after the first; bans hold across it, made at either
/// process.
#[test]
fn a_new_version_under_load_loses_nothing() {
    let summary = play(1, 2, false);
    assert_eq!((summary.lost, summary.steps.len()), (0, 2), "{summary}");
    assert!(summary.turned_back <= 4, "{summary}");
    assert!(
        summary
            .steps
            .iter()
            .all(|s| s.way == Way::TakesOver && s.ready_ms < 2_000),
        "{summary}"
    );
}

/// Whoever is killed, the other serves on, and a further start works. What is lost is what the killed one had taken.
#[rstest]
#[case(2)]
#[case(5)]
fn whoever_is_killed_the_other_serves_on(#[case] seed: u64) {
    let summary = play(seed, 3, true);
    assert_eq!(summary.steps.len(), 3, "{summary}");
    assert!(summary.served * 10 > summary.jobs * 7, "{summary}");
}

/// Discovery moved by SIGHUP and then lost: the old process tells the newcomer of the list from where it was moved to,
/// so that the newcomer, configured with that discovery, believes it and is ready at once, discovery or not.
#[test]
fn a_newcomer_believes_the_list_of_a_discovery_moved_by_sighup_and_then_lost() {
    let summary = play_with(3, 2, &["--moves"]);
    assert_eq!((summary.lost, summary.steps.len()), (0, 2), "{summary}");
    assert!(
        summary
            .steps
            .iter()
            .all(|s| s.way == Way::Moved && s.ready_ms < 1_000),
        "{summary}"
    );
}

/// Connections of clients and boxes that break at random points of heads, bodies and answers, across new versions: who
/// was not cut has one final answer, and nothing that must not run twice does.
#[rstest]
#[case(1, "0.3")]
#[case(3, "0.8")]
fn what_is_cut_at_a_random_point_of_a_message_costs_nobody_else(
    #[case] seed: u64,
    #[case] share: &str,
) {
    let summary = play_with(seed, 2, &["--breaks", share]);
    assert_eq!((summary.lost, summary.steps.len()), (0, 2), "{summary}");
    assert!(
        summary.cuts >= 10 && summary.cut_requests < summary.cuts,
        "{summary}"
    );
    assert!(
        summary.served + summary.cut_requests > summary.jobs / 2,
        "{summary}"
    );
}
