//! The clients' listening socket, where the platform holds it and every process inherits it.

use filedescriptor::FileDescriptor;
use rustix::net::sockopt::{socket_acceptconn, socket_type};
use rustix::net::SocketType;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{OwnedFd, RawFd};

/// The environment variable that gives the number of the descriptor.
pub const VARIABLE: &str = "ROUTER_INHERITED_FD";

/// Why it can't be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritError {
    /// The variable holds no descriptor's number.
    #[error("{VARIABLE}: {0:?} is no number of a descriptor")]
    Number(String),
    /// There is no such descriptor.
    #[error("{VARIABLE}: descriptor {0} is not open: {1}")]
    Closed(RawFd, String),
    /// It is something else.
    #[error("{VARIABLE}: descriptor {0} is no TCP socket that listens")]
    NoListener(RawFd),
}

/// The inherited socket, if the environment names one.
///
/// # Errors
/// Why it can't be used.
pub fn from_environment() -> Result<Option<TcpListener>, InheritError> {
    let number = std::env::var_os(VARIABLE);
    number
        .map(|text| listener(&text.to_string_lossy()))
        .transpose()
}

/// The socket that the variable's text names, under a descriptor of this process's own: the inherited number is no
/// more than a number to safe code, so it is duplicated first, and what can't be duplicated is not there.
///
/// # Errors
/// Why it can't be used.
pub fn listener(text: &str) -> Result<TcpListener, InheritError> {
    let number: RawFd = text
        .trim()
        .parse()
        .map_err(|_| InheritError::Number(text.to_owned()))?;
    if number < 0 {
        return Err(InheritError::Number(text.to_owned()));
    }
    let closed = |e: filedescriptor::Error| InheritError::Closed(number, e.to_string());
    let copy = FileDescriptor::dup(&number)
        .and_then(|fd| fd.as_file())
        .map_err(closed)?;
    let copy = OwnedFd::from(copy);
    let stream = socket_type(&copy).is_ok_and(|kind| kind == SocketType::STREAM);
    if !stream || !socket_acceptconn(&copy).unwrap_or(false) {
        return Err(InheritError::NoListener(number));
    }
    let listener = TcpListener::from(copy);
    // One that listens on a path of the file system has no such address.
    match listener.local_addr() {
        Ok(SocketAddr::V4(_) | SocketAddr::V6(_)) => Ok(listener),
        Err(_) => Err(InheritError::NoListener(number)),
    }
}
