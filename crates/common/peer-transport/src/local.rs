//! Messages and calls to the process itself: no socket, but never inline either, so that a handler
//! isn't entered twice.

use crate::call::CallSender;
use crate::context::Context;
use crate::limits::MAX_QUEUED_MESSAGE_BYTES;
use crate::reply::{Reply, Route};
use bytes::Bytes;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::task::{spawn_local, AbortHandle};

/// Delivers to the handler of the same process.
pub(crate) struct LocalDelivery {
    context: Rc<Context>,
    queue: RefCell<Queue>,
}

#[derive(Default)]
struct Queue {
    items: VecDeque<Item>,
    bytes: usize,
    task: Option<AbortHandle>,
}

struct Item {
    kind: u16,
    body: Bytes,
    /// None for a one-way message.
    reply: Option<CallSender>,
}

impl LocalDelivery {
    pub fn new(context: Rc<Context>) -> Self {
        Self {
            context,
            queue: RefCell::default(),
        }
    }

    /// Queues a message, or a call if `reply` is given. False if it isn't taken.
    pub fn push(self: &Rc<Self>, kind: u16, body: Bytes, reply: Option<CallSender>) -> bool {
        let mut queue = self.queue.borrow_mut();
        let full = !queue.items.is_empty() && queue.bytes + body.len() > MAX_QUEUED_MESSAGE_BYTES;
        if full || self.context.handler().is_none() {
            return false;
        }
        queue.bytes += body.len();
        queue.items.push_back(Item { kind, body, reply });
        if queue.task.is_none() {
            queue.task = Some(spawn_local(self.clone().run()).abort_handle());
        }
        true
    }

    /// Ends the task.
    pub fn abort(&self) {
        if let Some(task) = self.queue.borrow_mut().task.take() {
            task.abort();
        }
    }

    async fn run(self: Rc<Self>) {
        loop {
            let item = {
                let mut queue = self.queue.borrow_mut();
                let Some(item) = queue.items.pop_front() else {
                    queue.task = None;
                    return;
                };
                queue.bytes -= item.body.len();
                item
            };
            // Without a handler the process is about to end: a call's reply is dropped, and its
            // outcome unknown.
            let Some(handler) = self.context.handler() else {
                continue;
            };
            let from = &self.context.local_peer;
            match item.reply {
                None => handler.handle_message(from, item.kind, item.body),
                Some(sender) => {
                    let reply = Reply::new(Route::Local(sender));
                    handler.handle_call(from, item.kind, item.body, reply);
                }
            }
            tokio::task::consume_budget().await;
        }
    }
}
