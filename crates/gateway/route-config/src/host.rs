//! Hosts as they are compared.

use std::borrow::Cow;

/// A host as it is compared: without its port, in lower case.
pub(crate) fn normalize_host(host: &str) -> Cow<'_, str> {
    let host = match host.rsplit_once(':') {
        // The last colon of an IPv6 address in brackets is a part of it.
        Some((name, port)) if !port.ends_with(']') => name,
        _ => host,
    };
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}
