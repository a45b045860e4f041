//! Roll-outs of a service's version: the entry that the controllers publish for each, and the frame
//! in which a gateway reports what it saw of both versions.

use crate::address::Address;
use crate::encoding::to_bytes;
use crate::error::DecodeError;
use binrw::{binrw, BinRead};
use bytes::Bytes;
use compact_str::CompactString;
use std::io::Cursor;
use std::net::SocketAddr;

/// What the keys of these entries begin with; the service's name follows.
pub const ROLLOUT_KEY_PREFIX: &str = "rollout/";
/// Kind of the frame with which a gateway reports to the controller that runs a roll-out.
pub const ROLLOUT_REPORT: u16 = 0x0106;
/// How often a gateway reports, in milliseconds.
pub const ROLLOUT_REPORT_INTERVAL_MS: u64 = 300;
/// How often the entry of a roll-out under way is published anew, in milliseconds.
pub const ROLLOUT_RENEWAL_MS: u64 = 800;
/// A gateway that got no entry for so long sends nothing to the new version, in milliseconds. Beyond
/// two renewals, so that a lost one changes nothing.
pub const ROLLOUT_LEASE_MS: u64 = 2_500;
/// A share of 1, in the unit of [`RolloutEntry`].
pub const FULL_SHARE: u32 = 1_000_000;
/// Most routes in a report; requests of others are counted with the last one.
pub const MAX_REPORTED_ROUTES: usize = 64;
/// Longest name in an entry or a report, in bytes; what is beyond is cut off.
const MAX_NAME_BYTES: usize = 255;

/// How far a roll-out is.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutState {
    /// Traffic moves to the new version.
    Rolling = 0,
    /// All traffic goes to the new version; the old runners may stop at once.
    Complete = 1,
    /// All traffic goes to the old version.
    Reverted = 2,
}

/// What gateways are told of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutEntry {
    /// The new version, as the software version of its runners says it.
    pub target: CompactString,
    /// How far it is.
    pub state: RolloutState,
    /// While it rolls: the share of requests for the new version, in millionths.
    pub share: u32,
    /// While it rolls: runners of the new version take part whose [`runner_hash`] is not above this.
    pub max_runner_hash: u64,
    /// To whom gateways report.
    pub report_to: SocketAddr,
}

#[binrw]
#[brw(little)]
struct EncodedEntry {
    target: EncodedName,
    state: RolloutState,
    #[br(assert(share <= FULL_SHARE))]
    share: u32,
    max_runner_hash: u64,
    report_to: Address,
}

/// Answers of one version on one route.
#[binrw]
#[brw(little)]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Answers, whole or not.
    pub answers: u32,
    /// Those that failed, or came several times slower than usual.
    pub bad: u32,
}

/// What a gateway saw on one route since the roll-out began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteReport {
    /// The route's name.
    pub route: CompactString,
    /// Of the version before.
    pub old: AnswerCounts,
    /// Of the new version.
    pub new: AnswerCounts,
}

/// What a gateway reports of one roll-out. Counts are totals, so that a lost report costs nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutReport {
    /// The service.
    pub service: CompactString,
    /// The roll-out, by the major part of its entry's stamp.
    pub rollout: u64,
    /// The share that this gateway follows now, in millionths.
    pub share: u32,
    /// Requests in flight at runners of the version before.
    pub old_in_flight: u32,
    /// By route.
    pub routes: Vec<RouteReport>,
}

#[binrw]
#[brw(little)]
struct EncodedReport {
    service: EncodedName,
    rollout: u64,
    share: u32,
    old_in_flight: u32,
    #[br(temp, assert(usize::from(count) <= MAX_REPORTED_ROUTES))]
    #[bw(calc = routes.len() as u8)]
    count: u8,
    #[br(count = count)]
    routes: Vec<EncodedRoute>,
}

#[binrw]
#[brw(little)]
struct EncodedRoute {
    route: EncodedName,
    old: AnswerCounts,
    new: AnswerCounts,
}

#[binrw]
#[brw(little)]
struct EncodedName {
    #[br(temp)]
    #[bw(calc = text.len() as u8)]
    length: u8,
    #[br(count = length)]
    text: Vec<u8>,
}

impl EncodedName {
    fn new(text: &str) -> Self {
        let mut end = text.len().min(MAX_NAME_BYTES);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        EncodedName {
            text: text.as_bytes().iter().take(end).copied().collect(),
        }
    }

    fn decode(&self) -> Result<CompactString, DecodeError> {
        CompactString::from_utf8(&self.text).map_err(DecodeError::RolloutName)
    }
}

/// Orders the runners of a version: which of them take part first is the same at all gateways
/// (FNV-1a over the id, spread by the finalizer of splitmix64).
pub fn runner_hash(id: &str) -> u64 {
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The key of a service's entry.
pub fn rollout_key(service: &str) -> CompactString {
    compact_str::format_compact!("{ROLLOUT_KEY_PREFIX}{service}")
}

impl RolloutEntry {
    /// The value of the entry.
    pub fn encode(&self) -> Bytes {
        to_bytes(&EncodedEntry {
            target: EncodedName::new(&self.target),
            state: self.state,
            share: self.share.min(FULL_SHARE),
            max_runner_hash: self.max_runner_hash,
            report_to: self.report_to.into(),
        })
    }

    /// Decodes the value of an entry. Bytes that follow it are ignored.
    ///
    /// # Errors
    /// The bytes are no roll-out's entry.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let entry = EncodedEntry::read(&mut Cursor::new(bytes)).map_err(DecodeError::Rollout)?;
        Ok(RolloutEntry {
            target: entry.target.decode()?,
            state: entry.state,
            share: entry.share,
            max_runner_hash: entry.max_runner_hash,
            report_to: entry.report_to.into(),
        })
    }
}

impl RolloutReport {
    /// The body of the frame; routes beyond [`MAX_REPORTED_ROUTES`] are left out.
    pub fn encode(&self) -> Bytes {
        let encode = |route: &RouteReport| EncodedRoute {
            route: EncodedName::new(&route.route),
            old: route.old,
            new: route.new,
        };
        let routes = self.routes.iter().take(MAX_REPORTED_ROUTES);
        to_bytes(&EncodedReport {
            service: EncodedName::new(&self.service),
            rollout: self.rollout,
            share: self.share,
            old_in_flight: self.old_in_flight,
            routes: routes.map(encode).collect(),
        })
    }

    /// Decodes the body of the frame. Bytes that follow it are ignored.
    ///
    /// # Errors
    /// The bytes are no report, or announce more than [`MAX_REPORTED_ROUTES`].
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let report = EncodedReport::read(&mut Cursor::new(bytes)).map_err(DecodeError::Rollout)?;
        let decode = |route: &EncodedRoute| {
            Ok(RouteReport {
                route: route.route.decode()?,
                old: route.old,
                new: route.new,
            })
        };
        let routes = report.routes.iter().map(decode);
        Ok(RolloutReport {
            service: report.service.decode()?,
            rollout: report.rollout,
            share: report.share,
            old_in_flight: report.old_in_flight,
            routes: routes.collect::<Result<_, DecodeError>>()?,
        })
    }
}
