//! Opens the log on the store's disk and recovers the partitions from it.

use super::error::ProcessError;
use super::random_id;
use crate::journal::Recovery;
use chain_replication::RecoveredLog;
use slog::{error, info, Logger};
use std::path::Path;
use write_ahead_log::{LogError, OpenAs, OpenedLog, Options, WriteAheadLog};

/// An opened disk.
pub(super) struct OpenedDisk {
    pub log: WriteAheadLog,
    /// Bytes of the records that were read.
    pub bytes: u64,
    pub partitions: Vec<(u16, RecoveredLog)>,
    /// The id on the disk.
    pub identity: u64,
}

/// Opens the disk. One that is corrupt is started empty under a new identity: its replicas are
/// worth nothing, and the other members of each chain have them. One of another machine or role is
/// rejected, and left as it is.
pub(super) fn open_disk(
    dir: &Path,
    options: Options,
    owner: u64,
    log: &Logger,
) -> Result<OpenedDisk, ProcessError> {
    match read_disk(dir, options, owner, log) {
        Err(why @ (ProcessError::Disk(LogError::Corrupt { .. }) | ProcessError::Recovery(_))) => {
            error!(log, "disk corrupt, started empty"; "code" => 2203, "why" => %why);
            remove_log(dir).map_err(ProcessError::RemoveLog)?;
            read_disk(dir, options, owner, log)
        }
        opened => opened,
    }
}

fn read_disk(
    dir: &Path,
    options: Options,
    owner: u64,
    log: &Logger,
) -> Result<OpenedDisk, ProcessError> {
    let (mut recovery, mut failed) = (Recovery::default(), None);
    let mut replay = |ticket, record| {
        if failed.is_none() {
            failed = recovery.replay(ticket, record).err();
        }
    };
    let open_as = OpenAs {
        new_identity: random_id(),
        owner,
    };
    let OpenedLog {
        log: opened,
        identity,
        is_new,
        torn,
        ..
    } = write_ahead_log::open_each(dir, options, open_as, &mut replay)?;
    let bytes = recovery.bytes();
    info!(log, "disk opened"; "records" => recovery.records(), "bytes" => bytes,
        "fresh" => is_new, "torn" => torn);
    if let Some(why) = failed {
        return Err(why.into());
    }
    Ok(OpenedDisk {
        log: opened,
        bytes,
        partitions: recovery.finish()?,
        identity,
    })
}

/// Removes the files of a log.
fn remove_log(dir: &Path) -> std::io::Result<()> {
    for entry in std::fs::read_dir(dir)? {
        let entry = entry?;
        let name = entry.file_name();
        if name.to_str().is_some_and(|name| name.starts_with("ring-")) {
            std::fs::remove_file(entry.path())?;
        }
    }
    std::fs::File::open(dir)?.sync_all()
}
