//! The bytes of each message and of each record on disk: processes of other builds read and write
//! the same ones.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use std::fmt::Debug;

use bytes::Bytes;
use chain_replication::{DecodeError, Member, View};
use view_agreement::{
    ControllerView, Message, MessageBody, Proposal, ProposalId, ProposalNumber, Record,
    RecoveredAcceptor,
};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes that a layout names, written in groups for the reader.
fn unhex(groups: &str) -> Vec<u8> {
    let digits: String = groups.split_whitespace().collect();
    (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}

fn assert_layout<T: PartialEq + Debug>(
    value: T,
    encode: impl Fn(&T) -> Bytes,
    decode: impl Fn(&[u8]) -> Result<T, DecodeError>,
    layout: &str,
) {
    let bytes = unhex(layout);
    assert_eq!(hex(&encode(&value)), hex(&bytes), "encoded: {value:?}");
    assert_eq!(decode(&bytes), Ok(value));
    for end in 0..bytes.len() {
        assert!(decode(&bytes[..end]).is_err(), "cut at {end}");
    }
}

fn assert_message(body: MessageBody, layout: &str) {
    let message = Message { from: 0x0a0b, body };
    assert_layout(
        message,
        Message::encode,
        Message::decode,
        &format!("0000000000000a0b {layout}"),
    );
}

fn assert_record(record: Record, layout: &str) {
    assert_layout(record, Record::encode, Record::decode, layout);
}

fn member(id: u64, addr: &str, since: u64) -> Member {
    Member {
        id,
        addr: addr.parse().unwrap(),
        since,
    }
}

fn proposal_number() -> ProposalNumber {
    ProposalNumber {
        round: 3,
        proposer_id: 0xab,
        proposer_addr: "10.0.0.9:7600".parse().unwrap(),
    }
}

const PROPOSAL_NUMBER: &str = "0000000000000003 00000000000000ab 04 0a000009 1db0";

fn value() -> ControllerView {
    let view = View {
        number: 6,
        members: vec![member(0, "10.0.0.9:7600", 1)],
        joining: vec![member(2, "[::1]:9", 6)],
    };
    ControllerView {
        view,
        acceptors: vec![member(0, "10.0.0.9:7600", 1), member(2, "[::1]:9", 6)],
    }
}

const VALUE: &str = "0000000000000006
    00000001 0000000000000000 04 0a000009 1db0 0000000000000001
    00000001 0000000000000002 06 00000000000000000000000000000001 0009 0000000000000006
    00000002 0000000000000000 04 0a000009 1db0 0000000000000001
             0000000000000002 06 00000000000000000000000000000001 0009 0000000000000006";

fn accepted() -> Proposal {
    Proposal {
        number: proposal_number(),
        value: value(),
    }
}

#[test]
fn view_of_the_controllers() {
    assert_layout(
        value(),
        ControllerView::encode,
        ControllerView::decode,
        VALUE,
    );
}

#[test]
fn prepare_and_promise() {
    assert_message(
        MessageBody::Prepare {
            proposal: ProposalId {
                view_number: 6,
                proposal_number: proposal_number(),
            },
        },
        &format!("01 0000000000000006 {PROPOSAL_NUMBER}"),
    );
    assert_message(
        MessageBody::Promise {
            promised: ProposalId {
                view_number: 6,
                proposal_number: proposal_number(),
            },
            accepted: None,
        },
        &format!("02 0000000000000006 {PROPOSAL_NUMBER} 00"),
    );
    assert_message(
        MessageBody::Promise {
            promised: ProposalId {
                view_number: 6,
                proposal_number: proposal_number(),
            },
            accepted: Some(accepted()),
        },
        &format!("02 0000000000000006 {PROPOSAL_NUMBER} 01 {PROPOSAL_NUMBER} {VALUE}"),
    );
}

#[test]
fn rejection_that_names_the_higher_proposal() {
    assert_message(
        MessageBody::Rejected {
            promised: ProposalId {
                view_number: 6,
                proposal_number: proposal_number(),
            },
        },
        &format!("03 0000000000000006 {PROPOSAL_NUMBER}"),
    );
}

#[test]
fn accept_and_accepted() {
    assert_message(
        MessageBody::Accept {
            proposal: accepted(),
        },
        &format!("04 {PROPOSAL_NUMBER} {VALUE}"),
    );
    assert_message(
        MessageBody::Accepted {
            accepted: ProposalId {
                view_number: 6,
                proposal_number: proposal_number(),
            },
        },
        &format!("05 0000000000000006 {PROPOSAL_NUMBER}"),
    );
}

#[test]
fn chosen_view_and_the_request_for_it() {
    assert_message(
        MessageBody::Chosen { value: value() },
        &format!("06 {VALUE}"),
    );
    assert_message(
        MessageBody::RequestView { newest_known: 5 },
        "07 0000000000000005",
    );
}

#[test]
fn quorum_check_and_its_answer() {
    assert_message(
        MessageBody::QuorumCheck {
            view_number: 6,
            round: 0x99,
        },
        "08 0000000000000006 0000000000000099",
    );
    assert_message(
        MessageBody::QuorumCheckReply {
            view_number: 6,
            round: 0x99,
            undecided: false,
        },
        "09 0000000000000006 0000000000000099 00",
    );
    assert_message(
        MessageBody::QuorumCheckReply {
            view_number: 6,
            round: 0x99,
            undecided: true,
        },
        "09 0000000000000006 0000000000000099 01",
    );
}

#[test]
fn records_on_disk() {
    assert_record(Record::Chosen { value: value() }, &format!("01 {VALUE}"));
    assert_record(
        Record::Promised {
            promised: ProposalId {
                view_number: 6,
                proposal_number: proposal_number(),
            },
        },
        &format!("02 0000000000000006 {PROPOSAL_NUMBER}"),
    );
    assert_record(
        Record::Accepted {
            proposal: accepted(),
        },
        &format!("03 {PROPOSAL_NUMBER} {VALUE}"),
    );
}

#[test]
fn unused_numbers_are_rejected() {
    for unused in [0u8, 10, 255] {
        let mut message = unhex("0000000000000001");
        message.push(unused);
        message.extend([0; 60]);
        assert!(Message::decode(&message).is_err(), "{unused}");
    }
    for unused in [0u8, 4, 255] {
        let mut record = vec![unused];
        record.extend([0; 60]);
        assert!(Record::decode(&record).is_err(), "{unused}");
    }
}

#[test]
fn a_view_has_one_to_nine_acceptors() {
    for (acceptors, valid) in [(0, false), (1, true), (9, true), (10, false)] {
        let one = "0000000000000000 04 0a000009 1db0 0000000000000001";
        let bytes = unhex(&format!(
            "0000000000000006 00000000 00000000 {acceptors:08x} {}",
            one.repeat(acceptors)
        ));
        assert_eq!(ControllerView::decode(&bytes).is_ok(), valid, "{acceptors}");
    }
}

#[test]
fn errors_of_what_cannot_be_read_keep_their_codes() {
    let said = |bytes: &[u8]| Record::decode(bytes).unwrap_err().to_string();
    assert!(said(&[]).starts_with("1202: "));
    let long = unhex(&format!("02 0000000000000006 {PROPOSAL_NUMBER} 00"));
    assert!(said(&long).starts_with("1203: "));
}

/// A disk as another build wrote it: what it says is read to the last value.
#[test]
fn stored_records_are_read_to_the_last_value() {
    let newer = VALUE.replacen("0000000000000006", "0000000000000007", 1);
    let disk = [
        format!("01 {VALUE}"),
        format!("02 0000000000000007 {PROPOSAL_NUMBER}"),
        format!("03 {PROPOSAL_NUMBER} {newer}"),
        "02 0000000000000007 0000000000000004 00000000000000cd 04 0a000009 1db0".to_owned(),
    ];
    let mut recovered = RecoveredAcceptor::default();
    for record in &disk {
        recovered.read(&unhex(record)).unwrap();
    }
    assert_eq!(recovered.chosen, Some(value()));
    let mut next = value();
    next.view.number = 7;
    assert_eq!(
        recovered.accepted,
        Some(Proposal {
            number: proposal_number(),
            value: next
        })
    );
    let promised = ProposalNumber {
        round: 4,
        proposer_id: 0xcd,
        ..proposal_number()
    };
    assert_eq!(
        recovered.promised,
        Some(ProposalId {
            view_number: 7,
            proposal_number: promised
        })
    );
}
