//! Whose response a head is, and whether the end of an attempt leads to a retry.
//!
//! Decisions only: no connection, no clock. A request that is not idempotent is retried only where it has certainly not
//! run, because its runner says so or because nothing of it was sent; only then is a rejection promised, too.

/// Connections that did not come up or ended unused, for one request: each may cost hundreds of milliseconds.
pub const MAX_NOT_SENT: u32 = 4;

/// What the head of a response says about whose it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseEvidence<'a> {
    /// The attempt id that it names.
    pub attempt: Option<&'a [u8]>,
    /// It says that the request has not run: `Fordrelay-Not-Run`, or status 421.
    pub not_run: bool,
    /// No request was sent on its connection before the one that waits.
    pub first_on_connection: bool,
}

/// Whose response it is, seen from the request that waits on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseOwner {
    /// Of another request, or that is unknown: the request that waits may have run.
    Foreign,
    /// The runner says that the request has not run.
    NotRun,
    /// Of this request.
    Own,
}

/// Decides whose response it is.
pub fn response_owner(signs: ResponseEvidence<'_>, attempt: &[u8]) -> ResponseOwner {
    match signs.attempt {
        Some(id) if id != attempt => ResponseOwner::Foreign,
        // On a connection that was used before, an answer without an id may be one that was due earlier.
        None if !(signs.not_run && signs.first_on_connection) => ResponseOwner::Foreign,
        _ if signs.not_run => ResponseOwner::NotRun,
        _ => ResponseOwner::Own,
    }
}

/// How an attempt ended without a response for the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The runner says that it has not run.
    NotRun,
    /// Not a byte of it was sent.
    NotSent,
    /// It may have run.
    Broken,
    /// The request's deadline passed.
    TimedOut,
}

/// Counts of a request's attempts so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Attempts that count against the route's `Tries`.
    pub sends: u32,
    /// Attempts of which nothing was sent.
    pub unsent: u32,
    /// Some runner may have run it.
    pub may_have_run: bool,
}

/// What happens to a request next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another attempt is made.
    Retry,
    /// Rejected: the client is promised that it has not run and never will.
    Reject,
    /// Answered 502: it may have run.
    BadGateway,
    /// Answered 504: its deadline passed.
    GatewayTimeout,
}

/// What follows from the end of an attempt. `may_repeat`: the request may run more than once; `tries`: the route's `Tries`.
pub fn next_step(
    ended: AttemptEnd,
    may_repeat: bool,
    tries: u32,
    counts: AttemptCounts,
) -> NextStep {
    match ended {
        AttemptEnd::TimedOut => NextStep::GatewayTimeout,
        AttemptEnd::Broken if may_repeat && counts.sends < tries => NextStep::Retry,
        AttemptEnd::Broken => NextStep::BadGateway,
        AttemptEnd::NotRun if counts.sends < tries => NextStep::Retry,
        AttemptEnd::NotSent if counts.unsent < MAX_NOT_SENT => NextStep::Retry,
        AttemptEnd::NotRun | AttemptEnd::NotSent => without_retry(may_repeat, counts.may_have_run),
    }
}

/// What follows where no further attempt is made.
pub fn without_retry(may_repeat: bool, may_have_run: bool) -> NextStep {
    if may_have_run && !may_repeat {
        NextStep::BadGateway
    } else {
        NextStep::Reject
    }
}
