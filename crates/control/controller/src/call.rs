//! The calls of runners and operators, what they are answered, and the inputs of the event loop.

use bytes::Bytes;
use peer_transport::Peer;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Longest text of an error in an answer, in characters.
const MAX_ERROR_CHARS: usize = 300;

/// The answer to a call of `ctl`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body: JSON, or empty.
    pub body: Bytes,
    /// Where to call instead.
    pub location: Option<String>,
}

impl Response {
    /// Success with an empty object.
    pub fn ok() -> Self {
        Response::json(Bytes::from_static(b"{}"))
    }

    /// Success with this JSON.
    pub fn json(body: impl Into<Bytes>) -> Self {
        Response {
            status: 200,
            body: body.into(),
            location: None,
        }
    }

    /// A rejection with its result code, which docs/result-codes.md lists.
    pub fn error(status: u16, code: u16, message: &str) -> Self {
        let message = message
            .chars()
            .filter(|c| !c.is_control())
            .take(MAX_ERROR_CHARS);
        let message = jzon::JsonValue::from(message.collect::<String>());
        let body = format!("{{\"Code\":{code},\"Error\":{}}}", message.dump());
        Response {
            status,
            body: body.into(),
            location: None,
        }
    }

    /// Success of a runner's heartbeat; later ones are to go to this address (`BeatUrl`).
    pub fn heartbeat_address(ctl: SocketAddr) -> Self {
        Response::json(format!("{{\"BeatUrl\":\"{ctl}\"}}"))
    }

    /// Another controller is to be called.
    pub fn redirect(ctl: SocketAddr, path: &str) -> Self {
        let location = Some(format!("http://{ctl}{path}"));
        Response {
            status: 307,
            body: Bytes::new(),
            location,
        }
    }
}

/// Where the answer to a call goes.
pub type ResponseSender = oneshot::Sender<Response>;

/// Tells calls apart that wait at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call of a runner or an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// A configuration is to take the place of the one before.
    ReplaceConfig {
        /// The version that it builds on (`Fordrelay-Base-Version`).
        base_version: u64,
        /// The configuration.
        body: Bytes,
    },
    /// The newest configuration.
    GetConfig,
    /// A runner's heartbeat.
    RunnerHeartbeat {
        /// The runner.
        id: String,
        /// Its JSON.
        body: Bytes,
    },
    /// A runner's departure.
    RunnerLeave {
        /// The runner.
        id: String,
    },
    /// A store machine is to be emptied.
    RetireStore {
        /// The machine.
        node: String,
    },
    /// How far that is.
    GetRetirement {
        /// The machine.
        node: String,
    },
    /// A service is to move to another version.
    BeginRollout {
        /// The order, in JSON.
        body: Bytes,
    },
    /// How far that is.
    GetRollout {
        /// The service.
        service: String,
    },
    /// The state of the tier, as this controller sees it.
    GetStatus,
}

/// What comes to the event loop from its sockets.
pub enum Input {
    /// A call.
    Call {
        /// What is called for.
        call: Call,
        /// For the answer.
        respond_to: ResponseSender,
    },
    /// A frame of another process of the tier.
    Frame {
        /// The sender.
        from: Rc<Peer>,
        /// The frame's kind.
        kind: u16,
        /// The frame's body.
        body: Bytes,
    },
}
