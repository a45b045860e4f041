//! What the owner of a transport does with what peers send.

use crate::peer::Peer;
use crate::reply::Reply;
use bytes::Bytes;
use std::rc::Rc;

/// Receives what peers send. Called inline by the connection's task, so it does its work at once or
/// hands it on.
pub trait Handler {
    /// A one-way message has come.
    fn handle_message(&self, from: &Rc<Peer>, kind: u16, body: Bytes);
    /// A call has come; its reply goes through `reply`, now or later.
    fn handle_call(&self, from: &Rc<Peer>, kind: u16, body: Bytes, reply: Reply);
}
