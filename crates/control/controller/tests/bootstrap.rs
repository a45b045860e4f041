//! Founders that start in any order, with lost and late frames, ends with and without their disks:
//! one bootstrap at most, soon where it is possible, and none by a disk that was lost.

use bytes::Bytes;
use chain_replication::Member;
use controller::bootstrap::{Bootstrap, BootstrapEffect, BootstrapMessage, ABSENT_MEMBER_TIMEOUT};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use view_agreement::{ControllerView, RecoveredAcceptor};

/// Within this all that are up know the first view, once enough of them are there.
const SOON: u64 = 500;
/// The same where frames are lost.
const LATER: u64 = 3_000;

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 7_660))
}

enum Payload {
    Bootstrap(BootstrapMessage),
    /// What one that has a view answers.
    Learn(ControllerView),
}

struct Sent {
    at: u64,
    from: usize,
    to: usize,
    payload: Payload,
}

struct Machine {
    identity: u64,
    /// The records, each with when it is synced.
    records: Vec<(u64, u64, Bytes)>,
    bootstrap: Option<Bootstrap>,
    began: u64,
    view: Option<ControllerView>,
    starts: Option<u64>,
}

/// What happens beside the starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Nothing,
    /// One is never there.
    OneMissing,
    /// One ends and comes back with its disk.
    Ends,
    /// One loses its disk and takes itself for a founder again.
    Wiped,
    /// One is never there, and another one loses its disk after the bootstrap.
    MissingAndWiped,
}

/// What came before: a founder with an empty disk founds at once, and asks nobody.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Planted {
    Nothing,
    FoundsAtOnce,
}

struct World {
    random: Pcg64Mcg,
    now: u64,
    machines: Vec<Machine>,
    sent: Vec<Sent>,
    /// Every first view that anybody knew.
    views: Vec<ControllerView>,
    planted: Planted,
    loses: bool,
}

impl World {
    fn new(seed: u64, founders: usize, planted: Planted) -> World {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let machines = (0..founders)
            .map(|n| Machine {
                identity: 100 + n as u64,
                records: Vec::new(),
                bootstrap: None,
                began: 0,
                view: None,
                starts: Some(1 + random.next_u64() % 300),
            })
            .collect();
        World {
            random,
            now: 0,
            machines,
            sent: Vec::new(),
            views: Vec::new(),
            planted,
            loses: true,
        }
    }

    fn below(&mut self, most: u64) -> u64 {
        self.random.next_u64() % most
    }

    fn start(&mut self, n: usize) {
        let now = self.now;
        let founders: Vec<SocketAddr> = (0..self.machines.len()).map(addr).collect();
        let machine = &mut self.machines[n];
        let mut recovered = RecoveredAcceptor::default();
        for (_, _, record) in &machine.records {
            recovered.read(record).expect("a record that was written");
        }
        let me = Member {
            id: machine.identity,
            addr: addr(n),
            since: 0,
        };
        machine.starts = None;
        machine.began = now;
        if self.planted == Planted::FoundsAtOnce && machine.view.is_none() {
            let members = vec![Member { since: 1, ..me }];
            let view = chain_replication::View {
                number: 1,
                members: members.clone(),
                joining: vec![],
            };
            return self.knows(
                n,
                ControllerView {
                    view,
                    acceptors: members,
                },
            );
        }
        if machine.view.is_none() {
            let mut bootstrap = Bootstrap::new(me, founders, recovered);
            bootstrap.set_disk_writable(true);
            machine.bootstrap = Some(bootstrap);
        }
    }

    fn end(&mut self, n: usize, back: u64, wiped: bool) {
        let now = self.now;
        let open = self.machines[n]
            .records
            .iter()
            .filter(|r| r.0 > now)
            .count() as u64;
        let stays = self.below(open + 1) as usize;
        let machine = &mut self.machines[n];
        let synced = machine.records.iter().filter(|r| r.0 <= now).count();
        machine.records.truncate(synced + stays);
        machine.bootstrap = None;
        machine.starts = Some(now + back);
        if wiped {
            machine.records.clear();
            machine.view = None;
            machine.identity += 1_000;
        }
        self.sent.retain(|sent| sent.to != n);
    }

    fn knows(&mut self, n: usize, view: ControllerView) {
        if !self.views.contains(&view) {
            self.views.push(view.clone());
        }
        self.machines[n].bootstrap = None;
        self.machines[n].view = Some(view);
    }

    fn send(&mut self, from: usize, to: usize, payload: Payload) {
        // Now and then one is lost, as at the end of a connection.
        if !self.loses || self.below(12) > 0 {
            let at = self.now + 1 + self.below(40);
            self.sent.push(Sent {
                at,
                from,
                to,
                payload,
            });
        }
    }

    fn arrived(&mut self, sent: Sent) {
        let (now, to) = (self.now, sent.to);
        // Not listening: lost.
        if self.machines[to].starts.is_some() {
            return;
        }
        match (sent.payload, self.machines[to].view.clone()) {
            (Payload::Bootstrap(_), Some(view)) => self.send(to, sent.from, Payload::Learn(view)),
            (Payload::Bootstrap(message), None) => {
                if let Some(bootstrap) = &mut self.machines[to].bootstrap {
                    bootstrap.handle_message(now, addr(sent.from), message);
                }
            }
            (Payload::Learn(view), None) => self.knows(to, view),
            (Payload::Learn(_), Some(_)) => {}
        }
    }

    fn carry_out(&mut self, n: usize) {
        let Some(bootstrap) = &mut self.machines[n].bootstrap else {
            return;
        };
        for out in bootstrap.take_effects() {
            match out {
                BootstrapEffect::Send { to, message } => {
                    let message = BootstrapMessage::decode(&message.encode()).expect("a message");
                    let to = (0..self.machines.len())
                        .find(|m| addr(*m) == to)
                        .expect("a founder");
                    self.send(n, to, Payload::Bootstrap(message));
                }
                BootstrapEffect::Write { ticket, record } => {
                    let after = self.machines[n]
                        .records
                        .last()
                        .map_or(0, |r| r.0)
                        .max(self.now);
                    let synced = after + 1 + self.below(6);
                    self.machines[n].records.push((synced, ticket, record));
                }
                BootstrapEffect::Completed(view) => self.knows(n, view),
            }
        }
    }

    /// Plays until then.
    fn play(&mut self, until: u64) {
        while self.now < until {
            self.now += 1;
            for n in 0..self.machines.len() {
                if self.machines[n].starts == Some(self.now) {
                    self.start(n);
                }
                let now = self.now;
                let machine = &mut self.machines[n];
                if let Some(bootstrap) = &mut machine.bootstrap {
                    let synced = machine
                        .records
                        .iter()
                        .filter(|r| r.0 == now)
                        .map(|r| r.1)
                        .max();
                    if let Some(ticket) = synced {
                        bootstrap.synced(now, ticket);
                    }
                    if (now - machine.began) % 100 == 1 {
                        bootstrap.tick(now);
                    }
                }
                self.carry_out(n);
            }
            let (due, later) = std::mem::take(&mut self.sent)
                .into_iter()
                .partition(|s| s.at <= self.now);
            self.sent = later;
            let due: Vec<Sent> = due;
            for sent in due {
                let to = sent.to;
                self.arrived(sent);
                self.carry_out(to);
            }
        }
    }

    fn knowing(&self) -> usize {
        self.machines.iter().filter(|m| m.view.is_some()).count()
    }
}

/// What is wrong after such a day.
fn broken(seed: u64, trouble: Trouble, planted: Planted) -> Option<String> {
    let founders = if seed.is_multiple_of(4) { 5 } else { 3 };
    let mut world = World::new(seed, founders, planted);
    let one = world.below(founders as u64) as usize;
    let other = (one + 1) % founders;
    world.loses = trouble != Trouble::Nothing;
    let missing = matches!(trouble, Trouble::OneMissing | Trouble::MissingAndWiped);
    if missing {
        world.machines[one].starts = Some(u64::MAX);
    }
    let at = 300 + world.below(3_000);
    if matches!(trouble, Trouble::Ends | Trouble::Wiped) {
        world.play(at);
        let back = 50 + world.below(1_500);
        world.end(one, back, trouble == Trouble::Wiped);
    } else if trouble == Trouble::MissingAndWiped {
        world.play(300 + ABSENT_MEMBER_TIMEOUT + LATER);
        world.end(other, 50, true);
    }
    let until = match trouble {
        Trouble::Nothing => 300 + SOON,
        // The one that comes back may have been needed; the wait counts from its start.
        _ => 300 + ABSENT_MEMBER_TIMEOUT + at + 1_500 + LATER,
    };
    world.play(until);
    let there = if missing { founders - 1 } else { founders };
    if world.views.len() != 1 {
        return Some(format!(
            "seed {seed}, {trouble:?}: {} foundings",
            world.views.len()
        ));
    }
    if world.knowing() != there {
        return Some(format!(
            "seed {seed}, {trouble:?}: {} of {there} know the first view",
            world.knowing()
        ));
    }
    None
}

const TROUBLES: [Trouble; 5] = [
    Trouble::Nothing,
    Trouble::OneMissing,
    Trouble::Ends,
    Trouble::Wiped,
    Trouble::MissingAndWiped,
];

#[test]
fn there_is_one_bootstrap_under_any_faults() {
    for trouble in TROUBLES {
        for seed in 0..150 {
            assert_eq!(broken(seed, trouble, Planted::Nothing), None);
        }
    }
}

/// What came before is found.
#[test]
fn a_member_that_bootstraps_alone_is_detected() {
    let found = (0..20)
        .filter(|seed| broken(*seed, Trouble::Wiped, Planted::FoundsAtOnce).is_some())
        .count();
    assert_eq!(found, 20);
}

/// One that another founder knows by another identity takes no part, though all others announce
/// themselves as empty.
#[test]
fn a_member_that_lost_its_disk_during_bootstrap_takes_no_part() {
    let me = Member {
        id: 9,
        addr: addr(0),
        since: 0,
    };
    let mut bootstrap =
        Bootstrap::new(me, (0..3).map(addr).collect(), RecoveredAcceptor::default());
    bootstrap.set_disk_writable(true);
    bootstrap.tick(1);
    bootstrap.handle_message(
        2,
        addr(1),
        BootstrapMessage::Announce {
            identity: 11,
            known: 7,
        },
    );
    bootstrap.handle_message(
        2,
        addr(2),
        BootstrapMessage::Announce {
            identity: 12,
            known: 0,
        },
    );
    for now in (101..10_000).step_by(100) {
        bootstrap.tick(now);
        let agrees = |out: &BootstrapEffect| {
            matches!(
                out,
                BootstrapEffect::Send {
                    message: BootstrapMessage::Agreement { .. },
                    ..
                }
            )
        };
        assert!(!bootstrap.take_effects().iter().any(agrees));
    }
}

#[test]
fn arbitrary_bytes_are_no_bootstrap_message() {
    for bytes in [
        &b""[..],
        b"\x00",
        b"\x01abc",
        b"\x02",
        b"\xff0000000000000000",
    ] {
        assert!(BootstrapMessage::decode(bytes).is_err());
    }
}
