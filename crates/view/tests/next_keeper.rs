//! The rule for the next view of the keepers, acceptors included.

use std::net::SocketAddr;

use chain::{stays_on_fresh_word, Member, Ms, Seen, Status, View, FRESH_MS};
use view::{next_keeper_view, KeeperView, DEAD_FOR_MS};

fn member(id: u64, place: u8) -> Member {
    Member { id, addr: SocketAddr::from(([10, 0, 0, place], 7000)), since: 1 }
}

fn current() -> KeeperView {
    let members: Vec<Member> = (1..=3).map(|place| member(0, place)).collect();
    KeeperView { view: View { number: 4, members: members.clone(), joining: Vec::new() }, acceptors: members }
}

fn seen(id: u64, place: u8) -> Seen {
    let in_sync_view = if id == 0 { 4 } else { 0 };
    let status = Status { id, view: 4, in_sync_view, received: 1, caught_up: false };
    let zone = u64::from(place);
    Seen {
        member: member(id, place),
        alive: true,
        status: Some(status),
        zone,
        leaving: false,
        unwanted: false,
    }
}

fn told(next: Option<KeeperView>) -> String {
    let Some(next) = next else { return "none".to_owned() };
    let list = |members: &[Member]| -> String {
        let words = members.iter().map(|m| {
            let place = m.addr.to_string();
            format!("{}#{}", place.split([':', '.']).nth(3).unwrap_or_default(), m.id)
        });
        words.collect::<Vec<_>>().join(" ")
    };
    format!(
        "{}: {} joining [{}] acceptors {}",
        next.number(),
        list(&next.view.members),
        list(&next.view.joining),
        list(&next.acceptors)
    )
}

/// With so long a silence of those that are not alive.
fn next(current: &KeeperView, seen: &[Seen], dead_for: Ms) -> String {
    let alive = |m: &Member| seen.iter().any(|s| s.alive && s.member.is(m));
    told(next_keeper_view(current, seen, 3, 2, &|m| if alive(m) { 100 } else { dead_for }))
}

#[test]
fn nothing_changes_while_all_are_there() {
    assert_eq!(next(&current(), &[seen(0, 1), seen(0, 2), seen(0, 3), seen(9, 4)], 0), "none");
}

#[test]
fn a_chain_that_shrinks_keeps_its_acceptors() {
    let mut all = vec![seen(0, 1), seen(0, 2), seen(0, 3)];
    all[0].alive = false;
    all[1].alive = false;
    assert_eq!(next(&current(), &all, DEAD_FOR_MS), "5: 3#0 joining [] acceptors 1#0 2#0 3#0");
}

#[test]
fn a_machine_without_its_disk_takes_the_vote_at_once_one_at_a_time() {
    let all = [seen(7, 1), seen(8, 2), seen(0, 3)];
    assert_eq!(next(&current(), &all, 0), "5: 3#0 joining [1#7 2#8] acceptors 1#7 2#0 3#0");
    let mut now = current();
    now.acceptors[0] = member(7, 1);
    now.view.members.truncate(1);
    now.view.members[0] = member(0, 3);
    assert_eq!(next(&now, &all, 0), "5: 3#0 joining [1#7 2#8] acceptors 1#7 2#8 3#0");
}

#[test]
fn a_spare_takes_the_vote_of_one_that_is_dead_for_long() {
    let mut all = vec![seen(0, 1), seen(0, 2), seen(0, 3), seen(9, 4)];
    all[1].alive = false;
    assert_eq!(next(&current(), &all, DEAD_FOR_MS), "5: 1#0 3#0 joining [4#9] acceptors 1#0 2#0 3#0");
    assert_eq!(next(&current(), &all, DEAD_FOR_MS + 1), "5: 1#0 3#0 joining [4#9] acceptors 1#0 4#9 3#0");
    all[3].leaving = true;
    assert_eq!(next(&current(), &all, DEAD_FOR_MS + 1), "5: 1#0 3#0 joining [] acceptors 1#0 2#0 3#0");
}

#[test]
fn who_is_only_leaving_keeps_its_vote_and_the_retired_loses_it() {
    let mut all = vec![seen(0, 1), seen(0, 2), seen(0, 3), seen(9, 4)];
    all[0].leaving = true;
    assert_eq!(next(&current(), &all, 0), "5: 2#0 3#0 joining [4#9] acceptors 1#0 2#0 3#0");
    all[0].leaving = false;
    all[0].unwanted = true;
    assert_eq!(next(&current(), &all, 0), "5: 1#0 2#0 3#0 joining [4#9] acceptors 4#9 2#0 3#0");
}

#[test]
fn an_even_number_grows_by_one() {
    let mut now = current();
    now.acceptors.truncate(2);
    let all = vec![seen(0, 1), seen(0, 2), seen(0, 3)];
    assert_eq!(next(&now, &all, 0), "5: 1#0 2#0 3#0 joining [] acceptors 1#0 2#0 3#0");
}

#[test]
fn nobody_is_dropped_while_another_may_be_going_too() {
    let now = current().view;
    let next = View { number: 5, members: now.members[1..].to_vec(), joining: Vec::new() };
    let silent = |ms: Ms| move |m: &Member| if m.addr == member(0, 2).addr { ms } else { 100 };
    assert!(!stays_on_fresh_word(&now, &next, &silent(FRESH_MS + 1)));
    assert!(stays_on_fresh_word(&now, &next, &silent(FRESH_MS)));
    // Where nobody is dropped and the head stays, nothing has to be fresh.
    let next = View { number: 5, joining: vec![member(9, 4)], ..now.clone() };
    assert!(stays_on_fresh_word(&now, &next, &silent(10_000)));
}
