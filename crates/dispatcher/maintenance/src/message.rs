//! The datagrams: 256 bytes at the most, big-endian.
//!
//! They share the port with those of membership (first byte 1) and with published load, whose length
//! is always a multiple of five bytes: a zero byte is appended where these would be.
//!
//! | bytes | plan | progress |
//! | --- | --- | --- |
//! | 1 | 2 | 2 |
//! | 1 | 1 | 2 |
//! | 2 | sender | sender |
//! | 4, 2, 4 | version, submitter, id | the same |
//! | 1 | flags: bit 0 cancelled | targets that have been taken out |
//! | | out (1), zone (1), drain_ms (4), out_ms (4), kinds (1) and each limit (1), targets (1) and each: name hash (4), kind (1), zone (1) | members (1) and each: member (2), report (6): two bits a target |

use crate::plan::{Limits, Plan, PlanError, PlanId, Target, MAX_KINDS, MAX_TARGETS};
use crate::target_state::StateReport;

/// The first byte of each.
pub const FIRST_BYTE: u8 = 2;
/// Longest datagram, bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Datagrams of published load are a multiple of so many bytes long.
const LOAD_ENTRY_BYTES: usize = 5;
/// Length of the report of one member, bytes: two bits a target.
const REPORT_BYTES: usize = MAX_TARGETS / 4;
/// Members whose reports fit in one datagram.
pub(crate) const MAX_REPORTS: usize = 29;

/// The report of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberReport {
    /// The member's number.
    pub member: u16,
    /// What it reports of each target.
    pub report: StateReport,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// The plan that the sender, of this number, follows.
    Plan(u16, Plan),
    /// How far it has come.
    Progress {
        /// The sender's number.
        from: u16,
        /// The plan's identity.
        plan: PlanId,
        /// Targets that have been taken out.
        gone: u8,
        /// The reports of members.
        reports: Vec<MemberReport>,
    },
}

/// Why a datagram can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// It is cut short, or goes on after its end.
    #[error("a datagram of {0} bytes ends in the wrong place")]
    Length(usize),
    /// Another layout.
    #[error("field kind: {0} is none of 1, 2")]
    Kind(u8),
    /// The plan in it is invalid.
    #[error("{0}")]
    Plan(#[from] PlanError),
}

/// The rest of a datagram of so many bytes.
struct Reader<'a> {
    rest: &'a [u8],
    length: usize,
}

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let split = self.rest.split_first_chunk::<N>();
        let (head, rest) = split.ok_or(WireError::Length(self.length))?;
        self.rest = rest;
        Ok(*head)
    }

    fn u8(&mut self) -> Result<u8, WireError> {
        self.take::<1>().map(|[byte]| byte)
    }

    fn u16(&mut self) -> Result<u16, WireError> {
        self.take().map(u16::from_be_bytes)
    }

    fn u32(&mut self) -> Result<u32, WireError> {
        self.take().map(u32::from_be_bytes)
    }

    fn plan(&mut self, id: PlanId) -> Result<Plan, WireError> {
        let cancelled = self.u8()? & 1 == 1;
        let (out, zone) = (self.u8()?, self.u8()?);
        let (drain_ms, out_ms) = (self.u32()?, self.u32()?);
        let kinds = (0..self.u8()?)
            .map(|_| self.u8())
            .collect::<Result<_, _>>()?;
        let mut targets = vec![];
        for _ in 0..self.u8()? {
            targets.push(Target {
                name_hash: self.u32()?,
                kind: self.u8()?,
                zone: self.u8()?,
            });
        }
        let plan = Plan {
            version: id.version,
            by: id.by,
            id: id.id,
            limits: Limits { out, zone, kinds },
            drain_ms,
            out_ms,
            cancelled,
            targets,
        };
        plan.validate()?;
        Ok(plan)
    }

    fn reports(&mut self) -> Result<Vec<MemberReport>, WireError> {
        let mut reports = vec![];
        for _ in 0..self.u8()? {
            let member = self.u16()?;
            let bytes: [u8; REPORT_BYTES] = self.take()?;
            let report = bytes.iter().fold(0, |all, b| all << 8 | u64::from(*b));
            let report = StateReport(report);
            reports.push(MemberReport { member, report });
        }
        Ok(reports)
    }
}

impl Message {
    /// The sender's number.
    pub fn from(&self) -> u16 {
        match self {
            Message::Plan(from, _) | Message::Progress { from, .. } => *from,
        }
    }

    /// The bytes of the datagram. Targets, kinds and members beyond what fits are left out.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![FIRST_BYTE];
        match self {
            Message::Plan(from, plan) => {
                encode_header(&mut bytes, 1, *from, plan.id());
                encode_plan(&mut bytes, plan);
            }
            Message::Progress {
                from,
                plan,
                gone,
                reports,
            } => {
                encode_header(&mut bytes, 2, *from, *plan);
                let reports = &reports[..reports.len().min(MAX_REPORTS)];
                bytes.extend([*gone, reports.len() as u8]);
                for MemberReport { member, report } in reports {
                    bytes.extend(member.to_be_bytes());
                    bytes.extend(&report.0.to_be_bytes()[8 - REPORT_BYTES..]);
                }
            }
        }
        if bytes.len().is_multiple_of(LOAD_ENTRY_BYTES) {
            bytes.push(0);
        }
        bytes
    }

    /// Decodes a datagram as it was received.
    ///
    /// # Errors
    /// It is cut short, has an unknown kind, or holds an invalid plan.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let wrong = WireError::Length(bytes.len());
        if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len().is_multiple_of(LOAD_ENTRY_BYTES) {
            return Err(wrong);
        }
        let mut reader = Reader {
            rest: bytes,
            length: bytes.len(),
        };
        if reader.u8()? != FIRST_BYTE {
            return Err(wrong);
        }
        let (kind, from) = (reader.u8()?, reader.u16()?);
        let id = PlanId {
            version: reader.u32()?,
            by: reader.u16()?,
            id: reader.u32()?,
        };
        let message = match kind {
            1 => Message::Plan(from, reader.plan(id)?),
            2 => Message::Progress {
                from,
                plan: id,
                gone: reader.u8()?,
                reports: reader.reports()?,
            },
            other => return Err(WireError::Kind(other)),
        };
        // A zero byte at the end stands only where one had to be appended.
        match reader.rest {
            [] => Ok(message),
            [0] if (bytes.len() - 1).is_multiple_of(LOAD_ENTRY_BYTES) => Ok(message),
            _ => Err(wrong),
        }
    }
}

fn encode_header(bytes: &mut Vec<u8>, kind: u8, from: u16, plan: PlanId) {
    bytes.push(kind);
    bytes.extend(from.to_be_bytes());
    bytes.extend(plan.version.to_be_bytes());
    bytes.extend(plan.by.to_be_bytes());
    bytes.extend(plan.id.to_be_bytes());
}

fn encode_plan(bytes: &mut Vec<u8>, plan: &Plan) {
    bytes.extend([u8::from(plan.cancelled), plan.limits.out, plan.limits.zone]);
    bytes.extend(plan.drain_ms.to_be_bytes());
    bytes.extend(plan.out_ms.to_be_bytes());
    let kinds = &plan.limits.kinds[..plan.limits.kinds.len().min(MAX_KINDS)];
    bytes.push(kinds.len() as u8);
    bytes.extend(kinds);
    let targets = &plan.targets[..plan.targets.len().min(MAX_TARGETS)];
    bytes.push(targets.len() as u8);
    for target in targets {
        bytes.extend(target.name_hash.to_be_bytes());
        bytes.extend([target.kind, target.zone]);
    }
}
