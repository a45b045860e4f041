//! What the simulator sends. Unknown keys are skipped; the names of the protocol are those of the
//! attributes.

use dispatch_api::Outcome;
use dispatcher_settings::settings_object::SettingsObject;
use serde::de::IgnoredAny;
use serde::Deserialize;

/// The values of a load report, by the positions that the facts name.
pub(crate) type ReportRow = Option<Vec<Option<f64>>>;

/// One line.
#[derive(Debug, Deserialize)]
pub(crate) struct Batch<'a> {
    #[serde(rename = "sim-time-ms")]
    pub now_ms: f64,
    #[serde(rename = "n")]
    pub number: u64,
    #[serde(borrow)]
    pub dispatchers: Vec<Group<'a>>,
}

/// The messages for one instance.
#[derive(Debug, Deserialize)]
pub(crate) struct Group<'a> {
    #[serde(rename = "who")]
    pub instance: u64,
    #[serde(borrow, rename = "msgs")]
    pub messages: Vec<Message<'a>>,
}

/// One message: an object with a single known key.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Message<'a> {
    pub start: Option<Start>,
    #[serde(borrow)]
    pub membership: Option<Membership<'a>>,
    #[serde(rename = "req")]
    pub request: Option<Request>,
    #[serde(borrow)]
    pub started: Option<StreamStarted<'a>>,
    #[serde(rename = "left")]
    pub client_left: Option<ClientLeft>,
    pub killed: Option<IgnoredAny>,
    #[serde(borrow, rename = "echo")]
    pub probe_ended: Option<ProbeEnded<'a>>,
    pub timer: Option<IgnoredAny>,
    #[serde(borrow)]
    pub datagram: Option<Datagram<'a>>,
    #[serde(borrow)]
    pub interim: Option<Interim<'a>>,
    #[serde(borrow, rename = "settled")]
    pub attempt_ended: Option<AttemptEnded<'a>>,
}

/// Starts an instance.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Start {
    pub init_seed: u64,
    pub facts: Box<SettingsObject>,
}

/// A list of workers, or changes of it.
#[derive(Debug, Deserialize)]
pub(crate) struct Membership<'a> {
    pub kind: String,
    #[serde(borrow)]
    pub entries: Option<Vec<Entry<'a>>>,
}

/// A worker of the list.
#[derive(Debug, Deserialize)]
pub(crate) struct Entry<'a> {
    pub worker: &'a str,
    pub status: String,
    #[serde(rename = "generation-hw")]
    pub kind: Option<u32>,
    #[serde(rename = "dc")]
    pub zone: Option<u32>,
    #[serde(rename = "cohort")]
    pub cell: Option<u32>,
    #[serde(rename = "last-start-ms")]
    pub last_start_ms: Option<f64>,
    #[serde(rename = "rating")]
    pub weight: Option<f64>,
}

/// A job.
#[derive(Debug, Deserialize)]
pub(crate) struct Request {
    #[serde(rename = "ref")]
    pub job: u64,
    #[serde(rename = "expires-ms")]
    pub expires_ms: f64,
    #[serde(rename = "route-key")]
    pub key: Option<u64>,
    #[serde(rename = "cores-needed")]
    pub slots: Option<f64>,
    #[serde(rename = "project")]
    pub tenant: Option<usize>,
    #[serde(rename = "work-ms")]
    pub work_ms: Option<f64>,
    #[serde(rename = "cls")]
    pub class: usize,
}

/// The first byte of a stream has come.
#[derive(Debug, Deserialize)]
pub(crate) struct StreamStarted<'a> {
    #[serde(rename = "ref")]
    pub job: u64,
    #[serde(rename = "leg")]
    pub attempt: u32,
    pub worker: &'a str,
}

/// The client of a job has disconnected.
#[derive(Debug, Deserialize)]
pub(crate) struct ClientLeft {
    #[serde(rename = "ref")]
    pub job: u64,
}

/// A probe has ended.
#[derive(Debug, Deserialize)]
pub(crate) struct ProbeEnded<'a> {
    pub worker: &'a str,
    #[serde(rename = "how")]
    pub outcome: i64,
    pub report: ReportRow,
}

/// A message of another dispatcher, in hexadecimal.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Datagram<'a> {
    pub src_peer: u32,
    pub raw: &'a str,
}

/// An attempt was started by its worker, or has progressed.
#[derive(Debug, Deserialize)]
pub(crate) struct Interim<'a> {
    #[serde(rename = "ref")]
    pub job: u64,
    #[serde(rename = "leg")]
    pub attempt: u32,
    pub worker: &'a str,
    #[serde(rename = "level")]
    pub done: Option<f64>,
    pub what: i64,
}

/// An attempt has ended.
#[derive(Debug, Deserialize)]
pub(crate) struct AttemptEnded<'a> {
    #[serde(rename = "ref")]
    pub job: u64,
    #[serde(rename = "leg")]
    pub attempt: u32,
    pub worker: &'a str,
    #[serde(rename = "how")]
    pub outcome: i64,
    pub finished: Option<bool>,
    pub report: ReportRow,
}

/// The outcome of an attempt or a probe by its code.
pub(crate) fn outcome(code: i64) -> Outcome {
    match code {
        0 => Outcome::Done,
        255 => Outcome::Error,
        254 => Outcome::Rejected,
        253 => Outcome::TimedOut,
        252 => Outcome::ConnectFailed,
        251 => Outcome::Reset,
        250 => Outcome::Cancelled,
        249 => Outcome::NotSent,
        _ => Outcome::Unknown,
    }
}
