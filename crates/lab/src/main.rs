//! The command line of the lab.

use bpaf::{construct, long, OptionParser, Parser};
use lab::swings::Swings;
use settings::operator::Operator;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

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
    json: Option<String>,
}

#[derive(Debug, Clone)]
enum Command {
    Swings(SwingsArgs),
}

fn swings() -> impl Parser<SwingsArgs> {
    let model = long("model").help("In virtual time instead of on sockets").switch();
    let operator = long("operator")
        .help("The operators' file whose levels are tried")
        .argument::<PathBuf>("FILE")
        .fallback("deploy/fordrelay.hcl".into());
    let boxes = long("boxes").help("Engine boxes").argument::<usize>("N").fallback(8);
    let dispatchers = long("dispatchers").help("Dispatchers before them").argument::<u32>("N").fallback(2);
    let low = long("low")
        .help("Load in the lower half of a swing, as a share of capacity")
        .argument::<f64>("SHARE")
        .fallback(0.6);
    let high = long("high").help("... and in the upper half").argument::<f64>("SHARE").fallback(1.4);
    let period = long("period").help("Seconds of one swing").argument::<u64>("S").fallback(20);
    let count = long("swings").help("Swings of one run").argument::<u64>("N").fallback(10);
    let seeds = long("seeds").help("Seeds, one a pair of runs").argument::<u64>("N").fallback(5);
    let only = long("quarter-dies")
        .help("true or false: only with, or only without a quarter of the boxes dying")
        .argument::<bool>("BOOL")
        .optional();
    let json =
        long("json").help("Write JSON there; - for standard output").argument::<String>("FILE").optional();
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
        json
    })
}

fn command() -> OptionParser<Command> {
    let swings = swings()
        .map(Command::Swings)
        .to_options()
        .descr("Load in swings, with levels of reduced service and without, on the same arrivals")
        .command("swings");
    construct!([swings]).to_options().descr("What fordrelay is tried with")
}

fn main() -> ExitCode {
    let result = match command().run() {
        Command::Swings(args) => run_swings(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("fordrelay-lab: {e}");
            ExitCode::FAILURE
        }
    }
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
    let classes: Vec<String> = swings.scenario(0, false).classes.iter().map(|c| c.name.to_owned()).collect();
    let (operator, source) = Operator::load(Path::new(&args.operator))?;
    let spec = operator.spec(&classes, &source)?.ok_or("the operators' file sets no levels")?;
    let conditions = args.only.map_or(vec![false, true], |only| vec![only]);
    let summary = swings.model(&Arc::new(spec), &conditions)?;
    match args.json.as_deref() {
        None => print!("{summary}"),
        Some("-") => println!("{}", serde_json::to_string_pretty(&summary)?),
        Some(file) => std::fs::write(file, serde_json::to_string_pretty(&summary)? + "\n")?,
    }
    Ok(())
}
