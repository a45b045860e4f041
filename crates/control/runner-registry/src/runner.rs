//! A runner as the tier knows it.

use compact_str::CompactString;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Whether a runner takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerState {
    /// It does.
    Up,
    /// It takes no new ones and will end.
    Draining,
    /// It left, or its heartbeats timed out.
    Gone,
}

/// Weights that a runner serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// The model's name.
    pub name: CompactString,
    /// The version of its weights (`Gen`).
    pub version: u64,
}

/// One incarnation of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Runner {
    /// Its id.
    pub id: CompactString,
    /// The service that it belongs to (`Svc`).
    pub service: CompactString,
    /// Where it listens; 0.0.0.0:0 for one that is gone.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: CompactString,
    /// The version of its software (`Gen`).
    pub software_version: CompactString,
    /// How many requests it works on at a time.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: RunnerState,
    /// How much longer it warms up, in milliseconds, as of when the entry was published
    /// (`ColdLeftMs`).
    pub warmup_left_ms: u64,
    /// `prefill`, `decode`, `both` or nothing, as the runner says it.
    pub phase: CompactString,
    /// What it serves.
    pub models: Vec<Model>,
    /// The sequence number (`Seqno`) of the call that this is from.
    pub seqno: u64,
    /// The incarnation of the controller that receives its heartbeats.
    pub owner: u64,
}

impl Runner {
    /// A runner that is gone: only its id and the highest sequence number it may have used are
    /// known.
    pub(crate) fn gone(id: &str, seqno: u64) -> Runner {
        Runner {
            id: id.into(),
            service: CompactString::default(),
            addr: SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0),
            zone: CompactString::default(),
            software_version: CompactString::default(),
            slots: 0,
            state: RunnerState::Gone,
            warmup_left_ms: 0,
            phase: CompactString::default(),
            models: Vec::new(),
            seqno,
            owner: 0,
        }
    }

    /// Whether two say the same apart from state, sequence number and what passes with time.
    pub(crate) fn same_description(&self, other: &Runner) -> bool {
        self.service == other.service
            && self.addr == other.addr
            && self.zone == other.zone
            && self.software_version == other.software_version
            && self.slots == other.slots
            && self.phase == other.phase
            && self.models == other.models
            && self.owner == other.owner
    }
}
