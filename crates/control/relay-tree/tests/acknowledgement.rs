//! A table that counts as having acknowledged an entry has it, at any depth.

mod support;

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;
use proptest::prelude::*;
use relay_tree::{AckCounts, Follow, Message, Role, Stamp, StateTable};
use support::{addr, World};

#[test]
fn acknowledgements_grow_to_the_whole_subtree() {
    let mut world = World::new(5, 3, 40, 4);
    world.run(3_000);
    let total = (0..3)
        .map(|n| {
            world
                .state_table(n)
                .acknowledged("x", Stamp(0, 0))
                .subscribers
        })
        .sum::<usize>();
    assert_eq!(total, 40);
    world.set(0, "config/next", Stamp(3, 0), Some(vec![9; 400_000]));
    let count = world
        .state_table(0)
        .acknowledged("config/next", Stamp(3, 0));
    assert_eq!(
        (count.acknowledged, count.peers, count.peers_acknowledged),
        (0, 2, 0)
    );
    let began = world.now;
    let all = |world: &mut World| {
        let count = world
            .state_table(0)
            .acknowledged("config/next", Stamp(3, 0));
        count.acknowledged == count.subscribers && count.peer_subtrees_acknowledged == 2
    };
    while !all(&mut world) && world.now - began < 3_000 {
        world.step();
    }
    assert!(world.now - began <= 700, "{} ms", world.now - began);
    assert!((0..43).all(|n| world.has(n, "config/next", Stamp(3, 0))));
    // A newer stamp than any is acknowledged by nobody.
    assert_eq!(
        world
            .state_table(0)
            .acknowledged("config/next", Stamp(4, 0))
            .acknowledged,
        0
    );
}

struct Three {
    /// Two controllers, and a child of the second.
    state_tables: Vec<StateTable>,
    queues: Vec<((usize, usize), VecDeque<Bytes>)>,
    now: u64,
}

impl Three {
    fn new() -> Three {
        let at = |n: usize| addr(n);
        let mut state_tables = vec![
            StateTable::new(11, at(0), Follow::All, Role::Root),
            StateTable::new(12, at(1), Follow::All, Role::Root),
            StateTable::new(13, at(2), Follow::First, Role::Relay),
        ];
        for (n, list) in [vec![at(1)], vec![at(0)], vec![at(1)]]
            .into_iter()
            .enumerate()
        {
            state_tables[n].set_parents(0, list);
        }
        Three {
            state_tables,
            queues: Vec::new(),
            now: 0,
        }
    }

    fn flush(&mut self, n: usize) {
        for (to, message) in self.state_tables[n].take_messages() {
            let to = (0..3).find(|m| addr(*m) == to).expect("known");
            let queue = match self.queues.iter().position(|(ends, _)| *ends == (n, to)) {
                Some(found) => found,
                None => {
                    self.queues.push(((n, to), VecDeque::new()));
                    self.queues.len() - 1
                }
            };
            self.queues[queue].1.push_back(message.encode());
        }
    }

    fn deliver(&mut self, which: usize, lose: bool) {
        let busy = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .count();
        if busy == 0 {
            return;
        }
        let busy = self
            .queues
            .iter_mut()
            .filter(|(_, queue)| !queue.is_empty())
            .nth(which % busy);
        let Some(((from, to), queue)) = busy else {
            return;
        };
        let (from, to): (SocketAddr, usize) = (addr(*from), *to);
        let Some(bytes) = queue.pop_front() else {
            return;
        };
        if !lose {
            self.state_tables[to].handle_message(
                self.now,
                from,
                Message::decode(&bytes).expect("readable"),
            );
            self.flush(to);
        }
    }

    fn check(&self) {
        for key in ["a", "b", "c"] {
            let Some(stamp) = self.state_tables[0]
                .get(key)
                .map(|state_entry| state_entry.stamp)
            else {
                continue;
            };
            let has = |n: usize| {
                self.state_tables[n]
                    .get(key)
                    .is_some_and(|state_entry| state_entry.stamp >= stamp)
            };
            let count = self.state_tables[0].acknowledged(key, stamp);
            let below = self.state_tables[0]
                .subscribers()
                .first()
                .map_or(0, |one| one.descendants);
            assert!(count.peers_acknowledged == 0 || has(1), "{key}");
            assert!(
                count.peer_subtrees_acknowledged == 0 || below == 0 || has(2),
                "{key} below"
            );
            let Some(stamp) = self.state_tables[1]
                .get(key)
                .map(|state_entry| state_entry.stamp)
            else {
                continue;
            };
            let count = self.state_tables[1].acknowledged(key, stamp);
            assert!(
                count.acknowledged == 0
                    || self.state_tables[2]
                        .get(key)
                        .is_some_and(|state_entry| state_entry.stamp >= stamp),
                "{key}"
            );
        }
    }
}

#[derive(Clone, Debug)]
enum Act {
    Set {
        controller: usize,
        key: usize,
        large: bool,
    },
    Deliver {
        which: usize,
        lose: bool,
    },
    Tick {
        ms: u64,
    },
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        1 => (0..2usize, 0..3usize, prop::bool::weighted(0.3)).prop_map(|(controller, key, large)| Act::Set { controller, key, large }),
        6 => (0..8usize, prop::bool::weighted(0.03)).prop_map(|(which, lose)| Act::Deliver { which, lose }),
        2 => (10..120u64).prop_map(|ms| Act::Tick { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn acknowledged_tables_have_the_entry(acts in prop::collection::vec(act(), 1..600)) {
        let mut three = Three::new();
        let mut stamp = 0;
        for act in acts {
            match act {
                Act::Set { controller, key, large } => {
                    stamp += 1;
                    let value = Bytes::from(vec![stamp as u8; if large { 400_000 } else { 200 }]);
                    let now = three.now;
                    three.state_tables[controller].set(now, ["a", "b", "c"][key], Stamp(stamp, 0), Some(value));
                    three.flush(controller);
                }
                Act::Deliver { which, lose } => three.deliver(which, lose),
                Act::Tick { ms } => {
                    three.now += ms;
                    for n in 0..3 {
                        let now = three.now;
                        if n < 2 {
                            three.state_tables[n].report_quorum_contact(now, 0);
                        }
                        three.state_tables[n].tick(now);
                        three.flush(n);
                    }
                }
            }
            three.check();
        }
        // Once the network works again, everything is acknowledged by all.
        for _ in 0..60 {
            three.now += 50;
            for n in 0..3 {
                let now = three.now;
                if n < 2 {
                    three.state_tables[n].report_quorum_contact(now, 0);
                }
                three.state_tables[n].tick(now);
                three.flush(n);
            }
            for _ in 0..200 {
                three.deliver(0, false);
            }
            three.check();
        }
        for key in ["a", "b", "c"] {
            let Some(stamp) = three.state_tables[0].get(key).map(|state_entry| state_entry.stamp) else { continue };
            let all = AckCounts { subscribers: 0, acknowledged: 0, peers: 1, peers_acknowledged: 1, peer_subtrees_acknowledged: 1 };
            prop_assert_eq!(three.state_tables[0].acknowledged(key, stamp), all);
            prop_assert_eq!(three.state_tables[2].get(key).map(|state_entry| state_entry.stamp), Some(stamp));
        }
    }
}
