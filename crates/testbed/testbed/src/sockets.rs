//! One run on sockets: the program before the stand-in fleet, with clients, from start to stop.

use crate::dispatcher::{self, DispatcherError};
use crate::fleet::{Fleet, World};
use crate::load::Clients;
use crate::model::{LevelChange, Outcomes, Sums};
use crate::scenario::{Scenario, SECOND};
use admin::view::Levels;
use dispatch_api::Micros;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};

/// What a run on sockets came to.
#[derive(Debug, Clone)]
pub struct Run {
    /// As in virtual time.
    pub outcomes: Outcomes,
    /// Processor time of all dispatchers, microseconds.
    pub cpu: u64,
    /// How late the latest client asked: a machine that was too busy shows here.
    pub latest: Micros,
}

/// Plays a scenario on sockets. `operator` is the text of the operators' file, without `admin`; arrivals depend on
/// `seed` alone, what the dispatchers draw on `draw`.
///
/// # Errors
/// The stand-ins or the dispatchers could not be had.
pub fn run(
    scenario: &Scenario,
    operator: &str,
    seed: u64,
    draw: u64,
    folder: &Path,
) -> Result<Run, DispatcherError> {
    std::fs::create_dir_all(folder)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, play(scenario, operator, (seed, draw), folder))
}

async fn play(
    scenario: &Scenario,
    operator: &str,
    (seed, draw): (u64, u64),
    folder: &Path,
) -> Result<Run, DispatcherError> {
    // The world's time starts with the dispatchers: both see the load from its first moment.
    let world = World::new(scenario.clone());
    let fleet = Fleet::start(Rc::clone(&world)).await?;
    let dispatchers = dispatcher::start(&world, &fleet, folder, operator, draw).await?;
    let began = world.now();
    let mut arrivals = scenario.arrivals(seed);
    arrivals.iter_mut().for_each(|a| a.at += began);
    let faults = spawn_local(Rc::clone(&fleet).faults_from(began));
    let clients = Clients::new(
        Rc::clone(&world),
        dispatchers.iter().map(|d| d.listen).collect(),
    );
    clients.play(arrivals).await;
    let mut changes = vec![];
    for (number, dispatcher) in (0..).zip(&dispatchers) {
        changes.extend(level_changes(number, dispatcher.admin, &world, began).await);
    }
    changes.sort_by_key(|c| c.at);
    let cpu = dispatchers
        .iter()
        .filter_map(dispatcher::Dispatcher::cpu)
        .sum();
    faults.abort();
    // Attempts that clients left behind come to their end.
    tokio::time::sleep(Duration::from_micros(SECOND)).await;
    for dispatcher in dispatchers {
        let log = dispatcher.log.clone();
        if let Err(e) = dispatcher.stop().await {
            let now = world.now();
            world
                .checker
                .borrow_mut()
                .other(now, &format!("{e}; its log is {}", log.display()));
        }
    }
    let mut checker = world.checker.borrow_mut();
    checker.end(world.now());
    let (count, words) = checker.broken();
    let broken = (count, words.to_vec());
    let (worth, classes) = (checker.worth(), checker.scores().to_vec());
    let outcomes = Outcomes {
        worth,
        classes,
        broken,
        changes,
        inputs: 0,
        samples: vec![],
        sums: Sums::default(),
    };
    Ok(Run {
        outcomes,
        cpu,
        latest: clients.latest(),
    })
}

async fn level_changes(
    dispatcher: u32,
    admin: std::net::SocketAddr,
    world: &World,
    began: Micros,
) -> Vec<LevelChange> {
    // Without levels there is nothing to ask for.
    let Ok(text) = admin::request_text(admin, hyper::Method::GET, "/levels").await else {
        return vec![];
    };
    let Ok(levels) = serde_json::from_str::<Levels>(&text) else {
        return vec![];
    };
    let now = world.now();
    let change = |c: &admin::view::Changed| LevelChange {
        at: now
            .saturating_sub((levels.now_ms.saturating_sub(c.at_ms)) * 1_000)
            .saturating_sub(began),
        dispatcher,
        from: c.from.clone(),
        to: c.to.clone(),
        why: match (&c.figure, c.value, c.bound) {
            (Some(figure), Some(value), Some(bound)) => {
                format!("{} {figure} {value:.3} at {bound}", c.cause)
            }
            _ => c.cause.clone(),
        },
    };
    levels.changes.iter().map(change).collect()
}
