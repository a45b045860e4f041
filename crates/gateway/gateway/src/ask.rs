//! What the choice is asked for a request, and what it answers.

use crate::choice::Key;
use crate::exchange::Tried;
use crate::request::Request;
use crate::sending::Sending;
use hyper::header::HeaderValue;
use route_config::Route;
use std::net::SocketAddr;

/// What is asked.
pub struct Ask<'a> {
    /// The request.
    pub request: &'a Request,
    /// Its route now.
    pub route: &'a Route,
    /// What has become of it so far.
    pub tried: &'a Tried,
    /// What is left of its time.
    pub left_ms: u64,
    /// Now.
    pub now: u64,
    /// Its client has the beginning of its answer.
    pub amid: bool,
}

/// What is to be done with a request now.
pub enum Choice {
    /// It goes to this runner.
    Runner(Chosen),
    /// It waits until then, or until it is called.
    Hold {
        /// The time on the process's clock.
        until: u64,
    },
    /// It is refused.
    Refuse {
        /// When it may come again.
        after_ms: u64,
    },
}

/// A runner that was chosen.
pub struct Chosen {
    /// The runner.
    pub key: Key,
    /// Its id.
    pub id: HeaderValue,
    /// Its address.
    pub addr: SocketAddr,
    /// The send, which counts from now on.
    pub sending: Sending,
}
