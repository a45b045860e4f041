//! How the limits of a machine are divided: descriptors between connections to targets and from
//! clients, memory between open jobs and buffers.

use super::Config;

/// Descriptors that are kept for what is no connection: standard streams, the runtime's own, the
/// listening socket, discovery, peers and a reserve.
const RESERVED_DESCRIPTORS: usize = 40;
/// Of the rest, so many per cent are for connections to targets; clients have what remains.
const TARGETS_PERCENT: usize = 45;
/// Open jobs may take one part in so many of the memory with their bodies.
const JOBS_MEMORY_PARTS: usize = 4;
/// Buffers of clients' connections may take one part in so many of the memory.
const BUFFERS_MEMORY_PARTS: usize = 4;
/// The buffers of one such connection, in bytes.
const BUFFER_BYTES: usize = 48 * 1024;

/// What one process of a dispatcher may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Connections to targets.
    pub targets: usize,
    /// Connections from clients, those of other processes included.
    pub clients: usize,
    /// Open jobs.
    pub flows: usize,
    /// Bytes that open jobs take.
    pub bytes: usize,
}

/// What all processes of a dispatcher may hold together.
#[derive(Debug, Clone, Copy)]
pub(super) struct MachineLimits {
    pub client_connections: usize,
    pub target_connections: usize,
    pub flow_bytes: usize,
}

/// Why limits can't be divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum LimitsError {
    #[error("is {0}, too few to serve with")]
    Descriptors(usize),
    #[error("is too little to serve with")]
    Memory,
}

impl MachineLimits {
    /// Divides so many descriptors and bytes.
    pub fn divide(descriptors: usize, memory_bytes: usize) -> Result<Self, LimitsError> {
        let shared = descriptors
            .checked_sub(RESERVED_DESCRIPTORS)
            .filter(|shared| *shared >= RESERVED_DESCRIPTORS)
            .ok_or(LimitsError::Descriptors(descriptors))?;
        let target_connections = shared * TARGETS_PERCENT / 100;
        let buffers = memory_bytes / BUFFERS_MEMORY_PARTS / BUFFER_BYTES;
        if buffers == 0 {
            return Err(LimitsError::Memory);
        }
        Ok(MachineLimits {
            client_connections: (shared - target_connections).min(buffers),
            target_connections,
            flow_bytes: memory_bytes / JOBS_MEMORY_PARTS,
        })
    }
}

impl Config {
    /// What each of so many processes may hold, where the limits are for all of them together.
    pub fn process_limits(&self, processes: usize) -> ProcessLimits {
        let processes = processes.max(1);
        let shared = self
            .descriptors
            .saturating_sub(RESERVED_DESCRIPTORS * processes)
            .max(RESERVED_DESCRIPTORS);
        let targets = shared * TARGETS_PERCENT / 100;
        let buffers = self.memory_bytes / BUFFERS_MEMORY_PARTS / BUFFER_BYTES;
        ProcessLimits {
            targets: (targets / processes).max(1),
            clients: (shared - targets).min(buffers).max(1),
            flows: (self.open_flows / processes).max(1),
            bytes: self.flow_bytes / processes,
        }
    }
}
