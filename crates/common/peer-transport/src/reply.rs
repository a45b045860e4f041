//! The reply to a call, to be given once.

use crate::accepted::Accepted;
use crate::call::{CallError, CallSender};
use crate::frame::{Frame, FrameType};
use crate::limits::MAX_BODY_BYTES;
use bytes::Bytes;
use std::rc::Rc;

/// Replies to one call. Dropped without a reply, it tells the caller at once that none will come.
pub struct Reply(Option<Route>);

pub(crate) enum Route {
    Connection { to: Rc<Accepted>, call_id: u32 },
    Local(CallSender),
}

impl Reply {
    pub(crate) fn new(route: Route) -> Self {
        Self(Some(route))
    }

    /// Sends the reply. A body over [`MAX_BODY_BYTES`] counts as no reply.
    pub fn send(mut self, body: Bytes) {
        let body = (body.len() <= MAX_BODY_BYTES).then_some(body);
        self.finish(body);
    }

    fn finish(&mut self, body: Option<Bytes>) {
        match self.0.take() {
            Some(Route::Connection { to, call_id }) => {
                let frame_type = if body.is_some() {
                    FrameType::Reply
                } else {
                    FrameType::NoReply
                };
                let body = body.unwrap_or_default();
                to.reply(Frame {
                    frame_type,
                    kind: 0,
                    call_id,
                    body,
                });
            }
            Some(Route::Local(to)) => {
                // The caller may have left.
                let _ = to.send(body.ok_or(CallError::Unknown));
            }
            None => {}
        }
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        self.finish(None);
    }
}
