//! What one client's connection waits for, and since when.
//!
//! A client may connect and send nothing, send half a request, or send one and stay. Each of these holds a
//! descriptor that another client needs. What counts is the request that has not been received completely: a
//! connection that carries a complete one, or waits for its response, is never closed for want of capacity.

use crate::head_bytes::HeadBytes;
use crate::observed_stream::Observer;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A request must have been received completely this long after its connection, or after its first byte on one that is
/// used again.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A response that its client has not read after so long is given up: no client waits for so much longer than its deadline.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How much later a connection is closed whose request could not even be answered.
pub const CLOSE_DELAY: Duration = Duration::from_millis(150);

/// How long a connection is waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// For a complete request, after its connection or after its first byte on one that is used again.
    pub request: Duration,
    /// For a client to read its response.
    pub write: Duration,
    /// For the first byte of the next request; without a limit if not set.
    pub idle: Option<Duration>,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts {
            request: REQUEST_TIMEOUT,
            write: WRITE_TIMEOUT,
            idle: None,
        }
    }
}

/// What a connection waits for, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// A complete request.
    ReceivingRequest(Instant),
    /// The response.
    Responding,
    /// That its client reads the response, to its last byte.
    WritingResponse(Instant),
    /// The next request, of which nothing has been received.
    Idle(Instant),
}

/// One connection.
#[derive(Debug)]
pub struct ConnectionState {
    timeouts: Rc<Cell<Timeouts>>,
    stage: Cell<Stage>,
    /// The response is waited for no longer than this, where that was set.
    deadline: Cell<Option<Instant>>,
    /// Something of a request was received, but not all of it.
    has_partial_request: Cell<bool>,
    eviction: Notify,
    /// What was received since the last response, until a head is complete.
    head: RefCell<HeadBytes>,
}

impl ConnectionState {
    /// A connection that was accepted just now.
    pub(crate) fn new(timeouts: Rc<Cell<Timeouts>>) -> Self {
        ConnectionState {
            timeouts,
            stage: Cell::new(Stage::ReceivingRequest(Instant::now())),
            deadline: Cell::new(None),
            has_partial_request: Cell::new(false),
            eviction: Notify::new(),
            head: RefCell::default(),
        }
    }

    pub(crate) fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Since when a complete request is waited for.
    pub fn receiving_since(&self) -> Instant {
        match self.stage.get() {
            Stage::ReceivingRequest(since) | Stage::Idle(since) => since,
            Stage::Responding | Stage::WritingResponse(_) => Instant::now(),
        }
    }

    /// The request was received completely, or was rejected.
    pub fn request_received(&self) {
        self.has_partial_request.set(false);
        self.stage.set(Stage::Responding);
    }

    /// The response is waited for until then, made and read; without this it is waited for without a limit.
    pub fn set_response_deadline(&self, deadline: Instant) {
        self.deadline.set(Some(deadline));
    }

    pub(crate) fn is_past_deadline(&self) -> bool {
        let is_over = |deadline: Instant| deadline <= Instant::now();
        self.stage.get() == Stage::Responding && self.deadline.get().is_some_and(is_over)
    }

    /// Whether its response is being made.
    pub fn is_responding(&self) -> bool {
        self.stage.get() == Stage::Responding
    }

    /// Whether something of a request was received, but not all of it.
    pub fn has_partial_request(&self) -> bool {
        self.has_partial_request.get()
    }

    /// A head is complete: whether the bytes that it was received in hold it alone, in chunks and without a length.
    pub fn is_chunked_only(&self) -> bool {
        self.head.borrow().is_chunked_only()
    }

    /// The head was received, and the body is waited for as long again.
    pub fn body_started(&self) {
        self.stage.set(Stage::ReceivingRequest(Instant::now()));
    }

    /// The head was read; what is received from now on is the body.
    pub fn head_received(&self) {
        self.head.borrow_mut().stop();
    }

    /// The response is there, and is written from now on.
    pub fn response_started(&self) {
        self.deadline.set(None);
        self.has_partial_request.set(false);
        self.head.borrow_mut().begin();
        self.stage.set(Stage::WritingResponse(Instant::now()));
    }

    /// All that there was to write was written.
    fn response_written(&self) {
        if matches!(self.stage.get(), Stage::WritingResponse(_)) {
            let next = if self.has_partial_request.get() {
                Stage::ReceivingRequest
            } else {
                Stage::Idle
            };
            self.stage.set(next(Instant::now()));
        }
    }

    fn bytes_received(&self, bytes: &[u8]) {
        self.head.borrow_mut().push(bytes);
        self.has_partial_request
            .set(self.stage.get() != Stage::Responding);
        if matches!(self.stage.get(), Stage::Idle(_)) {
            self.stage.set(Stage::ReceivingRequest(Instant::now()));
        }
    }

    /// Whether its request should have been received, or its response been read, so long ago that nothing more is waited
    /// for.
    pub fn is_overdue(&self) -> bool {
        let timeouts = self.timeouts.get();
        match self.stage.get() {
            Stage::ReceivingRequest(since) => since.elapsed() >= timeouts.request + 2 * CLOSE_DELAY,
            Stage::WritingResponse(since) => since.elapsed() >= timeouts.write,
            Stage::Responding => self.is_past_deadline(),
            Stage::Idle(_) => false,
        }
    }

    pub(crate) fn evict(&self) {
        self.eviction.notify_one();
    }

    /// Returns when the connection is to be closed, and no complete request was received meanwhile.
    pub async fn evicted(&self) {
        loop {
            self.eviction.notified().await;
            if self.stage.get() != Stage::Responding || self.is_past_deadline() {
                return;
            }
        }
    }
}

impl Observer for Rc<ConnectionState> {
    fn read(&self, bytes: &[u8]) {
        self.bytes_received(bytes);
    }

    fn flushed(&self) {
        self.response_written();
    }
}
