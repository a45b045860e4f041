//! All orders of calls, replies and ends of connections up to a depth: the table of pending calls
//! is the real one, the wire and the peer are simulated. Each caller gets the reply to its own
//! call, once, or an error.

use peer_transport::pending::PendingCalls;
use std::collections::VecDeque;

/// Events in sequence.
const DEPTH: usize = 7;
const MAX_CALLS: usize = 3;
const MAX_SURPLUS: u32 = 2;

/// A fault in how the table is kept.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    None,
    /// Ids begin anew with each connection.
    IdsRestart,
    /// A caller that leaves stays in the table, and its id is given to the next call.
    IdReused,
    /// The end of a connection leaves the calls in the table.
    EndIgnored,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Event {
    /// A caller calls.
    Call,
    /// The peer replies to the oldest call, or the newest: replies may overtake each other.
    ReplyOldest,
    ReplyNewest,
    /// It sends its last reply once more.
    Surplus,
    /// The oldest reply in flight arrives.
    Arrive,
    /// The first caller that waits leaves.
    Leave,
    /// The connection ends; replies in flight may still arrive from the older one.
    Break,
    /// The peer restarts at the same address: it knows no call.
    Restart,
}

const EVENTS: [Event; 8] = [
    Event::Call,
    Event::ReplyOldest,
    Event::ReplyNewest,
    Event::Surplus,
    Event::Arrive,
    Event::Leave,
    Event::Break,
    Event::Restart,
];

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum CallState {
    Waiting,
    Replied(usize),
    Failed,
    Left,
}

struct Model {
    fault: Fault,
    table: PendingCalls<usize>,
    /// The id and the state of each call, in the order in which they were made.
    calls: Vec<(u32, CallState)>,
    /// Ids and calls that the peer has received.
    at_peer: VecDeque<(u32, usize)>,
    /// The ids of replies in flight, and the call that each replies to.
    in_flight: VecDeque<(u32, usize)>,
    last: Option<(u32, usize)>,
    surplus: u32,
    broken: Option<&'static str>,
}

impl Model {
    fn new(fault: Fault) -> Self {
        Model {
            fault,
            table: PendingCalls::default(),
            calls: Vec::new(),
            at_peer: VecDeque::new(),
            in_flight: VecDeque::new(),
            last: None,
            surplus: 0,
            broken: None,
        }
    }

    /// False if the event isn't possible now.
    fn play(&mut self, event: Event) -> bool {
        match event {
            Event::Call if self.calls.len() < MAX_CALLS => {
                let call = self.calls.len();
                let number = self.table.next_id();
                self.table.insert(number, call);
                self.calls.push((number, CallState::Waiting));
                self.at_peer.push_back((number, call));
            }
            Event::ReplyOldest if !self.at_peer.is_empty() => {
                self.last = self.at_peer.pop_front();
                self.in_flight.extend(self.last);
            }
            Event::ReplyNewest if self.at_peer.len() > 1 => {
                self.last = self.at_peer.pop_back();
                self.in_flight.extend(self.last);
            }
            Event::Surplus if self.surplus < MAX_SURPLUS && self.last.is_some() => {
                self.surplus += 1;
                self.in_flight.extend(self.last);
            }
            Event::Arrive if !self.in_flight.is_empty() => self.arrive(),
            Event::Leave if self.calls.iter().any(|(_, end)| *end == CallState::Waiting) => {
                self.leave()
            }
            Event::Break => self.end_connection(),
            Event::Restart if !self.at_peer.is_empty() => {
                self.at_peer.clear();
                self.end_connection();
            }
            _ => return false,
        }
        true
    }

    fn arrive(&mut self) {
        let Some((number, answered)) = self.in_flight.pop_front() else {
            return;
        };
        let Some(call) = self.table.take(number) else {
            return;
        };
        match self.calls[call].1 {
            CallState::Waiting => self.calls[call].1 = CallState::Replied(answered),
            CallState::Left => {}
            CallState::Replied(_) | CallState::Failed => self.broken = Some("a call ended twice"),
        }
        if call != answered {
            self.broken = Some("a reply went to another caller");
        }
    }

    fn leave(&mut self) {
        let Some(call) = self
            .calls
            .iter()
            .position(|(_, end)| *end == CallState::Waiting)
        else {
            return;
        };
        let number = self.calls[call].0;
        self.calls[call].1 = CallState::Left;
        let waiter = self.table.take(number);
        if self.fault == Fault::IdReused {
            // The next call gets the id of the one that left.
            self.table.insert(number.wrapping_sub(1), usize::MAX);
            self.table.take(number.wrapping_sub(1));
        }
        if waiter != Some(call) {
            self.broken = Some("a waiting caller is not in the table");
        }
    }

    fn end_connection(&mut self) {
        if self.fault == Fault::EndIgnored {
            // Their callers are told of the failure nevertheless.
            for (_, end) in self
                .calls
                .iter_mut()
                .filter(|(_, end)| *end == CallState::Waiting)
            {
                *end = CallState::Failed;
            }
            return;
        }
        for (_, call) in self.table.take_all().collect::<Vec<_>>() {
            match self.calls[call].1 {
                CallState::Waiting => self.calls[call].1 = CallState::Failed,
                _ => self.broken = Some("a call ended twice"),
            }
        }
        if self.fault == Fault::IdsRestart {
            self.table = PendingCalls::default();
        }
        if self.calls.iter().any(|(_, end)| *end == CallState::Waiting) {
            self.broken = Some("a call waits for a connection that is gone");
        }
    }
}

fn explore(fault: Fault) -> (Option<(Vec<Event>, &'static str)>, usize) {
    let mut played = 0;
    let found = from(fault, &mut Vec::new(), &mut played);
    (found, played)
}

fn from(
    fault: Fault,
    path: &mut Vec<Event>,
    played: &mut usize,
) -> Option<(Vec<Event>, &'static str)> {
    let mut world = Model::new(fault);
    let possible = path.iter().all(|event| world.play(*event));
    if !possible {
        return None;
    }
    *played += 1;
    if let Some(why) = world.broken {
        return Some((path.clone(), why));
    }
    if path.len() == DEPTH {
        return None;
    }
    EVENTS.iter().find_map(|event| {
        path.push(*event);
        let found = from(fault, path, played);
        path.pop();
        found
    })
}

#[test]
fn no_order_of_events_gives_a_foreign_or_second_reply() {
    let (found, played) = explore(Fault::None);
    assert_eq!(found, None);
    assert!(played > 10_000, "only {played} orders were played");
}

#[test]
fn each_planted_fault_is_detected() {
    for (fault, why) in [
        (Fault::IdsRestart, "a reply went to another caller"),
        (Fault::IdReused, "a reply went to another caller"),
        (Fault::EndIgnored, "a call ended twice"),
    ] {
        let (found, _) = explore(fault);
        let (order, broken) = found.unwrap_or_else(|| panic!("{fault:?} is not detected"));
        assert_eq!(broken, why, "{fault:?} by {order:?}");
    }
}

#[test]
fn ids_wrap_around_and_skip_open_calls() {
    let mut table = PendingCalls::default();
    table.insert(u32::MAX, 'a');
    assert_eq!(table.next_id(), 1, "0 is no id");
    table.insert(1, 'b');
    table.insert(u32::MAX - 1, 'c');
    assert_eq!(table.next_id(), 2, "ids of open calls are skipped");
    assert_eq!((table.take(1), table.take(1)), (Some('b'), None));
}
