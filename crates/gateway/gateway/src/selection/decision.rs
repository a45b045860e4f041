//! What runner selection is given for a request, and what it returns.

use crate::client::request::Request;
use crate::proxy::attempt::AttemptHistory;
use crate::proxy::in_flight::InFlightAttempt;
use crate::selection::selector::Key;
use hyper::header::HeaderValue;
use route_config::Route;
use std::net::SocketAddr;

/// A request or an item that looks for a runner.
pub struct SelectionRequest<'a> {
    /// The request.
    pub request: &'a Request,
    /// Its route now.
    pub route: &'a Route,
    /// Its attempts so far.
    pub history: &'a AttemptHistory,
    /// The rest of its time, in milliseconds.
    pub left_ms: u64,
    /// The present, in milliseconds of the process's clock.
    pub now: u64,
    /// Its client has the beginning of its response already.
    pub response_started: bool,
}

/// What happens to a request now.
pub enum Selection {
    /// An attempt at this runner.
    Runner(SelectedRunner),
    /// It waits until then, or until it is woken.
    Wait {
        /// The time on the process's clock.
        until: u64,
    },
    /// It is rejected.
    Reject {
        /// When it may come again, in milliseconds.
        after_ms: u64,
    },
}

/// A runner that was selected for an attempt.
pub struct SelectedRunner {
    /// The runner.
    pub key: Key,
    /// Its id.
    pub id: HeaderValue,
    /// Its address.
    pub addr: SocketAddr,
    /// The attempt, which counts from now on.
    pub in_flight: InFlightAttempt,
}
