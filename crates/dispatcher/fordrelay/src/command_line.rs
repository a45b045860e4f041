//! The command line of the program.

use crate::commands::{Force, LevelsArgs, MaintenanceArgs};
use crate::config_files::ConfigFiles;
use crate::tier::{self, TierCommand};
use bpaf::{construct, long, positional, OptionParser, Parser};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What the program is asked to do.
#[derive(Debug, Clone)]
pub enum Command {
    Serve(ConfigFiles),
    Check(ConfigFiles, bool),
    Levels(LevelsArgs),
    Maintenance(MaintenanceArgs),
    Tier(TierCommand),
    Version,
}

fn files() -> impl Parser<ConfigFiles> {
    let config = long("config")
        .help("The platform's configuration; the file that ROUTER_CONFIG names if it is not given")
        .argument::<PathBuf>("FILE")
        .optional();
    let operator = long("operator")
        .help("The operators' file, as in deploy/fordrelay.hcl")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(ConfigFiles { config, operator })
}

fn admin() -> impl Parser<SocketAddr> {
    long("admin")
        .help("Where the dispatcher answers operators: admin.listen in its file")
        .argument("ADDR")
}

fn force() -> impl Parser<LevelsArgs> {
    let wanted = positional::<String>("NAME")
        .help("A level, 'full' for full service, or 'auto' for what the figures say");
    let span = long("for")
        .help("For how long, as in '10m' or '90s'; ten minutes if it is not given")
        .argument::<String>("SPAN")
        .parse(|text| humantime::parse_duration(&text))
        .fallback(Duration::from_secs(600));
    let admin = admin();
    construct!(Force {
        admin,
        span,
        wanted
    })
    .map(LevelsArgs::Force)
    .to_options()
    .descr("Has a level in force for some time, whatever the figures say")
    .command("force")
}

fn levels() -> impl Parser<LevelsArgs> {
    let explain = long("explain")
        .help("Print the conditions of the files in words")
        .req_flag(());
    let files = files();
    let explain = construct!(explain, files).map(|((), files)| LevelsArgs::Explain(files));
    let json = long("json").help("Print JSON").switch();
    let watch = long("watch").help("Go on, a line for each change").switch();
    let admin = admin();
    let show = construct!(LevelsArgs::Show { admin, watch, json });
    let force = force();
    construct!([force, explain, show])
}

fn maintenance() -> impl Parser<MaintenanceArgs> {
    let said = |key: &'static str, name: &'static str, help: &'static str| {
        let value = long(name).help(help).argument::<String>("N").optional();
        value.map(move |value| value.map(|value| (key, value)))
    };
    let targets = long("targets")
        .help("Their names with commas between them, in the order in which they go out")
        .argument::<String>("NAMES")
        .map(|names| Some(("targets", names)));
    let out = said(
        "out",
        "out",
        "How many may be out at once; 1 if it is not given",
    );
    let zone = said("zone", "zone", "... of one zone");
    let share = said(
        "share",
        "share",
        "... as a share of the targets of each kind",
    );
    let drain = said(
        "drain_ms",
        "drain-ms",
        "A target that is not empty by then counts as empty",
    );
    let out_ms = said(
        "out_ms",
        "out-ms",
        "It comes back by then, whatever is being done to it",
    );
    let id = said("id", "id", "A number to know the plan by");
    let wanted = construct!(targets, out, zone, share, drain, out_ms, id).map(
        |(targets, out, zone, share, drain, out_ms, id)| {
            [targets, out, zone, share, drain, out_ms, id]
                .into_iter()
                .flatten()
                .collect()
        },
    );
    let a = admin();
    let submit = construct!(a, wanted)
        .map(|(admin, wanted)| MaintenanceArgs::Submit { admin, wanted })
        .to_options()
        .descr("Has targets taken out for work, in turn, by all dispatchers")
        .command("submit");
    let cancel = admin()
        .map(MaintenanceArgs::Cancel)
        .to_options()
        .descr("Calls the plan off: all come back")
        .command("cancel");
    let target = positional::<String>("TARGET").help("Its name");
    let a = admin();
    let done = construct!(a, target)
        .map(|(admin, target)| MaintenanceArgs::Done { admin, target })
        .to_options()
        .descr("Says that the work on a target is done: it comes back")
        .command("done");
    let json = long("json").help("Print JSON").switch();
    let admin = admin();
    let show = construct!(MaintenanceArgs::Show { admin, json });
    construct!([submit, cancel, done, show])
}

/// The parser of the whole command line.
pub fn command() -> OptionParser<Command> {
    let serve = files()
        .map(Command::Serve)
        .to_options()
        .descr("Serves until SIGTERM, and answers all that it has taken before it ends")
        .command("serve");
    let json = long("json").help("Print JSON").switch();
    let files = files();
    let check = construct!(files, json)
        .map(|(files, json)| Command::Check(files, json))
        .to_options()
        .descr(
            "Reads both files and prints what is in force, defaults included, or the first fault",
        )
        .command("check");
    let levels = levels()
        .map(Command::Levels)
        .to_options()
        .descr("Shows, explains or forces the level of service")
        .command("levels");
    let maintenance = maintenance()
        .map(Command::Maintenance)
        .to_options()
        .descr("Shows, submits or calls off targets taken out for work in turn")
        .command("maintenance");
    let tier = tier::args()
        .map(Command::Tier)
        .to_options()
        .descr(
            "Speaks to the serving tier: configurations, machines of stores, batch jobs, its state",
        )
        .command("tier");
    let version = bpaf::pure(Command::Version)
        .to_options()
        .descr("Prints the version")
        .command("version");
    construct!([serve, check, levels, maintenance, tier, version])
        .to_options()
        .descr("A dispatcher that pushes jobs to targets, paced by responsive back-off")
        .footer("FORDRELAY_LOG overrules what is logged, as in 'debug' or 'info,http1=debug'")
}
