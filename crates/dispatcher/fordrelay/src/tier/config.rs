//! Configurations: put, got, checked.

use super::call::{Answered, Call};
use super::fault::Fault;
use super::say;
use bytes::Bytes;
use hyper::Method;
use route_config::{Config, MAX_BODY};
use serde::Deserialize;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// How long one that is in force is asked for.
const READ_SPAN: Duration = Duration::from_secs(10);

/// The part of a configuration that says which one it is.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Version {
    gen: u64,
}

/// Says whether a file is a valid configuration.
pub fn check(file: &Path) -> Result<(Config, Bytes), Fault> {
    let unread = |e: std::io::Error| Fault::NoFile(format!("{}: {e}", file.display()));
    let mut body = Vec::new();
    let opened = std::fs::File::open(file).map_err(unread)?;
    opened
        .take(MAX_BODY as u64 + 1)
        .read_to_end(&mut body)
        .map_err(unread)?;
    let config = Config::read(&body)?;
    eprintln!(
        "valid: version {}, {} routes, {} services",
        config.version,
        config.routes.len(),
        config.services.len()
    );
    Ok((config, body.into()))
}

/// Has the configuration of a file in force.
pub async fn put(
    file: &Path,
    ctl: &[SocketAddr],
    base: Option<u64>,
    span: Duration,
) -> Result<(), Fault> {
    let (config, body) = check(file)?;
    let base = match base {
        Some(base) => base,
        None => current(ctl).await?,
    };
    config.check_follows(base)?;
    let call = Call::change(Method::POST, "/-/config/replace".to_owned(), body, span);
    let call = call.header("fordrelay-base-version", base.to_string());
    let Answered { by, answer, tries } = call.anywhere(ctl).await?;
    let again = match tries {
        0 => String::new(),
        tries => format!(", after {tries} tries without a clear answer"),
    };
    say(format!(
        "acknowledged: version {} on top of {base}, {} by {by}{again}\n",
        config.version,
        answer.status.as_u16()
    ))
}

/// The version that is current; 0 if there is none yet.
async fn current(ctl: &[SocketAddr]) -> Result<u64, Fault> {
    match newest(ctl).await {
        Ok(Answered { by, answer, .. }) => {
            let read = serde_json::from_slice::<Version>(&answer.body);
            read.map(|version| version.gen)
                .map_err(|e| Fault::Unreadable(format!("the configuration of {by}: {e}")))
        }
        Err(Fault::Refused { status: 404, .. }) => Ok(0),
        Err(fault) => Err(fault),
    }
}

async fn newest(ctl: &[SocketAddr]) -> Result<Answered, Fault> {
    Call::get("/-/config/get".to_owned(), READ_SPAN)
        .anywhere(ctl)
        .await
}

/// Prints the newest configuration as it was sent.
pub async fn get(ctl: &[SocketAddr]) -> Result<(), Fault> {
    let Answered { answer, .. } = newest(ctl).await?;
    say(&answer.body)
}
