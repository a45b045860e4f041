//! Operators' configurations: read, checked, matched; no I/O.
//!
//! [`Config::read`] takes the JSON body of a call and returns either all of it, checked, or the
//! first fault with its number ([`CODES`]) and the path of the member. Unknown members are ignored.
//! A member that is missing or `null` gets its default; required are `Gen`, `Routes`, `Svcs`, the
//! `Host` and `Prefix` of a route and where it leads, and the `Name` of a service.

mod bounded_json;
mod config;
mod error;
mod host;
mod object;
mod parse;
mod route_table;

pub use bounded_json::{MAX_BODY, MAX_DEPTH};
pub use config::{Backend, Config, Limits, Route, RouteKind, Service, Target};
pub use error::{ConfigError, ConfigFault, CODES};
pub use parse::{MAX_MODELS, MAX_NAME, MAX_PATH, MAX_ROUTES, MAX_SERVICES, MAX_TARGETS};
