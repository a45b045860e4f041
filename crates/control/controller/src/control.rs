//! The control state that the chain replicates: the configuration in force and which ones were taken before it, the
//! map of stores, and which stores are being emptied.

use binrw::{binrw, BinRead, BinWrite};
use bytes::Bytes;
use chain_replication::{SnapshotError, StateMachine};
use std::collections::VecDeque;
use std::io::Cursor;

/// So many changes are known when they are sent again: over an hour of 66,000 a day, and days of hundreds many times over.
/// They take 48 bytes each, 192 KiB in the table and its snapshot.
pub const TAKEN_MOST: usize = 4_096;

/// What identifies a change that an operator sends: the version that it builds on, and the digest of its body.
#[binrw]
#[brw(little)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// `Fordrelay-Base-Version`.
    pub base: u64,
    /// Its own `Gen`.
    pub gen: u64,
    /// Digest of its body.
    pub digest: [u8; 32],
}

/// A command of the control state.
#[binrw]
#[brw(little)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// A configuration takes the place of the one before.
    #[brw(magic = 1u8)]
    Config {
        /// What identifies it.
        change: Change,
        #[br(temp)]
        #[bw(calc = body.len() as u32)]
        length: u32,
        /// The body, as the operator sent it.
        #[br(count = length)]
        body: Vec<u8>,
    },
    /// A map of stores takes the place of the one before.
    #[brw(magic = 2u8)]
    Map {
        /// Its number.
        number: u64,
        #[br(temp)]
        #[bw(calc = body.len() as u32)]
        length: u32,
        /// The map, encoded.
        #[br(count = length)]
        body: Vec<u8>,
    },
}

impl Command {
    /// As bytes.
    pub fn encode(&self) -> Bytes {
        written(self)
    }

    /// From bytes; none if they are no command.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        Command::read(&mut Cursor::new(bytes)).ok()
    }
}

fn written<T: for<'a> BinWrite<Args<'a> = ()> + binrw::meta::WriteEndian>(value: &T) -> Bytes {
    let mut out = Cursor::new(Vec::new());
    // A vector takes whatever is written to it.
    let _ = value.write(&mut out);
    out.into_inner().into()
}

/// The state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Control {
    /// The newest configuration.
    pub config: Option<(Change, Bytes)>,
    /// What was taken, the newest last.
    pub taken: VecDeque<Change>,
    /// Number of the map of stores; 0 if there is none.
    pub map_number: u64,
    /// The map, encoded.
    pub map: Bytes,
}

impl Control {
    /// The version in place; 0 if there is none.
    pub fn gen(&self) -> u64 {
        self.config.as_ref().map_or(0, |(change, _)| change.gen)
    }

    /// Whether all changes on this version that were ever taken are still known. Each change builds on the one taken before
    /// it, so what was forgotten built on older versions than the oldest that is known.
    pub fn remembers(&self, base: u64) -> bool {
        let forgot = self.taken.len() >= TAKEN_MOST;
        !forgot || self.taken.front().is_none_or(|oldest| base >= oldest.base)
    }

    /// Whether this very change was taken.
    pub fn took(&self, base: u64, digest: &[u8; 32]) -> Option<u64> {
        self.taken
            .iter()
            .rev()
            .find(|c| c.base == base && c.digest == *digest)
            .map(|c| c.gen)
    }
}

/// The digest of a body.
pub fn digest(body: &[u8]) -> [u8; 32] {
    *blake3::hash(body).as_bytes()
}

#[binrw]
#[brw(little)]
struct Written {
    #[br(temp)]
    #[bw(calc = taken.len() as u32)]
    count: u32,
    #[br(count = count)]
    taken: Vec<Change>,
    has: u8,
    #[br(temp)]
    #[bw(calc = body.len() as u32)]
    length: u32,
    #[br(count = length)]
    body: Vec<u8>,
    map_number: u64,
    #[br(temp)]
    #[bw(calc = map.len() as u32)]
    map_length: u32,
    #[br(count = map_length)]
    map: Vec<u8>,
}

impl StateMachine for Control {
    fn apply(&mut self, _number: u64, command: &[u8]) {
        match Command::decode(command) {
            // Checked by the head; looked at again, since what doesn't follow must not count whatever happened there.
            Some(Command::Config { change, body })
                if change.base == self.gen() && change.gen > self.gen() =>
            {
                self.config = Some((change, body.into()));
                self.taken.push_back(change);
                if self.taken.len() > TAKEN_MOST {
                    self.taken.pop_front();
                }
            }
            Some(Command::Map { number, body }) if number > self.map_number => {
                self.map_number = number;
                self.map = body.into();
            }
            _ => {}
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let whole = Written {
            taken: self.taken.iter().copied().collect(),
            has: u8::from(self.config.is_some()),
            body: self
                .config
                .as_ref()
                .map(|(_, body)| body.to_vec())
                .unwrap_or_default(),
            map_number: self.map_number,
            map: self.map.to_vec(),
        };
        written(&whole).to_vec()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), SnapshotError> {
        let whole =
            Written::read(&mut Cursor::new(snapshot)).map_err(|e| SnapshotError(e.to_string()))?;
        let newest = whole.taken.last().copied();
        *self = Control {
            config: newest
                .filter(|_| whole.has == 1)
                .map(|change| (change, whole.body.into())),
            taken: whole.taken.into(),
            map_number: whole.map_number,
            map: whole.map.into(),
        };
        Ok(())
    }
}
