//! The real table of pending calls between callers, a peer that replies, an end of the connection
//! and callers that leave, in the interleavings that a scheduler may choose between any two
//! accesses to the table. Each caller gets the reply to its own call, or an error, once; no caller
//! waits for ever.
//!
//! `pending.rs` plays complete events in every order; here a step may come amid another, as it
//! could were one of them split by an await.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use peer_transport::pending::PendingCalls;
use shuttle::sync::mpsc::{channel, Receiver, Sender};
use shuttle::sync::Mutex;
use shuttle::thread;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

/// A fault in how the table is used.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    None,
    /// The id is looked up in one turn and inserted in another.
    IdInTwoTurns,
    /// The end of the connection begins a new table, so that ids are given again while replies are
    /// in flight.
    IdsRestart,
    /// The end of the connection fails the waiting calls and leaves them in the table.
    LeftInTable,
}

const CALLERS: u32 = 3;
/// Interleavings that are drawn: all planted faults show within a fraction of them.
const ORDERS: usize = 1_000;

/// What a caller gets: whose call was replied to, or that the connection has ended.
type Outcome = Result<u32, ()>;

struct Shared {
    table: PendingCalls<Sender<Outcome>>,
    /// To the peer, by the connection that is open now: the id of a call, and its caller.
    wire: Sender<(u32, u32)>,
}

fn call(fault: Fault, shared: &Mutex<Shared>, caller: u32) -> (u32, Receiver<Outcome>) {
    let (waiter, outcome) = channel();
    if fault == Fault::IdInTwoTurns {
        let number = shared.lock().unwrap().table.next_id();
        let mut shared = shared.lock().unwrap();
        shared.table.insert(number, waiter);
        let _ = shared.wire.send((number, caller));
        return (number, outcome);
    }
    let mut shared = shared.lock().unwrap();
    let number = shared.table.next_id();
    shared.table.insert(number, waiter);
    let _ = shared.wire.send((number, caller));
    (number, outcome)
}

/// The peer's replies as they come in; those of an earlier connection may come late.
fn replies(shared: &Mutex<Shared>, calls: &Receiver<(u32, u32)>) {
    while let Ok((number, caller)) = calls.recv() {
        let waiter = shared.lock().unwrap().table.take(number);
        // A caller that left or was failed needs no reply.
        if let Some(waiter) = waiter {
            let _ = waiter.send(Ok(caller));
        }
    }
}

fn end_connection(fault: Fault, shared: &Mutex<Shared>) {
    let mut shared = shared.lock().unwrap();
    let ended: Vec<(u32, Sender<Outcome>)> = shared.table.take_all().collect();
    for (number, waiter) in ended {
        let _ = waiter.send(Err(()));
        if fault == Fault::LeftInTable {
            shared.table.insert(number, waiter);
        }
    }
    if fault == Fault::IdsRestart {
        shared.table = PendingCalls::default();
    }
}

fn play(fault: Fault) {
    let (wire, calls) = channel();
    let shared = Arc::new(Mutex::new(Shared {
        table: PendingCalls::default(),
        wire,
    }));
    let answerer = {
        let shared = Arc::clone(&shared);
        thread::spawn(move || replies(&shared, &calls))
    };
    let ender = {
        let shared = Arc::clone(&shared);
        thread::spawn(move || end_connection(fault, &shared))
    };
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let shared = Arc::clone(&shared);
            thread::spawn(move || {
                let (number, outcome) = call(fault, &shared, caller);
                if caller == 0 {
                    // It leaves without waiting: its id is nobody's from then on.
                    shared.lock().unwrap().table.take(number);
                    return;
                }
                match outcome.recv() {
                    Ok(Ok(answered)) => {
                        assert_eq!(answered, caller, "a reply went to another caller")
                    }
                    Ok(Err(())) => {}
                    Err(_) => panic!("a caller was forgotten"),
                }
                assert!(outcome.try_recv().is_err(), "a caller had two outcomes");
            })
        })
        .collect();
    callers
        .into_iter()
        .for_each(|caller| caller.join().unwrap());
    ender.join().unwrap();
    let mut shared = shared.lock().unwrap();
    assert!(shared.table.is_empty(), "a call is left in the table");
    // The wire closes with its last sender, and then the answering thread ends.
    shared.wire = channel().0;
    drop(shared);
    answerer.join().unwrap();
}

#[test]
fn each_caller_gets_its_own_reply_or_an_error_once() {
    shuttle::check_random(|| play(Fault::None), ORDERS);
    shuttle::check_pct(|| play(Fault::None), ORDERS, 3);
}

#[test]
fn each_planted_fault_is_detected() {
    for fault in [Fault::IdInTwoTurns, Fault::IdsRestart, Fault::LeftInTable] {
        let played = catch_unwind(AssertUnwindSafe(|| {
            shuttle::check_random(move || play(fault), ORDERS)
        }));
        assert!(played.is_err(), "{fault:?} is not detected");
    }
}
