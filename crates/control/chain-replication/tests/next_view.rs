//! The rule for the next view.

#[expect(dead_code, reason = "each test file uses a part")]
mod support;

use chain_replication::{next_view, Observation, ReplicaStatus, View};
use support::{member, view};

fn seen(n: u64, now: &View) -> Observation {
    let in_view = now.members.iter().any(|m| m.id == n);
    let status = ReplicaStatus {
        id: n,
        view: now.number,
        in_sync_view: if in_view { now.number } else { 0 },
        last_received: 10,
        caught_up: false,
    };
    Observation {
        member: member(n, 0),
        alive: true,
        status: Some(status),
        zone: n,
        draining: false,
        retiring: false,
    }
}

fn all(now: &View, count: u64) -> Vec<Observation> {
    (1..=count).map(|n| seen(n, now)).collect()
}

fn told(next: Option<View>) -> String {
    let Some(next) = next else {
        return "none".to_owned();
    };
    let members: Vec<String> = next
        .members
        .iter()
        .map(|m| format!("{}@{}", m.id, m.since))
        .collect();
    let joining: Vec<String> = next.joining.iter().map(|m| m.id.to_string()).collect();
    format!(
        "{}: {} joining [{}]",
        next.number,
        members.join(" "),
        joining.join(" ")
    )
}

fn three() -> View {
    view(5, &[(1, 1), (2, 1), (3, 4)], &[])
}

#[test]
fn view_is_unchanged_while_all_are_alive() {
    let now = three();
    assert_eq!(told(next_view(&now, &all(&now, 4), 3, 2)), "none");
}

#[test]
fn dead_members_are_dropped_and_a_spare_joins() {
    let now = three();
    let mut s = all(&now, 4);
    s[0].alive = false;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "6: 2@1 3@4 joining [4]");
    s[1].alive = false;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "6: 3@4 joining [4]");
    s[2].alive = false;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "none", "not the last one");
}

#[test]
fn dead_head_is_succeeded_only_by_a_member_that_holds_everything() {
    let now = three();
    let mut s = all(&now, 3);
    s[0].alive = false;
    // 2 was last in sync in view 3: it has been a member since 1 without a gap, so it lacks
    // nothing.
    s[1].status.as_mut().unwrap().in_sync_view = 3;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "6: 2@1 3@4 joining []");
    // 3 came in with view 4 and has not been in sync since.
    s[2].status.as_mut().unwrap().in_sync_view = 3;
    s[1].alive = false;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "none");
    // Where the first of those left may not lead, a later one does.
    let now = view(5, &[(1, 1), (3, 4), (2, 1)], &[]);
    let mut s = all(&now, 3);
    s[0].alive = false;
    s[2].status.as_mut().unwrap().in_sync_view = 3;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "6: 2@1 3@4 joining []");
    // One that reports nothing does not lead.
    s[1].status = None;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "none");
}

#[test]
fn machine_without_its_disk_is_a_newcomer() {
    let now = three();
    let mut s = all(&now, 3);
    s[1].member.id = 77;
    s[1].status = None;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "6: 1@1 3@4 joining [77]");
    // Also while its old id still counts as alive.
    let mut s = all(&now, 3);
    let mut newcomer = seen(2, &now);
    newcomer.member.id = 77;
    s.push(newcomer);
    assert_eq!(told(next_view(&now, &s, 3, 2)), "6: 1@1 3@4 joining [77]");
}

#[test]
fn joiner_becomes_the_tail_once_caught_up_in_this_view() {
    let now = view(5, &[(1, 1), (2, 1)], &[4]);
    let mut s = all(&now, 4);
    assert_eq!(told(next_view(&now, &s, 3, 2)), "none");
    s[3].status.as_mut().unwrap().caught_up = true;
    s[3].status.as_mut().unwrap().view = 4;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "none", "of an older view");
    s[3].status.as_mut().unwrap().view = 5;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "6: 1@1 2@1 4@6 joining []");
    s[3].alive = false;
    assert_eq!(
        told(next_view(&now, &s, 3, 2)),
        "6: 1@1 2@1 joining [3]",
        "another takes its place"
    );
}

#[test]
fn joiners_of_other_zones_come_first_and_are_bounded() {
    let now = view(5, &[(1, 1)], &[]);
    let mut s = all(&now, 6);
    s[1].zone = 1;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "6: 1@1 joining [3 4]");
    assert_eq!(told(next_view(&now, &s, 6, 2)), "6: 1@1 joining [3 4]");
    for other in &mut s[2..] {
        other.alive = false;
    }
    assert_eq!(told(next_view(&now, &s, 3, 2)), "6: 1@1 joining [2]");
}

#[test]
fn draining_member_is_dropped_or_moved_to_the_end() {
    let now = three();
    let mut s = all(&now, 3);
    s[0].draining = true;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "6: 2@1 3@4 joining []");
    // Without it there would be too few: it stays, at the end, until it stops.
    let now = view(5, &[(1, 1), (2, 1)], &[]);
    let mut s = all(&now, 2);
    s[0].draining = true;
    assert_eq!(told(next_view(&now, &s, 2, 2)), "6: 2@1 1@1 joining []");
    let now = view(6, &[(2, 1), (1, 1)], &[]);
    let mut s = all(&now, 2);
    s[0].draining = true;
    s[1].draining = true;
    assert_eq!(
        told(next_view(&now, &s, 2, 2)),
        "none",
        "all are leaving: nobody is better"
    );
}

#[test]
fn retiring_member_is_dropped_once_enough_others_are_in_sync() {
    let now = three();
    let mut s = all(&now, 4);
    s[1].retiring = true;
    assert_eq!(
        told(next_view(&now, &s, 3, 2)),
        "6: 1@1 2@1 3@4 joining [4]"
    );
    let now = view(7, &[(1, 1), (2, 1), (3, 4), (4, 7)], &[]);
    let mut s = all(&now, 4);
    s[1].retiring = true;
    s[3].status.as_mut().unwrap().in_sync_view = 0;
    assert_eq!(
        told(next_view(&now, &s, 3, 2)),
        "none",
        "4 is not in sync yet"
    );
    s[3].status.as_mut().unwrap().in_sync_view = 7;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "8: 1@1 3@4 4@7 joining []");
    // Where no other machine is there, two are enough.
    let now = three();
    let mut s = all(&now, 3);
    s[1].retiring = true;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "6: 1@1 3@4 joining []");
}

#[test]
fn chain_that_is_one_too_long_drops_its_last_member() {
    let now = view(7, &[(1, 1), (2, 1), (3, 4), (4, 7)], &[]);
    let mut s = all(&now, 4);
    assert_eq!(told(next_view(&now, &s, 3, 2)), "8: 1@1 2@1 3@4 joining []");
    s[1].status.as_mut().unwrap().in_sync_view = 6;
    assert_eq!(
        told(next_view(&now, &s, 3, 2)),
        "none",
        "not before all are in sync"
    );
}

#[test]
fn head_that_reports_data_loss_is_succeeded_by_a_member_that_holds_everything() {
    let now = three();
    let mut s = all(&now, 3);
    s[0].status.as_mut().unwrap().in_sync_view = 0;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "6: 2@1 1@1 3@4 joining []");
    // No other member holds everything: the chain waits.
    s[1].status.as_mut().unwrap().in_sync_view = 0;
    s[2].status.as_mut().unwrap().in_sync_view = 3;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "none");
    // One that has reported nothing yet was allowed to lead when it was made head.
    s[0].status = None;
    s[1].alive = false;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "6: 1@1 3@4 joining []");
}

#[test]
fn head_of_a_bootstrap_view_has_nothing_to_hold() {
    let now = view(1, &[(1, 1), (2, 1), (3, 1)], &[]);
    let mut s = all(&now, 3);
    for seen in &mut s {
        seen.status.as_mut().unwrap().in_sync_view = 0;
    }
    s[2].alive = false;
    assert_eq!(told(next_view(&now, &s, 3, 2)), "2: 1@1 2@1 joining []");
}
