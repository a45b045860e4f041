//! The operators' command for the serving tier: `fordrelay tier ...`.
//!
//! Data of the tier goes to stdout as it came; what the command says about it goes to stderr. The
//! command exits with 0 if it succeeded, with 1 if it was refused or failed, and with 3 if the
//! outcome is unknown.

mod args;
mod batch_jobs;
mod client;
mod config;
mod error;
mod output;
mod result_codes;
mod retire;
mod rollout;
mod settings;
mod status;

pub use args::{args, TierCommand};
use error::TierError;
use output::print;
use std::io::ErrorKind;
use std::process::ExitCode;

/// The exit code if it is unknown whether an operation happened.
const EXIT_UNKNOWN: u8 = 3;

/// Runs the command and prints its error.
pub fn run(command: TierCommand) -> ExitCode {
    let Err(error) = execute(command) else {
        return ExitCode::SUCCESS;
    };
    // A reader that closed its end has read enough.
    if matches!(&error, TierError::Program(e) if e.kind() == ErrorKind::BrokenPipe) {
        return ExitCode::SUCCESS;
    }
    eprintln!("fordrelay: {error}");
    match error {
        TierError::Unknown(_) => ExitCode::from(EXIT_UNKNOWN),
        _ => ExitCode::FAILURE,
    }
}

fn execute(command: TierCommand) -> Result<(), TierError> {
    // One call after the other needs no further thread.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(TierError::Program)?;
    match command {
        TierCommand::ConfigPut(put) => runtime.block_on(config::put(&put)),
        TierCommand::ConfigGet { ctl } => runtime.block_on(config::get(&ctl)),
        TierCommand::ConfigCheck { file } => config::check(&file).map(|_| ()),
        TierCommand::Retire(args) => runtime.block_on(retire::retire(&args)),
        TierCommand::Rollout(args) => runtime.block_on(rollout::rollout(&args)),
        TierCommand::BatchRead { job, start, wait } => {
            runtime.block_on(batch_jobs::read(&job, start, wait))
        }
        TierCommand::BatchCancel { job } => runtime.block_on(batch_jobs::cancel(&job)),
        TierCommand::BatchItemBody { job, item } => {
            runtime.block_on(batch_jobs::item_body(&job, &item))
        }
        TierCommand::Status { ctl, format } => runtime.block_on(status::status(&ctl, format)),
        TierCommand::SettingsCheck { file } => settings::check(&file),
        TierCommand::ResultCodes => print(result_codes::page()),
    }
}
