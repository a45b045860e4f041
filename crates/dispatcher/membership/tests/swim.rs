//! The state machine under any order of datagrams and ticks.

use membership::{
    Config, Effect, MemberState, MemberUpdate, Message, MessageKind, Swim, MAX_DATAGRAM_BYTES,
};
use proptest::prelude::*;

const PERIOD: u64 = 500_000;

fn swim(incarnation: u32) -> Swim {
    Swim::new(
        Config {
            me: 0,
            members: 5,
            period: PERIOD,
            incarnation,
            seed: 9,
        },
        0,
    )
}

fn said(from: u16, incarnation: u32, updates: Vec<MemberUpdate>) -> Message {
    Message {
        kind: MessageKind::Ack,
        from,
        incarnation,
        sequence: 999,
        target: 0,
        updates,
    }
}

fn change(member: u16, incarnation: u32, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        member,
        incarnation,
        state,
    }
}

#[test]
fn a_suspected_member_refutes_and_a_restarted_one_has_a_later_incarnation() {
    let mut me = swim(4);
    me.handle_message(1, &said(1, 1, vec![change(0, 4, MemberState::Suspect)]));
    assert_eq!(me.incarnation(), 5, "one above the accused one");
    me.handle_message(2, &said(1, 1, vec![change(0, 4, MemberState::Dead)]));
    assert_eq!(me.incarnation(), 5, "an older word is none");
    me.handle_message(3, &said(1, 1, vec![change(0, 9, MemberState::Alive)]));
    assert_eq!(me.incarnation(), 10, "a process before this one was there");
    let ping = Message {
        kind: MessageKind::Ping,
        ..said(2, 1, vec![change(3, 2, MemberState::Dead)])
    };
    let effects = me.handle_message(4, &ping);
    assert_eq!(me.state(3), Some(MemberState::Dead));
    let [Effect::MemberChanged(_), Effect::Send { to: 2, message }] = effects.as_slice() else {
        panic!("{effects:?}")
    };
    assert!(
        message.updates.contains(&change(0, 10, MemberState::Alive)),
        "it tells: {message:?}"
    );
    me.handle_message(5, &said(3, 2, vec![]));
    assert_eq!(
        me.state(3),
        Some(MemberState::Dead),
        "a late datagram of the dead process"
    );
    me.handle_message(6, &said(3, 3, vec![]));
    assert_eq!(me.state(3), Some(MemberState::Alive), "a later one");
}

/// A member that is heard directly is alive, whatever a third member says: it is notified, and
/// after its refutation all agree.
#[test]
fn a_member_heard_directly_is_not_declared_dead_on_hearsay() {
    let mut me = swim(4);
    me.handle_message(1, &said(1, 3, vec![]));
    let effects = me.handle_message(2, &said(2, 1, vec![change(1, 3, MemberState::Suspect)]));
    assert_eq!(me.state(1), Some(MemberState::Alive));
    let accused = |e: &Effect| matches!(e, Effect::Send { to: 1, message } if message.updates == [change(1, 3, MemberState::Suspect)]);
    assert!(effects.iter().any(accused), "it is told: {effects:?}");
    let late = 60 * PERIOD;
    me.handle_message(late, &said(2, 1, vec![change(1, 3, MemberState::Dead)]));
    assert_eq!(
        me.state(1),
        Some(MemberState::Dead),
        "it has not been heard for long"
    );
}

/// A member that leaves is waited for until its jobs must have ended, and is never suspected.
#[test]
fn a_member_that_leaves_is_gone_once_its_process_has_had_time_to_drain() {
    let mut me = swim(4);
    me.handle_message(1, &said(1, 3, vec![change(1, 3, MemberState::Left)]));
    assert_eq!(
        (me.state(1), me.is_gone(1, 2)),
        (Some(MemberState::Left), false)
    );
    assert!(me.is_gone(1, 3 + me.suspicion()) && !me.is_gone(2, 3 + me.suspicion()));
    me.handle_message(3, &said(2, 1, vec![change(1, 3, MemberState::Suspect)]));
    assert_eq!(me.state(1), Some(MemberState::Left), "no suspicion follows");
    me.handle_message(4, &said(1, 4, vec![]));
    assert_eq!(me.state(1), Some(MemberState::Alive), "its next process");
    let told = me.leave(5);
    assert_eq!(told.len(), 4, "all of four others");
    assert!(
        me.leave(6).is_empty() && me.tick(60 * PERIOD).is_empty(),
        "and nothing more"
    );
}

#[derive(Debug, Clone)]
enum Step {
    Time(u64),
    Message(Message),
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Dead)
    ];
    let change = (0u16..7, 0u32..1 << 24, state).prop_map(|(m, i, s)| change(m, i, s));
    let kind = prop_oneof![
        Just(MessageKind::Ping),
        Just(MessageKind::Ack),
        Just(MessageKind::PingReq)
    ];
    let updates = prop::collection::vec(change, 0..6);
    let message = (kind, 0u16..7, 0u32..1 << 24, 0u16..9, 0u16..7, updates).prop_map(
        |(kind, from, incarnation, sequence, target, updates)| {
            Step::Message(Message {
                kind,
                from,
                incarnation,
                sequence,
                target,
                updates,
            })
        },
    );
    prop_oneof![(0..2 * PERIOD).prop_map(Step::Time), message]
}

proptest! {
    /// Any order of datagrams and ticks: every datagram fits, goes to another member, the own
    /// incarnation never falls behind what others say, and time advances, so that a caller never
    /// spins.
    #[test]
    fn any_order_of_datagrams_and_ticks_keeps_the_bounds(steps in prop::collection::vec(step(), 0..80)) {
        let (mut me, mut now) = (swim(1), 0);
        for step in steps {
            let effects = match step {
                Step::Time(passes) => {
                    now += passes;
                    me.tick(now)
                }
                Step::Message(message) => me.handle_message(now, &message),
            };
            for effect in effects {
                if let Effect::Send { to, message } = effect {
                    prop_assert!(to != 0 && to < 5, "{}", to);
                    prop_assert!(message.encode().unwrap().len() <= MAX_DATAGRAM_BYTES);
                }
            }
            prop_assert!(me.alive().any(|m| m == 0));
            prop_assert_eq!(me.state(7), None);
            // A due time is used up by one call.
            let due = me.wake_at().max(now);
            me.tick(due);
            prop_assert!(me.wake_at() > due || me.wake_at() <= due && { me.tick(due); me.wake_at() > due }, "it spins");
            now = due;
        }
    }
}
