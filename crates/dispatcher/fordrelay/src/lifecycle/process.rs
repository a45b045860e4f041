//! The parts of a dispatcher process that its start, its service and its shutdown share.

use crate::error::StartError;
use crate::handover::Handover;
use crate::peers::Peers;
use crate::usage;
use dispatcher_settings::operator::OperatorConfig;
use dispatcher_settings::platform::{Config, ProcessLimits};
use dispatcher_state::{Input, MembershipConfig};
use event_loop::{Clock, FlowLimits, LoopHandle, LoopInputs};
use std::rc::Rc;
use tokio::task::spawn_local;
use tracing::warn;

/// A dispatcher process.
pub struct Process {
    pub config: Config,
    pub operator: OperatorConfig,
    pub clock: Clock,
    /// What this process may hold as things stood at its start.
    pub limits: ProcessLimits,
    /// Whether the listening socket of the clients is inherited, and so outlives this process.
    pub inherits_socket: bool,
    pub loop_handle: Rc<LoopHandle>,
    /// Other dispatchers, if the platform allows messages between them.
    pub peers: Option<Rc<Peers>>,
    /// Other processes of this dispatcher, if it may have any.
    pub handover: Option<Rc<Handover>>,
}

impl Process {
    /// A process that does nothing yet, and the inputs of its event loop.
    pub fn new(
        config: Config,
        operator: OperatorConfig,
        clock: Clock,
        inherits_socket: bool,
    ) -> (Self, LoopInputs) {
        let handover = join_handover(&config, &operator, clock, inherits_socket);
        let other_processes = handover.as_ref().map_or(0, |handover| handover.others());
        let limits = config.process_limits(1 + other_processes);
        let flow_limits = FlowLimits {
            flows: limits.flows,
            bytes: limits.bytes,
        };
        let (loop_handle, inputs) = LoopHandle::new(clock, config.reports.clone(), flow_limits);
        let peers = config
            .peers
            .clone()
            .map(|addrs| Peers::new(addrs, config.me));
        let process = Process {
            config,
            operator,
            clock,
            limits,
            inherits_socket,
            loop_handle,
            peers,
            handover,
        };
        (process, inputs)
    }

    /// Other processes of this dispatcher that are alive.
    pub fn other_processes(&self) -> usize {
        self.handover
            .as_ref()
            .map_or(0, |handover| handover.others())
    }

    /// What the whole program may use.
    pub fn resource_limits(&self) -> usage::Limits {
        usage::Limits {
            memory: self.config.memory_bytes,
            descriptors: self.config.descriptors,
        }
    }

    /// Exchanges messages with other dispatchers, at once or as soon as another process of this dispatcher gives the
    /// port up.
    ///
    /// # Errors
    /// The port can't be used.
    pub async fn start_peers(&self) -> Result<(), StartError> {
        let Some(peers) = &self.peers else {
            if self.operator.membership.is_some() {
                warn!("membership has no effect: the platform's configuration names no peers, or allows no messages");
            }
            return Ok(());
        };
        let (peers, loop_handle) = (Rc::clone(peers), Rc::clone(&self.loop_handle));
        let (operator, clock) = (self.operator.clone(), self.clock);
        if self.other_processes() == 0 {
            let listen = self.config.peers.as_ref().map(|addrs| addrs.listen);
            let listen = listen.unwrap_or(self.config.listen);
            let bound = peers.bind().await;
            bound.map_err(StartError::bind("peer_listen", listen))?;
            join_membership(&loop_handle, &operator, clock);
            spawn_local(peers.listen(loop_handle));
        } else {
            spawn_local(async move {
                peers.bind_when_free().await;
                // Only now: without the port no probe of other members is answered, and all of them look dead.
                join_membership(&loop_handle, &operator, clock);
                peers.listen(loop_handle).await;
            });
        }
        Ok(())
    }
}

/// Joins the other processes of this dispatcher: by the operators' file, or since an inherited socket says that another
/// process may take it over.
fn join_handover(
    config: &Config,
    operator: &OperatorConfig,
    clock: Clock,
    inherits_socket: bool,
) -> Option<Rc<Handover>> {
    let configured = operator
        .handover
        .as_ref()
        .map(|handover| handover.folder.clone());
    let base = configured.or_else(|| inherits_socket.then(std::env::temp_dir))?;
    Handover::join(&base, config, clock)
}

/// Takes part in the membership of dispatchers from now on, if the operators' file says so.
fn join_membership(loop_handle: &LoopHandle, operator: &OperatorConfig, clock: Clock) {
    if let Some(membership) = &operator.membership {
        let incarnation = membership::incarnation::from_unix_seconds(clock.now() / 1_000_000);
        loop_handle.send_input(Input::MembershipChanged(Some(MembershipConfig {
            period: membership.period_ms * 1_000,
            incarnation,
        })));
    }
}
