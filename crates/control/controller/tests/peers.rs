//! Who of the controllers counts as alive.

use chain_replication::{Member, Observation, ReplicaStatus};
use controller::heartbeat::{
    zone_hash, ControllerHeartbeat, EncodedStatus, NO_DISK, UNABLE_TO_PERSIST,
};
use controller::peers::{PeerControllers, FAILURE_TIMEOUT};
use std::net::SocketAddr;

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7_000))
}

fn status(id: u64) -> ReplicaStatus {
    ReplicaStatus {
        id,
        view: 1,
        in_sync_view: 1,
        last_received: 0,
        caught_up: false,
    }
}

fn heartbeat(id: u64, receives_from: &[u8]) -> ControllerHeartbeat {
    let receives_from = receives_from.iter().map(|n| addr(*n).into()).collect();
    ControllerHeartbeat {
        id,
        incarnation: id,
        zone: zone_hash("a"),
        status: EncodedStatus::from(&status(id)),
        flags: 0,
        receives_from,
    }
}

fn own(n: u8) -> Observation {
    let member = Member {
        id: u64::from(n),
        addr: addr(n),
        since: 0,
    };
    Observation {
        member,
        alive: true,
        status: Some(status(u64::from(n))),
        zone: 0,
        draining: false,
        retiring: false,
    }
}

fn alive(controllers: &PeerControllers, now: u64, me: u8, order: &[u8]) -> Vec<u8> {
    let order: Vec<SocketAddr> = order.iter().map(|n| addr(*n)).collect();
    let seen = controllers.observations(now, addr(me), own(me), &order);
    let last = |a: SocketAddr| match a.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[3],
        std::net::IpAddr::V6(_) => 0,
    };
    seen.iter()
        .filter(|s| s.alive)
        .map(|s| last(s.member.addr))
        .collect()
}

/// Heartbeats of others that have said the same for some time.
fn hear(controllers: &mut PeerControllers, now: u64, others: &[(u8, &[u8])]) {
    for at in [now - 600, now - 300, now] {
        for (n, receives_from) in others {
            controllers.record_heartbeat(at, addr(*n), heartbeat(u64::from(*n), receives_from));
        }
    }
}

#[test]
fn controllers_in_mutual_contact_are_alive_until_the_failure_timeout() {
    let mut controllers = PeerControllers::default();
    hear(&mut controllers, 1_000, &[(2, &[1, 3]), (3, &[1, 2])]);
    controllers.record_heartbeat(1_300, addr(3), heartbeat(3, &[1, 2]));
    assert_eq!(alive(&controllers, 1_400, 1, &[1, 2, 3]), [1, 2, 3]);
    assert_eq!(
        alive(&controllers, 1_000 + FAILURE_TIMEOUT, 1, &[1, 2, 3]),
        [1, 3]
    );
}

#[test]
fn a_controller_cut_off_in_one_direction_is_not_alive() {
    let mut controllers = PeerControllers::default();
    hear(&mut controllers, 1_000, &[(2, &[3]), (3, &[1, 2])]);
    assert_eq!(alive(&controllers, 1_100, 1, &[1, 2, 3]), [1, 3]);
}

#[test]
fn of_two_controllers_out_of_contact_the_later_in_the_chain_is_dropped() {
    let mut controllers = PeerControllers::default();
    hear(&mut controllers, 1_000, &[(1, &[3]), (2, &[3])]);
    assert_eq!(alive(&controllers, 1_100, 3, &[1, 2, 3]), [1, 3]);
}

#[test]
fn while_a_controller_returns_no_peer_is_dropped_for_not_receiving_it_yet() {
    let mut controllers = PeerControllers::default();
    hear(&mut controllers, 1_000, &[(2, &[1, 3]), (3, &[1, 2])]);
    // The second was away: the third does not say yet that it receives its heartbeats.
    hear(&mut controllers, 3_000, &[(3, &[1])]);
    controllers.record_heartbeat(3_050, addr(2), heartbeat(2, &[1, 3]));
    assert_eq!(alive(&controllers, 3_060, 1, &[1, 2, 3]), [1, 2, 3]);
    // It comes to no more than that.
    controllers.record_heartbeat(3_350, addr(2), heartbeat(2, &[1, 3]));
    controllers.record_heartbeat(3_650, addr(2), heartbeat(2, &[1, 3]));
    controllers.record_heartbeat(3_600, addr(3), heartbeat(3, &[1]));
    assert_eq!(alive(&controllers, 3_660, 1, &[1, 2, 3]), [1, 2]);
}

#[test]
fn a_restarted_controller_is_alive_for_a_grace_period_before_it_receives_us() {
    let mut controllers = PeerControllers::default();
    controllers.record_heartbeat(1_000, addr(2), heartbeat(2, &[]));
    assert_eq!(alive(&controllers, 1_100, 1, &[1, 2]), [1, 2]);
    controllers.record_heartbeat(1_600, addr(2), heartbeat(2, &[]));
    assert_eq!(alive(&controllers, 1_601, 1, &[1, 2]), [1]);
}

#[test]
fn an_own_stall_times_out_no_peer() {
    let mut controllers = PeerControllers::default();
    controllers.record_heartbeat(1_000, addr(2), heartbeat(2, &[1]));
    controllers.reset_after_stall(9_000);
    assert_eq!(alive(&controllers, 9_100, 1, &[1, 2]), [1, 2]);
}

#[test]
fn a_heartbeat_round_trips_and_a_truncated_one_is_rejected() {
    let sent = heartbeat(7, &[1, 2, 3]);
    assert_eq!(
        ControllerHeartbeat::decode(&sent.encode()),
        Ok(sent.clone())
    );
    let whole = sent.encode();
    for cut in 0..whole.len() {
        assert!(ControllerHeartbeat::decode(&whole[..cut]).is_err());
    }
}

#[test]
fn a_controller_without_a_disk_is_neither_member_nor_acceptor_and_drops_nobody() {
    let mut controllers = PeerControllers::default();
    let hearing: [(u8, &[u8]); 3] = [(2, &[1, 4]), (3, &[1]), (4, &[1, 2])];
    for at in [1_000, 1_300, 1_600] {
        for (n, receives_from) in hearing {
            let flags = if n == 3 {
                UNABLE_TO_PERSIST | NO_DISK
            } else {
                0
            };
            controllers.record_heartbeat(
                at,
                addr(n),
                ControllerHeartbeat {
                    flags,
                    ..heartbeat(u64::from(n), receives_from)
                },
            );
        }
    }
    let seen = controllers.observations(1_600, addr(1), own(1), &[addr(1)]);
    let of = |n: u8| {
        seen.iter()
            .find(|s| s.member.addr == addr(n))
            .expect("it was heard")
    };
    assert!(of(3).retiring && !of(2).retiring && !of(4).retiring);
    // 3 and 4 do not hear each other; the one with the disk counts.
    assert!(of(2).alive && of(4).alive && !of(3).alive);
    let founders: Vec<Member> = vec![Member {
        id: 1,
        addr: addr(1),
        since: 1,
    }];
    let current = view_agreement::ControllerView {
        view: chain_replication::View {
            number: 1,
            members: founders.clone(),
            joining: Vec::new(),
        },
        acceptors: founders,
    };
    let next = view_agreement::next_controller_view(
        &current,
        &seen,
        view_agreement::Sizing::new(1, 5_000),
        &|_| 0,
    );
    let next = next.expect("there are others");
    let all = next.view.joining.iter().chain(&next.acceptors);
    assert!(all.clone().all(|m| m.addr != addr(3)) && all.count() == 5);
}

// What hung on a controller was taken for gone by another one that only the link between the two
// had been cut from.
#[test]
fn a_controller_is_live_while_any_peer_receives_it() {
    let mut controllers = PeerControllers::default();
    hear(&mut controllers, 1_000, &[(2, &[1, 3]), (3, &[1, 2])]);
    controllers.record_heartbeat(1_800, addr(3), heartbeat(3, &[1, 2]));
    assert_eq!(
        controllers.live_incarnations(1_000 + FAILURE_TIMEOUT),
        [2, 3],
        "2 is silent here, and 3 receives it"
    );
    controllers.record_heartbeat(2_000, addr(3), heartbeat(3, &[1]));
    assert_eq!(controllers.live_incarnations(2_000), [3]);
    assert!(
        controllers
            .live_incarnations(2_000 + FAILURE_TIMEOUT)
            .is_empty(),
        "what is heard of by nobody"
    );
}
