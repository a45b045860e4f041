//! What the configuration says that clients may send, as the listener takes it.

use crate::gateway::Gateway;
use http1::{Reading, Waits};
use route_config::Limits;
use std::rc::Rc;
use std::time::Duration;

/// What is read of a connection at a time; hyper takes no less than half of it.
const BUFFER: usize = 16 * 1024;
/// The longest that an answer may wait to be taken by its client, once it is whole.
const WRITE_WAIT: Duration = Duration::from_secs(10);
/// The least that a client is given for a head: less would cut usual ones off.
const HEAD_LEAST_MS: u64 = 200;

/// How connections are read until a configuration says more.
pub fn at_first() -> Reading {
    reading(&Limits::default())
}

fn reading(limits: &Limits) -> Reading {
    let head = usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX);
    // A head must fit into what is read at a time.
    Reading {
        head_wait: None,
        head: Some(head),
        buffer: BUFFER.max(head.min(1 << 20)),
        date: false,
    }
}

/// These limits are in force from now on.
pub fn apply(gateway: &Rc<Gateway>, limits: &Limits) {
    gateway.connections.read_by(reading(limits));
    gateway.connections.guards().wait(Waits {
        request: Duration::from_millis(limits.header_timeout_ms.max(HEAD_LEAST_MS)),
        write: WRITE_WAIT,
        idle: Some(Duration::from_millis(
            limits.idle_timeout_ms.max(HEAD_LEAST_MS),
        )),
    });
}
