//! Many propose at once, over a network that loses, delays and reorders, with restarts and losses
//! of power in between: for one number, no two views are ever chosen.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chain_replication::{Member, Millis, View};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use view_agreement::{
    Agreement, ControllerView, Effect, Message, MessageBody, Record, RecoveredAcceptor,
};

/// What is wrong with the harness, to see that the test detects it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Promises and what was accepted are forgotten at a restart.
    Forgets,
    /// Records count as synced as soon as they are written, and power takes them.
    SyncedEarly,
}

struct Controller {
    agreement: Agreement,
    records: Vec<bytes::Bytes>,
    safe: usize,
    ticket: u64,
}

struct Sim {
    rng: Pcg64Mcg,
    fault: Fault,
    bootstrap: ControllerView,
    controllers: Vec<Controller>,
    mail: Vec<(Millis, SocketAddr, SocketAddr, Message)>,
    chosen: BTreeMap<u64, ControllerView>,
    broken: Option<String>,
}

fn member(n: usize, since: u64) -> Member {
    Member {
        id: 0,
        addr: SocketAddr::from(([10, 0, 0, n as u8 + 1], 7000)),
        since,
    }
}

impl Sim {
    fn new(seed: u64, fault: Fault) -> Sim {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let count = if rng.next_u64() % 2 == 0 { 3 } else { 5 };
        let acceptors: Vec<Member> = (0..count).map(|n| member(n, 1)).collect();
        let view = View {
            number: 1,
            members: acceptors.clone(),
            joining: Vec::new(),
        };
        let bootstrap = ControllerView { view, acceptors };
        let controllers = (0..count)
            .map(|n| Controller {
                agreement: Agreement::new(
                    member(n, 0),
                    Some(bootstrap.clone()),
                    RecoveredAcceptor::default(),
                ),
                records: Vec::new(),
                safe: 0,
                ticket: 0,
            })
            .collect();
        let broken = None;
        Sim {
            rng,
            fault,
            bootstrap,
            controllers,
            mail: Vec::new(),
            chosen: BTreeMap::new(),
            broken,
        }
    }

    fn below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n.max(1)
    }

    fn drain(&mut self, now: Millis, n: usize) {
        loop {
            let effects = self.controllers[n].agreement.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Send { to, message } => {
                        // Few learn of a chosen view, so that others go on proposing.
                        let lost = if matches!(message.body, MessageBody::Chosen { .. }) {
                            85
                        } else {
                            10
                        };
                        if self.below(100) >= lost {
                            let late = if self.below(4) == 0 {
                                self.below(400)
                            } else {
                                self.below(20)
                            };
                            let message =
                                Message::decode(&message.encode()).expect("what was sent");
                            self.mail
                                .push((now + 1 + late, to, member(n, 0).addr, message));
                        }
                    }
                    Effect::Write { ticket, record } => {
                        self.controllers[n].records.push(record);
                        self.controllers[n].ticket = ticket;
                        if self.fault == Fault::SyncedEarly {
                            self.controllers[n].agreement.handle_synced(now, ticket);
                        }
                    }
                    Effect::ViewChosen(value) => {
                        let old = self
                            .chosen
                            .entry(value.number())
                            .or_insert_with(|| value.clone());
                        if *old != value {
                            self.broken = Some(format!("two are chosen for {}", value.number()));
                        }
                    }
                    Effect::ViewConfirmed { .. } => {}
                }
            }
        }
    }

    fn restart(&mut self, n: usize, power: bool) {
        let fault = self.fault;
        let controller = &mut self.controllers[n];
        if power {
            controller.records.truncate(controller.safe);
        }
        let mut recovered = RecoveredAcceptor::default();
        for record in &controller.records {
            let record = Record::decode(record).expect("what was written");
            if fault != Fault::Forgets || matches!(record, Record::Chosen { .. }) {
                recovered.replay(record);
            }
        }
        controller.safe = controller.records.len();
        controller.ticket = 0;
        let bootstrap = controller
            .records
            .is_empty()
            .then(|| self.bootstrap.clone());
        controller.agreement = Agreement::new(member(n, 0), bootstrap, recovered);
    }

    /// Views that were chosen, and what broke.
    fn play(&mut self) -> (u64, Option<String>) {
        for now in 1..6_000 {
            for n in 0..self.controllers.len() {
                self.step(now, n);
            }
            self.deliver(now);
            if self.broken.is_some() {
                break;
            }
        }
        let newest = self
            .chosen
            .last_key_value()
            .map_or(0, |(number, _)| *number);
        (newest, self.broken.take())
    }

    /// A millisecond of one controller: a sync, a tick, a proposal, a restart, each by chance.
    fn step(&mut self, now: Millis, n: usize) {
        if self.below(4) == 0 {
            let controller = &mut self.controllers[n];
            controller.safe = controller.records.len();
            controller.agreement.handle_synced(now, controller.ticket);
        }
        if (now + n as Millis * 3).is_multiple_of(20) {
            self.controllers[n].agreement.tick(now);
        }
        let current = self.controllers[n].agreement.current_view().cloned();
        if let (Some(current), true) = (current, self.below(60) == 0) {
            // A value of its own: marked by a number that no other uses.
            let number = current.number() + 1;
            let mark = self.rng.next_u64();
            let mut view = View {
                number,
                ..current.view
            };
            view.joining = vec![Member {
                id: mark,
                ..member(9, number)
            }];
            let next = ControllerView {
                view,
                acceptors: current.acceptors,
            };
            self.controllers[n].agreement.propose(now, next);
        }
        if self.below(1_000) == 0 {
            let power = self.below(2) == 0;
            self.restart(n, power);
        }
        self.drain(now, n);
    }

    /// Delivers the messages that are due.
    fn deliver(&mut self, now: Millis) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|mail| mail.0 <= now);
        self.mail = later;
        for (_, to, from, message) in due {
            let Some(n) = (0..self.controllers.len()).find(|n| member(*n, 0).addr == to) else {
                continue;
            };
            // The worst moments to end: just after accepting, just after having it chosen.
            let is_accept = matches!(
                message.body,
                MessageBody::Accept { .. } | MessageBody::Accepted { .. }
            );
            self.controllers[n]
                .agreement
                .handle_message(now, from, message);
            self.drain(now, n);
            if is_accept && self.below(8) == 0 {
                let power = self.below(2) == 0;
                self.restart(n, power);
            }
        }
    }
}

#[test]
fn at_most_one_view_is_chosen_for_a_number() {
    let mut views = 0;
    for seed in 0..60 {
        let (newest, broken) = Sim::new(seed, Fault::None).play();
        assert_eq!(broken, None, "seed {seed}");
        views += newest;
    }
    println!("{views} views on 60 seeds");
    assert!(views > 60 * 5, "only {views} views were chosen");
}

fn found(fault: Fault) -> u64 {
    let seed = (0..60).find(|seed| Sim::new(*seed, fault).play().1.is_some());
    seed.unwrap_or_else(|| panic!("{fault:?} was not found"))
}

#[test]
fn detects_an_acceptor_that_forgets() {
    println!("seed {}", found(Fault::Forgets));
}

#[test]
fn detects_messages_sent_before_the_sync() {
    println!("seed {}", found(Fault::SyncedEarly));
}
