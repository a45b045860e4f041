//! The datagram: a header of 12 bytes, then updates of the member list at 6 bytes each, 256 bytes in
//! all at the most. All numbers are big-endian.
//!
//! The datagrams of published load share the port; their length is always a multiple of five bytes,
//! and that of these never is: a zero byte is appended where it would be.
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | `version` (1) |
//! | 1 | `kind`: 1 ping, 2 ack, 3 ping-req |
//! | 2 | `from`: the sender's number in `peers` |
//! | 4 | `incarnation` of the sender |
//! | 2 | `sequence`, which an ack repeats |
//! | 2 | `target`: for a ping-req the member to be pinged, else 0 |
//! | 6 each | an update: member (2), incarnation (3, below 2^24), state (1: 0 alive, 1 suspect, 2 dead, 3 left) |

use crate::incarnation::INCARNATIONS;

/// The version of this layout.
const VERSION: u8 = 1;
/// Length of the header, bytes.
const HEADER_BYTES: usize = 12;
/// Length of one update, bytes.
const UPDATE_BYTES: usize = 6;
/// Datagrams of published load are a multiple of so many bytes long.
const LOAD_ENTRY_BYTES: usize = 5;
/// Longest datagram, bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Updates that fit in one datagram.
pub const MAX_UPDATES: usize = (MAX_DATAGRAM_BYTES - HEADER_BYTES) / UPDATE_BYTES;

/// The kind of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// A health check.
    Ping,
    /// The answer to the ping of this sequence.
    Ack,
    /// A request to ping another member on the sender's behalf.
    PingReq,
}

/// What a member is believed to be. Within one incarnation a later variant supersedes an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer, and has some time to refute that it is dead.
    Suspect,
    /// It is believed dead until it comes back with a later incarnation.
    Dead,
    /// It has announced that it leaves, and is gone until it comes back with a later incarnation.
    Left,
}

impl MemberState {
    /// Its name in metrics, JSON and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }

    /// Whether it counts among the members that are present: a suspect does, until its time is up.
    pub fn is_present(self) -> bool {
        self <= MemberState::Suspect
    }

    fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            0 => Some(MemberState::Alive),
            1 => Some(MemberState::Suspect),
            2 => Some(MemberState::Dead),
            3 => Some(MemberState::Left),
            _ => None,
        }
    }
}

/// One update of the member list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The member's number in `peers`.
    pub member: u16,
    /// Its incarnation, below 2^24.
    pub incarnation: u32,
    /// What it is believed to be.
    pub state: MemberState,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Its kind.
    pub kind: MessageKind,
    /// The sender's number.
    pub from: u16,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// The sequence number of the ping that it is, or answers.
    pub sequence: u16,
    /// For a ping-req, the member to be pinged; else 0.
    pub target: u16,
    /// Updates of the member list, the newest first; at most [`MAX_UPDATES`].
    pub updates: Vec<MemberUpdate>,
}

/// Why a datagram can't be decoded or encoded. The text names the field.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// Fewer bytes than a header, or an update cut short.
    #[error("a datagram of {0} bytes is cut short: a header has 12 and a change 6")]
    Short(usize),
    /// More bytes than a datagram may have.
    #[error("a datagram of {0} bytes is longer than 256")]
    Long(usize),
    /// Another layout.
    #[error("field version: {0} is not 1")]
    Version(u8),
    /// An unknown kind.
    #[error("field kind: {0} is none of 1, 2, 3")]
    Kind(u8),
    /// An unknown state, in the update of this position.
    #[error("field state of change {0}: {1} is none of 0, 1, 2, 3")]
    State(usize, u8),
    /// An incarnation of the sender that is out of range.
    #[error("field incarnation: {0} is not below 2^24")]
    Sender(u32),
    /// An incarnation that three bytes can't hold, in the update of this position.
    #[error("field incarnation of change {0}: {1} is not below 2^24")]
    Incarnation(usize, u32),
    /// More updates than fit.
    #[error("{0} changes are more than the 40 that fit")]
    Updates(usize),
}

impl Message {
    /// The bytes of the datagram.
    ///
    /// # Errors
    /// More updates than fit, or an incarnation that is out of range.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        if self.updates.len() > MAX_UPDATES {
            return Err(WireError::Updates(self.updates.len()));
        }
        if self.incarnation >= INCARNATIONS {
            return Err(WireError::Sender(self.incarnation));
        }
        let mut bytes = Vec::with_capacity(HEADER_BYTES + UPDATE_BYTES * self.updates.len());
        let kind = match self.kind {
            MessageKind::Ping => 1,
            MessageKind::Ack => 2,
            MessageKind::PingReq => 3,
        };
        bytes.extend([VERSION, kind]);
        bytes.extend(self.from.to_be_bytes());
        bytes.extend(self.incarnation.to_be_bytes());
        bytes.extend(self.sequence.to_be_bytes());
        bytes.extend(self.target.to_be_bytes());
        for (position, update) in self.updates.iter().enumerate() {
            if update.incarnation >= INCARNATIONS {
                return Err(WireError::Incarnation(position, update.incarnation));
            }
            bytes.extend(update.member.to_be_bytes());
            bytes.extend(&update.incarnation.to_be_bytes()[1..]);
            bytes.push(update.state as u8);
        }
        if bytes.len().is_multiple_of(LOAD_ENTRY_BYTES) {
            bytes.push(0);
        }
        Ok(bytes)
    }

    /// Decodes a datagram as it was received.
    ///
    /// # Errors
    /// Its length, version, kind, an incarnation or a state is not as the layout says.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let short = WireError::Short(bytes.len());
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(WireError::Long(bytes.len()));
        }
        let (header, rest) = bytes
            .split_first_chunk::<HEADER_BYTES>()
            .ok_or(short.clone())?;
        let padded = (bytes.len() - 1).is_multiple_of(LOAD_ENTRY_BYTES);
        let rest = match rest {
            [updates @ .., 0] if rest.len() % UPDATE_BYTES == 1 && padded => updates,
            updates => updates,
        };
        if rest.len() % UPDATE_BYTES != 0 || bytes.len().is_multiple_of(LOAD_ENTRY_BYTES) {
            return Err(short);
        }
        if header[0] != VERSION {
            return Err(WireError::Version(header[0]));
        }
        let kind = match header[1] {
            1 => MessageKind::Ping,
            2 => MessageKind::Ack,
            3 => MessageKind::PingReq,
            other => return Err(WireError::Kind(other)),
        };
        let two = |at: usize| u16::from_be_bytes([header[at], header[at + 1]]);
        let incarnation = u32::from_be_bytes([header[4], header[5], header[6], header[7]]);
        if incarnation >= INCARNATIONS {
            return Err(WireError::Sender(incarnation));
        }
        let update = |(position, bytes): (usize, &[u8])| {
            let state = MemberState::from_byte(bytes[5]);
            Ok(MemberUpdate {
                member: u16::from_be_bytes([bytes[0], bytes[1]]),
                incarnation: u32::from_be_bytes([0, bytes[2], bytes[3], bytes[4]]),
                state: state.ok_or(WireError::State(position, bytes[5]))?,
            })
        };
        let updates = rest.chunks_exact(UPDATE_BYTES).enumerate().map(update);
        Ok(Message {
            kind,
            from: two(2),
            incarnation,
            sequence: two(8),
            target: two(10),
            updates: updates.collect::<Result<_, _>>()?,
        })
    }
}
