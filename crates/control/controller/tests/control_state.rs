//! The control state: changes follow each other, repeats are known, and a copy is the same.

use chain_replication::StateMachine;
use controller::control_state::{
    digest, Command, ConfigChange, ControlState, RolloutOrder, MAX_REMEMBERED_CHANGES, MAX_ROLLOUTS,
};
use proptest::prelude::*;
use replicated_state::RolloutState;

fn config(base: u64, gen: u64, body: &[u8]) -> Command {
    Command::ReplaceConfig {
        change: ConfigChange {
            base_version: base,
            version: gen,
            digest: digest(body),
        },
        body: body.to_vec(),
    }
}

#[test]
fn of_two_changes_on_one_base_version_one_is_accepted() {
    let mut control = ControlState::default();
    control.apply(1, &config(0, 3, b"a").encode());
    control.apply(2, &config(0, 5, b"b").encode());
    assert_eq!(control.config_version(), 3);
    assert_eq!(control.accepted_version(0, &digest(b"a")), Some(3));
    assert_eq!(control.accepted_version(0, &digest(b"b")), None);
}

#[test]
fn a_repeated_change_is_recognized_on_its_own_base_version_only() {
    let mut control = ControlState::default();
    for (base, gen) in [(0, 2), (2, 7), (7, 9)] {
        control.apply(gen, &config(base, gen, &[gen as u8]).encode());
    }
    assert_eq!(control.config_version(), 9);
    assert_eq!(control.accepted_version(2, &digest(&[7])), Some(7));
    assert_eq!(control.accepted_version(7, &digest(&[7])), None);
}

#[test]
fn a_version_not_above_the_current_one_is_ignored() {
    let mut control = ControlState::default();
    control.apply(1, &config(0, 4, b"a").encode());
    control.apply(2, &config(4, 4, b"b").encode());
    control.apply(3, &config(4, 3, b"c").encode());
    assert_eq!(control.config_version(), 4);
    assert_eq!(
        control.config.as_ref().map(|(_, b)| b.as_ref()),
        Some(b"a".as_ref())
    );
}

proptest! {
    #[test]
    fn a_restored_snapshot_equals_the_state(commands in proptest::collection::vec((0_u64..4, 0_u64..6, 0_u8..3, any::<bool>()), 0..40)) {
        let mut control = ControlState::default();
        for (n, (base, gen, body, map)) in commands.iter().enumerate() {
            let command = if *map {
                Command::ReplacePlacement { number: *gen, body: vec![*body] }
            } else {
                config(*base, *gen, &[*body])
            };
            let before = control.config_version();
            control.apply(n as u64, &command.encode());
            prop_assert!(control.config_version() >= before);
        }
        let mut copy = ControlState::default();
        prop_assert!(copy.restore(&control.snapshot()).is_ok());
        prop_assert_eq!(copy, control);
    }

    #[test]
    fn arbitrary_commands_and_snapshots_do_not_panic(bytes: Vec<u8>) {
        let mut control = ControlState::default();
        control.apply(1, &bytes);
        let _ = control.restore(&bytes);
    }
}

/// Changes one on the other, from the first version on.
fn changes(count: u64) -> ControlState {
    let mut control = ControlState::default();
    for gen in 1..=count {
        control.apply(gen, &config(gen - 1, gen, &gen.to_le_bytes()).encode());
    }
    control
}

// An order that was sent again after 256 others was refused.
#[test]
fn a_repeated_change_is_recognized_after_thousands_and_after_a_snapshot() {
    let control = changes(4_096);
    let mut copy = ControlState::default();
    copy.restore(&control.snapshot()).expect("own snapshot");
    for control in [&control, &copy] {
        for gen in [1, 2, 3_000, 4_096] {
            assert_eq!(
                control.accepted_version(gen - 1, &digest(&gen.to_le_bytes())),
                Some(gen)
            );
            assert_eq!(control.accepted_version(gen - 1, &digest(b"another")), None);
        }
    }
}

#[test]
fn a_change_older_than_all_remembered_is_neither_accepted_nor_rejected() {
    let control = changes(MAX_REMEMBERED_CHANGES as u64);
    assert!(control.remembers_changes_on(0));
    let control = changes(MAX_REMEMBERED_CHANGES as u64 + 5);
    for base in [0, 1, 4] {
        assert!(!control.remembers_changes_on(base), "{base}");
    }
    // The oldest that is known builds on 5.
    for base in [
        5,
        6,
        3_000,
        control.config_version(),
        control.config_version() + 1,
    ] {
        assert!(control.remembers_changes_on(base), "{base}");
    }
    assert_eq!(
        control.accepted_version(5, &digest(&6_u64.to_le_bytes())),
        Some(6)
    );
}

proptest! {
    /// A copy of the state that was cut, changed or announces more than it has: refused with the
    /// state as it was, or taken as a whole; nothing is set aside for what has not come.
    #[test]
    fn a_corrupted_snapshot_is_restored_completely_or_not_at_all(
        at in any::<prop::sample::Index>(), length in any::<u32>(), how in 0u8..3, cut in any::<prop::sample::Index>(),
    ) {
        let before = changes(5);
        let mut copy = changes(9).snapshot();
        match how {
            0 => copy.truncate(cut.index(copy.len())),
            // Wherever a length stands, it may say anything.
            1 => {
                let at = at.index(copy.len() - 4);
                copy[at..at + 4].copy_from_slice(&length.to_le_bytes());
            }
            _ => copy[..4].copy_from_slice(&u32::MAX.to_le_bytes()),
        }
        let mut control = before.clone();
        if control.restore(&copy).is_err() {
            prop_assert_eq!(control, before);
        } else {
            prop_assert_eq!(how, 1, "cut, or more announced than there is, and taken");
        }
    }
}

fn begin(service: &str, target: &str) -> Command {
    Command::BeginRollout {
        order: RolloutOrder {
            service: service.into(),
            target: target.into(),
            over_ms: 12_000,
            begun_unix_ms: 7,
        },
    }
}

#[test]
fn of_two_rollouts_of_a_service_the_later_one_waits_for_the_end() {
    let mut control = ControlState::default();
    control.apply(5, &begin("s", "v2").encode());
    control.apply(6, &begin("s", "v3").encode());
    let record = control.rollout("s").expect("a roll-out").clone();
    assert_eq!((record.id, record.order.target), (5, b"v2".to_vec()));
    let end = |id, state| Command::EndRollout { id, state }.encode();
    control.apply(7, &end(6, RolloutState::Complete));
    assert_eq!(
        control.rollout("s").map(|r| r.state),
        Some(RolloutState::Rolling)
    );
    control.apply(8, &end(5, RolloutState::Reverted));
    control.apply(9, &end(5, RolloutState::Complete));
    assert_eq!(
        control.rollout("s").map(|r| r.state),
        Some(RolloutState::Reverted)
    );
    control.apply(10, &begin("s", "v3").encode());
    assert_eq!(control.rollout("s").map(|r| r.id), Some(10));
}

#[test]
fn rollouts_are_bounded_and_survive_a_snapshot() {
    let mut control = ControlState::default();
    control.apply(1, &config(0, 4, b"a").encode());
    let before = control.snapshot();
    for number in 0..MAX_ROLLOUTS as u64 + 10 {
        control.apply(number + 2, &begin(&format!("s{number}"), "v2").encode());
    }
    assert_eq!(control.rollouts.len(), MAX_ROLLOUTS);
    let mut restored = ControlState::default();
    restored.restore(&control.snapshot()).expect("a snapshot");
    assert_eq!(restored, control);
    // One of a version without roll-outs, and one read by such a version: it has the same begin.
    restored.restore(&before).expect("a snapshot");
    assert!(restored.rollouts.is_empty());
    assert!(control.snapshot().starts_with(&before));
    assert!(restored.restore(&[&before[..], &[9]].concat()).is_err());
}
