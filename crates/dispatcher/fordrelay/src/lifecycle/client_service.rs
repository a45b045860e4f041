//! The service of the clients, from the first accepted connection to the last answer.

use super::process::Process;
use crate::handover::Handover;
use crate::peers::Peers;
use dispatch_api::Micros;
use dispatcher_state::Input;
use event_loop::{Clock, LoopHandle};
use http1::{Listener, ListenerTerms, Phase};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle};
use tracing::{info, warn};

/// How long after SIGTERM connections are still accepted and kept: clients hear of the stop only then, and there may be
/// no other dispatcher for them to turn to.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// ... and where another process has taken over the socket: requests on kept connections are still accepted, since a
/// client learns of the stop only with an answer, or from a connection that is closed between its requests.
const HANDOVER_DRAIN_TIME: Duration = Duration::from_millis(700);
/// How long after SIGTERM the requests accepted since are answered at the latest: 3.7 s after it the program may be
/// killed.
const ANSWER_TIME: Duration = Duration::from_millis(3_300);
/// ... and this much later the requests accepted before it, if their time is not up by then.
const EARLIER_ANSWER_TIME: Duration = Duration::from_millis(150);
/// How often it is checked whether everything is answered.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What becomes of the clients when this process stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ShutdownMode {
    /// Another process of this dispatcher accepts on the same socket.
    HandedOver,
    /// Nobody else accepts what comes until the socket is closed.
    Draining,
}

impl ShutdownMode {
    fn phase(self) -> Phase {
        match self {
            ShutdownMode::HandedOver => Phase::HandedOver,
            ShutdownMode::Draining => Phase::Draining,
        }
    }

    fn drain_time(self) -> Duration {
        match self {
            ShutdownMode::HandedOver => HANDOVER_DRAIN_TIME,
            ShutdownMode::Draining => DRAIN_TIME,
        }
    }
}

/// The service of the clients.
pub struct ClientService {
    name: String,
    clock: Clock,
    loop_handle: Rc<LoopHandle>,
    listener: Rc<Listener>,
    phase: watch::Sender<Phase>,
    peers: Option<Rc<Peers>>,
    handover: Option<Rc<Handover>>,
    inherits_socket: bool,
    /// The longest time that a client waits for an answer.
    longest_client_timeout: Duration,
}

impl ClientService {
    /// A service that accepts nothing yet; its limits follow the number of processes from now on.
    pub fn new(process: &Process) -> Self {
        let config = &process.config;
        let classes = config.settings.classes.iter();
        let client_timeout: Vec<Micros> = classes.map(|class| class.client_timeout).collect();
        let longest = client_timeout.iter().copied().max().unwrap_or(0);
        let terms = ListenerTerms {
            classes: config.classes.clone(),
            tenants: config.tenants.clone(),
            connections: process.limits.clients,
            client_timeout,
        };
        let (phase, phases) = watch::channel(Phase::Serving);
        let listener = Listener::new(Rc::clone(&process.loop_handle), terms, phases);
        if let Some(handover) = &process.handover {
            spawn_local(Rc::clone(handover).monitor(
                Rc::clone(&process.loop_handle),
                Rc::clone(&listener),
                config.clone(),
            ));
        }
        ClientService {
            name: config.name.to_string(),
            clock: process.clock,
            loop_handle: Rc::clone(&process.loop_handle),
            listener,
            phase,
            peers: process.peers.clone(),
            handover: process.handover.clone(),
            inherits_socket: process.inherits_socket,
            longest_client_timeout: Duration::from_micros(longest),
        }
    }

    /// Accepts connections, and calls the process ready. Returns the task that accepts.
    ///
    /// # Errors
    /// The socket has no address.
    pub fn accept(&self, socket: TcpListener) -> io::Result<JoinHandle<()>> {
        let listen = socket.local_addr()?;
        let accepting = spawn_local(Rc::clone(&self.listener).accept(socket));
        spawn_local(Rc::clone(&self.listener).close_overdue());
        self.loop_handle.set_ready(true);
        info!(name = self.name, "serving on {listen}");
        Ok(accepting)
    }

    /// Stops: what comes for a while is still answered, then the connections are closed.
    pub async fn shut_down(&self, accepting: &JoinHandle<()>) {
        self.loop_handle.set_ready(false);
        let mode = self.leave();
        let handed_over = mode == ShutdownMode::HandedOver;
        info!(
            flows = self.loop_handle.open_flows(),
            handed_over, "told to stop"
        );
        self.set_deadlines();
        self.phase.send_replace(mode.phase());
        match mode {
            ShutdownMode::Draining => self.loop_handle.send_input(Input::ShuttingDown),
            ShutdownMode::HandedOver => self.leave_peers(),
        }
        tokio::time::sleep(mode.drain_time()).await;
        self.phase.send_replace(Phase::Closing);
        self.wait_for_answers(accepting).await;
    }

    /// Tells the other processes of this dispatcher. Only on a shared socket can one of them accept for this one.
    fn leave(&self) -> ShutdownMode {
        let another_serves = self
            .handover
            .as_ref()
            .is_some_and(|handover| handover.stop());
        if another_serves && self.inherits_socket {
            ShutdownMode::HandedOver
        } else {
            ShutdownMode::Draining
        }
    }

    /// Sets by when the open requests are answered. Those accepted before the stop may have a little longer: the
    /// platform ends the program a little later.
    fn set_deadlines(&self) {
        let deadline = self.clock.now() + ANSWER_TIME.as_micros() as Micros;
        self.listener.set_response_deadline(deadline);
        self.loop_handle.send_input(Input::AnswerDeadline(
            deadline + EARLIER_ANSWER_TIME.as_micros() as Micros,
        ));
    }

    /// Leaves membership and the port for datagrams to the other process.
    fn leave_peers(&self) {
        self.loop_handle.send_input(Input::MembershipChanged(None));
        if let Some(peers) = &self.peers {
            peers.leave();
        }
    }

    async fn wait_for_answers(&self, accepting: &JoinHandle<()>) {
        // An accept loop that has ended has spawned a task for each connection, and none is left unanswered.
        let answered = async {
            while !accepting.is_finished() || self.listener.open() > 0 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let limit = self.longest_client_timeout + DRAIN_TIME;
        match tokio::time::timeout(limit, answered).await {
            Ok(()) => info!("stopped"),
            Err(_) => warn!(
                connections = self.listener.open(),
                "stopped, with clients that do not read or write"
            ),
        }
    }
}
