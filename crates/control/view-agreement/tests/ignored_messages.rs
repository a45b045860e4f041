//! Messages of strangers and of superseded views have no part in what is decided.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use chain_replication::{Member, View};
use proptest::prelude::*;
use std::net::SocketAddr;
use view_agreement::{
    Agreement, ControllerView, Effect, Message, MessageBody, Proposal, ProposalId, ProposalNumber,
    Record, RecoveredAcceptor,
};

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7_000))
}

fn member(n: u8) -> Member {
    Member {
        id: u64::from(n),
        addr: addr(n),
        since: 1,
    }
}

fn value(number: u64) -> ControllerView {
    let members: Vec<Member> = (1..=3).map(member).collect();
    ControllerView {
        view: View {
            number,
            members: members.clone(),
            joining: Vec::new(),
        },
        acceptors: members,
    }
}

/// The first of three, with view 5 installed, which proposes view 6 and waits for votes.
fn proposer() -> (Agreement, ProposalNumber) {
    let mut recovered = RecoveredAcceptor::default();
    recovered
        .read(&Record::Chosen { value: value(5) }.encode())
        .unwrap();
    let mut agreement = Agreement::new(member(1), None, recovered);
    agreement.propose(1_000, value(6));
    let proposal_number = settle(&mut agreement)
        .into_iter()
        .find_map(|effect| match effect {
            Effect::Send {
                message:
                    Message {
                        body: MessageBody::Prepare { proposal },
                        ..
                    },
                ..
            } => Some(proposal.proposal_number),
            _ => None,
        });
    (agreement, proposal_number.expect("it asks for votes"))
}

fn settle(agreement: &mut Agreement) -> Vec<Effect> {
    let mut all = Vec::new();
    loop {
        let effects = agreement.take_effects();
        if effects.is_empty() {
            return all;
        }
        for effect in &effects {
            if let Effect::Write { ticket, .. } = effect {
                agreement.handle_synced(1_000, *ticket);
            }
        }
        all.extend(effects);
    }
}

/// Votes for the attempt under way, as a message of any process.
fn vote(kind: u8, number: u64, proposal_number: ProposalNumber) -> MessageBody {
    match kind {
        0 => MessageBody::Promise {
            promised: ProposalId {
                view_number: number,
                proposal_number,
            },
            accepted: None,
        },
        1 => MessageBody::Promise {
            promised: ProposalId {
                view_number: number,
                proposal_number,
            },
            accepted: Some(Proposal {
                number: proposal_number,
                value: value(6),
            }),
        },
        2 => MessageBody::Accepted {
            accepted: ProposalId {
                view_number: number,
                proposal_number,
            },
        },
        _ => MessageBody::QuorumCheckReply {
            view_number: number,
            round: 1,
            undecided: false,
        },
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// However many votes of strangers, of wrong identities at good addresses, or for views that
    /// are superseded: the installed view stays, nothing is written, nothing is confirmed.
    #[test]
    fn votes_of_strangers_decide_nothing(votes in prop::collection::vec((0u8..4, 0u8..3, 1u8..9), 0..20)) {
        let (mut agreement, proposal_number) = proposer();
        let before = agreement.snapshot_records();
        // An acceptor's late message of an earlier view is no stranger's, and not counted.
        let many = votes.iter().filter(|(kind, how, _)| (*kind, *how) != (3, 2)).count() as u64;
        for (kind, how, n) in votes {
            let (from, id, number) = match how {
                0 => (addr(n + 10), u64::from(n), 6),
                1 => (addr(n), 77, 6),
                _ => (addr(2), 2, u64::from(n % 5)),
            };
            agreement.handle_message(1_010, from, Message { from: id, body: vote(kind, number, proposal_number) });
        }
        prop_assert_eq!(agreement.ignored_messages(), many);
        let effects = settle(&mut agreement);
        let decides = |effect: &Effect| matches!(effect, Effect::ViewChosen(_) | Effect::ViewConfirmed { .. } | Effect::Write { .. });
        prop_assert!(!effects.iter().any(decides), "{effects:?}");
        prop_assert_eq!(agreement.current_view().map(|v| v.view.number), Some(5));
        prop_assert_eq!(agreement.snapshot_records(), before);
    }

    /// Proposals and choices of superseded views: repeated, doubled, by any process.
    #[test]
    fn superseded_views_are_not_installed_again(number in 0u64..6, kind in 0u8..3, times in 1usize..4, n in 1u8..5) {
        let (mut agreement, proposal_number) = proposer();
        let before = agreement.snapshot_records();
        let body = match kind {
            0 => MessageBody::Chosen { value: value(number) },
            1 => MessageBody::Accept { proposal: Proposal { number: proposal_number, value: value(number) } },
            _ => MessageBody::Prepare { proposal: ProposalId { view_number: number, proposal_number } },
        };
        for _ in 0..times {
            agreement.handle_message(1_010, addr(n), Message { from: u64::from(n), body: body.clone() });
        }
        // The installed view, sent again, is neither new nor a fault.
        let many = if kind == 0 && number == 5 { 0 } else { times as u64 };
        prop_assert_eq!(agreement.ignored_messages(), many);
        let effects = settle(&mut agreement);
        let taken = |effect: &Effect| matches!(effect, Effect::ViewChosen(_) | Effect::Write { .. });
        prop_assert!(!effects.iter().any(taken), "{effects:?}");
        prop_assert_eq!(agreement.snapshot_records(), before);
    }
}

/// Enough valid votes do decide: else the checks above would hold of anything.
#[test]
fn votes_of_acceptors_decide() {
    let (mut agreement, proposal_number) = proposer();
    agreement.handle_message(
        1_010,
        addr(2),
        Message {
            from: 2,
            body: vote(0, 6, proposal_number),
        },
    );
    settle(&mut agreement);
    agreement.handle_message(
        1_020,
        addr(2),
        Message {
            from: 2,
            body: vote(2, 6, proposal_number),
        },
    );
    settle(&mut agreement);
    // The message to itself goes over the network, like all others.
    let decided = agreement.current_view().map(|v| v.view.number) == Some(6);
    if !decided {
        for n in [1, 3] {
            agreement.handle_message(
                1_030,
                addr(n),
                Message {
                    from: u64::from(n),
                    body: vote(0, 6, proposal_number),
                },
            );
            agreement.handle_message(
                1_030,
                addr(n),
                Message {
                    from: u64::from(n),
                    body: vote(2, 6, proposal_number),
                },
            );
            settle(&mut agreement);
        }
    }
    assert_eq!(agreement.current_view().map(|v| v.view.number), Some(6));
}
