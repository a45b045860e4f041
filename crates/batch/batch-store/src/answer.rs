//! Where answers go: over a connection, or into a test.

use bytes::Bytes;

/// Takes the answer to one call. Dropped without one, the caller learns that there will be none.
pub trait Answer {
    /// Gives it.
    fn answer(self, body: Bytes);
}

impl Answer for peer_transport::Reply {
    fn answer(self, body: Bytes) {
        self.send(body);
    }
}
