//! The real pool between tasks of one runtime: requests that wait for answers, one whose client leaves, the runner, the sweep,
//! the end of a runner; in the orders that a scheduler may give them between any two steps. Each request gets its own answer,
//! a connection has one holder at a time, and one whose answer is still due is never handed on.
//!
//! `calls_model.rs` plays whole events in every order up to a depth; here tasks with loops of their own run into each other,
//! with more requests than that, and the ids of answers are not compared: the pool alone has to keep them apart.

use gateway::connection::pool::{ConnectionNumber, Pool, Pooled};
use runner_selection::RunnerKey;
use shuttle::future::{block_on, spawn_local, yield_now};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::Duration;

/// A fault in how the pool is used.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    None,
    /// A connection is put back though its request was given up.
    KeptAfterLeaving,
    /// It is put back when the head has come, before the rest of the answer.
    KeptAtHead,
    /// A connection with bytes that nobody asked for counts as fit.
    SurplusNotSeen,
}

const KEY: RunnerKey = RunnerKey(1);
const REQUESTS: usize = 4;
/// Orders that are drawn: all planted faults show within a fraction of them.
const ORDERS: usize = 1_000;

/// What comes on a connection, by the request that it owner to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Piece {
    Head(usize),
    Rest(usize),
}

/// Both ends of a connection.
#[derive(Default)]
struct Wire {
    asked: VecDeque<usize>,
    came: VecDeque<Piece>,
    closed: bool,
    held: Cell<bool>,
}

type Shared = Rc<RefCell<Wire>>;

struct Connection {
    number: ConnectionNumber,
    wire: Shared,
    fault: Fault,
}

impl Connection {
    /// Nobody else has it.
    fn hold(&self) {
        assert!(
            !self.wire.borrow().held.replace(true),
            "a connection has two holders"
        );
    }

    fn let_go(&self) {
        self.wire.borrow().held.set(false);
    }
}

impl Pooled for Connection {
    fn number(&self) -> ConnectionNumber {
        self.number
    }

    fn idle_for(&self) -> Duration {
        Duration::ZERO
    }

    fn is_usable(&mut self, _careful: bool) -> bool {
        self.is_worth_keeping()
    }

    fn is_worth_keeping(&mut self) -> bool {
        self.fault == Fault::SurplusNotSeen || self.wire.borrow().came.is_empty()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.wire.borrow_mut().closed = true;
    }
}

struct World {
    pool: Pool<Connection>,
    wires: RefCell<Vec<Shared>>,
    /// Requests that have not ended.
    open: Cell<usize>,
    fault: Fault,
}

impl World {
    fn connection(&self) -> Connection {
        let kept = self.pool.take(KEY, true, &[]);
        let connection = kept.unwrap_or_else(|| {
            let wire = Shared::default();
            self.wires.borrow_mut().push(Rc::clone(&wire));
            let number = ConnectionNumber(self.wires.borrow().len() as u64);
            Connection {
                number,
                wire,
                fault: self.fault,
            }
        });
        connection.hold();
        connection
    }

    fn keep(&self, connection: Connection) {
        connection.let_go();
        self.pool.put(KEY, connection);
    }
}

/// Waits for the next piece, which has to be this request's.
async fn next(connection: &Connection, expected: Piece) {
    loop {
        if let Some(piece) = connection.wire.borrow_mut().came.pop_front() {
            assert_eq!(piece, expected, "an answer went to another caller");
            return;
        }
        yield_now().await;
    }
}

/// A request; `leaves`: its client goes away before the answer.
async fn request(world: Rc<World>, n: usize, leaves: bool) {
    let connection = world.connection();
    connection.wire.borrow_mut().asked.push_back(n);
    yield_now().await;
    if leaves {
        if world.fault == Fault::KeptAfterLeaving {
            world.keep(connection);
        }
    } else {
        next(&connection, Piece::Head(n)).await;
        if world.fault != Fault::KeptAtHead {
            next(&connection, Piece::Rest(n)).await;
        }
        world.keep(connection);
    }
    world.open.set(world.open.get() - 1);
}

/// The runner answers what it was asked, a step at a time; on a connection that it feels like it sends its answer twice.
async fn runner(world: Rc<World>) {
    let mut surplus = 1;
    while world.open.get() > 0 {
        let wires: Vec<Shared> = world.wires.borrow().clone();
        for wire in wires {
            let asked = wire.borrow_mut().asked.pop_front();
            let Some(n) = asked else { continue };
            wire.borrow_mut().came.push_back(Piece::Head(n));
            yield_now().await;
            wire.borrow_mut().came.push_back(Piece::Rest(n));
            if surplus > 0 && n == 1 {
                surplus -= 1;
                wire.borrow_mut().came.push_back(Piece::Head(n));
            }
        }
        yield_now().await;
    }
}

/// The sweep, and the end of the runner's connections that are kept.
async fn upkeep(world: Rc<World>) {
    for _ in 0..3 {
        world.pool.sweep();
        yield_now().await;
    }
    world.pool.close(KEY);
}

fn play(fault: Fault) {
    block_on(async move {
        let world = Rc::new(World {
            pool: Pool::default(),
            wires: RefCell::default(),
            open: Cell::new(REQUESTS),
            fault,
        });
        let mut tasks = vec![
            spawn_local(runner(Rc::clone(&world))),
            spawn_local(upkeep(Rc::clone(&world))),
        ];
        tasks.extend((0..REQUESTS).map(|n| spawn_local(request(Rc::clone(&world), n, n == 0))));
        for task in tasks {
            task.await.expect("no task is broken off");
        }
    });
}

#[test]
fn each_request_gets_its_own_answer_over_kept_connections() {
    shuttle::check_random(|| play(Fault::None), ORDERS);
    shuttle::check_pct(|| play(Fault::None), ORDERS, 3);
}

#[test]
fn each_planted_fault_is_found() {
    for fault in [
        Fault::KeptAfterLeaving,
        Fault::KeptAtHead,
        Fault::SurplusNotSeen,
    ] {
        let played = catch_unwind(AssertUnwindSafe(|| {
            shuttle::check_random(move || play(fault), ORDERS)
        }));
        assert!(played.is_err(), "{fault:?} is not found");
    }
}
