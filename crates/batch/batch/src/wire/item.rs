//! Items of batch jobs and their results, as requests and responses carry them.

use super::{MAX_BODY, MAX_HEADERS, MAX_VALUE};
use crate::codec::{
    read_bytes, read_list, read_name, read_text, write_bytes, write_list, write_name, write_text,
};
use binrw::binrw;
use bytes::Bytes;
use compact_str::CompactString;

/// One header of an item.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Its name, as the client wrote it.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub name: CompactString,
    /// Its value.
    #[br(parse_with = read_text, args(MAX_VALUE))]
    #[bw(write_with = write_text, args(MAX_VALUE))]
    pub value: CompactString,
}

/// One request of a batch job.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The client's name for it: its `Fordrelay-Attempt-Id` at a runner.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub id: CompactString,
    /// The path to which it is posted.
    #[br(parse_with = read_text, args(MAX_VALUE))]
    #[bw(write_with = write_text, args(MAX_VALUE))]
    pub path: CompactString,
    /// The headers that go with it.
    #[br(parse_with = read_list, args(MAX_HEADERS))]
    #[bw(write_with = write_list, args(MAX_HEADERS))]
    pub headers: Vec<Header>,
    /// Its decoded body.
    #[br(parse_with = read_bytes, args(MAX_BODY))]
    #[bw(write_with = write_bytes, args(MAX_BODY))]
    pub body: Bytes,
    /// Tokens of its prompt and the most of its output: what counts against the route's quota.
    pub tokens: u64,
}

/// How an item ended.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultStatus {
    /// It ran; the text is its whole output.
    Complete = 0,
    /// It was given up.
    Abandoned = 1,
}

impl ResultStatus {
    /// The name in a client's JSON.
    pub const fn name(self) -> &'static str {
        match self {
            ResultStatus::Complete => "complete",
            ResultStatus::Abandoned => "abandoned",
        }
    }
}

/// The result of one item, at its position in the list of the job's results.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultEntry {
    /// The item's id.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub id: CompactString,
    /// How it ended.
    pub status: ResultStatus,
    /// The data of all its events, separated by line feeds (UTF-8; empty when abandoned).
    #[br(parse_with = read_bytes, args(MAX_BODY))]
    #[bw(write_with = write_bytes, args(MAX_BODY))]
    pub text: Bytes,
}
