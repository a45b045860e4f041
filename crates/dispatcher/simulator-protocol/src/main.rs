//! Speaks the simulator's protocol on standard input and output.

use bpaf::{long, Parser};
use dispatcher_settings::operator::{OperatorConfig, OperatorError};
use simulator_protocol::{Host, LineError};
use std::io::{self, BufRead, Write};
use std::path::PathBuf;
use std::process::ExitCode;

/// Why the program ended.
#[derive(Debug, thiserror::Error)]
enum HostError {
    #[error(transparent)]
    OperatorConfig(#[from] OperatorError),
    #[error("line {line}: {source}")]
    Read { line: u64, source: io::Error },
    #[error("line {line}: {source}")]
    Line { line: u64, source: LineError },
    #[error(transparent)]
    Write(io::Error),
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fordrelay-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), HostError> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let operator = long("operator")
        .help("The operators' file, for what of it concerns the decisions")
        .argument::<PathBuf>("FILE")
        .optional()
        .to_options()
        .descr("The decisions on the simulator's wire, on standard input and output")
        .run();
    let operator = operator
        .map(|file| OperatorConfig::load(&file))
        .transpose()?;
    let (mut host, mut text, mut line) = (Host::new(operator), String::new(), 0u64);
    loop {
        text.clear();
        line += 1;
        let read = input.read_line(&mut text);
        if read.map_err(|source| HostError::Read { line, source })? == 0 {
            return Ok(());
        }
        let reply = host.answer(&text);
        let mut reply = reply.map_err(|source| HostError::Line { line, source })?;
        reply.push('\n');
        let written = output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush());
        written.map_err(HostError::Write)?;
    }
}
