//! Why a batch job is rejected for good: result codes for the log and for tests. They never change.

/// The body can't be read as the JSON of a batch job.
pub const UNREADABLE: u16 = 701;
/// It has no items.
pub const NO_ITEMS: u16 = 702;
/// It has more than 200 items.
pub const TOO_MANY_ITEMS: u16 = 703;
/// The batch job's id is missing, too long or has bytes that no header may carry.
pub const BAD_BATCH_JOB_ID: u16 = 704;
/// An item's id is missing, too long or has bytes that no header may carry.
pub const BAD_ITEM_ID: u16 = 705;
/// Two items have one id.
pub const SAME_ITEM_ID: u16 = 706;
/// An item's path does not begin with a slash, is too long or has bytes that no request line may
/// carry.
pub const BAD_PATH: u16 = 707;
/// An item has too many headers.
pub const TOO_MANY_HEADERS: u16 = 708;
/// A header's name is not a token, or too long.
pub const BAD_HEADER_NAME: u16 = 709;
/// A header's value has control characters, or is too long.
pub const BAD_HEADER_VALUE: u16 = 710;
/// A body is not base64, or too long.
pub const BAD_BODY: u16 = 711;
/// There is a batch job with this id and another content.
pub const OTHER_CONTENT: u16 = 712;
/// The batch job is larger than one may be.
pub const TOO_LARGE: u16 = 713;

/// A result code and what it means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResultCode {
    /// The number.
    pub number: u16,
    /// The short name.
    pub name: &'static str,
    /// What it means.
    pub description: &'static str,
}

const fn code(number: u16, name: &'static str, description: &'static str) -> ResultCode {
    ResultCode {
        number,
        name,
        description,
    }
}

/// All codes.
pub const CODES: &[ResultCode] = &[
    code(
        UNREADABLE,
        "unreadable",
        "the body is not the JSON of a batch job",
    ),
    code(NO_ITEMS, "no-items", "the batch job has no items"),
    code(
        TOO_MANY_ITEMS,
        "too-many-items",
        "the batch job has more than 200 items",
    ),
    code(
        BAD_BATCH_JOB_ID,
        "bad-job-id",
        "the batch job's id is missing or can't stand in a header",
    ),
    code(
        BAD_ITEM_ID,
        "bad-item-id",
        "an item's id is missing or can't stand in a header",
    ),
    code(SAME_ITEM_ID, "same-item-id", "two items have the same id"),
    code(
        BAD_PATH,
        "bad-path",
        "an item's path can't stand in a request line",
    ),
    code(
        TOO_MANY_HEADERS,
        "too-many-headers",
        "an item has too many headers",
    ),
    code(
        BAD_HEADER_NAME,
        "bad-header-name",
        "a header's name is not a token",
    ),
    code(
        BAD_HEADER_VALUE,
        "bad-header-value",
        "a header's value has control characters or is too long",
    ),
    code(BAD_BODY, "bad-body", "a body is not base64 or is too long"),
    code(
        OTHER_CONTENT,
        "other-content",
        "a lot of this id is kept with another content",
    ),
    code(
        TOO_LARGE,
        "too-large",
        "the batch job is larger than one may be",
    ),
];
