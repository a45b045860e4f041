//! What a process may use, and how many faults the deployment must tolerate.

use crate::error::SettingsError;
use crate::reader::{NumberKey, TableReader};

/// What the process may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Share of a core.
    pub cpu_frac: f64,
    /// How many times as fast that core is.
    pub ncpu: u32,
    /// Memory, in megabytes.
    pub ram_mb: u64,
    /// File descriptors.
    pub nofile: u64,
    /// The machine's link, in megabits a second.
    pub link_mbps: f64,
    /// The disk, in megabytes, if there is one.
    pub disk_mb: Option<u64>,
}

impl Limits {
    /// Reads the table; modest limits where nothing is said.
    pub(crate) fn read(table: Option<&TableReader<'_>>) -> Result<Self, SettingsError> {
        let number = |key, default, min, max| NumberKey {
            key,
            default,
            min,
            max,
        };
        let disk_mb = number("DiskMb", 0.0, 0.0, 1e9).read_u64(table)?;
        Ok(Limits {
            cpu_frac: number("CpuFrac", 1.0, 0.001, 4_096.0).read(table)?,
            ncpu: number("Ncpu", 1.0, 1.0, 4_096.0).read_u64(table)? as u32,
            ram_mb: number("RamMb", 256.0, 1.0, 1e9).read_u64(table)?,
            nofile: number("Nofile", 1_024.0, 16.0, 1e9).read_u64(table)?,
            link_mbps: number("LinkMbps", 100.0, 0.001, 1e9).read(table)?,
            disk_mb: (disk_mb > 0).then_some(disk_mb),
        })
    }
}

/// How many simultaneous losses the deployment must tolerate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultBudget {
    /// Machines that count (`Voting`).
    pub nodes: u32,
    /// Zones.
    pub zones: u32,
    /// Regions.
    pub regions: u32,
}

impl FaultBudget {
    /// Reads the table; one machine where nothing is said.
    pub(crate) fn read(table: Option<&TableReader<'_>>) -> Result<Self, SettingsError> {
        let number = |key, default| {
            let number = NumberKey {
                key,
                default,
                min: 0.0,
                max: 10_000.0,
            };
            number.read_u64(table).map(|count| count as u32)
        };
        Ok(FaultBudget {
            nodes: number("Nodes", 1.0)?,
            zones: number("Zones", 0.0)?,
            regions: number("Regions", 0.0)?,
        })
    }
}
