//! What the head of an answer says of its request, and what follows from how a send has ended.
//!
//! Decisions only: no connection, no clock. A request that may not be repeated is sent again only where it has certainly
//! not run, by its runner's word or because nothing of it left; a refusal is promised only there, too.

/// Connections that did not come up or ended unused, for one request: each may cost hundreds of milliseconds.
pub const UNSENT_MOST: u32 = 4;

/// What of an answer's head tells whose it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadSigns<'a> {
    /// The id that it names.
    pub attempt: Option<&'a [u8]>,
    /// It says that the request has not run: `Fordrelay-Not-Run`, or status 421.
    pub not_run: bool,
    /// No request was sent on its connection before the one that waits.
    pub first_on_connection: bool,
}

/// What an answer is to the request that waits on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belongs {
    /// The answer to another request, or it can't be told: the one that waits may have run.
    Foreign,
    /// The runner's word that it has not run.
    NotRun,
    /// Its answer.
    Own,
}

/// Whose an answer is.
pub fn belongs(signs: HeadSigns<'_>, attempt: &[u8]) -> Belongs {
    match signs.attempt {
        Some(id) if id != attempt => Belongs::Foreign,
        // On a connection that was used before, an answer without an id may be one that was due earlier.
        None if !(signs.not_run && signs.first_on_connection) => Belongs::Foreign,
        _ if signs.not_run => Belongs::NotRun,
        _ => Belongs::Own,
    }
}

/// How a send has ended without an answer for the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// It has not run, by the runner's word.
    NotRun,
    /// Not a byte of it left.
    Unsent,
    /// It may have run.
    Broken,
    /// The request's time is over.
    TimedOut,
}

/// The sends of a request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoFar {
    /// Sends that count against the route's `Tries`.
    pub sends: u32,
    /// Sends of which nothing left.
    pub unsent: u32,
    /// Some runner may have run it.
    pub may_have_run: bool,
}

/// What is done with a request next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It is sent again.
    Again,
    /// Its client is promised that it has not run and never will.
    Refused,
    /// Its client is told that it broke off.
    BadGateway,
    /// Its client is told that its time is over.
    GatewayTimeout,
}

/// What follows from the end of a send. `repeats`: the request may run more than once; `tries`: the route's `Tries`.
pub fn after(ended: Ended, repeats: bool, tries: u32, so_far: SoFar) -> Step {
    match ended {
        Ended::TimedOut => Step::GatewayTimeout,
        Ended::Broken if repeats && so_far.sends < tries => Step::Again,
        Ended::Broken => Step::BadGateway,
        Ended::NotRun if so_far.sends < tries => Step::Again,
        Ended::Unsent if so_far.unsent < UNSENT_MOST => Step::Again,
        Ended::NotRun | Ended::Unsent => given_up(repeats, so_far.may_have_run),
    }
}

/// The answer to a request that is sent to no further runner.
pub fn given_up(repeats: bool, may_have_run: bool) -> Step {
    if may_have_run && !repeats {
        Step::BadGateway
    } else {
        Step::Refused
    }
}
