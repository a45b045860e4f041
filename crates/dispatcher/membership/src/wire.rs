//! The datagram: a header of 12 bytes, then changes of the view at 6 bytes each, 256 bytes in all at most, as the
//! peers' datagrams of the platform are. All numbers are big-endian. What dispatchers tell of held slots is always a multiple
//! of five bytes long; this is never, so that both can share a port: a zero byte follows where it would be.
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | `version` (1) |
//! | 1 | `kind`: 1 ping, 2 ack, 3 ping-req |
//! | 2 | `from`: the sender's number in `peers` |
//! | 4 | `incarnation` of the sender |
//! | 2 | `sequence`, which an ack repeats |
//! | 2 | `about`: for a ping-req the member to be pinged, else 0 |
//! | 6 each | a change: member (2), incarnation (3, below 2^24), state (1: 0 alive, 1 suspect, 2 dead, 3 left) |

use crate::incarnation::INCARNATIONS;

/// The version of this layout.
const VERSION: u8 = 1;
/// The header's bytes.
const HEADER: usize = 12;
/// A change's bytes.
const CHANGE: usize = 6;
/// Datagrams of another kind are so many bytes long, or a multiple of it.
const OTHERS: usize = 5;
/// A datagram's bytes at most.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Changes that fit in one datagram.
pub const MAX_UPDATES: usize = (MAX_DATAGRAM_BYTES - HEADER) / CHANGE;

/// What a datagram asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// Are you there?
    Ping,
    /// Yes, to the ping of this sequence.
    Ack,
    /// Ping that member for me.
    PingReq,
}

/// What a member is believed to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer, and others are asked to confirm.
    Suspect,
    /// It is taken for dead until it comes back with a higher incarnation.
    Dead,
    /// It has said that it goes, and is away until it comes back with a higher incarnation.
    Left,
}

impl MemberState {
    /// Its name in figures and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }

    /// Whether it counts among those that are there: a suspect does, until its time is up.
    pub fn is_present(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// One change of the view.
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
    /// What it asks.
    pub kind: MessageKind,
    /// Who sends it.
    pub from: u16,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// The sequence of the ping that it is, or answers.
    pub sequence: u16,
    /// For a ping-req, the member to be pinged; else 0.
    pub about: u16,
    /// Changes of the view, newest first; at most [`MAX_UPDATES`].
    pub changes: Vec<MemberUpdate>,
}

/// Why a datagram can't be read or written; the field is named.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// Fewer bytes than a header, or a change cut short.
    #[error("a datagram of {0} bytes is cut short: a header has 12 and a change 6")]
    Short(usize),
    /// More than a datagram may hold.
    #[error("a datagram of {0} bytes is longer than 256")]
    Long(usize),
    /// Another layout.
    #[error("field version: {0} is not 1")]
    Version(u8),
    /// No such kind.
    #[error("field kind: {0} is none of 1, 2, 3")]
    MessageKind(u8),
    /// No such state, in the change of this position.
    #[error("field state of change {0}: {1} is none of 0, 1, 2, 3")]
    MemberState(usize, u8),
    /// An incarnation of the sender that no member has.
    #[error("field incarnation: {0} is not below 2^24")]
    Sender(u32),
    /// An incarnation that three bytes can't hold, in the change of this position.
    #[error("field incarnation of change {0}: {1} is not below 2^24")]
    Incarnation(usize, u32),
    /// More changes than fit.
    #[error("{0} changes are more than the 40 that fit")]
    Changes(usize),
}

impl Message {
    /// The bytes of it.
    ///
    /// # Errors
    /// More changes than fit, or an incarnation of a change that three bytes can't hold.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        if self.changes.len() > MAX_UPDATES {
            return Err(WireError::Changes(self.changes.len()));
        }
        if self.incarnation >= INCARNATIONS {
            return Err(WireError::Sender(self.incarnation));
        }
        let mut bytes = Vec::with_capacity(HEADER + CHANGE * self.changes.len());
        let kind = match self.kind {
            MessageKind::Ping => 1,
            MessageKind::Ack => 2,
            MessageKind::PingReq => 3,
        };
        bytes.extend([VERSION, kind]);
        bytes.extend(self.from.to_be_bytes());
        bytes.extend(self.incarnation.to_be_bytes());
        bytes.extend(self.sequence.to_be_bytes());
        bytes.extend(self.about.to_be_bytes());
        for (at, change) in self.changes.iter().enumerate() {
            if change.incarnation >= INCARNATIONS {
                return Err(WireError::Incarnation(at, change.incarnation));
            }
            bytes.extend(change.member.to_be_bytes());
            bytes.extend(&change.incarnation.to_be_bytes()[1..]);
            bytes.push(change.state as u8);
        }
        if bytes.len().is_multiple_of(OTHERS) {
            bytes.push(0);
        }
        Ok(bytes)
    }

    /// Reads a datagram as it came.
    ///
    /// # Errors
    /// Its length, version, kind or a change's state is not as the layout says.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(WireError::Long(bytes.len()));
        }
        let (header, rest) = bytes
            .split_first_chunk::<HEADER>()
            .ok_or(WireError::Short(bytes.len()))?;
        let rest = match rest {
            [whole @ .., 0]
                if rest.len() % CHANGE == 1 && (bytes.len() - 1).is_multiple_of(OTHERS) =>
            {
                whole
            }
            whole => whole,
        };
        if rest.len() % CHANGE != 0 || bytes.len().is_multiple_of(OTHERS) {
            return Err(WireError::Short(bytes.len()));
        }
        if header[0] != VERSION {
            return Err(WireError::Version(header[0]));
        }
        let kind = match header[1] {
            1 => MessageKind::Ping,
            2 => MessageKind::Ack,
            3 => MessageKind::PingReq,
            other => return Err(WireError::MessageKind(other)),
        };
        let two = |at: usize| u16::from_be_bytes([header[at], header[at + 1]]);
        let incarnation = u32::from_be_bytes([header[4], header[5], header[6], header[7]]);
        if incarnation >= INCARNATIONS {
            return Err(WireError::Sender(incarnation));
        }
        let change = |(at, c): (usize, &[u8])| {
            let state = match c[5] {
                0 => MemberState::Alive,
                1 => MemberState::Suspect,
                2 => MemberState::Dead,
                3 => MemberState::Left,
                other => return Err(WireError::MemberState(at, other)),
            };
            let member = u16::from_be_bytes([c[0], c[1]]);
            Ok(MemberUpdate {
                member,
                incarnation: u32::from_be_bytes([0, c[2], c[3], c[4]]),
                state,
            })
        };
        let changes = rest
            .chunks_exact(CHANGE)
            .enumerate()
            .map(change)
            .collect::<Result<_, _>>()?;
        Ok(Message {
            kind,
            from: two(2),
            incarnation,
            sequence: two(8),
            about: two(10),
            changes,
        })
    }
}
