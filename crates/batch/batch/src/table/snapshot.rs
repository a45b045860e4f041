//! The table as bytes: what a store writes to its disk and sends to a store that joins its chain.
//!
//! Without reservations it is a snapshot that the version before reads, too, so that chains of both
//! versions go on during a rolling upgrade.

use super::{BatchJob, BatchJobTable};
use crate::codec::read_name;
use crate::reservations::Reservations;
use binrw::io::{Cursor, Seek, Write};
use binrw::{BinRead, BinResult, BinWrite};
use compact_str::CompactString;

/// The first bytes of a snapshot: its kind and version.
const MAGIC: u32 = 0x4c4f_5402;
/// The version before, which has no reservations after its batch jobs.
const MAGIC_WITHOUT_RESERVATIONS: u32 = 0x4c4f_5401;

#[derive(BinRead)]
#[br(little)]
struct Entry {
    #[br(parse_with = read_name)]
    id: CompactString,
    batch_job: BatchJob,
}

fn invalid(message: &str) -> binrw::Error {
    binrw::Error::AssertFail {
        pos: 0,
        message: message.to_owned(),
    }
}

pub(super) fn read(snapshot: &[u8]) -> BinResult<BatchJobTable> {
    let mut cursor = Cursor::new(snapshot);
    let magic = u32::read_le(&mut cursor)?;
    if magic != MAGIC && magic != MAGIC_WITHOUT_RESERVATIONS {
        return Err(invalid("another kind of snapshot"));
    }
    let mut table = BatchJobTable {
        clock: u64::read_le(&mut cursor)?,
        ..BatchJobTable::default()
    };
    for _ in 0..u32::read_le(&mut cursor)? {
        let Entry { id, batch_job } = Entry::read(&mut cursor)?;
        if !batch_job.is_consistent() || table.batch_jobs.contains_key(&id) {
            return Err(invalid("an inconsistent batch job"));
        }
        table.add(id, batch_job);
    }
    if magic == MAGIC {
        table.reserved = Reservations::read(&mut cursor)?;
    }
    if cursor.position() != snapshot.len() as u64 {
        return Err(invalid("bytes after the end of the snapshot"));
    }
    Ok(table)
}

pub(super) fn write<W: Write + Seek>(table: &BatchJobTable, out: &mut W) -> BinResult<()> {
    let has_reservations = !table.reserved.is_empty();
    let magic = if has_reservations {
        MAGIC
    } else {
        MAGIC_WITHOUT_RESERVATIONS
    };
    magic.write_le(out)?;
    table.clock.write_le(out)?;
    u32::try_from(table.batch_jobs.len())
        .unwrap_or(u32::MAX)
        .write_le(out)?;
    for (id, batch_job) in &table.batch_jobs {
        u32::try_from(id.len()).unwrap_or(u32::MAX).write_le(out)?;
        out.write_all(id.as_bytes())?;
        batch_job.write(out)?;
    }
    if has_reservations {
        table.reserved.write(out)?;
    }
    Ok(())
}
