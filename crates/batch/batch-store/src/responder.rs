//! Where responses go: over a connection, or into a test.

use bytes::Bytes;

/// Takes the response to one request. If it is dropped without one, the caller learns that there
/// will be none.
pub trait Responder {
    /// Sends the response.
    fn respond(self, body: Bytes);
}

impl Responder for peer_transport::Reply {
    fn respond(self, body: Bytes) {
        self.send(body);
    }
}
