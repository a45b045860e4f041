//! The table of docs/control-state.md: at each point all lose power, what their disks hold and what
//! was said; and after it, with the first disk gone too, that nothing acknowledged is missing.

mod support;

use support::{member, view, Net};

/// Sends "x" through three members after "a", up to a point; then power goes everywhere.
fn crash_at(point: usize) -> (Net, String) {
    let mut net = Net::new(3);
    net.enter(&view(1, &[(1, 1), (2, 1), (3, 1)], &[]));
    net.settle();
    net.pass(500);
    net.propose(1, "a");
    net.settle();
    for n in 1..=3 {
        net.seat(n).syncs = false;
    }
    net.propose(1, "x");
    let steps: [&dyn Fn(&mut Net); 7] = [
        &|net| net.sync(1),
        &|net| assert!(net.step()),
        &|net| net.sync(2),
        &|net| assert!(net.step()),
        &|net| net.sync(3),
        &|net| assert!(net.step()),
        &|net| assert!(net.step()),
    ];
    for step in steps.iter().take(point) {
        step(&mut net);
    }
    let told = if net.seat(1).committed == 2 {
        "yes"
    } else {
        "no"
    };
    let disks: Vec<String> = (1..=3)
        .map(|n| {
            if net.seat(n).disk.last_number() == 2 {
                "x".to_owned()
            } else {
                "-".to_owned()
            }
        })
        .collect();
    let line = format!(
        "{point}: disks {} committed at the head: {told}",
        disks.join(" ")
    );
    for n in 1..=3 {
        net.down(n);
    }
    for n in 1..=3 {
        net.seat(n).syncs = true;
    }
    (net, line)
}

#[test]
fn each_crash_point_leaves_what_the_page_states() {
    let lines: Vec<String> = (0..=7).map(|point| crash_at(point).1).collect();
    insta::assert_snapshot!(lines.join("\n"), @r"
    0: disks - - - committed at the head: no
    1: disks x - - committed at the head: no
    2: disks x - - committed at the head: no
    3: disks x x - committed at the head: no
    4: disks x x - committed at the head: no
    5: disks x x x committed at the head: no
    6: disks x x x committed at the head: no
    7: disks x x x committed at the head: yes
    ");
}

#[test]
fn replicas_recover_and_agree_after_each_crash_point() {
    for point in 0..=7 {
        let (mut net, line) = crash_at(point);
        for n in 1..=3 {
            net.back(n);
        }
        net.pass(1_000);
        let words = net.words(1);
        let there = point >= 1;
        assert_eq!(words, if there { "a x" } else { "a" }, "{line}");
        assert_eq!(
            (net.words(2), net.words(3)),
            (words.clone(), words.clone()),
            "{line}"
        );
        assert!(net.node(1).is_ready(), "{line}");
        assert_eq!(net.seat(1).committed, if there { 2 } else { 1 }, "{line}");
    }
}

#[test]
fn any_one_disk_may_be_lost_after_each_crash_point() {
    for point in 0..=7 {
        for gone in 1..=3u64 {
            let (mut net, line) = crash_at(point);
            let acknowledged = net.seat(1).committed == 2;
            let left: Vec<u64> = (1..=3).filter(|n| *n != gone).collect();
            for n in &left {
                net.back(*n);
            }
            // The others' statuses are enough for the rule to name a head.
            let seen: Vec<chain_replication::Observation> = left
                .iter()
                .map(|n| chain_replication::Observation {
                    member: member(*n, 0),
                    alive: true,
                    status: Some(net.node(*n).status()),
                    zone: *n,
                    draining: false,
                    retiring: false,
                })
                .collect();
            let now_view = view(1, &[(1, 1), (2, 1), (3, 1)], &[]);
            let next =
                chain_replication::next_view(&now_view, &seen, 3, 2).expect("a head remains");
            net.enter(&next);
            net.settle();
            net.pass(1_000);
            let head = left[0];
            assert!(net.node(head).is_ready(), "{line}, {gone} gone");
            if acknowledged {
                assert_eq!(net.words(head), "a x", "{line}, {gone} gone");
            }
            let words = net.words(head);
            assert_eq!(net.words(left[1]), words, "{line}, {gone} gone");
            assert_eq!(
                net.propose(head, "y"),
                Some(words.split(' ').count() as u64 + 1)
            );
            net.settle();
            assert_eq!(
                net.words(left[1]),
                format!("{words} y"),
                "{line}, {gone} gone"
            );
        }
    }
}
