//! What the configuration says that clients may send, as the listener takes it.

use crate::gateway::Gateway;
use http1::{ProtocolLimits, Timeouts};
use route_config::Limits;
use std::rc::Rc;
use std::time::Duration;

/// Bytes that are read of a connection at a time; hyper takes no less than half of it.
const BUFFER_BYTES: usize = 16 * 1024;
/// The longest that an answer may wait to be taken by its client, once it is whole.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// The least that a client is given for a head: less would cut usual ones off.
const MIN_HEAD_TIMEOUT_MS: u64 = 200;

/// How connections are read until a configuration says more.
pub fn default_protocol_limits() -> ProtocolLimits {
    protocol_limits(&Limits::default())
}

fn protocol_limits(limits: &Limits) -> ProtocolLimits {
    let head = usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX);
    // A head must fit into what is read at a time.
    ProtocolLimits {
        head_timeout: None,
        max_head_bytes: Some(head),
        buffer_bytes: BUFFER_BYTES.max(head.min(1 << 20)),
        sends_date: false,
    }
}

/// These limits are in force from now on.
pub fn apply(gateway: &Rc<Gateway>, limits: &Limits) {
    gateway
        .connections
        .set_protocol_limits(protocol_limits(limits));
    gateway.connections.table().set_timeouts(Timeouts {
        request: Duration::from_millis(limits.header_timeout_ms.max(MIN_HEAD_TIMEOUT_MS)),
        write: WRITE_TIMEOUT,
        idle: Some(Duration::from_millis(
            limits.idle_timeout_ms.max(MIN_HEAD_TIMEOUT_MS),
        )),
    });
}
