//! The command line of the dispatcher.

mod lifecycle;
mod peers;

use bpaf::{construct, long, OptionParser, Parser};
use settings::platform::Config;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

#[derive(Debug, Clone)]
enum Command {
    Serve(Option<PathBuf>),
    Check(Option<PathBuf>),
    Version,
}

fn command() -> OptionParser<Command> {
    let file = || {
        long("config")
            .help("The configuration; the file that ROUTER_CONFIG names if it is not given")
            .argument::<PathBuf>("FILE")
            .optional()
    };
    let serve = construct!(Command::Serve(file()))
        .to_options()
        .descr("Serves until SIGTERM, and answers all that it has taken before it ends")
        .command("serve");
    let check = construct!(Command::Check(file()))
        .to_options()
        .descr("Reads the configuration and says what is wrong with it")
        .command("check");
    let version = bpaf::pure(Command::Version).to_options().descr("Prints the version").command("version");
    construct!([serve, check, version])
        .to_options()
        .descr("A dispatcher that pushes jobs to targets, paced by responsive back-off")
        .footer("FORDRELAY_LOG sets what is logged, as in 'debug' or 'http1=debug'")
}

fn main() -> ExitCode {
    let result = match command().run() {
        Command::Serve(file) => serve(file),
        Command::Check(file) => check(file),
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

fn serve(file: Option<PathBuf>) -> Result<(), Box<dyn std::error::Error>> {
    let filter = EnvFilter::try_from_env("FORDRELAY_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
    Ok(lifecycle::serve(file.as_deref())?)
}

fn check(file: Option<PathBuf>) -> Result<(), Box<dyn std::error::Error>> {
    let config = Config::load(file.as_deref())?;
    println!(
        "{}: listens on {}, {} classes, {} connections from clients and {} to targets at most",
        config.name,
        config.listen,
        config.classes.len(),
        config.client_connections,
        config.target_connections
    );
    Ok(())
}
