//! Configurations: apply, print, validate.

use super::args::ConfigPut;
use super::client::{Answered, Call};
use super::error::TierError;
use super::output::print;
use bytes::Bytes;
use hyper::Method;
use route_config::{Config, MAX_BODY};
use serde::Deserialize;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// How long reading the current configuration is retried.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// The part of a configuration that says which version it is.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Version {
    gen: u64,
}

/// Validates a file, and gives the configuration with its bytes.
pub fn check(file: &Path) -> Result<(Config, Bytes), TierError> {
    let unreadable = |e: std::io::Error| TierError::NoFile(format!("{}: {e}", file.display()));
    let mut body = Vec::new();
    let opened = std::fs::File::open(file).map_err(unreadable)?;
    opened
        .take(MAX_BODY as u64 + 1)
        .read_to_end(&mut body)
        .map_err(unreadable)?;
    let config = Config::read(&body)?;
    eprintln!(
        "valid: version {}, {} routes, {} services",
        config.version,
        config.routes.len(),
        config.services.len()
    );
    Ok((config, body.into()))
}

/// Validates the configuration of a file and has the controllers apply it.
pub async fn put(args: &ConfigPut) -> Result<(), TierError> {
    let (config, body) = check(&args.file)?;
    let base = match args.base {
        Some(base) => base,
        None => current_version(&args.ctl).await?,
    };
    config.check_follows(base)?;
    let call = Call::change(
        Method::POST,
        "/-/config/replace".to_owned(),
        body,
        args.timeout,
    );
    let call = call.header("fordrelay-base-version", base.to_string());
    let Answered {
        by,
        answer,
        attempts,
    } = call.send_to_any(&args.ctl).await?;
    let retried = match attempts {
        0 => String::new(),
        attempts => format!(", after {attempts} tries without a clear answer"),
    };
    print(format!(
        "acknowledged: version {} on top of {base}, {} by {by}{retried}\n",
        config.version,
        answer.status.as_u16()
    ))
}

/// The current version; 0 if there is none yet.
async fn current_version(ctl: &[SocketAddr]) -> Result<u64, TierError> {
    match newest(ctl).await {
        Ok(Answered { by, answer, .. }) => {
            let read = serde_json::from_slice::<Version>(&answer.body);
            read.map(|version| version.gen)
                .map_err(|e| TierError::Unreadable(format!("the configuration of {by}: {e}")))
        }
        Err(TierError::Refused { status: 404, .. }) => Ok(0),
        Err(error) => Err(error),
    }
}

async fn newest(ctl: &[SocketAddr]) -> Result<Answered, TierError> {
    Call::get("/-/config/get".to_owned(), READ_TIMEOUT)
        .send_to_any(ctl)
        .await
}

/// Prints the newest configuration as it was sent.
pub async fn get(ctl: &[SocketAddr]) -> Result<(), TierError> {
    let Answered { answer, .. } = newest(ctl).await?;
    print(&answer.body)
}
