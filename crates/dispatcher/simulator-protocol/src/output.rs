//! What the simulator receives; the names of the protocol are those of the attributes.

use serde::Serialize;

/// One line.
#[derive(Debug, Serialize)]
pub(crate) struct Reply<'a> {
    #[serde(rename = "n")]
    pub number: u64,
    pub dispatchers: Vec<Output<'a>>,
}

/// The orders of one instance.
#[derive(Debug, Serialize)]
pub(crate) struct Output<'a> {
    #[serde(rename = "who")]
    pub instance: u64,
    #[serde(rename = "output")]
    pub orders: Vec<Order<'a>>,
}

/// One order.
#[derive(Debug, Serialize)]
pub(crate) enum Order<'a> {
    #[serde(rename = "try")]
    Push {
        #[serde(rename = "ref")]
        job: u64,
        worker: &'a str,
    },
    #[serde(rename = "abandon")]
    CancelAttempt {
        #[serde(rename = "ref")]
        job: u64,
        #[serde(rename = "leg")]
        attempt: u32,
    },
    #[serde(rename = "bounce")]
    Reject {
        #[serde(rename = "ref")]
        job: u64,
        #[serde(rename = "come-back-ms")]
        retry_after_ms: Option<f64>,
    },
    #[serde(rename = "error")]
    Fail {
        #[serde(rename = "ref")]
        job: u64,
    },
    #[serde(rename = "sound-out")]
    Probe { worker: &'a str },
    #[serde(rename = "disconnect")]
    CloseIdleConnections { worker: &'a str },
    #[serde(rename = "publish")]
    PublishLoad { peer: &'static str, raw: String },
    #[serde(rename = "keep-informed")]
    WatchWorkers { want: bool },
    #[serde(rename = "remind")]
    WakeAt {
        #[serde(rename = "due-at-ms")]
        due_ms: f64,
        handle: &'static str,
    },
    #[serde(rename = "panic")]
    Panic { text: String },
}
