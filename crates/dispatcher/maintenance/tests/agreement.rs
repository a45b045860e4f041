//! Members that settle an order while datagrams are lost, processes die and restart, and the network parts: no limit is
//! exceeded, summed over all that live, at any instant, and the plan ends.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use maintenance::{
    Effect, Limits, Maintenance, Message, Observations, Plan, SavedState, Target, TargetState,
    WireError, MAX_DATAGRAM_BYTES,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const STEP: u64 = 50_000;
/// What happens to others is believed this much later.
const BELIEF: u64 = 1_000_000;

fn plan(targets: u32, out: u8) -> Plan {
    let target = |n| Target {
        name_hash: 100 + n,
        kind: (n % 3) as u8,
        zone: (n % 2) as u8,
    };
    let limits = Limits {
        out,
        zone: out,
        kinds: vec![out, 1, 1],
    };
    let (version, by, id, cancelled) = Default::default();
    let targets = (0..targets).map(target).collect();
    Plan {
        version,
        by,
        id,
        limits,
        drain_ms: 2_000,
        out_ms: 6_000,
        cancelled,
        targets,
    }
}

/// Whoever was taken for dead for long, and is back, may have out for so long what the others have taken back since: what it
/// heard first may be older than that. docs/maintenance.md names it as open.
const CATCHES_UP: u64 = 2_000_000;

/// A world of members; a member is none while its process is dead.
struct World {
    members: Vec<Option<Maintenance>>,
    bans: Vec<BTreeSet<u32>>,
    /// Since when each cannot be reached by the others, or can.
    changed: Vec<u64>,
    kept: Vec<Option<SavedState>>,
    apart: Vec<bool>,
    apart_since: u64,
    on_the_way: BTreeMap<(u64, u64), (u16, u16, Vec<u8>)>,
    count: u64,
    now: u64,
    draw: u64,
    loss: u64,
    /// Out at once at most, for those that the others could count: see [`CATCHES_UP`].
    most_out: usize,
    /// Since when each is there for the others.
    joined: Vec<u64>,
    /// Ends of work: when each target became empty everywhere.
    works: BTreeMap<u32, u64>,
}

impl World {
    fn new(members: u16, loss: u64, draw: u64) -> Self {
        let n = usize::from(members);
        World {
            members: (0..members)
                .map(|me| Some(Maintenance::new(me, members)))
                .collect(),
            bans: vec![BTreeSet::new(); n],
            changed: vec![0; n],
            kept: vec![None; n],
            apart: vec![false; n],
            apart_since: 0,
            on_the_way: BTreeMap::new(),
            count: 0,
            now: 1_000_000,
            draw,
            loss,
            most_out: 0,
            joined: vec![0; n],
            works: BTreeMap::new(),
        }
    }

    fn drawn(&mut self, below: u64) -> u64 {
        self.draw = self
            .draw
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.draw >> 33) % below
    }

    fn carry_out(&mut self, me: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let bytes = message.encode();
                    assert!(bytes.len() <= MAX_DATAGRAM_BYTES && bytes.len() % 5 != 0);
                    if self.drawn(100) >= self.loss {
                        self.count += 1;
                        let at = self.now + 1_000 + self.drawn(40_000);
                        self.on_the_way
                            .insert((at, self.count), (me as u16, to, bytes));
                    }
                }
                Effect::SetOutOfService {
                    name_hash,
                    out: true,
                } => drop(self.bans[me].insert(name_hash)),
                Effect::SetOutOfService {
                    name_hash,
                    out: false,
                } => drop(self.bans[me].remove(&name_hash)),
                Effect::TargetStateChanged { .. } => {}
            }
        }
        let counted =
            |m: &usize| self.members[*m].is_some() && self.now >= self.joined[*m] + CATCHES_UP;
        let live = (0..self.members.len()).filter(counted);
        let out: BTreeSet<u32> = live.flat_map(|m| self.bans[m].iter().copied()).collect();
        self.most_out = self.most_out.max(out.len());
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(key) = self
            .on_the_way
            .keys()
            .next()
            .copied()
            .filter(|(at, _)| *at <= self.now)
        {
            let Some((from, to, bytes)) = self.on_the_way.remove(&key) else {
                break;
            };
            let (from, to) = (usize::from(from), usize::from(to));
            if self.apart[from] != self.apart[to] {
                continue;
            }
            let message = Message::decode(&bytes).expect("what a member wrote");
            let Some(member) = &mut self.members[to] else {
                continue;
            };
            let effects = member.handle_message(self.now, &message);
            self.carry_out(to, effects);
        }
        for me in 0..self.members.len() {
            let late = |since: u64| self.now >= since + BELIEF;
            let alive: Vec<bool> = (0..self.members.len())
                .map(|m| {
                    let there = self.members[m].is_some();
                    let there = if late(self.changed[m]) { there } else { !there };
                    let same = self.apart[m] == self.apart[me];
                    m == me || there && (same || !late(self.apart_since))
                })
                .collect();
            // What is in flight to a target ends by itself.
            let works = self.works.clone();
            let now = self.now;
            let look = Observations {
                alive: &|m| alive[usize::from(m)],
                in_flight: &|name_hash| {
                    works
                        .get(&name_hash)
                        .is_none_or(|ends| now + 1_000_000 < *ends)
                },
                restarted: &|name_hash, _| works.get(&name_hash).is_some_and(|ends| now >= *ends),
            };
            let Some(member) = &mut self.members[me] else {
                continue;
            };
            let effects = member.tick(self.now, &look);
            for effect in &effects {
                if let Effect::SetOutOfService {
                    name_hash,
                    out: true,
                } = effect
                {
                    self.works.entry(*name_hash).or_insert(now + 1_500_000);
                }
            }
            // A process that is killed leaves what it kept a moment before.
            self.kept[me] = self.members[me].as_ref().and_then(Maintenance::saved_state);
            self.carry_out(me, effects);
        }
    }

    fn kill(&mut self, me: usize) {
        self.members[me] = None;
        self.bans[me].clear();
        self.changed[me] = self.now;
    }

    fn start(&mut self, me: usize, noted: bool) {
        let mut member = Maintenance::new(me as u16, self.members.len() as u16);
        let kept = self.kept[me].clone().filter(|_| noted);
        let effects = kept.map_or(vec![], |kept| member.restore(self.now, kept));
        self.members[me] = Some(member);
        (self.changed[me], self.joined[me]) = (self.now, self.now);
        self.carry_out(me, effects);
    }

    fn part(&mut self, side: u8) {
        let apart: Vec<bool> = (0..self.members.len())
            .map(|m| side >> m & 1 == 1)
            .collect();
        // Of two sides the smaller one is back when they meet again.
        let small = 2 * self.apart.iter().filter(|a| **a).count() <= self.members.len();
        for m in 0..self.members.len() {
            if self.apart.contains(&true) && self.apart[m] == small {
                self.joined[m] = self.now;
            }
        }
        (self.apart, self.apart_since) = (apart, self.now);
    }

    fn over(&self) -> bool {
        let over = |m: &Maintenance| m.progress(self.now).is_some_and(|p| p.over);
        self.members.iter().flatten().all(over)
    }
}

#[test]
fn a_plan_of_twelve_completes_with_a_fifth_of_datagrams_lost() {
    let mut world = World::new(16, 20, 1);
    let now = world.now;
    world.members[3]
        .as_mut()
        .unwrap()
        .submit(now, plan(12, 2), 7)
        .unwrap();
    let steps = (0..4_000).take_while(|_| {
        world.step();
        !world.over()
    });
    let took = steps.count() as u64 * STEP;
    assert!(took < 60_000_000, "{took}");
    assert_eq!(world.most_out, 2);
    let progress = world.members[9]
        .as_ref()
        .unwrap()
        .progress(world.now)
        .unwrap();
    assert!(
        progress
            .targets
            .iter()
            .all(|t| t.state == TargetState::Returned),
        "{progress:?}"
    );
}

#[test]
fn of_two_concurrent_plans_one_wins_everywhere_and_the_other_is_rolled_back() {
    let mut world = World::new(7, 20, 2);
    let now = world.now;
    world.members[5]
        .as_mut()
        .unwrap()
        .submit(now, plan(4, 1), 50)
        .unwrap();
    world.members[2]
        .as_mut()
        .unwrap()
        .submit(
            now,
            Plan {
                out_ms: 7_000,
                ..plan(6, 2)
            },
            20,
        )
        .unwrap();
    (0..60).for_each(|_| world.step());
    for member in world.members.iter().flatten() {
        let progress = member.progress(world.now).unwrap();
        assert_eq!((progress.plan.by, progress.plan.id), (2, 20));
    }
    assert!(world.members[4].as_mut().unwrap().cancel(now));
    (0..60).for_each(|_| world.step());
    assert!(
        world.over() && world.bans.iter().all(BTreeSet::is_empty),
        "called off at one, back at all"
    );
}

#[test]
fn a_minority_takes_no_target_out_and_keeps_those_that_are() {
    let mut world = World::new(7, 0, 3);
    let now = world.now;
    world.members[0]
        .as_mut()
        .unwrap()
        .submit(now, plan(12, 2), 1)
        .unwrap();
    (0..10).for_each(|_| world.step());
    (0..3).for_each(|m| world.apart[m] = true);
    world.apart_since = world.now;
    let before = world.members[0]
        .as_ref()
        .unwrap()
        .progress(world.now)
        .unwrap()
        .gone;
    (0..60).for_each(|_| world.step());
    let minority = world.members[0]
        .as_ref()
        .unwrap()
        .progress(world.now)
        .unwrap();
    assert_eq!(
        (minority.gone, minority.paused),
        (before, true),
        "{minority:?}"
    );
    assert!(
        !world.members[5]
            .as_ref()
            .unwrap()
            .progress(world.now)
            .unwrap()
            .paused
    );
    world.part(0);
    (0..1_600).for_each(|_| world.step());
    assert!(world.over() && world.most_out <= 2, "{}", world.most_out);
}

/// Found by the search below: a process that came back with its note had targets out again which the others had long
/// counted as back.
#[test]
fn an_expired_removal_in_a_saved_state_is_ignored() {
    let mut world = World::new(7, 20, 4);
    let now = world.now;
    world.members[0]
        .as_mut()
        .unwrap()
        .submit(now, plan(9, 2), 1)
        .unwrap();
    (0..20).for_each(|_| world.step());
    assert_eq!(world.bans[0].len(), 2);
    world.kill(0);
    (0..150).for_each(|_| world.step());
    world.start(0, true);
    assert!(
        world.bans[0].is_empty() && world.most_out <= 2,
        "{}",
        world.most_out
    );
}

/// Guards against a note that goes by the name of the plan under way and is longer, or was written by a clock ahead.
#[test]
fn a_saved_state_that_does_not_fit_the_active_plan_does_no_harm() {
    let mut member = Maintenance::new(0, 3);
    member.submit(5, plan(2, 1), 1).unwrap();
    let mut kept = member.saved_state().unwrap();
    kept.plan.targets = plan(9, 1).targets;
    (kept.gone, kept.since) = (9, vec![Some(u64::MAX); 9]);
    member.restore(10, kept.clone());
    assert_eq!(
        member.progress(10).map(|p| (p.gone, p.targets.len())),
        Some((2, 2))
    );
    let mut newcomer = Maintenance::new(0, 3);
    newcomer.restore(10, kept);
    assert_eq!(newcomer.progress(10).unwrap().targets[0].since, Some(10));
}

#[derive(Debug, Clone)]
enum Happens {
    Kill(usize),
    Start(usize, bool),
    Part(u8),
    Heal,
    Steps(u8),
}

fn happens(loses_notes: bool) -> impl Strategy<Value = Happens> {
    prop_oneof![
        (0usize..7).prop_map(Happens::Kill),
        (0usize..7, any::<bool>())
            .prop_map(move |(m, noted)| Happens::Start(m, noted || !loses_notes)),
        (1u8..127).prop_map(Happens::Part),
        Just(Happens::Heal),
        (1u8..60).prop_map(Happens::Steps),
        (1u8..60).prop_map(Happens::Steps),
    ]
}

fn play(story: Vec<Happens>, draw: u64, loss: u64) -> World {
    let mut world = World::new(7, loss, draw);
    let now = world.now;
    world.members[1]
        .as_mut()
        .unwrap()
        .submit(now, plan(9, 2), 1)
        .unwrap();
    (0..20).for_each(|_| world.step());
    for happens in story {
        match happens {
            Happens::Kill(m) if world.members[m].is_some() => world.kill(m),
            Happens::Start(m, noted) if world.members[m].is_none() => world.start(m, noted),
            Happens::Part(side) => world.part(side),
            Happens::Heal => world.part(0),
            Happens::Steps(n) => (0..n).for_each(|_| world.step()),
            _ => {}
        }
    }
    world.part(0);
    (0..7).for_each(|m| {
        if world.members[m].is_none() {
            world.start(m, true)
        }
    });
    for _ in 0..3_000 {
        world.step();
        if world.over() {
            break;
        }
    }
    world
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// Whatever dies, restarts and parts, in whatever order.
    #[test]
    fn no_limit_is_exceeded_and_the_plan_completes(
        story in prop::collection::vec(happens(false), 0..14),
        draw: u64,
        loss in 0u64..40,
    ) {
        let world = play(story, draw, loss);
        prop_assert!(world.most_out <= 2, "{} out at once", world.most_out);
        prop_assert!(world.over(), "it ends");
    }

    /// A process that lost its note may have out for a moment what others count as back: then the plan still ends.
    #[test]
    fn lost_saved_states_do_not_block_a_plan(
        story in prop::collection::vec(happens(true), 0..14),
        draw: u64,
        loss in 0u64..40,
    ) {
        let world = play(story, draw, loss);
        prop_assert!(world.over() || world.members.iter().flatten().all(|m| m.progress(0).is_none()), "it ends");
        prop_assert!(world.bans.iter().all(BTreeSet::is_empty));
    }

    #[test]
    fn any_bytes_are_decoded_or_refused_and_messages_decode_to_themselves(bytes in prop::collection::vec(any::<u8>(), 0..270)) {
        if let Ok(message) = Message::decode(&bytes) {
            prop_assert_eq!(Message::decode(&message.encode()), Ok(message));
        }
        let mut own = bytes.clone();
        own.splice(0..own.len().min(2), [2, 2]);
        if let Err(e) = Message::decode(&own) {
            prop_assert!(matches!(e, WireError::Length(_)), "{e}");
        }
    }
}

#[test]
fn an_invalid_plan_is_refused_with_its_field() {
    let refused = |change: &dyn Fn(&mut Plan)| {
        let mut plan = plan(3, 1);
        change(&mut plan);
        plan.validate().unwrap_err().to_string()
    };
    assert!(refused(&|p| p.targets.clear()).starts_with("targets: 0"));
    assert!(refused(&|p| p.targets[1] = p.targets[0]).starts_with("targets: one is named twice"));
    assert!(refused(&|p| p.limits.zone = 0).starts_with("limits.zone"));
    assert!(refused(&|p| p.limits.kinds.truncate(1)).starts_with("limits.kinds: there are 1"));
    assert!(refused(&|p| p.out_ms = p.drain_ms).starts_with("out_ms"));
}
