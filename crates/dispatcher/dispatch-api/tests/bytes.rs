//! The load datagrams of dispatchers, byte for byte, and the JSON that one process leaves to the
//! next.

use dispatch_api::load_exchange::{
    decode_entries, encode_entry, name_hash, rendezvous_weight, ENTRY_BYTES, MESSAGE_BYTES,
};
use dispatch_api::{ClassSnapshot, PolicySnapshot, WorkerSnapshot};

#[test]
fn a_name_hash_is_the_fnv_1a_of_the_name() {
    // The published test vectors of the 32-bit FNV-1a.
    assert_eq!(
        [name_hash(""), name_hash("a"), name_hash("foobar")],
        [0x811c_9dc5, 0xe40c_292c, 0xbf9c_f968]
    );
}

#[test]
fn an_entry_is_the_name_hash_and_the_slots_up_to_255() {
    assert_eq!((ENTRY_BYTES, MESSAGE_BYTES), (5, 256));
    assert_eq!(encode_entry(0xe40c_292c, 7), [0xe4, 0x0c, 0x29, 0x2c, 7]);
    assert_eq!(encode_entry(1, 300), [0, 0, 0, 1, 255]);
    let message = [0xe4, 0x0c, 0x29, 0x2c, 7, 0, 0, 0, 1, 255, 0xde, 0xad];
    assert_eq!(
        decode_entries(&message).collect::<Vec<_>>(),
        [(0xe40c_292c, 7), (1, 255)],
        "a rest is left out"
    );
    assert_eq!(decode_entries(&[1, 2, 3, 4]).count(), 0);
}

#[test]
fn the_rendezvous_order_for_a_key_is_the_same_in_every_version() {
    assert_eq!(
        [
            rendezvous_weight(0, 0),
            rendezvous_weight(1, 2),
            rendezvous_weight(u64::MAX, u32::MAX)
        ],
        KIN
    );
}

const KIN: [u64; 3] = [0, 13_933_937_386_911_422_779, 10_027_270_144_720_518_064];

const KNOWN: &str = r#"{"at":9,"kinds":[[2,[1.0,0.5,2.0,3.0]]],"classes":[{"run":[1.5,2.0],"arrivals":3.0,"ended":[4.0,5.0]}],"price":[0.25,0.75],"workers":[{"mark":7,"started":11,"interval":[0.5,12],"runs":[1.0,2.0],"held":[3.0,13],"cold":[14,1.5]},{"mark":8,"started":null,"interval":[0.0,0],"runs":[0.0,0.0],"held":[0.0,null],"cold":[0,null]}]}"#;

#[test]
fn a_policy_snapshot_keeps_its_json() {
    let worker = WorkerSnapshot {
        name_hash: 7,
        started: Some(11),
        interval: (0.5, 12),
        runs: (1.0, 2.0),
        held: (3.0, Some(13)),
        cold: (14, Some(1.5)),
    };
    let known = PolicySnapshot {
        at: 9,
        kinds: vec![(2, [1.0, 0.5, 2.0, 3.0])],
        classes: vec![ClassSnapshot {
            run: (1.5, 2.0),
            arrivals: 3.0,
            ended: (4.0, 5.0),
        }],
        price: (0.25, 0.75),
        workers: vec![
            worker,
            WorkerSnapshot {
                name_hash: 8,
                ..WorkerSnapshot::default()
            },
        ],
    };
    assert_eq!(serde_json::to_string(&known).unwrap(), KNOWN);
    assert_eq!(
        serde_json::from_str::<PolicySnapshot>(KNOWN).unwrap(),
        known
    );
    // A version that writes less or more.
    let less: PolicySnapshot =
        serde_json::from_str(r#"{"workers":[{"mark":8,"mood":1}],"classes":[{}]}"#).unwrap();
    let (workers, classes) = (vec![known.workers[1]], vec![ClassSnapshot::default()]);
    assert_eq!(
        less,
        PolicySnapshot {
            workers,
            classes,
            ..PolicySnapshot::default()
        }
    );
}
