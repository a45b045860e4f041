//! The life of a dispatcher process: start, readiness, reload and graceful shutdown.
//!
//! This module puts the parts together, in the order in which they depend on each other: the event loop with its
//! initial inputs, the sockets, and last the port of the clients.

mod admin_listeners;
mod client_service;
mod client_socket;
mod discovery_watch;
mod initial_inputs;
mod io_backend;
mod process;
mod reload;
mod signals;

use crate::config_files::{ConfigFiles, LoadedConfig};
use crate::error::StartError;
use crate::inherited;
use crate::log::Logs;
use crate::usage;
use admin::PrometheusHandle;
use client_service::ClientService;
use dispatcher_settings::operator::OperatorConfig;
use dispatcher_settings::platform::Config;
use dispatcher_state::State;
use event_loop::{run, Clock};
use io_backend::Sockets;
use process::Process;
use reload::Reload;
use signals::StopSignal;
use std::rc::Rc;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};
use tracing::info;

/// Serves until SIGTERM or SIGINT, and until everything accepted by then is answered. SIGHUP reloads both files.
///
/// # Errors
/// What keeps it from starting.
pub fn serve(files: &ConfigFiles) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, start_and_serve(files))
}

async fn start_and_serve(files: &ConfigFiles) -> Result<(), StartError> {
    // First of all: without a handler SIGHUP ends the program.
    let hangup = signal(SignalKind::hangup())?;
    let LoadedConfig {
        platform,
        operator,
        levels,
    } = files.load()?;
    let logs = Logs::start(&operator.log);
    let metrics = install_metrics(&platform, &operator)?;
    let mut stop_signal = StopSignal::install()?;
    let clock = Clock::start();
    let state = State::new(platform.state_config(levels))?;
    let inherited = inherited::from_environment()?;
    let (process, mut inputs) = Process::new(platform, operator, clock, inherited.is_some());

    process.start_peers().await?;
    process.send_initial_inputs();
    let discovery = process.watch_discovery();
    let reload = Reload {
        files: files.clone(),
        logs,
        loop_handle: Rc::clone(&process.loop_handle),
        classes: process.config.classes.clone(),
        discovery: discovery.addr,
    };
    spawn_local(reload.run(hangup));
    spawn_local(usage::watch(
        Rc::clone(&process.loop_handle),
        process.resource_limits(),
    ));
    if let Some(metrics) = metrics {
        admin::start(
            inputs.operator_handle(&state, &process.loop_handle),
            metrics,
            process.config.classes.clone(),
            process.admin_listeners()?,
        )?;
    }
    let sockets = Sockets {
        loop_handle: Rc::clone(&process.loop_handle),
        watch_requests: discovery.requests,
        peers: process.peers.clone(),
        handover: process.handover.clone(),
    };
    spawn_local(run(state, Rc::clone(&process.loop_handle), inputs, sockets));

    let service = ClientService::new(&process);
    let mut stopping = std::pin::pin!(stop_signal.received());
    let socket = tokio::select! {
        biased;
        () = &mut stopping => {
            info!("told to stop before it served");
            return Ok(());
        }
        socket = process.client_socket(inherited) => socket?,
    };
    let accepting = service.accept(socket)?;
    stopping.await;
    service.shut_down(&accepting).await;
    Ok(())
}

/// Sets up what `/metrics` shows, where anybody can ask for it.
fn install_metrics(
    config: &Config,
    operator: &OperatorConfig,
) -> Result<Option<PrometheusHandle>, StartError> {
    if operator.admin.is_none() && config.admin.is_none() {
        return Ok(None);
    }
    let recorder = admin::install_recorder();
    recorder
        .map(Some)
        .map_err(|e| StartError::Metrics(e.to_string()))
}
