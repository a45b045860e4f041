//! The table of docs/control-state.md: at each point all lose power, what their disks hold and what
//! was sent; and after it, with the first disk gone too, that nothing acknowledged is missing.

mod support;

use support::{member, view, Cluster};

/// Sends "x" through three members after "a", up to a point; then power goes everywhere.
fn crash_at(point: usize) -> (Cluster, String) {
    let mut cluster = Cluster::new(3);
    cluster.install_view(&view(1, &[(1, 1), (2, 1), (3, 1)], &[]));
    cluster.deliver_all();
    cluster.advance(500);
    cluster.propose(1, "a");
    cluster.deliver_all();
    for n in 1..=3 {
        cluster.machine(n).syncs = false;
    }
    cluster.propose(1, "x");
    let steps: [&dyn Fn(&mut Cluster); 7] = [
        &|cluster| cluster.sync(1),
        &|cluster| assert!(cluster.step()),
        &|cluster| cluster.sync(2),
        &|cluster| assert!(cluster.step()),
        &|cluster| cluster.sync(3),
        &|cluster| assert!(cluster.step()),
        &|cluster| assert!(cluster.step()),
    ];
    for step in steps.iter().take(point) {
        step(&mut cluster);
    }
    let told = if cluster.machine(1).committed == 2 {
        "yes"
    } else {
        "no"
    };
    let disks: Vec<String> = (1..=3)
        .map(|n| {
            if cluster.machine(n).disk.last_number() == 2 {
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
        cluster.power_off(n);
    }
    for n in 1..=3 {
        cluster.machine(n).syncs = true;
    }
    (cluster, line)
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
        let (mut cluster, line) = crash_at(point);
        for n in 1..=3 {
            cluster.restart(n);
        }
        cluster.advance(1_000);
        let words = cluster.commands(1);
        let there = point >= 1;
        assert_eq!(words, if there { "a x" } else { "a" }, "{line}");
        assert_eq!(
            (cluster.commands(2), cluster.commands(3)),
            (words.clone(), words.clone()),
            "{line}"
        );
        assert!(cluster.node(1).is_ready(), "{line}");
        assert_eq!(
            cluster.machine(1).committed,
            if there { 2 } else { 1 },
            "{line}"
        );
    }
}

#[test]
fn any_one_disk_may_be_lost_after_each_crash_point() {
    for point in 0..=7 {
        for gone in 1..=3u64 {
            let (mut cluster, line) = crash_at(point);
            let acknowledged = cluster.machine(1).committed == 2;
            let left: Vec<u64> = (1..=3).filter(|n| *n != gone).collect();
            for n in &left {
                cluster.restart(*n);
            }
            // The others' statuses are enough for the rule to name a head.
            let seen: Vec<chain_replication::Observation> = left
                .iter()
                .map(|n| chain_replication::Observation {
                    member: member(*n, 0),
                    alive: true,
                    status: Some(cluster.node(*n).status()),
                    zone: *n,
                    draining: false,
                    retiring: false,
                })
                .collect();
            let now_view = view(1, &[(1, 1), (2, 1), (3, 1)], &[]);
            let next =
                chain_replication::next_view(&now_view, &seen, 3, 2).expect("a head remains");
            cluster.install_view(&next);
            cluster.deliver_all();
            cluster.advance(1_000);
            let head = left[0];
            assert!(cluster.node(head).is_ready(), "{line}, {gone} gone");
            if acknowledged {
                assert_eq!(cluster.commands(head), "a x", "{line}, {gone} gone");
            }
            let words = cluster.commands(head);
            assert_eq!(cluster.commands(left[1]), words, "{line}, {gone} gone");
            assert_eq!(
                cluster.propose(head, "y"),
                Some(words.split(' ').count() as u64 + 1)
            );
            cluster.deliver_all();
            assert_eq!(
                cluster.commands(left[1]),
                format!("{words} y"),
                "{line}, {gone} gone"
            );
        }
    }
}
