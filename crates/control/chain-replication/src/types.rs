//! Members, views, what is written and what comes back from the disk.

use std::net::SocketAddr;

use binrw::binrw;
use bytes::Bytes;

use crate::wire::{
    from_bytes, read_addr, read_bytes, to_bytes, write_addr, write_bytes, DecodeError, Message,
};

/// Milliseconds on a steady clock.
pub type Millis = u64;

/// Members of a view at most: chains are 2 to 4 long; the rest is room for what a faulty peer may say.
pub const MAX_MEMBERS: u32 = 16;

/// A snapshot's bytes at most: half of what the smallest machine's process may use is left for all the rest.
pub const MAX_SNAPSHOT_BYTES: u32 = 64 * 1024 * 1024;

/// A process with the disk it holds. It is the same one only while both `id` and `addr` are the same: founders all
/// have the id 0, and a machine that lost its disk comes back at its address with another id.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Member {
    /// Drawn when the disk was empty; 0 for a founder.
    pub id: u64,
    /// Where it listens for peers.
    #[br(parse_with = read_addr)]
    #[bw(write_with = write_addr)]
    pub addr: SocketAddr,
    /// The view since which it has been a member without a gap.
    pub since: u64,
}

impl Member {
    /// Whether this is the same disk at the same address, whatever `since` says.
    pub fn is_same_process(&self, other: &Member) -> bool {
        self.id == other.id && self.addr == other.addr
    }
}

/// A chain, as agreed under a number.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Rises by one a view.
    pub number: u64,
    #[br(temp, assert(member_count <= MAX_MEMBERS))]
    #[bw(calc = members.len() as u32)]
    member_count: u32,
    /// Head first, tail last.
    #[br(count = member_count)]
    pub members: Vec<Member>,
    #[br(temp, assert(joining_count <= MAX_MEMBERS))]
    #[bw(calc = joining.len() as u32)]
    joining_count: u32,
    /// These get copies from the tail and are not waited for.
    #[br(count = joining_count)]
    pub joining: Vec<Member>,
}

impl View {
    /// The place of a member in the chain, 0 is the head.
    pub fn position(&self, member: &Member) -> Option<usize> {
        self.members.iter().position(|m| m.is_same_process(member))
    }
}

/// A snapshot that the table can't read; the state stays as it was.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("1201: the snapshot can't be read: {0}")]
pub struct SnapshotError(pub String);

/// The replicated table. `apply` must do the same everywhere, whatever the bytes are.
pub trait StateMachine {
    /// Takes the command of this number.
    fn apply(&mut self, number: u64, command: &[u8]);
    /// The whole state as bytes.
    fn snapshot(&self) -> Vec<u8>;
    /// Takes a whole state in place of its own, or leaves its own as it was.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), SnapshotError>;
}

/// What a member says of itself to whoever settles the next view. Each figure stays true once said.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReplicaStatus {
    /// Its id.
    pub id: u64,
    /// The newest view it has entered, 0 if none.
    pub view: u64,
    /// The newest view in which it was in sync, by its disk.
    pub in_sync_view: u64,
    /// The newest entry it holds.
    pub last_received: u64,
    /// A joiner that holds all but the newest, in this view.
    #[br(map = |x: u8| x != 0)]
    #[bw(map = |x: &bool| u8::from(*x))]
    pub caught_up: bool,
}

impl ReplicaStatus {
    /// As bytes for a peer.
    pub fn encode(&self) -> Bytes {
        to_bytes(self)
    }

    /// From a peer's bytes.
    pub fn decode(bytes: &[u8]) -> Result<ReplicaStatus, DecodeError> {
        from_bytes(bytes)
    }
}

/// A record for the disk. Records are written and synced in the order in which they come.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogRecord {
    /// The view that was entered.
    #[brw(magic = 1u8)]
    View {
        /// The view.
        view: View,
    },
    /// In this view, all was held that the head held when it began.
    #[brw(magic = 2u8)]
    InSync {
        /// The view's number.
        view: u64,
    },
    /// An entry.
    #[brw(magic = 3u8)]
    Entry {
        /// The view in which the head numbered it.
        view: u64,
        /// Its number; the one before is on disk, or in the snapshot.
        number: u64,
        /// The command.
        #[br(parse_with = read_bytes, args(MAX_SNAPSHOT_BYTES))]
        #[bw(write_with = write_bytes)]
        command: Bytes,
    },
    /// A whole state. All entries before it in the file are void, also those with higher numbers; who writes one to
    /// save room writes the entries after it again (see `Replica::snapshot_records`).
    #[brw(magic = 4u8)]
    Snapshot {
        /// The view of the last entry in it.
        view: u64,
        /// The number of the last entry in it.
        number: u64,
        /// The state.
        #[br(parse_with = read_bytes, args(MAX_SNAPSHOT_BYTES))]
        #[bw(write_with = write_bytes)]
        body: Bytes,
    },
}

impl LogRecord {
    /// As bytes for a disk record.
    pub fn encode(&self) -> Bytes {
        to_bytes(self)
    }

    /// From a disk record's bytes.
    pub fn decode(bytes: &[u8]) -> Result<LogRecord, DecodeError> {
        from_bytes(bytes)
    }
}

/// What the disk holds at the start. The owner syncs what it has read before it makes a node of it: a process that
/// was killed may have left records that a loss of power would still take away.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RecoveredLog {
    /// The newest view entered.
    pub view: Option<View>,
    /// The newest view in which it was in sync.
    pub in_sync_view: u64,
    /// View and number of the last entry within, and the state.
    pub snapshot: Option<(u64, u64, Vec<u8>)>,
    /// View, number and command of the entries after the snapshot, without a gap.
    pub entries: Vec<(u64, u64, Bytes)>,
}

impl RecoveredLog {
    /// Takes the records in the order in which they were written. What a torn tail left out is left out by the
    /// caller; an entry that does not follow is dropped, with all after it.
    pub fn replay(&mut self, record: LogRecord) {
        match record {
            LogRecord::View { view } => {
                if self
                    .view
                    .as_ref()
                    .is_none_or(|old| old.number < view.number)
                {
                    self.view = Some(view);
                }
            }
            LogRecord::InSync { view } => self.in_sync_view = self.in_sync_view.max(view),
            LogRecord::Entry {
                view,
                number,
                command,
            } => {
                let last = self.last_number();
                if number == last.saturating_add(1) {
                    self.entries.push((view, number, command));
                }
            }
            LogRecord::Snapshot { view, number, body } => {
                // Entries before it are void even where it holds fewer: it may be another's state, put in place of a
                // history that was given up.
                self.entries.clear();
                self.snapshot = Some((view, number, body.to_vec()));
            }
        }
    }

    /// Bytes of the commands that are held.
    pub fn entry_bytes(&self) -> u64 {
        self.entries
            .iter()
            .map(|(_, _, command)| command.len() as u64)
            .sum()
    }

    /// Puts the oldest entries into the snapshot until those that are left have no more than so many bytes, so that a
    /// long log need not be in memory whole. `empty` is a table as it is before its first command.
    ///
    /// # Errors
    /// The snapshot can't be read; all stays as it was.
    pub fn compact<M: StateMachine>(
        &mut self,
        mut empty: M,
        keep_bytes: u64,
    ) -> Result<(), SnapshotError> {
        let mut left = self.entry_bytes();
        let older = self.entries.iter().take_while(|(_, _, command)| {
            let goes = left > keep_bytes;
            left = left.saturating_sub(command.len() as u64);
            goes
        });
        let older = older.count();
        let Some((view, number)) = older
            .checked_sub(1)
            .and_then(|at| self.entries.get(at))
            .map(|e| (e.0, e.1))
        else {
            return Ok(());
        };
        if let Some((_, _, body)) = &self.snapshot {
            empty.restore(body)?;
        }
        // Before the new one is made: of a large state there is one copy less in memory.
        self.snapshot = None;
        for (_, number, command) in self.entries.drain(..older) {
            empty.apply(number, &command);
        }
        self.entries.shrink_to_fit();
        self.snapshot = Some((view, number, empty.snapshot()));
        Ok(())
    }

    /// The number of the newest entry.
    pub fn last_number(&self) -> u64 {
        match (self.entries.last(), &self.snapshot) {
            (Some(entry), _) => entry.1,
            (None, Some(snapshot)) => snapshot.1,
            (None, None) => 0,
        }
    }
}

/// What the owner is to do, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Tell a peer; may be lost.
    Send {
        /// Its peer address.
        to: SocketAddr,
        /// What is said.
        message: Message,
    },
    /// Write and sync, in order; then `Replica::handle_synced(ticket)`, which covers all tickets up to it.
    Write {
        /// Rises by one a record.
        ticket: u64,
        /// The record.
        record: LogRecord,
    },
    /// All up to this number is on all disks of the view; said again where it is so in a longer one. Who counts the
    /// members asks `Replica::committed_with_members`: views may have changed since this was put down.
    Committed {
        /// The number.
        number: u64,
    },
    /// The state was restored from another's: soft state is void.
    SnapshotInstalled,
}
