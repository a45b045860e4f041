//! The command line of `fordrelay tier`.

use bpaf::{construct, long, positional, pure, Parser};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// How long a configuration is retried unless another time is given.
const DEFAULT_PUT_TIMEOUT: Duration = Duration::from_secs(30);

/// A subcommand with its arguments.
#[derive(Debug, Clone)]
pub enum TierCommand {
    /// Apply a configuration.
    ConfigPut(ConfigPut),
    /// Print the newest configuration.
    ConfigGet {
        /// Addresses of controllers.
        ctl: Vec<SocketAddr>,
    },
    /// Validate a configuration locally.
    ConfigCheck {
        /// The file.
        file: PathBuf,
    },
    /// Retire a storage machine, or print how far that is.
    Retire(Retire),
    /// Move a service to another version, or print how far that is.
    Rollout(Rollout),
    /// Print the results of a batch job.
    BatchRead {
        /// The job.
        job: BatchJob,
        /// The position of the first result.
        start: u64,
        /// When to stop.
        wait: Wait,
    },
    /// Cancel a batch job.
    BatchCancel {
        /// The job.
        job: BatchJob,
    },
    /// Print the body of an item.
    BatchItemBody {
        /// The job.
        job: BatchJob,
        /// The id of the item.
        item: String,
    },
    /// Print the state of controllers.
    Status {
        /// Addresses of controllers.
        ctl: Vec<SocketAddr>,
        /// How it is printed.
        format: Format,
    },
    /// Check a settings file locally.
    SettingsCheck {
        /// The file.
        file: PathBuf,
    },
    /// Print all result codes.
    ResultCodes,
}

/// Applies a configuration.
#[derive(Debug, Clone)]
pub struct ConfigPut {
    /// The file.
    pub file: PathBuf,
    /// Addresses of controllers.
    pub ctl: Vec<SocketAddr>,
    /// The version on which it builds, if that isn't the current one.
    pub base: Option<u64>,
    /// How long it is retried.
    pub timeout: Duration,
}

/// Retires a storage machine, or asks how far that is.
#[derive(Debug, Clone)]
pub struct Retire {
    /// The name of the machine.
    pub node: String,
    /// Seconds within which it is to be empty; none only asks.
    pub over_s: Option<f64>,
    /// When to stop.
    pub wait: Wait,
    /// Addresses of controllers.
    pub ctl: Vec<SocketAddr>,
}

/// Moves a service to another version, or asks how far that is.
#[derive(Debug, Clone)]
pub struct Rollout {
    /// The service.
    pub service: String,
    /// What is ordered; none only asks.
    pub order: Option<RolloutOrder>,
    /// When to stop.
    pub wait: Wait,
    /// Addresses of controllers.
    pub ctl: Vec<SocketAddr>,
}

/// The order of a roll-out.
#[derive(Debug, Clone)]
pub struct RolloutOrder {
    /// The new version.
    pub target: String,
    /// Seconds within which it is to be done.
    pub over_s: f64,
}

/// A batch job.
#[derive(Debug, Clone)]
pub struct BatchJob {
    /// Its id.
    pub id: String,
    /// The host of its route.
    pub host: String,
    /// Addresses of dispatchers.
    pub edge: Vec<SocketAddr>,
}

/// When a command that observes something stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// After what is there now.
    No,
    /// Once it is complete (`--follow`).
    UntilComplete,
}

impl Wait {
    fn from_switch(follow: bool) -> Self {
        if follow {
            Wait::UntilComplete
        } else {
            Wait::No
        }
    }
}

/// How the state of controllers is printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// A line a key.
    Table,
    /// A line a controller (`--json`).
    Json,
}

fn addrs(name: &'static str, help: &'static str) -> impl Parser<Vec<SocketAddr>> {
    long(name)
        .help(help)
        .argument::<String>("ADDR[,ADDR..]")
        .parse(|text| {
            let addrs = text.split(',').map(|addr| addr.trim().parse());
            addrs.collect::<Result<Vec<SocketAddr>, _>>()
        })
}

fn ctl() -> impl Parser<Vec<SocketAddr>> {
    addrs(
        "ctl",
        "Addresses of ctl; the next one is asked where one fails",
    )
}

fn config() -> impl Parser<TierCommand> {
    let base = long("base")
        .help("The version on which it builds; the current one if it is not given")
        .argument::<u64>("N")
        .optional();
    let timeout = long("for")
        .help("For how long it is sent until there is a clear answer, as in '30s'")
        .argument::<String>("SPAN")
        .parse(|text| humantime::parse_duration(&text))
        .fallback(DEFAULT_PUT_TIMEOUT);
    let ctl_of_put = ctl();
    let file = positional::<PathBuf>("FILE").help("The configuration, in JSON");
    let put = construct!(ctl_of_put, base, timeout, file)
        .map(|(ctl, base, timeout, file)| {
            TierCommand::ConfigPut(ConfigPut {
                file,
                ctl,
                base,
                timeout,
            })
        })
        .to_options()
        .descr("Has a configuration in force")
        .command("put");
    let get = ctl()
        .map(|ctl| TierCommand::ConfigGet { ctl })
        .to_options()
        .descr("Prints the newest configuration")
        .command("get");
    let check = positional::<PathBuf>("FILE")
        .help("The configuration, in JSON")
        .map(|file| TierCommand::ConfigCheck { file })
        .to_options()
        .descr("Says whether a configuration is valid, without asking anyone")
        .command("check");
    construct!([put, get, check])
}

fn retire() -> impl Parser<TierCommand> {
    let over_s = long("over")
        .help(
            "Begin it: seconds within which the machine is to be empty; without this, only say how far it is",
        )
        .argument::<f64>("S")
        .guard(|s| s.is_finite() && *s >= 0.0, "must be 0 or more")
        .optional();
    let wait = long("follow")
        .help("Go on until it is complete")
        .switch()
        .map(Wait::from_switch);
    let ctl = ctl();
    let node = positional::<String>("NODE").help("The name of a storage machine");
    construct!(Retire {
        over_s,
        wait,
        ctl,
        node
    })
    .map(TierCommand::Retire)
}

fn rollout() -> impl Parser<TierCommand> {
    let target = long("to")
        .help("Begin it: the new version; without this, only say how far it is")
        .argument::<String>("VERSION");
    let over_s = long("over")
        .help("Seconds within which it is to be done")
        .argument::<f64>("S")
        .guard(|s| s.is_finite() && *s > 0.0, "must be above 0");
    let order = construct!(RolloutOrder { target, over_s }).optional();
    let wait = long("follow")
        .help("Go on until it is complete or reverted")
        .switch()
        .map(Wait::from_switch);
    let ctl = ctl();
    let service = positional::<String>("SERVICE").help("The name of a service");
    construct!(Rollout {
        order,
        wait,
        ctl,
        service
    })
    .map(TierCommand::Rollout)
}

fn batch_job() -> impl Parser<BatchJob> {
    let host = long("host")
        .help("The host of its route")
        .argument::<String>("H");
    let edge = addrs(
        "edge",
        "Addresses of dispatchers; the next one is asked where one fails",
    );
    let id = positional::<String>("ID").help("The id of the batch job");
    construct!(BatchJob { host, edge, id })
}

fn batch_jobs() -> impl Parser<TierCommand> {
    let start = long("start")
        .help("The position of the first result; 0 if it is not given")
        .argument::<u64>("N")
        .fallback(0);
    let wait = long("follow")
        .help("Go on until all results are there")
        .switch()
        .map(Wait::from_switch);
    let job = batch_job();
    let read = construct!(start, wait, job)
        .map(|(start, wait, job)| TierCommand::BatchRead { job, start, wait })
        .to_options()
        .descr("Prints its results, a line of JSON for each")
        .command("read");
    let cancel = batch_job()
        .map(|job| TierCommand::BatchCancel { job })
        .to_options()
        .descr("Ends it")
        .command("end");
    let job = batch_job();
    let item = positional::<String>("ITEM").help("The id of an item that has no result yet");
    let item_body = construct!(job, item)
        .map(|(job, item)| TierCommand::BatchItemBody { job, item })
        .to_options()
        .descr("Prints the body of an item")
        .command("body");
    construct!([read, cancel, item_body])
}

fn status() -> impl Parser<TierCommand> {
    let format = long("json")
        .help("Print JSON, a line for each controller")
        .switch()
        .map(|json| if json { Format::Json } else { Format::Table });
    let ctl = ctl();
    construct!(ctl, format).map(|(ctl, format)| TierCommand::Status { ctl, format })
}

fn settings() -> impl Parser<TierCommand> {
    positional::<PathBuf>("FILE")
        .help("A settings file, in TOML")
        .map(|file| TierCommand::SettingsCheck { file })
        .to_options()
        .descr("Prints what a settings file comes to, defaults included, or the first fault")
        .command("check")
}

/// The parser of all subcommands.
pub fn args() -> impl Parser<TierCommand> {
    let config = config()
        .to_options()
        .descr("Puts, gets or checks a configuration")
        .command("config");
    let retire = retire()
        .to_options()
        .descr("Empties a storage machine, or says how far that is")
        .command("retire");
    let rollout = rollout()
        .to_options()
        .descr("Moves a service to another version, or says how far that is")
        .command("rollout");
    let batch_jobs = batch_jobs()
        .to_options()
        .descr("Reads or ends a batch job")
        .command("lots");
    let status = status()
        .to_options()
        .descr("Prints what each controller believes")
        .command("status");
    let settings = settings()
        .to_options()
        .descr("Checks a settings file")
        .command("settings");
    let result_codes = pure(TierCommand::ResultCodes)
        .to_options()
        .descr("Prints all result codes, as Markdown")
        .command("codes");
    construct!([
        config,
        retire,
        rollout,
        batch_jobs,
        status,
        settings,
        result_codes
    ])
}
