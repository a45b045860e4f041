//! What the command line does beside serving.

use crate::config_files::{ConfigFiles, LoadedConfig};
use admin::view::Levels;
use dispatcher_settings::operator::OperatorConfig;
use dispatcher_settings::platform::Summary;
use hyper::Method;
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

type Outcome = Result<(), Box<dyn std::error::Error>>;

/// How often a watch asks.
const WATCH_EVERY: Duration = Duration::from_millis(500);

/// What `levels` is asked for.
#[derive(Debug, Clone)]
pub enum LevelsArgs {
    /// What is in force, and why.
    Show {
        /// Whom to ask.
        admin: SocketAddr,
        /// Go on.
        watch: bool,
        /// As JSON.
        json: bool,
    },
    /// The conditions in words.
    Explain(ConfigFiles),
    /// Have a level in force.
    Force(Force),
}

/// What `maintenance` is asked for.
#[derive(Debug, Clone)]
pub enum MaintenanceArgs {
    /// How far the plan is.
    Show {
        /// Whom to ask.
        admin: SocketAddr,
        /// As JSON.
        json: bool,
    },
    /// Have a plan followed.
    Submit {
        /// Whom to ask.
        admin: SocketAddr,
        /// What is wanted, as keys and values of the call.
        wanted: Vec<(&'static str, String)>,
    },
    /// Call it off.
    Cancel(SocketAddr),
    /// The work on a target is done.
    Done {
        /// Whom to ask.
        admin: SocketAddr,
        /// Its name.
        target: String,
    },
}

/// A level that is asked for.
#[derive(Debug, Clone)]
pub struct Force {
    /// Whom to ask.
    pub admin: SocketAddr,
    /// For how long.
    pub span: Duration,
    /// Its name.
    pub wanted: String,
}

/// What is in force by both files.
#[derive(Serialize)]
struct InForce<'a> {
    platform: Summary<'a>,
    operator: &'a OperatorConfig,
}

/// Prints what both files come to.
pub fn check(files: &ConfigFiles, json: bool) -> Outcome {
    let LoadedConfig {
        platform, operator, ..
    } = files.load()?;
    let in_force = InForce {
        platform: platform.summary(),
        operator: &operator,
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&in_force)?);
    } else {
        print!(
            "# the platform's configuration\n{}",
            hcl::to_string(&in_force.platform)?
        );
        print!(
            "\n# the operators' file, defaults included\n{}",
            hcl::to_string(in_force.operator)?
        );
    }
    Ok(())
}

/// Shows, explains or forces levels.
pub fn levels(args: LevelsArgs) -> Outcome {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    match args {
        LevelsArgs::Explain(files) => match files.load()? {
            LoadedConfig {
                platform,
                levels: Some(levels),
                ..
            } => print!("{}", levels.explain(&platform.classes)),
            _ => println!("no levels are set; see the block levels of the operators' file"),
        },
        LevelsArgs::Show { admin, watch, json } => runtime.block_on(show(admin, watch, json))?,
        LevelsArgs::Force(Force {
            admin,
            span,
            wanted,
        }) => {
            let path = format!("/levels/force?level={wanted}&for_ms={}", span.as_millis());
            // What is no part of a query is no name either.
            let text = runtime.block_on(admin::request_text(admin, Method::POST, &path))?;
            print!("{}", serde_json::from_str::<Levels>(&text)?);
        }
    }
    Ok(())
}

/// Shows, submits or calls off maintenance, or says that the work on a target is done.
pub fn maintenance(args: MaintenanceArgs) -> Outcome {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let encoded = |text: &str| utf8_percent_encode(text, NON_ALPHANUMERIC).to_string();
    let (admin, method, path, json) = match args {
        MaintenanceArgs::Show { admin, json } => {
            (admin, Method::GET, "/maintenance".to_owned(), json)
        }
        MaintenanceArgs::Submit { admin, wanted } => {
            let pairs: Vec<String> = wanted
                .iter()
                .map(|(k, v)| format!("{k}={}", encoded(v)))
                .collect();
            (
                admin,
                Method::POST,
                format!("/maintenance?{}", pairs.join("&")),
                true,
            )
        }
        MaintenanceArgs::Cancel(admin) => {
            (admin, Method::POST, "/maintenance/cancel".to_owned(), true)
        }
        MaintenanceArgs::Done { admin, target } => (
            admin,
            Method::POST,
            format!("/maintenance/done?target={}", encoded(&target)),
            true,
        ),
    };
    let text = runtime.block_on(admin::request_text(admin, method, &path))?;
    match json {
        true => print!("{text}"),
        false => print!(
            "{}",
            serde_json::from_str::<admin::view::Maintenance>(&text)?
        ),
    }
    Ok(())
}

async fn show(admin: SocketAddr, watch: bool, json: bool) -> Outcome {
    let mut last: Option<Levels> = None;
    loop {
        let text = admin::request_text(admin, Method::GET, "/levels").await?;
        let levels: Levels = serde_json::from_str(&text)?;
        match &last {
            None if json => print!("{text}"),
            None => print!("{levels}"),
            Some(last) => {
                let new = |c: &&admin::view::Changed| !last.changes.contains(c);
                for change in levels
                    .changes
                    .iter()
                    .filter(new)
                    .collect::<Vec<_>>()
                    .into_iter()
                    .rev()
                {
                    match json {
                        true => println!("{}", serde_json::to_string(change)?),
                        false => println!("{} ms: {change}", change.at_ms),
                    }
                }
            }
        }
        if !watch {
            return Ok(());
        }
        last = Some(levels);
        tokio::time::sleep(WATCH_EVERY).await;
    }
}
