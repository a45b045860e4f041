//! The command line of the lab.

use bpaf::{construct, long, OptionParser, Parser};
use dispatcher_settings::operator::{OperatorConfig, Source};
use fordrelay::config_files::ConfigFiles;
use fordrelay::lifecycle;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use testbed::calls;
use testbed::load_sweep::Swings;
use testbed::members;
use testbed::rig;
use testbed::scale_model::{self, Story};
use testbed::up::{self, Terms};
use testbed::upgrade;

type Failure = Box<dyn std::error::Error>;

#[derive(Debug, Clone)]
struct SwingsArgs {
    model: bool,
    operator: PathBuf,
    boxes: usize,
    dispatchers: u32,
    low: f64,
    high: f64,
    period: u64,
    count: u64,
    seeds: u64,
    only: Option<bool>,
    lanes: usize,
    logs: PathBuf,
    json: Option<String>,
}

#[derive(Debug, Clone)]
enum Command {
    Swings(SwingsArgs),
    Up(UpArgs),
    Upgrade(UpgradeArgs),
    Calls(CallsArgs),
    Size(SizeArgs),
    Fleet(FleetArgs),
    Members(MembersArgs),
    /// The program itself, as a process of its own.
    Dispatcher(ConfigFiles),
}

#[derive(Debug, Clone)]
struct UpgradeArgs {
    boxes: usize,
    load: f64,
    seconds: u64,
    upgrades: usize,
    cuts: bool,
    moves: bool,
    breaks: f64,
    seed: u64,
    logs: PathBuf,
    json: Option<String>,
}

#[derive(Debug, Clone)]
struct CallsArgs {
    boxes: usize,
    load: f64,
    seconds: u64,
    share: f64,
    seed: u64,
    logs: PathBuf,
    json: Option<String>,
}

#[derive(Debug, Clone)]
struct SizeArgs {
    stories: Vec<Story>,
    dispatchers: Vec<u32>,
    boxes: Vec<usize>,
    load: f64,
    seconds: u64,
    seeds: u64,
    json: Option<String>,
}

#[derive(Debug, Clone)]
struct FleetArgs {
    dispatchers: usize,
    boxes: usize,
    load: f64,
    seconds: u64,
    period_ms: u64,
    loss: f64,
    kills: usize,
    pauses: usize,
    splits: usize,
    leaves: usize,
    one_sided: usize,
    plan: usize,
    out: u8,
    seed: u64,
    logs: PathBuf,
    json: Option<String>,
}

#[derive(Debug, Clone)]
struct MembersArgs {
    members: Vec<u16>,
    loss: Vec<f64>,
    seconds: u64,
    seeds: u64,
    json: Option<String>,
}

#[derive(Debug, Clone)]
struct UpArgs {
    operator: PathBuf,
    boxes: usize,
    load: f64,
    seconds: Option<u64>,
    logs: PathBuf,
}

fn operator() -> impl Parser<PathBuf> {
    long("operator")
        .help("The operators' file, without a block admin; deploy/fordrelay.hcl if it is not given")
        .argument::<PathBuf>("FILE")
        .fallback("deploy/fordrelay.hcl".into())
}

fn boxes() -> impl Parser<usize> {
    long("boxes")
        .help("Engine boxes")
        .argument::<usize>("N")
        .fallback(8)
}

fn logs() -> impl Parser<PathBuf> {
    long("logs")
        .help("Where the dispatchers' files and logs go")
        .argument::<PathBuf>("FOLDER")
        .fallback(std::env::temp_dir().join(format!("fordrelay-testbed-{}", std::process::id())))
}

fn up() -> impl Parser<UpArgs> {
    let (operator, boxes, logs) = (operator(), boxes(), logs());
    let load = long("load")
        .help("What clients ask for, as a share of capacity; 0.7 if it is not given")
        .argument::<f64>("SHARE")
        .fallback(0.7);
    let seconds = long("seconds")
        .help("End by itself after so long")
        .argument::<u64>("S")
        .optional();
    construct!(UpArgs {
        operator,
        boxes,
        load,
        seconds,
        logs
    })
}

fn json() -> impl Parser<Option<String>> {
    long("json")
        .help("Write JSON there; - for standard output")
        .argument::<String>("FILE")
        .optional()
}

fn upgrade() -> impl Parser<UpgradeArgs> {
    let (boxes, logs, json) = (boxes(), logs(), json());
    let load = long("load")
        .help("Load, as a share of capacity")
        .argument::<f64>("SHARE")
        .fallback(0.5);
    let seconds = long("seconds")
        .help("How long clients ask")
        .argument::<u64>("S")
        .fallback(30);
    let upgrades = long("upgrades")
        .help("New versions in that time")
        .argument::<usize>("N")
        .fallback(4);
    let cuts = long("cuts")
        .help("Kill processes outright, too, at moments drawn from the seed")
        .switch();
    let moves = long("moves")
        .help("Move discovery by SIGHUP before each new version, and lose it meanwhile")
        .switch();
    let breaks = long("breaks")
        .help("Cut so large a share of connections, of clients and boxes, at random points of messages")
        .argument::<f64>("SHARE")
        .fallback(0.0);
    let seed = long("seed")
        .help("For all that is drawn")
        .argument::<u64>("N")
        .fallback(1);
    construct!(UpgradeArgs {
        boxes,
        load,
        seconds,
        upgrades,
        cuts,
        moves,
        breaks,
        seed,
        logs,
        json
    })
}

fn calls() -> impl Parser<CallsArgs> {
    let (boxes, logs, json) = (boxes(), logs(), json());
    let load = long("load")
        .help("Load, as a share of capacity")
        .argument::<f64>("SHARE")
        .fallback(20.0);
    let seconds = long("seconds")
        .help("How long clients ask")
        .argument::<u64>("S")
        .fallback(10);
    let share = long("share")
        .help("Part of a core that the dispatcher has, by stopping it in periods of 100 ms")
        .argument::<f64>("SHARE")
        .fallback(0.2);
    let seed = long("seed")
        .help("For all that is drawn")
        .argument::<u64>("N")
        .fallback(1);
    construct!(CallsArgs {
        boxes,
        load,
        seconds,
        share,
        seed,
        logs,
        json
    })
}

/// Several values with commas between them.
fn several<T: std::str::FromStr<Err: std::fmt::Display>>(text: &str) -> Result<Vec<T>, String> {
    text.split(',')
        .map(|one| one.trim().parse().map_err(|e| format!("{one:?}: {e}")))
        .collect()
}

fn sizes() -> impl Parser<SizeArgs> {
    let stories = long("story")
        .help("What goes wrong, several with commas: calm, herd, silence, zone, join, crowded, ghosts")
        .argument::<String>("STORY")
        .parse(|text| several::<Story>(&text))
        .fallback(vec![Story::Calm]);
    let dispatchers = long("dispatchers")
        .help("Dispatchers, several sizes with commas")
        .argument::<String>("N")
        .parse(|text| several::<u32>(&text))
        .fallback(vec![2, 10, 100]);
    let boxes = long("boxes")
        .help("Engine boxes, several sizes with commas")
        .argument::<String>("N")
        .parse(|text| several::<usize>(&text))
        .fallback(vec![8, 60]);
    let load = long("load")
        .help("Load, as a share of capacity")
        .argument::<f64>("SHARE")
        .fallback(0.5);
    let seconds = long("seconds")
        .help("How long clients ask")
        .argument::<u64>("S")
        .fallback(20);
    let seeds = long("seeds")
        .help("Seeds, from 1 on")
        .argument::<u64>("N")
        .fallback(1);
    let json = json();
    construct!(SizeArgs {
        stories,
        dispatchers,
        boxes,
        load,
        seconds,
        seeds,
        json
    })
}

/// An option with a number, and what it is where it is not given.
fn number<T>(
    name: &'static str,
    unit: &'static str,
    help: &'static str,
    default: T,
) -> impl Parser<T>
where
    T: std::str::FromStr + Clone + 'static,
    T::Err: std::fmt::Display,
{
    let option = long(name).help(help).argument::<T>(unit);
    option.fallback(default)
}

fn fleet() -> impl Parser<FleetArgs> {
    let (boxes, logs, json) = (boxes(), logs(), json());
    let dispatchers = number::<usize>("dispatchers", "N", "Processes, 2 to 32", 8);
    let load = number::<f64>("load", "SHARE", "Load, as a share of capacity", 0.3);
    let seconds = number::<u64>("seconds", "S", "How long clients ask", 20);
    let period_ms = number::<u64>("period-ms", "MS", "One ping of each in so long", 500);
    let loss = number::<f64>("loss", "SHARE", "Share of datagrams lost", 0.2);
    let kills = number::<usize>("kills", "N", "Processes killed, and started again", 2);
    let pauses = number::<usize>("pauses", "N", "Processes stopped for 2 to 5 s", 1);
    let splits = number::<usize>("splits", "N", "Partitions into two", 1);
    let leaves = number::<usize>("leave", "N", "Processes told to stop, and started again", 0);
    let one_sided = number::<usize>("one-sided", "N", "Times that ways are closed in one direction: one deaf or mute, a pair, a half, one in twenty", 0);
    let plan = number::<usize>(
        "plan",
        "N",
        "Targets of a plan of maintenance, at least three fewer than boxes; 0 for none",
        0,
    );
    let out = number::<u8>("out", "N", "How many of them may be out together", 2);
    let seed = number::<u64>("seed", "N", "For all that is drawn", 1);
    construct!(FleetArgs {
        dispatchers,
        boxes,
        load,
        seconds,
        period_ms,
        loss,
        kills,
        pauses,
        splits,
        leaves,
        one_sided,
        plan,
        out,
        seed,
        logs,
        json,
    })
}

fn members() -> impl Parser<MembersArgs> {
    let members = long("members")
        .help("Members, several sizes with commas")
        .argument::<String>("N")
        .parse(|text| several::<u16>(&text))
        .fallback(vec![2, 10, 100]);
    let loss = long("loss")
        .help("Share of datagrams lost, several with commas")
        .argument::<String>("SHARE")
        .parse(|text| several::<f64>(&text))
        .fallback(vec![0.0, 0.2]);
    let seconds = long("seconds")
        .help("How long it is played")
        .argument::<u64>("S")
        .fallback(300);
    let seeds = long("seeds")
        .help("Seeds, from 1 on")
        .argument::<u64>("N")
        .fallback(1);
    let json = json();
    construct!(MembersArgs {
        members,
        loss,
        seconds,
        seeds,
        json
    })
}

fn swings() -> impl Parser<SwingsArgs> {
    let model = long("model")
        .help("In virtual time instead of on sockets")
        .switch();
    let (operator, boxes, logs) = (operator(), boxes(), logs());
    let lanes = long("lanes")
        .help("On sockets: runs at a time")
        .argument::<usize>("N")
        .fallback(1);
    let dispatchers = long("dispatchers")
        .help("Dispatchers before them")
        .argument::<u32>("N")
        .fallback(2);
    let low = long("low")
        .help("Load in the lower half of a swing, as a share of capacity")
        .argument::<f64>("SHARE")
        .fallback(0.6);
    let high = long("high")
        .help("... and in the upper half")
        .argument::<f64>("SHARE")
        .fallback(1.4);
    let period = long("period")
        .help("Seconds of one swing")
        .argument::<u64>("S")
        .fallback(20);
    let count = long("swings")
        .help("Swings of one run")
        .argument::<u64>("N")
        .fallback(10);
    let seeds = long("seeds")
        .help("Seeds, one a pair of runs")
        .argument::<u64>("N")
        .fallback(5);
    let only = long("quarter-dies")
        .help("true or false: only with, or only without a quarter of the boxes dying")
        .argument::<bool>("BOOL")
        .optional();
    let json = json();
    construct!(SwingsArgs {
        model,
        operator,
        boxes,
        dispatchers,
        low,
        high,
        period,
        count,
        seeds,
        only,
        lanes,
        logs,
        json,
    })
}

fn command() -> OptionParser<Command> {
    let swings = swings()
        .map(Command::Swings)
        .to_options()
        .descr("Load in swings, with levels of reduced service and without, on the same arrivals")
        .command("swings");
    let up = up()
        .map(Command::Up)
        .to_options()
        .descr("Starts a stand-in fleet and one dispatcher on loopback ports, until Ctrl-C")
        .command("up");
    let upgrade = upgrade()
        .map(Command::Upgrade)
        .to_options()
        .descr(
            "New versions under load, on one inherited socket, with boxes out by hand across them",
        )
        .command("upgrade");
    let calls = calls()
        .map(Command::Calls)
        .to_options()
        .descr("How long callers of the second address wait while the dispatcher is saturated on a part of a core")
        .command("calls");
    let sizes = sizes()
        .map(Command::Size)
        .to_options()
        .descr("A large fleet in virtual time: costs by size, and whole failures of it")
        .command("size");
    let fleet = fleet()
        .map(Command::Fleet)
        .to_options()
        .descr(
            "Many processes on one machine with faults between them: killed, stopped, parted, datagrams lost",
        )
        .command("fleet");
    let members = members()
        .map(Command::Members)
        .to_options()
        .descr("Who is alive, in virtual time: what it costs and whom it takes for dead wrongly, by size and loss")
        .command("members");
    let config = long("config").argument::<PathBuf>("FILE").optional();
    let operator = long("operator").argument::<PathBuf>("FILE").optional();
    let dispatcher = construct!(ConfigFiles { config, operator })
        .map(Command::Dispatcher)
        .to_options()
        .descr("The dispatcher itself, as 'fordrelay serve'")
        .command("dispatcher");
    construct!([up, upgrade, swings, calls, sizes, fleet, members, dispatcher])
        .to_options()
        .descr("What fordrelay is tried with")
}

fn main() -> ExitCode {
    let result = match command().run() {
        Command::Swings(args) => run_swings(&args),
        Command::Up(args) => run_up(&args),
        Command::Upgrade(args) => run_upgrade(&args),
        Command::Calls(args) => run_calls(&args),
        Command::Size(args) => run_size(&args),
        Command::Fleet(args) => run_fleet(&args),
        Command::Members(args) => run_members(&args),
        Command::Dispatcher(files) => lifecycle::serve(&files).map_err(Into::into),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("fordrelay-testbed: {e}");
            ExitCode::FAILURE
        }
    }
}

/// The operators' file, which must leave the listener to this program.
fn read(path: &Path) -> Result<(String, OperatorConfig, Source), Failure> {
    let text =
        std::fs::read_to_string(path).map_err(|e| format!("can't read {}: {e}", path.display()))?;
    let (operator, source) = OperatorConfig::parse(path, &text)?;
    if operator.admin.is_some() {
        return Err(source
            .fault("admin", "is set by the lab itself: leave it out here")
            .into());
    }
    Ok((text, operator, source))
}

fn run_up(args: &UpArgs) -> Result<(), Failure> {
    let (text, ..) = read(&args.operator)?;
    let terms = Terms {
        boxes: args.boxes,
        load: args.load,
        seconds: args.seconds,
    };
    Ok(up::up(&terms, &text, &args.logs)?)
}

fn run_swings(args: &SwingsArgs) -> Result<(), Failure> {
    let swings = Swings {
        boxes: args.boxes,
        dispatchers: args.dispatchers,
        low: args.low,
        high: args.high,
        period: args.period * 1_000_000,
        count: args.count,
        seeds: (1..=args.seeds).collect(),
    };
    let classes: Vec<String> = swings
        .scenario(0, false)
        .classes
        .iter()
        .map(|c| c.name.to_owned())
        .collect();
    let (text, operator, source) = read(&args.operator)?;
    let spec = operator
        .degradation(&classes, &source)?
        .ok_or("the operators' file sets no levels")?;
    let conditions = args.only.map_or(vec![false, true], |only| vec![only]);
    let summary = match args.model {
        true => swings.model(&Arc::new(spec), &conditions)?,
        false => swings.sockets(&text, &conditions, args.lanes, &args.logs)?,
    };
    show(&summary, args.json.as_deref())
}

fn show(
    summary: &(impl std::fmt::Display + serde::Serialize),
    json: Option<&str>,
) -> Result<(), Failure> {
    match json {
        None => print!("{summary}"),
        Some("-") => println!("{}", serde_json::to_string_pretty(&summary)?),
        Some(file) => std::fs::write(file, serde_json::to_string_pretty(&summary)? + "\n")?,
    }
    Ok(())
}

fn run_upgrade(args: &UpgradeArgs) -> Result<(), Failure> {
    let UpgradeArgs {
        boxes,
        load,
        seconds,
        upgrades,
        cuts,
        moves,
        breaks,
        seed,
        ..
    } = *args;
    let terms = upgrade::Terms {
        boxes,
        load,
        seconds,
        upgrades,
        cuts,
        moves,
        breaks,
        seed,
    };
    let summary = upgrade::run(&terms, &args.logs)?;
    show(&summary, args.json.as_deref())
}

fn run_calls(args: &CallsArgs) -> Result<(), Failure> {
    let CallsArgs {
        boxes,
        load,
        seconds,
        share,
        seed,
        ..
    } = *args;
    let summary = calls::run(
        &calls::Terms {
            boxes,
            load,
            seconds,
            share,
            seed,
        },
        &args.logs,
    )?;
    show(&summary, args.json.as_deref())
}

fn run_size(args: &SizeArgs) -> Result<(), Failure> {
    let mut rows = vec![];
    for story in &args.stories {
        for dispatchers in &args.dispatchers {
            for boxes in &args.boxes {
                for seed in 1..=args.seeds {
                    let (story, dispatchers, boxes) =
                        (*story, (*dispatchers).max(1), (*boxes).max(4));
                    let (load, seconds) = (args.load, args.seconds);
                    rows.push(
                        scale_model::Terms {
                            story,
                            dispatchers,
                            boxes,
                            load,
                            seconds,
                            seed,
                        }
                        .play()?,
                    );
                }
            }
        }
    }
    show(&scale_model::Summary(rows), args.json.as_deref())
}

fn run_fleet(args: &FleetArgs) -> Result<(), Failure> {
    let FleetArgs {
        dispatchers,
        boxes,
        load,
        seconds,
        period_ms,
        loss,
        kills,
        pauses,
        splits,
        leaves,
        one_sided,
        plan,
        out,
        seed,
        ..
    } = *args;
    let terms = rig::Terms {
        dispatchers,
        boxes,
        load,
        seconds,
        period_ms,
        loss,
        kills,
        pauses,
        splits,
        leaves,
        one_sided,
        plan,
        out,
        seed,
    };
    show(&rig::run(&terms, &args.logs)?, args.json.as_deref())
}

/// Rows, as they are printed.
#[derive(serde::Serialize)]
struct Rows<T>(Vec<T>);

impl<T: std::fmt::Display> std::fmt::Display for Rows<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|row| row.fmt(f))
    }
}

fn run_members(args: &MembersArgs) -> Result<(), Failure> {
    let mut rows = vec![];
    for members in &args.members {
        for loss in &args.loss {
            for seed in 1..=args.seeds {
                rows.push(members::run(&members::Terms::calm(
                    (*members).max(2),
                    *loss,
                    args.seconds,
                    seed,
                )));
            }
        }
    }
    show(&Rows(rows), args.json.as_deref())
}
