//! The tree's form: the same for all processes that know the same lists.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use proptest::prelude::*;
use relay_tree::tree_parents;

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (n / 250) as u8, (n % 250) as u8 + 1], 7001))
}

fn controller(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, n as u8 + 1], 7000))
}

fn lists(dispatchers: usize, controllers: usize, zones: usize) -> [Vec<(SocketAddr, String)>; 2] {
    let zone = |n: usize| format!("z{}", n % zones);
    let dispatchers = (0..dispatchers).map(|n| (addr(n), zone(n)));
    let controllers = (0..controllers).map(|n| (controller(n), zone(n)));
    [dispatchers.collect(), controllers.collect()]
}

#[test]
fn the_first_level_follows_controllers_of_its_zone() {
    let [dispatchers, controllers] = lists(9, 3, 3);
    for (me, zone) in &dispatchers {
        let list = tree_parents(*me, zone, &dispatchers, &controllers, 4);
        assert_eq!(
            controllers
                .iter()
                .find(|(_, z)| z == zone)
                .map(|(addr, _)| addr),
            list.first()
        );
        assert_eq!(list.len(), 3);
    }
    let list = tree_parents(addr(4), "z1", &dispatchers, &controllers, 4);
    insta::assert_snapshot!(format!("{list:?}"), @"[10.1.0.2:7000, 10.1.0.1:7000, 10.1.0.3:7000]");
}

#[test]
fn short_or_empty_lists_give_short_parent_lists() {
    let none: [(SocketAddr, String); 0] = [];
    assert_eq!(
        tree_parents(addr(0), "z0", &none, &none, 3),
        Vec::<SocketAddr>::new()
    );
    let [dispatchers, controllers] = lists(2, 1, 1);
    assert_eq!(
        tree_parents(addr(0), "z0", &dispatchers, &none, 3),
        Vec::<SocketAddr>::new()
    );
    // A process that isn't in the list yet, and a width of 0.
    assert_eq!(
        tree_parents(addr(7), "elsewhere", &dispatchers, &controllers, 0).last(),
        Some(&controller(0))
    );
    // A controller never follows itself.
    assert_eq!(
        tree_parents(controller(0), "z0", &none, &controllers, 3),
        Vec::<SocketAddr>::new()
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn every_position_leads_to_a_controller(count in 1usize..220, controllers_n in 1usize..6, zones in 1usize..5, width in 1usize..9) {
        let [dispatchers, controllers] = lists(count, controllers_n, zones);
        let lists = dispatchers.iter().map(|(me, zone)| (*me, tree_parents(*me, zone, &dispatchers, &controllers, width)));
        let lists = lists.collect::<BTreeMap<_, _>>();
        let mut load: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        let zone_of = dispatchers.iter().chain(&controllers).cloned().collect::<BTreeMap<_, _>>();
        for (me, list) in &lists {
            prop_assert!(!list.contains(me));
            prop_assert!(controllers.iter().all(|(controller, _)| list.contains(controller)));
            *load.entry(list[0]).or_default() += 1;
            // Following first parents, or second ones, leads up without a cycle.
            for nth in 0..2 {
                let (mut at, mut steps) = (*me, 0);
                while let Some(up) = lists.get(&at).and_then(|list| list.get(nth).or(list.first())) {
                    at = *up;
                    steps += 1;
                    prop_assert!(steps <= count);
                }
            }
            if zones > 1 && controllers_n > 1 && list.len() > 1 && controllers.iter().any(|(addr, _)| *addr == list[0]) {
                let others = controllers.iter().any(|(_, zone)| zone != &zone_of[&list[0]]);
                prop_assert!(!others || zone_of[&list[1]] != zone_of[&list[0]]);
            }
        }
        prop_assert!(load.values().all(|load| *load <= width), "{load:?}");
        // The tree has as few levels as the width allows.
        let depth = |me: &SocketAddr| {
            let (mut at, mut steps) = (*me, 0usize);
            while let Some(list) = lists.get(&at) {
                (at, steps) = (list[0], steps + 1);
            }
            steps
        };
        let (mut levels, mut room, mut wide) = (0, 0, controllers_n);
        while room < count {
            wide = wide.saturating_mul(width);
            room = room.saturating_add(wide);
            levels += 1;
        }
        prop_assert_eq!(lists.keys().map(depth).max(), Some(levels));
    }
}
