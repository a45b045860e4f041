//! One accepted connection, as the replies to its calls see it.

use crate::channel::Channel;
use crate::frame::{Frame, FrameType};
use crate::limits::MAX_QUEUED_BYTES;
use bytes::Bytes;
use std::cell::Cell;
use tokio::sync::Notify;

/// Capacity of the queue beside the replies for saying that there is none.
const NO_REPLY_RESERVE_BYTES: usize = 64 << 10;

/// One accepted connection, as its replies see it.
pub(crate) struct Accepted {
    pub channel: Channel,
    open_calls: Cell<usize>,
    closed: Cell<bool>,
    close: Notify,
}

impl Accepted {
    pub fn new(channel: Channel) -> Self {
        Self {
            channel,
            open_calls: Cell::new(0),
            closed: Cell::new(false),
            close: Notify::new(),
        }
    }

    /// A call has come; gives how many are without a reply.
    pub fn call_received(&self) -> usize {
        self.open_calls.set(self.open_calls.get() + 1);
        self.open_calls.get()
    }

    /// Queues a reply. One that doesn't fit is replaced by [`FrameType::NoReply`], so that its
    /// caller doesn't wait; a peer that reads nothing at all is disconnected.
    pub fn reply(&self, frame: Frame) {
        self.open_calls.set(self.open_calls.get().saturating_sub(1));
        if self.is_closed() {
            return;
        }
        let call_id = frame.call_id;
        let none = Frame {
            frame_type: FrameType::NoReply,
            kind: 0,
            call_id,
            body: Bytes::new(),
        };
        if !self.channel.push(frame, MAX_QUEUED_BYTES)
            && !self
                .channel
                .push(none, MAX_QUEUED_BYTES + NO_REPLY_RESERVE_BYTES)
        {
            self.close();
        }
    }

    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Makes the connection's task end.
    pub fn close(&self) {
        self.closed.set(true);
        self.close.notify_one();
    }

    /// Waits until the connection is to end.
    pub async fn wait_closed(&self) {
        while !self.is_closed() {
            self.close.notified().await;
        }
    }

    /// The connection has ended: drops what is queued.
    pub fn end(&self) {
        self.closed.set(true);
        self.channel.clear();
    }
}
