//! The datagrams, 256 bytes at most, big-endian. They share the port with those of membership (first byte 1) and with what is
//! told of held slots (always a multiple of five bytes long; these never are: a zero byte follows where they would be).
//!
//! | bytes | plan | progress |
//! | --- | --- | --- |
//! | 1 | 2 | 2 |
//! | 1 | 1 | 2 |
//! | 2 | sender | sender |
//! | 4, 2, 4 | version, submitter, id | the same |
//! | 1 | flags: bit 0 cancelled | targets that have gone out |
//! | | out (1), zone (1), drain_ms (4), out_ms (4), kinds (1) and each limit (1), targets (1) and each: mark (4), kind (1), zone (1) | members (1) and each: member (2), words (6): two bits a target |

use crate::plan::{Limits, Plan, PlanError, Target, MAX_TARGETS};

/// The first byte of each.
pub const FIRST_BYTE: u8 = 2;
/// A datagram's bytes at most.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Datagrams of another kind are a multiple of so many bytes long.
const OTHERS: usize = 5;
/// Bytes of the words of one member: two bits a target.
const WORDS: usize = MAX_TARGETS / 4;
/// Members whose words fit into one datagram.
pub(crate) const MAX_REPORTS: usize = 29;

/// What one member says of each target: a [`crate::TargetState`] in two bits, the first target in the lowest.
pub(crate) type Words = u64;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// The plan that the sender follows.
    Plan(u16, Plan),
    /// How far it is.
    Progress {
        /// The sender.
        from: u16,
        /// The plan's version, submitter and id.
        plan: (u32, u16, u32),
        /// Targets that have gone out.
        gone: u8,
        /// Members, and what they say of each target.
        words: Vec<(u16, u64)>,
    },
}

/// Why a datagram can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// It is cut short, or goes on after its end.
    #[error("a datagram of {0} bytes ends in the wrong place")]
    Length(usize),
    /// Another layout.
    #[error("field kind: {0} is none of 1, 2")]
    Kind(u8),
    /// A plan that nobody could follow.
    #[error("{0}")]
    Plan(#[from] PlanError),
}

struct Reader<'a>(&'a [u8], usize);

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let (head, rest) = self
            .0
            .split_first_chunk::<N>()
            .ok_or(WireError::Length(self.1))?;
        self.0 = rest;
        Ok(*head)
    }

    fn byte(&mut self) -> Result<u8, WireError> {
        self.take::<1>().map(|[b]| b)
    }

    fn two(&mut self) -> Result<u16, WireError> {
        self.take().map(u16::from_be_bytes)
    }

    fn four(&mut self) -> Result<u32, WireError> {
        self.take().map(u32::from_be_bytes)
    }
}

impl Message {
    /// Who sent it.
    pub fn from(&self) -> u16 {
        match self {
            Message::Plan(from, _) | Message::Progress { from, .. } => *from,
        }
    }

    /// The bytes of it. Targets, kinds and members over what fits are left out.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![FIRST_BYTE];
        match self {
            Message::Plan(from, plan) => {
                bytes.push(1);
                bytes.extend(from.to_be_bytes());
                bytes.extend(plan.version.to_be_bytes());
                bytes.extend(plan.by.to_be_bytes());
                bytes.extend(plan.id.to_be_bytes());
                bytes.extend([u8::from(plan.cancelled), plan.limits.out, plan.limits.zone]);
                bytes.extend(plan.drain_ms.to_be_bytes());
                bytes.extend(plan.out_ms.to_be_bytes());
                let kinds = &plan.limits.kinds[..plan.limits.kinds.len().min(crate::MAX_KINDS)];
                bytes.push(kinds.len() as u8);
                bytes.extend(kinds);
                let targets = &plan.targets[..plan.targets.len().min(MAX_TARGETS)];
                bytes.push(targets.len() as u8);
                for target in targets {
                    bytes.extend(target.name_hash.to_be_bytes());
                    bytes.extend([target.kind, target.zone]);
                }
            }
            Message::Progress {
                from,
                plan: (version, by, id),
                gone,
                words,
            } => {
                bytes.push(2);
                bytes.extend(from.to_be_bytes());
                bytes.extend(version.to_be_bytes());
                bytes.extend(by.to_be_bytes());
                bytes.extend(id.to_be_bytes());
                bytes.push(*gone);
                let words = &words[..words.len().min(MAX_REPORTS)];
                bytes.push(words.len() as u8);
                for (member, said) in words {
                    bytes.extend(member.to_be_bytes());
                    bytes.extend(&said.to_be_bytes()[8 - WORDS..]);
                }
            }
        }
        if bytes.len().is_multiple_of(OTHERS) {
            bytes.push(0);
        }
        bytes
    }

    /// Reads a datagram as it came.
    ///
    /// # Errors
    /// Why it can't be read, the field named.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let wrong = WireError::Length(bytes.len());
        if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len().is_multiple_of(OTHERS) {
            return Err(wrong);
        }
        let mut reader = Reader(bytes, bytes.len());
        if reader.byte()? != FIRST_BYTE {
            return Err(wrong);
        }
        let (kind, from) = (reader.byte()?, reader.two()?);
        let (version, by, id) = (reader.four()?, reader.two()?, reader.four()?);
        let message = match kind {
            1 => {
                let cancelled = reader.byte()? & 1 == 1;
                let (out, zone) = (reader.byte()?, reader.byte()?);
                let (drain_ms, out_ms) = (reader.four()?, reader.four()?);
                let kinds = (0..reader.byte()?)
                    .map(|_| reader.byte())
                    .collect::<Result<_, _>>()?;
                let mut targets = vec![];
                for _ in 0..reader.byte()? {
                    let name_hash = reader.four()?;
                    targets.push(Target {
                        name_hash,
                        kind: reader.byte()?,
                        zone: reader.byte()?,
                    });
                }
                let limits = Limits { out, zone, kinds };
                let plan = Plan {
                    version,
                    by,
                    id,
                    limits,
                    drain_ms,
                    out_ms,
                    cancelled,
                    targets,
                };
                plan.validate()?;
                Message::Plan(from, plan)
            }
            2 => {
                let gone = reader.byte()?;
                let mut words = vec![];
                for _ in 0..reader.byte()? {
                    let member = reader.two()?;
                    let said: [u8; WORDS] = reader.take()?;
                    words.push((
                        member,
                        said.iter().fold(0, |all, b| all << 8 | u64::from(*b)),
                    ));
                }
                Message::Progress {
                    from,
                    plan: (version, by, id),
                    gone,
                    words,
                }
            }
            other => return Err(WireError::Kind(other)),
        };
        // A zero byte at the end stands only where it had to.
        match reader.0 {
            [] => Ok(message),
            [0] if (bytes.len() - 1).is_multiple_of(OTHERS) => Ok(message),
            _ => Err(wrong),
        }
    }
}
