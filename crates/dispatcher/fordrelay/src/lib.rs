//! The dispatcher as a program: its command line, start, readiness, reload and stop.
//!
//! This crate is the outermost layer: it reads the command line and both configuration files, and puts the other crates
//! together to one process. No decision about jobs or targets is made here.

mod command_line;
mod commands;
pub mod config_files;
pub mod error;
pub mod handover;
pub mod inherited;
pub mod lifecycle;
mod log;
mod peers;
mod tier;
mod usage;

use command_line::{command, Command};
use std::process::ExitCode;

/// The program: does what its command line asks.
pub fn run() -> ExitCode {
    let result = match command().run() {
        Command::Serve(files) => lifecycle::serve(&files).map_err(Into::into),
        Command::Check(files, json) => commands::check(&files, json),
        Command::Levels(args) => commands::levels(args),
        Command::Maintenance(args) => commands::maintenance(args),
        Command::Tier(command) => return tier::run(command),
        Command::Version => {
            println!("fordrelay {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fordrelay: {error}");
            ExitCode::FAILURE
        }
    }
}
