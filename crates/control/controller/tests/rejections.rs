//! Bad input at a controller: frames that can't be read, runners' and operators' calls, the
//! settings file. Each is refused and counted, and all stands as before.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use batch::wire::HEARTBEAT;
use bytes::Bytes;
use chain_replication::ReplicaStatus;
use controller::call::{Call, CallId, Response};
use controller::core::{ControllerCore, Effect, TICK_INTERVAL};
use controller::frame_kind::{BOOTSTRAP, CHAIN_REPLICATION, CONTROLLER_HEARTBEAT, VIEW_AGREEMENT};
use controller::heartbeat::{zone_hash, ControllerHeartbeat, EncodedStatus};
use controller::startup::{ProcessIdentity, RecordKind, RecoveredState, Startup};
use controller::Time;
use peer_transport::Peer;
use proptest::prelude::*;
use replicated_state::{HELLO, RELAY};
use slog::{Drain, Logger, OwnedKVList, Record};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tier_settings::Settings;

const SETTINGS: &str = "Node = \"edge-1\"\nRole = \"controller\"\nMachineClass = \"edge\"\nServes = [\"ctl\"]\n\
    Ip = \"10.0.0.1\"\nZone = \"z\"\nRegion = \"r\"\nPortRange = [7660,7675]\nPeers = [\"10.0.0.1:8146\"]\nBootstrap = true\n\
    DataDir = \"/data\"\nHeartbeatMs = 1200\n[Bind]\nCtl = \"10.0.0.1:8146\"\n[FaultBudget]\nNodes = 1\n[Bounds]\nGraceS = 8\n";

/// Counts the lines that say of a refusal.
struct Lines(Arc<AtomicUsize>);

impl Drain for Lines {
    type Ok = ();
    type Err = slog::Never;
    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        self.0.fetch_add(
            usize::from(record.level() == slog::Level::Warning),
            Ordering::Relaxed,
        );
        Ok(())
    }
}

struct One {
    core: ControllerCore,
    now: u64,
    warnings: Arc<AtomicUsize>,
}

impl One {
    /// A tier of one controller that has settled.
    fn new() -> One {
        let settings = Settings::parse(SETTINGS).unwrap();
        let addr = SocketAddr::from(([10, 0, 0, 1], 7_660));
        let identity = ProcessIdentity {
            incarnation: 7,
            disk_id: 9,
            disk_was_empty: true,
        };
        let startup = Startup::new(&settings, addr, identity, &RecoveredState::default());
        let warnings = Arc::new(AtomicUsize::new(0));
        let log = Logger::root(Lines(warnings.clone()), slog::o!());
        let core = ControllerCore::new(startup, &RecoveredState::default(), settings, log).unwrap();
        let mut one = One {
            core,
            now: 1,
            warnings,
        };
        for _ in 0..20 {
            one.tick();
        }
        one.warnings.store(0, Ordering::Relaxed);
        one
    }

    fn tick(&mut self) {
        self.now += TICK_INTERVAL;
        self.core.update_disk_state(
            self.now,
            write_ahead_log::DiskStatus {
                preallocated: true,
                ..Default::default()
            },
        );
        self.core.tick(Time {
            now: self.now,
            unix_ms: self.now,
        });
        self.drain();
    }

    /// What it wants done, on an instant disk: its answers, and how many records it wrote.
    fn drain(&mut self) -> (Vec<Response>, usize) {
        let (mut answers, mut written) = (Vec::new(), 0);
        loop {
            let mut writes = Vec::new();
            for out in self.core.take_effects() {
                match out {
                    Effect::Write { ticket, .. } => writes.push(ticket),
                    Effect::Respond { response, .. } => answers.push(response),
                    Effect::Send { .. } => {}
                }
            }
            if writes.is_empty() {
                return (answers, written);
            }
            written += writes.len();
            self.core.handle_synced(
                Time {
                    now: self.now,
                    unix_ms: self.now,
                },
                &writes,
            );
        }
    }

    fn frame(&mut self, kind: u16, body: &[u8]) -> usize {
        let addr = SocketAddr::from(([10, 0, 0, 7], 7_660));
        let from = Peer {
            addr,
            id: 5,
            node: "edge-7".into(),
            zone: "z".into(),
        };
        self.core.handle_frame(
            Time {
                now: self.now,
                unix_ms: self.now,
            },
            &from,
            kind,
            &Bytes::copy_from_slice(body),
        );
        self.drain().1
    }

    fn asked(&mut self, ask: Call) -> Vec<Response> {
        self.core.handle_call(
            Time {
                now: self.now,
                unix_ms: self.now,
            },
            CallId(1),
            ask,
        );
        self.drain().0
    }

    fn status(&mut self) -> jzon::JsonValue {
        let answers = self.asked(Call::GetStatus);
        jzon::parse(std::str::from_utf8(&answers[0].body).unwrap()).unwrap()
    }

    fn refused(&mut self, of: &str) -> u64 {
        self.status()["Refused"][of].as_u64().unwrap()
    }

    /// All that is kept, and what operators see, apart from the counters.
    fn stands(&mut self) -> (Vec<(RecordKind, Bytes)>, String) {
        let mut status = self.status();
        status.remove("Refused");
        (self.core.snapshot_records(), status.dump())
    }
}

const KINDS: [u16; 6] = [
    VIEW_AGREEMENT,
    CHAIN_REPLICATION,
    CONTROLLER_HEARTBEAT,
    BOOTSTRAP,
    HEARTBEAT,
    RELAY,
];

fn heartbeat() -> ControllerHeartbeat {
    let status = ReplicaStatus {
        id: 5,
        view: 1,
        in_sync_view: 1,
        last_received: 0,
        caught_up: false,
    };
    let receives_from = vec![SocketAddr::from(([10, 0, 0, 1], 7_660)).into()];
    ControllerHeartbeat {
        id: 5,
        incarnation: 5,
        zone: zone_hash("z"),
        status: EncodedStatus::from(&status),
        flags: 0,
        receives_from,
    }
}

#[test]
fn malformed_frames_are_counted_and_logged_at_a_limited_rate() {
    let mut one = One::new();
    let before = one.stands();
    for n in 0..1_000u16 {
        let kind = KINDS[usize::from(n) % KINDS.len()];
        assert_eq!(one.frame(kind, b"\xff\xff\xff"), 0);
    }
    one.frame(0x7777, b"of an unknown kind");
    assert_eq!(one.refused("Frames"), 1_001);
    assert_eq!(
        one.warnings.load(Ordering::Relaxed),
        1,
        "one line, however many come"
    );
    assert_eq!(one.stands(), before);
    // The next one says how many were left out.
    one.now += 10_000;
    one.frame(VIEW_AGREEMENT, b"");
    assert_eq!(
        (one.warnings.load(Ordering::Relaxed), one.refused("Frames")),
        (2, 1_002)
    );
}

#[test]
fn a_heartbeat_is_decoded_completely_or_rejected() {
    let whole = heartbeat().encode();
    assert!(ControllerHeartbeat::decode(&whole).is_ok());
    for cut in 0..whole.len() {
        assert!(
            ControllerHeartbeat::decode(&whole[..cut]).is_err(),
            "cut at {cut}"
        );
    }
    let doubled = [&whole[..], &whole[..]].concat();
    assert!(
        ControllerHeartbeat::decode(&doubled).is_err(),
        "two in one frame"
    );
    let mut one = One::new();
    one.frame(CONTROLLER_HEARTBEAT, &doubled);
    assert_eq!(one.refused("Frames"), 1);
}

#[test]
fn calls_with_invalid_content_are_counted_and_change_nothing() {
    let mut one = One::new();
    let before = one.stands();
    for _ in 0..50 {
        let heartbeat = Call::RunnerHeartbeat {
            id: "i-1".to_owned(),
            body: Bytes::from_static(b"{\"Slots\":-1}"),
        };
        assert_eq!(one.asked(heartbeat)[0].status, 400);
        let put = Call::ReplaceConfig {
            base_version: 0,
            body: Bytes::from_static(b"{\"Gen\":1,\"Routes\":["),
        };
        assert_eq!(one.asked(put)[0].status, 400);
    }
    assert_eq!(one.refused("Calls"), 100);
    assert_eq!(
        one.warnings.load(Ordering::Relaxed),
        1,
        "one line about heartbeats"
    );
    assert_eq!(one.stands(), before);
}

#[test]
fn reloaded_settings_are_validated_completely() {
    let mut one = One::new();
    let before = one.core.settings().clone();
    let changed = |from: &str, to: &str| Settings::parse(&SETTINGS.replace(from, to));
    one.core
        .reload_settings(changed("GraceS = 8", "GraceS = -8"));
    one.core.reload_settings(changed("edge-1", "edge-2"));
    one.core
        .reload_settings(changed("[\"10.0.0.1:8146\"]", "[]"));
    one.core
        .reload_settings(changed("[Bounds]\nGraceS = 8\n", ""));
    assert_eq!(*one.core.settings(), before);
    assert_eq!(one.warnings.load(Ordering::Relaxed), 4);
    one.core
        .reload_settings(changed("GraceS = 8", "GraceS = 9"));
    assert_eq!(one.core.termination_grace_ms(), 9_000);
    // The losses that its place in the chain was reckoned by stay until the next start.
    one.core.reload_settings(changed("Nodes = 1", "Nodes = 2"));
    assert_eq!(one.core.settings().fault_budget, before.fault_budget);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any bytes, of any kind of frame: nothing is written, nothing kept is another than before.
    #[test]
    fn arbitrary_frames_of_strangers_change_no_stored_state(
        kind in prop_oneof![prop::sample::select(KINDS.to_vec()), Just(HELLO), any::<u16>()],
        body in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let mut one = One::new();
        let before = one.core.snapshot_records();
        prop_assert_eq!(one.frame(kind, &body), 0);
        prop_assert_eq!(one.core.snapshot_records(), before);
    }

    /// A heartbeat with a changed byte, cut or doubled: of another controller it says what it will,
    /// it changes nothing kept.
    #[test]
    fn a_corrupted_heartbeat_changes_no_stored_state(
        at in any::<prop::sample::Index>(), byte in any::<u8>(), cut in any::<prop::sample::Index>(), doubled in any::<bool>(),
    ) {
        let mut bytes = heartbeat().encode().to_vec();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        if doubled {
            let again = bytes.clone();
            bytes.extend(again);
        }
        bytes.truncate(cut.index(bytes.len() + 1));
        let mut one = One::new();
        let before = one.core.snapshot_records();
        prop_assert_eq!(one.frame(CONTROLLER_HEARTBEAT, &bytes), 0);
        prop_assert_eq!(one.core.snapshot_records(), before);
    }
}
