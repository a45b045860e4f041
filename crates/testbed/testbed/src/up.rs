//! A fleet and one dispatcher to try things with, until Ctrl-C.

use crate::dispatcher::DispatcherError;
use crate::fleet::{Fleet, World};
use crate::load::Clients;
use crate::scenario::{name, Fault, Scenario, SECOND};
use crate::upgrade::{Platform, Process};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::task::{spawn_local, LocalSet};

const HELP: &str =
    "kill N, start N, hang N, mend N, slow N SHARE, drain N, out N, back N, upgrade, boxes, help, quit";

/// What is started.
#[derive(Debug, Clone)]
pub struct Terms {
    /// Boxes.
    pub boxes: usize,
    /// Load from clients, as a share of capacity; 0 for none.
    pub load: f64,
    /// It ends by itself after so long; none for not before Ctrl-C.
    pub seconds: Option<u64>,
}

/// Starts it, prints what to type, does what is typed, and stops all at the end.
///
/// # Errors
/// The stand-ins or the dispatcher could not be had.
pub fn up(terms: &Terms, operator: &str, folder: &Path) -> Result<(), DispatcherError> {
    std::fs::create_dir_all(folder)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let done = LocalSet::new().block_on(&runtime, serve(terms, operator, folder));
    // Standard input is read on a thread that can't be called off.
    runtime.shutdown_background();
    done
}

/// Says where all of it is, and what can be done.
fn print_addresses(
    terms: &Terms,
    scenario: &Scenario,
    first: &Process,
    listen: SocketAddr,
    admin: SocketAddr,
) {
    println!(
        "{} boxes, one dispatcher on {listen}, operators on {admin}, the platform's calls on {}, log {}",
        terms.boxes,
        first.admin,
        first.log.display()
    );
    println!(
        "clients ask for {:.0} jobs a second ({} of capacity)",
        terms.load * scenario.capacity(),
        terms.load
    );
    println!();
    println!("a job of your own:");
    println!("  curl -i -H 'Req-Id: ffff0001' -H 'Req-Kind: live-score' -H 'Req-Deadline: 5' \\");
    println!(
        "    -d '{{\"job\":0,\"class\":0,\"slots\":1,\"work\":200000,\"key\":null}}' http://{listen}/api"
    );
    println!("the level of service, and its changes as they come:");
    println!("  target/release/fordrelay levels --admin {admin} --watch");
    println!(
        "or, without the program at hand:  curl http://{admin}/levels  curl http://{admin}/metrics"
    );
    println!("here, a line at a time: {HELP}");
}

fn print_scores(scenario: &Scenario, world: &World) {
    let checker = world.checker.borrow();
    for (class, score) in scenario.classes.iter().zip(checker.scores()) {
        println!(
            "{}: {} asked, {:.3} in time",
            class.name,
            score.asked,
            score.share()
        );
    }
    let (count, words) = checker.broken();
    println!("rules broken: {count}");
    words.iter().for_each(|word| println!("  {word}"));
}

async fn serve(terms: &Terms, operator: &str, folder: &Path) -> Result<(), DispatcherError> {
    let mut scenario = Scenario::league(terms.boxes.max(1), 1);
    scenario.load = vec![(0, terms.load)];
    scenario.end = terms.seconds.unwrap_or(24 * 3_600) * SECOND;
    let world = World::new(scenario.clone());
    let fleet = Fleet::start(Rc::clone(&world)).await?;
    let (platform, _) = Platform::alone(&scenario, &fleet, 1, folder)?;
    let (listen, admin) = (
        platform.socket.local_addr()?,
        std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?,
    );
    let hcl = folder.join("dispatcher.hcl");
    std::fs::write(
        &hcl,
        format!("{operator}\nadmin {{\n  listen = \"{admin}\"\n}}\n"),
    )?;
    let platform = Platform {
        operator: Some(hcl),
        ..platform
    };
    let first = platform.start(0)?;
    first.ready().await?;
    print_addresses(terms, &scenario, &first, listen, admin);
    let mut arrivals = if terms.load > 0.0 {
        scenario.arrivals(1)
    } else {
        vec![]
    };
    let began = world.now();
    arrivals.iter_mut().for_each(|a| a.at += began);
    let clients = Clients::new(Rc::clone(&world), vec![listen]);
    let playing = spawn_local(async move { clients.play(arrivals).await });
    let mut current = first;
    let ends = tokio::time::sleep(std::time::Duration::from_secs(
        terms.seconds.unwrap_or(24 * 3_600),
    ));
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        () = ends => {}
        () = obey(&world, &fleet, &platform, &mut current) => {}
    }
    println!("stopping");
    // Clients first: what they had asked for is nobody's then.
    playing.abort();
    current.stop().await?;
    print_scores(&scenario, &world);
    Ok(())
}

/// Starts another process on the same socket, and has the old one end once it is ready.
async fn upgrade(
    platform: &Platform,
    current: &mut Process,
    number: usize,
) -> std::io::Result<String> {
    let new = platform.start(number)?;
    let ready = new.ready().await?;
    let text = format!(
        "process {number} was ready after {ready:?}; its calls are on {}",
        new.admin
    );
    let ended = std::mem::replace(current, new).stop().await?;
    Ok(format!("{text}; the old one ended after {ended:?}"))
}

/// Does what is typed, until it is to quit. The end of the input is none: nobody may be typing.
async fn obey(world: &Rc<World>, fleet: &Rc<Fleet>, platform: &Platform, current: &mut Process) {
    let mut started = 0;
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        let number = words.get(1).and_then(|n| n.parse::<usize>().ok());
        let fault = match (words.first().copied(), number) {
            (Some("quit"), _) => return,
            (Some(word @ ("out" | "back")), Some(at)) => {
                let (name, verb) = (name(at), if word == "out" { "disable" } else { "enable" });
                let path = format!("/-/runners/{name}/{verb}");
                match admin::request_text(current.admin, hyper::Method::PUT, &path).await {
                    Ok(text) => print!("{text}"),
                    Err(e) => println!("{e}"),
                }
                continue;
            }
            (Some("upgrade"), _) => {
                started += 1;
                match upgrade(platform, current, started).await {
                    Ok(text) => println!("{text}"),
                    Err(e) => println!("the old process serves on: {e}"),
                }
                continue;
            }
            (Some("boxes"), _) => {
                print!("{}", fleet.show());
                continue;
            }
            (Some("kill"), Some(_)) => Fault::Kill,
            (Some("start"), Some(_)) => Fault::Start,
            (Some("hang"), Some(_)) => Fault::Hang,
            (Some("mend"), Some(_)) => Fault::Mend,
            (Some("drain"), Some(_)) => Fault::Drain,
            (Some("slow"), Some(_)) => Fault::Slow(
                words
                    .get(2)
                    .and_then(|s| s.parse::<f64>().ok())
                    .unwrap_or(0.5)
                    .clamp(0.0, 1.0),
            ),
            (None, _) => continue,
            _ => {
                println!("{HELP}");
                continue;
            }
        };
        match fleet.suffer(number.unwrap_or(0), fault).await {
            Ok(()) => println!("{:.1} s: {line}", world.now() as f64 / 1.0e6),
            Err(e) => println!("{e}"),
        }
    }
    std::future::pending().await
}
